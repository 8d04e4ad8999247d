#ifndef SESAMEWOOD_JOBS_ACCESS_H
#define SESAMEWOOD_JOBS_ACCESS_H

/// @file
/// Client accounts in the replicated job state: whose key opens which queue, and the limits of each
/// account. Keys are held as digests. Part of the configuration, and replaced with it.

#include "jobs/jobs.h"

/// Digest of a key.
job_key_digest access_digest(const void *key, size_t len);

/// @return the account of that name, or NULL; owned by the state
const job_account *access_find(const struct jobs *j, const char *name);

/// @return the account that a key belongs to, or NULL; owned by the state
const job_account *access_find_by_key(const struct jobs *j, const void *key, size_t len);

/// Tells whether a queue takes requests without a key.
bool access_is_open(const struct jobs *j, const job_queue *queue);

/// Tells whether an account other than @p account may not see a job. A job whose account the
/// configuration no longer holds stays readable, as the account may have been renamed.
bool access_is_hidden(const struct jobs *j, const struct job *job, const job_account *account);

/* Used by jobs.c. */

void access_init(struct jobs *j);
void access_reset(struct jobs *j);
void access_clear(struct jobs *j);

/// Replaces accounts and open queues. Accounts that are missing from @p access but have open jobs
/// keep their limits, without keys.
///
/// @param access  NULL: none
void access_replace(struct jobs *j, const job_access *access);

/// Appends accounts and the owners of jobs to an encoded snapshot.
///
/// @return false if they exceed a limit of the format
bool access_append_snapshot(const struct jobs *j, GByteArray *out);

/// Restores what access_append_snapshot() wrote, into a state that holds the jobs.
bool access_restore(struct jobs *j, const void *data, size_t len);

#endif
