#include "runs/runs.h"

#include "base/log.h"
#include "sched/health.h"
#include "sched/pace.h"
#include "sched/estimates.h"

#include <stdlib.h>
#include <string.h>

#define LOOK_WAIT_MS 1000	/* lets a lease of 4.5 s be renewed three times before it ends */
#define LOOK_WAIT_SHARED_MS 300 /* half of the span that usage figures cover */
#define LOOK_TIMEOUT_MS 700	/* over the wait; an answer takes under 10 ms on sound links */
#define LOOK_GAP_MS 25		/* ends that come together are taken by one look */
#define LAST_ACK_DELAY_MS 150	/* a new start there often makes an extra look needless */
#define CALL_TIMEOUT_MS 900
#define ORDER_SPAN_MS 1500  /* a start that could not be sent for so long is placed anew */
#define RUNS_PERIOD_MS 10   /* under the gap between looks; each pass goes over all attempts */
#define LATE_ORDER_MS 15000 /* an order is executed at most 12 s late */
#define RETRY_MS 120
#define OVER_WAIT_MS 120	 /* an answer on its way takes 10 ms at most on sound links */
#define LEFT_DELAY_MS 300	 /* from the last word to the end */
#define STALL_MS 2500		 /* without progress while looks are answered */
#define STALL_GANG_MS 6000	 /* a gang waits for its members first */
#define STALL_LASTING_MS 8000	 /* start-up of a lasting task */
#define FORGET_ENDPOINT_MS 30000 /* silent for so long, and nothing runs there */
#define ENDS_PAGE 500		 /* ends that a look lists at most */

/* Names of tasks. */

static char *task_name(const job_task_ref *ref)
{
	return g_strdup_printf("%s.%u.%u.%u", ref->job, ref->occurrence, ref->step, ref->index);
}

/// Parses a task name into a reference that borrows from @p buffer.
static bool parse_task_name(const char *name, char *buffer, size_t size, job_task_ref *ref)
{
	const char *dot = strchr(name, '.');
	unsigned int k;
	unsigned int step;
	unsigned int index;
	int used = 0;

	if (!dot || (size_t)(dot - name) >= size ||
	    sscanf(dot, ".%u.%u.%u%n", &k, &step, &index, &used) != 3 || dot[used])
		return false;
	memcpy(buffer, name, dot - name);
	buffer[dot - name] = 0;
	*ref = (job_task_ref){.job = buffer, .occurrence = k, .step = step, .index = index};
	return true;
}

/* Runs. */

static struct run *add_run(struct manager *m, clock_ms_t now, struct endpoint *e,
			   const struct job *job, const job_task_ref *ref, uint32_t attempt)
{
	const job_step *step = &job->image.spec.steps.steps_val[ref->step];
	struct run *r = g_new0(struct run, 1);

	*r = (struct run){
		.name = task_name(ref),
		.ref = *ref,
		.attempt = attempt,
		.endpoint = e,
		.job = job,
		.cpu_milli = step->cpu_milli,
		.mem_mb = step->mem_mb,
		.gpu = step->gpu,
		.persistent = step->persistent,
		.fills = step->fills,
		.gang = step->gang,
		.target_ms = step->target_ms,
		.estimate_ms = step->estimate_ms,
		.checkpoint = g_strdup(""),
		.started_at = now,
		.progress_at = now,
		.pace = PACE_FULL,
		.pace_wanted = PACE_FULL,
	};
	r->ref.job = g_strdup(ref->job);
	g_hash_table_replace(m->runs, r->name, r);
	endpoint_add_run(e, r);
	return r;
}

static void drop_run(struct manager *m, struct run *r)
{
	endpoint_remove_run(r->endpoint, r);
	g_hash_table_remove(m->runs, r->name);
}

static void release(struct manager *m, struct run *r, job_end_cause cause, const char *checkpoint)
{
	bool was_open = !job_is_over(r->job);
	job_command c = {
		.type = JOB_COMMAND_END,
		.job_command_u.end =
			{
				.attempt = r->attempt,
				.task = r->ref,
				.cause = cause,
				.checkpoint = (char *)checkpoint,
			},
	};

	log_debug("attempt over", "TASK", r->name, "ATTEMPT", log_number(r->attempt), "ENDPOINT",
		  r->endpoint->id, "CAUSE", log_number(cause));
	emit_command(m, &c);
	if (cause == JOB_END_FAILED)
		log_info("attempt failed", "TASK", r->name, "ATTEMPT", log_number(r->attempt),
			 "ENDPOINT", r->endpoint->id);
	if (job_is_over(r->job) && was_open)
		log_info("job over", "JOB", r->ref.job, "PHASE", log_number(r->job->image.phase),
			 "ATTEMPTS", log_number(r->job->started));
	drop_run(m, r);
}

