#ifndef SESAMEWOOD_BASE_JSON_CHECK_H
#define SESAMEWOOD_BASE_JSON_CHECK_H

/// @file
/// Strict syntax check of JSON text (RFC 8259), with duplicate keys refused. The JSON library
/// accepts comments and keeps the last of two equal keys, which a table must not.

#include <glib.h>
#include <stddef.h>

/// Checks @p text and adds one fault, by JSON path, when it isn't strict JSON.
///
/// @param[out] faults array of owned strings
void json_check(const char *text, size_t len, GPtrArray *faults);

#endif
