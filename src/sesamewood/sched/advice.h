#ifndef SESAMEWOOD_SCHED_ADVICE_H
#define SESAMEWOOD_SCHED_ADVICE_H

/// @file
/// Which endpoints the advisor lets run a step: one call a step, its tickets reused while valid.

#include "manager/manager_internal.h"

void advice_free(void *advice);

/// Fills in the tickets of candidates for a step; asks the advisor when none are known.
///
/// @param candidates of struct place_candidate
/// @return false while the advisor has not answered
bool advice_set_tickets(struct manager *m, clock_ms_t now, const char *step_name,
			GArray *candidates);

/// Handles the advisor's answer.
void advice_answered(struct manager *m, clock_ms_t now, const struct pending *p,
		     const struct order_result *result);

#endif
