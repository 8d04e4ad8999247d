#include "manager/control_shell_internal.h"

#include "base/log.h"
#include "rpc/rpc_stream.h"

/// Above this share of the loop's time, the gap between placement rounds is doubled.
#define ROUNDS_SHARE_MAX_PERCENT 20
#define LOG_PERIOD_MS 1000
#define US_PER_MS 1000
/// Fewer starts in a second say little about the cost of one.
#define STARTS_MEASURED_MIN 20

void shell_log_if_slow(clock_ms_t *logged_at, const char *what, clock_ms_t since, clock_ms_t bound)
{
	clock_ms_t now = clock_monotonic();

	if (now - since < bound || now - *logged_at < LOG_PERIOD_MS)
		return;
	*logged_at = now;
	log_warning(what, "MS", log_number((guint64)(now - since)));
}

clock_ms_t shell_lag_ms(const struct shell *sh, clock_ms_t now)
{
	const struct held_effect *h = g_queue_peek_head((GQueue *)&sh->held);
	clock_ms_t since_pass_ms = sh->last_pass_at ? now - sh->last_pass_at : 0;

	return MAX(h ? now - h->emitted_at : 0, since_pass_ms);
}

void shell_record_lag(struct shell *sh, clock_ms_t now)
{
	bool before = sh->overload->refusing;
	clock_ms_t lag = shell_lag_ms(sh, now);

	if (!sh->manager)
		return;
	manager_record_lag(sh->manager, now, lag);
	if (overload_update(sh->overload, now, lag) == before)
		return;
	log_warning(before ? "leader has caught up; admitting callers again"
			   : "leader lags; refusing callers",
		    "LAG_MS", log_number((guint64)lag), "HELD", log_number(sh->held.length));
}

void shell_adapt_round_gap(struct shell *sh, clock_ms_t now)
{
	uint64_t total_us = work_total_us(WORK_PLACEMENT);
	uint64_t elapsed_us = (uint64_t)MAX(now - sh->last_tick_at, 1) * US_PER_MS;
	uint64_t share = (total_us - sh->rounds_us) * 100 / elapsed_us;

	if (share > ROUNDS_SHARE_MAX_PERCENT)
		sh->round_gap_ms = MIN(sh->round_gap_ms * 2, MANAGER_ROUND_GAP_MAX_MS);
	else if (share < ROUNDS_SHARE_MAX_PERCENT / 2)
		sh->round_gap_ms = MAX(sh->round_gap_ms / 2, MANAGER_ROUND_GAP_MS);
	sh->rounds_us = total_us;
	sh->last_tick_at = now;
	if (sh->manager)
		manager_set_round_gap(sh->manager, sh->round_gap_ms);
}

void shell_record_unread(struct shell *sh, clock_ms_t now)
{
	if (!rpc_stream_skipped_low_priority()) {
		sh->unread_since = 0;
		overload_record_callers_read(sh->overload, now);
		return;
	}
	if (!sh->unread_since)
		sh->unread_since = now;
	sh->counts.unread_max_ms = MAX(sh->counts.unread_max_ms, now - sh->unread_since);
}

static char *messages_text(const struct load_counts *c, uint64_t connections)
{
	return g_strdup_printf("submits=%u reads=%u other=%u heartbeats=%u probes=%u refused=%u "
			       "results=%u connections=%" PRIu64,
			       c->submits, c->reads, c->other_calls, c->heartbeats, c->probes,
			       c->refused, c->order_results, connections);
}

static char *backlog_text(const struct manager_backlog *b)
{
	return g_strdup_printf("starts=%u steps=%u late=%u beyond_weight=%u accounts_at_cap=%u",
			       b->starts, b->waiting_steps, b->late_steps, b->beyond_weight,
			       b->accounts_at_cap);
}

/// Measures the loop's time for each start since the last load log: placement, log and sending.
static void record_start_cost(struct shell *sh, unsigned int starts)
{
	static const enum work_kind kinds[] = {WORK_PLACEMENT, WORK_PROPOSE, WORK_REPLICATE,
					       WORK_RELEASE};
	uint64_t us = 0;

	if (starts < STARTS_MEASURED_MIN)
		return;
	for (unsigned int i = 0; i < G_N_ELEMENTS(kinds); i++)
		us += work_total_us(kinds[i]) - sh->logged_us[kinds[i]];
	manager_record_start_cost(sh->manager, us / starts);
}

/// Formats the loop's time by kind of work since the last call.
static char *take_work_text(struct shell *sh)
{
	GString *text = g_string_new(NULL);

	for (enum work_kind kind = 0; kind < WORK_KINDS; kind++) {
		uint64_t total_us = work_total_us(kind);

		if (kind != WORK_IDLE && total_us > sh->logged_us[kind])
			g_string_append_printf(text, "%s%s=%" PRIu64, text->len ? " " : "",
					       work_name(kind), total_us - sh->logged_us[kind]);
		sh->logged_us[kind] = total_us;
	}
	return g_string_free(text, FALSE);
}

/// Sets the gauges of pending maintenance; 0 on replicas that do not lead.
static void set_wave_gauges(const struct manager *m)
{
	struct manager_wave_progress p =
		m ? manager_wave_progress(m) : (struct manager_wave_progress){0};

	metrics_set(metrics_get(METRIC_GAUGE, "sesamewood_wave_machines_left", "",
				"machines whose maintenance has not begun"),
		    p.left);
	metrics_set(metrics_get(METRIC_GAUGE, "sesamewood_wave_machines_blocked", "",
				"of these, machines that an availability budget keeps up"),
		    p.blocked);
}

void shell_log_load(struct shell *sh, clock_ms_t now)
{
	g_autofree char *work = NULL;
	g_autofree char *messages = NULL;
	g_autofree char *backlog_log = NULL;
	struct manager_backlog backlog = {0};
	uint64_t connections = rpc_connections_accepted();

	if (now < sh->next_load_log_at)
		return;
	sh->next_load_log_at = now + LOG_PERIOD_MS;
	if (sh->manager) {
		backlog = manager_take_backlog(sh->manager);
		record_start_cost(sh, backlog.starts);
	}
	set_wave_gauges(sh->manager);
	work = take_work_text(sh);
	if (!sh->manager) {
		metrics_set(sh->accounts_at_cap, 0);
		log_info("load", "WORK_US", work, "INDEX", log_number(sh->state_index));
		return;
	}
	metrics_set(sh->accounts_at_cap, backlog.accounts_at_cap);
	metrics_add(sh->beyond_weight, backlog.beyond_weight);
	messages = messages_text(&sh->counts, connections - sh->logged_connections);
	sh->logged_connections = connections;
	backlog_log = backlog_text(&backlog);
	log_info("load", "WORK_US", work, "HELD", log_number(sh->held.length), "ENDPOINTS",
		 log_number(manager_count_endpoints(sh->manager)), "ORDERS",
		 log_number(manager_count_orders(sh->manager)), "INDEX",
		 log_number(sh->state_index), "MESSAGES", messages, "BACKLOG", backlog_log,
		 "LAG_MS", log_number((guint64)shell_lag_ms(sh, now)), "UNREAD_MS",
		 log_number((guint64)sh->counts.unread_max_ms));
	sh->counts = (struct load_counts){0};
}
