#include "manager/control_shell_internal.h"

#include "base/http_status.h"
#include "base/log.h"

#include <string.h>

#define RELAY_MS 900   /* callers of control move on after a second */
#define RETRY_READ_S 1 /* callers who ask for a state ask again anyway */

static void answer_not_leader(struct shell *sh, struct rpc_request *rpc)
{
	const sw_members *members = raft_members(sh->raft);
	uint32_t nodes[RAFT_PEERS_MAX + 1];
	sw_relay_reply r = {
		.status = SW_NOT_LEADER,
		.leader = shell_other_leader(sh),
		.members = {.members_val = nodes},
	};

	for (u_int i = 0; i < members->members.members_len && i < G_N_ELEMENTS(nodes); i++)
		nodes[r.members.members_len++] = members->members.members_val[i].node;
	rpc_request_reply(rpc, &r);
}

static void handle_here(struct shell *sh, const struct wire_call *from, struct rpc_request *rpc,
			struct http_request *http)
{
	struct call call = {0};
	enum work_kind before = work_enter(WORK_DECODE);

	sh->wire->decode_call(sh->wire->ctx, from, &call);
	work_enter(call.type == CALL_ANNOUNCE ? WORK_HEARTBEATS : WORK_REQUESTS);
	manager_call(sh->manager, clock_monotonic(), clock_wall(),
		     callers_add(sh->callers, rpc, http), &call);
	call_clear(&call);
	work_leave(before);
}

static void on_relayed(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	caller_answer_relayed(ctx, outcome, reply);
}

static void on_http_request(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;
	const GByteArray *body = http_body(req);
	const char *host = http_header(req, "Host");
	struct wire_call call = {
		.method = http_method(req),
		.host = host ? host : "",
		.target = http_target(req),
		.body = body->data,
		.len = body->len,
	};
	sw_relay_args args = {
		.method = (char *)call.method,
		.host = (char *)call.host,
		.target = (char *)call.target,
		.body = {.sw_blob_len = body->len, .sw_blob_val = (char *)body->data},
	};

	if (g_str_equal(call.target, "/metrics")) {
		g_autofree char *text = NULL;

		work_publish();
		text = metrics_text();
		http_reply(req, HTTP_OK, NULL, text, strlen(text));
	} else if (shell_leads(sh)) {
		handle_here(sh, &call, NULL, req);
	} else if (strlen(call.method) > 16 || strlen(call.host) > 256 ||
		   strlen(call.target) > 8192) {
		http_reply(req, HTTP_BAD_REQUEST, NULL, NULL, 0);
	} else {
		relay_note_leader(sh->relay, shell_other_leader(sh));
		if (!hearing_take(sh->hearing, raft_term(sh->raft), &call, &args, req))
			relay_call(sh->relay, &args, RELAY_MS, on_relayed, req);
	}
}

const struct http_handlers shell_http_handlers = {.on_request = on_http_request};

static void send_for_leader(struct shell *sh, const sw_order_batch *batch)
{
	clock_ms_t now = clock_monotonic();

	for (u_int i = 0; i < batch->orders.orders_len; i++)
		order_sender_send(sh->sender,
				  agents_decode_order(&batch->orders.orders_val[i], now),
				  batch->leader, batch->term);
}

/// Refuses a caller while the leader is too far behind, before its call costs more. What it has
/// accepted it says; cancels are few, and end work.
///
/// @return false: it is not refused
static bool refuse_caller(struct shell *sh, const struct wire_call *call, struct rpc_request *req)
{
	const struct caller c = {.rpc = req};
	clock_ms_t now = clock_monotonic();
	bool submits = g_str_equal(call->method, "POST");
	uint32_t after_s = RETRY_READ_S;
	g_autofree char *host = g_strndup(call->host, strcspn(call->host, ":"));
	const char *id;
	bool known = manager_knows_job(sh->manager, host, call->target, &id);

	if (submits && (known || !*id))
		return false;
	if (submits ? !sh->overload->refuses && !overload_was_refused(sh->overload, now, id)
		    : !sh->overload->refuses || !g_str_equal(call->method, "GET"))
		return false;
	if (submits) {
		after_s = overload_refuse(sh->overload, now, shell_lag_ms(sh, now), id);
		log_info("job refused: too far behind", "JOB", id, "RETRY_AFTER_S",
			 log_number(after_s));
	}
	metrics_add(sh->refusals, 1);
	caller_answer(&c, HTTP_UNAVAILABLE, after_s, NULL, 0);
	return true;
}

static void serve_sightings(struct shell *sh, struct rpc_request *req, const sw_sighting_args *args)
{
	enum work_kind before = work_enter(WORK_HEARTBEATS);

	hearing_serve(shell_leads(sh) && args->term == sh->manager_term ? sh->manager : NULL, req,
		      args);
	work_leave(before);
}

void shell_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *value)
{
	struct shell *sh = ctx;
	const sw_relay_args *args = value;
	struct wire_call call;

	if (proc == SW_PROC_RAFT) {
		rpc_request_reply(req, NULL);
		raft_receive(sh->raft, clock_monotonic(), value);
		return;
	}
	if (proc == SW_PROC_ORDERS) {
		rpc_request_reply(req, NULL);
		send_for_leader(sh, value);
		return;
	}
	if (proc == SW_PROC_RESULTS) {
		rpc_request_reply(req, NULL);
		agents_take_results(sh->agents, value);
		return;
	}
	if (proc == SW_PROC_SIGHTINGS) {
		serve_sightings(sh, req, value);
		return;
	}
	if (proc != SW_PROC_RELAY) {
		rpc_request_reply_unavailable(req);
		return;
	}
	if (!shell_leads(sh)) {
		answer_not_leader(sh, req);
		return;
	}
	if (!*args->target) { /* somebody asks who leads */
		struct caller c = {.rpc = req};

		caller_answer(&c, HTTP_OK, 0, NULL, 0);
		return;
	}
	call = (struct wire_call){
		.from_caller = args->from_caller,
		.method = args->method,
		.host = args->host,
		.target = args->target,
		.body = args->body.sw_blob_val,
		.len = args->body.sw_blob_len,
	};
	if (args->from_caller) {
		rpc_request_lower_priority(req);
		if (refuse_caller(sh, &call, req))
			return;
	}
	handle_here(sh, &call, req, NULL);
}
