/// @file
/// The job state: schedules, and commands that cannot be stored.

#include "base/codec.h"
#include "manager/manager_internal.h"
#include "manager_fixture.h"
#include "runs/attempts.h"

#include <string.h>

#define TIMES 60000
#define TASKS 2

static job_spec make_spec(const char *id, uint32_t times, uint32_t tasks, const char *payload)
{
	job_spec spec = {
		.id = strdup(id),
		.queue = strdup("h /q/"),
		.pool = strdup("p"),
		.payload = strdup(payload),
		.max_attempts = 2,
		.occurrences = times,
		.first_wall_ms = FIXTURE_START_MS + 1000,
		.interval_ms = 100,
	};
	job_step *step = calloc(1, sizeof(*step));

	*step = (job_step){.count = tasks,
			   .cpu_milli = 1000,
			   .mem_mb = 10,
			   .estimate_ms = 100,
			   .label = strdup(""),
			   .data_rack = strdup(""),
			   .image = strdup("")};
	spec.steps.steps_len = 1;
	spec.steps.steps_val = step;
	return spec;
}

static void accept_job(struct jobs *j, const char *id, uint32_t times, uint32_t tasks)
{
	job_command c = {.type = JOB_COMMAND_ACCEPT};

	c.job_command_u.accept = make_spec(id, times, tasks, "");
	jobs_apply(j, &c);
	codec_free(CODEC_PROC(job_spec), &c.job_command_u.accept);
}

static gsize restore(struct jobs **j)
{
	g_autoptr(GByteArray) bytes = jobs_snapshot(*j);

	jobs_free(*j);
	*j = jobs_new();
	g_assert_true(jobs_restore(*j, bytes->data, bytes->len));
	return bytes->len;
}

/// Six schedules of 60,000 times each took 17 MB of a snapshot before any was due, more than it
/// could hold (review/1, LOST).
static void test_schedule_takes_no_room_before_it_is_due(void)
{
	struct jobs *j = jobs_new();

	for (int i = 0; i < 100; i++) {
		g_autofree char *id = g_strdup_printf("s%d", i);

		accept_job(j, id, TIMES, 1);
	}
	g_assert_cmpuint(restore(&j), <, 100 * 512);
	g_assert_cmpuint(jobs_find(j, "s7")->unfinished, ==, TIMES);
	g_assert_cmpuint(jobs_find(j, "s7")->image.occurrences.occurrences_len, ==, 0);
	jobs_free(j);
}

static void run_task(struct jobs *j, const char *id, uint32_t k, uint32_t index)
{
	job_command c = {.type = JOB_COMMAND_ATTEMPT_START};
	job_task_ref ref = {.job = (char *)id, .occurrence = k, .index = index};

	c.job_command_u.start = (job_attempt_start){.endpoint = 1, .attempt = 1, .task = ref};
	jobs_apply(j, &c);
	c.type = JOB_COMMAND_ATTEMPT_END;
	c.job_command_u.end = (job_attempt_end){
		.attempt = 1, .task = ref, .cause = JOB_ATTEMPT_DONE, .checkpoint = ""};
	jobs_apply(j, &c);
}

/// Occurrences that are done take no room either; the job completes with the last one, whatever
/// their order, and through snapshots.
static void test_schedule_completes(void)
{
	const uint32_t order[] = {2, 0, 3, 1};
	struct jobs *j = jobs_new();
	job_command c = {
		.type = JOB_COMMAND_INCARNATION,
		.job_command_u.endpoint =
			{.number = 1, .id = "i", .address = "a:1", .pool = "p", .machine = ""},
	};

	jobs_apply(j, &c);
	accept_job(j, "s", G_N_ELEMENTS(order), TASKS);
	for (guint i = 0; i < G_N_ELEMENTS(order); i++) {
		g_assert_cmpint(jobs_find(j, "s")->image.phase, !=, JOB_COMPLETED);
		for (uint32_t t = 0; t < TASKS; t++) {
			run_task(j, "s", order[i], t);
			restore(&j);
		}
		g_assert_null(job_step_tasks(jobs_find(j, "s"), order[i], 0));
		if (i + 1 < G_N_ELEMENTS(order))
			g_assert_cmpuint(jobs_find(j, "s")->unfinished, ==,
					 TASKS * (G_N_ELEMENTS(order) - 1 - i));
	}
	g_assert_cmpint(jobs_find(j, "s")->image.phase, ==, JOB_COMPLETED);
	run_task(j, "s", 1, 0); /* late: changes nothing */
	g_assert_cmpuint(jobs_find(j, "s")->assigned, ==, 0);
	jobs_free(j);
}

