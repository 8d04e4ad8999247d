#include "control/raft_internal.h"

#include "base/codec.h"
#include "base/log.h"

#include <stdlib.h>
#include <string.h>

#define RESEND_MS 1000 ///< a part without a reply is sent again after this time

/* Sender. */

/// Sends a part of the image that the peer receives.
///
/// @param len  0: as a heartbeat, which asks how much has arrived
static void send_part(struct raft *r, struct peer *p, clock_ms_t now, gsize len)
{
	raft_message *m = raft_send_to(r, p->node, p->uid, RAFT_SNAPSHOT);
	gsize size = g_bytes_get_size(p->image.data);
	const guint8 *data = g_bytes_get_data(p->image.data, NULL);
	const raft_snapshot_part part = {
		.offset = p->image_received,
		.size = size,
		.data = {.data_len = len, .data_val = (char *)data + p->image_received},
	};
	g_autoptr(GByteArray) bytes = codec_encode(CODEC_PROC(raft_snapshot_part), &part);

	m->index = p->image.index;
	m->log_term = p->image.term;
	m->commit = r->commit;
	m->echo_ms = now;
	if (!bytes || !codec_copy(CODEC_PROC(sw_members), &p->image.members, &m->members,
				  sizeof(m->members))) {
		log_error("cannot encode a part of the snapshot");
		return;
	}
	m->snapshot.sw_blob_len = bytes->len;
	m->snapshot.sw_blob_val = malloc(bytes->len);
	memcpy(m->snapshot.sw_blob_val, bytes->data, bytes->len);
}

static void send_next_part(struct raft *r, struct peer *p, clock_ms_t now)
{
	gsize left = g_bytes_get_size(p->image.data) - p->image_received;
	gsize len = MIN(left, SW_SNAPSHOT_PART_MAX);

	send_part(r, p, now, len);
	p->image_sent = p->image_received + len;
	p->in_flight_until = now + RESEND_MS;
	p->batch_sent_at = now;
}

void raft_send_snapshot(struct raft *r, struct peer *p, clock_ms_t now)
{
	if (!p->image.index) {
		if (!r->snapshot.data || !raft_image_copy(&r->snapshot, &p->image))
			return;
		p->image_received = 0;
		p->in_flight_until = 0;
		log_info("sending a snapshot", "TO", log_number(p->node), "INDEX",
			 log_number(p->image.index), "BYTES",
			 log_number(g_bytes_get_size(p->image.data)));
	}
	if (now >= p->in_flight_until)
		send_next_part(r, p, now);
	else
		send_part(r, p, now, 0);
}

void raft_receive_snapshot_reply(struct raft *r, clock_ms_t now, const raft_message *m)
{
	struct peer *p = raft_find_peer(r, m->from);
	raft_snapshot_part part;

	if (r->role != RAFT_LEADER || m->term != r->meta.term || !p || p->uid != m->from_uid)
		return;
	p->acked_send_ms = MAX(p->acked_send_ms, m->echo_ms);
	p->last_reply_at = now;
	if (!p->image.index || m->index != p->image.index ||
	    !codec_decode(CODEC_PROC(raft_snapshot_part), m->snapshot.sw_blob_val,
			  m->snapshot.sw_blob_len, &part, sizeof(part)))
		return;
	if (part.offset <= g_bytes_get_size(p->image.data)) {
		p->image_received = part.offset;
		if (part.offset == p->image_sent)
			send_next_part(r, p, now);
	}
	codec_free(CODEC_PROC(raft_snapshot_part), &part);
}

/* Receiver. */

static void reply_part(struct raft *r, const raft_message *m)
{
	raft_message *reply = raft_send_to(r, m->from, m->from_uid, RAFT_SNAPSHOT_REPLY);
	const raft_snapshot_part part = {.offset = r->incoming ? r->incoming->len : 0,
					 .size = r->incoming_size};
	g_autoptr(GByteArray) bytes = codec_encode(CODEC_PROC(raft_snapshot_part), &part);

	reply->index = m->index;
	reply->echo_ms = m->echo_ms;
	if (!bytes)
		return;
	reply->snapshot.sw_blob_len = bytes->len;
	reply->snapshot.sw_blob_val = malloc(bytes->len);
	memcpy(reply->snapshot.sw_blob_val, bytes->data, bytes->len);
}

void raft_drop_incoming(struct raft *r)
{
	g_clear_pointer(&r->incoming, g_byte_array_unref);
	r->incoming_index = 0;
	r->incoming_size = 0;
}

bool raft_receive_part(struct raft *r, const raft_message *m, struct raft_image *out)
{
	raft_snapshot_part part;
	bool complete;

	if (!codec_decode(CODEC_PROC(raft_snapshot_part), m->snapshot.sw_blob_val,
			  m->snapshot.sw_blob_len, &part, sizeof(part))) {
		log_error("cannot decode a part of a snapshot");
		return false;
	}
	/* Leaders encode the same state differently. */
	if (r->incoming_index != m->index || r->incoming_from != m->term || !r->incoming) {
		raft_drop_incoming(r);
		r->incoming_index = m->index;
		r->incoming_from = m->term;
		r->incoming_size = part.size;
		r->incoming = g_byte_array_new();
	}
	if (part.offset == r->incoming->len && part.data.data_len <= part.size - part.offset)
		g_byte_array_append(r->incoming, (const guint8 *)part.data.data_val,
				    part.data.data_len);
	codec_free(CODEC_PROC(raft_snapshot_part), &part);
	complete = r->incoming->len == r->incoming_size;
	if (complete) {
		g_autoptr(GBytes) data = g_byte_array_free_to_bytes(g_steal_pointer(&r->incoming));

		raft_drop_incoming(r);
		complete = raft_image_init(out, m->index, m->log_term, &m->members, data);
	}
	if (!complete)
		reply_part(r, m);
	return complete;
}
