#include "manager/agents.h"

#include "base/codec.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define ANSWER_MARGIN_MS 400 /* time for the agent's answer beyond the order's own timeout */
#define CALL_TIMEOUT_MS 600
#define BATCH_MAX 1024
/// Less than a commit takes; delays a result by at most a tick of the loop.
#define RESULTS_GAP_MS 6

/// An order that was queued for or sent to an agent.
struct delegated_order {
	uint64_t id;
	uint64_t term;
	clock_ms_t deadline;
};

/// Orders and results that wait for the next flush to one node.
struct batch {
	uint64_t term;
	GArray *orders;		    ///< sw_order, owned
	GArray *results;	    ///< sw_order_result, owned
	clock_ms_t results_sent_at; ///< when results were last sent
};

struct agents {
	struct rpc_client *(*client)(void *ctx, uint32_t node);
	agents_result_fn result;
	void *ctx;
	GHashTable *batches;   ///< struct batch by node
	GHashTable *delegated; ///< struct delegated_order by order id
};

static void order_clear(void *p)
{
	codec_free(CODEC_PROC(sw_order), p);
}

static void result_clear(void *p)
{
	codec_free(CODEC_PROC(sw_order_result), p);
}

static void batch_free(void *p)
{
	struct batch *b = p;

	g_array_unref(b->orders);
	g_array_unref(b->results);
	g_free(b);
}

struct agents *agents_new(struct rpc_client *(*client)(void *ctx, uint32_t node),
			  agents_result_fn result, void *ctx)
{
	struct agents *a = g_new0(struct agents, 1);

	*a = (struct agents){
		.client = client,
		.result = result,
		.ctx = ctx,
		.batches = g_hash_table_new_full(NULL, NULL, NULL, batch_free),
		.delegated = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
	};
	return a;
}

static struct batch *batch_of(struct agents *a, uint32_t node, uint64_t term)
{
	struct batch *b = g_hash_table_lookup(a->batches, GUINT_TO_POINTER(node));

	if (!b) {
		b = g_new0(struct batch, 1);
		b->orders = g_array_new(FALSE, TRUE, sizeof(sw_order));
		b->results = g_array_new(FALSE, TRUE, sizeof(sw_order_result));
		g_array_set_clear_func(b->orders, order_clear);
		g_array_set_clear_func(b->results, result_clear);
		g_hash_table_insert(a->batches, GUINT_TO_POINTER(node), b);
	}
	if (b->term != term) {
		g_array_set_size(b->orders, 0);
		g_array_set_size(b->results, 0);
		b->term = term;
	}
	return b;
}

static char *copy_text(const char *text)
{
	return strdup(text ? text : "");
}

void agents_queue_order(struct agents *a, uint32_t node, uint64_t term, struct order *o,
			clock_ms_t now)
{
	struct batch *b = batch_of(a, node, term);
	struct delegated_order *d = g_new0(struct delegated_order, 1);
	sw_order order = {
		.id = o->id,
		.type = o->type,
		.address = copy_text(o->address),
		.instance = copy_text(o->instance),
		.timeout_ms = o->timeout_ms,
		.fencing_token = o->fencing_token,
		.task = copy_text(o->task),
		.attempt = o->attempt,
		.payload = copy_text(o->payload),
		.checkpoint = copy_text(o->checkpoint),
		.ticket = copy_text(o->ticket),
		.lease_until_ms = o->lease_until_ms,
		.ack_through = o->ack_through,
		.wait_ms = o->wait_ms,
		.percent = o->percent,
	};

	if (o->not_after != CLOCK_NEVER)
		order.valid_ms = (u_int)MAX(o->not_after - now, 1);
	*d = (struct delegated_order){o->id, term, now + o->timeout_ms + ANSWER_MARGIN_MS};
	g_hash_table_replace(a->delegated, &d->id, d);
	g_array_append_val(b->orders, order);
	order_free(o);
}

struct order *agents_decode_order(const sw_order *from, clock_ms_t now)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.id = from->id,
		.type = (enum order_type)from->type,
		.address = g_strdup(from->address),
		.instance = g_strdup(from->instance),
		.timeout_ms = from->timeout_ms,
		.fencing_token = from->fencing_token,
		.task = g_strdup(from->task),
		.attempt = from->attempt,
		.payload = g_strdup(from->payload),
		.checkpoint = g_strdup(from->checkpoint),
		.ticket = g_strdup(from->ticket),
		.lease_until_ms = from->lease_until_ms,
		.ack_through = from->ack_through,
		.wait_ms = from->wait_ms,
		.percent = from->percent,
		.not_after = from->valid_ms ? now + from->valid_ms : CLOCK_NEVER,
	};
	return o;
}

/// Returns a copy of a text, or of "" if the message cannot hold it.
static char *copy_bounded(const char *text, size_t max)
{
	return copy_text(text && strlen(text) <= max ? text : "");
}

