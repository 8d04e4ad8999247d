#include "base/work.h"

#include "base/metrics.h"

#include <time.h>

#define NS_PER_S UINT64_C(1000000000)
#define NS_PER_US 1000

static _Thread_local uint64_t spent_ns[WORK_KINDS];
static _Thread_local enum work_kind current = WORK_IO;
static _Thread_local uint64_t since_ns; ///< start of the current work, 0: none yet

static const char *const names[WORK_KINDS] = {
	[WORK_IDLE] = "idle",		[WORK_IO] = "io",	   [WORK_RECEIVE] = "receive",
	[WORK_SEND] = "send",		[WORK_HTTP] = "http",	   [WORK_CURL] = "curl",
	[WORK_DECODE] = "decode",	[WORK_REQUESTS] = "calls", [WORK_HEARTBEATS] = "reports",
	[WORK_RESULTS] = "results",	[WORK_ATTEMPTS] = "runs",  [WORK_PLACEMENT] = "rounds",
	[WORK_POOLS] = "pools",		[WORK_WAVES] = "waves",	   [WORK_PROPOSE] = "propose",
	[WORK_REPLICATE] = "replicate", [WORK_APPLY] = "apply",	   [WORK_RELEASE] = "release",
	[WORK_AGENTS] = "agents",	[WORK_LOGS] = "logs",
};

static uint64_t monotonic_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

static void switch_to(enum work_kind kind)
{
	uint64_t now = monotonic_ns();

	if (since_ns)
		spent_ns[current] += now - since_ns;
	since_ns = now;
	current = kind;
}

enum work_kind work_enter(enum work_kind kind)
{
	enum work_kind prev = current;

	switch_to(kind);
	return prev;
}

void work_leave(enum work_kind prev_kind)
{
	switch_to(prev_kind);
}

uint64_t work_total_us(enum work_kind kind)
{
	return spent_ns[kind] / NS_PER_US;
}

const char *work_name(enum work_kind kind)
{
	return names[kind];
}

void work_publish(void)
{
	for (enum work_kind kind = 0; kind < WORK_KINDS; kind++) {
		char labels[32] = "kind=\"";

		g_strlcat(labels, names[kind], sizeof(labels));
		g_strlcat(labels, "\"", sizeof(labels));
		metrics_set(metrics_get(METRIC_COUNTER, "sesamewood_work_us_total", labels,
					"time of the loop by kind of work, microseconds"),
			    work_total_us(kind));
	}
}
