/// @file
/// Guards against a request that runs twice or whose verdict is wrong. A caller that gets no
/// complete response resends the request with the same idempotency key through another entry, while
/// endpoints, entries or control replicas fail; the key may run at most once. A request reported as
/// "not run" must not have run. Checked against the run logs of the fake endpoints.

#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLERS 6

static const struct harness_settings seven_entries = {.entries = 7};

/// Checks that no key ran twice and that the verdicts of the callers match the run logs.
///
/// @param least number of runs below which the test proves nothing
static void assert_runs_at_most_once(struct harness *h, long least)
{
	struct run_summary runs = harness_read_results(h);

	g_assert_cmpint(runs.runs, >=, least);
	g_assert_cmpint(runs.keys_run_twice, ==, 0);
	g_assert_cmpint(runs.false_not_run, ==, 0);
	g_assert_cmpint(runs.false_ran, ==, 0);
}

static void report(const char *what, const struct load_result *r)
{
	g_test_message("%s: %ld ran, %ld not run, %ld may have run, %ld without a response", what,
		       r->ran, r->not_run, r->may_have_run, r->errors);
}

/// Endpoints send incomplete or invalid responses, so that the entry can't tell whether a request
/// was executed. The callers resend their requests with the same keys through other entries. With
/// "long" and "late-close" the response is complete, so the verdict must be "ran".
static void test_broken_answers(void)
{
	static const char *const behaviours[] = {"close", "short", "garbage",	"unframed",
						 "chunk", "long",  "late-close"};
	struct harness *h = harness_new(&seven_entries);

	harness_set_up_two_pools(h);
	for (size_t i = 0; i < G_N_ELEMENTS(behaviours); i++) {
		g_autofree char *flags = g_strdup_printf(
			"--path=/a --method=POST --keyed --body=50 --duration=500 --concurrency=%d "
			"--resends=2 --pause=20 --headers=Fake-Behaviour:%s",
			CALLERS, behaviours[i]);
		struct load_result r = harness_finish_load(harness_start_load(h, flags));
		bool whole = g_str_equal(behaviours[i], "long") ||
			     g_str_equal(behaviours[i], "late-close");

		report(behaviours[i], &r);
		g_assert_cmpint(r.errors, ==, 0);
		g_assert_cmpint(r.not_run, ==, 0);
		if (whole)
			g_assert_cmpint(r.may_have_run, ==, 0);
		else
			g_assert_cmpint(r.ran, ==, 0);
	}
	assert_runs_at_most_once(h, CALLERS * G_N_ELEMENTS(behaviours));
	harness_free(h);
}

/// An endpoint closes the connection without a response to a POST request without a key. The
/// request may have run, so the entry must not retry it.
static void test_unkeyed_is_not_retried(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;

	harness_set_up_two_pools(h);
	r = harness_finish_load(
		harness_start_load(h, "--path=/a --method=POST --duration=3000 --pause=10 "
				      "--headers=Fake-Behaviour:close"));
	g_assert_cmpint(r.may_have_run, >, 50);
	g_assert_cmpint(r.ran, ==, 0);
	assert_runs_at_most_once(h, r.may_have_run);
	harness_free(h);
}

/// All endpoints of a pool are killed while they run requests and restart 1 s later. A request that
/// an endpoint had received must not run again when it is resent.
static void test_endpoints_killed(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(
		h, "--path=/a --method=POST --keyed --duration=5000 --concurrency=40 "
		   "--resends=8");
	g_usleep(1000000);
	program_kill(&h->endpoints[0]);
	g_usleep(1000000);
	harness_restart_endpoints(h, &h->endpoints[0], 2);
	r = harness_finish_load(load);
	report("endpoints killed", &r);
	g_assert_cmpint(r.errors, ==, 0);
	assert_runs_at_most_once(h, 100);
	harness_free(h);
}

/// Each entry is killed in turn while it forwards requests. The callers resend them through other
/// entries, which know only from the claim of the key that the request may have run.
static void test_entries_killed(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(
		h, "--path=/a --method=POST --keyed --duration=8000 --concurrency=40 "
		   "--resends=8 --body=200");
	for (int i = 0; i < 7; i++) {
		g_usleep(900000);
		program_kill(&h->entries[i]);
		g_usleep(100000);
		program_start(h, &h->entries[i]);
	}
	r = harness_finish_load(load);
	report("entries killed", &r);
	assert_runs_at_most_once(h, 100);
	harness_free(h);
}

