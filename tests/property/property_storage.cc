/// @file
/// Recovery of a data directory after a corrupted byte, an interrupted write and a full disk.
/// Guards against recovery that silently drops stored records: only a corrupted last frame, which
/// may be an interrupted write, may be dropped; corruption before it must be reported.

#include "memory_fs.h"
#include "property.h"

extern "C" {
#include "control/storage.h"
}

namespace
{
const char *const kSegment = "log-0000000000000001";

/// Writes @p n records as one frame.
///
/// @return false if the write failed
bool write_frame(struct storage *s, uint64_t first, unsigned int n)
{
	GPtrArray *effects = g_ptr_array_new_with_free_func(raft_effect_free);
	auto *e = g_new0(struct raft_effect, 1);
	bool ok;

	e->type = RAFT_APPEND_LOG;
	e->u.records = g_ptr_array_new_with_free_func(raft_log_record_free);
	for (unsigned int i = 0; i < n; i++) {
		auto *r = g_new0(struct raft_log_record, 1);

		r->index = first + i;
		r->term = 1;
		r->command = g_bytes_new(&r->index, sizeof(r->index));
		g_ptr_array_add(e->u.records, r);
	}
	g_ptr_array_add(effects, e);
	ok = storage_write(s, effects, nullptr);
	g_ptr_array_unref(effects);
	return ok;
}

void write_meta(struct storage *s)
{
	GPtrArray *effects = g_ptr_array_new_with_free_func(raft_effect_free);
	auto *e = g_new0(struct raft_effect, 1);

	e->type = RAFT_SAVE_META;
	e->u.meta.uid = 7;
	g_ptr_array_add(effects, e);
	storage_write(s, effects, nullptr);
	g_ptr_array_unref(effects);
}

/// @return number of recovered records, or -1 if storage reports the directory as corrupt
long reopen_and_count(MemoryFs &disk)
{
	struct raft_recovered recovered;
	GError *error = nullptr;
	struct storage *s = storage_open(disk.fs(), &recovered, &error);
	long n;

	if (!s) {
		RC_ASSERT(g_error_matches(error, STORAGE_ERROR, STORAGE_ERROR_CORRUPT));
		g_error_free(error);
		return -1;
	}
	n = recovered.records->len;
	for (long i = 0; i < n; i++)
		RC_ASSERT(
			static_cast<struct raft_log_record *>(recovered.records->pdata[i])->index ==
			static_cast<uint64_t>(i + 1));
	g_ptr_array_unref(recovered.records);
	storage_free(s);
	return n;
}

/// Writes frames of records until one fails.
///
/// @param[out] last_frame_offset offset in the segment where the last frame starts
/// @return number of records in the frames that were stored
long write_until_failure(MemoryFs &disk, const std::vector<uint32_t> &sizes,
			 size_t *last_frame_offset)
{
	struct raft_recovered recovered;
	struct storage *s = storage_open(disk.fs(), &recovered, nullptr);
	long stored = 0;

	write_meta(s);
	for (uint32_t size : sizes) {
		unsigned int n = 1 + size % 5;

		*last_frame_offset = disk.live[kSegment] ? disk.live[kSegment]->data.size() : 0;
		if (!write_frame(s, stored + 1, n))
			break;
		stored += n;
	}
	g_ptr_array_unref(recovered.records);
	storage_free(s);
	return stored;
}
} // namespace

int main()
{
	Property property("/storage");

	property.check("flipped_byte_is_reported_or_drops_the_last_frame", [] {
		MemoryFs disk;
		size_t last_frame_offset = 0;
		auto sizes = *rc::gen::nonEmpty(actions(20));
		long stored = write_until_failure(disk, sizes, &last_frame_offset);
		size_t length = disk.live[kSegment]->data.size();
		size_t at = *rc::gen::inRange<size_t>(0, length);
		long before_last = stored - static_cast<long>(1 + sizes.back() % 5);

		disk.flip_bit(kSegment, at);
		RC_ASSERT(reopen_and_count(disk) == (at < last_frame_offset ? -1 : before_last));
	});
	property.check("stored_frames_survive_full_disk_and_crash", [] {
		MemoryFs disk;
		size_t ignored = 0;
		auto sizes = *rc::gen::nonEmpty(actions(20));

		disk.operations_until_failure = *rc::gen::inRange(6, 60);
		disk.partial_write_bytes = *rc::gen::inRange(0, 80);
		long stored = write_until_failure(disk, sizes, &ignored);

		disk.crash(*rc::gen::inRange<uint32_t>(0, 1000));
		long recovered_count = reopen_and_count(disk);

		RC_ASSERT(recovered_count >= stored);
		RC_ASSERT(recovered_count <= stored + 5);
	});
	return property.end();
}
