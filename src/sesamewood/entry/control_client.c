#include "entry/control_client.h"

#include "base/codec.h"
#include "rpc/rpc_client.h"

#include <string.h>

#define RENEW_TIMEOUT_MS 400
#define CLAIM_TIMEOUT_MS 1000
#define WATCH_TIMEOUT_MS 7000
#define CLAIM_BATCH_MAX 1024
#define CLAIM_CALLS_MAX 4
#define CLAIM_RETRY_DELAY_S 0.02
#define CLAIM_CLOSE_TRIES_MAX 500

struct queued_claim {
	sw_claim claim;
	uint32_t tries; ///< calls that failed
};

struct control_client {
	struct ev_loop *loop;
	GPtrArray *clients;	///< struct rpc_client by node - 1
	uint32_t current_index; ///< of the client in use; taken to be the leader's
	const struct control_client_handlers *handlers;
	void *ctx;
	GQueue claims;		   ///< of struct queued_claim
	uint32_t claim_calls_open; ///< sent, without a reply yet
	ev_timer claim_retry;
	bool claims_paused; ///< after a failed call, until claim_retry fires
	bool watching;
};

struct renew_call {
	struct control_client *client;
	uint32_t client_index;
	clock_ms_t sent_at;
};

struct claim_call {
	struct control_client *client;
	uint32_t client_index;
	GPtrArray *claims; ///< of struct queued_claim
};

static void queued_claim_free(void *p)
{
	struct queued_claim *q = p;

	codec_free(CODEC_PROC(sw_claim), &q->claim);
	g_free(q);
}

static struct rpc_client *current_client(const struct control_client *c)
{
	return c->clients->pdata[c->current_index];
}

/// Switches to the leader that a replica named, or to the next replica. Does nothing if another
/// call has caused a switch since this one was sent.
///
/// @param called_index of the client that the failed call used
/// @param leader node that the replica named; 0: none
static void switch_replica(struct control_client *c, uint32_t called_index, uint32_t leader)
{
	if (called_index != c->current_index)
		return;
	if (leader && leader <= c->clients->len && leader - 1 != called_index)
		c->current_index = leader - 1;
	else
		c->current_index = (c->current_index + 1) % c->clients->len;
}

static void on_renewed(void *ctx, enum rpc_result result, const void *reply)
{
	struct renew_call *call = ctx;
	struct control_client *c = call->client;
	const sw_renew_reply *r = result == RPC_REPLIED ? reply : NULL;

	if (!r)
		switch_replica(c, call->client_index, 0);
	else if (r->status == SW_NOT_LEADER)
		switch_replica(c, call->client_index, r->leader);
	c->handlers->on_renewed(c->ctx, call->sent_at, r);
	g_free(call);
}

void control_client_renew(struct control_client *c, const sw_renew_args *args)
{
	struct renew_call *call = g_new0(struct renew_call, 1);

	*call = (struct renew_call){
		.client = c,
		.client_index = c->current_index,
		.sent_at = clock_monotonic(),
	};
	rpc_client_call(current_client(c), SW_PROC_RENEW, args, RENEW_TIMEOUT_MS, on_renewed, call);
}

/// Returns true if the message closes a claim, false if it opens one.
static bool closes_claim(const struct queued_claim *q)
{
	return q->claim.state != SW_CLAIM_OPEN;
}

/// Handles a claim whose call got no usable reply. One that closes a claim is queued again. One
/// that opens a claim is reported as unknown; the reducer decides whether to send it again.
static void handle_unanswered_claim(struct control_client *c, struct queued_claim *q)
{
	if (closes_claim(q) && ++q->tries < CLAIM_CLOSE_TRIES_MAX) {
		g_queue_push_tail(&c->claims, q);
		return;
	}
	if (!closes_claim(q))
		c->handlers->on_claim(c->ctx, q->claim.attempt, NULL);
	queued_claim_free(q);
}

static void pause_claims(struct control_client *c)
{
	c->claims_paused = true;
	if (!ev_is_active(&c->claim_retry)) {
		ev_timer_set(&c->claim_retry, CLAIM_RETRY_DELAY_S, 0.);
		ev_timer_start(c->loop, &c->claim_retry);
	}
}

