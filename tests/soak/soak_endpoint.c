#include "soak_endpoint.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define TASK_LEAST_MS 150
#define TASK_MOST_MS 700
#define LEASE_MOST_MS 6000
#define LATE_LEAST_MS 1000
#define LATE_MOST_MS 5000

struct run {
	char *task;
	gint64 attempt;
	clock_ms_t ends_at;
};

struct end {
	gint64 number;
	char *task;
	gint64 attempt;
	const char *how;
	bool lapsed; ///< the lease has ended since: an acknowledgement no longer binds
};

/// A request that is answered later: a look that waits, or an order that is held up.
struct later {
	struct http_request *req;
	clock_ms_t at;
	char *path; ///< of an order to execute first; NULL: none
	char *body;
};

struct soak_endpoint {
	struct soak_world *world;
	char *name;
	char *id;
	char *address;
	unsigned int lives;
	gint64 born_wall_ms;
	clock_ms_t born_at;
	gint64 sequence;
	gint64 fence;
	gint64 until_ms;
	gint64 next_end;
	GHashTable *running; ///< struct run by task
	GHashTable *settled; ///< highest attempt stopped or ended, by task
	GPtrArray *ended;    ///< of struct end
	GPtrArray *looks;    ///< of struct later
	GPtrArray *held;     ///< of struct later
	clock_ms_t silent_until;
};

static void run_free(void *p)
{
	g_free(((struct run *)p)->task);
	g_free(p);
}

static void end_free(void *p)
{
	g_free(((struct end *)p)->task);
	g_free(p);
}

static void later_free(void *p)
{
	struct later *l = p;

	g_free(l->path);
	g_free(l->body);
	g_free(l);
}

G_GNUC_PRINTF(2, 3)
static void broken(struct soak_world *w, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(w->broken, g_strdup_vprintf(format, args));
	va_end(args);
}

static gint64 clock_of(const struct soak_endpoint *e)
{
	return clock_monotonic() - e->born_at;
}

static struct soak_task *task_of(struct soak_world *w, const char *name)
{
	struct soak_task *t = g_hash_table_lookup(w->tasks, name);

	if (t)
		return t;
	t = g_new0(struct soak_task, 1);
	g_hash_table_insert(w->tasks, g_strdup(name), t);
	return t;
}

/* Checks. */

static bool step_is_done(struct soak_world *w, const struct soak_job *job, unsigned int step)
{
	for (unsigned int i = 0; i < job->tasks; i++) {
		g_autofree char *name = g_strdup_printf("%s.0.%u.%u", job->id, step, i);

		if (!task_of(w, name)->done)
			return false;
	}
	return true;
}

static void check_start(struct soak_endpoint *e, const char *name, const char *payload)
{
	struct soak_world *w = e->world;
	g_auto(GStrv) parts = g_strsplit(name, ".", 4);
	const struct soak_job *job = g_hash_table_lookup(w->jobs, parts[0]);
	const struct soak_task *t = task_of(w, name);
	unsigned int step = g_strv_length(parts) == 4 ? (unsigned int)atoi(parts[2]) : 0;

	w->starts++;
	if (!job || strcmp(job->payload, payload) != 0) {
		broken(w, "start of what nobody handed in: %s", name);
		return;
	}
	if (t->running)
		broken(w, "two runs at a time: %s", name);
	if (t->done_noted)
		broken(w, "start after its noted end: %s", name);
	if (step && !step_is_done(w, job, step - 1))
		broken(w, "start before its turn: %s", name);
	if ((g_hash_table_size(e->running) + 1) * SOAK_TASK_CPU > SOAK_ENDPOINT_CPU)
		broken(w, "more than fits on %s: %s", e->name, name);
}

/* Runs. */

static void settle(struct soak_endpoint *e, const char *task, gint64 attempt)
{
	gint64 *highest = g_hash_table_lookup(e->settled, task);

	if (!highest) {
		highest = g_new0(gint64, 1);
		g_hash_table_insert(e->settled, g_strdup(task), highest);
	}
	*highest = MAX(*highest, attempt);
}

