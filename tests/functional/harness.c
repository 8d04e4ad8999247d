#include "harness.h"

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

#define RPC_PORT 7600
#define ADMIN_PORT 7700
#define ENTRY_RPC_PORT 7610
#define ENTRY_ADMIN_PORT 7800
#define ENTRY_PORT 8080
#define ENDPOINT_PORT 9000
#define READY_TIMEOUT_MS 20000
#define HTTP_TIMEOUT_MS 40000L

static char *programs_dir;
static unsigned int n_harnesses;

void harness_init(int *argc, char ***argv)
{
	for (int i = 1; i < *argc; i++)
		if (g_str_has_prefix((*argv)[i], "--programs="))
			programs_dir = g_strdup((*argv)[i] + strlen("--programs="));
	if (!programs_dir)
		programs_dir = g_path_get_dirname((*argv)[0]);
	curl_global_init(CURL_GLOBAL_NOTHING);
}

const char *harness_programs(void)
{
	return programs_dir;
}

static void die_with_parent(gpointer unused)
{
	(void)unused;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void program_start(struct harness *h, struct program *p)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE);
	g_autofree char *log = g_strdup_printf("%s/%s.log", h->dir, p->name);
	g_autoptr(GError) error = NULL;

	g_subprocess_launcher_set_stderr_file_path(launcher, log);
	g_subprocess_launcher_set_child_setup(launcher, die_with_parent, NULL, NULL);
	g_clear_object(&p->process);
	p->process = g_subprocess_launcher_spawnv(launcher, (const char *const *)p->argv, &error);
	if (!p->process)
		g_error("cannot start %s: %s", p->argv[0], error->message);
}

void program_signal(struct program *p, int signal)
{
	g_subprocess_send_signal(p->process, signal);
}

int program_wait(struct program *p)
{
	g_subprocess_wait(p->process, NULL, NULL);
	return g_subprocess_get_if_exited(p->process) ? g_subprocess_get_exit_status(p->process)
						      : -1;
}

void program_kill(struct program *p)
{
	program_signal(p, SIGKILL);
	program_wait(p);
}

static void program_clear(struct program *p)
{
	if (p->process) {
		g_subprocess_force_exit(p->process);
		g_subprocess_wait(p->process, NULL, NULL);
	}
	g_clear_object(&p->process);
	g_clear_pointer(&p->argv, g_strfreev);
	g_clear_pointer(&p->name, g_free);
}

/// @param more additional flags, or NULL; like @p flags separated by spaces
/// @return argument list with the program's path first
static char **build_argv(const char *program, const char *flags, const char *more)
{
	g_autofree char *line = g_strconcat(flags, " ", more ? more : "", NULL);
	g_auto(GStrv) words = g_strsplit(line, " ", -1);
	GStrvBuilder *b = g_strv_builder_new();
	g_autofree char *path = g_build_filename(programs_dir, program, NULL);
	char **out;

	g_strv_builder_add(b, path);
	for (int i = 0; words[i]; i++)
		if (*words[i])
			g_strv_builder_add(b, words[i]);
	out = g_strv_builder_end(b);
	g_strv_builder_unref(b);
	return out;
}

/// @return "host:port,host:port+1,…", @p n addresses, each preceded by its number and "=" if
/// @p numbered
static char *address_list(const struct harness *h, int port, unsigned int n, bool numbered)
{
	GString *out = g_string_new(NULL);

	for (unsigned int i = 0; i < n; i++) {
		g_string_append(out, i ? "," : "");
		if (numbered)
			g_string_append_printf(out, "%u=", i + 1);
		g_string_append_printf(out, "%s:%d", h->host, port + (int)i);
	}
	return g_string_free(out, FALSE);
}

static void start_control(struct harness *h, unsigned int i)
{
	g_autofree char *peers = address_list(h, RPC_PORT, HARNESS_CONTROLS, true);
	g_autofree char *flags = g_strdup_printf(
		"--node=%u --peers=%s --data=%s/data-%u --admin=%s:%d --token-file=%s/token", i + 1,
		peers, h->dir, i + 1, h->host, ADMIN_PORT + (int)i, h->dir);

	h->controls[i].name = g_strdup_printf("control-%u", i + 1);
	h->controls[i].argv = build_argv("sesamewood-control", flags, h->settings.control_flags);
	program_start(h, &h->controls[i]);
}

