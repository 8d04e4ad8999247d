#include "control/fleet.h"

#include "base/codec.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define FORGOTTEN_MAX 4096 ///< removals listed for entries with an older view
#define EMPTY_ROUTES "{\"routes\":[]}"
#define EMPTY_POOLS "{\"pools\":[]}"

static void instance_free(void *p)
{
	if (!p)
		return;
	codec_free(CODEC_PROC(sw_instance), p);
	g_free(p);
}

static void session_free(void *p)
{
	codec_free(CODEC_PROC(sw_entry_session), p);
	g_free(p);
}

static void claim_free(void *p)
{
	codec_free(CODEC_PROC(sw_claim), p);
	g_free(p);
}

static void result_free(void *p)
{
	codec_free(CODEC_PROC(sw_table_put_result), p);
	g_free(p);
}

static guint hash_key(gconstpointer key)
{
	return (guint)XXH64(key, SW_KEY_BYTES, 0);
}

static gboolean equal_keys(gconstpointer a, gconstpointer b)
{
	return memcmp(a, b, SW_KEY_BYTES) == 0;
}

static void init(struct fleet *f)
{
	*f = (struct fleet){
		.tables = tables_new(),
		.routes_json = g_strdup(EMPTY_ROUTES),
		.pools_json = g_strdup(EMPTY_POOLS),
		.instances = g_ptr_array_new_with_free_func(instance_free),
		.by_name = g_hash_table_new(g_str_hash, g_str_equal),
		.sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, session_free),
		.claims = g_hash_table_new_full(hash_key, equal_keys, NULL, claim_free),
		.claim_order = g_queue_new(),
		.results = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, result_free),
		.result_order = g_queue_new(),
		.forgotten = g_array_new(FALSE, FALSE, sizeof(struct fleet_forgotten)),
	};
}

static void release(struct fleet *f)
{
	tables_free(f->tables);
	g_free(f->routes_json);
	g_free(f->pools_json);
	g_hash_table_unref(f->by_name);
	g_ptr_array_unref(f->instances);
	g_hash_table_unref(f->sessions);
	g_queue_free(f->claim_order);
	g_hash_table_unref(f->claims);
	g_queue_free(f->result_order);
	g_hash_table_unref(f->results);
	g_array_unref(f->forgotten);
}

struct fleet *fleet_new(void)
{
	struct fleet *f = g_new0(struct fleet, 1);

	init(f);
	return f;
}

void fleet_free(struct fleet *f)
{
	release(f);
	g_free(f);
}

const sw_instance *fleet_find_instance(const struct fleet *f, const char *name)
{
	return g_hash_table_lookup(f->by_name, name);
}

const char *fleet_desired_pool(const struct fleet *f, const sw_instance *i)
{
	if (i->endpoint.leaving)
		return "";
	if (i->lent && tables_find_pool(f->tables, i->pool))
		return i->pool;
	return i->home;
}

/// Advances the clock that expires claims. It uses the time in commands only, so that all replicas
/// expire the same claims.
static void advance_clock(struct fleet *f, int64_t at_wall_ms)
{
	f->clock_wall_ms = MAX(f->clock_wall_ms, at_wall_ms);
}

/* Tables. */

void fleet_check_table(const struct fleet *f, sw_table table, const char *json, GPtrArray *errors)
{
	g_autoptr(GPtrArray) rows = NULL;

	switch (table) {
	case SW_TABLE_ROUTES:
		rows = tables_parse_routes(json, strlen(json), errors);
		if (rows)
			tables_check_references(rows, f->tables->pools, errors);
		break;
	case SW_TABLE_POOLS:
		rows = tables_parse_pools(json, strlen(json), errors);
		if (rows)
			tables_check_references(f->tables->routes, rows, errors);
		break;
	}
}

static void load_table(struct fleet *f, sw_table table, const char *json)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *rows;

	switch (table) {
	case SW_TABLE_ROUTES:
		rows = tables_parse_routes(json, strlen(json), errors);
		if (rows)
			tables_set_routes(f->tables, rows);
		g_free(f->routes_json);
		f->routes_json = g_strdup(json);
		break;
	case SW_TABLE_POOLS:
		rows = tables_parse_pools(json, strlen(json), errors);
		if (rows)
			tables_set_pools(f->tables, rows);
		g_free(f->pools_json);
		f->pools_json = g_strdup(json);
		break;
	}
}

