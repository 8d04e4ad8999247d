#ifndef SESAMEWOOD_CONTROL_STORAGE_THREAD_H
#define SESAMEWOOD_CONTROL_STORAGE_THREAD_H

/// @file
/// Writes batches of effects on a separate thread, one at a time, so that a slow disk does not
/// block the event loop. While the disk refuses writes, the batch is tried again at intervals.

#include "control/storage.h"

#include <ev.h>

struct storage_thread;

/// Called on the event loop when a batch is synced to disk. The callback owns @p effects.
typedef void (*storage_done_fn)(void *ctx, GPtrArray *effects);

/// Called on the event loop when a write fails, at each failed retry, and when all writes that had
/// failed are done.
///
/// @param error operation, file and reason; NULL when the disk works again
typedef void (*storage_failed_fn)(void *ctx, const char *error);

/// Starts the thread, which runs until the process ends. A batch that can never be stored ends the
/// process with status 3.
///
/// @param ctx passed to the callbacks
struct storage_thread *storage_thread_new(struct ev_loop *loop, struct storage *storage,
					  storage_done_fn done, storage_failed_fn failed,
					  void *ctx);

/// Queues a batch and takes ownership of it until the callback returns it. The caller waits for the
/// callback before it queues the next batch.
void storage_thread_write(struct storage_thread *t, GPtrArray *effects);

#endif
