/// @file
/// Another writer sends a heartbeat of a service that is not named in the configuration, with the
/// address of an executor. The executor must hold, and its tasks must not run twice.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define JOB "00000000000000b2"
#define TASK JOB ".0.0.0"
#define WORK_MS 9000
#define BEFORE_MS 2500
#define AFTER_MS 6000

static const struct lab_step steps[] = {{.work_ms = WORK_MS}};

static bool runs(void *ctx)
{
	(void)ctx;
	return lab_executor_running(TASK);
}

int main(int argc, char **argv)
{
	const struct lab_settings settings = {
		.folder = argc > 1 ? argv[1] : ".", .controls = 5, .entries = 2, .executors = 8};
	struct lab_answer a;
	g_autofree char *why = NULL;

	lab_open(&settings);
	lab_know_job(JOB, steps);
	a = lab_client(LAB_PREFIX JOB, "{\"spec\":\"plan\",\"phases\":[{\"count\":4,\"cpu\":2000,"
				       "\"memMb\":512,\"estimateMs\":9000}]}");
	lab_record("POST " LAB_PREFIX JOB " -> %u", a.status);
	if (a.status != 200 || !lab_wait(runs, NULL, 5000))
		lab_give_up("the job was not accepted and started");
	lab_answer_clear(&a);
	lab_run(BEFORE_MS);
	if (lab_trouble())
		lab_foreign_heartbeat(lab_executor_running(TASK), "elsewhere");
	lab_run(AFTER_MS);
	why = g_strdup_printf("%u starts of a task while it ran on another executor that was up",
			      lab_overlaps());
	return lab_close(lab_overlaps() > 0, why);
}
