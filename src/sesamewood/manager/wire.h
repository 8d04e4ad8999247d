#ifndef SESAMEWOOD_MANAGER_WIRE_H
#define SESAMEWOOD_MANAGER_WIRE_H

/// @file
/// Interface of a platform adapter, which maps calls and orders to the platform's wire names and
/// formats. An adapter only encodes and decodes; it makes no decisions.

#include "manager/manager_defs.h"

/// An undecoded HTTP request. All pointers are borrowed.
struct wire_call {
	bool from_caller; ///< received by an entry from a caller, not by control
	const char *method;
	const char *host;
	const char *target;
	const void *key; ///< access key of the caller
	size_t key_len;	 ///< 0: none
	const void *body;
	size_t len;
};

/// An order encoded as an HTTP request. Release with wire_request_clear().
struct wire_request {
	char *address;
	char *path;
	bool get;	    ///< GET instead of POST
	GPtrArray *headers; ///< strings, NULL-terminated; NULL: none
	char *body;	    ///< JSON, or NULL
};

struct wire {
	/// Returns whether a call is an endpoint's heartbeat, without decoding its body.
	bool (*is_heartbeat)(void *ctx, const struct wire_call *from);
	/// Decodes a request; the type of a malformed one is CALL_INVALID. The caller releases
	/// @p to with call_clear().
	void (*decode_call)(void *ctx, const struct wire_call *from, struct call *to);
	/// Encodes the body of a reply.
	///
	/// @return HTTP status
	unsigned int (*encode_reply)(void *ctx, const struct reply *reply, GString *body);
	/// Encodes an order; the caller releases @p to.
	///
	/// @return false if the order has no destination address
	bool (*encode_order)(void *ctx, const struct order *order, struct wire_request *to);
	/// Decodes the answer to an order; the caller owns the result.
	///
	/// @param status HTTP status of the answer
	struct order_result *(*decode_result)(void *ctx, const struct order *order,
					      unsigned int status, const void *body, size_t len);
	void *ctx;
};

/// Frees the contents of a request and zeroes it.
void wire_request_clear(struct wire_request *r);

#endif
