#include "manager/control_shell_internal.h"

#include "base/codec.h"
#include "base/lifecycle.h"
#include "base/log.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_stream.h"

#define SNAPSHOT_RECORDS 8000 /* about 2 MB of log */
/// The same by size, since a record may be large: the disk also holds two snapshots.
#define SNAPSHOT_LOG_BYTES ((gsize)8 * 1024 * 1024)
/// For callers' requests per pass of the loop; replication must not wait longer.
#define REQUEST_PASS_MS 25
#define SLOW_COMMIT_MS 300 /* ten times the usual duration */
#define SLOW_LOOP_MS 150   /* callers notice the delay, and a raft heartbeat is late */
/// Without a leader for longer than an election takes, a replica is probably cut off.
#define LEADERLESS_MS 1500
#define DISK_LOG_MS 5000 /* between two warnings of a disk that refuses writes */
#define STOP_MIN_MS 1200 /* time that callers need to find the next leader */
#define STOP_MARGIN_MS 800

/* Leadership. */

bool shell_leads(const struct shell *sh)
{
	return sh->manager && sh->manager_term == raft_term(sh->raft) &&
	       raft_holds_leader_lease(sh->raft, clock_monotonic());
}

uint32_t shell_other_leader(const struct shell *sh)
{
	return raft_leader(sh->raft) == sh->node ? 0 : raft_leader(sh->raft);
}

/// Drops the effects of uncommitted commands. Waiting callers are answered that the outcome is
/// unknown.
static void lose_leadership(struct shell *sh)
{
	struct held_effect *h;

	log_info("leadership lost", "TERM", log_number(sh->manager_term));
	while ((h = g_queue_pop_head(&sh->held))) {
		effect_free(h->effect);
		g_free(h);
	}
	callers_abandon(sh->callers);
	manager_free(sh->manager);
	sh->manager = NULL;
}

static void check_leadership(struct shell *sh)
{
	clock_ms_t now = clock_monotonic();

	if (sh->manager && manager_is_fenced_off(sh->manager) && raft_role(sh->raft) == RAFT_LEADER)
		raft_step_down(sh->raft, now, now + ELECTION_MS);
	if (sh->manager &&
	    (raft_role(sh->raft) != RAFT_LEADER || raft_term(sh->raft) != sh->manager_term))
		lose_leadership(sh);
	if (!sh->manager && raft_holds_leader_lease(sh->raft, now) && !sh->stopping_at) {
		sh->manager_term = raft_term(sh->raft);
		sh->manager = manager_new(&sh->settings.manager, sh->state, sh->manager_term, now,
					  sh->machine_orders_seen_at);
		manager_set_overload(sh->manager, sh->overload);
	}
}

/* Effects. */

static void take_manager_effects(struct shell *sh)
{
	g_autoptr(GPtrArray) effects = NULL;

	if (!sh->manager)
		return;
	effects = manager_take_effects(sh->manager);
	g_ptr_array_set_free_func(effects, NULL);
	for (guint i = 0; i < effects->len; i++) {
		struct effect *e = effects->pdata[i];
		struct held_effect *h;

		if (e->type == EFFECT_PROPOSE) {
			raft_propose(sh->raft, e->u.command);
			metrics_add(sh->proposals, 1);
			effect_free(e);
			continue;
		}
		if (e->type == EFFECT_REPLY && e->u.reply.at_once && shell_leads(sh)) {
			callers_reply(sh->callers, e->u.reply.token, &e->u.reply.reply);
			effect_free(e);
			continue;
		}
		h = g_new0(struct held_effect, 1);
		*h = (struct held_effect){.index = raft_last_index(sh->raft),
					  .effect = e,
					  .emitted_at = clock_monotonic()};
		g_queue_push_tail(&sh->held, h);
	}
}

/// Executes the held effects whose commands are committed, while this replica leads.
///
/// @return whether any effect was executed
static bool release_held(struct shell *sh)
{
	bool any = false;

	while (shell_leads(sh)) {
		struct held_effect *h = g_queue_peek_head(&sh->held);
		struct effect *e;

		if (!h || h->index > sh->state_index)
			break;
		g_queue_pop_head(&sh->held);
		metrics_observe(sh->commit_ms, clock_monotonic() - h->emitted_at);
		shell_log_if_slow(&sh->slow_commit_logged_at, "slow commit", h->emitted_at,
				  SLOW_COMMIT_MS);
		e = h->effect;
		g_free(h);
		any = true;
		if (e->type == EFFECT_REPLY)
			callers_reply(sh->callers, e->u.reply.token, &e->u.reply.reply);
		else
			shell_send_order(sh, g_steal_pointer(&e->u.order));
		effect_free(e);
	}
	return any;
}

