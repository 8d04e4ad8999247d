#ifndef SESAMEWOOD_BASE_JSON_CHECK_H
#define SESAMEWOOD_BASE_JSON_CHECK_H

/// @file
/// Strict syntax check of JSON text (RFC 8259) that also rejects duplicate keys. The JSON library
/// accepts comments and silently keeps the last of two equal keys, either of which would hide an
/// operator's mistake in a table.

#include <glib.h>
#include <stddef.h>

/// Checks @p len bytes of @p text. Unless they are strict JSON, adds the first error in the form
/// "JSON path: message".
///
/// @param[out] errors array of owned strings
void json_check(const char *text, size_t len, GPtrArray *errors);

#endif
