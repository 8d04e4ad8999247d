/// @file
/// sesamewoodctl: command line tool for operators. It sends requests to the administration API of
/// the control replicas.

#include "base/clock.h"
#include "base/http_client.h"
#include "base/http_status.h"
#include "base/options.h"
#include "base/tables.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define REQUEST_TIMEOUT_MS 6000L
#define RETRY_INTERVAL_US 300000
#define ROLL_OUT_POLL_US 50000
#define PAGE_SIZE 500

#define EXIT_REFUSED 1
#define EXIT_USAGE 2
#define EXIT_UNREACHABLE 3
#define EXIT_CONFLICT 4
#define EXIT_NOT_IN_FORCE 5

static struct option options[] = {
	{"admin", OPTION_LIST, "127.0.0.1:7700", 0, 0, "", "IP:port,…",
	 "Administration addresses of the control replicas", NULL, 0},
	{"token-file", OPTION_TEXT, "", 0, 0, "", "a file", "Bearer token", NULL, 0},
	{"wait", OPTION_BOOL, "false", 0, 0, "", "a switch",
	 "After put: wait until the change is in force on all entries", NULL, 0},
	{"timeout", OPTION_NUMBER, "10000", 100, 3600000, "ms", NULL,
	 "Time limit for reaching control, and for --wait", NULL, 0},
	{"base", OPTION_NUMBER, "-1", -1, INT64_MAX, "", NULL,
	 "Version that a put replaces; refused if it is not in force; -1: current version", NULL,
	 0},
	{"json", OPTION_BOOL, "false", 0, 0, "", "a switch", "Print JSON as received", NULL, 0},
	{0},
};

static const char summary[] =
	"Operates a sesamewood fleet.\n\n"
	"Commands:\n"
	"  get routes|pools            print a table; its version goes to standard error\n"
	"  check routes|pools FILE     check a table file; lists all errors with their JSON paths\n"
	"  diff routes|pools FILE      show what a put would change\n"
	"  put routes|pools FILE       replace a table; with --wait, wait for the roll-out\n"
	"  status                      show leader, entries and pools\n"
	"  instances                   list the instances\n"
	"  explain INSTANCE            explain the assignment and state of an instance\n"
	"  change VERSION              show on how many entries a change is in force\n\n"
	"Exit status: 0 done, 1 refused, 2 usage, 3 control unreachable, 4 conflict,\n"
	"5 accepted but not in force in time.";

static char *authorization;

/// @return NULL-terminated header lines in a static array, valid until the next call
static const char *const *request_headers(const char *if_match, const char *request_id)
{
	static const char *headers[4];
	int n = 0;

	if (authorization)
		headers[n++] = authorization;
	if (if_match)
		headers[n++] = if_match;
	if (request_id)
		headers[n++] = request_id;
	headers[n] = NULL;
	return headers;
}

/// Sends a request to the control replicas in turn until one answers for the leader, which is any
/// status but 503. Exits with EXIT_UNREACHABLE after --timeout. A put carries a request id, so that
/// it is safe to send it again.
///
/// @param if_match  If-Match header line, or NULL
/// @param request_id  Request-Id header line, or NULL
/// @return response, owned by the caller
static struct http_result *send_request(const char *method, const char *path, const char *if_match,
					const char *request_id, const char *body)
{
	g_auto(GStrv) addresses = g_strsplit(options_text(options, "admin"), ",", -1);
	clock_ms_t deadline = clock_monotonic() + options_number(options, "timeout");
	struct http_result *r = NULL;

	for (guint i = 0;; i++) {
		guint n = g_strv_length(addresses);
		g_autofree char *url = g_strconcat("http://", addresses[i % n], path, NULL);

		r = http_client_request(method, url, request_headers(if_match, request_id), body,
					REQUEST_TIMEOUT_MS);
		if (r->status && r->status != HTTP_UNAVAILABLE)
			return r;
		if (clock_monotonic() >= deadline)
			break;
		http_result_free(r);
		if ((i + 1) % n == 0)
			g_usleep(RETRY_INTERVAL_US);
	}
	fprintf(stderr, "cannot reach control: %s\n", r->error ? r->error : r->body);
	exit(EXIT_UNREACHABLE);
}

