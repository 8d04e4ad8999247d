#ifndef SESAMEWOOD_SCHED_SUSPECTS_H
#define SESAMEWOOD_SCHED_SUSPECTS_H

/// @file
/// Tasks that crash the endpoints that start them: how an endpoint's end counts against the
/// attempts there. Pure. The counts, and when a task is given up: jobs/jobs.h.

#include "runs/endpoint.h"

/// Time after its start in which an attempt is a suspect when its endpoint crashes. Longer than the
/// start itself takes on a slow endpoint; each suspect is later tried apart for this long. A task
/// that crashes its endpoint later is bounded by JOBS_CRASHES_MAX.
#define SUSPECTS_START_MS 150

/// An endpoint that ended within this time after an attempt's start ended right after it: the time
/// in which an attempt on trial is a suspect, and until a call shows that the endpoint is silent.
#define SUSPECTS_START_KNOWN_MS 350

/// An attempt that has run for this long clears its task of earlier crashes. Far longer than any
/// task takes to start.
#define SUSPECTS_SETTLED_MS 10000

/// A task that has lost so many endpoints may be the cause of all of them.
#define SUSPECTS_KNOWN_CRASHES_MIN 3

/// An attempt at an endpoint that has ended.
struct suspects_attempt {
	const char *job;
	bool excluded;	///< certainly not executed, or its stop was acknowledged
	bool suspected; ///< its task was starting at an earlier crash
	bool is_known;	///< the endpoint has accepted its start or listed it
	/// Run time when the endpoint was last known to be alive; 0: it may not have started.
	clock_ms_t age_ms;
	/// Longest run time at the end of the endpoint; CLOCK_NEVER: unknown.
	clock_ms_t latest_age_ms;
	/// Others ended not long before, or fell silent, without a cause of their own; or another
	/// job was starting beside it.
	bool with_others;
	/* Counts of its task; see job_task. */
	uint32_t crashes;
	uint32_t early_crashes;
	bool singled_out;
};

/// @return what is known of an attempt that has run for @p age_ms
job_attempt_age suspects_age(clock_ms_t age_ms);

/// Decides how the end of an endpoint counts against each of its attempts. The suspects are those
/// that were starting; if some of these are suspects of an earlier crash, only they are. An end
/// that may have another cause makes a task a suspect, but never completes a count that gives it
/// up.
///
/// @param attempts   of struct suspects_attempt
/// @param with_rack  another endpoint of its rack ended at about the same time, so that the cause
/// may be none of the attempts
/// @return job_attempt_end_cause for each attempt, owned by the caller
GArray *suspects_judge(enum endpoint_end end, const GArray *attempts, bool with_rack);

/// Tells whether an endpoint certainly ended, or fell silent, right after an attempt's start.
bool suspects_ended_at_start(const struct suspects_attempt *a);

/// Tells whether nothing but an attempt is known that may have ended its endpoint.
bool suspects_loss_is_own(const struct suspects_attempt *a);

/// Tells whether a task is given up if one more loss of an endpoint counts against it, whatever the
/// time after its start.
bool suspects_next_loss_decides(uint32_t crashes);

/// Tells whether an attempt of an endpoint explains its end, so that this shows nothing of others:
/// one on trial, or one that lasts and has lost several endpoints.
bool suspects_explain_end(const struct endpoint *e, const struct jobs *jobs);

/// Tells whether a task is tried apart from other jobs: an endpoint crashed right after its start,
/// or several did at whatever time after it.
bool suspects_is_suspected(const job_task *task);

/// Tells whether an attempt at a suspected task has yet to outlive its start.
bool suspects_is_on_trial(const struct run *r);

/// @return job of an attempt on trial at an endpoint, borrowed from it, or NULL if there is none
const char *suspects_job_on_trial(const struct endpoint *e);

/// @return number of attempts at an endpoint that have yet to outlive their start
unsigned int suspects_count_starting(const struct endpoint *e);

/// @return number of endpoints, of @p n in a pool, that may have attempts on trial when one more is
/// opened at an endpoint that is idle or runs other attempts
///
/// @param job_age_ms  time since the suspect's job was due
unsigned int suspects_max_trials(unsigned int n, bool idle, clock_ms_t job_age_ms);

#endif
