/// @file
/// Measures the storage of the replicated log: write throughput by the number of records in a
/// synced write, and recovery time by the number of records in the log. Leaves its files in a
/// temporary directory and prints its path.

#include "control/storage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CLAIM_RECORD_BYTES 96 ///< command of a log record that grants a claim
#define MEASURE_S 1.0	      ///< duration of each write measurement

static double now_s(void)
{
	return (double)g_get_monotonic_time() / 1e6;
}

static struct fs fs;

/// Opens the storage in a directory and reads its log. Ends the process on failure.
/// @param recovered set to the state read from disk
static struct storage *open_storage(const char *dir, struct raft_recovered *recovered)
{
	g_autoptr(GError) error = NULL;
	struct storage *s;

	if (!fs_open_dir(&fs, dir))
		g_error("cannot open the directory %s", dir);
	s = storage_open(fs, recovered, &error);
	if (!s)
		g_error("cannot open the storage in %s: %s", dir, error->message);
	return s;
}

/// Appends records in one synced write and advances the index of the last record.
static void write_group(struct storage *s, uint64_t *index, unsigned int records,
			unsigned int bytes)
{
	g_autoptr(GPtrArray) effects = g_ptr_array_new_with_free_func(raft_effect_free);
	struct raft_effect *e = g_new0(struct raft_effect, 1);
	g_autofree char *data = g_malloc0(bytes);

	e->type = RAFT_APPEND_LOG;
	e->u.records = g_ptr_array_new_with_free_func(raft_log_record_free);
	for (unsigned int i = 0; i < records; i++) {
		struct raft_log_record *r = g_new0(struct raft_log_record, 1);

		*r = (struct raft_log_record){
			.index = ++*index,
			.term = 1,
			.command = g_bytes_new(data, bytes),
		};
		g_ptr_array_add(e->u.records, r);
	}
	g_ptr_array_add(effects, e);
	if (!storage_write(s, effects, NULL))
		g_error("cannot write log records");
}

/// Saves the metadata; recovery refuses a log without it.
static void write_meta(struct storage *s)
{
	g_autoptr(GPtrArray) effects = g_ptr_array_new_with_free_func(raft_effect_free);
	struct raft_effect *e = g_new0(struct raft_effect, 1);

	e->type = RAFT_SAVE_META;
	e->u.meta.uid = 1;
	g_ptr_array_add(effects, e);
	storage_write(s, effects, NULL);
}

static char *new_dir_path(const char *base, const char *name)
{
	return g_build_filename(base, name, NULL);
}

static void measure_writes(const char *base, unsigned int records, unsigned int bytes)
{
	g_autofree char *name = g_strdup_printf("group-%u-%u", records, bytes);
	g_autofree char *dir = new_dir_path(base, name);
	struct raft_recovered recovered;
	struct storage *s = open_storage(dir, &recovered);
	uint64_t index = 0;
	unsigned long groups = 0;
	double start_s = now_s();

	while (now_s() - start_s < MEASURE_S) {
		write_group(s, &index, records, bytes);
		groups++;
	}
	printf("records of %4u bytes, %4u a group: %8.0f records/s, %6.0f synced writes/s\n", bytes,
	       records, (double)index / (now_s() - start_s), (double)groups / (now_s() - start_s));
	storage_free(s);
	fs_close_dir(&fs);
}

static void measure_recovery(const char *base, unsigned int records)
{
	g_autofree char *name = g_strdup_printf("recovery-%u", records);
	g_autofree char *dir = new_dir_path(base, name);
	struct raft_recovered recovered;
	struct storage *s = open_storage(dir, &recovered);
	uint64_t index = 0;
	double start_s;

	write_meta(s);
	while (index < records)
		write_group(s, &index, 100, CLAIM_RECORD_BYTES);
	storage_free(s);
	fs_close_dir(&fs);
	start_s = now_s();
	s = open_storage(dir, &recovered);
	printf("recovery of %6u records: %7.1f ms, %u records read\n", records,
	       1000 * (now_s() - start_s), recovered.records->len);
	storage_free(s);
	fs_close_dir(&fs);
}

int main(void)
{
	g_autofree char *base = g_dir_make_tmp("sesamewood-bench-XXXXXX", NULL);
	static const unsigned int group_sizes[] = {1, 8, 64, 512};
	static const unsigned int log_lengths[] = {1000, 10000, 50000, 100000};

	for (size_t i = 0; i < G_N_ELEMENTS(group_sizes); i++) {
		measure_writes(base, group_sizes[i], CLAIM_RECORD_BYTES);
		measure_writes(base, group_sizes[i], 4096);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(log_lengths); i++)
		measure_recovery(base, log_lengths[i]);
	printf("files left in %s\n", base);
	return 0;
}
