#include "control/budget.h"

#define PERCENT 100

static const struct health *health_of(const struct control *c, const sw_instance *i)
{
	return i->id < c->health->len ? &g_array_index(c->health, struct health, i->id) : NULL;
}

bool budget_serves(const struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct health *h = health_of(c, i);

	bool granted = i->phase == SW_PHASE_ACTIVE ||
		       (i->phase == SW_PHASE_REVOKING && i->reason == SW_REASON_ENTRY);

	return granted && !i->endpoint.leaving && h && !h->suspected && now >= h->probation_until &&
	       h->proposed_index <= c->fleet->applied_index;
}

static uint32_t limit(const struct pool *pool, uint32_t assigned)
{
	return MIN(pool->max_out, assigned * pool->max_out_percent / PERCENT);
}

/// Tells whether a pool's budget counts an instance: one that is in it, or that is in no pool
/// while it restarts and comes back to it.
static bool belongs(const sw_instance *i, const struct pool *pool)
{
	return g_str_equal(*i->pool ? i->pool : i->home, pool->name);
}

struct budget budget_count(const struct control *c, clock_ms_t now, const struct pool *pool,
			   const sw_instance *without)
{
	g_autoptr(GHashTable) zones = g_hash_table_new(g_str_hash, g_str_equal);
	struct budget b = {0};

	for (guint i = 0; i < c->fleet->instances->len; i++) {
		const sw_instance *instance = c->fleet->instances->pdata[i];

		if (!instance || !belongs(instance, pool))
			continue;
		b.assigned++;
		if (instance == without || !budget_serves(c, now, instance))
			b.out++;
		else
			g_hash_table_add(zones, instance->endpoint.zone);
	}
	b.max_out = limit(pool, b.assigned);
	b.zones = g_hash_table_size(zones);
	return b;
}

bool budget_admits_edit(const struct control *c, clock_ms_t now, const sw_instance *instance)
{
	const struct pool *pool = tables_find_pool(c->fleet->tables, instance->pool);
	struct budget after;

	if (!pool || !budget_serves(c, now, instance))
		return true;
	after = budget_count(c, now, pool, instance);
	return after.out <= after.max_out;
}

bool budget_admits(const struct control *c, clock_ms_t now, const sw_instance *instance)
{
	const struct pool *pool = tables_find_pool(c->fleet->tables, instance->pool);
	struct budget after;

	if (!pool)
		return true;
	if (!budget_serves(c, now, instance))
		return false;
	after = budget_count(c, now, pool, instance);
	return after.out <= after.max_out && after.assigned - after.out >= pool->min_instances &&
	       after.zones >= pool->min_zones;
}
