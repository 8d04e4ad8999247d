#include "runs/incarnations.h"

#include "base/log.h"
#include "runs/attempts.h"

/// Least time between the queries that claims call for: one call timeout.
#define VERIFICATION_GAP_MS 900
/// The same after a deregistration; a few queries find the end of an endpoint that leaves.
#define DEREGISTRATION_QUERY_GAP_MS 150
/// The same once calls fail: the process has ended or is ending, and its host may be taken away
/// within 100 ms, after which nothing refuses a connection.
#define ENDING_QUERY_GAP_MS 20
#define ENDING_QUERIES_MAX 4
/// Time without an accepted heartbeat after which one that seems old calls for a query.
#define OLD_HEARTBEATS_MAX_MS 2000
#define ODD_HEARTBEAT_LOG_INTERVAL_MS 1000

static struct endpoint *add_endpoint(struct manager *m, const char *id)
{
	struct endpoint *e = endpoint_new(id);

	e->known_since = m->leader_since;
	g_hash_table_replace(m->endpoints, e->id, e);
	return e;
}

struct endpoint *incarnations_find_endpoint(struct manager *m, const char *id)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoints, id);

	return e ? e : g_hash_table_lookup(m->terminated_endpoints, id);
}

/// Moves a terminated endpoint back to the endpoints in use.
static void reactivate(struct manager *m, struct endpoint *e)
{
	if (!g_hash_table_steal(m->terminated_endpoints, e->id))
		return;
	g_hash_table_replace(m->endpoints, e->id, e);
	m->capacities_rebuild_at = 0;
}

void incarnations_forget_terminated(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->terminated_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now - ((struct endpoint *)value)->last_heartbeat_at > FORGET_ENDPOINT_MS)
			g_hash_table_iter_remove(&iter);
}

static void reset_incarnation(struct endpoint *e)
{
	e->number = 0;
	e->clock_ms = -1;
	e->lease_end_ms = 0;
	e->leased_at = 0;
	e->fenced = false;
	e->status_query_open = false;
	e->status_query = 0;
	e->status_repeat = 0;
	e->answered_sent_at = 0;
	e->next_repeat_at = CLOCK_NEVER;
	e->questioned_at = 0;
	e->terminated_at = 0;
	e->end = ENDPOINT_END_EXPECTED;
	e->last_alive_at = 0;
	e->silent_by = 0;
	e->last_completion = 0;
	e->acked_completion = 0;
	e->sequence = 0;
	e->heartbeat_clock_ms = -1;
	e->draining = false;
	e->deregistered = false;
	e->refused_at = 0;
	e->has_heartbeat = false;
	e->cordoned = false;
	/* An order for its machine that is not settled may still shut the new incarnation down. */
	e->shutdown_ordered &= !e->terminated && !e->alive_proof_after;
	e->alive_proof_after = 0;
	e->terminated = false;
	e->failures = 0;
	e->quarantined_until = 0;
	e->unanswered_calls = 0;
}

void incarnations_handle_restart(struct manager *m, clock_ms_t now, struct endpoint *e,
				 int64_t incarnation_wall_ms)
{
	guint runs = e->runs->len;

	if (!e->terminated && !attempts_end_is_expected(m, now, e)) {
		attempts_judge_loss(m, now, e, ENDPOINT_END_RESTARTED);
		attempts_confirm_losses(m, e, true);
	}
	attempts_drop_losses(m, e);
	for (guint i = e->runs->len; i > 0; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (!attempts_may_start_late(m, r, now)) {
			attempts_release(m, r, JOB_ATTEMPT_RELEASED, r->checkpoint);
			continue;
		}
		if (r->state != RUN_INHERITED)
			attempts_set_state(r, RUN_IN_DOUBT);
		r->stop_in_flight = false;
		r->stopped_at = 0;
		r->listed_by = 0;
		r->stop_at = now;
	}
	log_info("endpoint restarted", "ENDPOINT", e->id, "RELEASED",
		 log_number(runs - e->runs->len), "IN_DOUBT", log_number(e->runs->len), "EARLIER",
		 log_number((uint64_t)e->incarnation_wall_ms), "LATER",
		 log_number((uint64_t)incarnation_wall_ms));
	reset_incarnation(e);
	reactivate(m, e);
	e->incarnation_wall_ms = incarnation_wall_ms;
	e->known_since = MAX(now, e->lease_sent_by);
	e->needs_fencing = true;
	e->restart_count++;
	e->next_check_at = now;
	m->round_wanted = true;
}

