/// @file
/// Admission control: the decision, the memory of refusals behind it, and a closed simulation of
/// callers, the real job manager and endpoints, in which goodput must not fall as load rises.

#include "manager/manager_internal.h"
#include "manager/overload.h"
#include "manager_fixture.h"
#include "sched/admission.h"

#include <math.h>
#include <string.h>
#include <time.h>

/* The decision. */

/// @return a pool of 80 cores that is full, with 40 core-seconds of waiting work in time
static struct admission_figures full_pool(void)
{
	return (struct admission_figures){
		.known = true,
		.age_ms = 50,
		.now = {80000, 800000},
		.in_use = {160000, 1600},
		.more_in_ms = 1700,
		.on_time = {40 * 1000000LL, 400000},
		.owed_waits = true,
	};
}

/// @return a job of 8 tasks of 1 core and 700 ms with an objective of 2 s
static struct admission_job small_job(void)
{
	return (struct admission_job){
		.work = {8 * 700000LL, 8 * 7000LL},
		.width = {8000, 80},
		.chain_ms = 700,
		.objective_ms = 2000,
	};
}

static enum admission_result decide(const struct admission_figures *f,
				    const struct admission_job *job)
{
	struct admission_verdict v = admission_decide(f, job);

	g_assert_cmpint(v.room_in_ms, >=, 0);
	return v.result;
}

/// A job that can end in time must be admitted although work waits, and one whose expected end is
/// past three times its objective must be refused.
static void test_useful_time_bounds_the_wait(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_IN_TIME);
	f.on_time.core_us = 300 * 1000000LL; /* 4.2 s at 72 cores */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_USEFUL);
	f.on_time.core_us = 400 * 1000000LL; /* 5.6 s */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
	f.on_time.core_us = 0;
	f.on_time.mb_ms = 8000000LL * 800; /* memory may be what is short */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
}

/// Late work must not keep out a job that goes before it, and counts once the job may be late.
static void test_late_work_is_behind_work_in_time(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	f.late.core_us = 10000 * 1000000LL;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_IN_TIME);
	f.on_time.core_us = 80 * 1000000LL;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
}

/// Nothing may be refused while there is room, or for missing or old figures, and long-running jobs
/// and schedules never.
static void test_no_refusal_without_cause(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	f.on_time.core_us = 1000 * 1000000LL;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
	f.age_ms = 501;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_UNKNOWN);
	f.age_ms = 500;
	f.known = false;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_UNKNOWN);
	f.known = true;
	job.exempt = true;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_EXEMPT);
	job.exempt = false;
	f.in_use.cpu_milli = 72000;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_ROOM);
}

/// Machines that stand idle in other pools arrive after a move: a job that they would serve in time
/// must not be refused.
static void test_machines_that_can_arrive_are_room(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	job.objective_ms = 6000;
	f.on_time.core_us = 1500 * 1000000LL; /* 20.8 s at 72 cores */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
	f.more = (struct admission_capacity){1600000, 16000000};
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_ROOM_ARRIVES);
	job.beyond_weight = true;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_ROOM_ARRIVES);
	job.beyond_weight = false;
	f.in_use.cpu_milli = 2000000; /* it fills them as well, but they work off what waits */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_IN_TIME);
	job.objective_ms = 700; /* they arrive too late to be of use */
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
}

/// Load beyond an account's weight yields to owed work that waits, but may use an idle share.
static void test_beyond_weight_yields_to_owed_work(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	job.beyond_weight = true;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_BEYOND_WEIGHT);
	f.owed_waits = false;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_IN_TIME);
	f.owed_waits = true;
	f.in_use.cpu_milli = 72000;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_ROOM);
}

/// A leader that needs longer for its starts than the pool for its work determines the wait.
static void test_slow_leader_counts(void)
{
	struct admission_figures f = full_pool();
	struct admission_job job = small_job();

	f.ready_tasks = 3000;
	f.start_cost_us = 2000;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
	f.start_cost_us = 200;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_IN_TIME);
	f.lag_ms = 6000;
	g_assert_cmpint(decide(&f, &job), ==, ADMISSION_TOO_LATE);
}

