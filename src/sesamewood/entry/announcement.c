#include "entry/announcement.h"

#include "base/json_check.h"
#include "base/options.h"

#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_MAX 4096
#define CONNECTIONS_MAX 65536

static void add_fault(GPtrArray *faults, const char *key, const char *what)
{
	g_ptr_array_add(faults, g_strdup_printf("$.%s: %s", key, what));
}

static char *read_text(JsonObject *o, const char *key, bool required, GPtrArray *faults)
{
	JsonNode *n = json_object_get_member(o, key);
	const char *text = "";

	if (n && json_node_get_value_type(n) == G_TYPE_STRING)
		text = json_node_get_string(n);
	else if (n || required)
		add_fault(faults, key, n ? "must be a string" : "required");
	if (n && required && !*text)
		add_fault(faults, key, "must not be empty");
	if (strlen(text) > SW_NAME_MAX) {
		add_fault(faults, key, "longer than 64 bytes");
		text = "";
	}
	return strdup(text);
}

static uint64_t read_number(JsonObject *o, const char *key, int64_t least, int64_t most,
			    GPtrArray *faults)
{
	JsonNode *n = json_object_get_member(o, key);

	if (!n || json_node_get_value_type(n) != G_TYPE_INT64) {
		add_fault(faults, key, n ? "must be a whole number" : "required");
		return 0;
	}
	if (json_node_get_int(n) < least || json_node_get_int(n) > most) {
		add_fault(faults, key, "out of range");
		return 0;
	}
	return json_node_get_int(n);
}

static void read_fields(JsonObject *o, sw_heartbeat *out, GPtrArray *faults)
{
	g_autofree char *state = NULL;

	out->instance = read_text(o, "instance", true, faults);
	out->incarnation = read_number(o, "incarnation", 1, G_MAXINT64, faults);
	out->address = read_text(o, "address", true, faults);
	out->zone = read_text(o, "zone", true, faults);
	out->rack = read_text(o, "rack", false, faults);
	out->service = read_text(o, "service", false, faults);
	out->slots = read_number(o, "slots", 1, SLOTS_MAX, faults);
	out->connections = read_number(o, "connections", 1, CONNECTIONS_MAX, faults);
	state = read_text(o, "state", true, faults);
	out->leaving = g_str_equal(state, "leaving");
	if (!out->leaving && !g_str_equal(state, "ready"))
		add_fault(faults, "state", "must be 'ready' or 'leaving'");
	if (*out->address && !options_split_address(out->address, NULL, NULL))
		add_fault(faults, "address", "must be IP:port");
}

bool announcement_parse(const char *json, size_t len, sw_heartbeat *out, GPtrArray *faults)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;

	memset(out, 0, sizeof(*out));
	json_check(json, len, faults);
	if (faults->len)
		return false;
	json_parser_load_from_data(parser, json, (gssize)len, NULL);
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_ptr_array_add(faults, g_strdup("$: must be an object"));
		return false;
	}
	read_fields(json_node_get_object(root), out, faults);
	return faults->len == 0;
}
