#ifndef SESAMEWOOD_MANAGER_RELAY_H
#define SESAMEWOOD_MANAGER_RELAY_H

/// @file
/// Forwards calls to the leader of control and tracks which node leads. Calls are idempotent, so a
/// call without an answer is retried until its deadline.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <ev.h>
#include <stdbool.h>

struct relay;

enum relay_outcome {
	RELAY_ANSWERED,
	RELAY_NOT_DONE, ///< no leader accepted it: no effect
	RELAY_UNKNOWN,	///< it may have had an effect
};

/// Called with the outcome of a forwarded call.
///
/// @param reply valid during the callback; NULL unless RELAY_ANSWERED
typedef void (*relay_fn)(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply);

/// Creates a relay that lives as long as the process.
///
/// @param port port of control's RPC listeners
/// @param own  node of this replica, to which nothing is sent; 0: not a control replica
struct relay *relay_new(struct ev_loop *loop, uint16_t port, uint32_t own);

/// Replaces the seed nodes, which are tried besides the known members if the leader is unknown.
void relay_set_seeds(struct relay *r, const uint32_t *nodes, unsigned int n);

/// Sets the leader as known to this process from another source; 0: unknown.
void relay_set_leader(struct relay *r, uint32_t node);

/// Forwards a call; @p args is copied. @p fn is called from the event loop, exactly once.
void relay_call(struct relay *r, const sw_relay_args *args, clock_ms_t timeout_ms, relay_fn fn,
		void *ctx);

/// Returns when a leader last answered, or 0.
clock_ms_t relay_answered_at(const struct relay *r);

/// Returns the RPC client of a node, created on first use and owned by the relay.
struct rpc_client *relay_client(struct relay *r, uint32_t node);

#endif
