#ifndef SESAMEWOOD_MANAGER_MANAGER_H
#define SESAMEWOOD_MANAGER_MANAGER_H

/// @file
/// The job manager of the leading control replica, as a reducer: it takes calls, order results and
/// ticks and returns effects as data. No I/O. Design: docs/design/platform.md.
///
/// A manager exists for one term of leadership. It works on its own copy of the job state, to
/// which a command is applied as soon as it is proposed; the shell (event loop and I/O around the
/// reducer) holds back replies and orders until all commands proposed before them are committed.

#include "manager/manager_defs.h"

/// Settings of the manager: limits, periods and durations.
struct manager_settings {
	char *holder;		       ///< name of this replica in machine orders
	uint32_t heartbeat_period_ms;  ///< period of endpoint heartbeats
	uint32_t lease_max_ms;	       ///< endpoints truncate longer leases to this
	uint32_t job_retention_s;      ///< how long an ended job is retained
	uint32_t remote_data_factor;   ///< slowdown factor of a task that runs away from its data
	uint32_t holder_lease_ms;      ///< least time between machine orders of different holders
	uint32_t machine_orders_per_s; ///< accepted by the machine service; 0: no limit
	uint32_t move_ms;	       ///< duration of a machine's move to another pool
	uint32_t maintenance_ms;       ///< duration of a machine's maintenance
	bool has_accounts;	       ///< requests need a key of a client account
	bool admission;		       ///< jobs that cannot end in time are refused
	bool interference;	       ///< tasks of images that slow each other are placed apart
};

struct manager;
struct overload;

/// Creates the manager of a new leadership. Release with manager_free().
///
/// @param state  committed job state; copied
/// @param term   term of this leadership, the upper part of its fencing tokens
/// @param machine_orders_seen_at  when this replica had received the latest machine order that is
///				   recorded in @p state
struct manager *manager_new(const struct manager_settings *settings, const struct jobs *state,
			    uint64_t term, clock_ms_t now, clock_ms_t machine_orders_seen_at);
void manager_free(struct manager *m);

/// Handles an API call; the reply effect carries @p token. May modify @p call, whose owner stays
/// the caller.
void manager_handle_call(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, uint64_t token,
			 struct call *call);

/// Handles a short heartbeat that another replica received.
///
/// @return false if the leader does not know the endpoint or its present content, and needs a full
/// heartbeat
bool manager_handle_short_heartbeat(struct manager *m, clock_ms_t now,
				    const struct short_heartbeat *s);

/// Handles the result of an order.
void manager_handle_result(struct manager *m, clock_ms_t now, clock_ms_t wall_ms,
			   const struct order_result *result);

/// Records the replica's lag: the age of the oldest input or commit that it has not processed.
/// While the replica lags, a missing answer does not prove that an endpoint is unresponsive: the
/// answer may still be queued here.
void manager_record_lag(struct manager *m, clock_ms_t now, clock_ms_t lag_ms);

/// Records how much of the event loop's time one start has lately cost.
void manager_record_start_cost(struct manager *m, uint64_t cost_us);

/// Shares the replica's memory of refusals, which outlives the manager. Without it no job is
/// refused by admission control.
void manager_set_overload(struct manager *m, struct overload *overload);

/// Sets the least time between placement rounds.
void manager_set_round_gap(struct manager *m, clock_ms_t gap_ms);

/// Finds the job that a caller's request refers to.
///
/// @param[out] id  job id within @p path; "" if the request refers to no job
/// @return whether the job is known
bool manager_knows_job(const struct manager *m, const char *host, const char *path,
		       const char **id);

/// Advances timers and places waiting work. Must be called at least every MANAGER_TICK_MS and
/// after each input.
void manager_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

#define MANAGER_ROUND_GAP_MS 8	     ///< about one commit: all starts of a round share it
#define MANAGER_ROUND_GAP_MAX_MS 160 ///< less than the longest time between rounds, 200 ms
#define MANAGER_TICK_MS 20 ///< a fifth of the shortest deadline that depends on it (pace, 100 ms)

/// Returns the effects emitted since the last call, in order: an array of struct effect owned by
/// the caller.
GPtrArray *manager_take_effects(struct manager *m);

/// Returns the number of known endpoints that are not terminated.
unsigned int manager_count_endpoints(const struct manager *m);

/// What waits at the leader.
struct manager_backlog {
	unsigned int starts;	    ///< starts ordered since the last call
	unsigned int waiting_steps; ///< steps with ready tasks that the last round tried to place
	unsigned int late_steps;    ///< of these, steps whose job can no longer meet its objective
	unsigned int beyond_weight; ///< jobs accepted beyond the weight of their account since the
				    ///< last call
	unsigned int accounts_at_cap; ///< accounts at their cap after the last round
};

struct manager_backlog manager_take_backlog(struct manager *m);

/// Maintenance that is pending, over all waves, at the latest evaluation of the waves.
struct manager_wave_progress {
	unsigned int left;    ///< machines whose maintenance has not begun
	unsigned int blocked; ///< of these, machines that an availability budget keeps up
};

struct manager_wave_progress manager_wave_progress(const struct manager *m);

/// Returns the number of orders in flight.
unsigned int manager_count_orders(const struct manager *m);

/// Returns whether a receiver has rejected an order because of a higher fencing token than the
/// manager's, so that the replica must resign its leadership.
bool manager_is_fenced_off(const struct manager *m);

#endif
