#ifndef SESAMEWOOD_ENTRY_ANNOUNCEMENT_H
#define SESAMEWOOD_ENTRY_ANNOUNCEMENT_H

/// @file
/// Parsing of the announcements that endpoints post. Format: docs/formats.md.

#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>

/// Parses and checks an announcement.
///
/// @param[out] out release with codec_free(), also after a failure
/// @param[out] faults owned strings, by JSON path
bool announcement_parse(const char *json, size_t len, sw_heartbeat *out, GPtrArray *faults);

#endif
