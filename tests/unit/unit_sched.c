/// @file
/// Unit tests of scheduling decisions: machines needed, pace, waiting order, health, placement and
/// placement rounds.

#include "manager_fixture.h"
#include "sched/health.h"
#include "sched/order_budget.h"
#include "sched/pace.h"
#include "sched/place.h"
#include "sched/pools.h"
#include "sched/schedule.h"

/* Machines needed. */

static void test_surge_needs_more_machines(void)
{
	struct pool_load load = {.machine_cpu_milli = 32000,
				 .machines = 8,
				 .long_running_cpu_milli = 30000,
				 .arriving_cpu_milli = 10000,
				 .running_cpu_milli = 10000};

	g_assert_cmpuint(pools_machines_needed(&load), <=, 3);
	load.arriving_cpu_milli = 500000; /* four times the mean of a pool of eight */
	g_assert_cmpuint(pools_machines_needed(&load), >, 16);
	load.arriving_cpu_milli = 0;
	load.waiting_core_us = 800000000; /* a backlog of 800 core-seconds */
	load.waiting_cpu_milli = 800000;
	g_assert_cmpuint(pools_machines_needed(&load), >, 16);
}

/// A few long tasks are much work, but no more machines can work on them than there are tasks.
static void test_few_large_tasks_need_few_machines(void)
{
	const struct pool_load load = {.machine_cpu_milli = 32000,
				       .machines = 8,
				       .waiting_core_us = 1440000000,
				       .waiting_cpu_milli = 240000};

	g_assert_cmpuint(pools_machines_needed(&load), <=, 10);
}

/// One job in half a second says little about the next second; forty say a lot.
static void test_few_jobs_are_no_surge(void)
{
	const double rate = 1000000;

	g_assert_cmpint(pools_expected_arrivals(rate, 1), <, (int64_t)rate / 2);
	g_assert_cmpint(pools_expected_arrivals(rate, 40), >, (int64_t)rate * 9 / 10);
}

/// The machines of a surge were ordered over seconds, as the mean rate followed it slowly. Neither
/// a few jobs nor the variation of a steady rate are an onset.
static void test_onset_of_surge_is_seen_before_the_mean(void)
{
	int64_t mean = 1000000;

	g_assert_cmpint(pools_expected_arrivals_at_onset(mean, 4000000, 20), >, 3500000);
	g_assert_cmpint(pools_expected_arrivals_at_onset(mean, 4000000, 7), ==, mean);
	g_assert_cmpint(pools_expected_arrivals_at_onset(mean, 1500000, 20), ==, mean);
	g_assert_cmpint(pools_expected_arrivals_at_onset(mean, 0, 0), ==, mean);
}

static void test_endpoint_limit_needs_machines(void)
{
	struct pool_load load = {.machine_cpu_milli = 32000, .machines = 8, .spread = 6};

	g_assert_cmpuint(pools_machines_needed(&load), ==, 6);
}

static void test_unknown_machine_size_keeps_count(void)
{
	struct pool_load load = {.machines = 5, .waiting_core_us = 1000000};

	g_assert_cmpuint(pools_machines_needed(&load), ==, 5);
}

/* Budget of machine orders. */

#define ORDERS_PER_S 200
#define ORDER_STEP_MS 10

/// The machine service refuses what exceeds its limit in any second.
static void test_order_budget_holds_in_any_second(void)
{
	unsigned int sent[3000 / ORDER_STEP_MS] = {0};
	struct order_budget b;

	order_budget_init(&b, ORDERS_PER_S, 0);
	for (unsigned int i = 0; i < G_N_ELEMENTS(sent); i++) {
		unsigned int in_second = 0;

		/* Idle in the first half of the second second, so that a burst follows. */
		while ((i < 100 || i > 150) &&
		       order_budget_allows(&b, (clock_ms_t)i * ORDER_STEP_MS, 0)) {
			order_budget_take(&b);
			sent[i]++;
		}
		for (unsigned int k = 0; k < 1000 / ORDER_STEP_MS && k <= i; k++)
			in_second += sent[i - k];
		g_assert_cmpuint(in_second, <=, ORDERS_PER_S);
	}
	g_assert_cmpuint(sent[0], >=, ORDERS_PER_S / 5);
}

/* Pace. */

