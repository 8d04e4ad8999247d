#include "runs/attempts.h"

#include "base/log.h"
#include "sched/accounts.h"
#include "sched/cooldown.h"
#include "sched/interference.h"
#include "sched/pace.h"
#include "sched/suspects.h"

#include <string.h>

#define LOGGED_ATTEMPTS_MAX 24 /* limits the line to about 1 KB */
/// Time in which an earlier leader would have noticed the end of an endpoint; covers its restart.
#define PREDECESSOR_NOTICE_MS 5000
/// Time without an unexplained end of an endpoint after which a loss can only be a task's own.
#define CALM_MS 10000
/// Longest wait of a task for CALM_MS without such ends, from its latest start. Its loss counts
/// only in calm all the same.
#define CALM_WAIT_MAX_MS 12000
#define OVERDUE_HEARTBEATS 2	/* periods without one after which an endpoint counts as silent */
#define TERMINATION_WAIT_MS 120 /* an answer in flight takes at most 10 ms on healthy links */

char *attempts_task_name(const job_task_ref *ref)
{
	return g_strdup_printf("%s.%u.%u.%u", ref->job, ref->occurrence, ref->step, ref->index);
}

bool attempts_parse_task_name(const char *name, char *buffer, size_t size, job_task_ref *ref)
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

struct run *attempts_add(struct manager *m, clock_ms_t now, struct endpoint *e, struct job *job,
			 const job_task_ref *ref, uint32_t attempt)
{
	const job_step *step = &job->image.spec.steps.steps_val[ref->step];
	const job_task *task = jobs_task(m->jobs, ref);
	struct run *r = g_new0(struct run, 1);

	*r = (struct run){
		.name = attempts_task_name(ref),
		.ref = *ref,
		.attempt = attempt,
		.endpoint = e,
		.job = job,
		.cpu_milli = step->cpu_milli,
		.mem_mb = step->mem_mb,
		.gpu = step->gpu,
		.long_running = step->long_running,
		.best_effort = step->best_effort,
		.gang = step->gang,
		.target_ms = step->target_ms,
		.estimate_ms = step->estimate_ms,
		.checkpoint = g_strdup(""),
		.started_at = now,
		.confirmed_at = now,
		.progress_at = now,
		.pace = PACE_FULL,
		.pace_wanted = PACE_FULL,
		.started_cold = now < e->cold_until,
		.image_key = m->interference ? interference_key(step->image) : 0,
	};
	r->loss = JOB_ATTEMPT_RELEASED;
	r->suspected = task && suspects_is_suspected(task);
	r->last_trial = task && !step->long_running && suspects_next_loss_decides(task->crashes);
	r->ref.job = g_strdup(ref->job);
	g_hash_table_replace(m->runs, r->name, r);
	endpoint_add_run(e, r);
	accounts_record_start(m, r);
	manager_mark_capacity_changed(m, e);
	return r;
}

void attempts_set_state(struct run *r, enum run_state state)
{
	r->job->confirmed += (state == RUN_CONFIRMED) - (r->state == RUN_CONFIRMED);
	r->state = state;
}

/// @return number of copies of its start that are neither answered nor known to have been executed
static uint32_t count_copies_left(const struct run *r)
{
	uint32_t n = r->starts_open + r->starts_lost;

	/* A list shows that one copy was executed. */
	return n - (n && r->listed_before && !r->start_is_executed);
}

bool attempts_may_start_late(const struct manager *m, const struct run *r, clock_ms_t now)
{
	if (!r->listed_by)
		return true;
	if (r->inherited) /* an earlier leader may have repeated the start */
		return now - m->leader_since <= LATE_ORDER_MAX_MS;
	return count_copies_left(r) && now - r->start_sent_at <= LATE_ORDER_MAX_MS;
}

void attempts_untrack(struct manager *m, struct run *r)
{
	struct endpoint *e = r->endpoint;

	if (count_copies_left(r))
		e->late_start_until =
			MAX(e->late_start_until, r->start_sent_at + LATE_ORDER_MAX_MS);
	r->job->confirmed -= r->state == RUN_CONFIRMED;
	endpoint_remove_run(e, r);
	accounts_record_end(r);
	manager_mark_capacity_changed(m, e);
	g_hash_table_remove(m->runs, r->name);
}

