#ifndef SESAMEWOOD_BASE_HTTP_ASYNC_CLIENT_H
#define SESAMEWOOD_BASE_HTTP_ASYNC_CLIENT_H

/// @file
/// Many HTTP requests at a time over kept connections, on an event loop.

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_async_client;

struct http_async_request {
	const char *address; ///< "IP:port"
	const char *path;
	bool get;		    ///< GET, else POST of a JSON body
	const char *const *headers; ///< further "Name: value" strings, NULL-terminated, or NULL
	const char *body;
	size_t len;
	uint32_t timeout_ms;
};

/// Outcome of a request. status 0: no answer.
struct http_async_result {
	unsigned int status;
	bool sent; ///< some of the request may have reached the other side
	const char *body;
	size_t len;
};

typedef void (*http_async_fn)(void *ctx, const struct http_async_result *result);

/// @param host_connections connections kept to one address at most
struct http_async_client *http_async_client_new(struct ev_loop *loop, uint32_t host_connections);

/// Sends a request; copies what it needs. @p fn is called once, from the event loop.
void http_async_client_send(struct http_async_client *c, const struct http_async_request *call,
			    http_async_fn fn, void *ctx);

#endif
