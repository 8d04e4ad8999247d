/// @file
/// sesamewood-burn: report on service-level burn per pool, from the entries' metrics and a small
/// history of its own.

#include "base/clock.h"
#include "base/http_client.h"
#include "base/http_status.h"
#include "base/options.h"
#include "base/tables.h"

#include <json-glib/json-glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUEST_TIMEOUT_MS 3000L
#define HISTORY_MS (3LL * 24 * 3600 * 1000)
#define SERIES "sesamewood_entry_answer_ms"
#define EXIT_BURNING 1
#define EXIT_UNREACHABLE 3

static struct option options[] = {
	{"admin", OPTION_LIST, "127.0.0.1:7700", 0, 0, "", "IP:port,…",
	 "Administration addresses of the control replicas", NULL, 0},
	{"token-file", OPTION_TEXT, "", 0, 0, "", "a file", "Bearer token", NULL, 0},
	{"entries", OPTION_LIST, NULL, 0, 0, "", "IP:port,…", "Metrics addresses of the entries",
	 NULL, 0},
	{"history", OPTION_TEXT, "burn-history", 0, 0, "", "a file",
	 "File with earlier samples; written anew at each run", NULL, 0},
	{"json", OPTION_BOOL, "false", 0, 0, "", "a switch", "Print JSON", NULL, 0},
	{"alert", OPTION_NUMBER, "14", 1, 1000, "", NULL,
	 "Burn rate over 5 min and 1 h at which the exit status is 1", NULL, 0},
	{0},
};

struct window {
	const char *name;
	clock_ms_t length_ms;
};

static const struct window windows[] = {
	{"5m", 5LL * 60 * 1000},
	{"1h", 3600LL * 1000},
	{"6h", 6LL * 3600 * 1000},
	{"3d", HISTORY_MS},
};

/// Counts of one pool at one entry at one time.
struct sample {
	clock_ms_t at_wall_ms;
	char *entry;
	char *pool;
	guint64 total;
	guint64 good; ///< answered without a server error, within the latency
};

struct burn {
	double rate[G_N_ELEMENTS(windows)];
	guint64 total[G_N_ELEMENTS(windows)];
	guint64 bad[G_N_ELEMENTS(windows)];
};

static void sample_free(void *p)
{
	struct sample *s = p;

	g_free(s->entry);
	g_free(s->pool);
	g_free(s);
}

/* Reading. */

static char *label(const char *line, const char *name)
{
	g_autofree char *key = g_strdup_printf("%s=\"", name);
	const char *at = strstr(line, key);
	const char *end = at ? strchr(at + strlen(key), '"') : NULL;

	return end ? g_strndup(at + strlen(key), end - at - strlen(key)) : NULL;
}

static struct sample *find_sample(GPtrArray *samples, clock_ms_t at, const char *entry,
				  const char *pool)
{
	struct sample *s;

	for (guint i = samples->len; i > 0; i--) {
		s = samples->pdata[i - 1];
		if (s->at_wall_ms == at && g_str_equal(s->entry, entry) &&
		    g_str_equal(s->pool, pool))
			return s;
	}
	s = g_new0(struct sample, 1);
	*s = (struct sample){
		.at_wall_ms = at,
		.entry = g_strdup(entry),
		.pool = g_strdup(pool),
	};
	g_ptr_array_add(samples, s);
	return s;
}

/// Adds one metrics line. A histogram bucket counts as good when it is the largest one within the
/// objective and its answers are no server errors.
static void read_line(GPtrArray *samples, GPtrArray *pools, clock_ms_t at, const char *entry,
		      const char *line)
{
	g_autofree char *pool = label(line, "pool");
	g_autofree char *class = label(line, "class");
	g_autofree char *bound = label(line, "le");
	const char *value = strstr(line, "} ");
	struct sample *s;

	if (!pool || !class || !value)
		return;
	s = find_sample(samples, at, entry, pool);
	if (g_str_has_prefix(line, SERIES "_count"))
		s->total += g_ascii_strtoull(value + 2, NULL, 10);
	if (!bound || g_str_equal(class, "5xx"))
		return;
	for (guint i = 0; i < pools->len; i++) {
		const struct pool *p = pools->pdata[i];
		guint64 le = g_ascii_strtoull(bound, NULL, 10);

		if (g_str_equal(p->name, pool) && le && le <= p->objective_ms &&
		    2 * le > p->objective_ms)
			s->good += g_ascii_strtoull(value + 2, NULL, 10);
	}
}

