#ifndef SESAMEWOOD_CONTROL_RAFT_H
#define SESAMEWOOD_CONTROL_RAFT_H

/// @file
/// Leader-based replicated log as a reducer: no I/O, no clock, no randomness but a seed.
/// Design: docs/design/replication.md.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#define RAFT_NODES_MAX 7  ///< configured nodes
#define RAFT_PEERS_MAX 16 ///< other nodes that a replica keeps state for
#define RAFT_SEEDS_MAX 3

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRECANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

struct raft_settings {
	uint32_t node;			///< own number, 1 to RAFT_NODES_MAX
	uint64_t uid;			///< identity of the data folder
	uint32_t nodes[RAFT_NODES_MAX]; ///< all configured nodes, own one included; 0 ends them
	uint32_t election_ms;		///< least election timeout; the most is twice this
	uint32_t heartbeat_ms;
	uint32_t keep_records; ///< records kept behind a snapshot for slow followers
	uint64_t seed;
	/// Members are found through seeds instead of a configured list; any node number is
	/// allowed.
	bool dynamic;
	bool bootstrap;			///< the seeds may form a cluster
	uint32_t seeds[RAFT_SEEDS_MAX]; ///< 0 ends them
};

struct raft_log_record {
	uint64_t index;
	uint64_t term;
	GBytes *command;
};

/// What storage held at the start.
struct raft_recovered {
	raft_meta meta;
	raft_snapshot snapshot; ///< index 0: none
	GPtrArray *records;	///< of struct raft_log_record, or NULL
};

enum raft_effect_type {
	RAFT_SAVE_META,	    ///< store meta before anything is sent
	RAFT_APPEND_LOG,    ///< append records; a record replaces all at and after its index
	RAFT_SAVE_SNAPSHOT, ///< store the snapshot; records up to keep_from may be dropped
	RAFT_SEND,	    ///< send once all of the above is synced
};

struct raft_effect {
	enum raft_effect_type type;
	union {
		raft_meta meta;
		GPtrArray *records; ///< of struct raft_log_record
		struct {
			raft_snapshot snapshot;
			uint64_t keep_from;
			bool reset; ///< all records are void
		} save;
		raft_message message;
	} u;
};

struct raft;

struct raft *raft_new(const struct raft_settings *settings, struct raft_recovered *recovered,
		      clock_ms_t now);
void raft_free(struct raft *r);

/// Advances timers.
void raft_tick(struct raft *r, clock_ms_t now);

/// Handles a message from another replica.
void raft_receive(struct raft *r, clock_ms_t now, const raft_message *m);

/// Appends a command at the leader.
///
/// @return its index, or 0 when this replica isn't the leader
uint64_t raft_propose(struct raft *r, GBytes *command);

/// Sends new records to the followers; call once a batch.
void raft_flush(struct raft *r, clock_ms_t now);

/// Tells that all effects up to now are synced on disk.
void raft_mark_persisted(struct raft *r);

/// Tells that the records up to @p index are synced on disk.
void raft_mark_persisted_to(struct raft *r, uint64_t index);

/// Gives up leadership and asks the most advanced follower to succeed at once. Until @p until
/// this replica starts no election.
void raft_step_down(struct raft *r, clock_ms_t now, clock_ms_t until);

/// Takes the next committed record.
///
/// @return NULL when there is none
const struct raft_log_record *raft_next_committed(struct raft *r);

/// Replaces the applied prefix of the log by a snapshot of the state machine.
void raft_compact(struct raft *r, GByteArray *data);

/// Takes the effects gathered since the last call: array of struct raft_effect.
GPtrArray *raft_take_effects(struct raft *r);
void raft_effect_free(void *effect);
void raft_log_record_free(void *record);

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_commit_index(const struct raft *r);
uint64_t raft_applied_index(const struct raft *r);
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_snapshot_index(const struct raft *r);
/// @return the latest snapshot, own or received; index 0: none
const raft_snapshot *raft_latest_snapshot(const struct raft *r);
/// @return the leader's node as far as known, or 0
uint32_t raft_leader(const struct raft *r);
/// @return whether this replica may vote under its identity
bool raft_is_voter(const struct raft *r);
/// @return members in force
const sw_members *raft_members(const struct raft *r);

/// Tells whether this replica is the leader, has applied a record of its own term, and no other
/// leader can have been elected by @p now.
bool raft_holds_leader_lease(const struct raft *r, clock_ms_t now);

/// Tells whether another member has answered the leader within @p within_ms.
bool raft_peer_is_responsive(const struct raft *r, uint32_t node, clock_ms_t now,
			     clock_ms_t within_ms);

/// Term of the record at @p index, or 0 when unknown.
uint64_t raft_term_at(const struct raft *r, uint64_t index);

#endif
