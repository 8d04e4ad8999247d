#include "entry/routing.h"

#include <string.h>

static bool host_matches(const char *pattern, const char *host)
{
	size_t len = strlen(pattern);

	if (!len)
		return true;
	return g_ascii_strncasecmp(pattern, host, len) == 0 &&
	       (host[len] == '\0' || host[len] == ':');
}

/// A prefix matches whole path segments: /a matches /a, /a/b and /a?b but not /ab.
static bool path_matches(const char *prefix, const char *path)
{
	size_t len = strlen(prefix);

	if (!len)
		return true;
	if (strncmp(prefix, path, len) != 0)
		return false;
	return prefix[len - 1] == '/' || strchr("/?", path[len]);
}

static bool header_matches(const struct route *r, entry_header_fn header, const void *ctx)
{
	const char *value;

	if (!*r->header_name)
		return true;
	value = header(ctx, r->header_name);
	return value && g_str_equal(value, r->header_value);
}

const struct route *routing_match(const struct tables *t, const char *method, const char *host,
				  const char *path, entry_header_fn header, const void *ctx)
{
	for (guint i = 0; i < t->routes->len; i++) {
		const struct route *r = t->routes->pdata[i];

		if (host_matches(r->host, host) && path_matches(r->path_prefix, path) &&
		    (!*r->method || g_str_equal(r->method, method)) &&
		    header_matches(r, header, ctx))
			return r;
	}
	return NULL;
}

bool routing_method_is_idempotent(const char *method)
{
	static const char *const idempotent[] = {"GET",	    "HEAD",  "PUT", "DELETE",
						 "OPTIONS", "TRACE", NULL};

	return g_strv_contains(idempotent, method);
}