/* The memory of refusals. */

/// A delayed copy must not be accepted before the Retry-After of its refusal has passed, or a job
/// reported as not run would run; after that a retry may be. Callers must not return together.
static void test_refusal_holds_until_its_retry_after(void)
{
	struct overload *o = overload_new();
	clock_ms_t now = FIXTURE_START_MS;
	clock_ms_t slot = 0;
	uint32_t first_s = overload_refuse_until_room(o, &slot, now, 1500, 50, "a");
	uint32_t returns[7] = {0};

	g_assert_cmpuint(first_s, ==, 2);
	overload_record_callers_read(o, now + 1);
	g_assert_true(overload_was_refused(o, now + 1999, "a"));
	g_assert_false(overload_was_refused(o, now + 2000, "a"));
	/* A copy that is refused again, for whichever reason, is not admitted earlier. */
	g_assert_cmpuint(overload_refuse(o, now + 100, 0, "a"), >=, 1);
	overload_record_callers_read(o, now + 101);
	g_assert_true(overload_was_refused(o, now + 1999, "a"));
	g_assert_cmpuint(overload_refuse_again(o, now + 1500, "a"), ==, 1);
	overload_record_callers_read(o, now + 1501);
	g_assert_true(overload_was_refused(o, now + 2499, "a"));
	g_assert_false(overload_was_refused(o, now + 2500, "a"));
	for (int i = 0; i < 100; i++) {
		g_autofree char *id = g_strdup_printf("b%d", i);
		uint32_t after_s = overload_refuse_until_room(o, &slot, now, 0, 50, id);

		g_assert_cmpuint(after_s, >=, first_s);
		g_assert_cmpuint(after_s, <=, 6);
		first_s = after_s;
		returns[after_s]++;
	}
	for (int s = 3; s <= 5; s++)
		g_assert_cmpuint(returns[s], <=, 20);
	overload_free(o);
}

/* Simulation. */

#define ENDPOINTS 10
#define STEP_MS 10
#define HEARTBEAT_MS 1500
#define SETTLE_MS 3000
#define LOAD_MS 60000
#define TASKS 8
#define TASK_MS 700
#define STEPS_MAX 3
#define RETRIES_MAX 4
#define STRETCH_MILLI 1600
#define TASK_JITTER 0.3 /* run times vary by about a third */

struct sim_job {
	char *id;
	const char *prefix; ///< of its queue
	uint32_t steps;
	uint32_t tasks_left;
	unsigned int tries;
	clock_ms_t first_at;
	clock_ms_t submitted_at;
	clock_ms_t accepted_at; ///< 0: not yet
	clock_ms_t due_at;	///< next try; 0: none
};

struct sim_task {
	char *name;
	uint32_t attempt;
	uint64_t number; ///< of its completion
	clock_ms_t ends_at;
};

struct sim_endpoint {
	char *id;
	char *machine;
	GPtrArray *running; ///< struct sim_task
	GPtrArray *ended;   ///< the same, not acknowledged, in the order of their ends
	uint64_t completions;
	uint64_t heartbeats;
	uint64_t query; ///< order id of the open status query; 0: none
	clock_ms_t query_until;
};

struct scenario {
	clock_ms_t delay_ms;	    ///< of commits and between the rounds of a slow leader
	uint32_t objective_ms;	    ///< of the queue; met by jobs that do not wait
	unsigned int slots_percent; ///< part of the pool that this leader keeps busy
};

struct outcome {
	unsigned int in_time;
	unsigned int in_time_since_first; ///< of them, within the objective since the first try
	unsigned int late;
	unsigned int refused; ///< refused for good
	unsigned int refusals;
	unsigned int unfinished; ///< accepted, not ended in time to be counted
};