static void register_endpoint(struct jobs *j)
{
	job_command c = {
		.type = JOB_COMMAND_INCARNATION,
		.job_command_u.endpoint =
			{.number = 1, .id = "i", .address = "a:1", .pool = "p", .machine = ""},
	};

	jobs_apply(j, &c);
}

static void start_attempt(struct jobs *j, const char *id, uint32_t index, uint32_t attempt)
{
	job_command c = {.type = JOB_COMMAND_ATTEMPT_START};

	c.job_command_u.start = (job_attempt_start){
		.endpoint = 1, .attempt = attempt, .task = {.job = (char *)id, .index = index}};
	jobs_apply(j, &c);
}

static void fail_attempt(struct jobs *j, const char *id, uint32_t index, uint32_t attempt)
{
	job_command c = {.type = JOB_COMMAND_ATTEMPT_END};

	c.job_command_u.end = (job_attempt_end){.attempt = attempt,
						.task = {.job = (char *)id, .index = index},
						.cause = JOB_ATTEMPT_FAILED,
						.checkpoint = ""};
	jobs_apply(j, &c);
}

/// A repeated record of a failure was counted again, and the job failed after one attempt of two
/// (LOST).
static void test_repeated_failure_counts_once(void)
{
	struct jobs *j = jobs_new();

	register_endpoint(j);
	accept_job(j, "s", 0, 1);
	start_attempt(j, "s", 0, 1);
	fail_attempt(j, "s", 0, 1);
	fail_attempt(j, "s", 0, 1);
	restore(&j);
	fail_attempt(j, "s", 0, 1);
	g_assert_cmpint(jobs_find(j, "s")->image.phase, ==, JOB_RUNNING);
	start_attempt(j, "s", 0, 2);
	fail_attempt(j, "s", 0, 2);
	g_assert_cmpint(jobs_find(j, "s")->image.phase, ==, JOB_FAILED);
	jobs_free(j);
}

/// The failures of two members of one attempt of a gang counted as two, and its job failed after
/// one attempt of two (LOST).
static void test_attempt_of_gang_fails_once(void)
{
	struct jobs *j = jobs_new();
	job_command c = {.type = JOB_COMMAND_ACCEPT};

	register_endpoint(j);
	c.job_command_u.accept = make_spec("s", 0, 3, "");
	c.job_command_u.accept.steps.steps_val[0].gang = true;
	jobs_apply(j, &c);
	codec_free(CODEC_PROC(job_spec), &c.job_command_u.accept);
	for (uint32_t attempt = 1; attempt <= 2; attempt++) {
		for (uint32_t i = 0; i < 3; i++)
			start_attempt(j, "s", i, attempt);
		g_assert_cmpint(jobs_find(j, "s")->image.phase, ==, JOB_RUNNING);
		fail_attempt(j, "s", 0, attempt);
		restore(&j);
		if (attempt == 1)
			fail_attempt(j, "s", 2, attempt);
		g_assert_cmpint(jobs_find(j, "s")->image.phase, ==,
				attempt == 1 ? JOB_RUNNING : JOB_FAILED);
	}
	jobs_free(j);
}

/// XDR cannot free a text above the limit of its type.
static void shorten(char **text)
{
	if (strlen(*text) > JOB_NAME_MAX)
		codec_set_string(text, "");
}

/// Returns the status of the reply to a call, which is cleared.
static enum reply_status send_call(struct manager *m, struct call *c)
{
	enum reply_status status = REPLY_UNAVAILABLE;
	g_autoptr(GPtrArray) effects = NULL;

	manager_handle_call(m, FIXTURE_START_MS, FIXTURE_START_MS, 9, c);
	for (u_int i = 0; i < c->config.pools.pools_len; i++)
		shorten(&c->config.pools.pools_val[i].name);
	for (u_int i = 0; i < c->config.queues.queues_len; i++)
		shorten(&c->config.queues.queues_val[i].pool);
	for (u_int i = 0; i < c->wave.machines.machines_len; i++)
		shorten(&c->wave.machines.machines_val[i].machine);
	call_clear(c);
	effects = manager_take_effects(m);
	for (guint i = 0; i < effects->len; i++) {
		const struct effect *e = effects->pdata[i];

		if (e->type == EFFECT_REPLY)
			status = e->u.reply.reply.status;
	}
	return status;
}

