#ifndef SESAMEWOOD_RUNS_ATTEMPTS_H
#define SESAMEWOOD_RUNS_ATTEMPTS_H

/// @file
/// The attempts that this leader tracks. An attempt is added when it is ordered or inherited from
/// an earlier leader, and released once it is certain that it neither runs nor will ever run.

#include "manager/manager_internal.h"

/// @return task name "job.occurrence.step.index"; release with g_free()
char *attempts_task_name(const job_task_ref *ref);

/// Parses a task name into a reference that borrows from @p buffer.
///
/// @return false if the name is malformed or its job id does not fit into @p buffer
bool attempts_parse_task_name(const char *name, char *buffer, size_t size, job_task_ref *ref);

/// Starts tracking an attempt at an endpoint.
///
/// @return the attempt, owned by the manager
struct run *attempts_add(struct manager *m, clock_ms_t now, struct endpoint *e, struct job *job,
			 const job_task_ref *ref, uint32_t attempt);

/// Changes the state of an attempt, and the count of its job's confirmed attempts.
void attempts_set_state(struct run *r, enum run_state state);

/// Tells whether a start order of a tracked attempt may still be executed, at the known incarnation
/// or, if that does not know of the attempt, at a later one under the same id.
bool attempts_may_start_late(const struct manager *m, const struct run *r, clock_ms_t now);

/// Stops tracking an attempt without recording an end for it.
void attempts_untrack(struct manager *m, struct run *r);

/// Records the end of an attempt and stops tracking it.
void attempts_release(struct manager *m, struct run *r, job_attempt_end_cause cause,
		      const char *checkpoint);

/// Releases an attempt at an endpoint that is silent: it has certainly ended, but its endpoint may
/// not. A loss that its task may have caused is kept until that is known.
void attempts_release_silent(struct manager *m, struct run *r);

/// Counts the losses kept for an endpoint, which has ended unexpectedly, against their tasks.
///
/// @param is_proven  otherwise it is only silent for good, for which no task is given up
void attempts_confirm_losses(struct manager *m, struct endpoint *e, bool is_proven);

/// Drops the losses kept for an endpoint, which was only unreachable or was shut down by an order.
void attempts_drop_losses(struct manager *m, struct endpoint *e);

/// Tells whether a task that would be given up for its next loss waits: until it is known whether
/// endpoints that fell silent under it have crashed, and until no others end without a known cause.
bool attempts_await_confirmation(const struct manager *m, clock_ms_t now, const struct job *job,
				 const job_task_ref *ref);

/// Releases all attempts at an endpoint with their last reported checkpoints.
void attempts_release_all(struct manager *m, struct endpoint *e);

/// Handles the certain termination of an endpoint: releases its attempts. While the answer to a
/// status query is outstanding, waits for it for a bounded time, as it may list completions.
void attempts_handle_termination(struct manager *m, clock_ms_t now, struct endpoint *e);

/// Handles the termination of an endpoint that this leader may not have ordered: records how it
/// became known, then works as attempts_handle_termination().
void attempts_handle_loss(struct manager *m, clock_ms_t now, struct endpoint *e,
			  enum endpoint_end end);

/// Decides how the unexpected end of an endpoint counts against each of its attempts, and logs it.
void attempts_judge_loss(struct manager *m, clock_ms_t now, struct endpoint *e,
			 enum endpoint_end end);

/// Tells whether an endpoint's end was ordered by a leader or announced by the endpoint.
bool attempts_end_is_expected(const struct manager *m, clock_ms_t now, const struct endpoint *e);

#endif
