/// @file
/// Empty executors are added to a service. Jobs of a queue with advice must still start: each may
/// run on two of the executors.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define EXECUTORS 37
#define ADDED 7 /* 0.23 of 30 */
#define JOBS 74
#define TASK_MS 500
#define FINISH_MS 30000

static const struct lab_step steps[] = {{.work_ms = TASK_MS}};

static char *path_of(unsigned int i)
{
	return g_strdup_printf(LAB_PREFIX "%016x", i + 1);
}

static unsigned int ask_jobs(void)
{
	unsigned int completed = 0;

	for (unsigned int i = 0; i < JOBS; i++) {
		g_autofree char *path = path_of(i);
		struct lab_answer a = lab_client(path, NULL);

		if (a.status == 200 && strstr(a.body, "completed"))
			completed++;
		else
			lab_record("GET %s -> %u %s", path, a.status, a.body);
		lab_answer_clear(&a);
	}
	return completed;
}

int main(int argc, char **argv)
{
	const struct lab_settings settings = {.folder = argc > 1 ? argv[1] : ".",
					      .controls = 5,
					      .entries = 2,
					      .executors = EXECUTORS,
					      .executors_added = ADDED,
					      .advice = true};
	unsigned int completed;
	clock_ms_t end;
	g_autofree char *why = NULL;

	lab_open(&settings);
	if (lab_trouble())
		lab_add_executors();
	lab_run(4000);
	for (unsigned int i = 0; i < JOBS; i++) {
		g_autofree char *path = path_of(i);
		struct lab_answer a;

		lab_know_job(path + strlen(LAB_PREFIX), steps);
		a = lab_client(path, "{\"spec\":\"check\",\"phases\":[{\"count\":2,\"cpu\":1000,"
				     "\"memMb\":256,\"estimateMs\":500}]}");
		lab_record("POST %s -> %u", path, a.status);
		if (a.status != 200)
			lab_give_up("a job was not accepted");
		lab_answer_clear(&a);
		lab_run(150);
	}
	end = clock_monotonic() + FINISH_MS;
	do {
		lab_run(2000);
		completed = ask_jobs();
	} while (completed < JOBS && clock_monotonic() < end);
	why = g_strdup_printf("%u of %u jobs are completed; %u of %u executors are up", completed,
			      JOBS, lab_executors_up(), EXECUTORS);
	return lab_close(completed < JOBS, why);
}
