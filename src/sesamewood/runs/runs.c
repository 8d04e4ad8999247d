#include "runs/runs.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "runs/lives.h"
#include "sched/estimates.h"
#include "sched/health.h"
#include "sched/pace.h"

#include <stdlib.h>
#include <string.h>

#define LOOK_WAIT_MS 1000	/* lets a lease of 4.5 s be renewed three times before it ends */
#define LOOK_WAIT_SHARED_MS 300 /* half of the span that usage figures cover */
#define LOOK_TIMEOUT_MS 700	/* over the wait; an answer takes under 10 ms on sound links */
#define LOOK_GAP_MS 25		/* ends that come together are taken by one look */
#define LAST_ACK_DELAY_MS 150	/* a new start there often makes an extra look needless */
#define CALL_TIMEOUT_MS 900
#define ORDER_SPAN_MS 1500 /* a start that could not be sent for so long is placed anew */
#define RUNS_PERIOD_MS 10  /* under the gap between looks; each pass goes over all attempts */
#define RETRY_MS 120
#define CALM_MS 2500	  /* a look with its wait, and the next one */
#define ATTEND_MS 100	  /* stops, stalls and paces that no event calls for are seen to so often */
#define LEFT_DELAY_MS 300 /* from the last word to the end */
#define STALL_MS 2500	  /* without progress while looks are answered */
#define STALL_GANG_MS 6000    /* a gang waits for its members first */
#define STALL_LASTING_MS 8000 /* start-up of a lasting task */
#define ENDS_PAGE 500	      /* ends that a look lists at most */

static void register_life(struct manager *m, struct endpoint *e)
{
	job_command c = {
		.type = JOB_COMMAND_ENDPOINT,
		.job_command_u.endpoint =
			{
				.number = m->jobs->next_endpoint,
				.id = e->id,
				.incarnation_wall_ms = e->incarnation_wall_ms,
				.address = e->address,
				.pool = e->pool,
				.machine = e->machine,
			},
	};

	if (e->number && jobs_life(m->jobs, e->number))
		return;
	e->number = m->jobs->next_endpoint;
	effects_propose(m, &c);
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

	e->lease_until_ms = MAX(e->lease_until_ms, until);
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
	o->task = attempts_task_name(ref);
	o->attempt = attempt;
	o->payload = g_strdup(job->image.spec.payload);
	o->checkpoint = g_strdup(task->checkpoint);
	o->ticket = g_strdup(ticket);
	o->lease_until_ms = extend_lease(e, now);
	o->not_after = now + ORDER_SPAN_MS;
	r = attempts_add(m, now, e, job, ref, attempt);
	g_free(r->checkpoint);
	r->checkpoint = g_strdup(task->checkpoint);
	c.job_command_u.start =
		(job_start){.endpoint = e->number, .attempt = attempt, .task = r->ref};
	effects_propose(m, &c);
	log_debug("attempt ordered", "TASK", r->name, "ATTEMPT", log_number(attempt), "ENDPOINT",
		  e->id, "MACHINE", e->machine, "POOL", e->pool);
	effects_send_order(m, now, o, e, NULL, 0);
}

static void send_stop(struct manager *m, clock_ms_t now, struct endpoint *e, const char *task,
		      uint32_t attempt)
{
	struct order *o = order_to(e, ORDER_STOP, CALL_TIMEOUT_MS);

	o->task = g_strdup(task);
	o->attempt = attempt;
	effects_send_order(m, now, o, e, NULL, 0);
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
	o = order_to(e, ORDER_STATUS_QUERY, wait_ms + LOOK_TIMEOUT_MS);
	o->ack_through = e->taken;
	o->wait_ms = wait_ms;
	/* Not after a miss: a silent endpoint's lease must come to its end. */
	if (e->runs->len && e->clock_ms >= 0 && !e->misses)
		o->lease_until_ms = extend_lease(e, now);
	e->looking = true;
	effects_send_order(m, now, o, e, NULL, 0);
}