static void release_all(struct manager *m, struct endpoint *e)
{
	while (e->runs->len) {
		struct run *r = e->runs->pdata[e->runs->len - 1];

		release(m, r, JOB_END_RELEASED, r->checkpoint);
	}
}

void runs_endpoint_over(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	/* The answer of a look that is on its way may list ends from before. */
	if (!e->over_at)
		e->over_at = now;
	if (e->looking && now - e->over_at < OVER_WAIT_MS)
		return;
	log_info("endpoint is over", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	release_all(m, e);
	e->gone = true;
	m->dirty = true;
}

static void register_life(struct manager *m, struct endpoint *e)
{
	job_command c = {
		.type = JOB_COMMAND_ENDPOINT,
		.job_command_u.endpoint =
			{
				.number = m->jobs->next_endpoint,
				.id = e->id,
				.born_wall_ms = e->born_wall_ms,
				.address = e->address,
				.pool = e->pool,
				.machine = e->machine,
			},
	};

	if (e->number && jobs_life(m->jobs, e->number))
		return;
	e->number = m->jobs->next_endpoint;
	emit_command(m, &c);
}

/* Orders. */

static struct order *order_to(struct endpoint *e, enum order_type type, uint32_t timeout_ms)
{
	struct order *o = g_new0(struct order, 1);

	o->type = type;
	o->address = g_strdup(e->address);
	o->instance = g_strdup(e->id);
	o->timeout_ms = timeout_ms;
	o->not_after = CLOCK_NEVER;
	o->direct = e->misses > 0; /* another path than the one that failed */
	return o;
}

/// Lease to ask for now; notes that it may be given.
static int64_t extend_lease(struct endpoint *e, clock_ms_t now)
{
	int64_t until = endpoint_clock(e, now) + RUN_LEASE_MS;

	e->until_ms = MAX(e->until_ms, until);
	return until;
}

void runs_start(struct manager *m, clock_ms_t now, struct endpoint *e, const struct job *job,
		const job_task_ref *ref, uint32_t attempt, const char *ticket)
{
	const job_task *task = jobs_task(m->jobs, ref);
	job_command c = {.type = JOB_COMMAND_START};
	struct order *o = order_to(e, ORDER_START, CALL_TIMEOUT_MS);
	struct run *r;

	register_life(m, e);
	o->task = task_name(ref);
	o->attempt = attempt;
	o->payload = g_strdup(job->image.spec.payload);
	o->checkpoint = g_strdup(task->checkpoint);
	o->ticket = g_strdup(ticket);
	o->until_ms = extend_lease(e, now);
	o->not_after = now + ORDER_SPAN_MS;
	r = add_run(m, now, e, job, ref, attempt);
	g_free(r->checkpoint);
	r->checkpoint = g_strdup(task->checkpoint);
	c.job_command_u.start =
		(job_start){.endpoint = e->number, .attempt = attempt, .task = r->ref};
	emit_command(m, &c);
	log_debug("attempt ordered", "TASK", r->name, "ATTEMPT", log_number(attempt), "ENDPOINT",
		  e->id, "MACHINE", e->machine, "POOL", e->pool);
	emit_order(m, now, o, e, NULL, 0);
}

static void send_stop(struct manager *m, clock_ms_t now, struct endpoint *e, const char *task,
		      uint32_t attempt)
{
	struct order *o = order_to(e, ORDER_STOP, CALL_TIMEOUT_MS);

	o->task = g_strdup(task);
	o->attempt = attempt;
	emit_order(m, now, o, e, NULL, 0);
}

/// Tells whether tasks that serve and tasks that fill share the endpoint.
static bool is_shared(const struct endpoint *e)
{
	return e->serving && e->filling;
}

static void send_look(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	struct order *o;
	uint32_t wait_ms = 0;

	if (e->runs->len && e->fenced && !e->misses)
		wait_ms = is_shared(e) ? LOOK_WAIT_SHARED_MS : LOOK_WAIT_MS;
	o = order_to(e, ORDER_LOOK, wait_ms + LOOK_TIMEOUT_MS);
	o->ack_through = e->taken;
	o->wait_ms = wait_ms;
	/* Not after a miss: a silent endpoint's lease must come to its end. */
	if (e->runs->len && e->clock_ms >= 0 && !e->misses)
		o->until_ms = extend_lease(e, now);
	e->looking = true;
	emit_order(m, now, o, e, NULL, 0);
}

static void send_pace(struct manager *m, clock_ms_t now, struct run *r)
{
	struct order *o = order_to(r->endpoint, ORDER_PACE, CALL_TIMEOUT_MS);

	o->task = g_strdup(r->name);
	o->attempt = r->attempt;
	o->percent = r->pace_wanted;
	r->pace_in_flight = true;
	emit_order(m, now, o, r->endpoint, NULL, 0);
}

/* Lives of endpoints. */

static struct endpoint *add_endpoint(struct manager *m, const char *id)
{
	struct endpoint *e = endpoint_new(id);

	g_hash_table_replace(m->endpoints, e->id, e);
	return e;
}

/// The first reading of a clock bounds what an earlier leader may have granted, also by an order
/// that meant an earlier life and its clock: endpoints shorten what is longer.
static void bound_earlier_lease(const struct manager *m, struct endpoint *e)
{
	if (e->clock_ms >= 0)
		e->until_ms = MAX(e->until_ms, e->clock_ms + m->settings.lease_max_ms);
}

static void forget_life(struct endpoint *e)
{
	e->number = 0;
	e->clock_ms = -1;
	e->until_ms = 0;
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

/// An endpoint started again under its id. What was confirmed to run is over; an order that has
/// had no answer may still be executed by the new life, and is stopped there.
static void reborn(struct manager *m, clock_ms_t now, struct endpoint *e, int64_t born_wall_ms)
{
	log_info("endpoint started again", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	for (guint i = e->runs->len; i > 0; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (r->state == RUN_CONFIRMED) {
			release(m, r, JOB_END_RELEASED, r->checkpoint);
			continue;
		}
		if (r->state != RUN_INHERITED)
			r->state = RUN_IN_DOUBT;
		r->stop_in_flight = false;
		r->stopped_at = 0;
		r->stop_at = now;
	}
	forget_life(e);
	e->born_wall_ms = born_wall_ms;
	e->must_fence = true;
	e->lives++;
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

		if (e != holder && !e->gone && g_str_equal(e->address, holder->address) &&
		    e->born_wall_ms < holder->born_wall_ms)
			runs_endpoint_over(m, now, e);
	}
}

void runs_announced(struct manager *m, clock_ms_t now, const struct announcement *a)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoints, a->id);
	bool is_new = !e || !e->announced;

	if (!e)
		e = add_endpoint(m, a->id);
	if (a->born_wall_ms < e->born_wall_ms)
		return;
	if (a->born_wall_ms > e->born_wall_ms) {
		if (e->born_wall_ms)
			reborn(m, now, e, a->born_wall_ms);
		e->born_wall_ms = a->born_wall_ms;
		is_new = true;
	}
	if (e->gone || (!is_new && a->sequence <= e->sequence))
		return;
	if (e->draining != a->draining && a->draining)
		log_info("endpoint drains", "ENDPOINT", e->id);
	endpoint_update(e, a, now);
	if (e->proves_from && now > e->proves_from) {
		e->ending = false;
		e->cordoned = false;
		e->proves_from = 0;
	}
	if (!is_new)
		return;
	/* Its orders from earlier leaders may still be on their way. */
	e->must_fence |= m->term > 1 && now - m->since < LATE_ORDER_MS;
	bound_earlier_lease(m, e);
	take_address(m, now, e);
	m->dirty = true;
}

