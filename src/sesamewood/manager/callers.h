#ifndef SESAMEWOOD_MANAGER_CALLERS_H
#define SESAMEWOOD_MANAGER_CALLERS_H

/// @file
/// Requests that wait for a reply of the leader: received by HTTP, or forwarded over RPC by an
/// entry or another replica.

#include "base/http_server.h"
#include "manager/relay.h"
#include "manager/wire.h"
#include "rpc/rpc_server.h"

/// One waiting request; exactly one field is set.
struct caller {
	struct rpc_request *rpc;
	struct http_request *http;
};

/// Answers a request and frees it.
///
/// @param retry_after_s seconds; 0: no Retry-After header
/// @param body JSON, or NULL
void caller_answer(const struct caller *c, unsigned int status, uint32_t retry_after_s,
		   const char *body, size_t len);

/// Answers an HTTP request that was forwarded to the leader: 503 if no leader took it, 504 if it
/// may have had an effect.
void caller_answer_relayed(struct http_request *http, enum relay_outcome outcome,
			   const sw_relay_reply *reply);

/// Requests that wait for a reply, by token.
struct callers;

/// Creates an empty table that lives as long as the process. Borrows @p wire.
struct callers *callers_new(const struct wire *wire);

/// Adds a waiting request; one of @p rpc and @p http is NULL.
///
/// @return token to pass to callers_reply()
uint64_t callers_add(struct callers *c, struct rpc_request *rpc, struct http_request *http);

/// Answers the request of a token; does nothing if it no longer waits.
void callers_reply(struct callers *c, uint64_t token, const struct reply *reply);

/// Answers all waiting requests with an unknown outcome: HTTP 504, or SW_BUSY over RPC.
void callers_abandon(struct callers *c);

#endif
