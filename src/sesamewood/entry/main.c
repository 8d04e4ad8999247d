/// @file
/// sesamewood-entry: the shell around the entry reducer. Accepts callers and announcements, and
/// turns effects into I/O.

#include "base/codec.h"
#include "base/http_server.h"
#include "base/http_status.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/options.h"
#include "entry/announcement.h"
#include "entry/answers.h"
#include "entry/control_link.h"
#include "entry/entry.h"
#include "entry/upstream.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <xxhash.h>

#define TICK_S 0.02
#define EXIT_CHECK_S 0.05
#define MS_PER_S 1000.0
#define PEER_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS 1000
#define ANNOUNCE_TARGET "/sesamewood/v1/announce"
#define HEALTH_TARGET "/sesamewood/v1/healthz"
#define EXIT_FAULT 1

static struct option options[] = {
	{"name", OPTION_TEXT, NULL, 0, 0, "", "a unique name", "Name of this entry", NULL, 0},
	{"listen", OPTION_ADDRESS, "127.0.0.1:8080", 0, 0, "", "IP:port",
	 "Listener for callers and announcements", NULL, 0},
	{"rpc", OPTION_ADDRESS, NULL, 0, 0, "", "IP:port", "Listener for other entries", NULL, 0},
	{"admin", OPTION_ADDRESS, "127.0.0.1:7800", 0, 0, "", "IP:port",
	 "Listener for health and metrics", NULL, 0},
	{"control", OPTION_LIST, NULL, 0, 0, "", "IP:port,…, in the order of the nodes",
	 "RPC addresses of the control replicas", NULL, 0},
	{"renew", OPTION_NUMBER, "400", 20, 60000, "ms", NULL, "Interval of lease renewals", NULL,
	 0},
	{"loan", OPTION_NUMBER, "1000", 50, 60000, "ms", NULL, "Longest use of a borrowed slot",
	 NULL, 0},
	{"loan-margin", OPTION_NUMBER, "100", 0, 60000, "ms", NULL,
	 "Added to a loan for differing clock rates", NULL, 0},
	{"deadline-max", OPTION_NUMBER, "30000", 100, 600000, "ms", NULL,
	 "Longest deadline of any route; as at control", NULL, 0},
	{"host-connections", OPTION_NUMBER, "9", 1, 4096, "connections", NULL,
	 "Connections to one instance: its connections divided by the entries", NULL, 0},
	{"eject-failures", OPTION_NUMBER, "5", 1, 1000, "failures", NULL,
	 "Failures in a row that eject an instance", NULL, 0},
	{"eject", OPTION_NUMBER, "2000", 10, 600000, "ms", NULL, "How long it is ejected", NULL, 0},
	{"retry-percent", OPTION_NUMBER, "10", 0, 100, "percent", NULL,
	 "Retries allowed per 100 successes", NULL, 0},
	{"head-bytes", OPTION_NUMBER, "8192", 4096, 1048576, "bytes", NULL,
	 "Memory for one connection and its request head", NULL, 0},
	{"body-bytes", OPTION_NUMBER, "1048576", 0, 1073741824, "bytes", NULL,
	 "Longest request body", NULL, 0},
	{"answer-bytes", OPTION_NUMBER, "8388608", 1024, 1073741824, "bytes", NULL,
	 "Longest answer of an endpoint", NULL, 0},
	{"kept-answers-bytes", OPTION_NUMBER, "4194304", 0, 1073741824, "bytes", NULL,
	 "Memory for answers kept for callers that ask again", NULL, 0},
	{"connections", OPTION_NUMBER, "12000", 10, 1000000, "connections", NULL,
	 "Connections of callers", NULL, 0},
	{"idle", OPTION_NUMBER, "60", 1, 86400, "s", NULL, "An idle caller is disconnected after",
	 NULL, 0},
	{"drain-lag", OPTION_NUMBER, "500", 0, 600000, "ms", NULL,
	 "Time that the balancer needs to notice a failing health check", NULL, 0},
	{"log-sample", OPTION_NUMBER, "0", 0, 1000000000, "requests", NULL,
	 "Log one request in this many; 0 logs none", NULL, 0},
	{"log-level", OPTION_CHOICE, "info", 0, 0, "", "error|warning|info|debug",
	 "Least severe level logged", NULL, 0},
	{0},
};

