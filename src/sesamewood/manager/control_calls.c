#include "manager/control_shell_internal.h"

#include "base/http_status.h"
#include "base/log.h"

#include <string.h>

#define RELAY_MS 900   /* endpoints and operators try another replica after a second */
#define RETRY_READ_S 1 /* callers poll job states anyway */

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

static void count_call(struct load_counts *counts, enum call_type type)
{
	switch (type) {
	case CALL_SUBMIT:
		counts->submits++;
		break;
	case CALL_JOB_READ:
		counts->reads++;
		break;
	case CALL_HEARTBEAT:
		counts->heartbeats++;
		break;
	default:
		counts->other_calls++;
		break;
	}
}

static void handle_here(struct shell *sh, const struct wire_call *from, struct rpc_request *rpc,
			struct http_request *http)
{
	struct call call = {0};
	enum work_kind before = work_enter(WORK_DECODE);

	sh->wire->decode_call(sh->wire->ctx, from, &call);
	count_call(&sh->counts, call.type);
	work_enter(call.type == CALL_HEARTBEAT ? WORK_HEARTBEATS : WORK_REQUESTS);
	manager_handle_call(sh->manager, clock_monotonic(), clock_wall(),
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
	} else if (sh->is_cut_off) {
		metrics_add(sh->leaderless_refusals, 1);
		http_reply(req, HTTP_UNAVAILABLE, NULL, NULL, 0);
	} else {
		relay_set_leader(sh->relay, shell_other_leader(sh));
		if (!heartbeat_proxy_handle(sh->heartbeat_proxy, raft_term(sh->raft), &call, &args,
					    req))
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

/// Refuses a request while the leader lags too far, before decoding it. Submissions of jobs that
/// are already accepted are answered normally, and cancellations are never refused, because they
/// are rare and reduce the load.
///
/// @return whether the request was refused and answered
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
	if (submits ? !sh->overload->refusing && !overload_was_refused(sh->overload, now, id)
		    : !sh->overload->refusing || !g_str_equal(call->method, "GET"))
		return false;
	if (submits && !sh->overload->refusing) {
		after_s = overload_refuse_again(sh->overload, now, id);
		log_info("copy of a refused job refused; the caller retries later", "JOB", id,
			 "RETRY_AFTER_S", log_number(after_s));
	} else if (submits) {
		after_s = overload_refuse(sh->overload, now, shell_lag_ms(sh, now), id);
		log_info("job refused because the leader lags; the caller retries later", "JOB", id,
			 "RETRY_AFTER_S", log_number(after_s));
	}
	metrics_add(sh->refusals, 1);
	sh->counts.refused++;
	caller_answer(&c, HTTP_UNAVAILABLE, after_s, NULL, 0);
	return true;
}

static void serve_heartbeat_batch(struct shell *sh, struct rpc_request *req,
				  const sw_heartbeat_batch *args)
{
	enum work_kind before = work_enter(WORK_HEARTBEATS);

	heartbeat_proxy_serve_batch(
		shell_leads(sh) && args->term == sh->manager_term ? sh->manager : NULL, req, args);
	work_leave(before);
}

void shell_on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *value)
{
	struct shell *sh = ctx;
	const sw_relay_args *args = value;
	struct wire_call call;

	if (proc == SW_PROC_RAFT) {
		rpc_request_expect_bulk(req);
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
		agents_handle_results(sh->agents, value);
		return;
	}
	if (proc == SW_PROC_HEARTBEATS) {
		serve_heartbeat_batch(sh, req, value);
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
	if (!*args->target) { /* an entry's probe for the leader */
		struct caller c = {.rpc = req};

		sh->counts.probes++;
		caller_answer(&c, HTTP_OK, 0, NULL, 0);
		return;
	}
	call = (struct wire_call){
		.from_caller = args->from_caller,
		.method = args->method,
		.host = args->host,
		.target = args->target,
		.key = args->key.key_val,
		.key_len = args->key.key_len,
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
