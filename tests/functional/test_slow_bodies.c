/// @file
/// Clients outside the limits: many requests that stop short of their end and stay open. A process
/// must live, stay within its memory and its descriptors, answer an ordinary request, release the
/// memory afterwards, and end within its grace time. Without bounds, 300 such bodies raised the
/// memory of an entry from 11 to 317 MB, and kept it from ending after a SIGTERM.

#include "base/clock.h"
#include "base/http_status.h"
#include "base/log.h"
#include "harness.h"
#include "rpc/generated/sesamewood.h"
#include "rpc/rpc_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define KIB 1024U
#define MIB (1024U * KIB)

/* Ports and settings of the processes under test. */
#define RPC_PORT 7060
#define FRONT_PORT 8624
#define READY_PORT 8622
#define CONTROL_PORT 8623
#define MEMORY_MB 96	    /* stated to the platform's programs; incomplete input gets a quarter */
#define DEFAULT_INPUT_MB 64 /* for incomplete input where no memory is stated */
#define FDS_MAX 256	    /* stated to the platform's programs */
#define ENTRY_CONNECTIONS 150
#define ADMIN_CONNECTIONS 256 /* of sesamewood-control */
#define ENTRY_FDS_AT_REST 64  /* of sesamewood-entry: listeners, control, endpoints */
#define GRACE_S 6
#define MS_PER_S ((clock_ms_t)1000)
#define ENTRY_STOP_MS 10000 /* sesamewood-entry has no grace time; balancers allow 10 s */
/// Memory besides that at rest and the input: allocator, buffers of sockets, answers.
#define MARGIN_MB 16
#define MARGIN_SMALL_MB 24 /* heads and idle connections: pools of FDS_MAX connections */

#define CROWD 300
#define BODY_MISSING_BYTES 100
#define PIECE_BYTES (16 * KIB)
#define CHUNK_BYTES (64 * KIB)
#define TINY_CHUNKS 20000	     /* of one byte for each connection */
#define TINY_PER_SEND ((size_t)2000) /* chunks in one send() */
#define RECORD_BYTES 2097152U
#define CROWD_AT_STOP 20

#define CONTROL_DELAY_S 0.5 /* so that a request is in progress at the SIGTERM */
#define START_MS 20000
#define REQUEST_S 20 /* an ordinary request has an answer, however late */
/// Waits of a client for a server that does not read: the first one, and each further one.
#define SEND_MS 300
#define SEND_AGAIN_MS 1
#define US_PER_MS 1000L
#define RELEASE_MS 15000
#define ANSWER_ENDPOINTS 8
#define ANSWERS 60U /* at most 8 slots of each endpoint */
#define ANSWER_BYTES "4000000"
#define ANSWERS_MB 64		 /* for incomplete answers of endpoints, as --answers-bytes */
#define UNREAD_BUFFER_BYTES 4096 /* little of an answer fits into the caller's socket */
/// A body that is sent for 3.6 s, longer than an entry without work waits after a SIGTERM (3.2 s).
#define STOP_PIECES 18U
#define STOP_PIECE_BYTES 1000U
#define STOP_PIECE_US 200000
/// After the last part is sent, the process still reads what the sockets hold.
#define SETTLE_SAMPLES 20
#define SETTLE_PAUSE_US 100000

/* A control replica that leads and answers each call late, in a process of its own. */

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

static pid_t start_fake_control(const char *address)
{
	pid_t pid = fork();
	struct ev_loop *loop;

	g_assert_cmpint(pid, >=, 0);
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	if (!rpc_server_new(loop, address, on_call, loop))
		_exit(EXIT_FAILURE);
	ev_run(loop, 0);
	_exit(EXIT_SUCCESS);
}

/* Processes under test. */

enum target_kind {
	PLATFORM_ENTRY,
	PLATFORM_CONTROL,
	ENTRY,
	CONTROL,
};

