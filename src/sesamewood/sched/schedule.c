#include "sched/schedule.h"

#include "runs/runs.h"
#include "sched/advice.h"
#include "sched/estimates.h"
#include "sched/rooms.h"

#include <string.h>

#define RESERVED_SHARE 16 /* at most a sixteenth of a pool is kept for lasting tasks that wait */

/* Waiting order. */

int schedule_compare(const struct waiting_key *a, const struct waiting_key *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	return (a->slack_ms > b->slack_ms) - (a->slack_ms < b->slack_ms);
}

struct waiting {
	struct job *job;
	uint32_t occurrence;
	uint32_t step;
	struct pool_room *room; ///< of its pool
	bool advised;
	struct waiting_key key;
};

static int compare_waiting(gconstpointer a, gconstpointer b)
{
	return schedule_compare(&((const struct waiting *)a)->key,
				&((const struct waiting *)b)->key);
}

static struct waiting_key key_of(const struct manager *m, const struct job *job,
				 const job_queue *queue, uint32_t occurrence, clock_ms_t wall)
{
	const job_spec *spec = &job->image.spec;
	struct waiting_key key = {.priority = queue ? queue->priority : 0};
	struct chain chain;
	int64_t deadline;

	if (spec->steps.steps_len && spec->steps.steps_val[0].persistent) {
		key.slack_ms = INT64_MIN;
		return key;
	}
	chain = estimates_chain(m, job, occurrence);
	deadline = job_due_wall(job, occurrence) + (queue ? queue->objective_ms : 0) +
		   chain.whole_ms * (queue ? queue->stretch_milli : 1000) / 1000;
	key.slack_ms = deadline - wall - chain.open_ms;
	key.late = key.slack_ms < 0;
	return key;
}

static bool has_waiting_task(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s =
		&job->image.occurrences.occurrences_val[occurrence].steps.steps_val[step];

	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase == JOB_TASK_WAITING)
			return true;
	return false;
}

/* What waits. */

/// Where the last job's queue is served: jobs of a queue often follow each other.
struct room_of_queue {
	const job_queue *queue;
	struct pool_room *room;
};

/// @return room of the pool that serves a queue, NULL when the pool has none
static struct pool_room *room_for(const struct manager *m, const struct job *job,
				  const job_queue *queue, struct room_of_queue *last)
{
	if (queue && queue == last->queue)
		return last->room;
	last->queue = queue;
	last->room =
		g_hash_table_lookup(m->pool_capacities, queue ? queue->pool : job->image.spec.pool);
	return last->room;
}

/// Tells whether a step is tried in this round. A lasting one is, also without room, to keep some.
static bool is_tried(const struct pool_room *room, const job_step *step)
{
	return rooms_may_fit(room, step) || (room && step->persistent && !step->gang);
}

/// @return whether a ready task may wait, or will without further notice
static bool gather_job(const struct manager *m, struct job *job, clock_ms_t wall,
		       struct room_of_queue *last, GArray *out)
{
	const job_spec *spec = &job->image.spec;
	const job_queue *queue = jobs_queue(m->jobs, spec->queue);
	struct pool_room *room = room_for(m, job, queue, last);
	bool waits = spec->occurrences > 0;

	estimates_prepare(m, job);
	for (u_int k = 0; k < job->image.occurrences.occurrences_len; k++) {
		struct waiting w = {.job = job, .occurrence = k, .room = room};
		bool keyed = false;

		if (spec->occurrences && wall < job_due_wall(job, k))
			break;
		for (w.step = 0; w.step < spec->steps.steps_len; w.step++) {
			if (!is_tried(room, &spec->steps.steps_val[w.step])) {
				waits = true; /* perhaps: looked into once there is room */
				continue;
			}
			if (!has_waiting_task(job, k, w.step) || !job_step_ready(job, k, w.step))
				continue;
			waits = true;
			if (!keyed)
				w.key = key_of(m, job, queue, k, wall);
			keyed = true;
			w.advised = queue && queue->advised;
			g_array_append_val(out, w);
		}
	}
	return waits;
}

