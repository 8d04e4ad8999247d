#include "manager/control_shell.h"

#include "base/codec.h"
#include "base/http_server.h"
#include "base/http_status.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/work.h"
#include "control/storage_thread.h"
#include "manager/agents.h"
#include "manager/callers.h"
#include "manager/hearing.h"
#include "manager/order_sender.h"
#include "manager/overload.h"
#include "manager/relay.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"
#include "rpc/rpc_stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define ELECTION_MS 600	      /* six heartbeats: a stop of 300 ms at a processor quota costs none */
#define HEARTBEAT_MS 100      /* a sixth of an election timeout */
#define KEEP_RECORDS 2000     /* a follower may miss some seconds of the busiest load */
#define SNAPSHOT_RECORDS 8000 /* about 2 MB of log */
#define RAFT_CALL_MS 500      /* a connection that is silent for so long is opened anew */
#define RELAY_MS 900	      /* callers of control move on after a second */
/// From so many endpoints on the other replicas send the orders. One replica's share of a core
/// carries about 150 busy endpoints (docs/CAPACITY.md).
#define AGENTS_FROM_ENDPOINTS 120
#define AGENT_ALIVE_MS 350 /* three heartbeats and a half */
#define TICK_S (MANAGER_TICK_MS / 1000.0)
#define RETRY_READ_S 1 /* callers who ask for a state ask again anyway */
#define PASS_MS 25     /* of a pass of the loop for callers, who can wait; the log can't */
/// Placement rounds take at most this share of the loop's time; then they come less often.
#define ROUNDS_SHARE_PERCENT 20
#define SLOW_COMMIT_MS 300 /* ten times the usual */
#define SLOW_LOOP_MS 150   /* callers notice, and a heartbeat is late */
#define SLOW_PERIOD_MS 1000
#define EXIT_DISK 3
#define EXIT_LISTEN 4
#define STOP_LEAST_MS 1200 /* callers have found the next leader by then */
#define STOP_MARGIN_MS 800

/// An effect that waits for the commands before it to be committed.
struct held {
	uint64_t index;
	struct effect *effect;
	clock_ms_t since;
};

struct shell {
	struct control_shell_settings settings;
	const struct wire *wire;
	bool (*reload)(uint32_t seeds[3]);
	struct ev_loop *loop;
	uint32_t node;
	struct raft *raft;
	struct storage_thread *storage;
	bool writing;
	uint64_t writing_to; ///< last record of the batch on its way
	GPtrArray *unsent;   ///< effects of raft that wait for the disk
	struct jobs *state;  ///< committed
	uint64_t state_index;
	struct manager *manager; ///< while this replica leads
	uint64_t manager_term;
	GQueue held;
	struct callers *callers;
	struct relay *relay;
	struct http_server *http;
	struct order_sender *sender;
	struct agents *agents;
	struct hearing *hearing;
	ev_prepare before_wait;
	ev_check after_wait;
	ev_timer tick;
	ev_signal terminate;
	ev_signal hangup;
	clock_ms_t stopping_at; ///< 0: not stopping
	struct metric *proposals;
	struct metric *refusals;
	struct metric *commit_ms;
	struct overload *overload;
	uint64_t rounds_us; ///< spent on placement rounds up to the last tick
	clock_ms_t round_gap_ms;
	clock_ms_t last_tick_at;
	clock_ms_t last_pass_at; ///< end of the last pass of the loop
	clock_ms_t said_slow_commit;
	clock_ms_t said_slow_loop;
	clock_ms_t say_load_at;
	uint64_t said_us[WORK_KINDS];
};

/// @return the replica that leads, 0: none is known, or it is this one
static uint32_t other_leader(const struct shell *sh)
{
	return raft_leader(sh->raft) == sh->node ? 0 : raft_leader(sh->raft);
}

/* Answers. */

static void answer_not_leader(struct shell *sh, struct rpc_request *rpc)
{
	const sw_members *members = raft_members(sh->raft);
	uint32_t nodes[RAFT_PEERS_MAX + 1];
	sw_relay_reply r = {
		.status = SW_NOT_LEADER,
		.leader = other_leader(sh),
		.members = {.members_val = nodes},
	};

	for (u_int i = 0; i < members->members.members_len && i < G_N_ELEMENTS(nodes); i++)
		nodes[r.members.members_len++] = members->members.members_val[i].node;
	rpc_request_reply(rpc, &r);
}

