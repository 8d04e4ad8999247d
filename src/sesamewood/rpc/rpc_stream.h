#ifndef SESAMEWOOD_RPC_STREAM_H
#define SESAMEWOOD_RPC_STREAM_H

/// @file
/// Record marking (RFC 5531, section 11) over a non-blocking TCP connection.

#include "base/clock.h"

#include <ev.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

#define RPC_RECORD_MAX_BYTES ((gsize)32 * 1024 * 1024)

struct rpc_stream;

/// Handlers of a stream. Either may close the stream.
struct rpc_stream_ops {
	void (*on_record)(void *ctx, const guint8 *data, gsize len);
	void (*on_closed)(void *ctx); ///< the peer or the network ended the connection
};

/// Takes over a socket, which may still be connecting.
struct rpc_stream *rpc_stream_new(struct ev_loop *loop, int fd, const struct rpc_stream_ops *ops,
				  void *ctx);

/// Queues one record.
void rpc_stream_send(struct rpc_stream *s, const guint8 *data, gsize len);

/// Lets other streams go first: it is read after them, and not at all in a pass of the loop that
/// has taken its time.
void rpc_stream_lower_priority(struct rpc_stream *s);

/// Tells until when streams that yield are read in this pass of the loop.
void rpc_stream_set_low_priority_deadline(clock_ms_t until);

/// @return bytes of all records queued so far
guint64 rpc_stream_queued(const struct rpc_stream *s);

/// @return of the bytes queued, those that the socket took: the peer may have them
guint64 rpc_stream_flushed(const struct rpc_stream *s);

/// Closes the socket; on_closed is not called. Safe inside handlers.
void rpc_stream_close(struct rpc_stream *s);

/// Parses "IP:port".
bool rpc_parse_address(const char *text, struct sockaddr_in *out);

#endif