/* Claims that an incarnation has ended. */

static void question(struct endpoint *e, clock_ms_t now, const char *by)
{
	log_info("a heartbeat claims that an endpoint has ended; asking it", "ENDPOINT", e->id,
		 "CLAIMED_BY", by, "INCARNATION", log_number((uint64_t)e->incarnation_wall_ms),
		 "RUNS", log_number(e->runs->len));
	e->questioned_at = now;
}

/// Questions earlier incarnations at the address of @p holder.
static void question_earlier_at_address(struct manager *m, clock_ms_t now,
					const struct endpoint *holder)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;

		if (e != holder && !e->terminated_at && e->address_hash == holder->address_hash &&
		    g_str_equal(e->address, holder->address) &&
		    e->incarnation_wall_ms < holder->incarnation_wall_ms)
			question(e, now, holder->id);
	}
}

/// @return least time between the queries to an endpoint that has said that it leaves
static clock_ms_t deregistration_query_gap(const struct endpoint *e)
{
	if (!e->unanswered_calls)
		return DEREGISTRATION_QUERY_GAP_MS;
	return e->unanswered_calls <= ENDING_QUERIES_MAX ? ENDING_QUERY_GAP_MS
							 : VERIFICATION_GAP_MS;
}

bool incarnations_needs_verification(const struct endpoint *e, clock_ms_t now)
{
	if (e->terminated_at)
		return false;
	if (e->deregistered && e->draining && !e->refused_at &&
	    now - e->verified_at >= deregistration_query_gap(e))
		return true;
	return e->questioned_at && e->verified_at < e->questioned_at &&
	       now - e->verified_at >= VERIFICATION_GAP_MS;
}

void incarnations_handle_answer(struct endpoint *e, clock_ms_t sent_at)
{
	if (!e->questioned_at || sent_at < e->questioned_at)
		return;
	log_info("endpoint has not ended, as was claimed", "ENDPOINT", e->id);
	e->questioned_at = 0;
	endpoint_set_announced(e, NULL);
}

void incarnations_adopt_announced(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	struct endpoint_heartbeat *hb = e->announced;
	bool is_silent =
		e->unanswered_calls && !e->runs->len && e->last_alive_at < e->questioned_at;
	bool has_answered = hb && hb->incarnation_wall_ms == e->incarnation_wall_ms;

	if (!hb || (!has_answered && !e->terminated && !is_silent))
		return;
	/* An order that shut the endpoint down also shut down its later incarnation. */
	if (e->terminated && e->end == ENDPOINT_END_EXPECTED) {
		endpoint_set_announced(e, NULL);
		return;
	}
	e->announced = NULL;
	if (hb->incarnation_wall_ms != e->incarnation_wall_ms)
		incarnations_handle_restart(m, now, e, hb->incarnation_wall_ms);
	incarnations_handle_heartbeat(m, e->announced_at, hb);
	endpoint_heartbeat_clear(hb);
	g_free(hb);
}

/// Clears the ordered shutdown when a heartbeat after the machine order proves that the endpoint
/// still runs.
static void record_alive_proof(struct endpoint *e, clock_ms_t reported_at)
{
	if (!e->alive_proof_after || reported_at <= e->alive_proof_after)
		return;
	e->shutdown_ordered = false;
	e->cordoned = false;
	e->alive_proof_after = 0;
}

