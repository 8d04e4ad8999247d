#include "sched/order_budget.h"

#include <glib.h>

#define MILLI 1000
/// Share of a second's orders that may be sent at once. The refill gives the rest, so that the
/// limit holds for any second.
#define BURST_PERCENT 25

static int64_t burst_milli(const struct order_budget *b)
{
	return MAX((int64_t)b->per_s * MILLI * BURST_PERCENT / 100, MILLI);
}

void order_budget_init(struct order_budget *b, uint32_t per_s, clock_ms_t now)
{
	*b = (struct order_budget){.per_s = per_s, .refilled_at = now};
	b->tokens_milli = burst_milli(b);
}

bool order_budget_allows(struct order_budget *b, clock_ms_t now, uint32_t reserve_percent)
{
	int64_t burst = burst_milli(b);

	if (!b->per_s)
		return true;
	b->tokens_milli += (now - b->refilled_at) * b->per_s * (100 - BURST_PERCENT) / 100;
	b->tokens_milli = MIN(b->tokens_milli, burst);
	b->refilled_at = now;
	return b->tokens_milli >= MILLI + burst * reserve_percent / 100;
}

void order_budget_take(struct order_budget *b)
{
	b->tokens_milli -= MILLI;
}
