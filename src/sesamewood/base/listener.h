#ifndef SESAMEWOOD_BASE_LISTENER_H
#define SESAMEWOOD_BASE_LISTENER_H

/// @file
/// Listening TCP sockets.

#include "base/clock.h"

#include <stdint.h>

/// Listens on "IP:port". While the address is used by another process or not assigned yet, tries
/// again for @p wait_ms. The address is not shared with another listener.
///
/// @return a non-blocking descriptor, or -1 with errno set
int listener_open(const char *address, clock_ms_t wait_ms);

/// Bounds the kernel's buffers of a connection, or of the connections that a listener accepts from
/// now on: what has arrived, and what is to be sent and was not sent yet. The kernel counts its own
/// structures, too, so that less payload fits.
///
/// @param bytes  for each direction of a connection
void listener_bound_buffers(int fd, uint32_t bytes);

/// Returns the memory that the kernel holds for a connection: what has arrived and was not read,
/// and what was sent and not acknowledged. 0 if it cannot be told.
uint64_t listener_connection_memory(int fd);

/// Returns the connections of a listener that use at most a part of the process's descriptors, so
/// that the rest of the process always has some.
///
/// @param fds_max descriptors that the process may use; 0: those of RLIMIT_NOFILE
uint32_t listener_connections(uint32_t fds_max, uint32_t percent);

#endif
