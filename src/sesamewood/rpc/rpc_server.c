#include "rpc/rpc_server.h"

#include "rpc/rpc_procs.h"
#include "rpc/rpc_stream.h"

#include "base/input_budget.h"
#include "base/listener.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/work.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>

#define REPLY_HEADER_BYTES 256
#define REPLY_COPIES 2 /* the stream's array doubles when it grows */
/// Longest delay of an acknowledgement, which covers all calls without results that arrived on the
/// connection in the meantime. A tenth of the timeout of such calls.
#define ACK_DELAY_S 0.05
#define ACCEPT_RETRY_S 0.1 /* after accept() has failed for want of resources */
/// Period of the check for records that do not arrive, and the time after which they count as such.
#define SWEEP_S 1.0
#define ARRIVAL_TIMEOUT_MS 30000
/// Part of the descriptors of a process for its RPC listener, unless set otherwise.
#define FDS_PERCENT 25
/// Bounds of the kernel's memory for each direction of a connection. In between it is the part of
/// the server's memory for one of the connections.
#define BUFFER_MIN_BYTES ((uint64_t)64 * 1024)
#define BUFFER_MAX_BYTES ((uint64_t)256 * 1024)
/// For replicas, which send their log and their state: 256 KiB of payload at a time.
#define BULK_BUFFER_BYTES (1024U * 1024)
/// Connections accepted in one iteration of the loop. After a change of leader, all entries connect
/// at once, and an iteration of a busy leader takes long.
#define ACCEPTS_MAX 256

struct rpc_server {
	struct ev_loop *loop;
	ev_io acceptor;
	ev_timer resume; ///< active while no connections are accepted
	ev_timer sweep;
	struct input_budget budget;
	uint32_t connections_max;
	uint32_t buffer_bytes; ///< memory of the kernel for each direction of a connection
	struct metric *held_bytes;
	struct metric *oldest_ms;
	struct metric *closed_by_limit;
	struct metric *refused_by_limit;
	unsigned int refused_replies; ///< since the last sweep
	bool refused;		      ///< the last accept() failed for want of resources
	rpc_handler_fn fn;
	void *ctx;
};

/// An accepted connection. Freed when it is closed and its last request has been replied to.
struct connection {
	struct rpc_server *server;
	struct rpc_stream *stream; ///< NULL once closed
	unsigned int refs;	   ///< one of the open connection and one of each request
	ev_timer ack_timer;	   ///< active while calls without results are unacknowledged
	uint32_t ack_xid;	   ///< xid of the last unacknowledged call without results
	bool has_bulk;		   ///< see rpc_request_expect_bulk()
};

struct rpc_request {
	struct connection *connection;
	const struct rpc_proc *proc;
	uint32_t xid;
};

static void connection_unref(struct connection *c)
{
	if (--c->refs == 0)
		g_free(c);
}

static uint64_t replies_sent;
static uint64_t connections_accepted;

uint64_t rpc_connections_accepted(void)
{
	return connections_accepted;
}

uint64_t rpc_replies_sent(void)
{
	return replies_sent;
}

static void send_reply(struct connection *c, uint32_t xid, enum accept_stat stat, xdrproc_t proc,
		       const void *reply)
{
	gsize size = REPLY_HEADER_BYTES + (proc ? xdr_sizeof(proc, (void *)reply) : 0);
	g_autoptr(GByteArray) out = g_byte_array_sized_new(size);
	struct rpc_msg msg = {.rm_xid = xid, .rm_direction = REPLY};
	XDR xdr;

	if (!c->stream)
		return;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_verf = _null_auth;
	msg.acpted_rply.ar_stat = stat;
	if (stat == PROG_MISMATCH) {
		msg.acpted_rply.ar_vers.low = SESAMEWOOD_V1;
		msg.acpted_rply.ar_vers.high = SESAMEWOOD_V1;
	}
	msg.acpted_rply.ar_results.where = (char *)reply;
	msg.acpted_rply.ar_results.proc = proc ? proc : (xdrproc_t)(void *)xdr_void;
	g_byte_array_set_size(out, size);
	xdrmem_create(&xdr, (char *)out->data, size, XDR_ENCODE);
	if (!xdr_replymsg(&xdr, &msg))
		return;
	replies_sent++;
	rpc_stream_send(c->stream, out->data, xdr_getpos(&xdr));
}

static void on_ack_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct connection *c = w->data;

	(void)loop;
	(void)revents;
	send_reply(c, c->ack_xid, SUCCESS, NULL, NULL);
}

/// Acknowledges a call without results after a delay. The reply to it also acknowledges all earlier
/// calls without results on its connection.
static void schedule_ack(struct connection *c, uint32_t xid)
{
	if (!c->stream)
		return;
	c->ack_xid = xid;
	if (!ev_is_active(&c->ack_timer))
		ev_timer_start(c->server->loop, &c->ack_timer);
}

