#include "runs/endpoint.h"

#include <string.h>

/// Maximum lag of an endpoint's clock rate behind the local one, percent: 2 by contract and 1 for
/// the local clock's own error.
#define CLOCK_SLOW_PERCENT 3
/// Delay from which on a heartbeat may be older than the endpoint's next one.
#define REPORT_DELAY_MAX_MS 1500
/// Allowance for rounding of clock readings to whole milliseconds.
#define CLOCK_ROUNDING_MS 50
/// Beyond this, an estimate that is ahead of an answer's reading is false, not only inexact: the
/// clock may be 2% slow since a reading that is up to 10 s old.
#define CLOCK_JUMP_MS 1000

static void lost_attempt_free(void *p)
{
	struct lost_attempt *a = p;

	g_free(a->ref.job);
	g_free(a);
}

struct endpoint *endpoint_new(const char *id)
{
	struct endpoint *e = g_new0(struct endpoint, 1);

	e->id = g_strdup(id);
	e->address = g_strdup("");
	e->pool = g_strdup("");
	e->zone = g_strdup("");
	e->machine = g_strdup("");
	e->labels = g_ptr_array_new_with_free_func(g_free);
	e->clock_ms = -1;
	e->heartbeat_clock_ms = -1;
	e->runs = g_ptr_array_new();
	e->lost = g_ptr_array_new_with_free_func(lost_attempt_free);
	e->ended_under = g_ptr_array_new_with_free_func(g_free);
	e->candidate_index = -1;
	e->next_repeat_at = CLOCK_NEVER;

	return e;
}

void endpoint_free(void *p)
{
	struct endpoint *e = p;

	g_free(e->id);
	g_free(e->address);
	g_free(e->pool);
	g_free(e->zone);
	g_free(e->machine);
	g_ptr_array_unref(e->labels);
	g_ptr_array_unref(e->runs);
	g_ptr_array_unref(e->lost);
	g_ptr_array_unref(e->ended_under);
	g_free(e->failed_job);
	endpoint_set_announced(e, NULL);
	g_free(e);
}

void run_free(void *p)
{
	struct run *r = p;

	g_free(r->name);
	g_free(r->ref.job);
	g_free(r->checkpoint);
	g_free(r->ticket);
	g_free(r);
}

static void replace(char **field, const char *value)
{
	if (g_strcmp0(*field, value) == 0)
		return;
	g_free(*field);
	*field = g_strdup(value);
}

static bool same_labels(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++)
		if (!g_str_equal(a->pdata[i], b->pdata[i]))
			return false;
	return true;
}

void endpoint_update(struct endpoint *e, const struct endpoint_heartbeat *hb, clock_ms_t now)
{
	replace(&e->address, hb->address);
	e->address_hash = g_str_hash(e->address);
	replace(&e->pool, hb->pool);
	replace(&e->zone, hb->zone);
	if (*hb->machine)
		replace(&e->machine, hb->machine);
	if (!same_labels(hb->labels, e->labels)) {
		g_ptr_array_set_size(e->labels, 0);
		for (guint i = 0; i < hb->labels->len; i++)
			g_ptr_array_add(e->labels, g_strdup(hb->labels->pdata[i]));
	}
	e->cpu_milli = hb->cpu_milli;
	e->mem_mb = hb->mem_mb;
	e->gpu = hb->gpu;
	e->has_heartbeat = true;
	e->draining = hb->draining;
	e->sequence = hb->sequence;
	e->heartbeat_clock_ms = hb->clock_ms;
	e->digest = endpoint_heartbeat_digest(hb);
	e->last_heartbeat_at = now;
	e->cold_until = now + hb->cold_ms;
	endpoint_record_report(e, hb->clock_ms, now);
	if (hb->clock_ms >= 0)
		endpoint_record_clock(e, hb->clock_ms, now);
}

void endpoint_set_announced(struct endpoint *e, const struct endpoint_heartbeat *hb)
{
	struct endpoint_heartbeat *before = e->announced;

	e->announced = hb ? endpoint_heartbeat_copy(hb) : NULL;
	if (before)
		endpoint_heartbeat_clear(before);
	g_free(before);
}

