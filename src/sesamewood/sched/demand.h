#ifndef SESAMEWOOD_SCHED_DEMAND_H
#define SESAMEWOOD_SCHED_DEMAND_H

/// @file
/// What accepted jobs ask of each pool now, for the choice of machines.

#include "manager/manager_internal.h"

/// What waits for a pool.
struct demand {
	int64_t work_core_us; ///< of ready tasks that end by themselves, thousandths of a core x ms
	int64_t long_running_cpu_milli; ///< of lasting tasks that wait, thousandths of a core
	uint32_t spread; ///< endpoints that one step needs for its limit per endpoint
};

/// @return struct demand by pool; names borrow from the job state
GHashTable *demand_by_pool(const struct manager *m, clock_ms_t wall_ms);

#endif
