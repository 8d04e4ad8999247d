/// @file
/// An executor stops responding for good while it runs a task that saves checkpoints. The task must
/// be started again elsewhere.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define JOB "00000000000000d7"
#define TASK JOB ".0.0.0"
#define WORK_MS 6000
#define SAVED_CHARS 300
#define END_MS 45000

static const struct lab_step steps[] = {{.work_ms = WORK_MS, .saved_chars = SAVED_CHARS}};

static bool runs(void *ctx)
{
	(void)ctx;
	return lab_executor_running(TASK);
}

int main(int argc, char **argv)
{
	const struct lab_settings settings = {
		.folder = argc > 1 ? argv[1] : ".", .controls = 5, .entries = 2, .executors = 8};
	clock_ms_t end;
	struct lab_answer a;
	bool completed = false;
	g_autofree char *why = NULL;

	lab_open(&settings);
	lab_know_job(JOB, steps, 1);
	a = lab_client(LAB_PREFIX JOB,
		       "{\"spec\":\"plan\",\"phases\":[{\"count\":4,\"cpu\":2000,\"memMb\":512,"
		       "\"estimateMs\":6000,\"checkpointable\":true}]}");
	lab_record("POST " LAB_PREFIX JOB " -> %u", a.status);
	if (a.status != 200 || !lab_wait(runs, NULL, 5000))
		lab_give_up("the job was not accepted and started");
	lab_answer_clear(&a);
	lab_run(3000);
	if (lab_trouble())
		lab_executor_crash(lab_executor_running(TASK), 2000);
	end = clock_monotonic() + END_MS;
	while (!completed && clock_monotonic() < end) {
		lab_run(1000);
		a = lab_client(LAB_PREFIX JOB, NULL);
		lab_record("GET " LAB_PREFIX JOB " -> %u %s", a.status, a.body);
		completed = a.status == 200 && strstr(a.body, "completed");
		lab_answer_clear(&a);
	}
	why = g_strdup_printf("the job %s; its task %s; %u of 8 executors are up",
			      completed ? "is completed" : "is not completed",
			      lab_executor_running(TASK) ? "runs" : "does not run",
			      lab_executors_up());
	return lab_close(!completed, why);
}
