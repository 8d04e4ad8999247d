/// @file
/// Guards against programs of the platform that do not start beside what an earlier process still
/// holds, or that end without a line that says why.

#include "harness.h"

#include "base/listener.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#define CONTROL_PORT 8623
#define FRONT_PORT 8624
#define READY_PORT 8622
#define RPC_PORT 7060
#define GRACE_MS 6000
#define START_MAX_MS 5000 /* without anything to wait for */
#define WAIT_MAX_MS 15000 /* longer than any wait of a start */
#define HELD_MS 1000	  /* less than the grace time */
#define REQUEST_TIMEOUT_MS 1000
#define BODY_BYTES 15000 /* below the size from which bodies have pages of their own */
#define BODIES 200	 /* together they take far more than the heap has left */
#define SIGNAL_STEP_MS 5
#define SIGNAL_LAST_MS 100

enum role { CONTROL, ENTRY };

static const char *const programs[] = {"sesamewood-platform-control", "sesamewood-platform-entry"};

/// Files and address of the processes of one test.
struct node {
	char *dir;
	char *ip;
	char *settings; ///< path of the settings file
	unsigned int logs;
};

struct process {
	GSubprocess *process;
	char *log; ///< path
};

static void die_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static struct node *node_new(void)
{
	static unsigned int nodes;
	struct node *n = g_new0(struct node, 1);
	unsigned int id = (unsigned int)getpid() + nodes++ * 251;

	n->dir = g_dir_make_tmp("sesamewood-start-XXXXXX", NULL);
	n->ip = g_strdup_printf("127.%u.%u.1", 192 + id / 250 % 60, 1 + id % 250);
	n->settings = g_build_filename(n->dir, "settings", NULL);
	return n;
}

static void node_free(struct node *n)
{
	g_autofree char *command = g_strdup_printf("rm -rf %s", n->dir);

	if (!g_test_failed())
		g_spawn_command_line_sync(command, NULL, NULL, NULL, NULL);
	g_free(n->dir);
	g_free(n->ip);
	g_free(n->settings);
	g_free(n);
}

static char *settings_text(const struct node *n)
{
	return g_strdup_printf(
		"nodeName=n1\nip=%s\nzone=z\nlisten.control=%s:%d\nlisten.front=%s:%d\n"
		"listen.ready=%s:%d\ninternalPorts=%d,%d\nbootstrap=true\nheartbeatMs=500\n"
		"bounds.graceS=%d\nseeds=%s:%d\ndataDir=%s/data\n",
		n->ip, n->ip, CONTROL_PORT, n->ip, FRONT_PORT, n->ip, READY_PORT, RPC_PORT,
		RPC_PORT + 9, GRACE_MS / 1000, n->ip, CONTROL_PORT, n->dir);
}

static void write_settings(const struct node *n)
{
	g_autofree char *text = settings_text(n);

	g_assert_true(g_file_set_contents(n->settings, text, -1, NULL));
}

static struct process launch(struct node *n, enum role role, GSubprocessLauncher *launcher)
{
	g_autofree char *program = g_build_filename(harness_programs(), programs[role], NULL);
	struct process p = {.log = g_strdup_printf("%s/log-%u", n->dir, n->logs++)};

	g_subprocess_launcher_set_stdout_file_path(launcher, p.log);
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", n->settings, TRUE);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	p.process = g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
	g_assert_nonnull(p.process);
	return p;
}

static struct process start(struct node *n, enum role role)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);

	return launch(n, role, launcher);
}

static void process_signal(struct process *p, int signal)
{
	g_subprocess_send_signal(p->process, signal);
}

static pid_t pid_of(const struct process *p)
{
	return (pid_t)g_ascii_strtoull(g_subprocess_get_identifier(p->process), NULL, 10);
}

static bool logged(const struct process *p, const char *text)
{
	g_autofree char *log = NULL;

	return g_file_get_contents(p->log, &log, NULL, NULL) && strstr(log, text);
}

static bool has_ended(const struct process *p)
{
	return !g_subprocess_get_identifier(p->process);
}

/// Lets GLib take note of ended processes.
static bool poll_ended(const struct process *p)
{
	g_main_context_iteration(NULL, FALSE);
	return has_ended(p);
}

