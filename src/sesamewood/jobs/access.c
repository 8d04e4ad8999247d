#include "jobs/access.h"

#include "base/codec.h"

#include <stdlib.h>
#include <string.h>

job_key_digest access_digest(const void *key, size_t len)
{
	g_autoptr(GChecksum) sum = g_checksum_new(G_CHECKSUM_SHA256);
	job_key_digest digest;
	gsize size = sizeof(digest.sha256);

	g_checksum_update(sum, key, (gssize)len);
	g_checksum_get_digest(sum, (guint8 *)digest.sha256, &size);
	return digest;
}

static guint hash_digest(gconstpointer p)
{
	guint n;

	memcpy(&n, ((const job_key_digest *)p)->sha256, sizeof(n));
	return n;
}

/// Compares in constant time, so that the time of a refusal tells nothing of a valid key.
static gboolean digests_are_equal(gconstpointer a, gconstpointer b)
{
	const char *x = ((const job_key_digest *)a)->sha256;
	const char *y = ((const job_key_digest *)b)->sha256;
	unsigned int differing = 0;

	for (unsigned int i = 0; i < JOB_KEY_DIGEST_BYTES; i++)
		differing |= (unsigned char)(x[i] ^ y[i]);
	return !differing;
}

void access_init(struct jobs *j)
{
	j->account_by_key = g_hash_table_new(hash_digest, digests_are_equal);
	j->account_by_name = g_hash_table_new(g_str_hash, g_str_equal);
}

void access_reset(struct jobs *j)
{
	g_hash_table_remove_all(j->account_by_key);
	g_hash_table_remove_all(j->account_by_name);
	codec_free(CODEC_PROC(job_access), &j->access);
	memset(&j->access, 0, sizeof(j->access));
}

void access_clear(struct jobs *j)
{
	access_reset(j);
	g_hash_table_unref(j->account_by_key);
	g_hash_table_unref(j->account_by_name);
}

static void index_accounts(struct jobs *j)
{
	for (u_int i = 0; i < j->access.accounts.accounts_len; i++) {
		job_account *a = &j->access.accounts.accounts_val[i];

		g_hash_table_insert(j->account_by_name, a->name, GUINT_TO_POINTER(i + 1));
		for (u_int k = 0; k < a->keys.keys_len; k++)
			g_hash_table_insert(j->account_by_key, &a->keys.keys_val[k],
					    GUINT_TO_POINTER(i + 1));
	}
}

static const job_account *account_at(const struct jobs *j, gpointer index)
{
	guint at = GPOINTER_TO_UINT(index);

	return at ? &j->access.accounts.accounts_val[at - 1] : NULL;
}

const job_account *access_find(const struct jobs *j, const char *name)
{
	return account_at(j, g_hash_table_lookup(j->account_by_name, name));
}

const job_account *access_find_by_key(const struct jobs *j, const void *key, size_t len)
{
	job_key_digest digest;

	if (!len)
		return NULL;
	digest = access_digest(key, len);
	return account_at(j, g_hash_table_lookup(j->account_by_key, &digest));
}

bool access_is_open(const struct jobs *j, const job_queue *queue)
{
	u_int index = (u_int)(queue - j->config.queues.queues_val);

	for (u_int i = 0; i < j->access.open_queues.open_queues_len; i++)
		if (j->access.open_queues.open_queues_val[i] == index)
			return true;
	return false;
}

bool access_is_hidden(const struct jobs *j, const struct job *job, const job_account *account)
{
	const job_account *owner = access_find(j, job->account);

	return owner && owner->keys.keys_len && owner != account;
}

/* Replacement. */

/// Adds the accounts of the present state that @p access lacks and that have open jobs.
static void keep_accounts_in_use(const struct jobs *j, job_access *access)
{
	g_autoptr(GHashTable) in_use = g_hash_table_new(g_str_hash, g_str_equal);
	u_int n = access->accounts.accounts_len;
	GHashTableIter iter;
	gpointer value;

	if (!j->access.accounts.accounts_len)
		return;
	g_hash_table_iter_init(&iter, j->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct job *job = value;

		if (*job->account && (!job_has_ended(job) || job->assigned))
			g_hash_table_add(in_use, job->account);
	}
	for (u_int i = 0; i < n; i++)
		g_hash_table_remove(in_use, access->accounts.accounts_val[i].name);
	for (u_int i = 0; i < j->access.accounts.accounts_len && n < SW_LIST_MAX; i++) {
		const job_account *from = &j->access.accounts.accounts_val[i];
		job_account *to;

		if (!g_hash_table_contains(in_use, from->name))
			continue;
		access->accounts.accounts_val =
			realloc(access->accounts.accounts_val, (n + 1) * sizeof(job_account));
		to = &access->accounts.accounts_val[n++];
		*to = *from;
		to->name = strdup(from->name);
		to->keys.keys_len = 0;
		to->keys.keys_val = NULL;
		access->accounts.accounts_len = n;
	}
}

void access_replace(struct jobs *j, const job_access *access)
{
	job_access copy = {0};

	if (access && !codec_copy(CODEC_PROC(job_access), access, &copy, sizeof(copy)))
		return;
	keep_accounts_in_use(j, &copy);
	access_reset(j);
	j->access = copy;
	index_accounts(j);
}

/* Snapshots. */

bool access_append_snapshot(const struct jobs *j, GByteArray *out)
{
	job_snapshot_access s = {.access = j->access};
	g_autoptr(GByteArray) bytes = NULL;
	GHashTableIter iter;
	gpointer value;
	bool ok = true;

	s.owners.owners_val = g_new0(job_owner, g_hash_table_size(j->by_id) + 1);
	g_hash_table_iter_init(&iter, j->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct job *job = value;

		if (*job->account)
			s.owners.owners_val[s.owners.owners_len++] =
				(job_owner){job->image.spec.id, job->account, job->beyond_weight};
	}
	/* Builds without accounts can read a state without accounts. */
	if (s.owners.owners_len || s.access.accounts.accounts_len ||
	    s.access.open_queues.open_queues_len) {
		bytes = codec_encode(CODEC_PROC(job_snapshot_access), &s);
		ok = bytes != NULL;
		if (ok)
			g_byte_array_append(out, bytes->data, bytes->len);
	}
	g_free(s.owners.owners_val);
	return ok;
}

bool access_restore(struct jobs *j, const void *data, size_t len)
{
	job_snapshot_access s;

	if (!codec_decode(CODEC_PROC(job_snapshot_access), data, len, &s, sizeof(s)))
		return false;
	for (u_int i = 0; i < s.owners.owners_len; i++) {
		const job_owner *o = &s.owners.owners_val[i];
		struct job *job = jobs_find(j, o->job);

		if (!job)
			continue;
		g_free(job->account);
		job->account = g_strdup(o->account);
		job->beyond_weight = o->beyond_weight;
	}
	access_reset(j);
	j->access = s.access;
	memset(&s.access, 0, sizeof(s.access));
	index_accounts(j);
	codec_free(CODEC_PROC(job_snapshot_access), &s);
	return true;
}
