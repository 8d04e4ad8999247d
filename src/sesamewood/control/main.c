/// @file
/// sesamewood-control: the shell around the control reducer, which is the event loop and the I/O.
/// It turns requests and timers into events, and the reducer's effects into writes, messages and
/// replies.

#include "base/codec.h"
#include "base/http_server.h"
#include "base/http_status.h"
#include "base/lifecycle.h"
#include "base/listener.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/options.h"
#include "control/control.h"
#include "control/storage.h"
#include "control/trace.h"
#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"

#include <errno.h>
#include <ev.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#define TICK_S 0.02 ///< interval of the reducer's timer event
#define PEER_CALL_TIMEOUT_MS 2000
#define FORWARD_TIMEOUT_MS 5000
#define DRAIN_POLL_S 0.2    ///< interval at which a draining process checks for open requests
#define START_WAIT_MS 10000 ///< for a lock or an address that an earlier process still holds
#define EXIT_ERROR 1
#define EXIT_STORAGE 3

static struct option options[] = {
	{"node", OPTION_NUMBER, NULL, 1, RAFT_NODES_MAX, "", NULL,
	 "Number of this replica, as in --peers", NULL, 0},
	{"peers", OPTION_LIST, NULL, 0, 0, "", "1=IP:port,2=IP:port,…, own one included",
	 "RPC addresses of all replicas", NULL, 0},
	{"data", OPTION_TEXT, NULL, 0, 0, "", "a folder", "Data directory", NULL, 0},
	{"admin", OPTION_ADDRESS, "127.0.0.1:7700", 0, 0, "", "IP:port",
	 "Administration and metrics listener", NULL, 0},
	{"token-file", OPTION_TEXT, "", 0, 0, "", "a file",
	 "Bearer token of the administration API; required unless --admin is on loopback", NULL, 0},
	{"lease", OPTION_NUMBER, "2000", 200, 60000, "ms", NULL, "Duration of an entry's lease",
	 NULL, 0},
	{"lease-margin", OPTION_NUMBER, "200", 0, 60000, "ms", NULL,
	 "Extra time added to a lease, for differing clock rates", NULL, 0},
	{"deadline-max", OPTION_NUMBER, "30000", 100, 600000, "ms", NULL,
	 "Longest deadline of any route", NULL, 0},
	{"election", OPTION_NUMBER, "300", 20, 60000, "ms", NULL, "Minimum election timeout", NULL,
	 0},
	{"heartbeat", OPTION_NUMBER, "80", 5, 10000, "ms", NULL,
	 "Interval of the leader's heartbeats to the other replicas", NULL, 0},
	{"suspect", OPTION_NUMBER, "3000", 100, 600000, "ms", NULL,
	 "Time without a heartbeat after which an instance counts as out of service", NULL, 0},
	{"forget", OPTION_NUMBER, "30000", 100, 86400000, "ms", NULL,
	 "Time without a heartbeat after which an instance is removed from its pool", NULL, 0},
	{"probation", OPTION_NUMBER, "10000", 0, 3600000, "ms", NULL,
	 "Time for which an instance that came back still counts as out of service", NULL, 0},
	{"snapshot-records", OPTION_NUMBER, "10000", 10, 1000000, "records", NULL,
	 "Number of log records between snapshots", NULL, 0},
	{"policy", OPTION_CHOICE, "on", 0, 0, "", "on|off",
	 "Move instances between pools according to demand", NULL, 0},
	{"trace-file", OPTION_TEXT, "", 0, 0, "", "a file",
	 "Record all events for sesamewood-replay; needs an empty data directory", NULL, 0},
	{"log-level", OPTION_CHOICE, "info", 0, 0, "", "error|warning|info|debug",
	 "Least severe level logged", NULL, 0},
	{0},
};

/// The caller that awaits a reply of the reducer: one of the two members is set.
struct caller {
	struct rpc_request *rpc;
	struct http_request *http;
};

/// Another replica.
struct peer {
	uint32_t node;
	struct rpc_client *client;
};

/// State of the process.
struct shell {
	struct ev_loop *loop;
	struct control *control;
	struct storage *storage;
	struct trace *trace; ///< recording of events, or NULL
	struct http_server *http;
	GHashTable *callers; ///< struct caller by token
	uint64_t next_token;
	struct peer peers[RAFT_NODES_MAX];
	unsigned int n_peers;
	char *token; ///< bearer token, or NULL
	ev_prepare prepare;
	ev_timer tick;
	ev_signal terminate;
	ev_timer exit_timer;
	bool flush_pending;	///< events have been handled since the last flush
	bool draining;		///< SIGTERM was received
	struct metric *sync_ms; ///< time to write a batch
};

