#ifndef SESAMEWOOD_RPC_CLIENT_H
#define SESAMEWOOD_RPC_CLIENT_H

/// @file
/// ONC RPC client on one event loop: calls never block, replies come to callbacks.

#include "base/clock.h"

#include <ev.h>
#include <stdint.h>

enum rpc_result {
	RPC_REPLIED,
	RPC_NO_REPLY, ///< no reply; the call may have been executed
	RPC_NOT_SENT, ///< no byte of it left this process: it was not executed
};

struct rpc_client;

/// @param reply decoded reply, valid during the callback; NULL unless RPC_REPLIED
typedef void (*rpc_reply_fn)(void *ctx, enum rpc_result result, const void *reply);

/// @param address "IP:port" of the server
struct rpc_client *rpc_client_new(struct ev_loop *loop, const char *address);

/// Fails outstanding calls without their callbacks, and closes the connection.
void rpc_client_free(struct rpc_client *c);

/// Calls a procedure. The callback runs from the event loop, exactly once.
///
/// @param fn may be NULL for one-way messages
void rpc_client_call(struct rpc_client *c, uint32_t proc, const void *args, clock_ms_t timeout_ms,
		     rpc_reply_fn fn, void *ctx);

#endif
