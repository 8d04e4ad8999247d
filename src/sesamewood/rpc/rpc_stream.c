#include "rpc/rpc_stream.h"

#include "base/listener.h"
#include "base/options.h"
#include "base/work.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 65536
/// Set in the mark of the last fragment of a record; the other bits of a mark hold the length of
/// the fragment.
#define LAST_FRAGMENT 0x80000000U
#define MARK_BYTES 4
/// TCP_USER_TIMEOUT: closes connections whose peer acknowledges nothing for this time.
#define USER_TIMEOUT_MS 3000
/// A stream keeps the memory of an empty array up to this size. With 256 KiB, each unused
/// connection could hold as much.
#define KEPT_BYTES ((gsize)4096)
/// A connection that has not sent a complete record counts as unused for this long, so that it is
/// closed before those of the project's own processes.
#define UNPROVEN_MS 3600000
/// Memory for a byte of incomplete input or queued output: arrays double when they grow.
#define ARRAY_COPIES 2
/// Sent bytes are removed from the output only once there are that many, since the rest is moved.
#define SENT_BYTES_MAX ((gsize)256 * 1024)

/// Least time for streams of low priority in an iteration of the loop.
#define LOW_PRIORITY_MIN_MS 10

struct rpc_stream {
	struct ev_loop *loop;
	ev_io reader;
	ev_io writer;
	int fd;
	GByteArray *in;	    ///< received bytes, not parsed yet
	GByteArray *record; ///< fragments of the record being received
	GByteArray *out;    ///< queued records, marks included
	gsize out_sent;	    ///< bytes of out that were sent
	guint64 queued;	    ///< bytes of all records queued so far, marks included
	guint64 flushed;    ///< bytes of them that the socket accepted
	const struct rpc_stream_ops *ops;
	void *ctx;
	struct input_budget *budget; ///< NULL: none
	struct input_hold hold;	     ///< in it
	uint64_t kernel_bytes;	     ///< held by the kernel, when it was last looked at
	gsize peak;		     ///< largest incomplete input since its memory was released
	clock_ms_t read_at;	     ///< last arrival of input
	bool low_priority;	     ///< see rpc_stream_lower_priority()
	unsigned int depth;	     ///< handlers of the stream on the call stack
	bool closed;		     ///< freed once depth is 0
};

/// Streams whose records are sent before the event loop next waits. Serves the first loop of the
/// process only; streams of other loops send when their socket is writable.
static struct {
	struct ev_loop *loop;
	ev_prepare before_wait;
	GPtrArray *streams;
} send_queue;

static clock_ms_t low_priority_deadline = CLOCK_NEVER; ///< of this iteration of the loop
static bool low_priority_started;		       ///< a stream has been due in this iteration
static bool low_priority_skipped; ///< a readable stream was not read in this iteration

void rpc_stream_set_low_priority_deadline(clock_ms_t deadline)
{
	low_priority_deadline = deadline;
	low_priority_skipped = false;
	low_priority_started = false;
}

/// Tells whether a stream of low priority may be read now. Without a least time for them, callers
/// would not be read at all while each iteration takes longer than its deadline allows.
static bool may_read_low_priority(void)
{
	clock_ms_t now = clock_monotonic();

	if (!low_priority_started) {
		low_priority_started = true;
		low_priority_deadline = MAX(low_priority_deadline, now + LOW_PRIORITY_MIN_MS);
	}
	return now <= low_priority_deadline;
}

bool rpc_stream_skipped_low_priority(void)
{
	return low_priority_skipped;
}

void rpc_stream_lower_priority(struct rpc_stream *s)
{
	bool active = ev_is_active(&s->reader);

	if (s->low_priority)
		return;
	s->low_priority = true;
	ev_io_stop(s->loop, &s->reader);
	ev_set_priority(&s->reader, -1);
	if (active)
		ev_io_start(s->loop, &s->reader);
}

static void destroy(struct rpc_stream *s)
{
	g_byte_array_unref(s->in);
	g_byte_array_unref(s->record);
	g_byte_array_unref(s->out);
	g_free(s);
}

