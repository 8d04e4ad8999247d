#ifndef SESAMEWOOD_ENTRY_UPSTREAM_H
#define SESAMEWOOD_ENTRY_UPSTREAM_H

/// @file
/// HTTP client for endpoints: libcurl's multi interface on a libev loop. Buffers each response
/// until it is complete.

#include "base/http_server.h"
#include "base/verdict.h"

#include <ev.h>

struct upstream;

/// A complete response of an endpoint.
struct upstream_response {
	unsigned int status;
	GPtrArray *headers; ///< of char *, "Name: value", end-to-end headers only
	GByteArray *body;
};

struct upstream_result {
	enum verdict verdict;
	bool timed_out; ///< the attempt reached its time limit
	/// With VERDICT_RAN, else NULL. on_done takes ownership.
	struct upstream_response *response;
};

struct upstream_request {
	uint64_t id;
	uint32_t attempt;
	const char *address; ///< IP:port
	const char *pool;
	uint64_t epoch;
	uint32_t timeout_ms;
	/// Uses no kept-alive connection: curl resends a request when such a connection fails.
	bool new_connection;
	/// The caller's request, which is forwarded. Must outlive the attempt.
	struct http_request *source;
};

struct upstream_handlers {
	/// Called when the connection is open, right before the request is sent. If it returns
	/// false, the request isn't sent and the attempt ends.
	bool (*may_send)(void *ctx, uint64_t id, uint32_t attempt);
	/// Called from the event loop, once for each attempt that was not aborted.
	void (*on_done)(void *ctx, uint64_t id, uint32_t attempt, struct upstream_result *result);
};

/// @param response_max_bytes limit for a response body; a longer one ends with
/// VERDICT_MAY_HAVE_RUN
/// @param responses_max_bytes memory of all incomplete responses; over it, the longest one ends
/// like one that is too long
/// @param host_connections limit of connections to one address
/// @param handlers must outlive the client
struct upstream *upstream_new(struct ev_loop *loop, uint32_t response_max_bytes,
			      uint64_t responses_max_bytes, uint32_t host_connections,
			      const struct upstream_handlers *handlers, void *ctx);

/// Starts an attempt. At most one per request id at a time.
void upstream_start(struct upstream *u, const struct upstream_request *request);

/// Aborts an attempt without calling on_done. Ignores an attempt that isn't the current one.
void upstream_abort(struct upstream *u, uint64_t id, uint32_t attempt);

/// Accepts NULL.
void upstream_response_free(struct upstream_response *response);

#endif
