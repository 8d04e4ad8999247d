#ifndef SESAMEWOOD_CONTROL_RAFT_H
#define SESAMEWOOD_CONTROL_RAFT_H

/// @file
/// Replicated log after the Raft algorithm, as a reducer: it does no I/O and reads no clock, its
/// random numbers come from a seed, and it returns what must be stored and sent as effects. Design:
/// docs/design/replication.md.

#include "base/clock.h"
#include "control/raft_image.h"
#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#define RAFT_NODES_MAX 7  ///< nodes in a configured list
#define RAFT_PEERS_MAX 16 ///< other nodes that a replica keeps state for
#define RAFT_SEEDS_MAX 3  ///< seed nodes

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRECANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

struct raft_settings {
	/// Number of this node: 1 to RAFT_NODES_MAX, or any with dynamic_membership.
	uint32_t node;
	uint64_t uid;			///< identity given to an empty data directory
	uint32_t nodes[RAFT_NODES_MAX]; ///< configured nodes including this one; ends at 0
	uint32_t election_ms;		///< minimum election timeout; the maximum is twice this
	uint32_t heartbeat_ms;		///< interval of the leader's heartbeats
	uint32_t keep_records; ///< records kept before a snapshot's index for slow followers
	uint64_t seed;	       ///< of the random election timeouts
	/// Members are discovered through the seeds instead of a configured list, and any node
	/// number is allowed.
	bool dynamic_membership;
	bool bootstrap; ///< the seeds may create a new cluster
	/// Any number of such nodes may be lost at once: this one gets no vote while others do.
	bool non_voter;
	/// Members that may be lost at once, disks included; 0: one.
	uint32_t tolerated_losses;
	uint32_t seeds[RAFT_SEEDS_MAX]; ///< ends at 0
};

struct raft_log_record {
	uint64_t index;
	uint64_t term;
	GBytes *command;
};

/// State read from storage at start.
struct raft_recovered {
	raft_meta meta;
	struct raft_image snapshot; ///< index 0: none
	GPtrArray *records;	    ///< of struct raft_log_record, or NULL
};

enum raft_effect_type {
	RAFT_SAVE_META,	    ///< store the metadata before anything is sent
	RAFT_APPEND_LOG,    ///< append records; each replaces the stored ones from its index on
	RAFT_SAVE_SNAPSHOT, ///< store the snapshot; records before keep_from may be dropped
	RAFT_SEND,	    ///< send the message after all earlier effects are synced
};

struct raft_effect {
	enum raft_effect_type type;
	union {
		raft_meta meta;
		GPtrArray *records; ///< of struct raft_log_record
		struct {
			struct raft_image snapshot;
			uint64_t keep_from;
			bool reset; ///< drop all records: they may conflict with the snapshot
		} save;
		raft_message message;
	} u;
};

struct raft;

/// Creates a replica that starts as a follower.
///
/// @param recovered state from storage; ownership moves to the replica and it is zeroed
/// @return released with raft_free()
struct raft *raft_new(const struct raft_settings *settings, struct raft_recovered *recovered,
		      clock_ms_t now);
void raft_free(struct raft *r);

/// Runs what is due at @p now: elections, heartbeats, membership changes and probes.
void raft_tick(struct raft *r, clock_ms_t now);

/// Handles a message from another replica.
void raft_receive(struct raft *r, clock_ms_t now, const raft_message *m);

/// Appends a command to the log of the leader. It is committed later, or lost if another replica
/// becomes the leader first.
///
/// @return index of the record, or 0 when this replica is not the leader
uint64_t raft_propose(struct raft *r, GBytes *command);

/// Sends new records to the followers. Called once at the end of a batch of proposals.
void raft_flush(struct raft *r, clock_ms_t now);

/// Marks all records of the log as synced to disk, which lets the leader count them for a commit.
void raft_mark_persisted(struct raft *r);

/// Marks the records up to @p index as synced to disk.
void raft_mark_persisted_to(struct raft *r, uint64_t index);

/// Transfers leadership: becomes a follower and asks the member with the longest replicated log to
/// start an election at once. This replica starts no election before @p until, also when another
/// one asks it to; CLOCK_NEVER: it is stopping.
void raft_step_down(struct raft *r, clock_ms_t now, clock_ms_t until);

/// Notes whether the replica's disk refuses writes. While it does, the replica neither leads,
/// votes, stands for election nor takes records; it only notes who leads. A leader hands over at
/// once.
void raft_set_disk_failed(struct raft *r, clock_ms_t now, bool failed);

/// Returns the next committed record and counts it as applied.
///
/// @return owned by the log; NULL when all committed records are applied
const struct raft_log_record *raft_next_committed(struct raft *r);

/// Replaces the applied prefix of the log with a snapshot. Does nothing while the latest membership
/// change is not applied yet, or when nothing was applied since the last snapshot.
///
/// @param data encoded state machine as of the applied index; shared
void raft_compact(struct raft *r, GBytes *data);

/// @return effects added since the last call, array of struct raft_effect; owned by the caller
GPtrArray *raft_take_effects(struct raft *r);
void raft_effect_free(void *effect);
/// Returns whether an effect is a message that may be sent before earlier effects are synced: those
/// of a leader, whose own write of its records is counted by itself.
bool raft_may_send_at_once(const struct raft_effect *e);
void raft_log_record_free(void *record);

enum raft_role raft_role(const struct raft *r);
uint64_t raft_term(const struct raft *r);
uint64_t raft_commit_index(const struct raft *r);
uint64_t raft_applied_index(const struct raft *r);
uint64_t raft_last_index(const struct raft *r);
uint64_t raft_snapshot_index(const struct raft *r);
/// @return the latest snapshot, taken here or received from the leader; index 0: none
const struct raft_image *raft_latest_snapshot(const struct raft *r);
/// @return node of the known leader, or 0
uint32_t raft_leader(const struct raft *r);
/// @return when a leader was last heard; a leader itself counts while a quorum follows it
clock_ms_t raft_leader_contact_at(const struct raft *r, clock_ms_t now);
/// @return true if the current membership lists this replica with its present identity
bool raft_is_voter(const struct raft *r);
/// @return current membership: the latest in the log, committed or not
const sw_members *raft_members(const struct raft *r);

/// Returns true if this replica is the leader, has applied a record of its own term, and holds a
/// leader lease at @p now, so that no other leader can have been elected.
bool raft_holds_leader_lease(const struct raft *r, clock_ms_t now);

/// Returns true if another node has replied to the leader within the last @p within_ms.
bool raft_peer_is_responsive(const struct raft *r, uint32_t node, clock_ms_t now,
			     clock_ms_t within_ms);

/// @return term of the record at @p index, or 0 when it is neither in the log nor the snapshot's
uint64_t raft_term_at(const struct raft *r, uint64_t index);

#endif
