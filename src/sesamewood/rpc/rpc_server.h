#ifndef SESAMEWOOD_RPC_SERVER_H
#define SESAMEWOOD_RPC_SERVER_H

/// @file
/// ONC RPC server on an event loop. Calls with an unknown program, version or procedure or with
/// malformed arguments get the error replies of RFC 5531.

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rpc_server;

/// A received call that has not been replied to.
struct rpc_request;

/// Handles a call. The handler calls rpc_request_reply() or rpc_request_reply_unavailable() exactly
/// once, before it returns or later.
///
/// @param args decoded arguments, valid until the handler returns
typedef void (*rpc_handler_fn)(void *ctx, struct rpc_request *req, uint32_t proc, const void *args);

/// Listens on "IP:port".
///
/// @return a server that lives as long as the process, or NULL when the address is invalid or can't
///         be listened on
struct rpc_server *rpc_server_new(struct ev_loop *loop, const char *address, rpc_handler_fn fn,
				  void *ctx);

/// Serves a listening socket, which it takes over.
///
/// @param fd result of listener_open()
/// @return NULL when there is no socket
struct rpc_server *rpc_server_new_on_listener(struct ev_loop *loop, int fd, rpc_handler_fn fn,
					      void *ctx);

/// Sends the reply and frees the request. Calls of procedures without results are acknowledged
/// together, after a short delay.
///
/// @param reply value of the procedure's reply type, or NULL for void
void rpc_request_reply(struct rpc_request *req, const void *reply);

/// Gives the connection that @p req arrived on larger buffers, for calls with much data.
void rpc_request_expect_bulk(struct rpc_request *req);

/// Tells whether a reply of @p len bytes has room beside the records and replies that are held for
/// all connections, and counts it as refused if not.
bool rpc_request_admit_reply(struct rpc_request *req, size_t len);

/// Lowers the read priority of the connection that @p req arrived on; see
/// rpc_stream_lower_priority().
void rpc_request_lower_priority(struct rpc_request *req);

/// @return number of replies sent by this process
uint64_t rpc_replies_sent(void);

/// @return number of connections accepted by this process
uint64_t rpc_connections_accepted(void);

/// Replies PROC_UNAVAIL, as this process does not serve the procedure, and frees the request.
void rpc_request_reply_unavailable(struct rpc_request *req);

/// Sets the memory of all incomplete records and unsent replies together, and the number of
/// connections. At the limits, connections are closed: that which holds most, of the address that
/// holds most, or the one unused for longest.
void rpc_server_set_limits(struct rpc_server *server, uint64_t input_bytes, uint32_t connections);

#endif
