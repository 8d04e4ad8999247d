#include "sched/machines.h"

#define BACK_MARGIN_MS 300 /* from the end of an upkeep to the certainty that it is over */

void machines_free(void *p)
{
	struct machine *x = p;

	g_free(x->name);
	g_free(x->pool);
	g_free(x->ends);
	g_free(x->target);
	g_free(x->not_for);
	g_free(x);
}

bool machines_is_moving(const struct manager *m, const char *machine, clock_ms_t now)
{
	const struct machine *x = g_hash_table_lookup(m->machines, machine);

	return x && (x->in_flight || x->target || now < x->arrives_by);
}

struct machine *machines_get(struct manager *m, const char *name)
{
	struct machine *x = g_hash_table_lookup(m->machines, name);

	if (x)
		return x;
	x = g_new0(struct machine, 1);
	x->name = g_strdup(name);
	x->pool = g_strdup("");
	g_hash_table_insert(m->machines, x->name, x);
	return x;
}

struct upkeep *machines_upkeep(struct manager *m, const char *machine)
{
	struct upkeep *u = g_hash_table_lookup(m->maintenance_by_machine, machine);

	if (u)
		return u;
	u = g_new0(struct upkeep, 1);
	g_hash_table_insert(m->maintenance_by_machine, g_strdup(machine), u);
	return u;
}

bool machines_upkeep_lasts(const struct manager *m, const struct upkeep *u, clock_ms_t now)
{
	if (!u->begun)
		return u->in_flight || u->next_at > 0;
	return !u->back &&
	       now - u->begun_at < 2 * (clock_ms_t)m->settings.maintenance_ms + BACK_MARGIN_MS;
}

bool machines_is_down(const struct manager *m, const char *machine, clock_ms_t now)
{
	const struct upkeep *u = g_hash_table_lookup(m->maintenance_by_machine, machine);

	return u && machines_upkeep_lasts(m, u, now);
}
