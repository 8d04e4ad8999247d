#ifndef SESAMEWOOD_CONTROL_STORAGE_THREAD_H
#define SESAMEWOOD_CONTROL_STORAGE_THREAD_H

/// @file
/// Writes batches of effects on a thread of its own, one at a time, so that a slow disk does not
/// stop the event loop.

#include "control/storage.h"

#include <ev.h>

struct storage_thread;

/// Called on the event loop when a batch is on disk. A batch that fails ends the process.
typedef void (*storage_done_fn)(void *ctx, GPtrArray *effects);

struct storage_thread *storage_thread_new(struct ev_loop *loop, struct storage *storage,
					  storage_done_fn done, void *ctx);

/// Hands over a batch; the array is returned by the callback. At most one may be on its way.
void storage_thread_write(struct storage_thread *t, GPtrArray *effects);

#endif
