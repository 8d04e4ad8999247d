#include "base/http_server.h"
#include "base/http_status.h"

#include "base/listener.h"
#include "base/work.h"

#include <errno.h>
#include <json-glib/json-glib.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/// Period at which waiting requests get a watcher that detects a client's disconnect. Most requests
/// are answered sooner and never need one.
#define DISCONNECT_SCAN_S 0.1
#define BODY_INITIAL_BYTES 64

struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct http_limits limits;
	const struct http_handlers *handlers;
	void *ctx;
	ev_io epoll_watcher;
	ev_prepare before_wait;
	ev_timer timer;
	ev_timer disconnect_scan;
	GQueue waiting; ///< suspended requests, the longest waiting first
	unsigned int active;
	bool resumed; ///< a connection was resumed: MHD must run before the loop waits
	bool draining;
	bool closes_after_replies; ///< see http_server_close_after_replies()
};

struct http_request {
	struct http_server *server;
	struct MHD_Connection *connection;
	char *method;
	char *target;
	GByteArray *body;
	void *data;
	struct MHD_Response *response;
	unsigned int status;
	GList link;	      ///< in server->waiting while suspended
	ev_io client_watcher; ///< detects that the client has disconnected
	bool too_large;
	bool dispatched; ///< passed to handlers->on_request
	bool suspended;	 ///< MHD does not serve the connection until the reply
	bool watched;	 ///< client_watcher is active
};

/// Called by MHD when a request line has arrived. The result is the request's state pointer.
static void *on_request_line(void *ctx, const char *target, struct MHD_Connection *connection)
{
	struct http_request *req = g_new0(struct http_request, 1);

	req->server = ctx;
	req->connection = connection;
	req->target = g_strdup(target);
	req->link.data = req;
	return req;
}

static void stop_client_watcher(struct http_request *req)
{
	if (req->watched)
		ev_io_stop(req->server->loop, &req->client_watcher);
	req->watched = false;
}

/// Called by MHD when a request has ended in any way. Frees it.
static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_request *req = *state;

	(void)ctx;
	(void)connection;
	(void)code;
	if (!req)
		return;
	*state = NULL;
	stop_client_watcher(req);
	if (req->method)
		req->server->active--;
	if (req->response)
		MHD_destroy_response(req->response);
	if (req->body)
		g_byte_array_unref(req->body);
	g_free(req->method);
	g_free(req->target);
	g_free(req);
}

static bool declares_oversized_body(const struct http_request *req)
{
	const char *length = http_header(req, "Content-Length");

	return length && g_ascii_strtoull(length, NULL, 10) > req->server->limits.body_bytes;
}

static void suspend(struct http_request *req)
{
	req->suspended = true;
	g_queue_push_tail_link(&req->server->waiting, &req->link);
	MHD_suspend_connection(req->connection);
}

static enum MHD_Result send_response(struct http_request *req)
{
	struct MHD_Response *response = g_steal_pointer(&req->response);
	enum MHD_Result result;

	if (req->server->draining || req->server->closes_after_replies)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(req->connection, req->status, response);
	MHD_destroy_response(response);
	return result;
}

/// Called by MHD once for the head, once for each part of the body and again at its end.
static enum MHD_Result on_request_data(void *ctx, struct MHD_Connection *connection,
				       const char *url, const char *method, const char *version,
				       const char *data, size_t *len, void **state)
{
	struct http_request *req = *state;
	struct http_server *s = ctx;

	(void)connection;
	(void)url;
	(void)version;
	if (!req->method) {
		req->method = g_strdup(method);
		s->active++;
		if (!declares_oversized_body(req))
			return MHD_YES;
		http_reply_problem(req, HTTP_CONTENT_TOO_LARGE, "the body is too large", "not-run");
		return send_response(req);
	}
	if (*len) {
		if (!req->body)
			req->body = g_byte_array_sized_new(MAX(*len, BODY_INITIAL_BYTES));
		req->too_large |= req->body->len + *len > s->limits.body_bytes;
		if (!req->too_large)
			g_byte_array_append(req->body, (const guint8 *)data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (!req->dispatched) {
		req->dispatched = true;
		if (req->too_large)
			http_reply_problem(req, HTTP_CONTENT_TOO_LARGE, "the body is too large",
					   "not-run");
		else
			s->handlers->on_request(s->ctx, req);
	}
	if (req->response)
		return send_response(req);
	suspend(req);
	return MHD_YES;
}

static void run_daemon(struct http_server *s)
{
	enum work_kind before = work_enter(WORK_HTTP);

	do {
		s->resumed = false;
		MHD_run(s->daemon);
	} while (s->resumed);
	work_leave(before);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

/// Runs MHD for the requests that were answered in this iteration of the loop, and sets the timer
/// to MHD's next timeout.
static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct http_server *s = w->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	(void)revents;
	if (s->resumed)
		run_daemon(s);
	if (MHD_get_timeout(s->daemon, &timeout_ms) != MHD_YES) {
		ev_timer_stop(loop, &s->timer);
		return;
	}
	s->timer.repeat = MAX(timeout_ms / 1000.0, 0.0001);
	ev_timer_again(loop, &s->timer);
}

/* Detection of clients that disconnect while their request waits. */

static void on_client_event(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_request *req = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(req->server->loop, &req->client_watcher);
	if (n <= 0 && req->server->handlers->on_disconnect)
		req->server->handlers->on_disconnect(req->server->ctx, req);
}

/// Starts watching the connections of all requests that have begun to wait since the last scan.
static void on_disconnect_scan(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_server *s = w->data;

	(void)revents;
	for (GList *l = s->waiting.tail; l; l = l->prev) {
		struct http_request *req = l->data;
		const union MHD_ConnectionInfo *info;

		if (req->watched)
			break;
		info = MHD_get_connection_info(req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (!info)
			continue;
		ev_io_init(&req->client_watcher, on_client_event, info->connect_fd, EV_READ);
		req->client_watcher.data = req;
		req->watched = true;
		ev_io_start(loop, &req->client_watcher);
	}
}

struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    const struct http_limits *limits,
				    const struct http_handlers *handlers, void *ctx)
{
	return http_server_new_on_listener(loop, listener_open(address, 0), limits, handlers, ctx);
}

struct http_server *http_server_new_on_listener(struct ev_loop *loop, int fd,
						const struct http_limits *limits,
						const struct http_handlers *handlers, void *ctx)
{
	struct http_server *s;
	const union MHD_DaemonInfo *info;

	if (fd < 0)
		return NULL;
	s = g_new0(struct http_server, 1);
	*s = (struct http_server){
		.loop = loop,
		.limits = *limits,
		.handlers = handlers,
		.ctx = ctx,
	};
	g_queue_init(&s->waiting);
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request_data, s,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, on_request_line, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)limits->head_bytes, MHD_OPTION_CONNECTION_LIMIT, limits->connections,
		MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_timeout_s, MHD_OPTION_END);
	if (!s->daemon) {
		int error = errno;

		close(fd);
		g_free(s);
		errno = error;
		return NULL;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&s->epoll_watcher, on_readable, info->epoll_fd, EV_READ);
	ev_prepare_init(&s->before_wait, on_before_wait);
	ev_init(&s->timer, on_timer);
	ev_timer_init(&s->disconnect_scan, on_disconnect_scan, DISCONNECT_SCAN_S,
		      DISCONNECT_SCAN_S);
	s->epoll_watcher.data = s;
	s->before_wait.data = s;
	s->timer.data = s;
	s->disconnect_scan.data = s;
	ev_io_start(loop, &s->epoll_watcher);
	ev_prepare_start(loop, &s->before_wait);
	ev_timer_start(loop, &s->disconnect_scan);
	return s;
}

