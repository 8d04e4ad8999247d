#ifndef SESAMEWOOD_CONTROL_STORAGE_H
#define SESAMEWOOD_CONTROL_STORAGE_H

/// @file
/// Durable state of a control replica: identity, term and vote, log segments, and snapshot, as
/// files of one directory. Format: docs/formats.md. The records of a batch are appended as one
/// checksummed frame with one sync; a large batch takes several.

#include "control/fs.h"
#include "control/raft.h"

struct storage;

enum storage_error {
	STORAGE_ERROR_CORRUPT,	///< corrupt or missing data, other than an incomplete last frame
	STORAGE_ERROR_IO,	///< a file operation failed; a later call may succeed
	STORAGE_ERROR_ENCODING, ///< a value exceeds a limit of its type; each call fails
};

#define STORAGE_ERROR (g_quark_from_static_string("storage-error"))

/// Reads the state in a directory, without writing. An incomplete frame at the end of the log, left
/// by a crash during a write, is passed over. Nothing may be sent before the first storage_write(),
/// of any batch, which syncs what was read.
///
/// @param[out] recovered state to start from, owned by the caller; empty for an empty directory
/// @return released with storage_free(); NULL with @p error set to a STORAGE_ERROR
struct storage *storage_open(struct fs fs, struct raft_recovered *recovered, GError **error);
/// Releases the memory; files stay as they are.
void storage_free(struct storage *s);

/// Writes and syncs the effects in order; RAFT_SEND is skipped. A large snapshot taken here is only
/// noted: storage_work() writes it, and its records stay until then.
///
/// @return false with @p error set. After a STORAGE_ERROR_IO the batch may be partly stored, and
/// the
///         only call allowed is another one with the same batch, which first repairs the files.
bool storage_write(struct storage *s, GPtrArray *effects, GError **error);

/// Tells whether storage_work() has a snapshot to write.
bool storage_has_work(const struct storage *s);

/// Writes the next piece of a noted snapshot; after the last one the snapshot replaces the earlier
/// one and its records.
///
/// @return false with @p error set; after a STORAGE_ERROR_IO the snapshot is written from its start
bool storage_work(struct storage *s, GError **error);

#endif