/// Returns an upper bound of the time at which a log record was received.
static clock_ms_t received_by(const struct shell *sh, uint64_t index)
{
	return index <= sh->recovered_index ? sh->started_at : clock_monotonic();
}

static void apply_job_command(struct shell *sh, uint64_t index, const job_command *c)
{
	jobs_apply(sh->state, c);
	if (c->type == JOB_COMMAND_MACHINE_ORDER)
		sh->machine_orders_seen_at = received_by(sh, index);
}

/// Replaces the applied records by a snapshot. If the state cannot be encoded, all records stay.
static void take_snapshot(struct shell *sh)
{
	clock_ms_t from = clock_monotonic();
	GByteArray *bytes = jobs_snapshot(sh->state);
	g_autoptr(GBytes) data = NULL;

	sh->next_snapshot_index = sh->state_index + SNAPSHOT_RECORDS;
	sh->log_bytes = 0;
	if (!bytes) {
		log_error("cannot encode the state; the log is not compacted", "INDEX",
			  log_number(sh->state_index));
		return;
	}
	data = g_byte_array_free_to_bytes(bytes);
	raft_compact(sh->raft, data);
	log_info("snapshot taken", "INDEX", log_number(sh->state_index), "BYTES",
		 log_number(g_bytes_get_size(data)), "TOOK_MS",
		 log_number((uint64_t)(clock_monotonic() - from)));
}

static void apply_committed(struct shell *sh)
{
	const struct raft_image *snapshot = raft_latest_snapshot(sh->raft);
	const struct raft_log_record *record;

	if (snapshot->index > sh->state_index) {
		gsize len;
		const void *data = g_bytes_get_data(snapshot->data, &len);

		if (!jobs_restore(sh->state, data, len)) {
			log_error("cannot decode the snapshot; exiting");
			lifecycle_exit(EXIT_DISK);
		}
		sh->state_index = snapshot->index;
		sh->machine_orders_seen_at = received_by(sh, snapshot->index);
	}
	while ((record = raft_next_committed(sh->raft))) {
		gsize len;
		const void *data = g_bytes_get_data(record->command, &len);
		sw_command c;

		sh->state_index = record->index;
		sh->log_bytes += len;
		if (!codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c))) {
			log_error("cannot decode a log record; skipping it", "INDEX",
				  log_number(record->index));
			continue;
		}
		if (c.type == SW_COMMAND_JOB)
			apply_job_command(sh, record->index, &c.sw_command_u.job);
		codec_free(CODEC_PROC(sw_command), &c);
	}
	if ((sh->state_index > raft_snapshot_index(sh->raft) + SNAPSHOT_RECORDS &&
	     sh->state_index >= sh->next_snapshot_index) ||
	    sh->log_bytes > SNAPSHOT_LOG_BYTES)
		take_snapshot(sh);
}

static void send_message(struct shell *sh, const raft_message *m)
{
	rpc_client_call(relay_client(sh->relay, m->to), SW_PROC_RAFT, m, RAFT_CALL_MS, NULL, NULL);
}

static bool needs_disk(const GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++)
		if (((struct raft_effect *)effects->pdata[i])->type != RAFT_SEND)
			return true;
	return false;
}

static void send_batch(struct shell *sh, GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++) {
		struct raft_effect *e = effects->pdata[i];

		if (e->type == RAFT_SEND)
			send_message(sh, &e->u.message);
	}
	g_ptr_array_unref(effects);
}

static bool take_raft_effects(struct shell *sh)
{
	g_autoptr(GPtrArray) effects = raft_take_effects(sh->raft);
	bool any = effects->len > 0;

	g_ptr_array_set_free_func(effects, NULL);
	for (guint i = 0; i < effects->len; i++) {
		struct raft_effect *e = effects->pdata[i];

		if (!raft_may_send_at_once(e)) {
			g_ptr_array_add(sh->unsent, e);
			continue;
		}
		send_message(sh, &e->u.message);
		raft_effect_free(e);
	}
	if (sh->writing || !sh->unsent->len)
		return any;
	effects = g_steal_pointer(&sh->unsent);
	sh->unsent = g_ptr_array_new_with_free_func(raft_effect_free);
	if (!needs_disk(effects)) {
		send_batch(sh, g_steal_pointer(&effects));
		return any;
	}
	sh->writing = true;
	sh->writing_to = raft_last_index(sh->raft);
	storage_thread_write(sh->storage, g_steal_pointer(&effects));
	return any;
}

