#ifndef SESAMEWOOD_CONTROL_CONTROL_H
#define SESAMEWOOD_CONTROL_CONTROL_H

/// @file
/// The reducer of a control replica: it takes events, and returns replies and effects of the
/// replicated log as data. It does no I/O and reads no clock.

#include "control/control_defs.h"

/// Creates a replica that starts as a follower.
///
/// @param recovered state from storage; ownership moves to the replica and it is zeroed
/// @return released with control_free()
struct control *control_new(const struct control_settings *settings,
			    struct raft_recovered *recovered, clock_ms_t now);
void control_free(struct control *c);

/// Handles an event. Replies are collected for control_take_replies(), effects of the replicated
/// log for raft_take_effects().
///
/// @param event borrowed for the call
void control_step(struct control *c, clock_ms_t now, const struct control_event *event);

/// @return array of struct control_reply added since the last call, owned by the caller
GPtrArray *control_take_replies(struct control *c);

#endif
