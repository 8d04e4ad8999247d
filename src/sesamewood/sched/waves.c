#include "sched/waves.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "sched/machines.h"

#include <string.h>

#define WAVES_PERIOD_MS 100   /* a twentieth of an upkeep */
#define RETRY_MS 400	      /* of an order that was refused or had no answer */
#define ORDER_TIMEOUT_MS 1500 /* the machine service may be slow */
#define DRAIN_WAIT_MS 2500    /* short work is given so long to end first */
#define REPORT_DELAY_MS 300   /* a report may have been on its way for so long */
#define LOG_PERIOD_MS 3000
#define HOLDER_MARGIN_MS 500  /* added to the time that two holders of machine orders keep apart */
#define AT_WORK_MARGIN_MS 200 /* a task that fails as soon as it is at work is seen by then */

static void index_machines(struct manager *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(m->endpoint_by_machine);
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;
		const struct endpoint *other =
			g_hash_table_lookup(m->endpoint_by_machine, e->machine);

		if (!e->gone && *e->machine &&
		    (!other || e->incarnation_wall_ms > other->incarnation_wall_ms))
			g_hash_table_replace(m->endpoint_by_machine, e->machine, e);
	}
}

/// @return the latest life on a machine, or NULL
static struct endpoint *endpoint_on(const struct manager *m, const char *machine)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoint_by_machine, machine);

	return e && !e->gone ? e : NULL;
}

static void note_due_machines(struct manager *m)
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

/* Availability. */

static bool is_at_work(const struct run *r, clock_ms_t now)
{
	return r->state == RUN_CONFIRMED && r->at_work_at &&
	       now - r->at_work_at >= AT_WORK_MARGIN_MS && !r->stop_wanted &&
	       !r->endpoint->misses && !r->endpoint->ending;
}

static job_step_state *step_of(const struct run *r)
{
	return &r->job->image.occurrences.occurrences_val[r->ref.occurrence]
			.steps.steps_val[r->ref.step];
}

/// Counts the lasting tasks at work, by step.
static void count_at_work(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(m->ready_counts);
	g_hash_table_iter_init(&iter, m->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;
		gpointer step;
		guint n;

		if (!r->persistent || !is_at_work(r, now))
			continue;
		step = step_of(r);
		n = GPOINTER_TO_UINT(g_hash_table_lookup(m->ready_counts, step));
		g_hash_table_insert(m->ready_counts, step, GUINT_TO_POINTER(n + 1));
	}
	m->ready_counts_valid = true;
}

static bool same_step(const struct run *a, const struct run *b)
{
	return a->job == b->job && a->ref.step == b->ref.step &&
	       a->ref.occurrence == b->ref.occurrence;
}

/// Counts the tasks of an attempt's step that are away, but for those at an endpoint and for the
/// attempt itself.
///
/// @param e those at this endpoint are not counted; NULL: all are
static u_int count_away(struct manager *m, const struct run *of, const struct endpoint *e,
			clock_ms_t now)
{
	const job_step_state *step = step_of(of);
	u_int away;

	if (!m->ready_counts_valid)
		count_at_work(m, now);
	away = step->tasks.tasks_len - GPOINTER_TO_UINT(g_hash_table_lookup(m->ready_counts, step));
	if (!e)
		return away - !is_at_work(of, now);
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		away -= same_step(r, of) && !is_at_work(r, now);
	}
	return away;
}

static u_int count_here(const struct endpoint *e, const struct run *of)
{
	u_int n = 0;

	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		n += same_step(r, of);
	}
	return n;
}

/// @return tasks of an attempt's step that may be away at once, or 0 when it has no budget
static u_int budget_of(const struct run *r)
{
	return job_is_over(r->job)
		       ? 0
		       : r->job->image.spec.steps.steps_val[r->ref.step].max_unavailable;
}

/// Looks for an availability budget that ending everything at an endpoint would break.
///
/// @return an attempt there whose step would have too many tasks away, or NULL
static const struct run *hindrance_of(struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		u_int budget = budget_of(r);

		if (budget && count_away(m, r, e, now) + count_here(e, r) > budget)
			return r;
	}
	return NULL;
}

/// Tells whether a machine holds more of some step than may end at once.
static bool is_crowded(const struct endpoint *e)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		u_int budget = budget_of(r);

		if (budget && count_here(e, r) > budget)
			return true;
	}
	return false;
}

/* Choice. */

/// @return attempts at an endpoint that will end soon by themselves
static unsigned int short_runs(const struct endpoint *e)
{
	unsigned int n = 0;

	for (guint i = 0; e && i < e->runs->len; i++)
		n += !((struct run *)e->runs->pdata[i])->persistent;
	return n;
}

