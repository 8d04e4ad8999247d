#include "base/codec.h"
#include "base/http_status.h"
#include "entry/entry_internal.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#define BUSY_RETRY_MS 50
#define URGENT_SPACING_MS 10
#define SURGE_WAIT_MS 50
#define SURGE_REPORT_MS 100
#define REPORT_MS 1000

struct pool_state *view_pool(struct entry *e, const char *name)
{
	struct pool_state *pool = g_hash_table_lookup(e->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct pool_state, 1);
	pool->name = g_strdup(name);
	g_queue_init(&pool->waiters);
	pool->owned = g_ptr_array_new();
	pool->loans = g_ptr_array_new_with_free_func(loans_free_held);
	g_hash_table_insert(e->pools, pool->name, pool);
	return pool;
}

void view_instance_free(void *p)
{
	struct instance *i = p;

	if (!i)
		return;
	codec_free(CODEC_PROC(sw_instance), &i->record);
	g_free(i);
}

/* Applying a reply. */

static void apply_tables(struct entry *e, const sw_renew_reply *reply)
{
	g_autoptr(GPtrArray) faults = g_ptr_array_new_with_free_func(g_free);

	for (u_int i = 0; i < reply->tables.tables_len; i++) {
		const sw_table_text *t = &reply->tables.tables_val[i];
		GPtrArray *rows;

		switch (t->table) {
		case SW_TABLE_ROUTES:
			if (t->table_version < e->routes_version)
				continue;
			rows = tables_parse_routes(t->json, strlen(t->json), faults);
			if (!rows)
				continue;
			tables_set_routes(e->tables, rows);
			e->routes_version = t->table_version;
			break;
		case SW_TABLE_POOLS:
			if (t->table_version < e->pools_version)
				continue;
			rows = tables_parse_pools(t->json, strlen(t->json), faults);
			if (!rows)
				continue;
			tables_set_pools(e->tables, rows);
			e->pools_version = t->table_version;
			break;
		}
	}
}

static struct instance *instance_at(struct entry *e, const sw_instance *record)
{
	struct instance *i;

	if (record->id >= e->instances->len)
		g_ptr_array_set_size(e->instances, (gint)record->id + 1);
	i = e->instances->pdata[record->id];
	if (!i) {
		i = g_new0(struct instance, 1);
		i->success = 1;
		e->instances->pdata[record->id] = i;
	}
	return i;
}

/// Forgets what was learnt about an earlier incarnation.
static void reset_health(struct instance *i)
{
	i->leaving = false;
	i->failures = 0;
	i->success = 1;
	i->ejected_until = 0;
}

static void apply_instance(struct entry *e, const sw_instance *record)
{
	struct instance *i = instance_at(e, record);
	sw_heartbeat *news = g_hash_table_lookup(e->news, record->endpoint.instance);

	if (i->known)
		g_hash_table_remove(e->by_name, i->record.endpoint.instance);
	if (!i->known || i->record.endpoint.incarnation != record->endpoint.incarnation ||
	    strcmp(i->record.endpoint.instance, record->endpoint.instance) != 0)
		reset_health(i);
	codec_free(CODEC_PROC(sw_instance), &i->record);
	codec_copy(CODEC_PROC(sw_instance), record, &i->record, sizeof(i->record));
	i->known = true;
	i->leaving = i->leaving || record->endpoint.leaving;
	g_hash_table_insert(e->by_name, i->record.endpoint.instance, i);
	if (news && (record->endpoint.incarnation > news->incarnation ||
		     (record->endpoint.incarnation == news->incarnation &&
		      record->endpoint.leaving >= news->leaving)))
		g_hash_table_remove(e->news, news->instance);
}

static void forget_instance(struct entry *e, uint32_t id)
{
	struct instance *i = id < e->instances->len ? e->instances->pdata[id] : NULL;

	if (!i || !i->known)
		return;
	g_hash_table_remove(e->by_name, i->record.endpoint.instance);
	i->known = false;
}

static void apply_peers(struct entry *e, const sw_renew_reply *reply)
{
	for (u_int i = 0; i < reply->peers.peers_len; i++)
		g_hash_table_replace(e->peers, g_strdup(reply->peers.peers_val[i].entry),
				     g_strdup(reply->peers.peers_val[i].address));
}

