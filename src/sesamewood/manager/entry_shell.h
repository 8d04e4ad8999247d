#ifndef SESAMEWOOD_MANAGER_ENTRY_SHELL_H
#define SESAMEWOOD_MANAGER_ENTRY_SHELL_H

/// @file
/// The shell of an entry for jobs, that is its event loop and I/O: accepts callers' HTTP
/// requests and forwards them to the leader of control. It is stateless, so that it cannot serve
/// a stale configuration.

#include <stdbool.h>
#include <stdint.h>

struct entry_shell_settings {
	const char *front; ///< "IP:port" for callers
	const char *ready; ///< "IP:port" for the load balancer's health checks
	const char *ready_path;
	uint16_t rpc_port;	///< of all control replicas
	uint32_t seeds[3];	///< control nodes, terminated by 0
	const char *key_header; ///< header that carries a caller's access key
	/// Header that states how long a caller waits for its answer, ms.
	const char *deadline_header;
	uint32_t body_max_bytes;
	uint32_t head_max_bytes;
	uint32_t memory_mb;	    ///< memory of the process; 0: not stated
	uint32_t fds_max;	    ///< descriptors of the process; 0: not stated
	uint32_t arrival_timeout_s; ///< see http_limits; 0: default
	uint32_t address_requests;  ///< see http_limits; 0: default
	uint32_t grace_ms;	    ///< time from SIGTERM until the process must have exited
};

/// Runs the process until SIGTERM. Exits the process if an address cannot be used.
///
/// @param reload reloads the settings on SIGHUP and fills in the seeds; may be NULL
/// @return exit status
int entry_shell_run(const struct entry_shell_settings *settings, bool (*reload)(uint32_t seeds[3]));

#endif