/// Requests a JSON document. Exits on an error; with --json also after printing the document.
///
/// @return parsed document, owned by the caller
static JsonNode *get_json(const char *path)
{
	g_autoptr(http_result_t) r = send_request("GET", path, NULL, NULL, NULL);
	JsonNode *n;

	if (r->status != HTTP_OK) {
		fprintf(stderr, "%s\n", r->body);
		exit(EXIT_REFUSED);
	}
	if (options_get(options, "json")->number) {
		puts(r->body);
		exit(EXIT_SUCCESS);
	}
	n = json_from_string(r->body, NULL);
	if (!n) {
		fprintf(stderr, "the response of control is not valid JSON\n");
		exit(EXIT_REFUSED);
	}
	return n;
}

static char *table_path(const char *table)
{
	if (!table || (!g_str_equal(table, "routes") && !g_str_equal(table, "pools"))) {
		fprintf(stderr, "expected 'routes' or 'pools'\n");
		exit(EXIT_USAGE);
	}
	return g_strconcat("/v1/tables/", table, NULL);
}

static char *read_file(const char *path)
{
	g_autoptr(GError) error = NULL;
	char *text;

	if (!path || !g_file_get_contents(path, &text, NULL, &error)) {
		fprintf(stderr, "%s\n", error ? error->message : "file name is missing");
		exit(EXIT_USAGE);
	}
	return text;
}

static void get_table(const char *table)
{
	g_autofree char *path = table_path(table);
	g_autoptr(http_result_t) r = send_request("GET", path, NULL, NULL, NULL);

	puts(r->body);
	fprintf(stderr, "version %s\n", r->etag ? r->etag : "unknown");
	if (r->status != HTTP_OK)
		exit(EXIT_REFUSED);
}

static GPtrArray *parse_table(const char *table, const char *text, GPtrArray *errors)
{
	return g_str_equal(table, "routes") ? tables_parse_routes(text, strlen(text), errors)
					    : tables_parse_pools(text, strlen(text), errors);
}

/// Checks a table file locally. References between the two tables are checked only by put.
static void check_table(const char *table, const char *file)
{
	g_autofree char *path = table_path(table);
	g_autofree char *text = read_file(file);
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) rows = parse_table(table, text, errors);

	(void)path;
	for (guint i = 0; i < errors->len; i++)
		fprintf(stderr, "%s\n", (char *)errors->pdata[i]);
	if (errors->len)
		exit(EXIT_REFUSED);
	printf("%s: %u rows, no errors\n", file, rows->len);
}

/// @return rows of a table as JSON text, by name; owned by the caller
static GHashTable *rows_by_name(const char *table, const char *text)
{
	GHashTable *out = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_autoptr(JsonNode) n = json_from_string(text, NULL);
	JsonObject *top = n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;
	JsonArray *rows = top && json_object_has_member(top, table)
				  ? json_object_get_array_member(top, table)
				  : NULL;

	for (guint i = 0; rows && i < json_array_get_length(rows); i++) {
		JsonNode *row = json_array_get_element(rows, i);

		g_hash_table_insert(out,
				    g_strdup(json_object_get_string_member_with_default(
					    json_node_get_object(row), "name", "")),
				    json_to_string(row, FALSE));
	}
	return out;
}

/// Prints the rows of @p from that are missing in @p to. With @p changed, prints the rows that are
/// in both and differ.
///
/// @return number of printed rows
static int print_changes(const char *mark, GHashTable *from, GHashTable *to, bool changed)
{
	GHashTableIter iter;
	gpointer name;
	gpointer row;
	int n = 0;

	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &name, &row)) {
		const char *other = g_hash_table_lookup(to, name);

		if (changed && other && !g_str_equal(other, row)) {
			printf("- %s\n+ %s\n", (char *)row, other);
			n++;
		} else if (!changed && !other) {
			printf("%s %s\n", mark, (char *)row);
			n++;
		}
	}
	return n;
}

