#include "manager/wire.h"

#include <string.h>

void wire_request_clear(struct wire_request *r)
{
	g_free(r->address);
	g_free(r->path);
	g_free(r->body);
	if (r->headers)
		g_ptr_array_unref(r->headers);
	memset(r, 0, sizeof(*r));
}
