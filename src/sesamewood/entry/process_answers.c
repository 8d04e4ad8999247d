#include "entry/process_internal.h"

#include "base/codec.h"
#include "base/http_status.h"
#include "base/log.h"

#include <string.h>

#define ANSWER_TIMEOUT_MS 1000

/* Answers to callers. */

void process_exchange_free(void *p)
{
	struct exchange *x = p;

	upstream_answer_free(x->answer);
	g_free(x->pool);
	g_free(x->instance);
	g_free(x);
}

struct exchange *process_find_exchange(struct process *sh, uint64_t id)
{
	return g_hash_table_lookup(sh->exchanges, &id);
}

static void count_verdict(struct process *sh, const struct exchange *x, enum verdict v,
			  unsigned int status)
{
	clock_ms_t took = clock_monotonic() - x->arrived_at;
	g_autofree char *labels = NULL;

	metrics_add(sh->verdicts[v], 1);
	if (x->pool) {
		labels = g_strdup_printf("pool=\"%s\",class=\"%uxx\"", x->pool, status / 100);
		metrics_observe(metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_answer_ms", labels,
					    "time from request to answer, ms"),
				took);
	}
	if (sh->log_sample && ++sh->requests % sh->log_sample == 0)
		log_info("request", "REQUEST_ID", log_number(x->id), "POOL", x->pool ? x->pool : "",
			 "ENDPOINT", x->instance ? x->instance : "", "EPOCH", log_number(x->epoch),
			 "VERDICT", verdict_name(v), "STATUS", log_number(status), "TOOK_MS",
			 log_number(took));
}

void process_answer_problem(struct process *sh, struct exchange *x, unsigned int status,
			    const char *title, enum verdict v)
{
	count_verdict(sh, x, v, status);
	http_reply_problem(x->http, status, title, verdict_name(v));
	g_hash_table_remove(sh->exchanges, &x->id);
}

static const char *content_type_of(const struct upstream_answer *a)
{
	const char *prefix = "Content-Type:";

	for (guint i = 0; i < a->headers->len; i++)
		if (g_ascii_strncasecmp(a->headers->pdata[i], prefix, strlen(prefix)) == 0)
			return g_strchug((char *)a->headers->pdata[i] + strlen(prefix));
	return "";
}

static void send_answer(struct exchange *x)
{
	const struct upstream_answer *a = x->answer;
	g_autofree struct http_header *headers = g_new0(struct http_header, a->headers->len + 2);
	size_t n = 0;

	for (guint i = 0; i < a->headers->len; i++) {
		char *line = a->headers->pdata[i];
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
	http_reply(x->http, a->status, headers, a->body->data, a->body->len);
}

void process_answer(struct process *sh, uint64_t id)
{
	struct exchange *x = process_find_exchange(sh, id);

	if (!x || !x->answer)
		return;
	count_verdict(sh, x, VERDICT_RAN, x->answer->status);
	if (x->keyed)
		answers_put(sh->answers, x->key, x->digest, x->answer->status,
			    content_type_of(x->answer), x->answer->body);
	send_answer(x);
	g_hash_table_remove(sh->exchanges, &x->id);
}

/* Answers kept for callers that ask again. */

static void answer_again(struct process *sh, uint64_t id, const sw_answer_reply *r)
{
	struct exchange *x = process_find_exchange(sh, id);
	struct http_header headers[] = {
		{"Sesamewood-Verdict", verdict_name(VERDICT_RAN)},
		{NULL, NULL},
		{NULL, NULL},
	};

	if (!x)
		return;
	if (!r || r->status != SW_OK) {
		process_answer_problem(
			sh, x, HTTP_CONFLICT,
			"a request with this idempotency key ran; its answer is gone",
			VERDICT_MAY_HAVE_RUN);
		return;
	}
	if (*r->content_type) {
		headers[1].name = "Content-Type";
		headers[1].value = r->content_type;
	}
	count_verdict(sh, x, VERDICT_RAN, r->http_status);
	http_reply(x->http, r->http_status, headers, r->body.sw_blob_val, r->body.sw_blob_len);
	g_hash_table_remove(sh->exchanges, &x->id);
}

struct fetch_call {
	struct process *shell;
	uint64_t id;
};

static void on_fetched(void *ctx, enum rpc_result result, const void *reply)
{
	struct fetch_call *call = ctx;

	answer_again(call->shell, call->id, result == RPC_REPLIED ? reply : NULL);
	g_free(call);
}

void process_fetch_answer(struct process *sh, const struct entry_effect *e)
{
	sw_answer_args args = {.digest = e->u.fetch.digest};
	struct fetch_call *call;

	memcpy(args.key, e->u.fetch.key, SW_KEY_BYTES);
	if (!*e->u.fetch.address) {
		sw_answer_reply reply;

		answers_get(sh->answers, args.key, args.digest, &reply);
		answer_again(sh, e->id, &reply);
		codec_free(CODEC_PROC(sw_answer_reply), &reply);
		return;
	}
	call = g_new0(struct fetch_call, 1);
	*call = (struct fetch_call){.shell = sh, .id = e->id};
	rpc_client_call(process_peer_client(sh, e->u.fetch.address), SW_PROC_ANSWER, &args,
			ANSWER_TIMEOUT_MS, on_fetched, call);
}
