#include "base/codec.h"
#include "base/http_status.h"
#include "entry/entry_internal.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

/* Delay of the next renewal after one that failed or was refused. */
#define RENEW_RETRY_MS 50
/* Shortest time between a renewal and an urgent one. */
#define URGENT_RENEW_SPACING_MS 10
/* Requests that have waited for this time are a surge, which is reported to control at once. */
#define SURGE_WAIT_MS 50
/* Shortest time between a renewal and one that reports a surge. */
#define SURGE_REPORT_SPACING_MS 100
/* Interval of reports, which carry queue lengths and received heartbeats. */
#define REPORT_INTERVAL_MS 1000

struct pool_state *view_get_pool(struct entry *e, const char *name)
{
	struct pool_state *pool = g_hash_table_lookup(e->pools, name);

	if (pool)
		return pool;
	pool = g_new0(struct pool_state, 1);
	pool->name = g_strdup(name);
	g_queue_init(&pool->waiters);
	pool->owned = g_ptr_array_new();
	pool->borrowed_slots = g_ptr_array_new_with_free_func(loans_free_borrowed);
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

static void apply_tables(struct entry *e, const sw_renew_reply *reply)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

	for (u_int i = 0; i < reply->tables.tables_len; i++) {
		const sw_table_text *t = &reply->tables.tables_val[i];
		GPtrArray *rows;

		switch (t->table) {
		case SW_TABLE_ROUTES:
			if (t->table_version < e->routes_version)
				continue;
			rows = tables_parse_routes(t->json, strlen(t->json), errors);
			if (!rows)
				continue;
			tables_set_routes(e->tables, rows);
			e->routes_version = t->table_version;
			break;
		case SW_TABLE_POOLS:
			if (t->table_version < e->pools_version)
				continue;
			rows = tables_parse_pools(t->json, strlen(t->json), errors);
			if (!rows)
				continue;
			tables_set_pools(e->tables, rows);
			e->pools_version = t->table_version;
			break;
		}
	}
}

/// @return the instance with the record's id; a new one isn't in the view yet
static struct instance *get_or_add_instance(struct entry *e, const sw_instance *record)
{
	struct instance *i;

	if (record->id >= e->instances->len)
		g_ptr_array_set_size(e->instances, (gint)record->id + 1);
	i = e->instances->pdata[record->id];
	if (!i) {
		i = g_new0(struct instance, 1);
		i->success_rate = 1;
		e->instances->pdata[record->id] = i;
	}
	return i;
}

/// Clears the statistics and the leaving state that an earlier incarnation left.
static void reset_health(struct instance *i)
{
	i->leaving = false;
	i->failures = 0;
	i->success_rate = 1;
	i->ejected_until = 0;
}

static void apply_instance(struct entry *e, const sw_instance *record)
{
	struct instance *i = get_or_add_instance(e, record);
	sw_heartbeat *pending =
		g_hash_table_lookup(e->pending_heartbeats, record->endpoint.instance);

	if (i->in_view)
		g_hash_table_remove(e->by_name, i->record.endpoint.instance);
	if (!i->in_view || i->record.endpoint.incarnation != record->endpoint.incarnation ||
	    strcmp(i->record.endpoint.instance, record->endpoint.instance) != 0)
		reset_health(i);
	codec_free(CODEC_PROC(sw_instance), &i->record);
	codec_copy(CODEC_PROC(sw_instance), record, &i->record, sizeof(i->record));
	i->in_view = true;
	i->leaving = i->leaving || record->endpoint.leaving;
	g_hash_table_insert(e->by_name, i->record.endpoint.instance, i);
	if (pending && (record->endpoint.incarnation > pending->incarnation ||
			(record->endpoint.incarnation == pending->incarnation &&
			 record->endpoint.leaving >= pending->leaving)))
		g_hash_table_remove(e->pending_heartbeats, pending->instance);
}

static void forget_instance(struct entry *e, uint32_t id)
{
	struct instance *i = id < e->instances->len ? e->instances->pdata[id] : NULL;

	if (!i || !i->in_view)
		return;
	g_hash_table_remove(e->by_name, i->record.endpoint.instance);
	i->in_view = false;
}

static void apply_peers(struct entry *e, const sw_renew_reply *reply)
{
	for (u_int i = 0; i < reply->peers.peers_len; i++)
		g_hash_table_replace(e->peers, g_strdup(reply->peers.peers_val[i].entry),
				     g_strdup(reply->peers.peers_val[i].address));
}

