/// @file
/// Cost of the log on disk: records a second by group size, and time to recover by length.

#include "control/storage.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CLAIM_BYTES 96
#define GROUP_RUN_S 1.0

static double now_s(void)
{
	return (double)g_get_monotonic_time() / 1e6;
}

static struct fs fs;

static struct storage *open_storage(const char *folder, struct raft_recovered *recovered)
{
	g_autoptr(GError) error = NULL;
	struct storage *s;

	if (!fs_open_dir(&fs, folder))
		g_error("cannot open %s", folder);
	s = storage_open(fs, recovered, &error);
	if (!s)
		g_error("%s", error->message);
	return s;
}

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
		g_error("cannot write");
}

static void write_meta(struct storage *s)
{
	g_autoptr(GPtrArray) effects = g_ptr_array_new_with_free_func(raft_effect_free);
	struct raft_effect *e = g_new0(struct raft_effect, 1);

	e->type = RAFT_SAVE_META;
	e->u.meta.uid = 1;
	g_ptr_array_add(effects, e);
	storage_write(s, effects, NULL);
}

static char *new_folder(const char *base, const char *name)
{
	return g_build_filename(base, name, NULL);
}

static void measure_groups(const char *base, unsigned int records, unsigned int bytes)
{
	g_autofree char *name = g_strdup_printf("group-%u-%u", records, bytes);
	g_autofree char *folder = new_folder(base, name);
	struct raft_recovered recovered;
	struct storage *s = open_storage(folder, &recovered);
	uint64_t index = 0;
	unsigned long groups = 0;
	double from = now_s();

	while (now_s() - from < GROUP_RUN_S) {
		write_group(s, &index, records, bytes);
		groups++;
	}
	printf("records of %4u bytes, %4u a group: %8.0f records/s, %6.0f synced writes/s\n", bytes,
	       records, (double)index / (now_s() - from), (double)groups / (now_s() - from));
	storage_free(s);
	fs_close_dir(&fs);
}

static void measure_recovery(const char *base, unsigned int records)
{
	g_autofree char *name = g_strdup_printf("recovery-%u", records);
	g_autofree char *folder = new_folder(base, name);
	struct raft_recovered recovered;
	struct storage *s = open_storage(folder, &recovered);
	uint64_t index = 0;
	double from;

	write_meta(s);
	while (index < records)
		write_group(s, &index, 100, CLAIM_BYTES);
	storage_free(s);
	fs_close_dir(&fs);
	from = now_s();
	s = open_storage(folder, &recovered);
	printf("recovery of %6u records: %7.1f ms, %u records read\n", records,
	       1000 * (now_s() - from), recovered.records->len);
	storage_free(s);
	fs_close_dir(&fs);
}

int main(void)
{
	g_autofree char *base = g_dir_make_tmp("sesamewood-bench-XXXXXX", NULL);
	static const unsigned int groups[] = {1, 8, 64, 512};
	static const unsigned int lengths[] = {1000, 10000, 50000, 100000};

	for (size_t i = 0; i < G_N_ELEMENTS(groups); i++) {
		measure_groups(base, groups[i], CLAIM_BYTES);
		measure_groups(base, groups[i], 4096);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(lengths); i++)
		measure_recovery(base, lengths[i]);
	printf("files left in %s\n", base);
	return 0;
}