/* Orders. */

/// Takes over the result.
static void give_result(struct shell *sh, uint64_t term, struct order_result *result)
{
	enum work_kind before = work_enter(WORK_RESULTS);

	if (sh->manager && sh->manager_term == term)
		manager_result(sh->manager, clock_monotonic(), clock_wall(), result);
	order_result_free(result);
	work_leave(before);
}

/// Takes over the result.
static void on_order_sent(void *ctx, uint32_t leader, uint64_t term, struct order_result *result)
{
	struct shell *sh = ctx;

	if (leader == sh->node) {
		give_result(sh, term, result);
		return;
	}
	agents_answer(sh->agents, leader, term, result);
	order_result_free(result);
}

/// @return the replica that sends orders to an endpoint
static uint32_t agent_of(const struct shell *sh, const struct order *order)
{
	const sw_members *members = raft_members(sh->raft);
	clock_ms_t now = clock_monotonic();
	uint32_t alive[RAFT_PEERS_MAX + 1];
	unsigned int n = 0;

	if (order->direct || !order->instance ||
	    manager_endpoints(sh->manager) < AGENTS_FROM_ENDPOINTS)
		return sh->node;
	for (u_int i = 0; i < members->members.members_len && n < G_N_ELEMENTS(alive); i++) {
		uint32_t node = members->members.members_val[i].node;

		if (node != sh->node && raft_hears(sh->raft, node, now, AGENT_ALIVE_MS))
			alive[n++] = node;
	}
	return n ? agents_pick(alive, n, order->instance) : sh->node;
}

/// Takes over the order.
static void send_order(struct shell *sh, struct order *order)
{
	uint32_t node = agent_of(sh, order);

	if (order_is_stale(order, clock_monotonic())) {
		give_result(sh, sh->manager_term, order_result_new(order->id, ORDER_NOT_SENT));
		order_free(order);
		return;
	}
	if (node == sh->node)
		order_sender_send(sh->sender, order, sh->node, sh->manager_term);
	else
		agents_send(sh->agents, node, sh->manager_term, order, clock_monotonic());
}

/* Leadership. */

static bool leads(const struct shell *sh)
{
	return sh->manager && sh->manager_term == raft_term(sh->raft) &&
	       raft_leads(sh->raft, clock_monotonic());
}

/// Drops what was not committed. Its callers get no answer that says what became of it.
static void lose_leadership(struct shell *sh)
{
	struct held *h;

	log_info("leadership lost", "TERM", log_number(sh->manager_term));
	while ((h = g_queue_pop_head(&sh->held))) {
		effect_free(h->effect);
		g_free(h);
	}
	callers_give_up(sh->callers);
	manager_free(sh->manager);
	sh->manager = NULL;
}

static void check_leadership(struct shell *sh)
{
	clock_ms_t now = clock_monotonic();

	if (sh->manager && manager_is_fenced_off(sh->manager) && raft_role(sh->raft) == RAFT_LEADER)
		raft_resign(sh->raft, now, now + ELECTION_MS);
	if (sh->manager &&
	    (raft_role(sh->raft) != RAFT_LEADER || raft_term(sh->raft) != sh->manager_term))
		lose_leadership(sh);
	if (!sh->manager && raft_leads(sh->raft, now) && !sh->stopping_at) {
		sh->manager_term = raft_term(sh->raft);
		sh->manager = manager_new(&sh->settings.manager, sh->state, sh->manager_term, now,
					  clock_wall());
	}
}

/* The loop. */

static void take_manager_effects(struct shell *sh)
{
	g_autoptr(GPtrArray) effects = NULL;

	if (!sh->manager)
		return;
	effects = manager_take_effects(sh->manager);
	g_ptr_array_set_free_func(effects, NULL);
	for (guint i = 0; i < effects->len; i++) {
		struct effect *e = effects->pdata[i];
		struct held *h;

		if (e->type == EFFECT_PROPOSE) {
			raft_propose(sh->raft, e->u.command);
			metrics_add(sh->proposals, 1);
			effect_free(e);
			continue;
		}
		h = g_new0(struct held, 1);
		*h = (struct held){.index = raft_last_index(sh->raft),
				   .effect = e,
				   .since = clock_monotonic()};
		g_queue_push_tail(&sh->held, h);
	}
}

