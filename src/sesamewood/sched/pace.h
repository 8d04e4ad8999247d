#ifndef SESAMEWOOD_SCHED_PACE_H
#define SESAMEWOOD_SCHED_PACE_H

/// @file
/// Execution rate of best-effort tasks next to latency-sensitive tasks. Slows best-effort tasks
/// that push the response times of a latency-sensitive task over its target.

#include "runs/endpoint.h"

#define PACE_FULL 100U /* percent */

/// Sets the wanted pace of the best-effort tasks at one endpoint from its latest usage figures.
void pace_update_endpoint(struct endpoint *e, clock_ms_t now);

/// @return the next pace of a best-effort task, percent
///
/// @param pace present pace, percent
/// @param latency_percent worst tail latency of the latency-sensitive tasks at the endpoint, in
/// percent of their target; 0: there are none
uint32_t pace_next(uint32_t pace, uint32_t latency_percent);

#endif