void agents_queue_result(struct agents *a, uint32_t leader, uint64_t term,
			 const struct order_result *from)
{
	struct batch *b = batch_of(a, leader, term);
	sw_order_result r = {
		.id = from->id,
		.status = from->status,
		.clock_ms = from->clock_ms,
		.incarnation_wall_ms = from->incarnation_wall_ms,
	};

	r.runs.runs_val = calloc(from->runs->len + 1, sizeof(sw_running_attempt));
	for (guint i = 0; i < from->runs->len; i++) {
		const struct running_attempt *row =
			&g_array_index(from->runs, struct running_attempt, i);

		r.runs.runs_val[r.runs.runs_len++] = (sw_running_attempt){
			.task = copy_bounded(row->task, JOB_NAME_MAX),
			.attempt = row->attempt,
			.checkpoint = copy_bounded(row->checkpoint, JOB_CHECKPOINT_MAX),
			.percent = row->percent,
			.usage = row->usage,
		};
	}
	r.completions.completions_val =
		calloc(from->completions->len + 1, sizeof(sw_completion_record));
	for (guint i = 0; i < from->completions->len; i++) {
		const struct completion_record *row =
			&g_array_index(from->completions, struct completion_record, i);

		r.completions.completions_val[r.completions.completions_len++] =
			(sw_completion_record){
				.number = row->number,
				.task = copy_bounded(row->task, JOB_NAME_MAX),
				.attempt = row->attempt,
				.outcome = row->outcome,
				.checkpoint = copy_bounded(row->checkpoint, JOB_CHECKPOINT_MAX),
			};
	}
	g_array_append_val(b->results, r);
}

static void flush_orders(struct agents *a, uint32_t node, struct batch *b, uint32_t own)
{
	for (guint at = 0; at < b->orders->len; at += BATCH_MAX) {
		sw_order_batch out = {.leader = own, .term = b->term};

		out.orders.orders_val = &g_array_index(b->orders, sw_order, at);
		out.orders.orders_len = MIN(b->orders->len - at, BATCH_MAX);
		rpc_client_call(a->client(a->ctx, node), SW_PROC_ORDERS, &out, CALL_TIMEOUT_MS,
				NULL, NULL);
	}
	g_array_set_size(b->orders, 0);
}

/// Sends queued results at most every RESULTS_GAP_MS, because each message has a fixed cost at the
/// leader, which receives them from all agents.
static void flush_results(struct agents *a, uint32_t node, struct batch *b, clock_ms_t now)
{
	if (!b->results->len || now - b->results_sent_at < RESULTS_GAP_MS)
		return;
	b->results_sent_at = now;
	for (guint at = 0; at < b->results->len; at += BATCH_MAX) {
		sw_result_batch out = {.term = b->term};

		out.results.results_val = &g_array_index(b->results, sw_order_result, at);
		out.results.results_len = MIN(b->results->len - at, BATCH_MAX);
		rpc_client_call(a->client(a->ctx, node), SW_PROC_RESULTS, &out, CALL_TIMEOUT_MS,
				NULL, NULL);
	}
	g_array_set_size(b->results, 0);
}

void agents_flush(struct agents *a, uint32_t own, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, a->batches);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		flush_orders(a, GPOINTER_TO_UINT(key), value, own);
		flush_results(a, GPOINTER_TO_UINT(key), value, now);
	}
}

void agents_tick(struct agents *a, clock_ms_t now)
{
	g_autoptr(GArray) expired = g_array_new(FALSE, FALSE, sizeof(struct delegated_order));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->delegated);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct delegated_order *d = value;

		if (now < d->deadline)
			continue;
		g_array_append_val(expired, *d);
		g_hash_table_iter_remove(&iter);
	}
	for (guint i = 0; i < expired->len; i++) {
		const struct delegated_order *d =
			&g_array_index(expired, struct delegated_order, i);

		a->result(a->ctx, d->term, order_result_new(d->id, ORDER_NO_ANSWER));
	}
}

static struct order_result *decode_result(const sw_order_result *from)
{
	struct order_result *r = order_result_new(from->id, (enum order_status)from->status);

	r->clock_ms = from->clock_ms;
	r->incarnation_wall_ms = from->incarnation_wall_ms;
	for (u_int i = 0; i < from->runs.runs_len; i++) {
		const sw_running_attempt *row = &from->runs.runs_val[i];
		struct running_attempt to = {
			.task = g_strdup(row->task),
			.attempt = row->attempt,
			.checkpoint = g_strdup(row->checkpoint),
			.percent = row->percent,
			.usage = row->usage,
		};

		g_array_append_val(r->runs, to);
	}
	for (u_int i = 0; i < from->completions.completions_len; i++) {
		const sw_completion_record *row = &from->completions.completions_val[i];
		struct completion_record to = {
			.number = row->number,
			.task = g_strdup(row->task),
			.attempt = row->attempt,
			.outcome = (enum attempt_outcome)row->outcome,
			.checkpoint = g_strdup(row->checkpoint),
		};

		g_array_append_val(r->completions, to);
	}
	return r;
}

void agents_handle_results(struct agents *a, const sw_result_batch *batch)
{
	for (u_int i = 0; i < batch->results.results_len; i++) {
		const sw_order_result *from = &batch->results.results_val[i];
		const struct delegated_order *d = g_hash_table_lookup(a->delegated, &from->id);

		if (!d || d->term != batch->term)
			continue;
		g_hash_table_remove(a->delegated, &from->id);
		a->result(a->ctx, batch->term, decode_result(from));
	}
}

uint32_t agents_pick(const uint32_t *nodes, unsigned int n, const char *instance)
{
	uint32_t best = 0;
	XXH64_hash_t best_weight = 0;

	for (unsigned int i = 0; i < n; i++) {
		XXH64_hash_t weight = XXH64(instance, strlen(instance), nodes[i]);

		if (best && weight <= best_weight)
			continue;
		best = nodes[i];
		best_weight = weight;
	}
	return best;
}
