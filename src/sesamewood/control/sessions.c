#include "control/sessions.h"

#include "base/codec.h"
#include "control/moves.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

void session_free(void *p)
{
	struct session *s = p;

	g_free(s->entry);
	g_free(s->address);
	g_hash_table_unref(s->acks);
	g_ptr_array_unref(s->pool_loads);
	g_free(s);
}

static void pool_load_free(void *p)
{
	codec_free(CODEC_PROC(sw_pool_load), p);
	g_free(p);
}

static struct session *attach(struct control *c, const sw_renew_args *args)
{
	struct session *s = g_new0(struct session, 1);

	*s = (struct session){
		.entry = g_strdup(args->entry),
		.session = args->session,
		.address = g_strdup(args->address),
		.acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
		.pool_loads = g_ptr_array_new_with_free_func(pool_load_free),
	};
	g_hash_table_replace(c->sessions, s->entry, s);
	c->needs_evaluation = true;
	return s;
}

static bool owns_instances(const struct control *c, const char *entry)
{
	for (guint i = 0; i < c->fleet->instances->len; i++) {
		const sw_instance *instance = c->fleet->instances->pdata[i];

		if (instance && g_str_equal(instance->entry, entry))
			return true;
	}
	return false;
}

/// Proposes a new session of an entry. The lease of its earlier session must have expired first,
/// and so must any lease that an earlier leader gave it while it owns instances.
static void open_session(struct control *c, clock_ms_t now, const sw_renew_args *args,
			 const struct session *old, const sw_entry_session *recorded)
{
	clock_ms_t earlier_leases_until =
		c->leader_since + c->settings.lease_ms + c->settings.lease_margin_ms;
	sw_command command = {
		.type = SW_COMMAND_SESSION,
		.sw_command_u.session =
			{
				.entry = args->entry,
				.session = args->session,
				.address = args->address,
				.clean = !owns_instances(c, args->entry),
			},
	};

	if (old && old->session != args->session && now < old->lease_until)
		return;
	if (!old && recorded && !command.sw_command_u.session.clean && now < earlier_leases_until)
		return;
	control_propose(c, &command);
}

/// Attaches the entry to this leader if its session is recorded in the log, else proposes the
/// session.
///
/// @return the attached session, or NULL: the entry has to renew again later
static struct session *find_or_attach_session(struct control *c, clock_ms_t now,
					      const sw_renew_args *args)
{
	struct session *s = g_hash_table_lookup(c->sessions, args->entry);
	const sw_entry_session *recorded = g_hash_table_lookup(c->fleet->sessions, args->entry);

	if (s && s->session == args->session)
		return s;
	if (!recorded || recorded->session != args->session) {
		open_session(c, now, args, s, recorded);
		return NULL;
	}
	if (s && now < s->lease_until)
		return NULL;
	s = attach(c, args);
	if (!recorded->clean)
		s->old_requests_end_at = now + moves_request_max_ms(c);
	return s;
}

static void record_acks(struct control *c, struct session *s, const sw_renew_args *args)
{
	for (u_int i = 0; i < args->acks.acks_len; i++) {
		const sw_ack *ack = &args->acks.acks_val[i];
		struct ack *copy = g_new(struct ack, 1);

		*copy = (struct ack){.epoch = ack->epoch, .busy = ack->busy};
		g_hash_table_replace(s->acks, g_strdup(ack->instance), copy);
		c->needs_evaluation = true;
	}
}

static void record_pool_loads(struct session *s, const sw_renew_args *args)
{
	g_ptr_array_set_size(s->pool_loads, 0);
	for (u_int i = 0; i < args->reports.reports_len; i++) {
		sw_pool_load *report = g_new0(sw_pool_load, 1);

		codec_copy(CODEC_PROC(sw_pool_load), &args->reports.reports_val[i], report,
			   sizeof(*report));
		g_ptr_array_add(s->pool_loads, report);
	}
}

/// @return true if the log lacks the incarnation in @p hb, or that it is leaving
static bool is_new_registration(const struct control *c, const sw_heartbeat *hb)
{
	const sw_instance *recorded = fleet_find_instance(c->fleet, hb->instance);

	if (!recorded || hb->incarnation > recorded->endpoint.incarnation)
		return true;
	return hb->incarnation == recorded->endpoint.incarnation && hb->leaving &&
	       !recorded->endpoint.leaving;
}

/// Proposes the registration of instances that are new, restarted or leaving.
static void propose_registrations(struct control *c, const sw_renew_args *args)
{
	for (u_int i = 0; i < args->registrations.registrations_len; i++) {
		const sw_heartbeat *hb = &args->registrations.registrations_val[i];
		sw_command command = {
			.type = SW_COMMAND_HEARTBEAT,
			.sw_command_u.heartbeat = *hb,
		};

		if (is_new_registration(c, hb))
			control_propose(c, &command);
	}
}

/// Records a heartbeat for each instance id whose bit is set.
static void record_heartbeats(struct control *c, clock_ms_t now, const sw_renew_args *args)
{
	guint n = MIN(c->health->len, args->heartbeat_bits.heartbeat_bits_len * CHAR_BIT);

	for (guint i = 0; i < n; i++)
		if (args->heartbeat_bits.heartbeat_bits_val[i / CHAR_BIT] & 1 << i % CHAR_BIT)
			g_array_index(c->health, struct health, i).last_heartbeat_at = now;
}

