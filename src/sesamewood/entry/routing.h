#ifndef SESAMEWOOD_ENTRY_ROUTING_H
#define SESAMEWOOD_ENTRY_ROUTING_H

/// @file
/// Matching of requests to routes.

#include "base/tables.h"
#include "entry/entry_defs.h"

/// @param header looks up a request header by name, called with @p ctx
/// @return the first route in table order that matches, owned by the tables, or NULL
const struct route *routing_match(const struct tables *t, const char *method, const char *host,
				  const char *path, entry_header_fn header, const void *ctx);

/// Returns true if HTTP defines a method as idempotent (RFC 9110, section 9.2.2).
bool routing_method_is_idempotent(const char *method);

#endif