static void end_run(struct soak_endpoint *e, const struct run *r, const char *how)
{
	struct soak_task *t = task_of(e->world, r->task);
	struct end *end = g_new0(struct end, 1);

	*end = (struct end){++e->next_end, g_strdup(r->task), r->attempt, how, false};
	g_ptr_array_add(e->ended, end);
	t->running--;
	t->done |= strcmp(how, "done") == 0;
	settle(e, r->task, r->attempt);
}

static const char *refusal_of(struct soak_endpoint *e, JsonObject *o)
{
	const char *task = json_object_get_string_member(o, "task");
	const gint64 *settled = g_hash_table_lookup(e->settled, task);
	gint64 until_ms = json_object_get_int_member(o, "untilMs");

	if (json_object_get_int_member(o, "fencingToken") < e->fence)
		return "fence";
	e->fence = json_object_get_int_member(o, "fencingToken");
	if (until_ms <= clock_of(e))
		return "late";
	e->until_ms = MAX(e->until_ms, MIN(until_ms, clock_of(e) + LEASE_MOST_MS));
	if (settled && json_object_get_int_member(o, "attempt") <= *settled)
		return "old";
	return NULL;
}

static const char *start(struct soak_endpoint *e, JsonObject *o)
{
	const char *task = json_object_get_string_member(o, "task");
	const char *refusal = refusal_of(e, o);
	struct run *r;

	if (refusal || g_hash_table_contains(e->running, task))
		return refusal;
	check_start(e, task, json_object_get_string_member(o, "spec"));
	r = g_new0(struct run, 1);
	*r = (struct run){
		.task = g_strdup(task),
		.attempt = json_object_get_int_member(o, "attempt"),
		.ends_at = clock_monotonic() +
			   g_rand_int_range(e->world->random, TASK_LEAST_MS, TASK_MOST_MS),
	};
	g_hash_table_insert(e->running, r->task, r);
	task_of(e->world, task)->running++;
	return NULL;
}

static const char *stop(struct soak_endpoint *e, JsonObject *o)
{
	const char *task = json_object_get_string_member(o, "task");
	gint64 attempt = json_object_get_int_member(o, "attempt");
	struct run *r = g_hash_table_lookup(e->running, task);

	if (json_object_get_int_member(o, "fencingToken") < e->fence)
		return "fence";
	e->fence = json_object_get_int_member(o, "fencingToken");
	settle(e, task, attempt);
	if (r && r->attempt <= attempt) {
		end_run(e, r, "stopped");
		g_hash_table_remove(e->running, task);
	}
	return NULL;
}

static const char *hold(struct soak_endpoint *e, JsonObject *o)
{
	gint64 through = json_object_get_int_member_with_default(o, "ackThrough", 0);
	gint64 until_ms = json_object_get_int_member_with_default(o, "untilMs", 0);

	if (json_object_get_int_member(o, "fencingToken") < e->fence)
		return "fence";
	e->fence = json_object_get_int_member(o, "fencingToken");
	e->until_ms = MAX(e->until_ms, MIN(until_ms, clock_of(e) + LEASE_MOST_MS));
	while (e->ended->len && ((struct end *)e->ended->pdata[0])->number <= through) {
		const struct end *end = e->ended->pdata[0];
		struct soak_task *t = task_of(e->world, end->task);

		t->done_noted |= strcmp(end->how, "done") == 0 && !end->lapsed;
		g_ptr_array_remove_index(e->ended, 0);
	}
	return NULL;
}

/* Answers. */

