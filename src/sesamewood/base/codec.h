#ifndef SESAMEWOOD_BASE_CODEC_H
#define SESAMEWOOD_BASE_CODEC_H

/// @file
/// XDR encoding of whole values to and from memory.

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>

/// Encodes @p value by @p proc.
///
/// @return a new byte array, or NULL when the value exceeds a limit of its type
GByteArray *codec_encode(xdrproc_t proc, const void *value);

/// Decodes a value that fills @p len bytes exactly.
///
/// @param[out] value zeroed memory of @p size bytes; release with codec_free()
/// @return false on malformed input; @p value then holds nothing
bool codec_decode(xdrproc_t proc, const void *data, size_t len, void *value, size_t size);

/// Makes a deep copy of @p from in @p to.
bool codec_copy(xdrproc_t proc, const void *from, void *to, size_t size);

/// Releases what a decoded or copied value holds, not the value itself.
void codec_free(xdrproc_t proc, void *value);

/// Replaces an XDR string with a copy of @p text.
void codec_set_string(char **field, const char *text);

#define CODEC_PROC(type) ((xdrproc_t)(void *)xdr_##type)

#endif
