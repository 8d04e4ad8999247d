#ifndef SESAMEWOOD_MANAGER_OVERLOAD_H
#define SESAMEWOOD_MANAGER_OVERLOAD_H

/// @file
/// Admission control of a leader that lags. After an outage all callers return at once, and each
/// retries while it waits: work for requests whose callers have timed out must not delay the work
/// already accepted. No I/O, no clock.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

struct overload {
	bool refusing;		    ///< new work is refused
	clock_ms_t next_slot;	    ///< when the next refused caller may retry
	GHashTable *refused;	    ///< struct refusal by job id; owned
	clock_ms_t callers_read_at; ///< when all callers' connections were last read
	clock_ms_t next_cleanup_at; ///< next removal of expired entries of refused
};

/// Returns a state that admits all work; release with overload_free().
struct overload *overload_new(void);
void overload_free(struct overload *o);

/// Updates the admission state from the leader's lag.
///
/// @return whether new work is refused
bool overload_update(struct overload *o, clock_ms_t now, clock_ms_t lag_ms);

/// Refuses a job.
///
/// @param lag_ms lag of the leader
/// @return Retry-After for the caller, seconds; callers refused earlier retry earlier
uint32_t overload_refuse(struct overload *o, clock_ms_t now, clock_ms_t lag_ms, const char *job);

/// Refuses a job until a queue has room. Unlike after overload_refuse(), whose reason may pass at
/// any time, the job is refused again until its Retry-After has passed.
///
/// @param next_slot  when the next caller refused for that queue may retry; updated
/// @param room_in_ms time until the queue has room
/// @param slot_ms    time in which the queue has room for one more job
/// @return Retry-After for the caller, seconds; callers refused earlier retry earlier
uint32_t overload_refuse_until_room(struct overload *o, clock_ms_t *next_slot, clock_ms_t now,
				    clock_ms_t room_in_ms, clock_ms_t slot_ms, const char *job);

/// Refuses a delayed copy of a request that was refused, or a retry before its Retry-After.
///
/// @return Retry-After, seconds; the job is refused again until it has passed
uint32_t overload_refuse_again(struct overload *o, clock_ms_t now, const char *job);

/// Records that all callers' connections have been read.
void overload_record_callers_read(struct overload *o, clock_ms_t now);

/// Returns whether a request for a job may be an earlier one, delayed, than one that was refused:
/// its caller cannot have retried yet, or a connection has not been read since. It must be refused
/// too, or a job reported as not run would run.
bool overload_was_refused(const struct overload *o, clock_ms_t now, const char *job);

#endif
