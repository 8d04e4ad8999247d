#include "base/log.h"

#include "base/clock.h"

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#define LOG_FIELDS_MAX 24
#define NUMBER_BUFFERS 16
#define NUMBER_SIZE 24

static const char *log_program = "sesamewood";
static const char *log_instance = "";
static GLogLevelFlags log_least = G_LOG_LEVEL_INFO;

static const char *level_name(GLogLevelFlags level)
{
	switch (level & G_LOG_LEVEL_MASK) {
	case G_LOG_LEVEL_ERROR:
	case G_LOG_LEVEL_CRITICAL:
		return "error";
	case G_LOG_LEVEL_WARNING:
		return "warning";
	case G_LOG_LEVEL_MESSAGE:
	case G_LOG_LEVEL_INFO:
		return "info";
	default:
		return "debug";
	}
}

static bool is_plain_field(const GLogField *f)
{
	return f->length < 0 && !g_str_has_prefix(f->key, "CODE_") &&
	       !g_str_has_prefix(f->key, "GLIB_") && !g_str_equal(f->key, "PRIORITY");
}

/// Writes a whole line, or drops it when the reader does not keep up: logging never blocks.
static void write_line(const char *text)
{
	static guint64 dropped;
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};
	g_autofree char *line =
		dropped ? g_strdup_printf("{\"level\":\"warning\",\"message\":\"log "
					  "lines dropped\",\"count\":%" G_GUINT64_FORMAT "}\n%s\n",
					  dropped, text)
			: g_strconcat(text, "\n", NULL);

	if (poll(&out, 1, 0) != 1 || !(out.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, strlen(line)) < 0)
		dropped++;
	else
		dropped = 0;
}

static GLogWriterOutput write_json_line(GLogLevelFlags level, const GLogField *fields, gsize count,
					gpointer unused)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;

	(void)unused;
	if ((level & G_LOG_LEVEL_MASK) > log_least)
		return G_LOG_WRITER_HANDLED;
	json_builder_begin_object(b);
	json_builder_set_member_name(b, "time_ms");
	json_builder_add_int_value(b, clock_wall());
	json_builder_set_member_name(b, "level");
	json_builder_add_string_value(b, level_name(level));
	json_builder_set_member_name(b, "program");
	json_builder_add_string_value(b, log_program);
	json_builder_set_member_name(b, "instance");
	json_builder_add_string_value(b, log_instance);
	for (gsize i = 0; i < count; i++) {
		g_autofree char *key = NULL;

		if (!is_plain_field(&fields[i]))
			continue;
		key = g_ascii_strdown(fields[i].key, -1);
		json_builder_set_member_name(b, key);
		json_builder_add_string_value(b, fields[i].value);
	}
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, NULL);
	write_line(text);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *program, const char *instance, const char *level)
{
	static bool installed;

	log_program = program;
	log_instance = instance;
	if (g_str_equal(level, "error"))
		log_least = G_LOG_LEVEL_CRITICAL;
	else if (g_str_equal(level, "warning"))
		log_least = G_LOG_LEVEL_WARNING;
	else if (g_str_equal(level, "debug"))
		log_least = G_LOG_LEVEL_DEBUG;
	else
		log_least = G_LOG_LEVEL_INFO;
	if (!installed)
		g_log_set_writer_func(write_json_line, NULL, NULL);
	installed = true;
}

void log_write(GLogLevelFlags level, const char *message, ...)
{
	GLogField fields[LOG_FIELDS_MAX] = {{.key = "MESSAGE", .value = message, .length = -1}};
	gsize n = 1;
	va_list args;

	va_start(args, message);
	for (;;) {
		const char *key = va_arg(args, const char *);

		if (!key || n == LOG_FIELDS_MAX)
			break;
		fields[n].key = key;
		fields[n].value = va_arg(args, const char *);
		fields[n].length = -1;
		n++;
	}
	va_end(args);
	g_log_structured_array(level, fields, n);
}

const char *log_number(guint64 value)
{
	static char buffers[NUMBER_BUFFERS][NUMBER_SIZE];
	static unsigned int next;
	char *out = buffers[next++ % NUMBER_BUFFERS];

	g_snprintf(out, NUMBER_SIZE, "%" G_GUINT64_FORMAT, value);
	return out;
}
