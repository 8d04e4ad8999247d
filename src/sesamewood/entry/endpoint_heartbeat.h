#ifndef SESAMEWOOD_ENTRY_ENDPOINT_HEARTBEAT_H
#define SESAMEWOOD_ENTRY_ENDPOINT_HEARTBEAT_H

/// @file
/// Parsing of the heartbeats that endpoints post as JSON. Format: docs/formats.md.

#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>

/// Parses and validates a heartbeat.
///
/// @param[out] out owned by the caller; release with codec_free(), also after a failure
/// @param[out] errors owned strings, each "<JSON path>: <error>"; must be empty on entry
/// @return true if the heartbeat is valid; else @p errors holds at least one error
bool endpoint_heartbeat_parse(const char *json, size_t len, sw_heartbeat *out, GPtrArray *errors);

#endif
