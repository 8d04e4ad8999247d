/// @file
/// Tests of the results that the RPC client reports for calls without a reply. RPC_NOT_SENT becomes
/// the verdict "not-run", after which a request is retried: if a byte of the call had reached a
/// peer, the request could run twice.

#include "rpc/rpc_client.h"
#include "rpc/rpc_stream.h"
#include "rpc/rpc_server.h"
#include "rpc/generated/sesamewood.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 150
/// More connections than a listener with the smallest backlog accepts.
#define BACKLOG_CONNECTIONS 4

struct outcome {
	struct ev_loop *loop;
	enum rpc_result result;
};

static void on_reply(void *ctx, enum rpc_result result, const void *reply)
{
	struct outcome *outcome = ctx;

	(void)reply;
	outcome->result = result;
	ev_break(outcome->loop, EVBREAK_ALL);
}

/// @param backlog negative: the socket is bound but does not listen
/// @return a socket on a free port of the loopback address, which accepts no connection by itself
static int bind_loopback(int backlog, struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	*address = (struct sockaddr_in){.sin_family = AF_INET,
					.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	g_assert_cmpint(bind(fd, (struct sockaddr *)address, len), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)address, &len), ==, 0);
	if (backlog >= 0)
		g_assert_cmpint(listen(fd, backlog), ==, 0);
	return fd;
}

static enum rpc_result call(const struct sockaddr_in *address)
{
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address->sin_port));
	struct outcome outcome = {.loop = ev_loop_new(EVFLAG_AUTO)};
	struct rpc_client *c = rpc_client_new(outcome.loop, text);
	sw_relay_args args = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};

	rpc_client_call(c, SW_PROC_RELAY, &args, CALL_TIMEOUT_MS, on_reply, &outcome);
	ev_run(outcome.loop, 0);
	rpc_client_free(c);
	/* Not destroyed: streams of a later loop at the same address would join its send queue. */
	return outcome.result;
}

static void test_refused_connection_is_not_sent(void)
{
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);

	g_assert_cmpint(call(&address), ==, RPC_NOT_SENT);
	close(fd);
}