/// Sets the home pool of every instance as the current pools table names it.
static void update_homes(struct fleet *f, uint64_t index)
{
	for (guint i = 0; i < f->instances->len; i++) {
		sw_instance *instance = f->instances->pdata[i];
		const struct pool *home;

		if (!instance)
			continue;
		home = tables_home_pool(f->tables, instance->endpoint.instance);
		if (g_str_equal(instance->home, home ? home->name : ""))
			continue;
		codec_set_string(&instance->home, home ? home->name : "");
		if (!home || g_str_equal(instance->pool, instance->home))
			instance->lent = false;
		instance->modified_index = index;
	}
}

static void record_put_result(struct fleet *f, const sw_table_put *put, bool accepted,
			      uint64_t version)
{
	sw_table_put_result *result;

	if (!*put->request_id)
		return;
	result = g_new0(sw_table_put_result, 1);
	*result = (sw_table_put_result){
		.request_id = strdup(put->request_id),
		.table = put->table,
		.accepted = accepted,
		.table_version = version,
		.digest = XXH64(put->json, strlen(put->json), put->table),
	};
	g_hash_table_insert(f->results, result->request_id, result);
	g_queue_push_tail(f->result_order, result);
	if (g_queue_get_length(f->result_order) > FLEET_PUT_RESULTS_MAX) {
		sw_table_put_result *oldest = g_queue_pop_head(f->result_order);

		g_hash_table_remove(f->results, oldest->request_id);
	}
}

static struct fleet_outcome repeat_result(const sw_table_put_result *earlier,
					  const sw_table_put *put)
{
	struct fleet_outcome out = {.table_version = earlier->table_version};

	if (earlier->digest != XXH64(put->json, strlen(put->json), put->table))
		out.status = SW_REFUSED;
	else
		out.status = earlier->accepted ? SW_OK : SW_CONFLICT;
	return out;
}

static struct fleet_outcome apply_put(struct fleet *f, uint64_t index, const sw_table_put *put)
{
	uint64_t *version = put->table == SW_TABLE_ROUTES ? &f->routes_version : &f->pools_version;
	const sw_table_put_result *earlier = g_hash_table_lookup(f->results, put->request_id);
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);

	if (earlier)
		return repeat_result(earlier, put);
	if (put->base_version != *version) {
		record_put_result(f, put, false, *version);
		return (struct fleet_outcome){.status = SW_CONFLICT, .table_version = *version};
	}
	fleet_check_table(f, put->table, put->json, errors);
	if (errors->len)
		return (struct fleet_outcome){.status = SW_REFUSED, .table_version = *version};
	*version = index;
	load_table(f, put->table, put->json);
	if (put->table == SW_TABLE_POOLS)
		update_homes(f, index);
	record_put_result(f, put, true, index);
	return (struct fleet_outcome){.status = SW_OK, .table_version = index};
}

/* Instances. */

static uint32_t free_id(const struct fleet *f)
{
	for (guint i = 0; i < f->instances->len; i++)
		if (!f->instances->pdata[i])
			return i;
	return f->instances->len;
}

static sw_instance *add_instance(struct fleet *f, const sw_heartbeat *hb)
{
	const struct pool *home = tables_home_pool(f->tables, hb->instance);
	sw_instance *instance = g_new0(sw_instance, 1);

	instance->id = free_id(f);
	codec_copy(CODEC_PROC(sw_heartbeat), hb, &instance->endpoint, sizeof(instance->endpoint));
	instance->home = strdup(home ? home->name : "");
	instance->pool = strdup("");
	instance->target = strdup("");
	instance->entry = strdup("");
	if (instance->id == f->instances->len)
		g_ptr_array_add(f->instances, instance);
	else
		f->instances->pdata[instance->id] = instance;
	g_hash_table_insert(f->by_name, instance->endpoint.instance, instance);
	return instance;
}

/// Replaces the registration of an instance. The key in by_name points into it.
static void replace_endpoint(struct fleet *f, sw_instance *instance, const sw_heartbeat *hb)
{
	g_hash_table_remove(f->by_name, instance->endpoint.instance);
	codec_free(CODEC_PROC(sw_heartbeat), &instance->endpoint);
	codec_copy(CODEC_PROC(sw_heartbeat), hb, &instance->endpoint, sizeof(instance->endpoint));
	g_hash_table_insert(f->by_name, instance->endpoint.instance, instance);
}

