#include "sched/pools.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "runs/lives.h"
#include "sched/health.h"
#include "sched/demand.h"
#include "sched/estimates.h"
#include "sched/machines.h"

#include <limits.h>

#define POOLS_PERIOD_MS 100  /* a fifteenth of a move */
#define LIST_PERIOD_MS 10000 /* moves are noted as they are made; the list finds the others */
#define LIST_RETRY_MS 1000
#define ORDER_TIMEOUT_MS 1500
#define SETTLE_MS 2000	/* every endpoint has reported to a new leader by then */
#define RETRY_MS 400	/* of a move without an answer */
#define BUSY_MS 1500	/* a machine that is not up is asked again after this */
#define ARRIVAL_MS 2500 /* from a move's answer to the endpoint's first report, at most */
/// Machines that come take this long until work starts there: the move, and the first report.
#define LEAD_MS 1700
/// What waits by then should start within so long: about the slack of a short job.
#define CATCH_UP_MS 1000
#define ARRIVAL_WINDOW_MS 500 /* an eighth of the shortest surge */
#define LOAD_PERCENT 90	      /* of a machine; the rest is lost to tasks that do not fit */
/// An idle machine is switched off after so long: it then cost as much as two moves.
#define IDLE_MS 2200
#define SPREAD_MAX 16 /* machines asked for only because of a limit per endpoint */

struct pool {
	const job_pool *config;
	struct pool_load load;
	double arriving; ///< decaying mean, thousandths of a core
};

/* Need. */

uint32_t pools_needed(const struct pool_load *l)
{
	int64_t usable = l->machine * LOAD_PERCENT / 100;
	int64_t supply = MAX((int64_t)l->have * usable - l->lasting, 0);
	int64_t left;
	int64_t wanted;
	int64_t n;

	if (usable <= 0)
		return l->have;
	left = l->waiting + (l->arriving - supply) * LEAD_MS + l->running * CATCH_UP_MS / 2;
	wanted = l->arriving + MAX(left, 0) / CATCH_UP_MS;
	wanted = MAX(wanted, l->running);
	n = (wanted + l->lasting + usable - 1) / usable;
	return (uint32_t)MAX(n, (int64_t)l->spread);
}

/* Machines. */

static void set_pool(struct machine *x, const char *pool)
{
	if (g_str_equal(x->pool, pool))
		return;
	g_free(x->pool);
	x->pool = g_strdup(pool);
}

static bool is_usable(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	return health_is_eligible(e, now,
				  SILENT_ANNOUNCEMENTS *
					  (clock_ms_t)m->settings.heartbeat_period_ms) &&
	       !e->cordoned && !e->ending;
}

/// @return the endpoint that takes work on a machine, or NULL
static struct endpoint *endpoint_on(const struct machine *x, clock_ms_t now)
{
	return x->seen_at == now ? x->endpoint : NULL;
}

/// Brings the machines up to date with what their endpoints report.
static void note_endpoints(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;
		struct machine *x;

		if (!*e->machine || !is_usable(m, e, now))
			continue;
		x = machines_get(m, e->machine);
		x->is_up = true;
		x->arrives_by = 0;
		set_pool(x, e->pool);
		if (e->runs->len)
			x->idle_since = 0;
		else if (!x->idle_since)
			x->idle_since = now;
		x->endpoint = e;
		x->seen_at = now;
	}
}

/* Loads. */

static struct pool *pool_of(GHashTable *pools, const char *name)
{
	return g_hash_table_lookup(pools, name);
}

static void add_supply(struct manager *m, GHashTable *pools, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;
		struct pool *p = pool_of(pools, x->pool);

		x->in = p;
		if (p && (endpoint_on(x, now) || now < x->arrives_by ||
			  (x->is_up && now - m->since < SETTLE_MS)))
			p->load.have++;
	}
}

static void add_runs(struct manager *m, GHashTable *pools)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct endpoint *e = value;
		struct pool *p = pool_of(pools, e->pool);

		if (!p || e->gone)
			continue;
		p->load.machine = MAX(p->load.machine, e->cpu_milli);
		m->max_machine_cpu_milli = MAX(m->max_machine_cpu_milli, e->cpu_milli);
		for (guint i = 0; i < e->runs->len; i++) {
			const struct run *r = e->runs->pdata[i];

			if (r->fills)
				continue;
			if (r->persistent)
				p->load.lasting += r->cpu_milli;
			else
				p->load.running += r->cpu_milli;
		}
	}
}

