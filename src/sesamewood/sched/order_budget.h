#ifndef SESAMEWOOD_SCHED_ORDER_BUDGET_H
#define SESAMEWOOD_SCHED_ORDER_BUDGET_H

/// @file
/// Token bucket that keeps machine orders within the rate that the machine service accepts. What
/// does not fit is decided again in a later pass, on newer loads, in place of waiting in a queue.

#include "base/clock.h"

#include <stdbool.h>
#include <stdint.h>

/// A zeroed budget without a rate allows every order.
struct order_budget {
	uint32_t per_s; ///< orders that the service accepts in any second; 0: no limit
	int64_t tokens_milli;
	clock_ms_t refilled_at;
};

/// Initialises a budget with its burst available.
///
/// @param per_s  orders that the service accepts in any second; 0: no limit
void order_budget_init(struct order_budget *b, uint32_t per_s, clock_ms_t now);

/// Tells whether orders may be sent now.
///
/// @param reserve_percent  share of the burst that must be left afterwards
bool order_budget_allows(struct order_budget *b, clock_ms_t now, uint32_t reserve_percent);

/// Takes one order from the budget, which may become negative.
void order_budget_take(struct order_budget *b);

#endif