static void diff_table(const char *table, const char *file)
{
	g_autofree char *path = table_path(table);
	g_autofree char *text = read_file(file);
	g_autoptr(http_result_t) r = send_request("GET", path, NULL, NULL, NULL);
	g_autoptr(GHashTable) old = rows_by_name(table, r->body);
	g_autoptr(GHashTable) new = rows_by_name(table, text);
	int n = 0;

	n += print_changes("-", old, new, false);
	n += print_changes("+", new, old, false);
	n += print_changes("", old, new, true);
	printf("%d rows change\n", n);
}

/// Counts the live entries, and those of them that have a version in force.
static void count_entries(JsonObject *o, int *in_force, int *live)
{
	JsonArray *entries = json_object_get_array_member(o, "entries");

	*in_force = 0;
	*live = 0;
	for (guint i = 0; i < json_array_get_length(entries); i++) {
		JsonObject *e = json_array_get_object_element(entries, i);

		if (!json_object_get_boolean_member(e, "live"))
			continue;
		++*live;
		*in_force += json_object_get_boolean_member(e, "in_force");
	}
}

/// Polls a change until it is in force on all entries. Exits with EXIT_NOT_IN_FORCE after
/// --timeout.
static void wait_until_in_force(gint64 version)
{
	clock_ms_t started_at = clock_monotonic();
	g_autofree char *path = g_strdup_printf("/v1/changes/%" G_GINT64_FORMAT, version);
	int last_in_force = -1;

	for (;;) {
		g_autoptr(JsonNode) n = get_json(path);
		JsonObject *o = json_node_get_object(n);
		int in_force;
		int live;

		count_entries(o, &in_force, &live);
		if (in_force != last_in_force)
			printf("in force on %d of %d entries\n", in_force, live);
		last_in_force = in_force;
		if (json_object_get_boolean_member(o, "in_force")) {
			printf("in force everywhere after %" PRId64 " ms\n",
			       clock_monotonic() - started_at);
			return;
		}
		if (clock_monotonic() - started_at > options_number(options, "timeout"))
			exit(EXIT_NOT_IN_FORCE);
		g_usleep(ROLL_OUT_POLL_US);
	}
}

/// @return version in force of the table at an API path, or 0 if control does not report one
static gint64 version_in_force(const char *path)
{
	g_autoptr(http_result_t) r = send_request("GET", path, NULL, NULL, NULL);

	return r->etag ? g_ascii_strtoll(r->etag + 1, NULL, 10) : 0;
}

/// Prints title, version in force and errors of a problem document (application/problem+json).
static void print_refusal(const char *body)
{
	g_autoptr(JsonNode) n = json_from_string(body, NULL);
	JsonObject *o = n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;
	JsonArray *errors;

	if (!o) {
		fprintf(stderr, "%s\n", body);
		return;
	}
	fprintf(stderr, "refused: %s\n",
		json_object_get_string_member_with_default(o, "title", ""));
	if (json_object_has_member(o, "version"))
		fprintf(stderr, "the version in force is %" G_GINT64_FORMAT "\n",
			json_object_get_int_member(o, "version"));
	errors = json_object_has_member(o, "faults") ? json_object_get_array_member(o, "faults")
						     : NULL;
	for (guint i = 0; errors && i < json_array_get_length(errors); i++)
		fprintf(stderr, "%s\n", json_array_get_string_element(errors, i));
}

static void put_table(const char *table, const char *file)
{
	g_autofree char *path = table_path(table);
	g_autofree char *text = read_file(file);
	gint64 base = options_number(options, "base");
	g_autofree char *if_match = NULL;
	g_autofree char *request_id = NULL;
	g_autoptr(http_result_t) r = NULL;
	g_autoptr(JsonNode) n = NULL;
	gint64 version;

	if (base < 0)
		base = version_in_force(path);
	if_match = g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"", base);
	request_id = g_strdup_printf("Request-Id: ctl-%d-%08x%08x", getpid(), g_random_int(),
				     g_random_int());
	r = send_request("PUT", path, if_match, request_id, text);
	if (r->status != HTTP_OK) {
		print_refusal(r->body);
		exit(r->status == HTTP_PRECONDITION_FAILED ? EXIT_CONFLICT : EXIT_REFUSED);
	}
	n = json_from_string(r->body, NULL);
	version = json_object_get_int_member(json_node_get_object(n), "version");
	printf("accepted as version %" G_GINT64_FORMAT "\n", version);
	if (options_get(options, "wait")->number)
		wait_until_in_force(version);
}

