/// @file
/// Planned stops (SIGTERM) under load: every program exits with status 0 and interrupts no request.

#include "harness.h"

#include <signal.h>
#include <string.h>

static const struct harness_settings seven_entries = {.entries = 7};

static void assert_nothing_cut(const struct load_result *r)
{
	g_assert_cmpint(r->ok, >, 500);
	g_assert_cmpint(r->ok, ==, r->ran);
	g_assert_cmpint(r->errors, ==, 0);
	g_assert_cmpint(r->may_have_run, ==, 0);
	g_assert_cmpint(r->not_run, ==, 0);
}

/// Three entries stop and restart in turn, as in a rolling update. Requests without keys are not
/// resent, so each one that an entry interrupts would be counted.
static void test_entries_stop_one_by_one(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(
		h, "--path=/a --method=POST --duration=9000 --concurrency=30 --pause=5");
	for (int i = 0; i < 3; i++) {
		g_usleep(500000);
		program_signal(&h->entries[i], SIGTERM);
		g_assert_cmpint(program_wait(&h->entries[i]), ==, 0);
		g_usleep(300000);
		program_start(h, &h->entries[i]);
		g_usleep(700000);
	}
	r = harness_finish_load(load);
	assert_nothing_cut(&r);
	g_assert_cmpint(harness_read_results(h).pool_overlaps, ==, 0);
	harness_free(h);
}

/// The control replicas stop and restart in turn, so that leadership moves. Requests with keys need
/// control to grant their claims and must all succeed.
static void test_controls_stop_one_by_one(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(
		h, "--path=/a --method=POST --keyed --duration=9000 --concurrency=30 "
		   "--pause=5");
	for (int i = 0; i < 3; i++) {
		g_usleep(500000);
		program_signal(&h->controls[i], SIGTERM);
		g_assert_cmpint(program_wait(&h->controls[i]), ==, 0);
		program_start(h, &h->controls[i]);
		g_usleep(1500000);
	}
	r = harness_finish_load(load);
	assert_nothing_cut(&r);
	harness_free(h);
}

/// An entry waits for a long request before it exits.
static void test_long_request_is_not_cut(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(h, "--path=/a --method=POST --duration=100 --concurrency=14 "
				     "--headers=Fake-Delay:4000");
	g_usleep(500000);
	for (int i = 0; i < 6; i++)
		program_signal(&h->entries[i], SIGTERM);
	r = harness_finish_load(load);
	g_assert_cmpint(r.ok, ==, 14);
	for (int i = 0; i < 6; i++)
		g_assert_cmpint(program_wait(&h->entries[i]), ==, 0);
	harness_free(h);
}

/// An entry that can't reach control exits when its lease has expired.
static void test_entry_stops_without_control(void)
{
	struct harness *h = harness_new(&seven_entries);

	for (int i = 0; i < HARNESS_CONTROLS; i++)
		program_kill(&h->controls[i]);
	program_signal(&h->entries[0], SIGTERM);
	g_assert_true(
		harness_wait_until(!g_subprocess_get_identifier(h->entries[0].process), 8000));
	g_assert_cmpint(program_wait(&h->entries[0]), ==, 0);
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stops/entries_stop_one_by_one", test_entries_stop_one_by_one);
	g_test_add_func("/stops/controls_stop_one_by_one", test_controls_stop_one_by_one);
	g_test_add_func("/stops/long_request_is_not_cut", test_long_request_is_not_cut);
	g_test_add_func("/stops/entry_stops_without_control", test_entry_stops_without_control);
	return g_test_run();
}
