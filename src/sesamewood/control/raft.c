#include "control/raft_internal.h"

#include "base/codec.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BATCH_RECORDS_MAX 8000			/* must be less than SW_LIST_MAX */
#define BATCH_BYTES_MAX ((gsize)1024 * 1024)	/* sent in 10 ms on the slowest replica link */
#define KEEP_BYTES_MAX ((gsize)4 * 1024 * 1024) ///< of records kept for slow followers
#define LEADER_LEASE_PERCENT 90			///< of the minimum election timeout
#define RESEND_MS 1000	   ///< a batch without any later reply is sent again after this time
#define LEARNER_LAG_MAX 64 ///< records that a learner may lack when it becomes a member
#define VOTERS_MAX 9	   ///< further nodes stay learners until a member is unresponsive
/// A member that has not replied for this time is unresponsive. It is twice the longest disk stall
/// or network partition that must not cost a member its place.
#define MEMBER_UNRESPONSIVE_MS 8000
/// A member whose removal makes the quorum smaller leaves sooner, before the time is over that the
/// successor of a lost machine has to catch up.
#define MEMBER_SILENT_MS 2500
#define SPARE_VOTES 2 ///< responsive members beyond the quorum that suffice

/* Elections. */

/// Restarts the election timeout at a random duration from election_ms to twice that.
static void reset_election_timer(struct raft *r, clock_ms_t now)
{
	r->election_at = now + r->settings.election_ms +
			 g_rand_int_range(r->random, 0, (gint32)r->settings.election_ms);
}

/// Becomes a follower of @p leader (0: unknown); a higher term clears the vote.
static void become_follower(struct raft *r, clock_ms_t now, uint64_t term, uint32_t leader)
{
	if (term > r->meta.term) {
		r->meta.term = term;
		r->meta.voted_for = 0;
		raft_save_meta(r);
	}
	if (r->role != RAFT_FOLLOWER)
		reset_election_timer(r, now);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
}

/// Requests votes from all members.
///
/// @param transfer the leader asked for the election, so that voters ignore its lease
static void broadcast_vote_request(struct raft *r, raft_message_type type, bool transfer)
{
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];
		uint64_t uid = raft_member_uid(r, p->node);
		raft_message *m;

		p->granted = false;
		if (!uid)
			continue;
		m = raft_send_to(r, p->node, uid, type);
		m->index = raft_last_index(r);
		m->log_term = raft_term_at(r, m->index);
		m->fresh = transfer;
		if (type == RAFT_PREVOTE)
			m->term = r->meta.term + 1;
	}
}

static unsigned int count_votes(const struct raft *r)
{
	unsigned int n = 1;

	for (unsigned int i = 0; i < r->n_peers; i++)
		n += r->peers[i].granted;
	return n;
}

static GBytes *encode_command(const sw_command *c)
{
	GByteArray *bytes = codec_encode(CODEC_PROC(sw_command), c);

	return g_byte_array_free_to_bytes(bytes);
}

static void become_leader(struct raft *r, clock_ms_t now)
{
	sw_command noop = {.type = SW_COMMAND_NOOP};
	g_autoptr(GBytes) command = encode_command(&noop);

	r->role = RAFT_LEADER;
	r->leader = r->settings.node;
	r->next_heartbeat_at = now;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];

		p->uid = raft_member_uid(r, p->node);
		p->learner = false;
		p->match = 0;
		p->next = raft_last_index(r) + 1;
		p->in_flight_until = 0;
		raft_image_clear(&p->image);
		p->acked_send_ms = INT64_MIN / 2;
		p->last_reply_at = now;
	}
	raft_append(r, r->meta.term, command);
	r->term_start = raft_last_index(r);
}

/// Starts an election in the next term; becomes the leader at once as the only member.
static void start_election(struct raft *r, clock_ms_t now, bool transfer)
{
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	r->meta.term++;
	r->meta.voted_for = r->settings.node;
	raft_save_meta(r);
	reset_election_timer(r, now);
	broadcast_vote_request(r, RAFT_VOTE, transfer);
	if (count_votes(r) >= raft_quorum(r))
		become_leader(r, now);
}

