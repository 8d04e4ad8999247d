#include "runs/runs.h"

#include "base/log.h"
#include "runs/attempts.h"
#include "runs/incarnations.h"
#include "sched/advice.h"
#include "sched/estimates.h"
#include "sched/health.h"
#include "sched/interference.h"
#include "sched/pace.h"
#include "sched/suspects.h"

#include <stdlib.h>
#include <string.h>

#define STATUS_WAIT_MS 1000	  /* short enough to renew a lease of 4.5 s three times */
#define STATUS_WAIT_SHARED_MS 300 /* half the window of the usage figures */
/// While a maintenance wave is open and a long-running task starts: the next machine waits until
/// the task is known to be ready, half of this on average. A fifth of a short start-up.
#define STATUS_WAIT_STARTING_MS 200
/// Without attempts: a restart is noticed before a start that is late is likely to arrive, and a
/// query a second more for 15 s after a lost start costs little.
#define STATUS_WAIT_LATE_MS 300
/// Added to the wait; an answer takes under 10 ms on healthy links.
#define STATUS_TIMEOUT_MS 700
#define STATUS_INTERVAL_MS 25 /* one status query collects completions that are close together */
#define ANSWER_MAX_MS 120     /* from the end of the wait until the answer is read */
#define RUN_TIME_MIN_MS 50    /* above STATUS_INTERVAL_MS, below the run time of tasks */
#define STATUS_FRESH_MS 50    /* a few passes over the endpoints */
/// ENDPOINT_LEASE_MS, less 2% for the endpoint's clock and the time until a query counts as
/// unanswered.
#define LEASE_FRESH_MS 2500
#define FINAL_ACK_DELAY_MS 150 /* a new start at the endpoint often acknowledges them sooner */
#define CALL_TIMEOUT_MS 900
#define START_SEND_MAX_MS 1500 /* a start not sent within this time is placed again */
/// Time without an answer after which a start or a status query is repeated. Fifteen times an
/// answer on healthy links, a tenth of the run time of common tasks.
#define REPEAT_AFTER_MS 150
#define START_COPIES_MAX 3   /* with both lost, a third is lost as well at 7 of 10,000 starts */
#define REPEAT_LAG_MAX_MS 50 /* several commits: later answers may wait at this replica */
#define REPEAT_CHECK_MS 25   /* while the budget or the lag forbids a repeat that is due */
#define ENDPOINT_PASS_MS 10  /* below STATUS_INTERVAL_MS; each pass visits all attempts */
#define RETRY_MS 120
#define LAG_RECOVERY_MS 2500 /* covers a status query with its wait, and the next one */
/// Period of the checks for stops, stalls and pace changes that no event triggers.
#define RUN_CHECK_INTERVAL_MS 100
#define DEREGISTRATION_DELAY_MS 300	/* from deregistration to termination */
#define STALL_MS 2500			/* without progress while status queries are answered */
#define STALL_GANG_MS 6000		/* a gang first waits for all its members */
#define STALL_LONG_RUNNING_MS 8000	/* covers the start-up of a long-running task */
#define UNASSIGNED_LOG_INTERVAL_MS 1000 /* of one endpoint */
#define COMPLETIONS_PAGE_MAX 500	/* most completion records in one status answer */