/* The view of an entry. */

/// Fills in the tables that changed after the view at @p applied_view_index.
static void fill_tables(const struct fleet *f, uint64_t applied_view_index, sw_renew_reply *reply)
{
	sw_table_text *t = calloc(2, sizeof(*t));
	u_int n = 0;

	if (f->pools_version > applied_view_index || reply->full)
		t[n++] = (sw_table_text){
			.table = SW_TABLE_POOLS,
			.table_version = f->pools_version,
			.json = strdup(f->pools_json),
		};
	if (f->routes_version > applied_view_index || reply->full)
		t[n++] = (sw_table_text){
			.table = SW_TABLE_ROUTES,
			.table_version = f->routes_version,
			.json = strdup(f->routes_json),
		};
	reply->tables.tables_len = n;
	reply->tables.tables_val = t;
}

/// Fills in the instances that changed after the view at @p applied_view_index, and the ids of
/// those that were removed since.
static void fill_instances(const struct fleet *f, uint64_t applied_view_index,
			   sw_renew_reply *reply)
{
	reply->instances.instances_val = calloc(f->instances->len + 1, sizeof(sw_instance));
	for (guint i = 0; i < f->instances->len; i++) {
		const sw_instance *instance = f->instances->pdata[i];

		if (instance && (reply->full || instance->modified_index > applied_view_index))
			codec_copy(
				CODEC_PROC(sw_instance), instance,
				&reply->instances.instances_val[reply->instances.instances_len++],
				sizeof(sw_instance));
	}
	if (reply->full)
		return;
	reply->forgotten.forgotten_val = calloc(f->forgotten->len + 1, sizeof(u_int));
	for (guint i = 0; i < f->forgotten->len; i++) {
		const struct fleet_forgotten *removed =
			&g_array_index(f->forgotten, struct fleet_forgotten, i);

		if (removed->index > applied_view_index)
			reply->forgotten.forgotten_val[reply->forgotten.forgotten_len++] =
				removed->id;
	}
}

/// Fills in all entries if one of them has a new session since the view at @p applied_view_index.
static void fill_peers(const struct control *c, uint64_t applied_view_index, sw_renew_reply *reply)
{
	bool changed = reply->full;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->fleet->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		changed = changed || ((sw_entry_session *)value)->index > applied_view_index;
	if (!changed)
		return;
	reply->peers.peers_val = calloc(g_hash_table_size(c->fleet->sessions) + 1, sizeof(sw_peer));
	g_hash_table_iter_init(&iter, c->fleet->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const sw_entry_session *session = value;
		sw_peer *peer = &reply->peers.peers_val[reply->peers.peers_len++];

		peer->entry = strdup(session->entry);
		peer->address = strdup(session->address);
	}
}

/// Fills in what changed since the view that the entry has applied; everything if that is unknown
/// or too old.
static void fill_view(const struct control *c, const sw_renew_args *args, sw_renew_reply *reply)
{
	uint64_t applied_view_index = args->applied_view_index;

	reply->full = applied_view_index == 0 || applied_view_index < c->fleet->forgotten_from ||
		      applied_view_index > c->view_index;
	reply->index = c->view_index;
	reply->lease_ms = c->settings.lease_ms;
	if (!reply->full && applied_view_index == c->view_index)
		return;
	fill_tables(c->fleet, applied_view_index, reply);
	fill_instances(c->fleet, applied_view_index, reply);
	fill_peers(c, applied_view_index, reply);
}

/// Ends the session of an entry that asks for it and owns no instances any more.
///
/// @return true if the session has ended
static bool detach(struct control *c, const sw_renew_args *args)
{
	if (!args->detach || owns_instances(c, args->entry))
		return false;
	g_hash_table_remove(c->sessions, args->entry);
	return true;
}

void sessions_renew(struct control *c, clock_ms_t now, uint64_t token, const sw_renew_args *args)
{
	sw_renew_reply *reply = &control_add_reply(c, token, SW_PROC_RENEW)->u.renew;
	struct session *s;

	reply->leader = raft_leader(c->raft);
	if (!raft_holds_leader_lease(c->raft, now)) {
		reply->status = SW_NOT_LEADER;
		return;
	}
	s = find_or_attach_session(c, now, args);
	if (!s) {
		reply->status = SW_BUSY;
		return;
	}
	s->lease_until = now + c->settings.lease_ms + c->settings.lease_margin_ms;
	s->applied_view_index = args->applied_view_index;
	s->draining = args->draining;
	record_acks(c, s, args);
	propose_registrations(c, args);
	if (args->reporting) {
		record_pool_loads(s, args);
		record_heartbeats(c, now, args);
	}
	fill_view(c, args, reply);
	reply->detached = detach(c, args);
}

bool sessions_in_force(const struct control *c, clock_ms_t now, uint64_t index)
{
	GHashTableIter iter;
	gpointer value;

	if (now < c->leader_since + c->settings.lease_ms + c->settings.lease_margin_ms) {
		/* An entry that has not attached may still hold a lease of an earlier leader. */
		g_hash_table_iter_init(&iter, c->fleet->sessions);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (!g_hash_table_contains(c->sessions, ((sw_entry_session *)value)->entry))
				return false;
	}
	g_hash_table_iter_init(&iter, c->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *s = value;

		if (now < s->lease_until && s->applied_view_index < index)
			return false;
	}
	return true;
}
