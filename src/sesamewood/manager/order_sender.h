#ifndef SESAMEWOOD_MANAGER_ORDER_SENDER_H
#define SESAMEWOOD_MANAGER_ORDER_SENDER_H

/// @file
/// Sends orders over HTTP, for this replica as leader or as an agent of another leader, and decodes
/// their results.

#include "manager/wire.h"

#include <ev.h>

struct order_sender;

/// Called with the result of an order. Takes ownership of @p result.
///
/// @param leader node of the leader that issued the order
typedef void (*order_sent_fn)(void *ctx, uint32_t leader, uint64_t term,
			      struct order_result *result);

/// Creates a sender that lives as long as the process. Borrows @p wire.
///
/// @param done called from the event loop or order_sender_send(), once for each order
struct order_sender *order_sender_new(struct ev_loop *loop, const struct wire *wire,
				      order_sent_fn done, void *ctx);

/// Sends an order. Takes ownership of @p order. The result is ORDER_NOT_SENT if the order is past
/// its not_after time or cannot be encoded, and ORDER_NO_ANSWER if the request was sent on more
/// than one connection and the answer proves no effect of only one copy.
void order_sender_send(struct order_sender *s, struct order *order, uint32_t leader, uint64_t term);

#endif
