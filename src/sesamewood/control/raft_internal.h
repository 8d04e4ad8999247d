#ifndef SESAMEWOOD_CONTROL_RAFT_INTERNAL_H
#define SESAMEWOOD_CONTROL_RAFT_INTERNAL_H

/// @file
/// State of a replica, and functions shared by raft.c, raft_log.c and raft_bootstrap.c.

#include "control/raft.h"

/// Whether another node may have a vote, by its latest message.
enum peer_kind {
	PEER_UNKNOWN,
	PEER_VOTER,
	PEER_NON_VOTER,
};

/// Replication state of another node.
struct peer {
	uint32_t node;
	uint64_t uid;	///< identity of its data directory; 0: unknown, nothing is replicated to it
	uint64_t match; ///< highest index known to be replicated to it
	uint64_t next;	///< index of the next record to send
	clock_ms_t in_flight_until; ///< resend time of the batch in flight; 0: it was
				    ///< acknowledged
	clock_ms_t batch_sent_at;   ///< when the latest batch was sent
	clock_ms_t acked_send_ms;   ///< send time, by this replica's clock, of the latest
				    ///< acknowledged message
	clock_ms_t last_reply_at;   ///< last reply to this leader, or start of its term
	bool granted;		    ///< it voted for this replica in the current election
	struct raft_image image;    ///< snapshot that is being sent to it; index 0: none
	uint64_t image_received;    ///< bytes of it that have arrived
	uint64_t image_sent;	    ///< offset of its end in the latest part
	bool learner;		    ///< receives records but has no vote, until it has caught up
	enum peer_kind kind;
};

struct raft {
	struct raft_settings settings;
	GRand *random;
	GPtrArray *effects;

	raft_meta meta;
	GPtrArray *log;	      ///< of struct raft_log_record, from snapshot.index + 1 or earlier
	uint64_t first_index; ///< index of log->pdata[0]
	struct raft_image snapshot;
	GByteArray *incoming;	 ///< parts of a snapshot received so far, or NULL
	uint64_t incoming_index; ///< its place in the log
	uint64_t incoming_size;
	uint64_t incoming_from; ///< term of the leader that sends it
	sw_members members;	///< latest membership in the log
	uint64_t members_index; ///< index of the record that set them

	enum raft_role role;
	bool disk_failed; ///< the disk refuses writes
	uint32_t leader;
	uint64_t commit;		   ///< highest committed index
	uint64_t applied;		   ///< highest index passed to the state machine
	uint64_t persisted;		   ///< highest index synced to disk here
	uint64_t term_start;		   ///< index of the first record of this leader's term
	clock_ms_t last_leader_contact_at; ///< last message from a leader, or the start of this
					   ///< replica
	clock_ms_t election_at;		   ///< when the election timeout expires
	clock_ms_t passive_until;	   ///< before this time this replica starts no election
	clock_ms_t next_heartbeat_at;
	clock_ms_t next_probe_at;
	struct peer peers[RAFT_PEERS_MAX];
	unsigned int n_peers;
};

/* raft_log.c */

/// Adds an empty effect; the caller fills it in.
struct raft_effect *raft_add_effect(struct raft *r, enum raft_effect_type type);
/// Adds the effect that stores term, vote and identity.
void raft_save_meta(struct raft *r);
/// @return record at @p index, which must be in the log
const struct raft_log_record *raft_record_at(const struct raft *r, uint64_t index);
/// Appends a command to the log and adds the effect that stores it.
void raft_append(struct raft *r, uint64_t term, GBytes *command);
/// Removes the records from @p index on; they must not be committed.
void raft_truncate_from(struct raft *r, uint64_t index);
/// Sets the membership to the latest in the log, else that of the snapshot or the metadata. Called
/// after records were removed or loaded.
void raft_reload_members(struct raft *r);
/// @return identity of the member @p node, or 0 when it is not a member
uint64_t raft_member_uid(const struct raft *r, uint32_t node);
/// @return true if @p node is a member under the identity @p uid
bool raft_is_member(const struct raft *r, uint32_t node, uint64_t uid);
/// @return number of votes that make a majority of the members
unsigned int raft_quorum(const struct raft *r);
/// @return replication state of another node, or NULL
struct peer *raft_find_peer(struct raft *r, uint32_t node);
/// Finds or adds the replication state of another node.
///
/// @return NULL when RAFT_PEERS_MAX is reached and no entry can be reused
struct peer *raft_add_peer(struct raft *r, uint32_t node);
/// Adds a message to send, with type, sender, receiver and term filled in.
///
/// @param uid identity of the receiver, or 0 for any
raft_message *raft_send_to(struct raft *r, uint32_t node, uint64_t uid, raft_message_type type);

/* raft_snapshot.c */

/// Sends the next part of a snapshot, or a heartbeat while a part is in flight.
void raft_send_snapshot(struct raft *r, struct peer *p, clock_ms_t now);
/// Handles the reply to a part: sends the next one.
void raft_receive_snapshot_reply(struct raft *r, clock_ms_t now, const raft_message *m);
/// Adds a received part, and replies unless it was the last one.
///
/// @param[out] out the snapshot, released with raft_image_clear()
/// @return true if all parts have arrived
bool raft_receive_part(struct raft *r, const raft_message *m, struct raft_image *out);
/// Drops the parts received so far.
void raft_drop_incoming(struct raft *r);

/* raft_bootstrap.c */

/// @return true if this replica belongs to a cluster, so that its membership is not empty
bool raft_has_membership(const struct raft *r);
/// Answers a probe with the membership and whether this replica may help to create a cluster.
void raft_send_probe_reply(struct raft *r, const raft_message *m);
/// Handles a probe reply: adopts the membership in it, asks to join, or creates a cluster.
void raft_receive_probe_reply(struct raft *r, const raft_message *m);
/// Asks each of the members to add this replica.
void raft_request_join(struct raft *r, const sw_members *members);
/// Sends join requests, or probes while no membership is known, every PROBE_INTERVAL_MS.
void raft_send_probes(struct raft *r, clock_ms_t now);

#endif
