#ifndef SESAMEWOOD_MANAGER_RELAY_H
#define SESAMEWOOD_MANAGER_RELAY_H

/// @file
/// Passes calls on to the leader of control, wherever it is. Calls are idempotent, so one
/// without an answer is tried again until its deadline.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <ev.h>
#include <stdbool.h>

struct relay;

enum relay_outcome {
	RELAY_ANSWERED,
	RELAY_NOT_DONE, ///< no leader took it: it had no effect
	RELAY_UNKNOWN,	///< it may have had an effect
};

/// @param reply valid during the call; NULL unless RELAY_ANSWERED
typedef void (*relay_fn)(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply);

/// @param port port of control's RPC listeners
/// @param own  own node, which is never asked; 0: none
struct relay *relay_new(struct ev_loop *loop, uint16_t port, uint32_t own);

/// Replaces the nodes that are asked when no other is known.
void relay_set_seeds(struct relay *r, const uint32_t *nodes, unsigned int n);

/// Notes who leads, as this process learned otherwise; 0: nobody known.
void relay_set_leader(struct relay *r, uint32_t node);

/// Passes a call on. @p fn runs from the event loop, exactly once.
void relay_call(struct relay *r, const sw_relay_args *args, clock_ms_t timeout_ms, relay_fn fn,
		void *ctx);

/// @return when a leader last answered, or 0
clock_ms_t relay_answered_at(const struct relay *r);

/// @return the client of a node, made when needed
struct rpc_client *relay_client(struct relay *r, uint32_t node);

#endif