/// Adds an instance or replaces its registration. An earlier incarnation is refused, and so is a
/// registration that would undo that its incarnation leaves.
static struct fleet_outcome apply_registration(struct fleet *f, uint64_t index,
					       const sw_heartbeat *hb)
{
	sw_instance *instance = g_hash_table_lookup(f->by_name, hb->instance);

	if (!instance && g_hash_table_size(f->by_name) >= FLEET_INSTANCES_MAX)
		return (struct fleet_outcome){.status = SW_REFUSED};
	if (instance && hb->incarnation < instance->endpoint.incarnation)
		return (struct fleet_outcome){.status = SW_REFUSED};
	if (instance && hb->incarnation == instance->endpoint.incarnation &&
	    instance->endpoint.leaving && !hb->leaving)
		return (struct fleet_outcome){.status = SW_REFUSED};
	if (!instance)
		instance = add_instance(f, hb);
	else
		replace_endpoint(f, instance, hb);
	instance->epoch = index;
	instance->modified_index = index;
	return (struct fleet_outcome){.status = SW_OK};
}

/// Returns the instance if no later command than that of @p epoch has changed it, or NULL.
static sw_instance *find_at_epoch(struct fleet *f, const char *name, uint64_t epoch)
{
	sw_instance *instance = g_hash_table_lookup(f->by_name, name);

	return instance && instance->epoch == epoch ? instance : NULL;
}

static struct fleet_outcome apply_revoke(struct fleet *f, uint64_t index, const sw_revoke *revoke)
{
	sw_instance *instance = find_at_epoch(f, revoke->instance, revoke->epoch);

	if (!instance || instance->phase != SW_PHASE_ACTIVE)
		return (struct fleet_outcome){.status = SW_CONFLICT};
	instance->phase = SW_PHASE_REVOKING;
	instance->reason = revoke->reason;
	codec_set_string(&instance->target, revoke->target);
	instance->epoch = index;
	instance->modified_index = index;
	return (struct fleet_outcome){.status = SW_OK};
}

static struct fleet_outcome apply_grant(struct fleet *f, uint64_t index, const sw_grant *grant)
{
	sw_instance *instance = find_at_epoch(f, grant->instance, grant->epoch);

	if (!instance)
		return (struct fleet_outcome){.status = SW_CONFLICT};
	if (*instance->pool && *grant->pool && !g_str_equal(instance->pool, grant->pool))
		f->moves++;
	codec_set_string(&instance->pool, grant->pool);
	codec_set_string(&instance->entry, grant->entry);
	codec_set_string(&instance->target, "");
	instance->phase = *grant->entry ? SW_PHASE_ACTIVE : SW_PHASE_IDLE;
	instance->reason = SW_REASON_NONE;
	instance->lent = grant->lent;
	instance->dirty = instance->dirty || grant->unclean;
	instance->epoch = index;
	instance->modified_index = index;
	return (struct fleet_outcome){.status = SW_OK};
}

static struct fleet_outcome apply_clear_dirty(struct fleet *f, const sw_clear_dirty *clean)
{
	sw_instance *instance = find_at_epoch(f, clean->instance, clean->epoch);

	if (!instance)
		return (struct fleet_outcome){.status = SW_CONFLICT};
	instance->dirty = false;
	return (struct fleet_outcome){.status = SW_OK};
}

static struct fleet_outcome apply_forget(struct fleet *f, uint64_t index, const sw_forget *forget)
{
	sw_instance *instance = g_hash_table_lookup(f->by_name, forget->instance);
	struct fleet_forgotten removed;

	if (!instance || instance->phase != SW_PHASE_IDLE || instance->dirty ||
	    instance->endpoint.incarnation != forget->incarnation)
		return (struct fleet_outcome){.status = SW_CONFLICT};
	removed = (struct fleet_forgotten){.id = instance->id, .index = index};
	if (f->forgotten->len == FORGOTTEN_MAX) {
		f->forgotten_from = g_array_index(f->forgotten, struct fleet_forgotten, 0).index;
		g_array_remove_index(f->forgotten, 0);
	}
	g_array_append_val(f->forgotten, removed);
	g_hash_table_remove(f->by_name, instance->endpoint.instance);
	f->instances->pdata[instance->id] = NULL;
	instance_free(instance);
	return (struct fleet_outcome){.status = SW_OK};
}

/* Sessions and claims. */

