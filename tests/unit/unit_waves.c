/// @file
/// Maintenance waves through the job manager's public interface: cases that the property tests
/// rarely reach.

#include "manager_fixture.h"

#include <string.h>

#define HOLDER_LEASE_MS FIXTURE_HOLDER_LEASE_MS
#define MAINTENANCE_MS FIXTURE_MAINTENANCE_MS

static void put_wave(struct manager *m, clock_ms_t now, const char *const *machines, unsigned int n,
		     uint32_t cap)
{
	struct call c = {.type = CALL_WAVE_PUT, .wave_s = 30};

	c.wave.number = 1;
	c.wave.cap = cap;
	c.wave.machines.machines_val = calloc(n, sizeof(job_wave_machine));
	for (unsigned int i = 0; i < n; i++)
		c.wave.machines.machines_val[c.wave.machines.machines_len++].machine =
			strdup(machines[i]);
	manager_handle_call(m, now, now, 2, &c);
	call_clear(&c);
}

/// Runs the manager from @p from to @p until and accepts every maintenance order.
///
/// @return number of maintenance orders sent
static unsigned int run_and_count_maintenance_orders(struct manager *m, clock_ms_t from,
						     clock_ms_t until)
{
	unsigned int n = 0;

	for (clock_ms_t now = from; now < until; now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];
			struct order_result *r;

			if (e->type != EFFECT_ORDER ||
			    e->u.order->type != ORDER_MACHINE_MAINTENANCE)
				continue;
			n++;
			r = order_result_new(e->u.order->id, ORDER_OK);
			manager_handle_result(m, now, now, r);
			order_result_free(r);
		}
	}
	return n;
}

/// An incarnation that started just before the maintenance sends its first heartbeat just after the
/// order. This must not count as the machine's return, or the cap is exceeded.
static void test_heartbeat_before_maintenance_is_no_return(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 300), ==, 1);
	now += 300;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 1000), ==, 0);
	manager_free(m);
}

/// The next machine goes down once the first one has returned from maintenance.
static void test_returned_machine_frees_the_cap(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + MAINTENANCE_MS), ==, 1);
	now += MAINTENANCE_MS + 100;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 1000), ==, 1);
	manager_free(m);
}

/// Orders that the manager has sent.
struct seen_orders {
	unsigned int starts;
	uint64_t status_query; ///< order id of the latest status query, unanswered
	uint64_t maintenance;  ///< order id of the latest maintenance order, unanswered
};

/// Runs the manager from @p from to @p until and accepts start orders only.
static void run_accepting_starts(struct manager *m, clock_ms_t from, clock_ms_t until,
				 struct seen_orders *seen)
{
	for (clock_ms_t now = from; now < until; now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];
			struct order_result *r;

			if (e->type != EFFECT_ORDER)
				continue;
			if (e->u.order->type == ORDER_STATUS_QUERY)
				seen->status_query = e->u.order->id;
			if (e->u.order->type == ORDER_MACHINE_MAINTENANCE)
				seen->maintenance = e->u.order->id;
			if (e->u.order->type != ORDER_START)
				continue;
			seen->starts++;
			r = order_result_new(e->u.order->id, ORDER_OK);
			manager_handle_result(m, now, now, r);
			order_result_free(r);
		}
	}
}

/// Runs one task at a machine, accepts the machine's maintenance, and answers the status query that
/// is in flight @p delay_ms later with the task's completion. The completion must be recorded, or
/// the task runs a second time.
static void check_listed_completion_survives(clock_ms_t delay_ms)
{
	const char *const machines[] = {"m-1"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);
	struct seen_orders seen = {0};
	struct order_result *r;
	struct completion_record end = {.number = 1, .attempt = 1, .outcome = ATTEMPT_DONE};
	uint64_t status_query;

	now += HOLDER_LEASE_MS + 1000;
	fixture_put_config(m, now);
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_submit(m, now, "j", 1);
	run_accepting_starts(m, now, now + 200, &seen);
	now += 200;
	g_assert_cmpuint(seen.starts, ==, 1);
	put_wave(m, now, machines, 1, 1);
	run_accepting_starts(m, now, now + 3000, &seen);
	now += 3000;
	status_query = seen.status_query;
	g_assert_cmpuint(status_query, !=, 0);
	g_assert_cmpuint(seen.maintenance, !=, 0);
	r = order_result_new(seen.maintenance, ORDER_OK);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	run_accepting_starts(m, now, now + delay_ms, &seen);
	now += delay_ms;
	r = order_result_new(status_query, ORDER_OK);
	end.task = g_strdup("j.0.0.0");
	end.checkpoint = g_strdup("");
	g_array_append_val(r->completions, end);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	run_accepting_starts(m, now, now + 1000, &seen);
	g_assert_cmpuint(seen.starts, ==, 1);
	manager_free(m);
}

static void test_listed_completion_survives_maintenance(void)
{
	check_listed_completion_survives(0);
}

/// The answer to the status query is on its way for longer than usual, through a busy replica.
static void test_late_listed_completion_survives_maintenance(void)
{
	check_listed_completion_survives(600);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waves/heartbeat_before_maintenance_is_no_return",
			test_heartbeat_before_maintenance_is_no_return);
	g_test_add_func("/waves/returned_machine_frees_the_cap",
			test_returned_machine_frees_the_cap);
	g_test_add_func("/waves/listed_completion_survives_maintenance",
			test_listed_completion_survives_maintenance);
	g_test_add_func("/waves/late_listed_completion_survives_maintenance",
			test_late_listed_completion_survives_maintenance);
	return g_test_run();
}