/// @return struct waiting, in the order in which they are served
static GArray *gather(struct manager *m, clock_ms_t wall)
{
	struct room_of_queue last = {0};
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct waiting));

	for (guint i = m->active->len; i > 0; i--) {
		struct job *job = m->active->pdata[i - 1];

		if (job_is_over(job)) {
			if (!job->assigned)
				g_ptr_array_remove_index_fast(m->active, i - 1);
			continue;
		}
		if (job->may_wait && job->unfinished > job->assigned)
			job->may_wait = gather_job(m, job, wall, &last, out);
	}
	g_array_sort(out, compare_waiting);
	return out;
}

/* Placement. */

static void start_one(struct manager *m, clock_ms_t now, const struct waiting *w, uint32_t index,
		      uint32_t attempt, struct place_candidate *c)
{
	job_task_ref ref = {w->job->image.spec.id, w->occurrence, w->step, index};

	runs_start(m, now, c->endpoint, w->job, &ref, attempt,
		   w->advised && c->ticket ? c->ticket : "");
}

/// @return index of the best candidate that takes work now, or -1
static int choose(const struct manager *m, clock_ms_t now, GArray *candidates,
		  const struct place_request *q)
{
	int at;

	do
		at = place_choose(candidates, q);
	while (at >= 0 &&
	       !rooms_confirm(m, &g_array_index(candidates, struct place_candidate, at), now));
	return at;
}

/// @return whether all waiting tasks of the step found a place
static bool place_singles(struct manager *m, clock_ms_t now, const struct waiting *w,
			  struct place_request *q, GArray *candidates)
{
	job_step_state *s =
		&w->job->image.occurrences.occurrences_val[w->occurrence].steps.steps_val[w->step];

	for (u_int i = 0; i < s->tasks.tasks_len; i++) {
		g_autofree char *name = NULL;
		int at;
		struct place_candidate *c;

		if (s->tasks.tasks_val[i].phase != JOB_TASK_WAITING)
			continue;
		if (s->tasks.tasks_val[i].failures) {
			name = g_strdup_printf("%s.%u.%u.%u", q->job, w->occurrence, w->step, i);
			q->failed_at = g_hash_table_lookup(m->failed_at, name);
		}
		at = choose(m, now, candidates, q);
		q->failed_at = NULL;
		if (at < 0)
			return false;
		c = &g_array_index(candidates, struct place_candidate, at);
		place_take(c, q->step);
		start_one(m, now, w, i, s->tasks.tasks_val[i].attempt + 1, c);
	}
	return true;
}

/// Finds places for all tasks of a step at once.
///
/// @return whether all have one; the candidates are then changed
static bool choose_all(const struct manager *m, clock_ms_t now, GArray *candidates,
		       const struct place_request *q, u_int count, int *places)
{
	g_autoptr(GArray) before = g_array_copy(candidates);

	for (u_int i = 0; i < count; i++) {
		struct place_candidate *c;

		places[i] = choose(m, now, candidates, q);
		if (places[i] < 0) {
			memcpy(candidates->data, before->data,
			       before->len * sizeof(struct place_candidate));
			return false;
		}
		c = &g_array_index(candidates, struct place_candidate, places[i]);
		place_take(c, q->step);
		c->taken++;
	}
	for (guint i = 0; i < candidates->len; i++)
		g_array_index(candidates, struct place_candidate, i).taken = 0;
	return true;
}

/// Finds places on one rack.
static bool choose_on_rack(const struct manager *m, clock_ms_t now, GArray *candidates,
			   struct place_request *q, u_int count, int *places)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct endpoint *e =
			g_array_index(candidates, struct place_candidate, i).endpoint;

		if (e->labels->len < 2)
			continue;
		q->rack = e->labels->pdata[e->labels->len - 1];
		if (choose_all(m, now, candidates, q, count, places))
			return true;
	}
	q->rack = NULL;
	return false;
}