static char *look_body(const struct soak_endpoint *e)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer value;
	bool first = true;

	g_string_append_printf(out,
			       "{\"clockMs\":%" G_GINT64_FORMAT ",\"born\":%" G_GINT64_FORMAT
			       ",\"running\":[",
			       clock_of(e), e->born_wall_ms);
	g_hash_table_iter_init(&iter, e->running);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		g_string_append_printf(out, "%s[\"%s\",%" G_GINT64_FORMAT ",\"\",%d,%d]",
				       first ? "" : ",", r->task, r->attempt,
				       (int)(clock_monotonic() % 100), SOAK_TASK_CPU);
		first = false;
	}
	g_string_append(out, "],\"endedRuns\":[");
	for (guint i = 0; i < e->ended->len; i++) {
		const struct end *end = e->ended->pdata[i];

		g_string_append_printf(
			out, "%s[%" G_GINT64_FORMAT ",\"%s\",%" G_GINT64_FORMAT ",\"%s\",\"\"]",
			i ? "," : "", end->number, end->task, end->attempt, end->how);
	}
	g_string_append(out, "]}");
	return g_string_free(out, FALSE);
}

static void reply_json(struct http_request *req, unsigned int status, const char *body)
{
	const struct http_header headers[] = {{"Content-Type", "application/json"}, {NULL, NULL}};

	http_reply(req, status, headers, body, strlen(body));
}

static const char *execute(struct soak_endpoint *e, const char *path, const char *body)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *o;

	if (!json_parser_load_from_data(parser, body, -1, NULL))
		return "unreadable";
	o = json_node_get_object(json_parser_get_root(parser));
	if (g_str_equal(path, "/api/run-start"))
		return start(e, o);
	if (g_str_equal(path, "/api/run-stop"))
		return stop(e, o);
	return g_str_equal(path, "/api/hold") ? hold(e, o) : NULL;
}

static void answer(struct soak_endpoint *e, struct http_request *req, const char *refusal)
{
	g_autofree char *body = NULL;

	if (refusal)
		body = g_strdup_printf("{\"clockMs\":%" G_GINT64_FORMAT ",\"reason\":\"%s\"}",
				       clock_of(e), refusal);
	else
		body = look_body(e);
	reply_json(req, refusal ? 409 : 200, body);
}

static void add_later(GPtrArray *list, struct http_request *req, clock_ms_t at, const char *path,
		      const char *body)
{
	struct later *l = g_new0(struct later, 1);

	*l = (struct later){req, at, g_strdup(path), g_strdup(body)};
	g_ptr_array_add(list, l);
}

static gint64 wait_of(const char *body)
{
	g_autoptr(JsonParser) parser = json_parser_new();

	if (!json_parser_load_from_data(parser, body, -1, NULL))
		return 0;
	return json_object_get_int_member_with_default(
		json_node_get_object(json_parser_get_root(parser)), "waitMs", 0);
}

static void on_request(void *ctx, struct http_request *req)
{
	struct soak_endpoint *e = ctx;
	struct soak_world *w = e->world;
	const char *expected = http_header(req, "Sesamewood-Expect-Instance");
	g_autofree char *body = http_body_text(req);
	clock_ms_t now = clock_monotonic();
	const char *path = http_target(req);
	const char *refusal;

	if (now < e->silent_until) {
		add_later(e->held, req, e->silent_until, NULL, NULL);
		return;
	}
	if (expected && strcmp(expected, e->id) != 0) {
		reply_json(req, 421, "{}");
		return;
	}
	if ((guint32)g_rand_int_range(w->random, 0, 100) < w->late_percent) {
		add_later(e->held, req,
			  now + g_rand_int_range(w->random, LATE_LEAST_MS, LATE_MOST_MS), path,
			  body);
		return;
	}
	refusal = execute(e, path, body);
	if (!refusal && g_str_equal(path, "/api/hold") && !e->ended->len && wait_of(body)) {
		add_later(e->looks, req, now + wait_of(body), NULL, NULL);
		return;
	}
	answer(e, req, refusal);
}

/* Time. */

static void end_due(struct soak_endpoint *e, clock_ms_t now)
{
	struct soak_world *w = e->world;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->running);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;
		bool lapsed = clock_of(e) > e->until_ms;
		bool fails = (guint32)g_rand_int_range(w->random, 0, 100) < w->fail_percent;

		if (now < r->ends_at && !lapsed)
			continue;
		end_run(e, r, lapsed ? "lapsed" : fails ? "failed" : "done");
		g_hash_table_iter_remove(&iter);
	}
}

