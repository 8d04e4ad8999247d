#ifndef SESAMEWOOD_CONTROL_SESSIONS_H
#define SESAMEWOOD_CONTROL_SESSIONS_H

/// @file
/// Leases of entries: attaching, renewing, and what an entry is told.

#include "control/control_defs.h"

/// Encodes a command and appends it to the log.
///
/// @return its index, or 0 when this replica isn't the leader
uint64_t control_propose(struct control *c, const sw_command *command);

/// Adds a reply to be sent, with token and procedure filled in.
struct control_reply *control_add_reply(struct control *c, uint64_t token, uint32_t proc);

/// Handles a renewal and answers it.
void sessions_renew(struct control *c, clock_ms_t now, uint64_t token, const sw_renew_args *args);

/// @return whether every live entry has applied the view at @p index, or its lease is over
bool sessions_in_force(const struct control *c, clock_ms_t now, uint64_t index);

void session_free(void *session);

#endif
