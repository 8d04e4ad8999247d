#include "control/control.h"

#include "base/codec.h"
#include "base/log.h"
#include "control/admin.h"
#include "control/moves.h"
#include "control/sessions.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_WAIT_MAX_MS 5000	 ///< a watch is answered after this time in any case
#define EVALUATE_INTERVAL_MS 100 ///< interval of evaluations while nothing changes
#define ROLLOUTS_MAX 64		 ///< latest table changes kept for the administration API

static void reply_free(void *p)
{
	struct control_reply *reply = p;

	switch (reply->proc) {
	case SW_PROC_RENEW:
		codec_free(CODEC_PROC(sw_renew_reply), &reply->u.renew);
		break;
	case SW_PROC_CLAIM:
		codec_free(CODEC_PROC(sw_claim_reply), &reply->u.claim);
		break;
	case SW_PROC_ADMIN:
		codec_free(CODEC_PROC(sw_admin_reply), &reply->u.admin);
		break;
	default:
		break;
	}
	g_free(reply);
}

struct control_reply *control_add_reply(struct control *c, uint64_t token, uint32_t proc)
{
	struct control_reply *reply = g_new0(struct control_reply, 1);

	reply->token = token;
	reply->proc = proc;
	g_ptr_array_add(c->replies, reply);
	return reply;
}

GPtrArray *control_take_replies(struct control *c)
{
	GPtrArray *out = c->replies;

	c->replies = g_ptr_array_new_with_free_func(reply_free);
	return out;
}

uint64_t control_propose(struct control *c, const sw_command *command)
{
	GByteArray *bytes = codec_encode(CODEC_PROC(sw_command), command);
	g_autoptr(GBytes) data = bytes ? g_byte_array_free_to_bytes(bytes) : NULL;

	return data ? raft_propose(c->raft, data) : 0;
}

/* Pending calls. */

static void pending_call_free(struct pending_call *call)
{
	codec_free(CODEC_PROC(sw_claim_reply), &call->reply);
	g_free(call);
}

static void set_claim_result(sw_claim_result *result, const struct fleet_outcome *outcome)
{
	result->status = outcome->status;
	if (outcome->holder.entry)
		codec_copy(CODEC_PROC(sw_claim), &outcome->holder, &result->holder,
			   sizeof(result->holder));
	else
		result->holder.entry = strdup("");
}

static void complete_claims(struct control *c, struct pending_call *call)
{
	struct control_reply *reply = control_add_reply(c, call->token, SW_PROC_CLAIM);

	reply->u.claim = call->reply;
	memset(&call->reply, 0, sizeof(call->reply));
	pending_call_free(call);
}

/// Passes the outcome of a command to the pending call that proposed it, if there is one. The term
/// is compared because another leader may have replaced the record at the same index.
static void complete_pending_call(struct control *c, uint64_t index, uint64_t term,
				  const struct fleet_outcome *outcome)
{
	struct pending_call *call = g_hash_table_lookup(c->pending_calls, GSIZE_TO_POINTER(index));

	if (!call || call->term != term)
		return;
	g_hash_table_remove(c->pending_calls, GSIZE_TO_POINTER(index));
	switch (call->type) {
	case PENDING_PUT:
		admin_complete_put(c, call->token, outcome);
		pending_call_free(call);
		break;
	case PENDING_CLAIMS:
		set_claim_result(&call->reply.results.results_val[index - call->first_index],
				 outcome);
		if (--call->remaining == 0)
			complete_claims(c, call);
		break;
	}
}

/// Fails all pending calls. Their commands may or may not be committed by another leader.
static void fail_pending_calls(struct control *c)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->pending_calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_call *call = value;

		g_hash_table_iter_remove(&iter);
		if (!g_hash_table_add(seen, call))
			continue;
		if (call->type == PENDING_PUT)
			admin_fail_put(c, call->token);
		else
			control_add_reply(c, call->token, SW_PROC_CLAIM)->u.claim.status =
				SW_NOT_LEADER;
	}
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		pending_call_free(value);
}

/* Watchers. */

static void answer_watcher(struct control *c, const struct watcher *w, sw_status status)
{
	sw_watch_reply *reply = &control_add_reply(c, w->token, SW_PROC_WATCH)->u.watch;

	reply->status = status;
	reply->leader = raft_leader(c->raft);
	reply->index = c->view_index;
}

/// Answers the watchers whose applied view is older than the current one, or whose time limit has
/// passed.
///
/// @param all answer every watcher with SW_NOT_LEADER
static void answer_watchers(struct control *c, clock_ms_t now, bool all)
{
	for (guint i = c->watchers->len; i > 0; i--) {
		const struct watcher *w = c->watchers->pdata[i - 1];

		if (!all && now < w->until && w->applied_view_index >= c->view_index)
			continue;
		answer_watcher(c, w, all ? SW_NOT_LEADER : SW_OK);
		g_ptr_array_remove_index_fast(c->watchers, i - 1);
	}
}

