#include "lab.h"

#include "base/http_async_client.h"
#include "base/http_server.h"

#include <errno.h>
#include <ev.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONTROL_PORT 8623
#define FRONT_PORT 8624
#define READY_PORT 8622
#define RPC_PORT 7060
#define EXECUTOR_PORT 8080
#define MACHINES_PORT 8621
#define PROCESSES_MAX 16
#define EXECUTORS_MAX 64
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS 6000
#define GANG_MS 3000
#define TICK_S 0.005
#define RESTART_MS 300 /* a process that has ended starts again after this delay */
#define OPERATOR_MS 1000
#define CLIENT_MS 3000
#define EXECUTOR_CPU 32000
#define EXECUTOR_MEM 131072
#define PAGE 500
#define RUN_MAX_MS 118000

struct process {
	char *name;
	char *ip;
	char *data;
	bool control;
	pid_t pid;	     ///< 0: down
	clock_ms_t start_at; ///< 0: not waiting for its start
	unsigned int starts;
};

struct attempt {
	char *task;
	unsigned int attempt;
	unsigned int work_ms;
	clock_ms_t started_at;
};

struct end {
	int64_t number;
	char *task;
	unsigned int attempt;
	const char *how;
};

struct waiting {
	struct http_request *req;
	clock_ms_t until;
};

struct lab_executor {
	unsigned int index;
	unsigned int life;
	char *id;
	char *address;
	bool up;
	bool deaf;		    ///< nothing that is sent to it arrives
	clock_ms_t heals_at;	    ///< end of a cut in both directions; 0: no cut
	bool keeps_id;		    ///< it starts again under the id that it had
	struct http_server *server; ///< NULL while down
	clock_ms_t back_at;
	clock_ms_t born_at;
	int64_t born;
	int64_t sequence;
	int64_t token;
	int64_t until;
	int64_t ends;
	clock_ms_t heartbeat_at;
	GPtrArray *running;
	GPtrArray *ended;
	GArray *waiting;
	GHashTable *last; ///< highest attempt that ended or was stopped, by task
};

struct call {
	struct lab_answer *answer;
	bool done;
};

struct background {
	char *path;
	char *body;
	unsigned int *done;
};

static struct {
	struct lab_settings settings;
	struct ev_loop *loop;
	struct http_async_client *client;
	char *work;
	char *network;
	FILE *record;
	clock_ms_t opened_at;
	struct process processes[PROCESSES_MAX];
	unsigned int n_processes;
	struct lab_executor executors[EXECUTORS_MAX];
	unsigned int turn;
	unsigned int own_ends;
	unsigned int overlaps;
	char *held_task; ///< its next start is held up on its way
	clock_ms_t held_ms;
	struct lab_executor *held_at; ///< where the start that is held up was sent
	char *held_id;
	char *held_body;
	clock_ms_t held_until;
	GHashTable *done; ///< tasks whose end `done` was taken note of
	unsigned int starts_after_done;
	unsigned int advised_of; ///< executors among which the advice chooses; 0: no advice
	GQueue advice_calls;
	clock_ms_t advice_at; ///< when the next call for advice is answered
	GHashTable *jobs;     ///< struct lab_step * by job id
	GHashTable *ends;     ///< counts by "task how"
	unsigned int n_starts;
	unsigned int n_orders; ///< calls to executors
	ev_timer tick;
} lab;

bool lab_trouble(void)
{
	return g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
}

void lab_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(lab.record, "%8.3f  ", (double)(clock_monotonic() - lab.opened_at) / 1000);
	vfprintf(lab.record, format, args);
	fputc('\n', lab.record);
	fflush(lab.record);
	va_end(args);
}

/* Processes. */

static void start_process(struct process *p, bool bootstrap)
{
	g_autofree char *path = g_strdup_printf("%s/%s.conf", lab.work, p->name);
	g_autofree char *log = g_strdup_printf("%s/%s.%u.log", lab.work, p->name, p->starts++);
	g_autofree char *text = g_strdup_printf(
		"nodeName=%s\nrole=%s\nmachineClass=%s\nserves=%s\nip=%s\nzone=z1\nregion=r\n"
		"zones.z1=r\nlisten.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\n"
		"internalPorts=%d,%d\nseeds=%s.1:%d,%s.2:%d,%s.3:%d\nbootstrap=%s\n"
		"inFaultBudget=%s\ndataDir=%s\nheartbeatMs=%d\ndiscovery=registry\n"
		"bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n"
		"bounds.configMs=2000\nbounds.holdMaxMs=%d\nbounds.stopMs=400\nbounds.gangMs=%d\n"
		"bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.finish_s=14\n"
		"bounds.status_s=120\nbounds.farX=3\nbounds.saveS=1\nbounds.moveS=1.5\n"
		"bounds.upkeepS=2\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
		"commands=rpc\nadvice=%s.98:%d\ncloud.address=%s.99:%d\ncloud.perS=64.0\n"
		"cloud.dutyPerS=64.0\n",
		p->name, p->control ? "control" : "entry", p->control ? "core" : "edge",
		p->control ? "control" : "edge", p->ip, p->ip, FRONT_PORT, p->ip, READY_PORT, p->ip,
		CONTROL_PORT, RPC_PORT, RPC_PORT + 15, lab.network, CONTROL_PORT, lab.network,
		CONTROL_PORT, lab.network, CONTROL_PORT, bootstrap ? "true" : "false",
		p->control ? "true" : "false", p->data, HEARTBEAT_MS, HOLD_MAX_MS, GANG_MS,
		lab.network, MACHINES_PORT, lab.network, MACHINES_PORT);
	g_autofree char *program =
		g_strdup_printf("target/sesamewood-platform-%s", p->control ? "control" : "entry");

	g_mkdir_with_parents(p->data, 0700);
	g_file_set_contents(path, text, -1, NULL);
	p->start_at = 0;
	p->pid = fork();
	if (p->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL); /* it must not outlive the case */
	for (int fd = 3; fd < 256; fd++)
		close(fd);
	if (!freopen(log, "w", stdout) || dup2(1, 2) < 0)
		_exit(127);
	setenv("SESAMEWOOD_SETTINGS", path, 1);
	execl(program, program, (char *)NULL);
	_exit(127);
}

