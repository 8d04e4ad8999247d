#include "control/admin.h"

#include "base/codec.h"
#include "base/http_status.h"
#include "base/json_check.h"
#include "control/budget.h"
#include "control/sessions.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define PAGE_DEFAULT 100 ///< instances of a page if the request sets no limit
#define PAGE_MAX 1000	 ///< largest limit that a request may set

#define TYPE_JSON "application/json"
#define TYPE_PROBLEM "application/problem+json"

static sw_admin_reply *new_reply(struct control *c, uint64_t token, unsigned int http_status,
				 const char *type)
{
	sw_admin_reply *reply = &control_add_reply(c, token, SW_PROC_ADMIN)->u.admin;

	reply->status = SW_OK;
	reply->leader = raft_leader(c->raft);
	reply->http_status = http_status;
	reply->content_type = strdup(type);
	reply->etag = strdup("");
	return reply;
}

/// Generates the JSON document that @p b has built, as the body of the reply.
static void set_json(sw_admin_reply *reply, JsonBuilder *b)
{
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = json_builder_get_root(b);
	g_autofree char *text = NULL;
	gsize len;

	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, &len);
	reply->body.sw_blob_val = strdup(text);
	reply->body.sw_blob_len = len;
}

static void add_text(JsonBuilder *b, const char *key, const char *value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_string_value(b, value);
}

static void add_number(JsonBuilder *b, const char *key, int64_t value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_int_value(b, value);
}

static void add_bool(JsonBuilder *b, const char *key, bool value)
{
	json_builder_set_member_name(b, key);
	json_builder_add_boolean_value(b, value);
}

static void set_etag(sw_admin_reply *reply, uint64_t version)
{
	g_autofree char *etag = g_strdup_printf("\"%" PRIu64 "\"", version);

	codec_set_string(&reply->etag, etag);
}

/// Adds a reply with a problem document.
///
/// @param version current version of the table, added to the document and as ETag; 0: none
/// @param errors validation errors, or NULL
static void reply_problem(struct control *c, uint64_t token, unsigned int http_status,
			  const char *title, uint64_t version, GPtrArray *errors)
{
	sw_admin_reply *reply = new_reply(c, token, http_status, TYPE_PROBLEM);
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	add_text(b, "title", title);
	add_number(b, "status", http_status);
	if (version) {
		add_number(b, "version", (int64_t)version);
		set_etag(reply, version);
	}
	if (errors) {
		json_builder_set_member_name(b, "faults");
		json_builder_begin_array(b);
		for (guint i = 0; i < errors->len; i++)
			json_builder_add_string_value(b, errors->pdata[i]);
		json_builder_end_array(b);
	}
	json_builder_end_object(b);
	set_json(reply, b);
}

/* Tables. */

static uint64_t table_version(const struct fleet *f, sw_table table)
{
	return table == SW_TABLE_ROUTES ? f->routes_version : f->pools_version;
}

static void get_table(struct control *c, uint64_t token, sw_table table)
{
	sw_admin_reply *reply = new_reply(c, token, HTTP_OK, TYPE_JSON);
	const char *json = table == SW_TABLE_ROUTES ? c->fleet->routes_json : c->fleet->pools_json;

	set_etag(reply, table_version(c->fleet, table));
	reply->body.sw_blob_val = strdup(json);
	reply->body.sw_blob_len = strlen(json);
}

/// Parses the version in an If-Match header: digits in double quotes.
static bool parse_version(const char *text, uint64_t *version)
{
	char *end;

	if (*text != '"' || !g_ascii_isdigit(text[1]))
		return false;
	*version = g_ascii_strtoull(text + 1, &end, 10);
	return g_str_equal(end, "\"");
}

