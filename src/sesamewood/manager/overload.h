#ifndef SESAMEWOOD_MANAGER_OVERLOAD_H
#define SESAMEWOOD_MANAGER_OVERLOAD_H

/// @file
/// What a leader that is behind refuses. Answers the load after an outage, when all callers come
/// back at once and each comes again while it waits: work for callers who have left must not keep
/// the leader from what it has accepted. Pure: no I/O, no clock.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

struct overload {
	bool refuses;
	clock_ms_t next_slot; ///< when the next refused caller may come back
	GHashTable *refused;  ///< clock_ms_t by job id: refused until then; owned
	clock_ms_t sweep_at;
};

struct overload *overload_new(void);
void overload_free(struct overload *o);

/// Notes how far the leader is behind.
///
/// @return whether it refuses new work
bool overload_update(struct overload *o, clock_ms_t now, clock_ms_t lag_ms);

/// Refuses a job.
///
/// @param lag_ms how far the leader is behind
/// @return when the caller may come back, seconds; those refused first come back first
uint32_t overload_refuse(struct overload *o, clock_ms_t now, clock_ms_t lag_ms, const char *job);

/// Tells whether a job was refused so lately that its caller can't have come back: an earlier try
/// that arrives only now must be refused, too, or what was said to be not run would run.
bool overload_was_refused(const struct overload *o, clock_ms_t now, const char *job);

#endif