static void test_best_effort_yields_to_latency_sensitive(void)
{
	uint32_t pace = PACE_FULL;

	g_assert_cmpuint(pace_next(pace, 140), ==, 0);
	for (int i = 0; i < 4; i++)
		pace = pace_next(pace, 100);
	g_assert_cmpuint(pace, ==, 0);
	for (int i = 0; i < 20; i++)
		pace = pace_next(pace, 50);
	g_assert_cmpuint(pace, ==, PACE_FULL);
	g_assert_cmpuint(pace_next(40, 85), ==, 40);
}

/* Waiting order. */

static void test_waiting_order(void)
{
	const struct waiting_key urgent = {.priority = 0, .slack_ms = 900};
	const struct waiting_key soon = {.priority = 1, .slack_ms = 100};
	const struct waiting_key later = {.priority = 1, .slack_ms = 500};
	const struct waiting_key missed = {.priority = 1, .late = true, .slack_ms = -50};

	g_assert_cmpint(schedule_compare(&urgent, &soon), <, 0);
	g_assert_cmpint(schedule_compare(&soon, &later), <, 0);
	g_assert_cmpint(schedule_compare(&later, &missed), <, 0);
	g_assert_cmpint(schedule_compare(&missed, &soon), >, 0);
}

/* Health. */

static void test_failing_endpoint_is_quarantined(void)
{
	struct endpoint *e = endpoint_new("i-1");

	health_record_failure(e, 1000, "j1", false);
	health_record_failure(e, 1010, "j1", false);
	g_assert_false(health_is_quarantined(e, 1020)); /* may be the job's own fault */
	health_record_failure(e, 1100, "j2", false);
	g_assert_true(health_is_quarantined(e, 1200));
	g_assert_false(health_is_quarantined(e, 3000));
	g_assert_true(health_is_on_probation(e));
	health_record_success(e);
	g_assert_false(health_is_on_probation(e));
	health_record_failure(e, 3000, "j3", false);
	g_assert_false(health_is_quarantined(e, 3001));
	endpoint_free(e);
}

/* Placement. */

static void test_place_choose(void)
{
	g_autoptr(GArray) list = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	struct endpoint *e[3];
	job_step step = {
		.count = 1, .cpu_milli = 1000, .mem_mb = 100, .label = "", .data_rack = ""};
	struct place_request q = {.step = &step, .job = "j"};

	for (int i = 0; i < 3; i++) {
		struct place_candidate c;

		e[i] = endpoint_new(i == 0 ? "a" : i == 1 ? "b" : "c");
		e[i]->cpu_milli = 4000;
		e[i]->mem_mb = 4000;
		g_ptr_array_add(e[i]->labels, g_strdup("kind"));
		g_ptr_array_add(e[i]->labels, g_strdup(i == 2 ? "r2" : "r1"));
		c = (struct place_candidate){.endpoint = e[i]};
		place_set_capacity(&c, (struct resources){4000, 4000, 0});
		g_array_append_val(list, c);
	}
	place_set_capacity(&g_array_index(list, struct place_candidate, 1),
			   (struct resources){1500, 4000, 0});
	g_assert_cmpint(place_choose(list, &q), ==, 1); /* the least free capacity wins */
	step.cpu_milli = 2000;
	g_assert_cmpint(place_choose(list, &q), !=, 1); /* does not fit on 1 */
	step.data_rack = "r2";
	g_assert_cmpint(place_choose(list, &q), ==, 2); /* on the rack of its data */
	step.label = "other";
	g_assert_cmpint(place_choose(list, &q), ==, -1);
	step.label = "";
	q.needs_ticket = true;
	g_assert_cmpint(place_choose(list, &q), ==, -1);
	q.needs_ticket = false;
	step.data_rack = "";
	g_array_index(list, struct place_candidate, 0).quarantined = true;
	g_assert_cmpint(place_choose(list, &q), ==, 2); /* 0 is quarantined */
	q.failed_at = "c";
	/* Avoiding an earlier failure outweighs quarantine. */
	g_assert_cmpint(place_choose(list, &q), ==, 0);
	for (int i = 0; i < 3; i++)
		endpoint_free(e[i]);
}

/* Placement rounds. */

#define SURGE_JOBS 500

