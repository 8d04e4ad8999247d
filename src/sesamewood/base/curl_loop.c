#include "base/curl_loop.h"

#include "base/work.h"

#define MS_PER_S 1000.0
#define IDLE_HANDLES_MAX 256

struct curl_loop {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	curl_loop_done_fn done;
	void *ctx;
	GPtrArray *idle; ///< easy handles for reuse
};

struct socket_watcher {
	struct curl_loop *owner;
	ev_io io;
};

static void report_completed(struct curl_loop *l)
{
	CURLMsg *m;
	int left;

	while ((m = curl_multi_info_read(l->multi, &left)))
		if (m->msg == CURLMSG_DONE)
			l->done(l->ctx, m->easy_handle, m->data.result);
}

static void on_socket_event(struct ev_loop *loop, ev_io *w, int revents)
{
	struct curl_loop *l = ((struct socket_watcher *)w->data)->owner;
	int flags = (revents & EV_READ ? CURL_CSELECT_IN : 0) |
		    (revents & EV_WRITE ? CURL_CSELECT_OUT : 0);
	enum work_kind before = work_enter(WORK_CURL);
	int running;

	(void)loop;
	curl_multi_socket_action(l->multi, w->fd, flags, &running);
	report_completed(l);
	work_leave(before);
}

static void on_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct curl_loop *l = w->data;
	enum work_kind before = work_enter(WORK_CURL);
	int running;

	(void)loop;
	(void)revents;
	curl_multi_socket_action(l->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	report_completed(l);
	work_leave(before);
}

/// Called by curl to set the time of its next timeout; a negative time stops the timer.
static int on_set_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct curl_loop *l = ctx;

	(void)multi;
	ev_timer_stop(l->loop, &l->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&l->timer, timeout_ms / MS_PER_S, 0.);
		ev_timer_start(l->loop, &l->timer);
	}
	return 0;
}

/// Called by curl to change the events that it waits for on a socket.
static int on_set_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	struct curl_loop *l = ctx;
	struct socket_watcher *watcher = socket_ctx;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) | (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watcher) {
			ev_io_stop(l->loop, &watcher->io);
			g_free(watcher);
			curl_multi_assign(l->multi, fd, NULL);
		}
		return 0;
	}
	if (!watcher) {
		watcher = g_new0(struct socket_watcher, 1);
		watcher->owner = l;
		ev_io_init(&watcher->io, on_socket_event, fd, events);
		watcher->io.data = watcher;
		curl_multi_assign(l->multi, fd, watcher);
	} else {
		ev_io_stop(l->loop, &watcher->io);
		ev_io_set(&watcher->io, fd, events);
	}
	ev_io_start(l->loop, &watcher->io);
	return 0;
}

struct curl_loop *curl_loop_new(struct ev_loop *loop, curl_loop_done_fn done, void *ctx)
{
	struct curl_loop *l = g_new0(struct curl_loop, 1);

	curl_global_init(CURL_GLOBAL_NOTHING);
	*l = (struct curl_loop){
		.loop = loop,
		.multi = curl_multi_init(),
		.done = done,
		.ctx = ctx,
		.idle = g_ptr_array_new(),
	};
	ev_init(&l->timer, on_timer);
	l->timer.data = l;
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETFUNCTION, on_set_socket);
	curl_multi_setopt(l->multi, CURLMOPT_SOCKETDATA, l);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERFUNCTION, on_set_timer);
	curl_multi_setopt(l->multi, CURLMOPT_TIMERDATA, l);
	return l;
}

CURLM *curl_loop_multi(struct curl_loop *l)
{
	return l->multi;
}

CURL *curl_loop_acquire(struct curl_loop *l)
{
	if (!l->idle->len)
		return curl_easy_init();
	return g_ptr_array_remove_index_fast(l->idle, l->idle->len - 1);
}

void curl_loop_release(struct curl_loop *l, CURL *easy)
{
	curl_multi_remove_handle(l->multi, easy);
	if (l->idle->len < IDLE_HANDLES_MAX) {
		curl_easy_reset(easy);
		g_ptr_array_add(l->idle, easy);
	} else {
		curl_easy_cleanup(easy);
	}
}
