#ifndef SESAMEWOOD_BASE_HTTP_SERVER_H
#define SESAMEWOOD_BASE_HTTP_SERVER_H

/// @file
/// HTTP/1.1 server: libmicrohttpd on a libev loop, with bounded bodies and late answers.

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct http_server;

struct http_limits {
	uint32_t head_bytes; ///< memory for one connection's request head
	uint32_t body_bytes;
	uint32_t connections;
	uint32_t idle_timeout_s; ///< an idle connection is closed after this
};

/// A request whose body has arrived as a whole.
struct http_request;

/// Headers of an answer.
struct http_header {
	const char *name;
	const char *value;
};

struct http_handlers {
	/// A whole request. Must be answered once by http_reply(), now or later.
	void (*on_request)(void *ctx, struct http_request *req);
	/// The client went away before the answer. The request must still be answered.
	void (*on_disconnect)(void *ctx, struct http_request *req);
};

/// Listens on "IP:port".
///
/// @return NULL when it can't listen
struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    const struct http_limits *limits,
				    const struct http_handlers *handlers, void *ctx);

/// Stops accepting connections; answers from now on close theirs.
void http_server_drain(struct http_server *s);

/// Goes on accepting connections, but closes each after its next answer.
void http_server_close_after_replies(struct http_server *s);

/// @return requests that are being received or answered
unsigned int http_server_active(const struct http_server *s);

/// Closes everything.
void http_server_free(struct http_server *s);

const char *http_method(const struct http_request *req);
/// @return path and query as sent
const char *http_target(const struct http_request *req);
/// @return value of the first header of that name, or NULL
const char *http_header(const struct http_request *req, const char *name);
/// Calls @p fn for every header.
void http_foreach_header(const struct http_request *req,
			 void (*fn)(void *ctx, const char *name, const char *value), void *ctx);
const GByteArray *http_body(const struct http_request *req);
/// @return the body as a new string, or NULL when it contains a NUL byte
char *http_body_text(const struct http_request *req);

/// A place for the handler's own data.
void http_request_set_data(struct http_request *req, void *data);
void *http_request_data(const struct http_request *req);

/// Sends the answer; the request is no longer valid afterwards.
///
/// @param headers ends with a NULL name; may be NULL
void http_reply(struct http_request *req, unsigned int status, const struct http_header *headers,
		const void *body, size_t len);

/// Sends an application/problem+json answer.
///
/// @param verdict value of the Sesamewood-Verdict header, or NULL
void http_reply_problem(struct http_request *req, unsigned int status, const char *title,
			const char *verdict);

#endif
