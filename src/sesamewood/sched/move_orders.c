#include "sched/move_orders.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "runs/incarnations.h"
#include "sched/machines.h"

#define LIST_PERIOD_MS 10000 /* own moves are tracked; the list finds all others */
#define LIST_RETRY_MS 1000
/// Period of the list while it shows machines that will be up again within seconds: those that are
/// switched off send no heartbeat.
#define LIST_TRANSIENT_PERIOD_MS 1000
#define ORDER_TIMEOUT_MS 1500
#define RETRY_MS 400 /* delay before an unanswered move is sent again */
/// Delay before a machine is ordered again after a refusal, for example because it is not up.
#define MACHINE_BUSY_RETRY_MS 1500
#define MACHINE_ARRIVAL_MAX_MS 2500 /* longest time from a move's answer to the first heartbeat */

/* Moves. */

void move_orders_send(struct manager *m, clock_ms_t now, struct machine *x, const char *pool,
		      struct endpoint *e)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_MACHINE_MOVE,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.machine = g_strdup(x->name),
		.pool = g_strdup(pool),
		.holder = g_strdup(m->settings.holder),
		.not_after = now + ORDER_TIMEOUT_MS,
	};
	log_info("move ordered", "MACHINE", x->name, "FROM", x->pool, "TO", pool);
	x->in_flight = true;
	if (x->target_pool != pool) {
		g_free(x->target_pool);
		x->target_pool = g_strdup(pool);
	}
	if (e) {
		e->shutdown_ordered = true;
		g_free(x->shutdown_endpoint);
		x->shutdown_endpoint = g_strdup(e->id);
	}
	effects_send_machine_order(m, now, o, 0);
}

/// @return the endpoint that a move of a machine shuts down, or NULL if it has ended already
static struct endpoint *endpoint_ended_by_move(struct manager *m, const struct machine *x)
{
	struct endpoint *e =
		x->shutdown_endpoint ? incarnations_find_endpoint(m, x->shutdown_endpoint) : NULL;

	return e && !e->terminated && e->shutdown_ordered && g_str_equal(e->machine, x->name)
		       ? e
		       : NULL;
}

static void clear_move(struct machine *x)
{
	g_clear_pointer(&x->target_pool, g_free);
	g_clear_pointer(&x->shutdown_endpoint, g_free);
	x->in_doubt = false;
}

/// Settles an unanswered move, or sends it again. An endpoint that takes work on the machine is a
/// later one than the move was to shut down: in the target pool, it proves that the move was
/// executed; in another one, the move must not end its work.
static void retry_move(struct manager *m, clock_ms_t now, struct machine *x)
{
	struct endpoint *e = machines_endpoint_on(x, now);
	struct endpoint *earlier = endpoint_ended_by_move(m, x);
	bool is_done = e && g_str_equal(e->pool, x->target_pool);

	if (!is_done && !(e && e->runs->len)) {
		move_orders_send(m, now, x, x->target_pool, e);
		return;
	}
	log_info(is_done ? "unanswered move was executed" : "unanswered move is abandoned",
		 "MACHINE", x->name, "TO", x->target_pool, "ENDPOINT", e->id, "RUNS",
		 log_number(e->runs->len));
	if (earlier && earlier->incarnation_wall_ms < e->incarnation_wall_ms)
		attempts_handle_termination(m, now, earlier);
	clear_move(x);
}

void move_orders_retry(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;

		if (x->target_pool && !x->in_flight && now >= x->retry_at &&
		    order_budget_allows(&m->order_budget, now, 0))
			retry_move(m, now, x);
	}
}

/* Machine list. */

static void list_machines(struct manager *m, clock_ms_t now, const char *page)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_MACHINE_LIST,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.page = g_strdup(page),
		.not_after = now + ORDER_TIMEOUT_MS,
	};
	m->list_in_flight = true;
	if (!*page)
		m->next_list_at = now + LIST_PERIOD_MS;
	effects_send_order(m, now, o, NULL, NULL, 0);
}

void move_orders_list_when_due(struct manager *m, clock_ms_t now)
{
	if (!m->list_in_flight && now >= m->next_list_at)
		list_machines(m, now, "");
}

/* Results. */

static void handle_list_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			       const struct order_result *result)
{
	m->list_in_flight = false;
	if (result->status != ORDER_OK) {
		m->next_list_at = now + LIST_RETRY_MS;
		return;
	}
	for (guint i = 0; i < result->machines->len; i++) {
		const struct machine_row *row =
			&g_array_index(result->machines, struct machine_row, i);
		struct machine *x = machines_get(m, row->machine);

		if (row->state == MACHINE_UP)
			machines_handle_listed_up(m, x->name, p->sent_at);
		if (x->target_pool || now < x->arrives_by || machines_is_down(m, x->name))
			continue;
		machines_set_pool(x, row->pool);
		x->is_up = row->state == MACHINE_UP;
		if (row->state == MACHINE_MOVING || row->state == MACHINE_MAINTENANCE)
			m->next_list_at = MIN(m->next_list_at, now + LIST_TRANSIENT_PERIOD_MS);
	}
	if (result->next_page)
		list_machines(m, now, result->next_page);
}

static void complete_move(struct manager *m, clock_ms_t now, struct machine *x,
			  struct endpoint *ended)
{
	machines_set_pool(x, x->target_pool);
	x->idle_since = 0;
	x->arrives_by = now + m->settings.move_ms + MACHINE_ARRIVAL_MAX_MS;
	if (ended)
		attempts_handle_termination(m, now, ended);
	clear_move(x);
}

/// Tells whether a move stays open after a result: it will be sent again, or an earlier order of it
/// may still be executed.
static bool stays_open(const struct machine *x, enum order_status status)
{
	if (status == ORDER_NO_ANSWER || status == ORDER_TRY_LATER)
		return true;
	return x->in_doubt && (status == ORDER_NOT_SENT || status == ORDER_MACHINE_BUSY);
}

/// Withdraws a move that has had no effect.
static void withdraw_move(struct manager *m, clock_ms_t now, struct machine *x, struct endpoint *e,
			  enum order_status status)
{
	if (status == ORDER_REJECTED || status == ORDER_MACHINE_NOT_IN_WAVE) {
		g_free(x->rejected_by_pool);
		x->rejected_by_pool = g_strdup(x->target_pool);
	}
	if (e)
		e->shutdown_ordered = false;
	clear_move(x);
	if (status == ORDER_NOT_SENT)
		return;
	x->retry_at = now + MACHINE_BUSY_RETRY_MS;
	m->next_list_at = MIN(m->next_list_at, now + LIST_RETRY_MS);
}

static void handle_move_result(struct manager *m, clock_ms_t now, struct machine *x,
			       const struct order_result *result)
{
	struct endpoint *e = endpoint_ended_by_move(m, x);

	x->in_flight = false;
	x->in_doubt |= result->status == ORDER_NO_ANSWER;
	log_info("move answered", "MACHINE", x->name, "TO", x->target_pool, "STATUS",
		 log_number(result->status));
	if (result->status == ORDER_OK)
		complete_move(m, now, x, e);
	else if (result->status == ORDER_FENCED)
		m->fenced_off = true;
	else if (stays_open(x, result->status))
		x->retry_at = now + RETRY_MS;
	else
		withdraw_move(m, now, x, e, result->status);
}

void move_orders_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			       const struct order_result *result)
{
	if (p->type == ORDER_MACHINE_LIST)
		handle_list_result(m, now, p, result);
	else
		handle_move_result(m, now, machines_get(m, p->machine), result);
}