/// Lists for each pool the instances that this entry may dispatch to.
static void rebuild_owned(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_set_size(((struct pool_state *)value)->owned, 0);
	for (guint n = 0; n < e->instances->len; n++) {
		struct instance *i = e->instances->pdata[n];

		if (i && i->known && i->record.phase == SW_PHASE_ACTIVE && *i->record.pool &&
		    g_str_equal(i->record.entry, e->settings.name))
			g_ptr_array_add(view_pool(e, i->record.pool)->owned, i);
	}
}

static void pump_all(struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pool_state *)value)->waiters.length)
			dispatch_pump(e, now, value);
}

static void apply_view(struct entry *e, clock_ms_t now, const sw_renew_reply *reply)
{
	if (reply->full)
		for (guint n = 0; n < e->instances->len; n++)
			forget_instance(e, n);
	apply_tables(e, reply);
	for (u_int i = 0; i < reply->forgotten.forgotten_len; i++)
		forget_instance(e, reply->forgotten.forgotten_val[i]);
	for (u_int i = 0; i < reply->instances.instances_len; i++)
		apply_instance(e, &reply->instances.instances_val[i]);
	apply_peers(e, reply);
	e->view_index = reply->index;
	e->renew_urgent = true;
	rebuild_owned(e);
	pump_all(e, now);
}

void view_apply(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	const sw_renew_reply *reply = event->u.renew.reply;

	e->renew_open = false;
	if (!reply || reply->status != SW_OK) {
		e->renew_at = MIN(e->renew_at, now + BUSY_RETRY_MS);
		return;
	}
	if (reply->full || reply->index > e->view_index)
		apply_view(e, now, reply);
	e->lease_until = MAX(e->lease_until, event->u.renew.sent_at + reply->lease_ms);
	if (reply->detached) {
		e->detached = true;
		e->lease_until = 0;
	}
}

/* Renewing. */

/// Tells whether a revocation can be acknowledged: when nothing runs any more, or at once where
/// the instance only changes its entry.
static bool may_ack(const struct entry *e, const struct instance *i)
{
	if (!i->known || i->record.phase != SW_PHASE_REVOKING ||
	    !g_str_equal(i->record.entry, e->settings.name))
		return false;
	return (!i->in_use && !i->lent) || g_str_equal(i->record.target, i->record.pool);
}

static void fill_acks(const struct entry *e, sw_renew_args *args)
{
	args->acks.acks_val = calloc(e->instances->len + 1, sizeof(sw_ack));
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (!i || !may_ack(e, i))
			continue;
		args->acks.acks_val[args->acks.acks_len++] = (sw_ack){
			.instance = strdup(i->record.endpoint.instance),
			.epoch = i->record.epoch,
			.busy = i->in_use || i->lent,
		};
	}
}

static uint32_t oldest_wait(const struct pool_state *pool, clock_ms_t now)
{
	for (GList *l = pool->waiters.head; l; l = l->next) {
		const struct waiter *w = l->data;

		if (w->type == WAITER_REQUEST)
			return now - w->since;
	}
	return 0;
}

static uint32_t count_waiting(const struct pool_state *pool)
{
	uint32_t n = 0;

	for (GList *l = pool->waiters.head; l; l = l->next)
		n += ((struct waiter *)l->data)->type == WAITER_REQUEST;
	return n;
}

static void fill_reports(struct entry *e, clock_ms_t now, sw_renew_args *args)
{
	GHashTableIter iter;
	gpointer value;

	args->reports.reports_val = calloc(g_hash_table_size(e->pools) + 1, sizeof(sw_pool_report));
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		if (!pool->in_use && !pool->waiters.length)
			continue;
		args->reports.reports_val[args->reports.reports_len++] = (sw_pool_report){
			.pool = strdup(pool->name),
			.in_use = pool->in_use,
			.queued = count_waiting(pool),
			.oldest_wait_ms = oldest_wait(pool, now),
		};
	}
}

static void fill_news(struct entry *e, sw_renew_args *args)
{
	GHashTableIter iter;
	gpointer value;

	args->announcements.announcements_val =
		calloc(g_hash_table_size(e->news) + 1, sizeof(sw_heartbeat));
	g_hash_table_iter_init(&iter, e->news);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		codec_copy(CODEC_PROC(sw_heartbeat), value,
			   &args->announcements
				    .announcements_val[args->announcements.announcements_len++],
			   sizeof(sw_heartbeat));
}

