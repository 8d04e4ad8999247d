#include "entry/endpoint_heartbeat.h"

#include "base/json_check.h"
#include "base/options.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_MAX 4096
#define CONNECTIONS_MAX 65536

static void add_error(GPtrArray *errors, const char *key, const char *message)
{
	g_ptr_array_add(errors, g_strdup_printf("$.%s: %s", key, message));
}

static char *read_text(JsonObject *o, const char *key, bool required, GPtrArray *errors)
{
	JsonNode *n = json_object_get_member(o, key);
	const char *text = "";

	if (n && json_node_get_value_type(n) == G_TYPE_STRING)
		text = json_node_get_string(n);
	else if (n || required)
		add_error(errors, key, n ? "must be a string" : "required");
	if (n && required && !*text)
		add_error(errors, key, "must not be empty");
	if (strlen(text) > SW_NAME_MAX) {
		add_error(errors, key, "longer than 64 bytes");
		text = "";
	}
	return strdup(text);
}

/// Reads a text that only describes the endpoint: one that cannot be carried counts as empty.
static char *read_description(JsonObject *o, const char *key, bool required, bool is_whole,
			      GPtrArray *errors)
{
	JsonNode *n = json_object_get_member(o, key);

	if (!is_whole && n && json_node_get_value_type(n) != G_TYPE_STRING)
		return strdup("");
	return read_text(o, key, required, errors);
}

static uint64_t read_number(JsonObject *o, const char *key, int64_t min, int64_t max,
			    GPtrArray *errors)
{
	JsonNode *n = json_object_get_member(o, key);

	if (!n || json_node_get_value_type(n) != G_TYPE_INT64) {
		add_error(errors, key, n ? "must be a whole number" : "required");
		return 0;
	}
	if (json_node_get_int(n) < min || json_node_get_int(n) > max) {
		add_error(errors, key, "out of range");
		return 0;
	}
	return json_node_get_int(n);
}

static void read_fields(JsonObject *o, bool is_whole, sw_heartbeat *out, GPtrArray *errors)
{
	g_autofree char *state = NULL;

	out->instance = read_text(o, "instance", true, errors);
	out->incarnation = read_number(o, "incarnation", 1, G_MAXINT64, errors);
	out->address = read_text(o, "address", true, errors);
	out->zone = read_description(o, "zone", true, is_whole, errors);
	out->rack = read_description(o, "rack", false, is_whole, errors);
	out->service = read_text(o, "service", false, errors);
	out->slots = read_number(o, "slots", 1, SLOTS_MAX, errors);
	out->connections = read_number(o, "connections", 1, CONNECTIONS_MAX, errors);
	state = read_text(o, "state", true, errors);
	out->leaving = g_str_equal(state, "leaving");
	if (!out->leaving && !g_str_equal(state, "ready"))
		add_error(errors, "state", "must be 'ready' or 'leaving'");
	if (*out->address && !options_split_address(out->address, NULL, NULL))
		add_error(errors, "address", "must be IP:port");
}

bool endpoint_heartbeat_parse(const char *json, size_t len, sw_heartbeat *out, GPtrArray *errors)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GString) readable = json_replace_not_carried(json, len);
	JsonNode *root;

	memset(out, 0, sizeof(*out));
	json_check(json, len, errors);
	if (errors->len)
		return false;
	if (readable)
		json_parser_load_from_data(parser, readable->str, (gssize)readable->len, NULL);
	else
		json_parser_load_from_data(parser, json, (gssize)len, NULL);
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_ptr_array_add(errors, g_strdup("$: must be an object"));
		return false;
	}
	read_fields(json_node_get_object(root), !readable, out, errors);
	return errors->len == 0;
}