static void send_pace(struct manager *m, clock_ms_t now, struct run *r)
{
	struct order *o = order_to(r->endpoint, ORDER_PACE, CALL_TIMEOUT_MS);

	o->task = g_strdup(r->name);
	o->attempt = r->attempt;
	o->percent = r->pace_wanted;
	r->pace_in_flight = true;
	effects_send_order(m, now, o, r->endpoint, NULL, 0);
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
	if (result->status == ORDER_WRONG_INSTANCE) {
		attempts_endpoint_over(m, now, e);
		return;
	}
	if (result->status == ORDER_NO_ANSWER || result->status == ORDER_NOT_SENT) {
		/* Other orders are also left unsent when they have waited for too long here. */
		e->misses += result->status == ORDER_NO_ANSWER || type == ORDER_STATUS_QUERY;
		return;
	}
	e->misses = 0;
	if (result->clock_ms < 0)
		return;
	endpoint_note_clock(e, result->clock_ms, now);
	if (first)
		lives_bound_earlier_lease(m, e);
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
	case ORDER_INVALID_TICKET:
		g_hash_table_remove_all(m->advice);
		break;
	case ORDER_NO_CAPACITY:
	case ORDER_TRY_LATER:
		health_note_refusal(e, now);
		break;
	default:
		break;
	}
	log_info("start refused", "TASK", r->name, "ENDPOINT", e->id, "STATUS",
		 log_number(result->status));
	attempts_release(m, r, JOB_END_RELEASED, "");
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
static void end_unfollowed(struct manager *m, const struct completion_record *row)
{
	char id[SW_NAME_MAX + 1];
	job_command c = {.type = JOB_COMMAND_END};
	const job_task *task;

	c.job_command_u.end = (job_end){
		.attempt = row->attempt,
		.cause = JOB_END_DONE,
		.checkpoint = row->checkpoint,
	};
	if (row->how != ATTEMPT_DONE ||
	    !attempts_parse_task_name(row->task, id, sizeof(id), &c.job_command_u.end.task))
		return;
	task = jobs_task(m->jobs, &c.job_command_u.end.task);
	if (task && task->phase == JOB_TASK_WAITING && task->attempt == row->attempt)
		effects_propose(m, &c);
}

/// A gang ends as done all at once: its other members are no longer followed.
static void drop_done_members(struct manager *m, const job_task_ref *ref, uint32_t count)
{
	job_task_ref member = *ref;

	for (member.index = 0; member.index < count; member.index++) {
		g_autofree char *name = attempts_task_name(&member);
		struct run *r = g_hash_table_lookup(m->runs, name);

		if (r)
			attempts_drop(m, r);
	}
}

static void take_end(struct manager *m, clock_ms_t now, struct endpoint *e,
		     const struct completion_record *row)
{
	struct run *r = g_hash_table_lookup(m->runs, row->task);

	if (!r || r->endpoint != e || r->attempt != row->attempt) {
		end_unfollowed(m, row);
		return;
	}
	switch (row->how) {
	case ATTEMPT_DONE: {
		job_task_ref ref = r->ref;
		g_autofree char *id = g_strdup(ref.job);
		uint32_t members = r->gang ? r->job->image.spec.steps.steps_val[ref.step].count : 0;

		ref.job = id;
		health_note_done(e);
		g_hash_table_remove(m->failed_at, r->name);
		estimates_note(m, now, r);
		attempts_release(m, r, JOB_END_DONE, row->checkpoint);
		drop_done_members(m, &ref, members);
		return;
	}
	case ATTEMPT_FAILED:
		health_note_failure(e, now, r->ref.job, r->persistent);
		g_hash_table_replace(m->failed_at, g_strdup(r->name), g_strdup(e->id));
		attempts_release(m, r, JOB_END_FAILED, row->checkpoint);
		return;
	case ATTEMPT_INTERRUPTED:
		attempts_release(m, r, JOB_END_RELEASED, row->checkpoint);
		return;
	}
}

static void note_row(struct run *r, clock_ms_t now, const struct running_attempt *row)
{
	if (r->state != RUN_CONFIRMED && r->state != RUN_IN_DOUBT)
		r->progress_at = now;
	/* A start that was held up has arrived after all. Unless its stop was agreed to, the task
	 * stays: ending it could take too many of its step away. */
	if (r->state == RUN_IN_DOUBT && r->stop_wanted && !r->stopped_at) {
		r->stop_wanted = false;
		r->started_at = now;
	}
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
	e->look_at = now + LOOK_GAP_MS;
	if (result->status != ORDER_OK)
		return;
	e->fenced = true;
	e->looked_at = now;
	e->acked = MAX(e->acked, p->ack_through);
	for (guint i = 0; i < result->ends->len; i++) {
		const struct completion_record *row =
			&g_array_index(result->ends, struct completion_record, i);

		if (row->number <= e->taken)
			continue;
		e->taken = row->number;
		take_end(m, now, e, row);
	}
	for (guint i = 0; i < result->runs->len; i++) {
		const struct running_attempt *row =
			&g_array_index(result->runs, struct running_attempt, i);
		struct run *r = g_hash_table_lookup(m->runs, row->task);

		if (r && r->endpoint == e && r->attempt == row->attempt) {
			note_row(r, now, row);
			r->listed_by = p->id;
		} else {
			send_stop(m, now, e, row->task, row->attempt);
		}
	}
	for (guint i = e->runs->len; i > 0 && result->ends->len < ENDS_PAGE; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (r->listed_by == p->id)
			continue;
		if (is_proved_over(r, p->sent_at))
			attempts_release(m, r, JOB_END_RELEASED, r->checkpoint);
		else if (r->state == RUN_IN_DOUBT)
			r->stop_wanted = true; /* its order may still come */
	}
	pace_endpoint(e, now);
	e->attend_at = now;
	m->dirty = true;
}

