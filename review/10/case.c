/// @file
/// Executors are added to a pool whose queue has a policy. See claim.txt.

#include "world.h"

#include <string.h>

#define EXECUTORS 30
#define ADDED 7 /* a share of 0.233; the site's scale_out: 0.25 */
#define JOBS 320
#define JOB_GAP_MS 75
#define FINISH_MS 14000 /* bounds.finish_s of the settings */

int main(int argc, char **argv)
{
	guint open = 0;

	world.has_advice = true;
	world_begin(argc, argv, EXECUTORS);
	for (guint i = 0; world.trouble && i < ADDED; i++) {
		executor_add();
		sleep_ms(300);
	}
	sleep_ms(WORLD_HEARTBEAT_MS * 2);
	for (guint i = 0; i < JOBS; i++) {
		g_autofree char *id = g_strdup_printf("5c0e7a21d94b%04x", i);

		client_submit(id, "ms=300",
			      "[{\"count\":1,\"cpu\":1800,\"memMb\":3600,\"estimateMs\":300}]");
		sleep_ms(JOB_GAP_MS);
	}
	sleep_ms(FINISH_MS);
	for (guint i = 0; i < JOBS; i++) {
		g_autofree char *id = g_strdup_printf("5c0e7a21d94b%04x", i);
		g_autofree char *state = client_state(id);

		if (g_strcmp0(state, "completed") == 0)
			continue;
		record("job %s is %s", id, state ? state : "without an answer");
		open++;
	}
	record("jobs that have not run: %u of %d; runs at work: %u", open, JOBS,
	       executors_count(""));
	world_end(open ? 1 : 0);
}