static void add_watcher(struct control *c, clock_ms_t now, uint64_t token,
			const sw_watch_args *args)
{
	struct watcher *w = g_new0(struct watcher, 1);

	*w = (struct watcher){
		.token = token,
		.applied_view_index = args->applied_view_index,
		.until = now + WATCH_WAIT_MAX_MS,
	};
	if (!raft_holds_leader_lease(c->raft, now)) {
		answer_watcher(c, w, SW_NOT_LEADER);
		g_free(w);
		return;
	}
	g_ptr_array_add(c->watchers, w);
}

/* Claims. */

static sw_command claim_command(const sw_claim *claim, clock_ms_t wall_ms)
{
	sw_command command = {.type = SW_COMMAND_CLAIM, .sw_command_u.claim = *claim};

	if (claim->state != SW_CLAIM_OPEN)
		command.type = SW_COMMAND_CLAIM_END;
	command.sw_command_u.claim.at_wall_ms = wall_ms;
	return command;
}

static void handle_claims(struct control *c, clock_ms_t now, uint64_t token, clock_ms_t wall_ms,
			  const sw_claim_args *args)
{
	u_int n = args->claims.claims_len;
	struct pending_call *call;

	if (!raft_holds_leader_lease(c->raft, now) || !n) {
		sw_claim_reply *reply = &control_add_reply(c, token, SW_PROC_CLAIM)->u.claim;

		reply->status = n ? SW_NOT_LEADER : SW_OK;
		reply->leader = raft_leader(c->raft);
		return;
	}
	call = g_new0(struct pending_call, 1);
	*call = (struct pending_call){
		.type = PENDING_CLAIMS,
		.token = token,
		.term = raft_term(c->raft),
		.remaining = n,
		.first_index = raft_last_index(c->raft) + 1,
	};
	call->reply.leader = raft_leader(c->raft);
	call->reply.results.results_len = n;
	call->reply.results.results_val = calloc(n, sizeof(sw_claim_result));
	for (u_int i = 0; i < n; i++) {
		sw_command command = claim_command(&args->claims.claims_val[i], wall_ms);
		uint64_t index = control_propose(c, &command);

		call->reply.results.results_val[i].holder.entry = NULL;
		g_hash_table_insert(c->pending_calls, GSIZE_TO_POINTER(index), call);
	}
}

/* Applying. */

/// @return true if the command changed what entries are sent in reply to a renewal
static bool changes_view(const sw_command *command, const struct fleet_outcome *outcome)
{
	if (outcome->status != SW_OK)
		return false;
	switch (command->type) {
	case SW_COMMAND_TABLE_PUT:
	case SW_COMMAND_HEARTBEAT:
	case SW_COMMAND_REVOKE:
	case SW_COMMAND_GRANT:
	case SW_COMMAND_FORGET:
	case SW_COMMAND_SESSION:
		return true;
	default:
		return false;
	}
}

/// Starts to measure how long a table change takes to be in force; drops the oldest measurement.
static void track_rollout(struct control *c, clock_ms_t now, uint64_t version)
{
	struct rollout r = {.version = version, .accepted_at = now, .in_force_ms = -1};

	if (c->rollouts->len == ROLLOUTS_MAX)
		g_array_remove_index(c->rollouts, 0);
	g_array_append_val(c->rollouts, r);
}

static void apply_record(struct control *c, clock_ms_t now, const struct raft_log_record *record)
{
	gsize len;
	const void *data = g_bytes_get_data(record->command, &len);
	struct fleet_outcome outcome;
	sw_command command;

	if (!codec_decode(CODEC_PROC(sw_command), data, len, &command, sizeof(command)))
		return;
	outcome = fleet_apply(c->fleet, record->index, &command);
	if (command.type == SW_COMMAND_HEARTBEAT && outcome.status == SW_OK)
		moves_record_registration(
			c, now,
			fleet_find_instance(c->fleet, command.sw_command_u.heartbeat.instance));
	if (changes_view(&command, &outcome)) {
		c->view_index = record->index;
		c->needs_evaluation = true;
		if (command.type == SW_COMMAND_TABLE_PUT && outcome.table_version == record->index)
			track_rollout(c, now, record->index);
	}
	complete_pending_call(c, record->index, record->term, &outcome);
	codec_free(CODEC_PROC(sw_command), &command);
}

static void apply_committed(struct control *c, clock_ms_t now)
{
	const struct raft_log_record *record;

	while ((record = raft_next_committed(c->raft)))
		apply_record(c, now, record);
}

/// Takes a snapshot if snapshot_records have been applied since the last one.
static void take_snapshot(struct control *c)
{
	uint64_t behind = raft_applied_index(c->raft) - raft_snapshot_index(c->raft);
	g_autoptr(GBytes) data = NULL;
	GByteArray *bytes;

	if (behind < c->settings.snapshot_records)
		return;
	bytes = fleet_snapshot(c->fleet);
	if (!bytes) {
		log_error("cannot encode the state; the log is not compacted");
		return;
	}
	data = g_byte_array_free_to_bytes(bytes);
	raft_compact(c->raft, data);
}

/// Restores the state machine from a snapshot that the leader sent, if it is newer.
static void install_snapshot(struct control *c)
{
	const struct raft_image *s = raft_latest_snapshot(c->raft);
	gsize len;
	const void *data;

	if (s->index <= c->fleet->applied_index)
		return;
	data = g_bytes_get_data(s->data, &len);
	fleet_restore(c->fleet, data, len);
	c->view_index = s->index;
}

