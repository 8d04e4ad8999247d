#ifndef SESAMEWOOD_MANAGER_AGENTS_H
#define SESAMEWOOD_MANAGER_AGENTS_H

/// @file
/// Orders that other control replicas send for the leader. At several hundred endpoints the calls
/// to them cost more processor time than one replica has; the decisions stay with the leader,
/// and an order means the same whoever sends it.

#include "manager/manager_defs.h"
#include "rpc/rpc_client.h"

struct agents;

/// Called when a result is known, or the agent has not answered in time.
typedef void (*agents_result_fn)(void *ctx, uint64_t term, struct order_result *result);

/// @param client finds the RPC client of a node
struct agents *agents_new(struct rpc_client *(*client)(void *ctx, uint32_t node),
			  agents_result_fn result, void *ctx);

/// Queues an order for an agent; takes over the order.
void agents_queue_order(struct agents *a, uint32_t node, uint64_t term, struct order *order,
			clock_ms_t now);

/// Queues the result of an order that was sent for a leader.
void agents_queue_result(struct agents *a, uint32_t leader, uint64_t term,
			 const struct order_result *result);

/// Sends what was queued. Call once an iteration of the loop.
void agents_flush(struct agents *a, uint32_t own, clock_ms_t now);

/// Gives up on orders whose agents have not answered.
void agents_tick(struct agents *a, clock_ms_t now);

/// Handles the results that an agent sent.
void agents_handle_results(struct agents *a, const sw_result_batch *batch);

/// @return the order that a leader asks this replica to send
struct order *agents_decode_order(const sw_order *from, clock_ms_t now);

/// Picks the agent of an endpoint: the same one as long as the same nodes are alive.
///
/// @return a node of the list
uint32_t agents_pick(const uint32_t *nodes, unsigned int n, const char *instance);

#endif
