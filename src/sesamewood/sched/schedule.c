#include "sched/schedule.h"

#include "runs/attempts.h"
#include "runs/runs.h"
#include "sched/accounts.h"
#include "sched/advice.h"
#include "sched/estimates.h"
#include "sched/capacity.h"
#include "sched/interference.h"
#include "sched/relocate.h"
#include "sched/suspects.h"

#include <string.h>

/// At most 1/16 of a pool is reserved for long-running tasks.
#define RESERVED_DIVISOR 16

/* Waiting order. */

int schedule_compare(const struct waiting_key *a, const struct waiting_key *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->beyond_weight != b->beyond_weight)
		return a->beyond_weight ? 1 : -1;
	if (a->over_share != b->over_share)
		return a->over_share ? 1 : -1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->share_ratio != b->share_ratio)
		return a->share_ratio < b->share_ratio ? -1 : 1;
	if (a->slack_ms != b->slack_ms)
		return a->slack_ms < b->slack_ms ? -1 : 1;
	return (a->account_priority > b->account_priority) -
	       (a->account_priority < b->account_priority);
}

struct waiting_step {
	struct job *job;
	uint32_t occurrence;
	uint32_t step;
	struct pool_capacity *capacity; ///< capacity of its pool
	bool needs_placement_advice;
	bool has_singled_out; ///< independent tasks that are placed after all others
	struct waiting_key key;
	/* Only if there are accounts. */
	struct account_use *use; ///< of its account, in its pool
	uint32_t tasks;		 ///< waiting tasks
	uint32_t max_starts;	 ///< starts at most so many of them now; 0: all
	bool is_remainder;	 ///< another element holds the first tasks of the same step
};

static int compare_waiting(gconstpointer a, gconstpointer b)
{
	return schedule_compare(&((const struct waiting_step *)a)->key,
				&((const struct waiting_step *)b)->key);
}

static struct waiting_key waiting_key_of(const struct manager *m, const struct job *job,
					 const job_queue *queue, uint32_t occurrence,
					 clock_ms_t wall_ms)
{
	const job_spec *spec = &job->image.spec;
	struct waiting_key key = {.priority = queue ? queue->priority : 0};
	struct critical_path path;
	int64_t deadline;

	if (spec->steps.steps_len && spec->steps.steps_val[0].long_running) {
		key.slack_ms = INT64_MIN;
		return key;
	}
	path = estimates_critical_path(m, job, occurrence);
	deadline = job_due_wall_ms(job, occurrence) + (queue ? queue->objective_ms : 0) +
		   path.total_ms * (queue ? queue->stretch_milli : 1000) / 1000;
	key.slack_ms = deadline - wall_ms - path.remaining_ms;
	key.late = key.slack_ms < 0;
	return key;
}

static uint32_t count_waiting_tasks(const struct waiting_step *w)
{
	const job_step_state *s = job_step_tasks(w->job, w->occurrence, w->step);
	uint32_t n = 0;

	for (u_int i = 0; s && i < s->tasks.tasks_len; i++)
		n += s->tasks.tasks_val[i].phase == JOB_TASK_WAITING;
	return n;
}

static bool has_waiting_task(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s = job_step_tasks(job, occurrence, step);

	for (u_int i = 0; s && i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase == JOB_TASK_WAITING)
			return true;
	return false;
}

/* Collection of waiting steps. */

/// Cached pool capacity of the last job's queue, as consecutive jobs often share a queue.
struct queue_capacity {
	const job_queue *queue;
	struct pool_capacity *capacity;
};

/// @return capacity of the pool that serves a queue, or NULL if the pool has no endpoints
static struct pool_capacity *capacity_of_queue(const struct manager *m, const struct job *job,
					       const job_queue *queue, struct queue_capacity *last)
{
	if (queue && queue == last->queue)
		return last->capacity;
	last->queue = queue;
	last->capacity =
		g_hash_table_lookup(m->pool_capacities, queue ? queue->pool : job->image.spec.pool);
	return last->capacity;
}

/// Tells whether a step is tried in this round. A long-running step is tried even without capacity,
/// to reserve some.
static bool should_try(const struct pool_capacity *capacity, const job_step *step)
{
	return capacity_may_fit(capacity, step) || (capacity && step->long_running && !step->gang);
}

