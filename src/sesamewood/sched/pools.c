#include "sched/pools.h"

#include "base/log.h"
#include "sched/admission.h"
#include "sched/health.h"
#include "sched/demand.h"
#include "sched/estimates.h"
#include "sched/machines.h"
#include "sched/move_orders.h"

#include <limits.h>

#define POOL_PASS_MS 100      /* a fifteenth of the time of a move */
#define LEADER_SETTLE_MS 2000 /* all endpoints have sent a heartbeat to a new leader by then */
/// Time until an ordered machine starts work: the move and the first heartbeat.
#define MACHINE_LEAD_MS 1700
/// Time after the start of a machine within which waiting work should start: about the slack of a
/// short job.
#define CATCH_UP_MS 1000
#define ARRIVAL_WINDOW_MS 500 /* an eighth of the shortest surge */
/// Window in which the onset of a surge is seen: with 500 ms, the machines of a surge of 100 jobs a
/// second were ordered over 2.5 s, and the jobs of these seconds were late.
#define ONSET_WINDOW_MS 200
#define ONSET_JOBS_MIN 8 /* fewer jobs in the window may be chance */
#define ONSET_PERCENT_MIN                                                                          \
	160 /* of the rate in the long window; steady arrivals vary by a third                     \
	     */
/// Number of jobs in the window that count half as a rate: one large job is not a surge.
#define FEW_JOBS 2.0
#define USABLE_PERCENT 90 /* usable share of a machine; fragmentation takes the rest */
/// Idle time before a machine is moved to standby: by then idling has cost as much as two moves.
/// Counts from the first work on: before, nothing is known of the demand, and the first surge would
/// find the machines switched off (245 of 363 jobs in time, 356 since, in a trial with 2.5 s).
#define STANDBY_AFTER_IDLE_MS 2200
/// Share of a machine that the long-running tasks of a pool use while they move away from machines
/// due for maintenance; the machine's size is that of the largest, and other tasks use the rest.
#define RELOCATION_PERCENT 45
#define SPREAD_MACHINES_MAX 16 /* most machines requested for a limit per endpoint */
/// Share of the burst of machine orders that moves to standby leave for pools in need.
#define RESERVE_PERCENT 50
#define SHORTAGE_MS 1000	   /* a quarter of the shortest surge */
#define SHORTAGE_LOG_PERIOD_MS 500 /* a surge lasts some seconds */

struct pool {
	const job_pool *config;
	struct pool_load load;
	int idle_machines;		///< that may be moved, surplus or not
	struct admission_supply supply; ///< without "more"; only with admission control
	uint32_t not_due_machines;	///< of load.machines: no maintenance is pending
	/// Of load.long_running_cpu_milli: attempts on machines due for maintenance.
	int64_t due_long_running_cpu_milli;
};

/// Recently arrived jobs of one pool over a window; both values decay exponentially.
struct recent_jobs {
	double cpu_milli; ///< mean rate of their work, thousandths of a core
	double jobs;
};

struct arrivals {
	struct recent_jobs mean;  ///< over ARRIVAL_WINDOW_MS
	struct recent_jobs onset; ///< over ONSET_WINDOW_MS
};

/* Machines needed. */

int64_t pools_expected_arrivals(double cpu_milli, double jobs)
{
	return (int64_t)(cpu_milli * jobs / (jobs + FEW_JOBS));
}

int64_t pools_expected_arrivals_at_onset(int64_t mean_cpu_milli, double cpu_milli, double jobs)
{
	if (jobs < ONSET_JOBS_MIN || cpu_milli * 100 < (double)mean_cpu_milli * ONSET_PERCENT_MIN)
		return mean_cpu_milli;
	return MAX(mean_cpu_milli, pools_expected_arrivals(cpu_milli, jobs));
}

/// @return processor time that the tasks of a pool can use at once, thousandths of a core
static int64_t usable_at_once(const struct pool_load *l)
{
	return l->running_cpu_milli + l->waiting_cpu_milli +
	       l->arriving_cpu_milli * MACHINE_LEAD_MS / CATCH_UP_MS;
}

