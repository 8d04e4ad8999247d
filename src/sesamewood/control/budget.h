#ifndef SESAMEWOOD_CONTROL_BUDGET_H
#define SESAMEWOOD_CONTROL_BUDGET_H

/// @file
/// Admission of voluntary acts against availability budgets.

#include "control/control_defs.h"

/// How a pool stands against its budget.
struct budget {
	uint32_t assigned; ///< instances that belong to it
	uint32_t out;	   ///< of these: failed, suspected, leaving, moving or on probation
	uint32_t max_out;
	uint32_t zones; ///< availability zones with a serving instance
};

/// Counts a pool's instances, leaving out one of them.
///
/// @param without an instance that counts as out, or NULL
struct budget budget_count(const struct control *c, clock_ms_t now, const struct pool *pool,
			   const sw_instance *without);

/// Tells whether an instance serves: granted or being handed to another entry of its pool, not
/// leaving, heard of, past its probation, and with no change of it in the log yet to be applied.
bool budget_is_serving(const struct control *c, clock_ms_t now, const sw_instance *instance);

/// Tells whether a voluntary act may take @p instance out of its pool now.
bool budget_allows_move(const struct control *c, clock_ms_t now, const sw_instance *instance);

/// The same for a move that an edit of the pools table asks for: the number that may be out holds,
/// but the least size of the pool is what the operator now says it is.
bool budget_allows_table_move(const struct control *c, clock_ms_t now, const sw_instance *instance);

#endif
