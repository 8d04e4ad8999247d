#include "entry/process_internal.h"

#include "base/http_status.h"

static void execute_effects(struct process *p);

void process_step(struct process *p, const struct entry_event *event)
{
	entry_step(p->entry, clock_monotonic(), event);
	execute_effects(p);
}

static void start_attempt(struct process *p, const struct entry_effect *e)
{
	struct exchange *x = process_find_exchange(p, e->id);
	struct upstream_request request = {
		.id = e->id,
		.attempt = e->attempt,
		.address = e->u.dispatch.address,
		.pool = e->u.dispatch.pool,
		.epoch = e->u.dispatch.epoch,
		.timeout_ms = e->u.dispatch.timeout_ms,
		.new_connection = e->u.dispatch.new_connection,
	};

	if (!x)
		return;
	metrics_add(p->attempts, 1);
	metrics_observe(p->queue_wait_ms, e->u.dispatch.wait_ms);
	g_free(x->pool);
	g_free(x->instance);
	x->pool = g_strdup(e->u.dispatch.pool);
	x->instance = g_strdup(e->u.dispatch.instance);
	x->epoch = e->u.dispatch.epoch;
	request.source = x->http;
	upstream_start(p->upstream, &request);
}

static bool may_send(void *ctx, uint64_t id, uint32_t attempt)
{
	const struct process *p = ctx;

	return entry_may_send(p->entry, clock_monotonic(), id, attempt);
}

static void on_attempt_done(void *ctx, uint64_t id, uint32_t attempt,
			    struct upstream_result *result)
{
	struct process *p = ctx;
	struct exchange *x = process_find_exchange(p, id);
	struct entry_event event = {.type = ENTRY_EVENT_ATTEMPT_DONE};

	event.u.done.id = id;
	event.u.done.attempt = attempt;
	event.u.done.verdict = result->verdict;
	event.u.done.timed_out = result->timed_out;
	event.u.done.http_status = result->response ? result->response->status : 0;
	if (x)
		x->response = result->response;
	else
		upstream_response_free(result->response);
	process_step(p, &event);
}

const struct upstream_handlers process_upstream_handlers = {
	.may_send = may_send,
	.on_done = on_attempt_done,
};

static void on_renewed(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply)
{
	struct process *p = ctx;
	struct entry_event event = {.type = ENTRY_EVENT_RENEW_RESULT};

	event.u.renew.sent_at = sent_at;
	event.u.renew.reply = reply;
	process_step(p, &event);
	if (reply && reply->status == SW_OK && !p->entry->detached)
		control_client_watch(p->control, p->entry->settings.name,
				     p->entry->settings.session, p->entry->view_index);
}

static void on_change(void *ctx)
{
	process_step(ctx, &(struct entry_event){.type = ENTRY_EVENT_RENEW_NOW});
}

static void on_claim(void *ctx, uint64_t id, const sw_claim_result *result)
{
	struct entry_event event = {.type = ENTRY_EVENT_CLAIM_RESULT};

	event.u.claim.id = id;
	event.u.claim.lost = !result;
	event.u.claim.status = result ? result->status : SW_BUSY;
	event.u.claim.holder = result ? &result->holder : NULL;
	process_step(ctx, &event);
}

const struct control_client_handlers process_control_client_handlers = {
	.on_renewed = on_renewed,
	.on_change = on_change,
	.on_claim = on_claim,
};

static void reply_heartbeat(struct process *p, const struct entry_effect *e)
{
	struct http_request *req = process_remove_pending_call(p, e->id);

	if (!req)
		return;
	if (e->u.heartbeat_reply.http_status == HTTP_OK)
		http_reply(req, HTTP_OK, NULL, "", 0);
	else
		http_reply_problem(req, e->u.heartbeat_reply.http_status,
				   e->u.heartbeat_reply.title, NULL);
}

static void execute_effect(struct process *p, const struct entry_effect *e)
{
	struct exchange *x;

	switch (e->type) {
	case ENTRY_EFFECT_DISPATCH:
		start_attempt(p, e);
		break;
	case ENTRY_EFFECT_ABORT:
		upstream_abort(p->upstream, e->id, e->attempt);
		break;
	case ENTRY_EFFECT_SEND_RESPONSE:
		process_send_response(p, e->id);
		break;
	case ENTRY_EFFECT_SEND_PROBLEM:
		x = process_find_exchange(p, e->id);
		if (x)
			process_send_problem(p, x, e->u.problem.http_status, e->u.problem.title,
					     e->u.problem.verdict);
		break;
	case ENTRY_EFFECT_CLAIM:
		metrics_add(p->claims, 1);
		control_client_queue_claim(p->control, &e->u.claim);
		break;
	case ENTRY_EFFECT_FETCH_RESPONSE:
		process_fetch_response(p, e);
		break;
	case ENTRY_EFFECT_RENEW:
		control_client_renew(p->control, &e->u.renew);
		break;
	case ENTRY_EFFECT_BORROW:
		process_borrow(p, e);
		break;
	case ENTRY_EFFECT_REPLY_BORROW:
		process_reply_borrow(p, e);
		break;
	case ENTRY_EFFECT_RETURN_LOAN:
		process_return_loan(p, e);
		break;
	case ENTRY_EFFECT_REPLY_HEARTBEAT:
		reply_heartbeat(p, e);
		break;
	}
}

/// Executes effects until none is left. A nested call, made by a handler that an effect calls,
/// returns at once and leaves its effects to the outer call, so that effects are executed in order.
static void execute_effects(struct process *p)
{
	if (p->executing_effects)
		return;
	p->executing_effects = true;
	for (;;) {
		g_autoptr(GPtrArray) effects = entry_take_effects(p->entry);

		if (!effects->len)
			break;
		for (guint i = 0; i < effects->len; i++)
			execute_effect(p, effects->pdata[i]);
	}
	p->executing_effects = false;
}