static void on_claimed(void *ctx, enum rpc_result result, const void *reply)
{
	struct claim_call *call = ctx;
	struct control_client *c = call->client;
	const sw_claim_reply *r = result == RPC_REPLIED ? reply : NULL;
	bool ok = r && r->status == SW_OK && r->results.results_len == call->claims->len;

	c->claim_calls_open--;
	if (!ok) {
		switch_replica(c, call->client_index, r ? r->leader : 0);
		pause_claims(c);
	}
	for (guint i = 0; i < call->claims->len; i++) {
		struct queued_claim *q = call->claims->pdata[i];

		if (!ok) {
			handle_unanswered_claim(c, q);
			continue;
		}
		if (!closes_claim(q))
			c->handlers->on_claim(c->ctx, q->claim.attempt, &r->results.results_val[i]);
		queued_claim_free(q);
	}
	g_ptr_array_unref(call->claims);
	g_free(call);
	control_client_flush(c);
}

static void send_claims(struct control_client *c)
{
	struct claim_call *call = g_new0(struct claim_call, 1);
	g_autofree sw_claim *list = g_new0(sw_claim, CLAIM_BATCH_MAX);
	sw_claim_args args = {.claims = {.claims_val = list}};

	*call = (struct claim_call){
		.client = c,
		.client_index = c->current_index,
		.claims = g_ptr_array_new(),
	};
	while (c->claims.length && call->claims->len < CLAIM_BATCH_MAX) {
		struct queued_claim *q = g_queue_pop_head(&c->claims);

		list[args.claims.claims_len++] = q->claim;
		g_ptr_array_add(call->claims, q);
	}
	c->claim_calls_open++;
	rpc_client_call(current_client(c), SW_PROC_CLAIM, &args, CLAIM_TIMEOUT_MS, on_claimed,
			call);
}

void control_client_queue_claim(struct control_client *c, const sw_claim *claim)
{
	struct queued_claim *q = g_new0(struct queued_claim, 1);

	codec_copy(CODEC_PROC(sw_claim), claim, &q->claim, sizeof(q->claim));
	g_queue_push_tail(&c->claims, q);
}

void control_client_flush(struct control_client *c)
{
	while (c->claims.length && !c->claims_paused && c->claim_calls_open < CLAIM_CALLS_MAX)
		send_claims(c);
}

static void on_claim_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct control_client *c = w->data;

	(void)loop;
	(void)revents;
	c->claims_paused = false;
	control_client_flush(c);
}

static void on_watched(void *ctx, enum rpc_result result, const void *reply)
{
	struct control_client *c = ctx;
	const sw_watch_reply *r = result == RPC_REPLIED ? reply : NULL;

	c->watching = false;
	if (r && r->status == SW_OK)
		c->handlers->on_change(c->ctx);
}

void control_client_watch(struct control_client *c, const char *entry, uint64_t session,
			  uint64_t applied_view_index)
{
	sw_watch_args args = {
		.entry = (char *)entry,
		.session = session,
		.applied_view_index = applied_view_index,
	};

	if (c->watching)
		return;
	c->watching = true;
	rpc_client_call(current_client(c), SW_PROC_WATCH, &args, WATCH_TIMEOUT_MS, on_watched, c);
}

struct control_client *control_client_new(struct ev_loop *loop, char **addresses,
					  const struct control_client_handlers *handlers, void *ctx)
{
	struct control_client *c = g_new0(struct control_client, 1);

	c->loop = loop;
	c->clients = g_ptr_array_new();
	c->handlers = handlers;
	c->ctx = ctx;
	g_queue_init(&c->claims);
	for (int i = 0; addresses[i]; i++)
		g_ptr_array_add(c->clients, rpc_client_new(loop, addresses[i]));
	ev_timer_init(&c->claim_retry, on_claim_retry, CLAIM_RETRY_DELAY_S, 0.);
	c->claim_retry.data = c;
	return c;
}
