#ifndef SESAMEWOOD_SCHED_COOLDOWN_H
#define SESAMEWOOD_SCHED_COOLDOWN_H

/// @file
/// Recent machine orders, and the cooldown that keeps leaders from ordering the same machine in
/// turns. Each order is recorded in the replicated log before it is sent. While there are recent
/// orders, the leader also records time marks, so that its successor can tell how old they are
/// without comparing clocks.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct manager;
struct cooldown;

/// Added to the lease of the holder of machine orders: covers clock rates and orders that wait for
/// a connection.
#define HOLDER_MARGIN_MS 500

/// Creates the record of a new leader.
///
/// @param ordered   machines ordered lately, oldest first, with time marks; see struct jobs
/// @param now       start of the leadership; earlier leaders send nothing from then on
/// @param seen_at   when this replica had received the latest entry of @p ordered
/// @param lease_ms  least time between orders of different leaders for one machine
/// @return the record; release with cooldown_free()
struct cooldown *cooldown_new(const GPtrArray *ordered, clock_ms_t now, clock_ms_t seen_at,
			      uint32_t lease_ms);
void cooldown_free(struct cooldown *c);

/// Tells whether an earlier leader may have sent an order for a machine less than the lease ago.
bool cooldown_applies(const struct cooldown *c, const char *machine, clock_ms_t now);

/// Proposes the record of an order that is about to be sent.
void cooldown_record_order(struct manager *m, clock_ms_t now, const char *machine);

/// Proposes a time mark when one is due.
void cooldown_tick(struct manager *m, clock_ms_t now);

#endif
