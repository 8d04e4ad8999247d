#include "entry/process_internal.h"

#include "base/http_status.h"

static void carry_out(struct process *sh);

void process_step(struct process *sh, const struct entry_event *event)
{
	entry_step(sh->entry, clock_monotonic(), event);
	carry_out(sh);
}

/* Dispatch. */

static void dispatch(struct process *sh, const struct entry_effect *e)
{
	struct exchange *x = process_find_exchange(sh, e->id);
	struct upstream_request request = {
		.id = e->id,
		.attempt = e->attempt,
		.address = e->u.dispatch.address,
		.pool = e->u.dispatch.pool,
		.epoch = e->u.dispatch.epoch,
		.timeout_ms = e->u.dispatch.timeout_ms,
		.fresh = e->u.dispatch.fresh,
	};

	if (!x)
		return;
	metrics_add(sh->attempts, 1);
	metrics_observe(sh->queue_wait_ms, e->u.dispatch.wait_ms);
	g_free(x->pool);
	g_free(x->instance);
	x->pool = g_strdup(e->u.dispatch.pool);
	x->instance = g_strdup(e->u.dispatch.instance);
	x->epoch = e->u.dispatch.epoch;
	request.from = x->http;
	upstream_start(sh->upstream, &request);
}

static bool may_send(void *ctx, uint64_t id, uint32_t attempt)
{
	const struct process *sh = ctx;

	return entry_may_send(sh->entry, clock_monotonic(), id, attempt);
}

static void on_attempt_done(void *ctx, uint64_t id, uint32_t attempt,
			    struct upstream_result *result)
{
	struct process *sh = ctx;
	struct exchange *x = process_find_exchange(sh, id);
	struct entry_event event = {.type = ENTRY_EVENT_ATTEMPT_DONE};

	event.u.done.id = id;
	event.u.done.attempt = attempt;
	event.u.done.verdict = result->verdict;
	event.u.done.timed_out = result->timed_out;
	event.u.done.http_status = result->answer ? result->answer->status : 0;
	if (x)
		x->answer = result->answer;
	else
		upstream_response_free(result->answer);
	process_step(sh, &event);
}

const struct upstream_handlers process_upstream_handlers = {
	.may_send = may_send,
	.on_done = on_attempt_done,
};

/* Control. */

static void on_renewed(void *ctx, clock_ms_t sent_at, const sw_renew_reply *reply)
{
	struct process *sh = ctx;
	struct entry_event event = {.type = ENTRY_EVENT_RENEW_RESULT};

	event.u.renew.sent_at = sent_at;
	event.u.renew.reply = reply;
	process_step(sh, &event);
	if (reply && reply->status == SW_OK && !sh->entry->detached)
		control_client_watch(sh->control, sh->entry->settings.name,
				     sh->entry->settings.session, sh->entry->view_index);
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

/* Effects. */

static void reply_announced(struct process *sh, const struct entry_effect *e)
{
	struct http_request *req = process_remove_pending_call(sh, e->id);

	if (!req)
		return;
	if (e->u.announced.http_status == HTTP_OK)
		http_reply(req, HTTP_OK, NULL, "", 0);
	else
		http_reply_problem(req, e->u.announced.http_status, e->u.announced.title, NULL);
}

static void carry_out_one(struct process *sh, const struct entry_effect *e)
{
	struct exchange *x;

	switch (e->type) {
	case ENTRY_EFFECT_DISPATCH:
		dispatch(sh, e);
		break;
	case ENTRY_EFFECT_ABORT:
		upstream_abort(sh->upstream, e->id, e->attempt);
		break;
	case ENTRY_EFFECT_SEND_RESPONSE:
		process_send_response(sh, e->id);
		break;
	case ENTRY_EFFECT_SEND_PROBLEM:
		x = process_find_exchange(sh, e->id);
		if (x)
			process_send_problem(sh, x, e->u.problem.http_status, e->u.problem.title,
					     e->u.problem.verdict);
		break;
	case ENTRY_EFFECT_CLAIM:
		metrics_add(sh->claims, 1);
		control_client_queue_claim(sh->control, &e->u.claim);
		break;
	case ENTRY_EFFECT_FETCH_RESPONSE:
		process_fetch_response(sh, e);
		break;
	case ENTRY_EFFECT_RENEW:
		control_client_renew(sh->control, &e->u.renew);
		break;
	case ENTRY_EFFECT_BORROW:
		process_borrow(sh, e);
		break;
	case ENTRY_EFFECT_REPLY_BORROW:
		process_reply_borrow(sh, e);
		break;
	case ENTRY_EFFECT_RETURN_LOAN:
		process_return_loan(sh, e);
		break;
	case ENTRY_EFFECT_REPLY_HEARTBEAT:
		reply_announced(sh, e);
		break;
	}
}

/// Carries out effects until none is left. Handlers called on the way only add more.
static void carry_out(struct process *sh)
{
	if (sh->working)
		return;
	sh->working = true;
	for (;;) {
		g_autoptr(GPtrArray) effects = entry_take_effects(sh->entry);

		if (!effects->len)
			break;
		for (guint i = 0; i < effects->len; i++)
			carry_out_one(sh, effects->pdata[i]);
	}
	sh->working = false;
}
