#include "sched/capacity.h"

#include "sched/health.h"
#include "sched/machines.h"
#include "sched/suspects.h"

#define QUARANTINED_DIVISOR 3 /* at most 1/3 of a pool is left out as quarantined */
/// Full rebuild period. Finds changes without an event, such as missing heartbeats and expired
/// quarantines.
#define REBUILD_MS 100

static void pool_capacity_free(void *p)
{
	struct pool_capacity *pc = p;

	g_array_unref(pc->candidates);
	g_free(pc->pool);
	g_free(pc);
}

void capacity_update_max(struct pool_capacity *pc)
{
	pc->max_available = (struct resources){0};
	for (guint i = 0; i < pc->candidates->len; i++) {
		const struct resources *c =
			&g_array_index(pc->candidates, struct place_candidate, i).available;

		pc->max_available.cpu_milli = MAX(pc->max_available.cpu_milli, c->cpu_milli);
		pc->max_available.mem_mb = MAX(pc->max_available.mem_mb, c->mem_mb);
		pc->max_available.gpu = MAX(pc->max_available.gpu, c->gpu);
	}
}

static struct resources required_by(const job_step *step)
{
	return (struct resources){
		.cpu_milli = step->best_effort ? 0 : step->cpu_milli,
		.mem_mb = step->mem_mb,
		.gpu = step->gpu,
	};
}

static bool fits_within(const struct resources *a, const struct resources *b)
{
	return a->cpu_milli <= b->cpu_milli && a->mem_mb <= b->mem_mb && a->gpu <= b->gpu;
}

void capacity_record_no_fit(struct pool_capacity *pc, const job_step *step)
{
	struct resources size = required_by(step);

	for (unsigned int i = 0; i < pc->n_no_fit; i++)
		if (fits_within(&size, &pc->no_fit[i])) {
			pc->no_fit[i] = size;
			return;
		}
	if (pc->n_no_fit < CAPACITY_NO_FIT_MAX)
		pc->no_fit[pc->n_no_fit++] = size;
}

bool capacity_may_fit(const struct pool_capacity *pc, const job_step *step)
{
	struct resources size = required_by(step);

	if (!pc || !pc->candidates->len || !fits_within(&size, &pc->max_available))
		return false;
	for (unsigned int i = 0; i < pc->n_no_fit; i++)
		if (fits_within(&pc->no_fit[i], &size))
			return false;
	return true;
}

/* Candidates. */

static struct pool_capacity *find_or_add_pool(GHashTable *pools, const char *pool)
{
	struct pool_capacity *pc = g_hash_table_lookup(pools, pool);

	if (pc)
		return pc;
	pc = g_new0(struct pool_capacity, 1);
	pc->pool = g_strdup(pool);
	pc->candidates = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	g_hash_table_insert(pools, pc->pool, pc);
	return pc;
}

static bool accepts_tasks(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	clock_ms_t max_silence_ms =
		MISSED_HEARTBEATS_MAX * (clock_ms_t)m->settings.heartbeat_period_ms;

	return health_is_eligible(e, now, max_silence_ms) && !e->cordoned && !e->shutdown_ordered &&
	       !machines_has_open_maintenance(m, e->machine);
}

static struct place_candidate make_candidate(const struct manager *m, struct endpoint *e,
					     clock_ms_t now)
{
	struct place_candidate c = {
		.endpoint = e,
		.quarantined = health_is_quarantined(e, now) ||
			       (health_is_on_probation(e) && e->runs->len > e->long_running),
		.maintenance_due = g_hash_table_size(m->due_machines) &&
				   g_hash_table_contains(m->due_machines, e->machine),
		.runs = e->runs->len,
		.starting = suspects_count_starting(e),
		.trial = suspects_job_on_trial(e),
		.latency_sensitive = e->latency_sensitive,
		.best_effort = e->best_effort,
		.long_running = e->long_running,
	};

	place_set_capacity(&c, endpoint_free_capacity(e));
	return c;
}

static struct place_candidate *candidate_at(const struct pool_capacity *pc, guint i)
{
	return &g_array_index(pc->candidates, struct place_candidate, i);
}

