#include "manager/manager.h"

#include "base/log.h"
#include "base/work.h"
#include "manager/calls.h"
#include "runs/incarnations.h"
#include "runs/runs.h"
#include "sched/accounts.h"
#include "sched/admission.h"
#include "sched/interference.h"
#include "sched/advice.h"
#include "sched/machines.h"
#include "sched/move_orders.h"
#include "sched/pools.h"
#include "sched/schedule.h"
#include "sched/waves.h"

/// Longest time between placement rounds: estimates and health change with time.
#define ROUND_MAX_MS 200
#define FORGET_PERIOD_MS 5000
#define FORGET_BATCH_MAX 500
#define FORGET_BUSY_PERIOD_MS 250 /* after a full batch: 2,000 jobs a second */
#define LAG_MS 250		  /* dozens of commits of usual duration */
#define FAILED_TASKS_MAX 4096	  /* limits failed_at, a hint for placement, to about 0.4 MB */

static void pending_order_free(void *p)
{
	struct pending_order *o = p;

	g_free(o->endpoint);
	g_free(o->task);
	g_free(o->machine);
	g_free(o);
}

static struct jobs *copy_state(const struct jobs *state)
{
	g_autoptr(GByteArray) bytes = jobs_snapshot(state);
	struct jobs *copy = jobs_new();

	jobs_restore(copy, bytes->data, bytes->len);
	return copy;
}

struct manager *manager_new(const struct manager_settings *settings, const struct jobs *state,
			    uint64_t term, clock_ms_t now, clock_ms_t machine_orders_seen_at)
{
	struct manager *m = g_new0(struct manager, 1);

	m->settings = *settings;
	m->jobs = copy_state(state);
	m->term = term;
	m->leader_since = now;
	m->last_lag_at = now;
	m->round_gap_ms = MANAGER_ROUND_GAP_MS;
	m->effects = g_ptr_array_new_with_free_func(effect_free);
	m->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, endpoint_free);
	m->terminated_endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, endpoint_free);
	m->runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	m->orders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pending_order_free);
	m->advice = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, advice_free);
	m->ratios = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->maintenance_by_machine =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, machines_free_maintenance);
	m->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machines_free);
	m->arriving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->due_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->relocating = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->ready_counts = g_hash_table_new(NULL, NULL);
	m->endpoint_by_machine = g_hash_table_new(g_str_hash, g_str_equal);
	m->cooldown = cooldown_new(m->jobs->ordered_machines, now, machine_orders_seen_at,
				   settings->holder_lease_ms);
	order_budget_init(&m->order_budget, settings->machine_orders_per_s, now);
	m->capacity_changed = g_ptr_array_new();
	m->unconfirmed_losses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	m->failed_at = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	m->active = g_ptr_array_new();
	m->accounts = accounts_new();
	accounts_configure(m, now);
	if (settings->admission)
		m->admission = admission_new();
	if (settings->interference)
		m->interference = interference_new();
	incarnations_inherit(m, now);
	waves_inherit(m, now);
	log_info("leadership taken", "TERM", log_number(term), "JOBS",
		 log_number(g_hash_table_size(m->jobs->by_id)), "RUNS",
		 log_number(g_hash_table_size(m->runs)));
	return m;
}

void manager_free(struct manager *m)
{
	g_ptr_array_unref(m->effects);
	g_clear_pointer(&m->document, g_bytes_unref);
	g_hash_table_unref(m->runs);
	g_clear_pointer(&m->pool_capacities, g_hash_table_unref);
	g_ptr_array_unref(m->capacity_changed);
	g_hash_table_unref(m->endpoints);
	g_hash_table_unref(m->terminated_endpoints);
	g_hash_table_unref(m->orders);
	g_hash_table_unref(m->advice);
	g_hash_table_unref(m->ratios);
	g_hash_table_unref(m->maintenance_by_machine);
	g_hash_table_unref(m->machines);
	g_hash_table_unref(m->unconfirmed_losses);
	g_hash_table_unref(m->failed_at);
	cooldown_free(m->cooldown);
	g_hash_table_unref(m->due_machines);
	g_hash_table_unref(m->relocating);
	g_hash_table_unref(m->endpoint_by_machine);
	g_hash_table_unref(m->ready_counts);
	g_hash_table_unref(m->arriving);
	g_ptr_array_unref(m->active);
	accounts_free(m->accounts);
	g_clear_pointer(&m->admission, admission_free);
	g_clear_pointer(&m->interference, interference_free);
	jobs_free(m->jobs);
	g_free(m);
}

void manager_handle_call(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, uint64_t token,
			 struct call *call)
{
	calls_handle(m, now, wall_ms, token, call);
}

bool manager_handle_short_heartbeat(struct manager *m, clock_ms_t now,
				    const struct short_heartbeat *s)
{
	return incarnations_handle_short_heartbeat(m, now, s);
}

