/// @file
/// Cost of the control reducer by size: processor time, bytes and memory, at a day's rate of
/// failures, restarts and changes. One replica, seven entries, no network.

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
#define RESTARTS_A_DAY 145
#define CHANGES_A_DAY 520
#define BYTES_PER_MB 1048576.0

struct size {
	unsigned int instances;
	unsigned int pools;
	unsigned int entries;
	unsigned int changes;
};

struct run {
	struct size size;
	struct control *control;
	clock_ms_t now;
	uint64_t views[ENTRIES];
	unsigned long bytes;
	unsigned long messages;
	unsigned long incarnation;
	double cpu_s;
	double log_bytes;
};

static double cpu_now_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/// Feeds one event and carries out the effects as a replica with an instant disk would.
static GPtrArray *feed(struct run *r, struct control_event event)
{
	double from = cpu_now_s();
	GPtrArray *replies;

	event.wall_ms = r->now;
	control_step(r->control, r->now, &event);
	for (;;) {
		g_autoptr(GPtrArray) effects = NULL;

		control_step(r->control, r->now, &(struct control_event){.type = CONTROL_FLUSH});
		effects = raft_take_effects(r->control->raft);
		if (!effects->len)
			break;
		for (guint i = 0; i < effects->len; i++) {
			const struct raft_effect *e = effects->pdata[i];

			for (guint k = 0; e->type == RAFT_APPEND_LOG && k < e->u.records->len;
			     k++) {
				const struct raft_log_record *record = e->u.records->pdata[k];

				r->log_bytes += (double)g_bytes_get_size(record->command) + 24;
			}
		}
		control_step(r->control, r->now,
			     &(struct control_event){.type = CONTROL_PERSISTED});
	}
	replies = control_take_replies(r->control);
	r->cpu_s += cpu_now_s() - from;
	return replies;
}

static void put(struct run *r, const char *table, const char *json, uint64_t version)
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

	g_ptr_array_unref(feed(r, (struct control_event){
					  .type = CONTROL_ADMIN,
					  .token = 1,
					  .u.admin = &args,
				  }));
}

static void put_pools(struct run *r)
{
	g_autoptr(GString) json = g_string_new("{\"pools\":[");

	for (unsigned int i = 0; i < r->size.pools; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"pool-%u\",\"instances\":[\"p%u-*\"],"
				       "\"max_out\":2,\"spare\":%s}",
				       i ? "," : "", i, i, i ? "false" : "true");
	g_string_append(json, "]}");
	put(r, "pools", json->str, r->control->fleet->pools_version);
}

static void put_routes(struct run *r, unsigned int n)
{
	g_autoptr(GString) json = g_string_new("{\"routes\":[");

	for (unsigned int i = 0; i < r->size.pools; i++)
		g_string_append_printf(json,
				       "%s{\"name\":\"r%u\",\"match\":{\"path_prefix\":\"/%u\"},"
				       "\"pool\":\"pool-%u\",\"deadline_ms\":%u}",
				       i ? "," : "", i, i, i, 1000 + n % 100);
	g_string_append(json, "]}");
	put(r, "routes", json->str, r->control->fleet->routes_version);
}