/// @return false if the incarnation cannot be stored: it must get no attempt
static bool register_incarnation(struct manager *m, struct endpoint *e)
{
	job_command c = {
		.type = JOB_COMMAND_INCARNATION,
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

	if (e->number && jobs_incarnation(m->jobs, e->number))
		return true;
	e->number = m->jobs->next_endpoint;
	return effects_propose(m, &c);
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
	/* Not through an agent if its path may have failed, or if a refused connection matters. */
	o->direct = e->unanswered_calls > 0 || e->deregistered;
	return o;
}

/// Sends an order that is not a repeat to an endpoint. Takes ownership of @p o.
static void send_order(struct manager *m, clock_ms_t now, struct order *o, struct endpoint *e)
{
	repeat_budget_record_order(&m->repeat_budget, now);
	effects_send_order(m, now, o, e, NULL, 0);
}

/// Tells whether an order without an answer may be repeated now, and takes it from the budget. A
/// leader that lags may only not have read the answer.
static bool take_repeat(struct manager *m, clock_ms_t now)
{
	return m->lag_ms < REPEAT_LAG_MAX_MS && repeat_budget_take(&m->repeat_budget, now);
}

/// Records that a new lease may be granted by an order that leaves no later than @p sent_by.
///
/// @return end of the lease on the endpoint's clock, ms
static int64_t extend_lease(struct endpoint *e, clock_ms_t now, clock_ms_t sent_by)
{
	int64_t until = endpoint_clock_now_ms(e, now) + ENDPOINT_LEASE_MS;

	e->lease_end_ms = MAX(e->lease_end_ms, until);
	e->lease_sent_by = MAX(e->lease_sent_by, sent_by);
	return until;
}

/// Makes one copy of the start order of an attempt. All copies time out together and leave within
/// the same time. None grants a longer lease than the leader knows of, which an answer may have
/// shortened since the first copy.
static struct order *make_start(const struct run *r, clock_ms_t now)
{
	struct endpoint *e = r->endpoint;
	struct order *o =
		order_to(e, ORDER_START, (uint32_t)(CALL_TIMEOUT_MS - (now - r->ordered_at)));

	o->task = g_strdup(r->name);
	o->attempt = r->attempt;
	o->payload = g_strdup(r->job->image.spec.payload);
	o->checkpoint = g_strdup(r->checkpoint);
	o->ticket = g_strdup(r->ticket);
	o->not_after = r->start_not_after;
	o->lease_until_ms = MIN(r->start_lease_until_ms, e->lease_end_ms);
	return o;
}

static void record_start_sent(struct run *r, clock_ms_t now)
{
	struct endpoint *e = r->endpoint;

	r->starts_sent++;
	r->starts_open++;
	r->start_sent_at = now;
	if (r->starts_sent < START_COPIES_MAX)
		e->next_repeat_at = MIN(e->next_repeat_at, now + REPEAT_AFTER_MS);
}

/// Tells whether a copy of the start of an attempt may still be sent. One that would leave after
/// the time-out of the first copy could not be answered in time.
static bool may_repeat_start(const struct run *r, clock_ms_t now)
{
	return r->state == RUN_ORDERED && !r->stop_wanted && !job_has_ended(r->job) &&
	       r->starts_sent < START_COPIES_MAX && now <= r->start_not_after &&
	       now - r->ordered_at <= CALL_TIMEOUT_MS - REPEAT_AFTER_MS;
}

/// Sends again the starts that have had no answer for long.
static void repeat_starts(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	/* An endpoint that leaves or is silent gets nothing new. */
	bool is_in_use =
		!e->terminated_at && !e->draining && !e->deregistered && !e->unanswered_calls;

	e->next_repeat_at = CLOCK_NEVER;
	for (guint i = 0; i < e->runs->len && is_in_use; i++) {
		struct run *r = e->runs->pdata[i];
		clock_ms_t due_at = r->start_sent_at + REPEAT_AFTER_MS;
		struct order *o;

		if (!may_repeat_start(r, now))
			continue;
		if (now < due_at) {
			e->next_repeat_at = MIN(e->next_repeat_at, due_at);
			continue;
		}
		if (!take_repeat(m, now)) {
			e->next_repeat_at = MIN(e->next_repeat_at, now + REPEAT_CHECK_MS);
			continue;
		}
		o = make_start(r, now);
		o->direct = true; /* the agent's path may have failed */
		o->is_repeat = true;
		record_start_sent(r, now);
		log_debug("start repeated", "TASK", r->name, "ATTEMPT", log_number(r->attempt),
			  "ENDPOINT", e->id, "COPY", log_number(r->starts_sent));
		effects_send_order(m, now, o, e, NULL, 0);
	}
}

void runs_start(struct manager *m, clock_ms_t now, struct endpoint *e, struct job *job,
		const job_task_ref *ref, uint32_t attempt, const char *ticket)
{
	const job_task *task = jobs_task(m->jobs, ref);
	job_command c = {.type = JOB_COMMAND_ATTEMPT_START};
	struct run *r;

	if (!register_incarnation(m, e))
		return;
	r = attempts_add(m, now, e, job, ref, attempt);
	g_free(r->checkpoint);
	r->checkpoint = g_strdup(task->checkpoint);
	r->ticket = g_strdup(ticket);
	r->ordered_at = now;
	r->start_not_after = now + START_SEND_MAX_MS;
	r->start_lease_until_ms = extend_lease(e, now, r->start_not_after);
	c.job_command_u.start = (job_attempt_start){.endpoint = e->number,
						    .attempt = attempt,
						    .at_wall_ms = now + m->wall_offset_ms,
						    .task = r->ref};
	effects_propose(m, &c);
	m->backlog.starts++;
	log_debug("attempt ordered", "TASK", r->name, "ATTEMPT", log_number(attempt), "ENDPOINT",
		  e->id, "MACHINE", e->machine, "POOL", e->pool);
	record_start_sent(r, now);
	send_order(m, now, make_start(r, now), e);
}

static void send_stop(struct manager *m, clock_ms_t now, struct endpoint *e, const char *task,
		      uint32_t attempt)
{
	struct order *o = order_to(e, ORDER_STOP, CALL_TIMEOUT_MS);

	o->task = g_strdup(task);
	o->attempt = attempt;
	send_order(m, now, o, e);
}

/// @return true if latency-sensitive and best-effort tasks share the endpoint
static bool is_shared(const struct endpoint *e)
{
	return e->latency_sensitive && e->best_effort;
}

/// @return number up to which the endpoint may forget its completions. A later incarnation counts
/// anew: while an attempt may have run and ended there, nothing is acknowledged, or it would forget
/// that completion before an answer has listed it. For an attempt that is listed, and of whose
/// start a copy may be late, the known incarnation must have answered just before.
static uint64_t ack_through(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		clock_ms_t since = r->listed_by ? e->last_status_at : r->started_at;

		if (now - since > RUN_TIME_MIN_MS && attempts_may_start_late(m, r, now))
			return 0;
	}
	return e->last_completion;
}

