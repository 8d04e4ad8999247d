#include "entry/entry.h"

#include "base/codec.h"
#include "entry/entry_internal.h"

#define RETRY_TOKENS_INITIAL 10.0

static void effect_free(void *p)
{
	struct entry_effect *effect = p;

	switch (effect->type) {
	case EFFECT_DISPATCH:
		g_free(effect->u.dispatch.instance);
		g_free(effect->u.dispatch.address);
		g_free(effect->u.dispatch.pool);
		break;
	case EFFECT_CLAIM:
		codec_free(CODEC_PROC(sw_claim), &effect->u.claim);
		break;
	case EFFECT_FETCH_ANSWER:
		g_free(effect->u.fetch.address);
		break;
	case EFFECT_RENEW:
		codec_free(CODEC_PROC(sw_renew_args), &effect->u.renew);
		break;
	case EFFECT_BORROW:
		g_free(effect->u.borrow.address);
		g_free(effect->u.borrow.pool);
		break;
	case EFFECT_LEND:
		codec_free(CODEC_PROC(sw_borrow_reply), &effect->u.lend);
		break;
	case EFFECT_RETURN:
		g_free(effect->u.give_back.address);
		break;
	case EFFECT_ABORT:
	case EFFECT_ANSWER:
	case EFFECT_PROBLEM:
	case EFFECT_ANNOUNCED:
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
	dispatch_expire(e, now);
}

void entry_step(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	switch (event->type) {
	case ENTRY_TICK:
		tick(e, now);
		break;
	case ENTRY_REQUEST:
		requests_start(e, now, event);
		break;
	case ENTRY_CANCEL:
		dispatch_cancel(e, now, event->u.cancel.id);
		break;
	case ENTRY_ATTEMPT_DONE:
		dispatch_finish(e, now, event);
		break;
	case ENTRY_CLAIM_RESULT:
		requests_claimed(e, now, event);
		break;
	case ENTRY_RENEW_RESULT:
		view_apply(e, now, event);
		break;
	case ENTRY_RENEW_NOW:
		e->renew_urgent = true;
		break;
	case ENTRY_BORROW_RESULT:
		loans_received(e, now, event);
		break;
	case ENTRY_BORROW_CALL:
		loans_lend(e, now, event);
		break;
	case ENTRY_RETURN_CALL:
		loans_returned(e, now, event);
		break;
	case ENTRY_ANNOUNCE:
		view_announce(e, event);
		break;
	case ENTRY_DRAIN:
		e->draining = true;
		e->renew_urgent = true;
		break;
	}
	view_renew(e, now);
}

static void pool_free(void *p)
{
	struct pool_state *pool = p;

	g_queue_clear_full(&pool->waiters, g_free);
	g_ptr_array_unref(pool->owned);
	g_ptr_array_unref(pool->loans);
	g_free(pool->name);
	g_free(pool);
}

static void announcement_free(void *p)
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
		.news = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, announcement_free),
		.given = g_array_new(FALSE, FALSE, sizeof(struct given_loan)),
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
	g_hash_table_unref(e->news);
	g_array_unref(e->given);
	tables_free(e->tables);
	g_ptr_array_unref(e->effects);
	g_free(e->settings.name);
	g_free(e->settings.address);
	g_free(e);
}
