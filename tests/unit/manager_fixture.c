#include "manager_fixture.h"

#include "base/codec.h"
#include "jobs/access.h"
#include "manager/manager_internal.h"

#include <string.h>

struct manager_settings fixture_settings(void)
{
	return (struct manager_settings){
		.holder = "test",
		.heartbeat_period_ms = 1500,
		.lease_max_ms = 6000,
		.job_retention_s = 120,
		.holder_lease_ms = FIXTURE_HOLDER_LEASE_MS,
		.move_ms = FIXTURE_MOVE_MS,
		.maintenance_ms = FIXTURE_MAINTENANCE_MS,
	};
}

struct manager *fixture_next_manager(const struct jobs *state, uint64_t term, clock_ms_t now,
				     clock_ms_t machine_orders_seen_at)
{
	const struct manager_settings settings = fixture_settings();

	return manager_new(&settings, state, term, now, machine_orders_seen_at);
}

struct manager *fixture_manager(clock_ms_t now)
{
	struct jobs *state = jobs_new();
	struct manager *m = fixture_next_manager(state, 1, now, now);

	jobs_free(state);
	return m;
}

job_command_type fixture_commit(struct jobs *state, GBytes *command)
{
	gsize len;
	const void *data = g_bytes_get_data(command, &len);
	job_command_type type;
	sw_command c;

	g_assert_true(codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c)));
	type = c.sw_command_u.job.type;
	jobs_apply(state, &c.sw_command_u.job);
	codec_free(CODEC_PROC(sw_command), &c);
	return type;
}

void fixture_heartbeat(struct manager *m, clock_ms_t now, const char *id, const char *machine,
		       int64_t incarnation_wall_ms)
{
	fixture_heartbeat_sized(m, now, id, machine, incarnation_wall_ms, FIXTURE_CPU_MILLI, 8000);
}

void fixture_deregister(struct manager *m, clock_ms_t now, const char *id,
			int64_t incarnation_wall_ms)
{
	struct call c = {.type = CALL_DEREGISTER};

	c.heartbeat = (struct endpoint_heartbeat){.id = g_strdup(id),
						  .incarnation_wall_ms = incarnation_wall_ms};
	manager_handle_call(m, now, now, 1, &c);
	call_clear(&c);
}

static struct endpoint_heartbeat make_heartbeat(clock_ms_t now, const char *id, const char *machine,
						int64_t incarnation_wall_ms, uint32_t cpu_milli,
						uint32_t mem_mb)
{
	return (struct endpoint_heartbeat){
		.id = g_strdup(id),
		.incarnation_wall_ms = incarnation_wall_ms,
		.address = g_strdup_printf("10.1.0.%d:80", (int)incarnation_wall_ms),
		.pool = g_strdup("p"),
		.zone = g_strdup("z"),
		.machine = g_strdup(machine),
		.labels = g_ptr_array_new_with_free_func(g_free),
		.cpu_milli = cpu_milli,
		.mem_mb = mem_mb,
		.sequence = 1,
		.clock_ms = now,
	};
}

uint64_t fixture_digest(const char *machine, int64_t incarnation_wall_ms)
{
	struct endpoint_heartbeat hb =
		make_heartbeat(0, "", machine, incarnation_wall_ms, FIXTURE_CPU_MILLI, 8000);
	uint64_t digest = endpoint_heartbeat_digest(&hb);

	endpoint_heartbeat_clear(&hb);
	return digest;
}

void fixture_heartbeat_sized(struct manager *m, clock_ms_t now, const char *id, const char *machine,
			     int64_t incarnation_wall_ms, uint32_t cpu_milli, uint32_t mem_mb)
{
	struct call c = {.type = CALL_HEARTBEAT};

	c.heartbeat = make_heartbeat(now, id, machine, incarnation_wall_ms, cpu_milli, mem_mb);
	manager_handle_call(m, now, now, 1, &c);
	call_clear(&c);
}

void fixture_drain(struct manager *m, clock_ms_t now, const char *id, const char *machine,
		   int64_t incarnation_wall_ms)
{
	struct call c = {.type = CALL_HEARTBEAT};

	c.heartbeat =
		make_heartbeat(now, id, machine, incarnation_wall_ms, FIXTURE_CPU_MILLI, 8000);
	c.heartbeat.draining = true;
	c.heartbeat.sequence = 2;
	manager_handle_call(m, now, now, 1, &c);
	call_clear(&c);
}