/// Tells, at most once a second, that something took long.
static void note_slow(clock_ms_t *said_at, const char *what, clock_ms_t since, clock_ms_t bound)
{
	clock_ms_t now = clock_monotonic();

	if (now - since < bound || now - *said_at < SLOW_PERIOD_MS)
		return;
	*said_at = now;
	log_warning(what, "MS", log_number((guint64)(now - since)));
}

/// Releases effects whose commands are committed, while this replica surely leads.
static bool release_held(struct shell *sh)
{
	bool any = false;

	while (leads(sh)) {
		struct held *h = g_queue_peek_head(&sh->held);
		struct effect *e;

		if (!h || h->index > sh->state_index)
			break;
		g_queue_pop_head(&sh->held);
		metrics_observe(sh->commit_ms, clock_monotonic() - h->since);
		note_slow(&sh->said_slow_commit, "commit was slow", h->since, SLOW_COMMIT_MS);
		e = h->effect;
		g_free(h);
		any = true;
		if (e->type == EFFECT_REPLY)
			callers_reply(sh->callers, e->u.reply.token, &e->u.reply.reply);
		else
			send_order(sh, g_steal_pointer(&e->u.order));
		effect_free(e);
	}
	return any;
}

static void apply_committed(struct shell *sh)
{
	const raft_snapshot *snapshot = raft_latest_snapshot(sh->raft);
	const struct raft_log_record *record;

	if (snapshot->index > sh->state_index) {
		if (!jobs_restore(sh->state, snapshot->data.sw_blob_val,
				  snapshot->data.sw_blob_len)) {
			log_error("the snapshot can't be read; stopping");
			exit(EXIT_DISK);
		}
		sh->state_index = snapshot->index;
	}
	while ((record = raft_next_committed(sh->raft))) {
		gsize len;
		const void *data = g_bytes_get_data(record->command, &len);
		sw_command c;

		sh->state_index = record->index;
		if (!codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c)))
			continue;
		if (c.type == SW_COMMAND_JOB)
			jobs_apply(sh->state, &c.sw_command_u.job);
		codec_free(CODEC_PROC(sw_command), &c);
	}
	if (sh->state_index > raft_snapshot_index(sh->raft) + SNAPSHOT_RECORDS) {
		g_autoptr(GByteArray) data = jobs_snapshot(sh->state);

		raft_compact(sh->raft, data);
	}
}

static void send_message(struct shell *sh, const raft_message *m)
{
	rpc_client_call(relay_client(sh->relay, m->to), SW_PROC_RAFT, m, RAFT_CALL_MS, NULL, NULL);
}

/// A leader's records need not wait for its own disk: they count as stored by it only then.
static bool may_send_at_once(const struct raft_effect *e)
{
	return e->type == RAFT_SEND &&
	       (e->u.message.type == RAFT_APPEND || e->u.message.type == RAFT_SNAPSHOT);
}

static bool needs_disk(const GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++)
		if (((struct raft_effect *)effects->pdata[i])->type != RAFT_SEND)
			return true;
	return false;
}

static void send_batch(struct shell *sh, GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++) {
		struct raft_effect *e = effects->pdata[i];

		if (e->type == RAFT_SEND)
			send_message(sh, &e->u.message);
	}
	g_ptr_array_unref(effects);
}

static bool take_raft_effects(struct shell *sh)
{
	g_autoptr(GPtrArray) effects = raft_take_effects(sh->raft);
	bool any = effects->len > 0;

	g_ptr_array_set_free_func(effects, NULL);
	for (guint i = 0; i < effects->len; i++) {
		struct raft_effect *e = effects->pdata[i];

		if (!may_send_at_once(e)) {
			g_ptr_array_add(sh->unsent, e);
			continue;
		}
		send_message(sh, &e->u.message);
		raft_effect_free(e);
	}
	if (sh->writing || !sh->unsent->len)
		return any;
	effects = g_steal_pointer(&sh->unsent);
	sh->unsent = g_ptr_array_new_with_free_func(raft_effect_free);
	if (!needs_disk(effects)) {
		send_batch(sh, g_steal_pointer(&effects));
		return any;
	}
	sh->writing = true;
	sh->writing_to = raft_last_index(sh->raft);
	storage_thread_write(sh->storage, g_steal_pointer(&effects));
	return any;
}

