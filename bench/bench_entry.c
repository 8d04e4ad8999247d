/// @file
/// Throughput, latency and memory of one entry, compared with direct connections from the same
/// callers to the same endpoints.

#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TARGET_ADDED_MS 0.5
#define TARGET_RATE 8000.0
#define TARGET_MEMORY_MB 32.0
#define KB_PER_MB 1024.0

/// @return processor time that a program has used, in seconds; 0 if it can't be read
static double cpu_s(const struct program *p)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%s/stat", g_subprocess_get_identifier(p->process));
	g_autofree char *text = NULL;
	unsigned long user;
	unsigned long system;

	if (!g_file_get_contents(path, &text, NULL, NULL) ||
	    sscanf(strrchr(text, ')'), ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		   &user, &system) != 2)
		return 0;
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

/// @return resident memory of a program, in MiB; 0 if it can't be read
static double memory_mb(const struct program *p)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%s/status", g_subprocess_get_identifier(p->process));
	g_autofree char *text = NULL;
	const char *at;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	at = strstr(text, "VmRSS:");
	return at ? (double)atol(at + strlen("VmRSS:")) / KB_PER_MB : 0;
}

/// Runs fake callers until they finish.
///
/// @param entries addresses that the callers send to: of the entry or of the endpoint
static struct load_result run_load(struct harness *h, const char *entries, const char *flags)
{
	g_autofree char *line = g_strdup_printf("%s --entries=%s --health=", flags, entries);

	return harness_finish_load(harness_start_load(h, line));
}

int main(int argc, char **argv)
{
	const struct harness_settings settings = {
		.entries = 1,
		.entry_flags = "--host-connections=64",
	};
	g_autofree char *direct_address = NULL;
	g_autofree char *entry_address = NULL;
	struct load_result direct_result;
	struct load_result entry_result;
	struct harness *h;
	double cpu;
	double rate;

	harness_init(&argc, &argv);
	h = harness_new(&settings);
	harness_start_endpoints(h, "a-", 4, "--slots=64 --delay=0");
	harness_put_table(h, "pools", "{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"]}]}");
	harness_put_table(h, "routes", "{\"routes\":[{\"name\":\"a\",\"pool\":\"a\"}]}");
	harness_wait_until(harness_count_instances(h, "a", "active") == 4, 10000);
	direct_address = g_strdup_printf("%s:9000", h->host);
	entry_address = g_strdup_printf("%s:8080", h->host);

	direct_result = run_load(h, direct_address, "--duration=4000 --concurrency=32");
	cpu = cpu_s(&h->entries[0]);
	entry_result = run_load(h, entry_address, "--duration=4000 --concurrency=32");
	cpu = cpu_s(&h->entries[0]) - cpu;
	rate = (double)entry_result.ok / cpu;
	printf("full load, 32 callers: direct %.0f/s, through the entry %.0f/s (%.2f of direct)\n",
	       direct_result.rate, entry_result.rate, entry_result.rate / direct_result.rate);
	printf("per entry core: %.0f requests/s (target %.0f)\n", rate, TARGET_RATE);

	direct_result = run_load(h, direct_address, "--duration=4000 --concurrency=8 --pause=2");
	entry_result = run_load(h, entry_address, "--duration=4000 --concurrency=8 --pause=2");
	printf("about half load: direct p50 %ld us at %.0f/s, through p50 %ld us at %.0f/s, added "
	       "%.3f ms (target %.1f)\n",
	       direct_result.p50_us, direct_result.rate, entry_result.p50_us, entry_result.rate,
	       (double)(entry_result.p50_us - direct_result.p50_us) / 1000, TARGET_ADDED_MS);

	cpu = cpu_s(&h->entries[0]);
	entry_result =
		run_load(h, entry_address,
			 "--duration=4000 --concurrency=32 --method=POST --keyed --body=100");
	cpu = cpu_s(&h->entries[0]) - cpu;
	printf("keyed posts: %.0f/s, %.0f per entry core, p50 %ld us, p99 %ld us\n",
	       entry_result.rate, (double)entry_result.ok / cpu, entry_result.p50_us,
	       entry_result.p99_us);

	entry_result = run_load(
		h, entry_address,
		"--duration=4000 --concurrency=1000 --pause=200 --method=POST --body=1024");
	printf("1,000 connections with 1 KiB bodies: entry memory %.1f MB (target %.0f), %ld "
	       "answered, %ld errors\n",
	       memory_mb(&h->entries[0]), TARGET_MEMORY_MB, entry_result.ok,
	       entry_result.errors + entry_result.not_run);
	harness_free(h);
	return 0;
}