struct sim {
	struct manager *m;
	struct overload *overload;
	GRand *arrivals; ///< separate: the same jobs arrive with and without admission control
	GRand *random;
	clock_ms_t now;
	struct scenario scenario;
	unsigned int standby; ///< machines that are switched off
	struct sim_endpoint endpoints[ENDPOINTS];
	GPtrArray *jobs;   ///< struct sim_job; the token of a call is the index plus 1
	GHashTable *by_id; ///< the same by id
	GQueue held;	   ///< struct held: effects until their commit
	struct outcome outcome;
};

struct held {
	struct effect *effect;
	clock_ms_t at;
};

static void sim_task_free(void *p)
{
	g_free(((struct sim_task *)p)->name);
	g_free(p);
}

static void sim_job_free(void *p)
{
	g_free(((struct sim_job *)p)->id);
	g_free(p);
}

static clock_ms_t objective_of(const struct sim *s, const struct sim_job *j)
{
	return s->scenario.objective_ms + (clock_ms_t)j->steps * TASK_MS * STRETCH_MILLI / 1000;
}

static void put_config(struct sim *s)
{
	struct call c = {.type = CALL_CONFIG_PUT};

	c.config.config_version = 1;
	c.config.queues.queues_len = 2;
	c.config.queues.queues_val = calloc(2, sizeof(job_queue));
	c.config.queues.queues_val[1] = (job_queue){.key = strdup("h /low/"),
						    .pool = strdup("p"),
						    .max_attempts = 2,
						    .priority = 1,
						    .objective_ms = s->scenario.objective_ms,
						    .stretch_milli = STRETCH_MILLI};
	c.config.queues.queues_val[0] = (job_queue){.key = strdup("h /q/"),
						    .pool = strdup("p"),
						    .max_attempts = 2,
						    .objective_ms = s->scenario.objective_ms,
						    .stretch_milli = STRETCH_MILLI};
	c.config.pools.pools_len = s->standby ? 2 : 1;
	c.config.pools.pools_val = calloc(2, sizeof(job_pool));
	c.config.pools.pools_val[0] = (job_pool){.name = strdup("p")};
	if (s->standby)
		c.config.pools.pools_val[1] = (job_pool){.name = strdup("off"), .standby = true};
	manager_handle_call(s->m, s->now, s->now, 0, &c);
	call_clear(&c);
}

static void send_heartbeat(struct sim *s, struct sim_endpoint *e, int64_t incarnation)
{
	struct call c = {.type = CALL_HEARTBEAT};

	c.heartbeat = (struct endpoint_heartbeat){
		.id = g_strdup(e->id),
		.incarnation_wall_ms = incarnation,
		.address = g_strdup_printf("10.1.0.%d:80", (int)incarnation),
		.pool = g_strdup("p"),
		.zone = g_strdup("z"),
		.machine = g_strdup(e->machine),
		.labels = g_ptr_array_new_with_free_func(g_free),
		.cpu_milli = FIXTURE_CPU_MILLI,
		.mem_mb = 8000,
		.sequence = ++e->heartbeats,
		.clock_ms = s->now,
	};
	manager_handle_call(s->m, s->now, s->now, 0, &c);
	call_clear(&c);
}

static void submit(struct sim *s, guint index)
{
	struct sim_job *j = s->jobs->pdata[index];
	struct call c = {.type = CALL_SUBMIT,
			 .host = g_strdup("h"),
			 .path = g_strconcat(j->prefix, j->id, NULL)};

	j->due_at = 0;
	j->tries++;
	j->submitted_at = s->now;
	c.spec.payload = strdup("");
	c.spec.steps.steps_len = j->steps;
	c.spec.steps.steps_val = calloc(j->steps, sizeof(job_step));
	for (u_int i = 0; i < j->steps; i++) {
		job_step *step = &c.spec.steps.steps_val[i];

		*step = (job_step){.count = TASKS,
				   .cpu_milli = 1000,
				   .mem_mb = 10,
				   .estimate_ms = TASK_MS,
				   .label = strdup(""),
				   .data_rack = strdup(""),
				   .image = strdup("")};
		if (!i)
			continue;
		step->after.after_len = 1;
		step->after.after_val = calloc(1, sizeof(u_int));
		step->after.after_val[0] = i - 1;
	}
	manager_handle_call(s->m, s->now, s->now, index + 1, &c);
	call_clear(&c);
}

