#include "base/lifecycle.h"

#include "base/log.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#define RETRY_US 50000

/// Signals whose default action ends the process. SIGTRAP is how GLib ends a process, for example
/// when an allocation has failed.
static const int fatal_signals[] = {
	SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGTRAP, SIGQUIT, SIGINT, SIGXCPU,
};

static volatile sig_atomic_t hangup_pending;

static void on_fatal(int signal)
{
	log_write_from_signal("ended by a signal", signal);
	raise(signal); /* with its default action, once this handler has returned */
}

/// Nothing has been promised to anyone yet, and the storage is safe against a kill at any time.
static void on_early_terminate(int signal)
{
	log_write_from_signal("stopped during the start", signal);
	_exit(EXIT_SUCCESS);
}

static void on_early_hangup(int signal)
{
	(void)signal;
	hangup_pending = 1;
}

static void handle(int signal, void (*handler)(int), int flags)
{
	struct sigaction action = {.sa_handler = handler, .sa_flags = flags};

	sigemptyset(&action.sa_mask);
	sigaction(signal, &action, NULL);
}

static void handle_fatal(int signal)
{
	struct sigaction prev;

	/* A sanitizer or the like reports more than this handler does. */
	if (sigaction(signal, NULL, &prev) == 0 && prev.sa_handler == SIG_DFL)
		handle(signal, on_fatal, (int)SA_RESETHAND);
}

static void open_standard_descriptors(void)
{
	for (int fd = STDIN_FILENO; fd <= STDERR_FILENO; fd++)
		if (fcntl(fd, F_GETFD) < 0 && open("/dev/null", O_RDWR) < 0)
			break;
}

void lifecycle_start(void)
{
	handle(SIGTERM, on_early_terminate, 0);
	handle(SIGHUP, on_early_hangup, SA_RESTART);
	handle(SIGPIPE, SIG_IGN, 0);
	handle(SIGXFSZ, SIG_IGN, 0); /* the write fails with EFBIG instead */
	for (gsize i = 0; i < G_N_ELEMENTS(fatal_signals); i++)
		handle_fatal(fatal_signals[i]);
	open_standard_descriptors();
}

void lifecycle_watch_signals(struct ev_loop *loop, ev_signal *terminate, ev_signal *hangup)
{
	ev_signal_start(loop, terminate);
	if (!hangup)
		return;
	ev_signal_start(loop, hangup);
	if (hangup_pending)
		ev_feed_signal_event(loop, SIGHUP);
}

void lifecycle_exit(int status)
{
	log_flush();
	_exit(status);
}

bool lifecycle_wait(struct lifecycle_wait *w, const char *reason)
{
	clock_ms_t now = clock_monotonic();

	if (!w->from) {
		w->from = now;
		if (w->max_ms)
			log_warning("waiting during the start", "FOR", w->what, "REASON", reason,
				    "AT_MOST_MS", log_number((guint64)w->max_ms));
	}
	if (now - w->from >= w->max_ms)
		return false;
	g_usleep(RETRY_US);
	return true;
}

void lifecycle_wait_done(const struct lifecycle_wait *w)
{
	if (w->from)
		log_info("waited during the start", "FOR", w->what, "WAITED_MS",
			 log_number((guint64)(clock_monotonic() - w->from)));
}
