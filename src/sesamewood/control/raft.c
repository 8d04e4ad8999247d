#include "control/raft.h"

#include "base/codec.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define BATCH_RECORDS_MAX 512
#define FRAME_RECORDS_MAX 4096
#define LEASE_PERCENT 90 ///< share of the least election timeout that a leader counts on
#define RESEND_MS 1000
#define PROBE_INTERVAL_MS 200
#define LEARNER_LAG_MAX 64

/// Replication state of one other node.
struct peer {
	uint32_t node;
	uint64_t uid;
	uint64_t match;
	uint64_t next;
	clock_ms_t busy_until; ///< a batch is on its way until then
	clock_ms_t acked_echo; ///< own clock when the latest acknowledged message was sent
	bool granted;
	bool learner; ///< catching up, with an identity that is not a member yet
};

struct raft {
	struct raft_settings settings;
	GRand *random;
	GPtrArray *effects;

	raft_meta meta;
	GPtrArray *log; ///< struct raft_log_record, from snapshot.index + 1 or earlier
	uint64_t first; ///< index of log->pdata[0]
	raft_snapshot snapshot;
	sw_members members;	///< latest in the log
	uint64_t members_index; ///< where they stand

	enum raft_role role;
	uint32_t leader;
	uint64_t commit;
	uint64_t applied;
	uint64_t persisted;
	uint64_t term_start; ///< index of the leader's first record
	clock_ms_t heard_at; ///< last contact from a leader, or the start
	clock_ms_t deadline; ///< next election
	clock_ms_t beat_at;
	clock_ms_t probe_at;
	struct peer peers[RAFT_NODES_MAX];
	unsigned int n_peers;
};

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
		codec_free(CODEC_PROC(raft_snapshot), &e->u.save.snapshot);
		break;
	case RAFT_SEND:
		codec_free(CODEC_PROC(raft_message), &e->u.message);
		break;
	}
	g_free(e);
}

static struct raft_effect *add_effect(struct raft *r, enum raft_effect_type type)
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

static void save_meta(struct raft *r)
{
	struct raft_effect *e = add_effect(r, RAFT_SAVE_META);

	codec_copy(CODEC_PROC(raft_meta), &r->meta, &e->u.meta, sizeof(raft_meta));
}

/* Log access. */

uint64_t raft_last_index(const struct raft *r)
{
	return r->log->len ? r->first + r->log->len - 1 : r->snapshot.index;
}

uint64_t raft_term_at(const struct raft *r, uint64_t index)
{
	if (index == r->snapshot.index)
		return r->snapshot.term;
	if (!r->log->len || index < r->first || index > raft_last_index(r))
		return 0;
	return ((struct raft_log_record *)r->log->pdata[index - r->first])->term;
}

static const struct raft_log_record *record_at(const struct raft *r, uint64_t index)
{
	return r->log->pdata[index - r->first];
}

static bool read_members(GBytes *command, sw_members *out)
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

/// Cheap test by the leading XDR enum, to spare decoding every record.
static bool is_members_command(GBytes *command)
{
	gsize len;
	const guint8 *data = g_bytes_get_data(command, &len);

	return len >= 4 && !data[0] && !data[1] && !data[2] && data[3] == SW_COMMAND_MEMBERS;
}

static void set_members(struct raft *r, const sw_members *m, uint64_t index)
{
	sw_members copy;

	if (!codec_copy(CODEC_PROC(sw_members), m, &copy, sizeof(copy)))
		return;
	codec_free(CODEC_PROC(sw_members), &r->members);
	r->members = copy;
	r->members_index = index;
}

/// Finds the latest membership in the log, after records were removed or loaded.
static void reload_members(struct raft *r)
{
	for (guint i = r->log->len; i > 0; i--) {
		const struct raft_log_record *record = r->log->pdata[i - 1];
		sw_members m;

		if (record->index <= r->snapshot.index)
			break;
		if (!is_members_command(record->command) || !read_members(record->command, &m))
			continue;
		set_members(r, &m, record->index);
		codec_free(CODEC_PROC(sw_members), &m);
		return;
	}
	set_members(r, r->snapshot.index ? &r->snapshot.members : &r->meta.base, r->snapshot.index);
}

