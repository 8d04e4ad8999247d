/// @file
/// Tests of client accounts: whose key opens which queue, in which version of the configuration,
/// and that accounts outlive snapshots, restarts and the formats of earlier builds.

#include "manager_fixture.h"

#include "base/codec.h"
#include "jobs/access.h"
#include "manager/manager_internal.h"

#include <stdlib.h>
#include <string.h>

/// An account of a test configuration.
struct account {
	const char *name;
	const char *keys[3]; ///< NULL ends them
	uint64_t cap_cpu_milli;
};

static job_access make_access(const struct account *accounts, u_int n, bool open)
{
	job_access a = {0};

	a.accounts.accounts_val = calloc(n + 1, sizeof(job_account));
	a.accounts.accounts_len = n;
	for (u_int i = 0; i < n; i++) {
		job_account *to = &a.accounts.accounts_val[i];

		*to = (job_account){.name = strdup(accounts[i].name), .weight_milli = 1000};
		to->cap.cpu_milli = accounts[i].cap_cpu_milli;
		to->keys.keys_val = calloc(3, sizeof(job_key_digest));
		for (; to->keys.keys_len < 3 && accounts[i].keys[to->keys.keys_len];
		     to->keys.keys_len++)
			to->keys.keys_val[to->keys.keys_len] =
				access_digest(accounts[i].keys[to->keys.keys_len],
					      strlen(accounts[i].keys[to->keys.keys_len]));
	}
	a.open_queues.open_queues_val = calloc(1, sizeof(u_int));
	a.open_queues.open_queues_len = open;
	return a;
}

/// Puts a configuration with one queue, "h /q/".
static void put(struct manager *m, uint64_t version, const struct account *accounts, u_int n,
		bool open)
{
	struct call c = {.type = CALL_CONFIG_PUT, .has_access = true};

	c.config.config_version = version;
	c.config.queues.queues_len = 1;
	c.config.queues.queues_val = calloc(1, sizeof(job_queue));
	c.config.queues.queues_val[0] =
		(job_queue){.key = strdup("h /q/"), .pool = strdup("p"), .max_attempts = 2};
	c.config.pools.pools_len = 1;
	c.config.pools.pools_val = calloc(1, sizeof(job_pool));
	c.config.pools.pools_val[0] = (job_pool){.name = strdup("p")};
	c.access = make_access(accounts, n, open);
	manager_handle_call(m, FIXTURE_START_MS, FIXTURE_START_MS, 1, &c);
	call_clear(&c);
}

/// Sends a call of a caller for job @p id.
///
/// @param key  NULL: none
/// @return status of the reply
static enum reply_status send_call(struct manager *m, enum call_type type, const char *id,
				   const char *key)
{
	struct call c = {
		.type = type,
		.host = g_strdup("h"),
		.path = g_strconcat("/q/", id, NULL),
		.key = key ? g_bytes_new(key, strlen(key)) : NULL,
	};
	g_autoptr(GPtrArray) before = manager_take_effects(m);
	g_autoptr(GPtrArray) effects = NULL;
	enum reply_status status = REPLY_INVALID;

	if (type == CALL_SUBMIT) {
		c.spec.payload = strdup("");
		c.spec.steps.steps_len = 1;
		c.spec.steps.steps_val = calloc(1, sizeof(job_step));
		c.spec.steps.steps_val[0] = (job_step){.count = 1,
						       .cpu_milli = 1000,
						       .mem_mb = 10,
						       .estimate_ms = 1000,
						       .label = strdup(""),
						       .data_rack = strdup(""),
						       .image = strdup("")};
	}
	manager_handle_call(m, FIXTURE_START_MS, FIXTURE_START_MS, 2, &c);
	call_clear(&c);
	effects = manager_take_effects(m);
	for (guint i = 0; i < effects->len; i++) {
		const struct effect *e = effects->pdata[i];

		if (e->type == EFFECT_REPLY)
			status = e->u.reply.reply.status;
	}
	return status;
}

static const struct account two[] = {{"a", {"key-a"}, 0}, {"b", {"key-b", "key-b2"}, 5000}};

/// A request with a key that no configuration held was executed (ROUTE on each day with accounts).
static void test_unknown_key_is_refused_before_anything_is_stored(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", NULL), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", ""), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-c"), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a "), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "", "key-c"), ==, REPLY_UNAUTHORIZED);
	g_assert_null(jobs_find(m->jobs, "j1"));
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-b2"), ==, REPLY_OK);
	g_assert_cmpstr(jobs_find(m->jobs, "j1")->account, ==, "b");
	manager_free(m);
}

