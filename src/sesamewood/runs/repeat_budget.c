#include "runs/repeat_budget.h"

#include <glib.h>

/// Moves to the slot of @p now and clears the slots in between.
static void advance_to(struct repeat_budget *b, clock_ms_t now)
{
	clock_ms_t slot = now / REPEAT_BUDGET_SLOT_MS;

	b->slot = MAX(b->slot, slot - REPEAT_BUDGET_SLOTS);
	while (b->slot < slot) {
		b->slot++;
		b->orders[b->slot % REPEAT_BUDGET_SLOTS] = 0;
		b->repeats[b->slot % REPEAT_BUDGET_SLOTS] = 0;
	}
}

void repeat_budget_record_order(struct repeat_budget *b, clock_ms_t now)
{
	advance_to(b, now);
	b->orders[b->slot % REPEAT_BUDGET_SLOTS]++;
}

bool repeat_budget_take(struct repeat_budget *b, clock_ms_t now)
{
	uint64_t orders = 0;
	uint64_t repeats = 0;

	advance_to(b, now);
	for (unsigned int i = 0; i < REPEAT_BUDGET_SLOTS; i++) {
		orders += b->orders[i];
		repeats += b->repeats[i];
	}
	/* The oldest slot may lie before the last second: its orders do not count, its repeats do,
	 * so that the limit holds for any second. */
	orders -= b->orders[(b->slot + 1) % REPEAT_BUDGET_SLOTS];
	if (repeats >= MAX(orders * REPEAT_BUDGET_PERCENT / 100, REPEAT_BUDGET_MIN_PER_S))
		return false;
	b->repeats[b->slot % REPEAT_BUDGET_SLOTS]++;
	return true;
}
