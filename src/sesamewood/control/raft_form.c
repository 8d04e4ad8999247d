#include "base/codec.h"
#include "control/raft_internal.h"

#define PROBE_INTERVAL_MS 200

bool raft_is_formed(const struct raft *r)
{
	return r->members.members.members_len > 0;
}

void raft_send_probe_reply(struct raft *r, const raft_message *m)
{
	raft_message *reply = raft_send_to(r, m->from, m->from_uid, RAFT_PROBE_REPLY);

	codec_copy(CODEC_PROC(sw_members), &r->members, &reply->members, sizeof(reply->members));
}

static void adopt_base(struct raft *r, const sw_members *members)
{
	codec_free(CODEC_PROC(sw_members), &r->meta.base);
	codec_copy(CODEC_PROC(sw_members), members, &r->meta.base, sizeof(r->meta.base));
	raft_save_meta(r);
	raft_reload_members(r);
}

/// The lowest-numbered node forms the cluster, once all configured nodes have answered that they
/// hold nothing.
static void try_to_form(struct raft *r)
{
	sw_member list[RAFT_NODES_MAX] = {{.node = r->settings.node, .uid = r->meta.uid}};
	sw_members members = {.members = {.members_len = 1, .members_val = list}};

	for (unsigned int i = 0; i < r->n_peers; i++) {
		if (!r->peers[i].uid || r->peers[i].node < r->settings.node)
			return;
		list[members.members.members_len++] =
			(sw_member){.node = r->peers[i].node, .uid = r->peers[i].uid};
	}
	adopt_base(r, &members);
}

void raft_receive_probe_reply(struct raft *r, const raft_message *m)
{
	struct peer *p = raft_find_peer(r, m->from);

	if (raft_is_formed(r) || !p)
		return;
	if (!m->members.members.members_len) {
		p->uid = m->from_uid;
		try_to_form(r);
		return;
	}
	for (u_int i = 0; i < m->members.members.members_len; i++) {
		const sw_member *member = &m->members.members.members_val[i];

		if (member->node == r->settings.node && member->uid == r->meta.uid) {
			adopt_base(r, &m->members);
			return;
		}
	}
	raft_send_to(r, m->from, m->from_uid, RAFT_JOIN);
}

void raft_probe(struct raft *r, clock_ms_t now)
{
	if (now < r->probe_at)
		return;
	r->probe_at = now + PROBE_INTERVAL_MS;
	for (unsigned int i = 0; i < r->n_peers; i++)
		raft_send_to(r, r->peers[i].node, 0, raft_is_formed(r) ? RAFT_JOIN : RAFT_PROBE);
	if (!r->n_peers && !raft_is_formed(r))
		try_to_form(r);
}
