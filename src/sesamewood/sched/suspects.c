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

bool suspects_ended_at_start(const struct suspects_attempt *a)
{
	return was_starting(a) && a->is_known && a->latest_age_ms <= SUSPECTS_START_KNOWN_MS;
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

bool suspects_loss_is_own(const struct suspects_attempt *a)
{
	if (!a->is_known)
		return false;
	return !a->with_others || (a->early_crashes && suspects_ended_at_start(a));
}

bool suspects_next_loss_decides(uint32_t crashes)
{
	return crashes + 1 >= JOBS_CRASHES_MAX;
}

/// @param alone  only attempts of one job can have ended the endpoint
static job_attempt_end_cause cause_of_start(const struct suspects_attempt *a, bool alone)
{
	/* The first end may have had another cause: only ends right after a start single out. */
	return alone && (!a->early_crashes || a->singled_out) ? JOB_ATTEMPT_CRASHED_ALONE
							      : JOB_ATTEMPT_CRASHED;
}

/// @param is_explained  the endpoint ended right after the start of an earlier suspect
static job_attempt_end_cause cause_of(enum endpoint_end end, const struct suspects_attempt *a,
				      bool earlier_only, bool is_explained, bool alone)
{
	if (end == ENDPOINT_END_EXPECTED || a->excluded ||
	    suspects_age(a->age_ms) == JOB_ATTEMPT_SETTLED)
		return JOB_ATTEMPT_RELEASED;
	if (is_explained && !is_suspect(a, true))
		return JOB_ATTEMPT_RELEASED;
	if (end != ENDPOINT_END_SILENT && a->is_known && is_suspect(a, earlier_only)) {
		if (suspects_ended_at_start(a) &&
		    (!suspects_next_loss_decides(a->crashes) || suspects_loss_is_own(a)))
			return cause_of_start(a, alone);
		if (!a->early_crashes && a->crashes < LATE_CRASHES_MIN)
			return JOB_ATTEMPT_CRASHED; /* makes it a suspect */
	}
	return suspects_next_loss_decides(a->crashes) && !suspects_loss_is_own(a)
		       ? JOB_ATTEMPT_RELEASED
		       : JOB_ATTEMPT_LOST;
}

GArray *suspects_judge(enum endpoint_end end, const GArray *attempts, bool with_rack)
{
	GArray *out = g_array_sized_new(FALSE, FALSE, sizeof(job_attempt_end_cause), attempts->len);
	bool earlier_only = has_earlier_suspect(attempts);
	bool alone = !with_rack && are_of_one_job(attempts, earlier_only);
	bool is_explained = false;

	for (guint i = 0; i < attempts->len && end != ENDPOINT_END_SILENT; i++) {
		const struct suspects_attempt *a =
			&g_array_index(attempts, struct suspects_attempt, i);

		is_explained |= is_suspect(a, true) && suspects_ended_at_start(a);
	}
	for (guint i = 0; i < attempts->len; i++) {
		job_attempt_end_cause cause =
			cause_of(end, &g_array_index(attempts, struct suspects_attempt, i),
				 earlier_only, is_explained, alone);

		g_array_append_val(out, cause);
	}
	return out;
}

bool suspects_explain_end(const struct endpoint *e, const struct jobs *jobs)
{
	if (suspects_job_on_trial(e))
		return true;
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		const job_task *task = r->long_running ? jobs_task(jobs, &r->ref) : NULL;

		if (task && task->crashes >= SUSPECTS_KNOWN_CRASHES_MIN)
			return true;
	}
	return false;
}

bool suspects_is_suspected(const job_task *task)
{
	return task->early_crashes || task->crashes >= LATE_CRASHES_MIN;
}

static bool is_younger(const struct run *r, clock_ms_t age_ms)
{
	return r->state != RUN_CONFIRMED || r->endpoint->last_alive_at - r->started_at < age_ms;
}

static bool is_starting(const struct run *r)
{
	return is_younger(r, SUSPECTS_START_MS);
}

bool suspects_is_on_trial(const struct run *r)
{
	return r->suspected &&
	       is_younger(r, r->last_trial ? SUSPECTS_SETTLED_MS : SUSPECTS_START_MS);
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