uint32_t pools_machines_needed(const struct pool_load *l)
{
	int64_t usable = l->machine_cpu_milli * USABLE_PERCENT / 100;
	int64_t supply = MAX((int64_t)l->machines * usable - l->long_running_cpu_milli, 0);
	int64_t left;
	int64_t wanted;
	int64_t n;

	if (usable <= 0)
		return l->machines;
	left = l->waiting_core_us + (l->arriving_cpu_milli - supply) * MACHINE_LEAD_MS +
	       l->running_cpu_milli * CATCH_UP_MS / 2;
	wanted = l->arriving_cpu_milli + MAX(left, 0) / CATCH_UP_MS;
	wanted = MIN(wanted, usable_at_once(l));
	wanted = MAX(wanted, l->running_cpu_milli);
	n = (wanted + l->long_running_cpu_milli + usable - 1) / usable;
	return (uint32_t)MAX(n, (int64_t)l->spread);
}

/* Machines. */

static bool is_usable(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	return health_is_eligible(e, now,
				  MISSED_HEARTBEATS_MAX *
					  (clock_ms_t)m->settings.heartbeat_period_ms) &&
	       !e->cordoned && !e->shutdown_ordered;
}

/// Updates the machines from the endpoints that take work.
static void update_machines(struct manager *m, clock_ms_t now)
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
		machines_set_pool(x, e->pool);
		if (e->runs->len)
			x->idle_since = 0;
		else if (!x->idle_since)
			x->idle_since = now;
		x->endpoint = e;
		x->endpoint_seen_at = now;
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

		x->pool_state = p;
		if (p && (machines_endpoint_on(x, now) || now < x->arrives_by ||
			  (x->is_up && now - m->leader_since < LEADER_SETTLE_MS))) {
			p->load.machines++;
			p->not_due_machines += !g_hash_table_contains(m->due_machines, x->name);
		}
	}
}

/// Adds an endpoint that takes work to the supply of its pool.
static void add_supply_of(struct manager *m, struct pool *p, const struct endpoint *e)
{
	struct admission_supply *s = &p->supply;

	s->now.cpu_milli += e->cpu_milli;
	s->now.mem_mb += e->mem_mb;
	m->max_machine_mem_mb = MAX(m->max_machine_mem_mb, e->mem_mb);
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		struct admission_capacity *to = r->long_running ? &s->held : &s->used;

		if (r->best_effort)
			continue;
		to->cpu_milli += r->cpu_milli;
		to->mem_mb += r->mem_mb;
	}
}

static void add_running_load(struct manager *m, GHashTable *pools, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct endpoint *e = value;
		struct pool *p = pool_of(pools, e->pool);
		bool due;

		if (!p || e->terminated)
			continue;
		due = g_hash_table_contains(m->due_machines, e->machine);
		p->load.machine_cpu_milli = MAX(p->load.machine_cpu_milli, e->cpu_milli);
		m->max_machine_cpu_milli = MAX(m->max_machine_cpu_milli, e->cpu_milli);
		if (m->admission && is_usable(m, e, now))
			add_supply_of(m, p, e);
		for (guint i = 0; i < e->runs->len; i++) {
			const struct run *r = e->runs->pdata[i];

			if (r->best_effort)
				continue;
			if (r->long_running) {
				p->load.long_running_cpu_milli += r->cpu_milli;
				p->due_long_running_cpu_milli += due ? r->cpu_milli : 0;
			} else
				p->load.running_cpu_milli += r->cpu_milli;
		}
	}
}