struct target {
	enum target_kind kind;
	GSubprocess *process;
	struct harness *harness; ///< of an ENTRY
	pid_t control;		 ///< fake control of a PLATFORM_ENTRY, or 0
	char *dir;
	struct sockaddr_in http;
	struct sockaddr_in rpc;
	const char *more_settings; ///< of a platform's program, or NULL
	const char *path;	   ///< of an ordinary request
	unsigned int body_bytes;
	unsigned int head_bytes;
	unsigned int input_mb; ///< bound of incomplete input
	unsigned int fds_max;
	clock_ms_t stop_ms;
	long rest_mb;
	pid_t pid;
};

static struct sockaddr_in address_of(const char *ip, unsigned int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

static void die_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

static GSubprocess *start_program(const char *dir, const char *name, const char *settings)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_autofree char *program = g_build_filename(harness_programs(), name, NULL);
	g_autofree char *path = g_build_filename(dir, "node.conf", NULL);
	g_autofree char *log = g_build_filename(dir, "node.log", NULL);
	GSubprocess *process;

	g_assert_true(g_file_set_contents(path, settings, -1, NULL));
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", path, TRUE);
	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	process = g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
	g_assert_nonnull(process);
	return process;
}

static void start_platform(struct target *t)
{
	static unsigned int started;
	unsigned int id = (unsigned int)getpid() * 32 + started++;
	g_autofree char *net = g_strdup_printf("127.%u.%u", 130 + id / 250 % 100, 1 + id % 250);
	g_autofree char *control = g_strdup_printf("%s.1:%d", net, RPC_PORT);
	g_autofree char *own = g_strdup_printf("%s.%d", net, t->kind == PLATFORM_ENTRY ? 2 : 1);
	g_autofree char *common = g_strdup_printf(
		"nodeName=n\nip=%s\ninternalPorts=%d,%d\nseeds=%s.1:%d\nbounds.graceS=%d\n"
		"limits.memoryMb=%d\nlimits.maxFds=%d\n%s",
		own, RPC_PORT, RPC_PORT + 9, net, CONTROL_PORT, GRACE_S, MEMORY_MB, FDS_MAX,
		t->more_settings ? t->more_settings : "");
	g_autofree char *settings = NULL;

	t->dir = g_dir_make_tmp("slow-bodies-XXXXXX", NULL);
	if (t->kind == PLATFORM_ENTRY) {
		t->control = start_fake_control(control);
		settings = g_strdup_printf("%slisten.front=%s:%d\nlisten.ready=%s:%d\n", common,
					   own, FRONT_PORT, own, READY_PORT);
		t->process = start_program(t->dir, "sesamewood-platform-entry", settings);
		t->http = address_of(own, FRONT_PORT);
		t->path = "/q/00000000000000ab";
		t->body_bytes = 262144;
	} else {
		settings = g_strdup_printf("%slisten.control=%s:%d\nbootstrap=true\ndataDir=%s\n",
					   common, own, CONTROL_PORT, t->dir);
		t->process = start_program(t->dir, "sesamewood-platform-control", settings);
		t->http = address_of(own, CONTROL_PORT);
		t->rpc = address_of(own, RPC_PORT);
		t->path = "/metrics";
		t->body_bytes = 1 * MIB;
	}
	t->head_bytes = 16 * KIB;
	t->input_mb = MEMORY_MB / 4;
	t->fds_max = FDS_MAX;
	t->stop_ms = GRACE_S * MS_PER_S;
}

static void start_entry(struct target *t)
{
	g_autofree char *flags = g_strdup_printf("--connections=%d", ENTRY_CONNECTIONS);
	const struct harness_settings settings = {.entries = 1, .entry_flags = flags};

	t->harness = harness_new(&settings);
	t->process = g_object_ref(t->harness->entries[0].process);
	t->http = address_of(t->harness->host, 8080);
	t->rpc = address_of(t->harness->host, 7610);
	t->path = "/nowhere";
	t->body_bytes = 1 * MIB;
	t->head_bytes = 4 * KIB;
	t->input_mb = DEFAULT_INPUT_MB;
	t->fds_max = ENTRY_CONNECTIONS + ENTRY_FDS_AT_REST;
	t->stop_ms = ENTRY_STOP_MS;
}