static void read_entry(GPtrArray *samples, GPtrArray *pools, clock_ms_t at, const char *address)
{
	g_autofree char *url = g_strconcat("http://", address, "/metrics", NULL);
	g_autoptr(http_result_t) r =
		http_client_request("GET", url, NULL, NULL, REQUEST_TIMEOUT_MS);
	g_auto(GStrv) lines = NULL;

	if (r->status != HTTP_OK) {
		fprintf(stderr, "entry %s did not answer; it is left out\n", address);
		return;
	}
	lines = g_strsplit(r->body, "\n", -1);
	for (int i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], SERIES))
			read_line(samples, pools, at, address, lines[i]);
}

static GPtrArray *read_pools(void)
{
	g_auto(GStrv) addresses = g_strsplit(options_text(options, "admin"), ",", -1);
	const char *headers[2] = {NULL};
	g_autofree char *token = NULL;
	g_autofree char *header = NULL;
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);

	if (*options_text(options, "token-file") &&
	    g_file_get_contents(options_text(options, "token-file"), &token, NULL, NULL)) {
		header = g_strconcat("Authorization: Bearer ", g_strstrip(token), NULL);
		headers[0] = header;
	}
	for (int i = 0; addresses[i]; i++) {
		g_autofree char *url =
			g_strconcat("http://", addresses[i], "/v1/tables/pools", NULL);
		g_autoptr(http_result_t) r =
			http_client_request("GET", url, headers, NULL, REQUEST_TIMEOUT_MS);

		if (r->status == HTTP_OK)
			return tables_parse_pools(r->body, strlen(r->body), faults);
	}
	fprintf(stderr, "control was not reached\n");
	exit(EXIT_UNREACHABLE);
}

/* History: one line a sample, oldest first. */

static void load_history(GPtrArray *samples, clock_ms_t now)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	g_file_get_contents(options_text(options, "history"), &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);
		struct sample *s;
		clock_ms_t at;

		if (g_strv_length(f) != 5)
			continue;
		at = g_ascii_strtoll(f[0], NULL, 10);
		if (at < now - HISTORY_MS || at >= now)
			continue;
		s = find_sample(samples, at, f[1], f[2]);
		s->total = g_ascii_strtoull(f[3], NULL, 10);
		s->good = g_ascii_strtoull(f[4], NULL, 10);
	}
}

static void save_history(const GPtrArray *samples)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GError) error = NULL;

	for (guint i = 0; i < samples->len; i++) {
		const struct sample *s = samples->pdata[i];

		g_string_append_printf(
			text, "%" PRId64 " %s %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
			s->at_wall_ms, s->entry, s->pool, s->total, s->good);
	}
	if (!g_file_set_contents(options_text(options, "history"), text->str, (gssize)text->len,
				 &error))
		fprintf(stderr, "history was not saved: %s\n", error->message);
}

/* Burn. */

/// @return the latest sample of the same entry and pool at or before a time, or NULL
static const struct sample *sample_before(const GPtrArray *samples, const struct sample *of,
					  clock_ms_t at)
{
	const struct sample *best = NULL;

	for (guint i = 0; i < samples->len; i++) {
		const struct sample *s = samples->pdata[i];

		if (s->at_wall_ms <= at && g_str_equal(s->entry, of->entry) &&
		    g_str_equal(s->pool, of->pool) && (!best || s->at_wall_ms > best->at_wall_ms))
			best = s;
	}
	return best;
}

/// Adds what happened at one entry in a window. Counters that went back belong to a restarted
/// entry: all of them are new.
static void add_window(const GPtrArray *samples, const struct sample *now, size_t w,
		       struct burn *out)
{
	const struct sample *then =
		sample_before(samples, now, now->at_wall_ms - windows[w].length_ms);
	bool usable = then && then->total <= now->total && then->good <= now->good;
	guint64 total = now->total - (usable ? then->total : 0);
	guint64 good = now->good - (usable ? then->good : 0);

	out->total[w] += total;
	out->bad[w] += total > good ? total - good : 0;
}

