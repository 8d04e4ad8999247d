#ifndef SESAMEWOOD_SCHED_ACCOUNTS_H
#define SESAMEWOOD_SCHED_ACCOUNTS_H

/// @file
/// What each client account uses, and what its limits allow: the cap on its running work, and the
/// rate of jobs that it is owed. Use is counted from the attempts that the leader tracks, so that
/// starts in doubt, stops in flight and attempts at lost endpoints count until they are released.

#include "manager/manager_internal.h"

/// Use of one pool by the attempts of one account.
struct account_use {
	struct account *account;
	char *pool;
	struct resources used;
	unsigned int attempts;
	/* In the present placement round. */
	struct pool_capacity *capacity; ///< of the pool; NULL: the account takes no part in it
	struct resources planned;	///< use once the steps considered so far have started
};

/// One client account as the leader knows it. Work without an account has the name "".
struct account {
	char *name;
	/* From the configuration; all 0 for an account that it does not hold. */
	uint32_t weight_milli;
	uint32_t priority;
	struct resources cap; ///< 0: no limit
	/* From the attempts. */
	struct resources used; ///< over all pools
	GPtrArray *uses;       ///< of struct account_use; owned
	/* Token bucket of the jobs that it is owed. */
	int64_t tokens; ///< millionths of a job
	clock_ms_t tokens_at;
	/* Log of its cap. */
	bool was_at_cap; ///< as logged last
	clock_ms_t logged_at;
};

/// All accounts with jobs, attempts or limits under this leadership.
struct accounts;

struct accounts *accounts_new(void);
void accounts_free(struct accounts *a);

/// Takes over the limits of the present configuration. Called at the start of a leadership and
/// after each change of the configuration.
void accounts_configure(struct manager *m, clock_ms_t now);

/// Tells whether the configuration holds accounts.
bool accounts_are_configured(const struct manager *m);

/// @return the account of a job, owned by the manager; never NULL
struct account *accounts_of(const struct manager *m, struct job *job);

/// Counts an attempt. It stays in the pool in which its endpoint is now, whatever pool the endpoint
/// joins later.
void accounts_record_start(struct manager *m, struct run *r);

/// Stops counting an attempt.
void accounts_record_end(struct run *r);

/// Tells whether an account uses as much of a limited resource as its cap, or more.
bool accounts_is_at_cap(const struct account *a);

/// Tells whether the cap of a job's account allows a task of a step to start, or all members of a
/// gang. The use must be below the cap before the start (gang: before its last member), so it
/// exceeds the cap by less than one task.
bool accounts_allow_start(const struct manager *m, struct job *job, const job_step *step);

/// Tells whether a job that an account submits now is within the rate that the account is owed.
///
/// @param account  name of a configured account
bool accounts_has_token(struct manager *m, clock_ms_t now, const char *account);

/// Takes a token of an account for a job that it submits.
///
/// @param account  name of a configured account
/// @return false if the job is beyond the rate that the account is owed
bool accounts_take_token(struct manager *m, clock_ms_t now, const char *account);

/// Logs accounts that have reached or left their cap, at most once a second each, and counts those
/// at their cap in the backlog. Called at the end of a placement round.
void accounts_log_caps(struct manager *m, clock_ms_t now);

/* Shares of a pool. An account's share is its weight over the sum of the weights of all accounts
 * that use the pool or wait for it; its use is that of its dominant resource. Work without an
 * account counts as one account of weight 1. All of this holds for one placement round. */

/// Starts a round: the use of each account is what its attempts use.
void accounts_start_round(struct manager *m);

/// Records that an account waits for a pool in this round.
///
/// @return its use of the pool, owned by the manager
struct account_use *accounts_record_waiting(struct manager *m, struct job *job,
					    struct pool_capacity *capacity);

/// @return planned use over share; from 1 on, the account is over its share
double accounts_share_ratio(const struct account_use *u);

/// @return how many of @p n tasks of a step start while the planned use is below the share
uint32_t accounts_tasks_within_share(const struct account_use *u, const job_step *step, uint32_t n);

/// Adds @p n tasks of a step to the planned use.
void accounts_plan(struct account_use *u, const job_step *step, uint32_t n);

/// What the cap of each account leaves for waiting tasks, while demand is counted.
struct accounts_rest;

/// @return what the caps leave now, or NULL if there are no accounts
struct accounts_rest *accounts_rest_new(const struct manager *m);
void accounts_rest_free(struct accounts_rest *rest);

/// Takes the waiting tasks of a step from what the cap of its account leaves.
///
/// @param rest  NULL: no account has a cap
/// @return how many of @p waiting tasks the cap lets start
uint32_t accounts_rest_take(struct accounts_rest *rest, const struct manager *m, struct job *job,
			    const job_step *step, uint32_t waiting);

/// Tells whether the sums of use equal those over all tracked attempts. For tests.
bool accounts_use_is_consistent(const struct manager *m);

#endif