void runs_left(struct manager *m, clock_ms_t now, const struct announcement *a)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoints, a->id);

	(void)now;
	if (!e || e->left || (a->born_wall_ms && a->born_wall_ms != e->born_wall_ms))
		return;
	log_info("endpoint leaves", "ENDPOINT", e->id, "RUNS", log_number(e->runs->len));
	e->left = true;
	e->draining = true;
	e->heard_at = now;
}

void runs_inherit(struct manager *m, clock_ms_t now)
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
					if (!e || e->born_wall_ms < life->endpoint.born_wall_ms) {
						if (!e)
							e = add_endpoint(m, life->endpoint.id);
						g_free(e->address);
						g_free(e->pool);
						g_free(e->machine);
						e->address = g_strdup(life->endpoint.address);
						e->pool = g_strdup(life->endpoint.pool);
						e->machine = g_strdup(life->endpoint.machine);
						e->born_wall_ms = life->endpoint.born_wall_ms;
						e->number = t->endpoint;
						e->heard_at = now;
					}
					r = add_run(m, now, e, job, &ref, t->attempt);
					r->state = RUN_INHERITED;
					g_free(r->checkpoint);
					r->checkpoint = g_strdup(t->checkpoint);
				}
			}
	}
}

/* Results. */

static void note_answer(struct manager *m, clock_ms_t now, struct endpoint *e, enum order_type type,
			const struct order_result *result)
{
	bool first = e->clock_ms < 0;

	if (result->status == ORDER_FENCED) {
		m->fenced_off = true;
		return;
	}
	if (result->status == ORDER_OTHER_INSTANCE) {
		runs_endpoint_over(m, now, e);
		return;
	}
	if (result->status == ORDER_NO_ANSWER || result->status == ORDER_NOT_SENT) {
		/* Other orders are also left unsent when they have waited for too long here. */
		e->misses += result->status == ORDER_NO_ANSWER || type == ORDER_LOOK;
		return;
	}
	e->misses = 0;
	if (result->clock_ms < 0)
		return;
	endpoint_note_clock(e, result->clock_ms, now);
	if (first)
		bound_earlier_lease(m, e);
}

