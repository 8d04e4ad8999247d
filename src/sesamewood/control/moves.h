#ifndef SESAMEWOOD_CONTROL_MOVES_H
#define SESAMEWOOD_CONTROL_MOVES_H

/// @file
/// Evaluates every instance and proposes the grants, revocations and moves that bring it to its
/// desired pool and to an entry.

#include "control/control_defs.h"

/// Runs an evaluation and proposes the commands that are due. Called only while this replica holds
/// the leader lease at @p now.
void moves_evaluate(struct control *c, clock_ms_t now);

/// Returns the maximum time that a request may run after its start, in ms by control's clock. It
/// includes an allowance for entries whose clocks run at a different rate.
clock_ms_t moves_request_max_ms(const struct control *c);

/// Records a heartbeat at @p now for an instance that registered: one that is new, restarted or
/// leaves.
void moves_record_registration(struct control *c, clock_ms_t now, const sw_instance *instance);

/// Updates the health of all instances: suspicion, probation, and since when they are dirty.
void moves_update_health(struct control *c, clock_ms_t now);

#endif
