#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define HTTP_HEAD_MAX 16384
#define TICK_MS 5
#define RESTART_MS 300 /* from the end of a process to its next start */
#define CONTROL_PORT 8623
#define FRONT_PORT 8624
#define READY_PORT 8622
#define EXECUTOR_PORT 8080
#define CLOUD_PORT 8621 /* of the machine service and the advisor */
#define DECIDE_MS 20
#define EACH_MS 2
#define TICKET_MS 3000
#define ALLOWED 2    /* executors that may run a step */
#define LATE_MS 6000 /* a start without an answer is executed after this time */
#define POOL "troquel"
#define HOST "pule25.example"
#define PREFIX "/puxa400/"

struct world world;

/// A run at an executor.
struct run {
	char *task;
	guint attempt;
	char *checkpoint; ///< that it was started with
	char *spec;
	gint64 started_ms;
	gint64 worked_ms; ///< work done, that of earlier runs included
	gint64 ticked_ms;
	char *saved;
};

struct executor {
	guint number;
	guint life;
	char *id;
	char ip[32];
	gint64 born;
	gint64 clock_from_ms;
	gint64 sequence;
	gint64 fence;
	gint64 lease_until;
	gint64 last_end;
	enum executor_mode mode;
	guint cuts;	     ///< counts the changes of its mode
	GPtrArray *runs;     ///< of struct run
	GPtrArray *ended;    ///< of struct ended_run, not acknowledged; borrowed
	GHashTable *highest; ///< highest run that ended or was stopped, by task
	int heartbeat_to;
};

struct process {
	char name[32];
	char ip[32];
	char *program;
	char *conf;
	bool is_control;
	pid_t pid;
	gint64 start_at;
	guint starts;
	guint ends; ///< by itself
};

static struct process processes[WORLD_CONTROLS + 1];
static FILE *record_file;
static gint64 began_ms;

gint64 now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

void sleep_ms(guint ms)
{
	g_usleep((gulong)ms * 1000);
}

void record(const char *format, ...)
{
	static GMutex lock;
	va_list args;

	g_mutex_lock(&lock);
	if (record_file) {
		va_start(args, format);
		fprintf(record_file, "%8" G_GINT64_FORMAT " ", now_ms() - began_ms);
		vfprintf(record_file, format, args);
		fputc('\n', record_file);
		fflush(record_file);
		va_end(args);
	}
	g_mutex_unlock(&lock);
}

/* HTTP. */

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/// Reads one message with a Content-Length.
///
/// @param[in,out] buffer  bytes that arrived after the previous message
/// @return its head, or NULL; the body stands in @p body
static char *read_message(int fd, GString *buffer, char **body)
{
	char chunk[8192];
	char *end;
	char *head;
	char *length;
	size_t len;

	while (!(end = strstr(buffer->str, "\r\n\r\n"))) {
		ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

		if (n <= 0 || buffer->len > HTTP_HEAD_MAX)
			return NULL;
		g_string_append_len(buffer, chunk, n);
	}
	len = (size_t)(end + 4 - buffer->str);
	head = g_strndup(buffer->str, len);
	g_string_erase(buffer, 0, (gssize)len);
	length = strcasestr(head, "\r\nContent-Length:");
	len = length ? strtoul(length + 17, NULL, 10) : 0;
	while (buffer->len < len) {
		ssize_t n = recv(fd, chunk, sizeof(chunk), 0);

		if (n <= 0) {
			g_free(head);
			return NULL;
		}
		g_string_append_len(buffer, chunk, n);
	}
	*body = g_strndup(buffer->str, len);
	g_string_erase(buffer, 0, (gssize)len);
	return head;
}

static struct sockaddr_in address_of(const char *ip, guint port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons((guint16)port)};

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

/// Calls a server on a connection of its own.
///
/// @return status, or 0 without a complete answer
static guint http_call(const char *ip, guint port, const char *method, const char *path,
		       const char *host, const char *text, guint timeout_ms, char **answer)
{
	struct sockaddr_in a = address_of(ip, port);
	struct timeval timeout = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_autofree char *request =
		g_strdup_printf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
				"Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
				method, path, host, strlen(text), text);
	g_autoptr(GString) buffer = g_string_new(NULL);
	g_autofree char *head = NULL;
	g_autofree char *body = NULL;
	guint status = 0;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
	    send_all(fd, request, strlen(request)))
		head = read_message(fd, buffer, &body);
	close(fd);
	if (head)
		sscanf(head, "HTTP/1.%*c %u", &status);
	if (answer)
		*answer = g_steal_pointer(&body);
	return status;
}

/* Executors. The functions of this part are called with the lock held. */

static gint64 clock_of(const struct executor *e)
{
	return now_ms() - e->clock_from_ms;
}

/// Returns the number after a word such as "ms=" in the text of a job, or 0.
static gint64 spec_number(const char *spec, const char *word)
{
	const char *at = strstr(spec, word);

	return at ? g_ascii_strtoll(at + strlen(word), NULL, 10) : 0;
}

static gint64 work_of_checkpoint(const char *checkpoint)
{
	char text[9] = {0};

	memcpy(text, checkpoint, MIN(strlen(checkpoint), 8));
	return g_ascii_strtoll(text, NULL, 16);
}

/// Returns the length of the step's name in a task's name: without the index.
static size_t step_length(const char *task)
{
	return (size_t)(strrchr(task, '.') - task);
}

static void run_free(struct run *r)
{
	g_free(r->task);
	g_free(r->checkpoint);
	g_free(r->spec);
	g_free(r->saved);
	g_free(r);
}