static void finish_start(struct manager *m, clock_ms_t now, struct run *r,
			 const struct order_result *result)
{
	struct endpoint *e = r->endpoint;

	switch (result->status) {
	case ORDER_OK:
		if (r->state == RUN_ORDERED) {
			r->state = RUN_CONFIRMED;
			r->started_at = now;
			r->progress_at = now;
		}
		return;
	case ORDER_NO_ANSWER:
		r->state = RUN_IN_DOUBT; /* the next look tells whether it runs */
		e->look_at = MIN(e->look_at, now);
		health_note_silence(e, now);
		return;
	case ORDER_SUPERSEDED:
		/* It may have run and ended already: the next look tells. */
		r->state = RUN_IN_DOUBT;
		r->stop_wanted = true;
		r->stopped_at = now;
		e->look_at = now;
		return;
	case ORDER_NO_TICKET:
		g_hash_table_remove_all(m->advice);
		break;
	case ORDER_NO_ROOM:
	case ORDER_TRY_LATER:
		health_note_refusal(e, now);
		break;
	default:
		break;
	}
	log_info("start refused", "TASK", r->name, "ENDPOINT", e->id, "STATUS",
		 log_number(result->status));
	release(m, r, JOB_END_RELEASED, "");
}

static void finish_stop(struct run *r, clock_ms_t now, const struct order_result *result)
{
	r->stop_in_flight = false;
	r->stop_at = now + RETRY_MS;
	if (result->status != ORDER_OK)
		return;
	r->stopped_at = now;
	r->endpoint->look_at = MIN(r->endpoint->look_at, now);
}

/// Takes note of the end of an attempt that is no longer followed.
static void end_unfollowed(struct manager *m, const struct end_row *row)
{
	char id[SW_NAME_MAX + 1];
	job_command c = {.type = JOB_COMMAND_END};
	const job_task *task;

	c.job_command_u.end = (job_end){
		.attempt = row->attempt,
		.cause = JOB_END_DONE,
		.checkpoint = row->checkpoint,
	};
	if (row->how != RUN_DONE ||
	    !parse_task_name(row->task, id, sizeof(id), &c.job_command_u.end.task))
		return;
	task = jobs_task(m->jobs, &c.job_command_u.end.task);
	if (task && task->phase == JOB_TASK_WAITING && task->attempt == row->attempt)
		emit_command(m, &c);
}

/// A gang ends as done all at once: its other members are no longer followed.
static void drop_done_members(struct manager *m, const job_task_ref *ref, uint32_t count)
{
	job_task_ref member = *ref;

	for (member.index = 0; member.index < count; member.index++) {
		g_autofree char *name = task_name(&member);
		struct run *r = g_hash_table_lookup(m->runs, name);

		if (r)
			drop_run(m, r);
	}
}