static GHashTable *measure(struct manager *m, clock_ms_t now, clock_ms_t wall)
{
	GHashTable *pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_autoptr(GHashTable) demand = demand_by_pool(m, wall);
	GHashTableIter iter;
	gpointer value;

	for (u_int i = 0; i < m->jobs->config.pools.pools_len; i++) {
		const job_pool *config = &m->jobs->config.pools.pools_val[i];
		struct pool *p = g_new0(struct pool, 1);
		const double *rate = g_hash_table_lookup(m->arriving, config->name);

		p->config = config;
		p->load.arriving = rate ? (int64_t)*rate : 0;
		g_hash_table_replace(pools, config->name, p);
	}
	add_supply(m, pools, now);
	add_runs(m, pools);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *p = value;
		const struct demand *d = g_hash_table_lookup(demand, p->config->name);

		if (d) {
			p->load.waiting = d->work;
			p->load.lasting += d->lasting_cpu;
			p->load.spread = MIN(d->spread, SPREAD_MAX);
		}
		if (!p->load.machine)
			p->load.machine = m->max_machine_cpu_milli;
	}
	return pools;
}

void pools_accepted(struct manager *m, const struct job *job)
{
	const job_spec *spec = &job->image.spec;
	double *rate = g_hash_table_lookup(m->arriving, spec->pool);

	if (!rate) {
		rate = g_new0(double, 1);
		g_hash_table_insert(m->arriving, g_strdup(spec->pool), rate);
	}
	*rate += (double)estimates_job_work(m, job) / ARRIVAL_WINDOW_MS;
}

static void decay_arrivals(struct manager *m, clock_ms_t elapsed_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->arriving);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		*(double *)value *= MAX(0.0, 1.0 - (double)elapsed_ms / ARRIVAL_WINDOW_MS);
}

/* Moves. */

static void send_move(struct manager *m, clock_ms_t now, struct machine *x, const char *pool,
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
	if (x->target != pool) {
		g_free(x->target);
		x->target = g_strdup(pool);
	}
	if (e) {
		e->ending = true;
		g_free(x->ends);
		x->ends = g_strdup(e->id);
	}
	effects_send_machine_order(m, now, o, 0);
}

/// Tells whether a machine may be moved: it runs nothing, and no order for it is open.
static bool is_free(const struct machine *x, const struct endpoint *e, clock_ms_t now)
{
	return !x->in_flight && !x->target && now >= x->next_at && now >= x->arrives_by &&
	       (!e || !e->runs->len);
}

/// Tells whether no move of a machine was ordered or is without an answer.
static bool is_idle(const struct machine *x)
{
	return !x->in_flight && !x->target;
}

/// @return surplus of a pool over its need, machines; a standby pool spares all
static int surplus_of(const struct pool *p)
{
	if (p->config->standby)
		return INT_MAX;
	return (int)p->load.have - (int)pools_needed(&p->load);
}

/// A machine that may be spared, unless its pool needs it.
struct spare {
	struct machine *machine;
	struct endpoint *endpoint; ///< NULL: switched off
	struct pool *from;
	clock_ms_t since; ///< idle since then; 0: switched off
};

static int compare_spares(gconstpointer a, gconstpointer b)
{
	const struct spare *x = a;
	const struct spare *y = b;

	return (x->since > y->since) - (x->since < y->since);
}

/// @return struct spare: switched-off machines first, then the longest idle
static GArray *list_spares(struct manager *m, clock_ms_t now)
{
	GArray *spares = g_array_new(FALSE, FALSE, sizeof(struct spare));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;
		struct spare s = {.machine = x, .since = x->idle_since};

		if (!x->is_up || x->in_flight || x->target)
			continue;
		s.endpoint = endpoint_on(x, now);
		s.from = x->in;
		if (!s.from || !is_free(x, s.endpoint, now) || machines_is_down(m, x->name, now) ||
		    manager_machine_in_cooldown(m, x->name, now))
			continue;
		if (s.from->config->standby)
			s.since = 0;
		else if (!s.endpoint || !s.since)
			continue;
		g_array_append_val(spares, s);
	}
	g_array_sort(spares, compare_spares);
	return spares;
}

static bool may_go_to(const struct spare *s, const struct pool *to)
{
	return s->from != to && is_idle(s->machine) &&
	       !(s->machine->not_for && g_str_equal(s->machine->not_for, to->config->name)) &&
	       surplus_of(s->from) > 0;
}

/// Moves spare machines to a pool that needs more. One pass: what a pool can't spare now it can't
/// spare later in the same look.
static void fill(struct manager *m, GArray *spares, struct pool *to, clock_ms_t now)
{
	uint32_t needed = pools_needed(&to->load);

	for (guint i = 0; i < spares->len && to->load.have < needed; i++) {
		struct spare *s = &g_array_index(spares, struct spare, i);

		if (!may_go_to(s, to))
			continue;
		send_move(m, now, s->machine, to->config->name, s->endpoint);
		s->from->load.have--;
		to->load.have++;
	}
}

static const char *standby_name(GHashTable *pools)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pool *)value)->config->standby)
			return ((struct pool *)value)->config->name;
	return NULL;
}