/// Members of the gang of a run that are present: same step, same run, same checkpoint.
static GPtrArray *list_gang(const struct run *of, GPtrArray *at)
{
	GPtrArray *out = g_ptr_array_new();
	size_t len = step_length(of->task);

	for (guint i = 0; i < world.executors->len; i++) {
		struct executor *e = world.executors->pdata[i];

		for (guint k = 0; k < e->runs->len; k++) {
			struct run *r = e->runs->pdata[k];

			if (r->attempt != of->attempt || step_length(r->task) != len ||
			    strncmp(r->task, of->task, len) != 0 ||
			    !g_str_equal(r->checkpoint, of->checkpoint))
				continue;
			g_ptr_array_add(out, r);
			if (at)
				g_ptr_array_add(at, e);
		}
	}
	return out;
}

static void set_highest(struct executor *e, const char *task, guint attempt)
{
	guint before = GPOINTER_TO_UINT(g_hash_table_lookup(e->highest, task));

	g_hash_table_replace(e->highest, g_strdup(task), GUINT_TO_POINTER(MAX(before, attempt)));
}

/// Ends a run and lists its end.
static void end_run(struct executor *e, struct run *r, const char *how)
{
	struct ended_run *end = g_new0(struct ended_run, 1);

	*end = (struct ended_run){
		.number = ++e->last_end,
		.task = g_strdup(r->task),
		.attempt = r->attempt,
		.how = how,
		.saved = g_strdup(r->saved),
		.at_ms = now_ms(),
		.executor = e,
	};
	record("end %s run %u at %s: %s saved \"%s\"", r->task, r->attempt, e->id, how, r->saved);
	g_ptr_array_add(e->ended, end);
	g_ptr_array_add(world.ends, end);
	set_highest(e, r->task, r->attempt);
	g_ptr_array_remove_fast(e->runs, r);
	run_free(r);
	g_cond_broadcast(&world.changed);
}

/// Ends what is left of a gang of which a member has ended.
static void break_gang(const struct run *of, const char *how)
{
	g_autoptr(GPtrArray) at = g_ptr_array_new();
	g_autoptr(GPtrArray) members = NULL;

	if (!spec_number(of->spec, "gang="))
		return;
	members = list_gang(of, at);
	for (guint i = 0; i < members->len; i++)
		if (members->pdata[i] != of)
			end_run(at->pdata[i], members->pdata[i], how);
}

/// Lets a run work for the time since the last tick.
static void work(struct run *r, gint64 now)
{
	gint64 save = spec_number(r->spec, "save=");
	gint64 before = save ? r->worked_ms / save : 0;

	r->worked_ms += now - r->ticked_ms;
	if (!save || r->worked_ms / save == before)
		return;
	g_free(r->saved);
	r->saved = g_strdup_printf("%08x%08x", (guint)(r->worked_ms / save * save),
				   g_str_hash(r->spec));
}

/// @return true if the run has ended
static bool tick_run(struct executor *e, struct run *r, gint64 now)
{
	gint64 gang = spec_number(r->spec, "gang=");
	gint64 ms = spec_number(r->spec, "ms=");

	if (clock_of(e) > e->lease_until) {
		break_gang(r, "broken");
		end_run(e, r, "lapsed");
		return true;
	}
	if (gang) {
		g_autoptr(GPtrArray) members = list_gang(r, NULL);

		if (members->len < gang) {
			r->ticked_ms = now;
			if (now - r->started_ms < WORLD_GANG_MS)
				return false;
			end_run(e, r, "alone");
			return true;
		}
	}
	work(r, now);
	r->ticked_ms = now;
	if (r->worked_ms < ms)
		return false;
	break_gang(r, "done");
	end_run(e, r, "done");
	return true;
}

static void tick_executors(void)
{
	gint64 now = now_ms();

	for (guint i = 0; i < world.executors->len; i++) {
		struct executor *e = world.executors->pdata[i];

		for (guint k = 0; k < e->runs->len; k++)
			if (tick_run(e, e->runs->pdata[k], now))
				k = (guint)-1; /* others may have ended with it */
	}
}

static void begin_life(struct executor *e)
{
	e->life++;
	if (!e->id || !world.keeps_ids) {
		g_free(e->id);
		e->id = g_strdup_printf("i-%04u-%u", e->number, e->life);
	}
	e->born = MAX(g_get_real_time() / 1000, e->born + 1);
	e->clock_from_ms = now_ms() - 1000 * (gint64)e->number;
	e->sequence = 0;
	e->fence = 0;
	e->lease_until = 0;
	e->last_end = 0;
	g_ptr_array_set_size(e->ended, 0);
	g_hash_table_remove_all(e->highest);
}

static const char *add_run(struct executor *e, JsonObject *o)
{
	const char *task = json_object_get_string_member(o, "task");
	guint attempt = (guint)json_object_get_int_member(o, "attempt");
	const char *checkpoint = json_object_get_string_member_with_default(o, "checkpointAt", "");
	gint64 until = json_object_get_int_member(o, "untilMs");
	struct run *r;

	if (until <= clock_of(e))
		return "late";
	e->lease_until = MAX(e->lease_until, MIN(until, clock_of(e) + WORLD_HOLD_MAX_MS));
	for (guint i = 0; i < e->runs->len; i++) {
		r = e->runs->pdata[i];
		if (g_str_equal(r->task, task))
			return r->attempt == attempt ? NULL : "old";
	}
	if (attempt <= GPOINTER_TO_UINT(g_hash_table_lookup(e->highest, task)))
		return "old";
	r = g_new0(struct run, 1);
	*r = (struct run){
		.task = g_strdup(task),
		.attempt = attempt,
		.checkpoint = g_strdup(checkpoint),
		.spec = g_strdup(json_object_get_string_member(o, "spec")),
		.started_ms = now_ms(),
		.ticked_ms = now_ms(),
		.worked_ms = work_of_checkpoint(checkpoint),
		.saved = g_strdup(checkpoint),
	};
	g_ptr_array_add(e->runs, r);
	world.starts++;
	record("run %s run %u begins at %s from \"%s\"", task, attempt, e->id, checkpoint);
	return NULL;
}

