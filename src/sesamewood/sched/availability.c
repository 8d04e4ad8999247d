#include "sched/availability.h"

#include "sched/machines.h"

/// Delay before a task counts as ready, to notice one that fails as soon as it is ready.
#define READY_MARGIN_MS 200

void availability_invalidate(struct manager *m)
{
	m->ready_counts_valid = false;
}

bool availability_is_ready(const struct manager *m, const struct run *r, clock_ms_t now)
{
	return r->state == RUN_CONFIRMED && r->ready_since &&
	       now - r->ready_since >= READY_MARGIN_MS && !r->stop_wanted &&
	       !r->endpoint->unanswered_calls && !r->endpoint->shutdown_ordered &&
	       !machines_has_open_maintenance(m, r->endpoint->machine);
}

static job_step_state *step_of(const struct run *r)
{
	return &r->job->image.occurrences.occurrences_val[r->ref.occurrence]
			.steps.steps_val[r->ref.step];
}

/// Counts the ready long-running tasks by step.
static void count_ready_runs(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(m->ready_counts);
	g_hash_table_iter_init(&iter, m->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;
		gpointer step;
		guint n;

		if (!r->long_running || !availability_is_ready(m, r, now))
			continue;
		step = step_of(r);
		n = GPOINTER_TO_UINT(g_hash_table_lookup(m->ready_counts, step));
		g_hash_table_insert(m->ready_counts, step, GUINT_TO_POINTER(n + 1));
	}
	m->ready_counts_valid = true;
}

void availability_record_stop(struct manager *m, const struct run *r)
{
	gpointer step = step_of(r);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(m->ready_counts, step));

	if (m->ready_counts_valid && n)
		g_hash_table_insert(m->ready_counts, step, GUINT_TO_POINTER(n - 1));
}

static bool same_step(const struct run *a, const struct run *b)
{
	return a->job == b->job && a->ref.step == b->ref.step &&
	       a->ref.occurrence == b->ref.occurrence;
}

u_int availability_count_unavailable(struct manager *m, const struct run *of,
				     const struct endpoint *e, clock_ms_t now)
{
	const job_step_state *step = step_of(of);
	u_int unavailable;

	if (!m->ready_counts_valid)
		count_ready_runs(m, now);
	unavailable = step->tasks.tasks_len -
		      GPOINTER_TO_UINT(g_hash_table_lookup(m->ready_counts, step));
	if (!e)
		return unavailable - !availability_is_ready(m, of, now);
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		unavailable -= same_step(r, of) && !availability_is_ready(m, r, now);
	}
	return unavailable;
}

u_int availability_count_at(const struct endpoint *e, const struct run *of)
{
	u_int n = 0;

	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		n += same_step(r, of);
	}
	return n;
}

u_int availability_budget(const struct run *r)
{
	return job_has_ended(r->job) && !job_keeps_running(r->job, r->ref.step)
		       ? 0
		       : r->job->image.spec.steps.steps_val[r->ref.step].max_unavailable;
}

const struct run *availability_find_blocking_run(struct manager *m, const struct endpoint *e,
						 clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		u_int budget = availability_budget(r);

		if (budget &&
		    availability_count_unavailable(m, r, e, now) + availability_count_at(e, r) >
			    budget)
			return r;
	}
	return NULL;
}

bool availability_exceeds_budget_alone(const struct endpoint *e)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		u_int budget = availability_budget(r);

		if (budget && availability_count_at(e, r) > budget)
			return true;
	}
	return false;
}
