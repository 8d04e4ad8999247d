#include "rpc/rpc_client.h"

#include "rpc/rpc_procs.h"
#include "rpc/rpc_stream.h"

#include "base/log.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/// Delay between the end of a connection and the next attempt to connect.
#define RECONNECT_DELAY_S 0.05
/// After its timeout, a patient call goes on while its connection is never silent for this time,
/// which is longer than the period of an entry's probes.
#define SILENCE_MAX_MS 500
#define PATIENCE_STEP_MS 100
#define UNREAD_DELAY_S 0.01 /* until the loop has read what has arrived */
#define CALL_HEADER_BYTES 256
#define MS_PER_S 1000.0
/// Records kept until a connection exists; further calls time out as not sent.
#define OUTBOX_MAX 4096

struct rpc_client {
	struct ev_loop *loop;
	char *address;
	struct rpc_stream *stream;
	GHashTable *calls; ///< of struct call, by xid
	GPtrArray *outbox; ///< of struct queued_record, sent once connected
	ev_timer reconnect;
	uint32_t next_xid;
	clock_ms_t received_at; ///< when the connection last brought a record
};

/// A call that has not completed.
struct call {
	struct rpc_client *client;
	uint32_t xid;
	const struct rpc_proc *proc;
	rpc_reply_fn fn;
	void *ctx;
	clock_ms_t started_at;
	clock_ms_t due_at;     ///< timeout
	clock_ms_t give_up_at; ///< end of the wait on a connection that stays alive
	bool is_sent;	       ///< its record was passed to the stream
	guint64 stream_offset; ///< offset of its record in the bytes sent on the connection
	ev_timer timer;
};

/// The encoded record of a call that waits for a connection.
struct queued_record {
	uint32_t xid;
	GByteArray *record;
};

static void queued_record_free(void *p)
{
	struct queued_record *q = p;

	g_byte_array_unref(q->record);
	g_free(q);
}

static void send_record(struct rpc_client *c, uint32_t xid, const GByteArray *record)
{
	struct call *call = g_hash_table_lookup(c->calls, GUINT_TO_POINTER(xid));

	if (call) {
		call->is_sent = true;
		call->stream_offset = rpc_stream_queued(c->stream);
	}
	rpc_stream_send(c->stream, record->data, record->len);
}

static void complete_call(struct call *call, enum rpc_result result, const void *reply)
{
	g_hash_table_remove(call->client->calls, GUINT_TO_POINTER(call->xid));
	ev_timer_stop(call->client->loop, &call->timer);
	if (call->fn)
		call->fn(call->ctx, result, reply);
	g_free(call);
}

/// @param flushed bytes that the socket of the closed connection accepted
/// @return the result of a call that was pending when the connection closed
static enum rpc_result result_after_disconnect(const struct call *call, guint64 flushed)
{
	return call->is_sent && flushed > call->stream_offset ? RPC_NO_REPLY : RPC_NOT_SENT;
}

/// Closes the connection, fails all pending calls and starts the delay before a reconnect.
static void disconnect(struct rpc_client *c)
{
	g_autoptr(GList) calls = g_hash_table_get_values(c->calls);
	struct rpc_stream *s = g_steal_pointer(&c->stream);
	guint64 flushed = s ? rpc_stream_flushed(s) : 0;

	if (s)
		rpc_stream_close(s);
	g_ptr_array_set_size(c->outbox, 0);
	if (!ev_is_active(&c->reconnect)) {
		ev_timer_set(&c->reconnect, RECONNECT_DELAY_S, 0.);
		ev_timer_start(c->loop, &c->reconnect);
	}
	for (GList *l = calls; l; l = l->next)
		complete_call(l->data, result_after_disconnect(l->data, flushed), NULL);
}

static void on_closed(void *ctx)
{
	disconnect(ctx);
}

static void complete_with_reply(struct call *call, XDR *xdr)
{
	const struct rpc_proc *proc = call->proc;
	g_autofree void *reply = NULL;

	reply = g_malloc0(proc->reply_size);
	if (proc->reply(xdr, reply))
		complete_call(call, RPC_REPLIED, reply);
	else
		complete_call(call, RPC_NO_REPLY, NULL);
	codec_free(proc->reply, reply);
}