/// @return true if a ready task may be waiting, or will become ready without an event
static bool collect_waiting_steps(const struct manager *m, struct job *job, clock_ms_t wall_ms,
				  bool has_accounts, struct queue_capacity *last, GArray *out)
{
	const job_spec *spec = &job->image.spec;
	const job_queue *queue = jobs_queue(m->jobs, spec->queue);
	struct pool_capacity *capacity = capacity_of_queue(m, job, queue, last);
	bool may_wait = spec->occurrences > 0;

	estimates_prepare(m, job);
	job_create_due(job, wall_ms);
	if (has_accounts && accounts_is_at_cap(accounts_of(m, job)))
		return true; /* none of its steps may start; checked once the account is below */
	for (u_int k = job->first_open; k < job->image.occurrences.occurrences_len; k++) {
		struct waiting_step w = {.job = job, .occurrence = k, .capacity = capacity};
		bool has_key = false;

		if (spec->occurrences && wall_ms < job_due_wall_ms(job, k))
			break;
		for (w.step = 0; w.step < spec->steps.steps_len; w.step++) {
			if (!should_try(capacity, &spec->steps.steps_val[w.step])) {
				may_wait = true; /* checked once the pool has capacity */
				continue;
			}
			if (!has_waiting_task(job, k, w.step) || !job_step_is_ready(job, k, w.step))
				continue;
			may_wait = true;
			if (!has_key)
				w.key = waiting_key_of(m, job, queue, k, wall_ms);
			has_key = true;
			w.needs_placement_advice = queue && queue->needs_placement_advice;
			g_array_append_val(out, w);
		}
	}
	return may_wait;
}

/// Adds to the key of a step what depends on its account.
static void add_account(struct manager *m, struct waiting_step *w)
{
	w->use = accounts_record_waiting(m, w->job, w->capacity);
	w->tasks = count_waiting_tasks(w);
	w->key.account_priority = w->use->account->priority;
	/* Long-running work keeps its place, as its machines are assigned before others. */
	w->key.beyond_weight =
		w->job->beyond_weight && !w->job->image.spec.steps.steps_val[0].long_running;
}

/// Decides which waiting steps are within the shares of their accounts. Steps are considered in the
/// order of service, and each counts for those after it, so that the many steps of one account are
/// not all within its share. A step that crosses the share is split in two.
static void apply_shares(struct manager *m, GArray *waiting)
{
	guint n = waiting->len;

	accounts_start_round(m);
	for (guint i = 0; i < n; i++)
		add_account(m, &g_array_index(waiting, struct waiting_step, i));
	g_array_sort(waiting, compare_waiting);
	for (guint i = 0; i < n; i++) {
		struct waiting_step *w = &g_array_index(waiting, struct waiting_step, i);
		const job_step *step = &w->job->image.spec.steps.steps_val[w->step];
		struct waiting_step rest = *w;
		uint32_t within = accounts_tasks_within_share(w->use, step, w->tasks);

		if (w->job->image.spec.steps.steps_val[0].long_running || (step->gang && within) ||
		    within == w->tasks) {
			accounts_plan(w->use, step, w->tasks);
			continue;
		}
		accounts_plan(w->use, step, within);
		rest.key.over_share = true;
		rest.key.share_ratio = accounts_share_ratio(w->use);
		accounts_plan(w->use, step, w->tasks - within);
		if (!within) {
			*w = rest;
			continue;
		}
		w->max_starts = within;
		rest.is_remainder = true;
		g_array_append_val(waiting, rest);
	}
}

/// @return struct waiting_step in the order of service, owned by the caller
static GArray *collect_waiting(struct manager *m, clock_ms_t wall_ms)
{
	struct queue_capacity last = {0};
	bool has_accounts = accounts_are_configured(m);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct waiting_step));

	for (guint i = m->active->len; i > 0; i--) {
		struct job *job = m->active->pdata[i - 1];

		if (job_has_ended(job)) {
			if (!job->assigned)
				g_ptr_array_remove_index_fast(m->active, i - 1);
			continue;
		}
		if (job->may_have_ready_tasks && job->unfinished > job->assigned)
			job->may_have_ready_tasks =
				collect_waiting_steps(m, job, wall_ms, has_accounts, &last, out);
	}
	if (has_accounts)
		apply_shares(m, out);
	g_array_sort(out, compare_waiting);
	return out;
}

