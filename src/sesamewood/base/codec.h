#ifndef SESAMEWOOD_BASE_CODEC_H
#define SESAMEWOOD_BASE_CODEC_H

/// @file
/// XDR encoding of complete values to memory, and decoding from memory.

#include <glib.h>
#include <rpc/rpc.h>
#include <stdbool.h>
#include <stddef.h>

/// Encodes @p value with the XDR routine @p proc.
///
/// @return a new byte array, owned by the caller, or NULL when the value exceeds a limit of its
/// type
GByteArray *codec_encode(xdrproc_t proc, const void *value);

/// Decodes a value that takes up exactly @p len bytes.
///
/// @param[out] value memory of @p size bytes, which is zeroed first; release with codec_free()
/// @return false on malformed input or trailing bytes; @p value is then zeroed and owns no memory
bool codec_decode(xdrproc_t proc, const void *data, size_t len, void *value, size_t size);

/// Decodes a value at the start of @p data, which other bytes may follow.
///
/// @param[out] used  length of the value; not set on failure
/// @return false on malformed input; @p value is then zeroed and owns no memory
bool codec_decode_part(xdrproc_t proc, const void *data, size_t len, void *value, size_t size,
		       size_t *used);

/// Makes a deep copy of @p from in @p to, which has @p size bytes. Release it with codec_free().
///
/// @return false when @p from exceeds a limit of its type
bool codec_copy(xdrproc_t proc, const void *from, void *to, size_t size);

/// Releases the memory that a decoded or copied value owns, but not @p value itself.
void codec_free(xdrproc_t proc, void *value);

/// Frees the XDR string in @p field and replaces it with a copy of @p text.
void codec_set_string(char **field, const char *text);

/// The XDR routine that rpcgen generates for @p type.
#define CODEC_PROC(type) ((xdrproc_t)(void *)xdr_##type)

#endif
