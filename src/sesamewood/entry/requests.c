#include "base/codec.h"
#include "base/http_status.h"
#include "entry/entry_internal.h"
#include "entry/routing.h"

#include <stdlib.h>
#include <string.h>

/// Rejects a request for which no state was created.
static void reject_untracked(struct entry *e, uint64_t id, uint32_t http_status, const char *title)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_SEND_PROBLEM, id);

	effect->u.problem.http_status = http_status;
	effect->u.problem.title = title;
	effect->u.problem.verdict = VERDICT_NOT_RUN;
}

void requests_remove(struct entry *e, struct request *r)
{
	g_hash_table_remove(e->requests, &r->id);
}

static void send_claim(struct entry *e, const struct request *r, sw_claim_state state)
{
	sw_claim *claim = &entry_add_effect(e, ENTRY_EFFECT_CLAIM, r->id)->u.claim;

	memcpy(claim->key, r->key, SW_KEY_BYTES);
	claim->digest = r->digest;
	claim->entry = strdup(e->settings.name);
	claim->session = e->settings.session;
	claim->attempt = r->id;
	claim->state = state;
}

void requests_close_claim(struct entry *e, const struct request *r, sw_claim_state state)
{
	if (r->claimed || r->state == REQUEST_CLAIMING)
		send_claim(e, r, state);
}

static bool is_idempotent(const struct route *route, const char *method)
{
	switch (route->idempotent) {
	case ROUTE_IDEMPOTENT:
		return true;
	case ROUTE_NOT_IDEMPOTENT:
		return false;
	case ROUTE_BY_METHOD:
		break;
	}
	return routing_method_is_idempotent(method);
}

static struct request *add_request(struct entry *e, clock_ms_t now, const struct route *route,
				   const struct entry_event *event)
{
	struct request *r = g_new0(struct request, 1);

	*r = (struct request){
		.id = event->u.request.id,
		.pool = view_get_pool(e, route->pool),
		.arrived_at = now,
		.deadline_at = now + MIN(route->deadline_ms, e->settings.deadline_max_ms),
		.retries_left = route->retries,
		.idempotent = is_idempotent(route, event->u.request.method),
		.verdict = VERDICT_NOT_RUN,
		.digest = event->u.request.digest,
		.instance = ENTRY_NO_INSTANCE,
	};
	memcpy(r->key, event->u.request.key, SW_KEY_BYTES);
	g_hash_table_insert(e->requests, &r->id, r);
	return r;
}

void requests_handle_new(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	uint64_t id = event->u.request.id;
	const struct route *route;
	const struct pool *pool;
	struct request *r;

	if (!entry_has_lease(e, now)) {
		reject_untracked(e, id, HTTP_UNAVAILABLE, "this entry has no lease");
		return;
	}
	route = routing_match(e->tables, event->u.request.method, event->u.request.host,
			      event->u.request.path, event->u.request.header,
			      event->u.request.header_ctx);
	pool = route ? tables_find_pool(e->tables, route->pool) : NULL;
	if (!pool) {
		reject_untracked(e, id, HTTP_NOT_FOUND, "no route matches");
		return;
	}
	if (g_queue_get_length(&view_get_pool(e, route->pool)->waiters) >= pool->queue_max) {
		reject_untracked(e, id, HTTP_UNAVAILABLE, "the queue of the pool is full");
		return;
	}
	r = add_request(e, now, route, event);
	if (!r->idempotent && event->u.request.has_key) {
		r->state = REQUEST_CLAIMING;
		send_claim(e, r, SW_CLAIM_OPEN);
		return;
	}
	dispatch_enqueue(e, now, r);
	dispatch_pool_queue(e, now, r->pool);
}

/// Adds the effect that sends the caller the cached response of the claim's holder, and removes the
/// request.
static void fetch_response(struct entry *e, struct request *r, const sw_claim *holder)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_FETCH_RESPONSE, r->id);
	const char *address = g_hash_table_lookup(e->peers, holder->entry);

	if (g_str_equal(holder->entry, e->settings.name))
		address = "";
	effect->u.fetch.address = g_strdup(address ? address : "");
	memcpy(effect->u.fetch.key, r->key, SW_KEY_BYTES);
	effect->u.fetch.digest = r->digest;
	requests_remove(e, r);
}

/// Handles a request whose idempotency key another request has claimed.
static void handle_duplicate_key(struct entry *e, struct request *r, const sw_claim *holder)
{
	/* This request has no claim of its own that would have to be closed. */
	r->state = REQUEST_QUEUED;
	if (holder->digest != r->digest) {
		dispatch_reject(e, r, HTTP_UNPROCESSABLE,
				"the idempotency key was used with another body");
		return;
	}
	if (holder->state == SW_CLAIM_RAN) {
		fetch_response(e, r, holder);
		return;
	}
	r->verdict = VERDICT_MAY_HAVE_RUN;
	dispatch_reject(e, r, HTTP_CONFLICT,
			"another request with this idempotency key may have run");
}

void requests_handle_claim_result(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	struct request *r = g_hash_table_lookup(e->requests, &event->u.claim.id);

	if (!r || r->state != REQUEST_CLAIMING)
		return;
	if (event->u.claim.lost || event->u.claim.status == SW_NOT_LEADER) {
		if (now < r->deadline_at && entry_has_lease(e, now))
			send_claim(e, r, SW_CLAIM_OPEN);
		else
			dispatch_reject(e, r, HTTP_UNAVAILABLE, "control did not answer");
		return;
	}
	if (event->u.claim.status == SW_CONFLICT) {
		handle_duplicate_key(e, r, event->u.claim.holder);
		return;
	}
	if (event->u.claim.status != SW_OK) {
		/* Control opened no claim that would have to be closed. */
		r->state = REQUEST_QUEUED;
		dispatch_reject(e, r, HTTP_UNAVAILABLE, "too many idempotency keys are held");
		return;
	}
	r->claimed = true;
	dispatch_enqueue(e, now, r);
	dispatch_pool_queue(e, now, r->pool);
}