/// A caller's request on its way through this process.
struct exchange {
	uint64_t id;
	struct http_request *http;
	struct upstream_answer *answer;
	clock_ms_t arrived_at;
	bool keyed;
	sw_key key;
	uint64_t digest;
	char *pool;
	char *instance;
	uint64_t epoch;
};

/// An open call to or from a peer.
struct borrow_call {
	struct shell *shell;
	char *pool;
	char *lender;
	clock_ms_t sent_at;
};

struct shell {
	struct ev_loop *loop;
	struct entry *entry;
	struct http_server *callers;
	struct http_server *admin;
	struct upstream *upstream;
	struct control_link *control;
	struct answers *answers;
	GHashTable *exchanges; ///< struct exchange by id
	GHashTable *calls;     ///< waiting rpc_request or http_request by token
	GHashTable *peers;     ///< struct rpc_client by address
	uint64_t next_id;
	uint64_t requests;
	int64_t log_sample;
	ev_prepare before_wait;
	ev_timer tick;
	ev_timer lag;
	ev_timer exit_check;
	ev_signal terminate;
	bool working; ///< effects are being carried out
	bool draining;
	struct metric *verdicts[3];
	struct metric *queue_wait_ms;
	struct metric *attempts;
	struct metric *loans;
	struct metric *claims;
};

static void carry_out(struct shell *sh);

static void step(struct shell *sh, const struct entry_event *event)
{
	entry_step(sh->entry, clock_monotonic(), event);
	carry_out(sh);
}

/* Answers to callers. */

static void exchange_free(void *p)
{
	struct exchange *x = p;

	upstream_answer_free(x->answer);
	g_free(x->pool);
	g_free(x->instance);
	g_free(x);
}

static struct exchange *find_exchange(struct shell *sh, uint64_t id)
{
	return g_hash_table_lookup(sh->exchanges, &id);
}

static void count_verdict(struct shell *sh, const struct exchange *x, enum verdict v,
			  unsigned int status)
{
	clock_ms_t took = clock_monotonic() - x->arrived_at;
	g_autofree char *labels = NULL;

	metrics_add(sh->verdicts[v], 1);
	if (x->pool) {
		labels = g_strdup_printf("pool=\"%s\",class=\"%uxx\"", x->pool, status / 100);
		metrics_observe(metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_answer_ms", labels,
					    "time from request to answer, ms"),
				took);
	}
	if (sh->log_sample && ++sh->requests % sh->log_sample == 0)
		log_info("request", "REQUEST_ID", log_number(x->id), "POOL", x->pool ? x->pool : "",
			 "ENDPOINT", x->instance ? x->instance : "", "EPOCH", log_number(x->epoch),
			 "VERDICT", verdict_name(v), "STATUS", log_number(status), "TOOK_MS",
			 log_number(took));
}

static void answer_problem(struct shell *sh, struct exchange *x, unsigned int status,
			   const char *title, enum verdict v)
{
	count_verdict(sh, x, v, status);
	http_reply_problem(x->http, status, title, verdict_name(v));
	g_hash_table_remove(sh->exchanges, &x->id);
}

static const char *content_type_of(const struct upstream_answer *a)
{
	const char *prefix = "Content-Type:";

	for (guint i = 0; i < a->headers->len; i++)
		if (g_ascii_strncasecmp(a->headers->pdata[i], prefix, strlen(prefix)) == 0)
			return g_strchug((char *)a->headers->pdata[i] + strlen(prefix));
	return "";
}

static void send_answer(struct exchange *x)
{
	const struct upstream_answer *a = x->answer;
	g_autofree struct http_header *headers = g_new0(struct http_header, a->headers->len + 2);
	size_t n = 0;

	for (guint i = 0; i < a->headers->len; i++) {
		char *line = a->headers->pdata[i];
		char *colon = strchr(line, ':');

		*colon = '\0';
		if (g_ascii_strcasecmp(line, "Sesamewood-Verdict") == 0 ||
		    g_ascii_strcasecmp(line, "Date") == 0)
			continue;
		headers[n].name = line;
		headers[n++].value = g_strstrip(colon + 1);
	}
	headers[n].name = "Sesamewood-Verdict";
	headers[n].value = verdict_name(VERDICT_RAN);
	http_reply(x->http, a->status, headers, a->body->data, a->body->len);
}

