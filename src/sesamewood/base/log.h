#ifndef SESAMEWOOD_BASE_LOG_H
#define SESAMEWOOD_BASE_LOG_H

/// @file
/// Structured logs: JSON lines on standard output, through GLib's structured logging.

#include <glib.h>

/// Installs the JSON-lines writer.
///
/// @param program  value of the "program" field
/// @param instance value of the "instance" field
/// @param level    least severe level written: "error", "warning", "info" or "debug"
void log_init(const char *program, const char *instance, const char *level);

/// Buffers lines until log_flush(), which the event loop calls before each wait. Errors are still
/// written immediately.
void log_set_buffered(void);

/// Writes the buffered lines. When standard output is not writable, drops and counts them instead,
/// so that logging never blocks.
void log_flush(void);

/// Writes one line if @p level is enabled. Pairs of a field name and a string value follow the
/// message; NULL ends them. Field names are written in lower case.
void log_write(GLogLevelFlags level, const char *message, ...) G_GNUC_NULL_TERMINATED;

#define log_error(...) log_write(G_LOG_LEVEL_CRITICAL, __VA_ARGS__, NULL)
#define log_warning(...) log_write(G_LOG_LEVEL_WARNING, __VA_ARGS__, NULL)
#define log_info(...) log_write(G_LOG_LEVEL_INFO, __VA_ARGS__, NULL)
#define log_debug(...) log_write(G_LOG_LEVEL_DEBUG, __VA_ARGS__, NULL)

/// Writes a line without memory allocation, locks or stdio, also from a signal's handler. Lines
/// that are buffered are not written.
void log_write_from_signal(const char *message, int signal);

/// Formats a number for a log field.
///
/// @return one of 16 static buffers, which later calls overwrite in turn
const char *log_number(guint64 value);

#endif
