#include "control/fs.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE 0600
#define DIR_MODE 0700
#define NO_FILE (-1)
#define READ_BYTES 65536U

struct dir {
	int fd;
	char *path;
	char *append_name; ///< name of the file that is open for appending
	int append_fd;	   ///< its descriptor, or NO_FILE
};

/// Opens a file as append_fd, unless it is open already.
static bool open_for_append(struct dir *d, const char *name)
{
	if (d->append_fd != NO_FILE && g_str_equal(d->append_name, name))
		return true;
	if (d->append_fd != NO_FILE)
		close(d->append_fd);
	g_free(d->append_name);
	d->append_name = g_strdup(name);
	d->append_fd = openat(d->fd, name, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
	return d->append_fd != NO_FILE;
}

static void close_append_fd(struct dir *d)
{
	if (d->append_fd != NO_FILE)
		close(d->append_fd);
	d->append_fd = NO_FILE;
}

static bool dir_append(void *ctx, const char *name, const void *data, size_t len)
{
	struct dir *d = ctx;
	const char *p = data;

	if (!open_for_append(d, name))
		return false;
	while (len) {
		ssize_t n = write(d->append_fd, p, len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return false;
		p += n;
		len -= n;
	}
	return true;
}

static bool dir_sync(void *ctx, const char *name)
{
	struct dir *d = ctx;

	return open_for_append(d, name) && fdatasync(d->append_fd) == 0;
}

static bool dir_sync_dir(void *ctx)
{
	return fsync(((struct dir *)ctx)->fd) == 0;
}

static bool dir_rename(void *ctx, const char *from, const char *to)
{
	struct dir *d = ctx;

	close_append_fd(d);
	return renameat(d->fd, from, d->fd, to) == 0;
}

static bool dir_remove(void *ctx, const char *name)
{
	struct dir *d = ctx;

	close_append_fd(d);
	return unlinkat(d->fd, name, 0) == 0 || errno == ENOENT;
}

static bool dir_truncate(void *ctx, const char *name, size_t len)
{
	struct dir *d = ctx;

	return open_for_append(d, name) && ftruncate(d->append_fd, (off_t)len) == 0;
}

static GByteArray *dir_read(void *ctx, const char *name)
{
	struct dir *d = ctx;
	GByteArray *out = g_byte_array_new();
	int fd = openat(d->fd, name, O_RDONLY | O_CLOEXEC);
	ssize_t n = fd < 0 ? -1 : 1;

	while (n > 0) {
		guint at = out->len;

		g_byte_array_set_size(out, at + READ_BYTES);
		do
			n = read(fd, out->data + at, READ_BYTES);
		while (n < 0 && errno == EINTR);
		g_byte_array_set_size(out, at + (n > 0 ? (guint)n : 0));
	}
	if (n < 0) {
		int error = errno;

		if (fd >= 0)
			close(fd);
		g_byte_array_unref(out);
		errno = error;
		return NULL;
	}
	close(fd);
	return out;
}

static int compare_text(gconstpointer a, gconstpointer b)
{
	return g_strcmp0(*(char *const *)a, *(char *const *)b);
}

static char **dir_list(void *ctx)
{
	struct dir *d = ctx;
	GPtrArray *names;
	g_autoptr(GError) error = NULL;
	g_autoptr(GDir) dir = g_dir_open(d->path, 0, &error);
	const char *name;

	if (!dir) {
		errno = g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_MFILE) ? EMFILE : EIO;
		return NULL;
	}
	names = g_ptr_array_new();
	while ((name = g_dir_read_name(dir)))
		g_ptr_array_add(names, g_strdup(name));
	g_ptr_array_sort(names, compare_text);
	g_ptr_array_add(names, NULL);
	return (char **)g_ptr_array_free(names, FALSE);
}

static const struct fs_ops dir_ops = {
	.append = dir_append,
	.sync = dir_sync,
	.sync_dir = dir_sync_dir,
	.rename = dir_rename,
	.remove = dir_remove,
	.truncate = dir_truncate,
	.read = dir_read,
	.list = dir_list,
};

bool fs_open_dir(struct fs *fs, const char *path)
{
	struct dir *d;
	int fd;

	if (g_mkdir_with_parents(path, DIR_MODE) < 0)
		return false;
	fd = open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (fd < 0)
		return false;
	if (flock(fd, LOCK_EX | LOCK_NB) < 0) {
		int error = errno;

		close(fd);
		errno = error;
		return false;
	}
	d = g_new0(struct dir, 1);
	*d = (struct dir){.fd = fd, .path = g_strdup(path), .append_fd = NO_FILE};
	fs->ops = &dir_ops;
	fs->ctx = d;
	return true;
}

void fs_close_dir(struct fs *fs)
{
	struct dir *d = fs->ctx;

	close_append_fd(d);
	g_free(d->append_name);
	g_free(d->path);
	close(d->fd);
	g_free(d);
	fs->ctx = NULL;
}
