#ifndef SESAMEWOOD_BASE_VERDICT_H
#define SESAMEWOOD_BASE_VERDICT_H

/// @file
/// Verdict on a request: whether an endpoint may have executed it.

#include <stdbool.h>

enum verdict {
	VERDICT_NOT_RUN,      ///< no byte of the request reached an endpoint
	VERDICT_MAY_HAVE_RUN, ///< the request or part of it was sent; no complete response arrived
	VERDICT_RAN,	      ///< an endpoint sent a complete response
};

/// Combines the verdicts of two attempts of the same request: if either may have run, the request
/// may have run.
static inline enum verdict verdict_combine(enum verdict a, enum verdict b)
{
	return a > b ? a : b;
}

/// @return value of the Sesamewood-Verdict header: "not-run", "may-have-run" or "ran"
static inline const char *verdict_name(enum verdict v)
{
	switch (v) {
	case VERDICT_NOT_RUN:
		return "not-run";
	case VERDICT_MAY_HAVE_RUN:
		return "may-have-run";
	case VERDICT_RAN:
		return "ran";
	}
	return "may-have-run";
}

/// Returns true if a request may be retried after an attempt that ended with verdict @p v.
static inline bool verdict_allows_retry(enum verdict v, bool idempotent)
{
	return v == VERDICT_NOT_RUN || (v == VERDICT_MAY_HAVE_RUN && idempotent);
}

#endif
