#include "base/http_client.h"

#include <curl/curl.h>
#include <string.h>

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct http_result *r = ctx;
	const char *name = "ETag:";

	if (size * count > strlen(name) && g_ascii_strncasecmp(data, name, strlen(name)) == 0) {
		g_free(r->etag);
		r->etag = g_strstrip(g_strndup(data + strlen(name), size * count - strlen(name)));
	}
	return size * count;
}

struct http_result *http_client_request(const char *method, const char *url,
					const char *const *headers, const char *body,
					long timeout_ms)
{
	struct http_result *r = g_new0(struct http_result, 1);
	GString *text = g_string_new(NULL);
	struct curl_slist *list = NULL;
	CURL *easy = curl_easy_init();
	CURLcode code;

	for (int i = 0; headers && headers[i]; i++)
		list = curl_slist_append(list, headers[i]);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	if (body)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	code = curl_easy_perform(easy);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r->status);
	else
		r->error = g_strdup(curl_easy_strerror(code));
	r->body = g_string_free(text, FALSE);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	return r;
}

void http_result_free(struct http_result *r)
{
	g_free(r->body);
	g_free(r->etag);
	g_free(r->error);
	g_free(r);
}
