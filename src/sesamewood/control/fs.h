#ifndef SESAMEWOOD_CONTROL_FS_H
#define SESAMEWOOD_CONTROL_FS_H

/// @file
/// The file operations that storage needs, as a table of functions, so that tests can inject
/// failures.

#include <stdbool.h>
#include <stddef.h>
#include <glib.h>

/// Operations on the files of one directory without subdirectories. Those of type bool return false
/// on failure, with errno set.
struct fs_ops {
	/// Appends to a file, which is created if it does not exist. A crash or failure may leave
	/// part of the data written.
	bool (*append)(void *ctx, const char *name, const void *data, size_t len);
	/// Syncs the contents of a file to disk.
	bool (*sync)(void *ctx, const char *name);
	/// Syncs creations, renames and removals of files to disk.
	bool (*sync_dir)(void *ctx);
	/// Renames a file and replaces an existing one of the new name.
	bool (*rename)(void *ctx, const char *from, const char *to);
	/// Removes a file; succeeds if there is none.
	bool (*remove)(void *ctx, const char *name);
	/// Truncates a file to @p len bytes.
	bool (*truncate)(void *ctx, const char *name, size_t len);
	/// @return contents, owned by the caller, or NULL with errno set; ENOENT: there is no file
	GByteArray *(*read)(void *ctx, const char *name);
	/// @return sorted file names, released with g_strfreev(), or NULL with errno set
	char **(*list)(void *ctx);
};

struct fs {
	const struct fs_ops *ops;
	void *ctx;
};

/// Opens a directory, which is created if it does not exist, and locks it against other processes.
///
/// @param[out] fs its operations and their context; closed with fs_close_dir()
/// @return false with errno set; EWOULDBLOCK if another process holds the lock
bool fs_open_dir(struct fs *fs, const char *path);

/// Closes a directory and releases its lock.
void fs_close_dir(struct fs *fs);

#endif