static void append(struct raft *r, uint64_t term, GBytes *command)
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
		r->first = record->index;
	g_ptr_array_add(r->log, record);
	if (is_members_command(command)) {
		sw_members m;

		if (read_members(command, &m)) {
			set_members(r, &m, record->index);
			codec_free(CODEC_PROC(sw_members), &m);
		}
	}
	if (!last || last->type != RAFT_APPEND_LOG || last->u.records->len >= FRAME_RECORDS_MAX) {
		last = add_effect(r, RAFT_APPEND_LOG);
		last->u.records = g_ptr_array_new_with_free_func(raft_log_record_free);
	}
	g_ptr_array_add(last->u.records, copy);
}

static void truncate_from(struct raft *r, uint64_t index)
{
	g_ptr_array_set_size(r->log, index - r->first);
	r->persisted = MIN(r->persisted, index - 1);
	if (r->members_index >= index)
		reload_members(r);
}

/* Membership. */

static uint64_t member_uid(const struct raft *r, uint32_t node)
{
	for (u_int i = 0; i < r->members.members.members_len; i++)
		if (r->members.members.members_val[i].node == node)
			return r->members.members.members_val[i].uid;
	return 0;
}

bool raft_is_voter(const struct raft *r)
{
	return r->meta.uid && member_uid(r, r->settings.node) == r->meta.uid;
}

static bool is_member(const struct raft *r, uint32_t node, uint64_t uid)
{
	return uid && member_uid(r, node) == uid;
}

static unsigned int quorum(const struct raft *r)
{
	return r->members.members.members_len / 2 + 1;
}

static struct peer *find_peer(struct raft *r, uint32_t node)
{
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].node == node)
			return &r->peers[i];
	return NULL;
}

static bool is_formed(const struct raft *r)
{
	return r->members.members.members_len > 0;
}

/* Messages. */

static raft_message *send_to(struct raft *r, uint32_t node, uint64_t uid, raft_message_type type)
{
	raft_message *m = &add_effect(r, RAFT_SEND)->u.message;

	m->type = type;
	m->from = r->settings.node;
	m->from_uid = r->meta.uid;
	m->to = node;
	m->to_uid = uid;
	m->term = r->meta.term;
	return m;
}

static void reset_deadline(struct raft *r, clock_ms_t now)
{
	r->deadline = now + r->settings.election_ms +
		      g_rand_int_range(r->random, 0, (gint32)r->settings.election_ms);
}

static void become_follower(struct raft *r, clock_ms_t now, uint64_t term, uint32_t leader)
{
	if (term > r->meta.term) {
		r->meta.term = term;
		r->meta.voted_for = 0;
		save_meta(r);
	}
	if (r->role != RAFT_FOLLOWER)
		reset_deadline(r, now);
	r->role = RAFT_FOLLOWER;
	r->leader = leader;
}

static void broadcast_vote_request(struct raft *r, raft_message_type type)
{
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];
		uint64_t uid = member_uid(r, p->node);
		raft_message *m;

		p->granted = false;
		if (!uid)
			continue;
		m = send_to(r, p->node, uid, type);
		m->index = raft_last_index(r);
		m->log_term = raft_term_at(r, m->index);
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
	r->beat_at = now;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];

		p->uid = member_uid(r, p->node);
		p->learner = false;
		p->match = 0;
		p->next = raft_last_index(r) + 1;
		p->busy_until = 0;
		p->acked_echo = INT64_MIN / 2;
	}
	append(r, r->meta.term, command);
	r->term_start = raft_last_index(r);
}

static void campaign(struct raft *r, clock_ms_t now)
{
	r->role = RAFT_CANDIDATE;
	r->leader = 0;
	r->meta.term++;
	r->meta.voted_for = r->settings.node;
	save_meta(r);
	reset_deadline(r, now);
	broadcast_vote_request(r, RAFT_VOTE);
	if (count_votes(r) >= quorum(r))
		become_leader(r, now);
}

static void precampaign(struct raft *r, clock_ms_t now)
{
	r->role = RAFT_PRECANDIDATE;
	r->leader = 0;
	reset_deadline(r, now);
	broadcast_vote_request(r, RAFT_PREVOTE);
	if (count_votes(r) >= quorum(r))
		campaign(r, now);
}

/* Leader lease: the quorum-th latest acknowledged send time. */

static int compare_ms(const void *a, const void *b)
{
	clock_ms_t x = *(const clock_ms_t *)a;
	clock_ms_t y = *(const clock_ms_t *)b;

	return (x < y) - (x > y);
}

