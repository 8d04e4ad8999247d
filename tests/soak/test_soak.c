/// @file
/// Randomized fault soak: real control replicas and entries on the loopback, stand-in executors,
/// callers and an operator in this process. Replicas are killed, frozen, stopped and lose their
/// disks; entries are killed; executors crash, fall silent and carry orders out late. Promises are
/// checked at each start, and at the end all accepted jobs must be over.
///
/// The choice of faults follows --seed; the processes' own timing does not.

#include "soak_endpoint.h"

#include "base/http_async_client.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <json-glib/json-glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONTROLS 3
#define ENTRIES 2
#define ENDPOINTS 8
#define CONTROL_PORT 8623
#define FRONT_PORT 8624
#define READY_PORT 8622
#define RPC_PORT 7060
#define ENDPOINT_PORT 8080
#define MACHINES_PORT 8621
#define HEARTBEAT_MS 500
#define TICK_S 0.01
#define CALL_MS 1500
#define SUBMIT_MS 150
#define RESEND_MS 300
#define CONFIG_MS 1500
#define CONFIG_IN_FORCE_MS 2000 /* as the deployments state it */
#define FORM_MS 6000
#define FAULT_LEAST_MS 300
#define FAULT_MOST_MS 2500
#define DOWN_LEAST_MS 200
#define DOWN_MOST_MS 3000
#define HEAL_MS 30000
#define DEFAULT_SECONDS 20
#define DEFAULT_SEED 20261204

struct process {
	char *program;
	char *name;
	char *folder;
	bool control;
	char *ip;
	GSubprocess *process;
	clock_ms_t back_at; ///< 0: it runs
	bool frozen;
};

struct soak {
	struct soak_world world;
	char *programs;
	char *folder;
	char *network; ///< first three numbers of its loopback addresses
	struct process processes[CONTROLS + ENTRIES];
	struct soak_endpoint *endpoints[ENDPOINTS];
	clock_ms_t report_at[ENDPOINTS];
	struct http_async_client *calls;
	ev_timer tick;
	clock_ms_t submit_at;
	clock_ms_t config_at;
	clock_ms_t fault_at;
	clock_ms_t faults_end;
	clock_ms_t heal_end;
	unsigned int next_job;
	unsigned int faults;
	bool kill_at_ack; ///< all replicas are killed as soon as a job or a change is acknowledged
	gint64 sent_version;
	gint64 acked_version;
	clock_ms_t acked_at;
	bool read_back; ///< the newest acknowledged configuration was read at the end
};

/* Processes. */

static char *settings_of(const struct soak *s, const struct process *p, bool bootstrap)
{
	return g_strdup_printf(
		"nodeName=%s\nip=%s\nzone=zone-a\nlisten.front=%s:%d\nlisten.ready=%s:%d\n"
		"listen.control=%s:%d\ninternalPorts=%d,%d\nseeds=%s.1:%d,%s.2:%d,%s.3:%d\n"
		"bootstrap=%s\ndataDir=%s\nheartbeatMs=%d\ncloud.address=%s.99:%d\n",
		p->name, p->ip, p->ip, FRONT_PORT, p->ip, READY_PORT, p->ip, CONTROL_PORT, RPC_PORT,
		RPC_PORT + 9, s->network, CONTROL_PORT, s->network, CONTROL_PORT, s->network,
		CONTROL_PORT, bootstrap ? "true" : "false", p->folder, HEARTBEAT_MS, s->network,
		MACHINES_PORT);
}

static void launch(struct soak *s, struct process *p, bool bootstrap)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_autofree char *settings = settings_of(s, p, bootstrap);
	g_autofree char *path = g_strdup_printf("%s/%s.conf", s->folder, p->name);
	g_autofree char *log = g_strdup_printf("%s/%s.%u.log", s->folder, p->name, s->faults);
	g_autofree char *program = g_strdup_printf("%s/%s", s->programs, p->program);

	g_mkdir_with_parents(p->folder, 0700);
	g_file_set_contents(path, settings, -1, NULL);
	g_subprocess_launcher_setenv(launcher, "SESAMEWOOD_SETTINGS", path, TRUE);
	g_subprocess_launcher_set_stdout_file_path(launcher, log);
	p->process = g_subprocess_launcher_spawn(launcher, NULL, program, NULL);
	g_assert_nonnull(p->process);
	p->back_at = 0;
	p->frozen = false;
}

static void kill_process(struct process *p, int signal_number)
{
	if (!p->process)
		return;
	g_subprocess_send_signal(p->process, signal_number);
	if (signal_number == SIGTERM)
		return;
	g_subprocess_wait(p->process, NULL, NULL);
	g_clear_object(&p->process);
}