static void handle_reply(struct sim *s, uint64_t token, const struct reply *reply)
{
	struct sim_job *j = token ? s->jobs->pdata[token - 1] : NULL;

	if (!j)
		return;
	if (reply->status == REPLY_OK) {
		j->accepted_at = j->submitted_at;
		return;
	}
	g_assert_cmpint(reply->status, ==, REPLY_BUSY);
	g_assert_cmpuint(reply->retry_after_s, >=, 1);
	g_assert_cmpuint(reply->retry_after_s, <=, 6);
	s->outcome.refusals++;
	if (j->tries > RETRIES_MAX)
		s->outcome.refused++;
	else
		j->due_at = s->now + (clock_ms_t)reply->retry_after_s * 1000 +
			    g_rand_int_range(s->random, 0, 100);
}

static void answer_query(struct sim *s, struct sim_endpoint *e)
{
	struct order_result *r = order_result_new(e->query, ORDER_OK);

	r->clock_ms = s->now;
	r->incarnation_wall_ms = e - s->endpoints + 1;
	for (guint i = 0; i < e->ended->len; i++) {
		const struct sim_task *t = e->ended->pdata[i];
		struct completion_record end = {.number = t->number, .attempt = t->attempt};

		end.task = g_strdup(t->name);
		end.checkpoint = g_strdup("");
		g_array_append_val(r->completions, end);
	}
	for (guint i = 0; i < e->running->len; i++) {
		const struct sim_task *t = e->running->pdata[i];
		struct running_attempt run = {.attempt = t->attempt};

		run.task = g_strdup(t->name);
		run.checkpoint = g_strdup("");
		run.percent = (uint32_t)CLAMP(100 - (t->ends_at - s->now) / 10, 1, 99);
		g_array_append_val(r->runs, run);
	}
	e->query = 0;
	manager_handle_result(s->m, s->now, s->now, r);
	order_result_free(r);
}

static void start_task(struct sim *s, struct sim_endpoint *e, const struct order *order)
{
	struct sim_task *t = g_new0(struct sim_task, 1);

	t->name = g_strdup(order->task);
	t->attempt = order->attempt;
	t->ends_at = s->now + (clock_ms_t)(TASK_MS * g_rand_double_range(s->random, 1 - TASK_JITTER,
									 1 + TASK_JITTER));
	g_ptr_array_add(e->running, t);
}

static void add_machine_rows(const struct sim *s, struct order_result *r)
{
	for (unsigned int i = 0; i < s->standby; i++) {
		struct machine_row row = {
			.machine = g_strdup_printf("off-%u", i),
			.pool = g_strdup("off"),
			.state = MACHINE_UP,
			.endpoint = g_strdup(""),
		};

		g_array_append_val(r->machines, row);
	}
}

static void execute_order(struct sim *s, const struct order *order)
{
	struct order_result *r;
	struct sim_endpoint *e = NULL;

	for (int i = 0; i < ENDPOINTS; i++)
		if (order->instance && g_str_equal(order->instance, s->endpoints[i].id))
			e = &s->endpoints[i];
	if (e && order->type == ORDER_STATUS_QUERY) {
		while (e->ended->len &&
		       ((struct sim_task *)e->ended->pdata[0])->number <= order->ack_through)
			g_ptr_array_remove_index(e->ended, 0);
		if (e->query)
			answer_query(s, e);
		e->query = order->id;
		e->query_until = s->now + order->wait_ms;
		return;
	}
	/* Machines of the pool never move away: the tests are about a fixed capacity. */
	r = order_result_new(order->id,
			     e || order->type == ORDER_MACHINE_LIST ? ORDER_OK : ORDER_TRY_LATER);
	r->clock_ms = s->now;
	if (order->type == ORDER_MACHINE_LIST)
		add_machine_rows(s, r);
	if (e && order->type == ORDER_START)
		start_task(s, e, order);
	manager_handle_result(s->m, s->now, s->now, r);
	order_result_free(r);
}

