#include "manager/overload.h"

#define REFUSE_MS 500 /* half of the time that an entry waits for the leader */
#define ADMIT_MS 150  /* several commits */
/// After catching up, a leader accepts 200 jobs/s besides its other work.
#define RETRY_SLOT_MS 5
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 6000 /* callers make four attempts */
#define MS_PER_S 1000
#define CLEANUP_PERIOD_MS 1000

struct refusal {
	clock_ms_t at;
	clock_ms_t until; ///< earliest retry of its caller
};

struct overload *overload_new(void)
{
	struct overload *o = g_new0(struct overload, 1);

	o->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return o;
}

void overload_free(struct overload *o)
{
	g_hash_table_unref(o->refused);
	g_free(o);
}

static bool is_in_force(const struct overload *o, const struct refusal *r, clock_ms_t now)
{
	return now < r->until || o->callers_read_at < r->at;
}

static void remove_expired(struct overload *o, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, o->refused);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!is_in_force(o, value, now))
			g_hash_table_iter_remove(&iter);
}

bool overload_update(struct overload *o, clock_ms_t now, clock_ms_t lag_ms)
{
	o->refusing = lag_ms > (o->refusing ? ADMIT_MS : REFUSE_MS);
	if (now >= o->next_cleanup_at) {
		o->next_cleanup_at = now + CLEANUP_PERIOD_MS;
		remove_expired(o, now);
	}
	return o->refusing;
}

/// Records a refusal, which never shortens an earlier one of the same job.
static void record_refusal(struct overload *o, clock_ms_t now, clock_ms_t until, const char *job)
{
	const struct refusal *before = g_hash_table_lookup(o->refused, job);
	struct refusal *refusal = g_new(struct refusal, 1);

	*refusal = (struct refusal){.at = now, .until = MAX(until, before ? before->until : 0)};
	g_hash_table_replace(o->refused, g_strdup(job), refusal);
}

static uint32_t retry_after_s(clock_ms_t after_ms)
{
	return (uint32_t)((CLAMP(after_ms, RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS) + MS_PER_S - 1) /
			  MS_PER_S);
}

uint32_t overload_refuse(struct overload *o, clock_ms_t now, clock_ms_t lag_ms, const char *job)
{
	o->next_slot = MAX(o->next_slot, now + lag_ms) + RETRY_SLOT_MS;
	record_refusal(o, now, now + RETRY_AFTER_MIN_MS, job);
	return retry_after_s(o->next_slot - now);
}

uint32_t overload_refuse_until_room(struct overload *o, clock_ms_t *next_slot, clock_ms_t now,
				    clock_ms_t room_in_ms, clock_ms_t slot_ms, const char *job)
{
	uint32_t after_s;

	/* Slots past the longest Retry-After would keep callers away after a peak has passed. */
	*next_slot = MIN(MAX(*next_slot, now + room_in_ms) + slot_ms, now + RETRY_AFTER_MAX_MS);
	after_s = retry_after_s(*next_slot - now);
	record_refusal(o, now, now + (clock_ms_t)after_s * MS_PER_S, job);
	return after_s;
}

uint32_t overload_refuse_again(struct overload *o, clock_ms_t now, const char *job)
{
	const struct refusal *refusal = g_hash_table_lookup(o->refused, job);
	uint32_t after_s = retry_after_s(refusal ? refusal->until - now : 0);

	record_refusal(o, now, now + (clock_ms_t)after_s * MS_PER_S, job);
	return after_s;
}

void overload_record_callers_read(struct overload *o, clock_ms_t now)
{
	o->callers_read_at = now;
}

bool overload_was_refused(const struct overload *o, clock_ms_t now, const char *job)
{
	const struct refusal *refusal = g_hash_table_lookup(o->refused, job);

	return refusal && is_in_force(o, refusal, now);
}