static GHashTable *measure_pool_loads(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	GHashTable *pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	g_autoptr(GHashTable) demand = demand_by_pool(m, wall_ms);
	GHashTableIter iter;
	gpointer value;

	for (u_int i = 0; i < m->jobs->config.pools.pools_len; i++) {
		const job_pool *config = &m->jobs->config.pools.pools_val[i];
		struct pool *p = g_new0(struct pool, 1);
		const struct arrivals *a = g_hash_table_lookup(m->arriving, config->name);

		p->config = config;
		if (a)
			p->load.arriving_cpu_milli = pools_expected_arrivals_at_onset(
				pools_expected_arrivals(a->mean.cpu_milli, a->mean.jobs),
				a->onset.cpu_milli, a->onset.jobs);
		g_hash_table_replace(pools, config->name, p);
	}
	add_supply(m, pools, now);
	add_running_load(m, pools, now);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *p = value;
		const struct demand *d = g_hash_table_lookup(demand, p->config->name);

		if (d) {
			p->load.waiting_core_us = d->work_core_us;
			p->load.waiting_cpu_milli = d->cpu_milli;
			p->load.long_running_cpu_milli += d->long_running_cpu_milli;
			p->load.spread = MIN(d->spread, SPREAD_MACHINES_MAX);
		}
		if (!p->load.machine_cpu_milli)
			p->load.machine_cpu_milli = m->max_machine_cpu_milli;
	}
	return pools;
}

void pools_record_accepted_job(struct manager *m, clock_ms_t now, const struct job *job)
{
	const job_spec *spec = &job->image.spec;
	struct arrivals *a = g_hash_table_lookup(m->arriving, spec->pool);
	double work_us;

	if (!m->demand_seen_at && !spec->steps.steps_val[0].long_running)
		m->demand_seen_at = now;
	if (!a) {
		a = g_new0(struct arrivals, 1);
		g_hash_table_insert(m->arriving, g_strdup(spec->pool), a);
	}
	work_us = (double)estimates_job_work(m, job);
	a->mean.cpu_milli += work_us / ARRIVAL_WINDOW_MS;
	a->mean.jobs++;
	a->onset.cpu_milli += work_us / ONSET_WINDOW_MS;
	a->onset.jobs++;
}

static void decay(struct recent_jobs *r, clock_ms_t elapsed_ms, clock_ms_t window_ms)
{
	double share = MAX(0.0, 1.0 - (double)elapsed_ms / (double)window_ms);

	r->cpu_milli *= share;
	r->jobs *= share;
}

static void decay_arrivals(struct manager *m, clock_ms_t elapsed_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->arriving);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct arrivals *a = value;

		decay(&a->mean, elapsed_ms, ARRIVAL_WINDOW_MS);
		decay(&a->onset, elapsed_ms, ONSET_WINDOW_MS);
	}
}

/* Moves. */

/// Tells whether a machine may be moved: it runs nothing and has no open order.
static bool may_be_moved(const struct machine *x, const struct endpoint *e, clock_ms_t now)
{
	return !x->in_flight && !x->target_pool && now >= x->retry_at && now >= x->arrives_by &&
	       (!e || !e->runs->len);
}

/// Tells whether a machine has no move in flight or unanswered.
static bool has_no_open_move(const struct machine *x)
{
	return !x->in_flight && !x->target_pool;
}

/// @return number of machines above the need of a pool; all machines of a standby pool are surplus
static int surplus_of(const struct pool *p)
{
	if (p->config->standby)
		return INT_MAX;
	return (int)p->load.machines - (int)pools_machines_needed(&p->load);
}

/// An idle machine that may be moved if its pool has a surplus.
struct idle_machine {
	struct machine *machine;
	struct endpoint *endpoint; ///< NULL: the machine is switched off
	struct pool *from;
	clock_ms_t idle_since; ///< start of the idle time; 0: switched off
};

static int compare_idle_machines(gconstpointer a, gconstpointer b)
{
	const struct idle_machine *x = a;
	const struct idle_machine *y = b;

	return (x->idle_since > y->idle_since) - (x->idle_since < y->idle_since);
}

