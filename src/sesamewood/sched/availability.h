#ifndef SESAMEWOOD_SCHED_AVAILABILITY_H
#define SESAMEWOOD_SCHED_AVAILABILITY_H

/// @file
/// Availability budgets of long-running steps: how many of their tasks are unavailable, and what a
/// planned stop may take. A task is unavailable from its stop until its next attempt is ready.

#include "manager/manager_internal.h"

/// Drops the counts of ready tasks; they are counted again when they are next needed. Call it after
/// each change of an attempt or its endpoint, and at the start of each evaluation.
void availability_invalidate(struct manager *m);

/// Counts an attempt that was ready as unavailable, as it is to be stopped. Cheaper than counting
/// all again.
void availability_record_stop(struct manager *m, const struct run *r);

/// @return true if an attempt at a long-running task is ready and is not about to be ended
bool availability_is_ready(const struct manager *m, const struct run *r, clock_ms_t now);

/// Counts the unavailable tasks of an attempt's step, not counting the attempt itself.
///
/// @param e tasks at this endpoint are not counted either; NULL: excludes no endpoint
u_int availability_count_unavailable(struct manager *m, const struct run *of,
				     const struct endpoint *e, clock_ms_t now);

/// @return number of tasks of an attempt's step at an endpoint
u_int availability_count_at(const struct endpoint *e, const struct run *of);

/// @return availability budget of an attempt's step: tasks that may be unavailable at once; 0: none
u_int availability_budget(const struct run *r);

/// Finds an availability budget that shutting down an endpoint would exceed.
///
/// @return an attempt at the endpoint whose step would have too many unavailable tasks, or NULL
const struct run *availability_find_blocking_run(struct manager *m, const struct endpoint *e,
						 clock_ms_t now);

/// Tells whether an endpoint alone holds more tasks of a step than may be unavailable at once.
bool availability_exceeds_budget_alone(const struct endpoint *e);

#endif
