#ifndef SESAMEWOOD_SCHED_WAVES_H
#define SESAMEWOOD_SCHED_WAVES_H

/// @file
/// Maintenance waves: which machine goes down next. Answers the load of a wave over almost half
/// of the machines while jobs go on: idle machines first, short work is let end, lasting tasks
/// keep their budget, never more than the cap at once.

#include "manager/manager_internal.h"

/// Sends upkeep orders that are due, and keeps machines free for the next ones.
void waves_tick(struct manager *m, clock_ms_t now, clock_ms_t wall);

/// Handles the result of an upkeep order.
void waves_result(struct manager *m, clock_ms_t now, const struct pending *p,
		  const struct order_result *result);

/// Notes that an endpoint reported from a machine.
void waves_announced(struct manager *m, clock_ms_t now, const char *machine,
		     int64_t incarnation_wall_ms);

/// @return whether a wave is complete
bool waves_is_complete(const job_wave *wave);

#endif
