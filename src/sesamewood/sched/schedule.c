#include "sched/schedule.h"

#include "runs/runs.h"
#include "sched/health.h"
#include "sched/place.h"
#include "sched/waves.h"

#include <string.h>

#define SILENT_ANNOUNCEMENTS 3
#define ASIDE_SHARE 3	     /* at most a third of a pool is left out for its record */
#define RATIO_FULL 100	     /* percent: the statement is true */
#define RATIO_WEIGHT 8	     /* an eighth of each new observation; runs differ by about a third */
#define RATIO_MAX 2000	     /* percent */
#define ADVICE_ASKED_MAX 30  /* the objective counts one call on 30 endpoints */
#define ADVICE_MARGIN_MS 300 /* a start needs so long to arrive */
#define ADVICE_TIMEOUT_MS 2000

/* Learned run times. */

struct ratio {
	uint32_t percent;
};

static char *ratio_key(const struct job *job, uint32_t step)
{
	return g_strdup_printf("%s|%u|%s", job->image.spec.queue, step,
			       job->image.spec.steps.steps_val[step].image);
}

static uint32_t ratio_of(const struct manager *m, const struct job *job, uint32_t step)
{
	g_autofree char *key = ratio_key(job, step);
	const struct ratio *r = g_hash_table_lookup(m->ratios, key);

	return r ? r->percent : RATIO_FULL;
}

void schedule_note_duration(struct manager *m, clock_ms_t now, const struct run *run)
{
	const struct job *job = jobs_find(m->jobs, run->ref.job);
	struct ratio *r;
	g_autofree char *key = NULL;
	int64_t percent;

	if (!job || !run->estimate_ms || run->persistent || *run->checkpoint)
		return;
	percent = CLAMP((now - run->started_at) * 100 / run->estimate_ms, 1, RATIO_MAX);
	key = ratio_key(job, run->ref.step);
	r = g_hash_table_lookup(m->ratios, key);
	if (!r) {
		r = g_new0(struct ratio, 1);
		r->percent = RATIO_FULL;
		g_hash_table_insert(m->ratios, g_steal_pointer(&key), r);
	}
	r->percent = (r->percent * (RATIO_WEIGHT - 1) + (uint32_t)percent) / RATIO_WEIGHT;
}

/* Waiting order. */

int schedule_compare(const struct waiting_key *a, const struct waiting_key *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	return (a->slack_ms > b->slack_ms) - (a->slack_ms < b->slack_ms);
}

static bool is_step_open(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step_state *s =
		&job->image.occurrences.occurrences_val[occurrence].steps.steps_val[step];

	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase != JOB_TASK_DONE)
			return true;
	return false;
}

int64_t schedule_chain_ms(const struct job *job, uint32_t occurrence, const uint32_t *ratio_percent,
			  bool only_open)
{
	const job_spec *spec = &job->image.spec;
	g_autofree int64_t *end = g_new0(int64_t, spec->steps.steps_len + 1);
	int64_t longest = 0;

	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		const job_step *step = &spec->steps.steps_val[s];

		for (u_int i = 0; i < step->after.after_len; i++)
			end[s] = MAX(end[s], end[step->after.after_val[i]]);
		if (!only_open || is_step_open(job, occurrence, s))
			end[s] += (int64_t)step->estimate_ms * ratio_percent[s] / 100;
		longest = MAX(longest, end[s]);
	}
	return longest;
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

static int64_t due_wall(const struct job *job, uint32_t occurrence)
{
	const job_spec *spec = &job->image.spec;

	if (!spec->occurrences)
		return spec->accepted_wall_ms;
	return spec->first_wall_ms + (int64_t)occurrence * spec->interval_ms;
}

