#include "base/http_server.h"
#include "base/http_status.h"

#include "base/clock.h"
#include "base/input_budget.h"
#include "base/listener.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/work.h"

#include <arpa/inet.h>
#include <errno.h>
#include <json-glib/json-glib.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <malloc.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

/// Period at which waiting requests get a watcher that detects a client's disconnect. Most requests
/// are answered sooner and never need one.
#define DISCONNECT_SCAN_S 0.1
#define BODY_INITIAL_BYTES 64
/// Bodies of this size get pages of their own. With 128 KiB, bodies that grew side by side left
/// gaps of 64 KiB each in the heap: 103 MB at a bound of 87 MB.
#define MAPPED_BODY_BYTES ((size_t)16 * 1024)
#define MS_PER_S 1000
/// Period at which heads that have begun to arrive are found, and time limits are checked.
#define SWEEP_S 1.0
/// Memory of a connection besides its pool: MHD's state, the request and its strings.
#define REQUEST_STATE_BYTES 2048
/// Copies of a body that waits for its answer: the request's, and the handler's for another
/// process.
#define WAITING_COPIES 2
/// A response that a client has not read after this time no longer delays a stop. Clients wait 3 s
/// for an answer.
#define UNREAD_RESPONSE_MS 4000
/// Runs of MHD after which a response has been sent as far as its socket accepts it. What is left
/// may be closed when memory is short.
#define SEND_RUNS 2
/// A stop waits for requests that are still arriving for this time. It is shorter than the time
/// until entries refuse requests (STOP_REFUSE_MS before their end) with a grace time of 6 s.
#define STOP_RECEIVE_MS 4000
/// A client that has sent nothing for this time is not waited for in a stop.
#define PROGRESS_MS 1000
/// Part of the descriptors of a process for its only busy listener.
#define FDS_PERCENT 75
/// Part of the connections, as a denominator, that is kept free by closing stale ones.
#define CONNECTIONS_FREE_PART 64
/// The allocator returns memory to the system once that much less is held than before.
#define TRIM_BYTES ((uint64_t)4 * 1024 * 1024)

/// A connection with unread input of which nothing was read for this time is closed: MHD waits for
/// more than its buffer can hold, as in a chunk extension that does not end.
#define STALL_MS 2000
/// Runs of MHD after which input that it has not read counts as stalled.
#define STALL_RUNS 8
/// Period of the check for such connections while MHD wants to run again at once.
#define SPIN_CHECK_MS 20

/// A request that was not passed to its handler for this time has waited. Without a pause of the
/// process it takes a fraction.
#define WAITED_MIN_MS 100

/// Responses of this size are refused when memory is short.
#define LARGE_RESPONSE_BYTES 65536

/// Reasons for which connections are closed or requests refused.
enum close_reason {
	CLOSE_MEMORY,
	CLOSE_TIME,
	CLOSE_ADDRESS,
	CLOSE_DESCRIPTORS,
	CLOSE_REFUSED,
	CLOSE_REASONS,
};

static const char *const reason_names[CLOSE_REASONS] = {
	"memory", "time", "address", "descriptors", "refused",
};

struct http_server {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct http_limits limits;
	const struct http_handlers *handlers;
	void *ctx;
	ev_io epoll_watcher;
	ev_prepare before_wait;
	ev_timer timer;
	ev_timer disconnect_scan;
	GQueue waiting; ///< suspended requests, the longest waiting first
	struct input_budget budget;
	uint64_t closing_bytes;	 ///< memory of closed connections that MHD has not freed
	unsigned int unfinished; ///< connections whose request is arriving
	unsigned int open;	 ///< connections
	uint64_t peak_use;	 ///< largest memory_in_use() since memory was last returned
	ev_timer sweep;
	clock_ms_t stopping_at; ///< 0: not stopping
	clock_ms_t logged_at;
	uint64_t runs;		   ///< of MHD
	uint64_t spin_checked_run; ///< runs at spin_checked_at
	clock_ms_t spin_checked_at;
	uint64_t released_run; ///< last one in which release_unread() looked at the connections
	unsigned int unlogged; ///< connections closed since then
	struct metric *held_bytes;
	struct metric *oldest_ms;
	struct metric *closed[CLOSE_REASONS];
	bool resumed; ///< a connection was resumed: MHD must run before the loop waits
	bool draining;
	bool closes_after_replies; ///< see http_server_close_after_replies()
};

