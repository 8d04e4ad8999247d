#include "base/input_budget.h"

#define BYTES_PER_MB ((uint64_t)1024 * 1024)

uint64_t input_budget_for_memory(uint32_t memory_mb)
{
	return memory_mb ? memory_mb * BYTES_PER_MB / INPUT_BUDGET_MEMORY_PART
			 : INPUT_BUDGET_DEFAULT_BYTES;
}

void input_budget_init(struct input_budget *b, uint64_t limit)
{
	*b = (struct input_budget){.limit = limit};
	g_queue_init(&b->holds);
}

void input_budget_add(struct input_budget *b, struct input_hold *h, uint32_t address, void *owner)
{
	*h = (struct input_hold){.address = address, .since = CLOCK_NEVER, .owner = owner};
	h->link.data = h;
	g_queue_push_tail_link(&b->holds, &h->link);
}

void input_budget_remove(struct input_budget *b, struct input_hold *h)
{
	b->held -= h->bytes;
	g_queue_unlink(&b->holds, &h->link);
}

void input_budget_set(struct input_budget *b, struct input_hold *h, uint64_t bytes)
{
	b->held = b->held - h->bytes + bytes;
	h->bytes = bytes;
}

uint64_t input_budget_kept(const struct input_budget *b)
{
	uint64_t sum = 0;

	for (const GList *l = b->holds.head; l; l = l->next) {
		const struct input_hold *h = l->data;

		sum += h->is_kept ? h->bytes : 0;
	}
	return sum;
}

/// Returns the address whose connections hold most. Complete requests don't count here: closing
/// the incomplete ones of their address would release nothing of them.
static uint32_t find_largest_address(const struct input_budget *b)
{
	g_autoptr(GHashTable) sums =
		g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	uint64_t most = 0;
	uint32_t address = 0;

	for (const GList *l = b->holds.head; l; l = l->next) {
		const struct input_hold *h = l->data;
		uint64_t *sum;

		if (h->is_kept || !h->bytes)
			continue;
		sum = g_hash_table_lookup(sums, GUINT_TO_POINTER(h->address));
		if (!sum) {
			sum = g_new0(uint64_t, 1);
			g_hash_table_insert(sums, GUINT_TO_POINTER(h->address), sum);
		}
		*sum += h->bytes;
		if (*sum <= most)
			continue;
		most = *sum;
		address = h->address;
	}
	return address;
}

struct input_hold *input_budget_choose(const struct input_budget *b)
{
	struct input_hold *found = NULL;
	uint32_t address;

	if (b->held <= b->limit ||
	    b->held - input_budget_kept(b) <= b->limit / INPUT_BUDGET_GUARANTEED_PART)
		return NULL;
	address = find_largest_address(b);
	for (GList *l = b->holds.head; l; l = l->next) {
		struct input_hold *h = l->data;

		if (h->is_kept || !h->bytes || h->address != address)
			continue;
		if (!found || h->bytes > found->bytes)
			found = h;
	}
	return found;
}

struct input_hold *input_budget_oldest(const struct input_budget *b, const uint32_t *address,
				       unsigned int *count)
{
	struct input_hold *found = NULL;

	if (count)
		*count = 0;
	for (GList *l = b->holds.head; l; l = l->next) {
		struct input_hold *h = l->data;

		if (h->is_kept || h->since == CLOCK_NEVER || (address && h->address != *address))
			continue;
		if (count)
			++*count;
		if (!found || h->since < found->since)
			found = h;
	}
	return found;
}

struct input_hold *input_budget_stalest(const struct input_budget *b)
{
	struct input_hold *found = NULL;
	clock_ms_t oldest = CLOCK_NEVER;

	for (GList *l = b->holds.head; l; l = l->next) {
		struct input_hold *h = l->data;
		clock_ms_t since = h->since == CLOCK_NEVER ? h->used_at : h->since;

		if (h->is_kept || since >= oldest)
			continue;
		found = h;
		oldest = since;
	}
	return found;
}
