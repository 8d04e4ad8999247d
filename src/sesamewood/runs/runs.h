#ifndef SESAMEWOOD_RUNS_RUNS_H
#define SESAMEWOOD_RUNS_RUNS_H

/// @file
/// The endpoint link: attempts are ordered, watched through looks, stopped, and released once it
/// is certain that they are over.

#include "manager/manager_internal.h"

/// Lease that each look gives. Shorter than any recovery bound; long enough to outlast an
/// election and the first look of a new leader.
#define ENDPOINT_LEASE_MS 4500

/// Orders an attempt of a waiting task.
///
/// @param ticket advice ticket, or ""
void runs_start(struct manager *m, clock_ms_t now, struct endpoint *e, const struct job *job,
		const job_task_ref *ref, uint32_t attempt, const char *ticket);

/// Handles the result of a start, stop, look or pace order.
void runs_handle_result(struct manager *m, clock_ms_t now, const struct pending *p,
			const struct order_result *result);

/// Sends looks, stops and pace orders that are due; releases what is certainly over.
void runs_tick(struct manager *m, clock_ms_t now);

#endif
