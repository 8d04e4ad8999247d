#include "sched/waves.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "runs/incarnations.h"
#include "sched/availability.h"
#include "sched/machines.h"
#include "sched/pools.h"
#include "sched/relocate.h"

#include <string.h>

#define WAVE_PASS_MS 100	   /* a twentieth of the maintenance time */
#define RETRY_MS 400		   /* after a refused or unanswered order */
#define ORDER_TIMEOUT_MS 1500	   /* the machine service may be slow */
#define DRAIN_WAIT_MS 2500	   /* time for tasks of bounded run time to end first */
#define HEARTBEAT_DELAY_MAX_MS 300 /* longest time that a heartbeat is in flight */
#define WAVE_LOG_PERIOD_MS 3000
/// Time that a machine blocked by a budget may still need: a start-up of a long-running task of up
/// to 3.5 s, then DRAIN_WAIT_MS.
#define BLOCKED_MS 6000
/// Margin after the longest maintenance before its machine counts as returned.
#define RETURN_MARGIN_MS 300
/// Time between a machine's return and the order for the next one, on average.
#define MAINTENANCE_GAP_MS 500
/// While pools lack machines, a wave plans to be done after this share of its time.
#define PACE_PERCENT 80

static void index_endpoints_by_machine(struct manager *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(m->endpoint_by_machine);
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;
		const struct endpoint *other =
			g_hash_table_lookup(m->endpoint_by_machine, e->machine);

		if (!e->terminated && *e->machine &&
		    (!other || e->incarnation_wall_ms > other->incarnation_wall_ms))
			g_hash_table_replace(m->endpoint_by_machine, e->machine, e);
	}
}

/// @return the endpoint of the latest incarnation on a machine, or NULL
static struct endpoint *endpoint_on(const struct manager *m, const char *machine)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoint_by_machine, machine);

	return e && !e->terminated ? e : NULL;
}

static void collect_due_machines(struct manager *m)
{
	g_hash_table_remove_all(m->due_machines);
	for (guint w = 0; w < m->jobs->waves->len; w++) {
		const job_wave *wave = m->jobs->waves->pdata[w];

		for (u_int i = 0; i < wave->machines.machines_len; i++)
			if (!wave->machines.machines_val[i].settled)
				g_hash_table_add(m->due_machines,
						 g_strdup(wave->machines.machines_val[i].machine));
	}
}

bool waves_is_complete(const job_wave *wave)
{
	for (u_int i = 0; i < wave->machines.machines_len; i++)
		if (!wave->machines.machines_val[i].settled)
			return false;
	return true;
}

/* Choice of machines. */

/// @return number of attempts at an endpoint that end by themselves
static unsigned int count_short_runs(const struct endpoint *e)
{
	unsigned int n = 0;

	for (guint i = 0; e && i < e->runs->len; i++)
		n += !((struct run *)e->runs->pdata[i])->long_running;
	return n;
}

/// @param first  no leader has ordered the machine for this wave yet
/// @param n_down machines of the wave that count as down, for the log
static void send_maintenance(struct manager *m, clock_ms_t now, const job_wave *wave,
			     const char *machine, bool first, unsigned int n_down)
{
	struct maintenance *maint = machines_get_maintenance(m, machine);
	struct endpoint *e = endpoint_on(m, machine);
	struct order *o = g_new0(struct order, 1);
	job_command c = {
		.type = JOB_COMMAND_WAVE_UPDATE,
		.job_command_u.wave_update = {.number = wave->number, .machine = (char *)machine},
	};

	*o = (struct order){
		.type = ORDER_MACHINE_MAINTENANCE,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.machine = g_strdup(machine),
		.wave = wave->number,
		.holder = g_strdup(m->settings.holder),
		.not_after = CLOCK_NEVER,
	};
	log_info("maintenance ordered", "MACHINE", machine, "WAVE", log_number(wave->number),
		 "RUNS", log_number(e ? e->runs->len : 0), "DOWN", log_number(n_down), "CAP",
		 log_number(wave->cap));
	if (e)
		e->shutdown_ordered = true;
	availability_invalidate(m);
	maint->ordered = maint->in_flight = true;
	maint->wave = wave->number;
	/* A repeated order also succeeds if an earlier one was executed, so its success does not
	 * show that the present incarnation has been shut down. */
	if (first && e) {
		maint->shutdown_endpoint = g_strdup(e->id);
		maint->shutdown_incarnation_wall_ms = e->incarnation_wall_ms;
	}
	effects_propose(m, &c);
	effects_send_machine_order(m, now, o, wave->number);
}