static void answer(struct shell *sh, uint64_t id)
{
	struct exchange *x = find_exchange(sh, id);

	if (!x || !x->answer)
		return;
	count_verdict(sh, x, VERDICT_RAN, x->answer->status);
	if (x->keyed)
		answers_put(sh->answers, x->key, x->digest, x->answer->status,
			    content_type_of(x->answer), x->answer->body);
	send_answer(x);
	g_hash_table_remove(sh->exchanges, &x->id);
}

/* Answers kept for callers that ask again. */

static void answer_again(struct shell *sh, uint64_t id, const sw_answer_reply *r)
{
	struct exchange *x = find_exchange(sh, id);
	struct http_header headers[] = {
		{"Sesamewood-Verdict", verdict_name(VERDICT_RAN)},
		{NULL, NULL},
		{NULL, NULL},
	};

	if (!x)
		return;
	if (!r || r->status != SW_OK) {
		answer_problem(sh, x, HTTP_CONFLICT,
			       "a request with this idempotency key ran; its answer is gone",
			       VERDICT_MAY_HAVE_RUN);
		return;
	}
	if (*r->content_type) {
		headers[1].name = "Content-Type";
		headers[1].value = r->content_type;
	}
	count_verdict(sh, x, VERDICT_RAN, r->http_status);
	http_reply(x->http, r->http_status, headers, r->body.sw_blob_val, r->body.sw_blob_len);
	g_hash_table_remove(sh->exchanges, &x->id);
}

struct fetch_call {
	struct shell *shell;
	uint64_t id;
};

static void on_fetched(void *ctx, enum rpc_result result, const void *reply)
{
	struct fetch_call *call = ctx;

	answer_again(call->shell, call->id, result == RPC_ANSWERED ? reply : NULL);
	g_free(call);
}

static struct rpc_client *peer_client(struct shell *sh, const char *address)
{
	struct rpc_client *c = g_hash_table_lookup(sh->peers, address);

	if (!c) {
		c = rpc_client_new(sh->loop, address);
		g_hash_table_insert(sh->peers, g_strdup(address), c);
	}
	return c;
}

