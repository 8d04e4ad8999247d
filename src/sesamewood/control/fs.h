#ifndef SESAMEWOOD_CONTROL_FS_H
#define SESAMEWOOD_CONTROL_FS_H

/// @file
/// The file operations that storage needs, as a table, so that tests can inject faults.

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>

/// Operations on one flat folder. All return false on failure, with errno set.
struct fs_ops {
	/// Appends to a file, creating it; one call is not atomic.
	bool (*append)(void *ctx, const char *name, const void *data, size_t len);
	/// Makes the contents of a file durable.
	bool (*sync)(void *ctx, const char *name);
	/// Makes creations, renames and removals durable.
	bool (*sync_dir)(void *ctx);
	bool (*rename)(void *ctx, const char *from, const char *to);
	bool (*remove)(void *ctx, const char *name);
	/// Cuts a file to @p len bytes.
	bool (*truncate)(void *ctx, const char *name, size_t len);
	/// @return contents, or NULL
	GByteArray *(*read)(void *ctx, const char *name);
	/// @return sorted file names; release with g_strfreev()
	char **(*list)(void *ctx);
};

struct fs {
	const struct fs_ops *ops;
	void *ctx;
};

/// Opens a folder on disk, creating it, and locks it against other processes.
///
/// @return false with errno set
bool fs_open_dir(struct fs *fs, const char *path);

/// Closes a folder on disk and gives up its lock.
void fs_close_dir(struct fs *fs);

#endif
