/// @file
/// Overload and misbehaving endpoints: retry amplification, endpoints that fail fast, poison
/// requests (which fail on every endpoint), cancelled requests, full queues.

#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define AMPLIFICATION_MAX 1.1
#define RETRIES 2
/* Each of the 7 entries starts with a retry budget of 10, so that 70 retries are allowed at the
 * start. The limit of 1.1 runs per request can hold only with more than 700 requests. */
#define REQUESTS_MIN 700

static const struct harness_settings seven_entries = {.entries = 7};

static void put_tables(struct harness *h, const char *pool_more)
{
	g_autofree char *pools = g_strdup_printf(
		"{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"]%s}]}", pool_more);
	gint64 version;

	harness_put_table(h, "pools", pools);
	version = harness_put_table(h, "routes", "{\"routes\":[{\"name\":\"a\",\"pool\":\"a\"}]}");
	g_assert_true(harness_wait_until(harness_is_in_force(h, version), 2000));
}

/// @return number of requests that were started on instances whose name has the prefix
static long count_runs(struct harness *h, const char *prefix)
{
	g_autofree char *path = g_build_filename(h->dir, "runs", NULL);
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	long n = 0;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);

		n += g_strv_length(f) == 8 && g_str_has_prefix(f[1], prefix) &&
		     g_str_equal(f[6], "start");
	}
	return n;
}

/// Every endpoint closes the connection without a response, so that every request fails. Without a
/// retry budget the retries would multiply the load on the failing endpoints.
static void test_amplification_under_total_failure(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;

	harness_start_endpoints(h, "a-", 8, "--behaviour=close --delay=1");
	put_tables(h, "");
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 8, 10000));
	r = harness_finish_load(harness_start_load(h, "--duration=5000 --concurrency=30"));
	g_assert_cmpint(r.ran, ==, 0);
	g_test_message("%ld requests, %ld runs", r.may_have_run + r.not_run, count_runs(h, "a-"));
	g_assert_cmpint(r.may_have_run, >, REQUESTS_MIN);
	g_assert_cmpfloat((double)count_runs(h, "a-"), <=,
			  AMPLIFICATION_MAX * (double)(r.may_have_run + r.not_run));
	harness_free(h);
}

/// One of nine endpoints responds at once with status 500, while the others take 20 ms. Choosing by
/// open requests alone would send it most of the work.
static void test_fast_failing_endpoint_attracts_no_work(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;
	long bad;
	long good;

	harness_start_endpoints(h, "a-good", 8, NULL);
	harness_start_endpoints(h, "a-bad", 1, "--behaviour=status:500 --delay=0");
	put_tables(h, "");
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 9, 10000));
	r = harness_finish_load(harness_start_load(h, "--duration=5000 --concurrency=30"));
	bad = count_runs(h, "a-bad");
	good = count_runs(h, "a-good");
	g_test_message("%ld runs at the failing endpoint, %ld at eight others", bad, good);
	g_assert_cmpint(r.errors, ==, 0);
	g_assert_cmpint(bad, <, good / 8);
	harness_free(h);
}

/// A request makes each endpoint that gets it close the connection. The entry must abandon it after
/// RETRIES retries, or one request could disturb all endpoints of the pool.
static void test_poison_request_is_tried_on_few_endpoints(void)
{
	struct harness *h = harness_new(&seven_entries);
	g_autofree char *url = NULL;
	const char *const headers[] = {"Fake-Behaviour: close", NULL};

	harness_start_endpoints(h, "a-", 8, NULL);
	put_tables(h, "");
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 8, 10000));
	url = harness_entry_url(h, 0, "/a");
	g_assert_cmpint(harness_http("GET", url, headers, NULL, NULL, NULL), ==, 502);
	g_assert_cmpint(count_runs(h, "a-"), <=, 1 + RETRIES);
	g_assert_cmpint(count_runs(h, "a-"), >=, 1);
	harness_free(h);
}

/// 64 callers, whose requests would take 8 s and occupy all slots, disconnect together. Their slots
/// are then free for others.
static void test_cancellations_free_slots(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *cancelled_callers;
	struct load_result r;

	harness_start_endpoints(h, "a-", 8, NULL);
	put_tables(h, "");
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 8, 10000));
	cancelled_callers =
		harness_start_load(h, "--duration=100 --concurrency=64 --headers=Fake-Delay:8000");
	g_usleep(1500000);
	program_kill(cancelled_callers);
	r = harness_finish_load(harness_start_load(h, "--duration=1000 --concurrency=16"));
	g_assert_cmpint(r.errors, ==, 0);
	g_assert_cmpint(r.ok, >, 100);
	g_assert_cmpint(r.max_us, <, 2000000);
	harness_free(h);
}

/// 60 callers compete for one endpoint with a queue of 2 requests in each entry. Requests beyond
/// that are refused with the verdict "not run" and must not have run.
static void test_full_queue_refuses_as_not_run(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;

	harness_start_endpoints(h, "a-", 1, "--delay=300");
	put_tables(h, ",\"queue_max\":2");
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 1, 10000));
	r = harness_finish_load(
		harness_start_load(h, "--duration=1500 --concurrency=60 --pause=100"));
	g_assert_cmpint(r.not_run, >, 0);
	g_assert_cmpint(r.ran, >, 0);
	g_assert_cmpint(r.errors + r.may_have_run, ==, 0);
	g_assert_cmpint(harness_read_results(h).false_not_run, ==, 0);
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/overload/amplification_under_total_failure",
			test_amplification_under_total_failure);
	g_test_add_func("/overload/fast_failing_endpoint_attracts_no_work",
			test_fast_failing_endpoint_attracts_no_work);
	g_test_add_func("/overload/poison_request_is_tried_on_few_endpoints",
			test_poison_request_is_tried_on_few_endpoints);
	g_test_add_func("/overload/cancellations_free_slots", test_cancellations_free_slots);
	g_test_add_func("/overload/full_queue_refuses_as_not_run",
			test_full_queue_refuses_as_not_run);
	return g_test_run();
}