void shell_sync_recovered(struct shell *sh)
{
	sh->writing = true;
	sh->writing_to = raft_last_index(sh->raft);
	storage_thread_write(sh->storage, g_ptr_array_new_with_free_func(raft_effect_free));
}

void shell_on_stored(void *ctx, GPtrArray *effects)
{
	struct shell *sh = ctx;

	sh->writing = false;
	raft_mark_persisted_to(sh->raft, sh->writing_to);
	send_batch(sh, effects);
}

void shell_on_disk_failed(void *ctx, const char *error)
{
	struct shell *sh = ctx;
	clock_ms_t now = clock_monotonic();

	if (!error) {
		log_info("disk works again", "FAILED_MS",
			 log_number((uint64_t)(now - sh->disk_failed_at)));
		sh->disk_failed_at = 0;
		raft_set_disk_failed(sh->raft, now, false);
		return;
	}
	metrics_add(sh->disk_failures, 1);
	if (!sh->disk_failed_at) {
		log_warning(
			"disk failed; this replica neither leads nor votes until a write succeeds",
			"ERROR", error, "LED", shell_leads(sh) ? "true" : "false");
		sh->disk_failed_at = now;
		sh->disk_logged_at = now;
		raft_set_disk_failed(sh->raft, now, true);
	} else if (now - sh->disk_logged_at >= DISK_LOG_MS) {
		log_warning("disk still fails", "ERROR", error, "FAILED_MS",
			    log_number((uint64_t)(now - sh->disk_failed_at)));
		sh->disk_logged_at = now;
	}
}

/* The loop. */

void shell_flush(struct shell *sh)
{
	bool any = true;
	clock_ms_t from = clock_monotonic();
	enum work_kind before = work_enter(WORK_IO);

	shell_record_lag(sh, from);
	while (any) {
		work_enter(WORK_APPLY);
		apply_committed(sh);
		check_leadership(sh);
		work_enter(WORK_RELEASE);
		any = release_held(sh);
		work_enter(WORK_IO);
		if (shell_leads(sh))
			manager_tick(sh->manager, clock_monotonic(), clock_wall());
		work_enter(WORK_PROPOSE);
		take_manager_effects(sh);
		work_enter(WORK_REPLICATE);
		raft_flush(sh->raft, clock_monotonic());
		any |= take_raft_effects(sh);
	}
	sh->last_pass_at = clock_monotonic();
	work_enter(WORK_AGENTS);
	agents_flush(sh->agents, sh->node, sh->last_pass_at);
	work_leave(before);
	shell_log_if_slow(&sh->slow_loop_logged_at, "slow pass of the event loop", from,
			  SLOW_LOOP_MS);
}

void shell_on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)revents;
	shell_record_unread(w->data, clock_monotonic());
	shell_flush(w->data);
	log_flush();
	work_enter(WORK_IDLE);
}

void shell_on_after_wait(struct ev_loop *loop, ev_check *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	work_enter(WORK_IO);
	rpc_stream_set_low_priority_deadline(clock_monotonic() + REQUEST_PASS_MS);
}

/// Notes whether this replica has had no contact with a leader for so long that callers and
/// endpoints should ask another replica instead of waiting here.
static void update_leader_contact(struct shell *sh, clock_ms_t now)
{
	clock_ms_t silent_ms = now - raft_leader_contact_at(sh->raft, now);
	bool is_cut_off = silent_ms > LEADERLESS_MS;

	if (is_cut_off == sh->is_cut_off)
		return;
	sh->is_cut_off = is_cut_off;
	if (is_cut_off)
		log_warning("no contact with a leader; refusing requests");
	else
		log_info("contact with a leader; relaying requests again");
}

void shell_on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;
	clock_ms_t now = clock_monotonic();

	(void)revents;
	raft_tick(sh->raft, now);
	update_leader_contact(sh, now);
	agents_tick(sh->agents, now);
	shell_adapt_round_gap(sh, now);
	heartbeat_proxy_tick(sh->heartbeat_proxy, now, raft_term(sh->raft), shell_other_leader(sh));
	shell_log_load(sh, now);
	if (!sh->stopping_at)
		return;
	if (now - sh->stopping_at > sh->settings.grace_ms - STOP_MARGIN_MS ||
	    (now - sh->stopping_at > STOP_MIN_MS && !http_server_active(sh->http))) {
		log_info("stopped");
		ev_break(loop, EVBREAK_ALL);
	}
}
