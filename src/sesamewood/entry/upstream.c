#include "entry/upstream.h"

#include "base/clock.h"
#include "base/http_status.h"

#include <curl/curl.h>
#include <string.h>
#include <strings.h>

#define MS_PER_S 1000.0
#define CONNECT_TIMEOUT_MS 500L
#define IDLE_HANDLES_MAX 256
#define CONNECTION_CACHE 512L
#define BUFFER_BYTES 16384L

struct upstream {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	uint32_t answer_max_bytes;
	const struct upstream_handlers *handlers;
	void *ctx;
	GHashTable *attempts; ///< struct attempt by request id
	GPtrArray *idle;      ///< CURL handles for reuse
};

struct attempt {
	struct upstream *upstream;
	uint64_t id;
	uint32_t number;
	CURL *easy;
	struct curl_slist *headers;
	struct upstream_answer *answer;
	bool framed; ///< the answer told where it ends
	bool too_large;
	bool head;
};

struct socket_watch {
	struct upstream *upstream;
	ev_io io;
};

void upstream_answer_free(struct upstream_answer *a)
{
	if (!a)
		return;
	g_ptr_array_unref(a->headers);
	g_byte_array_unref(a->body);
	g_free(a);
}

static struct upstream_answer *answer_new(void)
{
	struct upstream_answer *a = g_new0(struct upstream_answer, 1);

	a->headers = g_ptr_array_new_with_free_func(g_free);
	a->body = g_byte_array_new();
	return a;
}

static void attempt_free(struct attempt *a)
{
	struct upstream *u = a->upstream;

	curl_multi_remove_handle(u->multi, a->easy);
	if (u->idle->len < IDLE_HANDLES_MAX) {
		curl_easy_reset(a->easy);
		g_ptr_array_add(u->idle, a->easy);
	} else {
		curl_easy_cleanup(a->easy);
	}
	curl_slist_free_all(a->headers);
	upstream_answer_free(a->answer);
	g_free(a);
}

/* Headers. */

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or that the sender of a
/// message sets itself.
static bool is_hop_by_hop(const char *name, size_t len)
{
	static const char *const names[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"Proxy-Authenticate",
		"Proxy-Authorization",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Content-Length",
		"Expect",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		if (strlen(names[i]) == len && strncasecmp(names[i], name, len) == 0)
			return true;
	return false;
}

static void forward_header(void *ctx, const char *name, const char *value)
{
	struct attempt *a = ctx;
	g_autofree char *line = NULL;

	if (is_hop_by_hop(name, strlen(name)) ||
	    g_ascii_strncasecmp(name, "Sesamewood-", strlen("Sesamewood-")) == 0)
		return;
	line = *value ? g_strdup_printf("%s: %s", name, value) : g_strdup_printf("%s;", name);
	a->headers = curl_slist_append(a->headers, line);
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct attempt *a = ctx;
	size_t len = size * count;
	const char *colon = memchr(data, ':', len);

	if (len >= 5 && memcmp(data, "HTTP/", 5) == 0) {
		g_ptr_array_set_size(a->answer->headers, 0);
		a->framed = false;
		return len;
	}
	if (!colon)
		return len;
	if (g_ascii_strncasecmp(data, "Content-Length:", strlen("Content-Length:")) == 0 ||
	    g_ascii_strncasecmp(data, "Transfer-Encoding:", strlen("Transfer-Encoding:")) == 0)
		a->framed = true;
	if (!is_hop_by_hop(data, colon - data))
		g_ptr_array_add(a->answer->headers, g_strchomp(g_strndup(data, len)));
	return len;
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct attempt *a = ctx;
	size_t len = size * count;

	if (a->answer->body->len + len > a->upstream->answer_max_bytes) {
		a->too_large = true;
		return 0;
	}
	g_byte_array_append(a->answer->body, (const guint8 *)data, len);
	return len;
}

/* Completion. */

static enum verdict judge(const struct attempt *a, CURLcode code)
{
	long sent = 0;
	long status = 0;
	bool bodyless;

	curl_easy_getinfo(a->easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK)
		return sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
	bodyless = a->head || status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED;
	return a->framed || bodyless ? VERDICT_RAN : VERDICT_MAY_HAVE_RUN;
}

static void finish(struct attempt *a, CURLcode code)
{
	struct upstream *u = a->upstream;
	struct upstream_result result = {
		.verdict = judge(a, code),
		.timed_out = code == CURLE_OPERATION_TIMEDOUT,
	};
	long status = 0;
	uint64_t id = a->id;
	uint32_t number = a->number;

	if (result.verdict == VERDICT_RAN) {
		curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
		result.answer = g_steal_pointer(&a->answer);
		result.answer->status = status;
	}
	g_hash_table_remove(u->attempts, &a->id);
	attempt_free(a);
	u->handlers->on_done(u->ctx, id, number, &result);
}

static void check_completed(struct upstream *u)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(u->multi, &left))) {
		struct attempt *a;

		if (m->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, (char **)&a);
		finish(a, m->data.result);
	}
}

/* Event loop. */

static void on_socket_event(struct ev_loop *loop, ev_io *w, int revents)
{
	struct socket_watch *watch = w->data;
	struct upstream *u = watch->upstream;
	int flags = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		    (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);
	int running;

	(void)loop;
	curl_multi_socket_action(u->multi, w->fd, flags, &running);
	check_completed(u);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct upstream *u = w->data;
	int running;

	(void)loop;
	(void)revents;
	curl_multi_socket_action(u->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	check_completed(u);
}

static int set_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct upstream *u = ctx;

	(void)multi;
	ev_timer_stop(u->loop, &u->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&u->timer, timeout_ms / MS_PER_S, 0.);
		ev_timer_start(u->loop, &u->timer);
	}
	return 0;
}