void endpoint_record_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t now)
{
	e->last_alive_at = MAX(e->last_alive_at, now);
	if (e->clock_ms >= 0 && endpoint_clock_now_ms(e, now) >= clock_ms + CLOCK_ROUNDING_MS &&
	    now - e->clock_at < 10000)
		return; /* a delayed answer gives a less exact reading */
	e->clock_ms = clock_ms;
	e->clock_at = now;
}

bool endpoint_correct_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t sent_at,
			    clock_ms_t now, clock_ms_t lease_max_ms)
{
	int64_t latest = clock_ms + (now - sent_at) + CLOCK_ROUNDING_MS;
	bool is_false = e->clock_ms >= 0 && endpoint_clock_now_ms(e, now) > latest + CLOCK_JUMP_MS;

	if (is_false) {
		e->clock_ms = clock_ms;
		e->clock_at = now;
		e->sequence = 0;
		e->heartbeat_clock_ms = -1;
	}
	e->lease_end_ms = MIN(e->lease_end_ms, latest + lease_max_ms);
	return is_false;
}

bool endpoint_is_old_heartbeat(const struct endpoint *e, uint64_t sequence, int64_t clock_ms)
{
	return sequence <= e->sequence && clock_ms <= e->heartbeat_clock_ms;
}

void endpoint_record_report(struct endpoint *e, int64_t clock_ms, clock_ms_t arrived_at)
{
	e->report_offset_ms = clock_ms < 0 ? G_MAXINT64 : clock_ms - arrived_at;
}

bool endpoint_report_was_delayed(const struct endpoint *e)
{
	return e->clock_ms >= 0 && e->report_offset_ms != G_MAXINT64 &&
	       e->clock_ms - e->clock_at - e->report_offset_ms > REPORT_DELAY_MAX_MS;
}

int64_t endpoint_clock_now_ms(const struct endpoint *e, clock_ms_t now)
{
	return e->clock_ms < 0 ? -1 : e->clock_ms + (now - e->clock_at);
}

bool endpoint_lease_has_ended(const struct endpoint *e, clock_ms_t now)
{
	int64_t least;

	if (e->clock_ms < 0)
		return false;
	least = e->clock_ms + (now - e->clock_at) * (100 - CLOCK_SLOW_PERCENT) / 100;
	return least > e->lease_end_ms + CLOCK_ROUNDING_MS;
}

static void add_to_usage(struct endpoint *e, const struct run *r, int sign)
{
	e->used.cpu_milli += r->best_effort ? 0 : sign * (int64_t)r->cpu_milli;
	e->used.mem_mb += sign * (int64_t)r->mem_mb;
	e->used.gpu += sign * (int64_t)r->gpu;
	e->latency_sensitive += r->target_ms ? (unsigned int)sign : 0;
	e->best_effort += r->best_effort ? (unsigned int)sign : 0;
	e->long_running += r->long_running ? (unsigned int)sign : 0;
}

void endpoint_add_run(struct endpoint *e, struct run *r)
{
	g_ptr_array_add(e->runs, r);
	add_to_usage(e, r, 1);
}

void endpoint_remove_run(struct endpoint *e, struct run *r)
{
	g_ptr_array_remove_fast(e->runs, r);
	add_to_usage(e, r, -1);
}

void endpoint_add_lost(struct endpoint *e, const struct run *r)
{
	struct lost_attempt *a = g_new0(struct lost_attempt, 1);

	*a = (struct lost_attempt){
		.ref = r->ref,
		.attempt = r->attempt,
		.is_own = r->loss_is_own,
	};
	a->ref.job = g_strdup(r->ref.job);
	g_ptr_array_add(e->lost, a);
}

struct resources endpoint_free_capacity(const struct endpoint *e)
{
	return (struct resources){
		.cpu_milli = e->cpu_milli - e->used.cpu_milli,
		.mem_mb = e->mem_mb - e->used.mem_mb,
		.gpu = e->gpu - e->used.gpu,
	};
}

bool endpoint_has_label(const struct endpoint *e, const char *label)
{
	for (guint i = 0; i < e->labels->len; i++)
		if (g_str_equal(e->labels->pdata[i], label))
			return true;
	return false;
}

bool endpoint_same_rack(const struct endpoint *a, const struct endpoint *b)
{
	/* The first label is the kind; the last of several is the rack. */
	if (a->labels->len < 2 || b->labels->len < 2)
		return true;
	return g_str_equal(a->labels->pdata[a->labels->len - 1],
			   b->labels->pdata[b->labels->len - 1]);
}