static clock_ms_t quorum_contact(const struct raft *r, clock_ms_t now)
{
	clock_ms_t at[RAFT_NODES_MAX];
	unsigned int n = 0;

	at[n++] = now;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (is_member(r, r->peers[i].node, r->peers[i].uid))
			at[n++] = r->peers[i].acked_echo;
	qsort(at, n, sizeof(at[0]), compare_ms);
	return n >= quorum(r) ? at[quorum(r) - 1] : INT64_MIN / 2;
}

bool raft_leads(const struct raft *r, clock_ms_t now)
{
	clock_ms_t lease_ms = (clock_ms_t)r->settings.election_ms * LEASE_PERCENT / 100;

	return r->role == RAFT_LEADER && r->applied >= r->term_start &&
	       now < quorum_contact(r, now) + lease_ms;
}

/* Replication. */

static void send_snapshot(struct raft *r, struct peer *p, clock_ms_t now)
{
	raft_message *m = send_to(r, p->node, p->uid, RAFT_SNAPSHOT);

	m->index = r->snapshot.index;
	m->log_term = r->snapshot.term;
	m->commit = r->commit;
	m->echo_ms = now;
	codec_copy(CODEC_PROC(sw_members), &r->snapshot.members, &m->members, sizeof(m->members));
	codec_copy(CODEC_PROC(sw_blob), &r->snapshot.data, &m->snapshot, sizeof(m->snapshot));
	p->busy_until = now + RESEND_MS;
}

static void fill_records(const struct raft *r, const struct peer *p, raft_message *m)
{
	uint64_t last = raft_last_index(r);
	uint64_t n = MIN(last + 1 - p->next, BATCH_RECORDS_MAX);

	m->records.records_val = calloc(n ? n : 1, sizeof(raft_record));
	m->records.records_len = n;
	for (uint64_t i = 0; i < n; i++) {
		const struct raft_log_record *from = record_at(r, p->next + i);
		raft_record *to = &m->records.records_val[i];
		gsize len;
		const void *data = g_bytes_get_data(from->command, &len);

		to->index = from->index;
		to->term = from->term;
		to->command.sw_blob_len = len;
		to->command.sw_blob_val = malloc(len);
		memcpy(to->command.sw_blob_val, data, len);
	}
}

/// Tells whether the log still holds the follower's next record and the term of the one before.
static bool can_append(const struct raft *r, const struct peer *p)
{
	if (p->next > r->snapshot.index)
		return true;
	return r->log->len && p->next >= r->first &&
	       (p->next == 1 || raft_term_at(r, p->next - 1) != 0);
}

/// Sends an append message: with records if there are some and none are on their way.
static void send_append(struct raft *r, struct peer *p, clock_ms_t now)
{
	bool busy = now < p->busy_until;
	raft_message *m;

	if (!p->uid)
		return;
	if (!can_append(r, p)) {
		if (!busy)
			send_snapshot(r, p, now);
		return;
	}
	m = send_to(r, p->node, p->uid, RAFT_APPEND);
	m->index = p->next - 1;
	m->log_term = raft_term_at(r, m->index);
	m->commit = r->commit;
	m->echo_ms = now;
	if (busy || p->next > raft_last_index(r))
		return;
	fill_records(r, p, m);
	p->busy_until = now + RESEND_MS;
}

static void start_replication(struct raft *r, struct peer *p, clock_ms_t now)
{
	if (now >= p->busy_until && p->next <= raft_last_index(r))
		send_append(r, p, now);
}

void raft_flush(struct raft *r, clock_ms_t now)
{
	if (r->role != RAFT_LEADER)
		return;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].uid)
			start_replication(r, &r->peers[i], now);
}

static int compare_index(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x < y) - (x > y);
}

/// Commits what a quorum has synced, counting only records of the current term.
static void advance_commit(struct raft *r)
{
	uint64_t match[RAFT_NODES_MAX];
	unsigned int n = 0;
	uint64_t index;

	if (raft_is_voter(r))
		match[n++] = r->persisted;
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (is_member(r, r->peers[i].node, r->peers[i].uid))
			match[n++] = r->peers[i].match;
	if (n < quorum(r))
		return;
	qsort(match, n, sizeof(match[0]), compare_index);
	index = match[quorum(r) - 1];
	if (index > r->commit && raft_term_at(r, index) == r->meta.term)
		r->commit = index;
}

void raft_persisted(struct raft *r)
{
	r->persisted = raft_last_index(r);
	if (r->role == RAFT_LEADER)
		advance_commit(r);
}

