#ifndef SESAMEWOOD_TESTS_MANAGER_FIXTURE_H
#define SESAMEWOOD_TESTS_MANAGER_FIXTURE_H

/// @file
/// A job manager with one pool "p" and one queue "h /q/" for unit tests.

#include "manager/manager.h"

#define FIXTURE_START_MS 100000
#define FIXTURE_HOLDER_LEASE_MS 3000
#define FIXTURE_MAINTENANCE_MS 2000
#define FIXTURE_CPU_MILLI 8000 ///< of each endpoint

struct manager *fixture_manager(clock_ms_t now);

/// Reports an endpoint of the pool; its clock says @p now.
void fixture_heartbeat(struct manager *m, clock_ms_t now, const char *id, const char *machine,
		       int64_t born);

/// Reports an endpoint with room of its own.
void fixture_heartbeat_sized(struct manager *m, clock_ms_t now, const char *id, const char *machine,
			     int64_t born, uint32_t cpu_milli, uint32_t mem_mb);

/// An endpoint's last word.
void fixture_deregister(struct manager *m, clock_ms_t now, const char *id, int64_t born);

/// Pool "p" with its queue, and a standby pool "off".
void fixture_put_config(struct manager *m, clock_ms_t now);

/// Hands in a job of one step whose tasks take one core each for a minute.
void fixture_submit(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks);

/// The same, with tasks of a size.
void fixture_submit_sized(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks,
			  uint32_t cpu_milli, uint32_t mem_mb);

/// The same, with one task that lasts.
void fixture_submit_long_running(struct manager *m, clock_ms_t now, const char *id,
				 uint32_t cpu_milli);

#endif
