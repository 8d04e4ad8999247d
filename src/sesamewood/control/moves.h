#ifndef SESAMEWOOD_CONTROL_MOVES_H
#define SESAMEWOOD_CONTROL_MOVES_H

/// @file
/// Brings every instance to the pool and entry where it belongs: grants, revocations, moves.

#include "control/control_defs.h"

/// Proposes what is due. Only for a leader that leads at @p now.
void moves_evaluate(struct control *c, clock_ms_t now);

/// @return the longest time, on control's clock, that a request may run after its start, ms
clock_ms_t moves_request_max_ms(const struct control *c);

/// Notes that an instance announced itself to control, which it does when it is new or comes back.
void moves_record_registration(struct control *c, clock_ms_t now, const sw_instance *instance);

/// Updates what is known of the health of instances.
void moves_update_health(struct control *c, clock_ms_t now);

#endif