/// A connection of a client.
struct client {
	struct http_server *server;
	int fd;
	struct input_hold hold;
	struct http_request *request; ///< NULL: none, or its request line has not arrived
	uint64_t received;	      ///< bytes received up to the end of the last request
	uint64_t own_bytes;	      ///< held by this process
	uint64_t kernel_bytes;	      ///< held by the kernel, when it was last looked at
	uint64_t read;		      ///< bytes read from the socket at that time
	clock_ms_t read_at;	      ///< time at which that last changed
	clock_ms_t unread_at;	///< first time at which input was unread, and none was read since
	uint64_t unread_run;	///< server->runs at that time
	bool has_unread;	///< input was unread at the last check
	clock_ms_t progress_at; ///< last arrival of a part of a request
	uint64_t answered_run;	///< server->runs at that time
	clock_ms_t answered_at; ///< 0: no response is being sent
	bool closing;
};

struct http_request {
	struct http_server *server;
	struct client *client;
	struct MHD_Connection *connection;
	char *method;
	char *target;
	GByteArray body;       ///< what has arrived, see resize_body()
	size_t body_size;      ///< allocated bytes
	uint64_t declared_len; ///< Content-Length, or 0
	void *data;
	struct MHD_Response *response;
	unsigned int status;
	GList link;	      ///< in server->waiting while suspended
	ev_io client_watcher; ///< detects that the client has disconnected
	clock_ms_t waited_ms; ///< see http_waited_ms()
	bool client_left;     ///< see http_client_has_left()
	bool too_large;
	bool dispatched; ///< passed to handlers->on_request
	bool suspended;	 ///< MHD does not serve the connection until the reply
	bool watched;	 ///< client_watcher is active
};

/* Memory and descriptors. */

static struct tcp_info tcp_info_of(int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len);
	return info;
}

static uint64_t bytes_received(int fd)
{
	return tcp_info_of(fd).tcpi_bytes_received;
}

/// Returns the bytes that have arrived on a socket and were not read.
static uint64_t bytes_unread(int fd)
{
	int n = 0;

	return ioctl(fd, SIOCINQ, &n) == 0 ? (uint64_t)n : 0;
}

