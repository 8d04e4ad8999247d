#ifndef SESAMEWOOD_CONTROL_ADMIN_H
#define SESAMEWOOD_CONTROL_ADMIN_H

/// @file
/// The administration API on the leader's state. Paths and shapes: docs/formats.md.

#include "control/control_defs.h"

/// Handles a request; answers at once, or after its command is applied.
void admin_handle(struct control *c, clock_ms_t now, uint64_t token, const sw_admin_args *args);

/// Answers a put whose command was applied.
void admin_complete_put(struct control *c, uint64_t token, const struct fleet_outcome *outcome);

/// Answers a put whose command was lost with the leadership: its outcome is unknown.
void admin_fail_put(struct control *c, uint64_t token);

#endif
