#ifndef SESAMEWOOD_MANAGER_HEARTBEAT_CACHE_H
#define SESAMEWOOD_MANAGER_HEARTBEAT_CACHE_H

/// @file
/// Endpoints' reports at a replica that does not lead. One that tells the leader something new is
/// passed on and acknowledged only once the leader took it. The others are acknowledged here, and
/// the leader is told a few times a second, together, that they were heard. Answers the load of
/// over a thousand endpoints that report every second or two, nearly always the same.

#include "manager/manager_defs.h"

struct reports;

struct reports *heartbeat_cache_new(void);
void heartbeat_cache_free(struct reports *r);

/// Takes a report.
///
/// @param term of the leader that would be told
/// @return true: the leader knows what it says, acknowledge it here; false: pass it on
bool heartbeat_cache_accept(struct reports *r, clock_ms_t now, uint64_t term,
			    const struct endpoint_heartbeat *a);

/// The leader of a term took a report that was passed on.
void heartbeat_cache_record_forwarded(struct reports *r, clock_ms_t now, uint64_t term,
				      const struct endpoint_heartbeat *a);

/// Lists what was heard since the last call.
///
/// @return struct short_heartbeat; ids borrow until the next call of any function here
GArray *heartbeat_cache_take_batch(struct reports *r, clock_ms_t now);

/// The leader of a term took a list.
///
/// @param unknown endpoints that it wants a whole report of
void heartbeat_cache_record_batch_reply(struct reports *r, clock_ms_t now, uint64_t term,
					char *const *unknown, unsigned int n);

#define HEARTBEAT_BATCH_PERIOD_MS 250 /* a sixth of the usual period of reports */

#endif