/// Asks whether an election could be won, without raising the term: a replica that was partitioned
/// does not depose_leader a working leader when it returns.
static void start_prevote(struct raft *r, clock_ms_t now)
{
	r->role = RAFT_PRECANDIDATE;
	r->leader = 0;
	reset_election_timer(r, now);
	broadcast_vote_request(r, RAFT_PREVOTE, false);
	if (count_votes(r) >= raft_quorum(r))
		start_election(r, now, false);
}

/* Leader lease. */

static int compare_ms(const void *a, const void *b)
{
	clock_ms_t x = *(const clock_ms_t *)a;
	clock_ms_t y = *(const clock_ms_t *)b;

	return (x < y) - (x > y);
}

/// @return latest time at which a quorum, this replica included, is known to have followed it: the
///         quorum-th latest send time of an acknowledged message
static clock_ms_t quorum_acked_at(const struct raft *r, clock_ms_t now)
{
	clock_ms_t at[RAFT_PEERS_MAX + 1];
	unsigned int n = 0;

	at[n++] = now;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (raft_is_member(r, r->peers[i].node, r->peers[i].uid))
			at[n++] = r->peers[i].acked_send_ms;
	qsort(at, n, sizeof(at[0]), compare_ms);
	return n >= raft_quorum(r) ? at[raft_quorum(r) - 1] : INT64_MIN / 2;
}

bool raft_holds_leader_lease(const struct raft *r, clock_ms_t now)
{
	clock_ms_t lease_ms = (clock_ms_t)r->settings.election_ms * LEADER_LEASE_PERCENT / 100;

	return r->role == RAFT_LEADER && r->applied >= r->term_start &&
	       now < quorum_acked_at(r, now) + lease_ms;
}

/* Replication. */

static void fill_records(const struct raft *r, const struct peer *p, raft_message *m)
{
	uint64_t last = raft_last_index(r);
	uint64_t n = MIN(last + 1 - p->next, BATCH_RECORDS_MAX);
	gsize bytes = 0;

	m->records.records_val = calloc(n ? n : 1, sizeof(raft_record));
	for (uint64_t i = 0; i < n && bytes < BATCH_BYTES_MAX; i++) {
		const struct raft_log_record *from = raft_record_at(r, p->next + i);
		raft_record *to = &m->records.records_val[i];
		gsize len;
		const void *data = g_bytes_get_data(from->command, &len);

		to->index = from->index;
		to->term = from->term;
		to->command.sw_blob_len = len;
		to->command.sw_blob_val = malloc(len);
		memcpy(to->command.sw_blob_val, data, len);
		m->records.records_len++;
		bytes += len;
	}
}

/// @return true if the log still holds the next record for @p p and the term of the one before it;
///         else the peer needs a snapshot
static bool can_append(const struct raft *r, const struct peer *p)
{
	if (p->next > r->snapshot.index)
		return true;
	return r->log->len && p->next >= r->first_index &&
	       (p->next == 1 || raft_term_at(r, p->next - 1) != 0);
}

/// Sends an append message, or a snapshot when the log no longer holds the next record. The message
/// carries no records, as a heartbeat, while a batch is in flight or there is nothing new.
static void send_append(struct raft *r, struct peer *p, clock_ms_t now)
{
	bool busy = now < p->in_flight_until;
	raft_message *m;

	if (!p->uid)
		return;
	if (!can_append(r, p)) {
		raft_send_snapshot(r, p, now);
		return;
	}
	raft_image_clear(&p->image);
	m = raft_send_to(r, p->node, p->uid, RAFT_APPEND);
	m->index = p->next - 1;
	m->log_term = raft_term_at(r, m->index);
	m->commit = r->commit;
	m->echo_ms = now;
	if (busy || p->next > raft_last_index(r))
		return;
	fill_records(r, p, m);
	p->in_flight_until = now + RESEND_MS;
	p->batch_sent_at = now;
}

