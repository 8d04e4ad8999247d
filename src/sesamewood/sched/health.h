#ifndef SESAMEWOOD_SCHED_HEALTH_H
#define SESAMEWOOD_SCHED_HEALTH_H

/// @file
/// Which endpoints get new work, by their own record. Answers the load of an endpoint that fails
/// or refuses everything at once and would otherwise draw all waiting tasks to itself.

#include "runs/endpoint.h"

/// Announcements in a row that may be missing; with fewer one lost on its way makes a gap.
#define MISSED_HEARTBEATS_MAX 3

void health_record_success(struct endpoint *e);
/// @param job     whose attempt failed; one job's failures in a row count once, since they may be
///                the job's own fault
/// @param lasting the task fails now and then by contract
void health_record_failure(struct endpoint *e, clock_ms_t now, const char *job, bool long_running);
/// A start was refused for now.
void health_record_refusal(struct endpoint *e, clock_ms_t now);
/// A start had no answer.
void health_record_no_answer(struct endpoint *e, clock_ms_t now);

/// Tells whether an endpoint may get new work at all.
///
/// @param silent_ms silence after which it may not
bool health_is_eligible(const struct endpoint *e, clock_ms_t now, clock_ms_t silent_ms);

/// Tells whether an eligible endpoint is set aside for a while by its record.
bool health_is_quarantined(const struct endpoint *e, clock_ms_t now);

/// Tells whether an endpoint with a bad record is on trial: it gets one task at a time.
bool health_is_on_probation(const struct endpoint *e);

#endif
