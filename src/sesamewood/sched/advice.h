#ifndef SESAMEWOOD_SCHED_ADVICE_H
#define SESAMEWOOD_SCHED_ADVICE_H

/// @file
/// Placement advice: which endpoints may run a step. Sends one request per step and reuses its
/// tickets while they are valid.

#include "manager/manager_internal.h"

/// Frees a struct advice; fits GDestroyNotify.
void advice_free(void *advice);

/// Sets the tickets of candidates for a step. Requests advice when no valid tickets are known.
///
/// @param candidates of struct place_candidate
/// @return false while no valid advice is available
bool advice_set_tickets(struct manager *m, clock_ms_t now, const char *step_name,
			GArray *candidates);

/// Handles the result of an advice request.
void advice_handle_answer(struct manager *m, clock_ms_t now, const struct pending_order *p,
			  const struct order_result *result);

#endif