static void kill_process(struct process *p)
{
	if (!p->pid)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	p->start_at = 0;
}

static void watch_processes(clock_ms_t now)
{
	for (unsigned int i = 0; i < lab.n_processes; i++) {
		struct process *p = &lab.processes[i];
		int status;

		if (p->pid && waitpid(p->pid, &status, WNOHANG) == p->pid) {
			lab.own_ends++;
			if (p->starts < 5)
				lab_record("%s ends by itself, status %d", p->name,
					   WIFEXITED(status) ? WEXITSTATUS(status)
							     : -WTERMSIG(status));
			p->pid = 0;
			p->start_at = now + RESTART_MS;
		}
		if (!p->pid && p->start_at && now >= p->start_at)
			start_process(p, false);
	}
}

unsigned int lab_ends_of_their_own(void)
{
	return lab.own_ends;
}

/// Records the peak of the memory of each control replica.
static void record_memory(void)
{
	for (unsigned int i = 0; i < lab.settings.controls; i++) {
		g_autofree char *path =
			g_strdup_printf("/proc/%d/status", (int)lab.processes[i].pid);
		g_autofree char *text = NULL;
		const char *peak;

		if (!g_file_get_contents(path, &text, NULL, NULL))
			continue;
		peak = strstr(text, "VmHWM:");
		lab_record("%s used at most %d MB", lab.processes[i].name,
			   peak ? atoi(peak + 6) / 1024 : 0);
	}
}

void lab_kill_all_controls(void)
{
	record_memory();
	for (unsigned int i = 0; i < lab.settings.controls; i++)
		kill(lab.processes[i].pid, SIGKILL);
	for (unsigned int i = 0; i < lab.settings.controls; i++)
		kill_process(&lab.processes[i]);
	lab_record("all control replicas are killed");
}

void lab_start_all_controls(void)
{
	for (unsigned int i = 0; i < lab.settings.controls; i++)
		start_process(&lab.processes[i], false);
	lab_record("all control replicas start again");
}

/* Executors. */

static int64_t executor_clock(const struct lab_executor *e)
{
	return clock_monotonic() - e->born_at;
}

static void attempt_free(void *p)
{
	struct attempt *a = p;

	g_free(a->task);
	g_free(a);
}

static void end_free(void *p)
{
	struct end *e = p;

	g_free(e->task);
	g_free(e);
}

static void on_executor_request(void *ctx, struct http_request *req);

static void begin_life(struct lab_executor *e)
{
	static const struct http_handlers handlers = {.on_request = on_executor_request};
	const struct http_limits limits = {.head_bytes = 32768,
					   .body_bytes = 262144,
					   .connections = 256,
					   .idle_timeout_s = 60};

	e->server = http_server_new(lab.loop, e->address, &limits, &handlers, e);
	if (!e->server)
		lab_give_up("an executor cannot listen");
	e->life++;
	if (!e->keeps_id) {
		g_free(e->id);
		e->id = g_strdup_printf("i-%02x%04x", e->index, e->life);
	}
	e->born_at = clock_monotonic();
	e->born = clock_wall();
	e->sequence = e->token = e->until = e->ends = 0;
	e->heartbeat_at = e->keeps_id ? e->born_at + LAB_FIRST_HEARTBEAT_MS : 0;
	e->keeps_id = false;
	e->up = true;
	e->deaf = false;
	e->back_at = 0;
}

static void note_last(struct lab_executor *e, const char *task, unsigned int attempt)
{
	guint last = GPOINTER_TO_UINT(g_hash_table_lookup(e->last, task));

	g_hash_table_replace(e->last, g_strdup(task), GUINT_TO_POINTER(MAX(last, attempt)));
}