/// An account must not read, cancel or repeat the jobs of another one.
static void test_jobs_of_other_accounts_are_hidden(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "j1", "key-b"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j1", "key-b"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-b"), ==, REPLY_INVALID);
	g_assert_cmpint(jobs_find(m->jobs, "j1")->image.phase, ==, JOB_PENDING);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j1", "key-a"), ==, REPLY_OK);
	manager_free(m);
}

/// The cancelling of an unknown job by one account must not keep another one from submitting a job
/// of that id.
static void test_cancelling_of_unknown_job_binds_its_account_only(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j1", "key-b"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-b2"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j2", "key-c"), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j2", "key-a"), ==, REPLY_OK);
	/* One id holds one tombstone: a second one cannot be promised. */
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j1", "key-a"), ==, REPLY_BUSY);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpstr(jobs_find(m->jobs, "j1")->account, ==, "a");
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-b"), ==, REPLY_INVALID);
	g_assert_cmpint(send_call(m, CALL_CANCEL, "j1", "key-b"), ==, REPLY_UNKNOWN_JOB);
	g_assert_cmpuint(m->jobs->tombstones, ==, 0);
	manager_free(m);
}

/// Keys that a version removed were still accepted (CONFIG), and jobs of a removed key were lost.
static void test_keys_change_with_the_configuration(void)
{
	static const struct account next[] = {{"a", {"key-a2"}, 0}, {"c", {"key-b"}, 0}};
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "ja", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jb", "key-b"), ==, REPLY_OK);
	put(m, 4, next, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jx", "key-a"), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jx", "key-b2"), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "ja", "key-a2"), ==, REPLY_OK);
	/* Account b was renamed: its jobs stay readable with its keys. */
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "jb", "key-b"), ==, REPLY_OK);
	/* An older version changes nothing, also if it is sent again. */
	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jx", "key-a"), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jx", "key-a2"), ==, REPLY_OK);
	manager_free(m);
}

/// An account that was dropped lost its limits while its jobs still ran.
static void test_dropped_account_keeps_its_limits_while_jobs_are_open(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	const job_account *b;

	put(m, 1, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jb", "key-b"), ==, REPLY_OK);
	put(m, 2, two, 1, false);
	b = access_find(m->jobs, "b");
	g_assert_nonnull(b);
	g_assert_cmpuint(b->cap.cpu_milli, ==, 5000);
	g_assert_cmpuint(b->keys.keys_len, ==, 0);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "jx", "key-b"), ==, REPLY_UNAUTHORIZED);
	put(m, 3, two, 1, false);
	g_assert_nonnull(access_find(m->jobs, "b"));
	jobs_find(m->jobs, "jb")->image.phase = JOB_CANCELLED;
	put(m, 4, two, 1, false);
	g_assert_null(access_find(m->jobs, "b"));
	manager_free(m);
}

/// Open queues need no key; one that is known says whose job it is.
static void test_open_queue_needs_no_key(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	put(m, 1, two, 2, true);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", NULL), ==, REPLY_OK);
	g_assert_cmpstr(jobs_find(m->jobs, "j1")->account, ==, "");
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j2", "unknown"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j3", "key-a"), ==, REPLY_OK);
	g_assert_cmpstr(jobs_find(m->jobs, "j3")->account, ==, "a");
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "j3", NULL), ==, REPLY_OK);
	manager_free(m);
}

/// Deployments without accounts must be served as before, whatever header a caller sends.
static void test_without_accounts_no_key_is_needed(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);

	fixture_put_config(m, FIXTURE_START_MS);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", NULL), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j2", "any"), ==, REPLY_OK);
	manager_free(m);
}

/// Where the settings call for accounts, a configuration that holds none must not open all queues.
static void test_accounts_that_are_required_and_missing_refuse_all(void)
{
	struct manager_settings settings = fixture_settings();
	struct jobs *state = jobs_new();
	struct manager *m;

	settings.has_accounts = true;
	m = manager_new(&settings, state, 1, FIXTURE_START_MS, FIXTURE_START_MS);
	fixture_put_config(m, FIXTURE_START_MS);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", NULL), ==, REPLY_UNAUTHORIZED);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "any"), ==, REPLY_UNAUTHORIZED);
	manager_free(m);
	jobs_free(state);
}