void rpc_request_reply(struct rpc_request *req, const void *reply)
{
	if (req->proc->reply)
		send_reply(req->connection, req->xid, SUCCESS, req->proc->reply, reply);
	else
		schedule_ack(req->connection, req->xid);
	connection_unref(req->connection);
	g_free(req);
}

bool rpc_request_admit_reply(struct rpc_request *req, size_t len)
{
	struct rpc_server *server = req->connection->server;

	if (server->budget.held + (uint64_t)len * REPLY_COPIES <= server->budget.limit)
		return true;
	server->refused_replies++;
	return false;
}

void rpc_request_lower_priority(struct rpc_request *req)
{
	if (req->connection->stream)
		rpc_stream_lower_priority(req->connection->stream);
}

void rpc_request_expect_bulk(struct rpc_request *req)
{
	struct connection *c = req->connection;

	if (c->has_bulk || !c->stream)
		return;
	c->has_bulk = true;
	rpc_stream_bound_buffers(c->stream, BULK_BUFFER_BYTES);
}

void rpc_request_reply_unavailable(struct rpc_request *req)
{
	send_reply(req->connection, req->xid, PROC_UNAVAIL, NULL, NULL);
	connection_unref(req->connection);
	g_free(req);
}

static void dispatch(struct connection *c, const struct rpc_msg *msg, XDR *xdr)
{
	const struct rpc_proc *proc = rpc_proc_find(msg->rm_call.cb_proc);
	struct rpc_request *req;
	g_autofree void *args = NULL;
	enum work_kind prev;
	bool_t decoded;

	if (!proc) {
		send_reply(c, msg->rm_xid, PROC_UNAVAIL, NULL, NULL);
		return;
	}
	args = g_malloc0(proc->args_size);
	prev = work_enter(WORK_DECODE);
	decoded = proc->args(xdr, args);
	work_leave(prev);
	if (!decoded) {
		codec_free(proc->args, args);
		send_reply(c, msg->rm_xid, GARBAGE_ARGS, NULL, NULL);
		return;
	}
	req = g_new0(struct rpc_request, 1);
	*req = (struct rpc_request){.connection = c, .proc = proc, .xid = msg->rm_xid};
	c->refs++;
	c->server->fn(c->server->ctx, req, proc->number, args);
	codec_free(proc->args, args);
}

static void on_closed(void *ctx)
{
	struct connection *c = ctx;
	struct rpc_stream *s = g_steal_pointer(&c->stream);

	ev_timer_stop(c->server->loop, &c->ack_timer);
	if (s)
		rpc_stream_close(s);
	connection_unref(c);
}

static void on_record(void *ctx, const guint8 *data, gsize len)
{
	struct connection *c = ctx;
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = {0};
	XDR xdr;

	msg.rm_call.cb_cred.oa_base = cred;
	msg.rm_call.cb_verf.oa_base = verf;
	xdrmem_create(&xdr, (char *)data, len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg))
		on_closed(c);
	else if (msg.rm_call.cb_prog != SESAMEWOOD_PROGRAM)
		send_reply(c, msg.rm_xid, PROG_UNAVAIL, NULL, NULL);
	else if (msg.rm_call.cb_vers != SESAMEWOOD_V1)
		send_reply(c, msg.rm_xid, PROG_MISMATCH, NULL, NULL);
	else if (msg.rm_call.cb_proc == SW_PROC_NULL)
		send_reply(c, msg.rm_xid, SUCCESS, NULL, NULL);
	else
		dispatch(c, &msg, &xdr);
}

static const struct rpc_stream_ops stream_ops = {
	.on_record = on_record,
	.on_closed = on_closed,
};

static void on_resume(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct rpc_server *server = w->data;

	(void)revents;
	ev_io_start(loop, &server->acceptor);
}

/// The connection stays pending, and its watcher would run at once again.
static void pause_accepting(struct rpc_server *server, int error)
{
	if (!server->refused)
		log_warning("cannot accept connections", "ERROR", g_strerror(error));
	server->refused = true;
	ev_io_stop(server->loop, &server->acceptor);
	ev_timer_set(&server->resume, ACCEPT_RETRY_S, 0.);
	ev_timer_start(server->loop, &server->resume);
}

static void report_refused(struct rpc_server *server)
{
	if (!server->refused_replies)
		return;
	log_warning("refused large RPC replies at the limit of memory", "COUNT",
		    log_number(server->refused_replies));
	metrics_add(server->refused_by_limit, server->refused_replies);
	server->refused_replies = 0;
}