/// Switches off what has been idle for long.
static void switch_off(struct manager *m, GHashTable *pools, clock_ms_t now)
{
	const char *standby = standby_name(pools);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (standby && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;
		struct endpoint *e = endpoint_on(x, now);
		struct pool *from = x->in;

		if (!e || !from || from->config->standby || !x->idle_since ||
		    now - x->idle_since < IDLE_MS || manager_machine_in_cooldown(m, x->name, now) ||
		    !is_free(x, e, now) || surplus_of(from) <= 0 ||
		    (x->not_for && g_str_equal(x->not_for, standby)))
			continue;
		send_move(m, now, x, standby, e);
		from->load.have--;
	}
}

/// Sends moves again that had no answer: whether they were made is unknown until one is agreed.
static void repeat_moves(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;

		if (x->target && !x->in_flight && now >= x->next_at)
			send_move(m, now, x, x->target, endpoint_on(x, now));
	}
}

static void list_machines(struct manager *m, clock_ms_t now, const char *page)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_MACHINE_LIST,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.page = g_strdup(page),
		.not_after = now + ORDER_TIMEOUT_MS,
	};
	m->listing = true;
	m->next_list_at = now + LIST_PERIOD_MS;
	effects_send_order(m, now, o, NULL, NULL, 0);
}

void pools_tick(struct manager *m, clock_ms_t now, clock_ms_t wall)
{
	g_autoptr(GHashTable) pools = NULL;
	g_autoptr(GArray) spares = NULL;
	GHashTableIter iter;
	gpointer value;

	if (now < m->next_pool_pass_at)
		return;
	decay_arrivals(m, MIN(now - m->next_pool_pass_at + POOLS_PERIOD_MS, ARRIVAL_WINDOW_MS));
	m->next_pool_pass_at = now + POOLS_PERIOD_MS;
	if (!m->jobs->config.config_version)
		return;
	if (!m->listing && now >= m->next_list_at)
		list_machines(m, now, "");
	note_endpoints(m, now);
	pools = measure(m, now, wall);
	repeat_moves(m, now);
	spares = list_spares(m, now);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct pool *)value)->config->standby)
			fill(m, spares, value, now);
	switch_off(m, pools, now);
}

/* Results. */

static void finish_list(struct manager *m, clock_ms_t now, const struct order_result *result)
{
	m->listing = false;
	if (result->status != ORDER_OK) {
		m->next_list_at = now + LIST_RETRY_MS;
		return;
	}
	for (guint i = 0; i < result->machines->len; i++) {
		const struct machine_row *row =
			&g_array_index(result->machines, struct machine_row, i);
		struct machine *x = machines_get(m, row->machine);

		if (x->target || now < x->arrives_by)
			continue;
		set_pool(x, row->pool);
		x->is_up = row->state == MACHINE_UP;
	}
	if (result->next_page)
		list_machines(m, now, result->next_page);
}

/// @return the endpoint that a move of a machine ends, while it is there
static struct endpoint *endpoint_ended_by_move(struct manager *m, const struct machine *x)
{
	struct endpoint *e = x->ends ? lives_find(m, x->ends) : NULL;

	return e && !e->gone && e->ending && g_str_equal(e->machine, x->name) ? e : NULL;
}

static void finish_move(struct manager *m, clock_ms_t now, struct machine *x,
			const struct order_result *result)
{
	struct endpoint *e = endpoint_ended_by_move(m, x);

	x->in_flight = false;
	log_info("move answered", "MACHINE", x->name, "TO", x->target, "STATUS",
		 log_number(result->status));
	switch (result->status) {
	case ORDER_OK:
		set_pool(x, x->target);
		x->idle_since = 0;
		x->arrives_by = now + m->settings.move_ms + ARRIVAL_MS;
		if (e)
			attempts_endpoint_over(m, now, e);
		break;
	case ORDER_NO_ANSWER:
	case ORDER_TRY_LATER:
		x->next_at = now + RETRY_MS;
		return;
	case ORDER_FENCED:
		m->fenced_off = true;
		return;
	case ORDER_REJECTED:
	case ORDER_MACHINE_NOT_IN_WAVE:
		g_free(x->not_for);
		x->not_for = g_strdup(x->target);
		break;
	default:
		break;
	}
	g_clear_pointer(&x->target, g_free);
	g_clear_pointer(&x->ends, g_free);
	if (result->status == ORDER_OK)
		return;
	x->next_at = now + BUSY_MS;
	if (e)
		e->ending = false;
	m->next_list_at = MIN(m->next_list_at, now + LIST_RETRY_MS);
}

void pools_result(struct manager *m, clock_ms_t now, const struct pending *p,
		  const struct order_result *result)
{
	if (p->type == ORDER_MACHINE_LIST)
		finish_list(m, now, result);
	else
		finish_move(m, now, machines_get(m, p->machine), result);
}