/// Completes the calls without results up to @p xid: the server acknowledges several of them with
/// one reply to the last.
static void complete_one_way_calls(struct rpc_client *c, uint32_t xid)
{
	g_autoptr(GPtrArray) done = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct call *call = value;

		if (call->is_sent && !call->proc->reply && (int32_t)(xid - call->xid) >= 0)
			g_ptr_array_add(done, call);
	}
	for (guint i = 0; i < done->len; i++)
		complete_call(done->pdata[i], RPC_REPLIED, NULL);
}

/// Leaves the results undecoded: their type is known only after the call is found by its xid.
static bool_t decode_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

static void on_record(void *ctx, const guint8 *data, gsize len)
{
	struct rpc_client *c = ctx;
	struct rpc_msg msg = {0};
	struct call *call;
	XDR xdr;

	c->received_at = clock_monotonic();
	xdrmem_create(&xdr, (char *)data, len, XDR_DECODE);
	msg.acpted_rply.ar_results.proc = (xdrproc_t)(void *)decode_no_results;
	if (!xdr_replymsg(&xdr, &msg)) {
		disconnect(c);
		return;
	}
	call = g_hash_table_lookup(c->calls, GUINT_TO_POINTER(msg.rm_xid));
	if (!call)
		return;
	if (msg.rm_reply.rp_stat != MSG_ACCEPTED || msg.acpted_rply.ar_stat != SUCCESS)
		complete_call(call, RPC_NO_REPLY, NULL);
	else if (!call->proc->reply)
		complete_one_way_calls(c, call->xid);
	else
		complete_with_reply(call, &xdr);
}

static const struct rpc_stream_ops stream_ops = {
	.on_record = on_record,
	.on_closed = on_closed,
};

static void connect_now(struct rpc_client *c)
{
	struct sockaddr_in address;
	int fd;

	if (!rpc_parse_address(c->address, &address))
		return;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 && errno != EINPROGRESS) {
		close(fd);
		return;
	}
	c->stream = rpc_stream_new(c->loop, fd, &stream_ops, c);
	for (guint i = 0; i < c->outbox->len; i++) {
		const struct queued_record *q = c->outbox->pdata[i];

		send_record(c, q->xid, q->record);
	}
	g_ptr_array_set_size(c->outbox, 0);
}

static void on_reconnect(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct rpc_client *c = w->data;

	(void)loop;
	(void)revents;
	if (!c->stream && g_hash_table_size(c->calls))
		connect_now(c);
}

/// Tells whether the connection has brought a record since a call was sent on it.
static bool connection_is_alive(const struct rpc_client *c, const struct call *call)
{
	return c->stream && call->is_sent && c->received_at > call->started_at;
}

/// Tells whether a reply is missing only because the server is slow: its host has acknowledged the
/// call. A new connection would wait behind this one.
static bool server_is_slow(const struct rpc_client *c, const struct call *call)
{
	return c->stream && call->is_sent && rpc_stream_flushed(c->stream) > call->stream_offset &&
	       rpc_stream_is_acknowledged(c->stream);
}

static bool has_patience(const struct call *call, clock_ms_t now)
{
	return now < call->give_up_at && now - call->client->received_at < SILENCE_MAX_MS;
}

/// Fails a call without a reply. All other calls fail with it unless only this call or the whole
/// server is slow.
static void on_call_timeout(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct call *call = w->data;
	struct rpc_client *c = call->client;
	clock_ms_t now = clock_monotonic();

	(void)revents;
	if (now < call->due_at) {
		/* The timer counts from the start of the iteration in which the call was made. */
		ev_timer_set(w, (call->due_at - now) / MS_PER_S, 0.);
		ev_timer_start(loop, w);
	} else if (c->stream && rpc_stream_has_input(c->stream)) {
		/* This process is late, not the server: the reply may have arrived. */
		ev_timer_set(w, UNREAD_DELAY_S, 0.);
		ev_timer_start(loop, w);
	} else if (connection_is_alive(c, call) && has_patience(call, now)) {
		ev_timer_set(w, MIN(call->give_up_at - now, PATIENCE_STEP_MS) / MS_PER_S, 0.);
		ev_timer_start(loop, w);
	} else if (connection_is_alive(c, call) || server_is_slow(c, call)) {
		complete_call(call, RPC_NO_REPLY, NULL);
	} else {
		log_info("closing a connection without replies", "ADDRESS", c->address, "CALLS",
			 log_number(g_hash_table_size(c->calls)));
		disconnect(c);
	}
}