/// Tells whether a maintenance wave may wait until a long-running task at an endpoint is ready.
static bool delays_maintenance(const struct manager *m, const struct endpoint *e)
{
	if (!e->long_running || !g_hash_table_size(m->due_machines))
		return false;
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		if (r->long_running && !r->ready_since && !r->stop_wanted)
			return true;
	}
	return false;
}

static uint32_t status_wait_ms(const struct manager *m, const struct endpoint *e)
{
	if (suspects_job_on_trial(e))
		return SUSPECTS_START_MS;
	if (delays_maintenance(m, e))
		return STATUS_WAIT_STARTING_MS;
	return is_shared(e) ? STATUS_WAIT_SHARED_MS : STATUS_WAIT_MS;
}

static void send_status_query(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	bool verifies = incarnations_needs_verification(e, now);
	struct order *o;
	uint32_t wait_ms = 0;

	if (verifies)
		e->verified_at = now;
	else if (!e->runs->len && now < e->late_start_until && e->fenced && !e->unanswered_calls)
		wait_ms = STATUS_WAIT_LATE_MS;
	else if (e->runs->len && e->fenced && !e->unanswered_calls)
		wait_ms = status_wait_ms(m, e);
	o = order_to(e, ORDER_STATUS_QUERY, wait_ms + STATUS_TIMEOUT_MS);
	o->ack_through = ack_through(m, e, now);
	o->wait_ms = wait_ms;
	/* No lease after an unanswered call: the lease of an unresponsive endpoint must expire. */
	if (e->runs->len && e->clock_ms >= 0 && !e->unanswered_calls)
		o->lease_until_ms = extend_lease(e, now, now);
	send_order(m, now, o, e);
	if (verifies) {
		e->verification = m->next_order;
		return;
	}
	e->status_query_open = true;
	e->status_query = m->next_order;
	e->status_repeat = 0;
	e->status_sent_at = now;
	e->status_wait_ms = wait_ms;
}

/// Sends a status query after one that should have been answered. It waits for nothing, and grants
/// no lease, since the endpoint may be unresponsive. Both queries time out together.
static void repeat_status_query(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	clock_ms_t left_ms = e->status_sent_at + e->status_wait_ms + STATUS_TIMEOUT_MS - now;
	struct order *o = order_to(e, ORDER_STATUS_QUERY, (uint32_t)left_ms);

	o->ack_through = ack_through(m, e, now);
	o->direct = true; /* the agent's path may have failed */
	o->is_repeat = true;
	effects_send_order(m, now, o, e, NULL, 0);
	e->status_repeat = m->next_order;
}

/// Notes the result of a status query other than a verification. The answer of the latest query or
/// of its repeat makes room for the next one; a missing answer of the first does not while the
/// repeat is open.
static void record_query_result(struct endpoint *e, const struct pending_order *p,
				const struct order_result *result)
{
	bool is_latest = p->id == (e->status_repeat ? e->status_repeat : e->status_query);

	if (is_latest || (p->id == e->status_query && result->status == ORDER_OK))
		e->status_query_open = false;
}

static void send_pace(struct manager *m, clock_ms_t now, struct run *r)
{
	struct order *o = order_to(r->endpoint, ORDER_PACE, CALL_TIMEOUT_MS);

	o->task = g_strdup(r->name);
	o->attempt = r->attempt;
	o->percent = r->pace_wanted;
	r->pace_in_flight = true;
	send_order(m, now, o, r->endpoint);
}

/* Results. */

/// Bounds the time at which an endpoint ended, if it has, by the first call without an answer.
static void record_silence(struct endpoint *e, clock_ms_t now, const struct pending_order *p)
{
	if (e->silent_by <= e->last_alive_at)
		e->silent_by = MIN(now, p->sent_at + p->wait_ms + ANSWER_MAX_MS);
}

/// Tells whether a call without an answer shows that its endpoint may be unresponsive: it has
/// answered no call that was sent at the same time or later.
static bool shows_silence(const struct endpoint *e, const struct pending_order *p)
{
	return p->sent_at > e->answered_sent_at;
}

/// Tells whether a call proves that an endpoint which has said that it leaves has ended: it was
/// sent after that to an address at which the incarnation had answered, and nothing listens there.
static bool proves_departure(const struct endpoint *e, const struct pending_order *p,
			     const struct order_result *result)
{
	return result->refused && e->deregistered && p->sent_at >= e->deregistered_at &&
	       e->fenced && e->last_status_at <= p->sent_at;
}

