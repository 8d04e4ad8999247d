/// @file
/// Log lines and the accounting of the loop's time.

#include "base/log.h"
#include "base/work.h"

#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

/// Runs @p fn with standard output caught.
static char *caught(void (*fn)(void))
{
	char path[] = "/tmp/unit-base-XXXXXX";
	int file = g_mkstemp(path);
	int before = dup(STDOUT_FILENO);
	char *text = NULL;

	dup2(file, STDOUT_FILENO);
	fn();
	dup2(before, STDOUT_FILENO);
	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	close(before);
	close(file);
	unlink(path);
	return text;
}

static void write_awkward(void)
{
	log_info("a \"quoted\" \\ line\n", "JOB", "caf\xff\x01", "EMPTY", "");
}

static void test_lines_are_json(void)
{
	g_autofree char *text = caught(write_awkward);
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o;

	g_assert_true(json_parser_load_from_data(parser, text, -1, NULL));
	o = json_node_get_object(json_parser_get_root(parser));
	g_assert_cmpstr(json_object_get_string_member(o, "message"), ==, "a \"quoted\" \\ line\n");
	g_assert_cmpstr(json_object_get_string_member(o, "level"), ==, "info");
	g_assert_true(g_str_has_prefix(json_object_get_string_member(o, "job"), "caf"));
	g_assert_cmpstr(json_object_get_string_member(o, "empty"), ==, "");
	g_assert_cmpint(json_object_get_int_member(o, "time_ms"), >, 0);
}

static void write_debug(void)
{
	log_debug("hidden");
}

static void test_levels_are_kept(void)
{
	g_autofree char *text = caught(write_debug);

	g_assert_cmpstr(text, ==, "");
}

static void write_buffered(void)
{
	log_set_buffered();
	log_info("held back");
	g_assert_cmpint(lseek(STDOUT_FILENO, 0, SEEK_CUR), ==, 0);
	log_error("at once");
	g_assert_cmpint(lseek(STDOUT_FILENO, 0, SEEK_CUR), >, 0);
}

static void test_errors_are_not_held_back(void)
{
	g_autofree char *text = caught(write_buffered);

	g_assert_nonnull(strstr(text, "held back"));
	g_assert_nonnull(strstr(text, "at once"));
}

static void test_time_goes_to_the_innermost_work(void)
{
	uint64_t rounds = work_total_us(WORK_PLACEMENT);
	uint64_t pools = work_total_us(WORK_POOLS);
	enum work_kind before = work_enter(WORK_PLACEMENT);
	enum work_kind outer;

	outer = work_enter(WORK_POOLS);
	g_usleep(20000);
	work_leave(outer);
	work_leave(before);
	g_assert_cmpuint(work_total_us(WORK_POOLS) - pools, >=, 20000);
	g_assert_cmpuint(work_total_us(WORK_PLACEMENT) - rounds, <, 10000);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	log_init("unit-base", "i", "info");
	g_test_add_func("/base/lines_are_json", test_lines_are_json);
	g_test_add_func("/base/levels_are_kept", test_levels_are_kept);
	g_test_add_func("/base/errors_are_not_held_back", test_errors_are_not_held_back);
	g_test_add_func("/base/time_goes_to_the_innermost_work",
			test_time_goes_to_the_innermost_work);
	return g_test_run();
}
