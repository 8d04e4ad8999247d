/// @file
/// Fake callers behind a load balancer: send requests to healthy entries, and print a summary of
/// the results. Each request has a line in the file --log with the fields: key, verdict, status,
/// duration in ms, entry, number of sends, last verdict of earlier sends other than not-run or
/// "-", wall-clock time in ms.

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
#define REQUEST_TIMEOUT_S 35.0
#define RESEND_PAUSE_S 0.3

static struct option options[] = {
	{"entries", OPTION_LIST, NULL, 0, 0, "", "IP:port,…", "Entries that requests are sent to",
	 NULL, 0},
	{"health", OPTION_LIST, "", 0, 0, "", "IP:port,…",
	 "Health listeners of the entries, in the same order", NULL, 0},
	{"path", OPTION_TEXT, "/", 0, 0, "", "a path", "Path of the requests", NULL, 0},
	{"method", OPTION_TEXT, "GET", 0, 0, "", "a method", "Method of the requests", NULL, 0},
	{"headers", OPTION_TEXT, "", 0, 0, "", "A: b|C: d", "Additional headers, separated by |",
	 NULL, 0},
	{"keyed", OPTION_BOOL, "false", 0, 0, "", "a switch", "Sends the header Idempotency-Key",
	 NULL, 0},
	{"prefix", OPTION_TEXT, "k", 0, 0, "", "a word", "Prefix of the request keys", NULL, 0},
	{"concurrency", OPTION_NUMBER, "8", 1, 20000, "", NULL,
	 "Number of callers, each with one request at a time", NULL, 0},
	{"duration", OPTION_NUMBER, "1000", 1, 3600000, "ms", NULL,
	 "Time during which requests are started", NULL, 0},
	{"pause", OPTION_NUMBER, "0", 0, 60000, "ms", NULL, "Pause of a caller after a response",
	 NULL, 0},
	{"body", OPTION_NUMBER, "0", 0, 10000000, "bytes", NULL, "Length of request bodies", NULL,
	 0},
	{"resends", OPTION_NUMBER, "0", 0, 100, "", NULL,
	 "Resends of a request through other entries, with the same key, unless it ran", NULL, 0},
	{"log", OPTION_TEXT, "", 0, 0, "", "a file", "File that results are logged to", NULL, 0},
	{0},
};

struct caller {
	int fd;
	guint entry;
	bool connected_once; ///< a response was received on this connection
	ev_io io;
	ev_timer timer;
	GByteArray *in;
	char *key;
	clock_ms_t started_at;
	gint64 started_us;
	int sends;
	bool waiting;		 ///< a request was sent and its response is not complete
	char *uncertain_verdict; ///< last verdict of earlier sends other than not-run, or NULL
};

static struct ev_loop *loop;
static char **entries;
static char **health;
static bool *healthy;
static guint next_entry;
static guint64 next_key;
static clock_ms_t end_at_ms;
static int n_active;
static FILE *results;
static GArray *latencies_us;
static guint64 n_ran, n_not_run, n_may_have_run, n_errors, n_2xx;

static void begin_request(struct caller *c);

/// A health check of an entry, like those of a load balancer.
struct health_check {
	ev_io io;
	guint entry;
	bool sent;
};

static void on_check(struct ev_loop *l, ev_io *w, int revents)
{
	struct health_check *health_check = w->data;
	char buffer[64] = {0};

	(void)l;
	(void)revents;
	if (!health_check->sent) {
		const char *text = "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

		health_check->sent = true;
		if (send(w->fd, text, strlen(text), MSG_NOSIGNAL) > 0) {
			ev_io_stop(loop, w);
			ev_io_set(w, w->fd, EV_READ);
			ev_io_start(loop, w);
			return;
		}
	}
	healthy[health_check->entry] =
		recv(w->fd, buffer, sizeof(buffer) - 1, 0) > 0 && strstr(buffer, " 200 ");
	ev_io_stop(loop, w);
	close(w->fd);
	g_free(health_check);
}

static void on_health_timer(struct ev_loop *l, ev_timer *w, int revents)
{
	(void)l;
	(void)w;
	(void)revents;
	for (guint i = 0; health[i]; i++) {
		struct health_check *health_check = g_new0(struct health_check, 1);

		health_check->entry = i;
		ev_io_init(&health_check->io, on_check, fake_http_connect(health[i]), EV_WRITE);
		health_check->io.data = health_check;
		ev_io_start(loop, &health_check->io);
	}
}

/// @param excluded entry that isn't chosen, unless it is the only one; G_MAXUINT: none
/// @return the next healthy entry in round-robin order, or the next one if none is healthy
static guint choose_entry(guint excluded)
{
	guint n = g_strv_length(entries);

	for (guint tries = 0; tries < 2 * n; tries++) {
		guint i = next_entry++ % n;

		if (healthy[i] && (i != excluded || n == 1))
			return i;
	}
	return next_entry++ % n;
}

