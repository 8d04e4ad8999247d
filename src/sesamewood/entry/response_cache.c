#include "entry/response_cache.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define OVERHEAD_BYTES 256

struct kept {
	sw_key key;
	uint64_t digest;
	unsigned int status;
	char *content_type;
	GBytes *body;
};

struct answers {
	GHashTable *by_key;
	GQueue order;
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

struct answers *response_cache_new(size_t max_bytes)
{
	struct answers *a = g_new0(struct answers, 1);

	a->by_key = g_hash_table_new(hash_key, equal_keys);
	g_queue_init(&a->order);
	a->max_bytes = max_bytes;
	return a;
}

static size_t size_of(const struct kept *k)
{
	return OVERHEAD_BYTES + g_bytes_get_size(k->body);
}

static void drop_oldest(struct answers *a)
{
	struct kept *k = g_queue_pop_head(&a->order);

	a->bytes -= size_of(k);
	if (g_hash_table_lookup(a->by_key, k->key) == k)
		g_hash_table_remove(a->by_key, k->key);
	g_free(k->content_type);
	g_bytes_unref(k->body);
	g_free(k);
}

void response_cache_put(struct answers *a, const sw_key key, uint64_t digest, unsigned int status,
			const char *content_type, const GByteArray *body)
{
	struct kept *k;

	if (body->len + OVERHEAD_BYTES > a->max_bytes)
		return;
	k = g_new0(struct kept, 1);
	memcpy(k->key, key, SW_KEY_BYTES);
	k->digest = digest;
	k->status = status;
	k->content_type = g_strdup(content_type);
	k->body = g_bytes_new(body->data, body->len);
	g_hash_table_replace(a->by_key, k->key, k);
	g_queue_push_tail(&a->order, k);
	a->bytes += size_of(k);
	while (a->bytes > a->max_bytes)
		drop_oldest(a);
}

void response_cache_get(const struct answers *a, const sw_key key, uint64_t digest,
			sw_answer_reply *reply)
{
	const struct kept *k = g_hash_table_lookup(a->by_key, key);
	const void *data;
	gsize len;

	memset(reply, 0, sizeof(*reply));
	reply->status = SW_REFUSED;
	reply->content_type = strdup(k ? k->content_type : "");
	if (!k || k->digest != digest)
		return;
	data = g_bytes_get_data(k->body, &len);
	reply->status = SW_OK;
	reply->http_status = k->status;
	reply->body.sw_blob_len = len;
	reply->body.sw_blob_val = malloc(len ? len : 1);
	if (len)
		memcpy(reply->body.sw_blob_val, data, len);
}
