#ifndef SESAMEWOOD_MANAGER_CALLERS_H
#define SESAMEWOOD_MANAGER_CALLERS_H

/// @file
/// Who waits for a reply of the leader: a call that came by HTTP, or one that an entry or another
/// replica passed on by RPC.

#include "base/http_server.h"
#include "manager/relay.h"
#include "manager/wire.h"
#include "rpc/rpc_server.h"

/// One caller; either field is set.
struct caller {
	struct rpc_request *rpc;
	struct http_request *http;
};

/// @param body JSON, or NULL
void caller_answer(const struct caller *c, unsigned int status, uint32_t retry_after_s,
		   const char *body, size_t len);

/// Answers a call that was passed on to the leader.
void caller_answer_relayed(struct http_request *http, enum relay_outcome outcome,
			   const sw_relay_reply *reply);

struct callers;

struct callers *callers_new(const struct wire *wire);

/// @return token by which the reply will find the caller
uint64_t callers_add(struct callers *c, struct rpc_request *rpc, struct http_request *http);

/// Answers the caller of a token, when it still waits.
void callers_reply(struct callers *c, uint64_t token, const struct reply *reply);

/// Tells all who wait that their calls may have had an effect, or may not.
void callers_abandon(struct callers *c);

#endif
