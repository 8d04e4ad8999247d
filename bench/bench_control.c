/// @file
/// Measures the control reducer for several fleet sizes: processor time, bytes of messages, bytes
/// of the log and memory, at fixed daily rates of instance restarts and table changes. One replica
/// without network; 60 s are simulated for each case.

#include "base/codec.h"
#include "control/control.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ENTRIES 7
#define RENEW_MS 400
#define TICK_MS 20
#define ZONES 8
#define SIMULATED_MS 60000
#define DAY_MS 86400000.0
#define RESTARTS_PER_DAY 145
#define CHANGES_PER_DAY 520
#define BYTES_PER_MB 1048576.0
#define LOG_RECORD_OVERHEAD_BYTES 24 ///< added to the command of each record

/// Size of the fleet, and table changes per day.
struct scenario {
	unsigned int instances;
	unsigned int pools;
	unsigned int entries;
	unsigned int changes;
};

struct simulation {
	struct scenario scenario;
	struct control *control;
	clock_ms_t now;
	uint64_t view_indexes[ENTRIES];
	unsigned long bytes; ///< size of all renewals and their replies
	unsigned long messages;
	unsigned long incarnation; ///< incarnation of the instance restarted last
	double cpu_s;
	double log_bytes;
};

/// @return processor time of this process in seconds
static double cpu_now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/// Passes an event to the reducer and reports its log records as persisted at once, as a disk
/// without latency would. Counts the processor time and the bytes of the log.
/// @return replies, owned by the caller
static GPtrArray *handle_event(struct simulation *sim, struct control_event event)
{
	double from = cpu_now_s();
	GPtrArray *replies;

	event.wall_ms = sim->now;
	control_step(sim->control, sim->now, &event);
	for (;;) {
		g_autoptr(GPtrArray) effects = NULL;

		control_step(sim->control, sim->now,
			     &(struct control_event){.type = CONTROL_FLUSH});
		effects = raft_take_effects(sim->control->raft);
		if (!effects->len)
			break;
		for (guint i = 0; i < effects->len; i++) {
			const struct raft_effect *e = effects->pdata[i];

			for (guint k = 0; e->type == RAFT_APPEND_LOG && k < e->u.records->len;
			     k++) {
				const struct raft_log_record *record = e->u.records->pdata[k];

				sim->log_bytes += (double)g_bytes_get_size(record->command) +
						  LOG_RECORD_OVERHEAD_BYTES;
			}
		}
		control_step(sim->control, sim->now,
			     &(struct control_event){.type = CONTROL_PERSISTED});
	}
	replies = control_take_replies(sim->control);
	sim->cpu_s += cpu_now_s() - from;
	return replies;
}

/// Replaces a table through the admin interface.
/// @param version version of the table that is replaced
static void put_table(struct simulation *sim, const char *table, const char *json, uint64_t version)
{
	g_autofree char *path = g_strconcat("/v1/tables/", table, NULL);
	g_autofree char *match = g_strdup_printf("\"%" PRIu64 "\"", version);
	sw_admin_args args = {
		.method = "PUT",
		.path = path,
		.if_match = match,
		.request_id = "",
		.body = (char *)json,
	};

	g_ptr_array_unref(handle_event(sim, (struct control_event){
						    .type = CONTROL_ADMIN,
						    .token = 1,
						    .u.admin = &args,
					    }));
}

static void put_pools(struct simulation *sim)
{
	g_autoptr(GString) json = g_string_new("{\"pools\":[");

	for (unsigned int i = 0; i < sim->scenario.pools; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"pool-%u\",\"instances\":[\"p%u-*\"],"
				       "\"max_out\":2,\"spare\":%s}",
				       i ? "," : "", i, i, i ? "false" : "true");
	g_string_append(json, "]}");
	put_table(sim, "pools", json->str, sim->control->fleet->pools_version);
}

/// @param n varies a deadline, so that each table differs from the one before
static void put_routes(struct simulation *sim, unsigned int n)
{
	g_autoptr(GString) json = g_string_new("{\"routes\":[");

	for (unsigned int i = 0; i < sim->scenario.pools; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"r%u\",\"match\":{\"path_prefix\":\"/%u\"},"
				       "\"pool\":\"pool-%u\",\"deadline_ms\":%u}",
				       i ? "," : "", i, i, i, 1000 + n % 100);
	g_string_append(json, "]}");
	put_table(sim, "routes", json->str, sim->control->fleet->routes_version);
}

/// Fills in the heartbeat of an instance. It refers to `name` and `zone`, which the caller
/// provides.
static sw_heartbeat endpoint_heartbeat(const struct simulation *sim, unsigned int i, char *name,
				       char *zone)
{
	sprintf(name, "p%u-%u", i % sim->scenario.pools, i);
	sprintf(zone, "region-%u-zone-%u", i % 3, i % ZONES);
	return (sw_heartbeat){
		.instance = name,
		.incarnation = 1,
		.address = "10.100.100.100:8000",
		.zone = zone,
		.rack = "rack-100",
		.service = "service",
		.slots = 8,
		.connections = 64,
	};
}