static void end_attempt(struct lab_executor *e, guint at, const char *how)
{
	struct attempt *a = e->running->pdata[at];
	struct end *row = g_new0(struct end, 1);
	char *key = g_strdup_printf("%s %s", a->task, how);
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(lab.ends, key));

	g_hash_table_replace(lab.ends, key, GUINT_TO_POINTER(n + 1));
	*row = (struct end){++e->ends, g_strdup(a->task), a->attempt, how};
	g_ptr_array_add(e->ended, row);
	note_last(e, a->task, a->attempt);
	lab_record("run %s/%u ends on %s: %s", a->task, a->attempt, e->id, how);
	g_ptr_array_remove_index(e->running, at);
}

static void reply_json(struct http_request *req, unsigned int status, const char *body)
{
	static const struct http_header headers[] = {{"Content-Type", "application/json"},
						     {NULL, NULL}};

	http_reply(req, status, headers, body, strlen(body));
}

static void reply_lists(struct lab_executor *e, struct http_request *req)
{
	clock_ms_t now = clock_monotonic();
	g_autoptr(GString) s = g_string_new(NULL);

	g_string_printf(s, "{\"clockMs\":%" PRId64 ",\"born\":%" PRId64 ",\"running\":[",
			executor_clock(e), e->born);
	for (guint i = 0; i < e->running->len; i++) {
		const struct attempt *a = e->running->pdata[i];
		clock_ms_t whole = a->work_ms ? a->work_ms : 500;

		g_string_append_printf(s, "%s[\"%s\",%u,\"\",%d,1000]", i ? "," : "", a->task,
				       a->attempt,
				       (int)MIN((now - a->started_at) * 100 / whole, 100));
	}
	g_string_append(s, "],\"endedRuns\":[");
	for (guint i = 0; i < e->ended->len && i < PAGE; i++) {
		const struct end *row = e->ended->pdata[i];

		g_string_append_printf(s, "%s[%" PRId64 ",\"%s\",%u,\"%s\",\"\"]", i ? "," : "",
				       row->number, row->task, row->attempt, row->how);
	}
	g_string_append(s, "]}");
	reply_json(req, 200, s->str);
}

static void crash_now(struct lab_executor *e)
{
	for (guint i = 0; i < e->running->len; i++) {
		const struct attempt *a = e->running->pdata[i];

		lab_record("run %s/%u is lost with %s", a->task, a->attempt, e->id);
	}
	g_ptr_array_set_size(e->running, 0);
	g_ptr_array_set_size(e->ended, 0);
	g_hash_table_remove_all(e->last);
	for (guint i = 0; i < e->waiting->len; i++)
		http_reply(g_array_index(e->waiting, struct waiting, i).req, 503, NULL, "", 0);
	g_array_set_size(e->waiting, 0);
	http_server_free(e->server);
	e->server = NULL;
	e->up = false;
}

void lab_executor_crash(struct lab_executor *e, clock_ms_t down_ms)
{
	lab_record("executor %s crashes", e->id);
	crash_now(e);
	e->back_at = clock_monotonic() + down_ms;
}

static const char *take_token(struct lab_executor *e, JsonObject *o)
{
	int64_t token = json_object_get_int_member_with_default(o, "fencingToken", 0);

	if (token < e->token)
		return "fence";
	e->token = token;
	return NULL;
}

static void take_lease(struct lab_executor *e, JsonObject *o)
{
	int64_t until = json_object_get_int_member_with_default(o, "untilMs", 0);

	e->until = MAX(e->until, MIN(until, executor_clock(e) + HOLD_MAX_MS));
}

static char *ticket_of(const struct lab_executor *e, const char *phase);

/// @return whether the job of a task is of the queue that needs tickets, and has none
static bool lacks_ticket(const struct lab_executor *e, JsonObject *o, const char *task)
{
	g_autofree char *phase = g_strndup(task, (gsize)(strrchr(task, '.') - task));
	g_autofree char *ticket = ticket_of(e, phase);

	return lab.advised_of &&
	       strcmp(json_object_get_string_member_with_default(o, "ticket", ""), ticket) != 0;
}

static const char *start_run(struct lab_executor *e, JsonObject *o)
{
	const char *task = json_object_get_string_member_with_default(o, "task", "");
	unsigned int attempt = (unsigned int)json_object_get_int_member(o, "attempt");
	const char *refusal = take_token(e, o);
	g_auto(GStrv) parts = g_strsplit(task, ".", 4);
	const struct lab_step *steps;
	struct attempt *a;

	if (refusal)
		return refusal;
	for (guint i = 0; i < e->running->len; i++) {
		a = e->running->pdata[i];
		if (g_str_equal(a->task, task) && a->attempt == attempt)
			return NULL;
	}
	if (json_object_get_int_member(o, "untilMs") <= executor_clock(e))
		return "late";
	take_lease(e, o);
	if (attempt <= GPOINTER_TO_UINT(g_hash_table_lookup(e->last, task)))
		return "old";
	if (lacks_ticket(e, o, task))
		return "ticket";
	steps = g_hash_table_lookup(lab.jobs, parts[0]);
	a = g_new0(struct attempt, 1);
	*a = (struct attempt){
		.task = g_strdup(task),
		.attempt = attempt,
		.work_ms = steps ? steps[atoi(parts[2])].work_ms : 0,
		.started_at = clock_monotonic(),
	};
	g_ptr_array_add(e->running, a);
	if (g_hash_table_contains(lab.done, task)) {
		lab.starts_after_done++;
		lab_record("run %s/%u starts, though an end `done` was taken note of", task,
			   attempt);
	}
	lab.n_starts++;
	for (unsigned int i = 0; i < lab.settings.executors; i++)
		for (guint k = 0; k < lab.executors[i].running->len; k++) {
			const struct attempt *b = lab.executors[i].running->pdata[k];

			if (b == a || strcmp(b->task, task) != 0)
				continue;
			lab.overlaps++;
			lab_record("run %s/%u still runs on %s, which is up", task, b->attempt,
				   lab.executors[i].id);
		}
	lab_record("run %s/%u starts on %s", task, attempt, e->id);
	return NULL;
}