static void execute_effect(struct sim *s, const struct effect *e)
{
	if (e->type == EFFECT_REPLY)
		handle_reply(s, e->u.reply.token, &e->u.reply.reply);
	else if (e->type == EFFECT_ORDER)
		execute_order(s, e->u.order);
}

static void take_effects(struct sim *s)
{
	g_autoptr(GPtrArray) effects = manager_take_effects(s->m);

	g_ptr_array_set_free_func(effects, NULL);
	for (guint i = 0; i < effects->len; i++) {
		struct effect *e = effects->pdata[i];
		struct held *h;

		if (e->type == EFFECT_REPLY && e->u.reply.at_once) {
			execute_effect(s, e);
			effect_free(e);
			continue;
		}
		h = g_new(struct held, 1);
		*h = (struct held){.effect = e, .at = s->now + s->scenario.delay_ms};
		g_queue_push_tail(&s->held, h);
	}
	while (!g_queue_is_empty(&s->held)) {
		struct held *h = g_queue_peek_head(&s->held);

		if (h->at > s->now)
			break;
		g_queue_pop_head(&s->held);
		execute_effect(s, h->effect);
		effect_free(h->effect);
		g_free(h);
	}
}

static void end_task(struct sim *s, struct sim_endpoint *e, struct sim_task *t)
{
	g_autofree char *id = g_strndup(t->name, strcspn(t->name, "."));
	struct sim_job *j = g_hash_table_lookup(s->by_id, id);

	t->number = ++e->completions;
	g_ptr_array_add(e->ended, t);
	g_assert_cmpuint(j->tasks_left, >, 0); /* no task runs twice */
	if (--j->tasks_left)
		return;
	if (s->now - j->accepted_at > objective_of(s, j))
		s->outcome.late++;
	else
		s->outcome.in_time++;
	s->outcome.in_time_since_first += s->now - j->first_at <= objective_of(s, j);
}

static void run_endpoint(struct sim *s, struct sim_endpoint *e)
{
	if (!((s->now + (e - s->endpoints) * 150) % HEARTBEAT_MS))
		send_heartbeat(s, e, e - s->endpoints + 1);
	for (guint i = e->running->len; i > 0; i--) {
		const struct sim_task *t = e->running->pdata[i - 1];

		if (t->ends_at <= s->now)
			end_task(s, e, g_ptr_array_steal_index(e->running, i - 1));
	}
	if (e->query && (e->ended->len || s->now >= e->query_until))
		answer_query(s, e);
}

static void run_endpoints(struct sim *s)
{
	for (int i = 0; i < ENDPOINTS; i++)
		run_endpoint(s, &s->endpoints[i]);
}

static void run_manager(struct sim *s)
{
	const clock_ms_t delay_ms = s->scenario.delay_ms;

	overload_update(s->overload, s->now, delay_ms);
	overload_record_callers_read(s->overload, s->now);
	manager_record_lag(s->m, s->now, delay_ms);
	if (!delay_ms || !(s->now % delay_ms))
		manager_tick(s->m, s->now, s->now);
	take_effects(s);
}

/// Runs all but the callers for a time.
static void run_quietly(struct sim *s, clock_ms_t ms)
{
	for (clock_ms_t until = s->now + ms; s->now < until; s->now += STEP_MS) {
		run_endpoints(s);
		run_manager(s);
	}
}

