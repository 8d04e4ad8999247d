/// @file
/// sesamewood-burn: reports the burn rate of the error budget per pool, computed from the metrics
/// of the entries and a history file of earlier samples.

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
#define LATENCY_SERIES "sesamewood_entry_answer_ms"
#define EXIT_BURNING 1
#define EXIT_UNREACHABLE 3

static struct option options[] = {
	{"admin", OPTION_LIST, "127.0.0.1:7700", 0, 0, "", "IP:port,…",
	 "Administration addresses of the control replicas", NULL, 0},
	{"token-file", OPTION_TEXT, "", 0, 0, "", "a file", "Bearer token", NULL, 0},
	{"entries", OPTION_LIST, NULL, 0, 0, "", "IP:port,…", "Metrics addresses of the entries",
	 NULL, 0},
	{"history", OPTION_TEXT, "burn-history", 0, 0, "", "a file",
	 "File with earlier samples; rewritten at each run", NULL, 0},
	{"json", OPTION_BOOL, "false", 0, 0, "", "a switch", "Print JSON", NULL, 0},
	{"alert", OPTION_NUMBER, "14", 1, 1000, "", NULL,
	 "Exit status is 1 when the burn rates over 5 min and 1 h both reach this value", NULL, 0},
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

/// Request counters of one pool at one entry at one time.
struct sample {
	clock_ms_t at_wall_ms;
	char *entry;
	char *pool;
	guint64 total;
	guint64 good; ///< answered without a server error, within the latency objective
};

/// Burn rates of a pool by window. 1 is the rate that uses up exactly the error budget of the
/// window.
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

/// @return value of a label in a metrics line, owned by the caller, or NULL if it has no such label
static char *label_value(const char *line, const char *name)
{
	g_autofree char *key = g_strdup_printf("%s=\"", name);
	const char *start = strstr(line, key);
	const char *end = start ? strchr(start + strlen(key), '"') : NULL;

	return end ? g_strndup(start + strlen(key), end - start - strlen(key)) : NULL;
}

static struct sample *find_or_add_sample(GPtrArray *samples, clock_ms_t wall_ms, const char *entry,
					 const char *pool)
{
	struct sample *s;

	for (guint i = samples->len; i > 0; i--) {
		s = samples->pdata[i - 1];
		if (s->at_wall_ms == wall_ms && g_str_equal(s->entry, entry) &&
		    g_str_equal(s->pool, pool))
			return s;
	}
	s = g_new0(struct sample, 1);
	*s = (struct sample){
		.at_wall_ms = wall_ms,
		.entry = g_strdup(entry),
		.pool = g_strdup(pool),
	};
	g_ptr_array_add(samples, s);
	return s;
}

/// Adds one metrics line to its sample. Good requests are those in the largest bucket within the
/// latency objective, because buckets are cumulative and their bounds double; server errors are
/// never good.
static void add_metric_line(GPtrArray *samples, GPtrArray *pools, clock_ms_t wall_ms,
			    const char *entry, const char *line)
{
	g_autofree char *pool = label_value(line, "pool");
	g_autofree char *class = label_value(line, "class");
	g_autofree char *bound = label_value(line, "le");
	const char *value = strstr(line, "} ");
	struct sample *s;

	if (!pool || !class || !value)
		return;
	s = find_or_add_sample(samples, wall_ms, entry, pool);
	if (g_str_has_prefix(line, LATENCY_SERIES "_count"))
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

static void fetch_entry_metrics(GPtrArray *samples, GPtrArray *pools, clock_ms_t wall_ms,
				const char *address)
{
	g_autofree char *url = g_strconcat("http://", address, "/metrics", NULL);
	g_autoptr(http_result_t) r =
		http_client_request("GET", url, NULL, NULL, REQUEST_TIMEOUT_MS);
	g_auto(GStrv) lines = NULL;

	if (r->status != HTTP_OK) {
		fprintf(stderr, "entry %s did not answer; it is omitted from the report\n",
			address);
		return;
	}
	lines = g_strsplit(r->body, "\n", -1);
	for (int i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], LATENCY_SERIES))
			add_metric_line(samples, pools, wall_ms, address, lines[i]);
}

