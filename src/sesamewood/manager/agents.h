#ifndef SESAMEWOOD_MANAGER_AGENTS_H
#define SESAMEWOOD_MANAGER_AGENTS_H

/// @file
/// Agents: control replicas that send orders for the leader. With several hundred endpoints the
/// calls to them need more processor time than one replica has. Decisions stay with the leader,
/// and an order has the same meaning whichever replica sends it.

#include "manager/manager_defs.h"
#include "rpc/rpc_client.h"

struct agents;

/// Called with the result of an order, or with ORDER_NO_ANSWER if the agent has not answered in
/// time. Takes ownership of @p result.
typedef void (*agents_result_fn)(void *ctx, uint64_t term, struct order_result *result);

/// Creates the queues of this replica, which live as long as the process.
///
/// @param client returns the RPC client of a node
/// @param result called with the results of the orders that agents_queue_order() queued
struct agents *agents_new(struct rpc_client *(*client)(void *ctx, uint32_t node),
			  agents_result_fn result, void *ctx);

/// Queues an order for an agent; agents_flush() sends it. Takes ownership of @p order.
///
/// @param node agent
/// @param term term of this replica's leadership
void agents_queue_order(struct agents *a, uint32_t node, uint64_t term, struct order *order,
			clock_ms_t now);

/// Queues the result of an order that this replica sent as an agent of @p leader. Copies
/// @p result.
void agents_queue_result(struct agents *a, uint32_t leader, uint64_t term,
			 const struct order_result *result);

/// Sends the queued orders and results. Must be called once per iteration of the event loop.
///
/// @param own node of this replica
void agents_flush(struct agents *a, uint32_t own, clock_ms_t now);

/// Reports ORDER_NO_ANSWER for orders whose agents have not answered in time.
void agents_tick(struct agents *a, clock_ms_t now);

/// Handles a batch of results from an agent; ignores those of another term.
void agents_handle_results(struct agents *a, const sw_result_batch *batch);

/// Decodes an order that a leader delegates to this replica. The caller owns the result.
struct order *agents_decode_order(const sw_order *from, clock_ms_t now);

/// Picks the agent of an endpoint by rendezvous hashing: the same node as long as @p nodes holds
/// the same nodes.
///
/// @return a node of the list, 0 if it is empty
uint32_t agents_pick(const uint32_t *nodes, unsigned int n, const char *instance);

#endif
