#ifndef SESAMEWOOD_JOBS_JOBS_H
#define SESAMEWOOD_JOBS_JOBS_H

/// @file
/// The replicated state of jobs: configured queues and pools, jobs with their tasks, the endpoint
/// incarnations that attempts are assigned to, and maintenance waves. Deterministic: the same
/// commands give the same state on every replica. See docs/jobs.md.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>

/// A task is given up after so many crashes of endpoints right after its start. A long-running task
/// never is: for the same counts it is only tried apart (sched/suspects.h).
#define JOBS_EARLY_CRASHES_MAX 3

/// The same, if only its job can have caused one of them.
#define JOBS_SINGLED_OUT_CRASHES_MAX 2

/// A task is given up after so many crashes at whatever time after its start, those of endpoints
/// that are only silent included.
#define JOBS_CRASHES_MAX 5

/// A job with its stored image and counters that are derived from it.
struct job {
	/// Of its occurrences, those that are not due yet need not exist: none of their tasks has
	/// been started. Those that are done have no steps.
	job_image image;
	char *account;		   ///< client account that submitted it; "" for none
	bool beyond_weight;	   ///< it arrived beyond the rate that its account is owed
	size_t bytes;		   ///< estimate of the memory that it takes
	uint32_t first_open;	   ///< all occurrences before this one are done
	uint32_t unfinished;	   ///< tasks that are not done, of all occurrences
	uint32_t assigned;	   ///< tasks with an attempt that may run
	uint32_t started;	   ///< attempts ordered so far, executed or not
	uint32_t confirmed;	   ///< attempts in state RUN_CONFIRMED; kept by runs/attempts.c
	clock_ms_t ended_seen_at;  ///< when this leader first saw that it has ended; 0: not yet
	bool has_results;	   ///< a task is done, or an attempt at one has failed
	bool may_have_ready_tasks; ///< hint that a ready task may be waiting; sched/schedule.c
				   ///< clears it when it finds none
	/// Run time ratios by step, cached by sched/estimates.c; NULL: not cached.
	const uint32_t **ratios;
	/// Its account at this leader, cached by sched/accounts.c; NULL: not cached.
	struct account *account_state;
};

/// One incarnation of an endpoint that attempts have been assigned to.
struct job_incarnation_state {
	job_incarnation endpoint;
	uint32_t assigned; ///< attempts that are assigned to it
};

/// The job state machine.
struct jobs {
	job_config config;
	job_access access;	     ///< accounts and open queues; see jobs/access.h
	GHashTable *account_by_key;  ///< index into access.accounts plus 1, by key digest
	GHashTable *account_by_name; ///< the same by name
	GHashTable *queues;	     ///< queue key to index into config.queues plus 1
	GHashTable *by_id;	     ///< struct job by id
	size_t bytes;		     ///< estimate of the memory that all jobs take
	uint32_t tombstones;	     ///< jobs that are tombstones
	GHashTable *incarnations;    ///< struct job_incarnation_state by number
	uint32_t next_endpoint;	     ///< number of the next endpoint incarnation
	GPtrArray *waves;	     ///< of job_wave *, oldest first
	GPtrArray *ordered_machines; ///< machines of the latest move and maintenance orders, oldest
				     ///< first; "": a time mark, see sched/cooldown.h
};

/// @return an empty state, owned by the caller; release with jobs_free()
struct jobs *jobs_new(void);
void jobs_free(struct jobs *j);

/// Applies one committed or proposed command. Commands that refer to unknown objects, or that were
/// applied before, change nothing.
void jobs_apply(struct jobs *j, const job_command *c);

/// Encodes the whole state.
///
/// @return the encoded snapshot, owned by the caller
GByteArray *jobs_snapshot(const struct jobs *j);

/// Replaces the state by a snapshot.
///
/// @return false on malformed input; the state is then empty
bool jobs_restore(struct jobs *j, const void *data, size_t len);

/// @return the job with that id, or NULL; owned by the state, as are the results of all lookups
struct job *jobs_find(const struct jobs *j, const char *id);

/// @return the task, or NULL when there is none
job_task *jobs_task(const struct jobs *j, const job_task_ref *ref);

/// Tells whether a job was cancelled before a request to submit it arrived. It has no steps and
/// stands for the promise that none of such requests will start it. It is retained like an ended
/// job.
bool job_is_tombstone(const struct job *job);

/// @return number of occurrences of a job; 1 for one without
uint32_t job_occurrences(const struct job *job);

/// @return estimate of the memory that a job takes once it is accepted, bytes
size_t job_estimate_bytes(const job_spec *spec);

/// Creates the occurrences that are due.
void job_create_due(struct job *job, int64_t wall_ms);

/// @return tasks of a step in an occurrence, or NULL if the occurrence is done or does not exist
/// yet
const job_step_state *job_step_tasks(const struct job *job, uint32_t occurrence, uint32_t step);

/// @return the queue of that key, or NULL
const job_queue *jobs_queue(const struct jobs *j, const char *key);

/// Finds the queue with the longest prefix of @p path on @p host.
///
/// @param[out] rest part of @p path after the prefix; borrowed from @p path
/// @return NULL when no queue matches
const job_queue *jobs_route(const struct jobs *j, const char *host, const char *path,
			    const char **rest);

/// @return the pool of that name, or NULL
const job_pool *jobs_pool(const struct jobs *j, const char *name);

/// @return the wave of that number, or NULL
job_wave *jobs_wave(const struct jobs *j, uint64_t number);

/// @return the endpoint incarnation with that number, or NULL
struct job_incarnation_state *jobs_incarnation(const struct jobs *j, uint32_t number);

/// Tells whether a task is given up for the crashes that are counted in it, unless it lasts.
bool job_task_is_given_up(const job_task *task);

/// @return failures that count against max_attempts for a task, or for the gang that it belongs to
uint32_t job_count_failures(const struct job *job, const job_task_ref *ref);

/// @return true if the job has completed, failed or been cancelled
bool job_has_ended(const struct job *job);

/// Tells whether tasks of an ended job run on until it is cancelled: those with an availability
/// budget, in which the task that was given up counts as unavailable.
bool job_keeps_running(const struct job *job, uint32_t step);

/// @return wall-clock time at which an occurrence is due; for a job without occurrences, the time
/// at which it was accepted
int64_t job_due_wall_ms(const struct job *job, uint32_t occurrence);

/// @return true if all steps that @p step depends on are done in that occurrence
bool job_step_is_ready(const struct job *job, uint32_t occurrence, uint32_t step);

#endif