static void start_entry(struct harness *h, unsigned int i)
{
	g_autofree char *control = address_list(h, RPC_PORT, HARNESS_CONTROLS, false);
	g_autofree char *flags = g_strdup_printf(
		"--name=entry-%u --listen=%s:%d --rpc=%s:%d --admin=%s:%d --control=%s", i + 1,
		h->host, ENTRY_PORT + (int)i, h->host, ENTRY_RPC_PORT + (int)i, h->host,
		ENTRY_ADMIN_PORT + (int)i, control);

	h->entries[i].name = g_strdup_printf("entry-%u", i + 1);
	h->entries[i].argv = build_argv("sesamewood-entry", flags, h->settings.entry_flags);
	program_start(h, &h->entries[i]);
}

static bool is_entry_ready(const struct harness *h, unsigned int i)
{
	g_autofree char *url =
		g_strdup_printf("http://%s:%d/healthz", h->host, ENTRY_ADMIN_PORT + (int)i);

	return harness_http("GET", url, NULL, NULL, NULL, NULL) == 200;
}

struct harness *harness_new(const struct harness_settings *settings)
{
	struct harness *h = g_new0(struct harness, 1);
	g_autofree char *token = NULL;
	unsigned int id = (unsigned int)getpid() * 8 + n_harnesses++;

	h->settings = *settings;
	h->host = g_strdup_printf("127.%u.%u.1", 1 + id / 250 % 250, 1 + id % 250);
	h->dir = g_dir_make_tmp("sesamewood-XXXXXX", NULL);
	token = g_strdup_printf("%s/token", h->dir);
	g_file_set_contents(token, "test-token\n", -1, NULL);
	h->next_port = ENDPOINT_PORT;
	for (unsigned int i = 0; i < HARNESS_CONTROLS; i++)
		start_control(h, i);
	for (unsigned int i = 0; i < settings->entries; i++)
		start_entry(h, i);
	for (unsigned int i = 0; i < settings->entries; i++)
		if (!harness_wait_until(is_entry_ready(h, i), READY_TIMEOUT_MS))
			g_error("entry %u did not become healthy; logs are in %s", i + 1, h->dir);
	return h;
}

static void remove_dir(const char *path)
{
	g_autoptr(GDir) dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *child = g_build_filename(path, name, NULL);

		if (g_remove(child) < 0)
			remove_dir(child);
	}
	g_remove(path);
}

void harness_free(struct harness *h)
{
	for (unsigned int i = 0; i < HARNESS_CONTROLS; i++)
		program_clear(&h->controls[i]);
	for (unsigned int i = 0; i < HARNESS_ENTRIES_MAX; i++)
		program_clear(&h->entries[i]);
	for (unsigned int i = 0; i < h->n_endpoints; i++)
		program_clear(&h->endpoints[i]);
	if (g_test_initialized() && g_test_failed())
		g_printerr("a test failed; logs are in %s\n", h->dir);
	else
		remove_dir(h->dir);
	g_free(h->dir);
	g_free(h->host);
	g_free(h);
}

static char *instance_names(const char *prefix, int n)
{
	GString *out = g_string_new(NULL);

	for (int i = 1; i <= n; i++)
		g_string_append_printf(out, "%s%s%d", i > 1 ? "," : "", prefix, i);
	return g_string_free(out, FALSE);
}

