#include "entry/process_internal.h"

#include "base/codec.h"

#define PEER_TIMEOUT_MS 1000

/// A borrow call to another entry, until its reply.
struct borrow_call {
	struct process *process;
	char *pool;
	char *lender;
	clock_ms_t sent_at;
};

struct rpc_client *process_peer_client(struct process *p, const char *address)
{
	struct rpc_client *c = g_hash_table_lookup(p->peers, address);

	if (!c) {
		c = rpc_client_new(p->loop, address);
		g_hash_table_insert(p->peers, g_strdup(address), c);
	}
	return c;
}

void *process_remove_pending_call(struct process *p, uint64_t token)
{
	void *call = NULL;

	g_hash_table_steal_extended(p->pending_calls, &token, NULL, &call);
	return call;
}

uint64_t process_add_pending_call(struct process *p, void *call)
{
	uint64_t *token = g_new(uint64_t, 1);

	*token = ++p->next_id;
	g_hash_table_insert(p->pending_calls, token, call);
	return *token;
}

static void on_borrowed(void *ctx, enum rpc_result result, const void *reply)
{
	struct borrow_call *call = ctx;
	struct entry_event event = {.type = ENTRY_EVENT_BORROW_RESULT};

	event.u.borrow.pool = call->pool;
	event.u.borrow.lender = call->lender;
	event.u.borrow.sent_at = call->sent_at;
	event.u.borrow.reply = result == RPC_REPLIED ? reply : NULL;
	process_step(call->process, &event);
	g_free(call->pool);
	g_free(call->lender);
	g_free(call);
}

void process_borrow(struct process *p, const struct entry_effect *e)
{
	sw_borrow_args args = {
		.entry = p->entry->settings.name,
		.pool = e->u.borrow.pool,
		.count = e->u.borrow.count,
		.wait_ms = e->u.borrow.wait_ms,
	};
	struct borrow_call *call = g_new0(struct borrow_call, 1);

	*call = (struct borrow_call){
		.process = p,
		.pool = g_strdup(e->u.borrow.pool),
		.lender = g_strdup(e->u.borrow.address),
		.sent_at = clock_monotonic(),
	};
	metrics_add(p->borrow_calls, 1);
	rpc_client_call(process_peer_client(p, call->lender), SW_PROC_BORROW, &args,
			e->u.borrow.wait_ms + PEER_TIMEOUT_MS, on_borrowed, call);
}

void process_return_loan(struct process *p, const struct entry_effect *e)
{
	u_quad_t id = e->u.return_loan.loan;
	sw_return_args args = {.loans = {.loans_len = 1, .loans_val = &id}};

	rpc_client_call(process_peer_client(p, e->u.return_loan.address), SW_PROC_RETURN, &args,
			PEER_TIMEOUT_MS, NULL, NULL);
}

void process_reply_borrow(struct process *p, const struct entry_effect *e)
{
	struct rpc_request *req = process_remove_pending_call(p, e->id);

	if (req)
		rpc_request_reply(req, &e->u.borrow_reply);
}

void process_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct process *p = ctx;
	struct entry_event event = {0};

	switch (proc) {
	case SW_PROC_BORROW:
		event.type = ENTRY_EVENT_BORROW_CALL;
		event.u.borrow_call.args = args;
		event.u.borrow_call.token = process_add_pending_call(p, req);
		process_step(p, &event);
		break;
	case SW_PROC_RETURN:
		rpc_request_reply(req, NULL);
		event.type = ENTRY_EVENT_RETURN_CALL;
		event.u.return_call = args;
		process_step(p, &event);
		break;
	case SW_PROC_ANSWER: {
		const sw_answer_args *a = args;
		sw_answer_reply reply;

		response_cache_get(p->response_cache, a->key, a->digest, &reply);
		rpc_request_reply(req, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		break;
	}
	default:
		rpc_request_reply_unavailable(req);
	}
}