static void stop_run(struct executor *e, JsonObject *o)
{
	const char *task = json_object_get_string_member(o, "task");
	guint attempt = (guint)json_object_get_int_member(o, "attempt");

	set_highest(e, task, attempt);
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];

		if (!g_str_equal(r->task, task) || r->attempt > attempt)
			continue;
		break_gang(r, "broken");
		end_run(e, r, "stopped");
		return;
	}
}

static void acknowledge(struct executor *e, gint64 through)
{
	while (e->ended->len && ((struct ended_run *)e->ended->pdata[0])->number <= through) {
		struct ended_run *end = e->ended->pdata[0];

		end->acked_ms = now_ms();
		record("acknowledged: %s run %u at %s", end->task, end->attempt, e->id);
		g_ptr_array_remove_index(e->ended, 0);
	}
}

static char *format_lists(const struct executor *e)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
			"{\"clockMs\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
			",\"running\":[",
			clock_of(e), e->born);
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];
		gint64 ms = MAX(spec_number(r->spec, "ms="), 1);

		g_string_append_printf(out, "%s[\"%s\",%u,\"%s\",%d,%d]", i ? "," : "", r->task,
				       r->attempt, r->saved, (int)MIN(r->worked_ms * 100 / ms, 100),
				       100);
	}
	g_string_append(out, "],\"endedRuns\":[");
	for (guint i = 0; i < e->ended->len && i < 500; i++) {
		const struct ended_run *end = e->ended->pdata[i];

		g_string_append_printf(out, "%s[%" G_GINT64_FORMAT ",\"%s\",%u,\"%s\",\"%s\"]",
				       i ? "," : "", end->number, end->task, end->attempt, end->how,
				       end->saved);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

/// Tells whether the policy of the queue allows a step at an executor: at ALLOWED of them, drawn by
/// the name of the step among those that were there when it was first asked for.
static bool policy_allows(const char *phase, const struct executor *e)
{
	static GHashTable *drawn; /* seed and number of executors by step */
	guint *draw;

	if (!drawn)
		drawn = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	draw = g_hash_table_lookup(drawn, phase);
	if (!draw) {
		draw = g_new(guint, ALLOWED);
		for (guint i = 0; i < ALLOWED; i++)
			draw[i] = (guint)g_random_int_range(1, (gint)world.executors->len + 1);
		g_hash_table_insert(drawn, g_strdup(phase), draw);
		record("the policy allows %s at executors %u and %u", phase, draw[0], draw[1]);
	}
	for (guint i = 0; i < ALLOWED; i++)
		if (draw[i] == e->number)
			return true;
	return false;
}

/// Returns the ticket for a step at an executor in its present life.
static char *ticket_of(const char *phase, const struct executor *e, gint64 at_ms)
{
	return g_strdup_printf("%s|%s|%u|%" G_GINT64_FORMAT, phase, e->id, e->life, at_ms);
}

/// Tells whether a start carries a valid ticket for its step.
static bool has_ticket(const struct executor *e, JsonObject *o)
{
	const char *ticket = json_object_get_string_member_with_default(o, "ticket", "");
	const char *task = json_object_get_string_member(o, "task");
	g_autofree char *phase = g_strndup(task, step_length(task));
	const char *at = strrchr(ticket, '|');
	gint64 at_ms = at ? g_ascii_strtoll(at + 1, NULL, 10) : 0;
	g_autofree char *valid = ticket_of(phase, e, at_ms);

	return g_str_equal(ticket, valid) && now_ms() - at_ms <= TICKET_MS;
}

/// Answers a request for advice.
static char *answer_advice(const char *body)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	GString *out = g_string_new("{\"good\":[");
	JsonArray *workers;
	const char *phase;
	JsonObject *o;
	bool first = true;

	json_parser_load_from_data(parser, body, -1, NULL);
	o = json_node_get_object(json_parser_get_root(parser));
	phase = json_object_get_string_member(o, "phase");
	workers = json_object_get_array_member(o, "workers");
	for (guint i = 0; i < json_array_get_length(workers); i++)
		for (guint k = 0; k < world.executors->len; k++) {
			const struct executor *e = world.executors->pdata[k];
			g_autofree char *ticket = NULL;

			if (!g_str_equal(e->id, json_array_get_string_element(workers, i)) ||
			    !policy_allows(phase, e))
				continue;
			ticket = ticket_of(phase, e, now_ms());
			g_string_append_printf(out, "%s[\"%s\",\"%s\"]", first ? "" : ",", e->id,
					       ticket);
			first = false;
		}
	g_string_append_printf(out, "],\"validMs\":%d}", TICKET_MS);
	record("advice asked for %s at %u executors: %s", phase, json_array_get_length(workers),
	       out->str);
	g_mutex_unlock(&world.lock);
	sleep_ms(DECIDE_MS + EACH_MS * json_array_get_length(workers));
	g_mutex_lock(&world.lock);
	return g_string_free(out, FALSE);
}