static struct waiting_key key_of(const struct manager *m, const struct job *job,
				 const job_queue *queue, uint32_t occurrence, clock_ms_t wall)
{
	const job_spec *spec = &job->image.spec;
	g_autofree uint32_t *ratios = g_new0(uint32_t, spec->steps.steps_len + 1);
	struct waiting_key key = {.priority = queue ? queue->priority : 0};
	int64_t deadline;

	if (spec->steps.steps_len && spec->steps.steps_val[0].persistent) {
		key.slack_ms = INT64_MIN;
		return key;
	}
	for (u_int s = 0; s < spec->steps.steps_len; s++)
		ratios[s] = ratio_of(m, job, s);
	deadline = due_wall(job, occurrence) + (queue ? queue->objective_ms : 0) +
		   schedule_chain_ms(job, occurrence, ratios, false) *
			   (queue ? queue->stretch_milli : 1000) / 1000;
	key.slack_ms = deadline - wall - schedule_chain_ms(job, occurrence, ratios, true);
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

/* Room of the pools in one round. */

/// What a pool offers in a round.
struct pool_room {
	GArray *candidates; ///< of struct place_candidate
	unsigned int total;
	unsigned int aside; ///< of them set aside by their record
	struct room most;   ///< no candidate has more of any kind
};

static void pool_room_free(void *p)
{
	struct pool_room *r = p;

	g_array_unref(r->candidates);
	g_free(r);
}

/// Notes the most that any candidate has; called again when a task has found no place.
static void note_most(struct pool_room *r)
{
	r->most = (struct room){0};
	for (guint i = 0; i < r->candidates->len; i++) {
		const struct room *c =
			&g_array_index(r->candidates, struct place_candidate, i).room;

		r->most.cpu_milli = MAX(r->most.cpu_milli, c->cpu_milli);
		r->most.mem_mb = MAX(r->most.mem_mb, c->mem_mb);
		r->most.gpu = MAX(r->most.gpu, c->gpu);
	}
}

/// Tells whether a task of a step may find a place: false is certain. At a surge most of what
/// waits finds none, and is neither ordered nor offered to each endpoint.
static bool may_fit(const struct pool_room *r, const job_step *step)
{
	if (!r || !r->candidates->len)
		return false;
	return (step->fills || step->cpu_milli <= r->most.cpu_milli) &&
	       step->mem_mb <= r->most.mem_mb && step->gpu <= r->most.gpu;
}

static struct pool_room *room_of(GHashTable *rooms, const char *pool)
{
	struct pool_room *r = g_hash_table_lookup(rooms, pool);

	if (r)
		return r;
	r = g_new0(struct pool_room, 1);
	r->candidates = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	g_hash_table_insert(rooms, (char *)pool, r);
	return r;
}

static void add_candidate(struct manager *m, GHashTable *rooms, struct endpoint *e, clock_ms_t now)
{
	clock_ms_t silent_ms = SILENT_ANNOUNCEMENTS * (clock_ms_t)m->settings.announce_ms;
	struct place_candidate c = {.endpoint = e};
	struct pool_room *r;

	if (!health_is_eligible(e, now, silent_ms) || e->cordoned || e->ending)
		return;
	r = room_of(rooms, e->pool);
	r->total++;
	c.set_aside =
		health_is_set_aside(e, now) || (health_is_on_trial(e) && e->runs->len > e->lasting);
	r->aside += c.set_aside;
	c.room = endpoint_free_room(e);
	c.due = g_hash_table_contains(m->due_machines, e->machine);
	c.runs = e->runs->len;
	c.serving = e->serving;
	c.filling = e->filling;
	c.lasting = e->lasting;
	g_array_append_val(r->candidates, c);
}

/// @return struct pool_room by pool; names borrow from the endpoints
static GHashTable *rooms_of(struct manager *m, clock_ms_t now)
{
	GHashTable *rooms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_room_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_candidate(m, rooms, value, now);
	g_hash_table_iter_init(&iter, rooms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_room *r = value;

		/* Where many fail it is rather the tasks' fault: then all are used. */
		for (guint i = r->candidates->len; i > 0 && r->aside * ASIDE_SHARE <= r->total; i--)
			if (g_array_index(r->candidates, struct place_candidate, i - 1).set_aside)
				g_array_remove_index_fast(r->candidates, i - 1);
		note_most(r);
	}
	return rooms;
}

/* What waits. */

static void gather_job(const struct manager *m, struct job *job, clock_ms_t wall, GHashTable *rooms,
		       GArray *out)
{
	const job_spec *spec = &job->image.spec;
	const job_queue *queue = jobs_queue(m->jobs, spec->queue);
	struct pool_room *room = g_hash_table_lookup(rooms, queue ? queue->pool : spec->pool);

	for (u_int k = 0; k < job->image.occurrences.occurrences_len; k++) {
		struct waiting w = {.job = job, .occurrence = k, .room = room};
		bool keyed = false;

		if (spec->occurrences && wall < due_wall(job, k))
			break;
		for (w.step = 0; w.step < spec->steps.steps_len; w.step++) {
			if (!may_fit(room, &spec->steps.steps_val[w.step]) ||
			    !has_waiting_task(job, k, w.step) || !job_step_ready(job, k, w.step))
				continue;
			if (!keyed)
				w.key = key_of(m, job, queue, k, wall);
			keyed = true;
			w.advised = queue && queue->advised;
			g_array_append_val(out, w);
		}
	}
}

/// @return struct waiting, in the order in which they are served
static GArray *gather(struct manager *m, clock_ms_t wall, GHashTable *rooms)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct waiting));

	for (guint i = m->active->len; i > 0; i--) {
		struct job *job = m->active->pdata[i - 1];

		if (job_is_over(job)) {
			if (!job->assigned)
				g_ptr_array_remove_index_fast(m->active, i - 1);
			continue;
		}
		if (job->unfinished > job->assigned)
			gather_job(m, job, wall, rooms, out);
	}
	g_array_sort(out, compare_waiting);
	return out;
}