/// Revokes a deregistration that another writer sent: a later heartbeat shows that the endpoint is
/// ready.
static void revoke_deregistration(struct endpoint *e, clock_ms_t heard_at)
{
	if (!e->deregistered || e->draining || heard_at <= e->deregistered_at)
		return;
	log_info("endpoint is ready after its deregistration, which was false", "ENDPOINT", e->id);
	e->deregistered = false;
}

bool incarnations_handle_short_heartbeat(struct manager *m, clock_ms_t now,
					 const struct short_heartbeat *s)
{
	struct endpoint *e = incarnations_find_endpoint(m, s->id);
	clock_ms_t at = now - s->age_ms;

	if (!e || !e->has_heartbeat || e->incarnation_wall_ms != s->incarnation_wall_ms)
		return e && e->incarnation_wall_ms > s->incarnation_wall_ms;
	if (e->terminated || endpoint_is_old_heartbeat(e, s->sequence, s->clock_ms))
		return true;
	e->sequence = s->sequence;
	e->heartbeat_clock_ms = s->clock_ms;
	e->last_heartbeat_at = MAX(e->last_heartbeat_at, at);
	e->cold_until = at + s->cold_ms;
	if (s->clock_ms >= 0)
		endpoint_record_clock(e, s->clock_ms, at);
	record_alive_proof(e, at);
	if (e->digest != s->digest)
		return false;
	endpoint_record_report(e, s->clock_ms, at);
	revoke_deregistration(e, at);
	return true;
}

/// Tells whether a heartbeat names a pool in which its endpoint may be used, or whose removal from
/// the configuration its endpoint has outlived.
static bool has_known_pool(const struct manager *m, const struct endpoint *e,
			   const struct endpoint_heartbeat *hb)
{
	if (!m->jobs->config.config_version || jobs_pool(m->jobs, hb->pool))
		return true;
	return e && e->incarnation_wall_ms == hb->incarnation_wall_ms &&
	       g_str_equal(e->pool, hb->pool);
}

static void log_ignored(struct manager *m, clock_ms_t now, const struct endpoint_heartbeat *hb,
			const char *reason)
{
	if (now < m->odd_heartbeat_log_at)
		return;
	m->odd_heartbeat_log_at = now + ODD_HEARTBEAT_LOG_INTERVAL_MS;
	log_info("heartbeat ignored", "REASON", reason, "ENDPOINT", hb->id, "POOL", hb->pool,
		 "ADDRESS", hb->address, "INCARNATION",
		 log_number((uint64_t)hb->incarnation_wall_ms));
}

/// Tells whether a heartbeat contradicts what an incarnation that has answered said of itself,
/// which does not change during its life.
static bool contradicts(const struct endpoint *e, const struct endpoint_heartbeat *hb)
{
	return e->fenced && e->has_heartbeat &&
	       (!g_str_equal(e->address, hb->address) || !g_str_equal(e->pool, hb->pool) ||
		(*hb->machine && *e->machine && !g_str_equal(e->machine, hb->machine)));
}

/// Handles a heartbeat of another incarnation than the known one, which decides by its answer. Once
/// it has answered, an earlier one is not asked about.
static void announce(struct endpoint *e, clock_ms_t now, const struct endpoint_heartbeat *hb)
{
	if (hb->incarnation_wall_ms < e->incarnation_wall_ms && e->fenced)
		return;
	endpoint_set_announced(e, hb);
	e->announced_at = now;
	question(e, now, hb->id);
}