static void record_response(struct manager *m, clock_ms_t now, struct endpoint *e,
			    const struct pending_order *p, const struct order_result *result)
{
	if (result->status == ORDER_FENCED) {
		m->fenced_off = true;
		return;
	}
	if (result->status == ORDER_WRONG_INSTANCE) {
		attempts_handle_loss(m, now, e, ENDPOINT_END_REPLACED);
		return;
	}
	if (result->status == ORDER_NO_ANSWER || result->status == ORDER_NOT_SENT) {
		/* Other orders may be unsent only because they waited too long at this replica. */
		if (shows_silence(e, p) &&
		    (result->status == ORDER_NO_ANSWER || p->type == ORDER_STATUS_QUERY)) {
			record_silence(e, now, p);
			e->unanswered_calls++;
			e->unanswered_at = now;
		}
		if (proves_departure(e, p, result) && shows_silence(e, p))
			e->refused_at = now;
		return;
	}
	e->refused_at = 0;
	e->answered_sent_at = MAX(e->answered_sent_at, p->sent_at);
	if (e->unanswered_calls) {
		log_info("endpoint answers again", "ENDPOINT", e->id, "UNANSWERED",
			 log_number(e->unanswered_calls), "SINCE_MS",
			 log_number((uint64_t)(now - e->unanswered_at)));
		e->unanswered_calls = 0;
		manager_mark_capacity_changed(m, e);
	}
	/* Without a start time the reading may be of another incarnation's clock. */
	if (result->clock_ms < 0 || result->incarnation_wall_ms != e->incarnation_wall_ms)
		return;
	if (endpoint_correct_clock(e, result->clock_ms, p->sent_at, now, m->settings.lease_max_ms))
		log_info("clock reading of an endpoint was false; corrected by its answer",
			 "ENDPOINT", e->id);
	endpoint_record_clock(e, result->clock_ms, now);
}

/// Counts the result of one copy of an attempt's start, whichever incarnation gave it.
static void record_start_result(struct run *r, const struct order_result *result)
{
	r->starts_open--;
	r->starts_lost += result->status == ORDER_NO_ANSWER;
	r->start_is_executed |= result->status == ORDER_OK;
	r->not_executed |= result->status == ORDER_WRONG_INSTANCE && !r->starts_open &&
			   !r->starts_lost && !r->start_is_executed && !r->listed_before;
}

/// Leaves an attempt in doubt until a status query shows whether it runs.
static void put_in_doubt(struct run *r, clock_ms_t now)
{
	attempts_set_state(r, RUN_IN_DOUBT);
	r->endpoint->next_status_at = MIN(r->endpoint->next_status_at, now);
}

/// Handles a copy without an answer, or that was not sent. The others decide while one is open.
static void handle_start_unanswered(struct manager *m, clock_ms_t now, struct run *r,
				    const struct pending_order *p, enum order_status status)
{
	bool is_silent = status == ORDER_NO_ANSWER && shows_silence(r->endpoint, p);

	if (is_silent)
		health_record_no_answer(r->endpoint, now);
	if (r->starts_open)
		return;
	if (r->starts_lost) {
		put_in_doubt(r, now);
		return;
	}
	log_info("start was not sent; the task waits again", "TASK", r->name, "ENDPOINT",
		 r->endpoint->id);
	attempts_release(m, r, JOB_ATTEMPT_RELEASED, "");
}

static void handle_start_result(struct manager *m, clock_ms_t now, struct run *r,
				const struct pending_order *p, const struct order_result *result)
{
	struct endpoint *e = r->endpoint;

	/* An earlier answer, or a list, has told what became of the attempt. An end that another
	 * copy runs into is listed by the next status query. */
	if (r->state != RUN_ORDERED) {
		if (result->status == ORDER_SUPERSEDED)
			e->next_status_at = now;
		return;
	}
	switch (result->status) {
	case ORDER_OK:
		attempts_set_state(r, RUN_CONFIRMED);
		r->started_at = now;
		r->confirmed_at = now;
		r->progress_at = now;
		return;
	case ORDER_NO_ANSWER:
	case ORDER_NOT_SENT:
		handle_start_unanswered(m, now, r, p, result->status);
		return;
	case ORDER_SUPERSEDED:
		/* It may have run and ended already; the next status query shows that. No other
		 * copy is executed at this incarnation from now on. */
		attempts_set_state(r, RUN_IN_DOUBT);
		r->stop_wanted = true;
		r->stopped_at = now;
		e->next_status_at = now;
		return;
	case ORDER_INVALID_TICKET:
		advice_forget_endpoint(m, e->id);
		break;
	case ORDER_NO_CAPACITY:
	case ORDER_TRY_LATER:
		health_record_refusal(e, now);
		break;
	default:
		break;
	}
	if (r->starts_open || r->starts_lost) { /* another copy may still be executed */
		put_in_doubt(r, now);
		return;
	}
	log_info("start was not executed; the task waits again", "TASK", r->name, "ENDPOINT", e->id,
		 "STATUS", log_number(result->status));
	attempts_release(m, r, JOB_ATTEMPT_RELEASED, "");
}

