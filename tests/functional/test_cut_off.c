/// @file
/// A control replica of the platform's programs that has no contact with the others: it must not
/// hold callers and endpoints that could ask another replica.

#include "harness.h"
#include "replicas.h"

#include "base/clock.h"

#define HEARTBEAT_MS 500
#define CUT_OFF_MS 2500		/* longer than an election */
#define REQUEST_TIMEOUT_MS 1000 /* of endpoints */
#define REFUSAL_MAX_MS 300	/* three replicas are asked within the time of an endpoint */

static void test_replica_that_is_cut_off_refuses_at_once(void)
{
	struct replicas *replicas = replicas_start(1, HEARTBEAT_MS);
	clock_ms_t sent_at;

	g_usleep(CUT_OFF_MS * 1000);
	sent_at = clock_monotonic();
	g_assert_cmpint(replicas_send_heartbeat(replicas, 0, "i-1", REQUEST_TIMEOUT_MS), ==, 503);
	g_assert_cmpint(clock_monotonic() - sent_at, <=, REFUSAL_MAX_MS);
	replicas_free(replicas);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut_off/replica_that_is_cut_off_refuses_at_once",
			test_replica_that_is_cut_off_refuses_at_once);
	return g_test_run();
}
