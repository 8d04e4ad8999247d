#ifndef SESAMEWOOD_BASE_HTTP_CLIENT_H
#define SESAMEWOOD_BASE_HTTP_CLIENT_H

/// @file
/// Blocking HTTP client for command line tools.

#include <glib.h>

/// Outcome of a request.
struct http_result {
	long status; ///< HTTP status, or 0 when no response arrived
	char *body;  ///< never NULL
	char *etag;  ///< value of the ETag header, or NULL
	char *error; ///< why no response arrived, or NULL
};

/// Sends a request and waits for its response.
///
/// @param headers "Name: value" strings, NULL-terminated, or NULL
/// @param body NULL for a request without a body
/// @param timeout_ms limit on the whole request
/// @return never NULL; release with http_result_free()
struct http_result *http_client_request(const char *method, const char *url,
					const char *const *headers, const char *body,
					long timeout_ms);

/// Frees a result of http_client_request().
void http_result_free(struct http_result *r);

typedef struct http_result http_result_t;
G_DEFINE_AUTOPTR_CLEANUP_FUNC(http_result_t, http_result_free)

#endif
