#ifndef SESAMEWOOD_BASE_HTTP_ASYNC_CLIENT_H
#define SESAMEWOOD_BASE_HTTP_ASYNC_CLIENT_H

/// @file
/// HTTP client on an event loop: concurrent requests over reused connections.

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_async_client;

/// A request to send. The client copies the strings.
struct http_async_request {
	const char *address; ///< "IP:port"
	const char *path;
	bool get;		    ///< GET; otherwise POST of a JSON body
	const char *const *headers; ///< additional "Name: value" strings, NULL-terminated, or NULL
	const char *body;
	size_t len;	     ///< length of the body, bytes
	uint32_t timeout_ms; ///< limit on the whole request, connecting included
};

/// Outcome of a request.
struct http_async_result {
	unsigned int status; ///< HTTP status, or 0 when no complete response arrived
	/// Connections on which the request or a part of it was sent. curl sends it again when a
	/// reused connection closes without a response, and the server may have executed each copy.
	unsigned int sends;
	bool refused; ///< nothing listens at the address: its host refused the last connection
	const char *body;
	size_t len; ///< length of the body, bytes
};

/// @param result valid during the callback
typedef void (*http_async_fn)(void *ctx, const struct http_async_result *result);

/// Creates a client that lives as long as the process.
///
/// @param host_connections maximum number of connections to one address
struct http_async_client *http_async_client_new(struct ev_loop *loop, uint32_t host_connections);

/// Sends a request. @p fn is called exactly once, from the event loop.
void http_async_client_send(struct http_async_client *client,
			    const struct http_async_request *request, http_async_fn fn, void *ctx);

#endif