uint64_t raft_propose(struct raft *r, GBytes *command)
{
	if (r->role != RAFT_LEADER)
		return 0;
	append(r, r->meta.term, command);
	return raft_last_index(r);
}

static void propose_members(struct raft *r, const sw_members *members)
{
	sw_command c = {.type = SW_COMMAND_MEMBERS, .sw_command_u.members = *members};
	g_autoptr(GBytes) command = encode_command(&c);

	append(r, r->meta.term, command);
}

/// Brings a learner that has caught up into the membership, one change at a time: first its
/// node's former identity is removed, then the new one added.
static void promote_learner(struct raft *r, struct peer *p)
{
	sw_member list[RAFT_NODES_MAX];
	sw_members next = {.members = {.members_val = list}};
	bool removes = member_uid(r, p->node) != 0;
	u_int n = 0;

	if (r->members_index > r->commit || r->commit < r->term_start ||
	    p->match + LEARNER_LAG_MAX < r->commit)
		return;
	for (u_int i = 0; i < r->members.members.members_len; i++)
		if (r->members.members.members_val[i].node != p->node)
			list[n++] = r->members.members.members_val[i];
	if (!removes) {
		if (n >= RAFT_NODES_MAX)
			return;
		list[n++] = (sw_member){.node = p->node, .uid = p->uid};
		p->learner = false;
	}
	next.members.members_len = n;
	propose_members(r, &next);
}

/* Receiving. */

static void receive_vote_request(struct raft *r, clock_ms_t now, const raft_message *m)
{
	bool pre = m->type == RAFT_PREVOTE;
	uint64_t last = raft_last_index(r);
	uint64_t last_term = raft_term_at(r, last);
	bool current = m->log_term > last_term || (m->log_term == last_term && m->index >= last);
	bool led = r->role == RAFT_LEADER ? raft_leads(r, now)
					  : now < r->heard_at + r->settings.election_ms;
	bool free_vote;
	bool grant;
	raft_message *reply;

	if (!raft_is_voter(r) || !is_member(r, m->from, m->from_uid))
		return;
	if (!pre && !led && m->term > r->meta.term)
		become_follower(r, now, m->term, 0);
	free_vote = pre ? m->term > r->meta.term
			: m->term == r->meta.term &&
				    (!r->meta.voted_for || r->meta.voted_for == m->from);
	grant = free_vote && current && !led;
	if (grant && !pre) {
		if (r->meta.voted_for != m->from) {
			r->meta.voted_for = m->from;
			save_meta(r);
		}
		reset_deadline(r, now);
	}
	reply = send_to(r, m->from, m->from_uid, pre ? RAFT_PREVOTE_REPLY : RAFT_VOTE_REPLY);
	reply->reject = !grant;
	if (grant)
		reply->term = m->term;
}

static void receive_vote_reply(struct raft *r, clock_ms_t now, const raft_message *m)
{
	bool pre = m->type == RAFT_PREVOTE_REPLY;
	struct peer *p = find_peer(r, m->from);

	if (m->reject && m->term > r->meta.term) {
		become_follower(r, now, m->term, 0);
		return;
	}
	if (m->reject || !p || !is_member(r, m->from, m->from_uid))
		return;
	if (pre && r->role == RAFT_PRECANDIDATE && m->term == r->meta.term + 1) {
		p->granted = true;
		if (count_votes(r) >= quorum(r))
			campaign(r, now);
	} else if (!pre && r->role == RAFT_CANDIDATE && m->term == r->meta.term) {
		p->granted = true;
		if (count_votes(r) >= quorum(r))
			become_leader(r, now);
	}
}

static void reply_append(struct raft *r, const raft_message *m, uint64_t index, bool reject)
{
	raft_message *reply = send_to(r, m->from, m->from_uid, RAFT_APPEND_REPLY);

	reply->index = index;
	reply->reject = reject;
	reply->echo_ms = m->echo_ms;
}

/// Takes over a leader's records after the one at m->index, which matches.
static void append_records(struct raft *r, const raft_message *m)
{
	for (u_int i = 0; i < m->records.records_len; i++) {
		const raft_record *record = &m->records.records_val[i];
		g_autoptr(GBytes) command = NULL;

		if (record->index <= r->commit || raft_term_at(r, record->index) == record->term)
			continue;
		if (record->index <= raft_last_index(r))
			truncate_from(r, record->index);
		if (record->index != raft_last_index(r) + 1)
			return;
		command = g_bytes_new(record->command.sw_blob_val, record->command.sw_blob_len);
		append(r, record->term, command);
	}
}