/// Submits a job and returns the status of the reply.
static enum reply_status submit(struct manager *m, const char *id, uint32_t times,
				const char *payload)
{
	struct call c = {.type = CALL_SUBMIT, .host = g_strdup("h")};

	c.path = g_strconcat("/q/", id, NULL);
	c.spec = make_spec(id, times, 1, payload);
	return send_call(m, &c);
}

/// @return number of starts ordered, without the repeats of those, as none is answered
static unsigned int count_starts(struct manager *m, clock_ms_t from, clock_ms_t until)
{
	unsigned int n = 0;

	for (clock_ms_t now = from; now < until; now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];

			n += e->type == EFFECT_ORDER && e->u.order->type == ORDER_START &&
			     !e->u.order->is_repeat;
		}
	}
	return n;
}

/// Each occurrence starts when it is due.
static void test_occurrences_start_when_due(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	fixture_put_config(m, FIXTURE_START_MS);
	fixture_heartbeat(m, FIXTURE_START_MS, "i-1", "m-1", 1);
	g_assert_cmpint(submit(m, "s", 3, ""), ==, REPLY_OK);
	g_assert_cmpuint(count_starts(m, FIXTURE_START_MS, FIXTURE_START_MS + 1000), ==, 0);
	g_assert_cmpuint(count_starts(m, FIXTURE_START_MS + 1000, FIXTURE_START_MS + 1100), ==, 1);
	g_assert_cmpuint(count_starts(m, FIXTURE_START_MS + 1100, FIXTURE_START_MS + 2000), ==, 2);
	manager_free(m);
}

/// @return true if the manager proposes to purge a job at @p now
static bool purges(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	g_autoptr(GPtrArray) effects = NULL;
	bool found = false;

	manager_tick(m, now, wall_ms);
	effects = manager_take_effects(m);
	for (guint i = 0; i < effects->len; i++) {
		const struct effect *e = effects->pdata[i];
		gsize len;
		const void *data;
		sw_command c;

		if (e->type != EFFECT_PROPOSE)
			continue;
		data = g_bytes_get_data(e->u.command, &len);
		g_assert_true(codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c)));
		found |= c.sw_command_u.job.type == JOB_COMMAND_FORGET;
		codec_free(CODEC_PROC(sw_command), &c);
	}
	return found;
}

/// A leader whose time of day stepped ahead, or that followed one whose time of day was behind,
/// purged jobs that had ended a moment before; callers got 410.
static void test_ended_jobs_are_kept_when_the_time_of_day_steps(void)
{
	const clock_ms_t retention_ms = (clock_ms_t)fixture_settings().job_retention_s * 1000;
	const clock_ms_t wall_ms = 1000000000;
	clock_ms_t now = FIXTURE_START_MS;
	job_command cancel = {.type = JOB_COMMAND_CANCEL,
			      .job_command_u.cancel = {.id = "cancelled"}};
	struct jobs *j = jobs_new();
	struct manager *m;

	register_endpoint(j);
	accept_job(j, "completed", 0, 1);
	run_task(j, "completed", 0, 0);
	g_assert_cmpint(jobs_find(j, "completed")->image.phase, ==, JOB_COMPLETED);
	accept_job(j, "cancelled", 0, 1);
	cancel.job_command_u.cancel.at_wall_ms = wall_ms - 2 * retention_ms;
	jobs_apply(j, &cancel);
	m = fixture_next_manager(j, 1, now, now);
	g_assert_false(purges(m, now, wall_ms));
	for (; now < FIXTURE_START_MS + retention_ms; now += 1000)
		g_assert_false(purges(m, now, wall_ms + now + 2 * retention_ms));
	g_assert_true(purges(m, now + 1000, wall_ms));
	manager_free(m);
	jobs_free(j);
}

static struct call caller_request(enum call_type type, const char *id)
{
	return (struct call){
		.type = type, .host = g_strdup("h"), .path = g_strconcat("/q/", id, NULL)};
}

static enum reply_status cancel(struct manager *m, const char *id)
{
	struct call c = caller_request(CALL_CANCEL, id);

	return send_call(m, &c);
}

static enum reply_status read_state(struct manager *m, const char *id)
{
	struct call c = caller_request(CALL_JOB_READ, id);

	return send_call(m, &c);
}