/// Renews the lease of an entry. Two of five renewals, one per second on average, also carry the
/// load of each pool and the bit set of the instances whose heartbeats the entry received.
/// @param restarted heartbeat of an instance that restarted, or NULL
static void renew_lease(struct simulation *sim, unsigned int entry, const sw_heartbeat *restarted)
{
	char name[16];
	unsigned int seen_bytes = sim->scenario.instances / 8 + 1;
	g_autofree char *seen_ids = g_malloc(seen_bytes);
	bool reporting = (sim->now / RENEW_MS + entry) % 5 < 2;
	g_autofree sw_pool_load *reports = g_new0(sw_pool_load, sim->scenario.pools);
	sw_renew_args args = {
		.entry = name,
		.session = entry + 1,
		.address = "10.0.0.1:7610",
		.applied_view_index = sim->view_indexes[entry],
		.reporting = reporting,
		.heartbeat_bits = {reporting ? seen_bytes : 0, seen_ids},
		.reports = {reporting ? sim->scenario.pools : 0, reports},
	};
	g_autoptr(GPtrArray) replies = NULL;

	sprintf(name, "entry-%u", entry);
	memset(seen_ids, 0x55, seen_bytes);
	for (unsigned int i = 0; i < sim->scenario.pools; i++)
		reports[i] = (sw_pool_load){.pool = "pool-10", .in_use = 4};
	if (restarted) {
		args.registrations.registrations_len = 1;
		args.registrations.registrations_val = (sw_heartbeat *)restarted;
	}
	sim->bytes += xdr_sizeof(CODEC_PROC(sw_renew_args), &args);
	sim->messages++;
	replies = handle_event(sim, (struct control_event){
					    .type = CONTROL_RENEW,
					    .token = 2,
					    .u.renew = &args,
				    });
	for (guint i = 0; i < replies->len; i++) {
		struct control_reply *reply = replies->pdata[i];

		if (reply->proc != SW_PROC_RENEW)
			continue;
		sim->bytes += xdr_sizeof(CODEC_PROC(sw_renew_reply), &reply->u.renew);
		if (reply->u.renew.status == SW_OK)
			sim->view_indexes[entry] = reply->u.renew.index;
	}
}

/// Advances the clock and renews the leases of all entries, with restarts and table changes at the
/// given rates.
static void simulate(struct simulation *sim, clock_ms_t ms, double restarts_per_day,
		     double changes_per_day)
{
	double restarts = 0;
	double changes = 0;

	for (clock_ms_t end = sim->now + ms; sim->now < end; sim->now += TICK_MS) {
		g_ptr_array_unref(handle_event(sim, (struct control_event){.type = CONTROL_TICK}));
		restarts += restarts_per_day * TICK_MS / DAY_MS;
		changes += changes_per_day * TICK_MS / DAY_MS;
		for (unsigned int e = 0; e < sim->scenario.entries; e++) {
			char name[32];
			char zone[32];
			sw_heartbeat heartbeat;
			bool restarted = restarts >= 1;

			if ((sim->now / TICK_MS + e) % (RENEW_MS / TICK_MS) != 0)
				continue;
			heartbeat = endpoint_heartbeat(
				sim, (unsigned int)rand() % sim->scenario.instances, name, zone);
			heartbeat.incarnation = ++sim->incarnation + 1;
			renew_lease(sim, e, restarted ? &heartbeat : NULL);
			restarts -= restarted;
		}
		if (changes >= 1) {
			put_routes(sim, (unsigned int)(sim->now / TICK_MS));
			changes -= 1;
		}
	}
}

/// Starts a control replica, waits until it leads, sets the tables and registers all instances.
static void start_fleet(struct simulation *sim)
{
	const struct control_settings settings = {
		.raft =
			{
				.node = 1,
				.uid = 1,
				.nodes = {1},
				.election_ms = 300,
				.heartbeat_ms = 80,
				.keep_records = 1000,
				.seed = 1,
			},
		.lease_ms = 2000,
		.lease_margin_ms = 200,
		.deadline_max_ms = 30000,
		.suspect_ms = 1000000,
		.forget_ms = 10000000,
		.probation_ms = 10000,
		.snapshot_records = 10000,
		.policy = true,
	};
	struct raft_recovered empty = {0};

	sim->now = 1000;
	sim->control = control_new(&settings, &empty, sim->now);
	simulate(sim, 2000, 0, 0);
	put_pools(sim);
	put_routes(sim, 0);
	for (unsigned int i = 0; i < sim->scenario.instances; i++) {
		char name[32];
		char zone[32];
		sw_heartbeat heartbeat = endpoint_heartbeat(sim, i, name, zone);

		renew_lease(sim, i % sim->scenario.entries, &heartbeat);
	}
	simulate(sim, 5000, 0, 0);
}

static void measure(struct scenario scenario)
{
	size_t before = mallinfo2().uordblks;
	struct simulation sim = {.scenario = scenario};
	double seconds = SIMULATED_MS / 1000.0;

	start_fleet(&sim);
	sim.bytes = 0;
	sim.messages = 0;
	sim.cpu_s = 0;
	sim.log_bytes = 0;
	simulate(&sim, SIMULATED_MS, RESTARTS_PER_DAY, scenario.changes);
	printf("%9u %5u %7u %7u | %8.4f%% %10.1f %9.0f %8.1f %8.2f\n", scenario.instances,
	       scenario.pools, scenario.entries, scenario.changes, 100 * sim.cpu_s / seconds,
	       (double)sim.messages / seconds, (double)sim.bytes / seconds / scenario.entries,
	       sim.log_bytes / seconds, (double)(mallinfo2().uordblks - before) / BYTES_PER_MB);
	control_free(sim.control);
}

int main(void)
{
	static const struct scenario scenarios[] = {
		{50, 5, 7, 520},   {200, 5, 7, 520},  {500, 5, 7, 520},	  {1000, 5, 7, 520},
		{910, 5, 7, 520},  {910, 20, 7, 520}, {910, 51, 7, 520},  {910, 51, 3, 520},
		{910, 51, 5, 520}, {910, 51, 7, 0},   {910, 51, 7, 5200}, {910, 51, 7, 52000},
	};

	printf("instances pools entries changes |      cpu messages/s  B/s/entry  log B/s heap "
	       "MB\n");
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++)
		measure(scenarios[i]);
	return 0;
}
