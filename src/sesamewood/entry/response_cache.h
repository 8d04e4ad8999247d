#ifndef SESAMEWOOD_ENTRY_RESPONSE_CACHE_H
#define SESAMEWOOD_ENTRY_RESPONSE_CACHE_H

/// @file
/// Recent answers to requests with an idempotency key, for callers that ask again. Bounded; the
/// oldest go first.

#include "entry/upstream.h"
#include "rpc/generated/sesamewood.h"

struct answers;

struct answers *response_cache_new(size_t max_bytes);

/// Keeps a copy of an answer.
void response_cache_put(struct answers *a, const sw_key key, uint64_t digest, unsigned int status,
			const char *content_type, const GByteArray *body);

/// Fills a reply with the kept answer, or with SW_REFUSED. Release it with codec_free().
void response_cache_get(const struct answers *a, const sw_key key, uint64_t digest,
			sw_answer_reply *reply);

#endif