/// Rebuilds each pool's list of instances that this entry may dispatch to.
static void rebuild_owned_instances(struct entry *e)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_set_size(((struct pool_state *)value)->owned, 0);
	for (guint n = 0; n < e->instances->len; n++) {
		struct instance *i = e->instances->pdata[n];

		if (i && i->in_view && i->record.phase == SW_PHASE_ACTIVE && *i->record.pool &&
		    g_str_equal(i->record.entry, e->settings.name))
			g_ptr_array_add(view_get_pool(e, i->record.pool)->owned, i);
	}
}

static void dispatch_all_pools(struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pool_state *)value)->waiters.length)
			dispatch_pool_queue(e, now, value);
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
	rebuild_owned_instances(e);
	dispatch_all_pools(e, now);
}

void view_handle_renew_result(struct entry *e, clock_ms_t now, const struct entry_event *event)
{
	const sw_renew_reply *reply = event->u.renew.reply;

	e->renew_in_flight = false;
	if (!reply || reply->status != SW_OK) {
		e->renew_at = MIN(e->renew_at, now + RENEW_RETRY_MS);
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

/// Returns true if the revocation of an instance can be acknowledged: if no slot is in use or lent,
/// or at once if the instance stays in its pool and only changes its entry.
static bool can_acknowledge(const struct entry *e, const struct instance *i)
{
	if (!i->in_view || i->record.phase != SW_PHASE_REVOKING ||
	    !g_str_equal(i->record.entry, e->settings.name))
		return false;
	return (!i->in_use && !i->lent) || g_str_equal(i->record.target, i->record.pool);
}

static void fill_acks(const struct entry *e, sw_renew_args *args)
{
	args->acks.acks_val = calloc(e->instances->len + 1, sizeof(sw_ack));
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (!i || !can_acknowledge(e, i))
			continue;
		args->acks.acks_val[args->acks.acks_len++] = (sw_ack){
			.instance = strdup(i->record.endpoint.instance),
			.epoch = i->record.epoch,
			.busy = i->in_use || i->lent,
		};
	}
}

static uint32_t queue_oldest_wait_ms(const struct pool_state *pool, clock_ms_t now)
{
	for (GList *l = pool->waiters.head; l; l = l->next) {
		const struct waiter *w = l->data;

		if (w->type == WAITER_REQUEST)
			return now - w->queued_at;
	}
	return 0;
}

static uint32_t count_queued(const struct pool_state *pool)
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

	args->reports.reports_val = calloc(g_hash_table_size(e->pools) + 1, sizeof(sw_pool_load));
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		if (!pool->in_use && !pool->waiters.length)
			continue;
		args->reports.reports_val[args->reports.reports_len++] = (sw_pool_load){
			.pool = strdup(pool->name),
			.in_use = pool->in_use,
			.queued = count_queued(pool),
			.oldest_wait_ms = queue_oldest_wait_ms(pool, now),
		};
	}
}

static void fill_heartbeats(struct entry *e, sw_renew_args *args)
{
	GHashTableIter iter;
	gpointer value;

	args->registrations.registrations_val =
		calloc(g_hash_table_size(e->pending_heartbeats) + 1, sizeof(sw_heartbeat));
	g_hash_table_iter_init(&iter, e->pending_heartbeats);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		codec_copy(CODEC_PROC(sw_heartbeat), value,
			   &args->registrations
				    .registrations_val[args->registrations.registrations_len++],
			   sizeof(sw_heartbeat));
}

/// Fills the bit set of the instances that sent a heartbeat since the last report, and clears their
/// marks.
static void fill_heartbeat_bits(struct entry *e, sw_renew_args *args)
{
	args->heartbeat_bits.heartbeat_bits_len = e->instances->len / CHAR_BIT + 1;
	args->heartbeat_bits.heartbeat_bits_val =
		calloc(args->heartbeat_bits.heartbeat_bits_len, 1);
	for (guint n = 0; n < e->instances->len; n++) {
		struct instance *i = e->instances->pdata[n];

		if (!i || !i->in_view || !i->heartbeat_seen)
			continue;
		i->heartbeat_seen = false;
		args->heartbeat_bits.heartbeat_bits_val[n / CHAR_BIT] |= (char)(1 << n % CHAR_BIT);
	}
}

