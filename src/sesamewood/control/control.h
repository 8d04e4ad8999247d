#ifndef SESAMEWOOD_CONTROL_CONTROL_H
#define SESAMEWOOD_CONTROL_CONTROL_H

/// @file
/// The reducer of a control replica: events in, replies and replication effects out. No I/O, no
/// clock of its own.

#include "control/control_defs.h"

/// @param recovered what storage held; taken over
struct control *control_new(const struct control_settings *settings,
			    struct raft_recovered *recovered, clock_ms_t now);
void control_free(struct control *c);

/// Handles one event. Replies gather in control_take_replies(), replication effects in
/// raft_take_effects().
void control_step(struct control *c, clock_ms_t now, const struct control_event *event);

/// @return array of struct control_reply gathered since the last call
GPtrArray *control_take_replies(struct control *c);

#endif
