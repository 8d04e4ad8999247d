#ifndef SESAMEWOOD_SCHED_MACHINES_H
#define SESAMEWOOD_SCHED_MACHINES_H

/// @file
/// The leader's view of each machine: its pool, and any move or maintenance in progress. Moves
/// (move_orders.c) and maintenance waves (waves.c) both check it before they send machine orders.

#include "manager/manager_internal.h"

/// State of one machine.
struct machine {
	char *name;
	char *pool;
	bool is_up;		 ///< listed as up, or an endpoint on it takes work
	bool in_flight;		 ///< a move order is in flight
	bool in_doubt;		 ///< an earlier order of the open move was not answered
	char *shutdown_endpoint; ///< id of the endpoint that the move shuts down, or NULL
	char *target_pool;	 ///< pool of a move that is in flight or unanswered, or NULL
	char *rejected_by_pool;	 ///< pool that permanently rejected a move of the machine, or NULL
	clock_ms_t retry_at;	 ///< earliest time of the next order
	clock_ms_t arrives_by;	 ///< latest arrival in its pool after an accepted move
	struct endpoint *endpoint; ///< endpoint that took work on it at endpoint_seen_at
	clock_ms_t endpoint_seen_at;
	struct pool *pool_state; ///< its pool; valid during the present pass
	clock_ms_t idle_since;	 ///< 0: it has work or no endpoint
};

/// Maintenance of one machine, from the first order until the machine has returned. One wave at a
/// time orders a machine; another one waits for its return.
struct maintenance {
	bool ordered;	     ///< the machine is or may be down, or will be
	uint64_t wave;	     ///< that the machine is ordered for
	bool in_flight;	     ///< a maintenance order is in flight
	bool begun;	     ///< the machine service has executed an order
	clock_ms_t begun_at; ///< latest time at which the machine can have gone down
	clock_ms_t retry_at; ///< earliest time of the next order
	/// Endpoint on the machine at the wave's first order; NULL: none, or unknown to this
	/// leader. Any order that is accepted proves that this incarnation has been shut down.
	char *shutdown_endpoint;
	int64_t shutdown_incarnation_wall_ms;
	clock_ms_t next_log_at; ///< earliest time to log the blocking condition again
};

/// @return the machine with that name, added if it is new; owned by the manager
struct machine *machines_get(struct manager *m, const char *name);

/// Sets the pool of a machine.
void machines_set_pool(struct machine *x, const char *pool);

/// @return the endpoint that takes work on a machine in the present pass over the pools, or NULL
struct endpoint *machines_endpoint_on(const struct machine *x, clock_ms_t now);

/// Frees a struct machine; fits GDestroyNotify.
void machines_free(void *machine);

/// @return the maintenance of that machine, added if there is none; owned by the manager
struct maintenance *machines_get_maintenance(struct manager *m, const char *name);

/// Ends a maintenance: the machine has returned, or does not go down.
void machines_end_maintenance(struct maintenance *maint);

/// Ends the maintenance of a machine that the machine service lists as up, unless the list was
/// requested before the machine went down.
void machines_handle_listed_up(struct manager *m, const char *name, clock_ms_t requested_at);

/// Frees a struct maintenance; fits GDestroyNotify.
void machines_free_maintenance(void *maint);

/// Tells whether a machine is or may be moving to a pool.
bool machines_is_moving(const struct manager *m, const char *name, clock_ms_t now);

/// Tells whether a machine is or may be down for maintenance.
bool machines_is_down(const struct manager *m, const char *name);

/// Tells whether maintenance of a machine has been ordered, by any leader, and not answered: it may
/// shut down whatever runs there at any time.
bool machines_has_open_maintenance(const struct manager *m, const char *name);

#endif