/// Validates and proposes a table. It is answered when the command is applied. A request id whose
/// result is known is not validated again: the state machine returns the earlier result.
static void put_table(struct control *c, uint64_t token, sw_table table, const sw_admin_args *args)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	const sw_table_put_result *earlier =
		g_hash_table_lookup(c->fleet->results, args->request_id);
	sw_command command = {
		.type = SW_COMMAND_TABLE_PUT,
		.sw_command_u.put =
			{
				.table = table,
				.request_id = args->request_id,
				.json = args->body,
			},
	};
	g_autoptr(GString) not_carried = NULL;
	struct pending_call *call;

	if (!parse_version(args->if_match, &command.sw_command_u.put.base_version)) {
		reply_problem(c, token, HTTP_PRECONDITION_REQUIRED,
			      "If-Match must name the version that the change is based on",
			      table_version(c->fleet, table), NULL);
		return;
	}
	not_carried = json_replace_not_carried(args->body, strlen(args->body));
	if (!earlier && not_carried)
		g_ptr_array_add(errors, g_strdup("$: a string contains U+0000, an unpaired "
						 "surrogate or an invalid escape"));
	if (!earlier)
		fleet_check_table(c->fleet, table, args->body, errors);
	if (errors->len) {
		reply_problem(c, token, HTTP_UNPROCESSABLE, "the table has faults", 0, errors);
		return;
	}
	call = g_new0(struct pending_call, 1);
	*call = (struct pending_call){
		.type = PENDING_PUT,
		.token = token,
		.term = raft_term(c->raft),
		.remaining = 1,
		.first_index = control_propose(c, &command),
	};
	g_hash_table_insert(c->pending_calls, GSIZE_TO_POINTER(call->first_index), call);
}

void admin_complete_put(struct control *c, uint64_t token, const struct fleet_outcome *outcome)
{
	g_autoptr(JsonBuilder) b = NULL;
	sw_admin_reply *reply;

	if (outcome->status == SW_CONFLICT) {
		reply_problem(c, token, HTTP_PRECONDITION_FAILED,
			      "the table has changed since the version in If-Match",
			      outcome->table_version, NULL);
		return;
	}
	if (outcome->status != SW_OK) {
		reply_problem(c, token, HTTP_CONFLICT,
			      "the request id was used with another table, or the tables no "
			      "longer fit together",
			      outcome->table_version, NULL);
		return;
	}
	reply = new_reply(c, token, HTTP_OK, TYPE_JSON);
	b = json_builder_new();
	json_builder_begin_object(b);
	add_number(b, "version", (int64_t)outcome->table_version);
	json_builder_end_object(b);
	set_etag(reply, outcome->table_version);
	set_json(reply, b);
}

void admin_fail_put(struct control *c, uint64_t token)
{
	reply_problem(c, token, HTTP_UNAVAILABLE,
		      "the leader changed; send the change again with the same Request-Id", 0,
		      NULL);
}

/* Lists. */

static const char *phase_name(sw_phase phase)
{
	switch (phase) {
	case SW_PHASE_IDLE:
		return "idle";
	case SW_PHASE_ACTIVE:
		return "active";
	case SW_PHASE_REVOKING:
		return "revoking";
	}
	return "unknown";
}

static const char *reason_name(sw_reason reason)
{
	static const char *const names[] = {"none",    "surge", "return", "table",
					    "leaving", "entry", "failed"};

	return (unsigned int)reason < G_N_ELEMENTS(names) ? names[reason] : "unknown";
}

