#ifndef SESAMEWOOD_SCHED_HEALTH_H
#define SESAMEWOOD_SCHED_HEALTH_H

/// @file
/// Decides which endpoints get new work by their recent failures. Without this, an endpoint that
/// quickly fails or refuses every task would attract all waiting tasks.

#include "runs/endpoint.h"

/// Heartbeat periods without a heartbeat after which an endpoint is unresponsive. With fewer, a
/// single lost heartbeat would count.
#define MISSED_HEARTBEATS_MAX 3

/// Records a completed attempt: clears the failures.
void health_record_success(struct endpoint *e);

/// Records a failed attempt. From the second counted failure on, the endpoint is quarantined, each
/// time for twice as long, up to a limit.
///
/// @param job     id of the job whose attempt failed; consecutive failures of one job count once,
/// since the job itself may cause them
/// @param long_running long-running tasks are expected to fail at times, so their failures do not
/// count
void health_record_failure(struct endpoint *e, clock_ms_t now, const char *job, bool long_running);

/// Records a temporarily refused start: avoids the endpoint briefly.
void health_record_refusal(struct endpoint *e, clock_ms_t now);

/// Records an unanswered start: avoids the endpoint for one call timeout.
void health_record_no_answer(struct endpoint *e, clock_ms_t now);

/// Tells whether an endpoint may get new work.
///
/// @param max_silence_ms time without a heartbeat after which it gets none
bool health_is_eligible(const struct endpoint *e, clock_ms_t now, clock_ms_t max_silence_ms);

/// Tells whether an endpoint is quarantined after recent failures or refusals.
bool health_is_quarantined(const struct endpoint *e, clock_ms_t now);

/// Tells whether an endpoint is on probation after failures: it gets one task at a time.
bool health_is_on_probation(const struct endpoint *e);

#endif