/// In a surge far more tasks wait than a pool holds. A round must not check each of them against
/// each endpoint, or the leader spends its time on tasks that cannot start.
static void test_full_pool_is_skipped(void)
{
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	fixture_put_config(m, now);
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_submit(m, now, "first", FIXTURE_CPU_MILLI / 1000);
	for (int i = 0; i < SURGE_JOBS; i++) {
		g_autofree char *id = g_strdup_printf("j%d", i);

		fixture_submit(m, now, id, 1);
	}
	g_assert_cmpuint(schedule_round(m, now, now), >=, 1);
	g_assert_cmpuint(schedule_round(m, now, now), ==, 0);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	g_assert_cmpuint(schedule_round(m, now, now), >=, FIXTURE_CPU_MILLI / 1000);
	manager_free(m);
}

/* Count of waiting jobs. */

#define QUEUE "h /q/"
#define SETTLING_MS 1000   ///< covers a status query, a stop and their repetitions
#define LEASE_LOSS_MS 8000 ///< above the longest lease of the fixture

/// An endpoint "i-1" and the attempts that it was ordered to start. Proposals commit at once.
struct world {
	struct manager *m;
	struct jobs *state; ///< committed state
	clock_ms_t now;
	uint64_t term;
	GPtrArray *starts;	     ///< struct order: starts, oldest first
	enum order_status answer;    ///< to starts
	bool holds_starts;	     ///< starts get no answer for now
	bool mute;		     ///< other orders get none at all
	uint32_t running;	     ///< count of the latest starts that status answers list
	int64_t incarnation_wall_ms; ///< of the endpoint, in status answers; 0: unknown
	const struct order *ended;   ///< status answers list the end of this attempt; NULL: of none
	enum attempt_outcome outcome; ///< of that attempt
};

static void world_init(struct world *w)
{
	*w = (struct world){
		.m = fixture_manager(FIXTURE_START_MS),
		.state = jobs_new(),
		.now = FIXTURE_START_MS,
		.term = 1,
		.starts = g_ptr_array_new_with_free_func((GDestroyNotify)order_free),
		.answer = ORDER_OK,
	};
	fixture_put_config(w->m, w->now);
	fixture_heartbeat(w->m, w->now, "i-1", "m-1", 1);
}

static void world_clear(struct world *w)
{
	manager_free(w->m);
	jobs_free(w->state);
	g_ptr_array_unref(w->starts);
}

static const struct order *latest_start(const struct world *w)
{
	g_assert_cmpuint(w->starts->len, >, 0);
	return w->starts->pdata[w->starts->len - 1];
}