struct program *harness_start_endpoints(struct harness *h, const char *prefix, int n,
					const char *flags)
{
	struct program *p = &h->endpoints[h->n_endpoints++];
	g_autofree char *entries = address_list(h, ENTRY_PORT, h->settings.entries, false);
	g_autofree char *names = instance_names(prefix, n);
	g_autofree char *base_flags = g_strdup_printf(
		"--instances=%s --host=%s --port=%d --announce=%s --announce-interval=300 "
		"--log=%s/runs --zones=zone-a,zone-b,zone-c",
		names, h->host, h->next_port, entries, h->dir);

	h->next_port += n;
	p->name = g_strdup_printf("endpoint-%s", prefix);
	p->argv = build_argv("fake-endpoint", base_flags, flags);
	program_start(h, p);
	return p;
}

void harness_restart_endpoints(struct harness *h, struct program *p, int incarnation)
{
	g_autofree char *flag = g_strdup_printf("--incarnation=%d", incarnation);
	guint n = g_strv_length(p->argv);

	if (g_str_has_prefix(p->argv[n - 1], "--incarnation=")) {
		g_free(p->argv[n - 1]);
	} else {
		p->argv = g_renew(char *, p->argv, n + 2);
		p->argv[n + 1] = NULL;
		n++;
	}
	p->argv[n - 1] = g_steal_pointer(&flag);
	program_start(h, p);
}

struct program *harness_start_load(struct harness *h, const char *flags)
{
	struct program *p = g_new0(struct program, 1);
	g_autofree char *entries = address_list(h, ENTRY_PORT, h->settings.entries, false);
	g_autofree char *health = address_list(h, ENTRY_ADMIN_PORT, h->settings.entries, false);
	g_autofree char *base_flags =
		g_strdup_printf("--entries=%s --health=%s --log=%s/results --prefix=l%u", entries,
				health, h->dir, h->next_load);

	p->name = g_strdup_printf("load-%u", h->next_load++);
	p->argv = build_argv("fake-load", base_flags, flags);
	program_start(h, p);
	return p;
}

struct load_result harness_finish_load(struct program *load)
{
	struct load_result r = {0};
	g_autofree char *text = NULL;

	g_subprocess_communicate_utf8(load->process, NULL, NULL, &text, NULL, NULL);
	if (!text ||
	    sscanf(text,
		   "ran=%ld not-run=%ld may-have-run=%ld error=%ld ok=%ld rate=%lf p50_us=%ld "
		   "p99_us=%ld max_us=%ld",
		   &r.ran, &r.not_run, &r.may_have_run, &r.errors, &r.ok, &r.rate, &r.p50_us,
		   &r.p99_us, &r.max_us) != 9)
		g_error("the fake callers printed no result");
	if (g_test_initialized())
		g_test_message("%s", text);
	program_clear(load);
	g_free(load);
	return r;
}

static size_t collect(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

long harness_http(const char *method, const char *url, const char *const *headers,
		  const char *content, char **body, char **head)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *list = NULL;
	GString *body_text = g_string_new(NULL);
	GString *head_text = g_string_new(NULL);
	long status = 0;

	for (int i = 0; headers && headers[i]; i++)
		list = curl_slist_append(list, headers[i]);
	list = curl_slist_append(list, "Authorization: Bearer test-token");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	if (content)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, content);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, body_text);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, head_text);
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(list);
	curl_easy_cleanup(easy);
	if (body)
		*body = g_string_free(body_text, FALSE);
	else
		g_string_free(body_text, TRUE);
	if (head)
		*head = g_string_free(head_text, FALSE);
	else
		g_string_free(head_text, TRUE);
	return status;
}

char *harness_admin_url(const struct harness *h, unsigned int i, const char *path)
{
	return g_strdup_printf("http://%s:%d%s", h->host, ADMIN_PORT + (int)i, path);
}

char *harness_entry_url(const struct harness *h, unsigned int i, const char *path)
{
	return g_strdup_printf("http://%s:%d%s", h->host, ENTRY_PORT + (int)i, path);
}

JsonNode *harness_get_json(struct harness *h, const char *path)
{
	for (unsigned int i = 0; i < HARNESS_CONTROLS; i++) {
		g_autofree char *url = harness_admin_url(h, i, path);
		g_autofree char *body = NULL;

		if (harness_http("GET", url, NULL, NULL, &body, NULL) == 200)
			return json_from_string(body, NULL);
	}
	return NULL;
}

