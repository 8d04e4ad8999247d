#ifndef SESAMEWOOD_BASE_CLOCK_H
#define SESAMEWOOD_BASE_CLOCK_H

/// @file
/// The one clock type: milliseconds.

#include <inttypes.h>

/// A point on a clock, or a duration, in milliseconds.
typedef int64_t clock_ms_t;

#define CLOCK_NEVER INT64_MAX

/// @return monotonic time that also counts while the machine is suspended, ms
clock_ms_t clock_monotonic(void);

/// @return wall-clock time since the Unix epoch, ms
clock_ms_t clock_wall(void);

#endif