bool rpc_stream_has_input(const struct rpc_stream *s)
{
	char byte;

	return recv(s->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool rpc_stream_is_acknowledged(const struct rpc_stream *s)
{
	int unacknowledged = 0;

	return ioctl(s->fd, SIOCOUTQ, &unacknowledged) == 0 && !unacknowledged;
}

void rpc_stream_close(struct rpc_stream *s)
{
	if (!s->closed) {
		s->closed = true;
		if (s->loop == send_queue.loop)
			g_ptr_array_remove_fast(send_queue.streams, s);
		if (s->budget)
			input_budget_remove(s->budget, &s->hold);
		ev_io_stop(s->loop, &s->reader);
		ev_io_stop(s->loop, &s->writer);
		close(s->fd);
	}
	if (!s->depth)
		destroy(s);
}

static void fail(struct rpc_stream *s)
{
	if (!s->closed)
		s->ops->on_closed(s->ctx);
}

void rpc_stream_fail(struct rpc_stream *s)
{
	s->depth++;
	fail(s);
	s->depth--;
	if (s->closed && !s->depth)
		destroy(s);
}

void rpc_stream_bound_memory(struct rpc_stream *s, struct input_budget *budget, uint32_t address)
{
	s->budget = budget;
	input_budget_add(budget, &s->hold, address, s);
	s->hold.used_at = clock_monotonic() - UNPROVEN_MS;
}

clock_ms_t rpc_stream_unfinished_at(const struct rpc_stream *s)
{
	return s->in->len + s->record->len ? s->read_at : CLOCK_NEVER;
}

static void release_array(GByteArray **array)
{
	g_byte_array_unref(*array);
	*array = g_byte_array_new();
}

/// Sets what the stream holds. Closes no stream, so that it may be called while others are used.
static void count_memory(struct rpc_stream *s)
{
	if (s->budget && !s->closed)
		input_budget_set(s->budget, &s->hold,
				 (uint64_t)(s->in->len + s->record->len + s->out->len) *
						 ARRAY_COPIES +
					 s->kernel_bytes);
}

void rpc_stream_keep_within(struct input_budget *budget)
{
	struct input_hold *victim;

	while ((victim = input_budget_choose(budget))) {
		budget->closed++;
		rpc_stream_fail(victim->owner);
	}
}

/// May close the stream itself.
static void keep_within_budget(struct rpc_stream *s)
{
	if (s->budget)
		rpc_stream_keep_within(s->budget);
}

/// Counts the incomplete input, and releases the memory of records that are complete.
static void count_input(struct rpc_stream *s)
{
	gsize len = s->in->len + s->record->len;

	s->peak = MAX(s->peak, len);
	if (!len && s->peak > KEPT_BYTES) {
		release_array(&s->in);
		release_array(&s->record);
		s->peak = 0;
	}
	s->hold.since = len ? MIN(s->hold.since, s->read_at) : CLOCK_NEVER;
	count_memory(s);
	keep_within_budget(s);
}

static guint32 parse_mark(const guint8 *p)
{
	guint32 mark;

	memcpy(&mark, p, MARK_BYTES);
	return ntohl(mark);
}

static void pass_record(struct rpc_stream *s, const guint8 *data, gsize len)
{
	s->hold.used_at = s->read_at;
	s->ops->on_record(s->ctx, data, len);
}

/// Parses one fragment, and passes the record on after its last fragment.
///
/// @return bytes consumed; 0 when more input is needed; -1 when the record is too large
static gssize parse_fragment(struct rpc_stream *s, const guint8 *p, gsize len)
{
	guint32 mark;
	gsize size;

	if (len < MARK_BYTES)
		return 0;
	mark = parse_mark(p);
	size = mark & ~LAST_FRAGMENT;
	if (size + s->record->len > RPC_RECORD_MAX_BYTES)
		return -1;
	if (len < MARK_BYTES + size)
		return 0;
	if (mark & LAST_FRAGMENT && !s->record->len) {
		pass_record(s, p + MARK_BYTES, size);
		return MARK_BYTES + size;
	}
	g_byte_array_append(s->record, p + MARK_BYTES, size);
	if (mark & LAST_FRAGMENT) {
		s->peak = MAX(s->peak, s->record->len);
		pass_record(s, s->record->data, s->record->len);
		if (!s->closed)
			g_byte_array_set_size(s->record, 0);
	}
	return MARK_BYTES + size;
}

/// Parses the fragments that are complete. May close the stream.
///
/// @return bytes consumed
static gsize parse_fragments(struct rpc_stream *s, const guint8 *data, gsize len)
{
	gsize used = 0;

	while (!s->closed) {
		gssize n = parse_fragment(s, data + used, len - used);

		if (n < 0)
			fail(s);
		if (n <= 0)
			break;
		used += n;
	}
	return used;
}

/// Parses what has arrived, and keeps what is incomplete.
static void parse_input(struct rpc_stream *s, const guint8 *data, gsize len)
{
	gsize used = 0;

	if (s->in->len) {
		g_byte_array_append(s->in, data, len);
		s->peak = MAX(s->peak, s->in->len);
		used = parse_fragments(s, s->in->data, s->in->len);
		if (!s->closed && used)
			g_byte_array_remove_range(s->in, 0, used);
	} else {
		used = parse_fragments(s, data, len);
		if (!s->closed && used < len)
			g_byte_array_append(s->in, data + used, len - used);
	}
	if (!s->closed)
		count_input(s);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	/* Streams that are read one after the other share it. */
	static guint8 data[READ_CHUNK_BYTES] __attribute__((aligned(8)));
	struct rpc_stream *s = w->data;
	enum work_kind before;
	ssize_t n;

	(void)loop;
	(void)revents;
	if (s->low_priority && !may_read_low_priority()) {
		low_priority_skipped = true;
		return; /* the next iteration reports it readable again */
	}
	before = work_enter(WORK_RECEIVE);
	s->depth++;
	n = recv(s->fd, data, sizeof(data), 0);
	s->read_at = clock_monotonic();
	if (n > 0)
		parse_input(s, data, (gsize)n);
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		fail(s);
	s->depth--;
	if (s->closed && !s->depth)
		destroy(s);
	work_leave(before);
}

/// Releases the memory of output that was sent: of all of it, or of a large part while the peer
/// reads more slowly than records are queued.
static void release_sent(struct rpc_stream *s)
{
	if (s->out_sent == s->out->len) {
		if (s->out->len > KEPT_BYTES)
			release_array(&s->out);
		g_byte_array_set_size(s->out, 0);
		s->out_sent = 0;
	} else if (s->out_sent > SENT_BYTES_MAX && s->out_sent > s->out->len / 2) {
		g_byte_array_remove_range(s->out, 0, s->out_sent);
		s->out_sent = 0;
	}
}

/// Sends what the socket accepts. May close the stream.
static void flush(struct rpc_stream *s)
{
	enum work_kind before = work_enter(WORK_SEND);

	while (s->out_sent < s->out->len) {
		ssize_t n = send(s->fd, s->out->data + s->out_sent, s->out->len - s->out_sent,
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			break;
		s->out_sent += n;
		s->flushed += n;
	}
	release_sent(s);
	if (s->out->len)
		ev_io_start(s->loop, &s->writer);
	else
		ev_io_stop(s->loop, &s->writer);
	work_leave(before);
	count_memory(s);
	keep_within_budget(s);
}

/// Sends the records queued in this iteration of the loop. Errors are handled when the socket is
/// next polled.
static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	while (send_queue.streams->len)
		flush(g_ptr_array_remove_index_fast(send_queue.streams,
						    send_queue.streams->len - 1));
}

/// Sets up the send queue for the first loop that asks.
///
/// @return true if streams of @p loop use the send queue
static bool uses_send_queue(struct ev_loop *loop)
{
	if (!send_queue.loop) {
		send_queue.loop = loop;
		send_queue.streams = g_ptr_array_new();
		ev_prepare_init(&send_queue.before_wait, on_before_wait);
		/* Runs after the program's own prepare watchers, which queue records. */
		ev_set_priority(&send_queue.before_wait, EV_MINPRI);
		ev_prepare_start(loop, &send_queue.before_wait);
		ev_unref(loop);
	}
	return send_queue.loop == loop;
}

static void on_writable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct rpc_stream *s = w->data;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)loop;
	(void)revents;
	getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		s->depth++;
		fail(s);
		s->depth--;
		if (s->closed && !s->depth)
			destroy(s);
		return;
	}
	flush(s);
}

