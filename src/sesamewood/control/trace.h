#ifndef SESAMEWOOD_CONTROL_TRACE_H
#define SESAMEWOOD_CONTROL_TRACE_H

/// @file
/// Recording of the control reducer's events as JSON lines, and parsing of such traces. Format:
/// docs/formats.md.

#include "control/control.h"

struct trace;

/// Creates a trace file, or truncates an existing one, and writes the settings. The replica must
/// start from an empty data directory, because a trace does not contain recovered state.
///
/// @return open until the process ends; NULL with errno set if the file cannot be written
struct trace *trace_open(const char *path, const struct control_settings *settings, clock_ms_t now);

/// Appends an event and flushes the file.
void trace_write_event(struct trace *t, clock_ms_t now, const struct control_event *event);

/// Kind of a line.
enum trace_line_type {
	TRACE_SETTINGS, ///< a replica starts with these settings
	TRACE_EVENT,	///< an event is dispatched
	TRACE_EXPECT,	///< a member of the state or of an instance has this value
};

/// A parsed line of a trace.
struct trace_line {
	enum trace_line_type type;
	clock_ms_t now;
	struct control_settings settings;
	struct control_event event; ///< its arguments are owned by the line
	void *args;		    ///< arguments of the event, or NULL
	char *expect_instance;	    ///< NULL: the member belongs to the state as a whole
	char *expect_member;
	char *expect_value;
};

/// Parses a line.
///
/// @param[out] line released with trace_line_clear(), also after a failure
/// @return false if the line is malformed
bool trace_parse(const char *text, struct trace_line *line);

/// Releases what a parsed line owns.
void trace_line_clear(struct trace_line *line);

#endif
