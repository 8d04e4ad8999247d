#ifndef SESAMEWOOD_CONTROL_DEFS_H
#define SESAMEWOOD_CONTROL_DEFS_H

/// @file
/// State of a control replica, shared by the parts of its reducer.

#include "base/clock.h"
#include "control/fleet.h"
#include "control/policy.h"
#include "control/raft.h"

/// Durations in ms.
struct control_settings {
	struct raft_settings raft;
	uint32_t lease_ms;	   ///< entry session lease, as the entry counts it
	uint32_t lease_margin_ms;  ///< added at control for differing clock rates
	uint32_t deadline_max_ms;  ///< longest a request may run on an endpoint
	uint32_t suspect_ms;	   ///< silence after which an instance counts as out
	uint32_t forget_ms;	   ///< silence after which an instance loses its pool
	uint32_t probation_ms;	   ///< an instance that came back counts as out this long
	uint32_t snapshot_records; ///< log records between snapshots
	bool policy;		   ///< whether instances are moved on demand
};

/// An entry's acknowledgement of a revocation.
struct ack {
	uint64_t epoch;
	bool busy; ///< requests still run
};

/// An entry that is attached to this leader.
struct session {
	char *entry;
	uint64_t session;
	char *address;
	uint64_t applied_view_index;
	clock_ms_t lease_until;		///< as control counts it
	clock_ms_t old_requests_end_at; ///< requests of an earlier session may run until then
	bool draining;
	GHashTable *acks;   ///< latest struct ack by instance name
	GPtrArray *reports; ///< of sw_pool_load
};

/// What the leader observes of an instance; indexed by instance id.
struct health {
	uint64_t incarnation;
	clock_ms_t heard_at;
	clock_ms_t probation_until;
	clock_ms_t dirty_since;
	uint64_t proposed_index;    ///< a command about it is in the log up to here
	const char *proposed_entry; ///< interned; of a grant among these commands, or NULL
	const char *proposed_pool;
	bool suspected;
};

enum pending_call_type {
	PENDING_PUT,
	PENDING_CLAIMS,
};

/// A call that is answered when its commands have been applied.
struct wait {
	enum pending_call_type type;
	uint64_t token;
	uint64_t term;
	bool rpc;	   ///< of a put: whether it came by RPC or from the own listener
	unsigned int open; ///< commands not yet applied
	uint64_t first;	   ///< index of its first command
	sw_claim_reply reply;
};

struct watcher {
	uint64_t token;
	uint64_t applied_view_index;
	clock_ms_t until;
};

/// An accepted change of a table and when it came into force everywhere.
struct rollout {
	uint64_t version;
	clock_ms_t accepted_at;
	clock_ms_t in_force_ms; ///< duration, or -1
};

enum control_event_type {
	CONTROL_TICK,
	CONTROL_FLUSH,	   ///< end of a batch of events
	CONTROL_PERSISTED, ///< the raft effects taken before are on disk
	CONTROL_MESSAGE,
	CONTROL_RENEW,
	CONTROL_WATCH,
	CONTROL_CLAIM,
	CONTROL_ADMIN,
};

/// An input. The token of a call stands for who waits for the answer.
struct control_event {
	enum control_event_type type;
	uint64_t token;
	clock_ms_t wall_ms;
	union {
		const raft_message *message;
		const sw_renew_args *renew;
		const sw_watch_args *watch;
		const sw_claim_args *claim;
		const sw_admin_args *admin;
	} u;
};

/// An answer to a call. Effects of replication come from raft_take_effects().
struct control_reply {
	uint64_t token;
	uint32_t proc; ///< procedure whose reply this is
	union {
		sw_renew_reply renew;
		sw_watch_reply watch;
		sw_claim_reply claim;
		sw_admin_reply admin;
	} u;
};

struct control {
	struct control_settings settings;
	struct raft *raft;
	struct fleet *fleet;
	struct policy *policy;
	GHashTable *sessions; ///< struct session by entry
	GArray *health;	      ///< of struct health
	GHashTable *waits;    ///< struct wait by index
	GPtrArray *watchers;
	GArray *rollouts;    ///< of struct rollout
	GPtrArray *replies;  ///< of struct control_reply
	uint64_t view_index; ///< latest command that entries must see
	uint64_t leader_term;
	clock_ms_t leader_since;
	GHashTable *placed; ///< instances granted, by entry and by entry and pool; for one pass
	bool entry_loads_valid;
	clock_ms_t last_evaluated_at;
	bool decide; ///< something changed that moves depend on
};

#endif
