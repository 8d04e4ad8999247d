#include "entry/entry.h"

#include "base/codec.h"
#include "entry/entry_internal.h"

/* Retries that are allowed before the first response. */
#define RETRY_TOKENS_INITIAL 10.0

static void effect_free(void *p)
{
	struct entry_effect *effect = p;

	switch (effect->type) {
	case ENTRY_EFFECT_DISPATCH:
		g_free(effect->u.dispatch.instance);
		g_free(effect->u.dispatch.address);
		g_free(effect->u.dispatch.pool);
		break;
	case ENTRY_EFFECT_CLAIM:
		codec_free(CODEC_PROC(sw_claim), &effect->u.claim);
		break;
	case ENTRY_EFFECT_FETCH_RESPONSE:
		g_free(effect->u.fetch.address);
		break;
	case ENTRY_EFFECT_RENEW:
		codec_free(CODEC_PROC(sw_renew_args), &effect->u.renew);
		break;
	case ENTRY_EFFECT_BORROW:
		g_free(effect->u.borrow.address);
		g_free(effect->u.borrow.pool);
		break;
	case ENTRY_EFFECT_REPLY_BORROW:
		codec_free(CODEC_PROC(sw_borrow_reply), &effect->u.borrow_reply);
		break;
	case ENTRY_EFFECT_RETURN_LOAN:
		g_free(effect->u.return_loan.address);
		break;
	case ENTRY_EFFECT_ABORT:
	case ENTRY_EFFECT_SEND_RESPONSE:
	case ENTRY_EFFECT_SEND_PROBLEM:
	case ENTRY_EFFECT_REPLY_HEARTBEAT:
		break;
	}
	g_free(effect);
}

struct entry_effect *entry_add_effect(struct entry *e, enum entry_effect_type type, uint64_t id)
{
	struct entry_effect *effect = g_new0(struct entry_effect, 1);

	effect->type = type;
	effect->id = id;
	g_ptr_array_add(e->effects, effect);
	return effect;
}

GPtrArray *entry_take_effects(struct entry *e)
{
	GPtrArray *out = e->effects;

	e->effects = g_ptr_array_new_with_free_func(effect_free);
	return out;
}

bool entry_has_lease(const struct entry *e, clock_ms_t now)
{
	return now < e->lease_until;
}

bool entry_may_send(const struct entry *e, clock_ms_t now, uint64_t id, uint32_t attempt)
{
	const struct request *r = g_hash_table_lookup(e->requests, &id);

	return r && r->state == REQUEST_RUNNING && r->attempt == attempt &&
	       entry_has_lease(e, now) && (!r->loan || now < r->loan->expires_at);
}

unsigned int entry_open_requests(const struct entry *e)
{
	return g_hash_table_size(e->requests);
}

static void tick(struct entry *e, clock_ms_t now)
{
	loans_expire(e, now);
	dispatch_expire_waiters(e, now);
}

void entry_step(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	switch (event->type) {
	case ENTRY_EVENT_TICK:
		tick(e, now);
		break;
	case ENTRY_EVENT_REQUEST:
		requests_handle_new(e, now, event);
		break;
	case ENTRY_EVENT_CANCEL:
		dispatch_cancel(e, now, event->u.cancel.id);
		break;
	case ENTRY_EVENT_ATTEMPT_DONE:
		dispatch_handle_attempt_done(e, now, event);
		break;
	case ENTRY_EVENT_CLAIM_RESULT:
		requests_handle_claim_result(e, now, event);
		break;
	case ENTRY_EVENT_RENEW_RESULT:
		view_handle_renew_result(e, now, event);
		break;
	case ENTRY_EVENT_RENEW_NOW:
		e->renew_urgent = true;
		break;
	case ENTRY_EVENT_BORROW_RESULT:
		loans_handle_borrow_result(e, now, event);
		break;
	case ENTRY_EVENT_BORROW_CALL:
		loans_handle_borrow_call(e, now, event);
		break;
	case ENTRY_EVENT_RETURN_CALL:
		loans_handle_return_call(e, now, event);
		break;
	case ENTRY_EVENT_HEARTBEAT:
		view_handle_heartbeat(e, event);
		break;
	case ENTRY_EVENT_DRAIN:
		e->draining = true;
		e->renew_urgent = true;
		break;
	}
	view_renew_if_due(e, now);
}

static void pool_free(void *p)
{
	struct pool_state *pool = p;

	g_queue_clear_full(&pool->waiters, g_free);
	g_ptr_array_unref(pool->owned);
	g_ptr_array_unref(pool->borrowed_slots);
	g_free(pool->name);
	g_free(pool);
}

static void heartbeat_free(void *p)
{
	codec_free(CODEC_PROC(sw_heartbeat), p);
	g_free(p);
}

struct entry *entry_new(const struct entry_settings *settings, clock_ms_t now)
{
	struct entry *e = g_new0(struct entry, 1);

	*e = (struct entry){
		.settings = *settings,
		.tables = tables_new(),
		.instances = g_ptr_array_new_with_free_func(view_instance_free),
		.by_name = g_hash_table_new(g_str_hash, g_str_equal),
		.pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free),
		.peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
		.requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free),
		.pending_heartbeats =
			g_hash_table_new_full(g_str_hash, g_str_equal, NULL, heartbeat_free),
		.lent_slots = g_array_new(FALSE, FALSE, sizeof(struct lent_slot)),
		.renew_at = now,
		.retry_tokens = RETRY_TOKENS_INITIAL,
		.effects = g_ptr_array_new_with_free_func(effect_free),
	};
	e->settings.name = g_strdup(settings->name);
	e->settings.address = g_strdup(settings->address);
	return e;
}

void entry_free(struct entry *e)
{
	g_hash_table_unref(e->requests);
	g_hash_table_unref(e->pools);
	g_hash_table_unref(e->by_name);
	g_ptr_array_unref(e->instances);
	g_hash_table_unref(e->peers);
	g_hash_table_unref(e->pending_heartbeats);
	g_array_unref(e->lent_slots);
	tables_free(e->tables);
	g_ptr_array_unref(e->effects);
	g_free(e->settings.name);
	g_free(e->settings.address);
	g_free(e);
}
