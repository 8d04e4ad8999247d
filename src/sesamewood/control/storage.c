#include "control/storage.h"

#include "base/codec.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define META_NAME "meta"
#define META_NEW "meta.new"
#define SNAPSHOT_NAME "snapshot"
#define SNAPSHOT_NEW "snapshot.new"
#define SEGMENT_PREFIX "log-"
#define SEGMENT_NEW "log.new"
#define FRAME_MAGIC 0x53574631U
/// Records of a frame. One more effect, of up to 4096 records, may exceed this; the sum must be
/// less than SW_LIST_MAX.
#define FRAME_RECORDS_MAX 8000
#define SEGMENT_BYTES ((gsize)4 * 1024 * 1024) ///< a new segment is started above this size
/// While the log is larger, a noted snapshot is written before any batch, so that the log, the
/// snapshot and its successor fit into the directory's allowance (docs/formats.md).
#define LOG_BYTES_MAX ((gsize)20 * 1024 * 1024)
/// A larger snapshot is written in pieces of this size, between which records are written.
#define SNAPSHOT_PIECE_BYTES ((gsize)1024 * 1024)

/// Header before the XDR payload of each frame; big-endian on disk.
struct frame_header {
	guint32 magic;
	guint32 len;
	guint64 hash; ///< xxh64 of the payload, seeded with its length
};

struct segment {
	char *name;
	uint64_t last;	 ///< highest record index in it
	gsize size;	 ///< bytes known to be synced
	bool is_new;	 ///< its name is not known to be synced
	bool is_unknown; ///< contents after size are unknown, since a write or sync failed
};

/// A snapshot that is written, or is to be written.
struct pending_snapshot {
	struct raft_image image; ///< index 0: none
	uint64_t keep_from;
	bool reset; ///< drop all records
};

struct storage {
	struct fs fs;
	GPtrArray *segments; ///< of struct segment, oldest first
	uint64_t sequence;   ///< number of the newest segment
	struct pending_snapshot writing;
	bool has_begun; ///< the temporary file holds the first `written` bytes of its data
	gsize written;
	struct pending_snapshot next;
	guint n_stored; ///< effects of the batch that are stored; a failed batch resumes after them
	uint64_t snapshot_index; ///< of the stored snapshot, 0: none
	/// What was read came from the page cache, and may not be on disk if the earlier process
	/// ended before it synced it.
	bool is_recovered;
	GByteArray *last_frame; ///< of the recovered log, or NULL
	uint64_t last_index;	///< highest index in it
	bool has_conflict;	///< the recovered records do not continue the snapshot
};

static void segment_free(void *p)
{
	struct segment *segment = p;

	g_free(segment->name);
	g_free(segment);
}

/// Sets the error from errno if a file operation failed.
///
/// @return @p ok
static bool check_io(bool ok, const char *operation, const char *name, GError **error)
{
	if (!ok)
		g_set_error(error, STORAGE_ERROR, STORAGE_ERROR_IO, "%s %s: %s", operation, name,
			    g_strerror(errno));
	return ok;
}

static bool append_bytes(struct storage *s, const char *name, const void *data, gsize len,
			 GError **error)
{
	return check_io(s->fs.ops->append(s->fs.ctx, name, data, len), "append to", name, error);
}

static bool sync_file(struct storage *s, const char *name, GError **error)
{
	return check_io(s->fs.ops->sync(s->fs.ctx, name), "sync", name, error);
}

static bool sync_dir(struct storage *s, GError **error)
{
	return check_io(s->fs.ops->sync_dir(s->fs.ctx), "sync", "directory", error);
}

static bool remove_file(struct storage *s, const char *name, GError **error)
{
	return check_io(s->fs.ops->remove(s->fs.ctx, name), "remove", name, error);
}

static bool rename_file(struct storage *s, const char *from, const char *to, GError **error)
{
	return check_io(s->fs.ops->rename(s->fs.ctx, from, to), "rename", from, error);
}

