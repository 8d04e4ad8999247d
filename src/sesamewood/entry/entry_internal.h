#ifndef SESAMEWOOD_ENTRY_INTERNAL_H
#define SESAMEWOOD_ENTRY_INTERNAL_H

/// @file
/// Functions that the parts of the entry's reducer call in each other.

#include "entry/entry.h"

struct entry_effect *entry_add_effect(struct entry *e, enum entry_effect_type type, uint64_t id);

/* dispatch.c */

/// Starts what can be started in a pool, and borrows slots for the rest.
void dispatch_pump(struct entry *e, clock_ms_t now, struct pool_state *pool);
/// Puts a request at the end of its pool's queue.
void dispatch_enqueue(struct entry *e, clock_ms_t now, struct request *r);
void dispatch_finish(struct entry *e, clock_ms_t now, const struct entry_event *event);
void dispatch_cancel(struct entry *e, clock_ms_t now, uint64_t id);
/// Refuses what waited too long, or everything without a lease.
void dispatch_expire(struct entry *e, clock_ms_t now);
/// Answers a request by sesamewood itself and forgets it.
void dispatch_refuse(struct entry *e, struct request *r, uint32_t http_status, const char *title);
/// @return the owned instance that a request should run on, or NULL
struct instance *dispatch_choose(struct entry *e, clock_ms_t now, struct pool_state *pool,
				 const struct request *r);
/// Tells the reducer that a slot of an owned instance was freed.
void dispatch_slot_freed(struct entry *e, struct instance *i);

/* requests.c */

void requests_start(struct entry *e, clock_ms_t now, const struct entry_event *event);
void requests_claimed(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Ends the claim of a request, if it has one.
void requests_end_claim(struct entry *e, const struct request *r, sw_claim_state state);
void requests_forget(struct entry *e, struct request *r);

/* loans.c */

void loans_borrow(struct entry *e, clock_ms_t now, struct pool_state *pool);
void loans_received(struct entry *e, clock_ms_t now, const struct entry_event *event);
void loans_lend(struct entry *e, clock_ms_t now, const struct entry_event *event);
void loans_returned(struct entry *e, clock_ms_t now, const struct entry_event *event);
/// Grants slots to a waiting peer.
///
/// @return whether the waiter was answered
bool loans_grant(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w);
/// Gives back an unused loan.
void loans_give_back(struct entry *e, struct pool_state *pool, struct held_loan *loan);
/// Handles expired loans and waiting peers.
void loans_expire(struct entry *e, clock_ms_t now);
/// @return a free borrowed slot whose instance the request has not tried, or NULL
struct held_loan *loans_choose(struct pool_state *pool, clock_ms_t now, const struct entry *e,
			       const struct request *r);
void loans_free_held(void *loan);

/* view.c */

struct pool_state *view_pool(struct entry *e, const char *name);
void view_apply(struct entry *e, clock_ms_t now, const struct entry_event *event);
void view_renew(struct entry *e, clock_ms_t now);
void view_announce(struct entry *e, const struct entry_event *event);
void view_instance_free(void *instance);

#endif
