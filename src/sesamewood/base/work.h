#ifndef SESAMEWOOD_BASE_WORK_H
#define SESAMEWOOD_BASE_WORK_H

/// @file
/// Accounts the time of the program's loop by kind of work. Shown as counters
/// `sesamewood_work_us_total{kind="..."}`. Each thread has an account of its own; the loop's is
/// published.

#include <inttypes.h>

enum work_kind {
	WORK_IDLE, ///< waiting for events
	WORK_IO,   ///< event loop, sockets and whatever is not named below
	WORK_DECODE,
	WORK_REQUESTS,	 ///< callers' and operators' requests
	WORK_HEARTBEATS, ///< endpoints' announcements
	WORK_RESULTS,	 ///< looks, ends and other results of orders
	WORK_ATTEMPTS,	 ///< pass over endpoints and attempts
	WORK_PLACEMENT,	 ///< placement
	WORK_POOLS,
	WORK_WAVES,
	WORK_PROPOSE,
	WORK_REPLICATE, ///< records encoded and sent to followers
	WORK_APPLY,
	WORK_RELEASE, ///< replies and orders whose commands are committed
	WORK_AGENTS,  ///< orders and results passed between replicas
	WORK_LOGS,
	WORK_KINDS,
};

/// Begins a piece of work.
///
/// @return the kind that it interrupts; give it to work_leave()
enum work_kind work_enter(enum work_kind kind);

/// Ends a piece of work.
void work_leave(enum work_kind back);

/// @return time spent so far, microseconds
uint64_t work_total_us(enum work_kind kind);

/// @return name of a kind, as the counters have it
const char *work_name(enum work_kind kind);

/// Brings the counters up to date. Call before they are shown.
void work_publish(void);

#endif
