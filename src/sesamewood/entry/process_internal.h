#ifndef SESAMEWOOD_ENTRY_PROCESS_INTERNAL_H
#define SESAMEWOOD_ENTRY_PROCESS_INTERNAL_H

/// @file
/// The entry's process: event loop and I/O around the reducer of entry.h. main.c starts and stops
/// it. process_callers.c, process_peers.c and process_effects.c turn input into events for the
/// reducer. process_effects.c executes the reducer's effects, with process_responses.c and
/// process_peers.c.

#include "base/http_server.h"
#include "base/metrics.h"
#include "entry/control_client.h"
#include "entry/entry.h"
#include "entry/response_cache.h"
#include "entry/upstream.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

#include <ev.h>

/// A caller's request and its response, until the response is sent.
struct exchange {
	uint64_t id;
	struct http_request *http;
	struct upstream_response *response; ///< NULL until the endpoint has responded
	clock_ms_t arrived_at;
	bool has_key;
	sw_key key;	 ///< hash of the Idempotency-Key header
	uint64_t digest; ///< of target and body; 0 without a key
	char *pool;	 ///< of the last attempt, like instance and epoch; NULL before the first
	char *instance;
	uint64_t epoch;
};

struct process {
	struct ev_loop *loop;
	struct entry *entry;
	struct http_server *caller_server;
	struct http_server *admin_server;
	struct upstream *upstream;
	struct control_client *control;
	struct response_cache *response_cache;
	GHashTable *exchanges;	   ///< struct exchange by id
	GHashTable *pending_calls; ///< rpc_request or http_request that the reducer will reply to,
				   ///< by token
	GHashTable *peers;	   ///< struct rpc_client by address
	uint64_t next_id;	   ///< last one used for an exchange or a token
	uint64_t n_responses;	   ///< counted only when some are logged
	int64_t log_sample;	   ///< logs one request in this many; 0: none
	ev_prepare before_wait;
	ev_timer tick;
	ev_timer drain_lag; ///< from SIGTERM until the balancer has noticed failing health checks
	ev_timer exit_check;
	ev_signal terminate;
	bool executing_effects;
	bool draining;
	struct metric *verdicts[3]; ///< by enum verdict
	struct metric *queue_wait_ms;
	struct metric *attempts;
	struct metric *borrow_calls;
	struct metric *claims;
};

/* process_effects.c */

extern const struct upstream_handlers process_upstream_handlers;
extern const struct control_client_handlers process_control_client_handlers;

/// Passes an event to the reducer and executes the effects. A call made while effects are executed
/// only adds effects, which the outer call executes.
void process_step(struct process *p, const struct entry_event *event);

/* process_responses.c */

/// Frees a struct exchange.
void process_exchange_free(void *exchange);

/// @return the exchange with that id, owned by the process, or NULL
struct exchange *process_find_exchange(struct process *p, uint64_t id);

/// Sends a caller a problem document, and frees the exchange.
void process_send_problem(struct process *p, struct exchange *x, unsigned int status,
			  const char *title, enum verdict v);

/// Sends a caller the endpoint's response, and frees the exchange. Caches the response if the
/// request has a key.
void process_send_response(struct process *p, uint64_t id);

/// Sends a caller the cached response of an earlier request with the same key, from this entry or
/// another. Sends a problem document if it is no longer cached or the other entry doesn't reply.
void process_fetch_response(struct process *p, const struct entry_effect *e);

/* process_peers.c */

/// @return the client of another entry, created on the first call; owned by the process
struct rpc_client *process_peer_client(struct process *p, const char *address);
/// Executes ENTRY_EFFECT_BORROW. The reply becomes ENTRY_EVENT_BORROW_RESULT.
void process_borrow(struct process *p, const struct entry_effect *e);
/// Executes ENTRY_EFFECT_RETURN_LOAN. A lost call isn't repeated: the lender reclaims the slot
/// later.
void process_return_loan(struct process *p, const struct entry_effect *e);
/// Executes ENTRY_EFFECT_REPLY_BORROW.
void process_reply_borrow(struct process *p, const struct entry_effect *e);

/// Stores a call until the reducer replies to it.
///
/// @return token for process_remove_pending_call()
uint64_t process_add_pending_call(struct process *p, void *call);

/// @return the call, to which the caller must reply; NULL for an unknown token
void *process_remove_pending_call(struct process *p, uint64_t token);

/// Handles the RPCs of other entries.
void process_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args);

/* process_callers.c */

extern const struct http_handlers process_caller_handlers;
extern const struct http_handlers process_admin_handlers;

#endif
