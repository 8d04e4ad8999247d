#ifndef SESAMEWOOD_MANAGER_WIRE_H
#define SESAMEWOOD_MANAGER_WIRE_H

/// @file
/// What an adapter provides: names and formats of one platform, as a table of functions. An
/// adapter decodes each message once and decides nothing.

#include "manager/manager_defs.h"

/// A call as it arrived by HTTP.
struct wire_call {
	bool from_caller; ///< at a caller's listener, not at control's
	const char *method;
	const char *host;
	const char *target;
	const void *body;
	size_t len;
};

/// An order as it goes out by HTTP. Release with wire_request_clear().
struct wire_request {
	char *address;
	char *path;
	bool get;
	GPtrArray *headers; ///< strings, NULL-terminated; NULL: none
	char *body;	    ///< JSON, or NULL
};

struct wire {
	/// Tells whether a call is an endpoint's report, before it is decoded.
	bool (*is_heartbeat)(void *ctx, const struct wire_call *from);
	void (*decode_call)(void *ctx, const struct wire_call *from, struct call *to);
	/// Writes the body of a reply.
	///
	/// @return HTTP status
	unsigned int (*encode_reply)(void *ctx, const struct reply *reply, GString *body);
	/// @return false when there is nowhere to send it
	bool (*encode_order)(void *ctx, const struct order *order, struct wire_request *to);
	/// @param status HTTP status of the answer
	struct order_result *(*decode_result)(void *ctx, const struct order *order,
					      unsigned int status, const void *body, size_t len);
	void *ctx;
};

void wire_request_clear(struct wire_request *r);

#endif