static void on_stored(void *ctx, GPtrArray *effects)
{
	struct shell *sh = ctx;

	sh->writing = false;
	raft_persisted_to(sh->raft, sh->writing_to);
	send_batch(sh, effects);
}

/// @return age of the oldest commit that replies or orders wait for, or of the oldest input
static clock_ms_t lag_ms(const struct shell *sh, clock_ms_t now)
{
	const struct held *h = g_queue_peek_head((GQueue *)&sh->held);
	clock_ms_t pass_ms = sh->last_pass_at ? now - sh->last_pass_at : 0;

	return MAX(h ? now - h->since : 0, pass_ms);
}

static void note_overload(struct shell *sh, clock_ms_t now)
{
	bool before = sh->overload->refuses;
	clock_ms_t lag = lag_ms(sh, now);

	if (overload_note(sh->overload, now, lag) == before)
		return;
	log_warning(before ? "callers are admitted again" : "callers are refused: too far behind",
		    "LAG_MS", log_number((guint64)lag), "HELD", log_number(sh->held.length));
}

/// Spaces placement rounds by what they cost.
static void pace_rounds(struct shell *sh, clock_ms_t now)
{
	uint64_t total_us = work_total_us(WORK_ROUNDS);
	uint64_t share = (total_us - sh->rounds_us) / 10 / (uint64_t)MAX(now - sh->last_tick_at, 1);

	if (share > ROUNDS_SHARE_PERCENT)
		sh->round_gap_ms = MIN(sh->round_gap_ms * 2, MANAGER_ROUND_MOST_MS);
	else if (share < ROUNDS_SHARE_PERCENT / 2)
		sh->round_gap_ms = MAX(sh->round_gap_ms / 2, MANAGER_ROUND_GAP_MS);
	sh->rounds_us = total_us;
	sh->last_tick_at = now;
	if (sh->manager)
		manager_set_round_gap(sh->manager, sh->round_gap_ms);
}

/// Runs until nothing is left to do without waiting.
static void flush(struct shell *sh)
{
	bool any = true;
	clock_ms_t from = clock_monotonic();
	enum work_kind before = work_enter(WORK_IO);

	if (sh->manager) {
		manager_note_lag(sh->manager, from, lag_ms(sh, from));
		note_overload(sh, from);
	}
	while (any) {
		work_enter(WORK_APPLY);
		apply_committed(sh);
		check_leadership(sh);
		work_enter(WORK_RELEASE);
		any = release_held(sh);
		work_enter(WORK_IO);
		if (leads(sh))
			manager_tick(sh->manager, clock_monotonic(), clock_wall());
		work_enter(WORK_PROPOSE);
		take_manager_effects(sh);
		work_enter(WORK_REPLICATE);
		raft_flush(sh->raft, clock_monotonic());
		any |= take_raft_effects(sh);
	}
	sh->last_pass_at = clock_monotonic();
	work_enter(WORK_AGENTS);
	agents_flush(sh->agents, sh->node, sh->last_pass_at);
	work_leave(before);
	note_slow(&sh->said_slow_loop, "one pass of the loop was slow", from, SLOW_LOOP_MS);
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)revents;
	flush(w->data);
	log_flush();
	work_enter(WORK_IDLE);
}

static void on_after_wait(struct ev_loop *loop, ev_check *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	work_enter(WORK_IO);
	rpc_stream_begin_pass(clock_monotonic() + PASS_MS);
}

