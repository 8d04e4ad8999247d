#include "manager/manager_internal.h"

#include "base/codec.h"
#include "base/log.h"

/// A fencing token holds the leader's term and, in its lower bits, the number of restarts of the
/// endpoint under the same id that this leader has seen: once a later incarnation has received a
/// call, it rejects a late order to an earlier one.
#define RESTART_COUNT_BITS 12
#define RESTART_COUNT_MAX ((1U << RESTART_COUNT_BITS) - 1)

static struct effect *add_effect(struct manager *m, enum effect_type type)
{
	struct effect *e = g_new0(struct effect, 1);

	e->type = type;
	g_ptr_array_add(m->effects, e);
	return e;
}

bool effects_propose(struct manager *m, const job_command *command)
{
	sw_command c = {.type = SW_COMMAND_JOB, .sw_command_u.job = *command};
	GByteArray *bytes = codec_encode(CODEC_PROC(sw_command), &c);

	if (!bytes) {
		log_error("a command exceeds the limits of a log record; it is dropped", "TYPE",
			  log_number(command->type));
		return false;
	}
	add_effect(m, EFFECT_PROPOSE)->u.command = g_byte_array_free_to_bytes(bytes);
	jobs_apply(m->jobs, command);
	m->round_wanted = true;
	return true;
}

void effects_reply(struct manager *m, uint64_t token, struct reply reply)
{
	struct effect *e = add_effect(m, EFFECT_REPLY);

	e->u.reply.token = token;
	e->u.reply.reply = reply;
}

void effects_reply_at_once(struct manager *m, uint64_t token, struct reply reply)
{
	struct effect *e = add_effect(m, EFFECT_REPLY);

	e->u.reply.token = token;
	e->u.reply.at_once = true;
	e->u.reply.reply = reply;
}

void manager_mark_capacity_changed(struct manager *m, struct endpoint *e)
{
	m->round_wanted = true;
	if (e->capacity_changed)
		return;
	e->capacity_changed = true;
	g_ptr_array_add(m->capacity_changed, e);
}

void effects_send_machine_order(struct manager *m, clock_ms_t now, struct order *order,
				uint64_t wave)
{
	order_budget_take(&m->order_budget);
	cooldown_record_order(m, now, order->machine);
	effects_send_order(m, now, order, NULL, order->machine, wave);
}

void effects_send_order(struct manager *m, clock_ms_t now, struct order *order, struct endpoint *e,
			const char *machine, uint64_t wave)
{
	struct pending_order *p = g_new0(struct pending_order, 1);

	order->id = ++m->next_order;
	order->fencing_token =
		m->term << RESTART_COUNT_BITS | (e ? MIN(e->restart_count, RESTART_COUNT_MAX) : 0);
	*p = (struct pending_order){
		.id = order->id,
		.type = order->type,
		.endpoint = e ? g_strdup(e->id) : NULL,
		.incarnation_wall_ms = e ? e->incarnation_wall_ms : 0,
		.task = g_strdup(order->task),
		.attempt = order->attempt,
		.machine = g_strdup(machine),
		.wave = wave,
		.sent_at = now,
		.wait_ms = order->wait_ms,
		.lease_until_ms = order->lease_until_ms,
		.ack_through = order->ack_through,
		.percent = order->percent,
	};
	g_hash_table_insert(m->orders, &p->id, p);
	add_effect(m, EFFECT_ORDER)->u.order = order;
}
