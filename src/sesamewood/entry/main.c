/// @file
/// sesamewood-entry: the process around the entry reducer. Settings, start and stop.

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
#define EXIT_FAULT 1

static struct option options[] = {
	{"name", OPTION_TEXT, NULL, 0, 0, "", "a unique name", "Name of this entry", NULL, 0},
	{"listen", OPTION_ADDRESS, "127.0.0.1:8080", 0, 0, "", "IP:port",
	 "Listener for callers and announcements", NULL, 0},
	{"rpc", OPTION_ADDRESS, NULL, 0, 0, "", "IP:port", "Listener for other entries", NULL, 0},
	{"admin", OPTION_ADDRESS, "127.0.0.1:7800", 0, 0, "", "IP:port",
	 "Listener for health and metrics", NULL, 0},
	{"control", OPTION_LIST, NULL, 0, 0, "", "IP:port,…, in the order of the nodes",
	 "RPC addresses of the control replicas", NULL, 0},
	{"renew", OPTION_NUMBER, "400", 20, 60000, "ms", NULL, "Interval of lease renewals", NULL,
	 0},
	{"loan", OPTION_NUMBER, "1000", 50, 60000, "ms", NULL, "Longest use of a borrowed slot",
	 NULL, 0},
	{"loan-margin", OPTION_NUMBER, "100", 0, 60000, "ms", NULL,
	 "Added to a loan for differing clock rates", NULL, 0},
	{"deadline-max", OPTION_NUMBER, "30000", 100, 600000, "ms", NULL,
	 "Longest deadline of any route; as at control", NULL, 0},
	{"host-connections", OPTION_NUMBER, "9", 1, 4096, "connections", NULL,
	 "Connections to one instance: its connections divided by the entries", NULL, 0},
	{"eject-failures", OPTION_NUMBER, "5", 1, 1000, "failures", NULL,
	 "Failures in a row that eject an instance", NULL, 0},
	{"eject", OPTION_NUMBER, "2000", 10, 600000, "ms", NULL, "How long it is ejected", NULL, 0},
	{"retry-percent", OPTION_NUMBER, "10", 0, 100, "percent", NULL,
	 "Retries allowed per 100 successes", NULL, 0},
	{"head-bytes", OPTION_NUMBER, "8192", 4096, 1048576, "bytes", NULL,
	 "Memory for one connection and its request head", NULL, 0},
	{"body-bytes", OPTION_NUMBER, "1048576", 0, 1073741824, "bytes", NULL,
	 "Longest request body", NULL, 0},
	{"answer-bytes", OPTION_NUMBER, "8388608", 1024, 1073741824, "bytes", NULL,
	 "Longest answer of an endpoint", NULL, 0},
	{"kept-answers-bytes", OPTION_NUMBER, "4194304", 0, 1073741824, "bytes", NULL,
	 "Memory for answers kept for callers that ask again", NULL, 0},
	{"connections", OPTION_NUMBER, "12000", 10, 1000000, "connections", NULL,
	 "Connections of callers", NULL, 0},
	{"idle", OPTION_NUMBER, "60", 1, 86400, "s", NULL, "An idle caller is disconnected after",
	 NULL, 0},
	{"drain-lag", OPTION_NUMBER, "500", 0, 600000, "ms", NULL,
	 "Time that the balancer needs to notice a failing health check", NULL, 0},
	{"log-sample", OPTION_NUMBER, "0", 0, 1000000000, "requests", NULL,
	 "Log one request in this many; 0 logs none", NULL, 0},
	{"log-level", OPTION_CHOICE, "info", 0, 0, "", "error|warning|info|debug",
	 "Least severe level logged", NULL, 0},
	{0},
};

/* Time. */

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	process_step(w->data, &(struct entry_event){.type = ENTRY_TICK});
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct process *sh = w->data;

	(void)loop;
	(void)revents;
	control_link_flush(sh->control);
}

/// Tells whether no lease is held any more: handed back, or run out where control is not reached.
static bool has_handed_back(const struct process *sh)
{
	return sh->entry->detached || !entry_has_lease(sh->entry, clock_monotonic());
}

static void on_exit_check(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct process *sh = w->data;

	(void)revents;
	if (http_server_active(sh->callers) || !has_handed_back(sh))
		return;
	log_info("stopped");
	ev_break(loop, EVBREAK_ALL);
}

