#include "sched/machines.h"

void machines_free(void *p)
{
	struct machine *x = p;

	g_free(x->name);
	g_free(x->pool);
	g_free(x->shutdown_endpoint);
	g_free(x->target_pool);
	g_free(x->rejected_by_pool);
	g_free(x);
}

bool machines_is_moving(const struct manager *m, const char *name, clock_ms_t now)
{
	const struct machine *x = g_hash_table_lookup(m->machines, name);

	return x && (x->in_flight || x->target_pool || now < x->arrives_by);
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

void machines_set_pool(struct machine *x, const char *pool)
{
	if (g_str_equal(x->pool, pool))
		return;
	g_free(x->pool);
	x->pool = g_strdup(pool);
}

struct endpoint *machines_endpoint_on(const struct machine *x, clock_ms_t now)
{
	return x->endpoint_seen_at == now ? x->endpoint : NULL;
}

struct maintenance *machines_get_maintenance(struct manager *m, const char *name)
{
	struct maintenance *maint = g_hash_table_lookup(m->maintenance_by_machine, name);

	if (maint)
		return maint;
	maint = g_new0(struct maintenance, 1);
	g_hash_table_insert(m->maintenance_by_machine, g_strdup(name), maint);
	return maint;
}

void machines_end_maintenance(struct maintenance *maint)
{
	g_free(maint->shutdown_endpoint);
	*maint = (struct maintenance){.next_log_at = maint->next_log_at};
}

void machines_handle_listed_up(struct manager *m, const char *name, clock_ms_t requested_at)
{
	struct maintenance *maint = g_hash_table_lookup(m->maintenance_by_machine, name);

	if (maint && maint->begun && requested_at >= maint->begun_at)
		machines_end_maintenance(maint);
}

void machines_free_maintenance(void *p)
{
	struct maintenance *maint = p;

	g_free(maint->shutdown_endpoint);
	g_free(maint);
}

bool machines_is_down(const struct manager *m, const char *name)
{
	const struct maintenance *maint = g_hash_table_lookup(m->maintenance_by_machine, name);

	return maint && maint->ordered;
}

bool machines_has_open_maintenance(const struct manager *m, const char *name)
{
	const struct maintenance *maint =
		g_hash_table_size(m->maintenance_by_machine)
			? g_hash_table_lookup(m->maintenance_by_machine, name)
			: NULL;

	return maint && maint->ordered && !maint->begun;
}