/// A job that was cancelled before the request to submit it arrived, from an entry that had stood
/// still, was run: its caller had been told that there is no such job.
static void test_job_that_arrives_after_its_cancelling_is_refused(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	g_autoptr(GByteArray) bytes = NULL;
	struct jobs *j = jobs_new();
	struct manager *next;

	fixture_put_config(m, FIXTURE_START_MS);
	g_assert_cmpint(cancel(m, "j"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(submit(m, "j", 0, ""), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(read_state(m, "j"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(submit(m, "k", 0, ""), ==, REPLY_OK);
	g_assert_cmpint(read_state(m, "k"), ==, REPLY_OK);
	/* The next leader knows it from a snapshot. */
	bytes = jobs_snapshot(m->jobs);
	g_assert_true(jobs_restore(j, bytes->data, bytes->len));
	g_assert_cmpuint(j->tombstones, ==, 1);
	next = fixture_next_manager(j, 2, FIXTURE_START_MS, FIXTURE_START_MS);
	g_assert_cmpint(submit(next, "j", 0, ""), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(cancel(next, "j"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(cancel(next, "k"), ==, REPLY_OK);
	g_assert_cmpint(submit(next, "k", 0, ""), ==, REPLY_OK);
	g_assert_cmpint(read_state(next, "k"), ==, REPLY_OK);
	manager_free(next);
	manager_free(m);
	jobs_free(j);
}

/// The answer to the cancelling of an unknown job was given before anything was stored, so that a
/// change of leader lost it.
static void test_cancelling_of_unknown_job_is_stored_before_its_answer(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	struct jobs *committed = jobs_new();
	struct manager *next;
	g_autoptr(GPtrArray) before = NULL;
	g_autoptr(GPtrArray) effects = NULL;
	struct call c;

	fixture_put_config(m, FIXTURE_START_MS);
	before = manager_take_effects(m);
	c = caller_request(CALL_CANCEL, "j");
	manager_handle_call(m, FIXTURE_START_MS, FIXTURE_START_MS, 9, &c);
	call_clear(&c);
	effects = manager_take_effects(m);
	g_assert_cmpuint(effects->len, ==, 2);
	g_assert_cmpint(((struct effect *)effects->pdata[0])->type, ==, EFFECT_PROPOSE);
	g_assert_cmpint(((struct effect *)effects->pdata[1])->type, ==, EFFECT_REPLY);
	g_assert_false(((struct effect *)effects->pdata[1])->u.reply.at_once);
	for (guint i = 0; i < before->len; i++)
		if (((struct effect *)before->pdata[i])->type == EFFECT_PROPOSE)
			fixture_commit(committed, ((struct effect *)before->pdata[i])->u.command);
	fixture_commit(committed, ((struct effect *)effects->pdata[0])->u.command);
	next = fixture_next_manager(committed, 2, FIXTURE_START_MS, FIXTURE_START_MS);
	g_assert_cmpint(submit(next, "j", 0, ""), ==, REPLY_UNKNOWN_JOB);
	manager_free(next);
	manager_free(m);
	jobs_free(committed);
}

/// What is remembered of cancelled unknown jobs must not grow without bound. Beyond it a caller is
/// asked to come back, and all else is served.
static void test_cancelled_unknown_jobs_are_bounded(void)
{
	const clock_ms_t retention_ms = (clock_ms_t)fixture_settings().job_retention_s * 1000;
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	enum reply_status status = REPLY_UNKNOWN_JOB;
	unsigned int n = 0;

	fixture_put_config(m, FIXTURE_START_MS);
	for (; status == REPLY_UNKNOWN_JOB; n++) {
		g_autofree char *id = g_strdup_printf("j%u", n);

		status = cancel(m, id);
	}
	g_assert_cmpint(status, ==, REPLY_BUSY);
	g_assert_cmpuint(n, <=, 20000);
	g_assert_cmpint(cancel(m, "j0"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(submit(m, "j0", 0, ""), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(submit(m, "k", 0, ""), ==, REPLY_OK);
	g_assert_cmpint(cancel(m, "k"), ==, REPLY_OK);
	for (clock_ms_t now = FIXTURE_START_MS; now < FIXTURE_START_MS + 2 * retention_ms;
	     now += 100) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
	}
	g_assert_cmpuint(m->jobs->tombstones, ==, 0);
	g_assert_cmpuint(g_hash_table_size(m->jobs->by_id), ==, 0);
	g_assert_cmpint(cancel(m, "other"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(submit(m, "j0", 0, ""), ==, REPLY_OK);
	manager_free(m);
}

static enum reply_status put_config(struct manager *m, uint64_t version, size_t name_len)
{
	g_autofree char *name = g_strnfill(name_len, 'n');
	struct call c = {.type = CALL_CONFIG_PUT};
	job_queue *q = calloc(1, sizeof(*q));
	job_pool *p = calloc(1, sizeof(*p));

	*q = (job_queue){.key = strdup("h /q/"), .pool = strdup(name), .max_attempts = 2};
	*p = (job_pool){.name = strdup(name)};
	c.config.config_version = version;
	c.config.queues.queues_len = 1;
	c.config.queues.queues_val = q;
	c.config.pools.pools_len = 1;
	c.config.pools.pools_val = p;
	return send_call(m, &c);
}

/// A state that would take more memory than the processes have is refused before the job is
/// accepted, with a time to come back; once jobs have ended there is room again.
static void test_full_state_refuses_jobs(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	g_autofree char *payload = g_strnfill(4000, 'x');
	unsigned int accepted = 0;

	fixture_put_config(m, FIXTURE_START_MS);
	for (;; accepted++) {
		g_autofree char *id = g_strdup_printf("j%u", accepted);
		enum reply_status status = submit(m, id, 0, payload);

		if (status != REPLY_OK) {
			g_assert_cmpint(status, ==, REPLY_BUSY);
			g_assert_null(jobs_find(m->jobs, id));
			break;
		}
	}
	g_assert_cmpuint(accepted, >, 9000);
	g_assert_cmpuint(accepted, <, 16000);
	for (int i = 0; i < 10; i++) {
		job_command c = {.type = JOB_COMMAND_CANCEL};
		g_autofree char *id = g_strdup_printf("j%d", i);

		c.job_command_u.cancel.id = id;
		jobs_apply(m->jobs, &c);
	}
	g_assert_cmpint(submit(m, "k", 0, payload), ==, REPLY_OK);
	manager_free(m);
}

/// A configuration with a name too long for the log was acknowledged and dropped.
static void test_config_that_cannot_be_stored_is_refused(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	g_assert_cmpint(put_config(m, 1, JOB_NAME_MAX), ==, REPLY_OK);
	g_assert_cmpuint(m->jobs->config.config_version, ==, 1);
	g_assert_cmpint(put_config(m, 2, JOB_NAME_MAX + 1), ==, REPLY_INVALID);
	g_assert_cmpuint(m->jobs->config.config_version, ==, 1);
	manager_free(m);
}

/// The same for a wave.
static void test_wave_that_cannot_be_stored_is_refused(void)
{
	for (size_t len = JOB_NAME_MAX; len <= JOB_NAME_MAX + 1; len++) {
		struct manager *m = fixture_manager(FIXTURE_START_MS);
		struct call c = {.type = CALL_WAVE_PUT, .wave_s = 10};
		g_autofree char *name = g_strnfill(len, 'm');

		c.wave.number = 1;
		c.wave.cap = 1;
		c.wave.machines.machines_len = 1;
		c.wave.machines.machines_val = calloc(1, sizeof(job_wave_machine));
		c.wave.machines.machines_val[0].machine = strdup(name);
		g_assert_cmpint(send_call(m, &c), ==,
				len <= JOB_NAME_MAX ? REPLY_OK : REPLY_INVALID);
		g_assert_cmpint(jobs_wave(m->jobs, 1) != NULL, ==, len <= JOB_NAME_MAX);
		manager_free(m);
	}
}

/// The end of an attempt with a long checkpoint was not recorded: its task stayed assigned.
static void test_end_with_long_checkpoint_is_recorded(void)
{
	const size_t lengths[] = {300, JOB_CHECKPOINT_MAX, JOB_CHECKPOINT_MAX + 1};

	for (guint i = 0; i < G_N_ELEMENTS(lengths); i++) {
		struct manager *m = fixture_manager(FIXTURE_START_MS);
		g_autofree char *checkpoint = g_strnfill(lengths[i], 'c');
		const job_task *task;
		struct run *r;

		fixture_put_config(m, FIXTURE_START_MS);
		fixture_heartbeat(m, FIXTURE_START_MS, "i-1", "m-1", 1);
		fixture_submit(m, FIXTURE_START_MS, "j", 1);
		count_starts(m, FIXTURE_START_MS, FIXTURE_START_MS + MANAGER_TICK_MS);
		r = g_hash_table_lookup(m->runs, "j.0.0.0");
		attempts_release(m, r, JOB_ATTEMPT_RELEASED, checkpoint);
		task = &jobs_find(m->jobs, "j")
				->image.occurrences.occurrences_val[0]
				.steps.steps_val[0]
				.tasks.tasks_val[0];
		g_assert_cmpint(task->phase, ==, JOB_TASK_WAITING);
		g_assert_cmpstr(task->checkpoint, ==,
				lengths[i] <= JOB_CHECKPOINT_MAX ? checkpoint : "");
		manager_free(m);
	}
}

/// A snapshot must hold whatever commands have stored.
static void test_longest_names_fit_into_snapshot(void)
{
	g_autofree char *name = g_strnfill(JOB_NAME_MAX, 'm');
	struct jobs *j = jobs_new();
	job_command c = {.type = JOB_COMMAND_MACHINE_ORDER};

	c.job_command_u.machine_order = (job_machine_order){.machine = name, .keep = 1};
	jobs_apply(j, &c);
	restore(&j);
	g_assert_cmpstr(j->ordered_machines->pdata[0], ==, name);
	jobs_free(j);
}

#define ENDS_PER_S 150 /* about the rate of the largest deployment */
#define ENDS_SECONDS 900

/// At 150 jobs per second the state grew until it was full, and all later jobs were refused.
static void test_jobs_are_purged_as_fast_as_they_end(void)
{
	clock_ms_t now = FIXTURE_START_MS;
	struct jobs *j = jobs_new();
	struct manager *m = fixture_next_manager(j, 1, now, now);
	guint n = 0;

	for (int tick = 0; tick < 2 * ENDS_SECONDS; tick++, now += 500) {
		g_autoptr(GPtrArray) effects = NULL;

		register_endpoint(m->jobs); /* forgotten while it is not used */
		for (int i = 0; i < ENDS_PER_S / 2; i++) {
			g_autofree char *id = g_strdup_printf("j%u", n++);

			accept_job(m->jobs, id, 0, 1);
			run_task(m->jobs, id, 0, 0);
		}
		manager_tick(m, now, now);
		effects = manager_take_effects(m);
	}
	g_assert_cmpuint(g_hash_table_size(m->jobs->by_id), <=,
			 2 * ENDS_PER_S * fixture_settings().job_retention_s);
	manager_free(m);
	jobs_free(j);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK); /* a dropped command is logged as an error */
	g_test_add_func("/jobs/ended_jobs_are_kept_when_the_time_of_day_steps",
			test_ended_jobs_are_kept_when_the_time_of_day_steps);
	g_test_add_func("/job_state/job_that_arrives_after_its_cancelling_is_refused",
			test_job_that_arrives_after_its_cancelling_is_refused);
	g_test_add_func("/job_state/cancelling_of_unknown_job_is_stored_before_its_answer",
			test_cancelling_of_unknown_job_is_stored_before_its_answer);
	g_test_add_func("/job_state/cancelled_unknown_jobs_are_bounded",
			test_cancelled_unknown_jobs_are_bounded);
	g_test_add_func("/job_state/schedule_takes_no_room_before_it_is_due",
			test_schedule_takes_no_room_before_it_is_due);
	g_test_add_func("/job_state/schedule_completes", test_schedule_completes);
	g_test_add_func("/job_state/repeated_failure_counts_once",
			test_repeated_failure_counts_once);
	g_test_add_func("/job_state/attempt_of_gang_fails_once", test_attempt_of_gang_fails_once);
	g_test_add_func("/job_state/occurrences_start_when_due", test_occurrences_start_when_due);
	g_test_add_func("/job_state/full_state_refuses_jobs", test_full_state_refuses_jobs);
	g_test_add_func("/job_state/config_that_cannot_be_stored_is_refused",
			test_config_that_cannot_be_stored_is_refused);
	g_test_add_func("/job_state/wave_that_cannot_be_stored_is_refused",
			test_wave_that_cannot_be_stored_is_refused);
	g_test_add_func("/job_state/end_with_long_checkpoint_is_recorded",
			test_end_with_long_checkpoint_is_recorded);
	g_test_add_func("/job_state/longest_names_fit_into_snapshot",
			test_longest_names_fit_into_snapshot);
	g_test_add_func("/job_state/jobs_are_purged_as_fast_as_they_end",
			test_jobs_are_purged_as_fast_as_they_end);
	return g_test_run();
}
