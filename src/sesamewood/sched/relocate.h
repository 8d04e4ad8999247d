#ifndef SESAMEWOOD_SCHED_RELOCATE_H
#define SESAMEWOOD_SCHED_RELOCATE_H

/// @file
/// Moves long-running tasks away from machines that are due for maintenance, one task at a time. A
/// machine with tasks of several steps otherwise has to wait for a moment when all of their
/// availability budgets have room. The task has to end for the maintenance anyway, so this adds no
/// end. The machine keeps taking other work until it goes down.

#include "manager/manager_internal.h"

/// Stops long-running tasks on due machines: as many as their availability budgets allow and as fit
/// on machines of their pool that are not due. Needs m->due_machines and m->endpoint_by_machine of
/// this evaluation.
///
/// @return number of tasks stopped
unsigned int relocate_tasks(struct manager *m, clock_ms_t now);

/// Takes capacity, in the present placement round, for the tasks that are being stopped, so that no
/// other work gets it before they start again. Call it before the round places anything.
void relocate_hold_capacity(struct manager *m);

#endif
