#ifndef SESAMEWOOD_RUNS_INCARNATIONS_H
#define SESAMEWOOD_RUNS_INCARNATIONS_H

/// @file
/// Lives of endpoints: what they report of themselves, and what an earlier leader left behind.

#include "manager/manager_internal.h"

/// Adds what an earlier leader left: endpoints and attempts of unknown state.
void incarnations_inherit(struct manager *m, clock_ms_t now);

/// @return the endpoint of that id, also when it has departed, or NULL
struct endpoint *incarnations_find_endpoint(struct manager *m, const char *id);

/// Forgets departed endpoints that have been silent for long.
void incarnations_forget_terminated(struct manager *m, clock_ms_t now);

/// Handles an endpoint's report.
void incarnations_handle_heartbeat(struct manager *m, clock_ms_t now, const struct announcement *a);

/// Handles that an endpoint has reported at another replica what this leader knows.
///
/// @return false: it does not know, and wants the whole report
bool incarnations_handle_short_heartbeat(struct manager *m, clock_ms_t now,
					 const struct sighting *s);

/// Handles an endpoint's last word.
void incarnations_handle_deregistration(struct manager *m, clock_ms_t now,
					const struct announcement *a);

/// The first reading of a clock bounds what an earlier leader may have granted, also by an order
/// that meant an earlier life and its clock: endpoints shorten what is longer.
void incarnations_bound_earlier_lease(const struct manager *m, struct endpoint *e);

/// An endpoint started again under its id. What was confirmed to run is over; an order that has
/// had no answer may still be executed by the new life, and is stopped there.
void incarnations_handle_restart(struct manager *m, clock_ms_t now, struct endpoint *e,
				 int64_t born_wall_ms);

#endif
