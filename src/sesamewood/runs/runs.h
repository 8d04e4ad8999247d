#ifndef SESAMEWOOD_RUNS_RUNS_H
#define SESAMEWOOD_RUNS_RUNS_H

/// @file
/// Communication with endpoints: starts attempts, monitors them through status queries, stops them,
/// and releases them once they have certainly ended.

#include "manager/manager_internal.h"

/// Duration of the lease that each status query and start order grants. Shorter than the allowed
/// recovery times, but long enough to cover an election and the new leader's first status query.
#define ENDPOINT_LEASE_MS 4500

/// Records an attempt of a waiting task and sends its start order.
///
/// @param ticket placement ticket, or "" when the step needs none
void runs_start(struct manager *m, clock_ms_t now, struct endpoint *e, struct job *job,
		const job_task_ref *ref, uint32_t attempt, const char *ticket);

/// Handles the result of a start, stop, status query or pace order.
void runs_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			const struct order_result *result);

/// Sends status queries, stops and pace orders that are due, and releases attempts that have
/// certainly ended.
void runs_tick(struct manager *m, clock_ms_t now);

#endif
