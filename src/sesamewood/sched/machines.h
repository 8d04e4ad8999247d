#ifndef SESAMEWOOD_SCHED_MACHINES_H
#define SESAMEWOOD_SCHED_MACHINES_H

/// @file
/// What the leader believes of each machine: its pool, a move or an upkeep that is under way. Moves
/// (pools.c) and waves (waves.c) both ask here before they order anything.

#include "manager/manager_internal.h"

struct machine {
	char *name;
	char *pool;
	bool is_up;
	bool in_flight;
	char *ends;		   ///< id of the endpoint that the move ends, or NULL
	char *target;		   ///< of the move in flight or without an answer
	char *not_for;		   ///< a pool that does not take it
	clock_ms_t next_at;	   ///< no order before then
	clock_ms_t arrives_by;	   ///< on its way to its pool until then
	struct endpoint *endpoint; ///< that takes work there, in the look of @ref seen_at
	clock_ms_t seen_at;
	struct pool *in;       ///< its pool, in the present look
	clock_ms_t idle_since; ///< 0: it has work, or no endpoint
};

/// An upkeep that was ordered.
struct upkeep {
	bool in_flight;
	bool begun; ///< the machine service agreed
	clock_ms_t begun_at;
	clock_ms_t next_at;	     ///< not ordered again before then
	int64_t incarnation_wall_ms; ///< life of the endpoint that was there
	clock_ms_t logged_at;	     ///< reason for waiting not logged before then
	clock_ms_t sent_at;	     ///< latest order
	bool back;		     ///< a later life has reported
};

/// @return the machine of that name, added when it is new
struct machine *machines_get(struct manager *m, const char *name);

void machines_free(void *machine);

/// @return the upkeep of that machine, added when there is none
struct upkeep *machines_upkeep(struct manager *m, const char *name);

/// Tells whether a machine is on its way to a pool, or may be.
bool machines_is_moving(const struct manager *m, const char *name, clock_ms_t now);

/// Tells whether an upkeep may keep its machine down.
bool machines_upkeep_lasts(const struct manager *m, const struct upkeep *u, clock_ms_t now);

/// Tells whether a machine is down for an upkeep, or may be.
bool machines_is_down(const struct manager *m, const char *name, clock_ms_t now);

#endif