/// Tells whether a machine may go down now: no budget forbids it, and its tasks of bounded run time
/// have ended or had time to end.
static bool may_start_maintenance(struct manager *m, const struct endpoint *e, clock_ms_t now,
				  bool deadline_near)
{
	if (!e)
		return true;
	if (availability_find_blocking_run(m, e, now))
		return false;
	return !count_short_runs(e) || deadline_near || now - e->cordoned_at > DRAIN_WAIT_MS;
}

/// Logs every WAVE_LOG_PERIOD_MS what blocks the maintenance of a machine.
static void log_blocking_condition(struct manager *m, struct maintenance *maint,
				   const char *machine, const struct endpoint *e, clock_ms_t now)
{
	const struct run *r;

	if (!e || now < maint->next_log_at)
		return;
	r = availability_find_blocking_run(m, e, now);
	maint->next_log_at = now + WAVE_LOG_PERIOD_MS;
	log_info("maintenance is blocked; the machine stays up", "MACHINE", machine, "KEPT_FREE",
		 e->cordoned ? "true" : "false", "RUNS", log_number(e->runs->len), "SHORT",
		 log_number(count_short_runs(e)), "BUDGET_OF", r ? r->name : "", "AWAY",
		 log_number(r ? availability_count_unavailable(m, r, e, now) : 0));
}

/// Evacuates a machine that holds more tasks of a step than its budget allows to be unavailable:
/// stops them one at a time, so that they start elsewhere.
static void evacuate(struct manager *m, struct endpoint *e, clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];
		u_int budget = availability_budget(r);

		if (!budget || r->stop_wanted || availability_count_at(e, r) <= budget)
			continue;
		if (availability_count_unavailable(m, r, NULL, now) >= budget)
			continue;
		r->stop_wanted = true;
		e->next_check_at = now;
		availability_invalidate(m);
	}
}

/// Stops the attempts of bounded run time at an endpoint whose machine is to go down, so that each
/// of them ends with a completion record: what a machine lists while it goes down may be lost, and
/// a task that was done would run again.
///
/// @return true if such attempts are left
static bool stop_short_runs(struct endpoint *e, clock_ms_t now)
{
	bool any = false;

	for (guint i = 0; e && i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];

		if (r->long_running)
			continue;
		any = true;
		if (r->stop_wanted)
			continue;
		r->stop_wanted = true;
		e->next_check_at = now;
	}
	return any;
}

static void cordon(struct endpoint *e, clock_ms_t now)
{
	if (!e || e->cordoned)
		return;
	e->cordoned = true;
	e->cordoned_at = now;
}

/// An endpoint that may be cordoned for maintenance.
struct cordon_candidate {
	struct endpoint *endpoint;
	unsigned int work;
};

static int compare_cordon_candidates(gconstpointer a, gconstpointer b)
{
	const struct cordon_candidate *x = a;
	const struct cordon_candidate *y = b;

	return (x->work > y->work) - (x->work < y->work);
}

/// Cordons up to @p n more machines: those with the least work, where budgets allow it.
static void cordon_more(struct manager *m, const job_wave *wave, unsigned int n, clock_ms_t now)
{
	g_autoptr(GArray) choices = g_array_new(FALSE, FALSE, sizeof(struct cordon_candidate));

	for (u_int i = 0; n && i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		struct cordon_candidate c = {.endpoint = endpoint_on(m, w->machine)};
		const struct endpoint *e = c.endpoint;

		if (w->settled || w->ordered || !e || e->cordoned ||
		    machines_is_moving(m, w->machine, now) ||
		    (!availability_exceeds_budget_alone(e) &&
		     availability_find_blocking_run(m, e, now)))
			continue;
		c.work = 2 * e->runs->len + count_short_runs(e);
		g_array_append_val(choices, c);
	}
	g_array_sort(choices, compare_cordon_candidates);
	for (guint i = 0; i < choices->len && i < n; i++)
		cordon(g_array_index(choices, struct cordon_candidate, i).endpoint, now);
}

/// @return number of machines to cordon so that the wave meets its deadline with no more idle
/// machines than needed
static unsigned int cordon_target(const struct manager *m, const job_wave *wave,
				  unsigned int n_open, clock_ms_t wall_ms)
{
	clock_ms_t left = MAX(wave->due_wall_ms - wall_ms, 1);
	clock_ms_t each = m->settings.maintenance_ms + DRAIN_WAIT_MS;

	return (unsigned int)CLAMP((n_open * each + left - 1) / left + 1, 1,
				   (clock_ms_t)MAX(wave->cap, 1));
}

