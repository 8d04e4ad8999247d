#ifndef SESAMEWOOD_ENTRY_INTERNAL_H
#define SESAMEWOOD_ENTRY_INTERNAL_H

/// @file
/// Functions that the source files of the entry's reducer share.

#include "entry/entry.h"

/// Appends an effect, zeroed except for its type and id.
///
/// @return the effect, owned by the entry
struct entry_effect *entry_add_effect(struct entry *e, enum entry_effect_type type, uint64_t id);

/* dispatch.c: queue, choice of an instance, retries. */

/// Serves the waiters of a pool's queue as far as slots allow. If requests remain, asks another
/// entry for slots.
void dispatch_pool_queue(struct entry *e, clock_ms_t now, struct pool_state *pool);
/// Puts a request at the end of its pool's queue.
void dispatch_enqueue(struct entry *e, clock_ms_t now, struct request *r);
/// Handles ENTRY_EVENT_ATTEMPT_DONE: completes, retries or rejects the request.
void dispatch_handle_attempt_done(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Handles ENTRY_EVENT_CANCEL: aborts the attempt, if any, and removes the request.
void dispatch_cancel(struct entry *e, clock_ms_t now, uint64_t id);
/// Rejects queued requests past their deadline. Rejects all of them without a lease or after their
/// pool was removed.
void dispatch_expire_waiters(struct entry *e, clock_ms_t now);
/// Answers a request with a problem document of the entry's own, closes its claim and removes it.
///
/// @param title static string
void dispatch_reject(struct entry *e, struct request *r, uint32_t http_status, const char *title);
/// @param r request to run, whose tried instances are skipped; NULL: for a loan
/// @return the owned instance with a free slot and the lowest cost, or NULL
struct instance *dispatch_select_instance(struct entry *e, clock_ms_t now, struct pool_state *pool,
					  const struct request *r);
/// Must be called after a slot of an owned instance was freed: acknowledges a revocation without
/// delay once the instance is idle.
void dispatch_handle_freed_slot(struct entry *e, struct instance *i);

/* requests.c: arrival, claims of idempotency keys. */

/// Handles ENTRY_EVENT_REQUEST: routes the request, then claims its key or queues it.
void requests_handle_new(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Handles ENTRY_EVENT_CLAIM_RESULT.
void requests_handle_claim_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Closes the claim of a request with the given state. Does nothing for a request without a claim.
void requests_close_claim(struct entry *e, const struct request *r, sw_claim_state state);
/// Frees a request, which must not be queued or hold a slot.
void requests_remove(struct entry *e, struct request *r);

/* loans.c: slots lent between entries. */

/// Asks the next entry that owns instances of the pool for slots, unless enough calls are open.
void loans_borrow(struct entry *e, clock_ms_t now, struct pool_state *pool);
/// Handles ENTRY_EVENT_BORROW_RESULT: the reply of a lender.
void loans_handle_borrow_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Handles ENTRY_EVENT_BORROW_CALL: queues another entry's call until slots are free.
void loans_handle_borrow_call(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Handles ENTRY_EVENT_RETURN_CALL: frees the slots that a borrower returns.
void loans_handle_return_call(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Lends free slots to a waiting borrower, which then leaves the queue.
///
/// @return false if no slot is free; the borrower keeps waiting
bool loans_grant(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w);
/// Returns an unused borrowed slot to its lender, and frees it.
void loans_return(struct entry *e, struct pool_state *pool, struct borrowed_slot *loan);
/// Reclaims lent slots past their limit, replies to borrowers that waited too long, and returns
/// unused borrowed slots.
void loans_expire(struct entry *e, clock_ms_t now);
/// @return a free, unexpired borrowed slot whose instance the request has not tried, or NULL
struct borrowed_slot *loans_select_slot(struct pool_state *pool, clock_ms_t now,
					const struct entry *e, const struct request *r);
/// Frees a struct borrowed_slot.
void loans_free_borrowed(void *loan);

/* view.c: view of the fleet, lease renewals, heartbeats of endpoints. */

/// @return the pool's state, created if there is none; owned by the entry
struct pool_state *view_get_pool(struct entry *e, const char *name);
/// Handles ENTRY_EVENT_RENEW_RESULT: applies control's reply to the view and the lease.
void view_handle_renew_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Sends a renewal if one is due or urgent and none is in flight.
void view_renew_if_due(struct entry *e, clock_ms_t now);
/// Handles ENTRY_EVENT_HEARTBEAT: replies to the endpoint, and keeps the heartbeat for the next
/// renewal if it reports a new incarnation or that the endpoint is leaving.
void view_handle_heartbeat(struct entry *e, const struct entry_event *event);
/// Frees a struct instance; accepts NULL.
void view_instance_free(void *instance);

#endif