static void wipe(const struct process *p)
{
	g_autoptr(GDir) dir = g_dir_open(p->folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(p->folder, name, NULL);

		g_unlink(path);
	}
}

static bool all_run(const struct soak *s, unsigned int from, unsigned int to)
{
	for (unsigned int i = from; i < to; i++)
		if (s->processes[i].back_at || s->processes[i].frozen)
			return false;
	return true;
}

/// Starts again what was down for long enough.
static void bring_back(struct soak *s, clock_ms_t now)
{
	for (unsigned int i = 0; i < G_N_ELEMENTS(s->processes); i++) {
		struct process *p = &s->processes[i];

		if (!p->back_at || now < p->back_at)
			continue;
		if (p->frozen) {
			g_subprocess_send_signal(p->process, SIGCONT);
			p->back_at = 0;
			p->frozen = false;
			continue;
		}
		kill_process(p, SIGKILL); /* one that was asked to stop may still be at it */
		launch(s, p, false);
	}
}

/* Faults. */

static int down_ms(struct soak *s)
{
	return g_rand_int_range(s->world.random, DOWN_LEAST_MS, DOWN_MOST_MS);
}

/// Takes a control replica or an entry down in one of several ways.
static void hit_process(struct soak *s, struct process *p, clock_ms_t now)
{
	int how = g_rand_int_range(s->world.random, 0, p->control ? 10 : 6);

	p->back_at = now + down_ms(s);
	if (how < 3) {
		kill_process(p, SIGKILL);
	} else if (how < 5) {
		kill_process(p, SIGTERM);
		p->back_at = now + DOWN_MOST_MS + 2 * DOWN_LEAST_MS;
	} else if (how < 9) {
		g_subprocess_send_signal(p->process, SIGSTOP);
		p->frozen = true;
	} else {
		kill_process(p, SIGKILL);
		wipe(p);
	}
	g_print("# %s: %s\n", p->name,
		how < 3	  ? "killed"
		: how < 5 ? "asked to stop"
		: how < 9 ? "frozen"
			  : "killed, disk lost");
}

/// Kills all control replicas right after an acknowledgement, when that was asked for.
static void note_ack(struct soak *s)
{
	clock_ms_t now = clock_monotonic();

	if (!s->kill_at_ack || s->heal_end || !all_run(s, 0, CONTROLS))
		return;
	s->kill_at_ack = false;
	g_print("# all control replicas: killed after an acknowledgement\n");
	for (unsigned int i = 0; i < CONTROLS; i++) {
		kill_process(&s->processes[i], SIGKILL);
		s->processes[i].back_at = now + DOWN_LEAST_MS;
	}
}

static void fault(struct soak *s, clock_ms_t now)
{
	GRand *r = s->world.random;
	int what = g_rand_int_range(r, 0, 100);
	struct soak_endpoint *e = s->endpoints[g_rand_int_range(r, 0, ENDPOINTS)];

	s->faults++;
	if (what < 35 && all_run(s, 0, CONTROLS))
		hit_process(s, &s->processes[g_rand_int_range(r, 0, CONTROLS)], now);
	else if (what < 45)
		s->kill_at_ack = true;
	else if (what < 50 && all_run(s, CONTROLS, CONTROLS + ENTRIES))
		hit_process(s, &s->processes[CONTROLS + g_rand_int_range(r, 0, ENTRIES)], now);
	else if (what < 65)
		soak_endpoint_crash(e, g_rand_boolean(r));
	else if (what < 80)
		soak_endpoint_mute(e, now + 2 * down_ms(s));
	else if (what < 90)
		s->world.late_percent = (unsigned int)g_rand_int_range(r, 0, 15);
	else
		s->world.fail_percent = (unsigned int)g_rand_int_range(r, 0, 10);
	s->fault_at = now + g_rand_int_range(r, FAULT_LEAST_MS, FAULT_MOST_MS);
}

/* Callers. */

struct caller_call {
	struct soak *soak;
	struct soak_job *job;
	clock_ms_t sent_at;
	gint64 version; ///< operator's calls
};

static char *any_address(struct soak *s, unsigned int from, unsigned int n, int port)
{
	unsigned int at = from + (unsigned int)g_rand_int_range(s->world.random, 0, (gint32)n);

	return g_strdup_printf("%s:%d", s->processes[at].ip, port);
}