/// Sends the next batch of records if there is one and none is in flight.
static void replicate_pending(struct raft *r, struct peer *p, clock_ms_t now)
{
	if (now >= p->in_flight_until && p->next <= raft_last_index(r))
		send_append(r, p, now);
}

void raft_flush(struct raft *r, clock_ms_t now)
{
	if (r->role != RAFT_LEADER)
		return;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].uid)
			replicate_pending(r, &r->peers[i], now);
}

static int compare_index(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/// Advances the commit index to what a quorum has synced. Only a record of the current term commits
/// by count; it commits the earlier records with it.
static void advance_commit(struct raft *r)
{
	uint64_t match[RAFT_PEERS_MAX + 1];
	unsigned int n = 0;
	uint64_t index;

	if (raft_is_voter(r))
		match[n++] = r->persisted;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (raft_is_member(r, r->peers[i].node, r->peers[i].uid))
			match[n++] = r->peers[i].match;
	if (n < raft_quorum(r))
		return;
	qsort(match, n, sizeof(match[0]), compare_index);
	index = match[raft_quorum(r) - 1];
	if (index > r->commit && raft_term_at(r, index) == r->meta.term)
		r->commit = index;
}

void raft_mark_persisted(struct raft *r)
{
	raft_mark_persisted_to(r, raft_last_index(r));
}

void raft_mark_persisted_to(struct raft *r, uint64_t index)
{
	r->persisted = MAX(r->persisted, MIN(index, raft_last_index(r)));
	if (r->role == RAFT_LEADER)
		advance_commit(r);
}

uint64_t raft_propose(struct raft *r, GBytes *command)
{
	if (r->role != RAFT_LEADER)
		return 0;
	raft_append(r, r->meta.term, command);
	return raft_last_index(r);
}

static void propose_members(struct raft *r, const sw_members *members)
{
	sw_command c = {.type = SW_COMMAND_MEMBERS, .sw_command_u.members = *members};
	g_autoptr(GBytes) command = encode_command(&c);

	raft_append(r, r->meta.term, command);
}

/// @return a member that has not replied for longer than @p silent_ms, or 0; always 0 for a
/// configured
///         node list
static uint32_t find_silent_member(const struct raft *r, clock_ms_t now, clock_ms_t silent_ms)
{
	if (!r->settings.dynamic_membership)
		return 0;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (raft_is_member(r, r->peers[i].node, r->peers[i].uid) &&
		    now - r->peers[i].last_reply_at > silent_ms)
			return r->peers[i].node;
	return 0;
}

/// @return number of members that survive the tolerated losses; silent ones stay rather than fewer
static unsigned int voters_min(const struct raft *r)
{
	return 2 * CLAMP(r->settings.tolerated_losses, 1, VOTERS_MAX / 2) + 1;
}

static bool may_change_members(const struct raft *r)
{
	return r->members_index <= r->commit && r->commit >= r->term_start;
}

static void remove_member(struct raft *r, uint32_t node)
{
	sw_member list[RAFT_PEERS_MAX + 1];
	sw_members next = {.members = {.members_val = list}};

	for (u_int i = 0; i < r->members.members.members_len; i++)
		if (r->members.members.members_val[i].node != node)
			list[next.members.members_len++] = r->members.members.members_val[i];
	propose_members(r, &next);
}

static unsigned int count_silent_members(const struct raft *r, clock_ms_t now)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < r->n_peers; i++)
		n += raft_is_member(r, r->peers[i].node, r->peers[i].uid) &&
		     now - r->peers[i].last_reply_at > MEMBER_SILENT_MS;
	return n;
}

/// Removes a silent member, also with no learner to replace it, when few votes are left beyond the
/// quorum and the quorum becomes smaller: with it, or with another silent one after it.
static void remove_silent_member(struct raft *r, clock_ms_t now)
{
	uint32_t node = find_silent_member(r, now, MEMBER_SILENT_MS);
	unsigned int n_members = r->members.members.members_len;
	unsigned int n_silent = node ? count_silent_members(r, now) : 0;

	if (!node || !may_change_members(r) || n_members <= voters_min(r) ||
	    n_members - n_silent >= raft_quorum(r) + SPARE_VOTES ||
	    (n_members % 2 != 0 && n_silent == 1))
		return;
	log_info("removing a silent member", "NODE", log_number(node), "MEMBERS",
		 log_number(n_members), "SILENT", log_number(n_silent));
	remove_member(r, node);
}

