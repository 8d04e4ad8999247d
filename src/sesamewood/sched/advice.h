#ifndef SESAMEWOOD_SCHED_ADVICE_H
#define SESAMEWOOD_SCHED_ADVICE_H

/// @file
/// Placement advice: which endpoints may run a step. A request names a bounded number of
/// endpoints, so a step that finds no place at those that are known to be allowed asks about
/// others, until all of its pool are known. Tickets are reused while they are valid.

#include "manager/manager_internal.h"
#include "sched/place.h"

/// Frees a struct advice; fits GDestroyNotify.
void advice_free(void *advice);

/// Sets the tickets of candidates for a step.
///
/// @param candidates of struct place_candidate
/// @return true if at least one candidate has a valid ticket
bool advice_set_tickets(struct manager *m, clock_ms_t now, const char *step_name,
			GArray *candidates);

/// Requests advice for a step that has tasks left to place, unless a request of the step is open,
/// too many of all steps are, or all candidates are known.
void advice_request(struct manager *m, clock_ms_t now, const char *step_name,
		    const struct place_request *q, const GArray *candidates);

/// Handles the result of an advice request.
void advice_handle_answer(struct manager *m, clock_ms_t now, const struct pending_order *p,
			  const struct order_result *result);

/// Drops what is known of an endpoint that has refused a ticket.
void advice_forget_endpoint(struct manager *m, const char *endpoint);

/// Drops the advice for steps that are no longer placed.
void advice_forget_unused(struct manager *m, clock_ms_t now);

#endif