/// Executes an order.
///
/// @return reason to refuse it, or NULL
static const char *execute(struct executor *e, const char *path, JsonObject *o)
{
	gint64 fence = json_object_get_int_member_with_default(o, "fencingToken", 0);

	if (fence < e->fence)
		return "fence";
	e->fence = fence;
	if (g_str_equal(path, "/api/run-start"))
		return world.has_advice && !has_ticket(e, o) ? "ticket" : add_run(e, o);
	if (g_str_equal(path, "/api/run-stop")) {
		stop_run(e, o);
	} else if (g_str_equal(path, "/api/hold")) {
		gint64 until = json_object_get_int_member_with_default(o, "untilMs", 0);

		e->lease_until = MAX(e->lease_until, MIN(until, clock_of(e) + WORLD_HOLD_MAX_MS));
		acknowledge(e, json_object_get_int_member_with_default(o, "ackThrough", 0));
	}
	return NULL;
}

/// An order that is executed some seconds after it has arrived.
struct late_order {
	struct executor *executor;
	char *path;
	JsonNode *node;
	guint life;
};

static gpointer execute_late(gpointer p)
{
	struct late_order *l = p;
	const char *refusal = "gone";

	sleep_ms(LATE_MS);
	g_mutex_lock(&world.lock);
	if (l->executor->life == l->life && l->executor->mode != EXECUTOR_DOWN)
		refusal = execute(l->executor, l->path, json_node_get_object(l->node));
	record("late order at %s: %s %s", l->executor->id, l->path, refusal ? refusal : "executed");
	g_mutex_unlock(&world.lock);
	json_node_unref(l->node);
	g_free(l->path);
	g_free(l);
	return NULL;
}

/// Waits until an end is listed, or for as long as the order says.
static void wait_for_end(struct executor *e, JsonObject *o, guint cuts)
{
	gint64 wait_ms = json_object_get_int_member_with_default(o, "waitMs", 0);
	gint64 until = g_get_monotonic_time() + MIN(wait_ms, 2000) * 1000;

	while (!e->ended->len && e->cuts == cuts && !world.ended &&
	       g_cond_wait_until(&world.changed, &world.lock, until))
		;
}

/// Handles a request to an executor.
///
/// @param[out] status  0: no answer
/// @return body of the answer
static char *answer_order(struct executor *e, const char *head, const char *path, const char *body,
			  guint *status)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	g_autofree char *expected = g_strdup_printf("Sesamewood-Expect-Instance: %s\r\n", e->id);
	guint cuts = e->cuts;
	const char *refusal;
	JsonObject *o;

	*status = 0;
	if (e->mode != EXECUTOR_UP) {
		/* Bytes that arrive during a cut are lost. */
		while (e->mode == EXECUTOR_CUT && e->cuts == cuts && !world.ended)
			g_cond_wait(&world.changed, &world.lock);
		return NULL;
	}
	if (strstr(head, "Sesamewood-Expect-Instance:") && !strstr(head, expected)) {
		*status = 421;
		return g_strdup("{}");
	}
	if (!json_parser_load_from_data(parser, body, -1, NULL)) {
		*status = 400;
		return g_strdup("{}");
	}
	o = json_node_get_object(json_parser_get_root(parser));
	if (g_str_equal(path, "/api/run-start")) {
		const char *task = json_object_get_string_member(o, "task");
		guint attempt = (guint)json_object_get_int_member(o, "attempt");
		const char *from =
			json_object_get_string_member_with_default(o, "checkpointAt", "");
		enum start_fate fate =
			world.on_start ? world.on_start(e, task, attempt, from) : START_NORMAL;

		record("start %s run %u ordered at %s from \"%s\" token %" G_GINT64_FORMAT "%s",
		       task, attempt, e->id, from, json_object_get_int_member(o, "fencingToken"),
		       fate == START_NORMAL ? "" : ": no answer, executed late");
		if (fate == START_UNANSWERED) {
			struct late_order *l = g_new0(struct late_order, 1);

			*l = (struct late_order){e, g_strdup(path),
						 json_node_copy(json_parser_get_root(parser)),
						 e->life};
			g_thread_unref(g_thread_new("late", execute_late, l));
			while (e->cuts == cuts && !world.ended)
				g_cond_wait(&world.changed, &world.lock);
			return NULL;
		}
	}
	if (g_str_equal(path, "/api/run-stop"))
		record("stop %s run %" G_GINT64_FORMAT " ordered at %s",
		       json_object_get_string_member(o, "task"),
		       json_object_get_int_member(o, "attempt"), e->id);
	refusal = execute(e, path, o);
	if (refusal) {
		record("refused at %s: %s %s", e->id, path, refusal);
		*status = 409;
		return g_strdup_printf("{\"clockMs\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
				       clock_of(e), refusal);
	}
	if (g_str_equal(path, "/api/hold")) {
		wait_for_end(e, o, cuts);
		if (e->cuts != cuts)
			return NULL;
		*status = 200;
		return format_lists(e);
	}
	*status = 200;
	return g_strdup_printf("{\"clockMs\":%" G_GINT64_FORMAT "}", clock_of(e));
}

/* Servers. */

struct connection {
	int fd;
	struct executor *executor; ///< NULL: the machine service and the advisor
};

