#ifndef SESAMEWOOD_BASE_CURL_LOOP_H
#define SESAMEWOOD_BASE_CURL_LOOP_H

/// @file
/// A curl multi handle on a libev loop.

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>

struct curl_loop;

/// Called once for each transfer that ended. The transfer is still in the multi handle.
typedef void (*curl_loop_done_fn)(void *ctx, CURL *easy, CURLcode code);

struct curl_loop *curl_loop_new(struct ev_loop *loop, curl_loop_done_fn done, void *ctx);

/// @return the multi handle, to set options and add transfers
CURLM *curl_loop_multi(struct curl_loop *l);

/// Takes a clean handle.
CURL *curl_loop_acquire(struct curl_loop *l);

/// Removes a transfer and keeps its handle for reuse.
void curl_loop_release(struct curl_loop *l, CURL *easy);

#endif
