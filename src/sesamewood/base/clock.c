#include "base/clock.h"

#include <time.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

static clock_ms_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (clock_ms_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

clock_ms_t clock_monotonic(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

clock_ms_t clock_wall(void)
{
	return read_clock(CLOCK_REALTIME);
}