static const char *stop_run(struct lab_executor *e, JsonObject *o)
{
	const char *task = json_object_get_string_member_with_default(o, "task", "");
	unsigned int attempt = (unsigned int)json_object_get_int_member(o, "attempt");
	const char *refusal = take_token(e, o);

	if (refusal)
		return refusal;
	note_last(e, task, attempt);
	for (guint i = e->running->len; i > 0; i--) {
		const struct attempt *a = e->running->pdata[i - 1];

		if (g_str_equal(a->task, task) && a->attempt <= attempt)
			end_attempt(e, i - 1, "stopped");
	}
	return NULL;
}

static void hold(struct lab_executor *e, JsonObject *o, struct http_request *req)
{
	int64_t through = json_object_get_int_member_with_default(o, "ackThrough", 0);
	int64_t wait = json_object_get_int_member_with_default(o, "waitMs", 0);
	struct waiting w = {req, clock_monotonic() + wait};

	take_lease(e, o);
	while (e->ended->len && ((struct end *)e->ended->pdata[0])->number <= through) {
		const struct end *row = e->ended->pdata[0];

		if (g_str_equal(row->how, "done")) {
			g_hash_table_add(lab.done, g_strdup(row->task));
			lab_record("end of run %s/%u is taken note of", row->task, row->attempt);
		}
		g_ptr_array_remove_index(e->ended, 0);
	}
	if (e->ended->len || !wait)
		reply_lists(e, req);
	else
		g_array_append_val(e->waiting, w);
}

/// Holds up a start if the case asks for it.
///
/// @return whether it is held up; it gets no answer
static bool hold_up(struct lab_executor *e, struct http_request *req, const char *body,
		    JsonObject *o)
{
	const struct waiting w = {req, CLOCK_NEVER};

	if (!lab.held_task || lab.held_at || !g_str_equal(http_target(req), "/api/run-start") ||
	    strcmp(json_object_get_string_member_with_default(o, "task", ""), lab.held_task) != 0)
		return false;
	lab.held_at = e;
	lab.held_id = g_strdup(e->id);
	lab.held_body = g_strdup(body);
	lab.held_until = clock_monotonic() + lab.held_ms;
	g_array_append_val(e->waiting, w);
	lab_record("start of %s to %s is held up on its way", lab.held_task, e->id);
	return true;
}

/// Delivers the start that was held up, to whoever is there now.
static void deliver_held_start(clock_ms_t now)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	struct lab_executor *e = lab.held_at;
	const char *refusal;

	if (!lab.held_body || now < lab.held_until || !e->up)
		return;
	json_parser_load_from_data(parser, lab.held_body, -1, NULL);
	refusal = strcmp(lab.held_id, e->id) != 0
			  ? "another incarnation"
			  : start_run(e, json_node_get_object(json_parser_get_root(parser)));
	lab_record("the start that was held up arrives at %s: %s", e->id,
		   refusal ? refusal : "accepted");
	g_clear_pointer(&lab.held_body, g_free);
}

static void on_executor_request(void *ctx, struct http_request *req)
{
	struct lab_executor *e = ctx;
	const char *expected = http_header(req, "Sesamewood-Expect-Instance");
	g_autofree char *body = http_body_text(req);
	g_autofree char *text = NULL;
	g_autoptr(JsonParser) parser = json_parser_new();
	const char *path = http_target(req);
	const char *refusal = NULL;
	JsonObject *o;

	lab.n_orders++;
	if (e->deaf) { /* no answer; the connection ends with the executor */
		const struct waiting w = {req, CLOCK_NEVER};

		g_array_append_val(e->waiting, w);
		return;
	}
	if (expected && strcmp(expected, e->id) != 0) {
		reply_json(req, 421, "{}");
		return;
	}
	if (!body || !json_parser_load_from_data(parser, body, -1, NULL) ||
	    !JSON_NODE_HOLDS_OBJECT(json_parser_get_root(parser))) {
		reply_json(req, 400, "{}");
		return;
	}
	o = json_node_get_object(json_parser_get_root(parser));
	if (hold_up(e, req, body, o))
		return;
	if (g_str_equal(path, "/api/run-start")) {
		refusal = start_run(e, o);
	} else if (g_str_equal(path, "/api/run-stop")) {
		refusal = stop_run(e, o);
	} else if (g_str_equal(path, "/api/hold")) {
		refusal = take_token(e, o);
		if (!refusal) {
			hold(e, o, req);
			return;
		}
	} else {
		refusal = take_token(e, o);
	}
	text = refusal ? g_strdup_printf("{\"clockMs\":%" PRId64 ",\"reason\":\"%s\"}",
					 executor_clock(e), refusal)
		       : g_strdup_printf("{\"clockMs\":%" PRId64 "}", executor_clock(e));
	reply_json(req, refusal ? 409 : 200, text);
}

