#include "sched/demand.h"

#include "sched/accounts.h"
#include "sched/estimates.h"
#include "sched/suspects.h"

static void add_demand(const struct manager *m, struct job *job, uint32_t occurrence, uint32_t step,
		       struct accounts_rest *rest, struct demand *d)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];
	const job_step_state *state = job_step_tasks(job, occurrence, step);
	uint32_t max_together = s->count;
	uint32_t count = s->count;
	uint32_t waiting = 0;
	uint32_t allowed;
	bool suspected = false;

	for (u_int i = 0; i < state->tasks.tasks_len; i++) {
		const job_task *t = &state->tasks.tasks_val[i];

		waiting += t->phase == JOB_TASK_WAITING;
		suspected |= t->phase == JOB_TASK_WAITING && suspects_is_suspected(t);
	}
	/* Tasks that the cap of their account keeps from starting need no machines. */
	allowed = accounts_rest_take(rest, m, job, s, waiting);
	count -= MIN(count, waiting - allowed);
	suspected &= allowed > 0;
	waiting = allowed;
	/* Each suspected job is tried at an endpoint of its own. */
	d->trials += suspected;
	d->spread = MAX(d->spread, d->trials);
	if (s->max_per_endpoint && (waiting || s->long_running))
		max_together = s->max_per_endpoint;
	if (s->max_unavailable)
		max_together = MIN(max_together, s->max_unavailable);
	if (max_together < count)
		d->spread = MAX(d->spread, (count + max_together - 1) / max_together);
	if (s->long_running && !s->best_effort)
		d->long_running_cpu_milli += (int64_t)waiting * s->cpu_milli;
	if (!s->long_running && !s->best_effort)
		d->cpu_milli += (int64_t)waiting * s->cpu_milli;
	d->work_core_us += waiting * estimates_task_work(m, job, step);
}

GHashTable *demand_by_pool(const struct manager *m, clock_ms_t wall_ms)
{
	GHashTable *pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	struct accounts_rest *rest = accounts_rest_new(m);

	for (guint i = 0; i < m->active->len; i++) {
		struct job *job = m->active->pdata[i];
		const job_queue *queue;
		struct demand *d;
		const char *pool;

		if (job_has_ended(job) || (job->unfinished == job->assigned &&
					   !job->image.spec.steps.steps_val[0].long_running))
			continue;
		queue = jobs_queue(m->jobs, job->image.spec.queue);
		pool = queue ? queue->pool : job->image.spec.pool;
		d = g_hash_table_lookup(pools, pool);
		if (!d) {
			d = g_new0(struct demand, 1);
			g_hash_table_insert(pools, (char *)pool, d);
		}
		for (u_int k = job->first_open; k < job->image.occurrences.occurrences_len; k++) {
			if (job->image.spec.occurrences && wall_ms < job_due_wall_ms(job, k))
				break;
			for (u_int s = 0; s < job->image.spec.steps.steps_len; s++)
				if (job_step_is_ready(job, k, s))
					add_demand(m, job, k, s, rest, d);
		}
	}
	accounts_rest_free(rest);
	return pools;
}
