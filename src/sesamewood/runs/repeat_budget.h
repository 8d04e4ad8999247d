#ifndef SESAMEWOOD_RUNS_REPEAT_BUDGET_H
#define SESAMEWOOD_RUNS_REPEAT_BUDGET_H

/// @file
/// Limits repeated endpoint orders to a share of the first ones of the last second, so that a slow
/// leader or a broken network gets little additional load. Pure.

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/// Repeats allowed for each hundred first orders of the last second.
#define REPEAT_BUDGET_PERCENT 10
/// Repeats allowed in any second however few orders there are; enough to hide single unanswered
/// calls of a small fleet.
#define REPEAT_BUDGET_MIN_PER_S 20

#define REPEAT_BUDGET_SLOT_MS 100
/// A second, and the slot in progress.
#define REPEAT_BUDGET_SLOTS 11

/// Counts of the last second in slots. A zeroed budget has no orders and no repeats.
struct repeat_budget {
	uint32_t orders[REPEAT_BUDGET_SLOTS];
	uint32_t repeats[REPEAT_BUDGET_SLOTS];
	clock_ms_t slot; ///< number of the slot in progress, counted from time 0
};

/// Counts an order that is not a repeat.
void repeat_budget_record_order(struct repeat_budget *b, clock_ms_t now);

/// Takes one repeat from the budget.
///
/// @return false if the limit is reached: the repeat must not be sent
bool repeat_budget_take(struct repeat_budget *b, clock_ms_t now);

#endif
