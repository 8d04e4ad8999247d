#ifndef SESAMEWOOD_ENTRY_CONTROL_CLIENT_H
#define SESAMEWOOD_ENTRY_CONTROL_CLIENT_H

/// @file
/// RPC client of an entry for the control replicas: follows the leader, batches claims, and watches
/// for changes.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <ev.h>
#include <stdbool.h>

struct control_client;

struct control_client_handlers {
	/// A renewal has ended.
	///
	/// @param sent_at when the renewal was sent; the granted lease starts at this time
	/// @param reply valid during the call; NULL if there was none
	void (*on_renewed)(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply);
	/// Control has a newer view than the one that the watch call named.
	void (*on_change)(void *ctx);
	/// A claim has ended.
	///
	/// @param id the claim's field "attempt"
	/// @param result valid during the call; NULL if the claim's outcome is unknown
	void (*on_claim)(void *ctx, uint64_t id, const sw_claim_result *result);
};

/// @param addresses RPC addresses of the control replicas, NULL-terminated, in the order of their
/// nodes 1, 2, …
/// @param handlers must outlive the client
struct control_client *control_client_new(struct ev_loop *loop, char **addresses,
					  const struct control_client_handlers *handlers,
					  void *ctx);

/// Sends a lease renewal; its end is reported to on_renewed.
void control_client_renew(struct control_client *c, const sw_renew_args *args);

/// Queues a copy of a claim. Queued claims are sent in batches by control_client_flush().
///
/// A claim with state SW_CLAIM_OPEN is sent once and reported to on_claim. Any other state closes a
/// claim: it is sent again until control replies, 500 times at most, and isn't reported.
void control_client_queue_claim(struct control_client *c, const sw_claim *claim);

/// Sends the queued claims, unless sending is paused after a failed call or too many calls are
/// open. Call it at the end of a batch of events.
void control_client_flush(struct control_client *c);

/// Opens a long-polling call to the leader that returns when its view is newer than
/// @p applied_view_index; then calls on_change. Does nothing while such a call is open.
void control_client_watch(struct control_client *c, const char *entry, uint64_t session,
			  uint64_t applied_view_index);

#endif
