#ifndef SESAMEWOOD_SCHED_PLACE_H
#define SESAMEWOOD_SCHED_PLACE_H

/// @file
/// Placement: a pure choice among candidate endpoints whose free capacity the leader tracks. Small
/// tasks are packed, so that whole machines become free for another pool or for standby. Placement
/// respects limits of tasks per endpoint, gangs (all members start together) and data locality by
/// rack.

#include "runs/endpoint.h"

/// An endpoint that may get tasks in a placement round.
struct place_candidate {
	struct endpoint *endpoint;
	struct resources available;	///< free capacity, less what this round has placed
	int64_t cpu_available_permille; ///< free share of its processor, in thousandths
	unsigned int runs;		///< attempts at the endpoint
	unsigned int latency_sensitive; ///< attempts with a response time target
	unsigned int best_effort;	///< best-effort attempts
	unsigned int long_running;	///< long-running attempts
	unsigned int starting;		///< attempts that have yet to outlive their start
	const char
		*trial;	  ///< job of an attempt on trial, borrowed; NULL: none. Gets no other work.
	bool quarantined; ///< chosen only if no other candidate fits
	bool maintenance_due; ///< its machine is due for maintenance
	/// Tasks of the present step that are placed on it but not ordered yet.
	unsigned int planned;
	const char *ticket; ///< placement ticket, borrowed; NULL: not needed or not granted
};

/// A task to place.
struct place_request {
	const job_step *step;
	const char *job;
	uint32_t occurrence;
	uint32_t step_number;
	bool needs_ticket;
	bool singled_out; ///< only the tasks of the step that are singled out as the cause of a
			  ///< crash
	bool suspected;	  ///< the task may crash its endpoint: it is tried apart from other jobs
	/// Another endpoint of the pool may have an attempt on trial: one that runs other attempts,
	/// an idle one.
	bool may_open_trial, may_open_idle_trial;
	clock_ms_t job_age_ms;	///< time since the job was due
	const char *failed_at;	///< id of the endpoint where the task failed last, or NULL
	const char *rack;	///< only endpoints with this label; NULL: any
	bool remote_is_allowed; ///< the step may run on another rack than its data
	/// Keys of images (uint64_t) that form a bad pair with the step's; borrowed; NULL: none.
	const GArray *avoid;
	uint64_t image_key; ///< of the step; set only with avoid
};

/// @return index of the best candidate, or -1 if the task fits on no candidate now
int place_choose(const GArray *candidates, const struct place_request *request);

/// Tells whether a task fits at a candidate now, apart from the ticket that it may need.
bool place_fits_with_ticket(const struct place_candidate *c, const struct place_request *request);

/// Finds the candidate to reserve for a long-running task that fits nowhere now: the one that lacks
/// the least capacity and has enough once its tasks of bounded run time have ended. Without a
/// reservation, small tasks would take all capacity as it becomes free and starve a large one.
///
/// @return index of the candidate, or -1 if it will fit on none
int place_reserve(const GArray *candidates, const struct place_request *request);

/// Sets a candidate's free capacity.
void place_set_capacity(struct place_candidate *c, struct resources available);

/// Subtracts one task of a step from a candidate's free capacity.
void place_allocate(struct place_candidate *c, const job_step *step);

#endif
