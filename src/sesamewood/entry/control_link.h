#ifndef SESAMEWOOD_ENTRY_CONTROL_LINK_H
#define SESAMEWOOD_ENTRY_CONTROL_LINK_H

/// @file
/// Calls of an entry to control: finds the leader, batches claims, watches for changes.

#include "base/clock.h"
#include "rpc/generated/sesamewood.h"

#include <ev.h>
#include <stdbool.h>

struct control_link;

struct control_link_handlers {
	/// @param reply NULL when there was none
	void (*on_renewed)(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply);
	/// The view at control is newer than the last one handed over.
	void (*on_change)(void *ctx);
	/// @param result NULL when the claim's outcome is unknown
	void (*on_claim)(void *ctx, uint64_t id, const sw_claim_result *result);
};

/// @param addresses RPC addresses of the control replicas, in the order of their nodes 1, 2, …
struct control_link *control_link_new(struct ev_loop *loop, char **addresses,
				      const struct control_link_handlers *handlers, void *ctx);

/// Renews the lease.
void control_link_renew(struct control_link *l, const sw_renew_args *args);

/// Queues a claim, or the end of one; queued ones are sent together. The claim's attempt is the
/// id that on_claim gets. Ends are repeated until control has answered.
void control_link_claim(struct control_link *l, const sw_claim *claim);

/// Sends what is queued; call at the end of a batch of events.
void control_link_flush(struct control_link *l);

/// Keeps one call open at the leader that returns when something has changed.
void control_link_watch(struct control_link *l, const char *entry, uint64_t session,
			uint64_t applied_view_index);

#endif
