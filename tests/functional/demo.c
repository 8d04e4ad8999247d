/// @file
/// Demonstration on loopback: a fleet of the size of contrib/confetti, a surge that moves
/// instances, a killed leader and a killed entry. Exits with status 1 if a check fails.

#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define SETTLE_TIMEOUT_MS 20000

struct service {
	const char *name;
	const char *prefix;
	int executors;
};

static const struct service services[] = {
	{"troquel", "troquel-", 8}, {"color", "color-", 9},	{"forma", "forma-", 11},
	{"fiesta", "fiesta-", 12},  {"oficina", "oficina-", 8},
};

static int n_failed;

static void print_step(const char *what)
{
	printf("-- %s\n", what);
	fflush(stdout);
}

static void check(const char *what, bool holds)
{
	printf("   %-58s %s\n", what, holds ? "ok" : "FAILED");
	fflush(stdout);
	n_failed += !holds;
}

static char *read_table(const char *name)
{
	g_autofree char *path = g_strdup_printf("contrib/confetti/%s.json", name);
	char *text;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		g_error("cannot read %s; run the demo from the root of the source tree", path);
	return text;
}

static bool is_filled(struct harness *h)
{
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		if (harness_count_instances(h, services[i].name, "active") != services[i].executors)
			return false;
	return true;
}

static void show_pools(struct harness *h)
{
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		printf("   %-10s %2d instances\n", services[i].name,
		       harness_count_instances(h, services[i].name, NULL));
	printf("   moves so far: %" G_GINT64_FORMAT "\n", harness_status_member(h, "moves"));
}

static void show_load(const char *what, const struct load_result *r)
{
	printf("   %s: %ld answered (%.0f/s), p50 %.1f ms, p99 %.1f ms, longest %.1f ms\n", what,
	       r->ok, r->rate, r->p50_us / 1000.0, r->p99_us / 1000.0, r->max_us / 1000.0);
	printf("   not run: %ld, may have run: %ld, no complete response: %ld\n", r->not_run,
	       r->may_have_run, r->errors);
}

static void run_surge(struct harness *h)
{
	struct program *quiet =
		harness_start_load(h, "--path=/forma --duration=4000 --concurrency=4");
	struct program *busy = harness_start_load(
		h, "--path=/troquel --duration=4000 --concurrency=140 --method=POST --body=200");
	struct load_result r = harness_finish_load(busy);

	show_load("troquel", &r);
	check("every request of the surge was answered", r.ok == r.ran && !r.errors && !r.not_run);
	r = harness_finish_load(quiet);
	check("every request to the quiet pool was answered", r.ok == r.ran && !r.errors);
	show_pools(h);
	check("instances moved to the surging pool",
	      harness_count_instances(h, "troquel", NULL) > 8);
}

static void run_kills(struct harness *h)
{
	struct program *load =
		harness_start_load(h, "--path=/color --duration=6000 --concurrency=30 "
				      "--method=POST --keyed --resends=30");
	unsigned int leader = harness_leader(h);
	struct load_result r;

	g_usleep(1000000);
	printf("   killing the leader, control-%u\n", leader + 1);
	program_kill(&h->controls[leader]);
	g_usleep(2000000);
	print_step("killing entry-3");
	program_kill(&h->entries[2]);
	r = harness_finish_load(load);
	show_load("color", &r);
	printf("   the new leader is control-%u\n", harness_leader(h) + 1);
	check("more than 1000 requests were answered", r.ok > 1000);
}

int main(int argc, char **argv)
{
	const struct harness_settings settings = {.entries = 7};
	g_autofree char *pools = NULL;
	g_autofree char *routes = NULL;
	struct run_summary runs;
	struct harness *h;
	gint64 version;

	harness_init(&argc, &argv);
	pools = read_table("pools");
	routes = read_table("routes");
	print_step("starting 3 control replicas and 7 entries");
	h = harness_new(&settings);
	print_step("starting 48 fake endpoints, which send heartbeats");
	for (size_t i = 0; i < G_N_ELEMENTS(services); i++)
		harness_start_endpoints(h, services[i].prefix, services[i].executors, NULL);
	print_step("replacing the pools and routes tables");
	harness_put_table(h, "pools", pools);
	version = harness_put_table(h, "routes", routes);
	check("the tables are in force on all entries within 2 s",
	      harness_wait_until(harness_is_in_force(h, version), 2000));
	check("every instance is in its pool", harness_wait_until(is_filled(h), SETTLE_TIMEOUT_MS));
	show_pools(h);
	print_step("surge on troquel beyond the capacity of its own 8 instances");
	run_surge(h);
	print_step("requests with idempotency keys on color, while processes are killed");
	run_kills(h);
	runs = harness_read_results(h);
	print_step("comparing the logs of the endpoints with the callers' results");
	printf("   %ld runs\n", runs.runs);
	check("no key ran twice", runs.keys_run_twice == 0);
	check("no request answered \"not run\" has run", runs.false_not_run == 0);
	check("no instance served two pools at once", runs.pool_overlaps == 0);
	harness_free(h);
	printf(n_failed ? "%d checks failed\n" : "all checks passed\n", n_failed);
	return n_failed ? 1 : 0;
}
