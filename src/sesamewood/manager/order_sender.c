#include "manager/order_sender.h"

#include "base/http_async_client.h"
#include "base/log.h"
#include "base/metrics.h"

#include <string.h>

/// One status query that waits and the next one, one start with its repeats, and one more call: a
/// call without an answer keeps its connection until it times out.
#define HOST_CONNECTIONS 6
/// Carry 600 orders a second at 25 ms each.
#define MACHINE_SERVICE_CONNECTIONS 16

struct order_sender {
	const struct wire *wire;
	struct http_async_client *calls;
	struct http_async_client *machine_calls; ///< to the machine service
	order_sent_fn done;
	void *ctx;
	struct metric *orders;
	struct metric *order_ms;
};

struct sent_order {
	struct order_sender *sender;
	struct order *order;
	uint64_t term;
	uint32_t leader;
	clock_ms_t sent_at;
};

struct order_sender *order_sender_new(struct ev_loop *loop, const struct wire *wire,
				      order_sent_fn done, void *ctx)
{
	struct order_sender *s = g_new0(struct order_sender, 1);

	*s = (struct order_sender){
		.wire = wire,
		.calls = http_async_client_new(loop, HOST_CONNECTIONS),
		.machine_calls = http_async_client_new(loop, MACHINE_SERVICE_CONNECTIONS),
		.done = done,
		.ctx = ctx,
		.orders = metrics_get(METRIC_COUNTER, "sesamewood_orders_total", "",
				      "orders sent to endpoints and services"),
		.order_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_order_ms", "",
					"time to the answer of an order, ms"),
	};
	return s;
}

static bool is_machine_order(const struct order *o)
{
	return o->type == ORDER_MACHINE_LIST || o->type == ORDER_MACHINE_MOVE ||
	       o->type == ORDER_MACHINE_MAINTENANCE;
}

/// Returns whether a refusal of one copy of a request leaves open whether another copy had an
/// effect. ORDER_FENCED and ORDER_WRONG_INSTANCE tell about the receiver; after ORDER_SUPERSEDED
/// the attempt counts as in doubt anyway.
static bool leaves_other_copies_open(enum order_status status)
{
	return order_had_no_effect(status) && status != ORDER_FENCED &&
	       status != ORDER_WRONG_INSTANCE && status != ORDER_SUPERSEDED;
}

static void mark_unanswered(const struct order *o, struct order_result *result)
{
	const char *subject = is_machine_order(o) ? o->machine : o->task;

	log_info("order sent more than once was refused; an earlier copy may have had an effect",
		 "TYPE", log_number(o->type), is_machine_order(o) ? "MACHINE" : "TASK",
		 subject ? subject : "", "STATUS", log_number(result->status));
	result->status = ORDER_NO_ANSWER;
}

static void on_done(void *ctx, const struct http_async_result *r)
{
	struct sent_order *o = ctx;
	struct order_sender *s = o->sender;
	struct order_result *result;

	if (r->status)
		result = s->wire->decode_result(s->wire->ctx, o->order, r->status, r->body, r->len);
	else
		result =
			order_result_new(o->order->id, r->sends ? ORDER_NO_ANSWER : ORDER_NOT_SENT);
	result->refused = r->refused;
	if (r->sends > 1 && leaves_other_copies_open(result->status))
		mark_unanswered(o->order, result);
	metrics_observe(s->order_ms, clock_monotonic() - o->sent_at);
	s->done(s->ctx, o->leader, o->term, result);
	order_free(o->order);
	g_free(o);
}

void order_sender_send(struct order_sender *s, struct order *order, uint32_t leader, uint64_t term)
{
	clock_ms_t now = clock_monotonic();
	struct wire_request request = {0};
	struct sent_order *o;
	struct http_async_request call;

	if (order_is_stale(order, now) || !s->wire->encode_order(s->wire->ctx, order, &request)) {
		s->done(s->ctx, leader, term, order_result_new(order->id, ORDER_NOT_SENT));
		order_free(order);
		return;
	}
	o = g_new0(struct sent_order, 1);
	*o = (struct sent_order){s, order, term, leader, now};
	call = (struct http_async_request){
		.address = request.address,
		.path = request.path,
		.get = request.get,
		.headers = request.headers ? (const char *const *)request.headers->pdata : NULL,
		.body = request.body ? request.body : "",
		.len = request.body ? strlen(request.body) : 0,
		.timeout_ms = order->timeout_ms,
	};
	metrics_add(s->orders, 1);
	http_async_client_send(is_machine_order(order) ? s->machine_calls : s->calls, &call,
			       on_done, o);
	wire_request_clear(&request);
}
