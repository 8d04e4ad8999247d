#ifndef SESAMEWOOD_SCHED_DEMAND_H
#define SESAMEWOOD_SCHED_DEMAND_H

/// @file
/// Demand of accepted jobs by pool, used to assign machines to pools.

#include "manager/manager_internal.h"

/// Demand of waiting tasks for a pool.
struct demand {
	int64_t work_core_us; ///< work of ready tasks of bounded run time, core-microseconds
	int64_t cpu_milli;    ///< processor request of these tasks, thousandths of a core
	int64_t long_running_cpu_milli; ///< waiting long-running tasks, thousandths of a core
	uint32_t trials;		///< steps with tasks that are to be tried apart
	uint32_t spread; ///< endpoints needed to satisfy the limit of tasks per endpoint of any one
			 ///< step
};

/// @return struct demand by pool, owned by the caller; keys borrow from the job state
GHashTable *demand_by_pool(const struct manager *m, clock_ms_t wall_ms);

#endif
