/// @file
/// Six schedules are accepted, each of one task a minute for six weeks. Ordinary jobs run beside
/// them. Then all core processes are killed at the same moment and are back within a second. What
/// was accepted must still be known.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define SCHEDULES 6
#define TIMES 60000
#define JOBS 1320
#define TASKS 10 /* the mean of the site */
#define SPEC_BYTES 4000
#define TASK_MS 300
#define GAP_MS 45 /* 22 jobs a second, the usual rate of the site */
#define SUBMIT_MS 65000
#define DAY_MS (24 * 3600 * 1000LL)
#define DOWN_MS 600
#define RECOVER_MS 12000 /* recoverS */
#define FINISH_MS 14000	 /* finish_s */

static const struct lab_step steps[] = {{.work_ms = TASK_MS}};

static char *schedule_path(unsigned int i)
{
	return g_strdup_printf(LAB_PREFIX "5c%014x", i);
}

static void submit_schedules(void)
{
	for (unsigned int i = 0; i < SCHEDULES; i++) {
		g_autofree char *path = schedule_path(i);
		g_autofree char *body = g_strdup_printf(
			"{\"spec\":\"tally\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,"
			"\"estimateMs\":500}],\"times\":%d,\"firstMs\":%lld,\"intervalMs\":60000}",
			TIMES, (long long)(clock_wall() + DAY_MS));
		struct lab_answer a = lab_client(path, body);

		lab_record("POST %s -> %u", path, a.status);
		if (a.status != 200)
			lab_give_up("a schedule was not accepted");
		lab_answer_clear(&a);
	}
}

static void submit_job(unsigned int i, unsigned int *done)
{
	g_autofree char *id = g_strdup_printf("a0%014x", i);
	g_autofree char *path = g_strconcat(LAB_PREFIX, id, NULL);
	g_autofree char *spec = g_strnfill(SPEC_BYTES, (char)('a' + i % 26));
	g_autofree char *body = g_strdup_printf(
		"{\"spec\":\"%s\",\"phases\":[{\"count\":%d,\"cpu\":1000,\"memMb\":256,"
		"\"estimateMs\":%d}]}",
		spec, TASKS, TASK_MS);

	lab_know_job(id, steps);
	lab_submit_in_background(path, body, done);
}

/// @return number of the schedules that are shown
static unsigned int ask_schedules(void)
{
	unsigned int known = 0;

	for (unsigned int i = 0; i < SCHEDULES; i++) {
		g_autofree char *path = schedule_path(i);
		struct lab_answer a = lab_client(path, NULL);

		lab_record("GET %s -> %u %s", path, a.status, a.body);
		known += a.status == 200 && strstr(a.body, "pending");
		lab_answer_clear(&a);
	}
	return known;
}

static bool config_is_read(void)
{
	struct lab_answer a = lab_operator(1, "/api/config/read", NULL);
	bool ok = a.status == 200 && strstr(a.body, "\"version\":1");

	lab_record("GET /api/config/read -> %u", a.status);
	lab_answer_clear(&a);
	return ok;
}

int main(int argc, char **argv)
{
	const struct lab_settings settings = {
		.folder = argc > 1 ? argv[1] : ".", .controls = 5, .entries = 2, .executors = 8};
	clock_ms_t from;
	clock_ms_t end;
	unsigned int done = 0;
	unsigned int sent = 0;
	unsigned int known = 0;
	bool config = false;
	g_autofree char *why = NULL;

	lab_open(&settings);
	submit_schedules();
	from = clock_monotonic();
	while (done < JOBS && clock_monotonic() - from < SUBMIT_MS) {
		while (sent < JOBS && sent < (clock_monotonic() - from) / GAP_MS)
			submit_job(sent++, &done);
		lab_run(5);
	}
	lab_run(5000);
	lab_record("%u jobs accepted, %u tasks started", done, lab_starts());
	if (ask_schedules() != SCHEDULES || !config_is_read())
		lab_give_up("accepted schedules are not shown before the disruption");
	if (lab_trouble()) {
		lab_kill_all_controls();
		lab_run(DOWN_MS);
		lab_start_all_controls();
	}
	lab_run(RECOVER_MS);
	end = clock_monotonic() + FINISH_MS;
	do {
		config = config || config_is_read();
		known = ask_schedules();
		lab_run(1000);
	} while ((known < SCHEDULES || !config) && clock_monotonic() < end);
	why = g_strdup_printf("%u of %u accepted schedules are known, configuration %s; processes "
			      "ended by themselves %u times",
			      known, SCHEDULES, config ? "read" : "not readable",
			      lab_ends_of_their_own());
	return lab_close(known < SCHEDULES || !config, why);
}
