#include "sched/health.h"

#define FAILURES_LEAST 2      /* one failure may be the task's own fault */
#define ASIDE_BASE_MS 1500    /* about one task's length: a probe is one task long */
#define ASIDE_DOUBLINGS_MAX 3 /* at most 12 s */
#define REFUSED_MS 500	      /* a third of the endpoint_heartbeat period */
#define SILENT_MS 1000	      /* one call timeout */

void health_note_done(struct endpoint *e)
{
	e->failures = 0;
	g_clear_pointer(&e->failed_job, g_free);
}

void health_note_failure(struct endpoint *e, clock_ms_t now, const char *job, bool lasting)
{
	uint32_t doublings;

	if (lasting || g_strcmp0(e->failed_job, job) == 0)
		return;
	g_free(e->failed_job);
	e->failed_job = g_strdup(job);
	e->failures++;
	if (e->failures < FAILURES_LEAST)
		return;
	doublings = MIN(e->failures - FAILURES_LEAST, ASIDE_DOUBLINGS_MAX);
	e->avoid_until = now + ((clock_ms_t)ASIDE_BASE_MS << doublings);
}

void health_note_refusal(struct endpoint *e, clock_ms_t now)
{
	e->avoid_until = MAX(e->avoid_until, now + REFUSED_MS);
}

void health_note_silence(struct endpoint *e, clock_ms_t now)
{
	e->avoid_until = MAX(e->avoid_until, now + SILENT_MS);
}

bool health_is_eligible(const struct endpoint *e, clock_ms_t now, clock_ms_t silent_ms)
{
	return e->announced && !e->draining && !e->left && !e->gone && !e->over_at && !e->misses &&
	       now - e->heard_at < silent_ms;
}

bool health_is_on_trial(const struct endpoint *e)
{
	return e->failures >= FAILURES_LEAST;
}

bool health_is_set_aside(const struct endpoint *e, clock_ms_t now)
{
	return now < e->avoid_until;
}
