#ifndef SESAMEWOOD_BASE_VERDICT_H
#define SESAMEWOOD_BASE_VERDICT_H

/// @file
/// Whether a request may have run on an endpoint.

#include <stdbool.h>

enum verdict {
	VERDICT_NOT_RUN,      ///< no byte of the request can have reached an endpoint
	VERDICT_MAY_HAVE_RUN, ///< the request or part of it was sent; no whole answer arrived
	VERDICT_RAN,	      ///< an endpoint answered completely
};

/// Combines the verdicts of two attempts of the same request.
///
/// @return the verdict of both together: the one that promises less
static inline enum verdict verdict_combine(enum verdict a, enum verdict b)
{
	return a > b ? a : b;
}

/// @return the header value for a verdict: "not-run", "may-have-run" or "ran"
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

/// Tells whether another attempt may be made after one that ended with @p v.
static inline bool verdict_allows_retry(enum verdict v, bool idempotent)
{
	return v == VERDICT_NOT_RUN || (v == VERDICT_MAY_HAVE_RUN && idempotent);
}

#endif