/* Demand. */

static int64_t task_work(const struct manager *m, const struct job *job, uint32_t step)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];

	return s->persistent || s->fills
		       ? 0
		       : (int64_t)s->cpu_milli * s->estimate_ms / 100 * ratio_of(m, job, step);
}

int64_t schedule_work(const struct manager *m, const struct job *job)
{
	int64_t work = 0;

	for (u_int s = 0; s < job->image.spec.steps.steps_len; s++)
		work += task_work(m, job, s) * job->image.spec.steps.steps_val[s].count;
	return work;
}

static void add_demand(const struct manager *m, const struct job *job, uint32_t occurrence,
		       uint32_t step, struct schedule_demand *d)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];
	const job_step_state *state =
		&job->image.occurrences.occurrences_val[occurrence].steps.steps_val[step];
	uint32_t most = s->count;
	uint32_t waiting = 0;

	for (u_int i = 0; i < state->tasks.tasks_len; i++)
		waiting += state->tasks.tasks_val[i].phase == JOB_TASK_WAITING;
	if (s->max_per_endpoint && (waiting || s->persistent))
		most = s->max_per_endpoint;
	if (s->max_unavailable)
		most = MIN(most, s->max_unavailable);
	if (most < s->count)
		d->spread = MAX(d->spread, (s->count + most - 1) / most);
	if (s->persistent && !s->fills)
		d->lasting_cpu += (int64_t)waiting * s->cpu_milli;
	d->work += waiting * task_work(m, job, step);
}

GHashTable *schedule_demand(const struct manager *m, clock_ms_t wall)
{
	GHashTable *pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (guint i = 0; i < m->active->len; i++) {
		const struct job *job = m->active->pdata[i];
		const job_queue *queue;
		struct schedule_demand *d;
		const char *pool;

		if (job_is_over(job) || (job->unfinished == job->assigned &&
					 !job->image.spec.steps.steps_val[0].persistent))
			continue;
		queue = jobs_queue(m->jobs, job->image.spec.queue);
		pool = queue ? queue->pool : job->image.spec.pool;
		d = g_hash_table_lookup(pools, pool);
		if (!d) {
			d = g_new0(struct schedule_demand, 1);
			g_hash_table_insert(pools, (char *)pool, d);
		}
		for (u_int k = 0; k < job->image.occurrences.occurrences_len; k++) {
			if (job->image.spec.occurrences && wall < due_wall(job, k))
				break;
			for (u_int s = 0; s < job->image.spec.steps.steps_len; s++)
				if (job_step_ready(job, k, s))
					add_demand(m, job, k, s, d);
		}
	}
	return pools;
}

/* Advice. */

struct advice {
	bool asked;
	clock_ms_t until;
	GHashTable *tickets; ///< by endpoint id
};

void schedule_advice_free(void *p)
{
	struct advice *a = p;

	g_hash_table_unref(a->tickets);
	g_free(a);
}

static struct advice *advice_of(struct manager *m, const char *step_name)
{
	struct advice *a = g_hash_table_lookup(m->advice, step_name);

	if (a)
		return a;
	a = g_new0(struct advice, 1);
	a->tickets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(m->advice, g_strdup(step_name), a);
	return a;
}

