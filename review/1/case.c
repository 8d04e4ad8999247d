/// @file
/// Many scheduled jobs are accepted; then all core processes are killed at the same moment and are
/// back within a second. What was accepted must still be known.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define JOBS 8300
#define SPEC_BYTES 2300
#define AT_A_TIME 48
#define SUBMIT_MS 60000
#define DAY_MS (24 * 3600 * 1000LL)
#define ASKED 20
#define RECOVER_MS 12000 /* recoverS */
#define FINISH_MS 14000	 /* finish_s */

static char *path_of(unsigned int i)
{
	return g_strdup_printf(LAB_PREFIX "%016x", i + 1);
}

static void submit(unsigned int i, unsigned int *done)
{
	g_autofree char *path = path_of(i);
	g_autofree char *spec = g_strnfill(SPEC_BYTES, (char)('a' + i % 26));
	g_autofree char *body = g_strdup_printf(
		"{\"spec\":\"%s\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":256,"
		"\"estimateMs\":500}],\"times\":1,\"firstMs\":%lld,\"intervalMs\":60000}",
		spec, (long long)(clock_wall() + DAY_MS));

	lab_submit_in_background(path, body, done);
}

/// @return number of the asked jobs that are shown, as jobs that wait for their time
static unsigned int ask_jobs(unsigned int n_jobs)
{
	unsigned int known = 0;

	for (unsigned int i = 0; i < ASKED; i++) {
		g_autofree char *path = path_of(i * (n_jobs / ASKED));
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
		.folder = argc > 1 ? argv[1] : ".", .controls = 5, .entries = 2, .executors = 4};
	clock_ms_t end;
	unsigned int done = 0;
	unsigned int sent = 0;
	unsigned int known = 0;
	bool config = false;
	g_autofree char *why = NULL;

	lab_open(&settings);
	end = clock_monotonic() + SUBMIT_MS;
	while (done < JOBS && clock_monotonic() < end) {
		while (sent < JOBS && sent - done < AT_A_TIME)
			submit(sent++, &done);
		lab_run(2);
	}
	lab_record("%u jobs sent, %u accepted with 200", sent, done);
	if (done < JOBS)
		lab_give_up("the jobs were not accepted in time");
	lab_run(3000);
	if (ask_jobs(JOBS) != ASKED || !config_is_read())
		lab_give_up("accepted jobs are not shown before the disruption");
	if (lab_trouble()) {
		lab_kill_all_controls();
		lab_run(600);
		lab_start_all_controls();
	}
	lab_run(RECOVER_MS);
	end = clock_monotonic() + FINISH_MS;
	do {
		config = config || config_is_read();
		known = ask_jobs(JOBS);
		lab_run(1000);
	} while ((known < ASKED || !config) && clock_monotonic() < end);
	why = g_strdup_printf("%u of %u accepted jobs are known, configuration %s; processes ended "
			      "by themselves %u times",
			      known, ASKED, config ? "read" : "not readable",
			      lab_ends_of_their_own());
	return lab_close(known < ASKED || !config, why);
}
