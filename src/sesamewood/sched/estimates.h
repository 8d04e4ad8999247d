#ifndef SESAMEWOOD_SCHED_ESTIMATES_H
#define SESAMEWOOD_SCHED_ESTIMATES_H

/// @file
/// How long work takes: the callers' statements, corrected by what was learned of the same queue,
/// step and image. Answers statements that are far off.

#include "manager/manager_internal.h"

/// Learns from an attempt that ended as done.
void estimates_record(struct manager *m, clock_ms_t now, const struct run *r);

/// Looks the ratios of a job up once, so that each round finds them at hand.
void estimates_prepare(const struct manager *m, struct job *job);

/// @return learned ratio of true to stated run time, percent; 100 when nothing was learned
uint32_t estimates_ratio(const struct manager *m, const struct job *job, uint32_t step);

/// @return work of one task that ends by itself, thousandths of a core x ms; 0 for others
int64_t estimates_task_work(const struct manager *m, const struct job *job, uint32_t step);

/// @return work of a whole job, thousandths of a core x ms
int64_t estimates_job_work(const struct manager *m, const struct job *job);

/// Length of the longest chain of steps of a job, ms.
struct critical_path {
	int64_t total_ms;
	int64_t remaining_ms; ///< steps that are done count as nothing
};

/// @return the longest chain in one occurrence, by what was learned
struct critical_path estimates_critical_path(const struct manager *m, const struct job *job,
					     uint32_t occurrence);

#endif
