#ifndef SESAMEWOOD_MANAGER_MANAGER_H
#define SESAMEWOOD_MANAGER_MANAGER_H

/// @file
/// The job manager of the leading control replica, as a reducer: calls, results of orders and
/// ticks go in, effects come out. No I/O. Design: docs/design/platform.md.
///
/// A manager lives for one term of leadership. It works on its own copy of the job state, which
/// takes a command as soon as it is proposed; the shell holds back replies and orders until all
/// commands proposed before them are committed.

#include "manager/manager_defs.h"

/// Bounds and periods. Those that a platform states come with its settings.
struct manager_settings {
	char *holder;		      ///< names this replica in machine orders
	uint32_t heartbeat_period_ms; ///< period of announcements
	uint32_t lease_max_ms;	      ///< endpoints shorten longer leases
	uint32_t job_retention_s;     ///< an ended job stays known for so long
	uint32_t remote_data_factor;  ///< a task away from its data takes so many times as long
	uint32_t holder_lease_ms;     ///< two holders of machine orders keep this far apart
	uint32_t move_ms;	      ///< a machine's move takes so long
	uint32_t maintenance_ms;      ///< a machine's upkeep takes so long
};

struct manager;

/// Takes leadership.
///
/// @param state  the committed state; copied
/// @param term   fencing_token of this leadership
struct manager *manager_new(const struct manager_settings *settings, const struct jobs *state,
			    uint64_t term, clock_ms_t now, clock_ms_t wall);
void manager_free(struct manager *m);

/// Handles a call; the reply effect carries @p token.
void manager_handle_call(struct manager *m, clock_ms_t now, clock_ms_t wall, uint64_t token,
			 struct call *call);

/// Handles that an endpoint has reported at another replica.
///
/// @return false: a whole report of it is wanted
bool manager_handle_short_heartbeat(struct manager *m, clock_ms_t now,
				    const struct short_heartbeat *s);

/// Handles the result of an order.
void manager_handle_result(struct manager *m, clock_ms_t now, clock_ms_t wall,
			   const struct order_result *result);

/// Notes how far the replica is behind: the age of the oldest input or commit that it has not dealt
/// with. While it is, silence proves nothing: an answer may be waiting here.
void manager_record_lag(struct manager *m, clock_ms_t now, clock_ms_t lag_ms);

/// Sets the least time between placement rounds.
void manager_set_round_gap(struct manager *m, clock_ms_t gap_ms);

/// @param[out] id of the job that a call of a caller is about, within @p path
/// @return the job is known; false with an id of "": the call is about no job
bool manager_knows_job(const struct manager *m, const char *host, const char *path,
		       const char **id);

/// Advances timers and places waiting work. Call at least each MANAGER_TICK_MS, and after events.
void manager_tick(struct manager *m, clock_ms_t now, clock_ms_t wall);

#define MANAGER_ROUND_GAP_MS 8	     ///< a commit takes as long; starts of one round share it
#define MANAGER_ROUND_GAP_MAX_MS 160 ///< below the time by which a round is due
#define MANAGER_TICK_MS 20 ///< a fifth of the shortest bound that hangs on it (pace, 100 ms)

/// Takes the effects gathered since the last call, in order: array of struct effect.
GPtrArray *manager_take_effects(struct manager *m);

/// @return endpoints known
unsigned int manager_count_endpoints(const struct manager *m);

/// @return orders whose results have not come
unsigned int manager_count_orders(const struct manager *m);

/// Tells whether the manager has seen a higher fencing_token than its own and must give way.
bool manager_is_fenced_off(const struct manager *m);

#endif