/// A powered-off peer does not answer the SYN, so connecting hangs until the call times out. A full
/// backlog has the same effect.
static void test_hanging_connection_is_not_sent(void)
{
	struct sockaddr_in address;
	int fd = bind_loopback(0, &address);
	int connections[BACKLOG_CONNECTIONS];

	for (int i = 0; i < BACKLOG_CONNECTIONS; i++) {
		connections[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		if (connect(connections[i], (struct sockaddr *)&address, sizeof(address)) < 0)
			continue;
	}
	g_assert_cmpint(call(&address), ==, RPC_NOT_SENT);
	for (int i = 0; i < BACKLOG_CONNECTIONS; i++)
		close(connections[i]);
	close(fd);
}

static void test_unresponsive_peer_may_have_run_it(void)
{
	struct sockaddr_in address;
	int fd = bind_loopback(16, &address);

	g_assert_cmpint(call(&address), ==, RPC_NO_REPLY);
	close(fd);
}

/* Procedures without results. */

#define BATCH_CALLS 100

struct batch {
	struct ev_loop *loop;
	unsigned int received;
	unsigned int replied;
	unsigned int failed;
};

static void on_call(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct batch *b = ctx;

	(void)proc;
	(void)args;
	b->received++;
	rpc_request_reply(req, NULL);
}

static void on_batch_call_done(void *ctx, enum rpc_result result, const void *reply)
{
	struct batch *b = ctx;

	(void)reply;
	b->replied += result == RPC_REPLIED;
	b->failed += result != RPC_REPLIED;
	if (b->replied + b->failed == BATCH_CALLS)
		ev_break(b->loop, EVBREAK_ALL);
}

/// Every call completes, with far fewer replies than calls.
static void test_calls_without_results_are_acknowledged_together(void)
{
	struct batch b = {.loop = ev_loop_new(EVFLAG_AUTO)};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	struct rpc_client *c = rpc_client_new(b.loop, text);
	raft_message args = {.type = RAFT_APPEND};
	uint64_t before = rpc_replies_sent();

	close(fd);
	g_assert_nonnull(rpc_server_new(b.loop, text, on_call, &b));
	for (int i = 0; i < BATCH_CALLS; i++)
		rpc_client_call(c, SW_PROC_RAFT, &args, 2000, on_batch_call_done, &b);
	ev_run(b.loop, 0);
	g_assert_cmpuint(b.received, ==, BATCH_CALLS);
	g_assert_cmpuint(b.replied, ==, BATCH_CALLS);
	g_assert_cmpuint(rpc_replies_sent() - before, <, BATCH_CALLS / 10);
	rpc_client_free(c);
}

/* Calls that share a connection. */

#define QUICK_CALLS 30
#define QUICK_CALL_PERIOD_S 0.01
#define QUICK_CALL_TIMEOUT_MS 2000

/// A server that never answers a relayed call, and a quick call only when the next one arrives, so
/// that there is always one in flight.
struct shared_connection {
	struct ev_loop *loop;
	struct rpc_client *client;
	ev_timer next_call;
	struct rpc_request *held;
	struct rpc_request *held_relay;
	enum rpc_result slow_result;
	unsigned int sent;
	unsigned int replied;
	unsigned int failed;
};

static void on_shared_call(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct shared_connection *s = ctx;

	(void)args;
	if (proc != SW_PROC_RAFT)
		return;
	if (s->held)
		rpc_request_reply(s->held, NULL);
	s->held = req;
}

static void on_quick_call_done(void *ctx, enum rpc_result result, const void *reply)
{
	struct shared_connection *s = ctx;

	(void)reply;
	s->replied += result == RPC_REPLIED;
	s->failed += result != RPC_REPLIED;
	if (s->replied + s->failed == QUICK_CALLS - 1)
		ev_break(s->loop, EVBREAK_ALL);
}

static void on_slow_call_done(void *ctx, enum rpc_result result, const void *reply)
{
	(void)reply;
	((struct shared_connection *)ctx)->slow_result = result;
}

static void send_quick_call(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shared_connection *s = w->data;
	raft_message args = {.type = RAFT_APPEND};

	(void)revents;
	rpc_client_call(s->client, SW_PROC_RAFT, &args, QUICK_CALL_TIMEOUT_MS, on_quick_call_done,
			s);
	if (++s->sent == QUICK_CALLS)
		ev_timer_stop(loop, w);
}

/// A call that times out on a connection that is alive must not fail the calls beside it: a slow
/// commit times callers' requests out, and replication shares their connection.
static void test_timed_out_call_keeps_the_connection(void)
{
	struct shared_connection s = {.loop = ev_loop_new(EVFLAG_AUTO)};
	sw_relay_args slow = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));

	close(fd);
	s.client = rpc_client_new(s.loop, text);
	g_assert_nonnull(rpc_server_new(s.loop, text, on_shared_call, &s));
	rpc_client_call(s.client, SW_PROC_RELAY, &slow, CALL_TIMEOUT_MS, on_slow_call_done, &s);
	ev_timer_init(&s.next_call, send_quick_call, 0., QUICK_CALL_PERIOD_S);
	s.next_call.data = &s;
	ev_timer_start(s.loop, &s.next_call);
	ev_run(s.loop, 0);
	g_assert_cmpint(s.slow_result, ==, RPC_NO_REPLY);
	g_assert_cmpuint(s.failed, ==, 0);
	rpc_client_free(s.client);
}

#define LATE_REPLY_S 0.2 /* after CALL_TIMEOUT_MS, while quick calls go on */

static void on_call_to_hold(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct shared_connection *s = ctx;

	if (proc == SW_PROC_RELAY)
		s->held_relay = req;
	else
		on_shared_call(ctx, req, proc, args);
}

static void on_late_reply_due(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shared_connection *s = w->data;
	sw_relay_reply reply = {.status = SW_OK};

	(void)loop;
	(void)revents;
	rpc_request_reply(s->held_relay, &reply);
}

