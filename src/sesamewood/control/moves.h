#ifndef SESAMEWOOD_CONTROL_MOVES_H
#define SESAMEWOOD_CONTROL_MOVES_H

/// @file
/// Brings every instance to the pool and entry where it belongs: grants, revocations, moves.

#include "control/control_defs.h"

/// Proposes what is due. Only for a leader that leads at @p now.
void moves_decide(struct control *c, clock_ms_t now);

/// Updates what is known of the health of instances.
void moves_update_health(struct control *c, clock_ms_t now);

#endif
