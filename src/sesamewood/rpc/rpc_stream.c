#include "rpc/rpc_stream.h"

#include "base/options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 65536
#define LAST_FRAGMENT 0x80000000U
#define MARK_BYTES 4
#define USER_TIMEOUT_MS 3000

struct rpc_stream {
	struct ev_loop *loop;
	ev_io reader;
	ev_io writer;
	int fd;
	GByteArray *in;
	GByteArray *record; ///< fragments of the record being received
	GByteArray *out;
	gsize out_sent;
	guint64 queued;	 ///< bytes of all records so far
	guint64 flushed; ///< of them taken by the socket
	const struct rpc_stream_ops *ops;
	void *ctx;
	bool yields;
	unsigned int depth; ///< handlers on the stack
	bool closed;
};

/// Streams with records to send at the end of the loop's pass. One loop a process; those of
/// another loop wait for their socket to be writable.
static struct {
	struct ev_loop *loop;
	ev_prepare before_wait;
	GPtrArray *streams;
} outgoing;

static clock_ms_t pass_until = CLOCK_NEVER;

void rpc_stream_set_low_priority_deadline(clock_ms_t until)
{
	pass_until = until;
}

void rpc_stream_lower_priority(struct rpc_stream *s)
{
	bool active = ev_is_active(&s->reader);

	if (s->yields)
		return;
	s->yields = true;
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

void rpc_stream_close(struct rpc_stream *s)
{
	if (!s->closed) {
		s->closed = true;
		if (s->loop == outgoing.loop)
			g_ptr_array_remove_fast(outgoing.streams, s);
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

static guint32 read_mark(const guint8 *p)
{
	guint32 mark;

	memcpy(&mark, p, MARK_BYTES);
	return ntohl(mark);
}

/// @return bytes consumed, 0 when more are needed, -1 on a malformed or oversized record
static gssize take_fragment(struct rpc_stream *s, const guint8 *p, gsize len)
{
	guint32 mark;
	gsize size;

	if (len < MARK_BYTES)
		return 0;
	mark = read_mark(p);
	size = mark & ~LAST_FRAGMENT;
	if (size + s->record->len > RPC_RECORD_MAX_BYTES)
		return -1;
	if (len < MARK_BYTES + size)
		return 0;
	g_byte_array_append(s->record, p + MARK_BYTES, size);
	if (mark & LAST_FRAGMENT) {
		s->ops->on_record(s->ctx, s->record->data, s->record->len);
		if (!s->closed)
			g_byte_array_set_size(s->record, 0);
	}
	return MARK_BYTES + size;
}

static void parse_input(struct rpc_stream *s)
{
	gsize used = 0;

	while (!s->closed) {
		gssize n = take_fragment(s, s->in->data + used, s->in->len - used);

		if (n < 0) {
			fail(s);
			return;
		}
		if (n == 0)
			break;
		used += n;
	}
	if (!s->closed && used)
		g_byte_array_remove_range(s->in, 0, used);
}

static void on_readable(struct ev_loop *loop, ev_io *w, int revents)
{
	struct rpc_stream *s = w->data;
	guint old = s->in->len;
	ssize_t n;

	(void)loop;
	(void)revents;
	if (s->yields && clock_monotonic() > pass_until)
		return; /* the next pass finds it readable again */
	s->depth++;
	g_byte_array_set_size(s->in, old + READ_CHUNK_BYTES);
	n = recv(s->fd, s->in->data + old, READ_CHUNK_BYTES, 0);
	g_byte_array_set_size(s->in, old + (n > 0 ? n : 0));
	if (n > 0)
		parse_input(s);
	else if (n == 0 || (errno != EAGAIN && errno != EINTR))
		fail(s);
	s->depth--;
	if (s->closed && !s->depth)
		destroy(s);
}

static void flush(struct rpc_stream *s)
{
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
	if (s->out_sent == s->out->len) {
		g_byte_array_set_size(s->out, 0);
		s->out_sent = 0;
		ev_io_stop(s->loop, &s->writer);
	} else {
		ev_io_start(s->loop, &s->writer);
	}
}

/// Sends what this pass of the loop has queued. An error shows when the socket is next polled.
static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)w;
	(void)revents;
	while (outgoing.streams->len)
		flush(g_ptr_array_remove_index_fast(outgoing.streams, outgoing.streams->len - 1));
}

static bool sends_before_wait(struct ev_loop *loop)
{
	if (!outgoing.loop) {
		outgoing.loop = loop;
		outgoing.streams = g_ptr_array_new();
		ev_prepare_init(&outgoing.before_wait, on_before_wait);
		/* After the program's own, which queue the records. */
		ev_set_priority(&outgoing.before_wait, EV_MINPRI);
		ev_prepare_start(loop, &outgoing.before_wait);
		ev_unref(loop);
	}
	return outgoing.loop == loop;
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

void rpc_stream_send(struct rpc_stream *s, const guint8 *data, gsize len)
{
	guint32 mark = htonl((guint32)len | LAST_FRAGMENT);
	bool is_first = !s->out->len;

	g_byte_array_append(s->out, (const guint8 *)&mark, MARK_BYTES);
	g_byte_array_append(s->out, data, len);
	s->queued += MARK_BYTES + len;
	if (!is_first || ev_is_active(&s->writer))
		return;
	if (sends_before_wait(s->loop))
		g_ptr_array_add(outgoing.streams, s);
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
