/// @file
/// Log records, effects, and the membership that the log holds.

#include "base/codec.h"
#include "control/raft_internal.h"

#include <string.h>

#define EFFECT_RECORDS_MAX 4096 ///< records of one RAFT_APPEND_LOG effect

void raft_log_record_free(void *p)
{
	struct raft_log_record *record = p;

	g_bytes_unref(record->command);
	g_free(record);
}

void raft_effect_free(void *p)
{
	struct raft_effect *e = p;

	switch (e->type) {
	case RAFT_SAVE_META:
		codec_free(CODEC_PROC(raft_meta), &e->u.meta);
		break;
	case RAFT_APPEND_LOG:
		g_ptr_array_unref(e->u.records);
		break;
	case RAFT_SAVE_SNAPSHOT:
		raft_image_clear(&e->u.save.snapshot);
		break;
	case RAFT_SEND:
		codec_free(CODEC_PROC(raft_message), &e->u.message);
		break;
	}
	g_free(e);
}

bool raft_may_send_at_once(const struct raft_effect *e)
{
	return e->type == RAFT_SEND &&
	       (e->u.message.type == RAFT_APPEND || e->u.message.type == RAFT_SNAPSHOT ||
		e->u.message.type == RAFT_TIMEOUT_NOW);
}

struct raft_effect *raft_add_effect(struct raft *r, enum raft_effect_type type)
{
	struct raft_effect *e = g_new0(struct raft_effect, 1);

	e->type = type;
	g_ptr_array_add(r->effects, e);
	return e;
}

GPtrArray *raft_take_effects(struct raft *r)
{
	GPtrArray *out = r->effects;

	r->effects = g_ptr_array_new_with_free_func(raft_effect_free);
	return out;
}

void raft_save_meta(struct raft *r)
{
	struct raft_effect *e = raft_add_effect(r, RAFT_SAVE_META);

	codec_copy(CODEC_PROC(raft_meta), &r->meta, &e->u.meta, sizeof(raft_meta));
}

/* Log access. */

uint64_t raft_last_index(const struct raft *r)
{
	return r->log->len ? r->first_index + r->log->len - 1 : r->snapshot.index;
}

uint64_t raft_term_at(const struct raft *r, uint64_t index)
{
	if (index == r->snapshot.index)
		return r->snapshot.term;
	if (!r->log->len || index < r->first_index || index > raft_last_index(r))
		return 0;
	return ((struct raft_log_record *)r->log->pdata[index - r->first_index])->term;
}

const struct raft_log_record *raft_record_at(const struct raft *r, uint64_t index)
{
	return r->log->pdata[index - r->first_index];
}

/// Decodes a command.
///
/// @param[out] out members, released by the caller with codec_free()
/// @return false if it is malformed or no membership change
static bool decode_members(GBytes *command, sw_members *out)
{
	gsize len;
	const void *data = g_bytes_get_data(command, &len);
	sw_command c;
	bool found;

	if (!codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c)))
		return false;
	found = c.type == SW_COMMAND_MEMBERS;
	if (found)
		codec_copy(CODEC_PROC(sw_members), &c.sw_command_u.members, out, sizeof(*out));
	codec_free(CODEC_PROC(sw_command), &c);
	return found;
}

/// Tests the command type in the leading XDR enum, which is cheaper than decoding each record.
static bool is_members_command(GBytes *command)
{
	gsize len;
	const guint8 *data = g_bytes_get_data(command, &len);

	return len >= 4 && !data[0] && !data[1] && !data[2] && data[3] == SW_COMMAND_MEMBERS;
}

/// Sets the membership, and keeps replication state for new members if it is dynamic.
static void set_members(struct raft *r, const sw_members *m, uint64_t index)
{
	sw_members copy;

	if (!codec_copy(CODEC_PROC(sw_members), m, &copy, sizeof(copy)))
		return;
	codec_free(CODEC_PROC(sw_members), &r->members);
	r->members = copy;
	r->members_index = index;
	if (!r->settings.dynamic_membership)
		return;
	for (u_int i = 0; i < copy.members.members_len; i++)
		if (copy.members.members_val[i].node != r->settings.node)
			raft_add_peer(r, copy.members.members_val[i].node);
}

