#ifndef SESAMEWOOD_SCHED_ESTIMATES_H
#define SESAMEWOOD_SCHED_ESTIMATES_H

/// @file
/// Run time estimates: the callers' estimates, corrected by a ratio learned per queue, step and
/// image, because callers' estimates can be far off.

#include "manager/manager_internal.h"

/// Updates the learned ratio from a completed attempt.
void estimates_record(struct manager *m, clock_ms_t now, const struct run *run);

/// Caches the ratios of a job in the job, so that placement rounds need no lookup.
void estimates_prepare(const struct manager *m, struct job *job);

/// @return learned ratio of measured to estimated run time, percent; 100 when unknown
uint32_t estimates_ratio(const struct manager *m, const struct job *job, uint32_t step);

/// @return work of one task, core-microseconds; 0 for long-running and best-effort tasks
int64_t estimates_task_work(const struct manager *m, const struct job *job, uint32_t step);

/// @return work of a whole job, core-microseconds
int64_t estimates_job_work(const struct manager *m, const struct job *job);

/// Lengths of the critical path through the steps of a job.
struct critical_path {
	int64_t total_ms;
	int64_t remaining_ms; ///< without the steps that are done
};

/// @return the critical path of one occurrence, by corrected estimates
struct critical_path estimates_critical_path(const struct manager *m, const struct job *job,
					     uint32_t occurrence);

#endif