/// Changes the allocated size of a body. Large bodies have pages of their own: the heap would keep
/// the gaps that they leave.
///
/// @return false without memory
static bool resize_body(struct http_request *req, size_t size)
{
	bool was_mapped = req->body_size >= MAPPED_BODY_BYTES;
	void *data;

	if (size < MAPPED_BODY_BYTES && !was_mapped) {
		req->body.data = g_realloc(req->body.data, size);
		req->body_size = size;
		return true;
	}
	if (was_mapped) {
		data = mremap(req->body.data, req->body_size, size, MREMAP_MAYMOVE);
	} else {
		data = mmap(NULL, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
		if (data != MAP_FAILED) {
			memcpy(data, req->body.data, req->body.len);
			g_free(req->body.data);
		}
	}
	if (data == MAP_FAILED)
		return false;
	req->body.data = data;
	req->body_size = size;
	return true;
}

static void free_body(struct http_request *req)
{
	if (req->body_size >= MAPPED_BODY_BYTES)
		munmap(req->body.data, req->body_size);
	else
		g_free(req->body.data);
	req->body = (GByteArray){0};
	req->body_size = 0;
}

/// Returns the memory of all connections, MHD's for their heads included. It keeps that until a
/// connection is closed.
static uint64_t memory_in_use(const struct http_server *s)
{
	return s->budget.held + (uint64_t)s->open * s->limits.head_bytes;
}

static void log_closed(struct http_server *s, const struct client *c, enum close_reason reason)
{
	clock_ms_t now = clock_monotonic();
	const struct in_addr address = {c->hold.address};
	char text[INET_ADDRSTRLEN] = "";

	metrics_add(s->closed[reason], 1);
	s->unlogged++;
	if (s->logged_at && now - s->logged_at < MS_PER_S)
		return;
	inet_ntop(AF_INET, &address, text, sizeof(text));
	log_warning("a client is outside the limits; its connections are closed or refused",
		    "LISTENER", s->limits.name, "CLIENT", text, "REASON", reason_names[reason],
		    "COUNT", log_number(s->unlogged));
	s->logged_at = now;
	s->unlogged = 0;
}

static void set_arriving(struct client *c, bool arriving)
{
	if (arriving == (c->hold.since != CLOCK_NEVER))
		return;
	c->hold.since = arriving ? clock_monotonic() : CLOCK_NEVER;
	if (arriving)
		c->server->unfinished++;
	else
		c->server->unfinished--;
}

/// Closes a connection. MHD notices the end of its input and frees it when it runs next.
static void close_client(struct client *c, enum close_reason reason)
{
	struct http_server *s = c->server;

	log_closed(s, c, reason);
	c->closing = true;
	if (c->request && !c->request->dispatched) {
		free_body(c->request);
		c->own_bytes = 0;
	}
	s->closing_bytes += c->own_bytes;
	set_arriving(c, false);
	input_budget_set(&s->budget, &c->hold, 0);
	c->hold.is_kept = true; /* nothing to gain by closing it again */
	shutdown(c->fd, SHUT_RDWR);
	s->resumed = true;
}

/// Allows closing the responses that MHD has tried to send and that did not fit into the sockets.
static void release_unread(struct http_server *s)
{
	if (s->released_run == s->runs)
		return;
	s->released_run = s->runs;
	for (GList *l = s->budget.holds.head; l; l = l->next) {
		struct client *c = ((struct input_hold *)l->data)->owner;

		if (c->answered_at && !c->closing && c->answered_run + SEND_RUNS <= s->runs)
			c->hold.is_kept = false;
	}
}

/// Sets the memory of a connection in this process, and closes connections while there is too much.
static void hold_bytes(struct client *c, uint64_t bytes)
{
	struct http_server *s = c->server;
	struct input_hold *victim;

	if (c->closing)
		return;
	c->own_bytes = bytes;
	input_budget_set(&s->budget, &c->hold, bytes + c->kernel_bytes);
	s->peak_use = MAX(s->peak_use, memory_in_use(s));
	if (s->budget.held > s->budget.limit)
		release_unread(s);
	while ((victim = input_budget_choose(&s->budget)))
		close_client(victim->owner, CLOSE_MEMORY);
}

/// Counts a request whose first bytes have arrived.
static void begin_arrival(struct client *c)
{
	struct http_server *s = c->server;
	struct input_hold *oldest;
	unsigned int count;

	c->progress_at = clock_monotonic();
	c->has_unread = false;
	set_arriving(c, true);
	hold_bytes(c, s->limits.head_bytes + REQUEST_STATE_BYTES);
	if (s->unfinished <= s->limits.address_requests)
		return;
	oldest = input_budget_oldest(&s->budget, &c->hold.address, &count);
	if (oldest && count > s->limits.address_requests)
		close_client(oldest->owner, CLOSE_ADDRESS);
}

/// Holds a complete request until it is answered.
static void keep_request(struct http_request *req, size_t response_len)
{
	struct client *c = req->client;
	const union MHD_ConnectionInfo *head =
		MHD_get_connection_info(req->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	if (c->closing)
		return;
	set_arriving(c, false);
	c->hold.is_kept = true;
	hold_bytes(c, (head ? head->header_size : 0) + REQUEST_STATE_BYTES + req->body_size +
			      req->body.len + response_len);
}

static uint32_t client_address(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

	if (!info || !info->client_addr || info->client_addr->sa_family != AF_INET)
		return 0;
	return ((const struct sockaddr_in *)(const void *)info->client_addr)->sin_addr.s_addr;
}

/// Returns the number of connections that are kept free.
static unsigned int connections_reserve(const struct http_server *s)
{
	return 1 + s->limits.connections / CONNECTIONS_FREE_PART;
}

/// Closes the stalest connection when few are left, so that new clients are accepted.
static void keep_connections_free(struct http_server *s)
{
	struct input_hold *victim;

	if (s->open + connections_reserve(s) <= s->limits.connections)
		return;
	victim = input_budget_stalest(&s->budget);
	if (victim)
		close_client(victim->owner, CLOSE_DESCRIPTORS);
}

/// Called by MHD when a connection is accepted, and before it is closed.
static void on_connection(void *ctx, struct MHD_Connection *connection, void **socket_context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *s = ctx;
	struct client *c = *socket_context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		c = g_new0(struct client, 1);
		c->server = s;
		c->fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
				->connect_fd;
		*socket_context = c;
		s->open++;
		s->peak_use = MAX(s->peak_use, memory_in_use(s));
		keep_connections_free(s);
		input_budget_add(&s->budget, &c->hold, client_address(connection), c);
		c->hold.used_at = clock_monotonic();
		return;
	}
	if (!c)
		return;
	*socket_context = NULL;
	set_arriving(c, false);
	if (c->closing)
		s->closing_bytes -= c->own_bytes;
	/* MHD watches the listener again only when it runs after a connection has been freed. */
	s->resumed |= s->open + connections_reserve(s) >= s->limits.connections;
	s->open--;
	input_budget_remove(&s->budget, &c->hold);
	g_free(c);
}

/// Looks for input of a connection without a request: MHD reports no incomplete request line.
///
/// @return whether the kernel may hold memory for it
static bool check_idle_client(struct client *c)
{
	const struct tcp_info info = tcp_info_of(c->fd);

	if (info.tcpi_bytes_received != c->received)
		begin_arrival(c);
	return info.tcpi_bytes_received != c->received || info.tcpi_notsent_bytes ||
	       info.tcpi_unacked || c->kernel_bytes;
}

/// Tells whether a request is arriving and MHD has not read what is there, although it has run, or
/// waits for the rest of a line that fills its buffer.
///
/// @param spins MHD wants to run again at once
static bool is_stalled(struct client *c, clock_ms_t now, bool spins)
{
	uint64_t unread = bytes_unread(c->fd);
	uint64_t read = bytes_received(c->fd) - unread;
	bool is_first = !c->has_unread;

	if (read != c->read)
		c->read_at = now;
	if (read != c->read || is_first) {
		c->unread_at = now;
		c->unread_run = c->server->runs;
	}
	c->has_unread = unread && read == c->read;
	c->read = read;
	if (!unread)
		return spins && now - c->read_at > STALL_MS && !c->request->declared_len;
	return c->server->runs >= c->unread_run + STALL_RUNS &&
	       (spins || now - c->unread_at > STALL_MS);
}

static void check_client(struct client *c, clock_ms_t now)
{
	struct http_server *s = c->server;
	bool is_idle = !c->request && c->hold.since == CLOCK_NEVER;

	if (c->closing || (is_idle && !check_idle_client(c)) || c->closing)
		return;
	c->kernel_bytes = listener_connection_memory(c->fd);
	hold_bytes(c, c->own_bytes);
	if (c->closing || c->hold.since == CLOCK_NEVER)
		return;
	if (now - c->hold.since > (clock_ms_t)s->limits.arrival_timeout_s * MS_PER_S ||
	    is_stalled(c, now, false))
		close_client(c, CLOSE_TIME);
}

/// Closes the requests for which MHD runs again and again without reading them: a line in a chunked
/// body does not fit into its buffer. In heads MHD detects that itself.
static void close_stalled(struct http_server *s)
{
	clock_ms_t now = clock_monotonic();

	if (now - s->spin_checked_at < SPIN_CHECK_MS || s->runs < s->spin_checked_run + STALL_RUNS)
		return;
	s->spin_checked_at = now;
	s->spin_checked_run = s->runs;
	for (GList *l = s->budget.holds.head; l; l = l->next) {
		struct client *c = ((struct input_hold *)l->data)->owner;

		if (!c->closing && c->hold.since != CLOCK_NEVER && c->request &&
		    c->request->method && is_stalled(c, now, true))
			close_client(c, CLOSE_TIME);
	}
}

/// Returns freed memory to the system: heads and bodies leave gaps in the heap.
static void trim_heap(struct http_server *s)
{
	uint64_t use = memory_in_use(s);

	if (s->peak_use < use + TRIM_BYTES || use > s->peak_use / 2)
		return;
	malloc_trim(0);
	s->peak_use = use;
}

static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_server *s = w->data;
	clock_ms_t now = clock_monotonic();
	const struct input_hold *oldest;

	(void)loop;
	(void)revents;
	for (GList *l = s->budget.holds.head; l; l = l->next)
		check_client(((struct input_hold *)l->data)->owner, now);
	oldest = input_budget_oldest(&s->budget, NULL, NULL);
	metrics_set(s->oldest_ms, oldest ? (uint64_t)(now - oldest->since) : 0);
	metrics_set(s->held_bytes, s->budget.held);
	trim_heap(s);
}

