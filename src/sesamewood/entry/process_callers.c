#include "entry/process_internal.h"

#include "base/codec.h"
#include "base/http_status.h"
#include "entry/endpoint_heartbeat.h"

#include <string.h>
#include <xxhash.h>

#define ANNOUNCE_TARGET "/sesamewood/v1/announce"
#define HEALTH_TARGET "/sesamewood/v1/healthz"

static const char *lookup_header(const void *ctx, const char *name)
{
	return http_header(ctx, name);
}

/// Shortens an Idempotency-Key to a fixed size, for claims and the response cache.
static void hash_key(const char *text, sw_key key)
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(&canonical, XXH3_128bits(text, strlen(text)));
	memcpy(key, canonical.digest, SW_KEY_BYTES);
}

static void on_request(struct process *p, struct http_request *req)
{
	struct exchange *x = g_new0(struct exchange, 1);
	struct entry_event event = {.type = ENTRY_EVENT_REQUEST};
	const char *key = http_header(req, "Idempotency-Key");
	const char *host = http_header(req, "Host");
	const GByteArray *body = http_body(req);

	*x = (struct exchange){
		.id = ++p->next_id,
		.http = req,
		.arrived_at = clock_monotonic(),
		.has_key = key && *key,
	};
	if (x->has_key) {
		hash_key(key, x->key);
		x->digest = XXH64(body->data, body->len,
				  XXH64(http_target(req), strlen(http_target(req)), 0));
	}
	http_request_set_data(req, x);
	g_hash_table_insert(p->exchanges, &x->id, x);
	event.u.request.id = x->id;
	event.u.request.method = http_method(req);
	event.u.request.host = host ? host : "";
	event.u.request.path = http_target(req);
	event.u.request.header = lookup_header;
	event.u.request.header_ctx = req;
	event.u.request.has_key = x->has_key;
	event.u.request.digest = x->digest;
	memcpy(event.u.request.key, x->key, SW_KEY_BYTES);
	process_step(p, &event);
}

static void on_heartbeat(struct process *p, struct http_request *req)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	const GByteArray *body = http_body(req);
	struct entry_event event = {.type = ENTRY_EVENT_HEARTBEAT};
	sw_heartbeat hb;

	if (!endpoint_heartbeat_parse(body->len ? (const char *)body->data : "", body->len, &hb,
				      errors)) {
		g_autofree char *text = NULL;

		g_ptr_array_add(errors, NULL);
		text = g_strjoinv("; ", (char **)errors->pdata);
		http_reply_problem(req, HTTP_BAD_REQUEST, text, NULL);
	} else {
		event.u.heartbeat.token = process_add_pending_call(p, req);
		event.u.heartbeat.endpoint_heartbeat = &hb;
		process_step(p, &event);
	}
	codec_free(CODEC_PROC(sw_heartbeat), &hb);
}

/// Returns true if a balancer may send callers to this entry.
static bool is_healthy(const struct process *p)
{
	return !p->draining && entry_has_lease(p->entry, clock_monotonic());
}

static void reply_health(const struct process *p, struct http_request *req)
{
	bool healthy = is_healthy(p);
	const char *text = healthy ? "ok\n" : "not ready\n";

	http_reply(req, healthy ? HTTP_OK : HTTP_UNAVAILABLE, NULL, text, strlen(text));
}

static void on_caller_request(void *ctx, struct http_request *req)
{
	if (g_str_equal(http_target(req), ANNOUNCE_TARGET) && g_str_equal(http_method(req), "POST"))
		on_heartbeat(ctx, req);
	else if (g_str_equal(http_target(req), HEALTH_TARGET))
		reply_health(ctx, req);
	else
		on_request(ctx, req);
}

/// Cancels the request of a caller that closed its connection.
static void on_caller_disconnect(void *ctx, struct http_request *req)
{
	struct process *p = ctx;
	struct exchange *x = http_request_data(req);
	struct entry_event event = {.type = ENTRY_EVENT_CANCEL};

	if (!x || !process_find_exchange(p, x->id))
		return;
	event.u.cancel.id = x->id;
	process_step(p, &event);
	if (process_find_exchange(p, event.u.cancel.id))
		process_send_problem(p, x, HTTP_BAD_REQUEST, "the caller went away",
				     VERDICT_MAY_HAVE_RUN);
}

const struct http_handlers process_caller_handlers = {
	.on_request = on_caller_request,
	.on_disconnect = on_caller_disconnect,
};

static void set_gauge(const char *name, const char *help, uint64_t value)
{
	metrics_set(metrics_get(METRIC_GAUGE, name, "", help), value);
}

static void reply_metrics(const struct process *p, struct http_request *req)
{
	const struct entry *e = p->entry;
	clock_ms_t left = e->lease_until - clock_monotonic();
	g_autofree char *text = NULL;

	set_gauge("sesamewood_entry_lease_left_ms", "time left of the session lease, ms",
		  left > 0 ? left : 0);
	set_gauge("sesamewood_entry_routes_version", "version of the routes table in force",
		  e->routes_version);
	set_gauge("sesamewood_entry_pools_version", "version of the pools table in force",
		  e->pools_version);
	set_gauge("sesamewood_entry_open_requests", "requests claimed, queued or running",
		  entry_open_requests(e));
	text = metrics_text();
	http_reply(req, HTTP_OK, NULL, text, strlen(text));
}

static void on_admin_request(void *ctx, struct http_request *req)
{
	if (g_str_equal(http_target(req), "/healthz"))
		reply_health(ctx, req);
	else if (g_str_equal(http_target(req), "/metrics"))
		reply_metrics(ctx, req);
	else
		http_reply_problem(req, HTTP_NOT_FOUND, "no such resource", NULL);
}

const struct http_handlers process_admin_handlers = {.on_request = on_admin_request};
