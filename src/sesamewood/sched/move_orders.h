#ifndef SESAMEWOOD_SCHED_MOVE_ORDERS_H
#define SESAMEWOOD_SCHED_MOVE_ORDERS_H

/// @file
/// Orders to the machine service that move machines between pools, and the list of machines. A
/// move without an answer may have been executed, or may be executed later: it stays open until it
/// is answered or the machine's next endpoint shows the outcome.

#include "manager/manager_internal.h"

struct machine;

/// Orders a machine to a pool.
///
/// @param pool  may be the target of the machine's open move
/// @param e     endpoint that the move shuts down, or NULL
void move_orders_send(struct manager *m, clock_ms_t now, struct machine *x, const char *pool,
		      struct endpoint *e);

/// Retries open moves that are due, within the budget of machine orders.
void move_orders_retry(struct manager *m, clock_ms_t now);

/// Requests the list of machines when it is due.
void move_orders_list_when_due(struct manager *m, clock_ms_t now);

/// Handles the result of a machine list or machine move order.
void move_orders_handle_result(struct manager *m, clock_ms_t now, const struct pending_order *p,
			       const struct order_result *result);

#endif
