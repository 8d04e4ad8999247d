#ifndef SESAMEWOOD_ENTRY_ENTRY_H
#define SESAMEWOOD_ENTRY_ENTRY_H

/// @file
/// The reducer of an entry: takes events and returns effects as data. It does no I/O and gets the
/// time from its caller (monotonic, ms).

#include "entry/entry_defs.h"

/// Copies the settings. Release the entry with entry_free().
struct entry *entry_new(const struct entry_settings *settings, clock_ms_t now);
void entry_free(struct entry *e);

/// Handles one event. Effects collect until entry_take_effects() is called.
void entry_step(struct entry *e, clock_ms_t now, const struct entry_event *event);

/// @return array of struct entry_effect collected since the last call; the caller owns it, and
/// g_ptr_array_unref() releases the effects too
GPtrArray *entry_take_effects(struct entry *e);

/// Returns true if the session lease is valid; without it no request may be sent to an endpoint.
bool entry_has_lease(const struct entry *e, clock_ms_t now);

/// Returns true if an attempt may still be sent: it is the current attempt of its request, and the
/// lease and the loan, if any, are valid. The caller checks this right before it sends the request,
/// because both may have expired since the reducer started the attempt.
bool entry_may_send(const struct entry *e, clock_ms_t now, uint64_t id, uint32_t attempt);

/// @return number of requests that are claiming, queued or running
unsigned int entry_open_requests(const struct entry *e);

#endif