/// @return number of members that may keep their vote
static unsigned int count_eligible_members(const struct raft *r)
{
	unsigned int n = raft_is_voter(r) && !r->settings.non_voter;

	for (unsigned int i = 0; i < r->n_peers; i++)
		n += r->peers[i].kind == PEER_VOTER &&
		     raft_is_member(r, r->peers[i].node, r->peers[i].uid);
	return n;
}

/// Takes the votes of non-voters, which earlier builds or the seeds gave them, once enough other
/// members are left: what only non-voters have stored is lost with them.
static void remove_non_voters(struct raft *r, clock_ms_t now)
{
	if (!may_change_members(r) || count_eligible_members(r) < voters_min(r))
		return;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		const struct peer *p = &r->peers[i];

		if (p->kind != PEER_NON_VOTER || !raft_is_member(r, p->node, p->uid))
			continue;
		log_info("removing a non-voter from the members", "NODE", log_number(p->node));
		remove_member(r, p->node);
		return;
	}
	if (r->settings.non_voter && raft_is_voter(r))
		raft_step_down(r, now, now + 2 * (clock_ms_t)r->settings.election_ms);
}

/// Adds a learner that has caught up to the members. Each call changes one member only: first the
/// former identity of its node, or an unresponsive member, is removed, then the learner is added.
static void promote_learner(struct raft *r, struct peer *p, clock_ms_t now)
{
	uint32_t removed = raft_member_uid(r, p->node)
				   ? p->node
				   : find_silent_member(r, now, MEMBER_UNRESPONSIVE_MS);
	sw_member list[RAFT_PEERS_MAX + 1];
	sw_members next = {.members = {.members_val = list}};
	u_int n = r->members.members.members_len;

	if (!may_change_members(r) || p->match + LEARNER_LAG_MAX < r->commit)
		return;
	if (p->kind == PEER_NON_VOTER && count_eligible_members(r))
		return;
	if (removed) {
		remove_member(r, removed);
		return;
	}
	if (n >= VOTERS_MAX)
		return;
	memcpy(list, r->members.members.members_val, n * sizeof(list[0]));
	list[n] = (sw_member){.node = p->node, .uid = p->uid};
	next.members.members_len = n + 1;
	p->learner = false;
	propose_members(r, &next);
}

/* Receiving. */

/// Grants a vote or prevote if the candidate's log is current and no leader is alive. A vote is
/// stored before the reply is sent. A candidate whose log is newer may have a later membership: it
/// gets the vote of a replica that it lists, also where this replica's log does not list both.
static void receive_vote_request(struct raft *r, clock_ms_t now, const raft_message *m)
{
	bool prevote = m->type == RAFT_PREVOTE;
	uint64_t last = raft_last_index(r);
	uint64_t last_term = raft_term_at(r, last);
	bool log_newer = m->log_term > last_term || (m->log_term == last_term && m->index > last);
	bool log_current = log_newer || (m->log_term == last_term && m->index == last);
	bool leader_alive = r->role == RAFT_LEADER
				    ? raft_holds_leader_lease(r, now)
				    : now < r->last_leader_contact_at + r->settings.election_ms;
	bool vote_is_available;
	bool grant;
	raft_message *reply;

	if (raft_is_voter(r) && !raft_is_member(r, m->from, m->from_uid) &&
	    r->settings.dynamic_membership)
		raft_send_probe_reply(r, m);
	if ((!raft_is_voter(r) || !raft_is_member(r, m->from, m->from_uid)) &&
	    (m->to_uid != r->meta.uid || !log_newer))
		return;
	leader_alive = leader_alive && !m->fresh;
	if (!prevote && !leader_alive && m->term > r->meta.term)
		become_follower(r, now, m->term, 0);
	vote_is_available = prevote ? m->term > r->meta.term
				    : m->term == r->meta.term &&
					      (!r->meta.voted_for || r->meta.voted_for == m->from);
	grant = vote_is_available && log_current && !leader_alive;
	if (grant && !prevote) {
		if (r->meta.voted_for != m->from) {
			r->meta.voted_for = m->from;
			raft_save_meta(r);
		}
		reset_election_timer(r, now);
	}
	reply = raft_send_to(r, m->from, m->from_uid,
			     prevote ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY);
	reply->reject = !grant;
	if (grant)
		reply->term = m->term;
}

