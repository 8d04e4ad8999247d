/// @file
/// Creation of a cluster, and joining of an existing one.

#include "base/codec.h"
#include "control/raft_internal.h"

#define PROBE_INTERVAL_MS 200

bool raft_has_membership(const struct raft *r)
{
	return r->members.members.members_len > 0;
}

static bool is_seed(const struct raft *r, uint32_t node)
{
	for (unsigned int i = 0; i < RAFT_SEEDS_MAX; i++)
		if (r->settings.seeds[i] == node)
			return true;
	return false;
}

void raft_send_probe_reply(struct raft *r, const raft_message *m)
{
	raft_message *reply = raft_send_to(r, m->from, m->from_uid, RAFT_PROBE_REPLY);

	reply->fresh =
		!raft_has_membership(r) && r->settings.bootstrap && is_seed(r, r->settings.node);
	codec_copy(CODEC_PROC(sw_members), &r->members, &reply->members, sizeof(reply->members));
}

/// Stores the membership that applies before the first membership record of the log.
static void adopt_initial_members(struct raft *r, const sw_members *members)
{
	codec_free(CODEC_PROC(sw_members), &r->meta.base);
	codec_copy(CODEC_PROC(sw_members), members, &r->meta.base, sizeof(r->meta.base));
	raft_save_meta(r);
	raft_reload_members(r);
}

/// Creates the cluster if this is the lowest-numbered of the configured nodes or seeds and all of
/// them have replied that they belong to none.
static void try_bootstrap(struct raft *r)
{
	sw_member list[RAFT_NODES_MAX] = {{.node = r->settings.node, .uid = r->meta.uid}};
	sw_members members = {.members = {.members_len = 1, .members_val = list}};

	if (r->settings.dynamic_membership &&
	    (!r->settings.bootstrap || !is_seed(r, r->settings.node)))
		return;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		if (r->settings.dynamic_membership && !is_seed(r, r->peers[i].node))
			continue;
		if (!r->peers[i].uid || r->peers[i].node < r->settings.node)
			return;
		list[members.members.members_len++] =
			(sw_member){.node = r->peers[i].node, .uid = r->peers[i].uid};
	}
	adopt_initial_members(r, &members);
}

/// @return true if @p members lists this replica under its present identity
static bool lists_own_node(const struct raft *r, const sw_members *members)
{
	for (u_int i = 0; i < members->members.members_len; i++) {
		const sw_member *member = &members->members.members_val[i];

		if (member->node == r->settings.node && member->uid == r->meta.uid)
			return true;
	}
	return false;
}

void raft_receive_probe_reply(struct raft *r, const raft_message *m)
{
	struct peer *p = raft_find_peer(r, m->from);

	if (r->settings.dynamic_membership && raft_has_membership(r) &&
	    m->members.members.members_len && !lists_own_node(r, &m->members))
		raft_request_join(r, &m->members);
	if (raft_has_membership(r) || !p)
		return;
	if (!m->members.members.members_len) {
		p->uid = !r->settings.dynamic_membership || m->fresh ? m->from_uid : 0;
		try_bootstrap(r);
		return;
	}
	if (lists_own_node(r, &m->members)) {
		adopt_initial_members(r, &m->members);
		return;
	}
	raft_send_to(r, m->from, m->from_uid, RAFT_JOIN);
	if (r->settings.dynamic_membership)
		raft_request_join(r, &m->members);
}

void raft_request_join(struct raft *r, const sw_members *members)
{
	for (u_int i = 0; i < members->members.members_len; i++)
		if (members->members.members_val[i].node != r->settings.node)
			raft_send_to(r, members->members.members_val[i].node, 0, RAFT_JOIN);
}

void raft_send_probes(struct raft *r, clock_ms_t now)
{
	if (now < r->next_probe_at)
		return;
	r->next_probe_at = now + PROBE_INTERVAL_MS;
	for (unsigned int i = 0; i < r->n_peers; i++)
		raft_send_to(r, r->peers[i].node, 0,
			     raft_has_membership(r) ? RAFT_JOIN : RAFT_PROBE);
	if (!r->n_peers && !raft_has_membership(r))
		try_bootstrap(r);
}
