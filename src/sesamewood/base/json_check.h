#ifndef SESAMEWOOD_BASE_JSON_CHECK_H
#define SESAMEWOOD_BASE_JSON_CHECK_H

/// @file
/// Strict syntax check of JSON text (RFC 8259) that also rejects duplicate keys. The JSON library
/// accepts comments and silently keeps the last of two equal keys, either of which would hide an
/// operator's mistake in a table. Finds strings that are not carried whole.

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/// Deepest nesting of objects and arrays that is accepted. The JSON library descends by recursion
/// without a limit of its own.
#define JSON_DEPTH_MAX 16

/// Tells whether text may be given to the JSON library: nothing stands outside strings that JSON
/// does not have there, such as a comment, and nothing is nested more than JSON_DEPTH_MAX deep.
/// Much cheaper than json_check(), which checks the whole syntax.
bool json_is_safe_to_parse(const char *text, size_t len);

/// Stands for a string that cannot be carried. No reader accepts it: it is neither a text, a flag,
/// a list nor an object, and below the range of all numbers.
#define JSON_NOT_CARRIED "-0.5"

/// Looks for strings that a text cannot hold whole: with U+0000, at which it would end, an unpaired
/// surrogate, an escape that JSON does not have, or invalid UTF-8. The JSON library accepts most of
/// these and drops or changes a part of them.
///
/// @return copy of the text with JSON_NOT_CARRIED in the place of such values, and an empty name in
/// the place of such names, so that the members beside them can be read; NULL if there are none
GString *json_replace_not_carried(const char *text, size_t len);

/// Checks @p len bytes of @p text. Unless they are strict JSON, adds the first error in the form
/// "JSON path: message".
///
/// @param[out] errors array of owned strings
void json_check(const char *text, size_t len, GPtrArray *errors);

#endif