unsigned int waves_pace(const job_wave *wave, unsigned int n_open, clock_ms_t maintenance_ms,
			clock_ms_t left_ms)
{
	clock_ms_t each = maintenance_ms + MAINTENANCE_GAP_MS;
	clock_ms_t left = MAX(left_ms * PACE_PERCENT / 100, 1);

	return (unsigned int)MIN((n_open * each + left - 1) / left, (clock_ms_t)wave->cap);
}

/// @return number of machines of a wave that are or may be down for maintenance, of whichever wave
static unsigned int count_down(const struct manager *m, const job_wave *wave)
{
	unsigned int n = 0;

	for (u_int i = 0; i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];

		n += machines_is_down(m, w->machine) || (w->ordered && !w->settled);
	}
	return n;
}

static bool has_machine(const job_wave *wave, const char *machine)
{
	for (u_int i = 0; i < wave->machines.machines_len; i++)
		if (g_str_equal(wave->machines.machines_val[i].machine, machine))
			return true;
	return false;
}

/// Tells whether taking a machine down would exceed the cap of another wave that it belongs to: an
/// order of that wave may be repeated at any time.
static bool exceeds_other_cap(const struct manager *m, const job_wave *wave, const char *machine)
{
	for (guint i = 0; i < m->jobs->waves->len; i++) {
		const job_wave *other = m->jobs->waves->pdata[i];

		if (other != wave && other->cap && !waves_is_complete(other) &&
		    has_machine(other, machine) && count_down(m, other) >= other->cap)
			return true;
	}
	return false;
}

/// Tells whether repeating an unanswered order would exceed the cap of another wave that the
/// machine belongs to, which may have come after the order. Other orders in doubt do not count, or
/// two of them would wait for each other.
static bool repetition_exceeds_other_cap(const struct manager *m, const job_wave *wave,
					 const char *machine)
{
	for (guint i = 0; i < m->jobs->waves->len; i++) {
		const job_wave *other = m->jobs->waves->pdata[i];
		unsigned int n = 0;

		if (other == wave || !other->cap || waves_is_complete(other) ||
		    !has_machine(other, machine))
			continue;
		for (u_int k = 0; k < other->machines.machines_len; k++) {
			const char *name = other->machines.machines_val[k].machine;
			const struct maintenance *maint =
				g_hash_table_lookup(m->maintenance_by_machine, name);

			n += maint && maint->ordered && (maint->begun || maint->in_flight) &&
			     !g_str_equal(name, machine);
		}
		if (n >= other->cap)
			return true;
	}
	return false;
}

bool waves_is_at_risk(const job_wave *wave, unsigned int n_open, unsigned int n_blocked,
		      clock_ms_t maintenance_ms, clock_ms_t left_ms)
{
	unsigned int cap = MAX(wave->cap, 1);
	clock_ms_t needed =
		(clock_ms_t)((n_open + cap - 1) / cap) * (maintenance_ms + MAINTENANCE_GAP_MS);

	return n_open && (n_blocked ? MAX(needed, BLOCKED_MS) : needed) > left_ms;
}

/// Tells whether a budget forbids the maintenance of a machine now.
static bool is_blocked(struct manager *m, const job_wave_machine *w, const struct endpoint *e,
		       clock_ms_t now)
{
	return e && !w->settled && !machines_is_down(m, w->machine) &&
	       availability_find_blocking_run(m, e, now);
}

/// Logs every WAVE_LOG_PERIOD_MS that a wave may miss its deadline, and an example of what blocks
/// its machines.
static void log_risk(struct manager *m, clock_ms_t now, const job_wave *wave, unsigned int n_open,
		     unsigned int n_blocked, unsigned int n_down, clock_ms_t left_ms)
{
	const struct run *r = NULL;
	const char *machine = "";

	if (now < m->next_wave_log_at ||
	    !waves_is_at_risk(wave, n_open, n_blocked, m->settings.maintenance_ms, left_ms))
		return;
	m->next_wave_log_at = now + WAVE_LOG_PERIOD_MS;
	for (u_int i = 0; n_blocked && !r && i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		const struct endpoint *e = endpoint_on(m, w->machine);

		if (!is_blocked(m, w, e, now))
			continue;
		machine = w->machine;
		r = availability_find_blocking_run(m, e, now);
	}
	log_info("maintenance wave may be late", "WAVE", log_number(wave->number), "LEFT",
		 log_number(n_open), "LEFT_MS", log_number((guint64)MAX(left_ms, 0)), "BLOCKED",
		 log_number(n_blocked), "DOWN", log_number(n_down), "CAP", log_number(wave->cap),
		 "MACHINE", machine, "BUDGET_OF", r ? r->name : "", "AWAY",
		 log_number(r ? availability_count_unavailable(m, r, NULL, now) : 0));
}