static void set_config(struct call *c, uint64_t version)
{
	job_queue *q = calloc(1, sizeof(*q));
	job_pool *p = calloc(2, sizeof(*p));

	*q = (job_queue){.key = strdup("h /q/"), .pool = strdup("p"), .max_attempts = 2};
	p[0] = (job_pool){.name = strdup("p")};
	p[1] = (job_pool){.name = strdup("off"), .standby = true};
	c->config.config_version = version;
	c->config.queues.queues_len = 1;
	c->config.queues.queues_val = q;
	c->config.pools.pools_len = 2;
	c->config.pools.pools_val = p;
}

void fixture_put_config(struct manager *m, clock_ms_t now)
{
	struct call c = {.type = CALL_CONFIG_PUT};

	set_config(&c, 1);
	manager_handle_call(m, now, now, 3, &c);
	call_clear(&c);
}

void fixture_put_accounts(struct manager *m, clock_ms_t now, uint64_t version,
			  const struct fixture_account *accounts, unsigned int n)
{
	struct call c = {.type = CALL_CONFIG_PUT, .has_access = true};
	job_account *rows = calloc(n + 1, sizeof(*rows));

	set_config(&c, version);
	for (unsigned int i = 0; i < n; i++) {
		rows[i] = (job_account){.name = strdup(accounts[i].name),
					.weight_milli = accounts[i].weight_milli,
					.priority = accounts[i].priority,
					.cap = accounts[i].cap};
		rows[i].keys.keys_len = 1;
		rows[i].keys.keys_val = calloc(1, sizeof(job_key_digest));
		rows[i].keys.keys_val[0] =
			access_digest(accounts[i].name, strlen(accounts[i].name));
	}
	c.access.accounts.accounts_len = n;
	c.access.accounts.accounts_val = rows;
	c.access.open_queues.open_queues_len = 1;
	c.access.open_queues.open_queues_val = calloc(1, sizeof(u_int));
	manager_handle_call(m, now, now, 3, &c);
	call_clear(&c);
}

void fixture_submit(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks)
{
	fixture_submit_sized(m, now, id, tasks, 1000, 10);
}

enum reply_status fixture_submit_for(struct manager *m, clock_ms_t now, const char *account,
				     const char *id, const job_step *from)
{
	struct call c = {
		.type = CALL_SUBMIT, .host = g_strdup("h"), .path = g_strconcat("/q/", id, NULL)};
	job_step *step = calloc(1, sizeof(*step));
	enum reply_status status = REPLY_UNAVAILABLE;
	GPtrArray *effects;

	*step = *from;
	step->estimate_ms = 60000;
	step->label = strdup("");
	step->data_rack = strdup("");
	step->image = strdup("");
	c.key = account ? g_bytes_new(account, strlen(account)) : NULL;
	c.spec.payload = strdup("");
	c.spec.steps.steps_len = 1;
	c.spec.steps.steps_val = step;
	manager_handle_call(m, now, now, 4, &c);
	call_clear(&c);
	/* The reply comes last; the caller still gets it. */
	effects = m->effects;
	if (effects->len) {
		const struct effect *e = effects->pdata[effects->len - 1];

		if (e->type == EFFECT_REPLY)
			status = e->u.reply.reply.status;
	}
	return status;
}

static void submit(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks,
		   uint32_t cpu_milli, uint32_t mem_mb, bool long_running)
{
	const job_step step = {.count = tasks,
			       .cpu_milli = cpu_milli,
			       .mem_mb = mem_mb,
			       .long_running = long_running};

	fixture_submit_for(m, now, NULL, id, &step);
}

void fixture_submit_sized(struct manager *m, clock_ms_t now, const char *id, uint32_t tasks,
			  uint32_t cpu_milli, uint32_t mem_mb)
{
	submit(m, now, id, tasks, cpu_milli, mem_mb, false);
}

void fixture_submit_long_running(struct manager *m, clock_ms_t now, const char *id,
				 uint32_t cpu_milli)
{
	submit(m, now, id, 1, cpu_milli, 10, true);
}
