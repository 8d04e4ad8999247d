/// @file
/// sesamewood-entry: settings, start and stop of the process around the entry's reducer.

#include "base/lifecycle.h"
#include "base/listener.h"
#include "base/log.h"
#include "base/options.h"
#include "entry/process_internal.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define TICK_S 0.02
#define EXIT_CHECK_S 0.05
#define MS_PER_S 1000.0
#define START_WAIT_MS 10000 ///< for an address that an earlier process still holds

static struct option options[] = {
	{"name", OPTION_TEXT, NULL, 0, 0, "", "a unique name", "Name of this entry", NULL, 0},
	{"listen", OPTION_ADDRESS, "127.0.0.1:8080", 0, 0, "", "IP:port",
	 "Listener for callers and heartbeats of endpoints", NULL, 0},
	{"rpc", OPTION_ADDRESS, NULL, 0, 0, "", "IP:port", "Listener for other entries", NULL, 0},
	{"admin", OPTION_ADDRESS, "127.0.0.1:7800", 0, 0, "", "IP:port",
	 "Listener for health checks and metrics", NULL, 0},
	{"control", OPTION_LIST, NULL, 0, 0, "", "IP:port,…, in the order of the nodes",
	 "RPC addresses of the control replicas", NULL, 0},
	{"renew", OPTION_NUMBER, "400", 20, 60000, "ms", NULL, "Interval of lease renewals", NULL,
	 0},
	{"loan", OPTION_NUMBER, "1000", 50, 60000, "ms", NULL,
	 "Longest time that a slot is lent for", NULL, 0},
	{"loan-margin", OPTION_NUMBER, "100", 0, 60000, "ms", NULL,
	 "Extra time that a lender waits, for differing clock rates", NULL, 0},
	{"deadline-max", OPTION_NUMBER, "30000", 100, 600000, "ms", NULL,
	 "Longest deadline of any route; as at control", NULL, 0},
	{"host-connections", OPTION_NUMBER, "9", 1, 4096, "connections", NULL,
	 "Connections to one instance: its own limit divided by the number of entries", NULL, 0},
	{"eject-failures", OPTION_NUMBER, "5", 1, 1000, "failures", NULL,
	 "Consecutive failures after which an instance is ejected", NULL, 0},
	{"eject", OPTION_NUMBER, "2000", 10, 600000, "ms", NULL, "Duration of an ejection", NULL,
	 0},
	{"retry-percent", OPTION_NUMBER, "10", 0, 100, "percent", NULL,
	 "Retries allowed per 100 responses of endpoints", NULL, 0},
	{"head-bytes", OPTION_NUMBER, "8192", 4096, 1048576, "bytes", NULL,
	 "Memory for one connection and its request head", NULL, 0},
	{"body-bytes", OPTION_NUMBER, "1048576", 0, 1073741824, "bytes", NULL,
	 "Longest request body", NULL, 0},
	{"input-bytes", OPTION_NUMBER, "67108864", 1048576, 1099511627776, "bytes", NULL,
	 "Memory for all requests that are arriving, waiting or being answered", NULL, 0},
	{"arrival", OPTION_NUMBER, "30", 1, 86400, "s", NULL,
	 "Longest time for a request to arrive", NULL, 0},
	{"address-requests", OPTION_NUMBER, "0", 0, 1000000, "requests", NULL,
	 "Unfinished requests of one client address; 0: as many as connections", NULL, 0},
	{"answer-bytes", OPTION_NUMBER, "8388608", 1024, 1073741824, "bytes", NULL,
	 "Longest response body of an endpoint", NULL, 0},
	{"answers-bytes", OPTION_NUMBER, "67108864", 1048576, 1099511627776, "bytes", NULL,
	 "Memory for all response bodies that endpoints are sending", NULL, 0},
	{"kept-answers-bytes", OPTION_NUMBER, "4194304", 0, 1073741824, "bytes", NULL,
	 "Memory for cached responses to requests with an idempotency key", NULL, 0},
	{"connections", OPTION_NUMBER, "12000", 10, 1000000, "connections", NULL,
	 "Largest number of connections of callers", NULL, 0},
	{"idle", OPTION_NUMBER, "60", 1, 86400, "s", NULL,
	 "Time after which an idle caller is disconnected", NULL, 0},
	{"drain-lag", OPTION_NUMBER, "500", 0, 600000, "ms", NULL,
	 "Time that the balancer needs to notice a failing health check", NULL, 0},
	{"log-sample", OPTION_NUMBER, "0", 0, 1000000000, "requests", NULL,
	 "Logs one request in this many; 0: none", NULL, 0},
	{"log-level", OPTION_CHOICE, "info", 0, 0, "", "error|warning|info|debug",
	 "Least severe level logged", NULL, 0},
	{0},
};

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	process_step(w->data, &(struct entry_event){.type = ENTRY_EVENT_TICK});
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct process *p = w->data;

	(void)loop;
	(void)revents;
	control_client_flush(p->control);
}