/* Events. */

/// Passes an event to the reducer, and records it if a trace is open.
static void dispatch_event(struct shell *sh, struct control_event event)
{
	clock_ms_t now = clock_monotonic();

	event.wall_ms = clock_wall();
	if (sh->trace)
		trace_write_event(sh->trace, now, &event);
	control_step(sh->control, now, &event);
}

/// Dispatches an event; its effects are carried out before the event loop waits again.
static void handle_event(struct shell *sh, struct control_event event)
{
	dispatch_event(sh, event);
	sh->flush_pending = true;
}

/// @return token of the caller, for the event
static uint64_t add_caller(struct shell *sh, struct rpc_request *rpc, struct http_request *http)
{
	struct caller *caller = g_new0(struct caller, 1);
	uint64_t token = ++sh->next_token;

	*caller = (struct caller){.rpc = rpc, .http = http};
	g_hash_table_insert(sh->callers, GSIZE_TO_POINTER(token), caller);
	return token;
}

static void on_rpc(void *ctx, struct rpc_request *req, uint32_t proc, const void *args)
{
	struct shell *sh = ctx;
	struct control_event event = {0};

	switch (proc) {
	case SW_PROC_RAFT:
		event.type = CONTROL_MESSAGE;
		event.u.message = args;
		rpc_request_expect_bulk(req);
		rpc_request_reply(req, NULL);
		handle_event(sh, event);
		return;
	case SW_PROC_RENEW:
		event.type = CONTROL_RENEW;
		event.u.renew = args;
		break;
	case SW_PROC_WATCH:
		event.type = CONTROL_WATCH;
		event.u.watch = args;
		break;
	case SW_PROC_CLAIM:
		event.type = CONTROL_CLAIM;
		event.u.claim = args;
		break;
	case SW_PROC_ADMIN:
		event.type = CONTROL_ADMIN;
		event.u.admin = args;
		break;
	default:
		rpc_request_reply_unavailable(req);
		return;
	}
	event.token = add_caller(sh, req, NULL);
	handle_event(sh, event);
}

/* Replies. */

static void reply_http(struct http_request *req, const sw_admin_reply *r)
{
	const struct http_header headers[] = {
		{"Content-Type", r->content_type},
		{*r->etag ? "ETag" : NULL, r->etag},
		{NULL, NULL},
	};

	http_reply(req, r->http_status, headers, r->body.sw_blob_val, r->body.sw_blob_len);
}

static void send_replies(struct shell *sh)
{
	g_autoptr(GPtrArray) replies = control_take_replies(sh->control);

	for (guint i = 0; i < replies->len; i++) {
		const struct control_reply *r = replies->pdata[i];
		struct caller *caller =
			g_hash_table_lookup(sh->callers, GSIZE_TO_POINTER(r->token));

		if (!caller)
			continue;
		if (caller->rpc)
			rpc_request_reply(caller->rpc, &r->u);
		else
			reply_http(caller->http, &r->u.admin);
		g_hash_table_remove(sh->callers, GSIZE_TO_POINTER(r->token));
	}
}

/* Effects of the replicated log. */

/// @return client of another replica, or NULL
static struct rpc_client *find_client(const struct shell *sh, uint32_t node)
{
	for (unsigned int i = 0; i < sh->n_peers; i++)
		if (sh->peers[i].node == node)
			return sh->peers[i].client;
	return NULL;
}

static void write_effects(struct shell *sh, GPtrArray *effects)
{
	g_autoptr(GError) error = NULL;
	clock_ms_t from = clock_monotonic();

	bool ok = storage_write(sh->storage, effects, &error);

	while (ok && storage_has_work(sh->storage))
		ok = storage_work(sh->storage, &error);
	if (!ok) {
		log_error("cannot write to the data directory; exiting", "ERROR", error->message);
		lifecycle_exit(EXIT_STORAGE);
	}
	metrics_observe(sh->sync_ms, clock_monotonic() - from);
}

static void send_effects(struct shell *sh, GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++) {
		const struct raft_effect *e = effects->pdata[i];
		struct rpc_client *client;

		if (e->type != RAFT_SEND)
			continue;
		client = find_client(sh, e->u.message.to);
		if (client)
			rpc_client_call(client, SW_PROC_RAFT, &e->u.message, PEER_CALL_TIMEOUT_MS,
					NULL, NULL);
	}
}