static void fetch_answer(struct shell *sh, const struct entry_effect *e)
{
	sw_answer_args args = {.digest = e->u.fetch.digest};
	struct fetch_call *call;

	memcpy(args.key, e->u.fetch.key, SW_KEY_BYTES);
	if (!*e->u.fetch.address) {
		sw_answer_reply reply;

		answers_get(sh->answers, args.key, args.digest, &reply);
		answer_again(sh, e->id, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		return;
	}
	call = g_new0(struct fetch_call, 1);
	*call = (struct fetch_call){.shell = sh, .id = e->id};
	rpc_client_call(peer_client(sh, e->u.fetch.address), SW_PROC_ANSWER, &args,
			ANSWER_TIMEOUT_MS, on_fetched, call);
}

/* Loans. */

static void on_borrowed(void *ctx, enum rpc_result result, const void *reply)
{
	struct borrow_call *call = ctx;
	struct entry_event event = {.type = ENTRY_BORROW_RESULT};

	event.u.borrow.pool = call->pool;
	event.u.borrow.lender = call->lender;
	event.u.borrow.sent_at = call->sent_at;
	event.u.borrow.reply = result == RPC_ANSWERED ? reply : NULL;
	step(call->shell, &event);
	g_free(call->pool);
	g_free(call->lender);
	g_free(call);
}

static void borrow(struct shell *sh, const struct entry_effect *e)
{
	sw_borrow_args args = {
		.entry = sh->entry->settings.name,
		.pool = e->u.borrow.pool,
		.count = e->u.borrow.count,
		.wait_ms = e->u.borrow.wait_ms,
	};
	struct borrow_call *call = g_new0(struct borrow_call, 1);

	*call = (struct borrow_call){
		.shell = sh,
		.pool = g_strdup(e->u.borrow.pool),
		.lender = g_strdup(e->u.borrow.address),
		.sent_at = clock_monotonic(),
	};
	metrics_add(sh->loans, 1);
	rpc_client_call(peer_client(sh, call->lender), SW_PROC_BORROW, &args,
			e->u.borrow.wait_ms + PEER_TIMEOUT_MS, on_borrowed, call);
}

static void give_back(struct shell *sh, const struct entry_effect *e)
{
	u_quad_t id = e->u.give_back.loan;
	sw_return_args args = {.loans = {.loans_len = 1, .loans_val = &id}};

	rpc_client_call(peer_client(sh, e->u.give_back.address), SW_PROC_RETURN, &args,
			PEER_TIMEOUT_MS, NULL, NULL);
}

static void *take_call(struct shell *sh, uint64_t token)
{
	void *call = NULL;

	g_hash_table_steal_extended(sh->calls, &token, NULL, &call);
	return call;
}

static uint64_t add_call(struct shell *sh, void *call)
{
	uint64_t *token = g_new(uint64_t, 1);

	*token = ++sh->next_id;
	g_hash_table_insert(sh->calls, token, call);
	return *token;
}

static void lend(struct shell *sh, const struct entry_effect *e)
{
	struct rpc_request *req = take_call(sh, e->id);

	if (req)
		rpc_request_reply(req, &e->u.lend);
}

static void on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct shell *sh = ctx;
	struct entry_event event = {0};

	switch (proc) {
	case SW_PROC_BORROW:
		event.type = ENTRY_BORROW_CALL;
		event.u.lend.args = args;
		event.u.lend.token = add_call(sh, req);
		step(sh, &event);
		break;
	case SW_PROC_RETURN:
		rpc_request_reply(req, NULL);
		event.type = ENTRY_RETURN_CALL;
		event.u.returned = args;
		step(sh, &event);
		break;
	case SW_PROC_ANSWER: {
		const sw_answer_args *a = args;
		sw_answer_reply reply;

		answers_get(sh->answers, a->key, a->digest, &reply);
		rpc_request_reply(req, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		break;
	}
	default:
		rpc_request_refuse(req);
	}
}

/* Dispatch. */

static void dispatch(struct shell *sh, const struct entry_effect *e)
{
	struct exchange *x = find_exchange(sh, e->id);
	struct upstream_request request = {
		.id = e->id,
		.attempt = e->attempt,
		.address = e->u.dispatch.address,
		.pool = e->u.dispatch.pool,
		.epoch = e->u.dispatch.epoch,
		.timeout_ms = e->u.dispatch.timeout_ms,
		.fresh = e->u.dispatch.fresh,
	};

	if (!x)
		return;
	metrics_add(sh->attempts, 1);
	metrics_observe(sh->queue_wait_ms, e->u.dispatch.wait_ms);
	g_free(x->pool);
	g_free(x->instance);
	x->pool = g_strdup(e->u.dispatch.pool);
	x->instance = g_strdup(e->u.dispatch.instance);
	x->epoch = e->u.dispatch.epoch;
	request.from = x->http;
	upstream_start(sh->upstream, &request);
}

static bool may_send(void *ctx, uint64_t id, uint32_t attempt)
{
	const struct shell *sh = ctx;

	return entry_may_send(sh->entry, clock_monotonic(), id, attempt);
}

static void on_attempt_done(void *ctx, uint64_t id, uint32_t attempt,
			    struct upstream_result *result)
{
	struct shell *sh = ctx;
	struct exchange *x = find_exchange(sh, id);
	struct entry_event event = {.type = ENTRY_ATTEMPT_DONE};

	event.u.done.id = id;
	event.u.done.attempt = attempt;
	event.u.done.verdict = result->verdict;
	event.u.done.timed_out = result->timed_out;
	event.u.done.http_status = result->answer ? result->answer->status : 0;
	if (x)
		x->answer = result->answer;
	else
		upstream_answer_free(result->answer);
	step(sh, &event);
}

static const struct upstream_handlers upstream_handlers = {
	.may_send = may_send,
	.on_done = on_attempt_done,
};

/* Control. */

static void on_renewed(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply)
{
	struct shell *sh = ctx;
	struct entry_event event = {.type = ENTRY_RENEW_RESULT};

	event.u.renew.sent_at = sent_at;
	event.u.renew.reply = reply;
	step(sh, &event);
	if (reply && reply->status == SW_OK && !sh->entry->detached)
		control_link_watch(sh->control, sh->entry->settings.name,
				   sh->entry->settings.session, sh->entry->view_index);
}

static void on_change(void *ctx)
{
	step(ctx, &(struct entry_event){.type = ENTRY_RENEW_NOW});
}

static void on_claim(void *ctx, uint64_t id, const sw_claim_result *result)
{
	struct entry_event event = {.type = ENTRY_CLAIM_RESULT};

	event.u.claim.id = id;
	event.u.claim.lost = !result;
	event.u.claim.status = result ? result->status : SW_BUSY;
	event.u.claim.holder = result ? &result->holder : NULL;
	step(ctx, &event);
}

static const struct control_link_handlers control_handlers = {
	.on_renewed = on_renewed,
	.on_change = on_change,
	.on_claim = on_claim,
};

/* Effects. */

static void reply_announced(struct shell *sh, const struct entry_effect *e)
{
	struct http_request *req = take_call(sh, e->id);

	if (!req)
		return;
	if (e->u.announced.http_status == HTTP_OK)
		http_reply(req, HTTP_OK, NULL, "", 0);
	else
		http_reply_problem(req, e->u.announced.http_status, e->u.announced.title, NULL);
}

static void carry_out_one(struct shell *sh, const struct entry_effect *e)
{
	struct exchange *x;

	switch (e->type) {
	case EFFECT_DISPATCH:
		dispatch(sh, e);
		break;
	case EFFECT_ABORT:
		upstream_abort(sh->upstream, e->id, e->attempt);
		break;
	case EFFECT_ANSWER:
		answer(sh, e->id);
		break;
	case EFFECT_PROBLEM:
		x = find_exchange(sh, e->id);
		if (x)
			answer_problem(sh, x, e->u.problem.http_status, e->u.problem.title,
				       e->u.problem.verdict);
		break;
	case EFFECT_CLAIM:
		metrics_add(sh->claims, 1);
		control_link_claim(sh->control, &e->u.claim);
		break;
	case EFFECT_FETCH_ANSWER:
		fetch_answer(sh, e);
		break;
	case EFFECT_RENEW:
		control_link_renew(sh->control, &e->u.renew);
		break;
	case EFFECT_BORROW:
		borrow(sh, e);
		break;
	case EFFECT_LEND:
		lend(sh, e);
		break;
	case EFFECT_RETURN:
		give_back(sh, e);
		break;
	case EFFECT_ANNOUNCED:
		reply_announced(sh, e);
		break;
	}
}

/// Carries out effects until none is left. Handlers called on the way only add more.
static void carry_out(struct shell *sh)
{
	if (sh->working)
		return;
	sh->working = true;
	for (;;) {
		g_autoptr(GPtrArray) effects = entry_take_effects(sh->entry);

		if (!effects->len)
			break;
		for (guint i = 0; i < effects->len; i++)
			carry_out_one(sh, effects->pdata[i]);
	}
	sh->working = false;
}

/* Callers. */

static const char *lookup_header(const void *ctx, const char *name)
{
	return http_header(ctx, name);
}

static void hash_key(const char *text, sw_key key)
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(&canonical, XXH3_128bits(text, strlen(text)));
	memcpy(key, canonical.digest, SW_KEY_BYTES);
}