static void handle_stop_result(struct run *r, clock_ms_t now, const struct order_result *result)
{
	r->stop_in_flight = false;
	r->stop_at = now + RETRY_MS;
	if (result->status != ORDER_OK)
		return;
	r->stopped_at = now;
	r->endpoint->next_status_at = MIN(r->endpoint->next_status_at, now);
}

/// @return number of members of the gang that a task belongs to, or 0
static uint32_t count_members(const struct job *job, const job_task_ref *ref)
{
	const job_step *step = &job->image.spec.steps.steps_val[ref->step];

	return step->gang ? step->count : 0;
}

/// Tells whether the task of a tracked attempt is still assigned to it.
static bool is_assigned(const struct manager *m, const struct run *r)
{
	const job_task *task = jobs_task(m->jobs, &r->ref);

	return task && task->phase == JOB_TASK_ASSIGNED && task->attempt == r->attempt;
}

/// Stops tracking the members of a gang that completed with another one. A gang of long-running
/// tasks does not complete: each member is released by its own end.
static void untrack_gang_members(struct manager *m, const job_task_ref *ref, uint32_t count)
{
	job_task_ref member = *ref;

	for (member.index = 0; member.index < count; member.index++) {
		g_autofree char *name = attempts_task_name(&member);
		struct run *r = g_hash_table_lookup(m->runs, name);

		if (r && !is_assigned(m, r))
			attempts_untrack(m, r);
	}
}

/// Records the completion of an attempt that is no longer tracked. Other members of its gang may
/// still be: their tasks complete with it, and their job may no longer hold its steps.
static void complete_untracked(struct manager *m, const struct endpoint *e,
			       const struct completion_record *row)
{
	char id[SW_NAME_MAX + 1];
	job_command c = {.type = JOB_COMMAND_ATTEMPT_END};
	const job_task_ref *ref = &c.job_command_u.end.task;
	const job_task *task;
	uint32_t members;

	c.job_command_u.end = (job_attempt_end){
		.attempt = row->attempt,
		.cause = JOB_ATTEMPT_DONE,
		.checkpoint = (char *)"",
	};
	if (row->outcome != ATTEMPT_DONE ||
	    !attempts_parse_task_name(row->task, id, sizeof(id), &c.job_command_u.end.task))
		return;
	task = jobs_task(m->jobs, ref);
	if (!task || task->phase != JOB_TASK_WAITING || task->attempt != row->attempt)
		return;
	members = count_members(jobs_find(m->jobs, ref->job), ref);
	log_info("attempt was done when it was released", "TASK", row->task, "ATTEMPT",
		 log_number(row->attempt), "ENDPOINT", e->id, "MEMBERS", log_number(members));
	effects_propose(m, &c);
	untrack_gang_members(m, ref, members);
}

/// @param age_ms  time since the status query that returned the record was sent
static void apply_completion(struct manager *m, clock_ms_t now, struct endpoint *e,
			     const struct completion_record *row, clock_ms_t age_ms)
{
	struct run *r = g_hash_table_lookup(m->runs, row->task);

	if (!r || r->endpoint != e || r->attempt != row->attempt) {
		complete_untracked(m, e, row);
		return;
	}
	r->completion = row->number;
	r->completion_age_ms = age_ms;
	interference_record_end(m, now, r, row->outcome == ATTEMPT_DONE);
	switch (row->outcome) {
	case ATTEMPT_DONE: {
		job_task_ref ref = r->ref;
		g_autofree char *id = g_strdup(ref.job);
		uint32_t members = count_members(r->job, &ref);

		ref.job = id;
		health_record_success(e);
		g_hash_table_remove(m->failed_at, r->name);
		estimates_record(m, now, r);
		attempts_release(m, r, JOB_ATTEMPT_DONE, row->checkpoint);
		untrack_gang_members(m, &ref, members);
		return;
	}
	case ATTEMPT_FAILED:
		health_record_failure(e, now, r->ref.job, r->long_running);
		g_hash_table_replace(m->failed_at, g_strdup(r->name), g_strdup(e->id));
		attempts_release(m, r, JOB_ATTEMPT_FAILED, row->checkpoint);
		return;
	case ATTEMPT_INTERRUPTED:
		attempts_release(m, r, JOB_ATTEMPT_RELEASED, row->checkpoint);
		return;
	}
}

