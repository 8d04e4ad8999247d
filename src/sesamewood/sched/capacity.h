#ifndef SESAMEWOOD_SCHED_CAPACITY_H
#define SESAMEWOOD_SCHED_CAPACITY_H

/// @file
/// Room of the pools in one scheduling round. Answers surges that leave far more waiting than a
/// pool holds: what finds no room is neither ordered nor offered to each endpoint.

#include "manager/manager_internal.h"
#include "sched/place.h"

#define CAPACITY_NO_FIT_MAX 8 /* sizes that found no place, of one pool in one round */

/// What a pool offers in a round.
struct pool_capacity {
	char *pool;
	GArray *candidates; ///< of struct place_candidate
	unsigned int n_endpoints;
	unsigned int n_quarantined;		      ///< of them set aside by their record
	struct resources max_available;		      ///< no candidate has more of any kind
	struct resources no_fit[CAPACITY_NO_FIT_MAX]; ///< sizes that no candidate had room for
	unsigned int n_no_fit;
	unsigned int reserved; ///< candidates kept for lasting tasks in this round
};

/// Brings the rooms, struct pool_capacity by pool, up to date for a round: endpoints that were
/// touched at once, all of them from time to time.
void capacity_update(struct manager *m, clock_ms_t now);

/// Tells whether a candidate still takes work. If not, it is offered no more.
bool capacity_confirm(const struct manager *m, struct place_candidate *c, clock_ms_t now);

/// Notes the most that any candidate has; called again when a task has found no place.
void capacity_update_max(struct pool_capacity *r);

/// Notes that no candidate has room for a task of a step. Room only shrinks within a round, so
/// that nothing larger is tried again.
void capacity_record_no_fit(struct pool_capacity *r, const job_step *step);

/// Keeps a candidate from other work for this round.
void capacity_reserve(struct pool_capacity *r, struct place_candidate *c);

/// Tells whether a task of a step may find a place: false is certain.
bool capacity_may_fit(const struct pool_capacity *r, const job_step *step);

#endif
