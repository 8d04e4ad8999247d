#include "sched/estimates.h"

#define RATIO_FULL 100 /* percent: the statement is true */
#define RATIO_WEIGHT 8 /* an eighth of each new observation; runs differ by about a third */
#define RATIO_MAX 2000 /* percent */

struct ratio {
	uint32_t percent;
};

static char *ratio_key(const struct job *job, uint32_t step)
{
	return g_strdup_printf("%s|%u|%s", job->image.spec.queue, step,
			       job->image.spec.steps.steps_val[step].image);
}

uint32_t estimates_ratio(const struct manager *m, const struct job *job, uint32_t step)
{
	g_autofree char *key = ratio_key(job, step);
	const struct ratio *r = g_hash_table_lookup(m->ratios, key);

	return r ? r->percent : RATIO_FULL;
}

void estimates_note(struct manager *m, clock_ms_t now, const struct run *run)
{
	const struct job *job = jobs_find(m->jobs, run->ref.job);
	struct ratio *r;
	g_autofree char *key = NULL;
	int64_t percent;

	if (!job || !run->estimate_ms || run->persistent || *run->checkpoint)
		return;
	percent = CLAMP((now - run->started_at) * 100 / run->estimate_ms, 1, RATIO_MAX);
	key = ratio_key(job, run->ref.step);
	r = g_hash_table_lookup(m->ratios, key);
	if (!r) {
		r = g_new0(struct ratio, 1);
		r->percent = RATIO_FULL;
		g_hash_table_insert(m->ratios, g_steal_pointer(&key), r);
	}
	r->percent = (r->percent * (RATIO_WEIGHT - 1) + (uint32_t)percent) / RATIO_WEIGHT;
}

static bool is_step_open(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s =
		&job->image.occurrences.occurrences_val[occurrence].steps.steps_val[step];

	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase != JOB_TASK_DONE)
			return true;
	return false;
}

int64_t estimates_chain_ms(const struct job *job, uint32_t occurrence,
			   const uint32_t *ratio_percent, bool only_open)
{
	const job_spec *spec = &job->image.spec;
	g_autofree int64_t *end = g_new0(int64_t, spec->steps.steps_len + 1);
	int64_t longest = 0;

	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		const job_step *step = &spec->steps.steps_val[s];

		for (u_int i = 0; i < step->after.after_len; i++)
			end[s] = MAX(end[s], end[step->after.after_val[i]]);
		if (!only_open || is_step_open(job, occurrence, s))
			end[s] += (int64_t)step->estimate_ms * ratio_percent[s] / 100;
		longest = MAX(longest, end[s]);
	}
	return longest;
}

int64_t estimates_task_work(const struct manager *m, const struct job *job, uint32_t step)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];

	return s->persistent || s->fills ? 0
					 : (int64_t)s->cpu_milli * s->estimate_ms / 100 *
						   estimates_ratio(m, job, step);
}

int64_t estimates_job_work(const struct manager *m, const struct job *job)
{
	int64_t work = 0;

	for (u_int s = 0; s < job->image.spec.steps.steps_len; s++)
		work += estimates_task_work(m, job, s) * job->image.spec.steps.steps_val[s].count;
	return work;
}
