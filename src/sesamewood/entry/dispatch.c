#include "base/http_status.h"
#include "entry/entry_internal.h"

/* One pass over a queue ends after this many waiters that could not be served. */
#define BLOCKED_WAITERS_MAX 16
/* Weight of the latest attempt in the moving average. */
#define SUCCESS_RATE_WEIGHT 0.1
/* Lower limit of the success rate in the cost of an instance, which divides by its square. */
#define SUCCESS_RATE_MIN 0.05
/* Upper limit of the retry budget, to which every response adds. */
#define RETRY_TOKENS_MAX 10.0
#define PERCENT 100.0

void dispatch_reject(struct entry *e, struct request *r, uint32_t http_status, const char *title)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_SEND_PROBLEM, r->id);

	effect->u.problem.http_status = http_status;
	effect->u.problem.title = title;
	effect->u.problem.verdict = r->verdict;
	requests_close_claim(e, r,
			     r->verdict == VERDICT_NOT_RUN ? SW_CLAIM_RELEASED : SW_CLAIM_UNKNOWN);
	requests_remove(e, r);
}

void dispatch_enqueue(struct entry *e, clock_ms_t now, struct request *r)
{
	struct waiter *w = g_new0(struct waiter, 1);

	(void)e;
	*w = (struct waiter){.type = WAITER_REQUEST, .queued_at = now, .u.request = r};
	r->state = REQUEST_QUEUED;
	r->waiter = w;
	g_queue_push_tail(&r->pool->waiters, w);
}

static void dequeue_request(struct request *r)
{
	g_queue_remove(&r->pool->waiters, r->waiter);
	g_free(g_steal_pointer(&r->waiter));
}

static bool was_tried(const struct request *r, uint32_t id)
{
	for (uint32_t i = 0; r && i < r->n_tried; i++)
		if (r->tried[i] == id)
			return true;
	return false;
}

/// Returns true if new requests may be sent to an instance, by whichever entry it is granted to.
static bool is_usable(const struct instance *i)
{
	return i->in_view && !i->leaving && i->record.phase == SW_PHASE_ACTIVE;
}

struct instance *dispatch_select_instance(struct entry *e, clock_ms_t now, struct pool_state *pool,
					  const struct request *r)
{
	struct instance *best = NULL;
	double best_cost = 0;

	(void)e;
	for (guint n = 0; n < pool->owned->len; n++) {
		struct instance *i = pool->owned->pdata[n];
		uint32_t used = i->in_use + i->lent;
		double success_rate = MAX(i->success_rate, SUCCESS_RATE_MIN);
		/* Prefers instances with few requests, and avoids those that fail often. */
		double cost = (used + 1) / (success_rate * success_rate);

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

/// Returns true if the request's pool has a usable instance, granted to any entry, that the request
/// has not tried.
static bool has_untried_instance(const struct entry *e, const struct request *r)
{
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (i && is_usable(i) && g_str_equal(i->record.pool, r->pool->name) &&
		    !was_tried(r, n))
			return true;
	}
	return false;
}

static void mark_tried(struct request *r, uint32_t id)
{
	if (r->n_tried < ENTRY_TRIED_INSTANCES_MAX)
		r->tried[r->n_tried++] = id;
}

/// Starts the next attempt of a queued request. The caller has taken the slot.
static struct entry_effect *start_attempt(struct entry *e, clock_ms_t now, struct request *r,
					  const char *instance, const char *address, uint64_t epoch)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_DISPATCH, r->id);

	effect->attempt = ++r->attempt;
	effect->u.dispatch.instance = g_strdup(instance);
	effect->u.dispatch.address = g_strdup(address);
	effect->u.dispatch.pool = g_strdup(r->pool->name);
	effect->u.dispatch.epoch = epoch;
	effect->u.dispatch.timeout_ms = r->deadline_at - now;
	effect->u.dispatch.wait_ms = now - r->waiter->queued_at;
	effect->u.dispatch.new_connection = !r->idempotent;
	dequeue_request(r);
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
	start_attempt(e, now, r, i->record.endpoint.instance, i->record.endpoint.address,
		      i->record.epoch);
}