void raft_reload_members(struct raft *r)
{
	for (guint i = r->log->len; i > 0; i--) {
		const struct raft_log_record *record = r->log->pdata[i - 1];
		sw_members m;

		if (record->index <= r->snapshot.index)
			break;
		if (!is_members_command(record->command) || !decode_members(record->command, &m))
			continue;
		set_members(r, &m, record->index);
		codec_free(CODEC_PROC(sw_members), &m);
		return;
	}
	set_members(r, r->snapshot.index ? &r->snapshot.members : &r->meta.base, r->snapshot.index);
}

void raft_append(struct raft *r, uint64_t term, GBytes *command)
{
	struct raft_log_record *record = g_new0(struct raft_log_record, 1);
	struct raft_log_record *copy = g_new0(struct raft_log_record, 1);
	struct raft_effect *last = r->effects->len ? r->effects->pdata[r->effects->len - 1] : NULL;

	record->index = raft_last_index(r) + 1;
	record->term = term;
	record->command = g_bytes_ref(command);
	*copy = *record;
	g_bytes_ref(copy->command);
	if (!r->log->len)
		r->first_index = record->index;
	g_ptr_array_add(r->log, record);
	if (is_members_command(command)) {
		sw_members m;

		if (decode_members(command, &m)) {
			set_members(r, &m, record->index);
			codec_free(CODEC_PROC(sw_members), &m);
		}
	}
	if (!last || last->type != RAFT_APPEND_LOG || last->u.records->len >= EFFECT_RECORDS_MAX) {
		last = raft_add_effect(r, RAFT_APPEND_LOG);
		last->u.records = g_ptr_array_new_with_free_func(raft_log_record_free);
	}
	g_ptr_array_add(last->u.records, copy);
}

void raft_truncate_from(struct raft *r, uint64_t index)
{
	g_ptr_array_set_size(r->log, index - r->first_index);
	r->persisted = MIN(r->persisted, index - 1);
	if (r->members_index >= index)
		raft_reload_members(r);
}

/* Membership. */

uint64_t raft_member_uid(const struct raft *r, uint32_t node)
{
	for (u_int i = 0; i < r->members.members.members_len; i++)
		if (r->members.members.members_val[i].node == node)
			return r->members.members.members_val[i].uid;
	return 0;
}

bool raft_is_voter(const struct raft *r)
{
	return r->meta.uid && raft_member_uid(r, r->settings.node) == r->meta.uid;
}

bool raft_is_member(const struct raft *r, uint32_t node, uint64_t uid)
{
	return uid && raft_member_uid(r, node) == uid;
}

unsigned int raft_quorum(const struct raft *r)
{
	return r->members.members.members_len / 2 + 1;
}

struct peer *raft_find_peer(struct raft *r, uint32_t node)
{
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].node == node)
			return &r->peers[i];
	return NULL;
}

/// @return true if the state of @p p may be dropped: it is no seed, learner or member
static bool is_replaceable_peer(const struct raft *r, const struct peer *p)
{
	for (unsigned int i = 0; i < RAFT_SEEDS_MAX; i++)
		if (r->settings.seeds[i] == p->node)
			return false;
	return !p->learner && !raft_member_uid(r, p->node);
}

struct peer *raft_add_peer(struct raft *r, uint32_t node)
{
	struct peer *p = raft_find_peer(r, node);

	if (p)
		return p;
	if (r->n_peers < RAFT_PEERS_MAX)
		p = &r->peers[r->n_peers++];
	for (unsigned int i = 0; !p && i < r->n_peers; i++)
		if (is_replaceable_peer(r, &r->peers[i]))
			p = &r->peers[i];
	if (p) {
		raft_image_clear(&p->image);
		*p = (struct peer){.node = node, .next = 1};
	}
	return p;
}

raft_message *raft_send_to(struct raft *r, uint32_t node, uint64_t uid, raft_message_type type)
{
	raft_message *m = &raft_add_effect(r, RAFT_SEND)->u.message;

	m->type = type;
	m->from = r->settings.node;
	m->from_uid = r->meta.uid;
	m->to = node;
	m->to_uid = uid;
	m->term = r->meta.term;
	m->non_voter = r->settings.non_voter;
	return m;
}