static void add_job_to(struct sim *s, const char *prefix)
{
	struct sim_job *j = g_new0(struct sim_job, 1);

	j->id = g_strdup_printf("j%u", s->jobs->len);
	j->prefix = prefix;
	j->steps = (uint32_t)g_rand_int_range(s->arrivals, 1, STEPS_MAX + 1);
	j->tasks_left = j->steps * TASKS;
	j->first_at = s->now;
	g_ptr_array_add(s->jobs, j);
	g_hash_table_insert(s->by_id, j->id, j);
	submit(s, s->jobs->len - 1);
}

static void add_job(struct sim *s)
{
	add_job_to(s, "/q/");
}

static void run_callers(struct sim *s, double jobs_per_ms, double *next_at)
{
	for (; *next_at <= (double)s->now;
	     *next_at -= log(1 - g_rand_double(s->arrivals)) / jobs_per_ms)
		add_job(s);
	for (guint i = 0; i < s->jobs->len; i++) {
		const struct sim_job *j = s->jobs->pdata[i];

		if (j->due_at && j->due_at <= s->now)
			submit(s, i);
	}
}

static void sim_init(struct sim *s, bool admission, const struct scenario *scenario,
		     unsigned int standby)
{
	struct manager_settings settings = fixture_settings();
	struct jobs *state = jobs_new();

	*s = (struct sim){
		.overload = overload_new(),
		.arrivals = g_rand_new_with_seed(20261206),
		.random = g_rand_new_with_seed(20261207),
		.now = FIXTURE_START_MS,
		.scenario = *scenario,
		.standby = standby,
		.jobs = g_ptr_array_new_with_free_func(sim_job_free),
		.by_id = g_hash_table_new(g_str_hash, g_str_equal),
	};
	g_queue_init(&s->held);
	settings.admission = admission;
	s->m = manager_new(&settings, state, 1, s->now, s->now);
	manager_set_overload(s->m, s->overload);
	jobs_free(state);
	put_config(s);
	for (int i = 0; i < ENDPOINTS; i++) {
		s->endpoints[i].id = g_strdup_printf("i-%d", i);
		s->endpoints[i].machine = g_strdup_printf("m-%d", i);
		s->endpoints[i].running = g_ptr_array_new_with_free_func(sim_task_free);
		s->endpoints[i].ended = g_ptr_array_new_with_free_func(sim_task_free);
		send_heartbeat(s, &s->endpoints[i], i + 1);
	}
}

static void sim_clear(struct sim *s)
{
	struct held *h;

	manager_free(s->m);
	overload_free(s->overload);
	while ((h = g_queue_pop_head(&s->held))) {
		effect_free(h->effect);
		g_free(h);
	}
	for (int i = 0; i < ENDPOINTS; i++) {
		g_free(s->endpoints[i].id);
		g_free(s->endpoints[i].machine);
		g_ptr_array_unref(s->endpoints[i].running);
		g_ptr_array_unref(s->endpoints[i].ended);
	}
	g_hash_table_unref(s->by_id);
	g_ptr_array_unref(s->jobs);
	g_rand_free(s->arrivals);
	g_rand_free(s->random);
}

/// @param load offered load in capacities of the pool
static struct outcome simulate(double load, bool admission, const struct scenario *scenario)
{
	const clock_ms_t delay_ms = scenario->delay_ms;
	const double job_core_ms = (STEPS_MAX + 1) / 2.0 * TASKS * TASK_MS;
	const double jobs_per_ms = load * ENDPOINTS * FIXTURE_CPU_MILLI / 1000 *
				   scenario->slots_percent / 100 / job_core_ms;
	double next_at = FIXTURE_START_MS + SETTLE_MS;
	struct sim s;