/// Waits until the process serves, or has ended.
static bool becomes_started(const struct process *p, clock_ms_t max_ms)
{
	return harness_wait_until(logged(p, "\"message\":\"started\"") || poll_ended(p), max_ms) &&
	       logged(p, "\"message\":\"started\"") && !poll_ended(p);
}

/// Waits for the end.
///
/// @return exit status, or the negative number of the signal that ended it
static int end_of(struct process *p)
{
	g_assert_true(harness_wait_until(poll_ended(p), WAIT_MAX_MS));
	return g_subprocess_get_if_exited(p->process) ? g_subprocess_get_exit_status(p->process)
						      : -g_subprocess_get_term_sig(p->process);
}

static void kill_and_clear(struct process *p)
{
	process_signal(p, SIGKILL);
	g_subprocess_wait(p->process, NULL, NULL);
	g_clear_object(&p->process);
	g_clear_pointer(&p->log, g_free);
}

static void check_successor(enum role role, int signal, bool killed_later)
{
	struct node *n = node_new();
	struct process earlier;
	struct process later;

	write_settings(n);
	earlier = start(n, role);
	g_assert_true(becomes_started(&earlier, START_MAX_MS));
	process_signal(&earlier, signal);
	later = start(n, role);
	if (killed_later) {
		g_usleep(HELD_MS * 1000);
		process_signal(&earlier, SIGKILL);
	}
	g_assert_true(becomes_started(&later, WAIT_MAX_MS));
	kill_and_clear(&earlier);
	kill_and_clear(&later);
	node_free(n);
}

static void test_control_starts_right_after_kill(void)
{
	for (int i = 0; i < 10; i++)
		check_successor(CONTROL, SIGKILL, false);
}

/// The earlier process holds the lock of the data directory and the addresses for a while.
static void test_control_starts_beside_stuck_predecessor(void)
{
	check_successor(CONTROL, SIGSTOP, true);
}

static void test_control_starts_beside_stopping_predecessor(void)
{
	check_successor(CONTROL, SIGTERM, false);
}

static void test_entry_starts_beside_stopping_predecessor(void)
{
	check_successor(ENTRY, SIGTERM, false);
}

/// Requests at a successor's address must not go to an earlier process that does not answer.
static void test_entry_does_not_share_its_address(void)
{
	struct node *n = node_new();
	g_autofree char *url = g_strdup_printf("http://%s:%d/api/ready", n->ip, READY_PORT);
	struct process earlier;
	struct process later;

	write_settings(n);
	earlier = start(n, ENTRY);
	g_assert_true(becomes_started(&earlier, START_MAX_MS));
	process_signal(&earlier, SIGSTOP);
	later = start(n, ENTRY);
	if (!becomes_started(&later, HELD_MS))
		process_signal(&earlier, SIGKILL);
	g_assert_true(becomes_started(&later, WAIT_MAX_MS));
	for (int i = 0; i < 20; i++) {
		g_autoptr(GSubprocess) request = g_subprocess_new(
			G_SUBPROCESS_FLAGS_STDOUT_SILENCE, NULL, "timeout", "1", "bash", "-c",
			"exec 3<>/dev/tcp/$0/$1 && printf 'GET /api/ready HTTP/1.0\\r\\n\\r\\n' "
			">&3 "
			"&& head -c 4 <&3",
			n->ip, G_STRINGIFY(READY_PORT), NULL);

		g_assert_true(g_subprocess_wait_check(request, NULL, NULL));
	}
	kill_and_clear(&earlier);
	kill_and_clear(&later);
	node_free(n);
}

static void check_address_in_use(enum role role, int port)
{
	struct node *n = node_new();
	g_autofree char *address = g_strdup_printf("%s:%d", n->ip, port);
	struct process p;
	int fd;

	write_settings(n);
	fd = listener_open(address, 0);
	g_assert_cmpint(fd, >=, 0);
	p = start(n, role);
	g_usleep(HELD_MS * 1000);
	close(fd);
	g_assert_true(becomes_started(&p, WAIT_MAX_MS));
	g_assert_true(logged(&p, "\"message\":\"waiting during the start\""));
	kill_and_clear(&p);
	node_free(n);
}

static void test_address_in_use_is_waited_for(void)
{
	check_address_in_use(CONTROL, RPC_PORT);
	check_address_in_use(CONTROL, CONTROL_PORT);
	check_address_in_use(ENTRY, READY_PORT);
	check_address_in_use(ENTRY, FRONT_PORT);
}