/* Placement. */

static void start_task(struct manager *m, clock_ms_t now, const struct waiting_step *w,
		       uint32_t index, uint32_t attempt, struct place_candidate *c)
{
	job_task_ref ref = {w->job->image.spec.id, w->occurrence, w->step, index};

	runs_start(m, now, c->endpoint, w->job, &ref, attempt,
		   w->needs_placement_advice && c->ticket ? c->ticket : "");
}

static bool awaits_confirmation(const struct manager *m, clock_ms_t now,
				const struct waiting_step *w, uint32_t index)
{
	const job_task_ref ref = {w->job->image.spec.id, w->occurrence, w->step, index};

	return attempts_await_confirmation(m, now, w->job, &ref);
}

/// Prepares a request for a task that may crash its endpoint. A long-running task must run again
/// soon, and a gang needs several endpoints at once: they may exceed the limit on trials.
static void set_suspected(struct place_request *q, const struct pool_capacity *pc, bool suspected)
{
	q->suspected = suspected;
	q->may_open_trial =
		pc->trials < suspects_max_trials(pc->n_endpoints, false, q->job_age_ms) ||
		q->step->long_running || (q->step->gang && !pc->trials);
	q->may_open_idle_trial =
		q->may_open_trial ||
		pc->trials < suspects_max_trials(pc->n_endpoints, true, q->job_age_ms);
}

/// Records that an attempt at a suspected task is placed on a candidate.
static void open_trial(struct pool_capacity *pc, struct place_candidate *c, const char *job)
{
	pc->trials += !c->trial;
	c->trial = job;
}

/// @return index of the best candidate that takes work now, or -1
static int choose_confirmed(const struct manager *m, clock_ms_t now, GArray *candidates,
			    const struct place_request *q)
{
	int at;

	do
		at = place_choose(candidates, q);
	while (at >= 0 &&
	       !capacity_confirm(m, &g_array_index(candidates, struct place_candidate, at), now));
	return at;
}

/// Counts a choice that would be another one without the beliefs about images.
static void count_if_moved(struct manager *m, const GArray *candidates,
			   const struct place_request *q, int at)
{
	struct place_request plain = *q;

	if (!q->avoid)
		return;
	plain.avoid = NULL;
	if (place_choose(candidates, &plain) != at)
		interference_count_moved(m);
}

/// @return true if all waiting tasks of the step were started that may start now
static bool place_independent_tasks(struct manager *m, clock_ms_t now, struct waiting_step *w,
				    struct place_request *q, GArray *candidates)
{
	job_step_state *s =
		&w->job->image.occurrences.occurrences_val[w->occurrence].steps.steps_val[w->step];
	uint32_t started = 0;

	for (u_int i = 0; i < s->tasks.tasks_len; i++) {
		g_autofree char *name = NULL;
		bool suspected;
		int at;
		struct place_candidate *c;

		if (s->tasks.tasks_val[i].phase != JOB_TASK_WAITING ||
		    awaits_confirmation(m, now, w, i))
			continue;
		if (s->tasks.tasks_val[i].singled_out != q->singled_out) {
			w->has_singled_out |= !q->singled_out;
			continue;
		}
		/* Not for lack of capacity, so it must not be recorded as a size that fits nowhere.
		 */
		if (!accounts_allow_start(m, w->job, q->step) ||
		    (w->max_starts && started == w->max_starts))
			return true;
		if (s->tasks.tasks_val[i].failures || q->step->gang) {
			name = g_strdup_printf("%s.%u.%u.%u", q->job, w->occurrence, w->step, i);
			q->failed_at = g_hash_table_lookup(m->failed_at, name);
		}
		suspected = suspects_is_suspected(&s->tasks.tasks_val[i]);
		set_suspected(q, w->capacity, suspected);
		at = choose_confirmed(m, now, candidates, q);
		q->failed_at = NULL;
		if (at < 0 && suspected && !q->step->long_running)
			continue; /* others of the step need not wait for its trial */
		if (at < 0)
			return false;
		count_if_moved(m, candidates, q, at);
		c = &g_array_index(candidates, struct place_candidate, at);
		if (suspected)
			open_trial(w->capacity, c, q->job);
		place_allocate(c, q->step);
		start_task(m, now, w, i, s->tasks.tasks_val[i].attempt + 1, c);
		started++;
	}
	return true;
}

