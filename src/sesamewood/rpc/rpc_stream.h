#ifndef SESAMEWOOD_RPC_STREAM_H
#define SESAMEWOOD_RPC_STREAM_H

/// @file
/// Record marking (RFC 5531, section 11) over a non-blocking TCP connection.

#include "base/clock.h"
#include "base/input_budget.h"

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#define RPC_RECORD_MAX_BYTES ((gsize)32 * 1024 * 1024)

struct rpc_stream;

/// Handlers of a stream. Each may close the stream.
struct rpc_stream_ops {
	/// Handles a complete record, valid during the call.
	void (*on_record)(void *ctx, const guint8 *data, gsize len);
	/// The connection has failed, the peer has closed it, or a record exceeds
	/// RPC_RECORD_MAX_BYTES. The handler calls rpc_stream_close().
	void (*on_closed)(void *ctx);
};

/// Creates a stream on a non-blocking socket, which may still be connecting. The stream owns @p fd.
struct rpc_stream *rpc_stream_new(struct ev_loop *loop, int fd, const struct rpc_stream_ops *ops,
				  void *ctx);

/// Counts the stream's incomplete input and unsent output in a budget, which outlives the stream.
/// While the budget is exceeded, streams are closed through their on_closed.
///
/// @param address IPv4 address of the peer
void rpc_stream_bound_memory(struct rpc_stream *s, struct input_budget *budget, uint32_t address);

/// Bounds the kernel's buffers of the connection; see listener_bound_buffers().
void rpc_stream_bound_buffers(struct rpc_stream *s, uint32_t bytes);

/// Counts what the kernel holds for the connection in the stream's budget. Closes no stream.
void rpc_stream_count_kernel(struct rpc_stream *s);

/// Closes the streams that hold most, through their on_closed, while a budget is exceeded.
void rpc_stream_keep_within(struct input_budget *budget);

/// Closes a stream through its on_closed, as if its connection had failed.
void rpc_stream_fail(struct rpc_stream *s);

/// Returns when a part of a record last arrived, or CLOCK_NEVER if no record is incomplete.
clock_ms_t rpc_stream_unfinished_at(const struct rpc_stream *s);

/// Queues one record, copied. It is sent before the event loop next waits.
void rpc_stream_send(struct rpc_stream *s, const guint8 *data, gsize len);

/// Lowers the read priority of a stream for good: it is read after streams of normal priority, and
/// not at all in an iteration of the event loop that has passed its deadline for such streams. They
/// get a few milliseconds in each iteration.
void rpc_stream_lower_priority(struct rpc_stream *s);

/// Sets the monotonic time until which streams of low priority are read in this iteration of the
/// event loop. Without a call they are always read.
void rpc_stream_set_low_priority_deadline(clock_ms_t deadline);

/// Returns whether a stream of low priority was readable, and was not read for lack of time, since
/// the deadline was last set.
bool rpc_stream_skipped_low_priority(void);

/// @return bytes of all records queued so far
guint64 rpc_stream_queued(const struct rpc_stream *s);

/// @return bytes that the socket has accepted, out of those queued; the peer may have received them
guint64 rpc_stream_flushed(const struct rpc_stream *s);

/// Returns whether the socket holds input that has not been read.
bool rpc_stream_has_input(const struct rpc_stream *s);

/// Returns whether the peer's host has acknowledged all bytes that the socket has accepted.
bool rpc_stream_is_acknowledged(const struct rpc_stream *s);

/// Closes the socket and frees the stream, if need be after its handlers have returned. Does not
/// call on_closed.
void rpc_stream_close(struct rpc_stream *s);

/// Parses "IP:port" with an IPv4 address.
///
/// @return false if @p text isn't such an address
bool rpc_parse_address(const char *text, struct sockaddr_in *out);

#endif
