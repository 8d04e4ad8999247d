#ifndef SESAMEWOOD_MANAGER_HEARTBEAT_CACHE_H
#define SESAMEWOOD_MANAGER_HEARTBEAT_CACHE_H

/// @file
/// Cache of the heartbeats that the leader knows, at a replica that does not lead. A heartbeat with
/// new content is forwarded and acknowledged only after the leader has accepted it. The others are
/// acknowledged by this replica and sent to the leader in batches, four a second. This bounds
/// the leader's load from over a thousand endpoints whose heartbeats arrive every second or two and
/// rarely change.

#include "manager/manager_defs.h"

struct heartbeat_cache;

struct heartbeat_cache *heartbeat_cache_new(void);
void heartbeat_cache_free(struct heartbeat_cache *c);

/// Checks a heartbeat against the cache and adds it to the next batch if it is unchanged.
///
/// @param term term of the current leader
/// @return true if the leader knows its content, so that it may be acknowledged here; false if it
///         must be forwarded
bool heartbeat_cache_accept(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
			    const struct endpoint_heartbeat *hb);

/// Records that the leader of @p term has accepted a forwarded heartbeat.
void heartbeat_cache_record_forwarded(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
				      const struct endpoint_heartbeat *hb);

/// Returns the heartbeats accepted since the last call.
///
/// @return struct short_heartbeat, owned by the caller; the ids are borrowed until the next call
///         of any function of the cache
GArray *heartbeat_cache_take_batch(struct heartbeat_cache *c, clock_ms_t now);

/// Records that the leader of @p term has accepted a batch.
///
/// @param unknown ids of endpoints of which the leader needs a full heartbeat
void heartbeat_cache_record_batch_reply(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
					char *const *unknown, unsigned int n);

#define HEARTBEAT_BATCH_PERIOD_MS 250 /* a sixth of the usual heartbeat period */

#endif
