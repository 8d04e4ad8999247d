#include "manager/control_shell_internal.h"

#include "base/input_budget.h"
#include "base/lifecycle.h"
#include "base/listener.h"
#include "base/log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define HEARTBEAT_MS 100  /* a sixth of an election timeout */
#define KEEP_RECORDS 2000 /* a follower may miss some seconds of peak load without a snapshot */
#define TICK_S (MANAGER_TICK_MS / 1000.0)
#define EXIT_LISTEN 4
/// Parts of the descriptors; the rest is for orders to endpoints, replicas and files.
#define HTTP_FDS_PERCENT 50
#define RPC_FDS_PERCENT 25
#define DISK_WAIT_MS 30000 /* during the start, for a disk that fails */

static struct rpc_client *client_of(void *ctx, uint32_t node)
{
	return relay_client(((struct shell *)ctx)->relay, node);
}

static void on_agent_result(void *ctx, uint64_t term, struct order_result *result)
{
	shell_deliver_result(ctx, term, result);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;
	clock_ms_t now = clock_monotonic();

	(void)loop;
	(void)revents;
	if (sh->stopping_at)
		return;
	log_info("stopping");
	sh->stopping_at = now;
	shell_flush(sh);
	raft_step_down(sh->raft, now, CLOCK_NEVER);
}

static void on_hangup(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;
	uint32_t seeds[RAFT_SEEDS_MAX] = {0};
	unsigned int n = 0;

	(void)loop;
	(void)revents;
	if (!sh->reload || !sh->reload(seeds))
		return;
	while (n < RAFT_SEEDS_MAX && seeds[n])
		n++;
	log_info("reloaded settings", "SEEDS", log_number(n));
	relay_set_seeds(sh->relay, seeds, n);
}

static uint64_t random_uid(void)
{
	uint64_t uid = 0;

	while (!uid)
		if (getrandom(&uid, sizeof(uid), 0) < 0 && errno != EINTR) {
			log_error("no random numbers; exiting", "ERROR", g_strerror(errno));
			lifecycle_exit(EXIT_FAILURE);
		}
	return uid;
}

/// Returns whether a file operation may succeed later although nobody changes the directory.
static bool is_transient(int error)
{
	return error == ENOSPC || error == EDQUOT || error == EIO || error == EMFILE ||
	       error == ENFILE;
}

/// Reads the data directory. Ends the process if the state is damaged, or cannot be read for long.
static struct storage *open_storage(struct fs fs, struct raft_recovered *recovered,
				    const char *path)
{
	struct lifecycle_wait wait = {.what = path, .max_ms = DISK_WAIT_MS};

	for (;;) {
		g_autoptr(GError) error = NULL;
		struct storage *storage = storage_open(fs, recovered, &error);

		if (storage) {
			lifecycle_wait_done(&wait);
			return storage;
		}
		if (g_error_matches(error, STORAGE_ERROR, STORAGE_ERROR_IO) &&
		    lifecycle_wait(&wait, error->message))
			continue;
		log_error("cannot use the data directory; exiting", "PATH", path, "ERROR",
			  error->message);
		lifecycle_exit(EXIT_DISK);
	}
}

static void open_log(struct shell *sh)
{
	const struct control_shell_settings *s = &sh->settings;
	struct raft_settings raft = {
		.node = sh->node,
		.uid = random_uid(),
		.election_ms = ELECTION_MS,
		.heartbeat_ms = HEARTBEAT_MS,
		.keep_records = KEEP_RECORDS,
		.seed = random_uid(),
		.dynamic_membership = true,
		.bootstrap = s->bootstrap,
		.non_voter = s->non_voter,
		.tolerated_losses = s->tolerated_losses,
	};
	struct raft_recovered recovered;
	struct lifecycle_wait wait = {
		.what = s->data,
		.max_ms = s->grace_ms + LIFECYCLE_WAIT_MARGIN_MS,
	};
	struct lifecycle_wait disk_wait = {.what = s->data, .max_ms = DISK_WAIT_MS};
	struct storage *storage;
	struct fs fs;

	memcpy(raft.seeds, s->seeds, sizeof(raft.seeds));
	while (!fs_open_dir(&fs, s->data)) {
		int reason = errno;

		if (reason == EWOULDBLOCK && lifecycle_wait(&wait, "locked by another process"))
			continue;
		if (is_transient(reason) && lifecycle_wait(&disk_wait, g_strerror(reason)))
			continue;
		log_error("cannot open the data directory; exiting", "PATH", s->data, "ERROR",
			  g_strerror(reason));
		lifecycle_exit(EXIT_DISK);
	}
	lifecycle_wait_done(&wait);
	lifecycle_wait_done(&disk_wait);
	storage = open_storage(fs, &recovered, s->data);
	sh->storage =
		storage_thread_new(sh->loop, storage, shell_on_stored, shell_on_disk_failed, sh);
	sh->raft = raft_new(&raft, &recovered, clock_monotonic());
	shell_sync_recovered(sh);
	sh->recovered_index = raft_last_index(sh->raft);
	sh->started_at = clock_monotonic();
}

static void exit_without_listener(const char *address)
{
	log_error("cannot listen; exiting", "ADDRESS", address, "ERROR", g_strerror(errno));
	lifecycle_exit(EXIT_LISTEN);
}

