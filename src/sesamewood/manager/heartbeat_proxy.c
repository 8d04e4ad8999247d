#include "manager/heartbeat_proxy.h"

#include "base/http_status.h"
#include "manager/callers.h"
#include "manager/heartbeat_cache.h"
#include "rpc/rpc_client.h"

#define HEARTBEAT_FORWARD_MS 900 /* endpoints try another replica after a second */
/// Two batch periods; without an answer the leader soon counts as out of contact.
#define BATCH_TIMEOUT_MS 500

struct heartbeat_proxy {
	const struct wire *wire;
	struct relay *relay;
	struct heartbeat_cache *cache;
	uint64_t term;
	clock_ms_t next_batch_at;
	uint64_t batch_term; ///< term of the batch in flight
};

/// A heartbeat that is being forwarded to the leader.
struct forwarded_heartbeat {
	struct heartbeat_proxy *heartbeat_proxy;
	struct http_request *http;
	struct call call;
	uint64_t term;
};

struct heartbeat_proxy *heartbeat_proxy_new(const struct wire *wire, struct relay *relay)
{
	struct heartbeat_proxy *h = g_new0(struct heartbeat_proxy, 1);

	*h = (struct heartbeat_proxy){.wire = wire, .relay = relay, .cache = heartbeat_cache_new()};
	return h;
}

static void acknowledge(const struct heartbeat_proxy *h, struct http_request *http)
{
	const struct reply reply = {.content = REPLY_CONTROL_ADDRESS};
	const struct caller c = {.http = http};
	g_autoptr(GString) body = g_string_new(NULL);
	unsigned int status = h->wire->encode_reply(h->wire->ctx, &reply, body);

	caller_answer(&c, status, 0, body->str, body->len);
}

static void on_heartbeat_forwarded(void *ctx, enum relay_outcome outcome,
				   const sw_relay_reply *reply)
{
	struct forwarded_heartbeat *p = ctx;

	if (outcome == RELAY_ANSWERED && reply->http_status == HTTP_OK) {
		heartbeat_cache_record_forwarded(p->heartbeat_proxy->cache, clock_monotonic(),
						 p->term, &p->call.heartbeat);
		acknowledge(p->heartbeat_proxy, p->http);
	} else {
		caller_answer_relayed(p->http, outcome, reply);
	}
	call_clear(&p->call);
	g_free(p);
}

bool heartbeat_proxy_handle(struct heartbeat_proxy *h, uint64_t term, const struct wire_call *from,
			    const sw_relay_args *args, struct http_request *http)
{
	struct forwarded_heartbeat *p;
	struct call call = {0};

	h->term = term;
	if (!h->wire->is_heartbeat(h->wire->ctx, from))
		return false;
	h->wire->decode_call(h->wire->ctx, from, &call);
	if (call.type != CALL_HEARTBEAT) {
		call_clear(&call);
		return false;
	}
	if (heartbeat_cache_accept(h->cache, clock_monotonic(), term, &call.heartbeat)) {
		acknowledge(h, http);
		call_clear(&call);
		return true;
	}
	p = g_new0(struct forwarded_heartbeat, 1);
	*p = (struct forwarded_heartbeat){h, http, call, term};
	relay_call(h->relay, args, HEARTBEAT_FORWARD_MS, on_heartbeat_forwarded, p);
	return true;
}

static void on_batch_reply(void *ctx, enum rpc_result result, const void *value)
{
	struct heartbeat_proxy *h = ctx;
	const sw_heartbeat_batch_reply *reply = value;

	if (result == RPC_REPLIED && reply->status == SW_OK && h->batch_term == h->term)
		heartbeat_cache_record_batch_reply(h->cache, clock_monotonic(), h->term,
						   reply->unknown.unknown_val,
						   reply->unknown.unknown_len);
}

void heartbeat_proxy_tick(struct heartbeat_proxy *h, clock_ms_t now, uint64_t term, uint32_t leader)
{
	g_autoptr(GArray) list = NULL;
	g_autofree sw_short_heartbeat *rows = NULL;
	sw_heartbeat_batch args = {.term = term};

	h->term = term;
	if (now < h->next_batch_at || !leader)
		return;
	h->next_batch_at = now + HEARTBEAT_BATCH_PERIOD_MS;
	h->batch_term = term;
	list = heartbeat_cache_take_batch(h->cache, now);
	rows = g_new0(sw_short_heartbeat, list->len + 1);
	for (guint i = 0; i < list->len; i++) {
		const struct short_heartbeat *s = &g_array_index(list, struct short_heartbeat, i);

		rows[i] = (sw_short_heartbeat){
			.id = s->id,
			.incarnation_wall_ms = s->incarnation_wall_ms,
			.sequence = s->sequence,
			.clock_ms = s->clock_ms,
			.cold_ms = s->cold_ms,
			.age_ms = s->age_ms,
			.digest = s->digest,
		};
	}
	args.short_heartbeats.short_heartbeats_val = rows;
	args.short_heartbeats.short_heartbeats_len = list->len;
	rpc_client_call(relay_client(h->relay, leader), SW_PROC_HEARTBEATS, &args, BATCH_TIMEOUT_MS,
			on_batch_reply, h);
}

void heartbeat_proxy_serve_batch(struct manager *m, struct rpc_request *req,
				 const sw_heartbeat_batch *args)
{
	g_autofree sw_name *unknown =
		g_new0(sw_name, args->short_heartbeats.short_heartbeats_len + 1);
	sw_heartbeat_batch_reply reply = {
		.status = m ? SW_OK : SW_NOT_LEADER,
		.unknown.unknown_val = unknown,
	};
	clock_ms_t now = clock_monotonic();

	for (u_int i = 0; m && i < args->short_heartbeats.short_heartbeats_len; i++) {
		const sw_short_heartbeat *from = &args->short_heartbeats.short_heartbeats_val[i];
		const struct short_heartbeat s = {
			.id = from->id,
			.incarnation_wall_ms = from->incarnation_wall_ms,
			.sequence = from->sequence,
			.clock_ms = from->clock_ms,
			.cold_ms = from->cold_ms,
			.age_ms = from->age_ms,
			.digest = from->digest,
		};

		if (!manager_handle_short_heartbeat(m, now, &s))
			unknown[reply.unknown.unknown_len++] = from->id;
	}
	rpc_request_reply(req, &reply);
}
