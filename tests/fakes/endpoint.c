/// @file
/// Stand-in for endpoint instances: announces them, serves requests after a delay, misbehaves on
/// request, and logs every run. Log line: wall ms, instance, incarnation, pool, epoch, key, event.

#include "base/clock.h"
#include "base/options.h"
#include "fake_http.h"

#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define MS_PER_S 1000.0

static struct option options[] = {
	{"instances", OPTION_LIST, NULL, 0, 0, "", "names", "Instances to stand in for", NULL, 0},
	{"host", OPTION_TEXT, "127.0.0.1", 0, 0, "", "IP", "Address to listen on", NULL, 0},
	{"port", OPTION_NUMBER, NULL, 1, 65535, "", NULL, "Port of the first instance", NULL, 0},
	{"announce", OPTION_LIST, "", 0, 0, "", "IP:port,…", "Entries to announce to", NULL, 0},
	{"announce-interval", OPTION_NUMBER, "1000", 10, 60000, "ms", NULL, "Interval", NULL, 0},
	{"incarnation", OPTION_NUMBER, "1", 1, INT64_MAX, "", NULL, "Incarnation", NULL, 0},
	{"zones", OPTION_LIST, "zone-a", 0, 0, "", "names", "Zones, taken in turn", NULL, 0},
	{"slots", OPTION_NUMBER, "8", 1, 4096, "", NULL, "Slots", NULL, 0},
	{"delay", OPTION_NUMBER, "20", 0, 60000, "ms", NULL, "Time to serve a request", NULL, 0},
	{"log", OPTION_TEXT, "", 0, 0, "", "a file", "Log of runs", NULL, 0},
	{"behaviour", OPTION_TEXT, "", 0, 0, "", "a behaviour", "Of requests that ask for none",
	 NULL, 0},
	{"body", OPTION_NUMBER, "32", 0, 10000000, "bytes", NULL, "Length of answers", NULL, 0},
	{0},
};

struct instance {
	char *name;
	char *address;
	const char *zone;
	ev_io acceptor;
	int active;
	int most_active;
};

struct connection {
	struct instance *instance;
	ev_io reader;
	ev_timer delay;
	GByteArray *in;
	char *head; ///< of the request being served
};

/// A post of an endpoint_heartbeat; the answer is ignored.
struct post {
	ev_io io;
	ev_timer timeout;
	char *text;
};

static struct ev_loop *loop;
static GPtrArray *instances;
static char **targets;
static char **zones;
static int log_fd = -1;
static bool leaving;
static char *answer_body;

/* Log. */

static void log_run(const struct connection *c, const char *event)
{
	g_autofree char *pool = fake_http_header(c->head, "Sesamewood-Pool");
	g_autofree char *epoch = fake_http_header(c->head, "Sesamewood-Epoch");
	g_autofree char *key = fake_http_header(c->head, "X-Request-Key");
	g_autofree char *line = NULL;

	if (log_fd < 0)
		return;
	line = g_strdup_printf("%" PRId64 " %s %" PRId64 " %s %s %s %s %d\n", clock_wall(),
			       c->instance->name, options_number(options, "incarnation"),
			       pool ? pool : "-", epoch ? epoch : "0", key ? key : "-", event,
			       c->instance->active);
	(void)!write(log_fd, line, strlen(line));
}

/* Serving. */

static void close_connection(struct connection *c)
{
	if (c->head) {
		log_run(c, "aborted");
		c->instance->active--;
	}
	ev_io_stop(loop, &c->reader);
	ev_timer_stop(loop, &c->delay);
	close(c->reader.fd);
	g_byte_array_unref(c->in);
	g_free(c->head);
	g_free(c);
}

static void send_text(const struct connection *c, const char *text, gsize len)
{
	while (len) {
		ssize_t n = send(c->reader.fd, text, len, MSG_NOSIGNAL);

		if (n < 0)
			usleep(100);
		if (n < 0 && !(errno == EAGAIN))
			return;
		if (n > 0) {
			text += n;
			len -= n;
		}
	}
}