static void call(struct soak *s, const char *address, const char *path, const char *body,
		 http_async_fn fn, struct soak_job *job, gint64 version)
{
	static const char *const headers[] = {"Host: soak.example", NULL};
	struct caller_call *c = g_new0(struct caller_call, 1);
	const struct http_async_request request = {
		.address = address,
		.path = path,
		.get = !body,
		.headers = headers,
		.body = body ? body : "",
		.len = body ? strlen(body) : 0,
		.timeout_ms = CALL_MS,
	};

	*c = (struct caller_call){s, job, clock_monotonic(), version};
	http_async_client_send(s->calls, &request, fn, c);
}

static void submit(struct soak *s, struct soak_job *job);

static void on_submitted(void *ctx, const struct http_async_result *r)
{
	g_autofree struct caller_call *c = ctx;

	c->job->accepted |= r->status == 200;
	c->job->asked_again = false;
	if (r->status == 200)
		note_ack(c->soak);
}

static char *job_path(const struct soak_job *job)
{
	return g_strdup_printf("/queue/%s", job->id);
}

static void submit(struct soak *s, struct soak_job *job)
{
	g_autofree char *path = job_path(job);
	g_autofree char *address = any_address(s, CONTROLS, ENTRIES, FRONT_PORT);
	GString *body = g_string_new(NULL);

	g_string_append_printf(body, "{\"spec\":\"%s\",\"phases\":[", job->payload);
	for (unsigned int i = 0; i < job->steps; i++) {
		g_autofree char *after = i ? g_strdup_printf(",\"after\":[%u]", i - 1) : NULL;

		g_string_append_printf(body,
				       "%s{\"count\":%u,\"cpu\":%d,\"memMb\":%d,\"estimateMs\":400"
				       "%s}",
				       i ? "," : "", job->tasks, SOAK_TASK_CPU, SOAK_TASK_MEM_MB,
				       after ? after : "");
	}
	g_string_append(body, "]}");
	job->asked_again = true;
	call(s, address, path, body->str, on_submitted, job, 0);
	g_string_free(body, TRUE);
}

static void new_job(struct soak *s)
{
	GRand *r = s->world.random;
	struct soak_job *job = g_new0(struct soak_job, 1);

	*job = (struct soak_job){
		.id = g_strdup_printf("%016x", ++s->next_job),
		.payload = g_strdup_printf("payload-%u", s->next_job),
		.steps = (unsigned int)g_rand_int_range(r, 1, 4),
		.tasks = (unsigned int)g_rand_int_range(r, 1, 4),
	};
	g_hash_table_insert(s->world.jobs, job->id, job);
	submit(s, job);
}

static void on_state(void *ctx, const struct http_async_result *r)
{
	g_autofree struct caller_call *c = ctx;
	struct soak_world *w = &c->soak->world;

	c->job->asked_again = false;
	if (r->status == 410)
		g_ptr_array_add(w->broken,
				g_strdup_printf("accepted job is not known: %s", c->job->id));
	if (r->status == 200 && g_strstr_len(r->body, (gssize)r->len, "completed")) {
		for (unsigned int i = 0; i < c->job->steps * c->job->tasks; i++) {
			g_autofree char *name = g_strdup_printf(
				"%s.0.%u.%u", c->job->id, i / c->job->tasks, i % c->job->tasks);
			const struct soak_task *t = g_hash_table_lookup(w->tasks, name);

			if (!t || !t->done)
				g_ptr_array_add(
					w->broken,
					g_strdup_printf("shown as completed, not done: %s", name));
		}
		c->job->over = true;
	}
	c->job->over |= r->status == 200 && g_strstr_len(r->body, (gssize)r->len, "failed");
}

/// Sends again what got no clear answer, and asks for the states of accepted jobs.
static void follow_jobs(struct soak *s, bool ask)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->world.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct soak_job *job = value;
		g_autofree char *path = job_path(job);
		g_autofree char *address = any_address(s, CONTROLS, ENTRIES, FRONT_PORT);

		if (job->asked_again || job->over)
			continue;
		if (!job->accepted) {
			submit(s, job);
		} else if (ask) {
			job->asked_again = true;
			call(s, address, path, NULL, on_state, job, 0);
		}
	}
}

/* Operator. */

static void on_config(void *ctx, const struct http_async_result *r)
{
	g_autofree struct caller_call *c = ctx;

	if (r->status != 200 || c->version <= c->soak->acked_version)
		return;
	c->soak->acked_version = c->version;
	c->soak->acked_at = clock_monotonic();
	note_ack(c->soak);
}

