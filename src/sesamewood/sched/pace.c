#include "sched/pace.h"

#define LATENCY_CUT_PERCENT 92	   /* of the target; the figures are off by a few percent */
#define LATENCY_STOP_PERCENT 130   /* far over the target: stop at once */
#define LATENCY_RECOVER_PERCENT 75 /* low enough for one step up */
#define PACE_STEP_UP 8
#define PACE_MIN 10

uint32_t pace_next(uint32_t pace, uint32_t latency_percent)
{
	if (latency_percent >= LATENCY_STOP_PERCENT)
		return 0;
	if (latency_percent >= LATENCY_CUT_PERCENT)
		return pace / 2 < PACE_MIN ? 0 : pace / 2;
	if (latency_percent <= LATENCY_RECOVER_PERCENT)
		return MIN(PACE_FULL, pace + PACE_STEP_UP);
	return pace;
}

static uint32_t worst_latency_percent(const struct endpoint *e)
{
	uint32_t worst = 0;

	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		if (r->target_ms && r->usage > 0)
			worst = MAX(worst, (uint32_t)(r->usage * 100 / r->target_ms));
	}
	return worst;
}

void pace_update_endpoint(struct endpoint *e, clock_ms_t now)
{
	uint32_t latency_percent = worst_latency_percent(e);

	(void)now;
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];

		if (r->best_effort && !r->pace_in_flight && r->pace == r->pace_wanted)
			r->pace_wanted = pace_next(r->pace, latency_percent);
	}
}