static void disconnect(struct caller *c)
{
	if (c->fd < 0)
		return;
	ev_io_stop(loop, &c->io);
	close(c->fd);
	c->fd = -1;
	g_byte_array_set_size(c->in, 0);
}

static void log_result(struct caller *c, const char *verdict, int status)
{
	gint64 us = g_get_monotonic_time() - c->started_us;

	if (g_str_equal(verdict, "ran"))
		n_ran++;
	else if (g_str_equal(verdict, "not-run"))
		n_not_run++;
	else if (g_str_equal(verdict, "may-have-run"))
		n_may_have_run++;
	else
		n_errors++;
	if (status >= 200 && status < 300) {
		n_2xx++;
		g_array_append_val(latencies_us, us);
	}
	if (results)
		fprintf(results, "%s %s %d %" G_GINT64_FORMAT " %s %d %s %" PRId64 "\n", c->key,
			verdict, status, us / 1000, entries[c->entry], c->sends,
			c->uncertain_verdict ? c->uncertain_verdict : "-", clock_wall());
}

static void on_pause_elapsed(struct ev_loop *l, ev_timer *w, int revents);

/// Continues after a pause: resends the current request, or begins the next one.
static void schedule_after(struct caller *c, double seconds)
{
	ev_timer_stop(loop, &c->timer);
	ev_set_cb(&c->timer, on_pause_elapsed);
	ev_timer_set(&c->timer, seconds, 0.);
	ev_timer_start(loop, &c->timer);
}

/// Handles the end of a send. If the request ran, or was resent as often as --resends allows, logs
/// the result and begins the next request; otherwise resends the request after a pause.
static void handle_send_end(struct caller *c, const char *verdict, int status)
{
	c->waiting = false;
	if (!g_str_equal(verdict, "ran") && c->sends <= options_number(options, "resends")) {
		if (!g_str_equal(verdict, "not-run")) {
			g_free(c->uncertain_verdict);
			c->uncertain_verdict = g_strdup(verdict);
		}
		disconnect(c);
		schedule_after(c, RESEND_PAUSE_S);
		return;
	}
	log_result(c, verdict, status);
	g_clear_pointer(&c->key, g_free);
	g_clear_pointer(&c->uncertain_verdict, g_free);
	if (!healthy[c->entry] && *health)
		disconnect(c);
	if (options_number(options, "pause"))
		schedule_after(c, options_number(options, "pause") / MS_PER_S);
	else
		begin_request(c);
}

static void send_request(struct caller *c)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_auto(GStrv) headers = g_strsplit(options_text(options, "headers"), "|", -1);
	gsize body = options_number(options, "body");
	g_autofree char *filler = g_strnfill(body, 'b');

	g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: x\r\nX-Request-Key: %s\r\n",
			       options_text(options, "method"), options_text(options, "path"),
			       c->key);
	if (options_get(options, "keyed")->number)
		g_string_append_printf(text, "Idempotency-Key: %s\r\n", c->key);
	for (int i = 0; headers[i] && *headers[i]; i++)
		g_string_append_printf(text, "%s\r\n", headers[i]);
	if (body || g_str_equal(options_text(options, "method"), "POST"))
		g_string_append_printf(text, "Content-Length: %zu\r\n", body);
	g_string_append_printf(text, "\r\n%s", filler);
	c->sends++;
	c->waiting = true;
	if (send(c->fd, text->str, text->len, MSG_NOSIGNAL) != (ssize_t)text->len) {
		disconnect(c);
		handle_send_end(c, "error", 0);
	}
}

/// Handles a response. A response without Content-Length is read as one without a body. That would
/// be right only for HEAD or status 204, which the callers don't use.
static void on_answer(struct caller *c, const char *head)
{
	g_autofree char *verdict = fake_http_header(head, "Sesamewood-Verdict");
	g_autofree char *connection = fake_http_header(head, "Connection");
	int status = atoi(head + strlen("HTTP/1.1 "));

	ev_timer_stop(loop, &c->timer);
	c->connected_once = true;
	if (connection && g_ascii_strcasecmp(connection, "close") == 0)
		disconnect(c);
	handle_send_end(c, verdict ? verdict : status == 200 ? "ran" : "error", status);
}

