#ifndef SESAMEWOOD_ENTRY_INTERNAL_H
#define SESAMEWOOD_ENTRY_INTERNAL_H

/// @file
/// Functions that the parts of the entry's reducer call in each other.

#include "entry/entry.h"

struct entry_effect *entry_add_effect(struct entry *e, enum entry_effect_type type, uint64_t id);

/* dispatch.c */

/// Starts what can be started in a pool, and borrows slots for the rest.
void dispatch_pool_queue(struct entry *e, clock_ms_t now, struct pool_state *pool);
/// Puts a request at the end of its pool's queue.
void dispatch_enqueue(struct entry *e, clock_ms_t now, struct request *r);
void dispatch_handle_attempt_done(struct entry *e, clock_ms_t now, const struct entry_event *event);
void dispatch_cancel(struct entry *e, clock_ms_t now, uint64_t id);
/// Refuses what waited too long, or everything without a lease.
void dispatch_expire_waiters(struct entry *e, clock_ms_t now);
/// Answers a request by sesamewood itself and forgets it.
void dispatch_reject(struct entry *e, struct request *r, uint32_t http_status, const char *title);
/// @return the owned instance that a request should run on, or NULL
struct instance *dispatch_select_instance(struct entry *e, clock_ms_t now, struct pool_state *pool,
					  const struct request *r);
/// Tells the reducer that a slot of an owned instance was freed.
void dispatch_handle_freed_slot(struct entry *e, struct instance *i);

/* requests.c */

void requests_handle_new(struct entry *e, clock_ms_t now, const struct entry_event *event);
void requests_handle_claim_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Ends the claim of a request, if it has one.
void requests_close_claim(struct entry *e, const struct request *r, sw_claim_state state);
void requests_remove(struct entry *e, struct request *r);

/* loans.c */

void loans_borrow(struct entry *e, clock_ms_t now, struct pool_state *pool);
void loans_handle_borrow_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
void loans_handle_borrow_call(struct entry *e, clock_ms_t now, const struct entry_event *event);
void loans_handle_return_call(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Grants slots to a waiting peer.
///
/// @return whether the waiter was answered
bool loans_grant(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w);
/// Gives back an unused loan.
void loans_return(struct entry *e, struct pool_state *pool, struct borrowed_slot *loan);
/// Handles expired loans and waiting peers.
void loans_expire(struct entry *e, clock_ms_t now);
/// @return a free borrowed slot whose instance the request has not tried, or NULL
struct borrowed_slot *loans_select_slot(struct pool_state *pool, clock_ms_t now,
					const struct entry *e, const struct request *r);
void loans_free_borrowed(void *loan);

/* view.c */

struct pool_state *view_get_pool(struct entry *e, const char *name);
void view_handle_renew_result(struct entry *e, clock_ms_t now, const struct entry_event *event);
void view_renew_if_due(struct entry *e, clock_ms_t now);
void view_handle_heartbeat(struct entry *e, const struct entry_event *event);
void view_instance_free(void *instance);

#endif
