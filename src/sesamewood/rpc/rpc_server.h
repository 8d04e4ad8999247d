#ifndef SESAMEWOOD_RPC_SERVER_H
#define SESAMEWOOD_RPC_SERVER_H

/// @file
/// ONC RPC server on one event loop. Unknown programs, versions and procedures, and malformed
/// arguments, are answered as RFC 5531 says.

#include <ev.h>
#include <stdint.h>

struct rpc_server;

/// A call that waits for its reply.
struct rpc_request;

/// @param args decoded arguments, valid during the call
/// The handler must see to it that rpc_request_reply() is called exactly once.
typedef void (*rpc_handler_fn)(void *ctx, struct rpc_request *req, uint32_t proc, const void *args);

/// Listens on "IP:port".
///
/// @return NULL when it can't listen; errno says why
struct rpc_server *rpc_server_new(struct ev_loop *loop, const char *address, rpc_handler_fn fn,
				  void *ctx);

/// Sends the reply and releases the request.
///
/// Calls without results are acknowledged together some time later.
///
/// @param reply value of the procedure's reply type; NULL for void
void rpc_request_reply(struct rpc_request *req, const void *reply);

/// Reads further calls of this one's connection after those of others
/// (rpc_stream_lower_priority()).
void rpc_request_lower_priority(struct rpc_request *req);

/// @return replies sent by this process
uint64_t rpc_replies_sent(void);

/// Answers that the procedure is not served here, and releases the request.
void rpc_request_reply_unavailable(struct rpc_request *req);

#endif
