#ifndef SESAMEWOOD_MANAGER_ENTRY_SHELL_H
#define SESAMEWOOD_MANAGER_ENTRY_SHELL_H

/// @file
/// The shell of an entry for job calls: takes callers' HTTP and passes it on to the leader of
/// control. It keeps no state of its own, so no configuration can be stale here.

#include <stdbool.h>
#include <stdint.h>

struct entry_shell_settings {
	const char *front; ///< "IP:port" for callers
	const char *ready; ///< "IP:port" for the balancer's checks
	const char *ready_path;
	uint16_t rpc_port; ///< of all control replicas
	uint32_t seeds[3]; ///< control nodes, 0 ends them
	uint32_t body_max_bytes;
	uint32_t head_max_bytes;
	uint32_t grace_ms; ///< after SIGTERM the process has ended by then
};

/// Runs until SIGTERM.
///
/// @param reload reads the settings again after SIGHUP: fills in seeds; may be NULL
/// @return exit status
int entry_shell_run(const struct entry_shell_settings *settings, bool (*reload)(uint32_t seeds[3]));

#endif