static char *answer_service(const char *path, const char *body, guint *status)
{
	GString *out = g_string_new("{\"machines\":[");

	if (g_str_equal(path, "/api/advise")) {
		g_string_free(out, TRUE);
		*status = 200;
		return answer_advice(body);
	}
	if (!g_str_has_prefix(path, "/api/machines")) {
		*status = 429;
		g_string_assign(out, "{}");
		return g_string_free(out, FALSE);
	}
	for (guint i = 0; i < world.executors->len; i++) {
		const struct executor *e = world.executors->pdata[i];

		g_string_append_printf(
			out,
			"%s{\"hostMachine\":\"m-%04u\",\"pool\":\"" POOL
			"\",\"state\":\"%s\",\"zone\":\"xela\",\"labels\":[\"a\","
			"\"r1-%u\"],\"capacity\":{\"cpu\":%d,\"memMb\":%d,\"gpu\":0},"
			"\"id\":\"%s\"}",
			i ? "," : "", e->number, e->mode == EXECUTOR_DOWN ? "down" : "up",
			e->number / 4, WORLD_EXECUTOR_CPU, WORLD_EXECUTOR_MEM, e->id);
	}
	g_string_append(out, "]}");
	*status = 200;
	return g_string_free(out, FALSE);
}

static gpointer serve_connection(gpointer p)
{
	struct connection *c = p;
	g_autoptr(GString) buffer = g_string_new(NULL);
	g_autofree char *head = NULL;
	g_autofree char *body = NULL;

	while ((head = read_message(c->fd, buffer, &body))) {
		g_auto(GStrv) words = g_strsplit(head, " ", 3);
		g_autofree char *out = NULL;
		g_autofree char *message = NULL;
		guint status = 0;

		if (g_strv_length(words) < 3)
			break;
		g_mutex_lock(&world.lock);
		out = c->executor ? answer_order(c->executor, head, words[1], body, &status)
				  : answer_service(words[1], body, &status);
		g_mutex_unlock(&world.lock);
		if (g_str_equal(words[1], "/api/hold"))
			sleep_ms(world.list_delay_ms);
		g_clear_pointer(&head, g_free);
		g_clear_pointer(&body, g_free);
		if (!status)
			break;
		message = g_strdup_printf("HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
					  "Content-Length: %zu\r\n\r\n%s",
					  status, strlen(out), out);
		if (!send_all(c->fd, message, strlen(message)))
			break;
	}
	close(c->fd);
	g_free(c);
	return NULL;
}

struct listener {
	int fd;
	struct executor *executor;
};

static gpointer accept_connections(gpointer p)
{
	const struct listener *l = p;

	for (;;) {
		struct connection *c;
		int on = 1;
		int fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		if (l->executor && l->executor->mode == EXECUTOR_DOWN) {
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = g_new0(struct connection, 1);
		*c = (struct connection){fd, l->executor};
		g_thread_unref(g_thread_new("connection", serve_connection, c));
	}
	return NULL;
}

static void listen_on(const char *ip, guint port, struct executor *e)
{
	struct sockaddr_in a = address_of(ip, port);
	struct listener *l = g_new0(struct listener, 1);
	int on = 1;

	*l = (struct listener){socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), e};
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (struct sockaddr *)&a, sizeof(a)) < 0 || listen(l->fd, 1024) < 0) {
		fprintf(stderr, "cannot listen on %s:%u\n", ip, port);
		world_end(2);
	}
	g_thread_unref(g_thread_new("listener", accept_connections, l));
}

/* Heartbeats. */

static char *format_heartbeat(struct executor *e)
{
	return g_strdup_printf("{\"backend\":\"" POOL
			       "\",\"address\":\"%s:%d\",\"zone\":\"xela\",\"version\":\"v1\","
			       "\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{"
			       "\"cpu\":%d,\"memMb\":%d,"
			       "\"gpu\":0},\"labels\":[\"a\",\"r1-%u\"],\"hostMachine\":\"m-%04u\","
			       "\"clockMs\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
			       ",\"sequence\":%" G_GINT64_FORMAT "}",
			       e->ip, EXECUTOR_PORT, WORLD_EXECUTOR_CPU, WORLD_EXECUTOR_MEM,
			       e->number / 4, e->number, clock_of(e), e->born, ++e->sequence);
}

static gpointer send_heartbeats(gpointer p)
{
	struct executor *e = p;
	gint64 next = now_ms() + e->number * 37 % WORLD_HEARTBEAT_MS;

	for (;;) {
		g_autofree char *body = NULL;
		g_autofree char *path = NULL;
		guint cuts;

		g_mutex_lock(&world.lock);
		cuts = e->cuts;
		if (e->mode == EXECUTOR_UP && now_ms() >= next) {
			body = format_heartbeat(e);
			path = g_strdup_printf("/api/executors/%s/heartbeat", e->id);
		}
		g_mutex_unlock(&world.lock);
		if (body) {
			guint status = http_call(processes[e->heartbeat_to].ip, CONTROL_PORT,
						 "POST", path, "control", body, 1000, NULL);

			if (status / 100 == 2) {
				next += WORLD_HEARTBEAT_MS;
				next = MAX(next, now_ms() + WORLD_HEARTBEAT_MS / 2);
			} else {
				e->heartbeat_to = (e->heartbeat_to + 1) % WORLD_CONTROLS;
				sleep_ms(50);
			}
		}
		g_mutex_lock(&world.lock);
		if (e->cuts != cuts)
			next = now_ms();
		g_mutex_unlock(&world.lock);
		sleep_ms(20);
	}
	return NULL;
}

static gpointer tick_all(gpointer p)
{
	(void)p;
	for (;;) {
		g_mutex_lock(&world.lock);
		tick_executors();
		g_mutex_unlock(&world.lock);
		sleep_ms(TICK_MS);
	}
	return NULL;
}