static void put_config(struct soak *s)
{
	g_autofree char *address = any_address(s, 0, CONTROLS, CONTROL_PORT);
	g_autofree char *body = NULL;

	if (s->acked_version == s->sent_version)
		s->sent_version += g_rand_int_range(s->world.random, 1, 5);
	body = g_strdup_printf(
		"{\"version\":%" G_GINT64_FORMAT
		",\"routes\":[{\"name\":\"r\",\"hostname\":\"soak.example\",\"pathPrefix\":"
		"\"/queue/\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,\"targetDurationMs\":"
		"600,\"priority\":0,\"backend\":\"pool\",\"maxAttempts\":50,\"stretch\":1.6}],"
		"\"services\":[{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":64,"
		"\"protocol\":\"h1\",\"tls\":false,\"admissionControl\":false,\"standby\":false}],"
		"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":"
		"3000,\"idleTimeoutMs\":15000}}",
		s->sent_version);
	call(s, address, "/api/config/replace", body, on_config, NULL, s->sent_version);
}

static void on_read(void *ctx, const struct http_async_result *r)
{
	g_autofree struct caller_call *c = ctx;
	g_autoptr(JsonParser) parser = json_parser_new();
	gint64 version;

	if (r->status != 200 || !json_parser_load_from_data(parser, r->body, (gssize)r->len, NULL))
		return;
	version = json_object_get_int_member(json_node_get_object(json_parser_get_root(parser)),
					     "version");
	if (version < c->version)
		g_ptr_array_add(c->soak->world.broken,
				g_strdup_printf("configuration read is %d, acknowledged before: %d",
						(int)version, (int)c->version));
	c->soak->read_back |= version >= c->soak->acked_version;
}

/// Reads the configuration; an answer must not be older than what was acknowledged a while ago.
static void read_config(struct soak *s, clock_ms_t now)
{
	g_autofree char *address = any_address(s, 0, CONTROLS, CONTROL_PORT);

	if (s->acked_version)
		call(s, address, "/api/config/read", NULL, on_read, NULL,
		     now - s->acked_at > CONFIG_IN_FORCE_MS ? s->acked_version : 0);
}

/* Executors. */

static void on_reported(void *ctx, const struct http_async_result *r)
{
	(void)r;
	g_free(ctx);
}

static void report(struct soak *s, unsigned int i)
{
	g_autofree char *path = NULL;
	g_autofree char *body = soak_endpoint_report(s->endpoints[i], &path);
	g_autofree char *address = any_address(s, 0, CONTROLS, CONTROL_PORT);

	if (body)
		call(s, address, path, body, on_reported, NULL, 0);
}

static void on_machines(void *ctx, struct http_request *req)
{
	(void)ctx;
	http_reply(req, 200, NULL, "{\"machines\":[]}", strlen("{\"machines\":[]}"));
}

/* Time. */

static bool is_settled(const struct soak *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->world.jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct soak_job *)value)->over)
			return false;
	return s->read_back;
}

static void end_faults(struct soak *s, clock_ms_t now)
{
	for (unsigned int i = 0; i < G_N_ELEMENTS(s->processes); i++)
		if (s->processes[i].back_at)
			s->processes[i].back_at = MIN(s->processes[i].back_at, now + DOWN_LEAST_MS);
	for (unsigned int i = 0; i < ENDPOINTS; i++)
		soak_endpoint_mute(s->endpoints[i], now);
	s->world.late_percent = 0;
	s->world.fail_percent = 0;
	s->heal_end = now + HEAL_MS;
	s->read_back = false;
	g_print("# faults are over: %u faults, %u jobs, %u starts\n", s->faults, s->next_job,
		s->world.starts);
}

static void on_tick(struct ev_loop *loop, ev_timer *w, int revents)
{
	struct soak *s = w->data;
	clock_ms_t now = clock_monotonic();

	(void)revents;
	bring_back(s, now);
	for (unsigned int i = 0; i < ENDPOINTS; i++) {
		soak_endpoint_tick(s->endpoints[i], now);
		if (now >= s->report_at[i])
			report(s, i);
		if (now >= s->report_at[i])
			s->report_at[i] = now + HEARTBEAT_MS;
	}
	if (now >= s->config_at) {
		put_config(s);
		read_config(s, now);
		s->config_at = now + (s->acked_version ? CONFIG_MS : RESEND_MS);
	}
	if (now >= s->submit_at && s->acked_version) {
		if (!s->heal_end)
			new_job(s);
		follow_jobs(s, s->heal_end != 0);
		s->submit_at = now + SUBMIT_MS;
	}
	if (!s->heal_end && now >= s->fault_at && s->acked_version)
		fault(s, now);
	if (!s->heal_end && now >= s->faults_end)
		end_faults(s, now);
	if (s->world.broken->len || (s->heal_end && (is_settled(s) || now >= s->heal_end)))
		ev_break(loop, EVBREAK_ALL);
}

/* Start and end. */