static void start_control(struct target *t)
{
	const struct harness_settings settings = {.entries = 0};

	t->harness = harness_new(&settings);
	t->process = g_object_ref(t->harness->controls[0].process);
	t->http = address_of(t->harness->host, 7700);
	t->path = "/metrics";
	t->body_bytes = 1 * MIB;
	t->head_bytes = 8 * KIB;
	t->input_mb = DEFAULT_INPUT_MB;
	t->fds_max = ADMIN_CONNECTIONS + ENTRY_FDS_AT_REST;
	t->stop_ms = ENTRY_STOP_MS;
}

static long resident_mb(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/statm", pid);
	g_autofree char *text = NULL;
	long pages = 0;

	if (!g_file_get_contents(path, &text, NULL, NULL) ||
	    sscanf(text, "%*d %ld", &pages) != 1) /* NOLINT(cert-err34-c) */
		return -1;
	return pages * sysconf(_SC_PAGESIZE) / (long)MIB;
}

static unsigned int count_fds(pid_t pid)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", pid);
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	unsigned int n = 0;

	while (dir && g_dir_read_name(dir))
		n++;
	return n;
}

static bool is_alive(const struct target *t)
{
	return g_subprocess_get_identifier(t->process);
}

/* Connections. */

static void set_send_timeout(int fd, unsigned int timeout_ms)
{
	const struct timeval timeout = {.tv_usec = timeout_ms * US_PER_MS};

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
}

static int open_small_connection(const struct sockaddr_in *address, int receive_bytes)
{
	const struct timeval receive_timeout = {.tv_sec = REQUEST_S};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	set_send_timeout(fd, SEND_MS);
	if (receive_bytes)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof(receive_bytes));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof(receive_timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int open_connection(const struct sockaddr_in *address)
{
	return open_small_connection(address, 0);
}

/// Sends an ordinary request.
///
/// @return descriptor from which its response is read
static int send_request(const struct target *t)
{
	g_autofree char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", t->path);
	int fd = open_connection(&t->http);

	if (fd >= 0 && send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		g_test_message("cannot send: %s", g_strerror(errno));
	return fd;
}

/// Reads a response to its end. Closes @p fd.
///
/// @return status, or 0 without a complete response
static unsigned int read_response(int fd)
{
	g_autoptr(GString) text = g_string_new("");
	char part[4096];
	unsigned int status = 0;
	unsigned long length = 0;
	const char *end;
	const char *declared;
	ssize_t n;

	while (fd >= 0 && (n = recv(fd, part, sizeof(part), 0)) > 0)
		g_string_append_len(text, part, n);
	if (fd >= 0)
		close(fd);
	end = strstr(text->str, "\r\n\r\n");
	declared = strstr(text->str, "Content-Length: ");
	if (!end || sscanf(text->str, "HTTP/1.1 %u", &status) != 1) /* NOLINT(cert-err34-c) */
		return 0;
	if (declared)
		length = strtoul(declared + strlen("Content-Length: "), NULL, 10);
	return text->len == (gsize)(end + 4 - text->str) + length ? status : 0;
}

/* Crowds. Each function sends part number @p round of an unfinished request and returns false
 * when all was sent. A connection that the process has closed is ignored. */

struct crowd {
	struct target *target;
	int receive_bytes; ///< receive buffer of the sockets; 0: the system's
	int fds[CROWD];
	unsigned int n;
	long peak_mb;
	unsigned int peak_fds;
	char *buffer; ///< of the longest part
};

typedef bool (*send_part_fn)(struct crowd *c, int fd, unsigned int round);

static void send_all(int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n <= 0) {
			set_send_timeout(fd, SEND_AGAIN_MS);
			return;
		}
		p += n;
		len -= n;
	}
}

static void send_head(const struct crowd *c, int fd, bool chunked)
{
	g_autofree char *framing =
		chunked ? g_strdup("Transfer-Encoding: chunked")
			: g_strdup_printf("Content-Length: %u", c->target->body_bytes);
	g_autofree char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n",
						c->target->path, framing);

	send_all(fd, text, strlen(text));
}