static void on_ignored(void *ctx, const struct http_async_result *r)
{
	(void)ctx;
	(void)r;
}

/// Sends a heartbeat with the address of an executor.
static void post_heartbeat(const struct lab_executor *e, const char *id, const char *service,
			   int64_t born, int64_t sequence)
{
	g_autofree char *path = g_strdup_printf("/api/executors/%s/heartbeat", id);
	g_autofree char *address = g_strdup_printf(
		"%s.%u:%d", lab.network, 1 + lab.turn++ % lab.settings.controls, CONTROL_PORT);
	g_autofree char *body = g_strdup_printf(
		"{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,"
		"\"memMb\":%d,\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],\"hostMachine\":\"m-%02x\","
		"\"clockMs\":%" PRId64 ",\"born\":%" PRId64 ",\"sequence\":%" PRId64 "}",
		service, e->address, EXECUTOR_CPU, EXECUTOR_MEM, e->index / 4, e->index,
		executor_clock(e), born, sequence);
	const struct http_async_request request = {
		.address = address,
		.path = path,
		.body = body,
		.len = strlen(body),
		.timeout_ms = 1000,
	};

	http_async_client_send(lab.client, &request, on_ignored, NULL);
}

void lab_foreign_heartbeat(const struct lab_executor *e, const char *service)
{
	lab_record("another writer sends a heartbeat of service %s with the address of %s", service,
		   e->id);
	post_heartbeat(e, "x-0001", service, clock_wall(), 1);
}

static void send_heartbeat(struct lab_executor *e)
{
	post_heartbeat(e, e->id, "pool", e->born, ++e->sequence);
}

static void heal(struct lab_executor *e);

static void serve_executor(struct lab_executor *e, clock_ms_t now)
{
	if (!e->up) {
		if (e->back_at && now >= e->back_at) {
			begin_life(e);
			lab_record("executor %s is up", e->id);
		}
		return;
	}
	if (e->heals_at && now >= e->heals_at)
		heal(e);
	if (now >= e->heartbeat_at && !e->deaf) {
		e->heartbeat_at = now + HEARTBEAT_MS;
		send_heartbeat(e);
	}
	for (guint i = e->running->len; i > 0; i--) {
		const struct attempt *a = e->running->pdata[i - 1];

		if (executor_clock(e) > e->until)
			end_attempt(e, i - 1, "lapsed");
		else if (a->work_ms && now - a->started_at >= a->work_ms)
			end_attempt(e, i - 1, "done");
	}
	for (guint i = e->waiting->len; i > 0; i--) {
		const struct waiting w = g_array_index(e->waiting, struct waiting, i - 1);

		if (e->deaf || (now < w.until && !e->ended->len))
			continue;
		g_array_remove_index_fast(e->waiting, i - 1);
		reply_lists(e, w.req);
	}
}

void lab_executor_crash_and_keep_id(struct lab_executor *e, clock_ms_t down_ms)
{
	e->keeps_id = true;
	lab_executor_crash(e, down_ms);
}

void lab_hold_up_start(const char *task, clock_ms_t ms)
{
	lab.held_task = g_strdup(task);
	lab.held_ms = ms;
}

struct lab_executor *lab_held_up_at(void)
{
	return lab.held_at;
}

unsigned int lab_starts_after_done(void)
{
	return lab.starts_after_done;
}

void lab_executor_cut(struct lab_executor *e, clock_ms_t ms)
{
	lab_record("executor %s is cut off", e->id);
	e->deaf = true;
	e->heals_at = clock_monotonic() + ms;
}

/// Ends a cut: what was on its way is lost with its connection.
static void heal(struct lab_executor *e)
{
	static const struct http_handlers handlers = {.on_request = on_executor_request};
	const struct http_limits limits = {.head_bytes = 32768,
					   .body_bytes = 262144,
					   .connections = 256,
					   .idle_timeout_s = 60};

	for (guint i = 0; i < e->waiting->len; i++)
		http_reply(g_array_index(e->waiting, struct waiting, i).req, 503, NULL, "", 0);
	g_array_set_size(e->waiting, 0);
	http_server_free(e->server);
	e->server = http_server_new(lab.loop, e->address, &limits, &handlers, e);
	if (!e->server)
		lab_give_up("an executor cannot listen");
	e->deaf = false;
	e->heals_at = e->heartbeat_at = 0;
	lab_record("executor %s is in touch again", e->id);
}