static bool set_encoding_error(GError **error, const char *name)
{
	g_set_error(error, STORAGE_ERROR, STORAGE_ERROR_ENCODING,
		    "%s: a value exceeds a limit of its type", name);
	return false;
}

static bool set_corrupt_error(GError **error, const char *name, const char *what)
{
	g_set_error(error, STORAGE_ERROR, STORAGE_ERROR_CORRUPT, "%s: %s", name, what);
	return false;
}

/* Frames. */

/// @return the frame, or NULL when the value exceeds a limit of its type
static GByteArray *encode_frame(xdrproc_t proc, const void *value)
{
	g_autoptr(GByteArray) payload = codec_encode(proc, value);
	GByteArray *out;
	struct frame_header h = {.magic = GUINT32_TO_BE(FRAME_MAGIC)};

	if (!payload)
		return NULL;
	h.len = GUINT32_TO_BE(payload->len);
	h.hash = GUINT64_TO_BE(XXH64(payload->data, payload->len, payload->len));
	out = g_byte_array_new();
	g_byte_array_append(out, (const guint8 *)&h, sizeof(h));
	g_byte_array_append(out, payload->data, payload->len);
	return out;
}

/// @return length of the frame at @p data with its header, or 0 if it is incomplete or corrupt
static gsize check_frame(const guint8 *data, gsize len)
{
	struct frame_header h;
	gsize size;

	if (len < sizeof(h))
		return 0;
	memcpy(&h, data, sizeof(h));
	size = GUINT32_FROM_BE(h.len);
	if (GUINT32_FROM_BE(h.magic) != FRAME_MAGIC || size > len - sizeof(h))
		return 0;
	if (XXH64(data + sizeof(h), size, size) != GUINT64_FROM_BE(h.hash))
		return 0;
	return sizeof(h) + size;
}

/// Reads a file that consists of one frame.
///
/// @param[out] found false if there is no such file; this is no error
static bool read_whole_file(const struct storage *s, const char *name, xdrproc_t proc, void *value,
			    size_t size, bool *found, GError **error)
{
	g_autoptr(GByteArray) data = s->fs.ops->read(s->fs.ctx, name);

	*found = data != NULL;
	if (!data)
		return check_io(errno == ENOENT, "read", name, error);
	if (check_frame(data->data, data->len) != data->len ||
	    !codec_decode(proc, data->data + sizeof(struct frame_header),
			  data->len - sizeof(struct frame_header), value, size))
		return set_corrupt_error(error, name, "checksum does not match");
	return true;
}

/// Decodes the file of an earlier build, which is one frame.
static bool decode_old_snapshot(const guint8 *payload, gsize len, struct raft_image *out)
{
	raft_snapshot old;
	g_autoptr(GBytes) data = NULL;
	bool ok;

	if (!codec_decode(CODEC_PROC(raft_snapshot), payload, len, &old, sizeof(old)))
		return false;
	data = g_bytes_new(old.data.sw_blob_val, old.data.sw_blob_len);
	ok = raft_image_init(out, old.index, old.term, &old.members, data);
	codec_free(CODEC_PROC(raft_snapshot), &old);
	return ok;
}

/// Decodes a snapshot file whose first frame has @p frame_len bytes.
static bool decode_snapshot(GBytes *file, gsize frame_len, struct raft_image *out)
{
	gsize len;
	const guint8 *bytes = g_bytes_get_data(file, &len);
	const guint8 *payload = bytes + sizeof(struct frame_header);
	gsize size = len - frame_len;
	raft_snapshot_head head;
	bool ok;

	if (!codec_decode(CODEC_PROC(raft_snapshot_head), payload,
			  frame_len - sizeof(struct frame_header), &head, sizeof(head)))
		return !size &&
		       decode_old_snapshot(payload, len - sizeof(struct frame_header), out);
	ok = head.size == size && XXH64(bytes + frame_len, size, size) == head.hash;
	if (ok) {
		g_autoptr(GBytes) data = g_bytes_new_from_bytes(file, frame_len, size);

		ok = raft_image_init(out, head.index, head.term, &head.members, data);
	}
	codec_free(CODEC_PROC(raft_snapshot_head), &head);
	return ok;
}