static void remove_candidate(struct pool_capacity *pc, guint i)
{
	candidate_at(pc, i)->endpoint->candidate_index = -1;
	g_array_remove_index_fast(pc->candidates, i);
	if (i < pc->candidates->len)
		candidate_at(pc, i)->endpoint->candidate_index = (int)i;
}

static void add_candidate(struct pool_capacity *pc, const struct place_candidate *c)
{
	c->endpoint->pool_capacity = pc;
	c->endpoint->candidate_index = (int)pc->candidates->len;
	g_array_append_val(pc->candidates, *c);
}

/// Excludes a candidate from the rest of the round.
static void exclude(struct place_candidate *c)
{
	c->available = (struct resources){-1, -1, -1};
}

void capacity_reserve(struct pool_capacity *pc, struct place_candidate *c)
{
	pc->reserved++;
	exclude(c);
}

bool capacity_confirm(const struct manager *m, struct place_candidate *c, clock_ms_t now)
{
	if (accepts_tasks(m, c->endpoint, now))
		return true;
	exclude(c);
	return false;
}

/* Updates between rounds. */

static void refresh(struct manager *m, struct endpoint *e, clock_ms_t now)
{
	bool eligible = accepts_tasks(m, e, now);
	struct pool_capacity *pc;
	struct place_candidate c;

	if (e->candidate_index >= 0 && (!eligible || !g_str_equal(e->pool_capacity->pool, e->pool)))
		remove_candidate(e->pool_capacity, (guint)e->candidate_index);
	if (!eligible)
		return;
	c = make_candidate(m, e, now);
	pc = e->candidate_index >= 0 ? e->pool_capacity
				     : find_or_add_pool(m->pool_capacities, e->pool);
	if (e->candidate_index >= 0)
		*candidate_at(pc, (guint)e->candidate_index) = c;
	else if (!c.quarantined)
		add_candidate(pc, &c);
}

/// Removes quarantined candidates, unless more than a third of the pool is quarantined. In that
/// case the tasks are the likelier cause, and all endpoints are used.
static void drop_quarantined(struct pool_capacity *pc)
{
	for (guint i = pc->candidates->len;
	     i > 0 && pc->n_quarantined * QUARANTINED_DIVISOR <= pc->n_endpoints; i--)
		if (candidate_at(pc, i - 1)->quarantined)
			remove_candidate(pc, i - 1);
}

static void rebuild(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_clear_pointer(&m->pool_capacities, g_hash_table_unref);
	m->pool_capacities =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_capacity_free);
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;
		struct place_candidate c;
		struct pool_capacity *pc;

		e->capacity_changed = false;
		e->candidate_index = -1;
		/* A suspect counts until it is known whether it has crashed its endpoint. */
		if (suspects_job_on_trial(e))
			find_or_add_pool(m->pool_capacities, e->pool)->trials++;
		if (!accepts_tasks(m, e, now))
			continue;
		pc = find_or_add_pool(m->pool_capacities, e->pool);
		c = make_candidate(m, e, now);
		pc->n_endpoints++;
		pc->total.cpu_milli += e->cpu_milli;
		pc->total.mem_mb += e->mem_mb;
		pc->total.gpu += e->gpu;
		pc->n_quarantined += c.quarantined;
		add_candidate(pc, &c);
	}
	g_hash_table_iter_init(&iter, m->pool_capacities);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		drop_quarantined(value);
}

void capacity_update(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (!m->pool_capacities || now >= m->capacities_rebuild_at) {
		/* Drops the list first, since endpoints in it may have been freed. */
		g_ptr_array_set_size(m->capacity_changed, 0);
		m->capacities_rebuild_at = now + REBUILD_MS;
		rebuild(m, now);
	}
	for (guint i = 0; i < m->capacity_changed->len; i++) {
		struct endpoint *e = m->capacity_changed->pdata[i];

		e->capacity_changed = false;
		refresh(m, e, now);
	}
	g_ptr_array_set_size(m->capacity_changed, 0);
	g_hash_table_iter_init(&iter, m->pool_capacities);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_capacity *pc = value;

		pc->n_no_fit = 0;
		pc->reserved = 0;
		capacity_update_max(pc);
	}
}