/// Closes the connections whose record has stopped arriving, and reports what was closed.
static void on_sweep(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct rpc_server *server = w->data;
	clock_ms_t now = clock_monotonic();
	const struct input_hold *oldest = input_budget_oldest(&server->budget, NULL, NULL);
	GList *next;

	(void)loop;
	(void)revents;
	metrics_set(server->held_bytes, server->budget.held);
	metrics_set(server->oldest_ms, oldest ? (uint64_t)(now - oldest->since) : 0);
	for (GList *l = server->budget.holds.head; l; l = next) {
		struct rpc_stream *s = ((struct input_hold *)l->data)->owner;
		clock_ms_t at = rpc_stream_unfinished_at(s);

		next = l->next;
		rpc_stream_count_kernel(s);
		if (at == CLOCK_NEVER || now - at <= ARRIVAL_TIMEOUT_MS)
			continue;
		server->budget.closed++;
		rpc_stream_fail(s);
	}
	rpc_stream_keep_within(&server->budget);
	report_refused(server);
	if (!server->budget.closed)
		return;
	log_warning("closed RPC connections at a limit of memory, connections or time", "COUNT",
		    log_number(server->budget.closed));
	metrics_add(server->closed_by_limit, server->budget.closed);
	server->budget.closed = 0;
}

/// Closes the connection unused for longest when all are in use, so that others are accepted.
static void keep_connections_free(struct rpc_server *server)
{
	struct input_hold *stalest;

	if (server->budget.holds.length < server->connections_max)
		return;
	stalest = input_budget_stalest(&server->budget);
	if (!stalest)
		return;
	server->budget.closed++;
	rpc_stream_fail(stalest->owner);
}

static void add_connection(struct rpc_server *server, int fd, const struct sockaddr_in *peer)
{
	struct connection *c = g_new0(struct connection, 1);

	connections_accepted++;
	c->server = server;
	c->refs = 1;
	ev_timer_init(&c->ack_timer, on_ack_timer, ACK_DELAY_S, 0.);
	c->ack_timer.data = c;
	keep_connections_free(server);
	c->stream = rpc_stream_new(server->loop, fd, &stream_ops, c);
	rpc_stream_bound_memory(c->stream, &server->budget, peer->sin_addr.s_addr);
	rpc_stream_bound_buffers(c->stream, server->buffer_bytes);
}

static void on_connection_pending(struct ev_loop *loop, ev_io *w, int revents)
{
	struct rpc_server *server = w->data;

	(void)loop;
	(void)revents;
	for (unsigned int i = 0; i < ACCEPTS_MAX; i++) {
		struct sockaddr_in peer = {0};
		socklen_t len = sizeof(peer);
		int fd = accept4(w->fd, (struct sockaddr *)&peer, &len,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
			    errno == ENOMEM)
				pause_accepting(server, errno);
			return;
		}
		server->refused = false;
		add_connection(server, fd, &peer);
	}
}

struct rpc_server *rpc_server_new(struct ev_loop *loop, const char *address, rpc_handler_fn fn,
				  void *ctx)
{
	return rpc_server_new_on_listener(loop, listener_open(address, 0), fn, ctx);
}

struct rpc_server *rpc_server_new_on_listener(struct ev_loop *loop, int fd, rpc_handler_fn fn,
					      void *ctx)
{
	struct rpc_server *server;

	if (fd < 0)
		return NULL;
	server = g_new0(struct rpc_server, 1);
	*server = (struct rpc_server){.loop = loop, .fn = fn, .ctx = ctx};
	ev_io_init(&server->acceptor, on_connection_pending, fd, EV_READ);
	ev_init(&server->resume, on_resume);
	server->acceptor.data = server;
	server->resume.data = server;
	ev_timer_init(&server->sweep, on_sweep, SWEEP_S, SWEEP_S);
	server->sweep.data = server;
	input_budget_init(&server->budget, INPUT_BUDGET_DEFAULT_BYTES);
	rpc_server_set_limits(server, INPUT_BUDGET_DEFAULT_BYTES,
			      listener_connections(0, FDS_PERCENT));
	server->held_bytes = metrics_get(METRIC_GAUGE, "sesamewood_rpc_held_bytes", "",
					 "memory of incomplete records and unsent replies");
	server->oldest_ms = metrics_get(METRIC_GAUGE, "sesamewood_rpc_oldest_unfinished_ms", "",
					"age of the oldest incomplete record, ms");
	server->closed_by_limit = metrics_get(METRIC_COUNTER, "sesamewood_rpc_closed_total", "",
					      "RPC connections closed by limits");
	server->refused_by_limit = metrics_get(METRIC_COUNTER, "sesamewood_rpc_refused_total", "",
					       "large RPC replies refused by the limit of memory");
	ev_io_start(loop, &server->acceptor);
	ev_timer_start(loop, &server->sweep);
	return server;
}

void rpc_server_set_limits(struct rpc_server *server, uint64_t input_bytes, uint32_t connections)
{
	server->budget.limit = input_bytes;
	server->connections_max = connections;
	server->buffer_bytes =
		(uint32_t)CLAMP(input_bytes / connections, BUFFER_MIN_BYTES, BUFFER_MAX_BYTES);
}