/* Requests. */

/// Called by MHD when a request line has arrived. The result is the request's state pointer.
static void *on_request_line(void *ctx, const char *target, struct MHD_Connection *connection)
{
	struct http_request *req = g_new0(struct http_request, 1);

	req->server = ctx;
	req->connection = connection;
	req->client = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			      ->socket_context;
	req->target = g_strdup(target);
	req->link.data = req;
	req->client->request = req;
	begin_arrival(req->client);
	return req;
}

static void stop_client_watcher(struct http_request *req)
{
	if (req->watched)
		ev_io_stop(req->server->loop, &req->client_watcher);
	req->watched = false;
}

/// The connection is idle again, or about to be closed.
static void end_request(struct client *c)
{
	c->request = NULL;
	c->answered_at = 0;
	c->hold.used_at = clock_monotonic();
	c->received = bytes_received(c->fd);
	set_arriving(c, false);
	if (c->closing)
		return;
	c->hold.is_kept = false;
	hold_bytes(c, 0);
}

/// Called by MHD when a request has ended in any way. Frees it.
static void on_completed(void *ctx, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct http_request *req = *state;

	(void)ctx;
	(void)connection;
	(void)code;
	if (!req)
		return;
	*state = NULL;
	stop_client_watcher(req);
	end_request(req->client);
	free_body(req);
	if (req->response)
		MHD_destroy_response(req->response);
	g_free(req->method);
	g_free(req->target);
	g_free(req);
}

