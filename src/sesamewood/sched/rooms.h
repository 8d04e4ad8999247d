#ifndef SESAMEWOOD_SCHED_ROOMS_H
#define SESAMEWOOD_SCHED_ROOMS_H

/// @file
/// Room of the pools in one scheduling round. Answers surges that leave far more waiting than a
/// pool holds: what finds no room is neither ordered nor offered to each endpoint.

#include "manager/manager_internal.h"
#include "sched/place.h"

#define ROOMS_LACKS_MAX 8 /* sizes that found no place, of one pool in one round */

/// What a pool offers in a round.
struct pool_room {
	char *pool;
	GArray *candidates; ///< of struct place_candidate
	unsigned int total;
	unsigned int aside;		    ///< of them set aside by their record
	struct room most;		    ///< no candidate has more of any kind
	struct room lacks[ROOMS_LACKS_MAX]; ///< sizes that no candidate had room for
	unsigned int n_lacks;
	unsigned int reserved; ///< candidates kept for lasting tasks in this round
};

/// Brings the pool_capacities, struct pool_room by pool, up to date for a round: endpoints that
/// were capacity_changed at once, all of them from time to time.
void rooms_update(struct manager *m, clock_ms_t now);

/// Tells whether a candidate still takes work. If not, it is offered no more.
bool rooms_confirm(const struct manager *m, struct place_candidate *c, clock_ms_t now);

/// Notes the most that any candidate has; called again when a task has found no place.
void rooms_note_most(struct pool_room *r);

/// Notes that no candidate has room for a task of a step. Room only shrinks within a round, so
/// that nothing larger is tried again.
void rooms_note_lack(struct pool_room *r, const job_step *step);

/// Keeps a candidate from other work for this round.
void rooms_reserve(struct pool_room *r, struct place_candidate *c);

/// Tells whether a task of a step may find a place: false is certain.
bool rooms_may_fit(const struct pool_room *r, const job_step *step);

#endif