static bool read_snapshot(const struct storage *s, struct raft_image *out, GError **error)
{
	GByteArray *contents = s->fs.ops->read(s->fs.ctx, SNAPSHOT_NAME);
	g_autoptr(GBytes) file = NULL;
	gsize frame_len;

	if (!contents)
		return check_io(errno == ENOENT, "read", SNAPSHOT_NAME, error);
	file = g_byte_array_free_to_bytes(contents);
	frame_len = check_frame(g_bytes_get_data(file, NULL), g_bytes_get_size(file));
	if (!frame_len || !decode_snapshot(file, frame_len, out))
		return set_corrupt_error(error, SNAPSHOT_NAME, "checksum does not match");
	return true;
}

/// Replaces a file atomically with one frame: writes and syncs a temporary file and renames it.
static bool write_whole_file(struct storage *s, const char *temporary, const char *name,
			     xdrproc_t proc, const void *value, GError **error)
{
	g_autoptr(GByteArray) frame = encode_frame(proc, value);

	if (!frame)
		return set_encoding_error(error, name);
	return remove_file(s, temporary, error) &&
	       append_bytes(s, temporary, frame->data, frame->len, error) &&
	       sync_file(s, temporary, error) && rename_file(s, temporary, name, error) &&
	       sync_dir(s, error);
}

/* Recovery. */

/// Adds the records of a frame. Each record replaces those from its index on, as a new leader may
/// have overwritten uncommitted records. A gap is allowed where the snapshot covers it, because a
/// power loss may undo the removal of some of the segments that a snapshot replaced.
static bool add_records(const raft_frame *frame, const char *name, uint64_t snapshot_index,
			GPtrArray *records, struct segment *segment, GError **error)
{
	for (u_int i = 0; i < frame->records.records_len; i++) {
		const raft_record *from = &frame->records.records_val[i];
		struct raft_log_record *record;
		uint64_t first = records->len ? ((struct raft_log_record *)records->pdata[0])->index
					      : from->index;
		uint64_t next = first + records->len;

		if (from->index > next && from->index <= snapshot_index + 1) {
			g_ptr_array_set_size(records, 0);
			first = from->index;
		} else if (from->index > next ||
			   (!records->len && from->index > snapshot_index + 1)) {
			return set_corrupt_error(error, name, "gap in the record indexes");
		}
		g_ptr_array_set_size(records,
				     from->index < first ? 0 : (gint)(from->index - first));
		record = g_new0(struct raft_log_record, 1);
		record->index = from->index;
		record->term = from->term;
		record->command = g_bytes_new(from->command.sw_blob_val, from->command.sw_blob_len);
		g_ptr_array_add(records, record);
		segment->last = MAX(segment->last, from->index);
	}
	return true;
}

/// Returns true if a valid frame follows a bad one. Each frame is synced before the next one is
/// written, so a bad frame before a valid one is corruption and not an interrupted write.
static bool valid_frame_follows(const guint8 *data, gsize len)
{
	const guint32 magic = GUINT32_TO_BE(FRAME_MAGIC);

	for (gsize i = 1; i + sizeof(struct frame_header) <= len; i++)
		if (memcmp(data + i, &magic, sizeof(magic)) == 0 && check_frame(data + i, len - i))
			return true;
	return false;
}