/// Returns the memory that closing further connections would not free.
static uint64_t kept_bytes(const struct http_server *s)
{
	return input_budget_kept(&s->budget) + s->closing_bytes;
}

/// Tells whether a body of the declared length would not fit beside the complete requests.
static bool lacks_memory(const struct http_request *req)
{
	const struct input_budget *b = &req->server->budget;
	uint64_t need = req->declared_len * WAITING_COPIES;

	return need && b->held + need > b->limit && kept_bytes(req->server) + need > b->limit;
}

static void refuse_for_memory(struct http_request *req, const char *title, const char *verdict)
{
	log_closed(req->server, req->client, CLOSE_REFUSED);
	http_reply_problem(req, HTTP_UNAVAILABLE, title, verdict);
	MHD_add_response_header(req->response, "Retry-After", "1");
}

/// Refuses a request by its head. No byte of its body has been read, so it was not run.
///
/// @return true if it was refused and answered
static bool refuse_head(struct http_request *req)
{
	if (req->declared_len > req->server->limits.body_bytes) {
		http_reply_problem(req, HTTP_CONTENT_TOO_LARGE, "the body is too large", "not-run");
		return true;
	}
	if (!lacks_memory(req))
		return false;
	refuse_for_memory(req, "no memory is left for the body", "not-run");
	return true;
}

/// Adds a part of the body. The memory grows with what has arrived, up to the declared length.
static void receive(struct http_request *req, const char *data, size_t len)
{
	size_t need = req->body.len + len;
	size_t most = req->declared_len ? req->declared_len : req->server->limits.body_bytes;
	size_t size = MAX(need, MIN(MAX(req->body_size * 2, BODY_INITIAL_BYTES), most));

	if (need > req->body_size) {
		hold_bytes(req->client,
			   req->server->limits.head_bytes + REQUEST_STATE_BYTES + size);
		if (!req->client->closing && !resize_body(req, size))
			close_client(req->client, CLOSE_MEMORY);
		if (req->client->closing)
			return;
	}
	memcpy(req->body.data + req->body.len, data, len);
	req->body.len = need;
}

/// Tells whether a complete body has no room beside those that wait for their answers. Its head
/// arrived when there was room, or did not state its length. A body that waits alone has room.
static bool waits_without_memory(const struct http_request *req)
{
	const struct http_server *s = req->server;
	uint64_t kept = kept_bytes(s);

	return req->body.len && kept &&
	       kept + (uint64_t)req->body.len * WAITING_COPIES > s->budget.limit;
}

/// Finds out how long a complete request has waited in the socket. A process that was stopped, or
/// was not scheduled, reads requests as if they had just arrived.
static void record_wait(struct http_request *req)
{
	struct pollfd p = {.fd = req->client->fd, .events = POLLRDHUP};

	req->waited_ms = tcp_info_of(p.fd).tcpi_last_data_recv;
	req->client_left = req->waited_ms >= WAITED_MIN_MS && poll(&p, 1, 0) > 0 &&
			   p.revents & (POLLRDHUP | POLLHUP | POLLERR);
}

