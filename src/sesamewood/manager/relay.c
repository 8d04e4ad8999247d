#include "manager/relay.h"

#include "base/codec.h"
#include "rpc/rpc_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

/// Longer than a group commit on a slow disk; two tries fit into a caller's second.
#define TRY_TIMEOUT_MS 700
#define RETRY_S 0.06 /* several retries within an election */
#define SEEDS_MAX 3
#define MEMBERS_MAX 16

struct relay {
	struct ev_loop *loop;
	uint16_t port;
	uint32_t own;
	GHashTable *clients; ///< struct rpc_client by node
	uint32_t seeds[SEEDS_MAX];
	unsigned int n_seeds;
	uint32_t members[MEMBERS_MAX];
	unsigned int n_members;
	uint32_t leader;	 ///< 0: unknown
	unsigned int next_index; ///< position of the round-robin choice in members and seeds
	clock_ms_t answered_at;
};

/// A call that is being forwarded.
struct relayed_call {
	struct relay *relay;
	sw_relay_args args;
	clock_ms_t deadline;
	ev_timer retry;
	uint32_t node;	      ///< receiver of the current try
	bool may_have_effect; ///< an earlier try may have had an effect
	relay_fn fn;
	void *ctx;
};

static void client_free(void *p)
{
	rpc_client_free(p);
}

struct relay *relay_new(struct ev_loop *loop, uint16_t port, uint32_t own)
{
	struct relay *r = g_new0(struct relay, 1);

	*r = (struct relay){
		.loop = loop,
		.port = port,
		.own = own,
		.clients = g_hash_table_new_full(NULL, NULL, NULL, client_free),
	};
	return r;
}

void relay_set_seeds(struct relay *r, const uint32_t *nodes, unsigned int n)
{
	r->n_seeds = MIN(n, SEEDS_MAX);
	memcpy(r->seeds, nodes, r->n_seeds * sizeof(nodes[0]));
}

void relay_set_leader(struct relay *r, uint32_t node)
{
	r->leader = node;
}

clock_ms_t relay_answered_at(const struct relay *r)
{
	return r->answered_at;
}

struct rpc_client *relay_client(struct relay *r, uint32_t node)
{
	struct rpc_client *client = g_hash_table_lookup(r->clients, GUINT_TO_POINTER(node));
	struct in_addr ip = {.s_addr = htonl(node)};
	g_autofree char *address = NULL;

	if (client)
		return client;
	address = g_strdup_printf("%s:%u", inet_ntoa(ip), r->port);
	client = rpc_client_new(r->loop, address);
	g_hash_table_insert(r->clients, GUINT_TO_POINTER(node), client);
	return client;
}

/// Returns the next member or seed in round-robin order, without this node; 0 if there is none.
static uint32_t next_node(struct relay *r)
{
	unsigned int n = r->n_members + r->n_seeds;

	for (unsigned int i = 0; i < n; i++) {
		unsigned int at = r->next_index++ % n;
		uint32_t node = at < r->n_members ? r->members[at] : r->seeds[at - r->n_members];

		if (node != r->own)
			return node;
	}
	return 0;
}

static void finish(struct relayed_call *c, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	ev_timer_stop(c->relay->loop, &c->retry);
	c->fn(c->ctx, outcome, reply);
	codec_free(CODEC_PROC(sw_relay_args), &c->args);
	g_free(c);
}

static void update_leader(struct relay *r, uint32_t from, const sw_relay_reply *reply)
{
	if (reply->members.members_len) {
		r->n_members = MIN(reply->members.members_len, MEMBERS_MAX);
		memcpy(r->members, reply->members.members_val, r->n_members * sizeof(uint32_t));
	}
	if (reply->status == SW_OK)
		r->leader = from;
	else if (reply->leader != from)
		r->leader = reply->leader != r->own ? reply->leader : 0;
}

static void on_reply(void *ctx, enum rpc_result result, const void *value);

static void send_now(struct relayed_call *c)
{
	struct relay *r = c->relay;
	clock_ms_t left = c->deadline - clock_monotonic();

	if (left <= 0) {
		finish(c, c->may_have_effect ? RELAY_UNKNOWN : RELAY_NOT_DONE, NULL);
		return;
	}
	c->node = r->leader ? r->leader : next_node(r);
	if (!c->node) {
		ev_timer_again(r->loop, &c->retry);
		return;
	}
	rpc_client_call_patiently(relay_client(r, c->node), SW_PROC_RELAY, &c->args,
				  MIN(left, TRY_TIMEOUT_MS), left, on_reply, c);
}

static void on_retry(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)revents;
	ev_timer_stop(loop, w);
	send_now(w->data);
}

static void on_reply(void *ctx, enum rpc_result result, const void *value)
{
	struct relayed_call *c = ctx;
	struct relay *r = c->relay;
	const sw_relay_reply *reply = value;
	uint32_t before = r->leader;

	if (result != RPC_REPLIED) {
		if (r->leader == c->node)
			r->leader = 0;
		c->may_have_effect |= result != RPC_NOT_SENT;
		ev_timer_again(r->loop, &c->retry);
		return;
	}
	update_leader(r, c->node, reply);
	if (reply->status == SW_OK) {
		r->answered_at = clock_monotonic();
		finish(c, RELAY_ANSWERED, reply);
		return;
	}
	c->may_have_effect |= reply->status == SW_BUSY;
	if (r->leader && r->leader != c->node && r->leader != before)
		send_now(c);
	else
		ev_timer_again(r->loop, &c->retry);
}

void relay_call(struct relay *r, const sw_relay_args *args, clock_ms_t timeout_ms, relay_fn fn,
		void *ctx)
{
	struct relayed_call *c = g_new0(struct relayed_call, 1);

	*c = (struct relayed_call){
		.relay = r,
		.deadline = clock_monotonic() + timeout_ms,
		.fn = fn,
		.ctx = ctx,
	};
	codec_copy(CODEC_PROC(sw_relay_args), args, &c->args, sizeof(c->args));
	ev_init(&c->retry, on_retry);
	c->retry.data = c;
	c->retry.repeat = RETRY_S;
	send_now(c);
}
