#ifndef SESAMEWOOD_BASE_HTTP_CLIENT_H
#define SESAMEWOOD_BASE_HTTP_CLIENT_H

/// @file
/// One blocking HTTP request at a time, for command line tools.

#include <glib.h>

struct http_result {
	long status; ///< 0: no answer
	char *body;
	char *etag;  ///< value of the ETag header, or NULL
	char *error; ///< why there was no answer, or NULL
};

/// @param headers "Name: value" strings, NULL-terminated, or NULL
/// @param body NULL: none
/// @return release with http_result_free()
struct http_result *http_client_request(const char *method, const char *url,
					const char *const *headers, const char *body,
					long timeout_ms);

void http_result_free(struct http_result *r);

typedef struct http_result http_result_t;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_result_t, http_result_free)

#endif