static void ask(struct manager *m, clock_ms_t now, const char *step_name, struct advice *a,
		const GArray *candidates)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_ADVISE,
		.timeout_ms = ADVICE_TIMEOUT_MS,
		.task = g_strdup(step_name),
		.instances = g_ptr_array_new_with_free_func(g_free),
		.not_after = CLOCK_NEVER,
	};
	for (guint i = 0; i < candidates->len && i < ADVICE_ASKED_MAX; i++) {
		const struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, i);

		g_ptr_array_add(o->instances, g_strdup(c->endpoint->id));
	}
	a->asked = true;
	emit_order(m, now, o, NULL, NULL, 0);
}

void schedule_advised(struct manager *m, clock_ms_t now, const struct pending *p,
		      const struct order_result *result)
{
	struct advice *a = advice_of(m, p->task);

	a->asked = false;
	m->dirty = true;
	if (result->status != ORDER_OK)
		return;
	g_hash_table_remove_all(a->tickets);
	a->until = p->sent_at + result->valid_ms - ADVICE_MARGIN_MS;
	(void)now;
	for (guint i = 0; i < result->advice->len; i++) {
		const struct advice_row *row = &g_array_index(result->advice, struct advice_row, i);

		g_hash_table_replace(a->tickets, g_strdup(row->instance), g_strdup(row->ticket));
	}
}

/// Fills in the tickets of a step.
///
/// @return false while the adviser has not answered
static bool set_tickets(struct manager *m, clock_ms_t now, const struct waiting *w,
			GArray *candidates)
{
	g_autofree char *name =
		g_strdup_printf("%s.%u.%u", w->job->image.spec.id, w->occurrence, w->step);
	struct advice *a = advice_of(m, name);

	if (now >= a->until) {
		if (!a->asked && candidates->len)
			ask(m, now, name, a, candidates);
		return false;
	}
	for (guint i = 0; i < candidates->len; i++) {
		struct place_candidate *c = &g_array_index(candidates, struct place_candidate, i);

		c->ticket = g_hash_table_lookup(a->tickets, c->endpoint->id);
	}
	return true;
}

/* Placement. */

static void start_one(struct manager *m, clock_ms_t now, const struct waiting *w, uint32_t index,
		      uint32_t attempt, struct place_candidate *c)
{
	job_task_ref ref = {w->job->image.spec.id, w->occurrence, w->step, index};

	runs_start(m, now, c->endpoint, w->job, &ref, attempt, c->ticket ? c->ticket : "");
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
		at = place_choose(candidates, q);
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
static bool choose_all(GArray *candidates, const struct place_request *q, u_int count, int *places)
{
	g_autoptr(GArray) before = g_array_copy(candidates);

	for (u_int i = 0; i < count; i++) {
		struct place_candidate *c;

		places[i] = place_choose(candidates, q);
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
static bool choose_on_rack(GArray *candidates, struct place_request *q, u_int count, int *places)
{
	for (guint i = 0; i < candidates->len; i++) {
		const struct endpoint *e =
			g_array_index(candidates, struct place_candidate, i).endpoint;

		if (e->labels->len < 2)
			continue;
		q->rack = e->labels->pdata[e->labels->len - 1];
		if (choose_all(candidates, q, count, places))
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
	      choose_on_rack(candidates, q, s->tasks.tasks_len, places)) &&
	    !choose_all(candidates, q, s->tasks.tasks_len, places))
		return false;
	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		start_one(m, now, w, i, attempt + 1,
			  &g_array_index(candidates, struct place_candidate, places[i]));
	return true;
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
		.far_is_allowed = wall - due_wall(w->job, w->occurrence) >
				  (int64_t)step->estimate_ms * (m->settings.far_factor - 1),
	};

	if (!may_fit(w->room, step) || (w->advised && !set_tickets(m, now, w, candidates)))
		return false;
	if (step->gang ? !place_gang(m, now, w, &q, candidates)
		       : !place_singles(m, now, w, &q, candidates))
		note_most(w->room);
	return true;
}

unsigned int schedule_round(struct manager *m, clock_ms_t now, clock_ms_t wall)
{
	g_autoptr(GHashTable) rooms = rooms_of(m, now);
	g_autoptr(GArray) waiting = gather(m, wall, rooms);
	unsigned int offered = 0;

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