/* Leadership. */

/// Resets what only a leader observes: sessions, rollouts, and health. The last heartbeat of each
/// instance is set to @p now, because an earlier leader received its heartbeats.
static void start_leadership(struct control *c, clock_ms_t now)
{
	c->leader_term = raft_term(c->raft);
	c->leader_since = now;
	c->needs_evaluation = true;
	g_hash_table_remove_all(c->sessions);
	g_array_set_size(c->rollouts, 0);
	for (guint i = 0; i < c->health->len; i++) {
		struct health *h = &g_array_index(c->health, struct health, i);

		*h = (struct health){.incarnation = h->incarnation, .last_heartbeat_at = now};
	}
}

/// Detects that this replica became the leader, or no longer is, and fails the pending calls and
/// watchers of the former term.
static void update_leadership(struct control *c, clock_ms_t now)
{
	bool leader = raft_role(c->raft) == RAFT_LEADER;

	if (leader && c->leader_term != raft_term(c->raft)) {
		fail_pending_calls(c);
		answer_watchers(c, now, true);
		start_leadership(c, now);
	} else if (!leader && c->leader_term) {
		c->leader_term = 0;
		fail_pending_calls(c);
		answer_watchers(c, now, true);
	}
}

static void update_rollouts(struct control *c, clock_ms_t now)
{
	for (guint i = 0; i < c->rollouts->len; i++) {
		struct rollout *r = &g_array_index(c->rollouts, struct rollout, i);

		if (r->in_force_ms < 0 && sessions_in_force(c, now, r->version))
			r->in_force_ms = now - r->accepted_at;
	}
}

/// Evaluates moves, rollouts and watchers if this replica holds the leader lease.
///
/// @param tick run the evaluation also when nothing has changed, every EVALUATE_INTERVAL_MS
static void run_leader_tasks(struct control *c, clock_ms_t now, bool tick)
{
	update_leadership(c, now);
	if (!c->leader_term || !raft_holds_leader_lease(c->raft, now))
		return;
	if (c->needs_evaluation || (tick && now >= c->last_evaluated_at + EVALUATE_INTERVAL_MS)) {
		c->needs_evaluation = false;
		c->last_evaluated_at = now;
		moves_evaluate(c, now);
	}
	update_rollouts(c, now);
	answer_watchers(c, now, false);
}

void control_step(struct control *c, clock_ms_t now, const struct control_event *e)
{
	switch (e->type) {
	case CONTROL_TICK:
		raft_tick(c->raft, now);
		run_leader_tasks(c, now, true);
		break;
	case CONTROL_FLUSH:
		apply_committed(c, now);
		run_leader_tasks(c, now, false);
		take_snapshot(c);
		raft_flush(c->raft, now);
		break;
	case CONTROL_PERSISTED:
		raft_mark_persisted(c->raft);
		apply_committed(c, now);
		break;
	case CONTROL_MESSAGE:
		raft_receive(c->raft, now, e->u.message);
		install_snapshot(c);
		break;
	case CONTROL_RENEW:
		sessions_renew(c, now, e->token, e->u.renew);
		break;
	case CONTROL_WATCH:
		add_watcher(c, now, e->token, e->u.watch);
		break;
	case CONTROL_CLAIM:
		handle_claims(c, now, e->token, e->wall_ms, e->u.claim);
		break;
	case CONTROL_ADMIN:
		admin_handle(c, now, e->token, e->u.admin);
		break;
	}
}

struct control *control_new(const struct control_settings *settings,
			    struct raft_recovered *recovered, clock_ms_t now)
{
	struct control *c = g_new0(struct control, 1);

	c->settings = *settings;
	c->fleet = fleet_new();
	c->policy = policy_new();
	c->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, session_free);
	c->health = g_array_new(FALSE, TRUE, sizeof(struct health));
	c->pending_calls = g_hash_table_new(NULL, NULL);
	c->watchers = g_ptr_array_new_with_free_func(g_free);
	c->entry_loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->rollouts = g_array_new(FALSE, FALSE, sizeof(struct rollout));
	c->replies = g_ptr_array_new_with_free_func(reply_free);
	if (recovered->snapshot.index)
		fleet_restore(c->fleet, g_bytes_get_data(recovered->snapshot.data, NULL),
			      g_bytes_get_size(recovered->snapshot.data));
	c->view_index = c->fleet->applied_index;
	c->raft = raft_new(&settings->raft, recovered, now);
	return c;
}

void control_free(struct control *c)
{
	fail_pending_calls(c);
	raft_free(c->raft);
	fleet_free(c->fleet);
	policy_free(c->policy);
	g_hash_table_unref(c->sessions);
	g_array_unref(c->health);
	g_hash_table_unref(c->pending_calls);
	g_ptr_array_unref(c->watchers);
	g_array_unref(c->rollouts);
	g_hash_table_unref(c->entry_loads);
	g_ptr_array_unref(c->replies);
	g_free(c);
}
