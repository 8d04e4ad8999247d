#ifndef SESAMEWOOD_BASE_TABLES_H
#define SESAMEWOOD_BASE_TABLES_H

/// @file
/// The two tables that operators edit, routes and pools: parsing, validation and lookup. Their
/// format is in docs/formats.md.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <inttypes.h>

#define TABLES_DEADLINE_MAX_MS 30000
#define TABLES_DEADLINE_DEFAULT_MS 10000

enum route_idempotent {
	ROUTE_BY_METHOD, ///< the request's method decides, as HTTP defines it
	ROUTE_IDEMPOTENT,
	ROUTE_NOT_IDEMPOTENT,
};

/// One row of the routes table. A request matches when host, path prefix, method and header all
/// match; an empty field matches every request.
struct route {
	char *name;
	char *host;
	char *path_prefix;
	char *method;
	char *header_name;
	char *header_value;
	char *pool;
	uint32_t deadline_ms; ///< limit on the whole request, retries included
	uint32_t retries;     ///< maximum number of retries
	enum route_idempotent idempotent;
};

/// One row of the pools table.
struct pool {
	char *name;
	char **instances; ///< glob patterns of instance names, NULL-terminated
	uint32_t max_out; ///< instances that voluntary moves may take out at once
	uint32_t
		max_out_percent; ///< the same in percent of home instances; the smaller one applies
	uint32_t min_instances;	 ///< smallest number of instances that lending leaves
	uint32_t min_zones;	 ///< voluntary moves leave instances in at least this many zones
	bool spare;		 ///< the pool lends before other pools
	bool lend;		 ///< the pool may lend instances
	bool borrow;		 ///< the pool may borrow instances
	double buffer_weight;
	double move_weight;
	uint32_t queue_max;	///< maximum number of requests waiting at one entry
	double objective_share; ///< share of requests to be answered within objective_ms
	uint32_t objective_ms;	///< latency objective
};

/// Both tables. A process that uses only one of them leaves the other empty.
struct tables {
	GPtrArray *routes;	  ///< of struct route
	GPtrArray *pools;	  ///< of struct pool
	GHashTable *pool_by_name; ///< of struct pool, owned by pools
};

/// Parses and validates a routes table.
///
/// @param[out] errors array of owned strings in the form "JSON path: message"
/// @return new array of struct route, or NULL when there are errors
GPtrArray *tables_parse_routes(const char *json, size_t len, GPtrArray *errors);

/// Parses and validates a pools table; see tables_parse_routes().
GPtrArray *tables_parse_pools(const char *json, size_t len, GPtrArray *errors);

/// Checks that every route refers to an existing pool, and adds an error for each that does not.
void tables_check_references(GPtrArray *routes, GPtrArray *pools, GPtrArray *errors);

/// @return empty tables; release with tables_free()
struct tables *tables_new(void);
void tables_free(struct tables *t);

/// Replaces one table, and takes ownership of the array.
void tables_set_routes(struct tables *t, GPtrArray *routes);
void tables_set_pools(struct tables *t, GPtrArray *pools);

/// @return the pool of that name, or NULL
const struct pool *tables_find_pool(const struct tables *t, const char *name);

/// @return the home pool of an instance: the first with a pattern that matches its name, or NULL
const struct pool *tables_home_pool(const struct tables *t, const char *instance);

#endif
