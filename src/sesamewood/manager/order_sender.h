#ifndef SESAMEWOOD_MANAGER_ORDER_SENDER_H
#define SESAMEWOOD_MANAGER_ORDER_SENDER_H

/// @file
/// Sends orders from this replica, its own leader's or another's, and reads their results.

#include "manager/wire.h"

#include <ev.h>

struct order_sender;

/// A result is known; takes it over.
///
/// @param leader node that the order was sent for
typedef void (*order_sent_fn)(void *ctx, uint32_t leader, uint64_t term,
			      struct order_result *result);

struct order_sender *order_sender_new(struct ev_loop *loop, const struct wire *wire,
				      order_sent_fn done, void *ctx);

/// Sends an order, unless it is too old by now; takes it over.
void order_sender_send(struct order_sender *s, struct order *order, uint32_t leader, uint64_t term);

#endif