struct rpc_stream *rpc_stream_new(struct ev_loop *loop, int fd, const struct rpc_stream_ops *ops,
				  void *ctx)
{
	struct rpc_stream *s = g_new0(struct rpc_stream, 1);
	int on = 1;
	unsigned int timeout_ms = USER_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	*s = (struct rpc_stream){
		.loop = loop,
		.fd = fd,
		.in = g_byte_array_new(),
		.record = g_byte_array_new(),
		.out = g_byte_array_new(),
		.ops = ops,
		.ctx = ctx,
	};
	ev_io_init(&s->reader, on_readable, fd, EV_READ);
	ev_io_init(&s->writer, on_writable, fd, EV_WRITE);
	s->reader.data = s;
	s->writer.data = s;
	ev_io_start(loop, &s->reader);
	ev_io_start(loop, &s->writer);
	return s;
}

void rpc_stream_bound_buffers(struct rpc_stream *s, uint32_t bytes)
{
	listener_bound_buffers(s->fd, bytes);
}

void rpc_stream_count_kernel(struct rpc_stream *s)
{
	s->kernel_bytes = listener_connection_memory(s->fd);
	count_memory(s);
}

void rpc_stream_send(struct rpc_stream *s, const guint8 *data, gsize len)
{
	guint32 mark = htonl((guint32)len | LAST_FRAGMENT);
	bool is_first = !s->out->len;

	g_byte_array_append(s->out, (const guint8 *)&mark, MARK_BYTES);
	g_byte_array_append(s->out, data, len);
	s->queued += MARK_BYTES + len;
	count_memory(s);
	if (!is_first || ev_is_active(&s->writer))
		return;
	if (uses_send_queue(s->loop))
		g_ptr_array_add(send_queue.streams, s);
	else
		ev_io_start(s->loop, &s->writer);
}

guint64 rpc_stream_queued(const struct rpc_stream *s)
{
	return s->queued;
}

guint64 rpc_stream_flushed(const struct rpc_stream *s)
{
	return s->flushed;
}

bool rpc_parse_address(const char *text, struct sockaddr_in *out)
{
	g_autofree char *host = NULL;
	uint16_t port;

	if (!options_split_address(text, &host, &port))
		return false;
	*out = (struct sockaddr_in){.sin_family = AF_INET, .sin_port = htons(port)};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}
