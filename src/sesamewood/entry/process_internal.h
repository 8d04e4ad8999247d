#ifndef SESAMEWOOD_ENTRY_PROCESS_INTERNAL_H
#define SESAMEWOOD_ENTRY_PROCESS_INTERNAL_H

/// @file
/// State of an entry's process around its reducer, and the functions that its parts call in each
/// other: main.c starts and stops; process_callers.c, process_peers.c and process_effects.c bring
/// events; process_effects.c carries effects out, through process_answers.c and process_peers.c.

#include "base/http_server.h"
#include "base/metrics.h"
#include "entry/response_cache.h"
#include "entry/control_client.h"
#include "entry/entry.h"
#include "entry/upstream.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

#include <ev.h>

/// A caller's request on its way through this process.
struct exchange {
	uint64_t id;
	struct http_request *http;
	struct upstream_response *answer;
	clock_ms_t arrived_at;
	bool keyed;
	sw_key key;
	uint64_t digest;
	char *pool;
	char *instance;
	uint64_t epoch;
};

struct process {
	struct ev_loop *loop;
	struct entry *entry;
	struct http_server *callers;
	struct http_server *admin;
	struct upstream *upstream;
	struct control_client *control;
	struct answers *answers;
	GHashTable *exchanges; ///< struct exchange by id
	GHashTable *calls;     ///< waiting rpc_request or http_request by token
	GHashTable *peers;     ///< struct rpc_client by address
	uint64_t next_id;
	uint64_t requests;
	int64_t log_sample;
	ev_prepare before_wait;
	ev_timer tick;
	ev_timer lag;
	ev_timer exit_check;
	ev_signal terminate;
	bool working; ///< effects are being carried out
	bool draining;
	struct metric *verdicts[3];
	struct metric *queue_wait_ms;
	struct metric *attempts;
	struct metric *loans;
	struct metric *claims;
};

/* process_effects.c */

extern const struct upstream_handlers process_upstream_handlers;
extern const struct control_client_handlers process_control_client_handlers;

/// Hands an event to the reducer and carries out what follows.
void process_step(struct process *sh, const struct entry_event *event);

/* process_answers.c */

void process_exchange_free(void *exchange);

/// @return the caller's request of that id, or NULL
struct exchange *process_find_exchange(struct process *sh, uint64_t id);

/// Answers a caller with a problem document and forgets its request.
void process_send_problem(struct process *sh, struct exchange *x, unsigned int status,
			  const char *title, enum verdict v);

/// Gives a caller the endpoint's answer.
void process_send_response(struct process *sh, uint64_t id);

/// Gives a caller the answer that an earlier request with its key got, here or at another entry.
void process_fetch_response(struct process *sh, const struct entry_effect *e);

/* process_peers.c */

/// @return the client of another entry, kept
struct rpc_client *process_peer_client(struct process *sh, const char *address);
void process_borrow(struct process *sh, const struct entry_effect *e);
void process_return_loan(struct process *sh, const struct entry_effect *e);
void process_reply_borrow(struct process *sh, const struct entry_effect *e);

/// Keeps a call that waits for the reducer.
///
/// @return token by which process_remove_pending_call() finds it
uint64_t process_add_pending_call(struct process *sh, void *call);

/// @return the call, which is no longer kept, or NULL
void *process_remove_pending_call(struct process *sh, uint64_t token);

void process_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args);

/* process_callers.c */

extern const struct http_handlers process_caller_handlers;
extern const struct http_handlers process_admin_handlers;

#endif