/// Loads a segment. A bad frame at its end is passed over: its write was interrupted, or a copy of
/// it starts the next segment.
static bool load_segment(struct storage *s, const char *name, uint64_t snapshot_index,
			 GPtrArray *records, GError **error)
{
	g_autoptr(GByteArray) data = s->fs.ops->read(s->fs.ctx, name);
	struct segment *segment = g_new0(struct segment, 1);
	gsize at = 0;

	segment->name = g_strdup(name);
	g_ptr_array_add(s->segments, segment);
	if (!data)
		return check_io(false, "read", name, error);
	while (at < data->len) {
		gsize size = check_frame(data->data + at, data->len - at);
		raft_frame frame;
		bool ok;

		if (!size)
			break;
		if (!codec_decode(CODEC_PROC(raft_frame),
				  data->data + at + sizeof(struct frame_header),
				  size - sizeof(struct frame_header), &frame, sizeof(frame)))
			return set_corrupt_error(error, name, "malformed frame");
		ok = add_records(&frame, name, snapshot_index, records, segment, error);
		if (frame.records.records_len)
			s->last_index =
				frame.records.records_val[frame.records.records_len - 1].index;
		codec_free(CODEC_PROC(raft_frame), &frame);
		if (!ok)
			return false;
		g_clear_pointer(&s->last_frame, g_byte_array_unref);
		s->last_frame = g_byte_array_new();
		g_byte_array_append(s->last_frame, data->data + at, size);
		at += size;
	}
	if (at < data->len && valid_frame_follows(data->data + at, data->len - at))
		return set_corrupt_error(error, name, "corrupt frame before the end of the log");
	segment->size = at;
	segment->is_unknown = at < data->len;
	return true;
}

static bool load_segments(struct storage *s, uint64_t snapshot_index, GPtrArray *records,
			  GError **error)
{
	g_auto(GStrv) names = s->fs.ops->list(s->fs.ctx);
	const struct segment *bad = NULL;

	if (!names)
		return check_io(false, "list", "directory", error);
	for (int i = 0; names[i]; i++) {
		struct segment *segment;

		if (!g_str_has_prefix(names[i], SEGMENT_PREFIX))
			continue;
		if (!load_segment(s, names[i], snapshot_index, records, error))
			return false;
		segment = s->segments->pdata[s->segments->len - 1];
		if (bad && !segment->size)
			return set_corrupt_error(error, bad->name,
						 "corrupt frame before the end of the log");
		bad = segment->is_unknown ? segment : NULL;
		s->sequence = g_ascii_strtoull(names[i] + strlen(SEGMENT_PREFIX), NULL, 16);
	}
	return true;
}

/// Removes the oldest segments, up to the first that holds a record from @p keep_from on or is the
/// only one left.
///
/// @param all remove every segment
static bool drop_segments(struct storage *s, uint64_t keep_from, bool all, GError **error)
{
	bool dropped = false;

	while (s->segments->len > (all ? 0 : 1)) {
		struct segment *oldest = s->segments->pdata[0];

		if (!all && oldest->last >= keep_from)
			break;
		if (!remove_file(s, oldest->name, error))
			return false;
		g_ptr_array_remove_index(s->segments, 0);
		dropped = true;
	}
	return !dropped || sync_dir(s, error);
}

/// Returns true if the records continue the snapshot. They do not if the process ended after it
/// stored a leader's snapshot and before it removed all records that the snapshot replaced.
static bool records_continue_snapshot(const struct raft_recovered *r)
{
	const struct raft_log_record *first = r->records->pdata[0];
	const struct raft_log_record *last = r->records->pdata[r->records->len - 1];
	const struct raft_log_record *at;

	if (last->index < r->snapshot.index)
		return false;
	if (first->index > r->snapshot.index)
		return first->term >= r->snapshot.term;
	at = r->records->pdata[r->snapshot.index - first->index];
	return at->term == r->snapshot.term;
}

static bool load_all(struct storage *s, struct raft_recovered *out, GError **error)
{
	bool has_meta;

	if (!read_whole_file(s, META_NAME, CODEC_PROC(raft_meta), &out->meta, sizeof(out->meta),
			     &has_meta, error) ||
	    !read_snapshot(s, &out->snapshot, error) ||
	    !load_segments(s, out->snapshot.index, out->records, error))
		return false;
	s->snapshot_index = out->snapshot.index;
	if (!has_meta && (out->snapshot.index || out->records->len))
		return set_corrupt_error(error, META_NAME, "missing");
	if (!out->records->len || records_continue_snapshot(out))
		return true;
	g_ptr_array_set_size(out->records, 0);
	s->has_conflict = true;
	return true;
}

