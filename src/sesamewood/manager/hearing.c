#include "manager/hearing.h"

#include "base/http_status.h"
#include "manager/callers.h"
#include "manager/reports.h"
#include "rpc/rpc_client.h"

#define REPORT_MS 900	/* senders move on after a second */
#define SIGHTING_MS 500 /* two lists later the leader counts as out of touch */

struct hearing {
	const struct wire *wire;
	struct relay *relay;
	struct reports *reports;
	uint64_t term;
	clock_ms_t tell_at;
	uint64_t told_term; ///< of the list on its way
};

/// A report on its way to the leader.
struct passed_report {
	struct hearing *hearing;
	struct http_request *http;
	struct call call;
	uint64_t term;
};

struct hearing *hearing_new(const struct wire *wire, struct relay *relay)
{
	struct hearing *h = g_new0(struct hearing, 1);

	*h = (struct hearing){.wire = wire, .relay = relay, .reports = reports_new()};
	return h;
}

static void acknowledge(const struct hearing *h, struct http_request *http)
{
	const struct reply reply = {.content = REPLY_CONTROL_ADDRESS};
	const struct caller c = {.http = http};
	g_autoptr(GString) body = g_string_new(NULL);
	unsigned int status = h->wire->encode_reply(h->wire->ctx, &reply, body);

	caller_answer(&c, status, 0, body->str, body->len);
}

static void on_passed(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	struct passed_report *p = ctx;

	if (outcome == RELAY_ANSWERED && reply->http_status == HTTP_OK) {
		reports_passed(p->hearing->reports, clock_monotonic(), p->term, &p->call.report);
		acknowledge(p->hearing, p->http);
	} else {
		caller_answer_relayed(p->http, outcome, reply);
	}
	call_clear(&p->call);
	g_free(p);
}

bool hearing_take(struct hearing *h, uint64_t term, const struct wire_call *from,
		  const sw_relay_args *args, struct http_request *http)
{
	struct passed_report *p;
	struct call call = {0};

	h->term = term;
	if (!h->wire->is_report(h->wire->ctx, from))
		return false;
	h->wire->decode_call(h->wire->ctx, from, &call);
	if (call.type != CALL_ANNOUNCE) {
		call_clear(&call);
		return false;
	}
	if (reports_hear(h->reports, clock_monotonic(), term, &call.report)) {
		acknowledge(h, http);
		call_clear(&call);
		return true;
	}
	p = g_new0(struct passed_report, 1);
	*p = (struct passed_report){h, http, call, term};
	relay_call(h->relay, args, REPORT_MS, on_passed, p);
	return true;
}

static void on_told(void *ctx, enum rpc_result result, const void *value)
{
	struct hearing *h = ctx;
	const sw_sighting_reply *reply = value;

	if (result == RPC_REPLIED && reply->status == SW_OK && h->told_term == h->term)
		reports_taken(h->reports, clock_monotonic(), h->term, reply->unknown.unknown_val,
			      reply->unknown.unknown_len);
}

void hearing_tick(struct hearing *h, clock_ms_t now, uint64_t term, uint32_t leader)
{
	g_autoptr(GArray) list = NULL;
	g_autofree sw_sighting *rows = NULL;
	sw_sighting_args args = {.term = term};

	h->term = term;
	if (now < h->tell_at || !leader)
		return;
	h->tell_at = now + REPORTS_PERIOD_MS;
	h->told_term = term;
	list = reports_take(h->reports, now);
	rows = g_new0(sw_sighting, list->len + 1);
	for (guint i = 0; i < list->len; i++) {
		const struct sighting *s = &g_array_index(list, struct sighting, i);

		rows[i] = (sw_sighting){
			.id = s->id,
			.born_wall_ms = s->born_wall_ms,
			.sequence = s->sequence,
			.clock_ms = s->clock_ms,
			.cold_ms = s->cold_ms,
			.age_ms = s->age_ms,
		};
	}
	args.sightings.sightings_val = rows;
	args.sightings.sightings_len = list->len;
	rpc_client_call(relay_client(h->relay, leader), SW_PROC_SIGHTINGS, &args, SIGHTING_MS,
			on_told, h);
}

void hearing_serve(struct manager *m, struct rpc_request *req, const sw_sighting_args *args)
{
	g_autofree sw_name *unknown = g_new0(sw_name, args->sightings.sightings_len + 1);
	sw_sighting_reply reply = {
		.status = m ? SW_OK : SW_NOT_LEADER,
		.unknown.unknown_val = unknown,
	};
	clock_ms_t now = clock_monotonic();

	for (u_int i = 0; m && i < args->sightings.sightings_len; i++) {
		const sw_sighting *from = &args->sightings.sightings_val[i];
		const struct sighting s = {
			.id = from->id,
			.born_wall_ms = from->born_wall_ms,
			.sequence = from->sequence,
			.clock_ms = from->clock_ms,
			.cold_ms = from->cold_ms,
			.age_ms = from->age_ms,
		};

		if (!manager_sighted(m, now, &s))
			unknown[reply.unknown.unknown_len++] = from->id;
	}
	rpc_request_reply(req, &reply);
}
