#include "base/tables.h"

#include "base/json_check.h"

#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

#define NAME_MAX_BYTES 64
#define RETRIES_MAX 10
#define INSTANCES_MAX 100000
#define QUEUE_MAX 100000
#define QUEUE_DEFAULT 1000
#define PERCENT_MAX 100
#define WEIGHT_MAX 1000
#define OBJECTIVE_SHARE_DEFAULT 0.99
#define OBJECTIVE_MS_DEFAULT 2000

/// A JSON object that is being read, with its JSON path for error messages.
struct reader {
	JsonObject *object;
	const char *path;
	GPtrArray *errors;
};

static void add_error(const struct reader *r, const char *key, const char *message)
{
	g_ptr_array_add(r->errors, g_strdup_printf("%s.%s: %s", r->path, key, message));
}

static void check_keys(const struct reader *r, const char *const *known)
{
	g_autoptr(GList) keys = json_object_get_members(r->object);

	for (GList *k = keys; k; k = k->next)
		if (!g_strv_contains(known, k->data))
			add_error(r, k->data, "unknown key");
}

static JsonNode *find_member(const struct reader *r, const char *key, bool required)
{
	if (!json_object_has_member(r->object, key)) {
		if (required)
			add_error(r, key, "required");
		return NULL;
	}
	return json_object_get_member(r->object, key);
}

/// @return new string; "" when the member is absent or invalid
static char *read_text(const struct reader *r, const char *key, bool required)
{
	JsonNode *n = find_member(r, key, required);
	const char *text;

	if (!n)
		return g_strdup("");
	if (json_node_get_value_type(n) != G_TYPE_STRING) {
		add_error(r, key, "must be a string");
		return g_strdup("");
	}
	text = json_node_get_string(n);
	if (required && !*text)
		add_error(r, key, "must not be empty");
	if (strlen(text) > NAME_MAX_BYTES)
		add_error(r, key, "longer than 64 bytes");
	return g_strdup(text);
}

/// Reads a whole number; returns @p fallback if it is absent or invalid.
static uint32_t read_number(const struct reader *r, const char *key, int64_t min, int64_t max,
			    int64_t fallback)
{
	JsonNode *n = find_member(r, key, false);
	g_autofree char *message = NULL;
	int64_t value;

	if (!n)
		return fallback;
	message = g_strdup_printf("must be a whole number from %" PRId64 " to %" PRId64, min, max);
	if (json_node_get_value_type(n) != G_TYPE_INT64) {
		add_error(r, key, message);
		return fallback;
	}
	value = json_node_get_int(n);
	if (value < min || value > max) {
		add_error(r, key, message);
		return fallback;
	}
	return value;
}

static double read_real(const struct reader *r, const char *key, double max, double fallback)
{
	JsonNode *n = find_member(r, key, false);
	double value;

	if (!n)
		return fallback;
	if (json_node_get_value_type(n) != G_TYPE_DOUBLE &&
	    json_node_get_value_type(n) != G_TYPE_INT64) {
		add_error(r, key, "must be a number");
		return fallback;
	}
	value = json_node_get_double(n);
	if (!isfinite(value) || value < 0 || value > max) {
		g_autofree char *message = g_strdup_printf("must be a number from 0 to %g", max);

		add_error(r, key, message);
		return fallback;
	}
	return value;
}

static int read_bool(const struct reader *r, const char *key, int fallback)
{
	JsonNode *n = find_member(r, key, false);

	if (!n)
		return fallback;
	if (json_node_get_value_type(n) != G_TYPE_BOOLEAN) {
		add_error(r, key, "must be true or false");
		return fallback;
	}
	return json_node_get_boolean(n);
}

static JsonObject *read_object(const struct reader *r, const char *key)
{
	JsonNode *n = find_member(r, key, false);

	if (!n)
		return NULL;
	if (JSON_NODE_HOLDS_OBJECT(n))
		return json_node_get_object(n);
	add_error(r, key, "must be an object");
	return NULL;
}

static char **read_patterns(const struct reader *r, const char *key)
{
	g_autoptr(GStrvBuilder) out = g_strv_builder_new();
	JsonNode *n = find_member(r, key, true);
	JsonArray *array;

	if (n && !JSON_NODE_HOLDS_ARRAY(n)) {
		add_error(r, key, "must be a list of strings");
		n = NULL;
	}
	array = n ? json_node_get_array(n) : NULL;
	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *item = json_array_get_element(array, i);
		g_autofree char *item_path = g_strdup_printf("%s[%u]", key, i);

		if (json_node_get_value_type(item) != G_TYPE_STRING || !*json_node_get_string(item))
			add_error(r, item_path, "must be a non-empty string");
		else if (strlen(json_node_get_string(item)) > NAME_MAX_BYTES)
			add_error(r, item_path, "longer than 64 bytes");
		else
			g_strv_builder_add(out, json_node_get_string(item));
	}
	return g_strv_builder_end(out);
}

static void route_free(void *p)
{
	struct route *route = p;

	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_free(route->method);
	g_free(route->header_name);
	g_free(route->header_value);
	g_free(route->pool);
	g_free(route);
}

