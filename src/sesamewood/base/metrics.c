#include "base/metrics.h"

static GHashTable *series_by_key;
static GPtrArray *series;

struct metric *metrics_get(enum metric_kind kind, const char *name, const char *labels,
			   const char *help)
{
	g_autofree char *key = g_strdup_printf("%s{%s}", name, labels);
	struct metric *m;

	if (!series) {
		series_by_key = g_hash_table_new(g_str_hash, g_str_equal);
		series = g_ptr_array_new();
	}
	m = g_hash_table_lookup(series_by_key, key);
	if (m)
		return m;
	m = g_new0(struct metric, 1);
	*m = (struct metric){
		.kind = kind,
		.name = g_strdup(name),
		.labels = g_strdup(labels),
		.help = help,
	};
	g_hash_table_insert(series_by_key, g_steal_pointer(&key), m);
	g_ptr_array_add(series, m);
	return m;
}

void metrics_observe(struct metric *m, uint64_t value_ms)
{
	unsigned int i = 0;

	while (i < METRICS_BUCKETS - 1 && value_ms > (UINT64_C(1) << i))
		i++;
	m->buckets[i]++;
	m->sum += value_ms;
	m->value++;
}

static void write_histogram(GString *out, const struct metric *m)
{
	const char *comma = *m->labels ? "," : "";
	uint64_t total = 0;

	for (unsigned int i = 0; i < METRICS_BUCKETS; i++) {
		total += m->buckets[i];
		if (i < METRICS_BUCKETS - 1)
			g_string_append_printf(out, "%s_bucket{%s%sle=\"%u\"} %" PRIu64 "\n",
					       m->name, m->labels, comma, 1U << i, total);
		else
			g_string_append_printf(out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n",
					       m->name, m->labels, comma, total);
	}
	g_string_append_printf(out, "%s_sum{%s} %" PRIu64 "\n", m->name, m->labels, m->sum);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", m->name, m->labels, m->value);
}

static int compare_by_name(gconstpointer a, gconstpointer b)
{
	const struct metric *x = *(struct metric *const *)a;
	const struct metric *y = *(struct metric *const *)b;

	return g_strcmp0(x->name, y->name);
}

char *metrics_text(void)
{
	static const char *const kinds[] = {"counter", "gauge", "histogram"};
	GString *out = g_string_new(NULL);
	const char *last_name = "";

	if (!series)
		return g_string_free(out, FALSE);
	g_ptr_array_sort(series, compare_by_name);
	for (guint i = 0; i < series->len; i++) {
		const struct metric *m = series->pdata[i];

		if (!g_str_equal(last_name, m->name))
			g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", m->name,
					       m->help, m->name, kinds[m->kind]);
		last_name = m->name;
		if (m->kind == METRIC_HISTOGRAM)
			write_histogram(out, m);
		else
			g_string_append_printf(out, "%s{%s} %" PRIu64 "\n", m->name, m->labels,
					       m->value);
	}
	return g_string_free(out, FALSE);
}