/// Tells what the last second was spent on.
static void say_load(struct shell *sh)
{
	g_autoptr(GString) text = g_string_new(NULL);

	for (enum work_kind kind = 0; kind < WORK_KINDS; kind++) {
		uint64_t total_us = work_total_us(kind);

		if (kind != WORK_IDLE && total_us > sh->said_us[kind])
			g_string_append_printf(text, "%s%s=%" PRIu64, text->len ? " " : "",
					       work_name(kind), total_us - sh->said_us[kind]);
		sh->said_us[kind] = total_us;
	}
	log_info("load", "WORK_US", text->str, "HELD", log_number(sh->held.length), "ENDPOINTS",
		 log_number(manager_endpoints(sh->manager)), "ORDERS",
		 log_number(manager_orders(sh->manager)), "INDEX", log_number(sh->state_index));
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;
	clock_ms_t now = clock_monotonic();

	(void)revents;
	raft_tick(sh->raft, now);
	agents_tick(sh->agents, now);
	pace_rounds(sh, now);
	hearing_tick(sh->hearing, now, raft_term(sh->raft), other_leader(sh));
	if (sh->manager && now >= sh->say_load_at) {
		sh->say_load_at = now + SLOW_PERIOD_MS;
		say_load(sh);
	}
	if (!sh->stopping_at)
		return;
	if (now - sh->stopping_at > sh->settings.grace_ms - STOP_MARGIN_MS ||
	    (now - sh->stopping_at > STOP_LEAST_MS && !http_server_active(sh->http))) {
		log_info("stopped");
		ev_break(loop, EVBREAK_ALL);
	}
}

/* Calls that arrive. */

static void handle_here(struct shell *sh, const struct wire_call *from, struct rpc_request *rpc,
			struct http_request *http)
{
	struct call call = {0};
	enum work_kind before = work_enter(WORK_DECODE);

	sh->wire->decode_call(sh->wire->ctx, from, &call);
	work_enter(call.type == CALL_ANNOUNCE ? WORK_REPORTS : WORK_CALLS);
	manager_call(sh->manager, clock_monotonic(), clock_wall(),
		     callers_add(sh->callers, rpc, http), &call);
	call_clear(&call);
	work_leave(before);
}

static void on_relayed(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	caller_answer_relayed(ctx, outcome, reply);
}

static void on_http_request(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;
	const GByteArray *body = http_body(req);
	const char *host = http_header(req, "Host");
	struct wire_call call = {
		.method = http_method(req),
		.host = host ? host : "",
		.target = http_target(req),
		.body = body->data,
		.len = body->len,
	};
	sw_relay_args args = {
		.method = (char *)call.method,
		.host = (char *)call.host,
		.target = (char *)call.target,
		.body = {.sw_blob_len = body->len, .sw_blob_val = (char *)body->data},
	};

	if (g_str_equal(call.target, "/metrics")) {
		g_autofree char *text = NULL;

		work_publish();
		text = metrics_text();
		http_reply(req, HTTP_OK, NULL, text, strlen(text));
	} else if (leads(sh)) {
		handle_here(sh, &call, NULL, req);
	} else if (strlen(call.method) > 16 || strlen(call.host) > 256 ||
		   strlen(call.target) > 8192) {
		http_reply(req, HTTP_BAD_REQUEST, NULL, NULL, 0);
	} else {
		relay_note_leader(sh->relay, other_leader(sh));
		if (!hearing_take(sh->hearing, raft_term(sh->raft), &call, &args, req))
			relay_call(sh->relay, &args, RELAY_MS, on_relayed, req);
	}
}

static const struct http_handlers http_handlers = {.on_request = on_http_request};

static void send_for_leader(struct shell *sh, const sw_order_batch *batch)
{
	clock_ms_t now = clock_monotonic();

	for (u_int i = 0; i < batch->orders.orders_len; i++)
		order_sender_send(sh->sender,
				  agents_decode_order(&batch->orders.orders_val[i], now),
				  batch->leader, batch->term);
}

/// Refuses a caller while the leader is too far behind, before its call costs more. What it has
/// accepted it says; cancels are few, and end work.
///
/// @return false: it is not refused
static bool refuse_caller(struct shell *sh, const struct wire_call *call, struct rpc_request *req)
{
	const struct caller c = {.rpc = req};
	clock_ms_t now = clock_monotonic();
	bool submits = g_str_equal(call->method, "POST");
	uint32_t after_s = RETRY_READ_S;
	g_autofree char *host = g_strndup(call->host, strcspn(call->host, ":"));
	const char *id;
	bool known = manager_knows_job(sh->manager, host, call->target, &id);

	if (submits && (known || !*id))
		return false;
	if (submits ? !sh->overload->refuses && !overload_was_refused(sh->overload, now, id)
		    : !sh->overload->refuses || !g_str_equal(call->method, "GET"))
		return false;
	if (submits) {
		after_s = overload_refuse(sh->overload, now, lag_ms(sh, now), id);
		log_info("job refused: too far behind", "JOB", id, "RETRY_AFTER_S",
			 log_number(after_s));
	}
	metrics_add(sh->refusals, 1);
	caller_answer(&c, HTTP_UNAVAILABLE, after_s, NULL, 0);
	return true;
}