/// Returns true if the entry no longer holds a lease: control has ended the session, or the lease
/// has expired because control can't be reached.
static bool has_released_lease(const struct process *p)
{
	return p->entry->detached || !entry_has_lease(p->entry, clock_monotonic());
}

/// Stops the process once all callers are answered and the lease is released.
static void on_exit_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct process *p = w->data;

	(void)revents;
	if (http_server_active(p->caller_server) || !has_released_lease(p))
		return;
	log_info("all requests are answered and the lease has ended; exiting");
	ev_break(loop, EVBREAK_ALL);
}

/// Stops accepting callers and releases the lease. The balancer has noticed the failing health
/// checks by this time and sends no more callers.
static void on_drain_lag_elapsed(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct process *p = w->data;

	(void)revents;
	http_server_drain(p->caller_server);
	process_step(p, &(struct entry_event){.type = ENTRY_EVENT_DRAIN});
	ev_timer_start(loop, &p->exit_check);
}

/// SIGTERM: fails health checks at once, and drains after the time set by --drain-lag.
static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct process *p = w->data;

	(void)revents;
	if (p->draining)
		return;
	log_info("received SIGTERM; failing health checks before draining requests");
	p->draining = true;
	ev_timer_set(&p->drain_lag, options_number(options, "drain-lag") / MS_PER_S, 0.);
	ev_timer_start(loop, &p->drain_lag);
}

/// @return addresses of the control replicas, NULL-terminated; exits if the setting is invalid
static char **read_control_addresses(void)
{
	const struct option *o = options_get(options, "control");
	char **addresses = g_strsplit(o->value, ",", -1);

	for (int i = 0; addresses[i]; i++)
		if (!options_split_address(addresses[i], NULL, NULL))
			options_exit_invalid(options, o->name, o->range_text);
	if (!addresses[0])
		options_exit_invalid(options, o->name, o->range_text);
	return addresses;
}

static struct entry_settings read_settings(void)
{
	struct entry_settings s = {
		.name = (char *)options_text(options, "name"),
		.address = (char *)options_text(options, "rpc"),
		.renew_ms = options_number(options, "renew"),
		.loan_ms = options_number(options, "loan"),
		.loan_margin_ms = options_number(options, "loan-margin"),
		.deadline_max_ms = options_number(options, "deadline-max"),
		.eject_failures = options_number(options, "eject-failures"),
		.eject_ms = options_number(options, "eject"),
		.retry_percent = options_number(options, "retry-percent"),
	};

	if (strlen(s.name) > SW_NAME_MAX || !*s.name)
		options_exit_invalid(options, "name", "1 to 64 bytes");
	while (!s.session)
		if (getrandom(&s.session, sizeof(s.session), 0) < 0)
			lifecycle_exit(EXIT_FAILURE);
	return s;
}

static int open_listener(const char *option)
{
	return listener_open(options_text(options, option), START_WAIT_MS);
}

