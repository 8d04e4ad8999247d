#ifndef SESAMEWOOD_BASE_CLOCK_H
#define SESAMEWOOD_BASE_CLOCK_H

/// @file
/// Monotonic and wall-clock time in milliseconds.

#include <inttypes.h>

/// A point on a clock, or a duration, in milliseconds.
typedef int64_t clock_ms_t;

/// A point in time that is never reached.
#define CLOCK_NEVER INT64_MAX

/// Reads the monotonic clock, which also advances while the machine is suspended.
clock_ms_t clock_monotonic(void);

/// Reads the wall clock: milliseconds since the Unix epoch.
clock_ms_t clock_wall(void);

#endif