struct lab_executor *lab_executor(unsigned int index)
{
	return &lab.executors[index];
}

unsigned int lab_runs_on(const struct lab_executor *e)
{
	return e->running->len;
}

struct lab_executor *lab_executor_running(const char *task)
{
	for (unsigned int i = 0; i < lab.settings.executors; i++)
		for (guint k = 0; k < lab.executors[i].running->len; k++)
			if (g_str_equal(
				    ((struct attempt *)lab.executors[i].running->pdata[k])->task,
				    task))
				return &lab.executors[i];
	return NULL;
}

unsigned int lab_count_ends(const char *task, const char *how)
{
	g_autofree char *key = g_strdup_printf("%s %s", task, how);

	return GPOINTER_TO_UINT(g_hash_table_lookup(lab.ends, key));
}

unsigned int lab_starts(void)
{
	return lab.n_starts;
}

void lab_know_job(const char *id, const struct lab_step *steps)
{
	g_hash_table_replace(lab.jobs, g_strdup(id), (gpointer)steps);
}

unsigned int lab_orders(void)
{
	return lab.n_orders;
}

unsigned int lab_overlaps(void)
{
	return lab.overlaps;
}

unsigned int lab_executors_up(void)
{
	unsigned int n = 0;

	for (unsigned int i = 0; i < lab.settings.executors; i++)
		n += lab.executors[i].up;
	return n;
}

/* Machine service: lists the machines; none needs a move. */

static void on_machines(void *ctx, struct http_request *req)
{
	g_autoptr(GString) s = g_string_new("{\"machines\":[");

	(void)ctx;
	if (!g_str_has_prefix(http_target(req), "/api/machines")) {
		reply_json(req, 409, "{\"reason\":\"busy\"}");
		return;
	}
	for (unsigned int i = 0; i < lab.settings.executors && lab.executors[i].id; i++)
		g_string_append_printf(
			s,
			"%s{\"hostMachine\":\"m-%02x\",\"pool\":\"pool\",\"state\":\"up\",\"zone\":"
			"\"z1\",\"labels\":[\"a\",\"r1-%u\"],\"capacity\":{\"cpu\":%d,\"memMb\":%d,"
			"\"gpu\":0},\"id\":\"%s\"}",
			i ? "," : "", i, i / 4, EXECUTOR_CPU, EXECUTOR_MEM, lab.executors[i].id);
	g_string_append(s, "],\"nextToken\":null}");
	reply_json(req, 200, s->str);
}

/* Advice: one call at a time, in turn. A job may run on two of the executors. */

struct advice_call {
	struct http_request *req;
	char *body;
};

static bool is_advised(const char *phase, unsigned int index)
{
	unsigned int job = (unsigned int)g_ascii_strtoull(phase, NULL, 16);

	return index == job * 7 % lab.advised_of || index == (job * 11 + 5) % lab.advised_of;
}

static char *ticket_of(const struct lab_executor *e, const char *phase)
{
	return g_strdup_printf("t-%s-%s", phase, e->id);
}

static void answer_advice(struct advice_call *call)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autoptr(GString) s = g_string_new("{\"good\":[");
	unsigned int good = 0;
	JsonArray *workers;
	const char *phase;
	JsonObject *o;

	json_parser_load_from_data(parser, call->body, -1, NULL);
	o = json_node_get_object(json_parser_get_root(parser));
	phase = json_object_get_string_member(o, "phase");
	workers = json_object_get_array_member(o, "workers");
	for (guint i = 0; i < json_array_get_length(workers); i++)
		for (unsigned int k = 0; k < lab.settings.executors; k++) {
			const struct lab_executor *e = &lab.executors[k];
			g_autofree char *ticket = NULL;

			if (!e->up || strcmp(e->id, json_array_get_string_element(workers, i)) ||
			    !is_advised(phase, k))
				continue;
			ticket = ticket_of(e, phase);
			g_string_append_printf(s, "%s[\"%s\",\"%s\"]", good++ ? "," : "", e->id,
					       ticket);
		}
	g_string_append_printf(s, "],\"validMs\":%d}", LAB_ADVICE_VALID_MS);
	reply_json(call->req, 200, s->str);
	lab_record("advice for %s: %u workers named, %u may run it", phase,
		   json_array_get_length(workers), good);
	g_free(call->body);
	g_free(call);
}

static void serve_advice(clock_ms_t now)
{
	if (now < lab.advice_at || g_queue_is_empty(&lab.advice_calls))
		return;
	answer_advice(g_queue_pop_head(&lab.advice_calls));
	lab.advice_at = now + LAB_ADVICE_DECIDE_MS;
}

static void on_advice(void *ctx, struct http_request *req)
{
	struct advice_call *call = g_new0(struct advice_call, 1);

	(void)ctx;
	*call = (struct advice_call){req, http_body_text(req)};
	if (g_queue_is_empty(&lab.advice_calls))
		lab.advice_at = MAX(lab.advice_at, clock_monotonic() + LAB_ADVICE_DECIDE_MS);
	g_queue_push_tail(&lab.advice_calls, call);
}