/// @return how long the attempt had run when its endpoint was last known to be alive, ms; 0 if it
/// is not known to have run
static clock_ms_t age_when_last_alive(const struct manager *m, const struct run *r)
{
	const struct endpoint *e = r->endpoint;
	const job_task *task = jobs_task(m->jobs, &r->ref);
	clock_ms_t inherited_ms;

	if (!r->inherited)
		return r->state == RUN_CONFIRMED ? MAX(e->last_alive_at - r->started_at, 0) : 0;
	/* Ordered by an earlier leader, which would have noticed an end long before. */
	inherited_ms = m->leader_since + m->wall_offset_ms - (task ? task->started_wall_ms : 0) -
		       PREDECESSOR_NOTICE_MS;
	if (!task || !task->started_wall_ms || !m->wall_offset_ms)
		inherited_ms = 0;
	return MAX(inherited_ms, 0) +
	       (r->state == RUN_CONFIRMED ? MAX(e->last_alive_at - r->started_at, 0) : 0);
}

/// What is known of a task before an end of one of its attempts is applied, which may free it.
struct counts {
	uint32_t failures;
	uint32_t crashes;
	uint32_t early_crashes;
};

static struct counts counts_of(const struct manager *m, const struct job *job,
			       const job_task_ref *ref)
{
	const job_task *task = jobs_task(m->jobs, ref);

	if (!task)
		return (struct counts){0};
	return (struct counts){
		.failures = job_count_failures(job, ref),
		.crashes = task->crashes,
		.early_crashes = task->early_crashes,
	};
}

static const char *cause_text(job_attempt_end_cause cause)
{
	switch (cause) {
	case JOB_ATTEMPT_DONE:
		return "done";
	case JOB_ATTEMPT_FAILED:
		return "failed";
	case JOB_ATTEMPT_RELEASED:
		return "released";
	case JOB_ATTEMPT_LOST:
		return "lost with its endpoint";
	case JOB_ATTEMPT_CRASHED:
		return "its start may have crashed the endpoint";
	case JOB_ATTEMPT_CRASHED_ALONE:
		return "only its job's start can have crashed the endpoint";
	case JOB_ATTEMPT_LOSS_CONFIRMED:
		return "lost with its endpoint, which proved to have crashed";
	}
	return "unknown";
}

static void log_failure(const struct manager *m, const struct run *r, const struct counts *before)
{
	/* A job that has ended no longer holds its tasks. */
	uint32_t failures = jobs_task(m->jobs, &r->ref) ? job_count_failures(r->job, &r->ref)
							: before->failures + 1;

	log_info("attempt failed", "TASK", r->name, "ATTEMPT", log_number(r->attempt), "ENDPOINT",
		 r->endpoint->id, "INCARNATION",
		 log_number((uint64_t)r->endpoint->incarnation_wall_ms), "COMPLETION",
		 log_number(r->completion), "AGE_MS", log_number((uint64_t)r->completion_age_ms),
		 "FAILURES", log_number(failures), "LIMIT",
		 r->long_running ? "none" : log_number(r->job->image.spec.max_attempts), "TERM",
		 log_number(m->term));
}

/// Logs a loss that counts against a task.
static void log_counted_loss(const struct manager *m, const struct job *job, const char *task,
			     uint32_t attempt, const struct endpoint *e,
			     job_attempt_end_cause cause, const struct counts *before)
{
	bool is_early = cause == JOB_ATTEMPT_CRASHED || cause == JOB_ATTEMPT_CRASHED_ALONE;

	log_info("loss of an endpoint counts against a task", "TASK", task, "ATTEMPT",
		 log_number(attempt), "ENDPOINT", e->id, "CAUSE", cause_text(cause), "CRASHES",
		 log_number(before->crashes + 1), "EARLY",
		 log_number(before->early_crashes + is_early), "GIVEN_UP",
		 job->image.phase == JOB_FAILED ? "true" : "false", "TERM", log_number(m->term));
}

static void log_job_end(const struct job *job, const char *task, job_attempt_end_cause cause,
			uint32_t attempt)
{
	log_info("job ended", "JOB", job->image.spec.id, "PHASE", log_number(job->image.phase),
		 "REASON", cause_text(cause), "TASK", task, "ATTEMPT", log_number(attempt),
		 "ATTEMPTS", log_number(job->started));
}

