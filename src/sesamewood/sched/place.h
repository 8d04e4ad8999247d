#ifndef SESAMEWOOD_SCHED_PLACE_H
#define SESAMEWOOD_SCHED_PLACE_H

/// @file
/// Where a task goes: pure choice among candidates whose free room is counted by us. Answers the
/// load of many small tasks that arrive together (packed, so that whole machines become free for
/// another pool or to be switched off), of steps with limits
/// per endpoint, of gangs (all members at once) and of data that lies on one rack.

#include "runs/endpoint.h"

struct place_candidate {
	struct endpoint *endpoint;
	struct resources available;	///< free, counting what was placed in this round
	int64_t cpu_available_permille; ///< share of its processor that is free, in thousandths
	unsigned int runs;		///< attempts there
	unsigned int latency_sensitive; ///< of them with a response time target
	unsigned int best_effort;	///< of them that fill
	unsigned int long_running;	///< of them that last
	bool quarantined;		///< by its record: only when nothing else is left
	bool maintenance_due;		///< its machine is due for maintenance soon
	unsigned int planned;		///< of this step, chosen but not ordered yet
	const char *ticket;		///< NULL: the step needs none, or there is none
};

struct place_request {
	const job_step *step;
	const char *job;
	uint32_t occurrence;
	uint32_t step_number;
	bool needs_ticket;
	const char *failed_at; ///< endpoint where the task failed last, or NULL
	const char *rack;      ///< only endpoints with this label; NULL: any
	bool far_is_allowed;   ///< the step may run away from its data's rack
};

/// @return index of the best candidate, or -1 when the task fits nowhere now
int place_choose(const GArray *candidates, const struct place_request *request);

/// Finds a place for a lasting task that fits nowhere now: where it will fit once what ends by
/// itself has ended, and soonest. Answers small tasks that take each piece of room as it becomes
/// free, so that a large one would wait for as long as they come.
///
/// @return index of the candidate, or -1 when it will fit nowhere
int place_reserve(const GArray *candidates, const struct place_request *request);

/// Notes a candidate's free room.
void place_set_capacity(struct place_candidate *c, struct resources available);

/// Takes room for one task of a step.
void place_allocate(struct place_candidate *c, const job_step *step);

#endif
