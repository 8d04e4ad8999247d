#ifndef SESAMEWOOD_MANAGER_CONTROL_SHELL_INTERNAL_H
#define SESAMEWOOD_MANAGER_CONTROL_SHELL_INTERNAL_H

/// @file
/// State of a control replica's shell and its internal functions. control_shell.c starts and stops
/// the process; control_calls.c and control_loop.c use control_orders.c and control_load.c.

#include "base/http_server.h"
#include "base/metrics.h"
#include "base/work.h"
#include "control/raft.h"
#include "control/storage_thread.h"
#include "manager/agents.h"
#include "manager/callers.h"
#include "manager/control_shell.h"
#include "manager/heartbeat_proxy.h"
#include "manager/order_sender.h"
#include "manager/overload.h"
#include "manager/relay.h"
#include "rpc/rpc_server.h"

#include <ev.h>

/// Six heartbeats, so that a pause of 300 ms at the CPU quota causes no election.
#define ELECTION_MS 600
#define RAFT_CALL_MS 500 /* a connection without an answer for this time is reopened */
#define EXIT_DISK 3

/// An effect held back until the commands proposed before it are committed.
struct held_effect {
	uint64_t index; ///< last log record proposed before it
	struct effect *effect;
	clock_ms_t emitted_at;
};

/// Messages that the leader has handled since the last load log.
struct load_counts {
	unsigned int submits;
	unsigned int reads; ///< of job states, by callers
	unsigned int other_calls;
	unsigned int heartbeats;    ///< whole ones
	unsigned int probes;	    ///< of entries
	unsigned int refused;	    ///< requests of callers
	unsigned int order_results; ///< results of orders, also of those that agents sent
	clock_ms_t unread_max_ms;   ///< longest time for which some callers were not read
};

struct shell {
	struct control_shell_settings settings;
	const struct wire *wire;
	bool (*reload)(uint32_t seeds[3]);
	struct ev_loop *loop;
	uint32_t node;
	struct raft *raft;
	struct storage_thread *storage;
	bool writing;		   ///< the storage thread is writing a batch
	uint64_t writing_to;	   ///< last log record of the batch that is being written
	clock_ms_t disk_failed_at; ///< first failure since the disk last worked; 0: it works
	clock_ms_t disk_logged_at;
	struct metric *disk_failures;
	GPtrArray *unsent;	      ///< raft effects that wait for the disk
	struct jobs *state;	      ///< committed job state
	uint64_t state_index;	      ///< last log record applied to state
	gsize log_bytes;	      ///< of the records applied since the last snapshot
	uint64_t next_snapshot_index; ///< earliest index of the next try to take a snapshot
	bool is_cut_off;	  ///< no contact with a leader for longer than an election takes
	uint64_t recovered_index; ///< last log record found on disk at the start
	clock_ms_t started_at;
	clock_ms_t machine_orders_seen_at; ///< when the latest machine order in state was received
	struct manager *manager;	   ///< NULL unless this replica leads
	uint64_t manager_term;
	GQueue held; ///< struct held_effect, oldest first
	struct callers *callers;
	struct relay *relay;
	struct http_server *http;
	struct order_sender *sender;
	struct agents *agents;
	struct heartbeat_proxy *heartbeat_proxy;
	ev_prepare before_wait;
	ev_check after_wait;
	ev_timer tick;
	ev_signal terminate;
	ev_signal hangup;
	clock_ms_t stopping_at; ///< 0: not stopping
	struct metric *proposals;
	struct metric *leaderless_refusals;
	struct metric *refusals;
	struct metric *accounts_at_cap;
	struct metric *beyond_weight;
	struct metric *commit_ms;
	struct metric *repeated_starts;
	struct metric *repeated_queries;
	struct overload *overload;
	uint64_t rounds_us; ///< total time spent on placement rounds up to the last tick
	clock_ms_t round_gap_ms;
	clock_ms_t last_tick_at;
	clock_ms_t last_pass_at; ///< end of the last pass of the loop
	clock_ms_t slow_commit_logged_at;
	clock_ms_t slow_loop_logged_at;
	clock_ms_t next_load_log_at;
	uint64_t logged_us[WORK_KINDS]; ///< work_total_us() at the last load log
	struct load_counts counts;
	uint64_t logged_connections; ///< rpc_connections_accepted() at the last load log
	clock_ms_t unread_since; ///< since when some callers' connections have not been read; 0:
				 ///< all were read in the last pass
};

/* control_loop.c */

/// Returns whether this replica leads and its leadership lease is still valid.
bool shell_leads(const struct shell *sh);

/// Returns the node of the leader, or 0 if it is unknown or this replica.
uint32_t shell_other_leader(const struct shell *sh);

/// Processes committed records and effects until all remaining work waits for I/O or time.
void shell_flush(struct shell *sh);

/// Flushes the shell and the log before the event loop waits.
void shell_on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents);
/// Sets the deadline for low-priority requests in this pass of the event loop.
void shell_on_after_wait(struct ev_loop *loop, ev_check *w, int revents);
/// Advances the timers of all parts; ends the event loop once a stop is due.
void shell_on_tick(struct ev_loop *loop, ev_timer *w, int revents);

/// Holds back all messages until the recovered state is synced.
void shell_sync_recovered(struct shell *sh);

/// Called when the storage thread has written a batch; sends the messages that waited for it.
void shell_on_stored(void *ctx, GPtrArray *effects);

/// Called when a write has failed, or with NULL when the disk works again.
void shell_on_disk_failed(void *ctx, const char *error);

/* control_orders.c */

/// Sends an order, or queues it for an agent. Takes ownership of @p order.
void shell_send_order(struct shell *sh, struct order *order);

/// Passes a result to the manager if the replica still leads in @p term. Takes ownership of
/// @p result.
void shell_deliver_result(struct shell *sh, uint64_t term, struct order_result *result);

/// Called with the result of an order that this replica sent, for itself or as an agent of
/// @p leader. Takes ownership of @p result.
void shell_on_order_sent(void *ctx, uint32_t leader, uint64_t term, struct order_result *result);

/* control_calls.c */

extern const struct http_handlers shell_http_handlers;

/// Handles an RPC request of another replica or of an entry.
void shell_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *value);

/* control_load.c */

/// Returns the replica's lag: the age of the oldest held effect or of the oldest input, whichever
/// is greater.
clock_ms_t shell_lag_ms(const struct shell *sh, clock_ms_t now);

/// Passes the replica's lag to the manager and updates whether callers are refused.
void shell_record_lag(struct shell *sh, clock_ms_t now);

/// Adapts the time between placement rounds to their share of the processor time.
void shell_adapt_round_gap(struct shell *sh, clock_ms_t now);

/// Logs a warning if at least @p bound has passed since @p since, at most once a second.
///
/// @param logged_at when this warning was logged last; updated
/// @param what      message
void shell_log_if_slow(clock_ms_t *logged_at, const char *what, clock_ms_t since, clock_ms_t bound);

/// Records whether callers' connections wait to be read. Call at the end of each pass of the loop.
void shell_record_unread(struct shell *sh, clock_ms_t now);

/// Logs once a second the processor time by kind of work and, on the leader, the messages handled
/// and the queue lengths.
void shell_log_load(struct shell *sh, clock_ms_t now);

#endif
