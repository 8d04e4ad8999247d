#ifndef SESAMEWOOD_SCHED_WAVES_H
#define SESAMEWOOD_SCHED_WAVES_H

/// @file
/// Maintenance waves: chooses the next machine to take down. A wave may cover almost half of the
/// machines while jobs run: idle machines go first, tasks of bounded run time may end, long-running
/// tasks keep their availability budget, and no more machines than the cap are down at once.

#include "manager/manager_internal.h"

/// Takes over the maintenance that earlier leaders ordered. When a machine went down is not
/// recorded: it counts as down since the start of this leadership until it has shown that it is up.
void waves_inherit(struct manager *m, clock_ms_t now);

/// Evaluates the waves when a pass is due: sends maintenance orders and cordons the next machines.
void waves_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// Handles the result of a maintenance order.
void waves_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			 const struct order_result *result);

/// @param n_open    machines of the wave whose maintenance has not begun
/// @param left_ms   time to the deadline of the wave
/// @return number of machines that have to be down at once for the wave to be done before its
/// deadline; at most its cap
unsigned int waves_pace(const job_wave *wave, unsigned int n_open, clock_ms_t maintenance_ms,
			clock_ms_t left_ms);

/// Tells whether a wave may miss its deadline: the rest takes longer than the time left, even with
/// as many machines down at once as the cap allows.
///
/// @param n_open    machines of the wave whose maintenance has not begun
/// @param n_blocked machines among them that an availability budget keeps up now
bool waves_is_at_risk(const job_wave *wave, unsigned int n_open, unsigned int n_blocked,
		      clock_ms_t maintenance_ms, clock_ms_t left_ms);

/// @return true if the maintenance of all machines of a wave has begun or is impossible
bool waves_is_complete(const job_wave *wave);

#endif
