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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
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
	return g_test_run();
}
