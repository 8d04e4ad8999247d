#include "control/policy.h"

#include <math.h>

#define DEMAND_DECAY_MS 1500.0	///< time constant of the exponential decay of demand
#define TARGET_UTILIZATION 0.95 ///< of the slots, when instances are planned
#define QUEUE_WAIT_MIN_MS 50	///< no wait below this counts as too long
#define SLOTS_DEFAULT 8		///< slots of an instance, for a pool with none that serves
#define EQUAL_WEIGHT_SHARE 0.5	///< move_weight / (move_weight + buffer_weight) when both are equal
#define QUEUED_DEMAND_SHARE 0.3 ///< share of the queued requests that counts as demand

/// Smoothed demand of a pool, in slots.
struct demand {
	double level; ///< follows an increase at once; decays exponentially
	clock_ms_t updated_at;
};

struct policy {
	GHashTable *demands; ///< struct demand by pool name
};

struct policy *policy_new(void)
{
	struct policy *p = g_new0(struct policy, 1);

	p->demands = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void policy_free(struct policy *p)
{
	g_hash_table_unref(p->demands);
	g_free(p);
}

/// Updates the smoothed demand of a pool with its current load.
///
/// @return demand in slots
static double update_demand(struct policy *p, clock_ms_t now, const struct policy_pool *pool)
{
	struct demand *d = g_hash_table_lookup(p->demands, pool->config->name);
	double current = pool->in_use + QUEUED_DEMAND_SHARE * pool->queued;

	if (!d) {
		d = g_new0(struct demand, 1);
		d->updated_at = now;
		g_hash_table_insert(p->demands, g_strdup(pool->config->name), d);
	}
	if (current >= d->level)
		d->level = current;
	else
		d->level = current + (d->level - current) *
					     exp(-(double)(now - d->updated_at) / DEMAND_DECAY_MS);
	d->updated_at = now;
	return d->level;
}

static double slots_per_instance(const struct policy_pool *pool)
{
	return pool->serving ? (double)pool->slots / pool->serving : SLOTS_DEFAULT;
}

/// @return number of instances that serve the demand at TARGET_UTILIZATION, at least min_instances
static int wanted_instances(const struct policy_pool *pool, double demand)
{
	int n = (int)ceil(demand / (slots_per_instance(pool) * TARGET_UTILIZATION));

	return MAX(n, (int)pool->config->min_instances);
}

/// Returns how long requests of a pool may wait before a move is worth its cost, in ms: 0 unless
/// move_weight exceeds buffer_weight (the cost of idle instances), else a share of the pool's
/// latency objective.
static double queue_wait_limit_ms(const struct pool *config)
{
	double weights = config->move_weight + config->buffer_weight;
	double share = weights > 0 ? config->move_weight / weights : 0;

	return MAX(share - EQUAL_WEIGHT_SHARE, 0) * config->objective_ms;
}

/// Returns true if requests have waited for longer than the limit of their pool or, where the limit
/// is 0, if requests are queued and all slots are in use.
static bool lacks_capacity(const struct policy_pool *pool)
{
	double limit_ms = queue_wait_limit_ms(pool->config);
	bool slots_exhausted = pool->in_use + pool->queued > pool->slots;
	bool waits_too_long = pool->oldest_wait_ms >= MAX(limit_ms, QUEUE_WAIT_MIN_MS);

	return pool->config->borrow && pool->queued &&
	       (waits_too_long || (slots_exhausted && limit_ms <= 0));
}

/// @return index of the pool to take an instance from, or -1: pools marked as spare first, then the
///         one with the largest surplus
static int best_donor(const struct policy_pool *pools, const int *surplus, unsigned int n, int to)
{
	int best = -1;

	for (unsigned int i = 0; i < n; i++) {
		bool spare = pools[i].config->spare;

		if ((int)i == to || !pools[i].config->lend || surplus[i] <= 0)
			continue;
		if (best < 0 || (spare && !pools[best].config->spare) ||
		    (spare == pools[best].config->spare && surplus[i] > surplus[best]))
			best = (int)i;
	}
	return best;
}

unsigned int policy_decide(struct policy *p, clock_ms_t now, const struct policy_pool *pools,
			   unsigned int n_pools, struct policy_move *moves)
{
	g_autofree int *deficit = g_new0(int, n_pools);
	g_autofree int *surplus = g_new0(int, n_pools);
	unsigned int n = 0;

	for (unsigned int i = 0; i < n_pools; i++) {
		int target = wanted_instances(&pools[i], update_demand(p, now, &pools[i]));

		deficit[i] = target - (int)(pools[i].serving + pools[i].arriving);
		surplus[i] = (int)pools[i].serving - target;
	}
	for (unsigned int i = 0; i < n_pools; i++) {
		if (!lacks_capacity(&pools[i]))
			continue;
		while (deficit[i] > 0 && n < POLICY_MOVES_MAX) {
			int donor = best_donor(pools, surplus, n_pools, (int)i);

			if (donor < 0)
				break;
			moves[n++] = (struct policy_move){.from = donor, .to = i, .count = 1};
			surplus[donor]--;
			deficit[i]--;
		}
	}
	return n;
}