static void on_request(struct shell *sh, struct http_request *req)
{
	struct exchange *x = g_new0(struct exchange, 1);
	struct entry_event event = {.type = ENTRY_REQUEST};
	const char *key = http_header(req, "Idempotency-Key");
	const char *host = http_header(req, "Host");
	const GByteArray *body = http_body(req);

	*x = (struct exchange){
		.id = ++sh->next_id,
		.http = req,
		.arrived_at = clock_monotonic(),
		.keyed = key && *key,
	};
	if (x->keyed) {
		hash_key(key, x->key);
		x->digest = XXH64(body->data, body->len,
				  XXH64(http_target(req), strlen(http_target(req)), 0));
	}
	http_set_data(req, x);
	g_hash_table_insert(sh->exchanges, &x->id, x);
	event.u.request.id = x->id;
	event.u.request.method = http_method(req);
	event.u.request.host = host ? host : "";
	event.u.request.path = http_target(req);
	event.u.request.header = lookup_header;
	event.u.request.header_ctx = req;
	event.u.request.has_key = x->keyed;
	event.u.request.digest = x->digest;
	memcpy(event.u.request.key, x->key, SW_KEY_BYTES);
	step(sh, &event);
}

static void on_announcement(struct shell *sh, struct http_request *req)
{
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);
	const GByteArray *body = http_body(req);
	struct entry_event event = {.type = ENTRY_ANNOUNCE};
	sw_announcement a;

	if (!announcement_parse(body->len ? (const char *)body->data : "", body->len, &a, faults)) {
		g_autofree char *text = NULL;

		g_ptr_array_add(faults, NULL);
		text = g_strjoinv("; ", (char **)faults->pdata);
		http_reply_problem(req, HTTP_BAD_REQUEST, text, NULL);
	} else {
		event.u.announce.token = add_call(sh, req);
		event.u.announce.announcement = &a;
		step(sh, &event);
	}
	codec_free(CODEC_PROC(sw_announcement), &a);
}

