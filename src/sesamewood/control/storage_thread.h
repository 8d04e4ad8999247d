#ifndef SESAMEWOOD_CONTROL_STORAGE_THREAD_H
#define SESAMEWOOD_CONTROL_STORAGE_THREAD_H

/// @file
/// Writes batches of effects on a separate thread, one at a time, so that a slow disk does not
/// block the event loop.

#include "control/storage.h"

#include <ev.h>

struct storage_thread;

/// Called on the event loop when a batch is synced to disk. The callback owns @p effects. When a
/// write fails, it is not called: the process exits with status 3.
typedef void (*storage_done_fn)(void *ctx, GPtrArray *effects);

/// Starts the thread, which runs until the process ends.
///
/// @param ctx passed to @p done
struct storage_thread *storage_thread_new(struct ev_loop *loop, struct storage *storage,
					  storage_done_fn done, void *ctx);

/// Queues a batch and takes ownership of it until the callback returns it. The caller waits for the
/// callback before it queues the next batch.
void storage_thread_write(struct storage_thread *t, GPtrArray *effects);

#endif
