#ifndef SESAMEWOOD_BASE_CURL_LOOP_H
#define SESAMEWOOD_BASE_CURL_LOOP_H

/// @file
/// Runs the transfers of a curl multi handle on a libev loop.

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

struct curl_loop;

/// Called once for each transfer that has ended. The transfer is still in the multi handle; the
/// callee passes @p easy to curl_loop_release().
///
/// @param code CURLE_OK, or the error that ended the transfer
typedef void (*curl_loop_done_fn)(void *ctx, CURL *easy, CURLcode code);

/// Creates a multi handle whose sockets and timer are watched by @p loop. Lives as long as the
/// process.
struct curl_loop *curl_loop_new(struct ev_loop *loop, curl_loop_done_fn done, void *ctx);

/// @return the multi handle, to set options and add transfers
CURLM *curl_loop_multi(struct curl_loop *l);

/// Gets an easy handle with default options, reused where possible. Return it with
/// curl_loop_release().
CURL *curl_loop_acquire(struct curl_loop *l);

/// Removes a transfer from the multi handle, and keeps its easy handle for reuse or frees it.
void curl_loop_release(struct curl_loop *l, CURL *easy);

#endif
