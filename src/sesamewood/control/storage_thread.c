#include "control/storage_thread.h"

#include "base/log.h"

#include <stdlib.h>

#define EXIT_STORAGE 3

struct storage_thread {
	struct ev_loop *loop;
	struct storage *storage;
	storage_done_fn done;
	void *ctx;
	GAsyncQueue *queued_batches;
	GAsyncQueue *written_batches;
	ev_async wake; ///< runs the callback on the event loop
};

static gpointer write_batches(gpointer p)
{
	struct storage_thread *t = p;

	for (;;) {
		bool has_work = storage_has_work(t->storage);
		GPtrArray *effects = has_work ? g_async_queue_try_pop(t->queued_batches)
					      : g_async_queue_pop(t->queued_batches);
		g_autoptr(GError) error = NULL;

		if ((effects && !storage_write(t->storage, effects, &error)) ||
		    (has_work && !storage_work(t->storage, &error))) {
			log_error("cannot write to the data directory; exiting", "ERROR",
				  error->message);
			exit(EXIT_STORAGE);
		}
		if (!effects)
			continue;
		g_async_queue_push(t->written_batches, effects);
		ev_async_send(t->loop, &t->wake);
	}
	return NULL;
}

static void on_wake(struct ev_loop *loop, ev_async *w, int revents)
{
	struct storage_thread *t = w->data;
	GPtrArray *effects;

	(void)loop;
	(void)revents;
	while ((effects = g_async_queue_try_pop(t->written_batches)))
		t->done(t->ctx, effects);
}

struct storage_thread *storage_thread_new(struct ev_loop *loop, struct storage *storage,
					  storage_done_fn done, void *ctx)
{
	struct storage_thread *t = g_new0(struct storage_thread, 1);

	*t = (struct storage_thread){
		.loop = loop,
		.storage = storage,
		.done = done,
		.ctx = ctx,
		.queued_batches = g_async_queue_new(),
		.written_batches = g_async_queue_new(),
	};
	ev_async_init(&t->wake, on_wake);
	t->wake.data = t;
	ev_async_start(loop, &t->wake);
	g_thread_unref(g_thread_new("storage", write_batches, t));
	return t;
}

void storage_thread_write(struct storage_thread *t, GPtrArray *effects)
{
	g_async_queue_push(t->queued_batches, effects);
}
