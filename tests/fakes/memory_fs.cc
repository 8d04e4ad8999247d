#include "memory_fs.h"

#include <cerrno>
#include <cstring>

bool MemoryFs::next_operation_fails()
{
	if (operations_until_failure < 0)
		return false;
	if (operations_until_failure-- > 0)
		return false;
	operations_until_failure = 0;
	errno = ENOSPC;
	return true;
}

void MemoryFs::crash(unsigned int random)
{
	live = durable;
	for (auto &entry : live) {
		File &file = *entry.second;
		std::string survived = file.synced;

		if (file.data.size() > survived.size() &&
		    file.data.compare(0, survived.size(), survived) == 0) {
			size_t n_unsynced = random % (file.data.size() - survived.size() + 1);

			survived += file.data.substr(survived.size(), n_unsynced);
			if (n_unsynced && random % 3 == 0)
				survived[survived.size() - 1] ^= 1;
		}
		file.data = file.synced = survived;
	}
	operations_until_failure = -1;
}

bool MemoryFs::flip_bit(const std::string &name, size_t at)
{
	auto entry = live.find(name);

	if (entry == live.end() || entry->second->data.empty())
		return false;
	std::string &data = entry->second->data;

	data[at % data.size()] ^= 0x10;
	entry->second->synced = data;
	return true;
}

static MemoryFs *self(void *ctx)
{
	return static_cast<MemoryFs *>(ctx);
}

static std::shared_ptr<MemoryFs::File> open_file(void *ctx, const char *name)
{
	auto &file = self(ctx)->live[name];

	if (!file)
		file = std::make_shared<MemoryFs::File>();
	return file;
}

static bool append(void *ctx, const char *name, const void *data, size_t len)
{
	auto file = open_file(ctx, name);
	bool fails = self(ctx)->next_operation_fails();

	if (fails)
		len = std::min<size_t>(len, self(ctx)->partial_write_bytes);
	file->data.append(static_cast<const char *>(data), len);
	return !fails;
}

static bool sync_file(void *ctx, const char *name)
{
	auto file = open_file(ctx, name);

	if (self(ctx)->next_operation_fails())
		return false;
	file->synced = file->data;
	return true;
}

static bool sync_dir(void *ctx)
{
	if (self(ctx)->next_operation_fails())
		return false;
	self(ctx)->durable = self(ctx)->live;
	return true;
}

static bool rename_file(void *ctx, const char *from, const char *to)
{
	if (self(ctx)->next_operation_fails())
		return false;
	self(ctx)->live[to] = self(ctx)->live[from];
	self(ctx)->live.erase(from);
	return true;
}

static bool remove_file(void *ctx, const char *name)
{
	if (self(ctx)->next_operation_fails())
		return false;
	self(ctx)->live.erase(name);
	return true;
}

static bool truncate_file(void *ctx, const char *name, size_t len)
{
	open_file(ctx, name)->data.resize(len);
	return true;
}

static GByteArray *read_file(void *ctx, const char *name)
{
	auto entry = self(ctx)->live.find(name);
	GByteArray *out;

	if (entry == self(ctx)->live.end())
		return nullptr;
	out = g_byte_array_new();
	g_byte_array_append(out, reinterpret_cast<const guint8 *>(entry->second->data.data()),
			    entry->second->data.size());
	return out;
}

static char **list_files(void *ctx)
{
	GPtrArray *names = g_ptr_array_new();

	for (auto &entry : self(ctx)->live)
		g_ptr_array_add(names, g_strdup(entry.first.c_str()));
	g_ptr_array_add(names, nullptr);
	return reinterpret_cast<char **>(g_ptr_array_free(names, FALSE));
}

static const struct fs_ops ops = {
	.append = append,
	.sync = sync_file,
	.sync_dir = sync_dir,
	.rename = rename_file,
	.remove = remove_file,
	.truncate = truncate_file,
	.read = read_file,
	.list = list_files,
};

struct fs MemoryFs::fs()
{
	return {.ops = &ops, .ctx = this};
}
