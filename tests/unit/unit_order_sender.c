/// @file
/// Tests of results of orders whose request was sent twice: libcurl sends a request again when a
/// reused connection closes without a response. The endpoint may have executed the first copy, so a
/// refusal of the second one must not release the order as never executed. And of orders that reach
/// no process, where only a refused connection shows that none is there.

#include "codec.h"
#include "manager/order_sender.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ORDER_TIMEOUT_MS 10000
/// Limit on each accept and read of the server, so that a missing request fails the test.
#define SERVER_TIMEOUT_S 5
#define REQUEST_MAX_BYTES 4096

/// A server that answers a first request, reads a second one on the same connection, and answers
/// its copy on a new connection.
struct server {
	int listener;
	bool drops_first_copy; ///< closes the connection after it has read the second request
	unsigned int status;   ///< of the answer to the second request
	const char *body;
	unsigned int connections;
	char *first_copy; ///< the second request
	char *second_copy;
};

/// Two orders of one type, the second sent when the first is answered.
struct exchange {
	const char *address;
	enum order_type type;
	unsigned int results;
	enum order_status first_status;
	enum order_status status; ///< of the second order
	bool single;		  ///< no second order
	bool refused;		  ///< in the latest result
	uint32_t timeout_ms;
};

/* A sender lives as long as the process, so all tests share one. */
static struct ev_loop *loop;
static struct order_sender *sender;
static struct platform_codec codec;
static struct wire wire;
static struct exchange exchange;

static int listen_on_loopback(struct sockaddr_in *address)
{
	const struct timeval timeout = {.tv_sec = SERVER_TIMEOUT_S};
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	*address = (struct sockaddr_in){.sin_family = AF_INET,
					.sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	g_assert_cmpint(bind(fd, (struct sockaddr *)address, len), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)address, &len), ==, 0);
	g_assert_cmpint(listen(fd, 4), ==, 0);
	return fd;
}

static int accept_connection(struct server *s)
{
	const struct timeval timeout = {.tv_sec = SERVER_TIMEOUT_S};
	int fd = accept(s->listener, NULL, NULL);

	g_assert_cmpint(fd, >=, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	s->connections++;
	return fd;
}

static bool is_complete(const char *request)
{
	const char *end = strstr(request, "\r\n\r\n");
	const char *length = strstr(request, "Content-Length: ");

	return end && length &&
	       strlen(end + 4) >= strtoull(length + strlen("Content-Length: "), NULL, 10);
}

/// Reads one whole request with a body.
static char *read_request(int fd)
{
	char *request = g_malloc0(REQUEST_MAX_BYTES + 1);
	size_t len = 0;

	while (!is_complete(request)) {
		ssize_t n = read(fd, request + len, REQUEST_MAX_BYTES - len);

		g_assert_cmpint(n, >, 0);
		len += n;
	}
	return request;
}

static void answer(int fd, unsigned int status, const char *body)
{
	g_autofree char *response = g_strdup_printf(
		"HTTP/1.1 %u Status\r\nContent-Length: %zu\r\n\r\n%s", status, strlen(body), body);

	g_assert_cmpint(write(fd, response, strlen(response)), ==, strlen(response));
}

static void *serve(void *ctx)
{
	struct server *s = ctx;
	int fd = accept_connection(s);

	g_free(read_request(fd));
	answer(fd, 200, "{}");
	s->first_copy = read_request(fd);
	if (s->drops_first_copy) {
		close(fd);
		fd = accept_connection(s);
		s->second_copy = read_request(fd);
	}
	answer(fd, s->status, s->body);
	close(fd);
	return NULL;
}

static void send_order(const struct exchange *x)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.id = x->results,
		.type = x->type,
		.address = g_strdup(x->address),
		.timeout_ms = x->timeout_ms,
		.fencing_token = 1,
		.task = g_strdup("j.0.0.1"),
		.attempt = 1,
		.payload = g_strdup("p"),
		.checkpoint = g_strdup(""),
		.ticket = g_strdup(""),
		.machine = g_strdup("m-1"),
		.pool = g_strdup("s"),
		.holder = g_strdup("h"),
		.not_after = clock_monotonic() + x->timeout_ms,
	};
	order_sender_send(sender, o, 0, 1);
}