static sw_heartbeat announcement(const struct run *r, unsigned int i, char *name, char *zone)
{
	sprintf(name, "p%u-%u", i % r->size.pools, i);
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

/// One renewal of an entry: reports of its pools, the instances heard, and at most one restarted.
static void renew(struct run *r, unsigned int entry, const sw_heartbeat *restarted)
{
	char name[16];
	unsigned int n_heard = r->size.instances / 8 + 1;
	g_autofree char *heard = g_malloc(n_heard);
	bool reporting = (r->now / RENEW_MS + entry) % 5 < 2;
	g_autofree sw_pool_report *reports = g_new0(sw_pool_report, r->size.pools);
	sw_renew_args args = {
		.entry = name,
		.session = entry + 1,
		.address = "10.0.0.1:7610",
		.have_index = r->views[entry],
		.reporting = reporting,
		.heard = {reporting ? n_heard : 0, heard},
		.reports = {reporting ? r->size.pools : 0, reports},
	};
	g_autoptr(GPtrArray) replies = NULL;

	sprintf(name, "entry-%u", entry);
	memset(heard, 0x55, n_heard);
	for (unsigned int i = 0; i < r->size.pools; i++)
		reports[i] = (sw_pool_report){.pool = "pool-10", .in_use = 4};
	if (restarted) {
		args.announcements.announcements_len = 1;
		args.announcements.announcements_val = (sw_heartbeat *)restarted;
	}
	r->bytes += xdr_sizeof(CODEC_PROC(sw_renew_args), &args);
	r->messages++;
	replies = feed(r, (struct control_event){
				  .type = CONTROL_RENEW,
				  .token = 2,
				  .u.renew = &args,
			  });
	for (guint i = 0; i < replies->len; i++) {
		struct control_reply *reply = replies->pdata[i];

		if (reply->proc != SW_PROC_RENEW)
			continue;
		r->bytes += xdr_sizeof(CODEC_PROC(sw_renew_reply), &reply->u.renew);
		if (reply->u.renew.status == SW_OK)
			r->views[entry] = reply->u.renew.index;
	}
}

static void simulate(struct run *r, clock_ms_t ms, double restarts_a_day, double changes_a_day)
{
	double restarts = 0;
	double changes = 0;

	for (clock_ms_t end = r->now + ms; r->now < end; r->now += TICK_MS) {
		g_ptr_array_unref(feed(r, (struct control_event){.type = CONTROL_TICK}));
		restarts += restarts_a_day * TICK_MS / DAY_MS;
		changes += changes_a_day * TICK_MS / DAY_MS;
		for (unsigned int e = 0; e < r->size.entries; e++) {
			char name[32];
			char zone[32];
			sw_heartbeat a;
			bool restarted = restarts >= 1;

			if ((r->now / TICK_MS + e) % (RENEW_MS / TICK_MS) != 0)
				continue;
			a = announcement(r, (unsigned int)rand() % r->size.instances, name, zone);
			a.incarnation = ++r->incarnation + 1;
			renew(r, e, restarted ? &a : NULL);
			restarts -= restarted;
		}
		if (changes >= 1) {
			put_routes(r, (unsigned int)(r->now / TICK_MS));
			changes -= 1;
		}
	}
}

static void start(struct run *r)
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

	r->now = 1000;
	r->control = control_new(&settings, &empty, r->now);
	simulate(r, 2000, 0, 0);
	put_pools(r);
	put_routes(r, 0);
	for (unsigned int i = 0; i < r->size.instances; i++) {
		char name[32];
		char zone[32];
		sw_heartbeat a = announcement(r, i, name, zone);

		renew(r, i % r->size.entries, &a);
	}
	simulate(r, 5000, 0, 0);
}

static void measure(struct size size)
{
	size_t before = mallinfo2().uordblks;
	struct run r = {.size = size};
	double seconds = SIMULATED_MS / 1000.0;

	start(&r);
	r.bytes = 0;
	r.messages = 0;
	r.cpu_s = 0;
	r.log_bytes = 0;
	simulate(&r, SIMULATED_MS, RESTARTS_A_DAY, size.changes);
	printf("%9u %5u %7u %7u | %8.4f%% %10.1f %9.0f %8.1f %8.2f\n", size.instances, size.pools,
	       size.entries, size.changes, 100 * r.cpu_s / seconds, (double)r.messages / seconds,
	       (double)r.bytes / seconds / size.entries, r.log_bytes / seconds,
	       (double)(mallinfo2().uordblks - before) / BYTES_PER_MB);
	control_free(r.control);
}

int main(void)
{
	static const struct size sizes[] = {
		{50, 5, 7, 520},   {200, 5, 7, 520},  {500, 5, 7, 520},	  {1000, 5, 7, 520},
		{910, 5, 7, 520},  {910, 20, 7, 520}, {910, 51, 7, 520},  {910, 51, 3, 520},
		{910, 51, 5, 520}, {910, 51, 7, 0},   {910, 51, 7, 5200}, {910, 51, 7, 52000},
	};

	printf("instances pools entries changes |      cpu messages/s  B/s/entry  log B/s heap "
	       "MB\n");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++)
		measure(sizes[i]);
	return 0;
}
