/// @file
/// Executors are cut off one at a time and run on, each the one that runs the same lasting task.
/// The job must go on.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define JOB "00000000000000c5"
#define TASK JOB ".0.0.0"
#define CUTS 6
#define BEFORE_MS 3000
#define CUT_MS 5500
#define LAST_MS 10000 /* rule: nothing runs from 6 s after the last run */

static const struct lab_step steps[] = {{.work_ms = 0}};

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
	bool failed = false;
	bool running;
	g_autofree char *why = NULL;

	lab_open(&settings);
	lab_know_job(JOB, steps);
	a = lab_client(LAB_PREFIX JOB,
		       "{\"spec\":\"ledger\",\"phases\":[{\"count\":3,\"cpu\":2000,\"memMb\":512,"
		       "\"estimateMs\":900,\"persistent\":true,\"maxUnavailable\":1}]}");
	lab_record("POST " LAB_PREFIX JOB " -> %u", a.status);
	if (a.status != 200)
		lab_give_up("the job was not accepted");
	lab_answer_clear(&a);
	for (unsigned int i = 0; i < CUTS && !failed; i++) {
		if (!lab_wait(runs, NULL, LAST_MS))
			break;
		lab_run(BEFORE_MS);
		if (lab_trouble() && lab_executor_running(TASK))
			lab_executor_cut(lab_executor_running(TASK), CUT_MS);
		lab_run(CUT_MS);
		a = lab_client(LAB_PREFIX JOB, NULL);
		lab_record("GET " LAB_PREFIX JOB " -> %u %s", a.status, a.body);
		failed = a.status == 200 && strstr(a.body, "failed");
		lab_answer_clear(&a);
	}
	running = lab_wait(runs, NULL, LAST_MS);
	a = lab_client(LAB_PREFIX JOB, NULL);
	lab_record("GET " LAB_PREFIX JOB " -> %u %s", a.status, a.body);
	failed |= a.status == 200 && strstr(a.body, "failed");
	lab_answer_clear(&a);
	why = g_strdup_printf("the job is shown as %s; %u ends of its task were `failed`; the task "
			      "%s; %u of 8 executors are up and in touch",
			      failed ? "failed" : "not failed", lab_count_ends(TASK, "failed"),
			      running ? "runs" : "does not run again", lab_executors_up());
	return lab_close(failed, why);
}
