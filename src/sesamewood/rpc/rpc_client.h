#ifndef SESAMEWOOD_RPC_CLIENT_H
#define SESAMEWOOD_RPC_CLIENT_H

/// @file
/// ONC RPC client on an event loop. Calls do not block; their results are passed to callbacks.

#include "base/clock.h"

#include <ev.h>
#include <stdint.h>

/// Outcome of a call.
enum rpc_result {
	RPC_REPLIED,  ///< the server executed the call
	RPC_NO_REPLY, ///< no usable reply; the server may have executed the call
	RPC_NOT_SENT, ///< no byte of the call left this process: the server did not execute it
};

struct rpc_client;

/// @param reply decoded reply, valid during the callback; NULL unless @p result is RPC_REPLIED, and
///              for procedures without results
typedef void (*rpc_reply_fn)(void *ctx, enum rpc_result result, const void *reply);

/// Creates a client. It connects at the first call, and reconnects when calls are pending.
///
/// @param address "IP:port" of the server
struct rpc_client *rpc_client_new(struct ev_loop *loop, const char *address);

/// Closes the connection and frees the client. The callbacks of pending calls are not called.
void rpc_client_free(struct rpc_client *c);

/// Calls a procedure. The callback is called exactly once, from the event loop, unless the client
/// is freed first.
///
/// @param args value of the procedure's argument type, encoded before the function returns
/// @param timeout_ms time after which the call fails; if the connection has brought nothing since
///                   the call, it is closed and all pending calls fail
/// @param fn may be NULL when the outcome does not matter
void rpc_client_call(struct rpc_client *c, uint32_t proc, const void *args, clock_ms_t timeout_ms,
		     rpc_reply_fn fn, void *ctx);

/// The same, but while the connection keeps bringing records, the call fails only after
/// @p alive_timeout_ms: a server that is slow would have to handle a second call beside the first.
///
/// @param alive_timeout_ms  at least @p timeout_ms
void rpc_client_call_patiently(struct rpc_client *c, uint32_t proc, const void *args,
			       clock_ms_t timeout_ms, clock_ms_t alive_timeout_ms, rpc_reply_fn fn,
			       void *ctx);

#endif
