#include "runs/attempts.h"

#include "base/log.h"
#include "sched/pace.h"

#include <string.h>

#define TERMINATION_WAIT_MS 120 /* an answer in flight takes at most 10 ms on healthy links */

char *attempts_task_name(const job_task_ref *ref)
{
	return g_strdup_printf("%s.%u.%u.%u", ref->job, ref->occurrence, ref->step, ref->index);
}

bool attempts_parse_task_name(const char *name, char *buffer, size_t size, job_task_ref *ref)
{
	const char *dot = strchr(name, '.');
	unsigned int k;
	unsigned int step;
	unsigned int index;
	int used = 0;

	if (!dot || (size_t)(dot - name) >= size ||
	    sscanf(dot, ".%u.%u.%u%n", &k, &step, &index, &used) != 3 || dot[used])
		return false;
	memcpy(buffer, name, dot - name);
	buffer[dot - name] = 0;
	*ref = (job_task_ref){.job = buffer, .occurrence = k, .step = step, .index = index};
	return true;
}

struct run *attempts_add(struct manager *m, clock_ms_t now, struct endpoint *e, struct job *job,
			 const job_task_ref *ref, uint32_t attempt)
{
	const job_step *step = &job->image.spec.steps.steps_val[ref->step];
	struct run *r = g_new0(struct run, 1);

	*r = (struct run){
		.name = attempts_task_name(ref),
		.ref = *ref,
		.attempt = attempt,
		.endpoint = e,
		.job = job,
		.cpu_milli = step->cpu_milli,
		.mem_mb = step->mem_mb,
		.gpu = step->gpu,
		.long_running = step->long_running,
		.best_effort = step->best_effort,
		.gang = step->gang,
		.target_ms = step->target_ms,
		.estimate_ms = step->estimate_ms,
		.checkpoint = g_strdup(""),
		.started_at = now,
		.progress_at = now,
		.pace = PACE_FULL,
		.pace_wanted = PACE_FULL,
	};
	r->ref.job = g_strdup(ref->job);
	g_hash_table_replace(m->runs, r->name, r);
	endpoint_add_run(e, r);
	manager_mark_capacity_changed(m, e);
	return r;
}

void attempts_set_state(struct run *r, enum run_state state)
{
	r->job->confirmed += (state == RUN_CONFIRMED) - (r->state == RUN_CONFIRMED);
	r->state = state;
}

void attempts_untrack(struct manager *m, struct run *r)
{
	r->job->confirmed -= r->state == RUN_CONFIRMED;
	endpoint_remove_run(r->endpoint, r);
	manager_mark_capacity_changed(m, r->endpoint);
	g_hash_table_remove(m->runs, r->name);
}

void attempts_release(struct manager *m, struct run *r, job_attempt_end_cause cause,
		      const char *checkpoint)
{
	bool was_open = !job_has_ended(r->job);
	job_command c = {
		.type = JOB_COMMAND_ATTEMPT_END,
		.job_command_u.end =
			{
				.attempt = r->attempt,
				.task = r->ref,
				.cause = cause,
				.checkpoint = (char *)checkpoint,
			},
	};

	log_debug("attempt released", "TASK", r->name, "ATTEMPT", log_number(r->attempt),
		  "ENDPOINT", r->endpoint->id, "CAUSE", log_number(cause));
	effects_propose(m, &c);
	if (cause == JOB_ATTEMPT_FAILED)
		log_info("attempt failed", "TASK", r->name, "ATTEMPT", log_number(r->attempt),
			 "ENDPOINT", r->endpoint->id);
	if (job_has_ended(r->job) && was_open)
		log_info("job ended", "JOB", r->ref.job, "PHASE", log_number(r->job->image.phase),
			 "ATTEMPTS", log_number(r->job->started));
	attempts_untrack(m, r);
}

void attempts_release_all(struct manager *m, struct endpoint *e)
{
	while (e->runs->len) {
		struct run *r = e->runs->pdata[e->runs->len - 1];

		attempts_release(m, r, JOB_ATTEMPT_RELEASED, r->checkpoint);
	}
}

void attempts_handle_termination(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	/* The outstanding status answer may list attempts that completed before termination. An
	 * ordered shutdown breaks the connection, so that the query is settled soon. */
	if (!e->terminated_at)
		e->terminated_at = now;
	if (e->status_query_open &&
	    (e->shutdown_ordered || now - e->terminated_at < TERMINATION_WAIT_MS))
		return;
	log_info("endpoint terminated; releasing its attempts", "ENDPOINT", e->id, "RUNS",
		 log_number(e->runs->len));
	attempts_release_all(m, e);
	e->terminated = true;
	m->round_wanted = true;
}
