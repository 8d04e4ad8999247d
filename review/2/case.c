/// @file
/// A draining executor says that it leaves, while what is sent to it is lost. It runs on until it
/// ends without an acknowledgement. Its tasks must not run twice.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define JOB "00000000000000f3"
#define TASK JOB ".0.0.0"
#define WORK_MS 14000
#define DRAIN_MS 2500	       /* drainMs and a little longer */
#define UNACKNOWLEDGED_MS 3000 /* some seconds */
#define CUT_MS 5500

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
	struct lab_executor *e;
	struct lab_answer a;
	g_autofree char *why = NULL;

	lab_open(&settings);
	lab_know_job(JOB, steps, 1);
	a = lab_client(LAB_PREFIX JOB, "{\"spec\":\"plan\",\"phases\":[{\"count\":4,\"cpu\":2000,"
				       "\"memMb\":512,\"estimateMs\":14000}]}");
	lab_record("POST " LAB_PREFIX JOB " -> %u", a.status);
	if (a.status != 200 || !lab_wait(runs, NULL, 5000))
		lab_give_up("the job was not accepted and started");
	lab_answer_clear(&a);
	lab_run(1000);
	e = lab_executor_running(TASK);
	lab_executor_drain(e);
	lab_run(DRAIN_MS);
	if (lab_trouble())
		lab_executor_cut_one_way(e);
	lab_executor_leave(e, UNACKNOWLEDGED_MS);
	lab_run(CUT_MS);
	why = g_strdup_printf("%u starts of a task while it ran on another executor that was up",
			      lab_overlaps());
	return lab_close(lab_overlaps() > 0, why);
}
