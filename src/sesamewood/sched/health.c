#include "sched/health.h"

#define FAILURES_MIN 2		   /* a single failure may be caused by the task */
#define QUARANTINE_BASE_MS 1500	   /* about one task's run time, as one task is the probe */
#define QUARANTINE_DOUBLINGS_MAX 3 /* at most 12 s */
#define REFUSAL_BACKOFF_MS 500	   /* a third of the heartbeat period */
#define NO_ANSWER_BACKOFF_MS 1000  /* one call timeout */

void health_record_success(struct endpoint *e)
{
	e->failures = 0;
	g_clear_pointer(&e->failed_job, g_free);
}

void health_record_failure(struct endpoint *e, clock_ms_t now, const char *job, bool long_running)
{
	uint32_t doublings;

	if (long_running || g_strcmp0(e->failed_job, job) == 0)
		return;
	g_free(e->failed_job);
	e->failed_job = g_strdup(job);
	e->failures++;
	if (e->failures < FAILURES_MIN)
		return;
	doublings = MIN(e->failures - FAILURES_MIN, QUARANTINE_DOUBLINGS_MAX);
	e->quarantined_until = now + ((clock_ms_t)QUARANTINE_BASE_MS << doublings);
}

void health_record_refusal(struct endpoint *e, clock_ms_t now)
{
	e->quarantined_until = MAX(e->quarantined_until, now + REFUSAL_BACKOFF_MS);
}

void health_record_no_answer(struct endpoint *e, clock_ms_t now)
{
	e->quarantined_until = MAX(e->quarantined_until, now + NO_ANSWER_BACKOFF_MS);
}

bool health_is_eligible(const struct endpoint *e, clock_ms_t now, clock_ms_t max_silence_ms)
{
	/* The answer that shows whether its report was delayed comes with the fence. */
	if ((e->needs_fencing && !e->fenced && !e->restart_count) || endpoint_report_was_delayed(e))
		return false;
	return e->has_heartbeat && !e->draining && !e->deregistered && !e->terminated &&
	       !e->terminated_at && !e->unanswered_calls &&
	       now - e->last_heartbeat_at < max_silence_ms;
}

bool health_is_on_probation(const struct endpoint *e)
{
	return e->failures >= FAILURES_MIN;
}

bool health_is_quarantined(const struct endpoint *e, clock_ms_t now)
{
	return now < e->quarantined_until;
}
