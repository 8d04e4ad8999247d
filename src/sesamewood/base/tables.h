#ifndef SESAMEWOOD_BASE_TABLES_H
#define SESAMEWOOD_BASE_TABLES_H

/// @file
/// The two tables that operators edit: routes and pools. Format: docs/formats.md.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#define TABLES_DEADLINE_MAX_MS 30000
#define TABLES_DEADLINE_DEFAULT_MS 10000

enum route_idempotent {
	ROUTE_BY_METHOD, ///< as HTTP defines it for the request's method
	ROUTE_IDEMPOTENT,
	ROUTE_NOT_IDEMPOTENT,
};

/// One row of the routes table. Empty match fields match everything.
struct route {
	char *name;
	char *host;
	char *path_prefix;
	char *method;
	char *header_name;
	char *header_value;
	char *pool;
	uint32_t deadline_ms;
	uint32_t retries;
	enum route_idempotent idempotent;
};

/// One row of the pools table.
struct pool {
	char *name;
	char **instances;	  ///< glob patterns of instance names, NULL-terminated
	uint32_t max_out;	  ///< instances that may be out at once by voluntary acts
	uint32_t max_out_percent; ///< share of home instances; the smaller of both holds
	uint32_t min_instances;	  ///< never lends below this many
	uint32_t min_zones;	  ///< voluntary acts keep instances in this many zones
	bool spare;		  ///< gives its instances first
	bool lend;
	bool borrow;
	double buffer_weight;
	double move_weight;
	uint32_t queue_max;	///< requests waiting at one entry
	double objective_share; ///< share of requests answered within the latency
	uint32_t objective_ms;
};

/// Both tables, or one of them.
struct tables {
	GPtrArray *routes; ///< of struct route
	GPtrArray *pools;  ///< of struct pool
	GHashTable *pool_by_name;
};

/// Parses and checks a routes table.
///
/// @param[out] faults owned strings "JSON path: what is wrong"
/// @return array of struct route, or NULL when there are faults
GPtrArray *tables_parse_routes(const char *json, size_t len, GPtrArray *faults);

/// Parses and checks a pools table; see tables_parse_routes().
GPtrArray *tables_parse_pools(const char *json, size_t len, GPtrArray *faults);

/// Checks that every route names a pool.
void tables_check_references(GPtrArray *routes, GPtrArray *pools, GPtrArray *faults);

/// @return empty tables
struct tables *tables_new(void);
void tables_free(struct tables *t);

/// Replaces one table; takes ownership of the array.
void tables_set_routes(struct tables *t, GPtrArray *routes);
void tables_set_pools(struct tables *t, GPtrArray *pools);

/// @return the pool of that name, or NULL
const struct pool *tables_find_pool(const struct tables *t, const char *name);

/// @return the first pool with a pattern that matches the instance's name, or NULL
const struct pool *tables_home_pool(const struct tables *t, const char *instance);

#endif