/// Accepts the sender as the leader of its term.
static bool accept_leader(struct raft *r, clock_ms_t now, const raft_message *m)
{
	if (m->term < r->meta.term) {
		reply_append(r, m, 0, true);
		return false;
	}
	become_follower(r, now, m->term, m->from);
	r->heard_at = now;
	reset_deadline(r, now);
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
	struct raft_effect *e;

	if (!accept_leader(r, now, m))
		return;
	if (m->index <= r->commit) {
		reply_append(r, m, r->commit, false);
		return;
	}
	codec_free(CODEC_PROC(raft_snapshot), &r->snapshot);
	memset(&r->snapshot, 0, sizeof(r->snapshot));
	r->snapshot.index = m->index;
	r->snapshot.term = m->log_term;
	codec_copy(CODEC_PROC(sw_members), &m->members, &r->snapshot.members,
		   sizeof(r->snapshot.members));
	codec_copy(CODEC_PROC(sw_blob), &m->snapshot, &r->snapshot.data, sizeof(r->snapshot.data));
	g_ptr_array_set_size(r->log, 0);
	r->commit = m->index;
	r->applied = m->index;
	r->persisted = m->index;
	reload_members(r);
	e = add_effect(r, RAFT_SAVE_SNAPSHOT);
	codec_copy(CODEC_PROC(raft_snapshot), &r->snapshot, &e->u.save.snapshot,
		   sizeof(raft_snapshot));
	e->u.save.keep_from = m->index + 1;
	e->u.save.reset = true;
	reply_append(r, m, m->index, false);
}

static void receive_append_reply(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct peer *p = find_peer(r, m->from);

	if (m->term > r->meta.term) {
		become_follower(r, now, m->term, 0);
		return;
	}
	if (r->role != RAFT_LEADER || m->term != r->meta.term || !p || p->uid != m->from_uid)
		return;
	p->acked_echo = MAX(p->acked_echo, m->echo_ms);
	if (m->reject) {
		if (m->index >= p->match && m->index + 1 < p->next) {
			p->next = m->index + 1;
			p->busy_until = 0;
			send_append(r, p, now);
		}
		return;
	}
	if (m->index > p->match) {
		p->match = m->index;
		p->busy_until = 0;
	}
	p->next = MAX(p->next, p->match + 1);
	advance_commit(r);
	if (p->learner)
		promote_learner(r, p);
	start_replication(r, p, now);
}

static void receive_join(struct raft *r, const raft_message *m)
{
	struct peer *p = find_peer(r, m->from);

	if (r->role != RAFT_LEADER || !p || (p->learner && p->uid == m->from_uid) ||
	    is_member(r, m->from, m->from_uid))
		return;
	p->uid = m->from_uid;
	p->learner = true;
	p->match = 0;
	p->next = 1;
	p->busy_until = 0;
}

/* Forming a new cluster. */

static void send_probe_reply(struct raft *r, const raft_message *m)
{
	raft_message *reply = send_to(r, m->from, m->from_uid, RAFT_PROBE_REPLY);

	codec_copy(CODEC_PROC(sw_members), &r->members, &reply->members, sizeof(reply->members));
}