static bool is_healthy(const struct shell *sh)
{
	return !sh->draining && entry_has_lease(sh->entry, clock_monotonic());
}

static void reply_health(const struct shell *sh, struct http_request *req)
{
	bool healthy = is_healthy(sh);
	const char *text = healthy ? "ok\n" : "not ready\n";

	http_reply(req, healthy ? HTTP_OK : HTTP_UNAVAILABLE, NULL, text, strlen(text));
}

static void on_caller_request(void *ctx, struct http_request *req)
{
	if (g_str_equal(http_target(req), ANNOUNCE_TARGET) && g_str_equal(http_method(req), "POST"))
		on_announcement(ctx, req);
	else if (g_str_equal(http_target(req), HEALTH_TARGET))
		reply_health(ctx, req);
	else
		on_request(ctx, req);
}

static void on_caller_gone(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;
	struct exchange *x = http_data(req);
	struct entry_event event = {.type = ENTRY_CANCEL};

	if (!x || !find_exchange(sh, x->id))
		return;
	event.u.cancel.id = x->id;
	step(sh, &event);
	if (find_exchange(sh, event.u.cancel.id))
		answer_problem(sh, x, HTTP_BAD_REQUEST, "the caller went away",
			       VERDICT_MAY_HAVE_RUN);
}

static const struct http_handlers caller_handlers = {
	.on_request = on_caller_request,
	.on_gone = on_caller_gone,
};

/* Health and metrics. */

static void set_gauge(const char *name, const char *help, uint64_t value)
{
	metrics_set(metrics_get(METRIC_GAUGE, name, "", help), value);
}

static void reply_metrics(const struct shell *sh, struct http_request *req)
{
	const struct entry *e = sh->entry;
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

static const struct http_handlers admin_handlers = {.on_request = on_admin_request};

/* Time. */

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	step(w->data, &(struct entry_event){.type = ENTRY_TICK});
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct shell *sh = w->data;

	(void)loop;
	(void)revents;
	control_link_flush(sh->control);
}

/// Tells whether no lease is held any more: handed back, or run out where control is not reached.
static bool has_handed_back(const struct shell *sh)
{
	return sh->entry->detached || !entry_has_lease(sh->entry, clock_monotonic());
}

static void on_exit_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;

	(void)revents;
	if (http_server_active(sh->callers) || !has_handed_back(sh))
		return;
	log_info("stopped");
	ev_break(loop, EVBREAK_ALL);
}

/// The balancer has noticed: closes the listener and hands the leases back.
static void on_lag_over(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;

	(void)revents;
	http_server_drain(sh->callers);
	step(sh, &(struct entry_event){.type = ENTRY_DRAIN});
	ev_timer_start(loop, &sh->exit_check);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;

	(void)revents;
	if (sh->draining)
		return;
	log_info("draining");
	sh->draining = true;
	ev_timer_set(&sh->lag, options_number(options, "drain-lag") / MS_PER_S, 0.);
	ev_timer_start(loop, &sh->lag);
}

/* Start. */

static char **read_control(void)
{
	const struct option *o = options_get(options, "control");
	char **addresses = g_strsplit(o->value, ",", -1);

	for (int i = 0; addresses[i]; i++)
		if (!options_split_address(addresses[i], NULL, NULL))
			options_fault(options, o->name, o->range_text);
	if (!addresses[0])
		options_fault(options, o->name, o->range_text);
	return addresses;
}

static struct entry_settings read_settings(void)
{
	struct entry_settings s = {
		.name = (char *)options_text(options, "name"),
		.address = (char *)options_text(options, "rpc"),
		.renew_ms = options_number(options, "renew"),
		.loan_ms = options_number(options, "loan"),
		.loan_margin_ms = options_number(options, "loan-margin"),
		.deadline_max_ms = options_number(options, "deadline-max"),
		.eject_failures = options_number(options, "eject-failures"),
		.eject_ms = options_number(options, "eject"),
		.retry_percent = options_number(options, "retry-percent"),
	};