static void listen_or_exit(struct shell *sh)
{
	const struct control_shell_settings *s = &sh->settings;
	g_autofree char *rpc = g_strdup_printf("%s:%u", s->ip, s->rpc_port);
	clock_ms_t wait_ms = s->grace_ms + LIFECYCLE_WAIT_MARGIN_MS;
	struct rpc_server *rpc_server;
	const struct http_limits limits = {
		.head_bytes = 32768,
		.body_bytes = s->body_max_bytes,
		.connections = 1024,
		.idle_timeout_s = 60,
		.name = "control",
		.fds_percent = HTTP_FDS_PERCENT,
		.input_bytes = input_budget_for_memory(s->memory_mb),
		.arrival_timeout_s = s->arrival_timeout_s,
		.address_requests = s->address_requests,
		.fds_max = s->fds_max,
	};

	/* The address of the replicas first: callers are refused at once until all is set up. */
	rpc_server =
		rpc_server_new_on_listener(sh->loop, listener_open(rpc, wait_ms), shell_on_rpc, sh);
	if (!rpc_server)
		exit_without_listener(rpc);
	rpc_server_set_limits(rpc_server, input_budget_for_memory(s->memory_mb),
			      listener_connections(s->fds_max, RPC_FDS_PERCENT));
	sh->http = http_server_new_on_listener(sh->loop, listener_open(s->listen, wait_ms), &limits,
					       &shell_http_handlers, sh);
	if (!sh->http)
		exit_without_listener(s->listen);
}

static void start_watchers(struct shell *sh)
{
	ev_prepare_init(&sh->before_wait, shell_on_before_wait);
	ev_check_init(&sh->after_wait, shell_on_after_wait);
	ev_set_priority(&sh->after_wait, EV_MAXPRI);
	ev_timer_init(&sh->tick, shell_on_tick, TICK_S, TICK_S);
	ev_signal_init(&sh->terminate, on_terminate, SIGTERM);
	ev_signal_init(&sh->hangup, on_hangup, SIGHUP);
	sh->before_wait.data = sh;
	sh->tick.data = sh;
	sh->terminate.data = sh;
	sh->hangup.data = sh;
	ev_prepare_start(sh->loop, &sh->before_wait);
	ev_check_start(sh->loop, &sh->after_wait);
	ev_timer_start(sh->loop, &sh->tick);
	lifecycle_watch_signals(sh->loop, &sh->terminate, &sh->hangup);
}

int control_shell_run(const struct control_shell_settings *settings, const struct wire *wire,
		      bool (*reload)(uint32_t seeds[3]))
{
	struct shell sh = {
		.settings = *settings,
		.wire = wire,
		.reload = reload,
		.loop = ev_default_loop(0),
		.node = ntohl(inet_addr(settings->ip)),
		.unsent = g_ptr_array_new_with_free_func(raft_effect_free),
		.state = jobs_new(),
		.callers = callers_new(wire),
		.proposals = metrics_get(METRIC_COUNTER, "sesamewood_proposals_total", "",
					 "commands proposed to the log"),
		.refusals = metrics_get(METRIC_COUNTER, "sesamewood_overload_refusals_total", "",
					"callers refused because the leader was too far behind"),
		.leaderless_refusals =
			metrics_get(METRIC_COUNTER, "sesamewood_leaderless_refusals_total", "",
				    "requests refused because no leader was heard for long"),
		.disk_failures =
			metrics_get(METRIC_COUNTER, "sesamewood_disk_failures_total", "",
				    "failed writes to the data directory, retries included"),
		.accounts_at_cap =
			metrics_get(METRIC_GAUGE, "sesamewood_accounts_at_cap", "",
				    "client accounts whose running work has reached their cap"),
		.beyond_weight =
			metrics_get(METRIC_COUNTER, "sesamewood_jobs_beyond_weight_total", "",
				    "jobs accepted beyond the weight of their account"),
		.overload = overload_new(),
		.round_gap_ms = MANAGER_ROUND_GAP_MS,
		.commit_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_commit_ms", "",
					 "time that replies and orders wait for a commit, ms"),
		.repeated_starts =
			metrics_get(METRIC_COUNTER, "sesamewood_repeated_starts_total", "",
				    "start orders sent again because they had no answer"),
		.repeated_queries =
			metrics_get(METRIC_COUNTER, "sesamewood_repeated_queries_total", "",
				    "status queries sent because the one before had no answer"),
	};
	unsigned int n = 0;

	g_queue_init(&sh.held);
	sh.relay = relay_new(sh.loop, settings->rpc_port, sh.node);
	while (n < RAFT_SEEDS_MAX && settings->seeds[n])
		n++;
	relay_set_seeds(sh.relay, settings->seeds, n);
	sh.heartbeat_proxy = heartbeat_proxy_new(wire, sh.relay);
	sh.agents = agents_new(client_of, on_agent_result, &sh);
	sh.sender = order_sender_new(sh.loop, wire, shell_on_order_sent, &sh);
	open_log(&sh);
	listen_or_exit(&sh);
	start_watchers(&sh);
	log_set_buffered();
	log_info("started", "ADDRESS", settings->listen, "DATA", settings->data, "BOOTSTRAP",
		 settings->bootstrap ? "true" : "false", "NON_VOTER",
		 settings->non_voter ? "true" : "false");
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
