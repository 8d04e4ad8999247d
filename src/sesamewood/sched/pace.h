#ifndef SESAMEWOOD_SCHED_PACE_H
#define SESAMEWOOD_SCHED_PACE_H

/// @file
/// How fast tasks that fill may work beside tasks that serve. Answers the load of fillers that
/// push the response times of a serving task over its target.

#include "runs/endpoint.h"

#define PACE_FULL 100U

/// Sets the wanted pace of the fillers of one endpoint from its latest usage figures.
void pace_update_endpoint(struct endpoint *e, clock_ms_t now);

/// Next pace of a filler.
///
/// @param pace present pace, percent
/// @param strain_percent worst tail of the serving tasks beside it, in percent of the target;
///        0: nothing serves there
uint32_t pace_next(uint32_t pace, uint32_t latency_percent);

#endif