gint64 harness_status_member(struct harness *h, const char *member)
{
	g_autoptr(JsonNode) n = harness_get_json(h, "/v1/status");

	return n ? json_object_get_int_member(json_node_get_object(n), member) : -1;
}

unsigned int harness_leader(struct harness *h)
{
	gint64 leader = 0;

	if (!harness_wait_until((leader = harness_status_member(h, "leader")) > 0,
				READY_TIMEOUT_MS))
		g_error("control elected no leader in time");
	return (unsigned int)leader - 1;
}

gint64 harness_put_table(struct harness *h, const char *table, const char *json)
{
	g_autofree char *member = g_strdup_printf("%s_version", table);
	g_autofree char *match = g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"",
						 harness_status_member(h, member));
	const char *const headers[] = {match, NULL};
	g_autofree char *path = g_strdup_printf("/v1/tables/%s", table);
	g_autofree char *url = harness_admin_url(h, harness_leader(h), path);
	g_autofree char *body = NULL;
	g_autoptr(JsonNode) n = NULL;

	if (harness_http("PUT", url, headers, json, &body, NULL) != 200)
		g_error("control did not accept table %s: %s", table, body);
	n = json_from_string(body, NULL);
	return json_object_get_int_member(json_node_get_object(n), "version");
}

bool harness_is_in_force(struct harness *h, gint64 version)
{
	g_autofree char *path = g_strdup_printf("/v1/changes/%" G_GINT64_FORMAT, version);
	g_autoptr(JsonNode) n = harness_get_json(h, path);

	return n && json_object_get_boolean_member(json_node_get_object(n), "in_force");
}

static JsonArray *instances(JsonNode *n)
{
	return json_object_get_array_member(json_node_get_object(n), "instances");
}

int harness_count_instances(struct harness *h, const char *pool, const char *phase)
{
	g_autoptr(JsonNode) n = harness_get_json(h, "/v1/instances?limit=1000");
	int count = 0;

	for (guint i = 0; n && i < json_array_get_length(instances(n)); i++) {
		JsonObject *o = json_array_get_object_element(instances(n), i);

		if (g_str_equal(json_object_get_string_member(o, "pool"), pool) &&
		    (!phase || g_str_equal(json_object_get_string_member(o, "phase"), phase)))
			count++;
	}
	return count;
}

char *harness_instance_member(struct harness *h, const char *instance, const char *member)
{
	g_autoptr(JsonNode) n = harness_get_json(h, "/v1/instances?limit=1000");

	for (guint i = 0; n && i < json_array_get_length(instances(n)); i++) {
		JsonObject *o = json_array_get_object_element(instances(n), i);

		if (g_str_equal(json_object_get_string_member(o, "instance"), instance))
			return g_strdup(json_object_get_string_member(o, member));
	}
	return NULL;
}

long harness_metric(const char *url, const char *name)
{
	g_autofree char *body = NULL;
	const char *at;

	if (harness_http("GET", url, NULL, NULL, &body, NULL) != 200)
		return -1;
	at = strstr(body, name);
	while (at && at != body && at[-1] != '\n')
		at = strstr(at + 1, name);
	return at ? atol(strchr(at, '}') + 1) : -1;
}

/// State of one incarnation of an instance while the log is read.
struct instance_log {
	char *pool; ///< pool of the request started last
	int running;
	guint64 epoch;	  ///< largest one in the log so far
	char *epoch_pool; ///< pool of that epoch
};

static void instance_log_free(void *p)
{
	struct instance_log *s = p;

	g_free(s->pool);
	g_free(s->epoch_pool);
	g_free(s);
}

/// Checks the start of a request against the earlier ones of its instance.
static void record_start(struct instance_log *s, const char *pool, guint64 epoch,
			 struct run_summary *r)
{
	bool overlaps = s->running && !g_str_equal(s->pool, pool);
	bool stale = s->epoch_pool && epoch < s->epoch && !g_str_equal(s->epoch_pool, pool);

