#ifndef SESAMEWOOD_SCHED_POOLS_H
#define SESAMEWOOD_SCHED_POOLS_H

/// @file
/// Moves machines between pools. Queues surge in turn to several times their mean load for some
/// seconds: idle machines are moved to the pool with the surge, and to a standby pool, where they
/// are switched off, once they have been idle for longer than a move costs.

#include "manager/manager_internal.h"

/// Demand and supply of one pool.
struct pool_load {
	int64_t running_cpu_milli;	///< used by attempts of bounded run time
	int64_t long_running_cpu_milli; ///< used or requested by long-running tasks
	int64_t waiting_core_us;	///< work of waiting tasks, core-microseconds
	int64_t waiting_cpu_milli;	///< used by waiting tasks once they run
	int64_t arriving_cpu_milli; ///< recent mean rate of arriving work, thousandths of a core
	int64_t machine_cpu_milli;  ///< processor of one machine
	uint32_t spread;   ///< machines that any one step needs because of its limit of tasks per
			   ///< endpoint
	uint32_t machines; ///< machines that take work or are arriving
};

/// Estimates the rate at which work goes on arriving from that of recent jobs. The fewer these are,
/// the less their work says about the jobs to come.
///
/// @param cpu_milli  mean rate of the work that arrived, thousandths of a core
/// @param jobs       number of jobs that brought it
/// @return thousandths of a core
int64_t pools_expected_arrivals(double cpu_milli, double jobs);

/// Estimates the same at the onset of a surge, when the mean still lags behind.
///
/// @param mean_cpu_milli  estimate from the mean rate, thousandths of a core
/// @param cpu_milli       rate of the work that arrived in a short window
/// @param jobs            number of jobs that brought it
/// @return thousandths of a core, at least @p mean_cpu_milli
int64_t pools_expected_arrivals_at_onset(int64_t mean_cpu_milli, double cpu_milli, double jobs);

/// @return number of machines that the pool needs to start waiting and arriving work in time
uint32_t pools_machines_needed(const struct pool_load *load);

/// Evaluates the pools when a pass is due and sends the resulting machine orders.
void pools_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// Tells whether a pool has lately needed more machines than it had.
bool pools_lack_machines(const struct manager *m, clock_ms_t now);

/// Adds an accepted job to the arrival rate of its pool.
void pools_record_accepted_job(struct manager *m, clock_ms_t now, const struct job *job);

#endif
