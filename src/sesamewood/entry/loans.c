#include "base/codec.h"
#include "entry/entry_internal.h"

#include <stdlib.h>
#include <string.h>

#define LOANS_PER_CALL_MAX 8
/* How long a lender may wait for free slots before it replies. */
#define BORROW_WAIT_MS 300
/* Delay of the next call after a lender had no slots or did not reply. */
#define BORROW_RETRY_MS 50

void loans_free_borrowed(void *p)
{
	struct borrowed_slot *loan = p;

	g_free(loan->lender);
	g_free(loan->instance);
	g_free(loan->address);
	g_free(loan);
}

/// @return RPC addresses of the other entries that own usable instances of the pool, in the order
/// of instance ids; the addresses are owned by the entry
static GPtrArray *find_lenders(const struct entry *e, const struct pool_state *pool)
{
	GPtrArray *out = g_ptr_array_new();

	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];
		char *address;

		if (!i || !i->in_view || i->leaving || i->record.phase != SW_PHASE_ACTIVE ||
		    !g_str_equal(i->record.pool, pool->name) ||
		    g_str_equal(i->record.entry, e->settings.name))
			continue;
		address = g_hash_table_lookup(e->peers, i->record.entry);
		if (address && !g_ptr_array_find(out, address, NULL))
			g_ptr_array_add(out, address);
	}
	return out;
}

void loans_borrow(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	g_autoptr(GPtrArray) lenders = NULL;
	struct entry_effect *effect;
	uint32_t wanted = MIN(g_queue_get_length(&pool->waiters), LOANS_PER_CALL_MAX);

	if (now < pool->borrow_not_before)
		return;
	lenders = find_lenders(e, pool);
	if (pool->borrow_calls_open >= MIN(lenders->len, g_queue_get_length(&pool->waiters)))
		return;
	effect = entry_add_effect(e, ENTRY_EFFECT_BORROW, 0);
	effect->u.borrow.address = g_strdup(lenders->pdata[pool->next_lender++ % lenders->len]);
	effect->u.borrow.pool = g_strdup(pool->name);
	effect->u.borrow.count = wanted;
	effect->u.borrow.wait_ms = BORROW_WAIT_MS;
	pool->borrow_calls_open++;
}

/// Stores a slot that a lender granted. Its time counts from when the call was sent, which is
/// before the lender granted it.
static void add_borrowed_slot(struct entry *e, struct pool_state *pool, const sw_loan *from,
			      const struct entry_event *event)
{
	struct borrowed_slot *loan = g_new0(struct borrowed_slot, 1);

	(void)e;
	*loan = (struct borrowed_slot){
		.id = from->id,
		.lender = g_strdup(event->u.borrow.lender),
		.instance = g_strdup(from->instance),
		.address = g_strdup(from->address),
		.epoch = from->epoch,
		.expires_at = event->u.borrow.sent_at + from->expires_ms,
	};
	g_ptr_array_add(pool->borrowed_slots, loan);
}

void loans_return(struct entry *e, struct pool_state *pool, struct borrowed_slot *loan)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_RETURN_LOAN, 0);

	effect->u.return_loan.address = g_strdup(loan->lender);
	effect->u.return_loan.loan = loan->id;
	g_ptr_array_remove(pool->borrowed_slots, loan);
}

static void return_unused_slots(struct entry *e, struct pool_state *pool)
{
	for (guint i = pool->borrowed_slots->len; i > 0; i--) {
		struct borrowed_slot *loan = pool->borrowed_slots->pdata[i - 1];

		if (!loan->in_use)
			loans_return(e, pool, loan);
	}
}

void loans_handle_borrow_result(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	struct pool_state *pool = view_get_pool(e, event->u.borrow.pool);
	const sw_borrow_reply *reply = event->u.borrow.reply;

	pool->borrow_calls_open--;
	if (!reply || reply->status != SW_OK)
		pool->borrow_not_before = now + BORROW_RETRY_MS;
	for (u_int i = 0; reply && i < reply->loans.loans_len; i++)
		add_borrowed_slot(e, pool, &reply->loans.loans_val[i], event);
	dispatch_pool_queue(e, now, pool);
	return_unused_slots(e, pool);
}

struct borrowed_slot *loans_select_slot(struct pool_state *pool, clock_ms_t now,
					const struct entry *e, const struct request *r)
{
	for (guint n = 0; n < pool->borrowed_slots->len; n++) {
		struct borrowed_slot *loan = pool->borrowed_slots->pdata[n];
		const struct instance *i = g_hash_table_lookup(e->by_name, loan->instance);
		bool tried = false;

		for (uint32_t t = 0; i && t < r->n_tried; t++)
			tried = tried || r->tried[t] == i->record.id;
		if (!loan->in_use && now < loan->expires_at && !tried && !(i && i->leaving))
			return loan;
	}
	return NULL;
}