/// Returns true if the session can end: no instance is granted to this entry, and none of its
/// requests or loans use one.
static bool holds_no_instances(const struct entry *e)
{
	for (guint n = 0; n < e->instances->len; n++) {
		const struct instance *i = e->instances->pdata[n];

		if (i && (i->in_use || i->lent ||
			  (i->in_view && g_str_equal(i->record.entry, e->settings.name))))
			return false;
	}
	return true;
}

static void send_renewal(struct entry *e, clock_ms_t now, bool reports)
{
	sw_renew_args *args = &entry_add_effect(e, ENTRY_EFFECT_RENEW, 0)->u.renew;

	args->entry = strdup(e->settings.name);
	args->session = e->settings.session;
	args->address = strdup(e->settings.address);
	args->applied_view_index = e->view_index;
	args->draining = e->draining;
	args->detach = e->draining && !g_hash_table_size(e->requests) && holds_no_instances(e);
	fill_acks(e, args);
	fill_heartbeats(e, args);
	if (reports) {
		args->reporting = true;
		e->next_report_at = now + REPORT_INTERVAL_MS;
		fill_reports(e, now, args);
		fill_heartbeat_bits(e, args);
	}
	e->renew_in_flight = true;
	e->renew_urgent = false;
	e->renew_sent_at = now;
	e->renew_at = now + e->settings.renew_ms;
}

/// Returns true if requests of a pool have waited for SURGE_WAIT_MS and no renewal was sent within
/// SURGE_REPORT_SPACING_MS.
static bool has_surge(const struct entry *e, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < e->renew_sent_at + SURGE_REPORT_SPACING_MS)
		return false;
	g_hash_table_iter_init(&iter, e->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_state *pool = value;

		if (pool->queued_since && now - pool->queued_since >= SURGE_WAIT_MS)
			return true;
	}
	return false;
}

void view_renew_if_due(struct entry *e, clock_ms_t now)
{
	bool surge = has_surge(e, now);
	bool urgent =
		(e->renew_urgent || surge) && now >= e->renew_sent_at + URGENT_RENEW_SPACING_MS;

	if (!e->renew_in_flight && !e->detached && (urgent || now >= e->renew_at))
		send_renewal(e, now, surge || now >= e->next_report_at);
}

static void reply_heartbeat(struct entry *e, uint64_t token, uint32_t http_status,
			    const char *title)
{
	struct entry_effect *effect = entry_add_effect(e, ENTRY_EFFECT_REPLY_HEARTBEAT, token);

	effect->u.heartbeat_reply.http_status = http_status;
	effect->u.heartbeat_reply.title = title;
}

/// Keeps a copy of a heartbeat for the next renewal, which is sent without delay.
static void store_heartbeat(struct entry *e, const sw_heartbeat *hb)
{
	sw_heartbeat *copy = g_new0(sw_heartbeat, 1);

	codec_copy(CODEC_PROC(sw_heartbeat), hb, copy, sizeof(*copy));
	g_hash_table_replace(e->pending_heartbeats, copy->instance, copy);
	e->renew_urgent = true;
}

void view_handle_heartbeat(struct entry *e, const struct entry_event *event)
{
	const sw_heartbeat *hb = event->u.heartbeat.endpoint_heartbeat;
	struct instance *i = g_hash_table_lookup(e->by_name, hb->instance);
	const sw_heartbeat *pending = g_hash_table_lookup(e->pending_heartbeats, hb->instance);

	if ((i && hb->incarnation < i->record.endpoint.incarnation) ||
	    (pending && hb->incarnation < pending->incarnation)) {
		reply_heartbeat(e, event->u.heartbeat.token, HTTP_CONFLICT,
				"a newer incarnation has announced itself");
		return;
	}
	if (i && hb->incarnation == i->record.endpoint.incarnation) {
		if (i->record.endpoint.leaving && !hb->leaving) {
			reply_heartbeat(e, event->u.heartbeat.token, HTTP_CONFLICT,
					"this incarnation has announced that it leaves");
			return;
		}
		i->heartbeat_seen = true;
		i->leaving = i->leaving || hb->leaving;
	}
	if (!i || hb->incarnation > i->record.endpoint.incarnation ||
	    (hb->leaving && !i->record.endpoint.leaving))
		store_heartbeat(e, hb);
	reply_heartbeat(e, event->u.heartbeat.token, HTTP_OK, "ok");
}
