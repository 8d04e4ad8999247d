#include "base/http_status.h"
#include "entry/entry_internal.h"

#define SCAN_MAX 16 ///< waiters looked at behind one that can't start
#define SUCCESS_WEIGHT 0.1
#define SUCCESS_LEAST 0.05
#define RETRY_TOKENS_MAX 10.0
#define PERCENT 100.0

void dispatch_refuse(struct entry *e, struct request *r, uint32_t http_status, const char *title)
{
	struct entry_effect *effect = entry_add_effect(e, EFFECT_PROBLEM, r->id);

	effect->u.problem.http_status = http_status;
	effect->u.problem.title = title;
	effect->u.problem.verdict = r->verdict;
	requests_end_claim(e, r,
			   r->verdict == VERDICT_NOT_RUN ? SW_CLAIM_RELEASED : SW_CLAIM_UNKNOWN);
	requests_forget(e, r);
}

void dispatch_enqueue(struct entry *e, clock_ms_t now, struct request *r)
{
	struct waiter *w = g_new0(struct waiter, 1);

	(void)e;
	*w = (struct waiter){.type = WAITER_REQUEST, .since = now, .u.request = r};
	r->state = REQUEST_QUEUED;
	r->waiter = w;
	g_queue_push_tail(&r->pool->waiters, w);
}

static void leave_queue(struct request *r)
{
	g_queue_remove(&r->pool->waiters, r->waiter);
	g_free(g_steal_pointer(&r->waiter));
}

/* Choice of an instance. */

static bool was_tried(const struct request *r, uint32_t id)
{
	for (uint32_t i = 0; r && i < r->n_tried; i++)
		if (r->tried[i] == id)
			return true;
	return false;
}

static bool is_usable(const struct instance *i)
{
	return i->known && !i->leaving && i->record.phase == SW_PHASE_ACTIVE;
}

struct instance *dispatch_choose(struct entry *e, clock_ms_t now, struct pool_state *pool,
				 const struct request *r)
{
	struct instance *best = NULL;
	double best_cost = 0;

	(void)e;
	for (guint n = 0; n < pool->owned->len; n++) {
		struct instance *i = pool->owned->pdata[n];
		uint32_t used = i->in_use + i->lent;
		double success = MAX(i->success, SUCCESS_LEAST);
		double cost = (used + 1) / (success * success);

		if (!is_usable(i) || used >= i->record.endpoint.slots || now < i->ejected_until ||
		    was_tried(r, i->record.id))
			continue;
		if (!best || cost < best_cost) {
			best = i;
			best_cost = cost;
		}
	}
	return best;
}

/// Tells whether the pool has an instance, at any entry, that the request has not tried.
static bool has_untried(const struct entry *e, const struct request *r)
{
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (i && is_usable(i) && g_str_equal(i->record.pool, r->pool->name) &&
		    !was_tried(r, n))
			return true;
	}
	return false;
}

/* Starting. */

static void mark_tried(struct request *r, uint32_t id)
{
	if (r->n_tried < ENTRY_TRIED_MAX)
		r->tried[r->n_tried++] = id;
}

static struct entry_effect *start(struct entry *e, clock_ms_t now, struct request *r,
				  const char *instance, const char *address, uint64_t epoch)
{
	struct entry_effect *effect = entry_add_effect(e, EFFECT_DISPATCH, r->id);

	effect->attempt = ++r->attempt;
	effect->u.dispatch.instance = g_strdup(instance);
	effect->u.dispatch.address = g_strdup(address);
	effect->u.dispatch.pool = g_strdup(r->pool->name);
	effect->u.dispatch.epoch = epoch;
	effect->u.dispatch.timeout_ms = r->deadline_at - now;
	effect->u.dispatch.wait_ms = now - r->waiter->since;
	effect->u.dispatch.fresh = !r->idempotent;
	leave_queue(r);
	r->state = REQUEST_RUNNING;
	r->pool->in_use++;
	return effect;
}