static struct fleet_outcome apply_session(struct fleet *f, uint64_t index,
					  const sw_entry_session *from)
{
	sw_entry_session *session = g_new0(sw_entry_session, 1);

	codec_copy(CODEC_PROC(sw_entry_session), from, session, sizeof(*session));
	session->index = index;
	g_hash_table_replace(f->sessions, session->entry, session);
	return (struct fleet_outcome){.status = SW_OK};
}

static void expire_claims(struct fleet *f)
{
	for (;;) {
		sw_claim *oldest = g_queue_peek_head(f->claim_order);

		if (!oldest || oldest->at_wall_ms + FLEET_CLAIM_RETENTION_MS > f->clock_wall_ms)
			return;
		g_queue_pop_head(f->claim_order);
		g_hash_table_remove(f->claims, oldest->key);
	}
}

static void copy_claim(const sw_claim *from, sw_claim *to)
{
	codec_copy(CODEC_PROC(sw_claim), from, to, sizeof(*to));
}

/// Claims a key. A released key may be claimed again with the same digest, and a claim that its
/// owner repeats is granted again.
static struct fleet_outcome apply_claim(struct fleet *f, const sw_claim *claim)
{
	sw_claim *stored;

	advance_clock(f, claim->at_wall_ms);
	expire_claims(f);
	stored = g_hash_table_lookup(f->claims, claim->key);
	if (stored && stored->state == SW_CLAIM_RELEASED && stored->digest == claim->digest) {
		g_free(g_steal_pointer(&stored->entry));
		stored->entry = strdup(claim->entry);
		stored->session = claim->session;
		stored->attempt = claim->attempt;
		stored->state = SW_CLAIM_OPEN;
		return (struct fleet_outcome){.status = SW_OK};
	}
	if (stored && stored->session == claim->session && stored->attempt == claim->attempt &&
	    stored->state == SW_CLAIM_OPEN)
		return (struct fleet_outcome){.status = SW_OK};
	if (stored)
		return (struct fleet_outcome){.status = SW_CONFLICT, .holder = *stored};
	if (g_hash_table_size(f->claims) >= FLEET_CLAIMS_MAX)
		return (struct fleet_outcome){.status = SW_BUSY};
	stored = g_new0(sw_claim, 1);
	copy_claim(claim, stored);
	stored->at_wall_ms = f->clock_wall_ms;
	stored->state = SW_CLAIM_OPEN;
	g_hash_table_insert(f->claims, stored->key, stored);
	g_queue_push_tail(f->claim_order, stored);
	return (struct fleet_outcome){.status = SW_OK};
}

/// Sets the final state of a claim; refused if another request holds the key.
static struct fleet_outcome apply_claim_end(struct fleet *f, const sw_claim *claim)
{
	sw_claim *stored = g_hash_table_lookup(f->claims, claim->key);

	if (!stored || stored->session != claim->session || stored->attempt != claim->attempt)
		return (struct fleet_outcome){.status = SW_CONFLICT};
	stored->state = claim->state;
	return (struct fleet_outcome){.status = SW_OK};
}

struct fleet_outcome fleet_apply(struct fleet *f, uint64_t index, const sw_command *c)
{
	f->applied_index = index;
	switch (c->type) {
	case SW_COMMAND_NOOP:
	case SW_COMMAND_MEMBERS:
	case SW_COMMAND_JOB:
		break;
	case SW_COMMAND_TABLE_PUT:
		return apply_put(f, index, &c->sw_command_u.put);
	case SW_COMMAND_HEARTBEAT:
		return apply_registration(f, index, &c->sw_command_u.heartbeat);
	case SW_COMMAND_REVOKE:
		return apply_revoke(f, index, &c->sw_command_u.revoke);
	case SW_COMMAND_GRANT:
		return apply_grant(f, index, &c->sw_command_u.grant);
	case SW_COMMAND_FORGET:
		return apply_forget(f, index, &c->sw_command_u.forget);
	case SW_COMMAND_SESSION:
		return apply_session(f, index, &c->sw_command_u.session);
	case SW_COMMAND_CLAIM:
		return apply_claim(f, &c->sw_command_u.claim);
	case SW_COMMAND_CLAIM_END:
		return apply_claim_end(f, &c->sw_command_u.claim_end);
	case SW_COMMAND_CLEAR_DIRTY:
		return apply_clear_dirty(f, &c->sw_command_u.clear_dirty);
	}
	return (struct fleet_outcome){.status = SW_OK};
}