static int set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	struct upstream *u = ctx;
	struct socket_watch *watch = socket_ctx;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch) {
			ev_io_stop(u->loop, &watch->io);
			g_free(watch);
			curl_multi_assign(u->multi, fd, NULL);
		}
		return 0;
	}
	if (!watch) {
		watch = g_new0(struct socket_watch, 1);
		watch->upstream = u;
		ev_io_init(&watch->io, on_socket_event, fd, events);
		watch->io.data = watch;
		curl_multi_assign(u->multi, fd, watch);
	} else {
		ev_io_stop(u->loop, &watch->io);
		ev_io_set(&watch->io, fd, events);
	}
	ev_io_start(u->loop, &watch->io);
	return 0;
}

struct upstream *upstream_new(struct ev_loop *loop, uint32_t answer_max_bytes,
			      uint32_t host_connections, const struct upstream_handlers *handlers,
			      void *ctx)
{
	struct upstream *u = g_new0(struct upstream, 1);

	curl_global_init(CURL_GLOBAL_NOTHING);
	*u = (struct upstream){
		.loop = loop,
		.multi = curl_multi_init(),
		.answer_max_bytes = answer_max_bytes,
		.handlers = handlers,
		.ctx = ctx,
		.attempts = g_hash_table_new(g_int64_hash, g_int64_equal),
		.idle = g_ptr_array_new(),
	};
	ev_init(&u->timer, on_timer);
	u->timer.data = u;
	curl_multi_setopt(u->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
	curl_multi_setopt(u->multi, CURLMOPT_SOCKETDATA, u);
	curl_multi_setopt(u->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(u->multi, CURLMOPT_TIMERDATA, u);
	curl_multi_setopt(u->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long)host_connections);
	curl_multi_setopt(u->multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE);
	return u;
}

/* Starting. */

static int before_send(void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	const struct attempt *a = ctx;
	const struct upstream *u = a->upstream;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	return u->handlers->may_send(u->ctx, a->id, a->number) ? CURL_PREREQFUNC_OK
							       : CURL_PREREQFUNC_ABORT;
}

static void set_method(struct attempt *a, const struct http_request *from)
{
	const GByteArray *body = http_body(from);
	const char *method = http_method(from);

	a->head = g_str_equal(method, "HEAD");
	if (a->head) {
		curl_easy_setopt(a->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (body->len || g_str_equal(method, "POST") || g_str_equal(method, "PUT")) {
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDSIZE, (long)body->len);
		curl_easy_setopt(a->easy, CURLOPT_POSTFIELDS,
				 body->len ? (const char *)body->data : "");
	}
	curl_easy_setopt(a->easy, CURLOPT_CUSTOMREQUEST, method);
}

static void set_headers(struct attempt *a, const struct upstream_request *request)
{
	g_autofree char *pool = g_strconcat("Sesamewood-Pool: ", request->pool, NULL);
	g_autofree char *epoch =
		g_strdup_printf("Sesamewood-Epoch: %" G_GUINT64_FORMAT, request->epoch);

	http_each_header(request->from, forward_header, a);
	a->headers = curl_slist_append(a->headers, "Expect:");
	a->headers = curl_slist_append(a->headers, "Accept:");
	if (!http_header(request->from, "Content-Type"))
		a->headers = curl_slist_append(a->headers, "Content-Type:");
	a->headers = curl_slist_append(a->headers, pool);
	a->headers = curl_slist_append(a->headers, epoch);
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
}

static CURL *take_handle(struct upstream *u)
{
	if (!u->idle->len)
		return curl_easy_init();
	return g_ptr_array_remove_index_fast(u->idle, u->idle->len - 1);
}

void upstream_start(struct upstream *u, const struct upstream_request *request)
{
	struct attempt *a = g_new0(struct attempt, 1);
	g_autofree char *url =
		g_strconcat("http://", request->address, http_target(request->from), NULL);

	*a = (struct attempt){
		.upstream = u,
		.id = request->id,
		.number = request->attempt,
		.easy = take_handle(u),
		.answer = answer_new(),
	};
	curl_easy_setopt(a->easy, CURLOPT_URL, url);
	curl_easy_setopt(a->easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(a->easy, CURLOPT_PRIVATE, a);
	curl_easy_setopt(a->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(a->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(a->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(a->easy, CURLOPT_BUFFERSIZE, BUFFER_BYTES);
	curl_easy_setopt(a->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(a->easy, CURLOPT_TIMEOUT_MS, (long)MAX(request->timeout_ms, 1));
	curl_easy_setopt(a->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(a->easy, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(a->easy, CURLOPT_HEADERDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_PREREQFUNCTION, before_send);
	curl_easy_setopt(a->easy, CURLOPT_PREREQDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, request->fresh ? 1L : 0L);
	set_method(a, request->from);
	set_headers(a, request);
	g_hash_table_insert(u->attempts, &a->id, a);
	curl_multi_add_handle(u->multi, a->easy);
}

void upstream_abort(struct upstream *u, uint64_t id, uint32_t attempt)
{
	struct attempt *a = g_hash_table_lookup(u->attempts, &id);

	if (!a || a->number != attempt)
		return;
	g_hash_table_remove(u->attempts, &a->id);
	attempt_free(a);
}
