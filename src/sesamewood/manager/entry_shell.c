#include "manager/entry_shell.h"

#include "base/http_server.h"
#include "base/http_status.h"
#include "base/input_budget.h"
#include "base/lifecycle.h"
#include "base/listener.h"
#include "base/log.h"
#include "base/metrics.h"
#include "manager/relay.h"

#include <errno.h>
#include <ev.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define PING_S 0.4 /* several probes within READY_WINDOW_MS, on which the health check depends */
#define PING_TIMEOUT_MS 600  /* leaves time for a second try */
#define READY_WINDOW_MS 2500 /* two elections: one must not take all entries out of rotation */
#define RELAY_MS 1100	     /* callers wait 3 s and can try a second entry in that time */
#define STOP_MIN_MS 3200     /* the load balancer checks each second and needs two failed checks */
#define STOP_MARGIN_MS 700   /* from the exit to the time at which the process is killed */
/// Requests that arrive later than this before the exit are refused: others could be unanswered.
#define STOP_REFUSE_MS (RELAY_MS + 100)
/// After an outage of this duration, which callers wait for an answer, requests are refused at
/// once: they could not be served in time.
#define OUTAGE_MS 3000
#define CALLER_WAIT_MS 3000 /* of a caller that does not say how long it waits */
#define CALLER_WAIT_MAX_MS 3600000
/// The loop runs at least with each probe. A longer pause means that the process stood still.
#define STANDSTILL_MS 1000
#define RETRY_AFTER_MAX_S 3 /* time that callers wait for an answer */
#define MS_PER_S 1000
#define EXIT_LISTEN 4
#define CONNECTIONS_MAX 2000
#define READY_FDS_PERCENT 10 /* health checks come from few clients */
#define READY_MEMORY_PART 10 /* of the memory of the callers' listener, as a denominator */

struct shell {
	struct entry_shell_settings settings;
	bool (*reload)(uint32_t seeds[3]);
	struct ev_loop *loop;
	struct relay *relay;
	struct http_server *front;
	struct http_server *ready;
	ev_timer ping;
	ev_signal terminate;
	ev_signal hangup;
	ev_prepare before_wait;
	bool pinging;
	clock_ms_t looped_at;	///< when the loop last ran
	clock_ms_t awake_at;	///< when the process last went on after it had stood still, or 0
	clock_ms_t stopping_at; ///< 0: not stopping
	bool closing;		///< no request waits, and the process ends with the next check
	struct metric *answered;
	struct metric *refused;
	struct metric *unsure;
	struct metric *given_up;
};

static bool is_ready(const struct shell *sh)
{
	return !sh->stopping_at && relay_answered_at(sh->relay) &&
	       clock_monotonic() - relay_answered_at(sh->relay) < READY_WINDOW_MS;
}

/// Returns the time since a leader last answered, ms, without the time before the process last
/// stood still: it could not have read an answer.
static clock_ms_t outage_ms(const struct shell *sh)
{
	return clock_monotonic() - MAX(relay_answered_at(sh->relay), sh->awake_at);
}

/// Notices that the process has stood still. Which of the sockets is read first after that is not
/// defined, so every handler that depends on it calls this.
static void notice_standstill(struct shell *sh)
{
	clock_ms_t now = clock_monotonic();

	if (sh->looped_at && now - sh->looped_at > STANDSTILL_MS) {
		log_warning("the process stood still", "MS", log_number(now - sh->looped_at));
		sh->awake_at = now;
	}
	sh->looped_at = now;
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	(void)loop;
	(void)revents;
	notice_standstill(w->data);
}

/// Returns how long the caller of a request still waits for the answer, ms. Time in which the
/// request waited in the socket counts.
static clock_ms_t caller_waits_ms(const struct shell *sh, const struct http_request *req)
{
	const char *text = http_header(req, sh->settings.deadline_header);
	guint64 wait_ms = CALLER_WAIT_MS;

	if (text && !g_ascii_string_to_unsigned(text, 10, 1, CALLER_WAIT_MAX_MS, &wait_ms, NULL))
		wait_ms = CALLER_WAIT_MS;
	return (clock_ms_t)wait_ms - http_waited_ms(req);
}

/// Returns the time at which a process that is stopping ends even if requests wait.
static clock_ms_t stop_deadline(const struct shell *sh)
{
	return sh->stopping_at + sh->settings.grace_ms - STOP_MARGIN_MS;
}

/// Tells whether the process may end before a new request is answered.
static bool ends_soon(const struct shell *sh)
{
	return sh->stopping_at &&
	       (sh->closing || clock_monotonic() > stop_deadline(sh) - STOP_REFUSE_MS);
}

