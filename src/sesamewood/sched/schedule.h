#ifndef SESAMEWOOD_SCHED_SCHEDULE_H
#define SESAMEWOOD_SCHED_SCHEDULE_H

/// @file
/// Scheduling of waiting tasks: their order, and the placement round that starts them.

#include "manager/manager_internal.h"

/// Runs a placement round: starts the waiting tasks that fit.
///
/// @return number of steps that passed the capacity check and were tried on endpoints
unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// @return number of accepted jobs of a queue without a result and without a confirmed attempt
uint32_t schedule_count_waiting(const struct manager *m, const char *queue);

/// Sort key of a waiting job.
struct waiting_key {
	uint32_t priority; ///< priority of its queue; 0 is served first
	bool late;	   ///< it can no longer meet its objective
	int64_t slack_ms;  ///< time to the deadline less the remaining critical path
};

/// @return less than 0 if @p a is served before @p b
int schedule_compare(const struct waiting_key *a, const struct waiting_key *b);

#endif