	sim_init(&s, admission, scenario, 0);
	for (; s.now < FIXTURE_START_MS + SETTLE_MS + LOAD_MS; s.now += STEP_MS) {
		run_endpoints(&s);
		if (s.now >= FIXTURE_START_MS + SETTLE_MS)
			run_callers(&s, jobs_per_ms, &next_at);
		run_manager(&s);
	}
	for (guint i = 0; i < s.jobs->len; i++) {
		const struct sim_job *j = s.jobs->pdata[i];

		s.outcome.unfinished += j->accepted_at && j->tasks_left;
	}
	sim_clear(&s);
	g_test_message("load %.1f, %s, leader delay %d ms: %u in time (%u since the first try), "
		       "%u late, %u unfinished, %u refused for good, %u refusals",
		       load, admission ? "admission" : "no admission", (int)delay_ms,
		       s.outcome.in_time, s.outcome.in_time_since_first, s.outcome.late,
		       s.outcome.unfinished, s.outcome.refused, s.outcome.refusals);
	return s.outcome;
}

/* Submissions to the manager. */

#define BURST 100

static const struct scenario usual = {.objective_ms = 600, .slots_percent = 100};

/// Submits many jobs at once.
///
/// @return number of jobs that are admitted
static unsigned int submit_burst_to(struct sim *s, const char *prefix)
{
	unsigned int admitted = 0;

	for (int i = 0; i < BURST; i++)
		add_job_to(s, prefix);
	take_effects(s);
	for (guint i = 0; i < s->jobs->len; i++)
		admitted += ((struct sim_job *)s->jobs->pdata[i])->accepted_at > 0;
	return admitted;
}

static unsigned int submit_burst(struct sim *s)
{
	return submit_burst_to(s, "/q/");
}

/// @return whether the job is accepted at another try
static bool submit_again(struct sim *s, guint index)
{
	struct sim_job *j = s->jobs->pdata[index];

	j->accepted_at = 0;
	submit(s, index);
	take_effects(s);
	return j->accepted_at > 0;
}

/// @return index of the first job that is admitted or not
static guint find_job(const struct sim *s, bool admitted)
{
	for (guint i = 0; i < s->jobs->len; i++)
		if ((((struct sim_job *)s->jobs->pdata[i])->accepted_at > 0) == admitted)
			return i;
	g_assert_not_reached();
}

/// A burst between two measurements must not be admitted as a whole. A job that is accepted already
/// is never refused. A copy of a refused submission must not be accepted before its Retry-After,
/// also if there is room by then; a later try must be.
static void test_burst_is_bounded_and_refusals_hold(void)
{
	struct sim s;
	unsigned int admitted;
	guint refused;
	clock_ms_t returns_at;

	sim_init(&s, true, &usual, 0);
	run_quietly(&s, SETTLE_MS);
	admitted = submit_burst(&s);
	g_assert_cmpuint(admitted, >=, ENDPOINTS);
	g_assert_cmpuint(admitted, <=, BURST / 2);
	g_assert_true(submit_again(&s, find_job(&s, true)));
	refused = find_job(&s, false);
	returns_at = ((struct sim_job *)s.jobs->pdata[refused])->due_at;
	while (s.now + 200 < returns_at) {
		run_quietly(&s, 100);
		g_assert_false(submit_again(&s, refused));
	}
	run_quietly(&s, 10000);
	g_assert_true(submit_again(&s, refused));
	sim_clear(&s);
}

/// Work of lower priority does not go before a job and must not keep it out; work of higher
/// priority must.
static void test_lower_priority_is_not_ahead(void)
{
	struct sim s;
	unsigned int low;
	unsigned int high;

	sim_init(&s, true, &usual, 0);
	run_quietly(&s, SETTLE_MS);
	low = submit_burst_to(&s, "/low/");
	g_assert_cmpuint(low, <=, BURST / 2);
	high = submit_burst(&s) - low;
	g_assert_cmpuint(high, >=, ENDPOINTS / 2);
	g_assert_cmpuint(submit_burst_to(&s, "/low/"), ==, low + high);
	sim_clear(&s);
}