/// A reply that comes after the timeout of a call, on a connection that is alive, must be taken:
/// the caller would otherwise repeat the call to a server that is slow already.
static void test_slow_server_is_not_called_again(void)
{
	struct shared_connection s = {.loop = ev_loop_new(EVFLAG_AUTO)};
	sw_relay_args slow = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	ev_timer late_reply;

	close(fd);
	s.client = rpc_client_new(s.loop, text);
	g_assert_nonnull(rpc_server_new(s.loop, text, on_call_to_hold, &s));
	rpc_client_call_patiently(s.client, SW_PROC_RELAY, &slow, CALL_TIMEOUT_MS,
				  10 * CALL_TIMEOUT_MS, on_slow_call_done, &s);
	ev_timer_init(&s.next_call, send_quick_call, 0., QUICK_CALL_PERIOD_S);
	ev_timer_init(&late_reply, on_late_reply_due, LATE_REPLY_S, 0.);
	s.next_call.data = &s;
	late_reply.data = &s;
	ev_timer_start(s.loop, &s.next_call);
	ev_timer_start(s.loop, &late_reply);
	s.slow_result = RPC_NOT_SENT;
	ev_run(s.loop, 0);
	g_assert_cmpint(s.slow_result, ==, RPC_REPLIED);
	rpc_client_free(s.client);
}

/* A process or a server that is late. */

static void on_prompt_call(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	sw_relay_reply reply = {.status = SW_OK};

	(void)ctx;
	(void)proc;
	(void)args;
	rpc_request_reply(req, &reply);
}

/// Runs a server in a child process, which answers calls at once.
static pid_t start_prompt_server(const char *address)
{
	pid_t pid = fork();
	struct ev_loop *loop;

	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	loop = ev_loop_new(EVFLAG_AUTO);
	if (!rpc_server_new(loop, address, on_prompt_call, NULL))
		_exit(1);
	ev_run(loop, 0);
	_exit(0);
}

/// Resumes the server, which then answers while this process is blocked.
static void resume_and_block(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	kill(*(const pid_t *)w->data, SIGCONT);
	g_usleep(2 * CALL_TIMEOUT_MS * 1000);
}

/// A process whose loop is late must read what has arrived before it takes the server for dead: an
/// overloaded leader closed its connections to followers whose replies it had not read.
static void test_late_client_takes_the_reply_that_has_arrived(void)
{
	struct outcome outcome = {.loop = ev_loop_new(EVFLAG_AUTO), .result = RPC_NOT_SENT};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	sw_relay_args args = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};
	struct rpc_client *c;
	ev_timer blocker;
	pid_t server;

	close(fd);
	server = start_prompt_server(text);
	g_usleep(200000);
	c = rpc_client_new(outcome.loop, text);
	ev_now_update(outcome.loop);
	ev_timer_init(&blocker, resume_and_block, 0.02, 0.);
	blocker.data = &server;
	ev_timer_start(outcome.loop, &blocker);
	kill(server, SIGSTOP);
	rpc_client_call(c, SW_PROC_RELAY, &args, CALL_TIMEOUT_MS, on_reply, &outcome);
	ev_run(outcome.loop, 0);
	g_assert_cmpint(outcome.result, ==, RPC_REPLIED);
	rpc_client_free(c);
	kill(server, SIGKILL);
	waitpid(server, NULL, 0);
}

