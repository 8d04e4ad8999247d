/// @file
/// Guards against an instance that serves two pools at once, or that gets requests while it is
/// leaving. Both come about when an entry or control acts on an outdated assignment after a process
/// was killed, frozen or restarted during a move. Checked against the run logs of the fake
/// endpoints.

#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const struct harness_settings seven_entries = {
	.entries = 7,
	.control_flags = "--deadline-max=2000 --probation=500",
	.entry_flags = "--deadline-max=2000",
};

#define ROUTES                                                                                     \
	"{\"routes\":["                                                                            \
	"{\"name\":\"s\",\"match\":{\"path_prefix\":\"/s\"},\"pool\":\"s\",\"deadline_ms\":2000}," \
	"{\"name\":\"a\",\"pool\":\"a\",\"deadline_ms\":2000}]}"

/// Loads that surge on both pools in turn, so that instances move back and forth.
struct surges {
	struct program *loads[4];
};

static void start_surges(struct harness *h, struct surges *s)
{
	static const char *const flags[] = {
		"--path=/a --duration=3000 --concurrency=120",
		"--path=/s --duration=9000 --concurrency=8 --headers=Fake-Delay:150",
		"--path=/a --duration=9000 --concurrency=8 --headers=Fake-Delay:150",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(flags); i++)
		s->loads[i] = harness_start_load(h, flags[i]);
	g_usleep(3500000);
	s->loads[3] = harness_start_load(h, "--path=/s --duration=5000 --concurrency=110");
}

static void end_surges(struct surges *s, struct load_result *sum)
{
	*sum = (struct load_result){0};
	for (size_t i = 0; i < G_N_ELEMENTS(s->loads); i++) {
		struct load_result r = harness_finish_load(s->loads[i]);

		sum->ok += r.ok;
		sum->ran += r.ran;
		sum->not_run += r.not_run;
		sum->may_have_run += r.may_have_run;
		sum->errors += r.errors;
	}
}

static void assert_one_pool_each(struct harness *h)
{
	struct run_summary runs = harness_read_results(h);

	g_assert_cmpint(runs.runs, >, 1000);
	g_assert_cmpint(runs.pool_overlaps, ==, 0);
	g_assert_cmpint(runs.false_not_run, ==, 0);
	g_assert_cmpint(harness_status_member(h, "moves"), >, 0);
}

static struct harness *start(void)
{
	struct harness *h = harness_new(&seven_entries);

	harness_set_up_two_pools(h);
	harness_put_table(h, "routes", ROUTES);
	return h;
}

/// The leader is killed during moves. The next one must know all grants and revocations, and no
/// request may go without a complete response.
static void test_leader_killed(void)
{
	struct harness *h = start();
	struct load_result sum;
	struct surges s;

	start_surges(h, &s);
	program_kill(&h->controls[harness_leader(h)]);
	end_surges(&s, &sum);
	g_assert_cmpint(sum.errors, ==, 0);
	g_assert_cmpint(sum.ok, ==, sum.ran);
	assert_one_pool_each(h);
	harness_free(h);
}

/// Entries are killed during moves, one of them restarts. Requests that a killed entry has sent may
/// still run at instances that are then granted to other entries.
static void test_entry_killed_and_restarted(void)
{
	struct harness *h = start();
	struct load_result sum;
	struct surges s;

	start_surges(h, &s);
	program_kill(&h->entries[1]);
	g_usleep(500000);
	program_start(h, &h->entries[1]);
	program_kill(&h->entries[4]);
	end_surges(&s, &sum);
	assert_one_pool_each(h);
	harness_free(h);
}

/// The instances of a frozen entry are granted to others after its lease has expired. When it
/// resumes, it must not send requests to them.
static void test_entry_frozen_past_its_lease(void)
{
	struct harness *h = start();
	struct load_result sum;
	struct surges s;

	start_surges(h, &s);
	program_signal(&h->entries[0], SIGSTOP);
	program_signal(&h->entries[3], SIGSTOP);
	g_usleep(4500000);
	program_signal(&h->entries[0], SIGCONT);
	g_usleep(300000);
	program_signal(&h->entries[3], SIGCONT);
	end_surges(&s, &sum);
	assert_one_pool_each(h);
	harness_free(h);
}

/// The leader is frozen for 3 s and replaced. When it resumes, it must not grant or revoke
/// instances as if it still led.
static void test_leader_frozen_and_resumed(void)
{
	struct harness *h = start();
	struct load_result sum;
	struct surges s;
	unsigned int old;

	start_surges(h, &s);
	old = harness_leader(h);
	program_signal(&h->controls[old], SIGSTOP);
	g_usleep(3000000);
	program_signal(&h->controls[old], SIGCONT);
	end_surges(&s, &sum);
	g_assert_cmpint(sum.errors, ==, 0);
	g_assert_cmpuint(harness_leader(h), !=, old);
	assert_one_pool_each(h);
	harness_free(h);
}