static void start_on_instance(struct entry *e, clock_ms_t now, struct request *r,
			      struct instance *i)
{
	r->instance = i->record.id;
	i->in_use++;
	mark_tried(r, i->record.id);
	start(e, now, r, i->record.endpoint.instance, i->record.endpoint.address, i->record.epoch);
}

static void start_on_loan(struct entry *e, clock_ms_t now, struct request *r,
			  struct held_loan *loan)
{
	const struct instance *i = g_hash_table_lookup(e->by_name, loan->instance);

	r->loan = loan;
	loan->in_use = true;
	if (i)
		mark_tried(r, i->record.id);
	start(e, now, r, loan->instance, loan->address, loan->epoch);
}

/// @return whether the waiter was served
static bool serve(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w)
{
	struct instance *i;
	struct held_loan *loan;

	if (w->type == WAITER_LOAN)
		return loans_grant(e, now, pool, w);
	if (now >= w->u.request->deadline_at)
		return false;
	i = dispatch_choose(e, now, pool, w->u.request);
	if (i) {
		start_on_instance(e, now, w->u.request, i);
		return true;
	}
	loan = loans_choose(pool, now, e, w->u.request);
	if (!loan)
		return false;
	start_on_loan(e, now, w->u.request, loan);
	return true;
}

static bool has_waiting_request(const struct pool_state *pool)
{
	for (GList *l = pool->waiters.head; l; l = l->next)
		if (((struct waiter *)l->data)->type == WAITER_REQUEST)
			return true;
	return false;
}

void dispatch_pump(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	GList *next = pool->waiters.head;

	if (!entry_has_lease(e, now))
		return;
	for (int misses = 0; next && misses < SCAN_MAX;) {
		GList *l = next;

		next = l->next;
		if (!serve(e, now, pool, l->data))
			misses++;
	}
	if (!has_waiting_request(pool)) {
		pool->queued_since = 0;
		return;
	}
	if (!pool->queued_since)
		pool->queued_since = now;
	loans_borrow(e, now, pool);
}

/* Finishing. */

void dispatch_slot_freed(struct entry *e, struct instance *i)
{
	if (i->record.phase == SW_PHASE_REVOKING && !i->in_use && !i->lent)
		e->renew_urgent = true;
}

static bool may_eject(const struct entry *e, const struct instance *i)
{
	uint32_t all = 0;
	uint32_t ejected = 1;

	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *other = e->instances->pdata[n];

		if (!other || !is_usable(other) || !g_str_equal(other->record.pool, i->record.pool))
			continue;
		all++;
		ejected += other != i && other->ejected_until > 0;
	}
	return 2 * ejected <= all;
}

static void judge_instance(struct entry *e, clock_ms_t now, struct instance *i, bool ok)
{
	i->success += SUCCESS_WEIGHT * ((ok ? 1.0 : 0.0) - i->success);
	i->failures = ok ? 0 : i->failures + 1;
	if (ok)
		i->ejected_until = 0;
	if (i->failures >= e->settings.eject_failures && may_eject(e, i)) {
		i->ejected_until = now + e->settings.eject_ms;
		i->failures = 0;
	}
}

/// Frees what a running request occupied.
static void release(struct entry *e, clock_ms_t now, struct request *r, bool judged, bool ok)
{
	struct instance *i =
		r->instance != ENTRY_NO_INSTANCE ? e->instances->pdata[r->instance] : NULL;

	r->pool->in_use--;
	r->instance = ENTRY_NO_INSTANCE;
	if (i) {
		i->in_use--;
		if (judged)
			judge_instance(e, now, i, ok);
		dispatch_slot_freed(e, i);
	}
	if (r->loan) {
		struct held_loan *loan = g_steal_pointer(&r->loan);

		loan->in_use = false;
		if (!has_waiting_request(r->pool) || now >= loan->expires_at)
			loans_give_back(e, r->pool, loan);
	}
}

