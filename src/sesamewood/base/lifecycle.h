#ifndef SESAMEWOOD_BASE_LIFECYCLE_H
#define SESAMEWOOD_BASE_LIFECYCLE_H

/// @file
/// Start and end of a process: signals before the event loop handles them, waits for what an
/// earlier process still holds, and the line that says why a process ends.

#include "base/clock.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/// Margin of waits for an earlier process. It may take its grace time, and the platform some time
/// to kill it.
#define LIFECYCLE_WAIT_MARGIN_MS 4000

/// To be called first in main(). Until the event loop handles it, SIGTERM ends the process with
/// status 0 and SIGHUP is kept. Signals that are fatal write a line first. Standard descriptors
/// that are closed are opened, so that no file gets their number.
void lifecycle_start(void);

/// Starts a loop's watchers of SIGTERM and SIGHUP. A SIGHUP that came before is delivered to
/// @p hangup; with NULL, SIGHUP stays without effect.
void lifecycle_watch_signals(struct ev_loop *loop, ev_signal *terminate, ev_signal *hangup);

/// Writes the pending lines and ends the process without running atexit() handlers, which are not
/// safe beside other threads.
void lifecycle_exit(int status) G_GNUC_NORETURN;

/// A wait during the start for something that is not available yet. Zero all other members.
struct lifecycle_wait {
	const char *what;  ///< for the log
	clock_ms_t max_ms; ///< longest wait in all
	clock_ms_t from;   ///< 0: not waited yet
};

/// Sleeps for a moment before the next try. Logs the first time.
///
/// @param reason why the last try failed, for the log
/// @return false once the longest wait is over
bool lifecycle_wait(struct lifecycle_wait *w, const char *reason);

/// Logs the end of the wait, if there was one.
void lifecycle_wait_done(const struct lifecycle_wait *w);

#endif