void incarnations_handle_heartbeat(struct manager *m, clock_ms_t now,
				   const struct endpoint_heartbeat *hb)
{
	struct endpoint *e = incarnations_find_endpoint(m, hb->id);
	bool is_new = !e || !e->has_heartbeat;

	if (!has_known_pool(m, e, hb)) {
		log_ignored(m, now, hb, "no configuration names its pool");
		return;
	}
	if (!e)
		e = add_endpoint(m, hb->id);
	if (hb->incarnation_wall_ms != e->incarnation_wall_ms && e->incarnation_wall_ms &&
	    !e->terminated_at) {
		announce(e, now, hb);
		return;
	}
	if (hb->incarnation_wall_ms < e->incarnation_wall_ms)
		return;
	if (hb->incarnation_wall_ms > e->incarnation_wall_ms) {
		if (e->incarnation_wall_ms)
			incarnations_handle_restart(m, now, e, hb->incarnation_wall_ms);
		e->incarnation_wall_ms = hb->incarnation_wall_ms;
		is_new = true;
	}
	if (e->terminated)
		return;
	if (!is_new && endpoint_is_old_heartbeat(e, hb->sequence, hb->clock_ms)) {
		if (now - e->last_heartbeat_at > OLD_HEARTBEATS_MAX_MS)
			question(e, now, hb->id);
		return;
	}
	if (!is_new && contradicts(e, hb)) {
		log_ignored(m, now, hb, "its incarnation has another address, pool or machine");
		return;
	}
	if (e->draining != hb->draining && hb->draining)
		log_info("endpoint is draining; it gets no new work", "ENDPOINT", e->id);
	endpoint_update(e, hb, now);
	record_alive_proof(e, now);
	revoke_deregistration(e, now);
	if (!is_new)
		return;
	/* Orders of earlier leaders to this endpoint may still be in flight. */
	e->needs_fencing |= m->term > 1 && now - m->leader_since < LATE_ORDER_MAX_MS;
	question_earlier_at_address(m, now, e);
	manager_mark_capacity_changed(m, e);
}

void incarnations_handle_deregistration(struct manager *m, clock_ms_t now,
					const struct endpoint_heartbeat *hb)
{
	struct endpoint *e = incarnations_find_endpoint(m, hb->id);

	if (!e || e->deregistered ||
	    (hb->incarnation_wall_ms && hb->incarnation_wall_ms != e->incarnation_wall_ms))
		return;
	log_info("endpoint deregistered", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	e->deregistered = true;
	e->deregistered_at = now;
}

void incarnations_inherit(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (job->assigned || !job_has_ended(job))
			g_ptr_array_add(m->active, job);
		for (u_int k = job->first_open;
		     job->assigned && k < job->image.occurrences.occurrences_len; k++)
			for (u_int s = 0; s < job->image.spec.steps.steps_len; s++) {
				const job_step_state *state = job_step_tasks(job, k, s);

				for (u_int i = 0; state && i < state->tasks.tasks_len; i++) {
					const job_task *t = &state->tasks.tasks_val[i];
					const struct job_incarnation_state *incarnation =
						jobs_incarnation(m->jobs, t->endpoint);
					job_task_ref ref = {job->image.spec.id, k, s, i};
					struct endpoint *e;
					struct run *r;

					if (t->phase != JOB_TASK_ASSIGNED || !incarnation)
						continue;
					e = g_hash_table_lookup(m->endpoints,
								incarnation->endpoint.id);
					if (!e ||
					    e->incarnation_wall_ms <
						    incarnation->endpoint.incarnation_wall_ms) {
						if (!e)
							e = add_endpoint(m,
									 incarnation->endpoint.id);
						g_free(e->address);
						g_free(e->pool);
						g_free(e->machine);
						e->address =
							g_strdup(incarnation->endpoint.address);
						e->address_hash = g_str_hash(e->address);
						e->pool = g_strdup(incarnation->endpoint.pool);
						e->machine =
							g_strdup(incarnation->endpoint.machine);
						e->incarnation_wall_ms =
							incarnation->endpoint.incarnation_wall_ms;
						e->number = t->endpoint;
						e->last_heartbeat_at = now;
					}
					r = attempts_add(m, now, e, job, &ref, t->attempt);
					attempts_set_state(r, RUN_INHERITED);
					r->inherited = true;
					g_free(r->checkpoint);
					r->checkpoint = g_strdup(t->checkpoint);
				}
			}
	}
}
