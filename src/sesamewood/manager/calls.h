#ifndef SESAMEWOOD_MANAGER_CALLS_H
#define SESAMEWOOD_MANAGER_CALLS_H

/// @file
/// API requests of callers, operators and endpoints.

#include "manager/manager_internal.h"

/// Handles a decoded request and emits its reply with @p token. May modify @p call, whose owner
/// stays the caller.
void calls_handle(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, uint64_t token,
		  struct call *call);

#endif