/* Snapshots. The lists in sw_fleet_snapshot hold shallow copies: only their arrays are released. */

GByteArray *fleet_snapshot(const struct fleet *f)
{
	sw_fleet_snapshot s = {
		.applied_index = f->applied_index,
		.routes = f->routes_json,
		.routes_version = f->routes_version,
		.pools = f->pools_json,
		.pools_version = f->pools_version,
		.clock_wall_ms = f->clock_wall_ms,
	};
	GHashTableIter iter;
	gpointer value;
	GByteArray *out;
	u_int n = 0;

	s.instances.instances_val = g_new0(sw_instance, g_hash_table_size(f->by_name) + 1);
	for (guint i = 0; i < f->instances->len; i++)
		if (f->instances->pdata[i])
			s.instances.instances_val[s.instances.instances_len++] =
				*(sw_instance *)f->instances->pdata[i];
	s.sessions.sessions_val = g_new0(sw_entry_session, g_hash_table_size(f->sessions) + 1);
	g_hash_table_iter_init(&iter, f->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		s.sessions.sessions_val[s.sessions.sessions_len++] = *(sw_entry_session *)value;
	s.claims.claims_val = g_new0(sw_claim, g_hash_table_size(f->claims) + 1);
	for (GList *l = f->claim_order->head; l; l = l->next)
		s.claims.claims_val[n++] = *(sw_claim *)l->data;
	s.claims.claims_len = n;
	s.results.results_val =
		g_new0(sw_table_put_result, g_queue_get_length(f->result_order) + 1);
	for (GList *l = f->result_order->head; l; l = l->next)
		s.results.results_val[s.results.results_len++] = *(sw_table_put_result *)l->data;
	out = codec_encode(CODEC_PROC(sw_fleet_snapshot), &s);
	g_free(s.instances.instances_val);
	g_free(s.sessions.sessions_val);
	g_free(s.claims.claims_val);
	g_free(s.results.results_val);
	return out;
}

static void restore_instances(struct fleet *f, const sw_fleet_snapshot *s)
{
	for (u_int i = 0; i < s->instances.instances_len; i++) {
		sw_instance *instance = g_new0(sw_instance, 1);

		codec_copy(CODEC_PROC(sw_instance), &s->instances.instances_val[i], instance,
			   sizeof(*instance));
		if (instance->id >= f->instances->len)
			g_ptr_array_set_size(f->instances, (gint)instance->id + 1);
		f->instances->pdata[instance->id] = instance;
		g_hash_table_insert(f->by_name, instance->endpoint.instance, instance);
	}
}

static void restore_lists(struct fleet *f, const sw_fleet_snapshot *s)
{
	for (u_int i = 0; i < s->sessions.sessions_len; i++) {
		const sw_entry_session *session = &s->sessions.sessions_val[i];

		apply_session(f, session->index, session);
	}
	for (u_int i = 0; i < s->claims.claims_len; i++) {
		sw_claim *claim = g_new0(sw_claim, 1);

		copy_claim(&s->claims.claims_val[i], claim);
		g_hash_table_insert(f->claims, claim->key, claim);
		g_queue_push_tail(f->claim_order, claim);
	}
	for (u_int i = 0; i < s->results.results_len; i++) {
		sw_table_put_result *result = g_new0(sw_table_put_result, 1);

		codec_copy(CODEC_PROC(sw_table_put_result), &s->results.results_val[i], result,
			   sizeof(*result));
		g_hash_table_insert(f->results, result->request_id, result);
		g_queue_push_tail(f->result_order, result);
	}
}

bool fleet_restore(struct fleet *f, const void *data, size_t len)
{
	sw_fleet_snapshot s;

	if (!codec_decode(CODEC_PROC(sw_fleet_snapshot), data, len, &s, sizeof(s)))
		return false;
	release(f);
	init(f);
	f->applied_index = s.applied_index;
	f->clock_wall_ms = s.clock_wall_ms;
	load_table(f, SW_TABLE_POOLS, s.pools);
	load_table(f, SW_TABLE_ROUTES, s.routes);
	f->routes_version = s.routes_version;
	f->pools_version = s.pools_version;
	f->forgotten_from = s.applied_index;
	restore_instances(f, &s);
	restore_lists(f, &s);
	codec_free(CODEC_PROC(sw_fleet_snapshot), &s);
	return true;
}
