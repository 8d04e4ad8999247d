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
	g_ptr_array_unref(s->reports);
	g_free(s);
}

static void report_free(void *p)
{
	codec_free(CODEC_PROC(sw_pool_report), p);
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
		.reports = g_ptr_array_new_with_free_func(report_free),
	};
	g_hash_table_replace(c->sessions, s->entry, s);
	c->decide = true;
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

/// Records a new session of an entry in the log. The lease of an earlier one must be over first.
static void open_session(struct control *c, clock_ms_t now, const sw_renew_args *args,
			 const struct session *old, const sw_entry_session *known)
{
	clock_ms_t guard = c->leading_since + c->settings.lease_ms + c->settings.lease_margin_ms;
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
	if (!old && known && !command.sw_command_u.session.clean && now < guard)
		return;
	control_propose(c, &command);
}

/// @return the attached session, or NULL while it has to be recorded first
static struct session *find_session(struct control *c, clock_ms_t now, const sw_renew_args *args)
{
	struct session *s = g_hash_table_lookup(c->sessions, args->entry);
	const sw_entry_session *known = g_hash_table_lookup(c->fleet->sessions, args->entry);

	if (s && s->session == args->session)
		return s;
	if (!known || known->session != args->session) {
		open_session(c, now, args, s, known);
		return NULL;
	}
	if (s && now < s->lease_until)
		return NULL;
	s = attach(c, args);
	if (!known->clean)
		s->clean_after = now + moves_longest_run_ms(c);
	return s;
}

static void record_acks(struct control *c, struct session *s, const sw_renew_args *args)
{
	for (u_int i = 0; i < args->acks.acks_len; i++) {
		const sw_ack *ack = &args->acks.acks_val[i];
		struct ack *copy = g_new(struct ack, 1);

		*copy = (struct ack){.epoch = ack->epoch, .busy = ack->busy};
		g_hash_table_replace(s->acks, g_strdup(ack->instance), copy);
		c->decide = true;
	}
}

static void record_reports(struct session *s, const sw_renew_args *args)
{
	g_ptr_array_set_size(s->reports, 0);
	for (u_int i = 0; i < args->reports.reports_len; i++) {
		sw_pool_report *report = g_new0(sw_pool_report, 1);

		codec_copy(CODEC_PROC(sw_pool_report), &args->reports.reports_val[i], report,
			   sizeof(*report));
		g_ptr_array_add(s->reports, report);
	}
}

static bool is_news(const struct control *c, const sw_heartbeat *a)
{
	const sw_instance *known = fleet_instance(c->fleet, a->instance);

	if (!known || a->incarnation > known->endpoint.incarnation)
		return true;
	return a->incarnation == known->endpoint.incarnation && a->leaving &&
	       !known->endpoint.leaving;
}

static void record_announcements(struct control *c, const sw_renew_args *args)
{
	for (u_int i = 0; i < args->announcements.announcements_len; i++) {
		const sw_heartbeat *a = &args->announcements.announcements_val[i];
		sw_command command = {
			.type = SW_COMMAND_HEARTBEAT,
			.sw_command_u.announce = *a,
		};

		if (is_news(c, a))
			control_propose(c, &command);
	}
}

static void record_heard(struct control *c, clock_ms_t now, const sw_renew_args *args)
{
	guint n = MIN(c->health->len, args->heard.heard_len * CHAR_BIT);

	for (guint i = 0; i < n; i++)
		if (args->heard.heard_val[i / CHAR_BIT] & 1 << i % CHAR_BIT)
			g_array_index(c->health, struct health, i).heard_at = now;
}

/* What an entry is told. */

static void fill_tables(const struct fleet *f, uint64_t have, sw_renew_reply *reply)
{
	sw_table_text *t = calloc(2, sizeof(*t));
	u_int n = 0;

	if (f->pools_version > have || reply->full)
		t[n++] = (sw_table_text){
			.table = SW_TABLE_POOLS,
			.table_version = f->pools_version,
			.json = strdup(f->pools_json),
		};
	if (f->routes_version > have || reply->full)
		t[n++] = (sw_table_text){
			.table = SW_TABLE_ROUTES,
			.table_version = f->routes_version,
			.json = strdup(f->routes_json),
		};
	reply->tables.tables_len = n;
	reply->tables.tables_val = t;
}

static void fill_instances(const struct fleet *f, uint64_t have, sw_renew_reply *reply)
{
	reply->instances.instances_val = calloc(f->instances->len + 1, sizeof(sw_instance));
	for (guint i = 0; i < f->instances->len; i++) {
		const sw_instance *instance = f->instances->pdata[i];

		if (instance && (reply->full || instance->modified_index > have))
			codec_copy(
				CODEC_PROC(sw_instance), instance,
				&reply->instances.instances_val[reply->instances.instances_len++],
				sizeof(sw_instance));
	}
	if (reply->full)
		return;
	reply->forgotten.forgotten_val = calloc(f->forgotten->len + 1, sizeof(u_int));
	for (guint i = 0; i < f->forgotten->len; i++) {
		const struct fleet_forgotten *gone =
			&g_array_index(f->forgotten, struct fleet_forgotten, i);

		if (gone->index > have)
			reply->forgotten.forgotten_val[reply->forgotten.forgotten_len++] = gone->id;
	}
}

static void fill_peers(const struct control *c, uint64_t have, sw_renew_reply *reply)
{
	bool changed = reply->full;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->fleet->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		changed = changed || ((sw_entry_session *)value)->index > have;
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

static void fill_view(const struct control *c, const sw_renew_args *args, sw_renew_reply *reply)
{
	uint64_t have = args->have_index;

	reply->full = have == 0 || have < c->fleet->forgotten_from || have > c->view_index;
	reply->index = c->view_index;
	reply->lease_ms = c->settings.lease_ms;
	if (!reply->full && have == c->view_index)
		return;
	fill_tables(c->fleet, have, reply);
	fill_instances(c->fleet, have, reply);
	fill_peers(c, have, reply);
}

/// Ends the session of an entry that has handed everything back.
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
	if (!raft_leads(c->raft, now)) {
		reply->status = SW_NOT_LEADER;
		return;
	}
	s = find_session(c, now, args);
	if (!s) {
		reply->status = SW_BUSY;
		return;
	}
	s->lease_until = now + c->settings.lease_ms + c->settings.lease_margin_ms;
	s->have_index = args->have_index;
	s->draining = args->draining;
	record_acks(c, s, args);
	record_announcements(c, args);
	if (args->reporting) {
		record_reports(s, args);
		record_heard(c, now, args);
	}
	fill_view(c, args, reply);
	reply->detached = detach(c, args);
}

bool sessions_in_force(const struct control *c, clock_ms_t now, uint64_t index)
{
	GHashTableIter iter;
	gpointer value;

	if (now < c->leading_since + c->settings.lease_ms + c->settings.lease_margin_ms) {
		/* An entry that has not attached yet may still hold a lease of an earlier leader.
		 */
		g_hash_table_iter_init(&iter, c->fleet->sessions);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (!g_hash_table_contains(c->sessions, ((sw_entry_session *)value)->entry))
				return false;
	}
	g_hash_table_iter_init(&iter, c->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *s = value;

		if (now < s->lease_until && s->have_index < index)
			return false;
	}
	return true;
}
