#include "control/storage_thread.h"

#include "base/lifecycle.h"
#include "base/log.h"

#define EXIT_STORAGE 3
#define RETRY_MIN_MS 100  /* doubled after each failure */
#define RETRY_MAX_MS 1000 /* a disk that works again is used after this time at most */

struct storage_thread {
	struct ev_loop *loop;
	struct storage *storage;
	storage_done_fn done;
	storage_failed_fn failed;
	void *ctx;
	GAsyncQueue *queued_batches;
	GAsyncQueue *reports; ///< of struct report
	ev_async wake;	      ///< runs the callbacks on the event loop
	gulong wait_ms;	      ///< before the latest retry; 0: the disk works
};

/// What the thread tells the event loop.
struct report {
	enum { REPORT_DONE, REPORT_FAILED, REPORT_WORKS } type;
	GPtrArray *effects; ///< of REPORT_DONE
	GError *error;	    ///< of REPORT_FAILED
};

static void send_report(struct storage_thread *t, struct report report)
{
	struct report *copy = g_new(struct report, 1);

	*copy = report;
	g_async_queue_push(t->reports, copy);
	ev_async_send(t->loop, &t->wake);
}

/// Writes a batch, or with NULL the next piece of a snapshot. After a failure, waits until the next
/// try.
static bool try_write(struct storage_thread *t, GPtrArray *effects)
{
	GError *error = NULL;

	if (effects ? storage_write(t->storage, effects, &error) : storage_work(t->storage, &error))
		return true;
	if (!g_error_matches(error, STORAGE_ERROR, STORAGE_ERROR_IO)) {
		log_error("cannot store a batch; exiting", "ERROR", error->message);
		lifecycle_exit(EXIT_STORAGE);
	}
	send_report(t, (struct report){.type = REPORT_FAILED, .error = error});
	t->wait_ms = CLAMP(t->wait_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
	g_usleep(t->wait_ms * 1000);
	return false;
}

static gpointer write_batches(gpointer p)
{
	struct storage_thread *t = p;
	bool snapshot_fails = false;

	for (;;) {
		bool has_work = storage_has_work(t->storage);
		GPtrArray *effects = has_work ? g_async_queue_try_pop(t->queued_batches)
					      : g_async_queue_pop(t->queued_batches);

		while (effects && !try_write(t, effects))
			;
		if (effects)
			send_report(t, (struct report){.type = REPORT_DONE, .effects = effects});
		if (has_work && !try_write(t, NULL))
			snapshot_fails = true;
		else if (!storage_has_work(t->storage))
			snapshot_fails = false;
		if (t->wait_ms && !snapshot_fails) {
			t->wait_ms = 0;
			send_report(t, (struct report){.type = REPORT_WORKS});
		}
	}
	return NULL;
}

static void on_wake(struct ev_loop *loop, ev_async *w, int revents)
{
	struct storage_thread *t = w->data;
	struct report *report;

	(void)loop;
	(void)revents;
	while ((report = g_async_queue_try_pop(t->reports))) {
		switch (report->type) {
		case REPORT_DONE:
			t->done(t->ctx, report->effects);
			break;
		case REPORT_FAILED:
			t->failed(t->ctx, report->error->message);
			g_error_free(report->error);
			break;
		case REPORT_WORKS:
			t->failed(t->ctx, NULL);
			break;
		}
		g_free(report);
	}
}

struct storage_thread *storage_thread_new(struct ev_loop *loop, struct storage *storage,
					  storage_done_fn done, storage_failed_fn failed, void *ctx)
{
	struct storage_thread *t = g_new0(struct storage_thread, 1);

	*t = (struct storage_thread){
		.loop = loop,
		.storage = storage,
		.done = done,
		.failed = failed,
		.ctx = ctx,
		.queued_batches = g_async_queue_new(),
		.reports = g_async_queue_new(),
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
