#ifndef SESAMEWOOD_JOBS_JOBS_H
#define SESAMEWOOD_JOBS_JOBS_H

/// @file
/// The replicated state of jobs: queues and pools as configured, jobs with their tasks, the
/// endpoint lives that attempts were given to, and maintenance waves. Deterministic: the same
/// commands give the same state on every replica. Page: docs/jobs.md.

#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>

struct job {
	job_image image;
	uint32_t unfinished;	   ///< tasks that are not done
	uint32_t assigned;	   ///< tasks with an attempt that may run
	uint32_t started;	   ///< attempts that were ever given out
	bool may_have_ready_tasks; ///< a ready task may wait; cleared by sched/schedule.c once it
				   ///< found none
	const uint32_t **ratios;   ///< cache of sched/estimates.c, by step; NULL: none
};

/// One life of an endpoint that attempts were given to.
struct job_incarnation_state {
	job_incarnation endpoint;
	uint32_t assigned;
};

struct jobs {
	job_config config;
	GHashTable *queues;	  ///< index into config.queues + 1 by key
	GHashTable *by_id;	  ///< struct job by id
	GHashTable *incarnations; ///< struct job_incarnation_state by number
	uint32_t next_endpoint;
	GPtrArray *waves;   ///< of job_wave *, oldest first
	GPtrArray *ordered; ///< names of machines ordered about lately, oldest first
};

struct jobs *jobs_new(void);
void jobs_free(struct jobs *j);

/// Applies one committed or proposed command.
void jobs_apply(struct jobs *j, const job_command *c);

/// Encodes the whole state.
GByteArray *jobs_snapshot(const struct jobs *j);

/// Replaces the state by a snapshot.
///
/// @return false on malformed input; the state is then empty
bool jobs_restore(struct jobs *j, const void *data, size_t len);

/// @return the job, or NULL
struct job *jobs_find(const struct jobs *j, const char *id);

/// @return the task, or NULL when there is none
job_task *jobs_task(const struct jobs *j, const job_task_ref *ref);

/// @return the queue of that key, or NULL
const job_queue *jobs_queue(const struct jobs *j, const char *key);

/// Finds the queue with the longest prefix of @p path on @p host.
///
/// @param[out] rest what follows the prefix
/// @return NULL when no queue matches
const job_queue *jobs_route(const struct jobs *j, const char *host, const char *path,
			    const char **rest);

/// @return the pool of that name, or NULL
const job_pool *jobs_pool(const struct jobs *j, const char *name);

/// @return the wave of that number, or NULL
job_wave *jobs_wave(const struct jobs *j, uint64_t number);

/// @return the endpoint life of that number, or NULL
struct job_incarnation_state *jobs_incarnation(const struct jobs *j, uint32_t number);

/// Tells whether a job is over: completed, failed or cancelled.
bool job_has_ended(const struct job *job);

/// @return when an occurrence is due: a job without occurrences, when it was accepted
int64_t job_due_wall_ms(const struct job *job, uint32_t occurrence);

/// Tells whether all steps that a step comes after are done, in one occurrence.
bool job_step_is_ready(const struct job *job, uint32_t occurrence, uint32_t step);

#endif
