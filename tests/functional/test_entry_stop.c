/// @file
/// A planned stop of an entry of the platform, in front of a control that answers slowly: no
/// request that was read is left without an answer, though callers keep connections open and go on
/// sending until the process is gone.

#include "base/clock.h"
#include "base/http_status.h"
#include "base/log.h"
#include "harness.h"
#include "platform_entry.h"
#include "rpc/generated/sesamewood.h"

#include <arpa/inet.h>
#include <ev.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALLERS 12
#define CONTROL_DELAY_S 0.5 /* as in a change of leader; an entry waits 1.1 s at most */
#define GRACE_S 6
#define LOSS_SLACK_MS 200 /* requirement of the deployments */
#define BEFORE_STOP_MS 1500
#define START_MS 4000
#define CONNECT_PAUSE_US 5000

/* A control replica that leads and answers each call late. It runs in a process of its own, which
 * the test kills. */

struct late_reply {
	ev_timer timer;
	struct rpc_request *req;
};

static void send_reply(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct late_reply *late = w->data;
	sw_relay_reply reply = {.status = SW_OK, .http_status = HTTP_OK};

	(void)loop;
	(void)revents;
	rpc_request_reply(late->req, &reply);
	g_free(late);
}

static void on_call(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	const sw_relay_args *a = args;
	struct late_reply *late;

	if (proc != SW_PROC_RELAY) {
		rpc_request_reply_unavailable(req);
		return;
	}
	late = g_new0(struct late_reply, 1);
	late->req = req;
	ev_timer_init(&late->timer, send_reply, *a->method ? CONTROL_DELAY_S : 0., 0.);
	late->timer.data = late;
	ev_timer_start(ctx, &late->timer);
}

/* Callers: blocking, each with one connection that it keeps for as long as the entry does. */

struct caller {
	GThread *thread;
	struct sockaddr_in address;
	int stop; ///< atomic
	unsigned int answered;
	unsigned int cut; ///< requests that ended without an answer later than LOSS_SLACK_MS
};

/// @return true if a complete response arrived
static bool read_response(int fd, bool *closes)
{
	char buffer[4096] = "";
	size_t used = 0;
	char *end = NULL;

	while (!end && used < sizeof(buffer) - 1) {
		ssize_t n = recv(fd, buffer + used, sizeof(buffer) - 1 - used, 0);

		if (n <= 0)
			return false;
		used += n;
		buffer[used] = 0;
		end = strstr(buffer, "\r\n\r\n");
	}
	*closes = strstr(buffer, "Connection: close") || strstr(buffer, "connection: close");
	return end; /* the responses have no bodies */
}

static void send_requests(struct caller *c, int fd)
{
	const char text[] = "GET /q/00000000000000ab HTTP/1.1\r\nHost: h\r\n\r\n";
	bool closes = false;

	while (!closes && !g_atomic_int_get(&c->stop)) {
		clock_ms_t sent_at;

		if (send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL) != sizeof(text) - 1)
			return;
		sent_at = clock_monotonic();
		if (read_response(fd, &closes)) {
			c->answered++;
			continue;
		}
		c->cut += clock_monotonic() - sent_at > LOSS_SLACK_MS;
		return;
	}
}

static gpointer call_entry(gpointer p)
{
	struct caller *c = p;

	while (!g_atomic_int_get(&c->stop)) {
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

		if (connect(fd, (struct sockaddr *)&c->address, sizeof(c->address)) == 0)
			send_requests(c, fd);
		else
			g_usleep(CONNECT_PAUSE_US);
		close(fd);
	}
	return NULL;
}

static unsigned int count_answered(const struct caller *callers)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < CALLERS; i++)
		n += callers[i].answered;
	return n;
}

/// An entry whose callers never paused ended at its deadline with requests in flight (LOST).
static void test_stop_answers_all_that_was_read(void)
{
	g_autofree char *dir = g_dir_make_tmp("entry-stop-XXXXXX", NULL);
	g_autofree char *network = platform_entry_network();
	g_autofree char *front_ip = g_strdup_printf("%s.2", network);
	pid_t control = platform_entry_start_control(network, on_call);
	g_autoptr(GSubprocess) entry = platform_entry_start(dir, network, GRACE_S);
	struct caller callers[CALLERS] = {0};
	unsigned int cut = 0;
	clock_ms_t stopped_at;

	for (unsigned int i = 0; i < CALLERS; i++) {
		callers[i].address = (struct sockaddr_in){
			.sin_family = AF_INET, .sin_port = htons(PLATFORM_ENTRY_FRONT_PORT)};
		inet_pton(AF_INET, front_ip, &callers[i].address.sin_addr);
		callers[i].thread = g_thread_new("caller", call_entry, &callers[i]);
	}
	g_assert_true(harness_wait_until(count_answered(callers) > CALLERS, START_MS));
	g_usleep(BEFORE_STOP_MS * 1000);
	stopped_at = clock_monotonic();
	g_subprocess_send_signal(entry, SIGTERM);
	g_assert_true(g_subprocess_wait(entry, NULL, NULL));
	g_assert_true(g_subprocess_get_if_exited(entry));
	g_assert_cmpint(g_subprocess_get_exit_status(entry), ==, 0);
	g_assert_cmpint(clock_monotonic() - stopped_at, <, GRACE_S * 1000);
	for (unsigned int i = 0; i < CALLERS; i++) {
		g_atomic_int_set(&callers[i].stop, 1);
		g_thread_join(callers[i].thread);
		cut += callers[i].cut;
	}
	kill(control, SIGKILL);
	g_test_message("%u answered, %u cut", count_answered(callers), cut);
	g_assert_cmpuint(cut, ==, 0);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry_stop/answers_all_that_was_read",
			test_stop_answers_all_that_was_read);
	return g_test_run();
}
