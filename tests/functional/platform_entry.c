#include "platform_entry.h"

#include "harness.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <unistd.h>

char *platform_entry_network(void)
{
	return g_strdup_printf("127.%d.%d", 200 + getpid() / 250 % 50, 1 + getpid() % 250);
}

pid_t platform_entry_start_control(const char *network, rpc_handler_fn on_call)
{
	g_autofree char *address = g_strdup_printf("%s.1:%d", network, PLATFORM_ENTRY_RPC_PORT);
	pid_t pid = fork();
	struct ev_loop *loop;

	g_assert_cmpint(pid, >=, 0);
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL); /* also if the test aborts */
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	if (!rpc_server_new(loop, address, on_call, loop))
		_exit(EXIT_FAILURE);
	ev_run(loop, 0);
	_exit(EXIT_SUCCESS);
}

/// A test that aborts leaves no process behind.
static void end_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

GSubprocess *platform_entry_start(const char *dir, const char *network, unsigned int grace_s)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_autofree char *program =
		g_build_filename(harness_programs(), "sesamewood-platform-entry", NULL);
	g_autofree char *path = g_build_filename(dir, "entry.conf", NULL);
	g_autofree char *log = g_build_filename(dir, "entry.log", NULL);
	g_autofree char *settings = g_strdup_printf(
		"nodeName=entry\nip=%s.2\nlisten.front=%s.2:%d\nlisten.ready=%s.2:%d\n"
		"internalPorts=%d,%d\nseeds=%s.1:8623\nbounds.graceS=%u\n",
		network, network, PLATFORM_ENTRY_FRONT_PORT, network, PLATFORM_ENTRY_READY_PORT,
		PLATFORM_ENTRY_RPC_PORT, PLATFORM_ENTRY_RPC_PORT + 9, network, grace_s);
	GSubprocess *process;

	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	g_subprocess_launcher_set_child_setup(launcher, end_with_parent, NULL, NULL);
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", path, TRUE);
	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	process = g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
	g_assert_nonnull(process);
	return process;
}