/// Why a machine can or cannot be moved in a pass.
enum availability {
	AVAILABILITY_IDLE, ///< may be moved
	AVAILABILITY_NOT_UP,
	AVAILABILITY_MOVING, ///< a move is in flight or unanswered, or the machine has yet to
			     ///< arrive
	AVAILABILITY_IN_COOLDOWN,
	AVAILABILITY_RETRY_LATER, ///< it was rejected lately
	AVAILABILITY_IN_MAINTENANCE,
	AVAILABILITY_BUSY,	  ///< it runs something
	AVAILABILITY_NO_ENDPOINT, ///< no endpoint on it takes work, and it is not switched off
	AVAILABILITIES,
};

static enum availability availability_of(struct manager *m, const struct machine *x, clock_ms_t now)
{
	const struct endpoint *e = machines_endpoint_on(x, now);

	if (!x->is_up || !x->pool_state)
		return AVAILABILITY_NOT_UP;
	if (x->in_flight || x->target_pool || now < x->arrives_by)
		return AVAILABILITY_MOVING;
	if (now < x->retry_at)
		return AVAILABILITY_RETRY_LATER;
	if (e && e->runs->len)
		return AVAILABILITY_BUSY;
	if (machines_is_down(m, x->name))
		return AVAILABILITY_IN_MAINTENANCE;
	if (cooldown_applies(m->cooldown, x->name, now))
		return AVAILABILITY_IN_COOLDOWN;
	if (!x->pool_state->config->standby && (!e || !x->idle_since))
		return AVAILABILITY_NO_ENDPOINT;
	return AVAILABILITY_IDLE;
}

/// @param[out] counts machines by availability
/// @return struct idle_machine, owned by the caller: switched-off machines first, then the longest
/// idle
static GArray *list_idle_machines(struct manager *m, clock_ms_t now,
				  unsigned int counts[AVAILABILITIES])
{
	GArray *idle_machines = g_array_new(FALSE, FALSE, sizeof(struct idle_machine));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;
		struct idle_machine idle = {.machine = x, .idle_since = x->idle_since};
		enum availability availability = availability_of(m, x, now);

		counts[availability]++;
		if (availability != AVAILABILITY_IDLE)
			continue;
		idle.endpoint = machines_endpoint_on(x, now);
		idle.from = x->pool_state;
		if (idle.from->config->standby)
			idle.idle_since = 0;
		g_array_append_val(idle_machines, idle);
	}
	g_array_sort(idle_machines, compare_idle_machines);
	return idle_machines;
}

static bool may_move_to(const struct idle_machine *idle, const struct pool *to)
{
	return idle->from != to && has_no_open_move(idle->machine) &&
	       !(idle->machine->rejected_by_pool &&
		 g_str_equal(idle->machine->rejected_by_pool, to->config->name)) &&
	       surplus_of(idle->from) > 0;
}

/// Moves idle machines to a pool that needs more. One iteration is enough: a pool without a surplus
/// gains none within a pass.
static void move_idle_machines(struct manager *m, GArray *idle_machines, struct pool *to,
			       clock_ms_t now)
{
	uint32_t needed = pools_machines_needed(&to->load);

	if (to->load.machines < needed)
		m->pool_shortage_at = now;
	for (guint i = 0; i < idle_machines->len && to->load.machines < needed; i++) {
		struct idle_machine *idle = &g_array_index(idle_machines, struct idle_machine, i);

		if (!order_budget_allows(&m->order_budget, now, 0))
			return;
		if (!may_move_to(idle, to))
			continue;
		move_orders_send(m, now, idle->machine, to->config->name, idle->endpoint);
		idle->from->load.machines--;
		to->load.machines++;
	}
}

/// @return number of machines that are not due which a pool lacks for the long-running tasks that
/// have to leave due machines; negative: it has more
static int64_t lack_for_relocation(const struct pool *p)
{
	int64_t usable = (int64_t)p->load.machine_cpu_milli * RELOCATION_PERCENT / 100;

	if (!p->due_long_running_cpu_milli || usable <= 0)
		return -(int64_t)p->not_due_machines;
	return (p->load.long_running_cpu_milli + usable - 1) / usable -
	       (int64_t)p->not_due_machines;
}

