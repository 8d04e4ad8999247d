/// @file
/// Replacement of the configuration tables. Guards against changes that are lost or applied twice
/// when operators compete or resend, against entries that serve by an older table, and against a
/// return to an older version after control replicas were killed.

#include "harness.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define IN_FORCE_TIMEOUT_MS 2000

static const struct harness_settings seven_entries = {.entries = 7};

static const char *const one_pool = "{\"pools\":[{\"name\":\"a\",\"instances\":[\"a-*\"]}]}";

static char *route_table(int n)
{
	return g_strdup_printf("{\"routes\":[{\"name\":\"r%d\",\"pool\":\"a\"}]}", n);
}

/// Replaces the routes table.
///
/// @param version that the change is based on
/// @param[out] new_version set with status 200, unless NULL
/// @return HTTP status
static long put(struct harness *h, unsigned int replica, gint64 version, const char *request_id,
		const char *json, gint64 *new_version)
{
	g_autofree char *url = harness_admin_url(h, replica, "/v1/tables/routes");
	g_autofree char *match = g_strdup_printf("If-Match: \"%" G_GINT64_FORMAT "\"", version);
	g_autofree char *id = g_strconcat("Request-Id: ", request_id, NULL);
	const char *const headers[] = {match, id, NULL};
	g_autofree char *body = NULL;
	long status = harness_http("PUT", url, headers, json, &body, NULL);
	g_autoptr(JsonNode) n = status == 200 ? json_from_string(body, NULL) : NULL;

	if (n && new_version)
		*new_version = json_object_get_int_member(json_node_get_object(n), "version");
	return status;
}

/// Three operators replace the same version through different replicas. Exactly one succeeds, the
/// others get status 412, and a resend through another replica gets the same result.
static void test_racing_operators(void)
{
	struct harness *h = harness_new(&seven_entries);
	gint64 base;

	harness_leader(h);
	harness_put_table(h, "pools", one_pool);
	base = harness_status_member(h, "routes_version");
	for (int round = 0; round < 20; round++) {
		int won = 0;
		gint64 winner = 0;

		for (unsigned int editor = 0; editor < 3; editor++) {
			g_autofree char *json = route_table(round * 3 + (int)editor);
			g_autofree char *id = g_strdup_printf("race-%d-%u", round, editor);
			gint64 version = 0;
			long status = put(h, editor, base, id, json, &version);

			g_assert_true(status == 200 || status == 412);
			won += status == 200;
			if (status == 200)
				winner = version;
			g_assert_cmpint(put(h, (editor + 1) % 3, base, id, json, &version), ==,
					status);
			if (status == 200)
				g_assert_cmpint(version, ==, winner);
		}
		g_assert_cmpint(won, ==, 1);
		g_assert_cmpint(harness_status_member(h, "routes_version"), ==, winner);
		base = winner;
	}
	harness_free(h);
}

/// A name that contains U+0000 was accepted and came into force cut off.
static void test_names_that_would_be_cut_off_are_refused(void)
{
	static const char *const names[] = {"r\\u0000x", "r\\ud800"};
	struct harness *h = harness_new(&seven_entries);
	gint64 base;

	harness_leader(h);
	harness_put_table(h, "pools", one_pool);
	base = harness_status_member(h, "routes_version");
	for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *json = g_strdup_printf(
			"{\"routes\":[{\"name\":\"%s\",\"pool\":\"a\"}]}", names[i]);
		g_autofree char *id = g_strdup_printf("cut-off-%u", i);

		g_assert_cmpint(put(h, 0, base, id, json, NULL), ==, 422);
	}
	g_assert_cmpint(harness_status_member(h, "routes_version"), ==, base);
	harness_free(h);
}

/// @return number of entries that have at least this version of the routes table in force
static int count_entries_at(struct harness *h, gint64 version)
{
	int n = 0;

	for (unsigned int i = 0; i < h->settings.entries; i++) {
		g_autofree char *url = g_strdup_printf("http://%s:%u/metrics", h->host, 7800 + i);

		n += harness_metric(url, "sesamewood_entry_routes_version") >= version;
	}
	return n;
}