/// @return whether all members found a place
static bool place_gang(struct manager *m, clock_ms_t now, const struct waiting *w,
		       struct place_request *q, GArray *candidates)
{
	job_step_state *s =
		&w->job->image.occurrences.occurrences_val[w->occurrence].steps.steps_val[w->step];
	g_autofree int *places = g_new0(int, s->tasks.tasks_len + 1);
	uint32_t attempt = 0;

	for (u_int i = 0; i < s->tasks.tasks_len; i++) {
		if (s->tasks.tasks_val[i].phase != JOB_TASK_WAITING)
			return true;
		attempt = MAX(attempt, s->tasks.tasks_val[i].attempt);
	}
	if (!(q->step->rack_sensitive &&
	      choose_on_rack(m, now, candidates, q, s->tasks.tasks_len, places)) &&
	    !choose_all(m, now, candidates, q, s->tasks.tasks_len, places))
		return false;
	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		start_one(m, now, w, i, attempt + 1,
			  &g_array_index(candidates, struct place_candidate, places[i]));
	return true;
}

/// Tells whether a task of a step that found no place lacked nothing but room.
static bool lacks_only_room(const job_step *step, const struct waiting *w)
{
	return !step->gang && !step->max_per_endpoint && !*step->label && !*step->data_rack &&
	       !w->advised;
}

/// Keeps an endpoint for a lasting task that found no place.
static void reserve(struct manager *m, const struct waiting *w, const struct place_request *q)
{
	struct pool_room *r = w->room;
	struct place_candidate *c;
	int at = -1;

	if ((r->reserved + 1) * RESERVED_SHARE <= r->candidates->len)
		at = place_reserve(r->candidates, q);
	if (at < 0)
		return;
	c = &g_array_index(r->candidates, struct place_candidate, at);
	manager_mark_capacity_changed(m, c->endpoint); /* only for this round */
	rooms_reserve(r, c);
}

/// @return whether the step was offered to endpoints
static bool place_step(struct manager *m, clock_ms_t now, clock_ms_t wall, const struct waiting *w)
{
	const job_step *step = &w->job->image.spec.steps.steps_val[w->step];
	GArray *candidates = w->room->candidates;
	struct place_request q = {
		.step = step,
		.job = w->job->image.spec.id,
		.occurrence = w->occurrence,
		.step_number = w->step,
		.needs_ticket = w->advised,
		/* Waiting longer for near data costs more than running far from it. */
		.far_is_allowed = wall - job_due_wall(w->job, w->occurrence) >
				  (int64_t)step->estimate_ms * (m->settings.remote_data_factor - 1),
	};
	g_autofree char *name = NULL;

	if (!rooms_may_fit(w->room, step)) {
		if (step->persistent && !step->gang && !w->advised)
			reserve(m, w, &q);
		return false;
	}
	if (w->advised) {
		name = g_strdup_printf("%s.%u.%u", q.job, w->occurrence, w->step);
		if (!advice_set_tickets(m, now, name, candidates))
			return false;
	}
	if (step->gang ? place_gang(m, now, w, &q, candidates)
		       : place_singles(m, now, w, &q, candidates))
		return true;
	rooms_note_most(w->room);
	if (lacks_only_room(step, w))
		rooms_note_lack(w->room, step);
	if (step->persistent && !step->gang)
		reserve(m, w, &q);
	return true;
}

unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall)
{
	g_autoptr(GArray) waiting = NULL;
	unsigned int offered = 0;

	rooms_update(m, now);
	waiting = gather(m, wall);
	for (guint i = 0; i < waiting->len; i++)
		offered += place_step(m, now, wall, &g_array_index(waiting, struct waiting, i));
	return offered;
}

uint32_t schedule_waiting(const struct manager *m, const char *queue)
{
	uint32_t n = 0;

	for (guint i = 0; i < m->active->len; i++) {
		const struct job *job = m->active->pdata[i];

		n += !job_is_over(job) && !job->started &&
		     g_str_equal(job->image.spec.queue, queue);
	}
	return n;
}