static void listen_or_exit(struct process *p)
{
	const struct http_limits caller_limits = {
		.head_bytes = options_number(options, "head-bytes"),
		.body_bytes = options_number(options, "body-bytes"),
		.connections = options_number(options, "connections"),
		.idle_timeout_s = options_number(options, "idle"),
		.name = "callers",
		.input_bytes = options_number(options, "input-bytes"),
		.arrival_timeout_s = options_number(options, "arrival"),
		.address_requests = options_number(options, "address-requests"),
	};
	const struct http_limits admin_limits = {
		.head_bytes = 16384,
		.body_bytes = 1024,
		.connections = 64,
		.idle_timeout_s = 60,
		.name = "admin",
	};

	p->caller_server = http_server_new_on_listener(p->loop, open_listener("listen"),
						       &caller_limits, &process_caller_handlers, p);
	p->admin_server = http_server_new_on_listener(p->loop, open_listener("admin"),
						      &admin_limits, &process_admin_handlers, p);
	if (!p->caller_server || !p->admin_server ||
	    !rpc_server_new_on_listener(p->loop, open_listener("rpc"), process_on_rpc, p)) {
		log_error("cannot listen on a configured address; exiting", "LISTEN",
			  options_text(options, "listen"), "RPC", options_text(options, "rpc"),
			  "ADMIN", options_text(options, "admin"), "ERROR", g_strerror(errno));
		lifecycle_exit(EXIT_FAILURE);
	}
}

static void create_metrics(struct process *p)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		g_autofree char *labels = g_strdup_printf("verdict=\"%s\"", verdict_name(v));

		p->verdicts[v] = metrics_get(METRIC_COUNTER, "sesamewood_entry_answers_total",
					     labels, "answers by verdict");
	}
	p->queue_wait_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_queue_wait_ms", "",
				       "time in the queue of a pool, ms");
	p->attempts = metrics_get(METRIC_COUNTER, "sesamewood_entry_attempts_total", "",
				  "requests sent to endpoints, retries included");
	p->borrow_calls = metrics_get(METRIC_COUNTER, "sesamewood_entry_borrow_calls_total", "",
				      "calls to borrow slots of other entries");
	p->claims = metrics_get(METRIC_COUNTER, "sesamewood_entry_claims_total", "",
				"claims of idempotency keys, and their ends");
}

static void start_watchers(struct process *p)
{
	ev_prepare_init(&p->before_wait, on_before_wait);
	ev_timer_init(&p->tick, on_tick, 0., TICK_S);
	ev_init(&p->drain_lag, on_drain_lag_elapsed);
	ev_timer_init(&p->exit_check, on_exit_check, EXIT_CHECK_S, EXIT_CHECK_S);
	ev_signal_init(&p->terminate, on_terminate, SIGTERM);
	p->before_wait.data = p;
	p->tick.data = p;
	p->drain_lag.data = p;
	p->exit_check.data = p;
	p->terminate.data = p;
	ev_prepare_start(p->loop, &p->before_wait);
	ev_timer_start(p->loop, &p->tick);
	lifecycle_watch_signals(p->loop, &p->terminate, NULL);
}

int main(int argc, char **argv)
{
	struct process p = {.loop = ev_default_loop(0)};
	struct entry_settings settings;
	char **control;

	lifecycle_start();
	options_parse(options, "Entry of a sesamewood fleet.", &argc, &argv, NULL);
	log_init("sesamewood-entry", options_text(options, "name"),
		 options_text(options, "log-level"));
	settings = read_settings();
	control = read_control_addresses();
	p.exchanges =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, process_exchange_free);
	p.pending_calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	p.peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p.log_sample = options_number(options, "log-sample");
	p.response_cache = response_cache_new(options_number(options, "kept-answers-bytes"));
	p.entry = entry_new(&settings, clock_monotonic());
	p.control = control_client_new(p.loop, control, &process_control_client_handlers, &p);
	p.upstream = upstream_new(p.loop, options_number(options, "answer-bytes"),
				  options_number(options, "answers-bytes"),
				  options_number(options, "host-connections"),
				  &process_upstream_handlers, &p);
	create_metrics(&p);
	listen_or_exit(&p);
	start_watchers(&p);
	log_info("entry started", "LISTEN", options_text(options, "listen"), "RPC",
		 settings.address);
	ev_run(p.loop, 0);
	return EXIT_SUCCESS;
}
