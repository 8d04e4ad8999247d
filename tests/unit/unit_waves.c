/// @file
/// Maintenance waves at the job manager's public interface: cases that random ones rarely reach.

#include "manager_fixture.h"

#include <string.h>

#define HOLDER_LEASE_MS FIXTURE_HOLDER_LEASE_MS
#define UPKEEP_MS FIXTURE_MAINTENANCE_MS

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

/// Lets time pass up to @p until and agrees to every upkeep.
///
/// @return upkeep orders sent
static unsigned int count_upkeeps(struct manager *m, clock_ms_t from, clock_ms_t until)
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

/// A life that started just before the upkeep reports just after it: the machine is still down.
static void test_earlier_life_does_not_prove_return(void)
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
	g_assert_cmpuint(count_upkeeps(m, now, now + 300), ==, 1);
	now += 300;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(count_upkeeps(m, now, now + 1000), ==, 0);
	manager_free(m);
}

/// The wave goes on once the machine is back.
static void test_return_lets_the_next_go(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	g_assert_cmpuint(count_upkeeps(m, now, now + UPKEEP_MS), ==, 1);
	now += UPKEEP_MS + 100;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(count_upkeeps(m, now, now + 1000), ==, 1);
	manager_free(m);
}

struct seen {
	unsigned int starts;
	uint64_t look;	 ///< latest look, not answered
	uint64_t upkeep; ///< latest upkeep, not answered
};

/// Lets time pass and agrees to starts only.
static void pass(struct manager *m, clock_ms_t from, clock_ms_t until, struct seen *seen)
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
				seen->look = e->u.order->id;
			if (e->u.order->type == ORDER_MACHINE_MAINTENANCE)
				seen->upkeep = e->u.order->id;
			if (e->u.order->type != ORDER_START)
				continue;
			seen->starts++;
			r = order_result_new(e->u.order->id, ORDER_OK);
			manager_handle_result(m, now, now, r);
			order_result_free(r);
		}
	}
}

/// The end of a task is listed by a look whose answer comes after the upkeep was agreed to.
static void test_listed_end_outlives_upkeep(void)
{
	const char *const machines[] = {"m-1"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);
	struct seen seen = {0};
	struct order_result *r;
	struct completion_record end = {.number = 1, .attempt = 1, .how = ATTEMPT_DONE};

	now += HOLDER_LEASE_MS + 1000;
	fixture_put_config(m, now);
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_submit(m, now, "j", 1);
	pass(m, now, now + 200, &seen);
	now += 200;
	g_assert_cmpuint(seen.starts, ==, 1);
	put_wave(m, now, machines, 1, 1);
	pass(m, now, now + 3000, &seen);
	now += 3000;
	g_assert_cmpuint(seen.look, !=, 0);
	g_assert_cmpuint(seen.upkeep, !=, 0);
	r = order_result_new(seen.upkeep, ORDER_OK);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	r = order_result_new(seen.look, ORDER_OK);
	end.task = g_strdup("j.0.0.0");
	end.checkpoint = g_strdup("");
	g_array_append_val(r->ends, end);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	pass(m, now, now + 1000, &seen);
	g_assert_cmpuint(seen.starts, ==, 1);
	manager_free(m);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waves/earlier_life_does_not_prove_return",
			test_earlier_life_does_not_prove_return);
	g_test_add_func("/waves/return_lets_the_next_go", test_return_lets_the_next_go);
	g_test_add_func("/waves/listed_end_outlives_upkeep", test_listed_end_outlives_upkeep);
	return g_test_run();
}