/// The leader of control is killed four times. Claims of keys that were granted before a failover
/// must still be known after it, or a resent request would run again.
static void test_control_killed(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;

	harness_set_up_two_pools(h);
	load = harness_start_load(
		h, "--path=/a --method=POST --keyed --duration=8000 --concurrency=40 "
		   "--resends=8 --headers=Fake-Delay:5");
	for (int i = 0; i < 4; i++) {
		unsigned int leader = harness_leader(h);

		program_kill(&h->controls[leader]);
		g_usleep(700000);
		program_start(h, &h->controls[leader]);
		g_usleep(700000);
	}
	r = harness_finish_load(load);
	report("control killed", &r);
	g_assert_cmpint(r.errors, ==, 0);
	assert_runs_at_most_once(h, 100);
	harness_free(h);
}

static long post(struct harness *h, unsigned int entry, const char *key, const char *body,
		 const char *more, char **answer, char **head)
{
	g_autofree char *url = harness_entry_url(h, entry, "/a");
	g_autofree char *idempotency = g_strconcat("Idempotency-Key: ", key, NULL);
	g_autofree char *request = g_strconcat("X-Request-Key: ", key, NULL);
	const char *const headers[] = {idempotency, request, more, NULL};

	return harness_http("POST", url, headers, body, answer, head);
}

/// A resend after a complete response gets the same response, through any entry and also after a
/// failover of control. A resend with another body is rejected.
static void test_resend_gets_first_answer(void)
{
	struct harness *h = harness_new(&seven_entries);
	g_autofree char *first = NULL;
	g_autofree char *body = NULL;

	harness_set_up_two_pools(h);
	g_assert_cmpint(post(h, 0, "one", "x", NULL, &first, NULL), ==, 200);
	g_usleep(100000);
	for (unsigned int i = 0; i < 7; i++) {
		g_autofree char *again = NULL;
		g_autofree char *head = NULL;

		g_assert_cmpint(post(h, i, "one", "x", NULL, &again, &head), ==, 200);
		g_assert_cmpstr(again, ==, first);
		g_assert_nonnull(strstr(head, "Sesamewood-Verdict: ran"));
	}
	g_assert_cmpint(post(h, 1, "one", "y", NULL, &body, NULL), ==, 422);
	program_kill(&h->controls[harness_leader(h)]);
	g_assert_cmpint(post(h, 2, "one", "x", NULL, NULL, NULL), ==, 200);
	g_assert_cmpint(harness_read_results(h).runs, ==, 1);
	harness_free(h);
}

/// The key of a request that did not run can be used again.
static void test_not_run_frees_the_key(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *endpoint = harness_start_endpoints(h, "a-", 1, NULL);
	g_autofree char *head = NULL;
	gint64 version;

	harness_put_table(h, "pools", "{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"]}]}");
	version = harness_put_table(h, "routes", "{\"routes\":[{\"name\":\"a\",\"pool\":\"a\"}]}");
	g_assert_true(harness_wait_until(harness_is_in_force(h, version), 2000));
	g_assert_true(harness_wait_until(harness_count_instances(h, "a", "active") == 1, 10000));
	program_kill(endpoint);
	g_assert_cmpint(post(h, 0, "two", "x", NULL, NULL, &head), ==, 502);
	g_assert_nonnull(strstr(head, "Sesamewood-Verdict: not-run"));
	harness_restart_endpoints(h, endpoint, 2);
	g_assert_true(harness_wait_until(post(h, 1, "two", "x", NULL, NULL, NULL) == 200, 5000));
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/once/broken_answers", test_broken_answers);
	g_test_add_func("/once/unkeyed_is_not_retried", test_unkeyed_is_not_retried);
	g_test_add_func("/once/endpoints_killed", test_endpoints_killed);
	g_test_add_func("/once/entries_killed", test_entries_killed);
	g_test_add_func("/once/control_killed", test_control_killed);
	g_test_add_func("/once/resend_gets_first_answer", test_resend_gets_first_answer);
	g_test_add_func("/once/not_run_frees_the_key", test_not_run_frees_the_key);
	return g_test_run();
}
