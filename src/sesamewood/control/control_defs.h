#ifndef SESAMEWOOD_CONTROL_DEFS_H
#define SESAMEWOOD_CONTROL_DEFS_H

/// @file
/// State, events and replies of a control replica, shared by the files of its reducer.

#include "base/clock.h"
#include "control/fleet.h"
#include "control/policy.h"
#include "control/raft.h"

/// Settings of a replica; durations in ms.
struct control_settings {
	struct raft_settings raft;
	uint32_t lease_ms;	  ///< lease of an entry's session, by the entry's clock
	uint32_t lease_margin_ms; ///< added to the lease by control, for clocks that run at
				  ///< different rates
	uint32_t deadline_max_ms; ///< maximum time that a request may run at an endpoint
	uint32_t suspect_ms;	  ///< time without a heartbeat after which an instance is suspected
	uint32_t forget_ms;    ///< time without a heartbeat after which an instance loses its pool
	uint32_t probation_ms; ///< time for which a returned instance does not count as serving
	uint32_t snapshot_records; ///< number of applied log records between snapshots
	bool policy;		   ///< move instances between pools on demand
};

/// An entry's acknowledgement that it dispatches no more requests to a revoked instance.
struct ack {
	uint64_t epoch; ///< of the revocation
	bool busy;	///< requests of the entry still run at the instance
};

/// An entry that has attached to this leader. The leader keeps it in memory only.
struct session {
	char *entry;
	uint64_t session;		///< identity of the entry's process
	char *address;			///< RPC address for other entries
	uint64_t applied_view_index;	///< index of the view that the entry has applied
	clock_ms_t lease_until;		///< by control's clock, margin included
	clock_ms_t old_requests_end_at; ///< requests of an earlier session may run until this time
	bool draining;
	GHashTable *acks;      ///< latest struct ack by instance name
	GPtrArray *pool_loads; ///< of sw_pool_load
};

/// Health of an instance as the leader observes it; indexed by instance id.
struct health {
	uint64_t incarnation;
	clock_ms_t last_heartbeat_at;
	clock_ms_t probation_until; ///< does not count as serving before
	clock_ms_t dirty_since;	    ///< since when this leader sees it marked dirty, or 0
	uint64_t proposed_index;    ///< index of the latest command proposed about it
	const char *proposed_entry; ///< entry of a pending grant, interned, or NULL
	const char *proposed_pool;  ///< its pool, interned
	bool suspected;		    ///< no heartbeat for suspect_ms
};

enum pending_call_type {
	PENDING_PUT,	///< of a table
	PENDING_CLAIMS, ///< of idempotency keys
};

/// A request that is answered once its commands are applied.
struct pending_call {
	enum pending_call_type type;
	uint64_t token;
	uint64_t term; ///< in which its commands were proposed
	bool rpc;      ///< of a table change: received by RPC, not by the own listener; not used
	unsigned int remaining; ///< commands not applied yet
	uint64_t first_index;	///< index of its first command
	sw_claim_reply reply;	///< of PENDING_CLAIMS, filled in as commands are applied
};

/// An entry's long poll for a newer view.
struct watcher {
	uint64_t token;
	uint64_t applied_view_index; ///< answered when the view is newer
	clock_ms_t until;	     ///< answered at this time in any case
};

/// An accepted change of a table, and how long it took until all entries applied it.
struct rollout {
	uint64_t version;
	clock_ms_t accepted_at;
	clock_ms_t in_force_ms; ///< time from acceptance until in force at all entries; -1: not yet
};

enum control_event_type {
	CONTROL_TICK,
	CONTROL_FLUSH,	   ///< end of a batch of events: apply, act as leader, replicate
	CONTROL_PERSISTED, ///< all raft effects taken so far are synced to disk
	CONTROL_MESSAGE,   ///< of the replicated log, from another replica
	CONTROL_RENEW,	   ///< an entry renews its session
	CONTROL_WATCH,	   ///< an entry waits for a newer view
	CONTROL_CLAIM,	   ///< an entry claims idempotency keys or ends its claims
	CONTROL_ADMIN,	   ///< a request of the administration API
};

/// An input of the reducer. The token of a request identifies the caller that awaits its reply.
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

/// A reply to a request. Effects of the replicated log are returned by raft_take_effects().
struct control_reply {
	uint64_t token;
	uint32_t proc; ///< RPC procedure number, which selects the member of u
	union {
		sw_renew_reply renew;
		sw_watch_reply watch;
		sw_claim_reply claim;
		sw_admin_reply admin;
	} u;
};

/// The reducer of a replica.
struct control {
	struct control_settings settings;
	struct raft *raft;
	struct fleet *fleet;
	struct policy *policy;
	GHashTable *sessions;	   ///< struct session by entry
	GArray *health;		   ///< of struct health
	GHashTable *pending_calls; ///< struct pending_call by index of each of its commands
	GPtrArray *watchers;	   ///< of struct watcher
	GArray *rollouts;	   ///< of struct rollout
	GPtrArray *replies;	   ///< of struct control_reply
	uint64_t view_index;  ///< index of the latest command that changed the view of the entries
	uint64_t leader_term; ///< term in which this replica leads, or 0
	clock_ms_t leader_since; ///< start of its leadership
	GHashTable *entry_loads; ///< number of granted instances by "entry/" and "entry/pool"
	bool entry_loads_valid;	 ///< counted in this evaluation
	clock_ms_t last_evaluated_at;
	bool needs_evaluation; ///< the state that moves depend on has changed
};

#endif
