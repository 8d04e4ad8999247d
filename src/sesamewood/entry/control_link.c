#include "entry/control_link.h"

#include "base/codec.h"
#include "rpc/rpc_client.h"

#include <string.h>

#define RENEW_TIMEOUT_MS 400
#define CLAIM_TIMEOUT_MS 1000
#define WATCH_TIMEOUT_MS 7000
#define CLAIM_BATCH_MAX 1024
#define CLAIM_CALLS_MAX 4
#define CLAIM_RETRY_S 0.02
#define END_RETRIES_MAX 500

struct queued_claim {
	sw_claim claim;
	uint32_t tries;
};

struct control_link {
	struct ev_loop *loop;
	GPtrArray *clients; ///< struct rpc_client by node - 1
	uint32_t current;
	const struct control_link_handlers *handlers;
	void *ctx;
	GQueue claims; ///< of struct queued_claim
	uint32_t claim_calls;
	ev_timer claim_retry;
	bool claims_paused;
	bool watching;
};

struct renew_call {
	struct control_link *link;
	uint32_t node;
	clock_ms_t sent_at;
};

struct claim_call {
	struct control_link *link;
	uint32_t node;
	GPtrArray *claims; ///< of struct queued_claim
};

static void claim_free(void *p)
{
	struct queued_claim *q = p;

	codec_free(CODEC_PROC(sw_claim), &q->claim);
	g_free(q);
}

static struct rpc_client *current_client(const struct control_link *l)
{
	return l->clients->pdata[l->current];
}

/// Turns to the leader that a replica named, or to the next replica, unless that was done
/// already since the call was sent.
static void turn(struct control_link *l, uint32_t called, uint32_t leader)
{
	if (called != l->current)
		return;
	if (leader && leader <= l->clients->len && leader - 1 != called)
		l->current = leader - 1;
	else
		l->current = (l->current + 1) % l->clients->len;
}

/* Renewals. */

static void on_renewed(void *ctx, enum rpc_result result, const void *reply)
{
	struct renew_call *call = ctx;
	struct control_link *l = call->link;
	const sw_renew_reply *r = result == RPC_REPLIED ? reply : NULL;

	if (!r)
		turn(l, call->node, 0);
	else if (r->status == SW_NOT_LEADER)
		turn(l, call->node, r->leader);
	l->handlers->on_renewed(l->ctx, call->sent_at, r);
	g_free(call);
}

void control_link_renew(struct control_link *l, const sw_renew_args *args)
{
	struct renew_call *call = g_new0(struct renew_call, 1);

	*call = (struct renew_call){
		.link = l,
		.node = l->current,
		.sent_at = clock_monotonic(),
	};
	rpc_client_call(current_client(l), SW_PROC_RENEW, args, RENEW_TIMEOUT_MS, on_renewed, call);
}

/* Claims. */

static bool is_end(const struct queued_claim *q)
{
	return q->claim.state != SW_CLAIM_OPEN;
}

/// Handles a claim whose outcome is unknown.
static void claim_lost(struct control_link *l, struct queued_claim *q)
{
	if (is_end(q) && ++q->tries < END_RETRIES_MAX) {
		g_queue_push_tail(&l->claims, q);
		return;
	}
	if (!is_end(q))
		l->handlers->on_claim(l->ctx, q->claim.attempt, NULL);
	claim_free(q);
}

static void pause_claims(struct control_link *l)
{
	l->claims_paused = true;
	if (!ev_is_active(&l->claim_retry)) {
		ev_timer_set(&l->claim_retry, CLAIM_RETRY_S, 0.);
		ev_timer_start(l->loop, &l->claim_retry);
	}
}

static void on_claimed(void *ctx, enum rpc_result result, const void *reply)
{
	struct claim_call *call = ctx;
	struct control_link *l = call->link;
	const sw_claim_reply *r = result == RPC_REPLIED ? reply : NULL;
	bool ok = r && r->status == SW_OK && r->results.results_len == call->claims->len;

	l->claim_calls--;
	if (!ok) {
		turn(l, call->node, r ? r->leader : 0);
		pause_claims(l);
	}
	for (guint i = 0; i < call->claims->len; i++) {
		struct queued_claim *q = call->claims->pdata[i];

		if (!ok) {
			claim_lost(l, q);
			continue;
		}
		if (!is_end(q))
			l->handlers->on_claim(l->ctx, q->claim.attempt, &r->results.results_val[i]);
		claim_free(q);
	}
	g_ptr_array_unref(call->claims);
	g_free(call);
	control_link_flush(l);
}

static void send_claims(struct control_link *l)
{
	struct claim_call *call = g_new0(struct claim_call, 1);
	g_autofree sw_claim *list = g_new0(sw_claim, CLAIM_BATCH_MAX);
	sw_claim_args args = {.claims = {.claims_val = list}};

	*call = (struct claim_call){
		.link = l,
		.node = l->current,
		.claims = g_ptr_array_new(),
	};
	while (l->claims.length && call->claims->len < CLAIM_BATCH_MAX) {
		struct queued_claim *q = g_queue_pop_head(&l->claims);

		list[args.claims.claims_len++] = q->claim;
		g_ptr_array_add(call->claims, q);
	}
	l->claim_calls++;
	rpc_client_call(current_client(l), SW_PROC_CLAIM, &args, CLAIM_TIMEOUT_MS, on_claimed,
			call);
}

void control_link_claim(struct control_link *l, const sw_claim *claim)
{
	struct queued_claim *q = g_new0(struct queued_claim, 1);

	codec_copy(CODEC_PROC(sw_claim), claim, &q->claim, sizeof(q->claim));
	g_queue_push_tail(&l->claims, q);
}

void control_link_flush(struct control_link *l)
{
	while (l->claims.length && !l->claims_paused && l->claim_calls < CLAIM_CALLS_MAX)
		send_claims(l);
}

static void on_claim_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct control_link *l = w->data;

	(void)loop;
	(void)revents;
	l->claims_paused = false;
	control_link_flush(l);
}

/* Watching. */

static void on_watched(void *ctx, enum rpc_result result, const void *reply)
{
	struct control_link *l = ctx;
	const sw_watch_reply *r = result == RPC_REPLIED ? reply : NULL;

	l->watching = false;
	if (r && r->status == SW_OK)
		l->handlers->on_change(l->ctx);
}

void control_link_watch(struct control_link *l, const char *entry, uint64_t session,
			uint64_t have_index)
{
	sw_watch_args args = {
		.entry = (char *)entry,
		.session = session,
		.have_index = have_index,
	};

	if (l->watching)
		return;
	l->watching = true;
	rpc_client_call(current_client(l), SW_PROC_WATCH, &args, WATCH_TIMEOUT_MS, on_watched, l);
}

struct control_link *control_link_new(struct ev_loop *loop, char **addresses,
				      const struct control_link_handlers *handlers, void *ctx)
{
	struct control_link *l = g_new0(struct control_link, 1);

	l->loop = loop;
	l->clients = g_ptr_array_new();
	l->handlers = handlers;
	l->ctx = ctx;
	g_queue_init(&l->claims);
	for (int i = 0; addresses[i]; i++)
		g_ptr_array_add(l->clients, rpc_client_new(loop, addresses[i]));
	ev_timer_init(&l->claim_retry, on_claim_retry, CLAIM_RETRY_S, 0.);
	l->claim_retry.data = l;
	return l;
}
