#include "entry/upstream.h"

#include "base/clock.h"
#include "base/curl_loop.h"
#include "base/http_status.h"
#include "base/input_budget.h"
#include "base/log.h"
#include "base/metrics.h"

#include <curl/curl.h>
#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_MS 500L
#define CONNECTION_CACHE 512L
#define BUFFER_BYTES 16384L
#define LOG_INTERVAL_MS 1000
/// Memory of a response's headers, those of interim responses included. Callers' heads end at 16 or
/// 32 KiB; an endpoint's may be some times as long.
#define HEAD_MAX_BYTES ((uint64_t)256 * 1024)
#define HEADER_STATE_BYTES 128 /* of a header besides its text: curl's and our entry for it */

struct upstream {
	struct curl_loop *curl;
	uint32_t response_max_bytes;
	const struct upstream_handlers *handlers;
	void *ctx;
	GHashTable *attempts;	    ///< struct attempt by request id
	struct input_budget budget; ///< of all responses that are not complete
	clock_ms_t logged_at;	    ///< last report of a dropped response
	struct metric *held_bytes;
	struct metric *dropped;
};

struct attempt {
	struct upstream *upstream;
	uint64_t id;
	uint32_t number;
	CURL *easy;
	struct curl_slist *headers;
	struct upstream_response *response;
	struct input_hold hold;
	uint64_t head_bytes; ///< memory of the headers
	bool sent;	     ///< sent at least once; curl may resend on another connection
	bool has_framing;    ///< Content-Length or chunks, which reveal a truncated response
	bool too_large;
	bool is_head; ///< the method is HEAD
};

void upstream_response_free(struct upstream_response *r)
{
	if (!r)
		return;
	g_ptr_array_unref(r->headers);
	g_byte_array_unref(r->body);
	g_free(r);
}

static struct upstream_response *response_new(void)
{
	struct upstream_response *r = g_new0(struct upstream_response, 1);

	r->headers = g_ptr_array_new_with_free_func(g_free);
	r->body = g_byte_array_new();
	return r;
}

static void attempt_free(struct attempt *a)
{
	struct upstream *u = a->upstream;

	input_budget_remove(&u->budget, &a->hold);
	metrics_set(u->held_bytes, u->budget.held);
	curl_loop_release(u->curl, a->easy);
	curl_slist_free_all(a->headers);
	upstream_response_free(a->response);
	g_free(a);
}

/// Returns true if a header isn't forwarded: it concerns one connection only (RFC 9110,
/// section 7.6.1), or each sender of a message sets it itself.
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

/// Adds a caller's header to the attempt. Drops Sesamewood- headers, so that a caller can't forge
/// the pool or the epoch.
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

/// Drops a response. Its transfer fails with its next part.
static void drop_response(struct attempt *a)
{
	struct upstream *u = a->upstream;
	clock_ms_t now = clock_monotonic();

	a->too_large = true;
	upstream_response_free(a->response);
	a->response = response_new();
	input_budget_set(&u->budget, &a->hold, 0);
	metrics_add(u->dropped, 1);
	if (u->logged_at && now - u->logged_at < LOG_INTERVAL_MS)
		return;
	u->logged_at = now;
	log_warning("dropped a response: its head, or the incomplete responses of all endpoints, "
		    "are too long",
		    "COUNT", log_number(u->dropped->value));
}

/// Counts a response, and drops the longest ones while all together are too long.
static void hold_bytes(struct attempt *a)
{
	struct upstream *u = a->upstream;
	guint len = a->response->body->len;
	struct input_hold *victim;

	/* The array doubles when it grows. */
	input_budget_set(&u->budget, &a->hold,
			 a->head_bytes + (len ? (uint64_t)1 << g_bit_storage(len - 1) : 0));
	while ((victim = input_budget_choose(&u->budget)))
		drop_response(victim->owner);
	metrics_set(u->held_bytes, u->budget.held);
}

/// Collects a response header. A status line discards the headers before it, since an interim (1xx)
/// response may precede the final one.
static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct attempt *a = ctx;
	size_t len = size * count;
	const char *colon = memchr(data, ':', len);

	a->head_bytes += len + HEADER_STATE_BYTES;
	if (a->head_bytes > HEAD_MAX_BYTES)
		drop_response(a);
	else
		hold_bytes(a);
	if (a->too_large)
		return 0;
	if (len >= 5 && memcmp(data, "HTTP/", 5) == 0) {
		g_ptr_array_set_size(a->response->headers, 0);
		a->has_framing = false;
		return len;
	}
	if (!colon)
		return len;
	if (g_ascii_strncasecmp(data, "Content-Length:", strlen("Content-Length:")) == 0 ||
	    g_ascii_strncasecmp(data, "Transfer-Encoding:", strlen("Transfer-Encoding:")) == 0)
		a->has_framing = true;
	if (!is_hop_by_hop(data, colon - data))
		g_ptr_array_add(a->response->headers, g_strchomp(g_strndup(data, len)));
	return len;
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct attempt *a = ctx;
	struct upstream *u = a->upstream;
	size_t len = size * count;

	if (!len)
		return 0;
	if (a->too_large || a->response->body->len + len > u->response_max_bytes) {
		a->too_large = true;
		return 0;
	}
	g_byte_array_append(a->response->body, (const guint8 *)data, len);
	hold_bytes(a);
	return a->too_large ? 0 : len;
}