static void tick_wave(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, const job_wave *wave)
{
	unsigned int n_down = count_down(m, wave);
	unsigned int n_cordoned = 0;
	unsigned int n_open = 0;
	unsigned int n_blocked = 0;
	unsigned int n_wanted;
	unsigned int pace;
	bool deadline_near;

	for (u_int i = 0; i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		const struct endpoint *e = endpoint_on(m, w->machine);

		n_open += !w->settled;
		n_blocked += is_blocked(m, w, e, now);
		n_cordoned += !w->settled && !w->ordered && !machines_is_down(m, w->machine) && e &&
			      e->cordoned;
	}
	m->wave_progress.left += n_open;
	m->wave_progress.blocked += n_blocked;
	log_risk(m, now, wave, n_open, n_blocked, n_down, wave->due_wall_ms - wall_ms);
	deadline_near = wall_ms + (clock_ms_t)(n_open / MAX(wave->cap, 1) + 1) *
					  (m->settings.maintenance_ms + MAINTENANCE_GAP_MS) >
			wave->due_wall_ms;
	pace = waves_pace(wave, n_open, m->settings.maintenance_ms, wave->due_wall_ms - wall_ms);
	for (u_int i = 0; i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		struct maintenance *maint = machines_get_maintenance(m, w->machine);
		struct endpoint *e = endpoint_on(m, w->machine);

		if (w->settled || maint->in_flight || now < maint->retry_at ||
		    (maint->ordered && maint->wave != wave->number) ||
		    !order_budget_allows(&m->order_budget, now, 0) ||
		    machines_is_moving(m, w->machine, now) ||
		    cooldown_applies(m->cooldown, w->machine, now))
			continue;
		if (e && e->cordoned && !w->ordered && !availability_exceeds_budget_alone(e) &&
		    availability_find_blocking_run(m, e, now))
			e->cordoned = false; /* useless while a budget forbids maintenance */
		/* An ordered maintenance may have begun: the order is repeated until answered. */
		if (w->ordered)
			cordon(e, now);
		if (e && e->cordoned)
			evacuate(m, e, now);
		if (w->ordered) {
			if ((!e || !availability_find_blocking_run(m, e, now)) &&
			    !repetition_exceeds_other_cap(m, wave, w->machine) &&
			    !stop_short_runs(e, now))
				send_maintenance(m, now, wave, w->machine, false, n_down);
			continue;
		}
		if (n_down < wave->cap)
			log_blocking_condition(m, maint, w->machine, e, now);
		if (n_down >= wave->cap || (e && !e->cordoned) ||
		    (!e && n_down >= pace && pools_lack_machines(m, now)) ||
		    !may_start_maintenance(m, e, now, deadline_near) ||
		    exceeds_other_cap(m, wave, w->machine))
			continue;
		if (stop_short_runs(e, now)) {
			n_down++; /* it takes its share of the cap once they have ended */
			continue;
		}
		send_maintenance(m, now, wave, w->machine, true, n_down);
		n_down++;
		n_cordoned -= n_cordoned > 0;
	}
	n_wanted = cordon_target(m, wave, n_open, wall_ms);
	if (n_cordoned < n_wanted)
		cordon_more(m, wave, n_wanted - n_cordoned, now);
}

/// Tells whether an endpoint is the incarnation that a maintenance shuts down.
static bool is_shut_down_by(const struct maintenance *maint, const struct endpoint *e)
{
	return maint->shutdown_endpoint && g_str_equal(maint->shutdown_endpoint, e->id) &&
	       maint->shutdown_incarnation_wall_ms == e->incarnation_wall_ms;
}

