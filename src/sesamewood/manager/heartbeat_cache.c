#include "manager/heartbeat_cache.h"

/// If the leader has not answered a batch within this time, heartbeats are forwarded one by one:
/// they reach the leader, or their endpoints try another replica.
#define LEADER_CONTACT_MS 800
#define FORGET_MS 30000
#define OLD_HEARTBEATS_MAX_MS 2000
#define FORGET_PERIOD_MS 5000

struct cached_heartbeat {
	char *id;
	int64_t incarnation_wall_ms;
	uint64_t digest;	///< of the content that rarely changes
	uint64_t known_to_term; ///< term of the leader that knows the content; 0: none
	bool batch_pending;	///< to be sent in the next batch
	uint64_t sequence;
	int64_t clock_ms;
	uint32_t cold_ms;
	clock_ms_t last_heartbeat_at;
};

struct heartbeat_cache {
	GHashTable *by_id; ///< struct cached_heartbeat; owned
	uint64_t term;	   ///< term of the leader that answered a batch last
	clock_ms_t leader_contact_at;
	clock_ms_t next_cleanup_at;
};

static void cached_heartbeat_free(void *p)
{
	struct cached_heartbeat *h = p;

	g_free(h->id);
	g_free(h);
}

struct heartbeat_cache *heartbeat_cache_new(void)
{
	struct heartbeat_cache *c = g_new0(struct heartbeat_cache, 1);

	c->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cached_heartbeat_free);
	return c;
}

void heartbeat_cache_free(struct heartbeat_cache *c)
{
	g_hash_table_unref(c->by_id);
	g_free(c);
}

static bool has_leader_contact(const struct heartbeat_cache *c, clock_ms_t now, uint64_t term)
{
	return c->term == term && now - c->leader_contact_at < LEADER_CONTACT_MS;
}

bool heartbeat_cache_accept(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
			    const struct endpoint_heartbeat *hb)
{
	struct cached_heartbeat *h = g_hash_table_lookup(c->by_id, hb->id);

	if (!h || !has_leader_contact(c, now, term) || h->known_to_term != term ||
	    h->incarnation_wall_ms != hb->incarnation_wall_ms ||
	    h->digest != endpoint_heartbeat_digest(hb))
		return false;
	/* As endpoint_is_old_heartbeat(). If only old ones come, the leader decides. */
	if (hb->sequence <= h->sequence && hb->clock_ms <= h->clock_ms)
		return now - h->last_heartbeat_at <= OLD_HEARTBEATS_MAX_MS;
	h->sequence = hb->sequence;
	h->clock_ms = hb->clock_ms;
	h->cold_ms = hb->cold_ms;
	h->last_heartbeat_at = now;
	h->batch_pending = true;
	return true;
}

void heartbeat_cache_record_forwarded(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
				      const struct endpoint_heartbeat *hb)
{
	struct cached_heartbeat *h = g_hash_table_lookup(c->by_id, hb->id);

	if (!h) {
		h = g_new0(struct cached_heartbeat, 1);
		h->id = g_strdup(hb->id);
		g_hash_table_insert(c->by_id, h->id, h);
	}
	h->incarnation_wall_ms = hb->incarnation_wall_ms;
	h->digest = endpoint_heartbeat_digest(hb);
	h->known_to_term = term;
	h->sequence = hb->sequence;
	h->clock_ms = hb->clock_ms;
	h->last_heartbeat_at = now;
	h->batch_pending = false;
}

static void remove_expired(struct heartbeat_cache *c, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (now < c->next_cleanup_at)
		return;
	c->next_cleanup_at = now + FORGET_PERIOD_MS;
	g_hash_table_iter_init(&iter, c->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now - ((struct cached_heartbeat *)value)->last_heartbeat_at > FORGET_MS)
			g_hash_table_iter_remove(&iter);
}

GArray *heartbeat_cache_take_batch(struct heartbeat_cache *c, clock_ms_t now)
{
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct short_heartbeat));
	GHashTableIter iter;
	gpointer value;

	remove_expired(c, now);
	g_hash_table_iter_init(&iter, c->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct cached_heartbeat *h = value;
		struct short_heartbeat s = {
			.id = h->id,
			.incarnation_wall_ms = h->incarnation_wall_ms,
			.sequence = h->sequence,
			.clock_ms = h->clock_ms,
			.cold_ms = h->cold_ms,
			.age_ms = (uint32_t)(now - h->last_heartbeat_at),
			.digest = h->digest,
		};

		if (!h->batch_pending)
			continue;
		h->batch_pending = false;
		g_array_append_val(out, s);
	}
	return out;
}

void heartbeat_cache_record_batch_reply(struct heartbeat_cache *c, clock_ms_t now, uint64_t term,
					char *const *unknown, unsigned int n)
{
	c->term = term;
	c->leader_contact_at = now;
	for (unsigned int i = 0; i < n; i++) {
		struct cached_heartbeat *h = g_hash_table_lookup(c->by_id, unknown[i]);

		if (h)
			h->known_to_term = 0;
	}
}
