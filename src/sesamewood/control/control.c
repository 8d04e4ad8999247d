#include "control/control.h"

#include "base/codec.h"
#include "control/admin.h"
#include "control/moves.h"
#include "control/sessions.h"

#include <stdlib.h>
#include <string.h>

#define WATCH_MS 5000
#define DECIDE_MS 100
#define ROLLOUTS_MAX 64

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

/* Waiting calls. */

static void wait_free(struct wait *w)
{
	codec_free(CODEC_PROC(sw_claim_reply), &w->reply);
	g_free(w);
}

static void set_holder(sw_claim_result *result, const struct fleet_outcome *outcome)
{
	result->status = outcome->status;
	if (outcome->holder.entry)
		codec_copy(CODEC_PROC(sw_claim), &outcome->holder, &result->holder,
			   sizeof(result->holder));
	else
		result->holder.entry = strdup("");
}

static void finish_claims(struct control *c, struct wait *w)
{
	struct control_reply *reply = control_add_reply(c, w->token, SW_PROC_CLAIM);

	reply->u.claim = w->reply;
	memset(&w->reply, 0, sizeof(w->reply));
	wait_free(w);
}

/// Passes the outcome of a command to the call that waits for it.
static void finish_wait(struct control *c, uint64_t index, uint64_t term,
			const struct fleet_outcome *outcome)
{
	struct wait *w = g_hash_table_lookup(c->waits, GSIZE_TO_POINTER(index));

	if (!w || w->term != term)
		return;
	g_hash_table_remove(c->waits, GSIZE_TO_POINTER(index));
	switch (w->type) {
	case WAIT_PUT:
		admin_finish_put(c, w->token, outcome);
		wait_free(w);
		break;
	case WAIT_CLAIMS:
		set_holder(&w->reply.results.results_val[index - w->first], outcome);
		if (--w->open == 0)
			finish_claims(c, w);
		break;
	}
}

/// Ends all waiting calls of an earlier term: their commands may or may not be committed.
static void fail_waits(struct control *c)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(NULL, NULL);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->waits);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct wait *w = value;

		g_hash_table_iter_remove(&iter);
		if (!g_hash_table_add(seen, w))
			continue;
		if (w->type == WAIT_PUT)
			admin_fail_put(c, w->token);
		else
			control_add_reply(c, w->token, SW_PROC_CLAIM)->u.claim.status =
				SW_NOT_LEADER;
	}
	g_hash_table_iter_init(&iter, seen);
	while (g_hash_table_iter_next(&iter, &value, NULL))
		wait_free(value);
}

/* Watchers. */

static void answer_watcher(struct control *c, const struct watcher *w, sw_status status)
{
	sw_watch_reply *reply = &control_add_reply(c, w->token, SW_PROC_WATCH)->u.watch;

	reply->status = status;
	reply->leader = raft_leader(c->raft);
	reply->index = c->view_index;
}

static void answer_watchers(struct control *c, clock_ms_t now, bool all)
{
	for (guint i = c->watchers->len; i > 0; i--) {
		const struct watcher *w = c->watchers->pdata[i - 1];

		if (!all && now < w->until && w->have_index >= c->view_index)
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
		.have_index = args->have_index,
		.until = now + WATCH_MS,
	};
	if (!raft_leads(c->raft, now)) {
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
	struct wait *w;

	if (!raft_leads(c->raft, now) || !n) {
		sw_claim_reply *reply = &control_add_reply(c, token, SW_PROC_CLAIM)->u.claim;

		reply->status = n ? SW_NOT_LEADER : SW_OK;
		reply->leader = raft_leader(c->raft);
		return;
	}
	w = g_new0(struct wait, 1);
	*w = (struct wait){
		.type = WAIT_CLAIMS,
		.token = token,
		.term = raft_term(c->raft),
		.open = n,
		.first = raft_last_index(c->raft) + 1,
	};
	w->reply.leader = raft_leader(c->raft);
	w->reply.results.results_len = n;
	w->reply.results.results_val = calloc(n, sizeof(sw_claim_result));
	for (u_int i = 0; i < n; i++) {
		sw_command command = claim_command(&args->claims.claims_val[i], wall_ms);
		uint64_t index = control_propose(c, &command);

		w->reply.results.results_val[i].holder.entry = NULL;
		g_hash_table_insert(c->waits, GSIZE_TO_POINTER(index), w);
	}
}

/* Applying. */

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
		moves_registered(c, now,
				 fleet_instance(c->fleet, command.sw_command_u.announce.instance));
	if (changes_view(&command, &outcome)) {
		c->view_index = record->index;
		c->decide = true;
		if (command.type == SW_COMMAND_TABLE_PUT && outcome.table_version == record->index)
			track_rollout(c, now, record->index);
	}
	finish_wait(c, record->index, record->term, &outcome);
	codec_free(CODEC_PROC(sw_command), &command);
}