/// No interface has the address yet. A SIGTERM ends the wait.
static void test_unassigned_address_is_waited_for(void)
{
	for (int role = CONTROL; role <= ENTRY; role++) {
		struct node *n = node_new();
		struct process p;

		g_free(n->ip);
		n->ip = g_strdup("192.0.2.1");
		write_settings(n);
		p = start(n, role);
		g_assert_true(harness_wait_until(
			logged(&p, "waiting during the start") || poll_ended(&p), START_MAX_MS));
		g_usleep(HELD_MS * 1000);
		g_assert_false(poll_ended(&p));
		process_signal(&p, SIGTERM);
		g_assert_cmpint(end_of(&p), ==, 0);
		g_assert_true(logged(&p, "\"message\":\"stopped during the start\""));
		kill_and_clear(&p);
		node_free(n);
	}
}

/// The wait is limited, and its end says why.
static void test_lock_that_stays_ends_the_start_with_a_reason(void)
{
	struct node *n = node_new();
	struct process earlier;
	struct process later;
	clock_ms_t started_at;

	write_settings(n);
	earlier = start(n, CONTROL);
	g_assert_true(becomes_started(&earlier, START_MAX_MS));
	started_at = clock_monotonic();
	later = start(n, CONTROL);
	g_assert_cmpint(end_of(&later), ==, 3);
	g_assert_cmpint(clock_monotonic() - started_at, >=, GRACE_MS);
	g_assert_true(logged(&later, "cannot open the data directory; exiting"));
	kill_and_clear(&earlier);
	kill_and_clear(&later);
	node_free(n);
}

/// Starts a process whose settings file is a pipe, and returns once it reads it.
///
/// @param[out] fd writing end
static struct process start_up_to_settings(struct node *n, enum role role, int *fd)
{
	struct process p;

	g_assert_cmpint(mkfifo(n->settings, 0600), ==, 0);
	p = start(n, role);
	/* Succeeds once a reader has opened it. */
	g_assert_true(harness_wait_until(
		(*fd = open(n->settings, O_WRONLY | O_NONBLOCK | O_CLOEXEC)) >= 0, START_MAX_MS));
	return p;
}

static void finish_settings(const struct node *n, int fd)
{
	g_autofree char *text = settings_text(n);

	g_unlink(n->settings);
	write_settings(n);
	g_assert_cmpint(write(fd, text, strlen(text)), ==, (ssize_t)strlen(text));
	close(fd);
}

/// A SIGHUP before the event loop must not end the process, and must have its effect.
static void test_early_hangup_is_kept(void)
{
	for (int role = CONTROL; role <= ENTRY; role++) {
		struct node *n = node_new();
		int fd;
		struct process p = start_up_to_settings(n, role, &fd);

		process_signal(&p, SIGHUP);
		g_usleep(20000);
		finish_settings(n, fd);
		g_assert_true(becomes_started(&p, START_MAX_MS));
		g_assert_true(harness_wait_until(logged(&p, "reloaded settings"), START_MAX_MS));
		kill_and_clear(&p);
		node_free(n);
	}
}

static void test_early_terminate_ends_with_status_0(void)
{
	for (int role = CONTROL; role <= ENTRY; role++) {
		struct node *n = node_new();
		int fd;
		struct process p = start_up_to_settings(n, role, &fd);

		process_signal(&p, SIGTERM);
		g_assert_cmpint(end_of(&p), ==, 0);
		g_assert_true(logged(&p, "\"message\":\"stopped during the start\""));
		close(fd);
		kill_and_clear(&p);
		node_free(n);
	}
}

static void check_signals_throughout_start(enum role role, int signal)
{
	for (int ms = 0; ms <= SIGNAL_LAST_MS; ms += SIGNAL_STEP_MS) {
		struct node *n = node_new();
		int fd;
		struct process p = start_up_to_settings(n, role, &fd);

		finish_settings(n, fd);
		g_usleep((gulong)ms * 1000);
		process_signal(&p, signal);
		if (signal == SIGTERM) {
			g_assert_cmpint(end_of(&p), ==, 0);
			g_assert_true(logged(&p, "\"message\":\"stop"));
		} else {
			g_assert_true(becomes_started(&p, START_MAX_MS));
		}
		kill_and_clear(&p);
		node_free(n);
	}
}