/// A new leader, or one without endpoints, knows too little to refuse anything.
static void test_nothing_is_refused_without_figures(void)
{
	struct sim s;

	sim_init(&s, true, &usual, 0);
	run_quietly(&s, 1000);
	g_assert_cmpuint(submit_burst(&s), ==, BURST);
	sim_clear(&s);
}

/// Old figures must not refuse anything: the pool may have changed since.
static void test_nothing_is_refused_by_old_figures(void)
{
	struct sim s;

	sim_init(&s, true, &usual, 0);
	run_quietly(&s, SETTLE_MS);
	s.now += 600;
	g_assert_cmpuint(submit_burst(&s), ==, BURST);
	sim_clear(&s);
}

/// Machines that are switched off can be moved to the pool in time.
static void test_standby_machines_are_room(void)
{
	struct sim s;

	sim_init(&s, true, &usual, BURST);
	run_quietly(&s, 2100); /* idle machines are not switched off yet */
	g_assert_cmpuint(submit_burst(&s), ==, BURST);
	sim_clear(&s);
}

static void check_goodput(const struct scenario *scenario)
{
	static const double loads[] = {0.5, 1, 1.5, 2, 5};
	struct outcome with[G_N_ELEMENTS(loads)];
	struct outcome without[G_N_ELEMENTS(loads)];

	for (unsigned int i = 0; i < G_N_ELEMENTS(loads); i++) {
		without[i] = simulate(loads[i], false, scenario);
		with[i] = simulate(loads[i], true, scenario);
	}
	g_assert_cmpuint(with[0].refusals, ==, 0);
	for (unsigned int i = 2; i < G_N_ELEMENTS(loads); i++) {
		/* One tenth for jobs in flight at the end. */
		g_assert_cmpuint(with[i].in_time, >=, with[1].in_time * 9 / 10);
		g_assert_cmpuint(without[i].refusals, ==, 0);
	}
}

/// Goodput must not fall as load rises past the capacity.
static void test_goodput_does_not_fall(void)
{
	check_goodput(&usual);
}

/// The same with a leader whose rounds and commits take long.
static void test_goodput_does_not_fall_with_a_slow_leader(void)
{
	/* A slot stands idle for longer than its task runs: its end is noticed, and the next start
	 * is committed, up to two delays later. */
	const struct scenario scenario = {
		.delay_ms = 300,
		.objective_ms = 3000,
		.slots_percent = 40,
	};

	check_goodput(&scenario);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/admission/useful_time_bounds_the_wait", test_useful_time_bounds_the_wait);
	g_test_add_func("/admission/late_work_is_behind_work_in_time",
			test_late_work_is_behind_work_in_time);
	g_test_add_func("/admission/no_refusal_without_cause", test_no_refusal_without_cause);
	g_test_add_func("/admission/machines_that_can_arrive_are_room",
			test_machines_that_can_arrive_are_room);
	g_test_add_func("/admission/beyond_weight_yields_to_owed_work",
			test_beyond_weight_yields_to_owed_work);
	g_test_add_func("/admission/slow_leader_counts", test_slow_leader_counts);
	g_test_add_func("/admission/refusal_holds_until_its_retry_after",
			test_refusal_holds_until_its_retry_after);
	g_test_add_func("/admission/burst_is_bounded_and_refusals_hold",
			test_burst_is_bounded_and_refusals_hold);
	g_test_add_func("/admission/lower_priority_is_not_ahead", test_lower_priority_is_not_ahead);
	g_test_add_func("/admission/nothing_is_refused_without_figures",
			test_nothing_is_refused_without_figures);
	g_test_add_func("/admission/nothing_is_refused_by_old_figures",
			test_nothing_is_refused_by_old_figures);
	g_test_add_func("/admission/standby_machines_are_room", test_standby_machines_are_room);
	g_test_add_func("/admission/goodput_does_not_fall", test_goodput_does_not_fall);
	g_test_add_func("/admission/goodput_does_not_fall_with_a_slow_leader",
			test_goodput_does_not_fall_with_a_slow_leader);
	return g_test_run();
}