static void on_result(void *ctx, uint32_t leader, uint64_t term, struct order_result *result)
{
	struct exchange *x = ctx;
	enum order_status status = result->status;

	(void)leader;
	(void)term;
	x->refused = result->refused;
	order_result_free(result);
	if (x->results++ == 0 && !x->single) {
		x->first_status = status;
		send_order(x);
		return;
	}
	x->status = status;
	ev_break(loop, EVBREAK_ALL);
}

/// Sends two orders of a type.
///
/// @return status of the second order
static enum order_status run(enum order_type type, struct server *s)
{
	struct sockaddr_in address;
	g_autofree char *text = NULL;
	GThread *thread;

	s->listener = listen_on_loopback(&address);
	text = g_strdup_printf("127.0.0.1:%u", ntohs(address.sin_port));
	codec.machines = text;
	exchange = (struct exchange){.address = text, .type = type, .timeout_ms = ORDER_TIMEOUT_MS};
	thread = g_thread_new("server", serve, s);
	send_order(&exchange);
	ev_run(loop, 0);
	g_thread_join(thread);
	close(s->listener);
	g_assert_cmpint(exchange.first_status, ==, ORDER_OK);
	return exchange.status;
}

static enum order_status status_of_copy(enum order_type type, unsigned int status, const char *body)
{
	struct server s = {.drops_first_copy = true, .status = status, .body = body};
	enum order_status result = run(type, &s);

	g_assert_cmpuint(s.connections, ==, 2);
	g_assert_cmpstr(s.first_copy, ==, s.second_copy);
	g_free(s.first_copy);
	g_free(s.second_copy);
	return result;
}

static enum order_status status_of_single(enum order_type type, unsigned int status,
					  const char *body)
{
	struct server s = {.status = status, .body = body};
	enum order_status result = run(type, &s);

	g_assert_cmpuint(s.connections, ==, 1);
	g_free(s.first_copy);
	return result;
}

struct answer {
	unsigned int status;
	const char *body;
	enum order_status meaning;
};

static const struct answer start_refusals[] = {
	{503, "", ORDER_TRY_LATER},
	{429, "", ORDER_TRY_LATER},
	{409, "{\"reason\":\"room\"}", ORDER_NO_CAPACITY},
	{409, "{\"reason\":\"late\"}", ORDER_LEASE_EXPIRED},
	{409, "{\"reason\":\"ticket\"}", ORDER_INVALID_TICKET},
	{400, "", ORDER_REJECTED},
};

static const struct answer machine_refusals[] = {
	{429, "", ORDER_TRY_LATER},
	{409, "{\"reason\":\"busy\"}", ORDER_MACHINE_BUSY},
	{409, "{\"reason\":\"wave\"}", ORDER_MACHINE_NOT_IN_WAVE},
	{400, "", ORDER_REJECTED},
};

static void test_refused_copy_of_a_start_is_in_doubt(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(start_refusals); i++)
		g_assert_cmpint(status_of_copy(ORDER_START, start_refusals[i].status,
					       start_refusals[i].body),
				==, ORDER_NO_ANSWER);
}

static void test_refused_copy_of_a_machine_order_is_in_doubt(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(machine_refusals); i++) {
		g_assert_cmpint(status_of_copy(ORDER_MACHINE_MOVE, machine_refusals[i].status,
					       machine_refusals[i].body),
				==, ORDER_NO_ANSWER);
		g_assert_cmpint(status_of_copy(ORDER_MACHINE_MAINTENANCE,
					       machine_refusals[i].status,
					       machine_refusals[i].body),
				==, ORDER_NO_ANSWER);
	}
}

/// These results state something about the receiver, whichever copy they answer.
static void test_result_about_the_receiver_is_kept(void)
{
	static const struct answer answers[] = {
		{200, "{}", ORDER_OK},
		{409, "{\"reason\":\"fence\"}", ORDER_FENCED},
		{409, "{\"reason\":\"old\"}", ORDER_SUPERSEDED},
		{421, "", ORDER_WRONG_INSTANCE},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(answers); i++)
		g_assert_cmpint(status_of_copy(ORDER_START, answers[i].status, answers[i].body), ==,
				answers[i].meaning);
}

