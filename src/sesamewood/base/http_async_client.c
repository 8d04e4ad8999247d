#include "base/http_async_client.h"

#include "base/curl_loop.h"
#include "base/input_budget.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define CONNECT_TIMEOUT_MS 500L /* TCP retransmits a lost SYN only after 1 s */
#define CACHED_CONNECTIONS_MAX 1024L
#define BUFFER_BYTES 16384L
/// TCP_USER_TIMEOUT, which closes connections to unreachable peers. Longer than the timeout of a
/// request.
#define UNACKED_TIMEOUT_MS 1500
#define RESPONSE_MAX_BYTES ((size_t)8 * 1024 * 1024)

/// Memory for a byte of a response: arrays double when they grow.
#define RESPONSE_COPIES 2

struct http_async_client {
	struct curl_loop *curl;
	struct input_budget budget; ///< of all responses that are not complete
};

struct transfer {
	struct http_async_client *owner;
	CURL *easy;
	struct curl_slist *headers;
	GByteArray *response;
	struct input_hold hold;
	bool aborted;	    ///< its response is dropped, and the transfer fails with its next part
	unsigned int sends; ///< connections on which curl has sent the request
	http_async_fn fn;
	void *ctx;
};

/// Drops the longest responses while all responses together are too long.
static void keep_within_budget(struct http_async_client *c)
{
	struct input_hold *victim;

	while ((victim = input_budget_choose(&c->budget))) {
		struct transfer *t = victim->owner;

		t->aborted = true;
		g_byte_array_unref(t->response);
		t->response = g_byte_array_new();
		input_budget_set(&c->budget, &t->hold, 0);
	}
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *t = ctx;

	if (t->aborted || t->response->len + size * count > RESPONSE_MAX_BYTES)
		return 0;
	g_byte_array_append(t->response, (const guint8 *)data, size * count);
	input_budget_set(&t->owner->budget, &t->hold, (uint64_t)t->response->len * RESPONSE_COPIES);
	keep_within_budget(t->owner);
	return t->aborted ? 0 : size * count;
}

/// Called by curl for each connection on which it sends the request, right before it does.
static int on_request_start(void *ctx, char *remote_ip, char *local_ip, int remote_port,
			    int local_port)
{
	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	((struct transfer *)ctx)->sends++;
	return CURL_PREREQFUNC_OK;
}

static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	unsigned int timeout_ms = UNACKED_TIMEOUT_MS;

	(void)ctx;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	return CURL_SOCKOPT_OK;
}

/// Tells whether the host of the address refused the connection. A host that cannot be reached does
/// not answer.
static bool is_refused(CURL *easy, CURLcode code)
{
	long error = 0;

	if (code != CURLE_COULDNT_CONNECT)
		return false;
	curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
	return error == ECONNREFUSED;
}

static void on_transfer_done(void *ctx, CURL *easy, CURLcode code)
{
	struct transfer *t;
	struct http_async_result result = {0};
	long status = 0;

	(void)ctx;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&t);
	result.sends = t->sends;
	result.refused = is_refused(easy, code);
	input_budget_remove(&t->owner->budget, &t->hold);
	if (code == CURLE_OK && !t->aborted) {
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
		result.status = (unsigned int)status;
		result.body = (const char *)t->response->data;
		result.len = t->response->len;
	}
	curl_loop_release(t->owner->curl, easy);
	t->fn(t->ctx, &result);
	curl_slist_free_all(t->headers);
	g_byte_array_unref(t->response);
	g_free(t);
}

struct http_async_client *http_async_client_new(struct ev_loop *loop, uint32_t host_connections)
{
	struct http_async_client *c = g_new0(struct http_async_client, 1);

	input_budget_init(&c->budget, INPUT_BUDGET_DEFAULT_BYTES);
	c->curl = curl_loop_new(loop, on_transfer_done, c);
	curl_multi_setopt(curl_loop_multi(c->curl), CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)host_connections);
	curl_multi_setopt(curl_loop_multi(c->curl), CURLMOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
	return c;
}

static void set_headers(struct transfer *t, const struct http_async_request *request)
{
	t->headers = curl_slist_append(t->headers, "Expect:");
	t->headers = curl_slist_append(t->headers, "Accept:");
	if (!request->get)
		t->headers = curl_slist_append(t->headers, "Content-Type: application/json");
	for (int i = 0; request->headers && request->headers[i]; i++)
		t->headers = curl_slist_append(t->headers, request->headers[i]);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

void http_async_client_send(struct http_async_client *c, const struct http_async_request *request,
			    http_async_fn fn, void *ctx)
{
	struct transfer *t = g_new0(struct transfer, 1);
	g_autofree char *url = g_strconcat("http://", request->address, request->path, NULL);

	*t = (struct transfer){
		.owner = c,
		.easy = curl_loop_acquire(c->curl),
		.response = g_byte_array_new(),
		.fn = fn,
		.ctx = ctx,
	};
	input_budget_add(&c->budget, &t->hold, 0, t);
	curl_easy_setopt(t->easy, CURLOPT_URL, url);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_BUFFERSIZE, BUFFER_BYTES);
	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 MIN(CONNECT_TIMEOUT_MS, (long)request->timeout_ms));
	curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS, (long)request->timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_SOCKOPTFUNCTION, on_socket_created);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, on_request_start);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	if (!request->get) {
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE, (long)request->len);
		curl_easy_setopt(t->easy, CURLOPT_COPYPOSTFIELDS, request->body);
	}
	set_headers(t, request);
	curl_multi_add_handle(curl_loop_multi(c->curl), t->easy);
}