static void receive_vote_reply(struct raft *r, clock_ms_t now, const raft_message *m)
{
	bool prevote = m->type == RAFT_PREVOTE_REPLY;
	struct peer *p = raft_find_peer(r, m->from);

	if (m->reject && m->term > r->meta.term) {
		become_follower(r, now, m->term, 0);
		return;
	}
	if (m->reject || !p || !raft_is_member(r, m->from, m->from_uid))
		return;
	if (prevote && r->role == RAFT_PRECANDIDATE && m->term == r->meta.term + 1) {
		p->granted = true;
		if (count_votes(r) >= raft_quorum(r))
			start_election(r, now, false);
	} else if (!prevote && r->role == RAFT_CANDIDATE && m->term == r->meta.term) {
		p->granted = true;
		if (count_votes(r) >= raft_quorum(r))
			become_leader(r, now);
	}
}

static void reply_append(struct raft *r, const raft_message *m, uint64_t index, bool reject)
{
	raft_message *reply = raft_send_to(r, m->from, m->from_uid, RAFT_APPEND_REPLY);

	reply->index = index;
	reply->reject = reject;
	reply->echo_ms = m->echo_ms;
}

/// Appends the leader's records that follow m->index, where both logs match. Conflicting records
/// are removed.
static void append_records(struct raft *r, const raft_message *m)
{
	for (u_int i = 0; i < m->records.records_len; i++) {
		const raft_record *record = &m->records.records_val[i];
		g_autoptr(GBytes) command = NULL;

		if (record->index <= r->commit || raft_term_at(r, record->index) == record->term)
			continue;
		if (record->index <= raft_last_index(r))
			raft_truncate_from(r, record->index);
		if (record->index != raft_last_index(r) + 1)
			return;
		command = g_bytes_new(record->command.sw_blob_val, record->command.sw_blob_len);
		raft_append(r, record->term, command);
	}
}

/// Accepts the sender as the leader of its term, or rejects a message of an earlier term.
///
/// @return false if it was rejected
static bool accept_leader(struct raft *r, clock_ms_t now, const raft_message *m)
{
	if (m->term < r->meta.term) {
		reply_append(r, m, 0, true);
		return false;
	}
	become_follower(r, now, m->term, m->from);
	r->last_leader_contact_at = now;
	reset_election_timer(r, now);
	return true;
}

static void receive_append(struct raft *r, clock_ms_t now, const raft_message *m)
{
	uint64_t last = m->index + m->records.records_len;

	if (!accept_leader(r, now, m))
		return;
	if (m->index > raft_last_index(r)) {
		reply_append(r, m, raft_last_index(r), true);
		return;
	}
	if (m->index > r->commit && raft_term_at(r, m->index) != m->log_term) {
		reply_append(r, m, MAX(r->commit, m->index - 1), true);
		return;
	}
	append_records(r, m);
	last = MIN(last, raft_last_index(r));
	r->commit = MAX(r->commit, MIN(m->commit, last));
	reply_append(r, m, last, false);
}

static void receive_snapshot(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct raft_image image;
	struct raft_effect *e;

	if (!accept_leader(r, now, m))
		return;
	if (m->index <= r->commit) {
		raft_drop_incoming(r);
		reply_append(r, m, r->commit, false);
		return;
	}
	if (!raft_receive_part(r, m, &image))
		return;
	raft_image_clear(&r->snapshot);
	r->snapshot = image;
	g_ptr_array_set_size(r->log, 0);
	r->commit = m->index;
	r->applied = m->index;
	r->persisted = m->index;
	raft_reload_members(r);
	e = raft_add_effect(r, RAFT_SAVE_SNAPSHOT);
	raft_image_copy(&r->snapshot, &e->u.save.snapshot);
	e->u.save.keep_from = m->index + 1;
	e->u.save.reset = true;
	reply_append(r, m, m->index, false);
}