static void add_process(struct soak *s, unsigned int i)
{
	struct process *p = &s->processes[i];

	p->control = i < CONTROLS;
	p->program = p->control ? (char *)"sesamewood-platform-control"
				: (char *)"sesamewood-platform-entry";
	p->name = p->control ? g_strdup_printf("control-%u", i + 1)
			     : g_strdup_printf("entry-%u", i + 1 - CONTROLS);
	p->ip = g_strdup_printf("%s.%u", s->network, p->control ? i + 1 : i + 11 - CONTROLS);
	p->folder = g_strdup_printf("%s/%s", s->folder, p->name);
	launch(s, p, p->control);
}

static void set_up(struct soak *s, guint32 seed, int seconds)
{
	static const struct http_handlers handlers = {.on_request = on_machines};
	const struct http_limits limits = {
		.head_bytes = 16384, .body_bytes = 65536, .connections = 64, .idle_timeout_s = 60};
	g_autofree char *machines = NULL;
	clock_ms_t now = clock_monotonic();

	s->world = (struct soak_world){
		.loop = ev_default_loop(0),
		.random = g_rand_new_with_seed(seed),
		.jobs = g_hash_table_new(g_str_hash, g_str_equal),
		.tasks = g_hash_table_new(g_str_hash, g_str_equal),
		.broken = g_ptr_array_new(),
	};
	s->folder = g_dir_make_tmp("sesamewood-soak-XXXXXX", NULL);
	s->network = g_strdup_printf("127.%d.%d", 64 + getpid() / 250 % 128, 1 + getpid() % 250);
	s->calls = http_async_client_new(s->world.loop, 64);
	machines = g_strdup_printf("%s.99:%d", s->network, MACHINES_PORT);
	g_assert_nonnull(http_server_new(s->world.loop, machines, &limits, &handlers, s));
	for (unsigned int i = 0; i < ENDPOINTS; i++) {
		g_autofree char *id = g_strdup_printf("e%u", i);
		g_autofree char *address =
			g_strdup_printf("%s.%u:%d", s->network, 100 + i, ENDPOINT_PORT);

		s->endpoints[i] = soak_endpoint_new(&s->world, id, address);
	}
	for (unsigned int i = 0; i < G_N_ELEMENTS(s->processes); i++)
		add_process(s, i);
	s->fault_at = now + FORM_MS;
	s->faults_end = now + FORM_MS + (clock_ms_t)seconds * 1000;
	ev_timer_init(&s->tick, on_tick, TICK_S, TICK_S);
	s->tick.data = s;
	ev_timer_start(s->world.loop, &s->tick);
}

/// @return whether every promise was kept
static bool tear_down(struct soak *s)
{
	bool good = !s->world.broken->len && s->next_job && is_settled(s);
	GHashTableIter iter;
	gpointer value;

	for (unsigned int i = 0; i < G_N_ELEMENTS(s->processes); i++)
		kill_process(&s->processes[i], SIGKILL);
	for (guint i = 0; i < s->world.broken->len; i++)
		g_print("# broken: %s\n", (char *)s->world.broken->pdata[i]);
	g_hash_table_iter_init(&iter, s->world.jobs);
	while (!good && g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct soak_job *job = value;

		if (!job->over)
			g_print("# not over: %s%s\n", job->id,
				job->accepted ? "" : ", never accepted");
	}
	if (!good)
		g_print("# logs: %s\n", s->folder);
	return good;
}

int main(int argc, char **argv)
{
	struct soak s = {.programs = (char *)"build"};
	gint seed = DEFAULT_SEED;
	gint seconds = DEFAULT_SECONDS;
	g_autofree char *programs = NULL;
	const GOptionEntry entries[] = {
		{"programs", 0, 0, G_OPTION_ARG_FILENAME, &programs, "Folder of the programs",
		 "DIR"},
		{"seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the faults", "N"},
		{"seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "Time with faults", "N"},
		{0},
	};
	g_autoptr(GOptionContext) options = g_option_context_new(NULL);
	bool good;

	signal(SIGPIPE, SIG_IGN);
	g_option_context_add_main_entries(options, entries, NULL);
	if (!g_option_context_parse(options, &argc, &argv, NULL))
		return EXIT_FAILURE;
	if (programs)
		s.programs = programs;
	setvbuf(stdout, NULL, _IOLBF, 0);
	g_print("1..1\n# seed %d, %d s of faults\n", seed, seconds);
	set_up(&s, (guint32)seed, seconds);
	ev_run(s.world.loop, 0);
	good = tear_down(&s);
	g_print("%sok 1 /soak/random_faults\n", good ? "" : "not ");
	return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