static void fill_heard(struct entry *e, sw_renew_args *args)
{
	args->heard.heard_len = e->instances->len / CHAR_BIT + 1;
	args->heard.heard_val = calloc(args->heard.heard_len, 1);
	for (guint n = 0; n < e->instances->len; n++) {
		struct instance *i = e->instances->pdata[n];

		if (!i || !i->known || !i->heard)
			continue;
		i->heard = false;
		args->heard.heard_val[n / CHAR_BIT] |= (char)(1 << n % CHAR_BIT);
	}
}

static bool owns_nothing(const struct entry *e)
{
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (i && (i->in_use || i->lent ||
			  (i->known && g_str_equal(i->record.entry, e->settings.name))))
			return false;
	}
	return true;
}

static void send_renewal(struct entry *e, clock_ms_t now, bool reports)
{
	sw_renew_args *args = &entry_add_effect(e, EFFECT_RENEW, 0)->u.renew;

	args->entry = strdup(e->settings.name);
	args->session = e->settings.session;
	args->address = strdup(e->settings.address);
	args->have_index = e->view_index;
	args->draining = e->draining;
	args->detach = e->draining && !g_hash_table_size(e->requests) && owns_nothing(e);
	fill_acks(e, args);
	fill_news(e, args);
	if (reports) {
		args->reporting = true;
		e->report_at = now + REPORT_MS;
		fill_reports(e, now, args);
		fill_heard(e, args);
	}
	e->renew_open = true;
	e->renew_urgent = false;
	e->renew_sent_at = now;
	e->renew_at = now + e->settings.renew_ms;
}

/// Tells whether a queue has grown that control should know of before the next renewal.
static bool has_surge(const struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < e->renew_sent_at + SURGE_REPORT_MS)
		return false;
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_state *pool = value;

		if (pool->queued_since && now - pool->queued_since >= SURGE_WAIT_MS)
			return true;
	}
	return false;
}

void view_renew(struct entry *e, clock_ms_t now)
{
	bool surge = has_surge(e, now);
	bool urgent = (e->renew_urgent || surge) && now >= e->renew_sent_at + URGENT_SPACING_MS;

	if (!e->renew_open && !e->detached && (urgent || now >= e->renew_at))
		send_renewal(e, now, surge || now >= e->report_at);
}

/* Announcements. */

static void announcement_reply(struct entry *e, uint64_t token, uint32_t http_status,
			       const char *title)
{
	struct entry_effect *effect = entry_add_effect(e, EFFECT_ANNOUNCED, token);

	effect->u.announced.http_status = http_status;
	effect->u.announced.title = title;
}

static void keep_news(struct entry *e, const sw_heartbeat *a)
{
	sw_heartbeat *copy = g_new0(sw_heartbeat, 1);

	codec_copy(CODEC_PROC(sw_heartbeat), a, copy, sizeof(*copy));
	g_hash_table_replace(e->news, copy->instance, copy);
	e->renew_urgent = true;
}

void view_announce(struct entry *e, const struct entry_event *event)
{
	const sw_heartbeat *a = event->u.announce.announcement;
	struct instance *i = g_hash_table_lookup(e->by_name, a->instance);
	const sw_heartbeat *news = g_hash_table_lookup(e->news, a->instance);

	if ((i && a->incarnation < i->record.endpoint.incarnation) ||
	    (news && a->incarnation < news->incarnation)) {
		announcement_reply(e, event->u.announce.token, HTTP_CONFLICT,
				   "a newer incarnation has announced itself");
		return;
	}
	if (i && a->incarnation == i->record.endpoint.incarnation) {
		if (i->record.endpoint.leaving && !a->leaving) {
			announcement_reply(e, event->u.announce.token, HTTP_CONFLICT,
					   "this incarnation has announced that it leaves");
			return;
		}
		i->heard = true;
		i->leaving = i->leaving || a->leaving;
	}
	if (!i || a->incarnation > i->record.endpoint.incarnation ||
	    (a->leaving && !i->record.endpoint.leaving))
		keep_news(e, a);
	announcement_reply(e, event->u.announce.token, HTTP_OK, "ok");
}