static void serve_sightings(struct shell *sh, struct rpc_request *req, const sw_sighting_args *args)
{
	enum work_kind before = work_enter(WORK_REPORTS);

	hearing_serve(leads(sh) && args->term == sh->manager_term ? sh->manager : NULL, req, args);
	work_leave(before);
}

static void on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *value)
{
	struct shell *sh = ctx;
	const sw_relay_args *args = value;
	struct wire_call call;

	if (proc == SW_PROC_RAFT) {
		rpc_request_reply(req, NULL);
		raft_receive(sh->raft, clock_monotonic(), value);
		return;
	}
	if (proc == SW_PROC_ORDERS) {
		rpc_request_reply(req, NULL);
		send_for_leader(sh, value);
		return;
	}
	if (proc == SW_PROC_RESULTS) {
		rpc_request_reply(req, NULL);
		agents_take_results(sh->agents, value);
		return;
	}
	if (proc == SW_PROC_SIGHTINGS) {
		serve_sightings(sh, req, value);
		return;
	}
	if (proc != SW_PROC_RELAY) {
		rpc_request_refuse(req);
		return;
	}
	if (!leads(sh)) {
		answer_not_leader(sh, req);
		return;
	}
	if (!*args->target) { /* somebody asks who leads */
		struct caller c = {.rpc = req};

		caller_answer(&c, HTTP_OK, 0, NULL, 0);
		return;
	}
	call = (struct wire_call){
		.from_caller = args->from_caller,
		.method = args->method,
		.host = args->host,
		.target = args->target,
		.body = args->body.sw_blob_val,
		.len = args->body.sw_blob_len,
	};
	if (args->from_caller) {
		rpc_request_yield(req);
		if (refuse_caller(sh, &call, req))
			return;
	}
	handle_here(sh, &call, req, NULL);
}

static struct rpc_client *client_of(void *ctx, uint32_t node)
{
	return relay_client(((struct shell *)ctx)->relay, node);
}

static void on_agent_result(void *ctx, uint64_t term, struct order_result *result)
{
	give_result(ctx, term, result);
}

/* Start and stop. */

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;
	clock_ms_t now = clock_monotonic();

	(void)loop;
	(void)revents;
	if (sh->stopping_at)
		return;
	log_info("stopping");
	sh->stopping_at = now;
	flush(sh);
	raft_resign(sh->raft, now, CLOCK_NEVER);
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;
	uint32_t seeds[RAFT_SEEDS_MAX] = {0};
	unsigned int n = 0;

	(void)loop;
	(void)revents;
	if (!sh->reload || !sh->reload(seeds))
		return;
	while (n < RAFT_SEEDS_MAX && seeds[n])
		n++;
	log_info("settings read again", "SEEDS", log_number(n));
	relay_set_seeds(sh->relay, seeds, n);
}

static uint64_t random_uid(void)
{
	uint64_t uid = 0;

	while (!uid)
		if (getrandom(&uid, sizeof(uid), 0) < 0)
			exit(EXIT_FAILURE);
	return uid;
}