/// Sends the answer. Behaviours: short, long, garbage, close, late-close, status:N, unframed.
static void send_answer(struct connection *c, const char *behaviour)
{
	gsize size = strlen(answer_body);
	unsigned int status = 200;
	g_autofree char *answer = NULL;

	if (behaviour && g_str_has_prefix(behaviour, "status:"))
		status = atoi(behaviour + strlen("status:"));
	if (behaviour && g_str_equal(behaviour, "garbage"))
		answer = g_strdup("SOMETHING ELSE\r\n\r\n");
	else if (behaviour && g_str_equal(behaviour, "unframed"))
		answer = g_strdup("HTTP/1.1 200 OK\r\n\r\npart of an answer");
	else if (behaviour && g_str_equal(behaviour, "chunk"))
		answer = g_strdup("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
				  "20\r\npart of a chunk");
	else
		answer = g_strdup_printf(
			"HTTP/1.1 %u X\r\nContent-Type: text/plain\r\n"
			"Content-Length: %zu\r\n\r\n%s%s",
			status, size + (behaviour && g_str_equal(behaviour, "short") ? 10 : 0),
			answer_body, behaviour && g_str_equal(behaviour, "long") ? "excess" : "");
	send_text(c, answer, strlen(answer));
}

static bool closes(const char *behaviour)
{
	static const char *const names[] = {"short", "garbage", "unframed", "chunk", "long", NULL};

	return behaviour && g_strv_contains(names, behaviour);
}

static void parse(struct connection *c);

static void on_served(struct ev_loop *l, ev_timer *w, int revents)
{
	struct connection *c = w->data;
	g_autofree char *behaviour = fake_http_header(c->head, "Fake-Behaviour");

	if (!behaviour && *options_text(options, "behaviour"))
		behaviour = g_strdup(options_text(options, "behaviour"));
	(void)l;
	(void)revents;
	log_run(c, "end");
	c->instance->active--;
	if (!behaviour || !g_str_equal(behaviour, "close"))
		send_answer(c, behaviour);
	g_clear_pointer(&c->head, g_free);
	if (behaviour && (g_str_equal(behaviour, "close") || closes(behaviour))) {
		close_connection(c);
		return;
	}
	if (behaviour && g_str_equal(behaviour, "late-close")) {
		shutdown(c->reader.fd, SHUT_WR);
		return;
	}
	parse(c);
}

static void parse(struct connection *c)
{
	g_autofree char *delay = NULL;
	double delay_ms = options_number(options, "delay");
	gsize used;

	if (c->head)
		return;
	used = fake_http_message(c->in, &c->head);
	if (!used)
		return;
	g_byte_array_remove_range(c->in, 0, used);
	c->instance->active++;
	c->instance->most_active = MAX(c->instance->most_active, c->instance->active);
	log_run(c, "start");
	delay = fake_http_header(c->head, "Fake-Delay");
	if (delay)
		delay_ms = g_ascii_strtod(delay, NULL);
	if (delay_ms <= 0) {
		on_served(loop, &c->delay, 0);
		return;
	}
	ev_timer_set(&c->delay, delay_ms / MS_PER_S, 0.);
	ev_timer_start(loop, &c->delay);
}

static void on_readable(struct ev_loop *l, ev_io *w, int revents)
{
	struct connection *c = w->data;
	guint8 buffer[READ_BYTES];
	ssize_t n = recv(w->fd, buffer, sizeof(buffer), 0);

	(void)l;
	(void)revents;
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		close_connection(c);
		return;
	}
	g_byte_array_append(c->in, buffer, n);
	parse(c);
}

static void on_acceptable(struct ev_loop *l, ev_io *w, int revents)
{
	int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *c;

	(void)l;
	(void)revents;
	if (fd < 0)
		return;
	c = g_new0(struct connection, 1);
	c->instance = w->data;
	c->in = g_byte_array_new();
	ev_io_init(&c->reader, on_readable, fd, EV_READ);
	ev_timer_init(&c->delay, on_served, 0., 0.);
	c->reader.data = c;
	c->delay.data = c;
	ev_io_start(loop, &c->reader);
}

/* Announcing. */

static void end_post(struct post *p)
{
	ev_io_stop(loop, &p->io);
	ev_timer_stop(loop, &p->timeout);
	close(p->io.fd);
	g_free(p->text);
	g_free(p);
}