static void on_event(struct ev_loop *l, ev_io *w, int revents)
{
	struct caller *c = w->data;
	guint8 buffer[READ_BYTES];
	g_autofree char *head = NULL;
	ssize_t n;
	gsize used;

	(void)l;
	if (revents & EV_WRITE) {
		ev_io_stop(loop, w);
		ev_io_set(w, w->fd, EV_READ);
		ev_io_start(loop, w);
		send_request(c);
		return;
	}
	n = recv(w->fd, buffer, sizeof(buffer), 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		bool reused = c->connected_once && !c->in->len;

		disconnect(c);
		ev_timer_stop(loop, &c->timer);
		if (c->waiting)
			handle_send_end(c, reused ? "closed-idle" : "error", 0);
		return;
	}
	g_byte_array_append(c->in, buffer, n);
	used = fake_http_message(c->in, &head);
	if (!used)
		return;
	g_byte_array_remove_range(c->in, 0, used);
	on_answer(c, head);
}

static void on_timeout(struct ev_loop *l, ev_timer *w, int revents)
{
	struct caller *c = w->data;

	(void)l;
	(void)revents;
	disconnect(c);
	handle_send_end(c, "error", 0);
}

static void start_send(struct caller *c)
{
	ev_timer_stop(loop, &c->timer);
	ev_set_cb(&c->timer, on_timeout);
	ev_timer_set(&c->timer, REQUEST_TIMEOUT_S, 0.);
	ev_timer_start(loop, &c->timer);
	if (c->fd >= 0) {
		send_request(c);
		return;
	}
	c->entry = choose_entry(c->sends ? c->entry : G_MAXUINT);
	c->fd = fake_http_connect(entries[c->entry]);
	c->connected_once = false;
	ev_io_init(&c->io, on_event, c->fd, EV_WRITE);
	c->io.data = c;
	ev_io_start(loop, &c->io);
}

static void begin_request(struct caller *c)
{
	if (clock_monotonic() >= end_at_ms) {
		ev_timer_stop(loop, &c->timer);
		disconnect(c);
		if (--n_active == 0)
			ev_break(loop, EVBREAK_ALL);
		return;
	}
	c->key = g_strdup_printf("%s-%" G_GUINT64_FORMAT, options_text(options, "prefix"),
				 next_key++);
	c->sends = 0;
	c->started_at = clock_monotonic();
	c->started_us = g_get_monotonic_time();
	start_send(c);
}

static void on_pause_elapsed(struct ev_loop *l, ev_timer *w, int revents)
{
	struct caller *c = w->data;

	(void)l;
	(void)revents;
	if (c->key)
		start_send(c);
	else
		begin_request(c);
}

static int compare_us(gconstpointer a, gconstpointer b)
{
	gint64 x = *(const gint64 *)a;
	gint64 y = *(const gint64 *)b;

	return (x > y) - (x < y);
}

static gint64 quantile(double q)
{
	if (!latencies_us->len)
		return 0;
	return g_array_index(latencies_us, gint64, (guint)(q * (latencies_us->len - 1)));
}

int main(int argc, char **argv)
{
	ev_timer health_timer;
	clock_ms_t from;

	options_parse(options, "Fake callers.", &argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	entries = g_strsplit(options_text(options, "entries"), ",", -1);
	health = g_strsplit(options_text(options, "health"), ",", -1);
	healthy = g_new(bool, g_strv_length(entries));
	for (guint i = 0; entries[i]; i++)
		healthy[i] = true;
	if (*options_text(options, "log"))
		results = fopen(options_text(options, "log"), "a");
	if (results) /* several loads append to the file: a write must hold whole lines */
		setvbuf(results, NULL, _IOLBF, BUFSIZ);
	latencies_us = g_array_new(FALSE, FALSE, sizeof(gint64));
	from = clock_monotonic();
	end_at_ms = from + options_number(options, "duration");
	n_active = (int)options_number(options, "concurrency");
	for (int i = 0, n = n_active; i < n; i++) {
		struct caller *c = g_new0(struct caller, 1);

		c->fd = -1;
		c->in = g_byte_array_new();
		ev_timer_init(&c->timer, on_timeout, 0., 0.);
		c->timer.data = c;
		begin_request(c);
	}
	ev_timer_init(&health_timer, on_health_timer, 0., 0.1);
	ev_timer_start(loop, &health_timer);
	ev_run(loop, 0);
	g_array_sort(latencies_us, compare_us);
	printf("ran=%" G_GUINT64_FORMAT " not-run=%" G_GUINT64_FORMAT
	       " may-have-run=%" G_GUINT64_FORMAT " error=%" G_GUINT64_FORMAT
	       " ok=%" G_GUINT64_FORMAT " rate=%.0f p50_us=%" G_GINT64_FORMAT
	       " p99_us=%" G_GINT64_FORMAT " max_us=%" G_GINT64_FORMAT "\n",
	       n_ran, n_not_run, n_may_have_run, n_errors, n_2xx,
	       n_2xx * MS_PER_S / (double)MAX(clock_monotonic() - from, 1), quantile(0.5),
	       quantile(0.99), quantile(1));
	if (results)
		fclose(results);
	return 0;
}