static bool send_whole(struct crowd *c, int fd, unsigned int round)
{
	(void)round;
	send_head(c, fd, false);
	send_all(fd, c->buffer, c->target->body_bytes - BODY_MISSING_BYTES);
	return false;
}

static bool send_piece(struct crowd *c, int fd, unsigned int round)
{
	unsigned int sent = round * PIECE_BYTES;
	unsigned int all = c->target->body_bytes - BODY_MISSING_BYTES;

	if (!round)
		send_head(c, fd, false);
	send_all(fd, c->buffer, MIN(PIECE_BYTES, all - sent));
	return sent + PIECE_BYTES < all;
}

static bool send_large_chunk(struct crowd *c, int fd, unsigned int round)
{
	unsigned int sent = round * CHUNK_BYTES;
	unsigned int all = c->target->body_bytes - BODY_MISSING_BYTES;
	unsigned int len = MIN(CHUNK_BYTES, all - sent);
	g_autofree char *size = g_strdup_printf("%x\r\n", len);

	if (!round)
		send_head(c, fd, true);
	send_all(fd, size, strlen(size));
	send_all(fd, c->buffer, len);
	send_all(fd, "\r\n", 2);
	return sent + CHUNK_BYTES < all;
}

static bool send_tiny_chunks(struct crowd *c, int fd, unsigned int round)
{
	static const char chunk[] = "1\r\nx\r\n";
	char text[TINY_PER_SEND * (sizeof(chunk) - 1)];

	for (unsigned int i = 0; i < TINY_PER_SEND; i++)
		memcpy(text + i * (sizeof(chunk) - 1), chunk, sizeof(chunk) - 1);
	if (!round)
		send_head(c, fd, true);
	send_all(fd, text, sizeof(text));
	return (round + 1) * TINY_PER_SEND < TINY_CHUNKS;
}

static bool send_part_of_head(struct crowd *c, int fd, unsigned int round)
{
	g_autofree char *value = g_strnfill(c->target->head_bytes / 2, 'x');
	g_autofree char *text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nX-Long: %s",
						c->target->path, value);

	(void)round;
	send_all(fd, text, strlen(text));
	return false;
}

static bool send_nothing(struct crowd *c, int fd, unsigned int round)
{
	(void)c;
	(void)fd;
	(void)round;
	return false;
}

/// A record of the RPC protocol that lacks its last bytes.
static bool send_part_of_record(struct crowd *c, int fd, unsigned int round)
{
	const uint32_t mark = htonl(0x80000000U | RECORD_BYTES);

	if (!round)
		send_all(fd, &mark, sizeof(mark));
	send_all(fd, c->buffer, MIN(CHUNK_BYTES, RECORD_BYTES - BODY_MISSING_BYTES));
	return (round + 2) * CHUNK_BYTES <= RECORD_BYTES;
}

/// The mark of a record of the largest length that fits into it, and some of its bytes.
static bool send_huge_mark(struct crowd *c, int fd, unsigned int round)
{
	const uint32_t mark = htonl(0xffffffffU);

	(void)round;
	send_all(fd, &mark, sizeof(mark));
	send_all(fd, c->buffer, CHUNK_BYTES);
	return false;
}

static void sample(struct crowd *c)
{
	c->peak_mb = MAX(c->peak_mb, resident_mb(c->target->pid));
	c->peak_fds = MAX(c->peak_fds, count_fds(c->target->pid));
}

static void crowd_open(struct crowd *c, const struct sockaddr_in *address, unsigned int n,
		       send_part_fn send_part)
{
	bool more = true;

	c->n = n;
	for (unsigned int i = 0; i < n; i++)
		c->fds[i] = open_small_connection(address, c->receive_bytes);
	for (unsigned int round = 0; more; round++) {
		more = false;
		for (unsigned int i = 0; i < n; i++) {
			if (c->fds[i] >= 0)
				more |= send_part(c, c->fds[i], round);
			if (i % 16 == 0)
				sample(c);
		}
	}
	for (unsigned int i = 0; i < SETTLE_SAMPLES; i++) {
		g_usleep(SETTLE_PAUSE_US);
		sample(c);
	}
}