/// All endpoints of pool "s" restart as new incarnations during moves. Entries may still hold
/// grants for the earlier incarnations.
static void test_endpoint_restarts_during_moves(void)
{
	struct harness *h = start();
	struct load_result sum;
	struct surges s;

	start_surges(h, &s);
	program_kill(&h->endpoints[1]);
	harness_restart_endpoints(h, &h->endpoints[1], 2);
	end_surges(&s, &sum);
	assert_one_pool_each(h);
	harness_free(h);
}

/// @return wall-clock time, ms, at which the last request was started on an instance whose name has
/// the prefix; 0: none
static gint64 last_start_wall_ms(struct harness *h, const char *prefix)
{
	g_autofree char *path = g_build_filename(h->dir, "runs", NULL);
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	gint64 last = 0;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);

		if (g_strv_length(f) == 8 && g_str_has_prefix(f[1], prefix) &&
		    g_str_equal(f[6], "start"))
			last = g_ascii_strtoll(f[0], NULL, 10);
	}
	return last;
}

/// Starts the harness with two more instances of pool "a" in one process, which a test can have
/// leave.
static struct harness *start_with_leaving_endpoint(struct program **leaving_endpoint)
{
	struct harness *h = start();

	*leaving_endpoint = harness_start_endpoints(h, "a-x", 2, NULL);
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 10, 5000));
	return h;
}

/// Endpoints report under load that they are leaving. They must get no requests later than 2 s
/// after that, and no request may fail.
static void test_leaving_gets_no_new_work(void)
{
	struct program *leaving_endpoint;
	struct harness *h = start_with_leaving_endpoint(&leaving_endpoint);
	struct program *load = harness_start_load(h, "--path=/a --duration=5000 --concurrency=70");
	struct load_result r;
	gint64 left_wall_ms;

	g_usleep(1500000);
	program_signal(leaving_endpoint, SIGUSR1);
	left_wall_ms = clock_wall();
	r = harness_finish_load(load);
	g_assert_cmpint(r.errors + r.may_have_run + r.not_run, ==, 0);
	g_assert_cmpint(last_start_wall_ms(h, "a-x"), >, 0);
	g_assert_cmpint(last_start_wall_ms(h, "a-x"), <, left_wall_ms + 2000);
	harness_free(h);
}

/// Endpoints report that they are leaving while control has no leader. They must get no requests
/// later than 2 s after that.
static void test_leaving_during_failover(void)
{
	struct program *leaving_endpoint;
	struct harness *h = start_with_leaving_endpoint(&leaving_endpoint);
	struct program *load = harness_start_load(h, "--path=/a --duration=6000 --concurrency=70");
	struct load_result r;
	gint64 left_wall_ms;

	g_usleep(1500000);
	program_kill(&h->controls[harness_leader(h)]);
	program_signal(leaving_endpoint, SIGUSR1);
	left_wall_ms = clock_wall();
	r = harness_finish_load(load);
	g_assert_cmpint(r.errors + r.may_have_run, ==, 0);
	g_assert_cmpint(last_start_wall_ms(h, "a-x"), <, left_wall_ms + 2000);
	harness_free(h);
}

/// Instances are removed from the pools table under load. They must get no requests later than 2 s
/// after that.
static void test_removed_from_table_gets_no_new_work(void)
{
	struct program *leaving_endpoint;
	struct harness *h = start_with_leaving_endpoint(&leaving_endpoint);
	struct program *load = harness_start_load(h, "--path=/a --duration=5000 --concurrency=70");
	struct load_result r;
	gint64 removed_wall_ms;

	g_usleep(1500000);
	harness_put_table(
		h, "pools",
		"{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-1\",\"a-2\",\"a-3\",\"a-4\"],"
		"\"max_out\":4},{\"name\":\"s\",\"instances\":[\"s-*\"],\"spare\":true,"
		"\"max_out\":8,\"min_instances\":0}]}");
	removed_wall_ms = clock_wall();
	r = harness_finish_load(load);
	g_assert_cmpint(r.errors + r.may_have_run, ==, 0);
	g_assert_cmpint(last_start_wall_ms(h, "a-x"), <, removed_wall_ms + 2000);
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pools/leader_killed", test_leader_killed);
	g_test_add_func("/pools/entry_killed_and_restarted", test_entry_killed_and_restarted);
	g_test_add_func("/pools/entry_frozen_past_its_lease", test_entry_frozen_past_its_lease);
	g_test_add_func("/pools/leader_frozen_and_resumed", test_leader_frozen_and_resumed);
	g_test_add_func("/pools/endpoint_restarts_during_moves",
			test_endpoint_restarts_during_moves);
	g_test_add_func("/pools/leaving_gets_no_new_work", test_leaving_gets_no_new_work);
	g_test_add_func("/pools/leaving_during_failover", test_leaving_during_failover);
	g_test_add_func("/pools/removed_from_table_gets_no_new_work",
			test_removed_from_table_gets_no_new_work);
	return g_test_run();
}
