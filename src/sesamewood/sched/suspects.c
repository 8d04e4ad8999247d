#include "sched/suspects.h"

#define LATE_CRASHES_MIN 2 /* a single one says little: it counts against all tasks there */
/// Parts of a pool's endpoints, at least one, that have attempts on trial at a time: where other
/// work is lost if the endpoint crashes, and where none is.
#define TRIALS_BUSY_PERCENT 12
#define TRIALS_IDLE_PERCENT 50
/// The same for an idle endpoint, once the suspect's job is older than TRIAL_WAIT_MS: with very
/// many suspects, the healthy ones among them would wait too long.
#define TRIALS_OVERDUE_PERCENT 90
#define TRIAL_WAIT_MS 10000

job_attempt_age suspects_age(clock_ms_t age_ms)
{
	if (age_ms >= SUSPECTS_SETTLED_MS)
		return JOB_ATTEMPT_SETTLED;
	return age_ms >= SUSPECTS_START_MS ? JOB_ATTEMPT_STARTED : JOB_ATTEMPT_STARTING;
}

static bool was_starting(const struct suspects_attempt *a)
{
	return !a->excluded && suspects_age(a->age_ms) == JOB_ATTEMPT_STARTING;
}

/// @return true if an attempt that was starting is a suspect of an earlier crash
static bool has_earlier_suspect(const GArray *attempts)
{
	for (guint i = 0; i < attempts->len; i++) {
		const struct suspects_attempt *a =
			&g_array_index(attempts, struct suspects_attempt, i);

		if (was_starting(a) && a->suspected)
			return true;
	}
	return false;
}

static bool is_suspect(const struct suspects_attempt *a, bool earlier_only)
{
	return was_starting(a) && (a->suspected || !earlier_only);
}

static bool are_of_one_job(const GArray *attempts, bool earlier_only)
{
	const char *job = NULL;

	for (guint i = 0; i < attempts->len; i++) {
		const struct suspects_attempt *a =
			&g_array_index(attempts, struct suspects_attempt, i);

		if (!is_suspect(a, earlier_only))
			continue;
		if (job && !g_str_equal(job, a->job))
			return false;
		job = a->job;
	}
	return job;
}

GArray *suspects_judge(enum endpoint_end end, const GArray *attempts, bool with_rack)
{
	GArray *out = g_array_sized_new(FALSE, FALSE, sizeof(job_attempt_end_cause), attempts->len);
	bool earlier_only = has_earlier_suspect(attempts);
	bool alone = !with_rack && are_of_one_job(attempts, earlier_only);

	for (guint i = 0; i < attempts->len; i++) {
		const struct suspects_attempt *a =
			&g_array_index(attempts, struct suspects_attempt, i);
		job_attempt_end_cause cause =
			alone ? JOB_ATTEMPT_CRASHED_ALONE : JOB_ATTEMPT_CRASHED;

		if (end == ENDPOINT_END_EXPECTED || a->excluded ||
		    suspects_age(a->age_ms) == JOB_ATTEMPT_SETTLED)
			cause = JOB_ATTEMPT_RELEASED;
		else if (end == ENDPOINT_END_SILENT || !a->is_known || !is_suspect(a, earlier_only))
			cause = JOB_ATTEMPT_LOST;
		g_array_append_val(out, cause);
	}
	return out;
}

bool suspects_is_suspected(const job_task *task)
{
	return task->early_crashes || task->crashes >= LATE_CRASHES_MIN;
}

static bool is_starting(const struct run *r)
{
	return r->state != RUN_CONFIRMED ||
	       r->endpoint->last_alive_at - r->started_at < SUSPECTS_START_MS;
}

bool suspects_is_on_trial(const struct run *r)
{
	return r->suspected && is_starting(r);
}

const char *suspects_job_on_trial(const struct endpoint *e)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		if (suspects_is_on_trial(r))
			return r->ref.job;
	}
	return NULL;
}

unsigned int suspects_count_starting(const struct endpoint *e)
{
	unsigned int n = 0;

	for (guint i = 0; i < e->runs->len; i++)
		n += is_starting(e->runs->pdata[i]);
	return n;
}

unsigned int suspects_max_trials(unsigned int n, bool idle, clock_ms_t job_age_ms)
{
	unsigned int percent = !idle			    ? TRIALS_BUSY_PERCENT
			       : job_age_ms < TRIAL_WAIT_MS ? TRIALS_IDLE_PERCENT
							    : TRIALS_OVERDUE_PERCENT;

	return MAX(n * percent / 100, 1);
}
