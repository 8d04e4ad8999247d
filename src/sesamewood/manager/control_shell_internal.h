#ifndef SESAMEWOOD_MANAGER_CONTROL_SHELL_INTERNAL_H
#define SESAMEWOOD_MANAGER_CONTROL_SHELL_INTERNAL_H

/// @file
/// State of a control replica's shell, and the functions that its parts call in each other. Calls
/// go one way: control_shell.c starts and stops; control_calls.c and control_loop.c use
/// control_orders.c and control_load.c.

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

#define ELECTION_MS 600	 /* six heartbeats: a stop of 300 ms at a processor quota costs none */
#define RAFT_CALL_MS 500 /* a connection that is silent for so long is opened anew */
#define EXIT_DISK 3

/// An effect that waits for the commands before it to be committed.
struct held {
	uint64_t index;
	struct effect *effect;
	clock_ms_t since;
};

struct shell {
	struct control_shell_settings settings;
	const struct wire *wire;
	bool (*reload)(uint32_t seeds[3]);
	struct ev_loop *loop;
	uint32_t node;
	struct raft *raft;
	struct storage_thread *storage;
	bool writing;
	uint64_t writing_to; ///< last record of the batch on its way
	GPtrArray *unsent;   ///< effects of raft that wait for the disk
	struct jobs *state;  ///< committed
	uint64_t state_index;
	struct manager *manager; ///< while this replica leads
	uint64_t manager_term;
	GQueue held;
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
	struct metric *refusals;
	struct metric *commit_ms;
	struct overload *overload;
	uint64_t rounds_us; ///< spent on placement rounds up to the last tick
	clock_ms_t round_gap_ms;
	clock_ms_t last_tick_at;
	clock_ms_t last_pass_at; ///< end of the last pass of the loop
	clock_ms_t slow_commit_logged_at;
	clock_ms_t slow_loop_logged_at;
	clock_ms_t next_load_log_at;
	uint64_t logged_us[WORK_KINDS];
};

/* control_loop.c */

/// Tells whether this replica surely leads now.
bool shell_leads(const struct shell *sh);

/// @return the replica that leads, 0: none is known, or it is this one
uint32_t shell_other_leader(const struct shell *sh);

/// Runs until nothing is left to do without waiting.
void shell_flush(struct shell *sh);

void shell_on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents);
void shell_on_after_wait(struct ev_loop *loop, ev_check *w, int revents);
void shell_on_tick(struct ev_loop *loop, ev_timer *w, int revents);

/// The storage thread has written a batch of effects.
void shell_on_stored(void *ctx, GPtrArray *effects);

/* control_orders.c */

/// Sends an order, or has another replica send it. Takes it over.
void shell_send_order(struct shell *sh, struct order *order);

/// Hands a result to the manager, if it still leads in that term. Takes it over.
void shell_deliver_result(struct shell *sh, uint64_t term, struct order_result *result);

/// An order that this replica sent, for itself or for a leader, has its result.
void shell_on_order_sent(void *ctx, uint32_t leader, uint64_t term, struct order_result *result);

/* control_calls.c */

extern const struct http_handlers shell_http_handlers;
void shell_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *value);

/* control_load.c */

/// @return age of the oldest commit that replies or orders wait for, or of the oldest input
clock_ms_t shell_lag_ms(const struct shell *sh, clock_ms_t now);

/// Tells the manager how far the replica is behind, and whether callers are refused.
void shell_record_lag(struct shell *sh, clock_ms_t now);

/// Spaces placement rounds by what they cost.
void shell_pace_rounds(struct shell *sh, clock_ms_t now);

/// Tells, at most once a second, that something took long.
void shell_log_if_slow(clock_ms_t *logged_at, const char *what, clock_ms_t since, clock_ms_t bound);

/// Tells, once a second, what the last one was spent on.
void shell_log_load(struct shell *sh, clock_ms_t now);

#endif