static void add_executor(guint number)
{
	struct executor *e = g_new0(struct executor, 1);

	e->number = number;
	g_snprintf(e->ip, sizeof(e->ip), "%s.%u", world.prefix, 100 + number);
	e->runs = g_ptr_array_new();
	e->ended = g_ptr_array_new();
	e->highest = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	e->heartbeat_to = (int)(number % WORLD_CONTROLS);
	begin_life(e);
	g_ptr_array_add(world.executors, e);
	listen_on(e->ip, EXECUTOR_PORT, e);
	g_thread_unref(g_thread_new("heartbeats", send_heartbeats, e));
}

void executor_add(void)
{
	g_mutex_lock(&world.lock);
	add_executor(world.executors->len + 1);
	record("executor %u is added", world.executors->len);
	g_mutex_unlock(&world.lock);
}

const char *executor_id(const struct executor *e)
{
	return e->id;
}

struct executor *executor_running(const char *task)
{
	struct executor *found = NULL;

	g_mutex_lock(&world.lock);
	for (guint i = 0; i < world.executors->len; i++) {
		struct executor *e = world.executors->pdata[i];

		for (guint k = 0; k < e->runs->len; k++)
			if (g_str_equal(((struct run *)e->runs->pdata[k])->task, task))
				found = e;
	}
	g_mutex_unlock(&world.lock);
	return found;
}

guint executors_count(const char *prefix)
{
	guint n = 0;

	g_mutex_lock(&world.lock);
	for (guint i = 0; i < world.executors->len; i++) {
		struct executor *e = world.executors->pdata[i];

		for (guint k = 0; k < e->runs->len; k++)
			n += g_str_has_prefix(((struct run *)e->runs->pdata[k])->task, prefix);
	}
	g_mutex_unlock(&world.lock);
	return n;
}

void executor_set_mode(struct executor *e, enum executor_mode mode)
{
	g_mutex_lock(&world.lock);
	if (e->mode == EXECUTOR_DOWN && mode == EXECUTOR_UP)
		begin_life(e);
	e->mode = mode;
	e->cuts++;
	record("executor %s is %s", e->id,
	       mode == EXECUTOR_UP    ? "in contact"
	       : mode == EXECUTOR_CUT ? "cut off, and runs on"
				      : "down");
	g_cond_broadcast(&world.changed);
	g_mutex_unlock(&world.lock);
}

void executor_crash(struct executor *e)
{
	g_mutex_lock(&world.lock);
	e->mode = EXECUTOR_DOWN;
	e->cuts++;
	record("executor %s crashes with %u runs", e->id, e->runs->len);
	while (e->runs->len) {
		struct run *r = e->runs->pdata[0];

		break_gang(r, "broken");
		record("run %s run %u at %s is gone", r->task, r->attempt, e->id);
		g_ptr_array_remove_index_fast(e->runs, 0);
		run_free(r);
	}
	g_ptr_array_set_size(e->ended, 0);
	g_cond_broadcast(&world.changed);
	g_mutex_unlock(&world.lock);
}

/* Processes of the system. */

static void write_settings(struct process *p, bool bootstrap)
{
	g_autoptr(GString) out = g_string_new(NULL);
	const char *role = p->is_control ? "control" : "entry";

	g_string_append_printf(out, "nodeName=%s\nrole=%s\nmachineClass=%s\nip=%s\nzone=xela\n",
			       p->name, role, p->is_control ? "core" : "edge", p->ip);
	g_string_append_printf(out, "serves=%s\nregion=altiplano\nzones.xela=altiplano\n",
			       p->is_control ? "control" : "edge");
	if (p->is_control)
		g_string_append_printf(out,
				       "listen.control=%s:%d\ndataDir=%s/%s\nlimits.diskMb=128\n"
				       "limits.memoryMb=256\nlimits.maxFds=4096\n",
				       p->ip, CONTROL_PORT, world.dir, p->name);
	else
		g_string_append_printf(out,
				       "listen.front=%s:%d\nlisten.ready=%s:%d\n"
				       "limits.memoryMb=260\nlimits.maxFds=4100\n",
				       p->ip, FRONT_PORT, p->ip, READY_PORT);
	g_string_append(out, "internalPorts=7060,7075\nseeds=");
	for (int i = 0; i < WORLD_CONTROLS; i++)
		g_string_append_printf(out, "%s%s:%d", i ? "," : "", processes[i].ip, CONTROL_PORT);
	g_string_append_printf(out, "\nbootstrap=%s\ninFaultBudget=%s\n",
			       bootstrap ? "true" : "false", p->is_control ? "true" : "false");
	g_string_append(
		out, "limits.cpuShare=0.39\nlimits.cores=1\nlimits.linkMbps=1000.0\n"
		     "discovery=registry\nentry=vip\nheartbeatMs=1500\n"
		     "contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n"
		     "faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n"
		     "bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\n"
		     "bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=6\n"
		     "bounds.lossSlackMs=200\nbounds.configMs=2000\nbounds.rollbackSlackMs=250\n"
		     "bounds.maxStretchMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=6000\n"
		     "bounds.stopMs=400\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n"
		     "bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n"
		     "bounds.status_s=120\nbounds.farX=3\nbounds.saveS=1\nbounds.restoreMs=600\n"
		     "bounds.noticeMs=4500\nbounds.moveS=1.5\nbounds.upkeepS=2\n"
		     "bounds.requireFence=true\nbounds.leaseMs=3000\nbounds.thawMs=300\n"
		     "bounds.paceMs=100\nbounds.harmMs=4000\nconfig_mode=highest\ncommands=rpc\n");
	g_string_append_printf(out, "advice=%s.99:%d\n", world.prefix, CLOUD_PORT);
	g_string_append_printf(out,
			       "cloud.address=%s.99:%d\ncloud.perS=64.0\ncloud.duties=\n"
			       "cloud.dutyPerS=64.0\n",
			       world.prefix, CLOUD_PORT);
	g_file_set_contents(p->conf, out->str, (gssize)out->len, NULL);
}