static void crowd_close(struct crowd *c)
{
	for (unsigned int i = 0; i < c->n; i++)
		if (c->fds[i] >= 0)
			close(c->fds[i]);
	c->n = 0;
}

/* The test. */

static void target_start(struct target *t)
{
	if (t->kind == ENTRY)
		start_entry(t);
	else if (t->kind == CONTROL)
		start_control(t);
	else
		start_platform(t);
	t->pid = (pid_t)strtol(g_subprocess_get_identifier(t->process), NULL, 10);
	g_assert_true(harness_wait_until(read_response(send_request(t)) > 0, START_MS));
	t->rest_mb = resident_mb(t->pid);
}

static void target_free(struct target *t)
{
	if (is_alive(t))
		g_subprocess_force_exit(t->process);
	g_subprocess_wait(t->process, NULL, NULL);
	g_object_unref(t->process);
	if (t->control) {
		kill(t->control, SIGKILL);
		waitpid(t->control, NULL, 0);
	}
	if (t->harness)
		harness_free(t->harness);
	g_free(t->dir);
}

struct slow_case {
	const char *name;
	enum target_kind kind;
	send_part_fn send_part;
	bool is_rpc;
	bool is_small; ///< connections that hold little each
};

/// A SIGTERM while unfinished requests are open: a request that was sent is answered.
static void check_stop(struct target *t, struct crowd *c, const struct sockaddr_in *address,
		       send_part_fn send_part)
{
	int request;
	bool has_ended;

	crowd_open(c, address, CROWD_AT_STOP, send_part);
	request = send_request(t);
	g_usleep(100000);
	g_subprocess_send_signal(t->process, SIGTERM);
	has_ended = harness_wait_until(!is_alive(t), t->stop_ms);
	g_assert_true(has_ended);
	g_assert_cmpuint(read_response(request), >, 0);
	crowd_close(c);
	if (!has_ended)
		return;
	g_subprocess_wait(t->process, NULL, NULL);
	g_assert_true(g_subprocess_get_if_exited(t->process));
	if (g_subprocess_get_if_exited(t->process))
		g_assert_cmpint(g_subprocess_get_exit_status(t->process), ==, 0);
}

/// Guards against memory and descriptors that grow with the number of unfinished requests, and
/// against stops that wait for them.
static void test_slow_case(gconstpointer p)
{
	const struct slow_case *k = p;
	struct target t = {.kind = k->kind};
	g_autofree char *buffer = g_strnfill(RECORD_BYTES, 'x');
	struct crowd c = {.target = &t, .buffer = buffer};
	const struct sockaddr_in *address = k->is_rpc ? &t.rpc : &t.http;
	unsigned int margin_mb = MARGIN_SMALL_MB;
	unsigned int status;

	target_start(&t);
	if (!k->is_small)
		margin_mb = t.input_mb + MARGIN_MB;
	crowd_open(&c, address, CROWD, k->send_part);
	g_test_message("rest %ld MB, peak %ld MB of %ld, %u of %u descriptors", t.rest_mb,
		       c.peak_mb, t.rest_mb + margin_mb, c.peak_fds, t.fds_max);
	g_assert_true(is_alive(&t));
	g_assert_cmpint(c.peak_mb, <=, t.rest_mb + margin_mb);
	g_assert_cmpuint(c.peak_fds, <=, t.fds_max);
	status = read_response(send_request(&t));
	g_test_message("ordinary request: %u", status);
	g_assert_cmpuint(status, >, 0);
	crowd_close(&c);
	g_assert_true(harness_wait_until(resident_mb(t.pid) <= t.rest_mb + MARGIN_MB, RELEASE_MS));
	g_test_message("%ld MB after the crowd has gone", resident_mb(t.pid));
	if (is_alive(&t))
		check_stop(&t, &c, address, k->send_part);
	target_free(&t);
}

