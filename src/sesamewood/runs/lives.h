#ifndef SESAMEWOOD_RUNS_LIVES_H
#define SESAMEWOOD_RUNS_LIVES_H

/// @file
/// Lives of endpoints: what they report of themselves, and what an earlier leader left behind.

#include "manager/manager_internal.h"

/// Adds what an earlier leader left: endpoints and attempts of unknown state.
void lives_inherit(struct manager *m, clock_ms_t now);

/// @return the endpoint of that id, also when it has terminated_endpoints, or NULL
struct endpoint *lives_find(struct manager *m, const char *id);

/// Forgets terminated_endpoints endpoints that have been silent for long.
void lives_forget(struct manager *m, clock_ms_t now);

/// Handles an endpoint's report.
void lives_announced(struct manager *m, clock_ms_t now, const struct endpoint_heartbeat *a);

/// Handles that an endpoint has reported at another replica what this leader knows.
///
/// @return false: it does not know, and wants the whole report
bool lives_sighted(struct manager *m, clock_ms_t now, const struct short_heartbeat *s);

/// Handles an endpoint's last word.
void lives_left(struct manager *m, clock_ms_t now, const struct endpoint_heartbeat *a);

/// The first reading of a clock bounds what an earlier leader may have granted, also by an order
/// that meant an earlier life and its clock: endpoints shorten what is longer.
void lives_bound_earlier_lease(const struct manager *m, struct endpoint *e);

/// An endpoint started again under its id. What was confirmed to run is over; an order that has
/// had no answer may still be executed by the new life, and is stopped there.
void lives_reborn(struct manager *m, clock_ms_t now, struct endpoint *e,
		  int64_t incarnation_wall_ms);

#endif
