#ifndef SESAMEWOOD_BASE_HTTP_SERVER_H
#define SESAMEWOOD_BASE_HTTP_SERVER_H

/// @file
/// HTTP/1.1 server: libmicrohttpd on a libev loop. Body sizes, and the memory and the descriptors
/// of all unfinished requests together, are limited. A handler may reply after it has returned.

#include "base/clock.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;

/// Time for a request to arrive, unless set otherwise.
#define HTTP_ARRIVAL_TIMEOUT_S 30

/// Bounds of the kernel's buffers for a connection, unless set otherwise. The smaller one takes a
/// body of 256 KiB in about 20 round trips.
#define HTTP_BUFFER_MIN_BYTES ((uint64_t)32 * 1024)
#define HTTP_BUFFER_MAX_BYTES ((uint64_t)128 * 1024)

/// Resource limits of a server.
struct http_limits {
	const char *name;	 ///< of the listener, for metrics and logs; must outlive the server
	uint32_t head_bytes;	 ///< memory of one connection, which bounds its request head
	uint32_t body_bytes;	 ///< largest request body
	uint32_t connections;	 ///< concurrent connections
	uint32_t idle_timeout_s; ///< time after which an idle connection is closed
	/// Memory of all unfinished requests, waiting requests and unread responses, what the
	/// kernel holds of them included; 0: INPUT_BUDGET_DEFAULT_BYTES.
	uint64_t input_bytes;
	/// Memory of the kernel for each direction of a connection; 0: the part of input_bytes for
	/// one of the connections, within HTTP_BUFFER_MIN_BYTES and HTTP_BUFFER_MAX_BYTES.
	uint32_t buffer_bytes;
	uint32_t arrival_timeout_s; ///< time for a request to arrive; 0: HTTP_ARRIVAL_TIMEOUT_S
	/// Unfinished requests of one client address; 0: as many as connections, since all clients
	/// may come through one balancer.
	uint32_t address_requests;
	/// Descriptors that the process may use; 0: those of RLIMIT_NOFILE. They limit the
	/// connections, too.
	uint32_t fds_max;
	uint32_t fds_percent; ///< part of them for this listener; 0: three quarters
};

/// A request whose body has been received completely.
struct http_request;

/// A response header.
struct http_header {
	const char *name;
	const char *value;
};

/// Callbacks of a server, called from the event loop.
struct http_handlers {
	/// Handles a complete request. The handler calls http_reply() exactly once, during the call
	/// or later.
	void (*on_request)(void *ctx, struct http_request *req);
	/// The client disconnected before the response; may be NULL. The handler must still call
	/// http_reply().
	void (*on_disconnect)(void *ctx, struct http_request *req);
};

/// Listens on "IP:port".
///
/// @param limits copied
/// @param handlers must outlive the server
/// @return NULL when the address is invalid or can't be listened on
struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    const struct http_limits *limits,
				    const struct http_handlers *handlers, void *ctx);

/// Serves a listening socket, which it takes over.
///
/// @param fd result of listener_open()
/// @return NULL with errno set when there is no socket or no descriptor left
struct http_server *http_server_new_on_listener(struct ev_loop *loop, int fd,
						const struct http_limits *limits,
						const struct http_handlers *handlers, void *ctx);

/// Stops accepting connections, and closes each open connection after its next response.
void http_server_drain(struct http_server *s);

/// Keeps accepting connections, but closes each connection after its next response.
void http_server_close_after_replies(struct http_server *s);

/// Returns the number of requests that are processed or answered. Requests that are being received
/// count until shortly after a stop has begun, while their clients go on sending.
unsigned int http_server_active(const struct http_server *s);

/// Closes the listener and all connections, and frees the server.
void http_server_free(struct http_server *s);

/// @return method as the client sent it, such as "GET"
const char *http_method(const struct http_request *req);
/// @return path and query, as the client sent them
const char *http_target(const struct http_request *req);
/// @return value of the first header of that name, or NULL
const char *http_header(const struct http_request *req, const char *name);
/// Calls @p fn for every request header.
void http_foreach_header(const struct http_request *req,
			 void (*fn)(void *ctx, const char *name, const char *value), void *ctx);
/// @return the body, empty when there is none; owned by the request
const GByteArray *http_body(const struct http_request *req);
/// @return the body as a new string, released with g_free(), or NULL when it contains a NUL byte
char *http_body_text(const struct http_request *req);

/// @return time from the arrival of the request's last byte until it was passed to the handler, ms.
/// It is long if the process stood still, and 0 if it is not known.
clock_ms_t http_waited_ms(const struct http_request *req);
/// Tells whether the client of a request that waited has closed its side of the connection since:
/// it has given up. A client that does so with a request that did not wait may read the answer.
bool http_client_has_left(const struct http_request *req);

/// Attaches the handler's data to a request; the server neither reads nor frees it.
void http_request_set_data(struct http_request *req, void *data);
void *http_request_data(const struct http_request *req);

/// Sends the response. The request must not be used afterwards.
///
/// @param headers array that ends with a NULL name, or NULL
/// @param body copied; @p len bytes
void http_reply(struct http_request *req, unsigned int status, const struct http_header *headers,
		const void *body, size_t len);

/// Sends an application/problem+json response (RFC 9457), in the manner of http_reply().
///
/// @param verdict value of the Sesamewood-Verdict header, or NULL
void http_reply_problem(struct http_request *req, unsigned int status, const char *title,
			const char *verdict);

#endif