struct rpc_client *rpc_client_new(struct ev_loop *loop, const char *address)
{
	struct rpc_client *c = g_new0(struct rpc_client, 1);

	c->loop = loop;
	c->address = g_strdup(address);
	c->calls = g_hash_table_new(NULL, NULL);
	c->outbox = g_ptr_array_new_with_free_func(queued_record_free);
	c->next_xid = g_random_int();
	ev_timer_init(&c->reconnect, on_reconnect, 0., 0.);
	c->reconnect.data = c;
	return c;
}

void rpc_client_free(struct rpc_client *c)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, c->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ev_timer_stop(c->loop, &((struct call *)value)->timer);
		g_free(value);
	}
	g_hash_table_unref(c->calls);
	ev_timer_stop(c->loop, &c->reconnect);
	if (c->stream)
		rpc_stream_close(c->stream);
	g_ptr_array_unref(c->outbox);
	g_free(c->address);
	g_free(c);
}

static GByteArray *encode_call(uint32_t xid, const struct rpc_proc *proc, const void *args)
{
	gsize size = CALL_HEADER_BYTES + (proc->args ? xdr_sizeof(proc->args, (void *)args) : 0);
	GByteArray *out = g_byte_array_sized_new(size);
	struct rpc_msg msg = {
		.rm_xid = xid,
		.rm_direction = CALL,
		.rm_call =
			{
				.cb_rpcvers = RPC_MSG_VERSION,
				.cb_prog = SESAMEWOOD_PROGRAM,
				.cb_vers = SESAMEWOOD_V1,
				.cb_proc = proc->number,
				.cb_cred = _null_auth,
				.cb_verf = _null_auth,
			},
	};
	XDR xdr;

	g_byte_array_set_size(out, size);
	xdrmem_create(&xdr, (char *)out->data, size, XDR_ENCODE);
	if (!xdr_callmsg(&xdr, &msg) || (proc->args && !proc->args(&xdr, (void *)args))) {
		g_byte_array_unref(out);
		return NULL;
	}
	g_byte_array_set_size(out, xdr_getpos(&xdr));
	return out;
}

void rpc_client_call(struct rpc_client *c, uint32_t proc, const void *args, clock_ms_t timeout_ms,
		     rpc_reply_fn fn, void *ctx)
{
	rpc_client_call_patiently(c, proc, args, timeout_ms, timeout_ms, fn, ctx);
}

void rpc_client_call_patiently(struct rpc_client *c, uint32_t proc, const void *args,
			       clock_ms_t timeout_ms, clock_ms_t alive_timeout_ms, rpc_reply_fn fn,
			       void *ctx)
{
	struct call *call = g_new0(struct call, 1);
	GByteArray *record;

	*call = (struct call){
		.client = c,
		.xid = ++c->next_xid,
		.started_at = clock_monotonic(),
		.due_at = clock_monotonic() + timeout_ms,
		.give_up_at = clock_monotonic() + alive_timeout_ms,
		.proc = rpc_proc_find(proc),
		.fn = fn,
		.ctx = ctx,
	};
	ev_timer_init(&call->timer, on_call_timeout, timeout_ms / MS_PER_S, 0.);
	call->timer.data = call;
	ev_timer_start(c->loop, &call->timer);
	g_hash_table_insert(c->calls, GUINT_TO_POINTER(call->xid), call);
	record = encode_call(call->xid, call->proc, args);
	if (!record)
		return;
	if (!c->stream && !ev_is_active(&c->reconnect))
		connect_now(c);
	if (c->stream) {
		send_record(c, call->xid, record);
		g_byte_array_unref(record);
	} else if (c->outbox->len < OUTBOX_MAX) {
		struct queued_record *q = g_new0(struct queued_record, 1);

		*q = (struct queued_record){.xid = call->xid, .record = record};
		g_ptr_array_add(c->outbox, q);
	} else {
		g_byte_array_unref(record);
	}
}