static void reply_loans(struct entry *e, uint64_t token, sw_status status, GArray *loans)
{
	sw_borrow_reply *reply =
		&entry_add_effect(e, ENTRY_EFFECT_REPLY_BORROW, token)->u.borrow_reply;

	reply->status = status;
	if (!loans || !loans->len)
		return;
	reply->loans.loans_len = loans->len;
	reply->loans.loans_val = calloc(loans->len, sizeof(sw_loan));
	memcpy(reply->loans.loans_val, loans->data, loans->len * sizeof(sw_loan));
}

/// Reserves a slot for another entry. The lender counts it as occupied until it is returned, or
/// until the last request that the borrower can have started on it has reached its deadline.
static sw_loan lend_slot(struct entry *e, clock_ms_t now, struct instance *i, uint32_t expires_ms)
{
	struct lent_slot slot = {
		.id = ++e->last_loan_id,
		.instance = i->record.id,
		.reclaim_at =
			now + expires_ms + e->settings.loan_margin_ms + e->settings.deadline_max_ms,
	};

	i->lent++;
	g_array_append_val(e->lent_slots, slot);
	return (sw_loan){
		.id = slot.id,
		.instance = strdup(i->record.endpoint.instance),
		.incarnation = i->record.endpoint.incarnation,
		.address = strdup(i->record.endpoint.address),
		.pool = strdup(i->record.pool),
		.epoch = i->record.epoch,
		.expires_ms = expires_ms,
	};
}

bool loans_grant(struct entry *e, clock_ms_t now, struct pool_state *pool, struct waiter *w)
{
	g_autoptr(GArray) loans = g_array_new(FALSE, FALSE, sizeof(sw_loan));
	uint32_t expires_ms = MIN((clock_ms_t)e->settings.loan_ms, e->lease_until - now);

	while (loans->len < w->u.loan.count) {
		struct instance *i = dispatch_select_instance(e, now, pool, NULL);
		sw_loan loan;

		if (!i)
			break;
		loan = lend_slot(e, now, i, expires_ms);
		g_array_append_val(loans, loan);
	}
	if (!loans->len)
		return false;
	reply_loans(e, w->u.loan.token, SW_OK, loans);
	g_queue_remove(&pool->waiters, w);
	g_free(w);
	return true;
}

void loans_handle_borrow_call(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	const sw_borrow_args *args = event->u.borrow_call.args;
	struct pool_state *pool = g_hash_table_lookup(e->pools, args->pool);
	struct waiter *w;

	if (!pool || !pool->owned->len || !entry_has_lease(e, now)) {
		reply_loans(e, event->u.borrow_call.token, SW_REFUSED, NULL);
		return;
	}
	w = g_new0(struct waiter, 1);
	*w = (struct waiter){.type = WAITER_LOAN, .queued_at = now};
	w->u.loan.token = event->u.borrow_call.token;
	w->u.loan.count = MIN(args->count, LOANS_PER_CALL_MAX);
	w->u.loan.deadline_at = now + args->wait_ms;
	g_queue_push_tail(&pool->waiters, w);
	dispatch_pool_queue(e, now, pool);
}

/// Ends a loan: the slot is free again.
///
/// @param n index in e->lent_slots
static void reclaim_slot(struct entry *e, clock_ms_t now, guint n)
{
	struct lent_slot slot = g_array_index(e->lent_slots, struct lent_slot, n);
	struct instance *i = e->instances->pdata[slot.instance];

	g_array_remove_index_fast(e->lent_slots, n);
	if (!i)
		return;
	i->lent--;
	dispatch_handle_freed_slot(e, i);
	if (i->in_view && *i->record.pool)
		dispatch_pool_queue(e, now, view_get_pool(e, i->record.pool));
}

void loans_handle_return_call(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	const sw_return_args *args = event->u.return_call;

	for (u_int i = 0; i < args->loans.loans_len; i++)
		for (guint n = 0; n < e->lent_slots->len; n++)
			if (g_array_index(e->lent_slots, struct lent_slot, n).id ==
			    args->loans.loans_val[i]) {
				reclaim_slot(e, now, n);
				break;
			}
}

/// Replies to borrowers whose time has passed, and to all of them without a lease.
static void expire_waiters(struct entry *e, clock_ms_t now, struct pool_state *pool)
{
	for (GList *l = pool->waiters.head; l;) {
		struct waiter *w = l->data;
		GList *link = l;

		l = l->next;
		if (w->type != WAITER_LOAN ||
		    (now < w->u.loan.deadline_at && entry_has_lease(e, now)))
			continue;
		reply_loans(e, w->u.loan.token, SW_BUSY, NULL);
		g_queue_delete_link(&pool->waiters, link);
		g_free(w);
	}
}

void loans_expire(struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	for (guint n = e->lent_slots->len; n > 0; n--)
		if (now >= g_array_index(e->lent_slots, struct lent_slot, n - 1).reclaim_at)
			reclaim_slot(e, now, n - 1);
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		expire_waiters(e, now, value);
		return_unused_slots(e, value);
	}
}
