#ifndef SESAMEWOOD_BASE_LOG_H
#define SESAMEWOOD_BASE_LOG_H

/// @file
/// Logs as JSON lines on standard output, through GLib's structured logging.

#include <glib.h>

/// Installs the JSON-lines writer.
///
/// @param program  value of the "program" field
/// @param instance value of the "instance" field
/// @param level    least severe level written: "error", "warning", "info" or "debug"
void log_init(const char *program, const char *instance, const char *level);

/// Holds lines back until log_flush(), which a program's loop calls before each wait. Errors are
/// written at once.
void log_set_buffered(void);

/// Writes the lines held back, or drops and counts them when the reader does not keep up: logging
/// never blocks.
void log_flush(void);

/// Writes one line. Pairs of field name and string value follow the message; NULL ends them.
void log_write(GLogLevelFlags level, const char *message, ...) G_GNUC_NULL_TERMINATED;

#define log_error(...) log_write(G_LOG_LEVEL_CRITICAL, __VA_ARGS__, NULL)
#define log_warning(...) log_write(G_LOG_LEVEL_WARNING, __VA_ARGS__, NULL)
#define log_info(...) log_write(G_LOG_LEVEL_INFO, __VA_ARGS__, NULL)
#define log_debug(...) log_write(G_LOG_LEVEL_DEBUG, __VA_ARGS__, NULL)

/// Formats an unsigned number into one of a few rotating buffers, for log fields.
const char *log_number(guint64 value);

#endif
