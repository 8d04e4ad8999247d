#ifndef SESAMEWOOD_CONTROL_POLICY_H
#define SESAMEWOOD_CONTROL_POLICY_H

/// @file
/// Decides how many instances move between which pools on demand. It does no I/O and reads no
/// clock; struct policy keeps the smoothed demand of each pool between calls. Design:
/// docs/design/policy.md.

#include "base/clock.h"
#include "base/tables.h"

#define POLICY_MOVES_MAX 64 ///< moves of one decision

/// Current capacity and load of a pool.
struct policy_pool {
	const struct pool *config;
	uint32_t serving;	 ///< instances granted to an entry and not suspected
	uint32_t arriving;	 ///< instances that move to this pool
	uint32_t slots;		 ///< request slots of the serving instances
	uint32_t in_use;	 ///< slots in use
	uint32_t queued;	 ///< requests that wait for a slot
	uint32_t oldest_wait_ms; ///< longest time that a queued request has waited
};

struct policy_move {
	uint32_t from;	///< index in the array of pools
	uint32_t to;	///< likewise
	uint32_t count; ///< instances to move
};

struct policy;

/// @return released with policy_free()
struct policy *policy_new(void);
void policy_free(struct policy *p);

/// Updates the demand of all pools and chooses moves from pools with surplus capacity to pools that
/// lack it.
///
/// @param[out] moves array of at least POLICY_MOVES_MAX elements
/// @return number of moves written to @p moves
unsigned int policy_decide(struct policy *p, clock_ms_t now, const struct policy_pool *pools,
			   unsigned int n_pools, struct policy_move *moves);

#endif