/// Each change must reach all entries, and be reported as in force, within IN_FORCE_TIMEOUT_MS.
static void test_in_force_on_all_entries(void)
{
	struct harness *h = harness_new(&seven_entries);
	clock_ms_t longest = 0;

	harness_put_table(h, "pools", one_pool);
	for (int i = 0; i < 20; i++) {
		g_autofree char *json = route_table(i);
		clock_ms_t from = clock_monotonic();
		gint64 version = harness_put_table(h, "routes", json);

		g_assert_true(
			harness_wait_until(count_entries_at(h, version) == 7, IN_FORCE_TIMEOUT_MS));
		longest = MAX(longest, clock_monotonic() - from);
		g_assert_true(
			harness_wait_until(harness_is_in_force(h, version), IN_FORCE_TIMEOUT_MS));
	}
	g_test_message(
		"longest time from a change to its use on all entries, with polling: %" PRId64
		" ms",
		longest);
	harness_free(h);
}

/// A frozen entry delays "in_force" for no longer than its lease. When it resumes, it serves
/// nothing by the old table and gets the table in force.
static void test_frozen_entry_does_not_serve_old_table(void)
{
	struct harness *h = harness_new(&seven_entries);
	g_autofree char *url = NULL;
	g_autofree char *body = NULL;
	gint64 version;

	harness_set_up_two_pools(h);
	url = harness_entry_url(h, 0, "/a");
	g_assert_cmpint(harness_http("GET", url, NULL, NULL, NULL, NULL), ==, 200);
	program_signal(&h->entries[0], SIGSTOP);
	version = harness_put_table(h, "routes", "{\"routes\":[]}");
	g_assert_true(harness_wait_until(harness_is_in_force(h, version), 3000));
	program_signal(&h->entries[0], SIGCONT);
	g_assert_cmpint(harness_http("GET", url, NULL, NULL, &body, NULL), !=, 200);
	g_assert_true(harness_wait_until(count_entries_at(h, version) == 7, IN_FORCE_TIMEOUT_MS));
	harness_free(h);
}

/// Checks that every replica that responds still has the accepted table and version.
static void assert_table_is_kept(struct harness *h, gint64 version, const char *json)
{
	for (unsigned int i = 0; i < HARNESS_CONTROLS; i++) {
		g_autofree char *url = harness_admin_url(h, i, "/v1/tables/routes");
		g_autofree char *etag = g_strdup_printf("\"%" G_GINT64_FORMAT "\"", version);
		g_autofree char *body = NULL;
		g_autofree char *head = NULL;

		if (harness_http("GET", url, NULL, NULL, &body, &head) != 200)
			continue;
		g_assert_cmpstr(body, ==, json);
		g_assert_nonnull(strstr(head, etag));
	}
}

/// The leader is killed right after it accepted a change. The next leader must have the change and
/// roll it out.
static void test_survives_leader_kills(void)
{
	struct harness *h = harness_new(&seven_entries);

	harness_put_table(h, "pools", one_pool);
	for (int i = 0; i < 6; i++) {
		g_autofree char *json = route_table(i);
		gint64 version = harness_put_table(h, "routes", json);
		unsigned int leader = harness_leader(h);

		program_kill(&h->controls[leader]);
		harness_leader(h);
		assert_table_is_kept(h, version, json);
		g_assert_true(
			harness_wait_until(count_entries_at(h, version) == 7, IN_FORCE_TIMEOUT_MS));
		program_start(h, &h->controls[leader]);
		harness_wait_until(harness_status_member(h, "leader") > 0, 5000);
	}
	harness_free(h);
}

/// A replacement that is resent with the same Request-Id while the leader is killed takes effect
/// once.
static void test_resend_over_failover(void)
{
	struct harness *h = harness_new(&seven_entries);
	gint64 base;

	harness_put_table(h, "pools", one_pool);
	base = harness_status_member(h, "routes_version");
	for (int i = 0; i < 4; i++) {
		g_autofree char *json = route_table(i);
		g_autofree char *id = g_strdup_printf("over-%d", i);
		unsigned int leader = harness_leader(h);
		gint64 version = 0;
		gint64 again = 0;

		put(h, leader, base, id, json, NULL);
		program_kill(&h->controls[leader]);
		g_assert_true(harness_wait_until(
			put(h, (leader + 1) % 3, base, id, json, &version) == 200, 10000));
		program_start(h, &h->controls[leader]);
		g_assert_true(
			harness_wait_until(put(h, leader, base, id, json, &again) == 200, 10000));
		g_assert_cmpint(again, ==, version);
		g_assert_cmpint(harness_status_member(h, "routes_version"), ==, version);
		base = version;
	}
	harness_free(h);
}

