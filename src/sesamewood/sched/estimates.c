#include "sched/estimates.h"

#define RATIO_FULL 100 /* percent: the estimate is exact */
#define RATIO_WEIGHT 8 /* a sample counts 1/8, since run times vary by about a third */
#define RATIO_MAX 2000 /* percent */
#define STEPS_ON_STACK 16

/// @return the ratio of a queue, step and image, percent; owned by the manager and never removed
static uint32_t *find_or_add_ratio(const struct manager *m, const struct job *job, uint32_t step)
{
	g_autofree char *key = g_strdup_printf("%s|%u|%s", job->image.spec.queue, step,
					       job->image.spec.steps.steps_val[step].image);
	uint32_t *ratio = g_hash_table_lookup(m->ratios, key);

	if (!ratio) {
		ratio = g_new(uint32_t, 1);
		*ratio = RATIO_FULL;
		g_hash_table_insert(m->ratios, g_steal_pointer(&key), ratio);
	}
	return ratio;
}

void estimates_prepare(const struct manager *m, struct job *job)
{
	u_int steps = job->image.spec.steps.steps_len;

	if (job->ratios || !steps)
		return;
	job->ratios = g_new(const uint32_t *, steps);
	for (u_int s = 0; s < steps; s++)
		job->ratios[s] = find_or_add_ratio(m, job, s);
}

uint32_t estimates_ratio(const struct manager *m, const struct job *job, uint32_t step)
{
	return job->ratios ? *job->ratios[step] : *find_or_add_ratio(m, job, step);
}

void estimates_record(struct manager *m, clock_ms_t now, const struct run *run)
{
	const struct job *job = jobs_find(m->jobs, run->ref.job);
	uint32_t *ratio;
	int64_t percent;

	if (!job || !run->estimate_ms || run->long_running || *run->checkpoint)
		return;
	percent = CLAMP((now - run->started_at) * 100 / run->estimate_ms, 1, RATIO_MAX);
	ratio = find_or_add_ratio(m, job, run->ref.step);
	*ratio = (*ratio * (RATIO_WEIGHT - 1) + (uint32_t)percent) / RATIO_WEIGHT;
}

static bool step_is_open(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s = job_step_tasks(job, occurrence, step);

	for (u_int i = 0; s && i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase != JOB_TASK_DONE)
			return true;
	return false;
}

struct critical_path estimates_critical_path(const struct manager *m, const struct job *job,
					     uint32_t occurrence)
{
	const job_spec *spec = &job->image.spec;
	u_int steps = spec->steps.steps_len;
	struct critical_path on_stack[STEPS_ON_STACK] = {{0}};
	g_autofree struct critical_path *on_heap =
		steps > STEPS_ON_STACK ? g_new0(struct critical_path, steps) : NULL;
	struct critical_path *by_step = on_heap ? on_heap : on_stack;
	struct critical_path longest = {0};

	for (u_int s = 0; s < steps; s++) {
		const job_step *step = &spec->steps.steps_val[s];
		int64_t own_ms = (int64_t)step->estimate_ms * estimates_ratio(m, job, s) / 100;

		for (u_int i = 0; i < step->after.after_len; i++) {
			const struct critical_path *before = &by_step[step->after.after_val[i]];

			by_step[s].total_ms = MAX(by_step[s].total_ms, before->total_ms);
			by_step[s].remaining_ms =
				MAX(by_step[s].remaining_ms, before->remaining_ms);
		}
		by_step[s].total_ms += own_ms;
		by_step[s].remaining_ms += step_is_open(job, occurrence, s) ? own_ms : 0;
		longest.total_ms = MAX(longest.total_ms, by_step[s].total_ms);
		longest.remaining_ms = MAX(longest.remaining_ms, by_step[s].remaining_ms);
	}
	return longest;
}

int64_t estimates_task_work(const struct manager *m, const struct job *job, uint32_t step)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];

	return s->long_running || s->best_effort ? 0
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
