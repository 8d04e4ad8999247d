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
	char *ends_endpoint;	   ///< id of the endpoint that the move ends, or NULL
	char *target_pool;	   ///< of the move in flight or without an answer
	char *rejected_by_pool;	   ///< a pool that does not take it
	clock_ms_t retry_at;	   ///< no order before then
	clock_ms_t arrives_by;	   ///< on its way to its pool until then
	struct endpoint *endpoint; ///< that takes work there, in the look of @ref seen_at
	clock_ms_t endpoint_seen_at;
	struct pool *pool_state; ///< its pool, in the present look
	clock_ms_t idle_since;	 ///< 0: it has work, or no endpoint
};

/// An upkeep that was ordered.
struct maintenance {
	bool in_flight;
	bool begun; ///< the machine service agreed
	clock_ms_t begun_at;
	clock_ms_t retry_at;	///< not ordered again before then
	int64_t born_wall_ms;	///< life of the endpoint that was there
	clock_ms_t next_log_at; ///< reason for waiting not logged before then
	clock_ms_t sent_at;	///< latest order
	bool machine_returned;	///< a later life has reported
};

/// @return the machine of that name, added when it is new
struct machine *machines_get(struct manager *m, const char *name);

void machines_free(void *machine);

/// @return the upkeep of that machine, added when there is none
struct maintenance *machines_get_maintenance(struct manager *m, const char *name);

/// Tells whether a machine is on its way to a pool, or may be.
bool machines_is_moving(const struct manager *m, const char *name, clock_ms_t now);

/// Tells whether an upkeep may keep its machine down.
bool machines_maintenance_is_active(const struct manager *m, const struct maintenance *u,
				    clock_ms_t now);

/// Tells whether a machine is down for an upkeep, or may be.
bool machines_is_down(const struct manager *m, const char *name, clock_ms_t now);

#endif
