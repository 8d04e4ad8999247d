#ifndef SESAMEWOOD_ENTRY_RESPONSE_CACHE_H
#define SESAMEWOOD_ENTRY_RESPONSE_CACHE_H

/// @file
/// Cache of recent responses to requests with an idempotency key, for callers that resend. Limited
/// by size; evicts the oldest responses first.

#include "entry/upstream.h"
#include "rpc/generated/sesamewood.h"

struct response_cache;

/// @param max_bytes limit for bodies and per-item overhead together
struct response_cache *response_cache_new(size_t max_bytes);

/// Stores a copy of a response. One larger than the whole cache isn't stored.
///
/// @param digest of the request; a resend must have the same one
void response_cache_put(struct response_cache *cache, const sw_key key, uint64_t digest,
			unsigned int status, const char *content_type, const GByteArray *body);

/// Looks up the response to a request.
///
/// @param[out] reply the response, or status SW_REFUSED if there is none for this key and digest;
/// owned by the caller, release with codec_free()
void response_cache_get(const struct response_cache *cache, const sw_key key, uint64_t digest,
			sw_answer_reply *reply);

#endif