static void test_signals_throughout_the_start(void)
{
	check_signals_throughout_start(CONTROL, SIGHUP);
	check_signals_throughout_start(ENTRY, SIGHUP);
	check_signals_throughout_start(CONTROL, SIGTERM);
}

/// The settings file is written while the process starts.
static void test_settings_being_written_are_waited_for(void)
{
	for (int role = CONTROL; role <= ENTRY; role++) {
		struct node *n = node_new();
		g_autofree char *text = settings_text(n);
		struct process p = start(n, role);

		g_usleep(300000);
		g_assert_true(g_file_set_contents(n->settings, "", 0, NULL));
		g_usleep(300000);
		/* Cut within the value of dataDir, the last line. */
		g_assert_true(
			g_file_set_contents(n->settings, text, (gssize)strlen(text) - 3, NULL));
		g_usleep(100000);
		write_settings(n);
		g_assert_true(becomes_started(&p, START_MAX_MS));
		if (role == CONTROL)
			g_assert_true(logged(&p, "/data\""));
		kill_and_clear(&p);
		node_free(n);
	}
}

/// Without its newline, the last line counts once the file does not change.
static void test_settings_without_final_newline_are_read(void)
{
	struct node *n = node_new();
	g_autofree char *text = settings_text(n);
	struct process p;

	g_assert_true(g_file_set_contents(n->settings, text, (gssize)strlen(text) - 1, NULL));
	p = start(n, CONTROL);
	g_assert_true(becomes_started(&p, START_MAX_MS));
	kill_and_clear(&p);
	node_free(n);
}

static void test_missing_setting_is_named(void)
{
	static const char *const lines[][2] = {
		{"nodeName=", "listen.control="},
		{"nodeName=", "listen.front="},
	};

	for (int role = CONTROL; role <= ENTRY; role++) {
		for (int i = 0; i < 2; i++) {
			struct node *n = node_new();
			g_autofree char *text = settings_text(n);
			g_autofree char *named =
				g_strndup(lines[role][i], strlen(lines[role][i]) - 1);
			struct process p;

			*strstr(text, lines[role][i]) = '#';
			g_assert_true(g_file_set_contents(n->settings, text, -1, NULL));
			p = start(n, role);
			g_assert_cmpint(end_of(&p), ==, 2);
			g_assert_true(logged(&p, "cannot use the settings file; exiting"));
			g_assert_true(logged(&p, named));
			kill_and_clear(&p);
			node_free(n);
		}
	}
}

/// A process that a signal ends says which one, and ends by that signal.
static void test_fatal_signal_leaves_a_line(void)
{
	static const int signals[] = {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGTRAP};

	for (gsize i = 0; i < G_N_ELEMENTS(signals); i++) {
		for (int role = CONTROL; role <= ENTRY; role++) {
			struct node *n = node_new();
			g_autofree char *field =
				g_strdup_printf("\"instance\":\"n1\",\"message\":\"ended by a "
						"signal\",\"signal\":\"%d\"}\n",
						signals[i]);
			struct process p;

			write_settings(n);
			p = start(n, role);
			g_assert_true(becomes_started(&p, START_MAX_MS));
			process_signal(&p, signals[i]);
			g_assert_cmpint(end_of(&p), ==, -signals[i]);
			g_assert_true(logged(&p, field));
			kill_and_clear(&p);
			node_free(n);
		}
	}
}