	if (strlen(s.name) > SW_NAME_MAX || !*s.name)
		options_fault(options, "name", "1 to 64 bytes");
	while (!s.session)
		if (getrandom(&s.session, sizeof(s.session), 0) < 0)
			exit(EXIT_FAULT);
	return s;
}

static void listen_or_exit(struct shell *sh)
{
	const struct http_limits caller_limits = {
		.head_bytes = options_number(options, "head-bytes"),
		.body_bytes = options_number(options, "body-bytes"),
		.connections = options_number(options, "connections"),
		.idle_s = options_number(options, "idle"),
	};
	const struct http_limits admin_limits = {
		.head_bytes = 16384,
		.body_bytes = 1024,
		.connections = 64,
		.idle_s = 60,
	};

	sh->callers = http_server_new(sh->loop, options_text(options, "listen"), &caller_limits,
				      &caller_handlers, sh);
	sh->admin = http_server_new(sh->loop, options_text(options, "admin"), &admin_limits,
				    &admin_handlers, sh);
	if (!sh->callers || !sh->admin ||
	    !rpc_server_new(sh->loop, options_text(options, "rpc"), on_rpc, sh)) {
		log_error("cannot listen", "LISTEN", options_text(options, "listen"), "RPC",
			  options_text(options, "rpc"), "ADMIN", options_text(options, "admin"),
			  "ERROR", g_strerror(errno));
		exit(EXIT_FAULT);
	}
}

static void create_metrics(struct shell *sh)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		g_autofree char *labels = g_strdup_printf("verdict=\"%s\"", verdict_name(v));

		sh->verdicts[v] = metrics_get(METRIC_COUNTER, "sesamewood_entry_answers_total",
					      labels, "answers by verdict");
	}
	sh->queue_wait_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_queue_wait_ms", "",
					"time in the queue of a pool, ms");
	sh->attempts = metrics_get(METRIC_COUNTER, "sesamewood_entry_attempts_total", "",
				   "requests sent to endpoints, retries included");
	sh->loans = metrics_get(METRIC_COUNTER, "sesamewood_entry_borrow_calls_total", "",
				"calls to borrow slots of other entries");
	sh->claims = metrics_get(METRIC_COUNTER, "sesamewood_entry_claims_total", "",
				 "claims of idempotency keys, and their ends");
}

static void start_watchers(struct shell *sh)
{
	ev_prepare_init(&sh->before_wait, on_before_wait);
	ev_timer_init(&sh->tick, on_tick, 0., TICK_S);
	ev_init(&sh->lag, on_lag_over);
	ev_timer_init(&sh->exit_check, on_exit_check, EXIT_CHECK_S, EXIT_CHECK_S);
	ev_signal_init(&sh->terminate, on_terminate, SIGTERM);
	sh->before_wait.data = sh;
	sh->tick.data = sh;
	sh->lag.data = sh;
	sh->exit_check.data = sh;
	sh->terminate.data = sh;
	ev_prepare_start(sh->loop, &sh->before_wait);
	ev_timer_start(sh->loop, &sh->tick);
	ev_signal_start(sh->loop, &sh->terminate);
}

int main(int argc, char **argv)
{
	struct shell sh = {.loop = ev_default_loop(0)};
	struct entry_settings settings;
	char **control;

	options_parse(options, "Entry of a sesamewood fleet.", &argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	log_init("sesamewood-entry", options_text(options, "name"),
		 options_text(options, "log-level"));
	settings = read_settings();
	control = read_control();
	sh.exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, exchange_free);
	sh.calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	sh.peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sh.log_sample = options_number(options, "log-sample");
	sh.answers = answers_new(options_number(options, "kept-answers-bytes"));
	sh.entry = entry_new(&settings, clock_monotonic());
	sh.control = control_link_new(sh.loop, control, &control_handlers, &sh);
	sh.upstream =
		upstream_new(sh.loop, options_number(options, "answer-bytes"),
			     options_number(options, "host-connections"), &upstream_handlers, &sh);
	create_metrics(&sh);
	listen_or_exit(&sh);
	start_watchers(&sh);
	log_info("started", "LISTEN", options_text(options, "listen"), "RPC", settings.address);
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