static void release_recovered(struct raft_recovered *r)
{
	codec_free(CODEC_PROC(raft_meta), &r->meta);
	raft_image_clear(&r->snapshot);
	g_ptr_array_unref(r->records);
	memset(r, 0, sizeof(*r));
}

struct storage *storage_open(struct fs fs, struct raft_recovered *recovered, GError **error)
{
	struct storage *s = g_new0(struct storage, 1);

	memset(recovered, 0, sizeof(*recovered));
	recovered->records = g_ptr_array_new_with_free_func(raft_log_record_free);
	s->fs = fs;
	s->is_recovered = true;
	s->segments = g_ptr_array_new_with_free_func(segment_free);
	if (load_all(s, recovered, error))
		return s;
	release_recovered(recovered);
	storage_free(s);
	return NULL;
}

void storage_free(struct storage *s)
{
	g_ptr_array_unref(s->segments);
	g_clear_pointer(&s->last_frame, g_byte_array_unref);
	raft_image_clear(&s->writing.image);
	raft_image_clear(&s->next.image);
	g_free(s);
}

/* Writing. */

static char *segment_name(uint64_t sequence)
{
	return g_strdup_printf(SEGMENT_PREFIX "%016" PRIx64, sequence);
}

static struct segment *new_segment(struct storage *s)
{
	struct segment *segment = g_new0(struct segment, 1);

	s->sequence++;
	segment->is_new = true;
	segment->name = segment_name(s->sequence);
	g_ptr_array_add(s->segments, segment);
	return segment;
}

static GByteArray *encode_records(GPtrArray *records, struct segment *segment)
{
	raft_frame frame = {
		.records =
			{
				.records_len = records->len,
				.records_val = g_new0(raft_record, records->len),
			},
	};
	GByteArray *out;

	for (guint i = 0; i < records->len; i++) {
		const struct raft_log_record *from = records->pdata[i];
		raft_record *to = &frame.records.records_val[i];
		gsize len;

		to->index = from->index;
		to->term = from->term;
		to->command.sw_blob_val = (char *)g_bytes_get_data(from->command, &len);
		to->command.sw_blob_len = len;
		segment->last = MAX(segment->last, from->index);
	}
	out = encode_frame(CODEC_PROC(raft_frame), &frame);
	g_free(frame.records.records_val);
	return out;
}

/// Collects the records of the append effects from index @p from on, up to the next effect that
/// stores metadata or a snapshot. They are written as one frame, with one sync.
///
/// @param[out] next index of the effect after them
/// @return records, owned by the effects
static GPtrArray *collect_records(GPtrArray *effects, guint from, guint *next)
{
	GPtrArray *records = g_ptr_array_new();
	guint i;

	for (i = from; i < effects->len && records->len < FRAME_RECORDS_MAX; i++) {
		const struct raft_effect *e = effects->pdata[i];

		if (e->type == RAFT_SAVE_META || e->type == RAFT_SAVE_SNAPSHOT)
			break;
		if (e->type == RAFT_APPEND_LOG)
			for (guint r = 0; r < e->u.records->len; r++)
				g_ptr_array_add(records, e->u.records->pdata[r]);
	}
	*next = i;
	return records;
}

/// Removes what a failed write left in a segment. A sync that follows a failed one may succeed
/// although nothing was written, so all bytes after the synced ones have to be written again.
static bool repair_segment(struct storage *s, struct segment *segment, GError **error)
{
	if (!segment->is_unknown)
		return true;
	if (segment->is_new) {
		if (!remove_file(s, segment->name, error))
			return false;
	} else if (!check_io(s->fs.ops->truncate(s->fs.ctx, segment->name, segment->size),
			     "truncate", segment->name, error) ||
		   !sync_file(s, segment->name, error)) {
		return false;
	}
	segment->is_unknown = false;
	return true;
}