/// Tells whether a machine that went down has returned: its maintenance is over, and a later
/// incarnation has sent a heartbeat since it went down. A machine that shows nothing counts as down
/// for twice the duration of the maintenance.
static bool has_returned(const struct manager *m, const char *machine,
			 const struct maintenance *maint, clock_ms_t now)
{
	const clock_ms_t duration = m->settings.maintenance_ms;
	const clock_ms_t elapsed = now - maint->begun_at;
	const struct endpoint *e;

	if (elapsed < duration || elapsed >= 2 * duration + RETURN_MARGIN_MS)
		return elapsed >= duration;
	e = endpoint_on(m, machine);
	return e && e->has_heartbeat && !is_shut_down_by(maint, e) &&
	       e->last_heartbeat_at >= maint->begun_at + HEARTBEAT_DELAY_MAX_MS;
}

/// Ends the maintenance of the machines that have returned.
static void end_maintenance(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer machine;
	gpointer value;
	bool indexed = false;

	g_hash_table_iter_init(&iter, m->maintenance_by_machine);
	while (g_hash_table_iter_next(&iter, &machine, &value)) {
		struct maintenance *maint = value;

		if (!maint->begun)
			continue;
		if (!indexed)
			index_endpoints_by_machine(m);
		indexed = true;
		if (has_returned(m, machine, maint, now))
			machines_end_maintenance(maint);
	}
}

void waves_inherit(struct manager *m, clock_ms_t now)
{
	for (guint i = 0; i < m->jobs->waves->len; i++) {
		const job_wave *wave = m->jobs->waves->pdata[i];

		for (u_int k = 0; k < wave->machines.machines_len; k++) {
			const job_wave_machine *w = &wave->machines.machines_val[k];
			struct maintenance *maint;

			if (!w->ordered && !w->settled)
				continue;
			maint = machines_get_maintenance(m, w->machine);
			if (maint->ordered && !maint->begun)
				continue; /* another wave's order is open */
			maint->ordered = true;
			maint->wave = wave->number;
			maint->begun = w->settled;
			maint->begun_at = now;
		}
	}
}

void waves_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	if (now < m->next_wave_pass_at)
		return;
	m->next_wave_pass_at = now + WAVE_PASS_MS;
	end_maintenance(m, now);
	if (now < m->leader_since + m->settings.holder_lease_ms + HOLDER_MARGIN_MS)
		return;
	m->wave_progress = (struct manager_wave_progress){0};
	collect_due_machines(m);
	if (!g_hash_table_size(m->due_machines))
		return;
	index_endpoints_by_machine(m);
	availability_invalidate(m);
	relocate_tasks(m, now);
	for (guint i = 0; i < m->jobs->waves->len; i++) {
		const job_wave *wave = m->jobs->waves->pdata[i];

		if (!waves_is_complete(wave))
			tick_wave(m, now, wall_ms, wave);
	}
}

/* Results. */

static void settle_machine(struct manager *m, const struct pending_order *p)
{
	job_command c = {
		.type = JOB_COMMAND_WAVE_UPDATE,
		.job_command_u.wave_update =
			{
				.number = p->wave,
				.machine = p->machine,
				.settled = true,
			},
	};

	effects_propose(m, &c);
}

/// @return the endpoint that the maintenance has shut down if an order for it was accepted, or NULL
/// if there is none or it has ended already
static struct endpoint *endpoint_ended_by(struct manager *m, const struct maintenance *maint)
{
	struct endpoint *e = maint->shutdown_endpoint
				     ? incarnations_find_endpoint(m, maint->shutdown_endpoint)
				     : NULL;

	return e && !e->terminated && is_shut_down_by(maint, e) ? e : NULL;
}

void waves_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			 const struct order_result *result)
{
	struct maintenance *maint = machines_get_maintenance(m, p->machine);
	struct endpoint *ended = endpoint_ended_by(m, maint);
	struct endpoint *e;

	index_endpoints_by_machine(m);
	e = endpoint_on(m, p->machine);

	maint->in_flight = false;
	maint->retry_at = now + RETRY_MS;
	log_info("maintenance order answered", "MACHINE", p->machine, "STATUS",
		 log_number(result->status));
	switch (result->status) {
	case ORDER_OK:
		maint->begun = true;
		maint->begun_at = now;
		settle_machine(m, p);
		if (ended)
			attempts_handle_termination(m, now, ended);
		if (e && e != ended)
			e->alive_proof_after = now + HEARTBEAT_DELAY_MAX_MS;
		break;
	case ORDER_REJECTED:
	case ORDER_MACHINE_NOT_IN_WAVE:
		machines_end_maintenance(maint);
		settle_machine(m, p);
		if (e)
			e->cordoned = e->shutdown_ordered = false;
		break;
	case ORDER_FENCED:
		m->fenced_off = true;
		break;
	default:
		break;
	}
}