/// Chooses candidates for all tasks of a step together.
///
/// @return true if every task has one; on failure the candidates are restored
static bool choose_for_all(const struct manager *m, clock_ms_t now, GArray *candidates,
			   const struct place_request *q, u_int count, int *places)
{
	g_autoptr(GArray) before = g_array_copy(candidates);

	for (u_int i = 0; i < count; i++) {
		struct place_candidate *c;

		places[i] = choose_confirmed(m, now, candidates, q);
		if (places[i] < 0) {
			memcpy(candidates->data, before->data,
			       before->len * sizeof(struct place_candidate));
			return false;
		}
		c = &g_array_index(candidates, struct place_candidate, places[i]);
		place_allocate(c, q->step);
		c->planned++;
	}
	for (guint i = 0; i < candidates->len; i++)
		g_array_index(candidates, struct place_candidate, i).planned = 0;
	return true;
}

/// Chooses candidates for all tasks of a step on a single rack.
static bool choose_on_rack(const struct manager *m, clock_ms_t now, GArray *candidates,
			   struct place_request *q, u_int count, int *places)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct endpoint *e =
			g_array_index(candidates, struct place_candidate, i).endpoint;

		if (e->labels->len < 2 || !*(const char *)e->labels->pdata[e->labels->len - 1])
			continue;
		q->rack = e->labels->pdata[e->labels->len - 1];
		if (choose_for_all(m, now, candidates, q, count, places))
			return true;
	}
	q->rack = NULL;
	return false;
}

/// @return true if all members were started
static bool place_gang(struct manager *m, clock_ms_t now, const struct waiting_step *w,
		       struct place_request *q, GArray *candidates)
{
	job_step_state *s =
		&w->job->image.occurrences.occurrences_val[w->occurrence].steps.steps_val[w->step];
	g_autofree int *places = g_new0(int, s->tasks.tasks_len + 1);
	uint32_t attempt = 0;
	bool suspected = false;

	for (u_int i = 0; i < s->tasks.tasks_len; i++) {
		if (s->tasks.tasks_val[i].phase != JOB_TASK_WAITING ||
		    awaits_confirmation(m, now, w, i))
			return true;
		attempt = MAX(attempt, s->tasks.tasks_val[i].attempt);
		suspected |= suspects_is_suspected(&s->tasks.tasks_val[i]);
	}
	set_suspected(q, w->capacity, suspected);
	if (!(q->step->rack_sensitive &&
	      choose_on_rack(m, now, candidates, q, s->tasks.tasks_len, places)) &&
	    !choose_for_all(m, now, candidates, q, s->tasks.tasks_len, places))
		return false;
	for (u_int i = 0; i < s->tasks.tasks_len; i++) {
		struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, places[i]);

		if (suspected)
			open_trial(w->capacity, c, q->job);
		start_task(m, now, w, i, attempt + 1, c);
	}
	return true;
}

/// Tells whether capacity alone can have kept a task of a step from being placed.
static bool lacks_only_capacity(const job_step *step, const struct waiting_step *w)
{
	return !step->gang && !step->max_per_endpoint && !*step->label && !*step->data_rack &&
	       !w->needs_placement_advice;
}

/// Reserves an endpoint for a long-running task that does not fit now.
static void reserve_endpoint(struct manager *m, const struct waiting_step *w,
			     const struct place_request *q)
{
	struct pool_capacity *pc = w->capacity;
	struct place_candidate *c;
	int at = -1;

	if ((pc->reserved + 1) * RESERVED_DIVISOR <= pc->candidates->len)
		at = place_reserve(pc->candidates, q);
	if (at < 0)
		return;
	c = &g_array_index(pc->candidates, struct place_candidate, at);
	manager_mark_capacity_changed(m, c->endpoint); /* the reservation ends with this round */
	capacity_reserve(pc, c);
}

