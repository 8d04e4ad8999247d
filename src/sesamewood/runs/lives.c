#include "runs/lives.h"

#include "base/log.h"
#include "runs/attempts.h"

#define LATE_ORDER_MS 15000 /* an order is executed at most 12 s late */

static struct endpoint *add_endpoint(struct manager *m, const char *id)
{
	struct endpoint *e = endpoint_new(id);

	g_hash_table_replace(m->endpoints, e->id, e);
	return e;
}

struct endpoint *lives_find(struct manager *m, const char *id)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoints, id);

	return e ? e : g_hash_table_lookup(m->terminated_endpoints, id);
}

/// Takes an endpoint that had terminated_endpoints among those in use again.
static void bring_back(struct manager *m, struct endpoint *e)
{
	if (!g_hash_table_steal(m->terminated_endpoints, e->id))
		return;
	g_hash_table_replace(m->endpoints, e->id, e);
	m->capacities_rebuild_at = 0;
}

void lives_forget(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->terminated_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now - ((struct endpoint *)value)->heard_at > FORGET_ENDPOINT_MS)
			g_hash_table_iter_remove(&iter);
}

void lives_bound_earlier_lease(const struct manager *m, struct endpoint *e)
{
	if (e->clock_ms >= 0)
		e->lease_until_ms = MAX(e->lease_until_ms, e->clock_ms + m->settings.lease_max_ms);
}

static void forget_life(struct endpoint *e)
{
	e->number = 0;
	e->clock_ms = -1;
	e->lease_until_ms = 0;
	e->fenced = false;
	e->looking = false;
	e->over_at = 0;
	e->taken = 0;
	e->sequence = 0;
	e->draining = false;
	e->left = false;
	e->gone = false;
	e->announced = false;
	e->cordoned = false;
	e->ending = false;
	e->proves_from = 0;
	e->failures = 0;
	e->avoid_until = 0;
	e->misses = 0;
}

void lives_reborn(struct manager *m, clock_ms_t now, struct endpoint *e,
		  int64_t incarnation_wall_ms)
{
	log_info("endpoint started again", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	for (guint i = e->runs->len; i > 0; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (r->state == RUN_CONFIRMED) {
			attempts_release(m, r, JOB_END_RELEASED, r->checkpoint);
			continue;
		}
		if (r->state != RUN_INHERITED)
			r->state = RUN_IN_DOUBT;
		r->stop_in_flight = false;
		r->stopped_at = 0;
		r->stop_at = now;
	}
	forget_life(e);
	bring_back(m, e);
	e->incarnation_wall_ms = incarnation_wall_ms;
	e->must_fence = true;
	e->lives++;
	e->attend_at = now;
	m->dirty = true;
}

/// Ends the lives that had the address before.
static void take_address(struct manager *m, clock_ms_t now, const struct endpoint *holder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;

		if (e != holder && !e->gone && e->address_hash == holder->address_hash &&
		    g_str_equal(e->address, holder->address) &&
		    e->incarnation_wall_ms < holder->incarnation_wall_ms)
			attempts_endpoint_over(m, now, e);
	}
}

/// A report after an order to the machine proves that its endpoint has not ended.
static void prove_alive(struct endpoint *e, clock_ms_t reported_at)
{
	if (!e->proves_from || reported_at <= e->proves_from)
		return;
	e->ending = false;
	e->cordoned = false;
	e->proves_from = 0;
}

bool lives_sighted(struct manager *m, clock_ms_t now, const struct short_heartbeat *s)
{
	struct endpoint *e = lives_find(m, s->id);
	clock_ms_t at = now - s->age_ms;

	if (!e || !e->announced || e->incarnation_wall_ms != s->incarnation_wall_ms)
		return e && e->incarnation_wall_ms > s->incarnation_wall_ms;
	if (e->gone || s->sequence <= e->sequence)
		return true;
	e->sequence = s->sequence;
	e->heard_at = MAX(e->heard_at, at);
	e->cold_until = at + s->cold_ms;
	if (s->clock_ms >= 0)
		endpoint_note_clock(e, s->clock_ms, at);
	prove_alive(e, at);
	return true;
}

void lives_announced(struct manager *m, clock_ms_t now, const struct endpoint_heartbeat *a)
{
	struct endpoint *e = lives_find(m, a->id);
	bool is_new = !e || !e->announced;

	if (!e)
		e = add_endpoint(m, a->id);
	if (a->incarnation_wall_ms < e->incarnation_wall_ms)
		return;
	if (a->incarnation_wall_ms > e->incarnation_wall_ms) {
		if (e->incarnation_wall_ms)
			lives_reborn(m, now, e, a->incarnation_wall_ms);
		e->incarnation_wall_ms = a->incarnation_wall_ms;
		is_new = true;
	}
	if (e->gone || (!is_new && a->sequence <= e->sequence))
		return;
	if (e->draining != a->draining && a->draining)
		log_info("endpoint drains", "ENDPOINT", e->id);
	endpoint_update(e, a, now);
	prove_alive(e, now);
	if (!is_new)
		return;
	/* Its orders from earlier leaders may still be on their way. */
	e->must_fence |= m->term > 1 && now - m->since < LATE_ORDER_MS;
	lives_bound_earlier_lease(m, e);
	take_address(m, now, e);
	manager_mark_capacity_changed(m, e);
}

void lives_left(struct manager *m, clock_ms_t now, const struct endpoint_heartbeat *a)
{
	struct endpoint *e = lives_find(m, a->id);

	(void)now;
	if (!e || e->left ||
	    (a->incarnation_wall_ms && a->incarnation_wall_ms != e->incarnation_wall_ms))
		return;
	log_info("endpoint leaves", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	e->left = true;
	e->draining = true;
	e->heard_at = now;
}

void lives_inherit(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->assigned || !job_is_over(job))
			g_ptr_array_add(m->active, job);
		for (u_int k = 0; job->assigned && k < job->image.occurrences.occurrences_len; k++)
			for (u_int s = 0; s < job->image.spec.steps.steps_len; s++) {
				const job_step_state *state =
					&job->image.occurrences.occurrences_val[k]
						 .steps.steps_val[s];

				for (u_int i = 0; i < state->tasks.tasks_len; i++) {
					const job_task *t = &state->tasks.tasks_val[i];
					const struct job_life *life =
						jobs_life(m->jobs, t->endpoint);
					job_task_ref ref = {job->image.spec.id, k, s, i};
					struct endpoint *e;
					struct run *r;

					if (t->phase != JOB_TASK_ASSIGNED || !life)
						continue;
					e = g_hash_table_lookup(m->endpoints, life->endpoint.id);
					if (!e || e->incarnation_wall_ms <
							  life->endpoint.incarnation_wall_ms) {
						if (!e)
							e = add_endpoint(m, life->endpoint.id);
						g_free(e->address);
						g_free(e->pool);
						g_free(e->machine);
						e->address = g_strdup(life->endpoint.address);
						e->address_hash = g_str_hash(e->address);
						e->pool = g_strdup(life->endpoint.pool);
						e->machine = g_strdup(life->endpoint.machine);
						e->incarnation_wall_ms =
							life->endpoint.incarnation_wall_ms;
						e->number = t->endpoint;
						e->heard_at = now;
					}
					r = attempts_add(m, now, e, job, &ref, t->attempt);
					r->state = RUN_INHERITED;
					g_free(r->checkpoint);
					r->checkpoint = g_strdup(t->checkpoint);
				}
			}
	}
}
