#ifndef SESAMEWOOD_TESTS_MANAGER_FIXTURE_H
#define SESAMEWOOD_TESTS_MANAGER_FIXTURE_H

/// @file
/// A job manager with one pool "p" and one queue "h /q/" for unit tests.

#include "manager/manager.h"

#define FIXTURE_START_MS 100000
#define FIXTURE_HOLDER_LEASE_MS 3000
#define FIXTURE_MOVE_MS 1500
#define FIXTURE_MAINTENANCE_MS 2000
#define FIXTURE_CPU_MILLI 8000 ///< of each endpoint

/// Returns the settings of the fixture's managers; its strings are static.
struct manager_settings fixture_settings(void);

/// Returns a manager without endpoints, jobs or a configuration; release with manager_free().
struct manager *fixture_manager(clock_ms_t now);

/// Returns the manager of a later leadership on a committed state; see manager_new().
struct manager *fixture_next_manager(const struct jobs *state, uint64_t term, clock_ms_t now,
				     clock_ms_t machine_orders_seen_at);

/// Applies a proposed command to a committed state.
///
/// @return the command's type
job_command_type fixture_commit(struct jobs *state, GBytes *command);

/// Sends a full heartbeat of an endpoint of pool "p" whose clock reads @p now.
void fixture_heartbeat(struct manager *m, clock_ms_t now, const char *id, const char *machine,
		       int64_t incarnation_wall_ms);

/// Returns the digest of the heartbeats that fixture_heartbeat() sends.
uint64_t fixture_digest(const char *machine, int64_t incarnation_wall_ms);

/// Sends a full heartbeat of an endpoint with the given capacity.
void fixture_heartbeat_sized(struct manager *m, clock_ms_t now, const char *id, const char *machine,
			     int64_t incarnation_wall_ms, uint32_t cpu_milli, uint32_t mem_mb);

/// Sends a full heartbeat of an endpoint that drains.
void fixture_drain(struct manager *m, clock_ms_t now, const char *id, const char *machine,
		   int64_t incarnation_wall_ms);

/// Deregisters an endpoint.
void fixture_deregister(struct manager *m, clock_ms_t now, const char *id,
			int64_t incarnation_wall_ms);

/// Configures pool "p" with its queue, and a standby pool "off".
void fixture_put_config(struct manager *m, clock_ms_t now);

/// A client account. Its name is its key.
struct fixture_account {
	const char *name;
	uint32_t weight_milli;
	uint32_t priority;
	job_cap cap;
};

/// Replaces the configuration by one with accounts. Its queue takes jobs without a key as well.
void fixture_put_accounts(struct manager *m, clock_ms_t now, uint64_t version,
			  const struct fixture_account *accounts, unsigned int n);

/// Submits a job of one step. Sets the strings and the estimate of the step.
///
/// @param account  NULL: none
/// @return the reply's status
enum reply_status fixture_submit_for(struct manager *m, clock_ms_t now, const char *account,
				     const char *id, const job_step *step);

/// Submits a job of one step whose tasks use one core each for a minute.
void fixture_submit(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks);

/// Submits a job of one step whose tasks use the given resources for a minute.
void fixture_submit_sized(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks,
			  uint32_t cpu_milli, uint32_t mem_mb);

/// Submits a job with one long-running task.
void fixture_submit_long_running(struct manager *m, clock_ms_t now, const char *id,
				 uint32_t cpu_milli);

#endif