static void pool_free(void *p)
{
	struct pool *pool = p;

	g_free(pool->name);
	g_strfreev(pool->instances);
	g_free(pool);
}

static void read_header_match(const struct reader *match, struct route *route)
{
	static const char *const known[] = {"name", "value", NULL};
	g_autofree char *path = g_strconcat(match->path, ".header", NULL);
	struct reader header = {
		.object = read_object(match, "header"),
		.path = path,
		.errors = match->errors,
	};

	if (!header.object)
		return;
	check_keys(&header, known);
	g_free(route->header_name);
	g_free(route->header_value);
	route->header_name = read_text(&header, "name", true);
	route->header_value = read_text(&header, "value", true);
}

static void read_match(const struct reader *r, struct route *route)
{
	static const char *const known[] = {"host", "path_prefix", "method", "header", NULL};
	g_autofree char *path = g_strconcat(r->path, ".match", NULL);
	struct reader match = {
		.object = read_object(r, "match"),
		.path = path,
		.errors = r->errors,
	};
	g_autoptr(JsonObject) empty = json_object_new();

	if (!match.object)
		match.object = empty;
	check_keys(&match, known);
	route->host = read_text(&match, "host", false);
	route->path_prefix = read_text(&match, "path_prefix", false);
	route->method = read_text(&match, "method", false);
	route->header_name = g_strdup("");
	route->header_value = g_strdup("");
	read_header_match(&match, route);
	if (*route->path_prefix && *route->path_prefix != '/')
		add_error(&match, "path_prefix", "must start with '/'");
}

static void *read_route(const struct reader *r)
{
	static const char *const known[] = {"name",    "match",	     "pool", "deadline_ms",
					    "retries", "idempotent", NULL};
	struct route *route = g_new0(struct route, 1);
	int idempotent;

	check_keys(r, known);
	route->name = read_text(r, "name", true);
	route->pool = read_text(r, "pool", true);
	route->deadline_ms = read_number(r, "deadline_ms", 1, TABLES_DEADLINE_MAX_MS,
					 TABLES_DEADLINE_DEFAULT_MS);
	route->retries = read_number(r, "retries", 0, RETRIES_MAX, 2);
	idempotent = read_bool(r, "idempotent", -1);
	route->idempotent = idempotent < 0 ? ROUTE_BY_METHOD
			    : idempotent   ? ROUTE_IDEMPOTENT
					   : ROUTE_NOT_IDEMPOTENT;
	read_match(r, route);
	return route;
}

static void read_objective(const struct reader *r, struct pool *pool)
{
	static const char *const known[] = {"share", "latency_ms", NULL};
	g_autofree char *path = g_strconcat(r->path, ".objective", NULL);
	struct reader objective = {
		.object = read_object(r, "objective"),
		.path = path,
		.errors = r->errors,
	};

	pool->objective_share = OBJECTIVE_SHARE_DEFAULT;
	pool->objective_ms = OBJECTIVE_MS_DEFAULT;
	if (!objective.object)
		return;
	check_keys(&objective, known);
	pool->objective_share = read_real(&objective, "share", 1, OBJECTIVE_SHARE_DEFAULT);
	pool->objective_ms = read_number(&objective, "latency_ms", 1, TABLES_DEADLINE_MAX_MS,
					 OBJECTIVE_MS_DEFAULT);
}

static void *read_pool(const struct reader *r)
{
	static const char *const known[] = {"name",	     "instances",
					    "max_out",	     "max_out_percent",
					    "min_instances", "min_zones",
					    "spare",	     "lend",
					    "borrow",	     "buffer_weight",
					    "move_weight",   "queue_max",
					    "objective",     NULL};
	struct pool *pool = g_new0(struct pool, 1);

	check_keys(r, known);
	pool->name = read_text(r, "name", true);
	pool->instances = read_patterns(r, "instances");
	pool->max_out = read_number(r, "max_out", 0, INSTANCES_MAX, 1);
	pool->max_out_percent = read_number(r, "max_out_percent", 0, PERCENT_MAX, PERCENT_MAX);
	pool->min_instances = read_number(r, "min_instances", 0, INSTANCES_MAX, 1);
	pool->min_zones = read_number(r, "min_zones", 0, INSTANCES_MAX, 0);
	pool->spare = read_bool(r, "spare", false);
	pool->lend = read_bool(r, "lend", true);
	pool->borrow = read_bool(r, "borrow", true);
	pool->buffer_weight = read_real(r, "buffer_weight", WEIGHT_MAX, 1);
	pool->move_weight = read_real(r, "move_weight", WEIGHT_MAX, 1);
	pool->queue_max = read_number(r, "queue_max", 0, QUEUE_MAX, QUEUE_DEFAULT);
	read_objective(r, pool);
	return pool;
}

