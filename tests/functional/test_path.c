/// @file
/// End-to-end tests with real processes: requests, moves, failures of the leader and of entries,
/// input validation.

#include "harness.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

static const struct harness_settings seven_entries = {.entries = 7};
static const struct harness_settings two_entries = {.entries = 2};

static void assert_consistent(struct harness *h, const struct load_result *r)
{
	struct run_summary runs = harness_read_results(h);

	g_assert_cmpint(r->errors, ==, 0);
	g_assert_cmpint(runs.keys_run_twice, ==, 0);
	g_assert_cmpint(runs.false_not_run, ==, 0);
	g_assert_cmpint(runs.false_ran, ==, 0);
	g_assert_cmpint(runs.pool_overlaps, ==, 0);
}

/// Without faults every request gets a response, and the run logs agree with the verdicts.
static void test_serves_requests(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;

	harness_set_up_two_pools(h);
	r = harness_finish_load(harness_start_load(h, "--duration=1000 --method=POST --body=100"));
	g_assert_cmpint(r.ok, >, 100);
	g_assert_cmpint(r.ok, ==, r.ran);
	assert_consistent(h, &r);
	harness_free(h);
}

/// A surge moves instances from pool "s" to pool "a"; when "s" surges, it gets them back.
static void test_surge_moves_and_returns(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct load_result r;

	harness_set_up_two_pools(h);
	r = harness_finish_load(
		harness_start_load(h, "--path=/a --duration=3000 --concurrency=120"));
	g_assert_cmpint(harness_count_instances(h, "a", NULL), >, 10);
	assert_consistent(h, &r);
	r = harness_finish_load(
		harness_start_load(h, "--path=/s --duration=9000 --concurrency=60"));
	g_assert_cmpint(harness_count_instances(h, "s", NULL), >=, 7);
	assert_consistent(h, &r);
	harness_free(h);
}

/// The leader and an entry are killed under load. The callers resend failed requests through other
/// entries; every request must get a response in the end.
static void test_survives_kills(void)
{
	struct harness *h = harness_new(&seven_entries);
	struct program *load;
	struct load_result r;
	unsigned int leader;

	harness_set_up_two_pools(h);
	load = harness_start_load(h, "--duration=6000 --concurrency=40 --resends=20");
	g_usleep(500000);
	leader = harness_leader(h);
	program_kill(&h->controls[leader]);
	g_usleep(2000000);
	program_kill(&h->entries[2]);
	r = harness_finish_load(load);
	g_assert_cmpint(r.ran, ==, r.ok);
	g_assert_cmpint(r.ran, >, 1000);
	g_assert_cmpint(r.not_run + r.may_have_run, ==, 0);
	g_assert_cmpint(r.errors, ==, 0);
	harness_free(h);
}

/// The instances of a pool are spread evenly over the entries: 1 or 2 of 8 for each of 7.
static void test_spreads_instances_over_entries(void)
{
	struct harness *h = harness_new(&seven_entries);
	int owned[HARNESS_ENTRIES_MAX] = {0};

	harness_set_up_two_pools(h);
	for (int i = 1; i <= 8; i++) {
		g_autofree char *name = g_strdup_printf("a-%d", i);
		g_autofree char *entry = harness_instance_member(h, name, "entry");

		owned[atoi(entry + strlen("entry-")) - 1]++;
	}
	for (int i = 0; i < HARNESS_ENTRIES_MAX; i++)
		g_assert_true(owned[i] == 1 || owned[i] == 2);
	harness_free(h);
}

static void assert_refused(const char *method, const char *url, const char *content, long status,
			   const char *text)
{
	g_autofree char *body = NULL;
	g_autofree char *head = NULL;
	const char *const headers[] = {"If-Match: \"0\"", NULL};

	g_assert_cmpint(harness_http(method, url, headers, content, &body, &head), ==, status);
	if (!strstr(body, text))
		g_error("the response does not contain '%s': %s", text, body);
	g_assert_nonnull(strstr(head, "application/problem+json"));
}

/// Invalid tables, heartbeats and requests are refused with a problem document that names the error
/// and, for JSON, its path. Bodies over the size limit are refused with status 413.
static void test_refuses_bad_input(void)
{
	struct harness *h = harness_new(&two_entries);
	g_autofree char *pools = harness_admin_url(h, 0, "/v1/tables/pools");
	g_autofree char *routes = harness_admin_url(h, 1, "/v1/tables/routes");
	g_autofree char *entry = harness_entry_url(h, 0, "/nothing");
	g_autofree char *announce = harness_entry_url(h, 0, "/sesamewood/v1/announce");
	g_autofree char *large = g_strnfill(2000000, 'x');

	harness_leader(h);
	assert_refused("PUT", pools, "{\"pools\":[{\"name\":\"a\",\"name\":\"b\"}]}", 422,
		       "duplicate key");
	assert_refused("PUT", pools,
		       "{\"pools\":[{\"name\":\"a\",\"instances\":[],\"max_out\":-1}]}", 422,
		       "$.pools[0].max_out");
	assert_refused("PUT", pools,
		       "{\"pools\":[{\"name\":\"a\",\"instances\":[],\"buffer_weight\":NaN}]}", 422,
		       "$.pools[0].buffer_weight");
	assert_refused("PUT", pools, "{", 422, "$");
	assert_refused("PUT", routes, "{\"routes\":[{\"name\":\"r\",\"pool\":\"zz\"}]}", 422,
		       "unknown pool");
	assert_refused("PUT", pools, large, 413, "too large");
	assert_refused("POST", announce, "{\"instance\":\"x\"}", 400, "$.incarnation");
	assert_refused("POST", entry, large, 413, "too large");
	assert_refused("GET", entry, NULL, 404, "no route");
	harness_free(h);
}

/// The administration API refuses a token that differs from the right one in its last character.
static void test_requires_token(void)
{
	struct harness *h = harness_new(&two_entries);
	g_autofree char *url = harness_admin_url(h, 0, "/v1/status");
	const char *const wrong[] = {"Authorization: Bearer test-tokem", NULL};

	g_assert_cmpint(harness_http("GET", url, wrong, NULL, NULL, NULL), ==, 401);
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/path/serves_requests", test_serves_requests);
	g_test_add_func("/path/surge_moves_and_returns", test_surge_moves_and_returns);
	g_test_add_func("/path/survives_kills", test_survives_kills);
	g_test_add_func("/path/spreads_instances_over_entries",
			test_spreads_instances_over_entries);
	g_test_add_func("/path/refuses_bad_input", test_refuses_bad_input);
	g_test_add_func("/path/requires_token", test_requires_token);
	return g_test_run();
}