/* Calls. */

static void on_answer(void *ctx, const struct http_async_result *r)
{
	struct call *c = ctx;

	c->answer->status = r->status;
	c->answer->body = r->status ? g_strndup(r->body ? r->body : "", r->len) : g_strdup("");
	c->done = true;
}

static bool is_done(void *ctx)
{
	return ((struct call *)ctx)->done;
}

static struct lab_answer call_and_wait(const char *address, const char *path, const char *body,
				       uint32_t timeout_ms)
{
	static const char *const headers[] = {"Host: " LAB_HOST, NULL};
	const struct http_async_request request = {
		.address = address,
		.path = path,
		.get = !body,
		.headers = headers,
		.body = body ? body : "",
		.len = body ? strlen(body) : 0,
		.timeout_ms = timeout_ms,
	};
	struct lab_answer answer = {0};
	struct call c = {&answer, false};

	http_async_client_send(lab.client, &request, on_answer, &c);
	if (!lab_wait(is_done, &c, timeout_ms + 5000))
		lab_give_up("a call does not end");
	return answer;
}

static char *front_address(void)
{
	return g_strdup_printf("%s.%u:%d", lab.network, 11 + lab.turn++ % lab.settings.entries,
			       FRONT_PORT);
}

struct lab_answer lab_client(const char *path, const char *body)
{
	g_autofree char *address = front_address();

	return call_and_wait(address, path, body, CLIENT_MS);
}

struct lab_answer lab_operator(unsigned int control, const char *path, const char *body)
{
	g_autofree char *address =
		g_strdup_printf("%s.%u:%d", lab.network, 1 + control, CONTROL_PORT);

	return call_and_wait(address, path, body, OPERATOR_MS);
}

void lab_answer_clear(struct lab_answer *a)
{
	g_clear_pointer(&a->body, g_free);
}

unsigned int lab_operator_until_clear(const char *path, const char *body, clock_ms_t timeout_ms)
{
	clock_ms_t end = clock_monotonic() + timeout_ms;

	while (clock_monotonic() < end) {
		struct lab_answer a = lab_operator(lab.turn++ % lab.settings.controls, path, body);

		lab_answer_clear(&a);
		if (a.status && a.status < 500 && a.status != 408 && a.status != 429)
			return a.status;
		lab_run(200);
	}
	return 0;
}

static void send_background(struct background *b);

static void on_background(void *ctx, const struct http_async_result *r)
{
	struct background *b = ctx;

	if (r->status / 100 != 2) {
		send_background(b);
		return;
	}
	++*b->done;
	g_free(b->path);
	g_free(b->body);
	g_free(b);
}

static void send_background(struct background *b)
{
	static const char *const headers[] = {"Host: " LAB_HOST, NULL};
	g_autofree char *address = front_address();
	const struct http_async_request request = {
		.address = address,
		.path = b->path,
		.headers = headers,
		.body = b->body,
		.len = strlen(b->body),
		.timeout_ms = CLIENT_MS,
	};

	http_async_client_send(lab.client, &request, on_background, b);
}

void lab_submit_in_background(const char *path, const char *body, unsigned int *done)
{
	struct background *b = g_new0(struct background, 1);

	*b = (struct background){g_strdup(path), g_strdup(body), done};
	send_background(b);
}

static char *first_config(void)
{
	g_autofree char *advice =
		lab.settings.advice ? g_strdup_printf(",\"advice\":{\"decideMs\":%d,"
						      "\"eachMs\":0,\"validMs\":%d}",
						      LAB_ADVICE_DECIDE_MS, LAB_ADVICE_VALID_MS)
				    : g_strdup("");

	return g_strdup_printf(
		"{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"" LAB_HOST
		"\",\"pathPrefix\":\"" LAB_PREFIX
		"\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,"
		"\"targetDurationMs\":600,\"priority\":0,\"backend\":\"pool\",\"maxAttempts\":2,"
		"\"stretch\":1.6%s}],\"services\":[{\"name\":\"pool\",\"healthPath\":\"/health\","
		"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionControl\":false,"
		"\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		advice);
}

/* The loop. */

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	clock_ms_t now = clock_monotonic();

	(void)loop;
	(void)w;
	(void)revents;
	if (now - lab.opened_at > RUN_MAX_MS)
		lab_give_up("the case takes too long");
	watch_processes(now);
	serve_advice(now);
	deliver_held_start(now);
	for (unsigned int i = 0; i < lab.settings.executors; i++)
		serve_executor(&lab.executors[i], now);
}

void lab_run(clock_ms_t ms)
{
	clock_ms_t end = clock_monotonic() + ms;

	while (clock_monotonic() < end)
		ev_run(lab.loop, EVRUN_ONCE);
}

bool lab_wait(bool (*condition)(void *ctx), void *ctx, clock_ms_t timeout_ms)
{
	clock_ms_t end = clock_monotonic() + timeout_ms;

	while (!condition(ctx)) {
		if (clock_monotonic() >= end)
			return false;
		ev_run(lab.loop, EVRUN_ONCE);
	}
	return true;
}