/// Pays for a retry. One that never reached an endpoint costs nothing.
static bool take_retry(struct entry *e, clock_ms_t now, struct request *r, enum verdict v)
{
	if (!r->retries_left || now >= r->deadline_at || !entry_has_lease(e, now) ||
	    !verdict_allows_retry(v, r->idempotent) || !has_untried(e, r))
		return false;
	if (v != VERDICT_NOT_RUN) {
		if (e->retry_tokens < 1)
			return false;
		e->retry_tokens--;
	}
	r->retries_left--;
	return true;
}

static void finish_answered(struct entry *e, struct request *r)
{
	e->retry_tokens =
		MIN(e->retry_tokens + e->settings.retry_percent / PERCENT, RETRY_TOKENS_MAX);
	requests_end_claim(e, r, SW_CLAIM_RAN);
	entry_add_effect(e, EFFECT_ANSWER, r->id);
	requests_forget(e, r);
}

void dispatch_finish(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	struct request *r = g_hash_table_lookup(e->requests, &event->u.done.id);
	enum verdict v = event->u.done.verdict;
	bool ok = v == VERDICT_RAN && event->u.done.http_status < HTTP_SERVER_ERROR;
	struct pool_state *pool;

	if (!r || r->state != REQUEST_RUNNING || r->attempt != event->u.done.attempt)
		return;
	pool = r->pool;
	release(e, now, r, true, ok);
	r->verdict = verdict_combine(r->verdict, v);
	if (v == VERDICT_RAN) {
		finish_answered(e, r);
	} else if (take_retry(e, now, r, v)) {
		dispatch_enqueue(e, now, r);
	} else if (event->u.done.timed_out) {
		dispatch_refuse(e, r, HTTP_GATEWAY_TIMEOUT, "the endpoint did not answer in time");
	} else {
		dispatch_refuse(e, r, HTTP_BAD_GATEWAY, "the endpoint did not answer completely");
	}
	dispatch_pump(e, now, pool);
}

void dispatch_cancel(struct entry *e, clock_ms_t now, uint64_t id)
{
	struct request *r = g_hash_table_lookup(e->requests, &id);
	struct pool_state *pool;

	if (!r)
		return;
	pool = r->pool;
	switch (r->state) {
	case REQUEST_CLAIMING:
		break;
	case REQUEST_QUEUED:
		leave_queue(r);
		break;
	case REQUEST_RUNNING:
		r->verdict = VERDICT_MAY_HAVE_RUN;
		entry_add_effect(e, EFFECT_ABORT, r->id)->attempt = r->attempt;
		release(e, now, r, false, false);
		break;
	}
	requests_end_claim(e, r,
			   r->verdict == VERDICT_NOT_RUN ? SW_CLAIM_RELEASED : SW_CLAIM_UNKNOWN);
	requests_forget(e, r);
	dispatch_pump(e, now, pool);
}

static void expire_queue(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	bool lease = entry_has_lease(e, now);
	bool exists = tables_find_pool(e->tables, pool->name) != NULL;

	for (GList *l = pool->waiters.head; l;) {
		struct waiter *w = l->data;
		struct request *r = w->type == WAITER_REQUEST ? w->u.request : NULL;

		l = l->next;
		if (!r || (lease && exists && now < r->deadline_at))
			continue;
		leave_queue(r);
		if (!lease)
			dispatch_refuse(e, r, HTTP_UNAVAILABLE, "this entry lost its lease");
		else if (!exists)
			dispatch_refuse(e, r, HTTP_UNAVAILABLE, "the pool was removed");
		else
			dispatch_refuse(e, r, HTTP_GATEWAY_TIMEOUT,
					"the deadline passed while the request waited");
	}
}

void dispatch_expire(struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		if (!pool->waiters.length)
			continue;
		expire_queue(e, now, pool);
		dispatch_pump(e, now, pool);
	}
}