	if (overlaps || stale) {
		g_printerr("overlap: start for pool %s at epoch %" G_GUINT64_FORMAT
			   " while %d requests of pool %s run; highest epoch so far "
			   "%" G_GUINT64_FORMAT " for pool %s\n",
			   pool, epoch, s->running, s->pool, s->epoch, s->epoch_pool);
		r->pool_overlaps++;
	}
	s->running++;
	g_free(s->pool);
	s->pool = g_strdup(pool);
	if (epoch >= s->epoch) {
		s->epoch = epoch;
		g_free(s->epoch_pool);
		s->epoch_pool = g_strdup(pool);
	}
}

/// Reads the log of the fake endpoints.
///
/// @return number of runs by request key
static GHashTable *read_run_log(struct harness *h, struct run_summary *r)
{
	g_autofree char *path = g_build_filename(h->dir, "runs", NULL);
	g_autoptr(GHashTable) by_instance =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, instance_log_free);
	GHashTable *runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);
		g_autofree char *process = NULL;
		struct instance_log *s;

		if (g_strv_length(f) != 8)
			continue;
		process = g_strdup_printf("%s/%s", f[1], f[2]);
		s = g_hash_table_lookup(by_instance, process);
		if (!s) {
			s = g_new0(struct instance_log, 1);
			g_hash_table_insert(by_instance, g_strdup(process), s);
		}
		if (!g_str_equal(f[6], "start")) {
			s->running--;
			continue;
		}
		r->runs++;
		record_start(s, f[3], g_ascii_strtoull(f[4], NULL, 10), r);
		g_hash_table_insert(
			runs, g_strdup(f[5]),
			GINT_TO_POINTER(GPOINTER_TO_INT(g_hash_table_lookup(runs, f[5])) + 1));
	}
	return runs;
}

struct run_summary harness_read_results(struct harness *h)
{
	struct run_summary r = {0};
	g_autoptr(GHashTable) runs = read_run_log(h, &r);
	g_autofree char *path = g_build_filename(h->dir, "results", NULL);
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	g_file_get_contents(path, &text, NULL, NULL);
	lines = g_strsplit(text ? text : "", "\n", -1);
	for (int i = 0; lines[i]; i++) {
		g_auto(GStrv) f = g_strsplit(lines[i], " ", -1);
		int n;

		if (g_strv_length(f) != 8)
			continue;
		n = GPOINTER_TO_INT(g_hash_table_lookup(runs, f[0]));
		if (n > 1) {
			g_test_message("key %s ran %d times", f[0], n);
			r.keys_run_twice++;
		}
		if (n && g_str_equal(f[1], "not-run") && g_str_equal(f[6], "-")) {
			g_printerr("the verdict was not-run, but an endpoint ran it: %s\n",
				   lines[i]);
			r.false_not_run++;
		}
		if (!n && g_str_equal(f[1], "ran"))
			r.false_ran++;
	}
	return r;
}

void harness_set_up_two_pools(struct harness *h)
{
	gint64 version;

	harness_start_endpoints(h, "a-", 8, NULL);
	harness_start_endpoints(h, "s-", 8, NULL);
	harness_put_table(h, "pools",
			  "{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"],\"max_out\":4},"
			  "{\"name\":\"s\",\"instances\":[\"s-*\"],\"spare\":true,\"max_out\":8,"
			  "\"min_instances\":0}]}");
	version = harness_put_table(
		h, "routes",
		"{\"routes\":[{\"name\":\"s\",\"match\":{\"path_prefix\":\"/s\"},\"pool\":\"s\"},"
		"{\"name\":\"a\",\"pool\":\"a\"}]}");
	if (!harness_wait_until(harness_is_in_force(h, version), READY_TIMEOUT_MS))
		g_error("the tables did not come into force; logs are in %s", h->dir);
	if (!harness_wait_until(harness_count_instances(h, "a", "active") == 8 &&
					harness_count_instances(h, "s", "active") == 8,
				READY_TIMEOUT_MS))
		g_error("not all instances became active; logs are in %s", h->dir);
}
