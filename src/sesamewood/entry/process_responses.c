#include "entry/process_internal.h"

#include "base/codec.h"
#include "base/http_status.h"
#include "base/log.h"

#include <string.h>

#define FETCH_TIMEOUT_MS 1000

void process_exchange_free(void *p)
{
	struct exchange *x = p;

	upstream_response_free(x->response);
	g_free(x->pool);
	g_free(x->instance);
	g_free(x);
}

struct exchange *process_find_exchange(struct process *p, uint64_t id)
{
	return g_hash_table_lookup(p->exchanges, &id);
}

/// Updates the metrics for a response, and logs a sample of requests.
static void count_verdict(struct process *p, const struct exchange *x, enum verdict v,
			  unsigned int status)
{
	clock_ms_t took = clock_monotonic() - x->arrived_at;
	g_autofree char *labels = NULL;

	metrics_add(p->verdicts[v], 1);
	if (x->pool) {
		labels = g_strdup_printf("pool=\"%s\",class=\"%uxx\"", x->pool, status / 100);
		metrics_observe(metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_answer_ms", labels,
					    "time from request to answer, ms"),
				took);
	}
	if (p->log_sample && ++p->n_responses % p->log_sample == 0)
		log_info("request completed", "REQUEST_ID", log_number(x->id), "POOL",
			 x->pool ? x->pool : "", "ENDPOINT", x->instance ? x->instance : "",
			 "EPOCH", log_number(x->epoch), "VERDICT", verdict_name(v), "STATUS",
			 log_number(status), "TOOK_MS", log_number(took));
}

void process_send_problem(struct process *p, struct exchange *x, unsigned int status,
			  const char *title, enum verdict v)
{
	count_verdict(p, x, v, status);
	http_reply_problem(x->http, status, title, verdict_name(v));
	g_hash_table_remove(p->exchanges, &x->id);
}

/// @return value of the Content-Type header, owned by the response, or ""
static const char *content_type_of(const struct upstream_response *r)
{
	const char *prefix = "Content-Type:";

	for (guint i = 0; i < r->headers->len; i++)
		if (g_ascii_strncasecmp(r->headers->pdata[i], prefix, strlen(prefix)) == 0)
			return g_strchug((char *)r->headers->pdata[i] + strlen(prefix));
	return "";
}

/// Sends the caller the endpoint's response, with the verdict of this entry.
static void send_response(struct exchange *x)
{
	const struct upstream_response *r = x->response;
	g_autofree struct http_header *headers = g_new0(struct http_header, r->headers->len + 2);
	size_t n = 0;

	for (guint i = 0; i < r->headers->len; i++) {
		char *line = r->headers->pdata[i];
		char *colon = strchr(line, ':');

		*colon = '\0';
		if (g_ascii_strcasecmp(line, "Sesamewood-Verdict") == 0 ||
		    g_ascii_strcasecmp(line, "Date") == 0)
			continue;
		headers[n].name = line;
		headers[n++].value = g_strstrip(colon + 1);
	}
	headers[n].name = "Sesamewood-Verdict";
	headers[n].value = verdict_name(VERDICT_RAN);
	http_reply(x->http, r->status, headers, r->body->data, r->body->len);
}

void process_send_response(struct process *p, uint64_t id)
{
	struct exchange *x = process_find_exchange(p, id);

	if (!x || !x->response)
		return;
	count_verdict(p, x, VERDICT_RAN, x->response->status);
	if (x->has_key)
		response_cache_put(p->response_cache, x->key, x->digest, x->response->status,
				   content_type_of(x->response), x->response->body);
	send_response(x);
	g_hash_table_remove(p->exchanges, &x->id);
}

/// Sends the caller a cached response, or a problem document if there is none.
///
/// @param r NULL: the other entry did not reply
static void send_fetched_response(struct process *p, uint64_t id, const sw_answer_reply *r)
{
	struct exchange *x = process_find_exchange(p, id);
	struct http_header headers[] = {
		{"Sesamewood-Verdict", verdict_name(VERDICT_RAN)},
		{NULL, NULL},
		{NULL, NULL},
	};

	if (!x)
		return;
	if (!r || r->status != SW_OK) {
		process_send_problem(p, x, HTTP_CONFLICT,
				     "a request with this idempotency key ran; its answer is gone",
				     VERDICT_MAY_HAVE_RUN);
		return;
	}
	if (*r->content_type) {
		headers[1].name = "Content-Type";
		headers[1].value = r->content_type;
	}
	count_verdict(p, x, VERDICT_RAN, r->http_status);
	http_reply(x->http, r->http_status, headers, r->body.sw_blob_val, r->body.sw_blob_len);
	g_hash_table_remove(p->exchanges, &x->id);
}

/// A call for a cached response to another entry, until its reply.
struct fetch_call {
	struct process *process;
	uint64_t id;
};

static void on_fetched(void *ctx, enum rpc_result result, const void *reply)
{
	struct fetch_call *call = ctx;

	send_fetched_response(call->process, call->id, result == RPC_REPLIED ? reply : NULL);
	g_free(call);
}

void process_fetch_response(struct process *p, const struct entry_effect *e)
{
	sw_answer_args args = {.digest = e->u.fetch.digest};
	struct fetch_call *call;

	memcpy(args.key, e->u.fetch.key, SW_KEY_BYTES);
	if (!*e->u.fetch.address) {
		sw_answer_reply reply;

		response_cache_get(p->response_cache, args.key, args.digest, &reply);
		send_fetched_response(p, e->id, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		return;
	}
	call = g_new0(struct fetch_call, 1);
	*call = (struct fetch_call){.process = p, .id = e->id};
	rpc_client_call(process_peer_client(p, e->u.fetch.address), SW_PROC_ANSWER, &args,
			FETCH_TIMEOUT_MS, on_fetched, call);
}
