#include "control/policy.h"

#include <math.h>

#define DEMAND_DECAY_MS 1500.0
#define TARGET_UTILIZATION 0.95
#define QUEUE_WAIT_MIN_MS 50
#define SLOTS_DEFAULT 8
#define EQUAL_WEIGHT_SHARE 0.5	///< of moves in both weights, when they weigh alike
#define QUEUED_DEMAND_SHARE 0.3 ///< of the requests that wait, counted as lasting demand

/// Demand of one pool over time, in slots.
struct demand {
	double level; ///< follows rises at once and falls slowly
	clock_ms_t at;
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

static double update_demand(struct policy *p, clock_ms_t now, const struct policy_pool *pool)
{
	struct demand *d = g_hash_table_lookup(p->demands, pool->config->name);
	double current = pool->in_use + QUEUED_DEMAND_SHARE * pool->queued;

	if (!d) {
		d = g_new0(struct demand, 1);
		d->at = now;
		g_hash_table_insert(p->demands, g_strdup(pool->config->name), d);
	}
	if (current >= d->level)
		d->level = current;
	else
		d->level = current +
			   (d->level - current) * exp(-(double)(now - d->at) / DEMAND_DECAY_MS);
	d->at = now;
	return d->level;
}

static double slots_per_instance(const struct policy_pool *pool)
{
	return pool->serving ? (double)pool->slots / pool->serving : SLOTS_DEFAULT;
}

/// @return instances that serve the demand at the planned utilisation
static int wanted(const struct policy_pool *pool, double demand)
{
	int n = (int)ceil(demand / (slots_per_instance(pool) * TARGET_UTILIZATION));

	return MAX(n, (int)pool->config->min_instances);
}

/// @return how long requests of a pool may wait before it is worth a move: nothing, unless moves
///         weigh more than idle instances; then a share of its latency objective, ms
static double queue_wait_limit_ms(const struct pool *config)
{
	double sum = config->move_weight + config->buffer_weight;
	double share = sum > 0 ? config->move_weight / sum : 0;

	return MAX(share - EQUAL_WEIGHT_SHARE, 0) * config->objective_ms;
}

/// Tells whether requests wait for longer than the pool's patience, or, where it has none,
/// although every slot is taken.
static bool lacks_capacity(const struct policy_pool *pool)
{
	double patience = queue_wait_limit_ms(pool->config);
	bool all_busy = pool->in_use + pool->queued > pool->slots;
	bool late = pool->oldest_wait_ms >= MAX(patience, QUEUE_WAIT_MIN_MS);

	return pool->config->borrow && pool->queued && (late || (all_busy && patience <= 0));
}

/// @return the pool that can spare most: spare pools first, then by slack; or -1
static int best_donor(const struct policy_pool *pools, const int *slack, unsigned int n, int to)
{
	int best = -1;

	for (unsigned int i = 0; i < n; i++) {
		bool spare = pools[i].config->spare;

		if ((int)i == to || !pools[i].config->lend || slack[i] <= 0)
			continue;
		if (best < 0 || (spare && !pools[best].config->spare) ||
		    (spare == pools[best].config->spare && slack[i] > slack[best]))
			best = (int)i;
	}
	return best;
}

unsigned int policy_decide(struct policy *p, clock_ms_t now, const struct policy_pool *pools,
			   unsigned int n_pools, struct policy_move *moves)
{
	g_autofree int *need = g_new0(int, n_pools);
	g_autofree int *slack = g_new0(int, n_pools);
	unsigned int n = 0;

	for (unsigned int i = 0; i < n_pools; i++) {
		int goal = wanted(&pools[i], update_demand(p, now, &pools[i]));

		need[i] = goal - (int)(pools[i].serving + pools[i].arriving);
		slack[i] = (int)pools[i].serving - goal;
	}
	for (unsigned int i = 0; i < n_pools; i++) {
		if (!lacks_capacity(&pools[i]))
			continue;
		while (need[i] > 0 && n < POLICY_MOVES_MAX) {
			int from = best_donor(pools, slack, n_pools, (int)i);

			if (from < 0)
				break;
			moves[n++] = (struct policy_move){.from = from, .to = i, .count = 1};
			slack[from]--;
			need[i]--;
		}
	}
	return n;
}