static void open_log(struct shell *sh)
{
	const struct control_shell_settings *s = &sh->settings;
	struct raft_settings raft = {
		.node = sh->node,
		.uid = random_uid(),
		.election_ms = ELECTION_MS,
		.heartbeat_ms = HEARTBEAT_MS,
		.keep_records = KEEP_RECORDS,
		.seed = random_uid(),
		.dynamic = true,
		.bootstrap = s->bootstrap,
	};
	struct raft_recovered recovered;
	g_autoptr(GError) error = NULL;
	struct storage *storage;
	struct fs fs;

	memcpy(raft.seeds, s->seeds, sizeof(raft.seeds));
	if (!fs_open_folder(&fs, s->data)) {
		log_error("cannot open the data folder", "PATH", s->data, "ERROR",
			  g_strerror(errno));
		exit(EXIT_DISK);
	}
	storage = storage_open(fs, &recovered, &error);
	if (!storage) {
		log_error("cannot use the data folder", "PATH", s->data, "ERROR", error->message);
		exit(EXIT_DISK);
	}
	sh->storage = storage_thread_new(sh->loop, storage, on_stored, sh);
	sh->raft = raft_new(&raft, &recovered, clock_monotonic());
}

static void listen_or_exit(struct shell *sh)
{
	const struct control_shell_settings *s = &sh->settings;
	g_autofree char *rpc = g_strdup_printf("%s:%u", s->ip, s->rpc_port);
	const struct http_limits limits = {
		.head_bytes = 32768,
		.body_bytes = s->body_max_bytes,
		.connections = 1024,
		.idle_s = 60,
	};

	sh->http = http_server_new(sh->loop, s->listen, &limits, &http_handlers, sh);
	if (!sh->http || !rpc_server_new(sh->loop, rpc, on_rpc, sh)) {
		log_error("cannot listen", "RPC", rpc, "HTTP", s->listen, "ERROR",
			  g_strerror(errno));
		exit(EXIT_LISTEN);
	}
}

static void start_watchers(struct shell *sh)
{
	ev_prepare_init(&sh->before_wait, on_before_wait);
	ev_check_init(&sh->after_wait, on_after_wait);
	ev_set_priority(&sh->after_wait, EV_MAXPRI);
	ev_timer_init(&sh->tick, on_tick, TICK_S, TICK_S);
	ev_signal_init(&sh->terminate, on_terminate, SIGTERM);
	ev_signal_init(&sh->hangup, on_hangup, SIGHUP);
	sh->before_wait.data = sh;
	sh->tick.data = sh;
	sh->terminate.data = sh;
	sh->hangup.data = sh;
	ev_prepare_start(sh->loop, &sh->before_wait);
	ev_check_start(sh->loop, &sh->after_wait);
	ev_timer_start(sh->loop, &sh->tick);
	ev_signal_start(sh->loop, &sh->terminate);
	ev_signal_start(sh->loop, &sh->hangup);
}

int control_shell_run(const struct control_shell_settings *settings, const struct wire *wire,
		      bool (*reload)(uint32_t seeds[3]))
{
	struct shell sh = {
		.settings = *settings,
		.wire = wire,
		.reload = reload,
		.loop = ev_default_loop(0),
		.node = ntohl(inet_addr(settings->ip)),
		.unsent = g_ptr_array_new_with_free_func(raft_effect_free),
		.state = jobs_new(),
		.callers = callers_new(wire),
		.proposals = metrics_get(METRIC_COUNTER, "sesamewood_proposals_total", "",
					 "commands proposed to the log"),
		.refusals = metrics_get(METRIC_COUNTER, "sesamewood_overload_refusals_total", "",
					"callers refused because the leader was too far behind"),
		.overload = overload_new(),
		.round_gap_ms = MANAGER_ROUND_GAP_MS,
		.commit_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_commit_ms", "",
					 "time that replies and orders wait for a commit, ms"),
	};
	unsigned int n = 0;

	signal(SIGPIPE, SIG_IGN);
	g_queue_init(&sh.held);
	sh.relay = relay_new(sh.loop, settings->rpc_port, sh.node);
	while (n < RAFT_SEEDS_MAX && settings->seeds[n])
		n++;
	relay_set_seeds(sh.relay, settings->seeds, n);
	sh.hearing = hearing_new(wire, sh.relay);
	sh.agents = agents_new(client_of, on_agent_result, &sh);
	sh.sender = order_sender_new(sh.loop, wire, on_order_sent, &sh);
	open_log(&sh);
	listen_or_exit(&sh);
	start_watchers(&sh);
	log_set_buffered();
	log_info("started", "ADDRESS", settings->listen, "DATA", settings->data, "BOOTSTRAP",
		 settings->bootstrap ? "true" : "false");
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