/// Only then may the task start elsewhere without waiting for the endpoint's list.
static void test_refused_order_sent_once_had_no_effect(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(start_refusals); i++)
		g_assert_cmpint(status_of_single(ORDER_START, start_refusals[i].status,
						 start_refusals[i].body),
				==, start_refusals[i].meaning);
	for (size_t i = 0; i < G_N_ELEMENTS(machine_refusals); i++)
		g_assert_cmpint(status_of_single(ORDER_MACHINE_MOVE, machine_refusals[i].status,
						 machine_refusals[i].body),
				==, machine_refusals[i].meaning);
}

/// Sends one order.
static void send_single(const struct sockaddr_in *address, uint32_t timeout_ms)
{
	g_autofree char *text = g_strdup_printf("127.0.0.1:%u", ntohs(address->sin_port));

	exchange = (struct exchange){
		.address = text, .type = ORDER_START, .single = true, .timeout_ms = timeout_ms};
	send_order(&exchange);
	ev_run(loop, 0);
	exchange.address = NULL;
}

/// A host without a process refuses the connection: the endpoint has ended.
static void test_refused_connection_is_told_apart(void)
{
	struct sockaddr_in address;

	close(listen_on_loopback(&address));
	send_single(&address, ORDER_TIMEOUT_MS);
	g_assert_cmpint(exchange.status, ==, ORDER_NOT_SENT);
	g_assert_true(exchange.refused);
}

/// An endpoint behind a partition answers no connection request: it may run on.
static void test_silent_address_refuses_nothing(void)
{
	const uint32_t timeout_ms = 300;
	struct sockaddr_in address;
	int listener = listen_on_loopback(&address);
	int queued[4];

	/* Connection requests beyond a full queue get no answer. */
	g_assert_cmpint(listen(listener, 0), ==, 0);
	for (guint i = 0; i < G_N_ELEMENTS(queued); i++) {
		queued[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		connect(queued[i], (struct sockaddr *)&address, sizeof(address));
	}
	send_single(&address, timeout_ms);
	g_assert_cmpint(exchange.status, ==, ORDER_NOT_SENT);
	g_assert_false(exchange.refused);
	for (guint i = 0; i < G_N_ELEMENTS(queued); i++)
		close(queued[i]);
	close(listener);
}

static void *accept_and_close(void *ctx)
{
	struct server *s = ctx;
	int fd = accept_connection(s);

	g_free(read_request(fd));
	close(fd);
	return NULL;
}

/// A connection that closes without a response proves no end: endpoints close idle connections.
static void test_closed_connection_refuses_nothing(void)
{
	struct sockaddr_in address;
	struct server s = {.listener = listen_on_loopback(&address)};
	GThread *thread = g_thread_new("server", accept_and_close, &s);

	send_single(&address, ORDER_TIMEOUT_MS);
	g_thread_join(thread);
	close(s.listener);
	g_assert_cmpint(exchange.status, ==, ORDER_NO_ANSWER);
	g_assert_false(exchange.refused);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	loop = ev_loop_new(EVFLAG_AUTO);
	wire = platform_wire(&codec);
	sender = order_sender_new(loop, &wire, on_result, &exchange);
	g_test_add_func("/orders/refused_copy_of_a_start_is_in_doubt",
			test_refused_copy_of_a_start_is_in_doubt);
	g_test_add_func("/orders/refused_copy_of_a_machine_order_is_in_doubt",
			test_refused_copy_of_a_machine_order_is_in_doubt);
	g_test_add_func("/orders/result_about_the_receiver_is_kept",
			test_result_about_the_receiver_is_kept);
	g_test_add_func("/orders/refused_order_sent_once_had_no_effect",
			test_refused_order_sent_once_had_no_effect);
	g_test_add_func("/orders/refused_connection_is_told_apart",
			test_refused_connection_is_told_apart);
	g_test_add_func("/orders/silent_address_refuses_nothing",
			test_silent_address_refuses_nothing);
	g_test_add_func("/orders/closed_connection_refuses_nothing",
			test_closed_connection_refuses_nothing);
	return g_test_run();
}
