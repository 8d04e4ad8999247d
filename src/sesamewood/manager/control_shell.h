#ifndef SESAMEWOOD_MANAGER_CONTROL_SHELL_H
#define SESAMEWOOD_MANAGER_CONTROL_SHELL_H

/// @file
/// The shell of a control replica that manages jobs, that is the event loop and I/O around the
/// manager's reducer: replicated log, storage, listeners and calls to endpoints.

#include "manager/manager.h"
#include "manager/wire.h"

struct control_shell_settings {
	struct manager_settings manager;
	const char *listen;	   ///< "IP:port" for endpoints and operators
	const char *ip;		   ///< own IPv4 address, also used as the node number
	uint16_t rpc_port;	   ///< of all control replicas
	const char *data;	   ///< data directory
	bool bootstrap;		   ///< may form a new cluster
	bool non_voter;		   ///< gets no vote while other replicas may have one
	uint32_t tolerated_losses; ///< replicas that may be lost at once
	uint32_t seeds[3];	   ///< control nodes, terminated by 0
	uint32_t body_max_bytes;
	uint32_t memory_mb;	    ///< memory of the process; 0: not stated
	uint32_t fds_max;	    ///< descriptors of the process; 0: not stated
	uint32_t arrival_timeout_s; ///< see http_limits; 0: default
	uint32_t address_requests;  ///< see http_limits; 0: default
	uint32_t grace_ms;	    ///< time from SIGTERM until the process must have exited
};

/// Runs the process until SIGTERM. Exits the process if the data directory or an address cannot be
/// used.
///
/// @param reload reloads the settings on SIGHUP and fills in the seeds; may be NULL
/// @return exit status
int control_shell_run(const struct control_shell_settings *settings, const struct wire *wire,
		      bool (*reload)(uint32_t seeds[3]));

#endif