static void add_instance(const struct control *c, clock_ms_t now, JsonBuilder *b,
			 const sw_instance *i)
{
	const struct health *h =
		i->id < c->health->len ? &g_array_index(c->health, struct health, i->id) : NULL;

	json_builder_begin_object(b);
	add_text(b, "instance", i->endpoint.instance);
	add_number(b, "id", i->id);
	add_number(b, "incarnation", (int64_t)i->endpoint.incarnation);
	add_text(b, "address", i->endpoint.address);
	add_text(b, "zone", i->endpoint.zone);
	add_text(b, "rack", i->endpoint.rack);
	add_text(b, "service", i->endpoint.service);
	add_text(b, "home", i->home);
	add_text(b, "pool", i->pool);
	add_text(b, "target", i->target);
	add_text(b, "entry", i->entry);
	add_text(b, "phase", phase_name(i->phase));
	add_text(b, "reason", reason_name(i->reason));
	add_number(b, "epoch", (int64_t)i->epoch);
	add_bool(b, "lent", i->lent);
	add_bool(b, "leaving", i->endpoint.leaving);
	add_bool(b, "suspected", h && h->suspected);
	add_bool(b, "serving", budget_is_serving(c, now, i));
	json_builder_end_object(b);
}

/// @return value of a query parameter of @p path, or @p fallback if there is none
static int64_t query_number(const char *path, const char *key, int64_t fallback)
{
	const char *at = strchr(path, '?');
	gsize len = strlen(key);

	for (; at; at = strchr(at + 1, '&'))
		if (strncmp(at + 1, key, len) == 0 && at[1 + len] == '=')
			return g_ascii_strtoll(at + 2 + len, NULL, 10);
	return fallback;
}

/// Replies with a page of instances, in the order of their ids.
static void list_instances(struct control *c, clock_ms_t now, uint64_t token, const char *path)
{
	sw_admin_reply *reply = new_reply(c, token, HTTP_OK, TYPE_JSON);
	g_autoptr(JsonBuilder) b = json_builder_new();
	int64_t limit = CLAMP(query_number(path, "limit", PAGE_DEFAULT), 1, PAGE_MAX);
	int64_t at = MAX(query_number(path, "after", -1) + 1, 0);
	int64_t n = 0;

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "instances");
	json_builder_begin_array(b);
	for (; at < c->fleet->instances->len && n < limit; at++) {
		const sw_instance *i = c->fleet->instances->pdata[at];

		if (!i)
			continue;
		add_instance(c, now, b, i);
		n++;
	}
	json_builder_end_array(b);
	if (at < c->fleet->instances->len)
		add_number(b, "next_after", at - 1);
	json_builder_end_object(b);
	set_json(reply, b);
}