static void send_upkeep(struct manager *m, clock_ms_t now, const job_wave *wave,
			const char *machine, bool first)
{
	struct upkeep *u = machines_upkeep(m, machine);
	struct endpoint *e = endpoint_on(m, machine);
	struct order *o = g_new0(struct order, 1);
	job_command c = {
		.type = JOB_COMMAND_WAVE_SETTLE,
		.job_command_u.settle = {.number = wave->number, .machine = (char *)machine},
	};

	*o = (struct order){
		.type = ORDER_MACHINE_MAINTENANCE,
		.timeout_ms = ORDER_TIMEOUT_MS,
		.machine = g_strdup(machine),
		.wave = wave->number,
		.holder = g_strdup(m->settings.holder),
		.not_after = CLOCK_NEVER,
	};
	log_info("upkeep ordered", "MACHINE", machine, "WAVE", log_number(wave->number), "RUNS",
		 log_number(e ? e->runs->len : 0));
	if (e)
		e->ending = true;
	m->ready_counts_valid = false;
	u->in_flight = true;
	u->sent_at = now;
	/* A repeated order is agreed to as well when an earlier one was executed: it then says
	 * nothing of the life that is there now. */
	u->incarnation_wall_ms = first && e ? e->incarnation_wall_ms : u->incarnation_wall_ms;
	effects_propose(m, &c);
	effects_send_machine_order(m, now, o, wave->number);
}

/// Tells whether a machine may go down now.
static bool is_ready(struct manager *m, const struct endpoint *e, clock_ms_t now, bool pressed)
{
	if (!e)
		return true;
	if (hindrance_of(m, e, now))
		return false;
	return !short_runs(e) || pressed || now - e->cordoned_at > DRAIN_WAIT_MS;
}

/// Tells from time to time what keeps a machine from its upkeep.
static void say_why_waiting(struct manager *m, struct upkeep *u, const char *machine,
			    const struct endpoint *e, clock_ms_t now)
{
	const struct run *r;

	if (!e || now < u->logged_at)
		return;
	r = hindrance_of(m, e, now);
	u->logged_at = now + LOG_PERIOD_MS;
	log_info("upkeep waits", "MACHINE", machine, "KEPT_FREE", e->cordoned ? "true" : "false",
		 "RUNS", log_number(e->runs->len), "SHORT", log_number(short_runs(e)), "BUDGET_OF",
		 r ? r->name : "", "AWAY", log_number(r ? count_away(m, r, e, now) : 0));
}

/// Frees a machine that holds more tasks of a step than its budget lets end at once: they are
/// stopped one by one, and start elsewhere.
static void evacuate(struct manager *m, struct endpoint *e, clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];
		u_int budget = budget_of(r);

		if (!budget || r->stop_wanted || count_here(e, r) <= budget)
			continue;
		if (count_away(m, r, NULL, now) >= budget)
			continue;
		r->stop_wanted = true;
		e->attend_at = now;
		m->ready_counts_valid = false;
	}
}

static void cordon(struct endpoint *e, clock_ms_t now)
{
	if (!e || e->cordoned)
		return;
	e->cordoned = true;
	e->cordoned_at = now;
}

/// A machine that might be kept free for its upkeep.
struct choice {
	struct endpoint *endpoint;
	unsigned int work;
};

static int compare_choices(gconstpointer a, gconstpointer b)
{
	const struct choice *x = a;
	const struct choice *y = b;

	return (x->work > y->work) - (x->work < y->work);
}

/// Keeps up to @p n more machines free of new work: those with the least, where budgets allow it.
static void cordon_next(struct manager *m, const job_wave *wave, unsigned int n, clock_ms_t now)
{
	g_autoptr(GArray) choices = g_array_new(FALSE, FALSE, sizeof(struct choice));

	for (u_int i = 0; n && i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		struct choice c = {.endpoint = endpoint_on(m, w->machine)};
		const struct endpoint *e = c.endpoint;

		if (w->settled || w->ordered || !e || e->cordoned ||
		    machines_is_moving(m, w->machine, now) ||
		    (!is_crowded(e) && hindrance_of(m, e, now)))
			continue;
		c.work = 2 * e->runs->len + short_runs(e);
		g_array_append_val(choices, c);
	}
	g_array_sort(choices, compare_choices);
	for (guint i = 0; i < choices->len && i < n; i++)
		cordon(g_array_index(choices, struct choice, i).endpoint, now);
}

/// @return machines to keep free of new work, so that the wave is in time and no more is idle
static unsigned int wanted_free(const struct manager *m, const job_wave *wave, unsigned int open,
				clock_ms_t wall)
{
	clock_ms_t left = MAX(wave->due_wall_ms - wall, 1);
	clock_ms_t each = m->settings.maintenance_ms + DRAIN_WAIT_MS;

	return (unsigned int)CLAMP((open * each + left - 1) / left + 1, 1,
				   (clock_ms_t)MAX(wave->cap, 1));
}

