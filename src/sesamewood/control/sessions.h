#ifndef SESAMEWOOD_CONTROL_SESSIONS_H
#define SESAMEWOOD_CONTROL_SESSIONS_H

/// @file
/// Sessions of entries: attaching, renewal of leases, and the view that entries are sent.

#include "control/control_defs.h"

/// Encodes a command and appends it to the log.
///
/// @return index of its record, or 0 when this replica is not the leader or the command cannot be
/// encoded
uint64_t control_propose(struct control *c, const sw_command *command);

/// Adds a reply with token and procedure filled in; the caller fills in the rest.
///
/// @return owned by the list of replies
struct control_reply *control_add_reply(struct control *c, uint64_t token, uint32_t proc);

/// Handles an entry's renewal and adds the reply: the new lease, and what changed in the view. The
/// status is SW_BUSY until the session is recorded in the log.
void sessions_renew(struct control *c, clock_ms_t now, uint64_t token, const sw_renew_args *args);

/// @return true if every entry with a valid lease has applied the view at @p index
bool sessions_in_force(const struct control *c, clock_ms_t now, uint64_t index);

/// Releases a struct session.
void session_free(void *session);

#endif
