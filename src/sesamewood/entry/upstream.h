#ifndef SESAMEWOOD_ENTRY_UPSTREAM_H
#define SESAMEWOOD_ENTRY_UPSTREAM_H

/// @file
/// Requests to endpoints: libcurl's multi interface on a libev loop. Answers are held until they
/// are complete.

#include "base/http_server.h"
#include "base/verdict.h"

#include <ev.h>

struct upstream;

/// A complete answer of an endpoint.
struct upstream_response {
	unsigned int status;
	GPtrArray *headers; ///< of char *, "Name: value", end-to-end headers only
	GByteArray *body;
};

struct upstream_result {
	enum verdict verdict;
	bool timed_out;
	struct upstream_response *answer; ///< only with VERDICT_RAN; owned by the callback
};

struct upstream_request {
	uint64_t id;
	uint32_t attempt;
	const char *address; ///< IP:port
	const char *pool;
	uint64_t epoch;
	uint32_t timeout_ms;
	bool fresh;		   ///< uses a new connection, so that nothing is sent twice
	struct http_request *from; ///< method, target, headers and body; outlives the attempt
};

struct upstream_handlers {
	/// Last check before the request is sent.
	bool (*may_send)(void *ctx, uint64_t id, uint32_t attempt);
	/// Called from the event loop, once per attempt that was not aborted.
	void (*on_done)(void *ctx, uint64_t id, uint32_t attempt, struct upstream_result *result);
};

struct upstream *upstream_new(struct ev_loop *loop, uint32_t response_max_bytes,
			      uint32_t host_connections, const struct upstream_handlers *handlers,
			      void *ctx);

void upstream_start(struct upstream *u, const struct upstream_request *request);

/// Ends an attempt without a callback.
void upstream_abort(struct upstream *u, uint64_t id, uint32_t attempt);

void upstream_response_free(struct upstream_response *answer);

#endif