static void start_on_loan(struct entry *e, clock_ms_t now, struct request *r,
			  struct borrowed_slot *loan)
{
	const struct instance *i = g_hash_table_lookup(e->by_name, loan->instance);

	r->loan = loan;
	loan->in_use = true;
	if (i)
		mark_tried(r, i->record.id);
	start_attempt(e, now, r, loan->instance, loan->address, loan->epoch);
}

/// Starts a request on an owned instance or a borrowed slot, or lends slots to another entry.
///
/// @return true if the waiter was served and has left the queue
static bool serve_waiter(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w)
{
	struct instance *i;
	struct borrowed_slot *loan;

	if (w->type == WAITER_LOAN)
		return loans_grant(e, now, pool, w);
	if (now >= w->u.request->deadline_at)
		return false;
	i = dispatch_select_instance(e, now, pool, w->u.request);
	if (i) {
		start_on_instance(e, now, w->u.request, i);
		return true;
	}
	loan = loans_select_slot(pool, now, e, w->u.request);
	if (!loan)
		return false;
	start_on_loan(e, now, w->u.request, loan);
	return true;
}

static bool has_waiting_request(const struct pool_state *pool)
{
	for (GList *link = pool->waiters.head; link; link = link->next)
		if (((struct waiter *)link->data)->type == WAITER_REQUEST)
			return true;
	return false;
}

