#include "manager/callers.h"

#include "base/http_status.h"
#include "rpc/generated/sesamewood.h"

/// Only reads have answers of this size. They can be asked for again, and are refused when there is
/// no memory for them.
#define LARGE_ANSWER_BYTES 65536
#define LARGE_RETRY_S 1

struct callers {
	const struct wire *wire;
	GHashTable *waiting; ///< struct caller by token
	uint64_t next_token;
};

struct callers *callers_new(const struct wire *wire)
{
	struct callers *c = g_new0(struct callers, 1);

	c->wire = wire;
	c->waiting = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return c;
}

void caller_answer(const struct caller *c, unsigned int status, uint32_t retry_after_s,
		   const char *body, size_t len)
{
	if (c->rpc && len >= LARGE_ANSWER_BYTES && !rpc_request_admit_reply(c->rpc, len)) {
		caller_answer(c, HTTP_UNAVAILABLE, LARGE_RETRY_S, NULL, 0);
		return;
	}
	if (c->rpc) {
		sw_relay_reply r = {
			.status = SW_OK,
			.http_status = status,
			.retry_after_s = retry_after_s,
			.body = {.sw_blob_len = len, .sw_blob_val = (char *)body},
		};

		rpc_request_reply(c->rpc, &r);
		return;
	}
	if (c->http) {
		g_autofree char *after = g_strdup_printf("%u", retry_after_s);
		const struct http_header headers[] = {
			{len ? "Content-Type" : "Retry-After", len ? "application/json" : after},
			{len && retry_after_s ? "Retry-After" : NULL, after},
			{NULL, NULL},
		};

		http_reply(c->http, status, len || retry_after_s ? headers : NULL, body, len);
	}
}

void caller_answer_relayed(struct http_request *http, enum relay_outcome outcome,
			   const sw_relay_reply *reply)
{
	const struct caller c = {.http = http};

	switch (outcome) {
	case RELAY_ANSWERED:
		caller_answer(&c, reply->http_status, reply->retry_after_s, reply->body.sw_blob_val,
			      reply->body.sw_blob_len);
		break;
	case RELAY_NOT_DONE:
		caller_answer(&c, HTTP_UNAVAILABLE, 1, NULL, 0);
		break;
	case RELAY_UNKNOWN:
		caller_answer(&c, HTTP_GATEWAY_TIMEOUT, 0, NULL, 0);
		break;
	}
}

uint64_t callers_add(struct callers *c, struct rpc_request *rpc, struct http_request *http)
{
	struct caller *caller = g_new0(struct caller, 1);

	*caller = (struct caller){.rpc = rpc, .http = http};
	c->next_token++;
	g_hash_table_insert(c->waiting, (gpointer)c->next_token, caller);
	return c->next_token;
}

void callers_reply(struct callers *c, uint64_t token, const struct reply *reply)
{
	const struct caller *caller = g_hash_table_lookup(c->waiting, (gpointer)token);
	g_autoptr(GString) body = g_string_new(NULL);
	unsigned int status;

	if (!caller)
		return;
	status = c->wire->encode_reply(c->wire->ctx, reply, body);
	caller_answer(caller, status, reply->retry_after_s, body->str, body->len);
	g_hash_table_remove(c->waiting, (gpointer)token);
}

static void answer_outcome_unknown(const struct caller *caller)
{
	sw_relay_reply r = {.status = SW_BUSY};

	if (caller->rpc)
		rpc_request_reply(caller->rpc, &r);
	else
		caller_answer(caller, HTTP_GATEWAY_TIMEOUT, 0, NULL, 0);
}

void callers_abandon(struct callers *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		answer_outcome_unknown(value);
		g_hash_table_iter_remove(&iter);
	}
}