static void show_status(void)
{
	g_autoptr(JsonNode) n = get_json("/v1/status");
	JsonObject *o = json_node_get_object(n);
	JsonArray *entries = json_object_get_array_member(o, "entries");
	JsonArray *pools = json_object_get_array_member(o, "pools");

	printf("leader control-%" G_GINT64_FORMAT ", term %" G_GINT64_FORMAT ", %" G_GINT64_FORMAT
	       " instances, %" G_GINT64_FORMAT " moves\n",
	       json_object_get_int_member(o, "leader"), json_object_get_int_member(o, "term"),
	       json_object_get_int_member(o, "instances"), json_object_get_int_member(o, "moves"));
	printf("routes version %" G_GINT64_FORMAT ", pools version %" G_GINT64_FORMAT "\n",
	       json_object_get_int_member(o, "routes_version"),
	       json_object_get_int_member(o, "pools_version"));
	for (guint i = 0; i < json_array_get_length(entries); i++) {
		JsonObject *e = json_array_get_object_element(entries, i);

		printf("entry %-20s %s%s%s\n", json_object_get_string_member(e, "entry"),
		       json_object_get_boolean_member(e, "live") ? "live" : "lapsed",
		       json_object_get_boolean_member(e, "draining") ? ", draining" : "",
		       json_object_get_boolean_member(e, "in_force") ? "" : ", behind");
	}
	for (guint i = 0; i < json_array_get_length(pools); i++) {
		JsonObject *p = json_array_get_object_element(pools, i);

		printf("pool  %-20s %3" G_GINT64_FORMAT " instances, %" G_GINT64_FORMAT
		       " out of %" G_GINT64_FORMAT " allowed, %" G_GINT64_FORMAT " zones\n",
		       json_object_get_string_member(p, "pool"),
		       json_object_get_int_member(p, "assigned"),
		       json_object_get_int_member(p, "out"),
		       json_object_get_int_member(p, "max_out"),
		       json_object_get_int_member(p, "zones"));
	}
}

/// Calls @p fn for every instance, with @p instance as its second argument. Requests the list of
/// instances in pages of PAGE_SIZE.
static void for_each_instance(void (*fn)(JsonObject *o, const char *instance), const char *instance)
{
	gint64 after = -1;

	do {
		g_autofree char *path = g_strdup_printf(
			"/v1/instances?limit=%d&after=%" G_GINT64_FORMAT, PAGE_SIZE, after);
		g_autoptr(JsonNode) n = get_json(path);
		JsonObject *o = json_node_get_object(n);
		JsonArray *list = json_object_get_array_member(o, "instances");

		for (guint i = 0; i < json_array_get_length(list); i++)
			fn(json_array_get_object_element(list, i), instance);
		after = json_object_get_int_member_with_default(o, "next_after", -1);
	} while (after >= 0);
}

static void print_instance(JsonObject *o, const char *instance)
{
	(void)instance;
	printf("%-20s %-12s pool %-14s home %-14s entry %-14s %s%s\n",
	       json_object_get_string_member(o, "instance"),
	       json_object_get_string_member(o, "zone"), json_object_get_string_member(o, "pool"),
	       json_object_get_string_member(o, "home"), json_object_get_string_member(o, "entry"),
	       json_object_get_string_member(o, "phase"),
	       json_object_get_boolean_member(o, "leaving") ? ", leaving" : "");
}

static bool instance_found; ///< explain_instance() has met the requested instance