void soak_endpoint_tick(struct soak_endpoint *e, clock_ms_t now)
{
	end_due(e, now);
	for (guint i = 0; i < e->ended->len; i++)
		((struct end *)e->ended->pdata[i])->lapsed |= clock_of(e) > e->until_ms;
	for (guint i = e->held->len; i > 0; i--) {
		struct later *l = e->held->pdata[i - 1];

		if (now < l->at)
			continue;
		answer(e, l->req, l->path ? execute(e, l->path, l->body) : "late");
		g_ptr_array_remove_index_fast(e->held, i - 1);
	}
	for (guint i = e->looks->len; i > 0 && now >= e->silent_until; i--) {
		struct later *l = e->looks->pdata[i - 1];

		if (now < l->at && !e->ended->len)
			continue;
		answer(e, l->req, NULL);
		g_ptr_array_remove_index_fast(e->looks, i - 1);
	}
}

static void drop_later(GPtrArray *list)
{
	for (guint i = 0; i < list->len; i++)
		reply_json(((struct later *)list->pdata[i])->req, 503, "{}");
	g_ptr_array_set_size(list, 0);
}

static void begin_life(struct soak_endpoint *e, bool same_id)
{
	e->lives++;
	if (!same_id) {
		g_free(e->id);
		e->id = g_strdup_printf("%s-%u", e->name, e->lives);
	}
	e->born_wall_ms = MAX(clock_wall(), e->born_wall_ms + 1);
	e->born_at = clock_monotonic();
	e->sequence = 0;
	e->fence = 0;
	e->until_ms = 0;
	e->next_end = 0;
}

void soak_endpoint_crash(struct soak_endpoint *e, bool same_id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, e->running);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		task_of(e->world, ((struct run *)value)->task)->running--;
	g_hash_table_remove_all(e->running);
	g_hash_table_remove_all(e->settled);
	g_ptr_array_set_size(e->ended, 0);
	drop_later(e->looks);
	drop_later(e->held);
	begin_life(e, same_id);
}

void soak_endpoint_mute(struct soak_endpoint *e, clock_ms_t until)
{
	e->silent_until = until;
}

char *soak_endpoint_report(struct soak_endpoint *e, char **path)
{
	if (clock_monotonic() < e->silent_until)
		return NULL;
	*path = g_strdup_printf("/api/executors/%s/heartbeat", e->id);
	return g_strdup_printf(
		"{\"backend\":\"pool\",\"address\":\"%s\",\"zone\":\"zone-a\",\"version\":\"v1\","
		"\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":%d,"
		"\"memMb\":8000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],\"clockMs\":%" G_GINT64_FORMAT
		",\"born\":%" G_GINT64_FORMAT ",\"sequence\":%" G_GINT64_FORMAT "}",
		e->address, SOAK_ENDPOINT_CPU, clock_of(e), e->born_wall_ms, ++e->sequence);
}

struct soak_endpoint *soak_endpoint_new(struct soak_world *w, const char *id, const char *address)
{
	static const struct http_handlers handlers = {.on_request = on_request};
	const struct http_limits limits = {
		.head_bytes = 16384, .body_bytes = 65536, .connections = 256, .idle_timeout_s = 60};
	struct soak_endpoint *e = g_new0(struct soak_endpoint, 1);

	e->world = w;
	e->name = g_strdup(id);
	e->address = g_strdup(address);
	e->running = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, run_free);
	e->settled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	e->ended = g_ptr_array_new_with_free_func(end_free);
	e->looks = g_ptr_array_new_with_free_func(later_free);
	e->held = g_ptr_array_new_with_free_func(later_free);
	begin_life(e, false);
	if (!http_server_new(w->loop, address, &limits, &handlers, e))
		g_error("cannot listen on %s", address);
	return e;
}