void http_server_drain(struct http_server *s)
{
	if (s->draining)
		return;
	s->draining = true;
	MHD_quiesce_daemon(s->daemon);
}

void http_server_close_after_replies(struct http_server *s)
{
	s->closes_after_replies = true;
}

unsigned int http_server_active(const struct http_server *s)
{
	return s->active;
}

void http_server_free(struct http_server *s)
{
	ev_io_stop(s->loop, &s->epoll_watcher);
	ev_prepare_stop(s->loop, &s->before_wait);
	ev_timer_stop(s->loop, &s->timer);
	ev_timer_stop(s->loop, &s->disconnect_scan);
	MHD_stop_daemon(s->daemon);
	g_free(s);
}

const char *http_method(const struct http_request *req)
{
	return req->method;
}

const char *http_target(const struct http_request *req)
{
	return req->target;
}

const char *http_header(const struct http_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name);
}

struct header_visit {
	void (*fn)(void *ctx, const char *name, const char *value);
	void *ctx;
};

static enum MHD_Result visit_header(void *p, enum MHD_ValueKind kind, const char *name,
				    const char *value)
{
	struct header_visit *visit = p;

	(void)kind;
	visit->fn(visit->ctx, name, value ? value : "");
	return MHD_YES;
}

void http_foreach_header(const struct http_request *req,
			 void (*fn)(void *ctx, const char *name, const char *value), void *ctx)
{
	struct header_visit visit = {.fn = fn, .ctx = ctx};

	MHD_get_connection_values(req->connection, MHD_HEADER_KIND, visit_header, &visit);
}

const GByteArray *http_body(const struct http_request *req)
{
	static GByteArray empty;

	return req->body ? req->body : &empty;
}

char *http_body_text(const struct http_request *req)
{
	const GByteArray *body = http_body(req);

	if (!body->len)
		return g_strdup("");
	if (memchr(body->data, 0, body->len))
		return NULL;
	return g_strndup((const char *)body->data, body->len);
}

void http_request_set_data(struct http_request *req, void *data)
{
	req->data = data;
}

void *http_request_data(const struct http_request *req)
{
	return req->data;
}

void http_reply(struct http_request *req, unsigned int status, const struct http_header *headers,
		const void *body, size_t len)
{
	req->response = MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
	req->status = status;
	for (const struct http_header *h = headers; h && h->name; h++)
		MHD_add_response_header(req->response, h->name, h->value);
	if (!req->suspended)
		return;
	stop_client_watcher(req);
	req->suspended = false;
	g_queue_unlink(&req->server->waiting, &req->link);
	MHD_resume_connection(req->connection);
	req->server->resumed = true;
}

void http_reply_problem(struct http_request *req, unsigned int status, const char *title,
			const char *verdict)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;
	gsize len;
	const struct http_header headers[] = {
		{"Content-Type", "application/problem+json"},
		{verdict ? "Sesamewood-Verdict" : NULL, verdict},
		{NULL, NULL},
	};

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "title");
	json_builder_add_string_value(b, title);
	json_builder_set_member_name(b, "status");
	json_builder_add_int_value(b, status);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, &len);
	http_reply(req, status, headers, text, len);
}
