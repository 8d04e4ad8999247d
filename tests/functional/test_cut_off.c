/// @file
/// A control replica of the platform's programs that has no contact with the others: it must not
/// hold callers and endpoints that could ask another replica.

#include "harness.h"

#include "base/clock.h"
#include "base/http_client.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#define CONTROL_PORT 8623
#define RPC_PORT 7060
#define HEARTBEAT_MS 500
#define CUT_OFF_MS 2500		/* longer than an election */
#define REQUEST_TIMEOUT_MS 1000 /* of endpoints */
#define REFUSAL_MAX_MS 300	/* three replicas are asked within the time of an endpoint */

static void die_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocess *start_replica(const char *dir, const char *network)
{
	g_autoptr(GSubprocessLauncher) launcher = g_subprocess_launcher_new(
		G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE);
	g_autofree char *path = g_build_filename(dir, "settings", NULL);
	g_autofree char *program =
		g_build_filename(harness_programs(), "sesamewood-platform-control", NULL);
	g_autofree char *settings = g_strdup_printf(
		"nodeName=c1\nip=%s.1\nzone=z\nlisten.control=%s.1:%d\ninternalPorts=%d,%d\n"
		"seeds=%s.1:%d,%s.2:%d,%s.3:%d\nbootstrap=true\ndataDir=%s\nheartbeatMs=%d\n",
		network, network, CONTROL_PORT, RPC_PORT, RPC_PORT + 9, network, CONTROL_PORT,
		network, CONTROL_PORT, network, CONTROL_PORT, dir, HEARTBEAT_MS);

	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", path, TRUE);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	return g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
}

static void test_replica_that_is_cut_off_refuses_at_once(void)
{
	static const char heartbeat[] =
		"{\"backend\":\"p\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":1000,"
		"\"memMb\":1000,\"gpu\":0},\"labels\":[],\"clockMs\":1,\"born\":1,\"sequence\":1}";
	g_autofree char *dir = g_dir_make_tmp("sesamewood-cut-off-XXXXXX", NULL);
	g_autofree char *network =
		g_strdup_printf("127.%d.%d", 64 + getpid() / 250 % 128, 1 + getpid() % 250);
	g_autofree char *url = g_strdup_printf("http://%s.1:%d/api/executors/i-1/heartbeat",
					       network, CONTROL_PORT);
	g_autoptr(GSubprocess) replica = start_replica(dir, network);
	g_autoptr(http_result_t) r = NULL;
	clock_ms_t sent_at;

	g_assert_nonnull(replica);
	g_usleep(CUT_OFF_MS * 1000);
	sent_at = clock_monotonic();
	r = http_client_request("POST", url, NULL, heartbeat, REQUEST_TIMEOUT_MS);
	g_assert_cmpint(r->status, ==, 503);
	g_assert_cmpint(clock_monotonic() - sent_at, <=, REFUSAL_MAX_MS);
	g_subprocess_send_signal(replica, SIGKILL);
	g_subprocess_wait(replica, NULL, NULL);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/cut_off/replica_that_is_cut_off_refuses_at_once",
			test_replica_that_is_cut_off_refuses_at_once);
	return g_test_run();
}
