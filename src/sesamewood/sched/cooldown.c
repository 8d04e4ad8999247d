#include "sched/cooldown.h"

#include "manager/manager_internal.h"

#define RECENT_ORDER_MS 5000 /* longer than the lease of a holder with its margin */
#define MARK_PERIOD_MS 100
#define MARK "" /* machine name of a time mark */
/// Marks after which an order has been sent: a mark requires that the leader lags by less than a
/// period, so an order that is one period old has left.
#define MARKS_UNTIL_SENT 2
#define CLOCK_RATE_MIN_PERCENT 98 /* of an earlier leader's clock */

struct cooldown {
	GHashTable *until; ///< clock_ms_t, end of the cooldown by machine
	GArray *times;	   ///< clock_ms_t, latest time of each recent order and mark, oldest first
	clock_ms_t last_order_at;
	clock_ms_t next_mark_at;
};

struct cooldown *cooldown_new(const GPtrArray *ordered, clock_ms_t now, clock_ms_t seen_at,
			      uint32_t lease_ms)
{
	struct cooldown *c = g_new0(struct cooldown, 1);
	unsigned int marks = 0;

	c->until = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->times = g_array_sized_new(FALSE, FALSE, sizeof(clock_ms_t), ordered->len);
	g_array_set_size(c->times, ordered->len);
	c->last_order_at = now;
	c->next_mark_at = now + MARK_PERIOD_MS;
	for (guint i = ordered->len; i > 0; i--) {
		const char *machine = ordered->pdata[i - 1];
		clock_ms_t sent_by = now;
		clock_ms_t *until;

		if (marks >= MARKS_UNTIL_SENT)
			sent_by = MIN(now, seen_at - (clock_ms_t)(marks - MARKS_UNTIL_SENT) *
							     MARK_PERIOD_MS *
							     CLOCK_RATE_MIN_PERCENT / 100);
		g_array_index(c->times, clock_ms_t, i - 1) = sent_by;
		if (g_str_equal(machine, MARK)) {
			marks++;
			continue;
		}
		if (g_hash_table_contains(c->until, machine))
			continue;
		until = g_new(clock_ms_t, 1);
		*until = sent_by + lease_ms + HOLDER_MARGIN_MS;
		g_hash_table_insert(c->until, g_strdup(machine), until);
	}
	return c;
}

void cooldown_free(struct cooldown *c)
{
	g_hash_table_unref(c->until);
	g_array_unref(c->times);
	g_free(c);
}

bool cooldown_applies(const struct cooldown *c, const char *machine, clock_ms_t now)
{
	const clock_ms_t *until = g_hash_table_lookup(c->until, machine);

	return until && now < *until;
}

static void record(struct manager *m, clock_ms_t now, const char *machine)
{
	struct cooldown *c = m->cooldown;
	job_command command = {.type = JOB_COMMAND_MACHINE_ORDER};
	guint old = 0;

	while (old < c->times->len &&
	       now - g_array_index(c->times, clock_ms_t, old) > RECENT_ORDER_MS)
		old++;
	if (old)
		g_array_remove_range(c->times, 0, old);
	command.job_command_u.machine_order =
		(job_machine_order){.machine = (char *)machine, .keep = c->times->len};
	g_array_append_val(c->times, now);
	effects_propose(m, &command);
}

void cooldown_record_order(struct manager *m, clock_ms_t now, const char *machine)
{
	m->cooldown->last_order_at = now;
	record(m, now, machine);
}

void cooldown_tick(struct manager *m, clock_ms_t now)
{
	struct cooldown *c = m->cooldown;
	bool only_marks_left = now - c->last_order_at > RECENT_ORDER_MS;

	if (!c->times->len || now < c->next_mark_at || m->lag_ms >= MARK_PERIOD_MS)
		return;
	c->next_mark_at = now + MARK_PERIOD_MS;
	if (only_marks_left)
		g_array_set_size(c->times, 0);
	record(m, now, MARK);
	if (only_marks_left)
		g_array_set_size(c->times, 0);
}