static void receive_append_reply(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct peer *p = raft_find_peer(r, m->from);

	if (m->term > r->meta.term) {
		become_follower(r, now, m->term, 0);
		return;
	}
	if (r->role != RAFT_LEADER || m->term != r->meta.term || !p || p->uid != m->from_uid)
		return;
	p->acked_send_ms = MAX(p->acked_send_ms, m->echo_ms);
	p->last_reply_at = now;
	if (m->reject) {
		if (m->index >= p->match && m->index + 1 < p->next) {
			p->next = m->index + 1;
			p->in_flight_until = 0;
			send_append(r, p, now);
		}
		return;
	}
	/* Replies come in the order of the messages: one to a later message than the batch means
	 * that the batch, or its reply, was lost with a connection. */
	if (m->index > p->match || m->echo_ms > p->batch_sent_at)
		p->in_flight_until = 0;
	p->match = MAX(p->match, m->index);
	p->next = MAX(p->next, p->match + 1);
	if (p->image.index <= p->match)
		raft_image_clear(&p->image);
	advance_commit(r);
	if (p->learner)
		promote_learner(r, p, now);
	replicate_pending(r, p, now);
}

/// Starts replication to a node that asks to join, as a learner.
static void receive_join(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct peer *p = r->settings.dynamic_membership && r->role == RAFT_LEADER
				 ? raft_add_peer(r, m->from)
				 : raft_find_peer(r, m->from);

	if (r->role != RAFT_LEADER || !p || (p->learner && p->uid == m->from_uid) ||
	    raft_is_member(r, m->from, m->from_uid))
		return;
	p->uid = m->from_uid;
	p->kind = m->non_voter ? PEER_NON_VOTER : PEER_VOTER;
	raft_image_clear(&p->image);
	p->last_reply_at = now;
	p->learner = true;
	p->match = 0;
	p->next = 1;
	p->in_flight_until = 0;
}

/// Notes the sender as the leader, so that requests can be relayed to it. Nothing is answered,
/// because an answer may depend on what is not stored.
static void receive_while_disk_failed(struct raft *r, clock_ms_t now, const raft_message *m)
{
	if ((m->type != RAFT_APPEND && m->type != RAFT_SNAPSHOT) || m->term < r->meta.term)
		return;
	become_follower(r, now, m->term, m->from);
	r->last_leader_contact_at = now;
}

void raft_receive(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct peer *sender = raft_find_peer(r, m->from);

	if (m->to != r->settings.node || (m->to_uid && m->to_uid != r->meta.uid))
		return;
	if (sender)
		sender->kind = m->non_voter ? PEER_NON_VOTER : PEER_VOTER;
	if (r->disk_failed) {
		receive_while_disk_failed(r, now, m);
		return;
	}
	switch (m->type) {
	case RAFT_PROBE:
		raft_send_probe_reply(r, m);
		break;
	case RAFT_PROBE_REPLY:
		raft_receive_probe_reply(r, m);
		break;
	case RAFT_JOIN:
		receive_join(r, now, m);
		break;
	case RAFT_PREVOTE:
	case RAFT_VOTE:
		receive_vote_request(r, now, m);
		break;
	case RAFT_PREVOTE_REPLY:
	case RAFT_VOTE_REPLY:
		receive_vote_reply(r, now, m);
		break;
	case RAFT_APPEND:
		receive_append(r, now, m);
		break;
	case RAFT_SNAPSHOT:
		receive_snapshot(r, now, m);
		break;
	case RAFT_SNAPSHOT_REPLY:
		raft_receive_snapshot_reply(r, now, m);
		break;
	case RAFT_APPEND_REPLY:
		receive_append_reply(r, now, m);
		break;
	case RAFT_TIMEOUT_NOW:
		if (raft_is_voter(r) && m->term == r->meta.term && r->role != RAFT_LEADER &&
		    now >= r->passive_until)
			start_election(r, now, true);
		break;
	}
}