static void take_end(struct manager *m, clock_ms_t now, struct endpoint *e,
		     const struct end_row *row)
{
	struct run *r = g_hash_table_lookup(m->runs, row->task);

	if (!r || r->endpoint != e || r->attempt != row->attempt) {
		end_unfollowed(m, row);
		return;
	}
	switch (row->how) {
	case RUN_DONE: {
		job_task_ref ref = r->ref;
		g_autofree char *id = g_strdup(ref.job);
		uint32_t members = r->gang ? r->job->image.spec.steps.steps_val[ref.step].count : 0;

		ref.job = id;
		health_note_done(e);
		g_hash_table_remove(m->failed_at, r->name);
		estimates_note(m, now, r);
		release(m, r, JOB_END_DONE, row->checkpoint);
		drop_done_members(m, &ref, members);
		return;
	}
	case RUN_FAILED:
		health_note_failure(e, now, r->ref.job, r->persistent);
		g_hash_table_replace(m->failed_at, g_strdup(r->name), g_strdup(e->id));
		release(m, r, JOB_END_FAILED, row->checkpoint);
		return;
	case RUN_ENDED_OUTSIDE:
		release(m, r, JOB_END_RELEASED, row->checkpoint);
		return;
	}
}

static void note_row(struct run *r, clock_ms_t now, const struct run_row *row)
{
	if (r->state != RUN_CONFIRMED && r->state != RUN_IN_DOUBT)
		r->progress_at = now;
	if (r->state != RUN_IN_DOUBT || !r->stop_wanted)
		r->state = RUN_CONFIRMED;
	if (row->percent != r->percent)
		r->progress_at = now;
	if (r->persistent && row->percent >= 100) {
		r->progress_at = now;
		if (!r->at_work_at)
			r->at_work_at = now;
	} else {
		r->at_work_at = 0;
	}
	r->percent = row->percent;
	r->usage = row->usage;
	if (*row->checkpoint && g_strcmp0(r->checkpoint, row->checkpoint) != 0) {
		g_free(r->checkpoint);
		r->checkpoint = g_strdup(row->checkpoint);
	}
}

/// Tells whether a look that was sent at @p sent_at and did not list an attempt proves that it is
/// over.
static bool is_proved_over(const struct run *r, clock_ms_t sent_at)
{
	switch (r->state) {
	case RUN_ORDERED:
		return false;
	case RUN_INHERITED:
		return true;
	case RUN_CONFIRMED:
		return r->started_at < sent_at;
	case RUN_IN_DOUBT:
		return r->stopped_at && r->stopped_at <= sent_at;
	}
	return false;
}

static void finish_look(struct manager *m, clock_ms_t now, struct endpoint *e,
			const struct pending *p, const struct order_result *result)
{
	g_autoptr(GHashTable) listed = g_hash_table_new(NULL, NULL);

	e->look_at = now + LOOK_GAP_MS;
	if (result->status != ORDER_OK)
		return;
	e->fenced = true;
	e->looked_at = now;
	e->acked = MAX(e->acked, p->ack_through);
	for (guint i = 0; i < result->ends->len; i++) {
		const struct end_row *row = &g_array_index(result->ends, struct end_row, i);

		if (row->number <= e->taken)
			continue;
		e->taken = row->number;
		take_end(m, now, e, row);
	}
	for (guint i = 0; i < result->runs->len; i++) {
		const struct run_row *row = &g_array_index(result->runs, struct run_row, i);
		struct run *r = g_hash_table_lookup(m->runs, row->task);

		if (r && r->endpoint == e && r->attempt == row->attempt) {
			note_row(r, now, row);
			g_hash_table_add(listed, r);
		} else {
			send_stop(m, now, e, row->task, row->attempt);
		}
	}
	for (guint i = e->runs->len; i > 0 && result->ends->len < ENDS_PAGE; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (g_hash_table_contains(listed, r))
			continue;
		if (is_proved_over(r, p->sent_at))
			release(m, r, JOB_END_RELEASED, r->checkpoint);
		else if (r->state == RUN_IN_DOUBT)
			r->stop_wanted = true; /* its order may still come */
	}
	pace_endpoint(e, now);
	m->dirty = true;
}