static void end_all(void)
{
	g_autofree char *command = NULL;

	for (unsigned int i = 0; i < lab.n_processes; i++)
		kill_process(&lab.processes[i]);
	if (!lab.work || g_getenv("KEEP"))
		return;
	command = g_strdup_printf("rm -rf '%s'", lab.work);
	if (system(command) != 0)
		fprintf(stderr, "cannot remove %s\n", lab.work);
}

void lab_give_up(const char *why)
{
	lab_record("could not run: %s", why);
	end_all();
	exit(LAB_EXIT_COULD_NOT_RUN);
}

int lab_close(bool broken, const char *why)
{
	lab_record("%s: %s", broken ? "the rule is broken" : "the rule held", why);
	printf("%s: %s\n", broken ? "broken" : "held", why);
	end_all();
	fclose(lab.record);
	return broken ? LAB_EXIT_BROKEN : LAB_EXIT_HELD;
}

static void add_process(unsigned int i)
{
	struct process *p = &lab.processes[i];

	p->control = i < lab.settings.controls;
	p->name = p->control ? g_strdup_printf("core-%u", i + 1)
			     : g_strdup_printf("edge-%u", i + 1 - lab.settings.controls);
	p->ip = g_strdup_printf("%s.%u", lab.network,
				p->control ? i + 1 : i + 11 - lab.settings.controls);
	p->data = g_strdup_printf("%s/%s", lab.work, p->name);
	start_process(p, true);
}

static void add_executor(unsigned int i)
{
	struct lab_executor *e = &lab.executors[i];

	e->index = i;
	e->address = g_strdup_printf("%s.%u:%d", lab.network, 100 + i, EXECUTOR_PORT);
	e->running = g_ptr_array_new_with_free_func(attempt_free);
	e->ended = g_ptr_array_new_with_free_func(end_free);
	e->waiting = g_array_new(FALSE, FALSE, sizeof(struct waiting));
	e->last = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (i < lab.settings.executors - lab.settings.executors_added)
		begin_life(e);
}

void lab_add_executors(void)
{
	for (unsigned int i = 0; i < lab.settings.executors; i++)
		if (!lab.executors[i].id) {
			begin_life(&lab.executors[i]);
			lab_record("executor %s is added", lab.executors[i].id);
		}
}

void lab_open(const struct lab_settings *settings)
{
	static const struct http_handlers machines = {.on_request = on_machines};
	static const struct http_handlers advice = {.on_request = on_advice};
	const struct http_limits limits = {.head_bytes = 32768,
					   .body_bytes = 262144,
					   .connections = 256,
					   .idle_timeout_s = 60};
	g_autofree char *path = g_build_filename(settings->folder, "record.txt", NULL);
	g_autofree char *address = NULL;
	g_autofree char *config = NULL;

	signal(SIGPIPE, SIG_IGN);
	lab.settings = *settings;
	config = first_config();
	lab.opened_at = clock_monotonic();
	lab.record = fopen(path, "w");
	if (!lab.record)
		exit(LAB_EXIT_COULD_NOT_RUN);
	lab.loop = ev_default_loop(0);
	signal(SIGCHLD, SIG_DFL); /* the loop would wait for the processes itself */
	lab.jobs = g_hash_table_new(g_str_hash, g_str_equal);
	lab.ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lab.done = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	lab.work = g_dir_make_tmp("sesamewood-review-XXXXXX", NULL);
	lab.network = g_strdup_printf("127.%d.%d", 64 + getpid() / 250 % 128, 1 + getpid() % 250);
	lab.client = http_async_client_new(lab.loop, 64);
	lab_record("trouble: %s", lab_trouble() ? "yes" : "no");
	address = g_strdup_printf("%s.99:%d", lab.network, MACHINES_PORT);
	if (!http_server_new(lab.loop, address, &limits, &machines, NULL))
		lab_give_up("cannot listen");
	g_queue_init(&lab.advice_calls);
	if (settings->advice) {
		g_autofree char *advisor = g_strdup_printf("%s.98:%d", lab.network, MACHINES_PORT);

		lab.advised_of = lab_trouble() ? settings->executors
					       : settings->executors - settings->executors_added;
		if (!http_server_new(lab.loop, advisor, &limits, &advice, NULL))
			lab_give_up("cannot listen");
	}
	for (unsigned int i = 0; i < settings->executors; i++)
		add_executor(i);
	lab.n_processes = settings->controls + settings->entries;
	for (unsigned int i = 0; i < lab.n_processes; i++)
		add_process(i);
	ev_timer_init(&lab.tick, on_tick, TICK_S, TICK_S);
	ev_timer_start(lab.loop, &lab.tick);
	if (lab_operator_until_clear("/api/config/replace", config, 15000) != 200)
		lab_give_up("the first configuration is not acknowledged");
	lab_record("configuration 1 is acknowledged");
	lab_run(4000); /* all executors have sent heartbeats */
}
