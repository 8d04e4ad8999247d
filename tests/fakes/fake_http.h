#ifndef SESAMEWOOD_TESTS_FAKE_HTTP_H
#define SESAMEWOOD_TESTS_FAKE_HTTP_H

/// @file
/// As much HTTP/1.1 as the stand-ins need: one message at a time on a buffer.

#include <glib.h>
#include <stdbool.h>

/// @return the value of a header within a head, or NULL; release with g_free()
char *fake_http_header(const char *head, const char *name);

/// Finds a whole message with a Content-Length at the start of @p data.
///
/// @param[out] head the start line and headers, NUL-terminated; release with g_free()
/// @return length of the message, or 0 when it is not complete
gsize fake_http_message(const GByteArray *data, char **head);

/// Opens a listening or connecting non-blocking socket on the loopback.
int fake_http_listen(const char *address);
int fake_http_connect(const char *address);

#endif