void attempts_release(struct manager *m, struct run *r, job_attempt_end_cause cause,
		      const char *checkpoint)
{
	bool was_open = !job_has_ended(r->job);
	bool is_loss = cause == JOB_ATTEMPT_RELEASED && r->loss != JOB_ATTEMPT_RELEASED;
	job_attempt_end_cause recorded = is_loss ? r->loss : cause;
	struct counts before = counts_of(m, r->job, &r->ref);
	job_command c = {
		.type = JOB_COMMAND_ATTEMPT_END,
		.job_command_u.end =
			{
				.attempt = r->attempt,
				.task = r->ref,
				.cause = recorded,
				.age = suspects_age(age_when_last_alive(m, r)),
				.checkpoint = (char *)checkpoint,
			},
	};

	log_debug("attempt released", "TASK", r->name, "ATTEMPT", log_number(r->attempt),
		  "ENDPOINT", r->endpoint->id, "CAUSE", cause_text(recorded));
	if (strlen(checkpoint) > JOB_CHECKPOINT_MAX) {
		log_warning("checkpoint is too long to be stored; the task starts afresh", "TASK",
			    r->name, "BYTES", log_number(strlen(checkpoint)));
		c.job_command_u.end.checkpoint = (char *)"";
	}
	effects_propose(m, &c);
	if (cause == JOB_ATTEMPT_FAILED)
		log_failure(m, r, &before);
	if (is_loss && was_open)
		log_counted_loss(m, r->job, r->name, r->attempt, r->endpoint, recorded, &before);
	if (job_has_ended(r->job) && was_open)
		log_job_end(r->job, r->name, recorded, r->attempt);
	attempts_untrack(m, r);
}

/// Tells whether an endpoint that is not known to have ended leaves calls unanswered or misses
/// heartbeats.
static bool is_silent(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	return !e->terminated && !attempts_end_is_expected(m, now, e) &&
	       (e->unanswered_calls ||
		now - e->last_alive_at >
			OVERDUE_HEARTBEATS * (clock_ms_t)m->settings.heartbeat_period_ms);
}

/// Tells whether an attempt of another job was starting at the endpoint of @p r, and may have ended
/// it.
static bool has_other_starting(const struct manager *m, const struct run *r)
{
	for (guint i = 0; i < r->endpoint->runs->len; i++) {
		const struct run *other = r->endpoint->runs->pdata[i];

		if (!g_str_equal(other->ref.job, r->ref.job) &&
		    suspects_age(age_when_last_alive(m, other)) == JOB_ATTEMPT_STARTING)
			return true;
	}
	return false;
}

static bool ended_under(const struct endpoint *e, const char *task)
{
	return g_ptr_array_find_with_equal_func(e->ended_under, task, g_str_equal, NULL);
}

/// @return number of other endpoints that ended or fell silent within @p bound_ms of @p at, as when
/// a rack or more loses power, without a cause of their own
///
/// @param rack_of  counts only endpoints that may share its rack, or NULL
/// @param task     leaves out endpoints that ended under this task, or NULL
static unsigned int count_ended(const struct manager *m, clock_ms_t now, const struct endpoint *e,
				clock_ms_t at, clock_ms_t bound_ms, const struct endpoint *rack_of,
				const char *task)
{
	GHashTable *tables[] = {m->endpoints, m->terminated_endpoints};
	unsigned int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(tables); i++) {
		GHashTableIter iter;
		gpointer value;

		g_hash_table_iter_init(&iter, tables[i]);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct endpoint *other = value;
			clock_ms_t ended_at =
				is_silent(m, other, now) ? other->last_alive_at : other->lost_at;

			n += other != e && ended_at && ABS(ended_at - at) <= bound_ms &&
			     (!rack_of || endpoint_same_rack(rack_of, other)) &&
			     !(task && ended_under(other, task)) &&
			     !(ended_at == other->lost_at && other->end_is_explained) &&
			     !suspects_explain_end(other, m->jobs);
		}
	}
	return n;
}

/// Changes the count of losses of a task that are not confirmed.
static void count_unconfirmed(struct manager *m, const job_task_ref *ref, int by)
{
	char *name = attempts_task_name(ref);
	int n = GPOINTER_TO_INT(g_hash_table_lookup(m->unconfirmed_losses, name)) + by;

	if (n > 0) {
		g_hash_table_replace(m->unconfirmed_losses, name, GINT_TO_POINTER(n));
		return;
	}
	g_hash_table_remove(m->unconfirmed_losses, name);
	g_free(name);
}

/// Tells whether this leader has not seen yet whether endpoints end without a known cause.
static bool is_new_leader(const struct manager *m, clock_ms_t now)
{
	return m->term > 1 && now - m->leader_since < CALM_MS;
}

