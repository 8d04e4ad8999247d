#include "sched/relocate.h"

#include "sched/availability.h"
#include "sched/capacity.h"
#include "sched/machines.h"

/* Targets. */

static struct place_request request_for(const struct run *r)
{
	return (struct place_request){
		.step = &r->job->image.spec.steps.steps_val[r->ref.step],
		.job = r->ref.job,
		.occurrence = r->ref.occurrence,
		.step_number = r->ref.step,
		.remote_is_allowed = true,
	};
}

/// Takes capacity for an attempt's task on a machine that is not due, until the next placement
/// round.
///
/// @return true if there is such a machine
static bool take_capacity(struct manager *m, const struct run *r)
{
	const struct place_request q = request_for(r);
	struct pool_capacity *pc = g_hash_table_lookup(m->pool_capacities, r->endpoint->pool);
	struct place_candidate *c;
	int at;

	if (!pc || !capacity_may_fit(pc, q.step))
		return false;
	at = place_choose(pc->candidates, &q);
	if (at < 0)
		return false;
	c = &g_array_index(pc->candidates, struct place_candidate, at);
	if (c->maintenance_due || c->quarantined)
		return false;
	place_allocate(c, q.step);
	manager_mark_capacity_changed(m, c->endpoint);
	return true;
}

void relocate_hold_capacity(struct manager *m)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, m->relocating);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		const struct run *r = g_hash_table_lookup(m->runs, name);

		if (r && r->stop_wanted && !job_has_ended(r->job))
			take_capacity(m, r);
		else
			g_hash_table_iter_remove(&iter);
	}
}

/* Tasks. */

static int compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct endpoint *x = *(const struct endpoint *const *)a;
	const struct endpoint *y = *(const struct endpoint *const *)b;

	if (x->cordoned != y->cordoned)
		return x->cordoned ? -1 : 1;
	if (x->long_running != y->long_running)
		return x->long_running < y->long_running ? -1 : 1;
	return g_strcmp0(x->machine, y->machine);
}

/// @return endpoints on due machines that run long-running tasks: cordoned ones first, then those
/// with the fewest such tasks, as they are free soonest
static GPtrArray *list_endpoints(const struct manager *m, clock_ms_t now)
{
	GPtrArray *out = g_ptr_array_new();
	GHashTableIter iter;
	gpointer machine;

	g_hash_table_iter_init(&iter, m->due_machines);
	while (g_hash_table_iter_next(&iter, &machine, NULL)) {
		struct endpoint *e = g_hash_table_lookup(m->endpoint_by_machine, machine);

		if (e && !e->terminated && e->long_running && !e->shutdown_ordered &&
		    !machines_is_down(m, machine) && !machines_is_moving(m, machine, now))
			g_ptr_array_add(out, e);
	}
	g_ptr_array_sort(out, compare_endpoints);
	return out;
}

/// Tells whether a task may be stopped now. One that is not ready yet, or whose step has no budget,
/// stays until its machine goes down. Gangs end as a whole.
static bool may_relocate(struct manager *m, const struct run *r, clock_ms_t now)
{
	const u_int budget = r->long_running && !r->gang ? availability_budget(r) : 0;

	return budget && availability_is_ready(m, r, now) &&
	       availability_count_unavailable(m, r, NULL, now) < budget;
}

unsigned int relocate_tasks(struct manager *m, clock_ms_t now)
{
	g_autoptr(GPtrArray) endpoints = list_endpoints(m, now);
	unsigned int n = 0;

	if (!endpoints->len)
		return 0;
	capacity_update(m, now);
	relocate_hold_capacity(m);
	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *e = endpoints->pdata[i];

		for (guint k = 0; k < e->runs->len; k++) {
			struct run *r = e->runs->pdata[k];

			if (!may_relocate(m, r, now) || !take_capacity(m, r))
				continue;
			r->stop_wanted = true;
			g_hash_table_add(m->relocating, g_strdup(r->name));
			e->next_check_at = now;
			availability_record_stop(m, r);
			n++;
		}
	}
	return n;
}
