#include "entry/process_internal.h"

#include "base/codec.h"

#define PEER_TIMEOUT_MS 1000

/// An open call to or from a peer.
struct borrow_call {
	struct process *shell;
	char *pool;
	char *lender;
	clock_ms_t sent_at;
};

struct rpc_client *process_peer_client(struct process *sh, const char *address)
{
	struct rpc_client *c = g_hash_table_lookup(sh->peers, address);

	if (!c) {
		c = rpc_client_new(sh->loop, address);
		g_hash_table_insert(sh->peers, g_strdup(address), c);
	}
	return c;
}

/* Calls that wait for the reducer. */

void *process_take_call(struct process *sh, uint64_t token)
{
	void *call = NULL;

	g_hash_table_steal_extended(sh->calls, &token, NULL, &call);
	return call;
}

uint64_t process_add_call(struct process *sh, void *call)
{
	uint64_t *token = g_new(uint64_t, 1);

	*token = ++sh->next_id;
	g_hash_table_insert(sh->calls, token, call);
	return *token;
}

/* Loans. */

static void on_borrowed(void *ctx, enum rpc_result result, const void *reply)
{
	struct borrow_call *call = ctx;
	struct entry_event event = {.type = ENTRY_BORROW_RESULT};

	event.u.borrow.pool = call->pool;
	event.u.borrow.lender = call->lender;
	event.u.borrow.sent_at = call->sent_at;
	event.u.borrow.reply = result == RPC_REPLIED ? reply : NULL;
	process_step(call->shell, &event);
	g_free(call->pool);
	g_free(call->lender);
	g_free(call);
}

void process_borrow(struct process *sh, const struct entry_effect *e)
{
	sw_borrow_args args = {
		.entry = sh->entry->settings.name,
		.pool = e->u.borrow.pool,
		.count = e->u.borrow.count,
		.wait_ms = e->u.borrow.wait_ms,
	};
	struct borrow_call *call = g_new0(struct borrow_call, 1);

	*call = (struct borrow_call){
		.shell = sh,
		.pool = g_strdup(e->u.borrow.pool),
		.lender = g_strdup(e->u.borrow.address),
		.sent_at = clock_monotonic(),
	};
	metrics_add(sh->loans, 1);
	rpc_client_call(process_peer_client(sh, call->lender), SW_PROC_BORROW, &args,
			e->u.borrow.wait_ms + PEER_TIMEOUT_MS, on_borrowed, call);
}

void process_give_back(struct process *sh, const struct entry_effect *e)
{
	u_quad_t id = e->u.give_back.loan;
	sw_return_args args = {.loans = {.loans_len = 1, .loans_val = &id}};

	rpc_client_call(process_peer_client(sh, e->u.give_back.address), SW_PROC_RETURN, &args,
			PEER_TIMEOUT_MS, NULL, NULL);
}

void process_lend(struct process *sh, const struct entry_effect *e)
{
	struct rpc_request *req = process_take_call(sh, e->id);

	if (req)
		rpc_request_reply(req, &e->u.lend);
}

void process_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct process *sh = ctx;
	struct entry_event event = {0};

	switch (proc) {
	case SW_PROC_BORROW:
		event.type = ENTRY_BORROW_CALL;
		event.u.lend.args = args;
		event.u.lend.token = process_add_call(sh, req);
		process_step(sh, &event);
		break;
	case SW_PROC_RETURN:
		rpc_request_reply(req, NULL);
		event.type = ENTRY_RETURN_CALL;
		event.u.returned = args;
		process_step(sh, &event);
		break;
	case SW_PROC_ANSWER: {
		const sw_answer_args *a = args;
		sw_answer_reply reply;

		answers_get(sh->answers, a->key, a->digest, &reply);
		rpc_request_reply(req, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		break;
	}
	default:
		rpc_request_reply_unavailable(req);
	}
}