/// Tells whether a task has waited for calm for as long as it may. After a step of the wall clock
/// the time is not known, and it has.
static bool has_waited_for_calm(const struct manager *m, clock_ms_t now, const job_task *task)
{
	clock_ms_t since_ms = now + m->wall_offset_ms - task->started_wall_ms;

	return since_ms < 0 || since_ms > CALM_WAIT_MAX_MS;
}

bool attempts_await_confirmation(const struct manager *m, clock_ms_t now, const struct job *job,
				 const job_task_ref *ref)
{
	const job_task *task = jobs_task(m->jobs, ref);
	g_autofree char *name = NULL;
	bool decides;
	unsigned int n;

	if (!task || job->image.spec.steps.steps_val[ref->step].long_running)
		return false;
	decides = suspects_next_loss_decides(task->crashes);
	if (!decides && !g_hash_table_size(m->unconfirmed_losses))
		return false;
	name = attempts_task_name(ref);
	if (decides && !has_waited_for_calm(m, now, task) &&
	    (is_new_leader(m, now) || count_ended(m, now, NULL, now, CALM_MS, NULL, name)))
		return true;
	n = GPOINTER_TO_UINT(g_hash_table_lookup(m->unconfirmed_losses, name));
	return n && task->crashes + n >= JOBS_CRASHES_MAX;
}

void attempts_release_silent(struct manager *m, struct run *r)
{
	if (r->loss != JOB_ATTEMPT_RELEASED) {
		endpoint_add_lost(r->endpoint, r);
		count_unconfirmed(m, &r->ref, 1);
	}
	r->loss = JOB_ATTEMPT_RELEASED;
	attempts_release(m, r, JOB_ATTEMPT_RELEASED, r->checkpoint);
}

void attempts_confirm_losses(struct manager *m, struct endpoint *e, bool is_proven)
{
	for (guint i = 0; i < e->lost->len; i++) {
		const struct lost_attempt *a = e->lost->pdata[i];
		const struct job *job = jobs_find(m->jobs, a->ref.job);
		g_autofree char *name = attempts_task_name(&a->ref);
		struct counts before;
		job_command c = {
			.type = JOB_COMMAND_ATTEMPT_END,
			.job_command_u.end =
				{
					.attempt = a->attempt,
					.task = a->ref,
					.cause = JOB_ATTEMPT_LOSS_CONFIRMED,
					.age = JOB_ATTEMPT_STARTING,
					.checkpoint = (char *)"",
				},
		};

		if (!job || job_has_ended(job))
			continue;
		before = counts_of(m, job, &a->ref);
		if (suspects_next_loss_decides(before.crashes) && (!is_proven || !a->is_own))
			continue;
		effects_propose(m, &c);
		log_counted_loss(m, job, name, a->attempt, e, JOB_ATTEMPT_LOSS_CONFIRMED, &before);
		if (job_has_ended(job))
			log_job_end(job, name, JOB_ATTEMPT_LOSS_CONFIRMED, a->attempt);
	}
	attempts_drop_losses(m, e);
}

void attempts_drop_losses(struct manager *m, struct endpoint *e)
{
	for (guint i = 0; i < e->lost->len; i++)
		count_unconfirmed(m, &((const struct lost_attempt *)e->lost->pdata[i])->ref, -1);
	m->round_wanted |= e->lost->len > 0;
	g_ptr_array_set_size(e->lost, 0);
}

void attempts_release_all(struct manager *m, struct endpoint *e)
{
	while (e->runs->len) {
		struct run *r = e->runs->pdata[e->runs->len - 1];

		attempts_release(m, r, JOB_ATTEMPT_RELEASED, r->checkpoint);
	}
}

bool attempts_end_is_expected(const struct manager *m, clock_ms_t now, const struct endpoint *e)
{
	return e->draining || e->deregistered || e->shutdown_ordered ||
	       (*e->machine && cooldown_applies(m->cooldown, e->machine, now));
}

static const char *end_text(enum endpoint_end end)
{
	switch (end) {
	case ENDPOINT_END_EXPECTED:
		return "expected";
	case ENDPOINT_END_RESTARTED:
		return "later incarnation under its id";
	case ENDPOINT_END_REPLACED:
		return "another incarnation at its address";
	case ENDPOINT_END_SILENT:
		return "leases expired";
	}
	return "unknown";
}

