#ifndef SESAMEWOOD_MANAGER_CONTROL_SHELL_H
#define SESAMEWOOD_MANAGER_CONTROL_SHELL_H

/// @file
/// The shell of a control replica that manages jobs: replicated log, storage, listeners and
/// calls to endpoints around the manager's reducer.

#include "manager/manager.h"
#include "manager/wire.h"

struct control_shell_settings {
	struct manager_settings manager;
	const char *listen; ///< "IP:port" for endpoints and operators
	const char *ip;	    ///< own address; the node's number is made of it
	uint16_t rpc_port;  ///< of all control replicas
	const char *data;   ///< folder
	bool bootstrap;
	uint32_t seeds[3]; ///< nodes, 0 ends them
	uint32_t body_max_bytes;
	uint32_t grace_ms; ///< after SIGTERM the process has ended by then
};

/// Runs until SIGTERM.
///
/// @param reload reads the settings again after SIGHUP: fills in seeds; may be NULL
/// @return exit status
int control_shell_run(const struct control_shell_settings *settings, const struct wire *wire,
		      bool (*reload)(uint32_t seeds[3]));

#endif