static bool needs_storage(const GPtrArray *effects)
{
	for (guint i = 0; i < effects->len; i++)
		if (((struct raft_effect *)effects->pdata[i])->type != RAFT_SEND)
			return true;
	return false;
}

/// Ends a batch of events: writes and syncs effects, sends messages and applies commands until
/// there are no more effects; then sends the replies.
static void flush(struct shell *sh)
{
	for (;;) {
		g_autoptr(GPtrArray) effects = NULL;

		dispatch_event(sh, (struct control_event){.type = CONTROL_FLUSH});
		effects = raft_take_effects(sh->control->raft);
		if (!effects->len)
			break;
		if (needs_storage(effects)) {
			write_effects(sh, effects);
			dispatch_event(sh, (struct control_event){.type = CONTROL_PERSISTED});
		}
		send_effects(sh, effects);
	}
	send_replies(sh);
	sh->flush_pending = false;
}

static void on_prepare(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct shell *sh = w->data;

	(void)loop;
	(void)revents;
	if (sh->flush_pending)
		flush(sh);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	(void)loop;
	(void)revents;
	handle_event(w->data, (struct control_event){.type = CONTROL_TICK});
}

/* Administration. */

/// Checks the bearer token. The comparison takes the same time wherever the texts differ.
static bool is_authorized(const struct shell *sh, const struct http_request *req)
{
	const char *header = http_header(req, "Authorization");
	g_autofree char *expected = NULL;
	unsigned char differ = 0;
	size_t len;

	if (!sh->token)
		return true;
	expected = g_strconcat("Bearer ", sh->token, NULL);
	len = strlen(expected);
	if (!header || strlen(header) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		differ |= (unsigned char)(header[i] ^ expected[i]);
	return !differ;
}

static void on_forwarded(void *ctx, enum rpc_result result, const void *reply)
{
	struct http_request *req = ctx;
	const sw_admin_reply *r = reply;

	if (result != RPC_REPLIED)
		http_reply_problem(req, HTTP_UNAVAILABLE,
				   "the leader did not answer; the change may have been accepted",
				   NULL);
	else
		reply_http(req, r);
}

static char *string_or_empty(const char *text)
{
	return (char *)(text ? text : "");
}

/// Forwards a request to the leader, or handles it here if this replica leads or knows no leader.
static void handle_admin(struct shell *sh, struct http_request *req)
{
	g_autofree char *text = http_body_text(req);
	uint32_t leader = raft_leader(sh->control->raft);
	struct rpc_client *client = find_client(sh, leader);
	sw_admin_args args = {
		.method = (char *)http_method(req),
		.path = (char *)http_target(req),
		.if_match = string_or_empty(http_header(req, "If-Match")),
		.request_id = string_or_empty(http_header(req, "Request-Id")),
		.body = text,
	};

	if (!text) {
		http_reply_problem(req, HTTP_UNPROCESSABLE, "the body contains a NUL byte", NULL);
		return;
	}
	if (strlen(args.request_id) > SW_NAME_MAX || strlen(args.if_match) > SW_NAME_MAX) {
		http_reply_problem(req, HTTP_BAD_REQUEST, "If-Match or Request-Id is too long",
				   NULL);
		return;
	}
	if (client) {
		rpc_client_call(client, SW_PROC_ADMIN, &args, FORWARD_TIMEOUT_MS, on_forwarded,
				req);
		return;
	}
	handle_event(sh, (struct control_event){
				 .type = CONTROL_ADMIN,
				 .token = add_caller(sh, NULL, req),
				 .u.admin = &args,
			 });
}

static void reply_health(struct shell *sh, struct http_request *req)
{
	bool healthy = !sh->draining && raft_leader(sh->control->raft) != 0;

	http_reply(req, healthy ? HTTP_OK : HTTP_UNAVAILABLE, NULL,
		   healthy ? "ok\n" : "no leader\n", healthy ? 3 : 10);
}

static void set_gauge(const char *name, const char *help, uint64_t value)
{
	metrics_set(metrics_get(METRIC_GAUGE, name, "", help), value);
}

static void reply_metrics(struct shell *sh, struct http_request *req)
{
	const struct control *c = sh->control;
	g_autofree char *text = NULL;

	set_gauge("sesamewood_control_leader", "1 on the leading replica",
		  raft_role(c->raft) == RAFT_LEADER);
	set_gauge("sesamewood_control_term", "current term", raft_term(c->raft));
	set_gauge("sesamewood_control_commit_index", "last committed record",
		  raft_commit_index(c->raft));
	set_gauge("sesamewood_control_instances", "instances known",
		  g_hash_table_size(c->fleet->by_name));
	set_gauge("sesamewood_control_claims", "idempotency keys held",
		  g_hash_table_size(c->fleet->claims));
	set_gauge("sesamewood_control_moves_total", "instances that changed pools",
		  c->fleet->moves);
	text = metrics_text();
	http_reply(req, HTTP_OK, NULL, text, strlen(text));
}

static void on_http_request(void *ctx, struct http_request *req)
{
	struct shell *sh = ctx;

	if (g_str_equal(http_target(req), "/healthz"))
		reply_health(sh, req);
	else if (!is_authorized(sh, req))
		http_reply_problem(req, HTTP_UNAUTHORIZED, "a bearer token is needed", NULL);
	else if (g_str_equal(http_target(req), "/metrics"))
		reply_metrics(sh, req);
	else
		handle_admin(sh, req);
}

static const struct http_handlers http_handlers = {.on_request = on_http_request};

/* Start and stop. */

/// Parses --peers and creates a client for each other replica. Exits if the list is invalid.
///
/// @return RPC address of this replica, owned by the caller
static char *connect_peers(struct shell *sh, struct raft_settings *raft)
{
	const struct option *o = options_get(options, "peers");
	g_auto(GStrv) items = g_strsplit(o->value, ",", -1);
	char *own = NULL;

	for (unsigned int i = 0; items[i]; i++) {
		char *end;
		unsigned long node = strtoul(items[i], &end, 10);

		if (i >= RAFT_NODES_MAX || !node || node > RAFT_NODES_MAX || *end != '=' ||
		    !options_split_address(end + 1, NULL, NULL))
			options_exit_invalid(options, o->name, o->range_text);
		raft->nodes[i] = node;
		if (node == raft->node) {
			own = g_strdup(end + 1);
			continue;
		}
		sh->peers[sh->n_peers].node = node;
		sh->peers[sh->n_peers++].client = rpc_client_new(sh->loop, end + 1);
	}
	if (!own)
		options_exit_invalid(options, o->name, "a list that holds the own node");
	return own;
}

/// Reads the bearer token. Exits if there is none and the listener is not on loopback.
static void read_token(struct shell *sh)
{
	const char *path = options_text(options, "token-file");
	const char *admin = options_text(options, "admin");

	if (!*path) {
		if (!g_str_has_prefix(admin, "127."))
			options_exit_invalid(options, "admin",
					     "a loopback address, unless --token-file is set");
		return;
	}
	if (!g_file_get_contents(path, &sh->token, NULL, NULL) || !*g_strstrip(sh->token))
		options_exit_invalid(options, "token-file", "a readable file that holds a token");
}

/// Exits once no HTTP request is open.
static void on_exit_timer(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct shell *sh = w->data;

	(void)revents;
	if (http_server_active(sh->http))
		return;
	log_info("all requests have ended; exiting");
	ev_break(loop, EVBREAK_ALL);
}

static void on_terminate(struct ev_loop *loop, ev_signal *w, int revents)
{
	struct shell *sh = w->data;

	(void)revents;
	if (sh->draining)
		return;
	log_info("received SIGTERM; exiting when open requests have ended");
	sh->draining = true;
	http_server_drain(sh->http);
	ev_timer_start(loop, &sh->exit_timer);
}

/// @return random number other than 0
static uint64_t random_uid(void)
{
	uint64_t uid = 0;

	while (!uid)
		if (getrandom(&uid, sizeof(uid), 0) < 0)
			lifecycle_exit(EXIT_ERROR);
	return uid;
}

static struct control_settings read_settings(void)
{
	return (struct control_settings){
		.raft =
			{
				.node = options_number(options, "node"),
				.uid = random_uid(),
				.election_ms = options_number(options, "election"),
				.heartbeat_ms = options_number(options, "heartbeat"),
				.keep_records = 1000,
				.seed = random_uid(),
			},
		.lease_ms = options_number(options, "lease"),
		.lease_margin_ms = options_number(options, "lease-margin"),
		.deadline_max_ms = options_number(options, "deadline-max"),
		.suspect_ms = options_number(options, "suspect"),
		.forget_ms = options_number(options, "forget"),
		.probation_ms = options_number(options, "probation"),
		.snapshot_records = options_number(options, "snapshot-records"),
		.policy = g_str_equal(options_text(options, "policy"), "on"),
	};
}

static void open_storage(struct shell *sh, struct raft_recovered *recovered)
{
	const char *path = options_text(options, "data");
	g_autoptr(GPtrArray) none = g_ptr_array_new();
	struct lifecycle_wait wait = {.what = path, .max_ms = START_WAIT_MS};
	g_autoptr(GError) error = NULL;
	struct fs fs;

	while (!fs_open_dir(&fs, path)) {
		int reason = errno;

		if (reason == EWOULDBLOCK && lifecycle_wait(&wait, "locked by another process"))
			continue;
		log_error("cannot open or lock the data directory; exiting", "PATH", path, "ERROR",
			  g_strerror(reason));
		lifecycle_exit(EXIT_STORAGE);
	}
	lifecycle_wait_done(&wait);
	sh->storage = storage_open(fs, recovered, &error);
	if (!sh->storage) {
		log_error("cannot read the state in the data directory; exiting", "PATH", path,
			  "ERROR", error->message);
		lifecycle_exit(EXIT_STORAGE);
	}
	if (!storage_write(sh->storage, none, &error)) {
		log_error("cannot write to the data directory; exiting", "PATH", path, "ERROR",
			  error->message);
		lifecycle_exit(EXIT_STORAGE);
	}
}

static void start_watchers(struct shell *sh)
{
	ev_prepare_init(&sh->prepare, on_prepare);
	ev_timer_init(&sh->tick, on_tick, TICK_S, TICK_S);
	ev_signal_init(&sh->terminate, on_terminate, SIGTERM);
	ev_timer_init(&sh->exit_timer, on_exit_timer, DRAIN_POLL_S, DRAIN_POLL_S);
	sh->prepare.data = sh;
	sh->tick.data = sh;
	sh->terminate.data = sh;
	sh->exit_timer.data = sh;
	ev_prepare_start(sh->loop, &sh->prepare);
	ev_timer_start(sh->loop, &sh->tick);
	lifecycle_watch_signals(sh->loop, &sh->terminate, NULL);
}

static void listen_or_exit(struct shell *sh, const char *rpc_address)
{
	const char *admin = options_text(options, "admin");
	const struct http_limits limits = {
		.head_bytes = 16384,
		.body_bytes = SW_TABLE_MAX,
		.connections = 256,
		.idle_timeout_s = 60,
		.name = "admin",
	};

	sh->http = http_server_new_on_listener(sh->loop, listener_open(admin, START_WAIT_MS),
					       &limits, &http_handlers, sh);
	if (!sh->http || !rpc_server_new_on_listener(
				 sh->loop, listener_open(rpc_address, START_WAIT_MS), on_rpc, sh)) {
		log_error("cannot listen on the RPC or administration address; exiting", "RPC",
			  rpc_address, "ADMIN", admin, "ERROR", g_strerror(errno));
		lifecycle_exit(EXIT_ERROR);
	}
}

/// Creates the reducer, and starts a trace if one is configured. A trace has to start from an empty
/// data directory, because it does not contain the recovered state.
static void start_reducer(struct shell *sh, const struct control_settings *settings,
			  struct raft_recovered *recovered)
{
	const char *path = options_text(options, "trace-file");
	clock_ms_t now = clock_monotonic();

	if (*path && recovered->meta.uid)
		options_exit_invalid(options, "trace-file",
				     "unset, unless the data directory is empty");
	if (*path) {
		sh->trace = trace_open(path, settings, now);
		if (!sh->trace)
			options_exit_invalid(options, "trace-file", "a file that can be written");
	}
	sh->control = control_new(settings, recovered, now);
}

int main(int argc, char **argv)
{
	struct shell sh = {.loop = ev_default_loop(0)};
	struct raft_recovered recovered;
	struct control_settings settings;
	g_autofree char *address = NULL;

	lifecycle_start();
	options_parse(options, "Replicated control of a sesamewood fleet.", &argc, &argv, NULL);
	log_init("sesamewood-control", options_text(options, "node"),
		 options_text(options, "log-level"));
	settings = read_settings();
	address = connect_peers(&sh, &settings.raft);
	read_token(&sh);
	open_storage(&sh, &recovered);
	sh.callers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	sh.sync_ms = metrics_get(METRIC_HISTOGRAM, "sesamewood_control_sync_ms", "",
				 "time to store one batch of log records, ms");
	start_reducer(&sh, &settings, &recovered);
	listen_or_exit(&sh, address);
	start_watchers(&sh);
	log_info("started", "RPC", address, "ADMIN", options_text(options, "admin"));
	ev_run(sh.loop, 0);
	return EXIT_SUCCESS;
}