/// Accounts, open queues and the owners of jobs were not part of snapshots.
static void test_accounts_survive_snapshot(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	g_autoptr(GByteArray) bytes = NULL;
	struct jobs *j = jobs_new();

	put(m, 3, two, 2, true);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-b"), ==, REPLY_OK);
	jobs_find(m->jobs, "j1")->beyond_weight = true;
	bytes = jobs_snapshot(m->jobs);
	g_assert_true(jobs_restore(j, bytes->data, bytes->len));
	g_assert_cmpstr(jobs_find(j, "j1")->account, ==, "b");
	g_assert_true(jobs_find(j, "j1")->beyond_weight);
	g_assert_true(access_is_open(j, jobs_queue(j, "h /q/")));
	g_assert_cmpstr(access_find_by_key(j, "key-b2", 6)->name, ==, "b");
	g_assert_cmpuint(access_find(j, "b")->cap.cpu_milli, ==, 5000);
	g_assert_false(jobs_restore(j, bytes->data, bytes->len - 4));
	jobs_free(j);
	manager_free(m);
}

/// A replica could not start from the snapshot of a build without accounts.
static void test_snapshot_of_earlier_build_is_read(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	struct jobs *j = jobs_new();
	g_autoptr(GByteArray) old = NULL;
	job_snapshot s = {.next_endpoint = 7};

	put(m, 3, two, 2, false);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a"), ==, REPLY_OK);
	s.config = m->jobs->config;
	s.jobs.jobs_len = 1;
	s.jobs.jobs_val = &jobs_find(m->jobs, "j1")->image;
	old = codec_encode(CODEC_PROC(job_snapshot), &s);
	put(m, 4, two, 2, false);
	g_assert_true(jobs_restore(j, old->data, old->len));
	g_assert_cmpuint(j->config.config_version, ==, 3);
	g_assert_cmpuint(j->access.accounts.accounts_len, ==, 0);
	g_assert_cmpstr(jobs_find(j, "j1")->account, ==, "");
	jobs_free(j);
	manager_free(m);
}

/// The next leader must know whose job it is, from the commands alone.
static void test_job_keeps_its_account_through_a_change_of_leader(void)
{
	struct jobs *state = jobs_new();
	struct manager *m = fixture_next_manager(state, 1, FIXTURE_START_MS, FIXTURE_START_MS);
	g_autoptr(GPtrArray) effects = NULL;

	put(m, 1, two, 2, false);
	effects = manager_take_effects(m);
	for (guint i = 0; i < effects->len; i++)
		if (((struct effect *)effects->pdata[i])->type == EFFECT_PROPOSE)
			fixture_commit(state, ((struct effect *)effects->pdata[i])->u.command);
	g_clear_pointer(&effects, g_ptr_array_unref);
	manager_free(m);
	m = fixture_next_manager(state, 2, FIXTURE_START_MS, FIXTURE_START_MS);
	g_assert_cmpint(send_call(m, CALL_SUBMIT, "j1", "key-a"), ==, REPLY_OK);
	g_assert_cmpint(send_call(m, CALL_JOB_READ, "j1", "key-b"), ==, REPLY_UNKNOWN_JOB);
	manager_free(m);
	jobs_free(state);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/access/unknown_key_is_refused_before_anything_is_stored",
			test_unknown_key_is_refused_before_anything_is_stored);
	g_test_add_func("/access/jobs_of_other_accounts_are_hidden",
			test_jobs_of_other_accounts_are_hidden);
	g_test_add_func("/access/keys_change_with_the_configuration",
			test_keys_change_with_the_configuration);
	g_test_add_func("/access/dropped_account_keeps_its_limits_while_jobs_are_open",
			test_dropped_account_keeps_its_limits_while_jobs_are_open);
	g_test_add_func("/access/open_queue_needs_no_key", test_open_queue_needs_no_key);
	g_test_add_func("/access/without_accounts_no_key_is_needed",
			test_without_accounts_no_key_is_needed);
	g_test_add_func("/access/accounts_that_are_required_and_missing_refuse_all",
			test_accounts_that_are_required_and_missing_refuse_all);
	g_test_add_func("/access/cancelling_of_unknown_job_binds_its_account_only",
			test_cancelling_of_unknown_job_binds_its_account_only);
	g_test_add_func("/access/accounts_survive_snapshot", test_accounts_survive_snapshot);
	g_test_add_func("/access/snapshot_of_earlier_build_is_read",
			test_snapshot_of_earlier_build_is_read);
	g_test_add_func("/access/job_keeps_its_account_through_a_change_of_leader",
			test_job_keeps_its_account_through_a_change_of_leader);
	return g_test_run();
}
