#ifndef SESAMEWOOD_CONTROL_ADMIN_H
#define SESAMEWOOD_CONTROL_ADMIN_H

/// @file
/// The administration API, which the leader serves from its state. Paths and documents:
/// docs/formats.md.

#include "control/control_defs.h"

/// Handles a request. The reply is added at once or, for a table change, when its command is
/// applied.
void admin_handle(struct control *c, clock_ms_t now, uint64_t token, const sw_admin_args *args);

/// Adds the reply to a table change whose command was applied.
void admin_complete_put(struct control *c, uint64_t token, const struct fleet_outcome *outcome);

/// Adds the reply to a table change that was pending when leadership was lost: whether its command
/// is committed is unknown.
void admin_fail_put(struct control *c, uint64_t token);

#endif