static void update_run(struct run *r, clock_ms_t now, const struct running_attempt *row)
{
	if (r->state != RUN_CONFIRMED && r->state != RUN_IN_DOUBT)
		r->progress_at = now;
	r->loss = JOB_ATTEMPT_RELEASED; /* it runs in the present incarnation */
	/* A delayed start has arrived. Keep the task unless its stop was acknowledged: ending it
	 * could make too many tasks of its step unavailable. */
	if (r->state == RUN_IN_DOUBT && r->stop_wanted && !r->stopped_at) {
		r->stop_wanted = false;
		r->started_at = now;
	}
	if (r->state != RUN_CONFIRMED && (r->state != RUN_IN_DOUBT || !r->stop_wanted)) {
		attempts_set_state(r, RUN_CONFIRMED);
		r->confirmed_at = now;
	}
	if (row->percent != r->percent)
		r->progress_at = now;
	if (r->long_running && row->percent >= 100)
		r->progress_at = now;
	if (!r->long_running || row->percent < 100 || now - r->endpoint->leased_at > LEASE_FRESH_MS)
		r->ready_since = 0;
	else if (!r->ready_since)
		r->ready_since = now;
	r->percent = row->percent;
	r->usage = row->usage;
	if (*row->checkpoint && g_strcmp0(r->checkpoint, row->checkpoint) != 0) {
		g_free(r->checkpoint);
		r->checkpoint = g_strdup(row->checkpoint);
	}
}

/// @return true if the absence of an attempt from a status query sent at @p sent_at proves that the
/// attempt has ended
static bool is_proven_ended(const struct run *r, clock_ms_t sent_at)
{
	switch (r->state) {
	case RUN_ORDERED:
		return false;
	case RUN_INHERITED:
		return true;
	case RUN_CONFIRMED:
		return r->confirmed_at < sent_at;
	case RUN_IN_DOUBT:
		return r->stopped_at && r->stopped_at <= sent_at;
	}
	return false;
}

/// Stops an attempt that runs at an endpoint to which it is not assigned.
static void stop_unassigned(struct manager *m, clock_ms_t now, struct endpoint *e,
			    const struct running_attempt *row, const struct run *r)
{
	if (now >= e->next_unassigned_log_at) {
		e->next_unassigned_log_at = now + UNASSIGNED_LOG_INTERVAL_MS;
		log_info("endpoint runs an attempt that is not assigned to it; stopping it", "TASK",
			 row->task, "ATTEMPT", log_number(row->attempt), "ENDPOINT", e->id,
			 "INCARNATION", log_number((uint64_t)e->incarnation_wall_ms),
			 "ASSIGNED_ENDPOINT", r ? r->endpoint->id : "", "ASSIGNED_ATTEMPT",
			 log_number(r ? r->attempt : 0));
	}
	send_stop(m, now, e, row->task, row->attempt);
}

static void handle_status_result(struct manager *m, clock_ms_t now, struct endpoint *e,
				 const struct pending_order *p, const struct order_result *result)
{
	e->next_status_at = now + STATUS_INTERVAL_MS;
	if (result->status != ORDER_OK)
		return;
	e->fenced = true;
	e->last_status_at = now;
	if (p->lease_until_ms)
		e->leased_at = MAX(e->leased_at, p->sent_at);
	e->acked_completion = MAX(e->acked_completion, p->ack_through);
	for (guint i = 0; i < result->completions->len; i++) {
		const struct completion_record *row =
			&g_array_index(result->completions, struct completion_record, i);

		if (row->number <= e->last_completion)
			continue;
		e->last_completion = row->number;
		apply_completion(m, now, e, row, now - p->sent_at);
	}
	for (guint i = 0; i < result->runs->len; i++) {
		const struct running_attempt *row =
			&g_array_index(result->runs, struct running_attempt, i);
		struct run *r = g_hash_table_lookup(m->runs, row->task);

		if (r && r->endpoint == e && r->attempt == row->attempt) {
			update_run(r, now, row);
			r->listed_by = p->id;
			r->listed_before = true;
		} else {
			stop_unassigned(m, now, e, row, r);
		}
	}
	for (guint i = e->runs->len; i > 0 && result->completions->len < COMPLETIONS_PAGE_MAX;
	     i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (r->listed_by == p->id)
			continue;
		if (is_proven_ended(r, p->sent_at))
			attempts_release(m, r, JOB_ATTEMPT_RELEASED, r->checkpoint);
		else if (r->state == RUN_IN_DOUBT)
			r->stop_wanted = true; /* its start order may still arrive */
	}
	interference_record_status(m, now, e, p->id);
	pace_update_endpoint(e, now);
	e->next_check_at = now;
	m->round_wanted = true;
}

/// Handles an answer that another incarnation gave under the id of an endpoint.
static void handle_restart_answer(struct manager *m, clock_ms_t now, struct endpoint *e,
				  int64_t incarnation_wall_ms)
{
	if (e->incarnation_wall_ms)
		incarnations_handle_restart(m, now, e, incarnation_wall_ms);
	e->incarnation_wall_ms = incarnation_wall_ms;
	incarnations_adopt_announced(m, now, e);
}

