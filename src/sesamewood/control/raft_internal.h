#ifndef SESAMEWOOD_CONTROL_RAFT_INTERNAL_H
#define SESAMEWOOD_CONTROL_RAFT_INTERNAL_H

/// @file
/// State of the replicated log, and the functions that its parts call in each other.

#include "control/raft.h"

/// Replication state of one other node.
struct peer {
	uint32_t node;
	uint64_t uid;
	uint64_t match;
	uint64_t next;
	clock_ms_t in_flight_until; ///< a batch is on its way until then
	clock_ms_t acked_send_ms;   ///< own clock when the latest acknowledged message was sent
	clock_ms_t heard_at;	    ///< last answer to the leader, or its election
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
	clock_ms_t next_heartbeat_at;
	clock_ms_t next_probe_at;
	struct peer peers[RAFT_PEERS_MAX];
	unsigned int n_peers;
};

/* raft_log.c */

struct raft_effect *raft_add_effect(struct raft *r, enum raft_effect_type type);
/// Adds the effect that stores term, vote and identity.
void raft_save_meta(struct raft *r);
/// @return the record at an index that the log holds
const struct raft_log_record *raft_record_at(const struct raft *r, uint64_t index);
/// Appends a command to the log and adds the effect that stores it.
void raft_append(struct raft *r, uint64_t term, GBytes *command);
/// Drops the records at and after an index, which are not committed.
void raft_truncate_from(struct raft *r, uint64_t index);
/// Finds the latest membership in the log, after records were removed or loaded.
void raft_reload_members(struct raft *r);
/// @return the identity of a member, or 0
uint64_t raft_member_uid(const struct raft *r, uint32_t node);
bool raft_is_member(const struct raft *r, uint32_t node, uint64_t uid);
/// @return votes that make a majority
unsigned int raft_quorum(const struct raft *r);
/// @return the state of another node, or NULL
struct peer *raft_find_peer(struct raft *r, uint32_t node);
/// Finds or adds the state of another node.
///
/// @return NULL when there are too many
struct peer *raft_add_peer(struct raft *r, uint32_t node);
/// Adds a message to send, with sender and term filled in.
raft_message *raft_send_to(struct raft *r, uint32_t node, uint64_t uid, raft_message_type type);

/* raft_form.c */

/// Tells whether this replica knows a membership.
bool raft_has_membership(const struct raft *r);
void raft_send_probe_reply(struct raft *r, const raft_message *m);
void raft_receive_probe_reply(struct raft *r, const raft_message *m);
/// Asks the members that a message names to take this replica in.
void raft_request_join(struct raft *r, const sw_members *members);
/// Asks the other nodes for a cluster to form or to join, from time to time.
void raft_send_probes(struct raft *r, clock_ms_t now);

#endif