static bool write_frame(struct storage *s, struct segment *segment, const GByteArray *frame,
			GError **error)
{
	segment->is_unknown = true;
	if (!append_bytes(s, segment->name, frame->data, frame->len, error) ||
	    !sync_file(s, segment->name, error) || (segment->is_new && !sync_dir(s, error)))
		return false;
	segment->is_unknown = false;
	segment->is_new = false;
	segment->size += frame->len;
	return true;
}

static bool append_records(struct storage *s, GPtrArray *records, GError **error)
{
	struct segment *segment =
		s->segments->len ? s->segments->pdata[s->segments->len - 1] : NULL;
	g_autoptr(GByteArray) frame = NULL;

	if (segment && !repair_segment(s, segment, error))
		return false;
	if (!segment || segment->size >= SEGMENT_BYTES)
		segment = new_segment(s);
	frame = encode_records(records, segment);
	if (!frame)
		return set_encoding_error(error, segment->name);
	return write_frame(s, segment, frame, error);
}

/// Starts the temporary file of the snapshot to be written.
static bool begin_snapshot(struct storage *s, GError **error)
{
	const struct raft_image *image = &s->writing.image;
	gsize size;
	const void *data = g_bytes_get_data(image->data, &size);
	const raft_snapshot_head head = {
		.index = image->index,
		.term = image->term,
		.members = image->members,
		.size = size,
		.hash = XXH64(data, size, size),
	};
	g_autoptr(GByteArray) frame = encode_frame(CODEC_PROC(raft_snapshot_head), &head);

	s->written = 0;
	if (!frame)
		return set_encoding_error(error, SNAPSHOT_NEW);
	/* The stored snapshot covers these, which makes room for its successor. */
	s->has_begun = drop_segments(s, s->snapshot_index + 1, false, error) &&
		       remove_file(s, SNAPSHOT_NEW, error) &&
		       append_bytes(s, SNAPSHOT_NEW, frame->data, frame->len, error);
	return s->has_begun;
}

/// Puts the snapshot, which has been written whole, in the place of the one before it, and removes
/// the segments that it replaces.
static bool finish_snapshot(struct storage *s, GError **error)
{
	s->has_begun = false;
	if (!sync_file(s, SNAPSHOT_NEW, error) ||
	    !rename_file(s, SNAPSHOT_NEW, SNAPSHOT_NAME, error) || !sync_dir(s, error) ||
	    !drop_segments(s, s->writing.keep_from, s->writing.reset, error))
		return false;
	s->snapshot_index = s->writing.image.index;
	raft_image_clear(&s->writing.image);
	return true;
}

/// Writes the next piece of the snapshot, and after the last one finishes it.
static bool write_piece(struct storage *s, GError **error)
{
	gsize size;
	const guint8 *data = g_bytes_get_data(s->writing.image.data, &size);
	gsize len = MIN(size - s->written, SNAPSHOT_PIECE_BYTES);

	s->has_begun = append_bytes(s, SNAPSHOT_NEW, data + s->written, len, error);
	s->written += len;
	if (!s->has_begun || s->written == size)
		return s->has_begun && finish_snapshot(s, error);
	s->has_begun = sync_file(s, SNAPSHOT_NEW, error);
	return s->has_begun;
}