/* Timers. */

/// Steps down when no quorum has replied for two election timeouts; else sends heartbeats when they
/// are due.
static void tick_leader(struct raft *r, clock_ms_t now)
{
	if (now > quorum_acked_at(r, now) + 2 * (clock_ms_t)r->settings.election_ms &&
	    now > r->election_at) {
		become_follower(r, now, r->meta.term, 0);
		return;
	}
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].learner)
			promote_learner(r, &r->peers[i], now);
	remove_silent_member(r, now);
	remove_non_voters(r, now);
	if (r->role != RAFT_LEADER)
		return;
	if (now < r->next_heartbeat_at)
		return;
	r->next_heartbeat_at = now + r->settings.heartbeat_ms;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];

		if (p->learner && r->settings.dynamic_membership &&
		    now - p->last_reply_at > MEMBER_UNRESPONSIVE_MS)
			p->learner = false;
		if (!p->learner && !raft_is_member(r, p->node, p->uid))
			p->uid = 0;
		send_append(r, p, now);
	}
}

void raft_tick(struct raft *r, clock_ms_t now)
{
	if (r->disk_failed)
		return;
	if (r->role == RAFT_LEADER) {
		tick_leader(r, now);
		return;
	}
	if (!raft_is_voter(r)) {
		if (!r->leader || now >= r->last_leader_contact_at + r->settings.election_ms)
			raft_send_probes(r, now);
		return;
	}
	if (now >= r->election_at && now >= r->passive_until)
		start_prevote(r, now);
}

static bool is_better_successor(const struct peer *p, const struct peer *than)
{
	bool non_voter = p->kind == PEER_NON_VOTER;
	bool than_non_voter = than->kind == PEER_NON_VOTER;

	return non_voter == than_non_voter ? p->match > than->match : than_non_voter;
}

/// Hands leadership to the member with the longest replicated log, if this replica leads.
static void transfer_leadership(struct raft *r, clock_ms_t now)
{
	struct peer *best = NULL;

	if (r->role != RAFT_LEADER)
		return;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];

		if (raft_is_member(r, p->node, p->uid) && (!best || is_better_successor(p, best)))
			best = p;
	}
	become_follower(r, now, r->meta.term, 0);
	if (best)
		raft_send_to(r, best->node, best->uid, RAFT_TIMEOUT_NOW);
}

void raft_step_down(struct raft *r, clock_ms_t now, clock_ms_t until)
{
	transfer_leadership(r, now);
	if (r->role != RAFT_FOLLOWER)
		become_follower(r, now, r->meta.term, 0);
	r->passive_until = until;
}

void raft_set_disk_failed(struct raft *r, clock_ms_t now, bool failed)
{
	if (failed == r->disk_failed)
		return;
	r->disk_failed = failed;
	if (failed) {
		transfer_leadership(r, now);
		become_follower(r, now, r->meta.term, r->leader);
	} else {
		reset_election_timer(r, now);
	}
}

const struct raft_log_record *raft_next_committed(struct raft *r)
{
	if (r->applied >= r->commit)
		return NULL;
	r->applied++;
	return raft_record_at(r, r->applied);
}

/// @return index of the first record to keep beside a snapshot of all applied ones
static uint64_t first_kept(const struct raft *r)
{
	uint64_t from =
		r->applied > r->settings.keep_records ? r->applied - r->settings.keep_records : 0;
	gsize bytes = 0;

	for (uint64_t at = r->applied; at > from && at >= r->first_index; at--) {
		bytes += g_bytes_get_size(raft_record_at(r, at)->command);
		if (bytes > KEEP_BYTES_MAX)
			return at;
	}
	return from;
}

