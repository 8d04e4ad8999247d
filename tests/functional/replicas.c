#include "replicas.h"

#include "harness.h"

#include "base/http_client.h"

#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#define CONTROL_PORT 8623
#define RPC_PORT 7060

static void die_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocess *start_replica(const struct replicas *r, unsigned int i,
				  unsigned int heartbeat_ms)
{
	g_autoptr(GSubprocessLauncher) launcher = g_subprocess_launcher_new(
		G_SUBPROCESS_FLAGS_STDOUT_SILENCE | G_SUBPROCESS_FLAGS_STDERR_SILENCE);
	g_autofree char *name = g_strdup_printf("c%u", i + 1);
	g_autofree char *data = g_build_filename(r->dir, name, NULL);
	g_autofree char *path = g_strconcat(data, ".settings", NULL);
	g_autofree char *program =
		g_build_filename(harness_programs(), "sesamewood-platform-control", NULL);
	const char *net = r->network;
	g_autofree char *settings = g_strdup_printf(
		"nodeName=%s\nip=%s.%u\nzone=z\nlisten.control=%s.%u:%d\ninternalPorts=%d,%d\n"
		"seeds=%s.1:%d,%s.2:%d,%s.3:%d\nbootstrap=true\ndataDir=%s\nheartbeatMs=%u\n",
		name, net, i + 1, net, i + 1, CONTROL_PORT, RPC_PORT, RPC_PORT + 9, net,
		CONTROL_PORT, net, CONTROL_PORT, net, CONTROL_PORT, data, heartbeat_ms);
	GSubprocess *process;

	g_assert_cmpint(g_mkdir_with_parents(data, 0700), ==, 0);
	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", path, TRUE);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	process = g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
	g_assert_nonnull(process);
	return process;
}

struct replicas *replicas_start(unsigned int n, unsigned int heartbeat_ms)
{
	struct replicas *r = g_new0(struct replicas, 1);

	r->dir = g_dir_make_tmp("sesamewood-replicas-XXXXXX", NULL);
	r->network = g_strdup_printf("127.%d.%d", 64 + getpid() / 250 % 128, 1 + getpid() % 250);
	for (unsigned int i = 0; i < n; i++)
		r->processes[i] = start_replica(r, i, heartbeat_ms);
	return r;
}

void replicas_free(struct replicas *r)
{
	for (unsigned int i = 0; i < REPLICAS_SEEDS; i++) {
		if (!r->processes[i])
			continue;
		g_subprocess_send_signal(r->processes[i], SIGKILL);
		g_subprocess_wait(r->processes[i], NULL, NULL);
		g_object_unref(r->processes[i]);
	}
	g_free(r->dir);
	g_free(r->network);
	g_free(r);
}

char *replicas_url(const struct replicas *r, unsigned int i, const char *path)
{
	return g_strdup_printf("http://%s.%u:%d%s", r->network, i + 1, CONTROL_PORT, path);
}

long replicas_send_heartbeat(const struct replicas *r, unsigned int i, const char *endpoint,
			     long timeout_ms)
{
	static const char heartbeat[] =
		"{\"backend\":\"p\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"version\":\"v\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":1000,"
		"\"memMb\":1000,\"gpu\":0},\"labels\":[],\"clockMs\":1,\"born\":1,\"sequence\":1}";
	g_autofree char *path = g_strdup_printf("/api/executors/%s/heartbeat", endpoint);
	g_autofree char *url = replicas_url(r, i, path);
	g_autoptr(http_result_t) result =
		http_client_request("POST", url, NULL, heartbeat, timeout_ms);

	return result->status;
}