void manager_handle_result(struct manager *m, clock_ms_t now, clock_ms_t wall_ms,
			   const struct order_result *result)
{
	struct pending_order *p = g_hash_table_lookup(m->orders, &result->id);

	(void)wall_ms;
	if (!p)
		return;
	switch (p->type) {
	case ORDER_START:
	case ORDER_STOP:
	case ORDER_STATUS_QUERY:
	case ORDER_PACE:
		runs_handle_result(m, now, p, result);
		break;
	case ORDER_ADVISE:
		advice_handle_answer(m, now, p, result);
		break;
	case ORDER_MACHINE_MAINTENANCE:
		waves_handle_result(m, now, p, result);
		break;
	case ORDER_MACHINE_LIST:
	case ORDER_MACHINE_MOVE:
		move_orders_handle_result(m, now, p, result);
		break;
	}
	g_hash_table_remove(m->orders, &result->id);
}

/// Purges terminated endpoints, and jobs whose retention time has passed. The time is that of the
/// leader's steady clock, since the time of day may step and differs between leaders.
static void purge_expired(struct manager *m, clock_ms_t now)
{
	g_autofree char **ids = g_new0(char *, FORGET_BATCH_MAX);
	job_command c = {.type = JOB_COMMAND_FORGET};
	GHashTableIter iter;
	gpointer value;
	u_int n = 0;

	if (now < m->next_cleanup_at)
		return;
	m->next_cleanup_at = now + FORGET_PERIOD_MS;
	incarnations_forget_terminated(m, now);
	advice_forget_unused(m, now);
	if (g_hash_table_size(m->failed_at) > FAILED_TASKS_MAX)
		g_hash_table_remove_all(m->failed_at);
	g_hash_table_iter_init(&iter, m->jobs->by_id);
	while (n < FORGET_BATCH_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (!job_has_ended(job) || job->assigned)
			continue;
		if (!job->ended_seen_at)
			job->ended_seen_at = now;
		if (now - job->ended_seen_at > (clock_ms_t)m->settings.job_retention_s * 1000 &&
		    !g_ptr_array_find(m->active, job, NULL))
			ids[n++] = job->image.spec.id;
	}
	if (!n)
		return;
	if (n == FORGET_BATCH_MAX)
		m->next_cleanup_at = now + FORGET_BUSY_PERIOD_MS;
	c.job_command_u.forget.ids.ids_len = n;
	c.job_command_u.forget.ids.ids_val = (sw_name *)ids;
	effects_propose(m, &c);
}

void manager_record_lag(struct manager *m, clock_ms_t now, clock_ms_t lag_ms)
{
	m->lag_ms = lag_ms;
	if (lag_ms > LAG_MS)
		m->last_lag_at = now;
}

void manager_record_start_cost(struct manager *m, uint64_t cost_us)
{
	m->start_cost_us = cost_us;
}

void manager_set_overload(struct manager *m, struct overload *overload)
{
	m->overload = overload;
}

void manager_set_round_gap(struct manager *m, clock_ms_t gap_ms)
{
	m->round_gap_ms = gap_ms;
}

bool manager_knows_job(const struct manager *m, const char *host, const char *path, const char **id)
{
	*id = "";
	return jobs_route(m->jobs, host, path, id) && jobs_find(m->jobs, *id);
}

void manager_tick(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	enum work_kind before = work_enter(WORK_ATTEMPTS);

	m->wall_offset_ms = wall_ms - now;
	runs_tick(m, now);
	work_enter(WORK_WAVES);
	waves_tick(m, now, wall_ms);
	work_enter(WORK_POOLS);
	pools_tick(m, now, wall_ms);
	cooldown_tick(m, now);
	work_leave(before);
	purge_expired(m, now);
	if (now < (m->round_wanted ? m->next_round_at : m->round_due_at))
		return;
	work_enter(WORK_PLACEMENT);
	m->round_wanted = false;
	m->round_due_at = now + ROUND_MAX_MS;
	m->next_round_at = now + m->round_gap_ms;
	schedule_round(m, now, wall_ms);
	m->round_wanted = false;
	work_leave(before);
}

GPtrArray *manager_take_effects(struct manager *m)
{
	GPtrArray *out = m->effects;

	m->effects = g_ptr_array_new_with_free_func(effect_free);
	return out;
}

unsigned int manager_count_endpoints(const struct manager *m)
{
	return g_hash_table_size(m->endpoints);
}

struct manager_backlog manager_take_backlog(struct manager *m)
{
	struct manager_backlog backlog = m->backlog;

	m->backlog.starts = 0;
	m->backlog.beyond_weight = 0;
	return backlog;
}

struct manager_wave_progress manager_wave_progress(const struct manager *m)
{
	return m->wave_progress;
}

unsigned int manager_count_orders(const struct manager *m)
{
	return g_hash_table_size(m->orders);
}

bool manager_is_fenced_off(const struct manager *m)
{
	return m->fenced_off;
}
