#include "entry/response_cache.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Estimated memory of an item besides its body. */
#define ITEM_OVERHEAD_BYTES 256

struct cached_response {
	sw_key key;
	uint64_t digest;
	unsigned int status;
	char *content_type;
	GBytes *body;
};

struct response_cache {
	GHashTable *by_key; ///< latest struct cached_response of a key
	GQueue by_age;	    ///< of struct cached_response, oldest first; owns them
	size_t bytes;
	size_t max_bytes;
};

static guint hash_key(gconstpointer key)
{
	return (guint)XXH64(key, SW_KEY_BYTES, 0);
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, SW_KEY_BYTES) == 0;
}

struct response_cache *response_cache_new(size_t max_bytes)
{
	struct response_cache *cache = g_new0(struct response_cache, 1);

	cache->by_key = g_hash_table_new(hash_key, equal_keys);
	g_queue_init(&cache->by_age);
	cache->max_bytes = max_bytes;
	return cache;
}

static size_t size_bytes(const struct cached_response *item)
{
	return ITEM_OVERHEAD_BYTES + g_bytes_get_size(item->body);
}

static void evict_oldest(struct response_cache *cache)
{
	struct cached_response *item = g_queue_pop_head(&cache->by_age);

	cache->bytes -= size_bytes(item);
	if (g_hash_table_lookup(cache->by_key, item->key) == item)
		g_hash_table_remove(cache->by_key, item->key);
	g_free(item->content_type);
	g_bytes_unref(item->body);
	g_free(item);
}

void response_cache_put(struct response_cache *cache, const sw_key key, uint64_t digest,
			unsigned int status, const char *content_type, const GByteArray *body)
{
	struct cached_response *item;

	if (body->len + ITEM_OVERHEAD_BYTES > cache->max_bytes)
		return;
	item = g_new0(struct cached_response, 1);
	memcpy(item->key, key, SW_KEY_BYTES);
	item->digest = digest;
	item->status = status;
	item->content_type = g_strdup(content_type);
	item->body = g_bytes_new(body->data, body->len);
	g_hash_table_replace(cache->by_key, item->key, item);
	g_queue_push_tail(&cache->by_age, item);
	cache->bytes += size_bytes(item);
	while (cache->bytes > cache->max_bytes)
		evict_oldest(cache);
}

void response_cache_get(const struct response_cache *cache, const sw_key key, uint64_t digest,
			sw_answer_reply *reply)
{
	const struct cached_response *item = g_hash_table_lookup(cache->by_key, key);
	const void *data;
	gsize len;

	memset(reply, 0, sizeof(*reply));
	reply->status = SW_REFUSED;
	reply->content_type = strdup(item ? item->content_type : "");
	if (!item || item->digest != digest)
		return;
	data = g_bytes_get_data(item->body, &len);
	reply->status = SW_OK;
	reply->http_status = item->status;
	reply->body.sw_blob_len = len;
	reply->body.sw_blob_val = malloc(len ? len : 1);
	if (len)
		memcpy(reply->body.sw_blob_val, data, len);
}