/// Writes the last frame of the recovered log again, as a new segment that appears whole. If a sync
/// of the frame has failed, another sync of its file would not write it.
static bool copy_last_frame(struct storage *s, GError **error)
{
	struct segment *from = s->segments->pdata[s->segments->len - 1];
	g_autofree char *name = segment_name(s->sequence + 1);
	struct segment *to;

	if (!repair_segment(s, from, error) || !remove_file(s, SEGMENT_NEW, error) ||
	    !append_bytes(s, SEGMENT_NEW, s->last_frame->data, s->last_frame->len, error) ||
	    !sync_file(s, SEGMENT_NEW, error) || !rename_file(s, SEGMENT_NEW, name, error) ||
	    !sync_dir(s, error))
		return false;
	to = new_segment(s);
	to->is_new = false;
	to->size = s->last_frame->len;
	to->last = s->last_index;
	g_clear_pointer(&s->last_frame, g_byte_array_unref);
	if (from->size != to->size || !remove_file(s, from->name, NULL))
		return true;
	g_ptr_array_remove(s->segments, from);
	return true;
}

/// Makes durable what was read at the start, before anything is built on it, and removes files that
/// are not part of it.
static bool sync_recovered(struct storage *s, GError **error)
{
	if (!s->is_recovered)
		return true;
	if (!remove_file(s, SNAPSHOT_NEW, error) || !sync_dir(s, error) ||
	    (s->has_conflict && !drop_segments(s, 0, true, error)) ||
	    (!s->has_conflict && s->last_frame && !copy_last_frame(s, error)))
		return false;
	s->is_recovered = false;
	return true;
}

bool storage_has_work(const struct storage *s)
{
	return s->writing.image.index || s->next.image.index;
}

bool storage_work(struct storage *s, GError **error)
{
	if (!sync_recovered(s, error))
		return false;
	if (s->has_begun)
		return write_piece(s, error);
	if (s->next.image.index) {
		raft_image_clear(&s->writing.image);
		s->writing = s->next;
		s->next = (struct pending_snapshot){0};
	}
	return !s->writing.image.index || begin_snapshot(s, error);
}

/// Stores a snapshot: at once if it is small or replaces all records, otherwise in later calls of
/// storage_work().
static bool write_snapshot(struct storage *s, const struct raft_effect *e, GError **error)
{
	const struct raft_image *image = &e->u.save.snapshot;

	raft_image_clear(&s->next.image);
	if (!image->data || !raft_image_copy(image, &s->next.image))
		return set_encoding_error(error, SNAPSHOT_NAME);
	s->next.keep_from = e->u.save.keep_from;
	s->next.reset = e->u.save.reset;
	if (!e->u.save.reset && g_bytes_get_size(image->data) > SNAPSHOT_PIECE_BYTES)
		return true;
	s->has_begun = false;
	do {
		if (!storage_work(s, error))
			return false;
	} while (s->writing.image.index);
	return true;
}

static bool write_effect(struct storage *s, GPtrArray *effects, guint at, guint *next,
			 GError **error)
{
	const struct raft_effect *e = effects->pdata[at];
	g_autoptr(GPtrArray) records = NULL;

	*next = at + 1;
	switch (e->type) {
	case RAFT_SAVE_META:
		return write_whole_file(s, META_NEW, META_NAME, CODEC_PROC(raft_meta), &e->u.meta,
					error);
	case RAFT_APPEND_LOG:
		records = collect_records(effects, at, next);
		return append_records(s, records, error);
	case RAFT_SAVE_SNAPSHOT:
		return write_snapshot(s, e, error);
	case RAFT_SEND:
		break;
	}
	return true;
}

static gsize log_bytes(const struct storage *s)
{
	gsize bytes = 0;

	for (guint i = 0; i < s->segments->len; i++)
		bytes += ((struct segment *)s->segments->pdata[i])->size;
	return bytes;
}

bool storage_write(struct storage *s, GPtrArray *effects, GError **error)
{
	guint next;

	if (!sync_recovered(s, error))
		return false;
	while (storage_has_work(s) && log_bytes(s) > LOG_BYTES_MAX)
		if (!storage_work(s, error))
			return false;
	for (; s->n_stored < effects->len; s->n_stored = next)
		if (!write_effect(s, effects, s->n_stored, &next, error))
			return false;
	s->n_stored = 0;
	return true;
}
