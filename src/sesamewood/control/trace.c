#include "control/trace.h"

#include "base/codec.h"

#include <json-glib/json-glib.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/// Name and argument type of an event type.
struct event_codec {
	const char *name;
	xdrproc_t proc; ///< codec of the arguments, or NULL if the event has none
	size_t size;	///< of the decoded arguments
};

static const struct event_codec codecs[] = {
	[CONTROL_TICK] = {"tick", NULL, 0},
	[CONTROL_FLUSH] = {"flush", NULL, 0},
	[CONTROL_PERSISTED] = {"persisted", NULL, 0},
	[CONTROL_MESSAGE] = {"message", CODEC_PROC(raft_message), sizeof(raft_message)},
	[CONTROL_RENEW] = {"renew", CODEC_PROC(sw_renew_args), sizeof(sw_renew_args)},
	[CONTROL_WATCH] = {"watch", CODEC_PROC(sw_watch_args), sizeof(sw_watch_args)},
	[CONTROL_CLAIM] = {"claim", CODEC_PROC(sw_claim_args), sizeof(sw_claim_args)},
	[CONTROL_ADMIN] = {"admin", CODEC_PROC(sw_admin_args), sizeof(sw_admin_args)},
};

/// A numeric field of struct control_settings that a trace contains under the field's name.
struct setting {
	const char *name;
	size_t offset;
};

#define SETTING(field)                                                                             \
	{                                                                                          \
#field, offsetof(struct control_settings, field)                                   \
	}

static const struct setting number_settings[] = {
	SETTING(raft.node),	    SETTING(raft.election_ms), SETTING(raft.heartbeat_ms),
	SETTING(raft.keep_records), SETTING(lease_ms),	       SETTING(lease_margin_ms),
	SETTING(deadline_max_ms),   SETTING(suspect_ms),       SETTING(forget_ms),
	SETTING(probation_ms),	    SETTING(snapshot_records),
};

struct trace {
	FILE *file;
};

static uint32_t *setting_value(struct control_settings *s, const struct setting *setting)
{
	return (uint32_t *)((char *)s + setting->offset);
}

struct trace *trace_open(const char *path, const struct control_settings *settings, clock_ms_t now)
{
	struct control_settings s = *settings;
	FILE *file = fopen(path, "w");
	struct trace *t;

	if (!file)
		return NULL;
	t = g_new0(struct trace, 1);
	t->file = file;
	fprintf(file, "{\"now\":%" PRId64 ",\"settings\":{", now);
	for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++)
		fprintf(file, "\"%s\":%u,", number_settings[i].name,
			*setting_value(&s, &number_settings[i]));
	fprintf(file, "\"policy\":%u,\"uid\":\"%" PRIu64 "\",\"seed\":\"%" PRIu64 "\",\"nodes\":[",
		s.policy, s.raft.uid, s.raft.seed);
	for (int i = 0; i < RAFT_NODES_MAX && s.raft.nodes[i]; i++)
		fprintf(file, "%s%u", i ? "," : "", s.raft.nodes[i]);
	fprintf(file, "]}}\n");
	return t;
}

void trace_write_event(struct trace *t, clock_ms_t now, const struct control_event *e)
{
	const struct event_codec *codec = &codecs[e->type];

	fprintf(t->file,
		"{\"now\":%" PRId64 ",\"wall\":%" PRId64 ",\"token\":%" PRIu64 ",\"event\":\"%s\"",
		now, e->wall_ms, e->token, codec->name);
	if (codec->proc) {
		g_autoptr(GByteArray) bytes = codec_encode(codec->proc, e->u.message);
		g_autofree char *text = g_base64_encode(bytes->data, bytes->len);

		fprintf(t->file, ",\"args\":\"%s\"", text);
	}
	fprintf(t->file, "}\n");
	fflush(t->file);
}

/* Parsing. */

static void read_settings(JsonObject *o, struct control_settings *s)
{
	JsonArray *nodes = json_object_get_array_member(o, "nodes");

	for (size_t i = 0; i < G_N_ELEMENTS(number_settings); i++)
		*setting_value(s, &number_settings[i]) =
			json_object_get_int_member_with_default(o, number_settings[i].name, 0);
	s->policy = json_object_get_int_member_with_default(o, "policy", 0);
	s->raft.uid = g_ascii_strtoull(json_object_get_string_member_with_default(o, "uid", "1"),
				       NULL, 10);
	s->raft.seed = g_ascii_strtoull(json_object_get_string_member_with_default(o, "seed", "1"),
					NULL, 10);
	for (guint i = 0; nodes && i < json_array_get_length(nodes) && i < RAFT_NODES_MAX; i++)
		s->raft.nodes[i] = json_array_get_int_element(nodes, i);
}

static bool read_event(JsonObject *o, struct trace_line *line)
{
	const char *name = json_object_get_string_member(o, "event");
	const char *text = json_object_get_string_member_with_default(o, "args", "");
	g_autofree guchar *data = NULL;
	gsize len;

	line->event.wall_ms = json_object_get_int_member_with_default(o, "wall", 0);
	line->event.token = json_object_get_int_member_with_default(o, "token", 0);
	for (size_t i = 0; i < G_N_ELEMENTS(codecs); i++) {
		if (!g_str_equal(codecs[i].name, name))
			continue;
		line->event.type = (enum control_event_type)i;
		if (!codecs[i].proc)
			return true;
		data = g_base64_decode(text, &len);
		line->args = g_malloc0(codecs[i].size);
		line->event.u.message = line->args;
		return codec_decode(codecs[i].proc, data, len, line->args, codecs[i].size);
	}
	return false;
}

static bool parse_expectation(JsonObject *o, struct trace_line *line)
{
	line->expect_instance =
		g_strdup(json_object_get_string_member_with_default(o, "instance", NULL));
	line->expect_member =
		g_strdup(json_object_get_string_member_with_default(o, "member", NULL));
	line->expect_value = g_strdup(json_object_get_string_member_with_default(o, "value", NULL));
	return line->expect_member && line->expect_value;
}

bool trace_parse(const char *text, struct trace_line *line)
{
	g_autoptr(JsonNode) n = json_from_string(text, NULL);
	JsonObject *o = n && JSON_NODE_HOLDS_OBJECT(n) ? json_node_get_object(n) : NULL;

	memset(line, 0, sizeof(*line));
	if (!o)
		return false;
	line->now = json_object_get_int_member_with_default(o, "now", 0);
	if (json_object_has_member(o, "settings")) {
		line->type = TRACE_SETTINGS;
		read_settings(json_object_get_object_member(o, "settings"), &line->settings);
		return true;
	}
	if (json_object_has_member(o, "event")) {
		line->type = TRACE_EVENT;
		return read_event(o, line);
	}
	line->type = TRACE_EXPECT;
	return json_object_has_member(o, "expect") &&
	       parse_expectation(json_object_get_object_member(o, "expect"), line);
}

void trace_line_clear(struct trace_line *line)
{
	if (line->args)
		codec_free(codecs[line->event.type].proc, line->args);
	g_free(line->args);
	g_free(line->expect_instance);
	g_free(line->expect_member);
	g_free(line->expect_value);
}