static void answer(struct world *w, uint64_t id, enum order_status status)
{
	struct order_result *r = order_result_new(id, status);

	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

static void answer_status_query(struct world *w, uint64_t id)
{
	struct order_result *r = order_result_new(id, ORDER_OK);

	r->clock_ms = w->now;
	r->incarnation_wall_ms = w->incarnation_wall_ms;
	for (guint i = w->starts->len; i > w->starts->len - w->running; i--) {
		const struct order *o = w->starts->pdata[i - 1];
		struct running_attempt row = {
			.task = g_strdup(o->task),
			.attempt = o->attempt,
			.checkpoint = g_strdup(""),
			.percent = (uint32_t)(w->now % 100), /* progress */
		};

		g_array_append_val(r->runs, row);
	}
	if (w->ended) {
		struct completion_record row = {
			.number = 1,
			.task = g_strdup(w->ended->task),
			.attempt = w->ended->attempt,
			.outcome = w->outcome,
			.checkpoint = g_strdup(""),
		};

		g_array_append_val(r->completions, row);
	}
	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

static void handle_effect(struct world *w, struct effect *e)
{
	if (e->type == EFFECT_PROPOSE) {
		fixture_commit(w->state, e->u.command);
	} else if (e->type == EFFECT_ORDER && e->u.order->type == ORDER_START) {
		g_ptr_array_add(w->starts, g_steal_pointer(&e->u.order));
		if (!w->holds_starts)
			answer(w, latest_start(w)->id, w->answer);
	} else if (e->type == EFFECT_ORDER && e->u.order->type == ORDER_STATUS_QUERY && !w->mute) {
		answer_status_query(w, e->u.order->id);
	} else if (e->type == EFFECT_ORDER) {
		answer(w, e->u.order->id, w->mute ? ORDER_NO_ANSWER : ORDER_OK);
	}
}

static void run_for(struct world *w, clock_ms_t ms)
{
	for (clock_ms_t until = w->now + ms; w->now < until; w->now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(w->m, w->now, w->now);
		effects = manager_take_effects(w->m);
		for (guint i = 0; i < effects->len; i++)
			handle_effect(w, effects->pdata[i]);
	}
}

/// Runs the manager until it has sent another start.
static void run_until_start(struct world *w)
{
	guint starts = w->starts->len;

	for (int i = 0; i < 1000 && w->starts->len == starts; i++)
		run_for(w, MANAGER_TICK_MS);
	g_assert_cmpuint(w->starts->len, >, starts);
}

/// Replaces the leader; the endpoint is in touch with the next one.
static void change_leader(struct world *w)
{
	manager_free(w->m);
	w->m = fixture_next_manager(w->state, ++w->term, w->now, w->now);
	fixture_heartbeat(w->m, w->now, "i-1", "m-1", 1);
}

static uint32_t count_waiting(const struct world *w)
{
	return schedule_count_waiting(w->m, QUEUE);
}

/// Checks the count with the present leader and with a next one.
static void assert_still_waits(struct world *w)
{
	g_assert_cmpuint(count_waiting(w), ==, 1);
	change_leader(w);
	g_assert_cmpuint(count_waiting(w), ==, 1);
}

/// An order to start is not a start: a job of which no attempt is known to run waits while its
/// start is in flight or unanswered, and once it was stopped, with this leader and the next.
static void test_job_whose_start_was_not_executed_still_waits(void)
{
	struct world w;

	world_init(&w);
	w.holds_starts = true;
	fixture_submit(w.m, w.now, "j", 1);
	g_assert_cmpuint(count_waiting(&w), ==, 1);
	run_until_start(&w);
	g_assert_cmpuint(count_waiting(&w), ==, 1);
	answer(&w, latest_start(&w)->id, ORDER_NO_ANSWER);
	g_assert_cmpuint(count_waiting(&w), ==, 1);
	run_until_start(&w); /* the first attempt was stopped and released */
	assert_still_waits(&w);
	world_clear(&w);
}

static void test_job_whose_start_was_refused_still_waits(void)
{
	const enum order_status refusals[] = {ORDER_NO_CAPACITY, ORDER_TRY_LATER, ORDER_NOT_SENT};

	for (guint i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct world w;

		world_init(&w);
		w.answer = refusals[i];
		fixture_submit(w.m, w.now, "j", 1);
		run_until_start(&w);
		assert_still_waits(&w);
		world_clear(&w);
	}
}

/// A job whose attempt is known to run has begun; a next leader knows that once a status answer
/// lists the attempt.
static void test_job_with_running_attempt_does_not_wait(void)
{
	struct world w;

	world_init(&w);
	fixture_submit(w.m, w.now, "j", 1);
	run_until_start(&w);
	g_assert_cmpuint(count_waiting(&w), ==, 0);
	w.running = 1;
	run_for(&w, SETTLING_MS);
	g_assert_cmpuint(count_waiting(&w), ==, 0);
	change_leader(&w);
	g_assert_cmpuint(count_waiting(&w), ==, 1); /* not listed yet */
	run_for(&w, SETTLING_MS);
	g_assert_cmpuint(w.starts->len, ==, 1);
	g_assert_cmpuint(count_waiting(&w), ==, 0);
	world_clear(&w);
}

/// The only attempts of a job ended with their endpoint, without a result: it waits again.
static void test_job_whose_endpoint_was_lost_waits_again(void)
{
	/* A lost endpoint is logged as a warning. */
	const GLogLevelFlags fatal = g_log_set_always_fatal(G_LOG_FATAL_MASK);
	struct world w;

	world_init(&w);
	w.running = 1;
	fixture_submit(w.m, w.now, "j", 1);
	run_until_start(&w);
	run_for(&w, SETTLING_MS);
	g_assert_cmpuint(count_waiting(&w), ==, 0);
	w.mute = true;
	w.holds_starts = true;
	run_for(&w, LEASE_LOSS_MS);
	assert_still_waits(&w);
	world_clear(&w);
	g_log_set_always_fatal(fatal);
}

/// An endpoint that restarts has lost the attempts that its earlier incarnation listed; one that
/// only a start order's answer confirmed may run at either incarnation. The heartbeat of the later
/// incarnation proves nothing, its answer does.
static void test_job_whose_endpoint_restarted_waits_again(void)
{
	for (int listed = 0; listed < 2; listed++) {
		struct world w;

		world_init(&w);
		w.running = listed;
		w.mute = !listed;
		fixture_submit(w.m, w.now, "j", 1);
		run_until_start(&w);
		run_for(&w, listed ? SETTLING_MS : MANAGER_TICK_MS);
		g_assert_cmpuint(count_waiting(&w), ==, 0);
		w.mute = true;
		w.holds_starts = true;
		fixture_heartbeat(w.m, w.now, "i-1", "m-1", 2);
		g_assert_cmpuint(count_waiting(&w), ==, 0);
		w.mute = false;
		w.running = 0;
		w.incarnation_wall_ms = 2;
		run_for(&w, 2 * MANAGER_TICK_MS);
		g_assert_cmpuint(count_waiting(&w), ==, 1);
		world_clear(&w);
	}
}

/// A job with a result has begun, even if none of its other tasks has an attempt, and for the next
/// leader as well.
static void test_job_with_result_does_not_wait(void)
{
	const enum attempt_outcome outcomes[] = {ATTEMPT_DONE, ATTEMPT_FAILED};

	for (guint i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct world w;

		world_init(&w);
		w.running = 2;
		fixture_submit(w.m, w.now, "j", 2);
		run_until_start(&w);
		run_for(&w, SETTLING_MS);
		g_assert_cmpuint(w.starts->len, ==, 2);
		w.running = 1;
		w.ended = w.starts->pdata[0];
		w.outcome = outcomes[i];
		w.answer = ORDER_NO_CAPACITY;
		run_for(&w, SETTLING_MS);
		w.running = 0;
		run_for(&w, SETTLING_MS);
		g_assert_cmpuint(w.starts->len, >, 2);
		g_assert_cmpuint(count_waiting(&w), ==, 0);
		change_leader(&w);
		g_assert_cmpuint(count_waiting(&w), ==, 0);
		world_clear(&w);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sched/onset_of_surge_is_seen_before_the_mean",
			test_onset_of_surge_is_seen_before_the_mean);
	g_test_add_func("/sched/surge_needs_more_machines", test_surge_needs_more_machines);
	g_test_add_func("/sched/few_large_tasks_need_few_machines",
			test_few_large_tasks_need_few_machines);
	g_test_add_func("/sched/few_jobs_are_no_surge", test_few_jobs_are_no_surge);
	g_test_add_func("/sched/endpoint_limit_needs_machines", test_endpoint_limit_needs_machines);
	g_test_add_func("/sched/unknown_machine_size_keeps_count",
			test_unknown_machine_size_keeps_count);
	g_test_add_func("/sched/order_budget_holds_in_any_second",
			test_order_budget_holds_in_any_second);
	g_test_add_func("/sched/best_effort_yields_to_latency_sensitive",
			test_best_effort_yields_to_latency_sensitive);
	g_test_add_func("/sched/waiting_order", test_waiting_order);
	g_test_add_func("/sched/failing_endpoint_is_quarantined",
			test_failing_endpoint_is_quarantined);
	g_test_add_func("/sched/place_choose", test_place_choose);
	g_test_add_func("/sched/full_pool_is_skipped", test_full_pool_is_skipped);
	g_test_add_func("/sched/job_whose_start_was_not_executed_still_waits",
			test_job_whose_start_was_not_executed_still_waits);
	g_test_add_func("/sched/job_whose_start_was_refused_still_waits",
			test_job_whose_start_was_refused_still_waits);
	g_test_add_func("/sched/job_with_running_attempt_does_not_wait",
			test_job_with_running_attempt_does_not_wait);
	g_test_add_func("/sched/job_whose_endpoint_was_lost_waits_again",
			test_job_whose_endpoint_was_lost_waits_again);
	g_test_add_func("/sched/job_whose_endpoint_restarted_waits_again",
			test_job_whose_endpoint_restarted_waits_again);
	g_test_add_func("/sched/job_with_result_does_not_wait", test_job_with_result_does_not_wait);
	return g_test_run();
}