/// Moves idle machines that are not due to a pool whose long-running tasks have to leave due
/// machines.
static void move_machines_for_relocation(struct manager *m, GArray *idle_machines, struct pool *to,
					 clock_ms_t now)
{
	int64_t n = lack_for_relocation(to);

	for (guint i = 0; i < idle_machines->len && n > 0; i++) {
		struct idle_machine *idle = &g_array_index(idle_machines, struct idle_machine, i);

		if (!order_budget_allows(&m->order_budget, now, RESERVE_PERCENT))
			return;
		if (!may_move_to(idle, to) ||
		    (!idle->from->config->standby && lack_for_relocation(idle->from) >= 0) ||
		    g_hash_table_contains(m->due_machines, idle->machine->name))
			continue;
		move_orders_send(m, now, idle->machine, to->config->name, idle->endpoint);
		idle->from->load.machines--;
		idle->from->not_due_machines--;
		to->load.machines++;
		to->not_due_machines++;
		n--;
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

/// Tells whether a pool keeps an idle machine for long-running tasks that have to leave due
/// machines.
static bool is_kept_for_relocation(const struct manager *m, const struct pool *p,
				   const struct machine *x)
{
	return p->due_long_running_cpu_milli && lack_for_relocation(p) >= 0 &&
	       !g_hash_table_contains(m->due_machines, x->name);
}

/// Moves machines that have been idle for STANDBY_AFTER_IDLE_MS to the standby pool.
static void move_to_standby(struct manager *m, GHashTable *pools, clock_ms_t now)
{
	const char *standby = standby_name(pools);
	GHashTableIter iter;
	gpointer value;

	if (!m->demand_seen_at || now - m->demand_seen_at < STANDBY_AFTER_IDLE_MS)
		return;
	g_hash_table_iter_init(&iter, m->machines);
	while (standby && order_budget_allows(&m->order_budget, now, RESERVE_PERCENT) &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct machine *x = value;
		struct endpoint *e = machines_endpoint_on(x, now);
		struct pool *from = x->pool_state;

		if (!e || !from || from->config->standby || !x->idle_since ||
		    now - x->idle_since < STANDBY_AFTER_IDLE_MS ||
		    cooldown_applies(m->cooldown, x->name, now) || !may_be_moved(x, e, now) ||
		    surplus_of(from) <= 0 || is_kept_for_relocation(m, from, x) ||
		    (x->rejected_by_pool && g_str_equal(x->rejected_by_pool, standby)))
			continue;
		move_orders_send(m, now, x, standby, e);
		from->load.machines--;
		from->not_due_machines -= !g_hash_table_contains(m->due_machines, x->name);
	}
}

/* Supply for admission control. */

/// @return number of machines that are on their way to a pool
static int count_arriving(const struct manager *m, const char *pool, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, m->machines);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct machine *x = value;

		if (x->target_pool)
			n += g_str_equal(x->target_pool, pool);
		else
			n += now < x->arrives_by && !machines_endpoint_on(x, now) &&
			     g_str_equal(x->pool, pool);
	}
	return n;
}

/// Counts the idle machines that pools other than @p to can spare.
static int count_spare(GHashTable *pools, const struct pool *to)
{
	GHashTableIter iter;
	gpointer value;
	int n = 0;

	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *from = value;

		if (from != to)
			n += CLAMP(surplus_of(from), 0, from->idle_machines);
	}
	return n;
}

/// Passes the supply of all pools on, after the moves of this pass.
static void measure_supplies(struct manager *m, GHashTable *pools, GArray *idle_machines,
			     clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < idle_machines->len; i++) {
		const struct idle_machine *idle =
			&g_array_index(idle_machines, struct idle_machine, i);

		idle->from->idle_machines += has_no_open_move(idle->machine);
	}
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *p = value;
		int64_t n = count_arriving(m, p->config->name, now) + count_spare(pools, p);

		p->supply.more.cpu_milli = n * m->max_machine_cpu_milli;
		p->supply.more.mem_mb = n * m->max_machine_mem_mb;
		admission_set_supply(m, p->config->name, &p->supply);
	}
}