static void dispatch(struct http_request *req)
{
	struct http_server *s = req->server;
	bool lacks_room = waits_without_memory(req);

	req->dispatched = true;
	if (lacks_room)
		free_body(req);
	keep_request(req, 0);
	record_wait(req);
	if (req->too_large)
		http_reply_problem(req, HTTP_CONTENT_TOO_LARGE, "the body is too large", "not-run");
	else if (lacks_room)
		refuse_for_memory(req, "no memory is left for the body", "not-run");
	else
		s->handlers->on_request(s->ctx, req);
}

static void suspend(struct http_request *req)
{
	req->suspended = true;
	g_queue_push_tail_link(&req->server->waiting, &req->link);
	MHD_suspend_connection(req->connection);
}

static enum MHD_Result send_response(struct http_request *req)
{
	struct MHD_Response *response = g_steal_pointer(&req->response);
	enum MHD_Result result;

	if (req->server->draining || req->server->closes_after_replies)
		MHD_add_response_header(response, "Connection", "close");
	result = MHD_queue_response(req->connection, req->status, response);
	MHD_destroy_response(response);
	return result;
}

/// Called by MHD once for the head, once for each part of the body and again at its end.
static enum MHD_Result on_request_data(void *ctx, struct MHD_Connection *connection,
				       const char *url, const char *method, const char *version,
				       const char *data, size_t *len, void **state)
{
	struct http_request *req = *state;
	struct http_server *s = ctx;

	(void)connection;
	(void)url;
	(void)version;
	if (req->client->closing)
		return MHD_NO;
	req->client->progress_at = clock_monotonic();
	if (!req->method) {
		const char *length = http_header(req, "Content-Length");

		req->method = g_strdup(method);
		req->declared_len = length ? g_ascii_strtoull(length, NULL, 10) : 0;
		return refuse_head(req) ? send_response(req) : MHD_YES;
	}
	if (*len) {
		req->too_large |= req->body.len + *len > s->limits.body_bytes;
		if (req->too_large)
			free_body(req);
		else
			receive(req, data, *len);
		*len = 0;
		return req->client->closing ? MHD_NO : MHD_YES;
	}
	if (!req->dispatched)
		dispatch(req);
	if (req->response)
		return send_response(req);
	suspend(req);
	return MHD_YES;
}

static void run_daemon(struct http_server *s)
{
	enum work_kind before = work_enter(WORK_HTTP);

	do {
		s->resumed = false;
		s->runs++;
		MHD_run(s->daemon);
	} while (s->resumed);
	work_leave(before);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	run_daemon(w->data);
}

/// Runs MHD for the requests that were answered in this iteration of the loop, and sets the timer
/// to MHD's next timeout.
static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct http_server *s = w->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	(void)revents;
	if (s->resumed)
		run_daemon(s);
	if (MHD_get_timeout(s->daemon, &timeout_ms) != MHD_YES) {
		ev_timer_stop(loop, &s->timer);
		return;
	}
	if (!timeout_ms)
		close_stalled(s);
	s->timer.repeat = MAX(timeout_ms / 1000.0, 0.0001);
	ev_timer_again(loop, &s->timer);
}

/* Detection of clients that disconnect while their request waits. */

static void on_client_event(struct ev_loop *loop, ev_io *w, int revents)
{
	struct http_request *req = w->data;
	char byte;
	ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	(void)loop;
	(void)revents;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	ev_io_stop(req->server->loop, &req->client_watcher);
	if (n <= 0 && req->server->handlers->on_disconnect)
		req->server->handlers->on_disconnect(req->server->ctx, req);
}