void runs_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			const struct order_result *result)
{
	struct endpoint *e = incarnations_find_endpoint(m, p->endpoint);
	struct run *r = p->task ? g_hash_table_lookup(m->runs, p->task) : NULL;

	if (!e)
		return;
	if (r && r->attempt == p->attempt && r->endpoint == e && p->type == ORDER_START)
		record_start_result(r, result);
	if (result->incarnation_wall_ms > e->incarnation_wall_ms) {
		handle_restart_answer(m, now, e, result->incarnation_wall_ms);
		return;
	}
	if (p->incarnation_wall_ms != e->incarnation_wall_ms && e->incarnation_wall_ms)
		return;
	/* Only a false announcement can have put a later incarnation in the place of this one. */
	if (result->incarnation_wall_ms && result->incarnation_wall_ms < e->incarnation_wall_ms) {
		handle_restart_answer(m, now, e, result->incarnation_wall_ms);
		return;
	}
	if (p->type == ORDER_STATUS_QUERY)
		record_query_result(e, p, result);
	if (p->type == ORDER_STATUS_QUERY && result->status == ORDER_OK &&
	    result->incarnation_wall_ms == e->incarnation_wall_ms) {
		incarnations_handle_answer(e, p->sent_at);
		attempts_drop_losses(m, e);
	}
	record_response(m, now, e, p, result);
	if (e->terminated || m->fenced_off)
		return;
	if (p->type == ORDER_STATUS_QUERY) {
		handle_status_result(m, now, e, p, result);
		if (e->terminated_at)
			attempts_handle_termination(m, now, e);
		return;
	}
	r = g_hash_table_lookup(m->runs, p->task);
	if (!r || r->attempt != p->attempt || r->endpoint != e)
		return;
	switch (p->type) {
	case ORDER_START:
		handle_start_result(m, now, r, p, result);
		break;
	case ORDER_STOP:
		handle_stop_result(r, now, result);
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

/* Periodic pass. */

static bool is_stalled(const struct run *r)
{
	clock_ms_t bound = r->long_running ? STALL_LONG_RUNNING_MS
			   : r->gang	   ? STALL_GANG_MS
					   : STALL_MS;

	if (r->state != RUN_CONFIRMED || r->pace < PACE_FULL || r->stop_wanted)
		return false;
	return r->endpoint->last_status_at - r->progress_at > bound;
}

/// Tells whether a stop may be sent again. For a long-running attempt in doubt this requires a
/// status answer that is newer than the last stop and fresh, since the start may have arrived and
/// the task be ready.
static bool may_stop_again(const struct run *r, clock_ms_t now)
{
	const struct endpoint *e = r->endpoint;

	if (r->state != RUN_IN_DOUBT || !r->long_running || !r->stop_sent_at ||
	    job_has_ended(r->job))
		return true;
	return e->last_status_at > r->stop_sent_at && now - e->last_status_at <= STATUS_FRESH_MS;
}

static void check_run(struct manager *m, clock_ms_t now, struct run *r)
{
	if (job_has_ended(r->job) && !job_keeps_running(r->job, r->ref.step))
		r->stop_wanted = true;
	if (is_stalled(r)) {
		log_info("attempt makes no progress; stopping it", "TASK", r->name, "ENDPOINT",
			 r->endpoint->id, "PERCENT", log_number(r->percent));
		r->stop_wanted = true;
		health_record_failure(r->endpoint, now, r->name, false);
	}
	if (r->stop_wanted && !r->stopped_at && !r->stop_in_flight && now >= r->stop_at &&
	    may_stop_again(r, now)) {
		r->stop_in_flight = true;
		r->stop_sent_at = now;
		send_stop(m, now, r->endpoint, r->name, r->attempt);
	}
	if (r->pace_wanted != r->pace && !r->pace_in_flight && r->state == RUN_CONFIRMED)
		send_pace(m, now, r);
}

/// Tells whether an endpoint that left calls unanswered is due for a probe: only an answer makes it
/// eligible again, and a heartbeat shows that it may answer. At most one probe for each heartbeat.
static bool needs_probe(const struct endpoint *e)
{
	return e->unanswered_calls && e->last_heartbeat_at > e->unanswered_at;
}

static bool needs_status_query(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	/* A query that waits for long would not tell when an attempt on trial ends its endpoint, or
	 * when a long-running task is ready. */
	bool is_open = e->status_query_open &&
		       (e->status_wait_ms <= SUSPECTS_START_MS || !suspects_job_on_trial(e)) &&
		       (e->status_wait_ms <= STATUS_WAIT_SHARED_MS || !delays_maintenance(m, e));

	if (is_open || e->terminated || e->terminated_at || now < e->next_status_at)
		return false;
	if (e->runs->len || (e->needs_fencing && !e->fenced) || needs_probe(e) ||
	    now < e->late_start_until)
		return true;
	return e->last_completion > e->acked_completion &&
	       now >= e->next_status_at + FINAL_ACK_DELAY_MS;
}

static bool needs_repeated_query(const struct endpoint *e, clock_ms_t now)
{
	return e->status_query_open && !e->status_repeat && !e->unanswered_calls &&
	       !e->terminated_at &&
	       now >= e->status_sent_at + e->status_wait_ms + REPEAT_AFTER_MS &&
	       now < e->status_sent_at + e->status_wait_ms + STATUS_TIMEOUT_MS;
}

/// Tells whether this replica has kept up long enough to have received any answer or heartbeat of a
/// live endpoint.
static bool has_caught_up(const struct manager *m, clock_ms_t now)
{
	return now - m->last_lag_at > LAG_RECOVERY_MS;
}

/// Tells whether every lease has ended, on any endpoint's clock, that an order granted which was
/// sent no later than @p sent_by.
static bool longest_lease_has_ended(const struct manager *m, clock_ms_t sent_by, clock_ms_t now)
{
	return now - sent_by > m->settings.lease_max_ms + m->settings.lease_max_ms / 20;
}

/// Tells whether an endpoint is unresponsive and its lease has expired.
static bool is_lost(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	if (!has_caught_up(m, now))
		return false;
	if (!e->unanswered_calls &&
	    now - e->last_heartbeat_at <
		    MISSED_HEARTBEATS_MAX * (clock_ms_t)m->settings.heartbeat_period_ms)
		return false;
	if (!longest_lease_has_ended(m, e->known_since, now))
		return false;
	return e->clock_ms < 0 ? longest_lease_has_ended(m, e->lease_sent_by, now)
			       : endpoint_lease_has_ended(e, now);
}

/// Tells whether an attempt of a lost endpoint has certainly ended. One that the known incarnation
/// has not listed may run at a later incarnation.
static bool lease_has_ended(const struct manager *m, const struct run *r, clock_ms_t now)
{
	return !attempts_may_start_late(m, r, now) ||
	       longest_lease_has_ended(m, r->endpoint->lease_sent_by, now);
}

/// Releases the attempts of a lost endpoint that have certainly ended.
static void release_lost(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	guint runs = 0;

	for (guint i = 0; i < e->runs->len; i++)
		runs += lease_has_ended(m, e->runs->pdata[i], now);
	if (!runs)
		return;
	log_warning("leases of an unresponsive endpoint have expired; releasing its attempts",
		    "ENDPOINT", e->id, "RUNS", log_number(runs));
	if (!attempts_end_is_expected(m, now, e))
		attempts_judge_loss(m, now, e, ENDPOINT_END_SILENT);
	for (guint i = e->runs->len; i > 0; i--) {
		struct run *r = e->runs->pdata[i - 1];

		if (lease_has_ended(m, r, now))
			attempts_release_silent(m, r);
	}
}

/// Tells whether a start order for this endpoint may still be executed, other than of an attempt
/// that no incarnation has listed to this leader and that it did not start.
static bool has_late_start(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		if (r->state != RUN_INHERITED && attempts_may_start_late(m, r, now))
			return true;
	}
	return false;
}

/// Tells whether a deregistered endpoint has terminated. It had said that it drains, and its
/// process is gone: its host refuses connections. An endpoint that is only silent may run on behind
/// a partition until its leases have ended, whatever it has said. An attempt whose start may be
/// executed late may run at a later incarnation, which a status query finds.
static bool has_left(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	if (!e->deregistered || !e->draining ||
	    now - e->deregistered_at <= DEREGISTRATION_DELAY_MS || has_late_start(m, e, now))
		return false;
	if (e->refused_at)
		return true;
	return !e->runs->len && e->unanswered_calls && e->unanswered_at > e->deregistered_at &&
	       is_lost(m, e, now);
}

static void check_endpoint(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	if (e->terminated_at || has_left(m, e, now)) {
		attempts_handle_termination(m, now, e);
		return;
	}
	if (e->runs->len && is_lost(m, e, now))
		release_lost(m, now, e);
	if (now >= e->next_check_at) {
		e->next_check_at = now + RUN_CHECK_INTERVAL_MS;
		for (guint i = 0; i < e->runs->len; i++)
			check_run(m, now, e->runs->pdata[i]);
	}
	if (now >= e->next_repeat_at)
		repeat_starts(m, now, e);
	if (needs_status_query(m, e, now) || incarnations_needs_verification(e, now))
		send_status_query(m, now, e);
	else if (needs_repeated_query(e, now) && take_repeat(m, now))
		repeat_status_query(m, now, e);
	else if (e->announced)
		incarnations_adopt_announced(m, now, e);
}

void runs_tick(struct manager *m, clock_ms_t now)
{
	g_autoptr(GPtrArray) succeeded = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	if (now < m->next_endpoint_pass_at)
		return;
	m->next_endpoint_pass_at = now + ENDPOINT_PASS_MS;
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;

		if (!e->terminated)
			check_endpoint(m, now, e);
		if (e->runs->len)
			continue;
		if (e->terminated) {
			g_hash_table_iter_steal(&iter);
			g_hash_table_replace(m->terminated_endpoints, e->id, e);
			if (e->announced)
				g_ptr_array_add(succeeded, e);
		} else if (now - e->last_heartbeat_at > FORGET_ENDPOINT_MS) {
			attempts_confirm_losses(m, e, false);
			g_ptr_array_remove_fast(m->capacity_changed, e);
			g_hash_table_iter_remove(&iter);
		}
	}
	for (guint i = 0; i < succeeded->len; i++)
		incarnations_adopt_announced(m, now, succeeded->pdata[i]);
}