static void tick_wave(struct manager *m, clock_ms_t now, clock_ms_t wall, const job_wave *wave)
{
	unsigned int down = 0;
	unsigned int kept = 0;
	unsigned int open = 0;
	unsigned int wanted;
	bool pressed;

	for (u_int i = 0; i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		const struct upkeep *u = g_hash_table_lookup(m->maintenance_by_machine, w->machine);
		const struct endpoint *e = endpoint_on(m, w->machine);

		open += !w->settled;
		if ((u && machines_upkeep_lasts(m, u, now)) || (w->ordered && !w->settled))
			down++;
		else if (!w->settled && e && e->cordoned)
			kept++;
	}
	/* Each turn takes an upkeep and about half a second around it. */
	pressed = wall + (clock_ms_t)(open / MAX(wave->cap, 1) + 1) *
				  (m->settings.maintenance_ms + 500) >
		  wave->due_wall_ms;
	for (u_int i = 0; i < wave->machines.machines_len; i++) {
		const job_wave_machine *w = &wave->machines.machines_val[i];
		struct upkeep *u = machines_upkeep(m, w->machine);
		struct endpoint *e = endpoint_on(m, w->machine);

		if (w->settled || u->in_flight || now < u->next_at ||
		    machines_is_moving(m, w->machine, now) ||
		    manager_machine_in_cooldown(m, w->machine, now))
			continue;
		if (e && e->cordoned && !w->ordered && !is_crowded(e) && hindrance_of(m, e, now))
			e->cordoned = false; /* kept for nothing while a budget forbids it */
		if (w->ordered) /* it may have begun already: ask until there is an answer */
			cordon(e, now);
		if (e && e->cordoned)
			evacuate(m, e, now);
		if (w->ordered) {
			if (!e || !hindrance_of(m, e, now))
				send_upkeep(m, now, wave, w->machine, false);
			continue;
		}
		if (down < wave->cap)
			say_why_waiting(m, u, w->machine, e, now);
		if (down >= wave->cap || (e && !e->cordoned) || !is_ready(m, e, now, pressed))
			continue;
		send_upkeep(m, now, wave, w->machine, true);
		down++;
		kept -= kept > 0;
	}
	wanted = wanted_free(m, wave, open, wall);
	if (kept < wanted)
		cordon_next(m, wave, wanted - kept, now);
}

void waves_tick(struct manager *m, clock_ms_t now, clock_ms_t wall)
{
	if (now < m->next_wave_pass_at ||
	    now < m->since + m->settings.holder_lease_ms + HOLDER_MARGIN_MS)
		return;
	m->next_wave_pass_at = now + WAVES_PERIOD_MS;
	note_due_machines(m);
	if (!g_hash_table_size(m->due_machines))
		return;
	index_machines(m);
	m->ready_counts_valid = false;
	for (guint i = 0; i < m->jobs->waves->len; i++) {
		const job_wave *wave = m->jobs->waves->pdata[i];

		if (!waves_is_complete(wave))
			tick_wave(m, now, wall, wave);
	}
}

/* Results. */

static void settle(struct manager *m, const struct pending *p)
{
	job_command c = {
		.type = JOB_COMMAND_WAVE_SETTLE,
		.job_command_u.settle =
			{
				.number = p->wave,
				.machine = p->machine,
				.settled = true,
			},
	};

	effects_propose(m, &c);
}

void waves_result(struct manager *m, clock_ms_t now, const struct pending *p,
		  const struct order_result *result)
{
	struct upkeep *u = machines_upkeep(m, p->machine);
	struct endpoint *e;

	index_machines(m);
	e = endpoint_on(m, p->machine);

	u->in_flight = false;
	u->next_at = now + RETRY_MS;
	log_info("upkeep answered", "MACHINE", p->machine, "STATUS", log_number(result->status));
	switch (result->status) {
	case ORDER_OK:
		u->begun = true;
		u->begun_at = now;
		settle(m, p);
		if (e && e->incarnation_wall_ms == u->incarnation_wall_ms)
			attempts_endpoint_over(m, now, e);
		else if (e)
			e->proves_from = now + REPORT_DELAY_MS;
		break;
	case ORDER_REJECTED:
	case ORDER_MACHINE_NOT_IN_WAVE:
		u->next_at = 0;
		settle(m, p);
		if (e)
			e->cordoned = e->ending = false;
		break;
	case ORDER_FENCED:
		m->fenced_off = true;
		break;
	default:
		break;
	}
}

void waves_announced(struct manager *m, clock_ms_t now, const char *machine,
		     int64_t incarnation_wall_ms)
{
	struct upkeep *u = g_hash_table_lookup(m->maintenance_by_machine, machine);

	/* A life that reports sooner is one from before the upkeep. */
	if (u && u->begun && incarnation_wall_ms > u->incarnation_wall_ms &&
	    now - u->sent_at >= (clock_ms_t)m->settings.maintenance_ms)
		u->back = true;
}
