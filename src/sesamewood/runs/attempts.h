#ifndef SESAMEWOOD_RUNS_ATTEMPTS_H
#define SESAMEWOOD_RUNS_ATTEMPTS_H

/// @file
/// The attempts that this leader follows: added when ordered or inherited, released when it is
/// certain that they neither run nor ever will.

#include "manager/manager_internal.h"

/// @return job.occurrence.step.index; release with g_free()
char *attempts_task_name(const job_task_ref *ref);

/// Parses a task name into a reference that borrows from @p buffer.
bool attempts_parse_task_name(const char *name, char *buffer, size_t size, job_task_ref *ref);

/// Follows an attempt at an endpoint.
struct run *attempts_add(struct manager *m, clock_ms_t now, struct endpoint *e,
			 const struct job *job, const job_task_ref *ref, uint32_t attempt);

/// No longer follows an attempt, and says nothing of its end.
void attempts_untrack(struct manager *m, struct run *r);

/// Takes note of the end of an attempt, which is then no longer followed.
void attempts_release(struct manager *m, struct run *r, job_attempt_end_cause cause,
		      const char *checkpoint);

/// Releases all attempts at an endpoint with the checkpoints last seen.
void attempts_release_all(struct manager *m, struct endpoint *e);

/// An endpoint is certainly over: whatever ran there has ended.
void attempts_handle_termination(struct manager *m, clock_ms_t now, struct endpoint *e);

#endif
