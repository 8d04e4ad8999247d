#ifndef SESAMEWOOD_SCHED_POOLS_H
#define SESAMEWOOD_SCHED_POOLS_H

/// @file
/// Which machines change their pool. Answers the load of queues that surge in turn to several
/// times their mean for some seconds: machines that run nothing follow the surge, and are
/// switched off in a standby pool once they have been idle for longer than a move is worth.

#include "manager/manager_internal.h"

/// Demand and supply of one pool, in thousandths of a core unless said otherwise.
struct pool_load {
	int64_t running_cpu_milli;	///< taken by attempts that end by themselves
	int64_t long_running_cpu_milli; ///< taken by lasting tasks
	int64_t waiting_core_us;	///< work of tasks that wait, thousandths of a core times ms
	int64_t arriving_cpu_milli;	///< work that arrives in a ms, recent mean
	int64_t machine_cpu_milli;	///< of one machine
	uint32_t spread;   ///< machines that one step needs because of its limit per endpoint
	uint32_t machines; ///< machines that take work, and those on their way
};

/// @return machines that the pool needs so that what waits and arrives starts in time
uint32_t pools_machines_needed(const struct pool_load *load);

/// Sends machine orders that are due.
void pools_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// Handles the result of a machine list or a move.
void pools_handle_result(struct manager *m, clock_ms_t now, const struct pending *p,
			 const struct order_result *result);

/// Notes that a job was accepted.
void pools_record_accepted_job(struct manager *m, const struct job *job);

#endif