/// Starts watching the connections of all requests that have begun to wait since the last scan.
static void on_disconnect_scan(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct http_server *s = w->data;

	(void)revents;
	for (GList *l = s->waiting.tail; l; l = l->prev) {
		struct http_request *req = l->data;
		const union MHD_ConnectionInfo *info;

		if (req->watched)
			break;
		info = MHD_get_connection_info(req->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		if (!info)
			continue;
		ev_io_init(&req->client_watcher, on_client_event, info->connect_fd, EV_READ);
		req->client_watcher.data = req;
		req->watched = true;
		ev_io_start(loop, &req->client_watcher);
	}
}

struct http_server *http_server_new(struct ev_loop *loop, const char *address,
				    const struct http_limits *limits,
				    const struct http_handlers *handlers, void *ctx)
{
	return http_server_new_on_listener(loop, listener_open(address, 0), limits, handlers, ctx);
}

static void complete_limits(struct http_limits *l)
{
	if (!l->fds_percent)
		l->fds_percent = FDS_PERCENT;
	l->connections = MIN(l->connections, listener_connections(l->fds_max, l->fds_percent));
	if (!l->name)
		l->name = "http";
	if (!l->input_bytes)
		l->input_bytes = INPUT_BUDGET_DEFAULT_BYTES;
	if (!l->arrival_timeout_s)
		l->arrival_timeout_s = HTTP_ARRIVAL_TIMEOUT_S;
	if (!l->address_requests)
		l->address_requests = l->connections;
	if (!l->buffer_bytes)
		l->buffer_bytes = (uint32_t)CLAMP(l->input_bytes / l->connections,
						  HTTP_BUFFER_MIN_BYTES, HTTP_BUFFER_MAX_BYTES);
}

static void create_metrics(struct http_server *s)
{
	g_autofree char *listener = g_strdup_printf("listener=\"%s\"", s->limits.name);

	s->held_bytes = metrics_get(METRIC_GAUGE, "sesamewood_http_held_bytes", listener,
				    "memory of unfinished, waiting and unread requests");
	s->oldest_ms = metrics_get(METRIC_GAUGE, "sesamewood_http_oldest_unfinished_ms", listener,
				   "age of the oldest unfinished request, ms");
	for (int i = 0; i < CLOSE_REASONS; i++) {
		g_autofree char *labels =
			g_strdup_printf("%s,reason=\"%s\"", listener, reason_names[i]);

		s->closed[i] = metrics_get(METRIC_COUNTER, "sesamewood_http_closed_total", labels,
					   "connections closed and requests refused by limits");
	}
}

struct http_server *http_server_new_on_listener(struct ev_loop *loop, int fd,
						const struct http_limits *limits,
						const struct http_handlers *handlers, void *ctx)
{
	struct http_server *s;
	const union MHD_DaemonInfo *info;

	if (fd < 0)
		return NULL;
	s = g_new0(struct http_server, 1);
	*s = (struct http_server){
		.loop = loop,
		.limits = *limits,
		.handlers = handlers,
		.ctx = ctx,
	};
	g_queue_init(&s->waiting);
	complete_limits(&s->limits);
	input_budget_init(&s->budget, s->limits.input_bytes);
	listener_bound_buffers(fd, s->limits.buffer_bytes);
	create_metrics(s);
	s->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request_data, s,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_URI_LOG_CALLBACK, on_request_line, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, s, MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)limits->head_bytes,
		MHD_OPTION_CONNECTION_LIMIT, s->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
		limits->idle_timeout_s, MHD_OPTION_END);
	if (!s->daemon) {
		int error = errno;

		close(fd);
		g_free(s);
		errno = error;
		return NULL;
	}
	info = MHD_get_daemon_info(s->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&s->epoll_watcher, on_readable, info->epoll_fd, EV_READ);
	ev_prepare_init(&s->before_wait, on_before_wait);
	ev_init(&s->timer, on_timer);
	ev_timer_init(&s->disconnect_scan, on_disconnect_scan, DISCONNECT_SCAN_S,
		      DISCONNECT_SCAN_S);
	s->epoll_watcher.data = s;
	s->before_wait.data = s;
	s->timer.data = s;
	s->disconnect_scan.data = s;
	ev_timer_init(&s->sweep, on_sweep, SWEEP_S, SWEEP_S);
	s->sweep.data = s;
	ev_timer_start(loop, &s->sweep);
	ev_io_start(loop, &s->epoll_watcher);
	ev_prepare_start(loop, &s->before_wait);
	ev_timer_start(loop, &s->disconnect_scan);
	return s;
}

static void begin_stop(struct http_server *s)
{
	if (!s->stopping_at)
		s->stopping_at = clock_monotonic();
}

void http_server_drain(struct http_server *s)
{
	if (s->draining)
		return;
	s->draining = true;
	begin_stop(s);
	MHD_quiesce_daemon(s->daemon);
}

void http_server_close_after_replies(struct http_server *s)
{
	s->closes_after_replies = true;
	begin_stop(s);
}

unsigned int http_server_active(const struct http_server *s)
{
	clock_ms_t now = clock_monotonic();
	bool receives = !s->stopping_at || now - s->stopping_at < STOP_RECEIVE_MS;
	unsigned int n = 0;

	for (const GList *l = s->budget.holds.head; l; l = l->next) {
		const struct client *c = ((const struct input_hold *)l->data)->owner;

		if (c->closing || (!c->request && c->hold.since == CLOCK_NEVER))
			continue;
		if (c->answered_at)
			n += now - c->answered_at < UNREAD_RESPONSE_MS;
		else if (c->request && c->request->dispatched)
			n++;
		else
			n += receives && now - c->progress_at < PROGRESS_MS;
	}
	return n;
}