/// GLib ends the process when an allocation fails. The line must not need memory itself. GLib
/// writes to standard error when it has no memory for its message.
static void test_failed_allocation_leaves_a_line(void)
{
	struct node *n = node_new();
	g_autofree char *head = g_strdup_printf("POST /api/config/replace HTTP/1.1\r\nHost: h\r\n"
						"Content-Length: %d\r\n\r\n",
						BODY_BYTES + 1);
	g_autofree char *body = g_strnfill(BODY_BYTES, ' ');
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons(CONTROL_PORT)};
	int fds[BODIES];
	struct rlimit limit = {.rlim_cur = 1, .rlim_max = RLIM_INFINITY};
	struct process p;
	int end;

	write_settings(n);
	p = start(n, CONTROL);
	g_assert_true(becomes_started(&p, START_MAX_MS));
	address.sin_addr.s_addr = inet_addr(n->ip);
	for (int i = 0; i < BODIES; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(connect(fds[i], (struct sockaddr *)&address, sizeof(address)), ==,
				0);
		g_assert_cmpint(send(fds[i], head, strlen(head), MSG_NOSIGNAL), ==,
				(int)strlen(head));
	}
	g_usleep(500000); /* the heads have been read, so that only the bodies need memory */
	g_assert_cmpint(prlimit(pid_of(&p), RLIMIT_AS, &limit, NULL), ==, 0);
	for (int i = 0; i < BODIES; i++)
		(void)!send(fds[i], body, BODY_BYTES, MSG_NOSIGNAL);
	end = end_of(&p);
	for (int i = 0; i < BODIES; i++)
		close(fds[i]);
	g_assert_true(end == -SIGTRAP || end == -SIGABRT);
	g_assert_true(logged(&p, "failed to allocate"));
	g_assert_true(logged(&p, "\"message\":\"ended by a signal\""));
	kill_and_clear(&p);
	node_free(n);
}

/// A limit on the size of files must not end the process by a signal without a line.
static void test_file_size_limit_leaves_a_line(void)
{
	struct node *n = node_new();
	struct rlimit limit = {.rlim_cur = 0, .rlim_max = RLIM_INFINITY};
	struct process p;

	write_settings(n);
	p = start(n, CONTROL);
	g_assert_true(becomes_started(&p, START_MAX_MS));
	g_assert_cmpint(prlimit(pid_of(&p), RLIMIT_FSIZE, &limit, NULL), ==, 0);
	process_signal(&p, SIGHUP);
	g_usleep(2 * HELD_MS * 1000);
	if (poll_ended(&p))
		g_assert_cmpint(end_of(&p), >, 0);
	kill_and_clear(&p);
	node_free(n);
}

/// @return processor time of a process, ms
static clock_ms_t cpu_ms(const struct process *p)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/stat", (int)pid_of(p));
	g_autofree char *text = NULL;
	unsigned long user;
	unsigned long system;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	g_assert_cmpint(sscanf(strrchr(text, ')'),
			       ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
			       &system),
			==, 2);
	return (clock_ms_t)(user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

static unsigned int count_descriptors(const struct process *p)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", (int)pid_of(p));
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	unsigned int n = 0;

	while (dir && g_dir_read_name(dir))
		n++;
	return n;
}

/// A connection that cannot be accepted for want of descriptors must not keep the processor busy.
static void test_used_up_descriptors_do_not_spin(void)
{
	struct node *n = node_new();
	struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(RPC_PORT)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct rlimit limit;
	struct process p;
	clock_ms_t before;

	write_settings(n);
	p = start(n, CONTROL);
	g_assert_true(harness_wait_until(logged(&p, "leadership taken"), START_MAX_MS));
	g_usleep(HELD_MS * 1000);
	g_assert_cmpint(prlimit(pid_of(&p), RLIMIT_NOFILE, NULL, &limit), ==, 0);
	limit.rlim_cur = count_descriptors(&p);
	g_assert_cmpint(prlimit(pid_of(&p), RLIMIT_NOFILE, &limit, NULL), ==, 0);
	inet_pton(AF_INET, n->ip, &addr.sin_addr);
	g_assert_cmpint(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), ==, 0);
	before = cpu_ms(&p);
	g_usleep(HELD_MS * 1000);
	g_assert_cmpint(cpu_ms(&p) - before, <, HELD_MS / 4);
	g_assert_false(poll_ended(&p));
	g_assert_true(logged(&p, "cannot accept connections"));
	close(fd);
	kill_and_clear(&p);
	node_free(n);
}

