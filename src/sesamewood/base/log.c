#include "base/log.h"

#include "base/clock.h"
#include "base/work.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOG_FIELDS_MAX 24
#define NUMBER_BUFFERS 16
#define NUMBER_BYTES 24
#define BUFFER_BYTES 16384 /* dozens of lines */
#define ORIGIN_BYTES 1024
#define LAST_LINE_BYTES 2048

static const char *log_program = "sesamewood";
static const char *log_instance = "";
static GLogLevelFlags log_threshold = G_LOG_LEVEL_INFO;

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

/// Program and instance as the members of a line, for lines that are written without allocation.
static char log_origin[ORIGIN_BYTES] = "\"program\":\"sesamewood\"";

/// Returns true if a field belongs in the line, unlike those that GLib adds for its own use.
static bool is_plain_field(const GLogField *f)
{
	return f->length < 0 && !g_str_has_prefix(f->key, "CODE_") &&
	       !g_str_has_prefix(f->key, "GLIB_") && !g_str_equal(f->key, "PRIORITY");
}

/* Buffered output. */

static bool buffered;
static GString *pending;  ///< lines not written yet
static guint64 dropped;	  ///< lines dropped since the last successful write
static bool line_is_open; ///< the last line was written only in part

static bool is_writable(void)
{
	struct pollfd out = {.fd = STDOUT_FILENO, .events = POLLOUT};

	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

/// Protects the pending lines: the storage thread logs as well as the event loop.
static GMutex lock;

/// Writes a part of @p text that poll() guarantees room for in a pipe: whole lines if one fits.
///
/// @return number of bytes written; 0: none could be without waiting
static size_t write_part(const char *text)
{
	size_t len = strlen(text);
	ssize_t n;

	if (len > PIPE_BUF) {
		const char *end = memrchr(text, '\n', PIPE_BUF);

		len = end ? (size_t)(end - text) + 1 : PIPE_BUF;
	}
	n = is_writable() ? write(STDOUT_FILENO, text, len) : 0;
	return n > 0 ? (size_t)n : 0;
}

/// Adds the count of the lines dropped before, and ends a line that was written only in part.
static void prepend_note(void)
{
	g_autofree char *note = g_strdup_printf("%s{\"level\":\"warning\",\"message\":\"log lines "
						"dropped\",\"count\":%" G_GUINT64_FORMAT "}\n",
						line_is_open ? "\n" : "", dropped);

	g_string_prepend(pending, note);
}

/// Writes the pending lines as far as that takes no waiting, and drops the others. The caller holds
/// the lock.
static void flush_locked(void)
{
	const char *rest;
	bool has_note = dropped;
	size_t n;

	if (!pending || !pending->len)
		return;
	if (has_note)
		prepend_note();
	rest = pending->str;
	while (*rest && (n = write_part(rest)))
		rest += n;
	if (rest != pending->str) {
		line_is_open = rest[-1] != '\n';
		dropped = 0;
	} else if (has_note) {
		dropped--; /* the note is no line that was logged */
	}
	for (const char *p = rest; *p; p++)
		dropped += *p == '\n';
	g_string_truncate(pending, 0);
}

void log_flush(void)
{
	g_mutex_lock(&lock);
	flush_locked();
	g_mutex_unlock(&lock);
}

void log_set_buffered(void)
{
	buffered = true;
	atexit(log_flush);
}

/* Formatting. */

/// Appends @p text as a JSON string; replaces invalid UTF-8.
static void append_quoted(GString *out, const char *text)
{
	g_autofree char *valid =
		g_utf8_validate(text, -1, NULL) ? NULL : g_utf8_make_valid(text, -1);

	g_string_append_c(out, '"');
	for (const char *p = valid ? valid : text; *p; p++) {
		if (*p == '"' || *p == '\\')
			g_string_append_c(out, '\\');
		if ((unsigned char)*p < ' ')
			g_string_append_printf(out, "\\u%04x", *p);
		else
			g_string_append_c(out, *p);
	}
	g_string_append_c(out, '"');
}

static void append_field(GString *out, const char *key, const char *value)
{
	g_string_append(out, ",\"");
	for (const char *p = key; *p; p++)
		g_string_append_c(out, g_ascii_tolower(*p));
	g_string_append(out, "\":");
	append_quoted(out, value ? value : "");
}

/* Lines written without allocation. */

/// A line that is cut off when it does not fit.
struct last_line {
	char text[LAST_LINE_BYTES];
	size_t len;
};

static void add_text(struct last_line *l, const char *text)
{
	while (*text && l->len < sizeof(l->text))
		l->text[l->len++] = *text++;
}

/// Adds text inside of a JSON string. Characters that would need an escape are replaced.
static void add_quotable(struct last_line *l, const char *text)
{
	for (const char *p = text; *p && l->len < sizeof(l->text); p++)
		l->text[l->len++] = (char)(*p == '"' || *p == '\\'   ? '\''
					   : (unsigned char)*p < ' ' ? ' '
								     : *p);
}

static void add_number(struct last_line *l, int64_t number)
{
	char digits[NUMBER_BYTES];
	size_t n = sizeof(digits);

	digits[--n] = 0;
	do
		digits[--n] = (char)('0' + number % 10);
	while (number /= 10);
	add_text(l, digits + n);
}

static void start_last_line(struct last_line *l, const char *message)
{
	l->len = 0;
	add_text(l, "{\"time_ms\":");
	add_number(l, clock_wall());
	add_text(l, ",\"level\":\"error\",");
	add_text(l, log_origin);
	add_text(l, ",\"message\":\"");
	add_quotable(l, message);
	add_text(l, "\"");
}

static void end_last_line(struct last_line *l)
{
	ssize_t n;

	add_text(l, "}\n");
	n = is_writable() ? write(STDOUT_FILENO, l->text, l->len) : 0;
	(void)n; /* the process ends either way */
}

void log_write_from_signal(const char *message, int signal)
{
	struct last_line l;
	int error = errno;

	start_last_line(&l, message);
	add_text(&l, ",\"signal\":\"");
	add_number(&l, signal);
	add_text(&l, "\"");
	end_last_line(&l);
	errno = error;
}

/// Writes a message after which GLib ends the process, such as a failed allocation. It may come
/// from within this file.
static void write_fatal(const GLogField *fields, gsize count)
{
	struct last_line l;

	for (gsize i = 0; i < count; i++) {
		if (!g_str_equal(fields[i].key, "MESSAGE") || fields[i].length >= 0)
			continue;
		start_last_line(&l, fields[i].value);
		end_last_line(&l);
	}
}

static GLogWriterOutput write_line(GLogLevelFlags level, const GLogField *fields, gsize count,
				   gpointer unused)
{
	(void)unused;
	if ((level & G_LOG_LEVEL_MASK) > log_threshold)
		return G_LOG_WRITER_HANDLED;
	if (level & G_LOG_LEVEL_ERROR) {
		write_fatal(fields, count);
		return G_LOG_WRITER_HANDLED;
	}
	g_mutex_lock(&lock);
	if (!pending)
		pending = g_string_new(NULL);
	g_string_append_printf(pending, "{\"time_ms\":%" PRId64, clock_wall());
	append_field(pending, "level", level_name(level));
	append_field(pending, "program", log_program);
	append_field(pending, "instance", log_instance);
	for (gsize i = 0; i < count; i++)
		if (is_plain_field(&fields[i]))
			append_field(pending, fields[i].key, fields[i].value);
	g_string_append(pending, "}\n");
	if (!buffered || pending->len > BUFFER_BYTES ||
	    (level & G_LOG_LEVEL_MASK) <= G_LOG_LEVEL_CRITICAL)
		flush_locked();
	g_mutex_unlock(&lock);
	return G_LOG_WRITER_HANDLED;
}

static void set_origin(const char *program, const char *instance)
{
	g_autoptr(GString) out = g_string_new("\"program\":");

	append_quoted(out, program);
	append_field(out, "instance", instance);
	if (out->len < sizeof(log_origin))
		memcpy(log_origin, out->str, out->len + 1);
}

void log_init(const char *program, const char *instance, const char *level)
{
	static bool installed;

	log_program = program;
	log_instance = instance;
	set_origin(program, instance);
	if (g_str_equal(level, "error"))
		log_threshold = G_LOG_LEVEL_CRITICAL;
	else if (g_str_equal(level, "warning"))
		log_threshold = G_LOG_LEVEL_WARNING;
	else if (g_str_equal(level, "debug"))
		log_threshold = G_LOG_LEVEL_DEBUG;
	else
		log_threshold = G_LOG_LEVEL_INFO;
	if (!installed)
		g_log_set_writer_func(write_line, NULL, NULL);
	installed = true;
}

void log_write(GLogLevelFlags level, const char *message, ...)
{
	GLogField fields[LOG_FIELDS_MAX] = {{.key = "MESSAGE", .value = message, .length = -1}};
	gsize n = 1;
	va_list args;
	enum work_kind prev;

	if ((level & G_LOG_LEVEL_MASK) > log_threshold)
		return;
	prev = work_enter(WORK_LOGS);
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
	work_leave(prev);
}

const char *log_number(guint64 value)
{
	static char buffers[NUMBER_BUFFERS][NUMBER_BYTES];
	static unsigned int next;
	char *out = buffers[next++ % NUMBER_BUFFERS];

	g_snprintf(out, NUMBER_BYTES, "%" G_GUINT64_FORMAT, value);
	return out;
}
