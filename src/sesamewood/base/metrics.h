#ifndef SESAMEWOOD_BASE_METRICS_H
#define SESAMEWOOD_BASE_METRICS_H

/// @file
/// Counters, gauges and fixed-bucket histograms, written in the text exposition format.

#include <glib.h>
#include <inttypes.h>

#define METRICS_BUCKETS 16

enum metric_kind {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
};

/// One time series. Histogram buckets have upper bounds of 1, 2, 4 … 16384 ms, and infinity.
struct metric {
	enum metric_kind kind;
	char *name;
	char *labels; ///< "" or "pool=\"a\",verdict=\"ran\""
	const char *help;
	uint64_t value;
	uint64_t sum;
	uint64_t buckets[METRICS_BUCKETS];
};

/// Finds or creates a series. The result lives as long as the process.
///
/// @param labels label pairs in exposition syntax, or ""
struct metric *metrics_get(enum metric_kind kind, const char *name, const char *labels,
			   const char *help);

static inline void metrics_add(struct metric *m, uint64_t n)
{
	m->value += n;
}

static inline void metrics_set(struct metric *m, uint64_t n)
{
	m->value = n;
}

/// Adds an observation, in ms, to a histogram.
void metrics_observe(struct metric *m, uint64_t value_ms);

/// @return all series in text exposition format; release with g_free()
char *metrics_text(void);

#endif