/// Calls that time out at a server that is slow must not make the client connect again: the leader
/// would read the closed connections first.
static void test_slow_server_keeps_its_connection(void)
{
	struct outcome outcome = {.loop = ev_loop_new(EVFLAG_AUTO)};
	struct sockaddr_in address;
	int fd = bind_loopback(16, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	sw_relay_args args = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};
	struct rpc_client *c = rpc_client_new(outcome.loop, text);

	for (int i = 0; i < 2; i++) {
		rpc_client_call(c, SW_PROC_RELAY, &args, CALL_TIMEOUT_MS, on_reply, &outcome);
		ev_run(outcome.loop, 0);
		g_assert_cmpint(outcome.result, ==, RPC_NO_REPLY);
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	g_assert_cmpint(accept4(fd, NULL, NULL, SOCK_CLOEXEC), >=, 0);
	g_assert_cmpint(accept4(fd, NULL, NULL, SOCK_CLOEXEC), <, 0);
	rpc_client_free(c);
	close(fd);
}

static void on_low_priority_call(void *ctx, struct rpc_request *req, uint32_t proc,
				 const void *args)
{
	rpc_request_lower_priority(req);
	on_prompt_call(ctx, req, proc, args);
}

static void on_after_wait(struct ev_loop *loop, ev_check *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	rpc_stream_set_low_priority_deadline(clock_monotonic() - 1);
}

/// Streams of low priority must be read also while each iteration of the loop takes longer than
/// their deadline allows, or callers of an overloaded leader are not even refused.
static void test_low_priority_is_not_starved(void)
{
	struct outcome outcome = {.loop = ev_loop_new(EVFLAG_AUTO)};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	sw_relay_args args = {
		.method = (char *)"POST", .host = (char *)"h", .target = (char *)"/q/j"};
	struct rpc_client *c = rpc_client_new(outcome.loop, text);
	ev_check after_wait;

	close(fd);
	g_assert_nonnull(rpc_server_new(outcome.loop, text, on_low_priority_call, NULL));
	ev_check_init(&after_wait, on_after_wait);
	ev_check_start(outcome.loop, &after_wait);
	for (int i = 0; i < 2; i++) {
		outcome.result = RPC_NOT_SENT;
		rpc_client_call(c, SW_PROC_RELAY, &args, CALL_TIMEOUT_MS, on_reply, &outcome);
		ev_run(outcome.loop, 0);
		g_assert_cmpint(outcome.result, ==, RPC_REPLIED);
	}
	rpc_client_free(c);
	rpc_stream_set_low_priority_deadline(CLOCK_NEVER);
}

/* Connections. */

#define WAITING_CONNECTIONS 100

/// After a change of leader all entries connect to a leader whose iterations of the loop are long.
/// Accepting one connection in each would make callers wait for many of them.
static void test_waiting_connections_are_accepted_together(void)
{
	struct batch b = {.loop = ev_loop_new(EVFLAG_AUTO)};
	struct sockaddr_in address;
	int fd = bind_loopback(-1, &address);
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	uint64_t before = rpc_connections_accepted();
	int connections[WAITING_CONNECTIONS];

	close(fd);
	g_assert_nonnull(rpc_server_new(b.loop, text, on_call, &b));
	for (int i = 0; i < WAITING_CONNECTIONS; i++) {
		connections[i] = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		g_assert_cmpint(
			connect(connections[i], (struct sockaddr *)&address, sizeof(address)), ==,
			0);
	}
	ev_run(b.loop, EVRUN_ONCE);
	g_assert_cmpuint(rpc_connections_accepted() - before, ==, WAITING_CONNECTIONS);
	for (int i = 0; i < WAITING_CONNECTIONS; i++)
		close(connections[i]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rpc/refused_connection_is_not_sent", test_refused_connection_is_not_sent);
	g_test_add_func("/rpc/hanging_connection_is_not_sent", test_hanging_connection_is_not_sent);
	g_test_add_func("/rpc/unresponsive_peer_may_have_run_it",
			test_unresponsive_peer_may_have_run_it);
	g_test_add_func("/rpc/timed_out_call_keeps_the_connection",
			test_timed_out_call_keeps_the_connection);
	g_test_add_func("/rpc/slow_server_is_not_called_again",
			test_slow_server_is_not_called_again);
	g_test_add_func("/rpc/late_client_takes_the_reply_that_has_arrived",
			test_late_client_takes_the_reply_that_has_arrived);
	g_test_add_func("/rpc/slow_server_keeps_its_connection",
			test_slow_server_keeps_its_connection);
	g_test_add_func("/rpc/low_priority_is_not_starved", test_low_priority_is_not_starved);
	g_test_add_func("/rpc/waiting_connections_are_accepted_together",
			test_waiting_connections_are_accepted_together);
	g_test_add_func("/rpc/calls_without_results_are_acknowledged_together",
			test_calls_without_results_are_acknowledged_together);
	return g_test_run();
}