#define SLOW_CASES(prefix, target)                                                                 \
	{prefix "/whole_bodies", target, send_whole, false, false},                                \
		{prefix "/bodies_in_pieces", target, send_piece, false, false},                    \
		{prefix "/large_chunks", target, send_large_chunk, false, false},                  \
		{prefix "/chunks_of_one_byte", target, send_tiny_chunks, false, true},             \
		{prefix "/incomplete_heads", target, send_part_of_head, false, true},              \
	{                                                                                          \
		prefix "/idle_connections", target, send_nothing, false, true                      \
	}

static const struct slow_case cases[] = {
	SLOW_CASES("/slow_bodies/platform_entry", PLATFORM_ENTRY),
	SLOW_CASES("/slow_bodies/platform_control", PLATFORM_CONTROL),
	SLOW_CASES("/slow_bodies/entry", ENTRY),
	SLOW_CASES("/slow_bodies/control", CONTROL),
	{"/slow_bodies/rpc/unfinished_records", PLATFORM_CONTROL, send_part_of_record, true, false},
	{"/slow_bodies/rpc/huge_records", PLATFORM_CONTROL, send_huge_mark, true, false},
};

/* Limits of the settings. */

static struct target *start_with(enum target_kind kind, const char *settings)
{
	struct target *t = g_new0(struct target, 1);

	t->kind = kind;
	t->more_settings = settings;
	target_start(t);
	return t;
}

/// Returns whether the process has closed the connection.
static bool is_closed(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN);
}

/// Guards against a stop that cuts a client which is still sending at a normal rate.
static void test_sender_is_served_during_stop(void)
{
	struct target *t = start_with(PLATFORM_ENTRY, "");
	g_autofree char *buffer = g_strnfill(STOP_PIECE_BYTES, 'x');
	g_autofree char *head = g_strdup_printf(
		"POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %u\r\n\r\n",
		t->path, STOP_PIECES * STOP_PIECE_BYTES);
	int fd = open_connection(&t->http);

	send_all(fd, head, strlen(head));
	for (unsigned int i = 0; i < STOP_PIECES; i++) {
		if (i == 1)
			g_subprocess_send_signal(t->process, SIGTERM);
		send_all(fd, buffer, STOP_PIECE_BYTES);
		g_usleep(STOP_PIECE_US);
	}
	g_assert_cmpuint(read_response(fd), ==, HTTP_OK);
	g_assert_true(harness_wait_until(!is_alive(t), t->stop_ms));
	target_free(t);
	g_free(t);
}

/// Guards against requests that never arrive, whether head or body, and against closing a
/// connection that is only idle.
static void test_request_that_does_not_arrive_is_closed(void)
{
	struct target *t = start_with(PLATFORM_ENTRY, "limits.requestArrivalS=1\n");
	struct crowd c = {.target = t};
	int head = open_connection(&t->http);
	int line = open_connection(&t->http);
	int body = open_connection(&t->http);
	int idle = open_connection(&t->http);

	send_part_of_head(&c, head, 0);
	send_all(line, "GET /", 5);
	send_head(&c, body, false);
	g_assert_true(harness_wait_until(is_closed(head) && is_closed(line) && is_closed(body),
					 RELEASE_MS));
	g_assert_false(is_closed(idle));
	close(head);
	close(line);
	close(body);
	close(idle);
	target_free(t);
	g_free(t);
}

/// Guards against one address that takes all of a listener.
static void test_unfinished_requests_of_an_address(void)
{
	struct target *t = start_with(PLATFORM_ENTRY, "limits.unfinishedPerAddress=2\n");
	struct crowd c = {.target = t};
	int fds[3];

	for (unsigned int i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = open_connection(&t->http);
		send_head(&c, fds[i], false);
		g_usleep(SETTLE_PAUSE_US);
	}
	g_assert_true(harness_wait_until(is_closed(fds[0]), RELEASE_MS));
	g_assert_false(is_closed(fds[1]));
	g_assert_false(is_closed(fds[2]));
	g_assert_cmpuint(read_response(send_request(t)), ==, HTTP_OK);
	for (unsigned int i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	target_free(t);
	g_free(t);
}

/* Answers of endpoints. */

static void set_up_pool(struct harness *h)
{
	gint64 version;

	harness_start_endpoints(h, "a-", ANSWER_ENDPOINTS, "--delay=0 --body=" ANSWER_BYTES);
	harness_put_table(h, "pools", "{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"]}]}");
	version = harness_put_table(h, "routes", "{\"routes\":[{\"name\":\"a\",\"pool\":\"a\"}]}");
	g_assert_true(harness_wait_until(harness_is_in_force(h, version), START_MS));
	g_assert_true(harness_wait_until(
		harness_count_instances(h, "a", "active") == ANSWER_ENDPOINTS, START_MS));
}