void http_server_free(struct http_server *s)
{
	ev_io_stop(s->loop, &s->epoll_watcher);
	ev_prepare_stop(s->loop, &s->before_wait);
	ev_timer_stop(s->loop, &s->timer);
	ev_timer_stop(s->loop, &s->disconnect_scan);
	ev_timer_stop(s->loop, &s->sweep);
	MHD_stop_daemon(s->daemon);
	g_free(s);
}

const char *http_method(const struct http_request *req)
{
	return req->method;
}

clock_ms_t http_waited_ms(const struct http_request *req)
{
	return req->waited_ms;
}

bool http_client_has_left(const struct http_request *req)
{
	return req->client_left;
}

const char *http_target(const struct http_request *req)
{
	return req->target;
}

const char *http_header(const struct http_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->connection, MHD_HEADER_KIND, name);
}

struct header_visit {
	void (*fn)(void *ctx, const char *name, const char *value);
	void *ctx;
};

static enum MHD_Result visit_header(void *p, enum MHD_ValueKind kind, const char *name,
				    const char *value)
{
	struct header_visit *visit = p;

	(void)kind;
	visit->fn(visit->ctx, name, value ? value : "");
	return MHD_YES;
}

void http_foreach_header(const struct http_request *req,
			 void (*fn)(void *ctx, const char *name, const char *value), void *ctx)
{
	struct header_visit visit = {.fn = fn, .ctx = ctx};

	MHD_get_connection_values(req->connection, MHD_HEADER_KIND, visit_header, &visit);
}

const GByteArray *http_body(const struct http_request *req)
{
	return &req->body;
}

char *http_body_text(const struct http_request *req)
{
	const GByteArray *body = http_body(req);

	if (!body->len)
		return g_strdup("");
	if (memchr(body->data, 0, body->len))
		return NULL;
	return g_strndup((const char *)body->data, body->len);
}

void http_request_set_data(struct http_request *req, void *data)
{
	req->data = data;
}

void *http_request_data(const struct http_request *req)
{
	return req->data;
}

/// Tells whether a large response has no room beside what is held. Only reads are refused then:
/// they have changed nothing, and are asked for again.
static bool lacks_memory_for_response(const struct http_request *req, size_t len)
{
	struct http_server *s = req->server;

	if (len < LARGE_RESPONSE_BYTES || g_strcmp0(req->method, "GET") != 0)
		return false;
	release_unread(s);
	return kept_bytes(s) + len > s->budget.limit;
}

void http_reply(struct http_request *req, unsigned int status, const struct http_header *headers,
		const void *body, size_t len)
{
	if (lacks_memory_for_response(req, len)) {
		refuse_for_memory(req, "no memory is left for the response", "may-have-run");
		return;
	}
	req->response = MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
	req->status = status;
	req->client->answered_at = clock_monotonic();
	req->client->answered_run = req->server->runs;
	keep_request(req, len);
	for (const struct http_header *h = headers; h && h->name; h++)
		MHD_add_response_header(req->response, h->name, h->value);
	if (!req->suspended)
		return;
	stop_client_watcher(req);
	req->suspended = false;
	g_queue_unlink(&req->server->waiting, &req->link);
	MHD_resume_connection(req->connection);
	req->server->resumed = true;
}

void http_reply_problem(struct http_request *req, unsigned int status, const char *title,
			const char *verdict)
{
	g_autoptr(JsonBuilder) b = json_builder_new();
	g_autoptr(JsonGenerator) generator = json_generator_new();
	g_autoptr(JsonNode) root = NULL;
	g_autofree char *text = NULL;
	gsize len;
	const struct http_header headers[] = {
		{"Content-Type", "application/problem+json"},
		{verdict ? "Sesamewood-Verdict" : NULL, verdict},
		{NULL, NULL},
	};

	json_builder_begin_object(b);
	json_builder_set_member_name(b, "title");
	json_builder_add_string_value(b, title);
	json_builder_set_member_name(b, "status");
	json_builder_add_int_value(b, status);
	json_builder_end_object(b);
	root = json_builder_get_root(b);
	json_generator_set_root(generator, root);
	text = json_generator_to_data(generator, &len);
	http_reply(req, status, headers, text, len);
}
