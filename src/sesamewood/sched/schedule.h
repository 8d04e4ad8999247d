#ifndef SESAMEWOOD_SCHED_SCHEDULE_H
#define SESAMEWOOD_SCHED_SCHEDULE_H

/// @file
/// Which waiting tasks start now: the order in which jobs wait, and the round that hands tasks to
/// placement.

#include "manager/manager_internal.h"

/// Starts what fits.
///
/// @return steps that might have found room, and were offered to endpoints
unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// @return jobs of a queue that have been accepted and of which no task has started
uint32_t schedule_count_waiting(const struct manager *m, const char *queue);

/// What decides a job's place among those that wait.
struct waiting_key {
	uint32_t priority; ///< of its queue; 0 first
	bool late;	   ///< it can no longer meet its objective
	int64_t slack_ms;  ///< time left to the objective less the work still to do
};

/// @return less than 0 when @p a goes before @p b
int schedule_compare(const struct waiting_key *a, const struct waiting_key *b);

#endif
