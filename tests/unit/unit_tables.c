/// @file
/// Parsing of tables and announcements: every fault by its place, nothing accepted by half.

#include "base/tables.h"
#include "entry/announcement.h"
#include "entry/routing.h"

#include "base/codec.h"
#include <string.h>

struct faulty {
	const char *json;
	const char *fault;
};

static const char *no_header(const void *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return NULL;
}

static void test_faults_of_pools(void)
{
	static const struct faulty cases[] = {
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
		 "$.pools[1].instances[0]: 'x' stands in two places"},
		{"{\"pools\":[],\"pools\":[]}", "$.pools: duplicate key"},
		{"{\"pools\":[]} x", "$: text after the end"},
		{"{\"pools\":[],/*c*/\"a\":1}", "$: expected a string"},
		{"{\"pools\":[01]}", "$.pools[0]: number with a leading zero"},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);

		g_assert_null(tables_parse_pools(cases[i].json, strlen(cases[i].json), faults));
		g_assert_cmpint(faults->len, >, 0);
		g_assert_cmpstr(faults->pdata[0], ==, cases[i].fault);
	}
}

static void test_all_faults_at_once(void)
{
	const char *json = "{\"routes\":[{\"pool\":\"\",\"retries\":-1,\"match\":{\"path_prefix\":"
			   "\"x\"}},{\"name\":1,\"pool\":\"p\"}]}";
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);

	g_assert_null(tables_parse_routes(json, strlen(json), faults));
	g_assert_cmpint(faults->len, ==, 5);
}

static void test_routes_match_in_order(void)
{
	const char *json = "{\"routes\":[{\"name\":\"1\",\"pool\":\"p\",\"match\":{\"host\":\"h\","
			   "\"path_prefix\":\"/a\",\"method\":\"POST\"}},"
			   "{\"name\":\"2\",\"pool\":\"p\",\"match\":{\"path_prefix\":\"/a\"}},"
			   "{\"name\":\"3\",\"pool\":\"p\",\"match\":{\"header\":{\"name\":\"X\","
			   "\"value\":\"1\"}}},{\"name\":\"4\",\"pool\":\"p\"}]}";
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);
	struct tables *t = tables_new();
	GPtrArray *routes = tables_parse_routes(json, strlen(json), faults);

	g_assert_nonnull(routes);
	tables_set_routes(t, routes);
	g_assert_cmpstr(routing_match(t, "POST", "H:80", "/a/b", no_header, NULL)->name, ==, "1");
	g_assert_cmpstr(routing_match(t, "GET", "h", "/a?x", no_header, NULL)->name, ==, "2");
	g_assert_cmpstr(routing_match(t, "GET", "h", "/ab", no_header, NULL)->name, ==, "4");
	tables_free(t);
}

static void test_announcement_faults(void)
{
	const char *json =
		"{\"instance\":\"\",\"incarnation\":0,\"address\":\"here\",\"zone\":\"z\","
		"\"slots\":8,\"connections\":64,\"state\":\"maybe\"}";
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);
	sw_heartbeat a;

	g_assert_false(announcement_parse(json, strlen(json), &a, faults));
	g_assert_cmpint(faults->len, ==, 4);
	codec_free(CODEC_PROC(sw_heartbeat), &a);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tables/faults_of_pools", test_faults_of_pools);
	g_test_add_func("/tables/all_faults_at_once", test_all_faults_at_once);
	g_test_add_func("/tables/routes_match_in_order", test_routes_match_in_order);
	g_test_add_func("/tables/announcement_faults", test_announcement_faults);
	return g_test_run();
}
