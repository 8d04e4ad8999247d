#ifndef SESAMEWOOD_ENTRY_CONTROL_CLIENT_H
#define SESAMEWOOD_ENTRY_CONTROL_CLIENT_H

/// @file
/// Calls of an entry to control: finds the leader, batches claims, watches for changes.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <ev.h>
#include <stdbool.h>

struct control_client;

struct control_client_handlers {
	/// @param reply NULL when there was none
	void (*on_renewed)(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply);
	/// The view at control is newer than the last one handed over.
	void (*on_change)(void *ctx);
	/// @param result NULL when the claim's outcome is unknown
	void (*on_claim)(void *ctx, uint64_t id, const sw_claim_result *result);
};

/// @param addresses RPC addresses of the control replicas, in the order of their nodes 1, 2, …
struct control_client *control_client_new(struct ev_loop *loop, char **addresses,
					  const struct control_client_handlers *handlers,
					  void *ctx);

/// Renews the lease.
void control_client_renew(struct control_client *l, const sw_renew_args *args);

/// Queues a claim, or the end of one; queued ones are sent together. The claim's attempt is the
/// id that on_claim gets. Ends are repeated until control has answered.
void control_client_queue_claim(struct control_client *l, const sw_claim *claim);

/// Sends what is queued; call at the end of a batch of events.
void control_client_flush(struct control_client *l);

/// Keeps one call open at the leader that returns when something has changed.
void control_client_watch(struct control_client *l, const char *entry, uint64_t session,
			  uint64_t have_index);

#endif