void dispatch_pool_queue(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	GList *next = pool->waiters.head;

	if (!entry_has_lease(e, now))
		return;
	for (int misses = 0; next && misses < BLOCKED_WAITERS_MAX;) {
		GList *link = next;

		next = link->next;
		if (!serve_waiter(e, now, pool, link->data))
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

void dispatch_handle_freed_slot(struct entry *e, struct instance *i)
{
	if (i->record.phase == SW_PHASE_REVOKING && !i->in_use && !i->lent)
		e->renew_urgent = true;
}

/// Returns true if an instance may be ejected: at most half of a pool's usable instances are
/// ejected at a time.
static bool can_eject(const struct entry *e, const struct instance *i)
{
	uint32_t n_usable = 0;
	uint32_t n_ejected = 1;

	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *other = e->instances->pdata[n];

		if (!other || !is_usable(other) || !g_str_equal(other->record.pool, i->record.pool))
			continue;
		n_usable++;
		n_ejected += other != i && other->ejected_until > 0;
	}
	return 2 * n_ejected <= n_usable;
}

/// Updates the statistics of an instance after an attempt, and ejects it after too many consecutive
/// failures.
static void update_health(struct entry *e, clock_ms_t now, struct instance *i, bool succeeded)
{
	i->success_rate += SUCCESS_RATE_WEIGHT * ((succeeded ? 1.0 : 0.0) - i->success_rate);
	i->failures = succeeded ? 0 : i->failures + 1;
	if (succeeded)
		i->ejected_until = 0;
	if (i->failures >= e->settings.eject_failures && can_eject(e, i)) {
		i->ejected_until = now + e->settings.eject_ms;
		i->failures = 0;
	}
}

/// Frees the slot of a running request.
///
/// @param update_stats count the attempt in the instance's statistics
/// @param succeeded outcome of the attempt, if it counts
static void release_slot(struct entry *e, clock_ms_t now, struct request *r, bool update_stats,
			 bool succeeded)
{
	struct instance *i =
		r->instance != ENTRY_NO_INSTANCE ? e->instances->pdata[r->instance] : NULL;

	r->pool->in_use--;
	r->instance = ENTRY_NO_INSTANCE;
	if (i) {
		i->in_use--;
		if (update_stats)
			update_health(e, now, i, succeeded);
		dispatch_handle_freed_slot(e, i);
	}
	if (r->loan) {
		struct borrowed_slot *loan = g_steal_pointer(&r->loan);

		loan->in_use = false;
		if (!has_waiting_request(r->pool) || now >= loan->expires_at)
			loans_return(e, r->pool, loan);
	}
}

/// Returns true if a request may be retried, and counts the retry. Takes a token of the retry
/// budget, unless the attempt did not run: such a retry adds no load to endpoints.
static bool consume_retry(struct entry *e, clock_ms_t now, struct request *r, enum verdict v)
{
	if (!r->retries_left || now >= r->deadline_at || !entry_has_lease(e, now) ||
	    !verdict_allows_retry(v, r->idempotent) || !has_untried_instance(e, r))
		return false;
	if (v != VERDICT_NOT_RUN) {
		if (e->retry_tokens < 1)
			return false;
		e->retry_tokens--;
	}
	r->retries_left--;
	return true;
}

/// Completes a request with the endpoint's response, and adds to the retry budget.
static void finish_with_response(struct entry *e, struct request *r)
{
	e->retry_tokens =
		MIN(e->retry_tokens + e->settings.retry_percent / PERCENT, RETRY_TOKENS_MAX);
	requests_close_claim(e, r, SW_CLAIM_RAN);
	entry_add_effect(e, ENTRY_EFFECT_SEND_RESPONSE, r->id);
	requests_remove(e, r);
}

void dispatch_handle_attempt_done(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	struct request *r = g_hash_table_lookup(e->requests, &event->u.done.id);
	enum verdict v = event->u.done.verdict;
	bool succeeded = v == VERDICT_RAN && event->u.done.http_status < HTTP_SERVER_ERROR;
	struct pool_state *pool;

	if (!r || r->state != REQUEST_RUNNING || r->attempt != event->u.done.attempt)
		return;
	pool = r->pool;
	release_slot(e, now, r, true, succeeded);
	r->verdict = verdict_combine(r->verdict, v);
	if (v == VERDICT_RAN) {
		finish_with_response(e, r);
	} else if (consume_retry(e, now, r, v)) {
		dispatch_enqueue(e, now, r);
	} else if (event->u.done.timed_out) {
		dispatch_reject(e, r, HTTP_GATEWAY_TIMEOUT, "the endpoint did not answer in time");
	} else {
		dispatch_reject(e, r, HTTP_BAD_GATEWAY, "the endpoint did not answer completely");
	}
	dispatch_pool_queue(e, now, pool);
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
		dequeue_request(r);
		break;
	case REQUEST_RUNNING:
		r->verdict = VERDICT_MAY_HAVE_RUN;
		entry_add_effect(e, ENTRY_EFFECT_ABORT, r->id)->attempt = r->attempt;
		release_slot(e, now, r, false, false);
		break;
	}
	requests_close_claim(e, r,
			     r->verdict == VERDICT_NOT_RUN ? SW_CLAIM_RELEASED : SW_CLAIM_UNKNOWN);
	requests_remove(e, r);
	dispatch_pool_queue(e, now, pool);
}

/// Rejects those queued requests of a pool that can't be served any more.
static void expire_requests(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	bool lease = entry_has_lease(e, now);
	bool exists = tables_find_pool(e->tables, pool->name) != NULL;

	for (GList *link = pool->waiters.head; link;) {
		struct waiter *w = link->data;
		struct request *r = w->type == WAITER_REQUEST ? w->u.request : NULL;

		link = link->next;
		if (!r || (lease && exists && now < r->deadline_at))
			continue;
		dequeue_request(r);
		if (!lease)
			dispatch_reject(e, r, HTTP_UNAVAILABLE, "this entry lost its lease");
		else if (!exists)
			dispatch_reject(e, r, HTTP_UNAVAILABLE, "the pool was removed");
		else
			dispatch_reject(e, r, HTTP_GATEWAY_TIMEOUT,
					"the deadline passed while the request waited");
	}
}

void dispatch_expire_waiters(struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		if (!pool->waiters.length)
			continue;
		expire_requests(e, now, pool);
		dispatch_pool_queue(e, now, pool);
	}
}