/* Logs. */

/// Logs the load of a pool that needs more machines.
static void log_shortage(const struct pool *p, uint32_t needed)
{
	const struct pool_load *l = &p->load;

	log_info("pool needs machines", "POOL", p->config->name, "NEEDED", log_number(needed),
		 "MACHINES", log_number(l->machines), "WAITING_CORE_MS",
		 log_number((guint64)l->waiting_core_us / 1000), "WAITING_MILLI",
		 log_number((guint64)l->waiting_cpu_milli), "ARRIVING_MILLI",
		 log_number((guint64)l->arriving_cpu_milli), "RUNNING_MILLI",
		 log_number((guint64)l->running_cpu_milli), "LONG_RUNNING_MILLI",
		 log_number((guint64)l->long_running_cpu_milli));
}

/// Logs every SHORTAGE_LOG_PERIOD_MS which pools need more machines, and how many machines may be
/// moved.
///
/// @param counts machines by availability
static void log_shortages(struct manager *m, GHashTable *pools, const unsigned int *counts,
			  clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;
	bool any = false;

	if (now < m->next_shortage_log_at)
		return;
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool *p = value;
		uint32_t needed = pools_machines_needed(&p->load);

		if (p->config->standby || p->load.machines >= needed)
			continue;
		log_shortage(p, needed);
		any = true;
	}
	if (!any)
		return;
	m->next_shortage_log_at = now + SHORTAGE_LOG_PERIOD_MS;
	log_info("machines by availability", "IDLE", log_number(counts[AVAILABILITY_IDLE]),
		 "NOT_UP", log_number(counts[AVAILABILITY_NOT_UP]), "MOVING",
		 log_number(counts[AVAILABILITY_MOVING]), "IN_COOLDOWN",
		 log_number(counts[AVAILABILITY_IN_COOLDOWN]), "RETRY_LATER",
		 log_number(counts[AVAILABILITY_RETRY_LATER]), "IN_MAINTENANCE",
		 log_number(counts[AVAILABILITY_IN_MAINTENANCE]), "BUSY",
		 log_number(counts[AVAILABILITY_BUSY]), "NO_ENDPOINT",
		 log_number(counts[AVAILABILITY_NO_ENDPOINT]));
}

bool pools_lack_machines(const struct manager *m, clock_ms_t now)
{
	return m->pool_shortage_at && now - m->pool_shortage_at < SHORTAGE_MS;
}

void pools_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	g_autoptr(GHashTable) pools = NULL;
	g_autoptr(GArray) idle_machines = NULL;
	unsigned int counts[AVAILABILITIES] = {0};
	GHashTableIter iter;
	gpointer value;

	if (now < m->next_pool_pass_at)
		return;
	decay_arrivals(m, MIN(now - m->next_pool_pass_at + POOL_PASS_MS, ARRIVAL_WINDOW_MS));
	m->next_pool_pass_at = now + POOL_PASS_MS;
	if (!m->jobs->config.config_version)
		return;
	move_orders_list_when_due(m, now);
	update_machines(m, now);
	pools = measure_pool_loads(m, now, wall_ms);
	move_orders_retry(m, now);
	idle_machines = list_idle_machines(m, now, counts);
	log_shortages(m, pools, counts, now);
	g_hash_table_iter_init(&iter, pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct pool *)value)->config->standby)
			move_idle_machines(m, idle_machines, value, now);
	/* Last, and only while no pool lacks machines for its work: a surge goes first. */
	if (!pools_lack_machines(m, now)) {
		g_hash_table_iter_init(&iter, pools);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (!((struct pool *)value)->config->standby)
				move_machines_for_relocation(m, idle_machines, value, now);
	}
	move_to_standby(m, pools, now);
	if (!m->admission)
		return;
	measure_supplies(m, pools, idle_machines, now);
	admission_measure(m, now, wall_ms);
}