static void explain_placement(JsonObject *o)
{
	const char *home = json_object_get_string_member(o, "home");
	const char *pool = json_object_get_string_member(o, "pool");

	if (!*home)
		puts("no pattern of the pools table matches its name, so it belongs to no pool");
	else
		printf("the pools table assigns it to pool %s\n", home);
	if (json_object_get_boolean_member(o, "lent"))
		printf("it is lent to pool %s, which had a surge in demand; it stays there until "
		       "another pool needs it\n",
		       pool);
	else if (*pool)
		printf("it belongs to pool %s\n", pool);
}

static void explain_state(JsonObject *o)
{
	const char *phase = json_object_get_string_member(o, "phase");
	const char *target = json_object_get_string_member(o, "target");

	if (g_str_equal(phase, "active"))
		printf("entry %s may dispatch requests to it, at epoch %" G_GINT64_FORMAT "\n",
		       json_object_get_string_member(o, "entry"),
		       json_object_get_int_member(o, "epoch"));
	else if (g_str_equal(phase, "revoking"))
		printf("entry %s is ending its requests on it; it then moves to %s%s (%s)\n",
		       json_object_get_string_member(o, "entry"), *target ? "pool " : "no pool",
		       target, json_object_get_string_member(o, "reason"));
	else
		puts("no entry may dispatch requests to it now");
	if (json_object_get_boolean_member(o, "leaving"))
		puts("it has announced that it is leaving, and gets no new requests");
	if (json_object_get_boolean_member(o, "suspected"))
		puts("its heartbeats have stopped, and it counts as out of service");
	else if (!json_object_get_boolean_member(o, "serving"))
		puts("it counts as out of service in the availability budget of its pool");
}

static void explain_instance(JsonObject *o, const char *instance)
{
	if (!g_str_equal(json_object_get_string_member(o, "instance"), instance))
		return;
	instance_found = true;
	explain_placement(o);
	explain_state(o);
}

static void explain(const char *instance)
{
	for_each_instance(explain_instance, instance);
	if (instance_found)
		return;
	fprintf(stderr,
		"instance %s is unknown: it sent no heartbeat, or was removed after a long time "
		"without one\n",
		instance);
	exit(EXIT_REFUSED);
}

static void show_change(const char *version)
{
	g_autofree char *path = g_strconcat("/v1/changes/", version, NULL);
	g_autoptr(JsonNode) n = get_json(path);
	JsonObject *o = json_node_get_object(n);
	int in_force;
	int live;

	count_entries(o, &in_force, &live);
	printf("version %s is in force on %d of %d live entries\n", version, in_force, live);
	if (json_object_has_member(o, "roll_out_ms"))
		printf("it was in force everywhere after %" G_GINT64_FORMAT " ms\n",
		       json_object_get_int_member(o, "roll_out_ms"));
}

static void read_token(void)
{
	const char *path = options_text(options, "token-file");
	g_autofree char *token = NULL;

	if (!*path)
		return;
	token = read_file(path);
	authorization = g_strconcat("Authorization: Bearer ", g_strstrip(token), NULL);
}

int main(int argc, char **argv)
{
	char **args = NULL;
	guint n;

	options_parse(options, summary, &argc, &argv, &args);
	n = args ? g_strv_length(args) : 0;
	read_token();
	if (n == 2 && g_str_equal(args[0], "get"))
		get_table(args[1]);
	else if (n == 3 && g_str_equal(args[0], "check"))
		check_table(args[1], args[2]);
	else if (n == 3 && g_str_equal(args[0], "diff"))
		diff_table(args[1], args[2]);
	else if (n == 3 && g_str_equal(args[0], "put"))
		put_table(args[1], args[2]);
	else if (n == 1 && g_str_equal(args[0], "status"))
		show_status();
	else if (n == 1 && g_str_equal(args[0], "instances"))
		for_each_instance(print_instance, NULL);
	else if (n == 2 && g_str_equal(args[0], "explain"))
		explain(args[1]);
	else if (n == 2 && g_str_equal(args[0], "change"))
		show_change(args[1]);
	else {
		fprintf(stderr, "see %s --help\n", g_get_prgname());
		return EXIT_USAGE;
	}
	return EXIT_SUCCESS;
}