void runs_result(struct manager *m, clock_ms_t now, const struct pending *p,
		 const struct order_result *result)
{
	struct endpoint *e = g_hash_table_lookup(m->endpoints, p->endpoint);
	struct run *r;

	if (!e)
		return;
	if (result->born_wall_ms > e->born_wall_ms) {
		if (e->born_wall_ms)
			reborn(m, now, e, result->born_wall_ms);
		e->born_wall_ms = result->born_wall_ms;
		return;
	}
	if (p->born_wall_ms != e->born_wall_ms && e->born_wall_ms)
		return;
	if (p->type == ORDER_LOOK)
		e->looking = false;
	note_answer(m, now, e, p->type, result);
	if (e->gone || m->fenced_off)
		return;
	if (p->type == ORDER_LOOK) {
		finish_look(m, now, e, p, result);
		if (e->over_at)
			runs_endpoint_over(m, now, e);
		return;
	}
	r = g_hash_table_lookup(m->runs, p->task);
	if (!r || r->attempt != p->attempt || r->endpoint != e)
		return;
	switch (p->type) {
	case ORDER_START:
		finish_start(m, now, r, result);
		break;
	case ORDER_STOP:
		finish_stop(r, now, result);
		break;
	case ORDER_PACE:
		r->pace_in_flight = false;
		if (result->status == ORDER_OK)
			r->pace = p->percent;
		break;
	default:
		break;
	}
}

/* Time. */

static bool is_stalled(const struct run *r)
{
	clock_ms_t bound = r->persistent ? STALL_LASTING_MS : r->gang ? STALL_GANG_MS : STALL_MS;

	if (r->state != RUN_CONFIRMED || r->pace < PACE_FULL || r->stop_wanted)
		return false;
	return r->endpoint->looked_at - r->progress_at > bound;
}

static void tick_run(struct manager *m, clock_ms_t now, struct run *r)
{
	if (job_is_over(r->job))
		r->stop_wanted = true;
	if (is_stalled(r)) {
		log_info("attempt stands still", "TASK", r->name, "ENDPOINT", r->endpoint->id,
			 "PERCENT", log_number(r->percent));
		r->stop_wanted = true;
		health_note_failure(r->endpoint, now, r->name, false);
	}
	if (r->stop_wanted && !r->stopped_at && !r->stop_in_flight && now >= r->stop_at) {
		r->stop_in_flight = true;
		send_stop(m, now, r->endpoint, r->name, r->attempt);
	}
	if (r->pace_wanted != r->pace && !r->pace_in_flight && r->state == RUN_CONFIRMED)
		send_pace(m, now, r);
}

static bool wants_look(const struct endpoint *e, clock_ms_t now)
{
	if (e->looking || e->gone || e->over_at || now < e->look_at)
		return false;
	if (e->runs->len || (e->must_fence && !e->fenced))
		return true;
	return e->taken > e->acked && now >= e->look_at + LAST_ACK_DELAY_MS;
}

/// Tells whether an endpoint is silent and whatever ran there has ended with its lease.
static bool is_lost(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	if (!e->misses &&
	    now - e->heard_at < SILENT_ANNOUNCEMENTS * (clock_ms_t)m->settings.announce_ms)
		return false;
	if (e->clock_ms < 0)
		return now - m->since > m->settings.lease_max_ms + m->settings.lease_max_ms / 20;
	return endpoint_lease_over(e, now);
}

static void tick_endpoint(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	if (e->over_at || (e->left && now - e->heard_at > LEFT_DELAY_MS)) {
		runs_endpoint_over(m, now, e);
		return;
	}
	if (e->runs->len && is_lost(m, e, now)) {
		log_warning("leases of a silent endpoint have ended", "ENDPOINT", e->id, "RUNS",
			    log_number(e->runs->len));
		release_all(m, e);
	}
	for (guint i = 0; i < e->runs->len; i++)
		tick_run(m, now, e->runs->pdata[i]);
	if (wants_look(e, now))
		send_look(m, now, e);
}

void runs_tick(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < m->runs_at)
		return;
	m->runs_at = now + RUNS_PERIOD_MS;
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;

		if (!e->gone)
			tick_endpoint(m, now, e);
		if (!e->runs->len && now - e->heard_at > FORGET_ENDPOINT_MS)
			g_hash_table_iter_remove(&iter);
	}
}
