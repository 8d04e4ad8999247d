#ifndef SESAMEWOOD_CONTROL_TRACE_H
#define SESAMEWOOD_CONTROL_TRACE_H

/// @file
/// Recording of the control reducer's events as JSON lines, and their reading. Format:
/// docs/formats.md.

#include "control/control.h"

struct trace;

/// Starts a trace file. A trace starts from an empty data folder.
///
/// @return NULL when the file can't be written
struct trace *trace_open(const char *path, const struct control_settings *settings, clock_ms_t now);

/// Appends one event.
void trace_write_event(struct trace *t, clock_ms_t now, const struct control_event *event);

/// One line of a trace.
enum trace_line_type {
	TRACE_SETTINGS,
	TRACE_EVENT,
	TRACE_EXPECT,
};

struct trace_line {
	enum trace_line_type type;
	clock_ms_t now;
	struct control_settings settings;
	struct control_event event; ///< arguments live until trace_line_clear()
	void *args;
	char *expect_instance; ///< NULL: the expectation is about the state as a whole
	char *expect_member;
	char *expect_value;
};

/// Parses one line.
///
/// @return false when it is malformed
bool trace_parse(const char *text, struct trace_line *line);
void trace_line_clear(struct trace_line *line);

#endif