static void refuse(struct http_request *req, const char *reason)
{
	struct shell *sh = http_request_data(req);
	/* Expects an outage to last as long again as it has lasted so far. */
	g_autofree char *after =
		g_strdup_printf("%d", (int)CLAMP(outage_ms(sh) / MS_PER_S, 1, RETRY_AFTER_MAX_S));
	const struct http_header with_after[] = {{"Retry-After", after}, {NULL, NULL}};

	metrics_add(sh->refused, 1);
	log_info(reason, "PATH", http_target(req), "RETRY_AFTER_S", after);
	http_reply(req, HTTP_UNAVAILABLE, with_after, NULL, 0);
}

static void on_relayed(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	struct http_request *req = ctx;
	struct shell *sh = http_request_data(req);
	g_autofree char *after =
		g_strdup_printf("%u", outcome == RELAY_ANSWERED ? reply->retry_after_s : 0);
	const struct http_header with_after[] = {{"Retry-After", after}, {NULL, NULL}};
	const struct http_header json[] = {{"Content-Type", "application/json"}, {NULL, NULL}};

	switch (outcome) {
	case RELAY_ANSWERED:
		metrics_add(sh->answered, 1);
		http_reply(req, reply->http_status,
			   reply->retry_after_s	     ? with_after
			   : reply->body.sw_blob_len ? json
						     : NULL,
			   reply->body.sw_blob_val, reply->body.sw_blob_len);
		break;
	case RELAY_NOT_DONE:
		refuse(req, "request refused because no leader answers");
		break;
	case RELAY_UNKNOWN:
		metrics_add(sh->unsure, 1);
		log_info("no answer from control; the request may have had an effect", "PATH",
			 http_target(req));
		http_reply(req, HTTP_GATEWAY_TIMEOUT, NULL, NULL, 0);
		break;
	}
}

/// Refuses a request that is not passed on because nobody waits for its answer: its caller may have
/// been told elsewhere that it was cancelled.
static void drop_given_up(struct shell *sh, struct http_request *req, const char *reason)
{
	const struct http_header after[] = {{"Retry-After", "1"}, {NULL, NULL}};

	metrics_add(sh->given_up, 1);
	log_info(reason, "METHOD", http_method(req), "PATH", http_target(req), "WAITED_MS",
		 log_number(http_waited_ms(req)));
	http_reply(req, HTTP_UNAVAILABLE, after, NULL, 0);
}

static void on_front_request(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;
	clock_ms_t left_ms = caller_waits_ms(sh, req);
	const GByteArray *body = http_body(req);
	const char *host = http_header(req, "Host");
	const char *key = http_header(req, sh->settings.key_header);
	sw_relay_args args = {
		.from_caller = true,
		.method = (char *)http_method(req),
		.host = (char *)(host ? host : ""),
		.target = (char *)http_target(req),
		.key = {.key_len = key ? (u_int)strlen(key) : 0, .key_val = (char *)key},
		.body = {.sw_blob_len = body->len, .sw_blob_val = (char *)body->data},
	};

	if (strlen(args.method) > 16 || strlen(args.host) > 256 || strlen(args.target) > 8192) {
		http_reply(req, HTTP_BAD_REQUEST, NULL, NULL, 0);
		return;
	}
	if (args.key.key_len > SW_ACCESS_KEY_MAX) /* belongs to nobody; open queues need none */
		args.key.key_len = 0;
	http_request_set_data(req, sh);
	notice_standstill(sh);
	if (http_client_has_left(req)) {
		drop_given_up(sh, req, "request not passed on: its caller has left");
		return;
	}
	if (left_ms <= 0) {
		drop_given_up(sh, req, "request not passed on: its caller no longer waits");
		return;
	}
	if (ends_soon(sh)) {
		refuse(req, "request refused because this process stops");
		return;
	}
	if (relay_answered_at(sh->relay) && outage_ms(sh) > OUTAGE_MS) {
		refuse(req, "request refused because no leader answers");
		return;
	}
	relay_call(sh->relay, &args, MIN(RELAY_MS, left_ms), on_relayed, req);
}

static void on_ready_request(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;

	if (g_str_equal(http_target(req), "/metrics")) {
		g_autofree char *text = metrics_text();

		http_reply(req, HTTP_OK, NULL, text, strlen(text));
	} else if (g_str_equal(http_target(req), sh->settings.ready_path)) {
		http_reply(req, is_ready(sh) ? HTTP_OK : HTTP_UNAVAILABLE, NULL, NULL, 0);
	} else {
		http_reply(req, HTTP_NOT_FOUND, NULL, NULL, 0);
	}
}

static const struct http_handlers front_handlers = {.on_request = on_front_request};
static const struct http_handlers ready_handlers = {.on_request = on_ready_request};

static void on_pinged(void *ctx, enum relay_outcome outcome, const sw_relay_reply *reply)
{
	(void)outcome;
	(void)reply;
	((struct shell *)ctx)->pinging = false;
}

