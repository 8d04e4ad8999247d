#ifndef SESAMEWOOD_CONTROL_BUDGET_H
#define SESAMEWOOD_CONTROL_BUDGET_H

/// @file
/// Availability budgets of pools: whether an instance may be taken out of its pool voluntarily, by
/// a move on demand or an edit of the pools table. Failures are not subject to the budget but use
/// it up.

#include "control/control_defs.h"

/// Current use of a pool's budget.
struct budget {
	uint32_t assigned; ///< instances that are in the pool or restart in it
	uint32_t out; ///< of these, those that do not serve: failed, suspected, leaving, moving or
		      ///< on probation
	uint32_t max_out; ///< how many may be out
	uint32_t zones;	  ///< availability zones with a serving instance
};

/// Counts the instances of a pool.
///
/// @param excluded instance that is counted as out in any case, or NULL
struct budget budget_count(const struct control *c, clock_ms_t now, const struct pool *pool,
			   const sw_instance *excluded);

/// Returns true if an instance serves: it is granted to an entry or moves to another entry of its
/// pool, does not leave, sends heartbeats, is past its probation, and no proposed command about it
/// is yet to be applied.
bool budget_is_serving(const struct control *c, clock_ms_t now, const sw_instance *instance);

/// Returns true if the budget of its pool allows to move @p instance away now. An instance that
/// does not serve may not be moved on demand.
bool budget_allows_move(const struct control *c, clock_ms_t now, const sw_instance *instance);

/// Returns true if the budget allows to move @p instance as the edited pools table requires. Only
/// max_out applies: the operator has changed the size of the pool, so that min_instances and
/// min_zones do not hold the move back. An instance that does not serve may always be moved.
bool budget_allows_table_move(const struct control *c, clock_ms_t now, const sw_instance *instance);

#endif