/// @return true if the step was tried on endpoints
static bool place_step(struct manager *m, clock_ms_t now, clock_ms_t wall_ms,
		       struct waiting_step *w, bool singled_out)
{
	const job_step *step = &w->job->image.spec.steps.steps_val[w->step];
	GArray *candidates = w->capacity->candidates;
	struct place_request q = {
		.step = step,
		.job = w->job->image.spec.id,
		.occurrence = w->occurrence,
		.step_number = w->step,
		.needs_ticket = w->needs_placement_advice,
		.singled_out = singled_out,
		.job_age_ms = wall_ms - job_due_wall_ms(w->job, w->occurrence),
		/* After this time, waiting for an endpoint near the data costs more than remote
		 * access. */
		.remote_is_allowed =
			wall_ms - job_due_wall_ms(w->job, w->occurrence) >
			(int64_t)step->estimate_ms * (m->settings.remote_data_factor - 1),
	};
	g_autoptr(GArray) avoid = NULL;
	g_autofree char *name = NULL;
	bool all_started;

	if (!accounts_allow_start(m, w->job, step))
		return false;
	if (!capacity_may_fit(w->capacity, step)) {
		if (step->long_running && !step->gang && !w->needs_placement_advice)
			reserve_endpoint(m, w, &q);
		return false;
	}
	if (w->needs_placement_advice) {
		name = g_strdup_printf("%s.%u.%u", q.job, w->occurrence, w->step);
		if (!advice_set_tickets(m, now, name, candidates)) {
			advice_request(m, now, name, &q, candidates);
			return false;
		}
	}
	avoid = interference_avoid(m, step);
	q.avoid = avoid;
	q.image_key = avoid ? interference_key(step->image) : 0;
	all_started = step->gang ? place_gang(m, now, w, &q, candidates)
				 : place_independent_tasks(m, now, w, &q, candidates);
	if (name && has_waiting_task(w->job, w->occurrence, w->step))
		advice_request(m, now, name, &q, candidates);
	if (all_started)
		return true;
	capacity_update_max(w->capacity);
	if (lacks_only_capacity(step, w))
		capacity_record_no_fit(w->capacity, step);
	set_suspected(&q, w->capacity, false);
	if (step->long_running && !step->gang)
		reserve_endpoint(m, w, &q);
	return true;
}

static void record_backlog(struct manager *m, const GArray *waiting)
{
	m->backlog.waiting_steps = 0;
	m->backlog.late_steps = 0;
	for (guint i = 0; i < waiting->len; i++) {
		const struct waiting_step *w = &g_array_index(waiting, struct waiting_step, i);

		m->backlog.waiting_steps += !w->is_remainder;
		m->backlog.late_steps += w->key.late && !w->is_remainder;
	}
}

unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	g_autoptr(GArray) waiting = NULL;
	unsigned int tried = 0;

	capacity_update(m, now);
	relocate_hold_capacity(m);
	interference_start_round(m, now);
	waiting = collect_waiting(m, wall_ms);
	record_backlog(m, waiting);
	for (guint i = 0; i < waiting->len; i++)
		tried += place_step(m, now, wall_ms,
				    &g_array_index(waiting, struct waiting_step, i), false);
	/* Near-certain causes of a crash come last: they cost an endpoint, and are not missed. */
	for (guint i = 0; i < waiting->len; i++)
		if (g_array_index(waiting, struct waiting_step, i).has_singled_out)
			place_step(m, now, wall_ms, &g_array_index(waiting, struct waiting_step, i),
				   true);
	accounts_log_caps(m, now);
	return tried;
}

uint32_t schedule_count_waiting(const struct manager *m, const char *queue)
{
	uint32_t n = 0;

	for (guint i = 0; i < m->active->len; i++) {
		const struct job *job = m->active->pdata[i];

		n += !job->confirmed && !job->has_results && !job_has_ended(job) &&
		     g_str_equal(job->image.spec.queue, queue);
	}
	return n;
}
