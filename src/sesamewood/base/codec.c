#include "base/codec.h"

#include <stdlib.h>
#include <string.h>

GByteArray *codec_encode(xdrproc_t proc, const void *value)
{
	XDR xdr;
	unsigned long size = xdr_sizeof(proc, (void *)value);
	GByteArray *out = g_byte_array_sized_new(size);

	g_byte_array_set_size(out, size);
	xdrmem_create(&xdr, (char *)out->data, size, XDR_ENCODE);
	if (!proc(&xdr, (void *)value)) {
		g_byte_array_unref(out);
		return NULL;
	}
	return out;
}

bool codec_decode_part(xdrproc_t proc, const void *data, size_t len, void *value, size_t size,
		       size_t *used)
{
	XDR xdr;

	memset(value, 0, size);
	xdrmem_create(&xdr, (char *)data, len, XDR_DECODE);
	if (!proc(&xdr, value)) {
		codec_free(proc, value);
		memset(value, 0, size);
		return false;
	}
	*used = xdr_getpos(&xdr);
	return true;
}

bool codec_decode(xdrproc_t proc, const void *data, size_t len, void *value, size_t size)
{
	size_t used;

	if (!codec_decode_part(proc, data, len, value, size, &used))
		return false;
	if (used == len)
		return true;
	codec_free(proc, value);
	memset(value, 0, size);
	return false;
}

bool codec_copy(xdrproc_t proc, const void *from, void *to, size_t size)
{
	g_autoptr(GByteArray) bytes = codec_encode(proc, from);

	return bytes && codec_decode(proc, bytes->data, bytes->len, to, size);
}

void codec_free(xdrproc_t proc, void *value)
{
	XDR xdr;

	memset(&xdr, 0, sizeof(xdr));
	xdr.x_op = XDR_FREE;
	proc(&xdr, value);
}

void codec_set_string(char **field, const char *text)
{
	char *copy = strdup(text);

	free(*field);
	*field = copy;
}
