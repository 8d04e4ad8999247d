/// @file
/// Focused cases of the replicated log that random actions rarely reach.

#include "base/codec.h"
#include "control/raft.h"

#include <string.h>

#define ELECTION_MS 100
#define START_MS 1000

/// A replica, numbered 1, of three members that have formed a cluster.
static struct raft *replica(uint64_t term, uint32_t voted_for)
{
	static sw_member members[] = {{1, 11}, {2, 12}, {3, 13}};
	const struct raft_settings settings = {
		.node = 1,
		.uid = 11,
		.nodes = {1, 2, 3},
		.election_ms = ELECTION_MS,
		.heartbeat_ms = 10,
		.seed = 1,
	};
	struct raft_recovered recovered = {0};
	raft_meta meta = {
		.uid = 11,
		.term = term,
		.voted_for = voted_for,
		.base = {.members = {3, members}},
	};

	codec_copy(CODEC_PROC(raft_meta), &meta, &recovered.meta, sizeof(meta));
	return raft_new(&settings, &recovered, START_MS);
}

static raft_message message(raft_message_type type, uint32_t from, uint64_t uid, uint64_t term)
{
	return (raft_message){.type = type, .from = from, .from_uid = uid, .to = 1, .term = term};
}

/// @return whether the replica granted the vote that was just asked for
static bool granted(struct raft *r, bool *saved)
{
	g_autoptr(GPtrArray) effects = raft_take_effects(r);
	bool grants = false;

	*saved = false;
	for (guint i = 0; i < effects->len; i++) {
		const struct raft_effect *e = effects->pdata[i];

		if (e->type == RAFT_SAVE_META)
			*saved = e->u.meta.voted_for != 0;
		if (e->type == RAFT_SEND && e->u.message.type == RAFT_VOTE_REPLY)
			grants = !e->u.message.reject;
	}
	return grants;
}

static void test_restarted_replica_waits_before_it_votes(void)
{
	struct raft *r = replica(5, 0);
	raft_message m = message(RAFT_VOTE, 2, 12, 6);
	bool saved;

	raft_receive(r, START_MS + ELECTION_MS - 1, &m);
	g_assert_false(granted(r, &saved));
	raft_receive(r, START_MS + ELECTION_MS, &m);
	g_assert_true(granted(r, &saved));
	raft_free(r);
}

static void test_vote_is_saved_before_it_is_sent(void)
{
	struct raft *r = replica(6, 0);
	raft_message m = message(RAFT_VOTE, 2, 12, 6);
	bool saved;

	raft_receive(r, START_MS + ELECTION_MS, &m);
	g_assert_true(granted(r, &saved));
	g_assert_true(saved);
	m = message(RAFT_VOTE, 3, 13, 6);
	raft_receive(r, START_MS + ELECTION_MS, &m);
	g_assert_false(granted(r, &saved));
	raft_free(r);
}

static void test_unknown_identity_gets_no_vote(void)
{
	struct raft *r = replica(5, 0);
	raft_message m = message(RAFT_VOTE, 2, 99, 6);
	bool saved;

	raft_receive(r, START_MS + ELECTION_MS, &m);
	g_assert_false(granted(r, &saved));
	raft_free(r);
}

static void test_shorter_log_gets_no_vote(void)
{
	struct raft *r = replica(5, 0);
	raft_record record = {.index = 1, .term = 5};
	raft_message m = message(RAFT_APPEND, 2, 12, 5);
	bool saved;

	m.records.records_len = 1;
	m.records.records_val = &record;
	raft_receive(r, START_MS, &m);
	m = message(RAFT_VOTE, 3, 13, 6);
	raft_receive(r, START_MS + 2 * ELECTION_MS, &m);
	g_assert_false(granted(r, &saved));
	raft_free(r);
}

/// Makes the replica lead term 7 with records of term 6 that it took over.
static struct raft *leader_with_old_record(void)
{
	struct raft *r = replica(6, 0);
	raft_record record = {.index = 1, .term = 6};
	raft_message m = message(RAFT_APPEND, 2, 12, 6);

	m.records.records_len = 1;
	m.records.records_val = &record;
	raft_receive(r, START_MS, &m);
	raft_mark_persisted(r);
	raft_tick(r, START_MS + 4 * ELECTION_MS);
	m = message(RAFT_PREVOTE_REPLY, 2, 12, 7);
	raft_receive(r, START_MS + 4 * ELECTION_MS, &m);
	m = message(RAFT_VOTE_REPLY, 2, 12, 7);
	raft_receive(r, START_MS + 4 * ELECTION_MS, &m);
	raft_mark_persisted(r);
	g_assert_cmpint(raft_role(r), ==, RAFT_LEADER);
	return r;
}

static void test_records_of_earlier_terms_are_not_counted(void)
{
	struct raft *r = leader_with_old_record();
	raft_message m = message(RAFT_APPEND_REPLY, 2, 12, 7);

	m.index = 1;
	raft_receive(r, START_MS + 4 * ELECTION_MS, &m);
	g_assert_cmpint(raft_commit_index(r), ==, 0);
	m.index = 2;
	raft_receive(r, START_MS + 4 * ELECTION_MS, &m);
	g_assert_cmpint(raft_commit_index(r), ==, 2);
	raft_free(r);
}

static void test_leader_that_is_cut_off_does_not_lead(void)
{
	struct raft *r = leader_with_old_record();
	clock_ms_t now = START_MS + 4 * ELECTION_MS;
	raft_message m = message(RAFT_APPEND_REPLY, 2, 12, 7);

	m.index = 2;
	m.echo_ms = now;
	raft_receive(r, now, &m);
	while (raft_next_committed(r))
		;
	g_assert_true(raft_holds_leader_lease(r, now + ELECTION_MS / 2));
	g_assert_false(raft_holds_leader_lease(r, now + ELECTION_MS));
	raft_tick(r, now + 10 * ELECTION_MS);
	g_assert_cmpint(raft_role(r), ==, RAFT_FOLLOWER);
	raft_free(r);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/restarted_replica_waits_before_it_votes",
			test_restarted_replica_waits_before_it_votes);
	g_test_add_func("/raft/vote_is_saved_before_it_is_sent",
			test_vote_is_saved_before_it_is_sent);
	g_test_add_func("/raft/unknown_identity_gets_no_vote", test_unknown_identity_gets_no_vote);
	g_test_add_func("/raft/shorter_log_gets_no_vote", test_shorter_log_gets_no_vote);
	g_test_add_func("/raft/records_of_earlier_terms_are_not_counted",
			test_records_of_earlier_terms_are_not_counted);
	g_test_add_func("/raft/leader_that_is_cut_off_does_not_lead",
			test_leader_that_is_cut_off_does_not_lead);
	return g_test_run();
}