static void on_post_event(struct ev_loop *l, ev_io *w, int revents)
{
	struct post *p = w->data;
	char buffer[1024];

	(void)l;
	if (revents & EV_WRITE && p->text) {
		(void)!send(w->fd, p->text, strlen(p->text), MSG_NOSIGNAL);
		g_clear_pointer(&p->text, g_free);
		ev_io_stop(loop, w);
		ev_io_set(w, w->fd, EV_READ);
		ev_io_start(loop, w);
	} else if (revents & EV_READ) {
		(void)!recv(w->fd, buffer, sizeof(buffer), 0);
		end_post(p);
	}
}

static void on_post_timeout(struct ev_loop *l, ev_timer *w, int revents)
{
	(void)l;
	(void)revents;
	end_post(w->data);
}

static void announce(const struct instance *i)
{
	const char *target = targets[g_random_int() % g_strv_length(targets)];
	struct post *p = g_new0(struct post, 1);
	g_autofree char *json = g_strdup_printf(
		"{\"instance\":\"%s\",\"incarnation\":%" PRId64 ",\"address\":\"%s\","
		"\"zone\":\"%s\",\"rack\":\"\",\"service\":\"\",\"slots\":%" PRId64
		",\"connections\":64,\"state\":\"%s\"}",
		i->name, options_number(options, "incarnation"), i->address, i->zone,
		options_number(options, "slots"), leaving ? "leaving" : "ready");

	p->text = g_strdup_printf("POST /sesamewood/v1/announce HTTP/1.1\r\nHost: x\r\n"
				  "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
				  strlen(json), json);
	ev_io_init(&p->io, on_post_event, fake_http_connect(target), EV_WRITE);
	ev_timer_init(&p->timeout, on_post_timeout, 2., 0.);
	p->io.data = p;
	p->timeout.data = p;
	ev_io_start(loop, &p->io);
	ev_timer_start(loop, &p->timeout);
}

static void on_announce_timer(struct ev_loop *l, ev_timer *w, int revents)
{
	(void)l;
	(void)w;
	(void)revents;
	for (guint i = 0; *targets && i < instances->len; i++)
		announce(instances->pdata[i]);
}

/// SIGUSR1: the instances announce that they leave.
static void on_leave(struct ev_loop *l, ev_signal *w, int revents)
{
	(void)l;
	(void)w;
	(void)revents;
	leaving = true;
	on_announce_timer(l, NULL, 0);
}

static void add_instance(const char *name, int port)
{
	struct instance *i = g_new0(struct instance, 1);
	int fd;

	i->name = g_strdup(name);
	i->address = g_strdup_printf("%s:%d", options_text(options, "host"), port);
	i->zone = zones[instances->len % g_strv_length(zones)];
	fd = fake_http_listen(i->address);
	if (fd < 0) {
		perror(i->address);
		exit(1);
	}
	ev_io_init(&i->acceptor, on_acceptable, fd, EV_READ);
	i->acceptor.data = i;
	ev_io_start(loop, &i->acceptor);
	g_ptr_array_add(instances, i);
}

int main(int argc, char **argv)
{
	g_auto(GStrv) names = NULL;
	ev_timer announcer;
	ev_signal leaver;
	const char *path;

	options_parse(options, "Stand-in for endpoint instances.", &argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	instances = g_ptr_array_new();
	names = g_strsplit(options_text(options, "instances"), ",", -1);
	targets = g_strsplit(options_text(options, "announce"), ",", -1);
	zones = g_strsplit(options_text(options, "zones"), ",", -1);
	answer_body = g_strnfill(options_number(options, "body"), 'x');
	path = options_text(options, "log");
	if (*path)
		log_fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	for (int i = 0; names[i]; i++)
		add_instance(names[i], (int)options_number(options, "port") + i);
	ev_timer_init(&announcer, on_announce_timer, 0.,
		      options_number(options, "announce-interval") / MS_PER_S);
	ev_signal_init(&leaver, on_leave, SIGUSR1);
	ev_timer_start(loop, &announcer);
	ev_signal_start(loop, &leaver);
	ev_run(loop, 0);
	return 0;
}
