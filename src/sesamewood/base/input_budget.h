#ifndef SESAMEWOOD_BASE_INPUT_BUDGET_H
#define SESAMEWOOD_BASE_INPUT_BUDGET_H

/// @file
/// A bound on the memory that connections hold together for input that is not complete, and the
/// decision which of them is closed when it is exceeded. No I/O.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/// Bound where the memory of the machine is not stated.
#define INPUT_BUDGET_DEFAULT_BYTES ((uint64_t)64 * 1024 * 1024)
/// Part of a stated memory, as its denominator.
#define INPUT_BUDGET_MEMORY_PART 4

/// Part of a bound that incomplete requests may always use, as its denominator: complete ones would
/// otherwise keep out ordinary requests.
#define INPUT_BUDGET_GUARANTEED_PART 4

/// What one connection holds. Its owner embeds it.
struct input_hold {
	uint32_t address;   ///< IPv4 address of the client
	uint64_t bytes;	    ///< see input_budget_set()
	clock_ms_t since;   ///< arrival of its first byte; CLOCK_NEVER: none has arrived
	clock_ms_t used_at; ///< last use of a connection that is idle
	bool is_kept;	    ///< a complete request, whose connection is not closed
	void *owner;
	GList link; ///< in the budget
};

/// Memory of one listener, or of all connections of a client.
struct input_budget {
	uint64_t limit;	 ///< bytes
	uint64_t held;	 ///< sum of the holds
	uint32_t closed; ///< connections closed at a limit, counted by the owner
	GQueue holds;	 ///< struct input_hold, in the order in which they were added
};

/// Returns the bound for a machine with that memory; 0: not stated.
uint64_t input_budget_for_memory(uint32_t memory_mb);

void input_budget_init(struct input_budget *b, uint64_t limit);

/// Adds a hold of 0 bytes.
void input_budget_add(struct input_budget *b, struct input_hold *h, uint32_t address, void *owner);
/// Removes a hold. It must have been added.
void input_budget_remove(struct input_budget *b, struct input_hold *h);
/// Sets the bytes of a hold.
void input_budget_set(struct input_budget *b, struct input_hold *h, uint64_t bytes);

/// Chooses the connection to close while the bound is exceeded: of the address that holds most, the
/// one that holds most. Connections with a complete request count but are not chosen.
///
/// @return NULL if the bound is kept, or the incomplete requests hold no more than their guaranteed
/// part
struct input_hold *input_budget_choose(const struct input_budget *b);

/// Returns the bytes of complete requests.
uint64_t input_budget_kept(const struct input_budget *b);

/// Returns the connection with the oldest incomplete request, or NULL.
///
/// @param address of the clients considered, or NULL for all
/// @param[out] count number of incomplete requests, or NULL
struct input_hold *input_budget_oldest(const struct input_budget *b, const uint32_t *address,
				       unsigned int *count);

/// Chooses the connection to close when no descriptor is free: the one that has been idle, or has
/// had an incomplete request, for the longest time.
///
/// @return NULL if all connections have complete requests
struct input_hold *input_budget_stalest(const struct input_budget *b);

#endif