void raft_compact(struct raft *r, GBytes *data)
{
	struct raft_image image;
	struct raft_effect *e;
	uint64_t keep_from;

	if (r->members_index > r->applied || r->applied <= r->snapshot.index)
		return;
	if (!raft_image_init(&image, r->applied, raft_term_at(r, r->applied), &r->members, data)) {
		log_error("cannot copy the membership; the log is not compacted");
		return;
	}
	raft_image_clear(&r->snapshot);
	r->snapshot = image;
	keep_from = first_kept(r);
	if (keep_from > r->first_index) {
		g_ptr_array_remove_range(r->log, 0, keep_from - r->first_index);
		r->first_index = keep_from;
	}
	e = raft_add_effect(r, RAFT_SAVE_SNAPSHOT);
	raft_image_copy(&r->snapshot, &e->u.save.snapshot);
	e->u.save.keep_from = keep_from;
}

struct raft *raft_new(const struct raft_settings *settings, struct raft_recovered *recovered,
		      clock_ms_t now)
{
	struct raft *r = g_new0(struct raft, 1);

	r->settings = *settings;
	r->random = g_rand_new_with_seed(
		(guint32)XXH64(&settings->seed, sizeof(settings->seed), settings->node));
	r->effects = g_ptr_array_new_with_free_func(raft_effect_free);
	r->meta = recovered->meta;
	r->snapshot = recovered->snapshot;
	r->log = recovered->records ? recovered->records
				    : g_ptr_array_new_with_free_func(raft_log_record_free);
	memset(recovered, 0, sizeof(*recovered));
	r->first_index = r->snapshot.index + 1;
	if (r->log->len)
		r->first_index = ((struct raft_log_record *)r->log->pdata[0])->index;
	r->commit = r->snapshot.index;
	r->applied = r->snapshot.index;
	r->persisted = raft_last_index(r);
	for (unsigned int i = 0; i < RAFT_NODES_MAX && settings->nodes[i]; i++)
		if (settings->nodes[i] != settings->node)
			r->peers[r->n_peers++].node = settings->nodes[i];
	for (unsigned int i = 0; i < RAFT_SEEDS_MAX && settings->seeds[i]; i++)
		if (settings->seeds[i] != settings->node)
			raft_add_peer(r, settings->seeds[i]);
	if (!r->meta.uid) {
		r->meta.uid = settings->uid;
		raft_save_meta(r);
	}
	raft_reload_members(r);
	r->last_leader_contact_at = now;
	reset_election_timer(r, now);
	return r;
}

void raft_free(struct raft *r)
{
	g_rand_free(r->random);
	g_ptr_array_unref(r->effects);
	g_ptr_array_unref(r->log);
	codec_free(CODEC_PROC(raft_meta), &r->meta);
	raft_image_clear(&r->snapshot);
	raft_drop_incoming(r);
	for (unsigned int i = 0; i < r->n_peers; i++)
		raft_image_clear(&r->peers[i].image);
	codec_free(CODEC_PROC(sw_members), &r->members);
	g_free(r);
}

bool raft_peer_is_responsive(const struct raft *r, uint32_t node, clock_ms_t now,
			     clock_ms_t within_ms)
{
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].node == node)
			return now - r->peers[i].last_reply_at <= within_ms;
	return false;
}

enum raft_role raft_role(const struct raft *r)
{
	return r->role;
}

uint64_t raft_term(const struct raft *r)
{
	return r->meta.term;
}

uint64_t raft_commit_index(const struct raft *r)
{
	return r->commit;
}

uint64_t raft_applied_index(const struct raft *r)
{
	return r->applied;
}

uint64_t raft_snapshot_index(const struct raft *r)
{
	return r->snapshot.index;
}

const struct raft_image *raft_latest_snapshot(const struct raft *r)
{
	return &r->snapshot;
}

uint32_t raft_leader(const struct raft *r)
{
	return r->leader;
}

clock_ms_t raft_leader_contact_at(const struct raft *r, clock_ms_t now)
{
	return r->role == RAFT_LEADER ? quorum_acked_at(r, now) : r->last_leader_contact_at;
}

const sw_members *raft_members(const struct raft *r)
{
	return &r->members;
}