/// Standard output whose reader has gone must not end the process.
static void test_closed_log_reader_does_not_end_it(void)
{
	for (int role = CONTROL; role <= ENTRY; role++) {
		struct node *n = node_new();
		g_autofree char *program =
			g_build_filename(harness_programs(), programs[role], NULL);
		g_autofree char *command = g_strdup_printf("exec %s > >(true)", program);
		g_autofree char *url = g_strdup_printf("http://%s:%d/metrics", n->ip,
						       role == CONTROL ? CONTROL_PORT : READY_PORT);
		g_autoptr(GSubprocessLauncher) launcher =
			g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
		g_autoptr(GSubprocess) p = NULL;

		write_settings(n);
		g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", n->settings, TRUE);
		g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
		p = g_subprocess_launcher_spawn(launcher, NULL, "bash", "-c", command, NULL);
		g_assert_true(harness_wait_until(
			harness_http("GET", url, NULL, NULL, NULL, NULL) == 200, START_MAX_MS));
		g_subprocess_force_exit(p);
		g_subprocess_wait(p, NULL, NULL);
		node_free(n);
	}
}

/// With standard output closed, a file of the state must not get its number: log lines would be
/// written to it.
static void test_closed_log_output_does_not_reach_the_data(void)
{
	struct node *n = node_new();
	g_autofree char *program = g_build_filename(harness_programs(), programs[CONTROL], NULL);
	g_autofree char *command = g_strdup_printf("exec %s <&- >&- 2>&-", program);
	g_autofree char *url = g_strdup_printf("http://%s:%d/metrics", n->ip, CONTROL_PORT);
	g_autofree char *out = NULL;
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	g_autoptr(GSubprocess) p = NULL;

	write_settings(n);
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", n->settings, TRUE);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	p = g_subprocess_launcher_spawn(launcher, NULL, "bash", "-c", command, NULL);
	g_assert_true(harness_wait_until(harness_http("GET", url, NULL, NULL, NULL, NULL) == 200,
					 START_MAX_MS));
	for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++) {
		g_autofree char *link =
			g_strdup_printf("/proc/%s/fd/%d", g_subprocess_get_identifier(p), fd);
		g_autofree char *target = g_file_read_link(link, NULL);

		g_assert_cmpstr(target, ==, "/dev/null");
	}
	g_subprocess_force_exit(p);
	g_subprocess_wait(p, NULL, NULL);
	node_free(n);
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN); /* a process that has ended closes the pipe of its settings */
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions();
	g_test_add_func("/start/control_starts_right_after_kill",
			test_control_starts_right_after_kill);
	g_test_add_func("/start/control_starts_beside_stuck_predecessor",
			test_control_starts_beside_stuck_predecessor);
	g_test_add_func("/start/control_starts_beside_stopping_predecessor",
			test_control_starts_beside_stopping_predecessor);
	g_test_add_func("/start/lock_that_stays_ends_the_start_with_a_reason",
			test_lock_that_stays_ends_the_start_with_a_reason);
	g_test_add_func("/start/entry_starts_beside_stopping_predecessor",
			test_entry_starts_beside_stopping_predecessor);
	g_test_add_func("/start/entry_does_not_share_its_address",
			test_entry_does_not_share_its_address);
	g_test_add_func("/start/address_in_use_is_waited_for", test_address_in_use_is_waited_for);
	g_test_add_func("/start/unassigned_address_is_waited_for",
			test_unassigned_address_is_waited_for);
	g_test_add_func("/start/early_hangup_is_kept", test_early_hangup_is_kept);
	g_test_add_func("/start/early_terminate_ends_with_status_0",
			test_early_terminate_ends_with_status_0);
	g_test_add_func("/start/signals_throughout_the_start", test_signals_throughout_the_start);
	g_test_add_func("/start/settings_being_written_are_waited_for",
			test_settings_being_written_are_waited_for);
	g_test_add_func("/start/settings_without_final_newline_are_read",
			test_settings_without_final_newline_are_read);
	g_test_add_func("/start/missing_setting_is_named", test_missing_setting_is_named);
	g_test_add_func("/start/fatal_signal_leaves_a_line", test_fatal_signal_leaves_a_line);
	g_test_add_func("/start/failed_allocation_leaves_a_line",
			test_failed_allocation_leaves_a_line);
	g_test_add_func("/start/file_size_limit_leaves_a_line", test_file_size_limit_leaves_a_line);
	g_test_add_func("/start/used_up_descriptors_do_not_spin",
			test_used_up_descriptors_do_not_spin);
	g_test_add_func("/start/closed_log_reader_does_not_end_it",
			test_closed_log_reader_does_not_end_it);
	g_test_add_func("/start/closed_log_output_does_not_reach_the_data",
			test_closed_log_output_does_not_reach_the_data);
	return g_test_run();
}
