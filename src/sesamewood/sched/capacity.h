#ifndef SESAMEWOOD_SCHED_CAPACITY_H
#define SESAMEWOOD_SCHED_CAPACITY_H

/// @file
/// Free capacity of the pools in one placement round. In a surge far more tasks wait than a pool
/// holds; tasks that cannot fit are skipped without checking each endpoint.

#include "manager/manager_internal.h"
#include "sched/place.h"

#define CAPACITY_NO_FIT_MAX 8 /* recorded sizes that do not fit, per pool and round */

/// Free capacity of one pool in a placement round.
struct pool_capacity {
	char *pool;
	GArray *candidates; ///< of struct place_candidate
	unsigned int n_endpoints;
	unsigned int n_quarantined; ///< quarantined endpoints among them
	/// Upper bound over all candidates, for each kind of resource.
	struct resources max_available;
	struct resources no_fit[CAPACITY_NO_FIT_MAX]; ///< sizes that fit on no candidate
	unsigned int n_no_fit;
	unsigned int trials;	///< endpoints with an attempt on trial, unresponsive ones included
	unsigned int reserved;	///< candidates reserved for long-running tasks in this round
	struct resources total; ///< of its endpoints that take work, as of the last rebuild
	double weights; ///< sum over the accounts that use the pool or wait for it in this round
};

/// Updates the capacities of all pools for a round: changed endpoints in each round, all endpoints
/// every 100 ms.
void capacity_update(struct manager *m, clock_ms_t now);

/// Tells whether a candidate still takes work. If not, it is excluded from this round.
bool capacity_confirm(const struct manager *m, struct place_candidate *c, clock_ms_t now);

/// Recomputes the upper bound of free capacity; called again when a task fits nowhere.
void capacity_update_max(struct pool_capacity *pc);

/// Records that no candidate has capacity for a task of a step. Capacity only shrinks within a
/// round, so nothing of that size or larger is tried again.
void capacity_record_no_fit(struct pool_capacity *pc, const job_step *step);

/// Reserves a candidate: it gets no other work in this round.
void capacity_reserve(struct pool_capacity *pc, struct place_candidate *c);

/// Tells whether a task of a step may fit in a pool.
///
/// @return false if it certainly does not fit
bool capacity_may_fit(const struct pool_capacity *pc, const job_step *step);

#endif
