#ifndef SESAMEWOOD_CONTROL_POLICY_H
#define SESAMEWOOD_CONTROL_POLICY_H

/// @file
/// Decides how many instances move between which pools. Pure: what it learns over time stands in
/// its own state. Design: docs/design/policy.md.

#include "base/clock.h"
#include "base/tables.h"

#define POLICY_MOVES_MAX 64

/// What is known of one pool.
struct policy_pool {
	const struct pool *config;
	uint32_t serving;  ///< instances that take requests
	uint32_t arriving; ///< instances on their way in
	uint32_t slots;	   ///< of all serving instances
	uint32_t in_use;   ///< slots in use
	uint32_t queued;   ///< requests that wait
	uint32_t oldest_wait_ms;
};

struct policy_move {
	uint32_t from; ///< index of a pool
	uint32_t to;
	uint32_t count;
};

struct policy;

struct policy *policy_new(void);
void policy_free(struct policy *p);

/// @param[out] moves at least POLICY_MOVES_MAX elements
/// @return number of moves wanted now
unsigned int policy_decide(struct policy *p, clock_ms_t now, const struct policy_pool *pools,
			   unsigned int n_pools, struct policy_move *moves);

#endif
