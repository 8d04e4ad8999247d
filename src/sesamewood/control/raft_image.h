#ifndef SESAMEWOOD_CONTROL_RAFT_IMAGE_H
#define SESAMEWOOD_CONTROL_RAFT_IMAGE_H

/// @file
/// A snapshot of the replicated state with its place in the log. Copies share the data, which is of
/// any size.

#include "rpc/generated/sesamewood.h"

#include <glib.h>
#include <stdbool.h>

struct raft_image {
	uint64_t index; ///< of the last record that it covers; 0: there is no image
	uint64_t term;	///< of that record
	sw_members members;
	GBytes *data; ///< encoded state machine, or NULL
};

/// Fills in an image that shares the data. Release it with raft_image_clear().
///
/// @return false when the membership exceeds a limit of its type; @p to is then empty
bool raft_image_init(struct raft_image *to, uint64_t index, uint64_t term,
		     const sw_members *members, GBytes *data);

/// Makes a copy that shares the data. Release it with raft_image_clear().
///
/// @return false as raft_image_init()
bool raft_image_copy(const struct raft_image *from, struct raft_image *to);

/// Releases what an image holds and empties it.
void raft_image_clear(struct raft_image *image);

#endif