void runs_result(struct manager *m, clock_ms_t now, const struct pending *p,
		 const struct order_result *result)
{
	struct endpoint *e = lives_find(m, p->endpoint);
	struct run *r;

	if (!e)
		return;
	if (result->incarnation_wall_ms > e->incarnation_wall_ms) {
		if (e->incarnation_wall_ms)
			lives_reborn(m, now, e, result->incarnation_wall_ms);
		e->incarnation_wall_ms = result->incarnation_wall_ms;
		return;
	}
	if (p->incarnation_wall_ms != e->incarnation_wall_ms && e->incarnation_wall_ms)
		return;
	if (p->type == ORDER_STATUS_QUERY)
		e->looking = false;
	note_answer(m, now, e, p->type, result);
	if (e->gone || m->fenced_off)
		return;
	if (p->type == ORDER_STATUS_QUERY) {
		finish_look(m, now, e, p, result);
		if (e->over_at)
			attempts_endpoint_over(m, now, e);
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

/// Tells whether a stop may be sent again to a lasting attempt in doubt: not before a look that is
/// newer than the last one. Its start may have arrived meanwhile, and the task be at work.
static bool may_stop_again(const struct run *r)
{
	return r->state != RUN_IN_DOUBT || !r->persistent || !r->stop_sent_at ||
	       r->endpoint->looked_at > r->stop_sent_at || job_is_over(r->job);
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
	if (r->stop_wanted && !r->stopped_at && !r->stop_in_flight && now >= r->stop_at &&
	    may_stop_again(r)) {
		r->stop_in_flight = true;
		r->stop_sent_at = now;
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

/// Tells whether this replica has dealt with all that came for long enough that an endpoint which
/// answers would have been heard.
static bool hears_well(const struct manager *m, clock_ms_t now)
{
	return now - m->last_lag_at > CALM_MS;
}

/// Tells whether an endpoint is silent and whatever ran there has ended with its lease.
static bool is_lost(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	if (!hears_well(m, now))
		return false;
	if (!e->misses &&
	    now - e->heard_at < SILENT_ANNOUNCEMENTS * (clock_ms_t)m->settings.heartbeat_period_ms)
		return false;
	if (e->clock_ms < 0)
		return now - m->since > m->settings.lease_max_ms + m->settings.lease_max_ms / 20;
	return endpoint_lease_over(e, now);
}

static void tick_endpoint(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	if (e->over_at || (e->left && now - e->heard_at > LEFT_DELAY_MS)) {
		attempts_endpoint_over(m, now, e);
		return;
	}
	if (e->runs->len && is_lost(m, e, now)) {
		log_warning("leases of a silent endpoint have ended", "ENDPOINT", e->id, "RUNS",
			    log_number(e->runs->len));
		attempts_release_all(m, e);
	}
	if (now >= e->attend_at) {
		e->attend_at = now + ATTEND_MS;
		for (guint i = 0; i < e->runs->len; i++)
			tick_run(m, now, e->runs->pdata[i]);
	}
	if (wants_look(e, now))
		send_look(m, now, e);
}

void runs_tick(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < m->next_endpoint_pass_at)
		return;
	m->next_endpoint_pass_at = now + RUNS_PERIOD_MS;
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;

		if (!e->gone)
			tick_endpoint(m, now, e);
		if (e->runs->len)
			continue;
		if (e->gone) {
			g_hash_table_iter_steal(&iter);
			g_hash_table_replace(m->terminated_endpoints, e->id, e);
		} else if (now - e->heard_at > FORGET_ENDPOINT_MS) {
			g_ptr_array_remove_fast(m->capacity_changed, e);
			g_hash_table_iter_remove(&iter);
		}
	}
}