static struct burn measure(const GPtrArray *samples, const struct pool *pool, clock_ms_t now)
{
	struct burn out = {0};

	for (size_t w = 0; w < G_N_ELEMENTS(windows); w++) {
		for (guint i = 0; i < samples->len; i++) {
			const struct sample *s = samples->pdata[i];

			if (s->at_wall_ms == now && g_str_equal(s->pool, pool->name))
				add_window(samples, s, w, &out);
		}
		if (out.total[w] && pool->objective_share < 1)
			out.rate[w] = (double)out.bad[w] / (double)out.total[w] /
				      (1 - pool->objective_share);
	}
	return out;
}

static double budget_left(const struct burn *b)
{
	return 1 - b->rate[G_N_ELEMENTS(windows) - 1];
}

static void print_text(const struct pool *p, const struct burn *b)
{
	printf("%-20s %.4g%% within %u ms; budget left over 3d %.0f%%; burn", p->name,
	       100 * p->objective_share, p->objective_ms, 100 * budget_left(b));
	for (size_t w = 0; w < G_N_ELEMENTS(windows); w++)
		printf(" %s %.2f (%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT ")", windows[w].name,
		       b->rate[w], b->bad[w], b->total[w]);
	printf("\n");
}

static void add_json(JsonBuilder *j, const struct pool *p, const struct burn *b)
{
	json_builder_begin_object(j);
	json_builder_set_member_name(j, "pool");
	json_builder_add_string_value(j, p->name);
	json_builder_set_member_name(j, "share");
	json_builder_add_double_value(j, p->objective_share);
	json_builder_set_member_name(j, "latency_ms");
	json_builder_add_int_value(j, p->objective_ms);
	json_builder_set_member_name(j, "budget_left");
	json_builder_add_double_value(j, budget_left(b));
	for (size_t w = 0; w < G_N_ELEMENTS(windows); w++) {
		g_autofree char *name = g_strconcat("burn_", windows[w].name, NULL);

		json_builder_set_member_name(j, name);
		json_builder_add_double_value(j, b->rate[w]);
	}
	json_builder_end_object(j);
}

static void print_entries(const GPtrArray *samples, clock_ms_t now)
{
	for (guint i = 0; i < samples->len; i++) {
		const struct sample *s = samples->pdata[i];

		if (s->at_wall_ms == now && s->total > s->good)
			printf("  entry %s, pool %s: %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT
			       " late or failed since its start\n",
			       s->entry, s->pool, s->total - s->good, s->total);
	}
}

static bool report(const GPtrArray *samples, const GPtrArray *pools, clock_ms_t now)
{
	bool json = options_get(options, "json")->number;
	double limit = (double)options_number(options, "alert");
	g_autoptr(JsonBuilder) j = json_builder_new();
	bool burning = false;

	json_builder_begin_array(j);
	for (guint i = 0; i < pools->len; i++) {
		struct burn b = measure(samples, pools->pdata[i], now);

		burning = burning || (b.rate[0] >= limit && b.rate[1] >= limit);
		if (json)
			add_json(j, pools->pdata[i], &b);
		else
			print_text(pools->pdata[i], &b);
	}
	json_builder_end_array(j);
	if (json) {
		g_autoptr(JsonNode) root = json_builder_get_root(j);
		g_autofree char *text = json_to_string(root, TRUE);

		puts(text);
	} else {
		print_entries(samples, now);
	}
	return burning;
}

int main(int argc, char **argv)
{
	g_autoptr(GPtrArray) samples = g_ptr_array_new_with_free_func(sample_free);
	clock_ms_t now = clock_wall();
	g_autoptr(GPtrArray) pools = NULL;
	g_auto(GStrv) entries = NULL;
	bool burning;

	options_parse(options,
		      "Reports service-level burn per pool over 5 min, 1 h, 6 h and 3 d.\n"
		      "Exit status: 0 within the objective, 1 burning, 2 usage, 3 control not "
		      "reached.",
		      &argc, &argv, NULL);
	pools = read_pools();
	load_history(samples, now);
	entries = g_strsplit(options_text(options, "entries"), ",", -1);
	for (int i = 0; entries[i]; i++)
		read_entry(samples, pools, now, entries[i]);
	burning = report(samples, pools, now);
	save_history(samples);
	return burning ? EXIT_BURNING : EXIT_SUCCESS;
}
