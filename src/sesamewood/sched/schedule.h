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

/// Sort key of a waiting step. Without accounts, only the priority of the queue, lateness and slack
/// differ.
///
/// Bound on starvation, for the work of one queue priority: an account with owed work is served
/// before all that is beyond its weight or over its share, until it uses its share. So it lacks a
/// part of its share for no longer than the tasks take that run beyond the shares of others, of
/// which none starts while it waits. Work beyond the weight has no bound: it starts when no owed
/// work takes the capacity. Nor has work whose tasks need more than what any single endpoint frees.
struct waiting_key {
	uint32_t priority;	   ///< priority of its queue; 0 is served first
	bool beyond_weight;	   ///< its account is not owed the job
	bool over_share;	   ///< its account uses its share of the pool, or more
	bool late;		   ///< it can no longer meet its objective
	double share_ratio;	   ///< use over share of an account over its share; else 0
	int64_t slack_ms;	   ///< time to the deadline less the remaining critical path
	uint32_t account_priority; ///< of its account; 0 is served first
};

/// @return less than 0 if @p a is served before @p b
int schedule_compare(const struct waiting_key *a, const struct waiting_key *b);

#endif
