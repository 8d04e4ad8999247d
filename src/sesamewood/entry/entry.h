#ifndef SESAMEWOOD_ENTRY_ENTRY_H
#define SESAMEWOOD_ENTRY_ENTRY_H

/// @file
/// The reducer of an entry: events in, effects out. No I/O, no clock of its own.

#include "entry/entry_defs.h"

struct entry *entry_new(const struct entry_settings *settings, clock_ms_t now);
void entry_free(struct entry *e);

/// Handles one event; effects gather in entry_take_effects().
void entry_step(struct entry *e, clock_ms_t now, const struct entry_event *event);

/// @return array of struct entry_effect gathered since the last call
GPtrArray *entry_take_effects(struct entry *e);

/// Tells whether the session lease holds, so that requests may be started.
bool entry_has_lease(const struct entry *e, clock_ms_t now);

/// Tells whether an entry may start a request on an instance at that epoch; checked again right
/// before the request is sent.
bool entry_may_send(const struct entry *e, clock_ms_t now, uint64_t id, uint32_t attempt);

/// @return requests that are claimed, queued or running
unsigned int entry_open_requests(const struct entry *e);

#endif
