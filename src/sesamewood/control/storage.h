#ifndef SESAMEWOOD_CONTROL_STORAGE_H
#define SESAMEWOOD_CONTROL_STORAGE_H

/// @file
/// Durable state of a control replica: identity, vote, log segments and snapshot, in one flat
/// folder. Format: docs/formats.md. Every batch of effects becomes one checksummed frame and
/// one sync.

#include "control/fs.h"
#include "control/raft.h"

struct storage;

enum storage_error {
	STORAGE_ERROR_CORRUPT, ///< contents damaged before the last frame, or a gap
	STORAGE_ERROR_IO,
};

#define STORAGE_ERROR (g_quark_from_static_string("storage-error"))

/// Reads what the folder holds.
///
/// @param[out] recovered state to start from; all zero for an empty folder
/// @return NULL with @p error set
struct storage *storage_open(struct fs fs, struct raft_recovered *recovered, GError **error);
void storage_free(struct storage *s);

/// Writes the effects that concern storage and syncs them; others are skipped.
///
/// @return false with @p error set; the process must then stop, since what the disk holds is
///         unknown
bool storage_write(struct storage *s, GPtrArray *effects, GError **error);

#endif
