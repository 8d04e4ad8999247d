#ifndef SESAMEWOOD_BASE_METRICS_H
#define SESAMEWOOD_BASE_METRICS_H

/// @file
/// Counters, gauges and histograms with fixed buckets, exported in the Prometheus text format.

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
	uint64_t value;			   ///< histograms: number of observations
	uint64_t sum;			   ///< histograms: sum of the observations, ms
	uint64_t buckets[METRICS_BUCKETS]; ///< observations of each bucket, not cumulative
};

/// Finds the series of that name and labels, or creates it. The result lives as long as the
/// process.
///
/// @param labels label pairs in Prometheus text syntax, or ""
/// @param help must live as long as the process
struct metric *metrics_get(enum metric_kind kind, const char *name, const char *labels,
			   const char *help);

/// Increases a counter by @p n.
static inline void metrics_add(struct metric *m, uint64_t n)
{
	m->value += n;
}

/// Sets the value of a gauge, or of a counter that is kept elsewhere.
static inline void metrics_set(struct metric *m, uint64_t n)
{
	m->value = n;
}

/// Adds an observation to a histogram.
void metrics_observe(struct metric *m, uint64_t value_ms);

/// @return all series in the Prometheus text format, sorted by name; release with g_free()
char *metrics_text(void);

#endif