static void log_loss(const struct manager *m, const struct endpoint *e, clock_ms_t now,
		     enum endpoint_end end)
{
	g_autoptr(GString) list = g_string_new(NULL);

	for (guint i = 0; i < e->runs->len && i < LOGGED_ATTEMPTS_MAX; i++) {
		const struct run *r = e->runs->pdata[i];

		g_string_append_printf(list, "%s%s/%u:%" G_GINT64_FORMAT "ms%s", i ? " " : "",
				       r->name, r->attempt, (gint64)age_when_last_alive(m, r),
				       r->state == RUN_CONFIRMED ? "" : "?");
	}
	log_info("endpoint ended unexpectedly", "ENDPOINT", e->id, "MACHINE", e->machine, "POOL",
		 e->pool, "KNOWN_BY", end_text(end), "SILENT_MS",
		 log_number(e->last_alive_at ? (guint64)(now - e->last_alive_at) : 0), "RUNS",
		 log_number(e->runs->len), "ATTEMPTS", list->str);
}

/// @return longest time that an attempt can have run when its endpoint ended
static clock_ms_t latest_age(const struct run *r, clock_ms_t now)
{
	const struct endpoint *e = r->endpoint;

	if (r->inherited || r->state != RUN_CONFIRMED)
		return CLOCK_NEVER;
	return (e->silent_by > e->last_alive_at ? e->silent_by : now) - r->started_at;
}

void attempts_judge_loss(struct manager *m, clock_ms_t now, struct endpoint *e,
			 enum endpoint_end end)
{
	g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(struct suspects_attempt));
	g_autoptr(GArray) causes = NULL;
	clock_ms_t bound_ms = m->settings.heartbeat_period_ms;

	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		const job_task *task = jobs_task(m->jobs, &r->ref);
		struct suspects_attempt a = {
			.job = r->ref.job,
			.excluded = r->not_executed || r->stopped_at,
			.suspected = r->suspected,
			.is_known = r->state == RUN_CONFIRMED,
			.age_ms = age_when_last_alive(m, r),
			.latest_age_ms = latest_age(r, now),
			.crashes = task ? task->crashes : 0,
			.early_crashes = task ? task->early_crashes : 0,
			.singled_out = task && task->singled_out,
		};

		/* Matters only for a task that is close to its limit. */
		a.with_others =
			a.crashes < SUSPECTS_KNOWN_CRASHES_MIN || has_other_starting(m, r) ||
			count_ended(m, now, e, e->last_alive_at, CALM_MS, NULL, r->name) > 0;
		g_array_append_val(list, a);
	}
	causes = suspects_judge(end, list,
				count_ended(m, now, e, e->last_alive_at, bound_ms, e, NULL) > 0);
	if (e->lost_at != e->last_alive_at) {
		g_ptr_array_set_size(e->ended_under, 0);
		e->end_is_explained = false;
	}
	e->lost_at = e->last_alive_at;
	e->end_is_explained |= suspects_explain_end(e, m->jobs);
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];
		const struct suspects_attempt *a = &g_array_index(list, struct suspects_attempt, i);

		r->loss = g_array_index(causes, job_attempt_end_cause, i);
		r->loss_is_own = suspects_loss_is_own(a);
		g_ptr_array_add(e->ended_under, g_strdup(r->name));
	}
	log_loss(m, e, now, end);
}

void attempts_handle_loss(struct manager *m, clock_ms_t now, struct endpoint *e,
			  enum endpoint_end end)
{
	if (!e->terminated_at && !attempts_end_is_expected(m, now, e))
		e->end = end;
	attempts_handle_termination(m, now, e);
}

void attempts_handle_termination(struct manager *m, clock_ms_t now, struct endpoint *e)
{
	/* The outstanding status answer may list attempts that completed before termination. */
	if (!e->terminated_at)
		e->terminated_at = now;
	if (e->status_query_open && now - e->terminated_at < TERMINATION_WAIT_MS)
		return;
	if (e->end != ENDPOINT_END_EXPECTED && !e->terminated) {
		attempts_judge_loss(m, now, e, e->end);
		attempts_confirm_losses(m, e, true);
	}
	attempts_drop_losses(m, e);
	log_info("endpoint terminated; releasing its attempts", "ENDPOINT", e->id, "RUNS",
		 log_number(e->runs->len));
	attempts_release_all(m, e);
	e->terminated = true;
	m->round_wanted = true;
}