static bool ask_for_endless_answer(struct crowd *c, int fd, unsigned int round)
{
	static const char text[] = "POST /a HTTP/1.1\r\nHost: h\r\nFake-Behaviour: stall\r\n"
				   "Content-Length: 0\r\n\r\n";

	(void)c;
	(void)round;
	send_all(fd, text, sizeof(text) - 1);
	return false;
}

static bool ask_for_answer(struct crowd *c, int fd, unsigned int round)
{
	static const char text[] = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

	(void)c;
	(void)round;
	send_all(fd, text, sizeof(text) - 1);
	return false;
}

/// Guards against the memory of answers that callers do not read.
static void test_answers_that_are_not_read(void)
{
	struct target t = {.kind = ENTRY};
	struct crowd c = {.target = &t, .receive_bytes = UNREAD_BUFFER_BYTES};
	unsigned int status;

	target_start(&t);
	set_up_pool(t.harness);
	crowd_open(&c, &t.http, ANSWERS, ask_for_answer);
	g_test_message("rest %ld MB, peak %ld MB of %ld", t.rest_mb, c.peak_mb,
		       t.rest_mb + t.input_mb + ANSWERS_MB + MARGIN_MB);
	g_assert_true(is_alive(&t));
	g_assert_cmpint(c.peak_mb, >, t.rest_mb + MARGIN_MB); /* the answers did arrive */
	/* Those from endpoints and those to callers have a budget each. */
	g_assert_cmpint(c.peak_mb, <=, t.rest_mb + t.input_mb + ANSWERS_MB + MARGIN_MB);
	status = read_response(send_request(&t));
	g_assert_cmpuint(status, >, 0);
	crowd_close(&c);
	target_free(&t);
}

/// Guards against the memory of answers that endpoints begin and don't end, each of legal length.
static void test_answers_that_never_end(void)
{
	struct target t = {.kind = ENTRY};
	struct crowd c = {.target = &t};
	unsigned int status;

	target_start(&t);
	set_up_pool(t.harness);
	crowd_open(&c, &t.http, ANSWERS, ask_for_endless_answer);
	g_test_message("rest %ld MB, peak %ld MB of %ld", t.rest_mb, c.peak_mb,
		       t.rest_mb + t.input_mb + MARGIN_MB);
	g_assert_true(is_alive(&t));
	g_assert_cmpint(c.peak_mb, >, t.rest_mb + MARGIN_MB); /* the answers did arrive */
	g_assert_cmpint(c.peak_mb, <=, t.rest_mb + t.input_mb + MARGIN_MB);
	status = read_response(send_request(&t));
	g_assert_cmpuint(status, >, 0);
	crowd_close(&c);
	target_free(&t);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each case on its own */
	for (unsigned int i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i], test_slow_case);
	g_test_add_func("/slow_bodies/limits/sender_is_served_during_stop",
			test_sender_is_served_during_stop);
	g_test_add_func("/slow_bodies/limits/request_that_does_not_arrive_is_closed",
			test_request_that_does_not_arrive_is_closed);
	g_test_add_func("/slow_bodies/limits/unfinished_requests_of_an_address",
			test_unfinished_requests_of_an_address);
	g_test_add_func("/slow_bodies/entry/answers_that_never_end", test_answers_that_never_end);
	g_test_add_func("/slow_bodies/entry/answers_that_are_not_read",
			test_answers_that_are_not_read);
	return g_test_run();
}