static void adopt_base(struct raft *r, const sw_members *members)
{
	codec_free(CODEC_PROC(sw_members), &r->meta.base);
	codec_copy(CODEC_PROC(sw_members), members, &r->meta.base, sizeof(r->meta.base));
	save_meta(r);
	reload_members(r);
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

static void receive_probe_reply(struct raft *r, const raft_message *m)
{
	struct peer *p = find_peer(r, m->from);

	if (is_formed(r) || !p)
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
	send_to(r, m->from, m->from_uid, RAFT_JOIN);
}

static void probe(struct raft *r, clock_ms_t now)
{
	if (now < r->probe_at)
		return;
	r->probe_at = now + PROBE_INTERVAL_MS;
	for (unsigned int i = 0; i < r->n_peers; i++)
		send_to(r, r->peers[i].node, 0, is_formed(r) ? RAFT_JOIN : RAFT_PROBE);
	if (!r->n_peers && !is_formed(r))
		try_to_form(r);
}

void raft_receive(struct raft *r, clock_ms_t now, const raft_message *m)
{
	if (m->to != r->settings.node || (m->to_uid && m->to_uid != r->meta.uid))
		return;
	switch (m->type) {
	case RAFT_PROBE:
		send_probe_reply(r, m);
		break;
	case RAFT_PROBE_REPLY:
		receive_probe_reply(r, m);
		break;
	case RAFT_JOIN:
		receive_join(r, m);
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
	case RAFT_APPEND_REPLY:
		receive_append_reply(r, now, m);
		break;
	}
}

/* Time. */

static void tick_leader(struct raft *r, clock_ms_t now)
{
	if (now > quorum_contact(r, now) + 2 * (clock_ms_t)r->settings.election_ms &&
	    now > r->deadline) {
		become_follower(r, now, r->meta.term, 0);
		return;
	}
	for (unsigned int i = 0; i < r->n_peers; i++)
		if (r->peers[i].learner)
			promote_learner(r, &r->peers[i]);
	if (now < r->beat_at)
		return;
	r->beat_at = now + r->settings.heartbeat_ms;
	for (unsigned int i = 0; i < r->n_peers; i++) {
		struct peer *p = &r->peers[i];

		if (!p->learner && !is_member(r, p->node, p->uid))
			p->uid = 0;
		send_append(r, p, now);
	}
}

void raft_tick(struct raft *r, clock_ms_t now)
{
	if (r->role == RAFT_LEADER) {
		tick_leader(r, now);
		return;
	}
	if (!raft_is_voter(r)) {
		probe(r, now);
		return;
	}
	if (now >= r->deadline)
		precampaign(r, now);
}

const struct raft_log_record *raft_next_committed(struct raft *r)
{
	if (r->applied >= r->commit)
		return NULL;
	r->applied++;
	return record_at(r, r->applied);
}

void raft_compact(struct raft *r, GByteArray *data)
{
	struct raft_effect *e;
	uint64_t term = raft_term_at(r, r->applied);
	uint64_t keep_from;
	sw_members members;

	if (r->members_index > r->applied || r->applied <= r->snapshot.index)
		return;
	codec_copy(CODEC_PROC(sw_members), &r->members, &members, sizeof(members));
	codec_free(CODEC_PROC(raft_snapshot), &r->snapshot);
	r->snapshot = (raft_snapshot){.index = r->applied, .term = term, .members = members};
	r->snapshot.data.sw_blob_len = data->len;
	r->snapshot.data.sw_blob_val = malloc(data->len);
	memcpy(r->snapshot.data.sw_blob_val, data->data, data->len);
	keep_from =
		r->applied > r->settings.keep_records ? r->applied - r->settings.keep_records : 0;
	if (keep_from > r->first) {
		g_ptr_array_remove_range(r->log, 0, keep_from - r->first);
		r->first = keep_from;
	}
	e = add_effect(r, RAFT_SAVE_SNAPSHOT);
	codec_copy(CODEC_PROC(raft_snapshot), &r->snapshot, &e->u.save.snapshot,
		   sizeof(raft_snapshot));
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
	r->first = r->snapshot.index + 1;
	if (r->log->len)
		r->first = ((struct raft_log_record *)r->log->pdata[0])->index;
	r->commit = r->snapshot.index;
	r->applied = r->snapshot.index;
	r->persisted = raft_last_index(r);
	for (unsigned int i = 0; i < RAFT_NODES_MAX && settings->nodes[i]; i++)
		if (settings->nodes[i] != settings->node)
			r->peers[r->n_peers++].node = settings->nodes[i];
	if (!r->meta.uid) {
		r->meta.uid = settings->uid;
		save_meta(r);
	}
	reload_members(r);
	r->heard_at = now;
	reset_deadline(r, now);
	return r;
}

void raft_free(struct raft *r)
{
	g_rand_free(r->random);
	g_ptr_array_unref(r->effects);
	g_ptr_array_unref(r->log);
	codec_free(CODEC_PROC(raft_meta), &r->meta);
	codec_free(CODEC_PROC(raft_snapshot), &r->snapshot);
	codec_free(CODEC_PROC(sw_members), &r->members);
	g_free(r);
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

const raft_snapshot *raft_latest_snapshot(const struct raft *r)
{
	return &r->snapshot;
}

uint32_t raft_leader(const struct raft *r)
{
	return r->leader;
}

const sw_members *raft_members(const struct raft *r)
{
	return &r->members;
}
