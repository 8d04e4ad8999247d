/// @file
/// Parsing of tables and endpoint heartbeats: each validation error names the JSON path, and an
/// invalid document is rejected as a whole. Also matching of requests to routes.

#include "base/tables.h"
#include "entry/endpoint_heartbeat.h"
#include "entry/routing.h"

#include "base/codec.h"
#include <string.h>

struct invalid_table {
	const char *json;
	const char *error; ///< first validation error
};

static const char *no_header(const void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return NULL;
}

static void test_invalid_pools_report_path(void)
{
	static const struct invalid_table cases[] = {
		{"", "$: expected a value"},
		{"[]", "$: must be an object"},
		{"{}", "$.pools: required"},
		{"{\"pools\":{}}", "$.pools: must be a list"},
		{"{\"pools\":[1]}", "$.pools[0]: must be an object"},
		{"{\"pools\":[{\"instances\":[]}]}", "$.pools[0].name: required"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[1]}]}",
		 "$.pools[0].instances[0]: must be a non-empty string"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[],\"max_out\":1.5}]}",
		 "$.pools[0].max_out: must be a whole number from 0 to 100000"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[],\"max_out\":1e999}]}",
		 "$.pools[0].max_out: must be a whole number from 0 to 100000"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[],\"move_weight\":-1}]}",
		 "$.pools[0].move_weight: must be a number from 0 to 1000"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[],\"x\":1}]}",
		 "$.pools[0].x: unknown key"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[]},{\"name\":\"a\",\"instances\":[]}]"
		 "}",
		 "$.pools[1].name: duplicate name 'a'"},
		{"{\"pools\":[{\"name\":\"a\",\"instances\":[\"x\"]},"
		 "{\"name\":\"b\",\"instances\":[\"x\"]}]}",
		 "$.pools[1].instances[0]: 'x' is listed twice"},
		{"{\"pools\":[],\"pools\":[]}", "$.pools: duplicate key"},
		{"{\"pools\":[]} x", "$: unexpected text after the JSON value"},
		{"{\"pools\":[],/*c*/\"a\":1}", "$: expected a string"},
		{"{\"pools\":[01]}", "$.pools[0]: number with a leading zero"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

		g_assert_null(tables_parse_pools(cases[i].json, strlen(cases[i].json), errors));
		g_assert_cmpint(errors->len, >, 0);
		g_assert_cmpstr(errors->pdata[0], ==, cases[i].error);
	}
}

static void test_all_errors_are_reported(void)
{
	const char *json = "{\"routes\":[{\"pool\":\"\",\"retries\":-1,\"match\":{\"path_prefix\":"
			   "\"x\"}},{\"name\":1,\"pool\":\"p\"}]}";
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

	g_assert_null(tables_parse_routes(json, strlen(json), errors));
	g_assert_cmpint(errors->len, ==, 5);
}

/// A host is compared without its port and case, a path prefix by whole path segments.
static void test_first_matching_route_is_used(void)
{
	const char *json = "{\"routes\":[{\"name\":\"1\",\"pool\":\"p\",\"match\":{\"host\":\"h\","
			   "\"path_prefix\":\"/a\",\"method\":\"POST\"}},"
			   "{\"name\":\"2\",\"pool\":\"p\",\"match\":{\"path_prefix\":\"/a\"}},"
			   "{\"name\":\"3\",\"pool\":\"p\",\"match\":{\"header\":{\"name\":\"X\","
			   "\"value\":\"1\"}}},{\"name\":\"4\",\"pool\":\"p\"}]}";
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	struct tables *t = tables_new();
	GPtrArray *routes = tables_parse_routes(json, strlen(json), errors);

	g_assert_nonnull(routes);
	tables_set_routes(t, routes);
	g_assert_cmpstr(routing_match(t, "POST", "H:80", "/a/b", no_header, NULL)->name, ==, "1");
	g_assert_cmpstr(routing_match(t, "GET", "h", "/a?x", no_header, NULL)->name, ==, "2");
	g_assert_cmpstr(routing_match(t, "GET", "h", "/ab", no_header, NULL)->name, ==, "4");
	tables_free(t);
}

static void test_invalid_heartbeat_is_rejected(void)
{
	const char *json =
		"{\"instance\":\"\",\"incarnation\":0,\"address\":\"here\",\"zone\":\"z\","
		"\"slots\":8,\"connections\":64,\"state\":\"maybe\"}";
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	sw_heartbeat a;

	g_assert_false(endpoint_heartbeat_parse(json, strlen(json), &a, errors));
	g_assert_cmpint(errors->len, ==, 4);
	codec_free(CODEC_PROC(sw_heartbeat), &a);
}

/// A zone or rack that cannot be carried must not hide that the instance leaves.
static void test_odd_text_does_not_hide_leaving(void)
{
	const char *json = "{\"instance\":\"a-1\",\"incarnation\":1,\"address\":\"10.0.0.9:80\","
			   "\"zone\":\"z\\u0000x\",\"rack\":\"r\\ud800\",\"slots\":8,"
			   "\"connections\":64,\"state\":\"leaving\"}";
	const char *other = "{\"instance\":\"a-1\\u0000\",\"incarnation\":1,"
			    "\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"slots\":8,"
			    "\"connections\":64,\"state\":\"leaving\"}";
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	sw_heartbeat a;

	g_assert_true(endpoint_heartbeat_parse(json, strlen(json), &a, errors));
	g_assert_true(a.leaving);
	g_assert_cmpstr(a.zone, ==, "");
	g_assert_cmpstr(a.rack, ==, "");
	codec_free(CODEC_PROC(sw_heartbeat), &a);
	g_assert_false(endpoint_heartbeat_parse(other, strlen(other), &a, errors));
	codec_free(CODEC_PROC(sw_heartbeat), &a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tables/invalid_pools_report_path", test_invalid_pools_report_path);
	g_test_add_func("/tables/all_errors_are_reported", test_all_errors_are_reported);
	g_test_add_func("/tables/first_matching_route_is_used", test_first_matching_route_is_used);
	g_test_add_func("/tables/invalid_heartbeat_is_rejected",
			test_invalid_heartbeat_is_rejected);
	g_test_add_func("/tables/odd_text_does_not_hide_leaving",
			test_odd_text_does_not_hide_leaving);
	return g_test_run();
}
