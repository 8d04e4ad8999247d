#ifndef SESAMEWOOD_SCHED_SCHEDULE_H
#define SESAMEWOOD_SCHED_SCHEDULE_H

/// @file
/// Which waiting tasks start now: the order in which jobs wait, learned run times, and the
/// round that hands tasks to placement.

#include "manager/manager_internal.h"

/// Starts what fits.
///
/// @return steps that might have found room, and were offered to endpoints
unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall);

/// Learns from an attempt that ended as done.
void schedule_note_duration(struct manager *m, clock_ms_t now, const struct run *r);

/// Handles the adviser's answer.
void schedule_advised(struct manager *m, clock_ms_t now, const struct pending *p,
		      const struct order_result *result);

void schedule_advice_free(void *advice);

/// @return jobs of a queue that have been accepted and of which no task has started
uint32_t schedule_waiting(const struct manager *m, const char *queue);

/// What waits for a pool.
struct schedule_demand {
	int64_t work;	     ///< of ready tasks that end by themselves, thousandths of a core x ms
	int64_t lasting_cpu; ///< of lasting tasks that wait, thousandths of a core
	uint32_t spread;     ///< endpoints that one step needs for its limit per endpoint
};

/// @return struct schedule_demand by pool; names borrow from the job state
GHashTable *schedule_demand(const struct manager *m, clock_ms_t wall);

/// @return work of a whole job by its statements and what was learned, thousandths of a core x ms
int64_t schedule_work(const struct manager *m, const struct job *job);

/// What decides a job's place among those that wait.
struct waiting_key {
	uint32_t priority; ///< of its queue; 0 first
	bool late;	   ///< it can no longer meet its objective
	int64_t slack_ms;  ///< time left to the objective less the work still to do
};

/// @return less than 0 when @p a goes before @p b
int schedule_compare(const struct waiting_key *a, const struct waiting_key *b);

/// Length of the longest chain of steps of a job that are not done, in one occurrence, ms.
///
/// @param ratio_percent learned ratio of true to stated run time, by step
int64_t schedule_chain_ms(const struct job *job, uint32_t occurrence, const uint32_t *ratio_percent,
			  bool only_open);

#endif