/// Two of three replicas are killed, so that the quorum is lost, and restart. The accepted table
/// must be recovered from their disks.
static void test_restart_of_two_replicas(void)
{
	struct harness *h = harness_new(&seven_entries);
	g_autofree char *json = route_table(7);
	gint64 version;
	unsigned int leader;

	harness_put_table(h, "pools", one_pool);
	version = harness_put_table(h, "routes", json);
	leader = harness_leader(h);
	program_kill(&h->controls[leader]);
	program_kill(&h->controls[(leader + 1) % 3]);
	program_start(h, &h->controls[leader]);
	program_start(h, &h->controls[(leader + 1) % 3]);
	harness_leader(h);
	assert_table_is_kept(h, version, json);
	harness_free(h);
}

/// A replica that lost its disk rejoins as a learner and becomes a voting member. The cluster then
/// survives the loss of another replica without losing an accepted change.
static void test_replica_with_lost_disk_rejoins(void)
{
	struct harness *h = harness_new(&seven_entries);
	g_autofree char *json = route_table(3);
	unsigned int leader;
	unsigned int lost;
	gint64 version;
	g_autofree char *command = NULL;

	harness_put_table(h, "pools", one_pool);
	version = harness_put_table(h, "routes", json);
	leader = harness_leader(h);
	lost = (leader + 1) % 3;
	program_kill(&h->controls[lost]);
	command = g_strdup_printf("%s/data-%u", h->dir, lost + 1);
	{
		g_autofree char *moved = g_strconcat(command, ".lost", NULL);

		g_assert_cmpint(rename(command, moved), ==, 0);
	}
	program_start(h, &h->controls[lost]);
	g_usleep(3000000);
	program_kill(&h->controls[(leader + 2) % 3]);
	g_assert_true(harness_wait_until(harness_status_member(h, "leader") > 0, 10000));
	{
		g_autofree char *next = route_table(4);

		assert_table_is_kept(h, version, json);
		version = harness_put_table(h, "routes", next);
		program_start(h, &h->controls[(leader + 2) % 3]);
		g_usleep(1000000);
		program_kill(&h->controls[leader]);
		harness_leader(h);
		assert_table_is_kept(h, version, next);
	}
	harness_free(h);
}

/// An entry and a replica that were down during 300 changes catch up. Control takes a snapshot
/// every 50 records, so the replica can't catch up from the log alone.
static void test_catches_up_after_hundreds_of_changes(void)
{
	struct harness *h = harness_new(&(struct harness_settings){
		.entries = 7,
		.control_flags = "--snapshot-records=50",
	});
	unsigned int leader;
	unsigned int missing;
	gint64 version = 0;
	g_autofree char *json = NULL;

	harness_put_table(h, "pools", one_pool);
	leader = harness_leader(h);
	missing = (leader + 1) % 3;
	program_kill(&h->entries[6]);
	program_kill(&h->controls[missing]);
	version = harness_status_member(h, "routes_version");
	for (int i = 0; i < 300; i++) {
		g_autofree char *id = g_strdup_printf("many-%d", i);

		g_free(json);
		json = route_table(i);
		g_assert_cmpint(put(h, leader, version, id, json, &version), ==, 200);
	}
	program_start(h, &h->entries[6]);
	program_start(h, &h->controls[missing]);
	g_assert_true(harness_wait_until(count_entries_at(h, version) == 7, 10000));
	g_usleep(1500000);
	program_kill(&h->controls[leader]);
	harness_leader(h);
	assert_table_is_kept(h, version, json);
	harness_free(h);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/tables/racing_operators", test_racing_operators);
	g_test_add_func("/tables/names_that_would_be_cut_off_are_refused",
			test_names_that_would_be_cut_off_are_refused);
	g_test_add_func("/tables/in_force_on_all_entries", test_in_force_on_all_entries);
	g_test_add_func("/tables/frozen_entry_does_not_serve_old_table",
			test_frozen_entry_does_not_serve_old_table);
	g_test_add_func("/tables/survives_leader_kills", test_survives_leader_kills);
	g_test_add_func("/tables/resend_over_failover", test_resend_over_failover);
	g_test_add_func("/tables/restart_of_two_replicas", test_restart_of_two_replicas);
	g_test_add_func("/tables/replica_with_lost_disk_rejoins",
			test_replica_with_lost_disk_rejoins);
	g_test_add_func("/tables/catches_up_after_hundreds_of_changes",
			test_catches_up_after_hundreds_of_changes);
	return g_test_run();
}
