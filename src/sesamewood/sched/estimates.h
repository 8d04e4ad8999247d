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

/// @return true if a task of a step is not done
bool estimates_step_is_open(const struct job *job, uint32_t occurrence, uint32_t step);

/// @param open by step, whether it is not done
/// @return the critical path of an occurrence whose open steps are known already
struct critical_path estimates_open_path(const struct manager *m, const struct job *job,
					 const bool *open);

/// Estimate of a job that is not accepted yet.
struct spec_estimate {
	int64_t work_core_us;	   ///< work of its bounded tasks, core-microseconds
	int64_t first_core_us;	   ///< part of it whose steps wait for no others
	int64_t work_mb_ms;	   ///< memory of these tasks times their run time
	int64_t chain_ms;	   ///< its critical path
	int64_t declared_chain_ms; ///< the same by the caller's estimates
	uint32_t chain_steps;	   ///< most steps that follow one another
};

/// @param spec with its queue set; learns nothing from it
struct spec_estimate estimates_spec(const struct manager *m, const job_spec *spec);

#endif