static void check_stop(struct shell *sh, clock_ms_t now)
{
	bool idle = !http_server_active(sh->front);

	if (now > stop_deadline(sh) || (sh->closing && idle)) {
		log_info("stopped", "REQUESTS", log_number(http_server_active(sh->front)));
		ev_break(sh->loop, EVBREAK_ALL);
	}
	sh->closing |= idle && now - sh->stopping_at > STOP_MIN_MS;
}

/// Probes for the leader, so that readiness is current and requests go to the leader directly.
static void on_ping(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;
	sw_relay_args args = {.method = (char *)"", .host = (char *)"", .target = (char *)""};

	(void)loop;
	(void)revents;
	notice_standstill(sh);
	if (sh->stopping_at)
		check_stop(sh, clock_monotonic());
	if (sh->pinging)
		return;
	sh->pinging = true;
	relay_call(sh->relay, &args, PING_TIMEOUT_MS, on_pinged, sh);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;

	(void)loop;
	(void)revents;
	if (sh->stopping_at)
		return;
	log_info("stopping");
	sh->stopping_at = clock_monotonic();
	http_server_close_after_replies(sh->front);
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;
	uint32_t seeds[3] = {0};
	unsigned int n = 0;

	(void)loop;
	(void)revents;
	if (!sh->reload || !sh->reload(seeds))
		return;
	while (n < G_N_ELEMENTS(seeds) && seeds[n])
		n++;
	log_info("reloaded settings", "SEEDS", log_number(n));
	relay_set_seeds(sh->relay, seeds, n);
}

static struct http_server *listen_on(struct shell *sh, const char *address,
				     const struct http_limits *limits,
				     const struct http_handlers *handlers)
{
	int fd = listener_open(address, sh->settings.grace_ms + LIFECYCLE_WAIT_MARGIN_MS);
	struct http_server *server =
		http_server_new_on_listener(sh->loop, fd, limits, handlers, sh);

	if (server)
		return server;
	log_error("cannot listen; exiting", "ADDRESS", address, "ERROR", g_strerror(errno));
	lifecycle_exit(EXIT_LISTEN);
}

static void listen_or_exit(struct shell *sh)
{
	const struct entry_shell_settings *s = &sh->settings;
	struct http_limits limits = {
		.head_bytes = s->head_max_bytes,
		.body_bytes = s->body_max_bytes,
		.connections = CONNECTIONS_MAX,
		.idle_timeout_s = 60,
		.input_bytes = input_budget_for_memory(s->memory_mb),
		.arrival_timeout_s = s->arrival_timeout_s,
		.address_requests = s->address_requests,
		.fds_max = s->fds_max,
	};

	/* The address of callers last: they are refused at once until all is set up. */
	limits.name = "ready";
	limits.fds_percent = READY_FDS_PERCENT;
	limits.input_bytes /= READY_MEMORY_PART;
	sh->ready = listen_on(sh, s->ready, &limits, &ready_handlers);
	limits.name = "front";
	limits.fds_percent = 0;
	limits.input_bytes = input_budget_for_memory(s->memory_mb);
	sh->front = listen_on(sh, s->front, &limits, &front_handlers);
}

int entry_shell_run(const struct entry_shell_settings *settings, bool (*reload)(uint32_t seeds[3]))
{
	struct shell sh = {
		.settings = *settings,
		.reload = reload,
		.loop = ev_default_loop(0),
		.answered = metrics_get(METRIC_COUNTER, "sesamewood_entry_answered_total", "",
					"calls answered by control"),
		.refused = metrics_get(METRIC_COUNTER, "sesamewood_entry_refused_total", "",
				       "calls refused for want of a leader"),
		.unsure = metrics_get(METRIC_COUNTER, "sesamewood_entry_unsure_total", "",
				      "calls that may have had an effect"),
		.given_up = metrics_get(METRIC_COUNTER, "sesamewood_entry_given_up_total", "",
					"calls not passed on because their callers had given up"),
	};
	unsigned int n = 0;

	sh.relay = relay_new(sh.loop, settings->rpc_port, 0);
	while (n < G_N_ELEMENTS(settings->seeds) && settings->seeds[n])
		n++;
	relay_set_seeds(sh.relay, settings->seeds, n);
	listen_or_exit(&sh);
	ev_timer_init(&sh.ping, on_ping, 0., PING_S);
	ev_signal_init(&sh.terminate, on_terminate, SIGTERM);
	ev_signal_init(&sh.hangup, on_hangup, SIGHUP);
	ev_prepare_init(&sh.before_wait, on_before_wait);
	sh.before_wait.data = &sh;
	sh.ping.data = &sh;
	sh.terminate.data = &sh;
	sh.hangup.data = &sh;
	ev_timer_start(sh.loop, &sh.ping);
	ev_prepare_start(sh.loop, &sh.before_wait);
	lifecycle_watch_signals(sh.loop, &sh.terminate, &sh.hangup);
	log_info("started", "FRONT", settings->front, "READY", settings->ready);
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