/// Reads the pools table from the first control replica that answers. Exits with EXIT_UNREACHABLE
/// if none does.
///
/// @return struct pool, owned by the caller
static GPtrArray *fetch_pools(void)
{
	g_auto(GStrv) addresses = g_strsplit(options_text(options, "admin"), ",", -1);
	const char *headers[2] = {NULL};
	g_autofree char *token = NULL;
	g_autofree char *header = NULL;
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

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
			return tables_parse_pools(r->body, strlen(r->body), errors);
	}
	fprintf(stderr, "cannot reach control\n");
	exit(EXIT_UNREACHABLE);
}

/* History file: one sample per line, oldest first: time, entry, pool, total, good. */

static void load_history(GPtrArray *samples, clock_ms_t now)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	g_file_get_contents(options_text(options, "history"), &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);
		struct sample *s;
		clock_ms_t wall_ms;

		if (g_strv_length(f) != 5)
			continue;
		wall_ms = g_ascii_strtoll(f[0], NULL, 10);
		if (wall_ms < now - HISTORY_MS || wall_ms >= now)
			continue;
		s = find_or_add_sample(samples, wall_ms, f[1], f[2]);
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
		fprintf(stderr, "cannot save the history file: %s\n", error->message);
}

/// @return latest sample of the same entry and pool as @p like at or before a time, or NULL
static const struct sample *latest_sample_until(const GPtrArray *samples, const struct sample *like,
						clock_ms_t wall_ms)
{
	const struct sample *best = NULL;

	for (guint i = 0; i < samples->len; i++) {
		const struct sample *s = samples->pdata[i];

		if (s->at_wall_ms <= wall_ms && g_str_equal(s->entry, like->entry) &&
		    g_str_equal(s->pool, like->pool) && (!best || s->at_wall_ms > best->at_wall_ms))
			best = s;
	}
	return best;
}

/// Adds the requests of one entry in a window. Counters lower than in the base sample show that the
/// entry has restarted since; the current values are then counted in full.
static void add_window(const GPtrArray *samples, const struct sample *now, size_t w,
		       struct burn *out)
{
	const struct sample *base =
		latest_sample_until(samples, now, now->at_wall_ms - windows[w].length_ms);
	bool base_is_valid = base && base->total <= now->total && base->good <= now->good;
	guint64 total = now->total - (base_is_valid ? base->total : 0);
	guint64 good = now->good - (base_is_valid ? base->good : 0);

	out->total[w] += total;
	out->bad[w] += total > good ? total - good : 0;
}

static struct burn compute_burn(const GPtrArray *samples, const struct pool *pool, clock_ms_t now)
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

static bool print_report(const GPtrArray *samples, const GPtrArray *pools, clock_ms_t now)
{
	bool json = options_get(options, "json")->number;
	double alert_rate = (double)options_number(options, "alert");
	g_autoptr(JsonBuilder) j = json_builder_new();
	bool burning = false;

	json_builder_begin_array(j);
	for (guint i = 0; i < pools->len; i++) {
		struct burn b = compute_burn(samples, pools->pdata[i], now);

		burning = burning || (b.rate[0] >= alert_rate && b.rate[1] >= alert_rate);
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

	options_parse(
		options,
		"Reports the burn rate of the error budget per pool over 5 min, 1 h, 6 h and 3 d.\n"
		"Exit status: 0 below the alert rate, 1 burn rate reaches --alert, 2 usage, "
		"3 control unreachable.",
		&argc, &argv, NULL);
	pools = fetch_pools();
	load_history(samples, now);
	entries = g_strsplit(options_text(options, "entries"), ",", -1);
	for (int i = 0; entries[i]; i++)
		fetch_entry_metrics(samples, pools, now, entries[i]);
	burning = print_report(samples, pools, now);
	save_history(samples);
	return burning ? EXIT_BURNING : EXIT_SUCCESS;
}