/// Returns the verdict on an attempt whose transfer has ended. A response without framing may be
/// incomplete, because its end looks the same as a broken connection.
static enum verdict classify_outcome(const struct attempt *a, CURLcode code)
{
	long status = 0;
	bool bodyless;

	curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
	if (code != CURLE_OK || a->too_large)
		return a->sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;
	bodyless = a->is_head || status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED;
	return a->has_framing || bodyless ? VERDICT_RAN : VERDICT_MAY_HAVE_RUN;
}

static void finish_attempt(struct attempt *a, CURLcode code)
{
	struct upstream *u = a->upstream;
	struct upstream_result result = {
		.verdict = classify_outcome(a, code),
		.timed_out = code == CURLE_OPERATION_TIMEDOUT,
	};
	long status = 0;
	uint64_t id = a->id;
	uint32_t number = a->number;

	if (result.verdict == VERDICT_RAN) {
		curl_easy_getinfo(a->easy, CURLINFO_RESPONSE_CODE, &status);
		result.response = g_steal_pointer(&a->response);
		result.response->status = status;
	}
	g_hash_table_remove(u->attempts, &a->id);
	attempt_free(a);
	u->handlers->on_done(u->ctx, id, number, &result);
}

static void on_transfer_done(void *ctx, CURL *easy, CURLcode code)
{
	struct attempt *a;

	(void)ctx;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&a);
	finish_attempt(a, code);
}

struct upstream *upstream_new(struct ev_loop *loop, uint32_t response_max_bytes,
			      uint64_t responses_max_bytes, uint32_t host_connections,
			      const struct upstream_handlers *handlers, void *ctx)
{
	struct upstream *u = g_new0(struct upstream, 1);

	*u = (struct upstream){
		.curl = curl_loop_new(loop, on_transfer_done, u),
		.response_max_bytes = response_max_bytes,
		.handlers = handlers,
		.ctx = ctx,
		.attempts = g_hash_table_new(g_int64_hash, g_int64_equal),
	};
	input_budget_init(&u->budget, responses_max_bytes);
	u->held_bytes = metrics_get(METRIC_GAUGE, "sesamewood_entry_answers_held_bytes", "",
				    "memory of incomplete responses of endpoints");
	u->dropped = metrics_get(METRIC_COUNTER, "sesamewood_entry_answers_dropped_total", "",
				 "responses dropped because all of them were too long");
	curl_multi_setopt(curl_loop_multi(u->curl), CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_connections);
	curl_multi_setopt(curl_loop_multi(u->curl), CURLMOPT_MAXCONNECTS, CONNECTION_CACHE);
	return u;
}

/// libcurl calls this when the connection is open, right before it sends the request.
static int on_before_send(void *ctx, char *remote_ip, char *local_ip, int remote_port,
			  int local_port)
{
	struct attempt *a = ctx;
	const struct upstream *u = a->upstream;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (!u->handlers->may_send(u->ctx, a->id, a->number))
		return CURL_PREREQFUNC_ABORT;
	a->sent = true;
	return CURL_PREREQFUNC_OK;
}

static void set_method(struct attempt *a, const struct http_request *source)
{
	const GByteArray *body = http_body(source);
	const char *method = http_method(source);

	a->is_head = g_str_equal(method, "HEAD");
	if (a->is_head) {
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

	http_foreach_header(request->source, forward_header, a);
	a->headers = curl_slist_append(a->headers, "Expect:");
	a->headers = curl_slist_append(a->headers, "Accept:");
	if (!http_header(request->source, "Content-Type"))
		a->headers = curl_slist_append(a->headers, "Content-Type:");
	a->headers = curl_slist_append(a->headers, pool);
	a->headers = curl_slist_append(a->headers, epoch);
	curl_easy_setopt(a->easy, CURLOPT_HTTPHEADER, a->headers);
}

void upstream_start(struct upstream *u, const struct upstream_request *request)
{
	struct attempt *a = g_new0(struct attempt, 1);
	g_autofree char *url =
		g_strconcat("http://", request->address, http_target(request->source), NULL);

	*a = (struct attempt){
		.upstream = u,
		.id = request->id,
		.number = request->attempt,
		.easy = curl_loop_acquire(u->curl),
		.response = response_new(),
	};
	input_budget_add(&u->budget, &a->hold, 0, a);
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
	curl_easy_setopt(a->easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(a->easy, CURLOPT_PREREQDATA, a);
	curl_easy_setopt(a->easy, CURLOPT_FRESH_CONNECT, request->new_connection ? 1L : 0L);
	set_method(a, request->source);
	set_headers(a, request);
	g_hash_table_insert(u->attempts, &a->id, a);
	curl_multi_add_handle(curl_loop_multi(u->curl), a->easy);
}

void upstream_abort(struct upstream *u, uint64_t id, uint32_t attempt)
{
	struct attempt *a = g_hash_table_lookup(u->attempts, &id);

	if (!a || a->number != attempt)
		return;
	g_hash_table_remove(u->attempts, &a->id);
	attempt_free(a);
}
