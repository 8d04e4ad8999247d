/// @file
/// The executors of a service are cut off for some seconds, one after the other, and are in touch
/// again. After that, jobs must still start.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define EXECUTORS 8
#define LASTING "00000000000000f1"
#define JOB "00000000000000f2"
#define TASK JOB ".0.0.0"
#define CUT_MS 5500
#define GAP_MS 1500
#define CALM_MS 6000
#define FINISH_MS 15000 /* finish_s is 14 s */

static const struct lab_step lasting[] = {{.work_ms = 0}};
static const struct lab_step steps[] = {{.work_ms = 500}};

int main(int argc, char **argv)
{
	const struct lab_settings settings = {.folder = argc > 1 ? argv[1] : ".",
					      .controls = 5,
					      .entries = 2,
					      .executors = EXECUTORS};
	struct lab_answer a;
	bool completed;
	unsigned int running = 0;
	g_autofree char *why = NULL;

	lab_open(&settings);
	lab_know_job(LASTING, lasting);
	lab_know_job(JOB, steps);
	a = lab_client(LAB_PREFIX LASTING,
		       "{\"spec\":\"ledger\",\"phases\":[{\"count\":8,\"cpu\":1000,\"memMb\":512,"
		       "\"estimateMs\":900,\"persistent\":true,\"maxUnavailable\":1}]}");
	lab_record("POST " LAB_PREFIX LASTING " -> %u", a.status);
	if (a.status != 200)
		lab_give_up("the job was not accepted");
	lab_answer_clear(&a);
	lab_run(3000);
	for (unsigned int i = 0; i < EXECUTORS; i++) {
		lab_record("executor %u runs %u tasks", i, lab_runs_on(lab_executor(i)));
		if (lab_trouble())
			lab_executor_cut(lab_executor(i), CUT_MS);
		lab_run(CUT_MS + GAP_MS);
	}
	lab_run(CALM_MS);
	a = lab_client(LAB_PREFIX JOB, "{\"spec\":\"check\",\"phases\":[{\"count\":1,\"cpu\":1000,"
				       "\"memMb\":256,\"estimateMs\":500}]}");
	lab_record("POST " LAB_PREFIX JOB " -> %u", a.status);
	if (a.status != 200)
		lab_give_up("the job was not accepted");
	lab_answer_clear(&a);
	lab_run(FINISH_MS);
	a = lab_client(LAB_PREFIX JOB, NULL);
	lab_record("GET " LAB_PREFIX JOB " -> %u %s", a.status, a.body);
	completed = a.status == 200 && strstr(a.body, "completed");
	lab_answer_clear(&a);
	for (unsigned int i = 0; i < EXECUTORS; i++)
		running += lab_runs_on(lab_executor(i));
	why = g_strdup_printf("a small job %s in %d s; %u of 8 lasting tasks run; %u of %u "
			      "executors are up and in touch",
			      completed ? "is completed" : "is not completed", FINISH_MS / 1000,
			      running, lab_executors_up(), EXECUTORS);
	return lab_close(!completed, why);
}
