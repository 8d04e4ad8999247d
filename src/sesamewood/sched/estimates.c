#include "sched/estimates.h"

#define RATIO_FULL 100 /* percent: the estimate is exact */
#define RATIO_WEIGHT 8 /* a sample counts 1/8, since run times vary by about a third */
#define RATIO_MAX 2000 /* percent */
#define STEPS_ON_STACK 16

/// @return key of the ratio of a queue, step and image, owned by the caller
static char *ratio_key(const job_spec *spec, uint32_t step)
{
	return g_strdup_printf("%s|%u|%s", spec->queue, step, spec->steps.steps_val[step].image);
}

/// @return the ratio of a queue, step and image, percent; owned by the manager and never removed
static uint32_t *find_or_add_ratio(const struct manager *m, const struct job *job, uint32_t step)
{
	g_autofree char *key = ratio_key(&job->image.spec, step);
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

bool estimates_step_is_open(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s = job_step_tasks(job, occurrence, step);

	for (u_int i = 0; s && i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase != JOB_TASK_DONE)
			return true;
	return false;
}

/// @param ratios run time ratio of each step, percent
/// @param open   steps that are not done; NULL: all
static struct critical_path longest_path(const job_spec *spec, const uint32_t *ratios,
					 const bool *open)
{
	u_int steps = spec->steps.steps_len;
	struct critical_path on_stack[STEPS_ON_STACK] = {{0}};
	g_autofree struct critical_path *on_heap =
		steps > STEPS_ON_STACK ? g_new0(struct critical_path, steps) : NULL;
	struct critical_path *by_step = on_heap ? on_heap : on_stack;
	struct critical_path longest = {0};

	for (u_int s = 0; s < steps; s++) {
		const job_step *step = &spec->steps.steps_val[s];
		int64_t own_ms = (int64_t)step->estimate_ms * ratios[s] / 100;

		for (u_int i = 0; i < step->after.after_len; i++) {
			const struct critical_path *before = &by_step[step->after.after_val[i]];

			by_step[s].total_ms = MAX(by_step[s].total_ms, before->total_ms);
			by_step[s].remaining_ms =
				MAX(by_step[s].remaining_ms, before->remaining_ms);
		}
		by_step[s].total_ms += own_ms;
		by_step[s].remaining_ms += !open || open[s] ? own_ms : 0;
		longest.total_ms = MAX(longest.total_ms, by_step[s].total_ms);
		longest.remaining_ms = MAX(longest.remaining_ms, by_step[s].remaining_ms);
	}
	return longest;
}

struct critical_path estimates_open_path(const struct manager *m, const struct job *job,
					 const bool *open)
{
	u_int steps = job->image.spec.steps.steps_len;
	uint32_t on_stack[STEPS_ON_STACK];
	g_autofree uint32_t *on_heap = steps > STEPS_ON_STACK ? g_new(uint32_t, steps) : NULL;
	uint32_t *ratios = on_heap ? on_heap : on_stack;

	for (u_int s = 0; s < steps; s++)
		ratios[s] = estimates_ratio(m, job, s);
	return longest_path(&job->image.spec, ratios, open);
}

struct critical_path estimates_critical_path(const struct manager *m, const struct job *job,
					     uint32_t occurrence)
{
	u_int steps = job->image.spec.steps.steps_len;
	bool on_stack[STEPS_ON_STACK];
	g_autofree bool *on_heap = steps > STEPS_ON_STACK ? g_new(bool, steps) : NULL;
	bool *open = on_heap ? on_heap : on_stack;

	for (u_int s = 0; s < steps; s++)
		open[s] = estimates_step_is_open(job, occurrence, s);
	return estimates_open_path(m, job, open);
}

struct spec_estimate estimates_spec(const struct manager *m, const job_spec *spec)
{
	u_int steps = spec->steps.steps_len;
	g_autofree uint32_t *ratios = g_new(uint32_t, steps);
	g_autofree uint32_t *declared = g_new(uint32_t, steps);
	g_autofree uint32_t *depth = g_new(uint32_t, steps);
	struct spec_estimate estimate = {0};

	for (u_int s = 0; s < steps; s++) {
		const job_step *step = &spec->steps.steps_val[s];
		g_autofree char *key = ratio_key(spec, s);
		const uint32_t *ratio = g_hash_table_lookup(m->ratios, key);
		int64_t all_ms;

		ratios[s] = ratio ? *ratio : RATIO_FULL;
		declared[s] = RATIO_FULL;
		depth[s] = 1;
		for (u_int i = 0; i < step->after.after_len; i++)
			depth[s] = MAX(depth[s], depth[step->after.after_val[i]] + 1);
		estimate.chain_steps = MAX(estimate.chain_steps, depth[s]);
		all_ms = (int64_t)step->count * step->estimate_ms * ratios[s] / 100;
		if (step->long_running || step->best_effort)
			continue;
		estimate.work_core_us += all_ms * step->cpu_milli;
		estimate.first_core_us += step->after.after_len ? 0 : all_ms * step->cpu_milli;
		estimate.work_mb_ms += all_ms * step->mem_mb;
	}
	estimate.chain_ms = longest_path(spec, ratios, NULL).total_ms;
	estimate.declared_chain_ms = longest_path(spec, declared, NULL).total_ms;
	return estimate;
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