static void apply_committed(struct control *c, clock_ms_t now)
{
	const struct raft_log_record *record;

	while ((record = raft_next_committed(c->raft)))
		apply_record(c, now, record);
}

static void take_snapshot(struct control *c)
{
	uint64_t behind = raft_applied_index(c->raft) - raft_snapshot_index(c->raft);
	g_autoptr(GByteArray) data = NULL;

	if (behind < c->settings.snapshot_records)
		return;
	data = fleet_snapshot(c->fleet);
	raft_compact(c->raft, data);
}

/// Takes over a snapshot that the leader sent.
static void install_snapshot(struct control *c)
{
	const raft_snapshot *s = raft_latest_snapshot(c->raft);

	if (s->index <= c->fleet->applied_index)
		return;
	fleet_restore(c->fleet, s->data.sw_blob_val, s->data.sw_blob_len);
	c->view_index = s->index;
}

/* Leadership. */

static void start_leading(struct control *c, clock_ms_t now)
{
	c->leading_term = raft_term(c->raft);
	c->leading_since = now;
	c->decide = true;
	g_hash_table_remove_all(c->sessions);
	g_array_set_size(c->rollouts, 0);
	for (guint i = 0; i < c->health->len; i++) {
		struct health *h = &g_array_index(c->health, struct health, i);

		*h = (struct health){.incarnation = h->incarnation, .heard_at = now};
	}
}

static void update_leadership(struct control *c, clock_ms_t now)
{
	bool leader = raft_role(c->raft) == RAFT_LEADER;

	if (leader && c->leading_term != raft_term(c->raft)) {
		fail_waits(c);
		answer_watchers(c, now, true);
		start_leading(c, now);
	} else if (!leader && c->leading_term) {
		c->leading_term = 0;
		fail_waits(c);
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

static void act(struct control *c, clock_ms_t now, bool tick)
{
	update_leadership(c, now);
	if (!c->leading_term || !raft_leads(c->raft, now))
		return;
	if (c->decide || (tick && now >= c->decided_at + DECIDE_MS)) {
		c->decide = false;
		c->decided_at = now;
		moves_decide(c, now);
	}
	update_rollouts(c, now);
	answer_watchers(c, now, false);
}

void control_step(struct control *c, clock_ms_t now, const struct control_event *e)
{
	switch (e->type) {
	case CONTROL_TICK:
		raft_tick(c->raft, now);
		act(c, now, true);
		break;
	case CONTROL_FLUSH:
		apply_committed(c, now);
		act(c, now, false);
		take_snapshot(c);
		raft_flush(c->raft, now);
		break;
	case CONTROL_PERSISTED:
		raft_persisted(c->raft);
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
	c->waits = g_hash_table_new(NULL, NULL);
	c->watchers = g_ptr_array_new_with_free_func(g_free);
	c->placed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->rollouts = g_array_new(FALSE, FALSE, sizeof(struct rollout));
	c->replies = g_ptr_array_new_with_free_func(reply_free);
	if (recovered->snapshot.index)
		fleet_restore(c->fleet, recovered->snapshot.data.sw_blob_val,
			      recovered->snapshot.data.sw_blob_len);
	c->view_index = c->fleet->applied_index;
	c->raft = raft_new(&settings->raft, recovered, now);
	return c;
}

void control_free(struct control *c)
{
	fail_waits(c);
	raft_free(c->raft);
	fleet_free(c->fleet);
	policy_free(c->policy);
	g_hash_table_unref(c->sessions);
	g_array_unref(c->health);
	g_hash_table_unref(c->waits);
	g_ptr_array_unref(c->watchers);
	g_array_unref(c->rollouts);
	g_hash_table_unref(c->placed);
	g_ptr_array_unref(c->replies);
	g_free(c);
}
