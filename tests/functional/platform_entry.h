#ifndef SESAMEWOOD_TESTS_PLATFORM_ENTRY_H
#define SESAMEWOOD_TESTS_PLATFORM_ENTRY_H

/// @file
/// An entry of the platform's programs as a child process, on address .2 of a loopback network,
/// with a control replica on address .1 that the test provides.

#include "rpc/rpc_server.h"

#include <gio/gio.h>
#include <sys/types.h>

#define PLATFORM_ENTRY_RPC_PORT 7060
#define PLATFORM_ENTRY_FRONT_PORT 8624
#define PLATFORM_ENTRY_READY_PORT 8622

/// Returns the first three numbers of the addresses of a loopback network that other processes do
/// not use, owned by the caller.
char *platform_entry_network(void);

/// Starts a control replica that answers calls by a function of the test, in a process of its own.
///
/// @param on_call  its context is the loop of that process
pid_t platform_entry_start_control(const char *network, rpc_handler_fn on_call);

/// Starts an entry. Aborts the test on failure.
///
/// @param dir      directory for its settings and log
/// @param grace_s  time from SIGTERM until the process must have exited
GSubprocess *platform_entry_start(const char *dir, const char *network, unsigned int grace_s);

#endif