static void start_process(struct process *p, bool bootstrap)
{
	g_autofree char *log = g_strdup_printf("%s/%s.%u.log", world.dir, p->name, p->starts);

	write_settings(p, bootstrap);
	p->starts++;
	p->pid = fork();
	if (p->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	setenv("SESAMEWOOD_SETTINGS", p->conf, 1);
	dup2(open(log, O_WRONLY | O_CREAT | O_TRUNC, 0600), STDOUT_FILENO);
	dup2(STDOUT_FILENO, STDERR_FILENO);
	execl(p->program, p->program, (char *)NULL);
	_exit(127);
}

/// Notes processes that have ended by themselves and starts them again, as the platform does.
static void watch_processes(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(processes); i++) {
		struct process *p = &processes[i];
		int status;

		if (p->pid > 0 && waitpid(p->pid, &status, WNOHANG) == p->pid) {
			record("process %s ended by itself: %s %d", p->name,
			       WIFSIGNALED(status) ? "signal" : "exit code",
			       WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
			world.crashes++;
			p->ends++;
			p->pid = 0;
			p->start_at = now_ms() + RESTART_MS;
		}
		if (!p->pid && p->start_at && now_ms() >= p->start_at)
			start_process(p, false);
	}
}

/// Runs in the main thread, which started the children: they end with it.
static gpointer keep_processes(gpointer p)
{
	(void)p;
	for (guint i = 0; i < G_N_ELEMENTS(processes); i++)
		start_process(&processes[i], true);
	for (;;) {
		g_mutex_lock(&world.lock);
		if (!world.ended)
			watch_processes();
		g_mutex_unlock(&world.lock);
		sleep_ms(20);
	}
	return NULL;
}

/// Returns the time at which a replica has logged last that it leads, or 0.
static gint64 leads_since(const struct process *p)
{
	gint64 since = 0;

	for (guint i = 0; i < p->starts; i++) {
		g_autofree char *path = g_strdup_printf("%s/%s.%u.log", world.dir, p->name, i);
		g_autofree char *text = NULL;
		const char *at;

		if (!g_file_get_contents(path, &text, NULL, NULL))
			continue;
		at = g_strrstr(text, "\"leadership taken\"");
		while (at && at > text && *at != '\n')
			at--;
		at = at ? strstr(at, "\"time_ms\":") : NULL;
		since = at ? MAX(since, g_ascii_strtoll(at + 10, NULL, 10)) : since;
	}
	return since;
}

int world_find_leader(void)
{
	gint64 latest = 0;
	int found = -1;

	for (int i = 0; i < WORLD_CONTROLS; i++) {
		gint64 since = leads_since(&processes[i]);

		if (since <= latest)
			continue;
		latest = since;
		found = i;
	}
	return found;
}

void world_kill_control(guint number, guint down_ms)
{
	struct process *p = &processes[number];

	g_mutex_lock(&world.lock);
	record("process %s is killed", p->name);
	kill(p->pid, SIGKILL);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
	p->start_at = now_ms() + down_ms;
	g_mutex_unlock(&world.lock);
}

guint world_ends_of_control(guint number)
{
	guint ends;

	g_mutex_lock(&world.lock);
	ends = processes[number].ends;
	g_mutex_unlock(&world.lock);
	return ends;
}

void world_end(int status)
{
	g_mutex_lock(&world.lock);
	world.ended = true;
	g_cond_broadcast(&world.changed);
	for (guint i = 0; i < G_N_ELEMENTS(processes); i++)
		if (processes[i].pid > 0) {
			kill(processes[i].pid, SIGKILL);
			waitpid(processes[i].pid, NULL, 0);
		}
	record("end of the script: %d", status);
	if (g_getenv("KEEP"))
		fprintf(stderr, "kept %s\n", world.dir);
	else if (world.dir) {
		g_autofree char *command = g_strdup_printf("rm -rf '%s'", world.dir);

		if (system(command))
			fprintf(stderr, "cannot remove %s\n", world.dir);
	}
	_exit(status);
}

static gpointer watch_time(gpointer p)
{
	(void)p;
	sleep_ms(112000);
	fprintf(stderr, "the script has taken too long\n");
	record("the script has taken too long");
	world_end(2);
}

static void find_addresses(void)
{
	for (int i = 0; i < 100; i++) {
		char ip[32];
		struct sockaddr_in a;
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		bool is_free;

		g_snprintf(world.prefix, sizeof(world.prefix), "127.%d.%d",
			   g_random_int_range(2, 250), g_random_int_range(1, 250));
		g_snprintf(ip, sizeof(ip), "%s.1", world.prefix);
		a = address_of(ip, CONTROL_PORT);
		is_free = bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0;
		close(fd);
		if (is_free)
			return;
	}
	world_end(2);
}

static void put_config(void)
{
	g_autofree char *advice =
		g_strdup_printf(",\"advice\":{\"decideMs\":%d,\"eachMs\":%d,\"validMs\":%d}",
				DECIDE_MS, EACH_MS, TICKET_MS);
	g_autofree char *config = g_strconcat(
		"{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"" HOST
		"\",\"pathPrefix\":\"" PREFIX "\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,"
		"\"targetDurationMs\":600,\"priority\":0,\"backend\":\"" POOL
		"\",\"maxAttempts\":2,\"stretch\":1.6",
		world.has_advice ? advice : "",
		"}],\"services\":[{\"name\":\"" POOL
		"\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
		"\"admissionControl\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":"
		"16384,"
		"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		NULL);
	gint64 until = now_ms() + 30000;

	for (guint i = 0; now_ms() < until; i++) {
		guint status = http_call(processes[i % WORLD_CONTROLS].ip, CONTROL_PORT, "POST",
					 "/api/config/replace", "control", config, 1000, NULL);

		if (status == 200) {
			record("configuration 7 acknowledged");
			return;
		}
		sleep_ms(200);
	}
	fprintf(stderr, "no configuration is acknowledged\n");
	world_end(2);
}

void world_begin(int argc, char **argv, guint n_executors)
{
	const char *trouble = g_getenv("TROUBLE");
	g_autofree char *cloud = NULL;

	if (argc != 3) {
		fprintf(stderr, "usage: %s RECORD PROGRAMS\n", argv[0]);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	g_mutex_init(&world.lock);
	g_cond_init(&world.changed);
	began_ms = now_ms();
	record_file = fopen(argv[1], "w");
	world.trouble = !trouble || !g_str_equal(trouble, "0");
	world.executors = g_ptr_array_new();
	world.ends = g_ptr_array_new();
	world.dir = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!record_file || !world.dir)
		exit(2);
	find_addresses();
	record("trouble: %s", world.trouble ? "yes" : "no");
	cloud = g_strdup_printf("%s.99", world.prefix);
	for (guint i = 0; i < G_N_ELEMENTS(processes); i++) {
		struct process *p = &processes[i];

		p->is_control = i < WORLD_CONTROLS;
		g_snprintf(p->name, sizeof(p->name), "%s-%u", p->is_control ? "core" : "edge",
			   i + 1);
		g_snprintf(p->ip, sizeof(p->ip), "%s.%u", world.prefix, i + 1);
		p->program = g_strdup_printf("%s/sesamewood-platform-%s", argv[2],
					     p->is_control ? "control" : "entry");
		p->conf = g_strdup_printf("%s/%s.conf", world.dir, p->name);
		if (p->is_control) {
			g_autofree char *data = g_strdup_printf("%s/%s", world.dir, p->name);

			g_mkdir_with_parents(data, 0700);
		}
	}
	g_thread_unref(g_thread_new("time", watch_time, NULL));
	g_thread_unref(g_thread_new("processes", keep_processes, NULL));
	listen_on(cloud, CLOUD_PORT, NULL);
	put_config();
	for (guint i = 0; i < n_executors; i++)
		add_executor(i + 1);
	g_thread_unref(g_thread_new("tick", tick_all, NULL));
	sleep_ms(2 * WORLD_HEARTBEAT_MS);
}

/* Clients. */

static guint client_call(const char *method, const char *id, const char *body, char **answer)
{
	g_autofree char *path = g_strconcat(PREFIX, id, NULL);

	return http_call(processes[WORLD_CONTROLS].ip, FRONT_PORT, method, path, HOST, body, 3000,
			 answer);
}

guint operator_put(guint number, const char *body)
{
	guint status = http_call(processes[number].ip, CONTROL_PORT, "POST", "/api/config/replace",
				 "control", body, 1000, NULL);

	record("configuration sent to %s, answered %u: %s", processes[number].name, status, body);
	return status;
}

char *operator_read(guint number)
{
	char *answer = NULL;
	guint status = http_call(processes[number].ip, CONTROL_PORT, "GET", "/api/config/read",
				 "control", "", 1000, &answer);

	record("configuration read at %s, answered %u: %s", processes[number].name, status,
	       answer ? answer : "");
	if (status != 200)
		g_clear_pointer(&answer, g_free);
	return answer;
}

guint client_submit_once(const char *id, const char *spec, const char *phases)
{
	g_autofree char *body = g_strdup_printf("{\"spec\":\"%s\",\"phases\":%s}", spec, phases);
	guint status = client_call("POST", id, body, NULL);

	record("submit %s answered %u: %s", id, status, body);
	return status;
}

void client_submit(const char *id, const char *spec, const char *phases)
{
	gint64 until = now_ms() + 20000;

	while (now_ms() < until) {
		if (client_submit_once(id, spec, phases) / 100 == 2)
			return;
		sleep_ms(300);
	}
	fprintf(stderr, "job %s is not accepted\n", id);
	world_end(2);
}

char *client_state(const char *id)
{
	g_autofree char *answer = NULL;
	guint status = client_call("GET", id, "", &answer);
	char *state = NULL;

	if (status == 200 && answer && strstr(answer, "\"state\":\"")) {
		const char *from = strstr(answer, "\"state\":\"") + 9;

		state = g_strndup(from, strcspn(from, "\""));
	}
	record("state of %s answered %u: %s", id, status, state ? state : "");
	return state;
}

char *client_wait(const char *id, guint timeout_ms)
{
	gint64 until = now_ms() + timeout_ms;

	while (now_ms() < until) {
		char *state = client_state(id);

		if (state && !g_str_equal(state, "pending") && !g_str_equal(state, "running"))
			return state;
		g_free(state);
		sleep_ms(250);
	}
	return NULL;
}