/// Adds the attached entries, and whether each has applied the view at @p index.
static void add_entries(const struct control *c, clock_ms_t now, JsonBuilder *b, uint64_t index)
{
	GHashTableIter iter;
	gpointer value;

	json_builder_set_member_name(b, "entries");
	json_builder_begin_array(b);
	g_hash_table_iter_init(&iter, c->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *s = value;

		json_builder_begin_object(b);
		add_text(b, "entry", s->entry);
		add_bool(b, "live", now < s->lease_until);
		add_bool(b, "draining", s->draining);
		add_bool(b, "in_force", now >= s->lease_until || s->applied_view_index >= index);
		add_number(b, "view", (int64_t)s->applied_view_index);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

static void add_pools(const struct control *c, clock_ms_t now, JsonBuilder *b)
{
	json_builder_set_member_name(b, "pools");
	json_builder_begin_array(b);
	for (guint i = 0; i < c->fleet->tables->pools->len; i++) {
		const struct pool *pool = c->fleet->tables->pools->pdata[i];
		struct budget budget = budget_count(c, now, pool, NULL);

		json_builder_begin_object(b);
		add_text(b, "pool", pool->name);
		add_number(b, "assigned", budget.assigned);
		add_number(b, "out", budget.out);
		add_number(b, "max_out", budget.max_out);
		add_number(b, "zones", budget.zones);
		json_builder_end_object(b);
	}
	json_builder_end_array(b);
}

static void show_status(struct control *c, clock_ms_t now, uint64_t token)
{
	sw_admin_reply *reply = new_reply(c, token, HTTP_OK, TYPE_JSON);
	g_autoptr(JsonBuilder) b = json_builder_new();

	json_builder_begin_object(b);
	add_number(b, "leader", raft_leader(c->raft));
	add_number(b, "term", (int64_t)raft_term(c->raft));
	add_number(b, "commit_index", (int64_t)raft_commit_index(c->raft));
	add_number(b, "routes_version", (int64_t)c->fleet->routes_version);
	add_number(b, "pools_version", (int64_t)c->fleet->pools_version);
	add_number(b, "instances", g_hash_table_size(c->fleet->by_name));
	add_number(b, "claims", g_hash_table_size(c->fleet->claims));
	add_number(b, "moves", (int64_t)c->fleet->moves);
	json_builder_set_member_name(b, "members");
	json_builder_begin_array(b);
	for (u_int i = 0; i < raft_members(c->raft)->members.members_len; i++)
		json_builder_add_int_value(b, raft_members(c->raft)->members.members_val[i].node);
	json_builder_end_array(b);
	add_entries(c, now, b, c->view_index);
	add_pools(c, now, b);
	json_builder_end_object(b);
	set_json(reply, b);
}

/// Replies with the roll-out state of a table version.
static void show_change(struct control *c, clock_ms_t now, uint64_t token, const char *text)
{
	uint64_t version = g_ascii_strtoull(text, NULL, 10);
	sw_admin_reply *reply;
	g_autoptr(JsonBuilder) b = NULL;

	if (!version || version > c->fleet->applied_index) {
		reply_problem(c, token, HTTP_NOT_FOUND, "no such version", 0, NULL);
		return;
	}
	reply = new_reply(c, token, HTTP_OK, TYPE_JSON);
	b = json_builder_new();
	json_builder_begin_object(b);
	add_number(b, "version", (int64_t)version);
	add_bool(b, "in_force", sessions_in_force(c, now, version));
	for (guint i = 0; i < c->rollouts->len; i++) {
		const struct rollout *r = &g_array_index(c->rollouts, struct rollout, i);

		if (r->version == version && r->in_force_ms >= 0)
			add_number(b, "roll_out_ms", r->in_force_ms);
	}
	add_entries(c, now, b, version);
	json_builder_end_object(b);
	set_json(reply, b);
}

/* Dispatch. */

static bool find_table(const char *path, sw_table *table)
{
	if (g_str_equal(path, "/v1/tables/routes"))
		*table = SW_TABLE_ROUTES;
	else if (g_str_equal(path, "/v1/tables/pools"))
		*table = SW_TABLE_POOLS;
	else
		return false;
	return true;
}

static void handle_get(struct control *c, clock_ms_t now, uint64_t token, const char *path)
{
	if (g_str_equal(path, "/v1/instances") || g_str_has_prefix(path, "/v1/instances?"))
		list_instances(c, now, token, path);
	else if (g_str_equal(path, "/v1/status"))
		show_status(c, now, token);
	else if (g_str_has_prefix(path, "/v1/changes/"))
		show_change(c, now, token, path + strlen("/v1/changes/"));
	else
		reply_problem(c, token, HTTP_NOT_FOUND, "no such resource", 0, NULL);
}

void admin_handle(struct control *c, clock_ms_t now, uint64_t token, const sw_admin_args *args)
{
	bool get = g_str_equal(args->method, "GET");
	sw_table table;

	if (!raft_holds_leader_lease(c->raft, now)) {
		sw_admin_reply *reply;

		reply_problem(c, token, HTTP_UNAVAILABLE, "this replica does not lead", 0, NULL);
		reply = &((struct control_reply *)c->replies->pdata[c->replies->len - 1])->u.admin;
		reply->status = SW_NOT_LEADER;
	} else if (find_table(args->path, &table) && get) {
		get_table(c, token, table);
	} else if (find_table(args->path, &table) && g_str_equal(args->method, "PUT")) {
		put_table(c, token, table, args);
	} else if (get) {
		handle_get(c, now, token, args->path);
	} else {
		reply_problem(c, token, HTTP_METHOD_NOT_ALLOWED, "method not allowed", 0, NULL);
	}
}
