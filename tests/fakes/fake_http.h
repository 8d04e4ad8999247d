#ifndef SESAMEWOOD_TESTS_FAKE_HTTP_H
#define SESAMEWOOD_TESTS_FAKE_HTTP_H

/// @file
/// The part of HTTP/1.1 that the fake endpoints and callers need: finds messages in a buffer.

#include <glib.h>
#include <stdbool.h>

/// @param head start line and headers
/// @return value of the header, or NULL; release it with g_free()
char *fake_http_header(const char *head, const char *name);

/// Finds a complete message at the start of @p data. Its body ends by Content-Length; without that
/// header it has none.
///
/// @param[out] head start line and headers, set for a complete message; release it with g_free()
/// @return length of the message, or 0 if it is incomplete
gsize fake_http_message(const GByteArray *data, char **head);

/// Opens a non-blocking listening socket.
///
/// @param address IP:port
/// @return file descriptor, or -1
int fake_http_listen(const char *address);
/// Opens a non-blocking socket and starts to connect it. A failure to connect shows on the socket.
///
/// @return file descriptor, or -1 for an invalid address
int fake_http_connect(const char *address);

#endif