/// The balancer has noticed: closes the listener and hands the leases back.
static void on_lag_over(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct process *sh = w->data;

	(void)revents;
	http_server_drain(sh->callers);
	process_step(sh, &(struct entry_event){.type = ENTRY_DRAIN});
	ev_timer_start(loop, &sh->exit_check);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct process *sh = w->data;

	(void)revents;
	if (sh->draining)
		return;
	log_info("draining");
	sh->draining = true;
	ev_timer_set(&sh->lag, options_number(options, "drain-lag") / MS_PER_S, 0.);
	ev_timer_start(loop, &sh->lag);
}

/* Start. */

static char **read_control(void)
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
			exit(EXIT_FAULT);
	return s;
}

static void listen_or_exit(struct process *sh)
{
	const struct http_limits caller_limits = {
		.head_bytes = options_number(options, "head-bytes"),
		.body_bytes = options_number(options, "body-bytes"),
		.connections = options_number(options, "connections"),
		.idle_timeout_s = options_number(options, "idle"),
	};
	const struct http_limits admin_limits = {
		.head_bytes = 16384,
		.body_bytes = 1024,
		.connections = 64,
		.idle_timeout_s = 60,
	};

	sh->callers = http_server_new(sh->loop, options_text(options, "listen"), &caller_limits,
				      &process_caller_handlers, sh);
	sh->admin = http_server_new(sh->loop, options_text(options, "admin"), &admin_limits,
				    &process_admin_handlers, sh);
	if (!sh->callers || !sh->admin ||
	    !rpc_server_new(sh->loop, options_text(options, "rpc"), process_on_rpc, sh)) {
		log_error("cannot listen", "LISTEN", options_text(options, "listen"), "RPC",
			  options_text(options, "rpc"), "ADMIN", options_text(options, "admin"),
			  "ERROR", g_strerror(errno));
		exit(EXIT_FAULT);
	}
}

static void create_metrics(struct process *sh)
{
	for (int v = VERDICT_NOT_RUN; v <= VERDICT_RAN; v++) {
		g_autofree char *labels = g_strdup_printf("verdict=\"%s\"", verdict_name(v));

		sh->verdicts[v] = metrics_get(METRIC_COUNTER, "sesamewood_entry_answers_total",
					      labels, "answers by verdict");
	}
	sh->queue_wait_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_entry_queue_wait_ms", "",
					"time in the queue of a pool, ms");
	sh->attempts = metrics_get(METRIC_COUNTER, "sesamewood_entry_attempts_total", "",
				   "requests sent to endpoints, retries included");
	sh->loans = metrics_get(METRIC_COUNTER, "sesamewood_entry_borrow_calls_total", "",
				"calls to borrow slots of other entries");
	sh->claims = metrics_get(METRIC_COUNTER, "sesamewood_entry_claims_total", "",
				 "claims of idempotency keys, and their ends");
}

static void start_watchers(struct process *sh)
{
	ev_prepare_init(&sh->before_wait, on_before_wait);
	ev_timer_init(&sh->tick, on_tick, 0., TICK_S);
	ev_init(&sh->lag, on_lag_over);
	ev_timer_init(&sh->exit_check, on_exit_check, EXIT_CHECK_S, EXIT_CHECK_S);
	ev_signal_init(&sh->terminate, on_terminate, SIGTERM);
	sh->before_wait.data = sh;
	sh->tick.data = sh;
	sh->lag.data = sh;
	sh->exit_check.data = sh;
	sh->terminate.data = sh;
	ev_prepare_start(sh->loop, &sh->before_wait);
	ev_timer_start(sh->loop, &sh->tick);
	ev_signal_start(sh->loop, &sh->terminate);
}

int main(int argc, char **argv)
{
	struct process sh = {.loop = ev_default_loop(0)};
	struct entry_settings settings;
	char **control;

	options_parse(options, "Entry of a sesamewood fleet.", &argc, &argv, NULL);
	signal(SIGPIPE, SIG_IGN);
	log_init("sesamewood-entry", options_text(options, "name"),
		 options_text(options, "log-level"));
	settings = read_settings();
	control = read_control();
	sh.exchanges =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, process_exchange_free);
	sh.calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	sh.peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	sh.log_sample = options_number(options, "log-sample");
	sh.answers = answers_new(options_number(options, "kept-answers-bytes"));
	sh.entry = entry_new(&settings, clock_monotonic());
	sh.control = control_link_new(sh.loop, control, &process_control_handlers, &sh);
	sh.upstream = upstream_new(sh.loop, options_number(options, "answer-bytes"),
				   options_number(options, "host-connections"),
				   &process_upstream_handlers, &sh);
	create_metrics(&sh);
	listen_or_exit(&sh);
	start_watchers(&sh);
	log_info("started", "LISTEN", options_text(options, "listen"), "RPC", settings.address);
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
