/// @file
/// Two executors with a gang of two are cut off one after the other, and run on. See claim.txt.

#include "world.h"

#include <string.h>

#define EXECUTORS 12
#define ROUNDS_MAX 12
#define ROUNDS_UNTIL_MS 102000
#define FIRST_CUT_MS                                                                               \
	1500 /* times from the start of the gang; later than the first list of its runs */
#define SECOND_CUT_MS 3700 /* the gang is done at 4,000 ms */
#define FIRST_BACK_MS 6900
#define SECOND_BACK_MS 7600
#define GAP_MS 900   /* for the next leader to hear of the executors */
#define FAULT_ENDS 3 /* "processes end by themselves three times in the day" */

static gint64 began;
static guint unfinished;

static void sleep_until(gint64 at)
{
	while (now_ms() < at)
		sleep_ms(5);
}

static void cut(struct executor *e, enum executor_mode mode)
{
	if (world.trouble)
		executor_set_mode(e, mode);
}

static void play_round(guint number)
{
	g_autofree char *job = g_strdup_printf("5c0e7a21d94b37%02u", number);
	g_autofree char *tasks[] = {g_strconcat(job, ".0.0.0", NULL),
				    g_strconcat(job, ".0.0.1", NULL)};
	g_autofree char *state = NULL;
	struct executor *first;
	struct executor *second;
	gint64 from = now_ms();

	client_submit(job, "ms=4000 gang=2",
		      "[{\"count\":2,\"cpu\":2000,\"memMb\":1000,\"estimateMs\":4000,"
		      "\"gang\":true,\"maxPerServer\":1}]");
	while (executors_count(job) < 2 && now_ms() - from < 5000)
		sleep_ms(5);
	from = now_ms();
	first = executor_running(tasks[0]);
	second = executor_running(tasks[1]);
	if (!first || !second)
		return;
	sleep_until(from + FIRST_CUT_MS);
	cut(first, EXECUTOR_CUT);
	sleep_until(from + SECOND_CUT_MS);
	cut(second, EXECUTOR_CUT);
	sleep_until(from + FIRST_BACK_MS);
	cut(first, EXECUTOR_UP);
	sleep_until(from + SECOND_BACK_MS);
	cut(second, EXECUTOR_UP);
	sleep_ms(GAP_MS);
	state = client_wait(job, 3000);
	unfinished += g_strcmp0(state, "completed") != 0;
}

/// Tells whether processes have ended by themselves three times on half of the core.
static bool is_fault(void)
{
	guint machines = 0;

	for (guint i = 0; i < WORLD_CONTROLS; i++)
		machines += world_ends_of_control(i) >= FAULT_ENDS;
	return machines * 2 >= WORLD_CONTROLS;
}

int main(int argc, char **argv)
{
	began = now_ms();
	world_begin(argc, argv, EXECUTORS);
	for (guint i = 0;
	     i < ROUNDS_MAX && !is_fault() && now_ms() - began < ROUNDS_UNTIL_MS - 8000; i++)
		play_round(i);
	record("processes of the core that ended by themselves: %u, %u and %u times; jobs that "
	       "were "
	       "not completed: %u",
	       world_ends_of_control(0), world_ends_of_control(1), world_ends_of_control(2),
	       unfinished);
	world_end(is_fault() ? 1 : 0);
}