/// Reads the rows of a document of the form {"<key>": [row, …]}.
///
/// @return new array, possibly without the rows in error; NULL when there is no list of rows
static GPtrArray *parse_rows(const char *json, size_t len, const char *key,
			     void *(*read_row)(const struct reader *r), GDestroyNotify free_row,
			     GPtrArray *errors)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(free_row);
	const char *const known[] = {key, NULL};
	struct reader top = {.path = "$", .errors = errors};
	JsonNode *list;

	json_check(json, len, errors);
	if (errors->len)
		return NULL;
	if (!json_parser_load_from_data(parser, json, len, NULL) || !json_parser_get_root(parser) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		g_ptr_array_add(errors, g_strdup("$: must be an object"));
		return NULL;
	}
	top.object = json_node_get_object(json_parser_get_root(parser));
	check_keys(&top, known);
	list = find_member(&top, key, true);
	if (list && !JSON_NODE_HOLDS_ARRAY(list))
		add_error(&top, key, "must be a list");
	if (!list || !JSON_NODE_HOLDS_ARRAY(list))
		return NULL;
	for (guint i = 0; i < json_array_get_length(json_node_get_array(list)); i++) {
		JsonNode *n = json_array_get_element(json_node_get_array(list), i);
		g_autofree char *path = g_strdup_printf("$.%s[%u]", key, i);
		struct reader r = {.path = path, .errors = errors};

		if (!JSON_NODE_HOLDS_OBJECT(n)) {
			g_ptr_array_add(errors, g_strdup_printf("%s: must be an object", path));
			continue;
		}
		r.object = json_node_get_object(n);
		g_ptr_array_add(rows, read_row(&r));
	}
	return g_steal_pointer(&rows);
}

/// Adds an error for each duplicate name. The first member of a row's struct is its name.
static void check_unique_names(GPtrArray *rows, const char *key, GPtrArray *errors)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < rows->len; i++) {
		const char *name = *(char *const *)rows->pdata[i];

		if (*name && !g_hash_table_add(seen, (char *)name))
			g_ptr_array_add(errors,
					g_strdup_printf("$.%s[%u].name: duplicate name '%s'", key,
							i, name));
	}
}

GPtrArray *tables_parse_routes(const char *json, size_t len, GPtrArray *errors)
{
	g_autoptr(GPtrArray) rows = parse_rows(json, len, "routes", read_route, route_free, errors);

	if (rows)
		check_unique_names(rows, "routes", errors);
	return errors->len ? NULL : g_steal_pointer(&rows);
}

/// Adds an error for each pattern that is listed twice, in one pool or in two.
static void check_unique_patterns(GPtrArray *pools, GPtrArray *errors)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < pools->len; i++) {
		const struct pool *pool = pools->pdata[i];

		for (guint j = 0; pool->instances[j]; j++)
			if (!g_hash_table_add(seen, pool->instances[j]))
				g_ptr_array_add(
					errors,
					g_strdup_printf("$.pools[%u].instances[%u]: '%s' is "
							"listed twice",
							i, j, pool->instances[j]));
	}
}

GPtrArray *tables_parse_pools(const char *json, size_t len, GPtrArray *errors)
{
	g_autoptr(GPtrArray) rows = parse_rows(json, len, "pools", read_pool, pool_free, errors);

	if (rows) {
		check_unique_names(rows, "pools", errors);
		check_unique_patterns(rows, errors);
	}
	return errors->len ? NULL : g_steal_pointer(&rows);
}

void tables_check_references(GPtrArray *routes, GPtrArray *pools, GPtrArray *errors)
{
	for (guint i = 0; i < routes->len; i++) {
		const struct route *route = routes->pdata[i];
		bool found = false;

		for (guint j = 0; j < pools->len && !found; j++)
			found = g_str_equal(((struct pool *)pools->pdata[j])->name, route->pool);
		if (!found)
			g_ptr_array_add(errors,
					g_strdup_printf("$.routes[%u].pool: unknown pool '%s'", i,
							route->pool));
	}
}

struct tables *tables_new(void)
{
	struct tables *t = g_new0(struct tables, 1);

	t->routes = g_ptr_array_new_with_free_func(route_free);
	t->pools = g_ptr_array_new_with_free_func(pool_free);
	t->pool_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return t;
}

void tables_free(struct tables *t)
{
	g_hash_table_unref(t->pool_by_name);
	g_ptr_array_unref(t->routes);
	g_ptr_array_unref(t->pools);
	g_free(t);
}

void tables_set_routes(struct tables *t, GPtrArray *routes)
{
	g_ptr_array_unref(t->routes);
	t->routes = routes;
}

void tables_set_pools(struct tables *t, GPtrArray *pools)
{
	g_hash_table_remove_all(t->pool_by_name);
	g_ptr_array_unref(t->pools);
	t->pools = pools;
	for (guint i = 0; i < pools->len; i++) {
		struct pool *pool = pools->pdata[i];

		g_hash_table_insert(t->pool_by_name, pool->name, pool);
	}
}

const struct pool *tables_find_pool(const struct tables *t, const char *name)
{
	return g_hash_table_lookup(t->pool_by_name, name);
}

const struct pool *tables_home_pool(const struct tables *t, const char *instance)
{
	for (guint i = 0; i < t->pools->len; i++) {
		const struct pool *pool = t->pools->pdata[i];

		for (guint j = 0; pool->instances[j]; j++)
			if (g_pattern_match_simple(pool->instances[j], instance))
				return pool;
	}
	return NULL;
}
