#ifndef SESAMEWOOD_BASE_WORK_H
#define SESAMEWOOD_BASE_WORK_H

/// @file
/// Accounts the event loop's time by kind of work, exported as the counters
/// `sesamewood_work_us_total{kind="..."}`. Times are kept per thread; the values of the thread that
/// calls work_publish(), the event loop's, are exported.

#include <inttypes.h>

enum work_kind {
	WORK_IDLE,    ///< waiting for events
	WORK_IO,      ///< event loop and all work of no other kind
	WORK_RECEIVE, ///< messages of other processes read from their connections
	WORK_SEND,    ///< messages written to their connections
	WORK_HTTP,    ///< HTTP requests of endpoints and operators
	WORK_CURL,    ///< orders that this process sends itself
	WORK_DECODE,
	WORK_REQUESTS,	 ///< requests of callers and operators
	WORK_HEARTBEATS, ///< heartbeats of endpoints
	WORK_RESULTS,	 ///< results of orders: status queries, completions and others
	WORK_ATTEMPTS,	 ///< periodic pass over endpoints and attempts
	WORK_PLACEMENT,	 ///< placement of tasks at endpoints
	WORK_POOLS,	 ///< periodic pass over pools
	WORK_WAVES,	 ///< periodic pass over maintenance waves
	WORK_PROPOSE,	 ///< commands proposed for the replicated log
	WORK_REPLICATE,	 ///< records encoded and sent to followers
	WORK_APPLY,	 ///< committed commands applied to the state
	WORK_RELEASE,	 ///< replies and orders sent once their commands are committed
	WORK_AGENTS,	 ///< orders and results passed between replicas
	WORK_LOGS,
	WORK_KINDS,
};

/// Starts accounting the thread's time to @p kind.
///
/// @return the kind of the work that is interrupted; pass it to work_leave()
enum work_kind work_enter(enum work_kind kind);

/// Ends the work begun by work_enter() and resumes the kind @p prev.
void work_leave(enum work_kind prev);

/// @return time that the thread has spent on @p kind, microseconds, without work in progress
uint64_t work_total_us(enum work_kind kind);

/// @return value of the counters' label for @p kind
const char *work_name(enum work_kind kind);

/// Copies the calling thread's times to the counters. Call before the metrics are exported.
void work_publish(void);

#endif
