/// @file
/// Maintenance waves through the job manager's public interface: cases that the property tests
/// rarely reach.

#include "manager_fixture.h"

#include "base/codec.h"
#include "sched/waves.h"

#include <string.h>

#define HOLDER_LEASE_MS FIXTURE_HOLDER_LEASE_MS
#define WAVE_S 30
#define MAINTENANCE_MS FIXTURE_MAINTENANCE_MS

static void put_wave_numbered(struct manager *m, clock_ms_t now, uint64_t number,
			      const char *const *machines, unsigned int n, uint32_t cap,
			      uint32_t wave_s)
{
	struct call c = {.type = CALL_WAVE_PUT, .wave_s = wave_s};

	c.wave.number = number;
	c.wave.cap = cap;
	c.wave.machines.machines_val = calloc(n, sizeof(job_wave_machine));
	for (unsigned int i = 0; i < n; i++)
		c.wave.machines.machines_val[c.wave.machines.machines_len++].machine =
			strdup(machines[i]);
	manager_handle_call(m, now, now, 2, &c);
	call_clear(&c);
}

static void put_wave(struct manager *m, clock_ms_t now, const char *const *machines, unsigned int n,
		     uint32_t cap)
{
	put_wave_numbered(m, now, 1, machines, n, cap, WAVE_S);
}

/// Runs the manager from @p from to @p until and accepts every maintenance order.
///
/// @return number of maintenance orders sent
static unsigned int run_and_count_maintenance_orders(struct manager *m, clock_ms_t from,
						     clock_ms_t until)
{
	unsigned int n = 0;

	for (clock_ms_t now = from; now < until; now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];
			struct order_result *r;

			if (e->type != EFFECT_ORDER ||
			    e->u.order->type != ORDER_MACHINE_MAINTENANCE)
				continue;
			n++;
			r = order_result_new(e->u.order->id, ORDER_OK);
			manager_handle_result(m, now, now, r);
			order_result_free(r);
		}
	}
	return n;
}

/// An incarnation that started just before the maintenance sends its first heartbeat just after the
/// order. This must not count as the machine's return, or the cap is exceeded.
static void test_heartbeat_before_maintenance_is_no_return(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 300), ==, 1);
	now += 300;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 1000), ==, 0);
	manager_free(m);
}

/// The next machine goes down once the first one has returned from maintenance.
static void test_returned_machine_frees_the_cap(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);

	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + MAINTENANCE_MS), ==, 1);
	now += MAINTENANCE_MS + 100;
	fixture_heartbeat(m, now, "i-3", "m-1", 3);
	fixture_heartbeat(m, now, "i-4", "m-2", 4);
	g_assert_cmpuint(run_and_count_maintenance_orders(m, now, now + 1000), ==, 1);
	manager_free(m);
}

/// Orders that the manager has sent.
struct seen_orders {
	unsigned int starts;
	uint64_t stop;	       ///< order id of the latest stop, unanswered
	uint64_t status_query; ///< order id of the latest status query, unanswered
	uint64_t maintenance;  ///< order id of the latest maintenance order, unanswered
};

/// Runs the manager from @p from to @p until and accepts start orders only.
static void run_accepting_starts(struct manager *m, clock_ms_t from, clock_ms_t until,
				 struct seen_orders *seen)
{
	for (clock_ms_t now = from; now < until; now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(m, now, now);
		effects = manager_take_effects(m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];
			struct order_result *r;

			if (e->type != EFFECT_ORDER)
				continue;
			if (e->u.order->type == ORDER_STOP)
				seen->stop = e->u.order->id;
			if (e->u.order->type == ORDER_STATUS_QUERY)
				seen->status_query = e->u.order->id;
			if (e->u.order->type == ORDER_MACHINE_MAINTENANCE)
				seen->maintenance = e->u.order->id;
			if (e->u.order->type != ORDER_START)
				continue;
			seen->starts++;
			r = order_result_new(e->u.order->id, ORDER_OK);
			manager_handle_result(m, now, now, r);
			order_result_free(r);
		}
	}
}

/// The fixture derives an endpoint's address from these bits of its incarnation.
#define LATER_AT_ADDRESS_OF(incarnation) (((int64_t)1 << 32) + (incarnation))

/// A status answer that arrives after another endpoint has shown up at the address lists a
/// completed task. The completion must be recorded, or the task runs a second time.
static void test_listed_completion_survives_crash(void)
{
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);
	struct seen_orders seen = {0};
	struct order_result *r;
	struct completion_record end = {.number = 1, .attempt = 1, .outcome = ATTEMPT_DONE};
	uint64_t status_query;

	now += HOLDER_LEASE_MS + 1000;
	fixture_put_config(m, now);
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_submit(m, now, "j", 1);
	run_accepting_starts(m, now, now + 200, &seen);
	now += 200;
	g_assert_cmpuint(seen.starts, ==, 1);
	status_query = seen.status_query;
	g_assert_cmpuint(status_query, !=, 0);
	fixture_heartbeat(m, now, "i-2", "m-1", LATER_AT_ADDRESS_OF(1));
	run_accepting_starts(m, now, now + 50, &seen);
	now += 50;
	r = order_result_new(status_query, ORDER_OK);
	r->incarnation_wall_ms = 1;
	end.task = g_strdup("j.0.0.0");
	end.checkpoint = g_strdup("");
	g_array_append_val(r->completions, end);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	run_accepting_starts(m, now, now + 1000, &seen);
	g_assert_cmpuint(seen.starts, ==, 1);
	manager_free(m);
}

/// A task of bounded run time is at work when its machine's maintenance can't wait any longer. It
/// is stopped first: its end might be listed in an answer that the shutdown cuts off, and a task
/// that was done would run again.
static void test_short_task_ends_before_maintenance(void)
{
	const char *const machines[] = {"m-1"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);
	struct seen_orders seen = {0};
	struct order_result *r;
	struct completion_record end = {.number = 1, .attempt = 1, .outcome = ATTEMPT_DONE};

	now += HOLDER_LEASE_MS + 1000;
	fixture_put_config(m, now);
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_submit(m, now, "j", 1);
	run_accepting_starts(m, now, now + 200, &seen);
	now += 200;
	g_assert_cmpuint(seen.starts, ==, 1);
	put_wave(m, now, machines, 1, 1);
	run_accepting_starts(m, now, now + 3000, &seen);
	now += 3000;
	g_assert_cmpuint(seen.stop, !=, 0);
	g_assert_cmpuint(seen.maintenance, ==, 0);
	r = order_result_new(seen.status_query, ORDER_OK);
	r->incarnation_wall_ms = 1;
	end.task = g_strdup("j.0.0.0");
	end.checkpoint = g_strdup("");
	g_array_append_val(r->completions, end);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	run_accepting_starts(m, now, now + 1000, &seen);
	g_assert_cmpuint(seen.maintenance, !=, 0);
	g_assert_cmpuint(seen.starts, ==, 1);
	manager_free(m);
}

/* Several waves. */

#define MACHINES 4
#define HEARTBEAT_MS 1500

/// A machine of a simulated site; its endpoint has the id "i-" and the number of the incarnation.
struct site_machine {
	const char *name;
	clock_ms_t down_until; ///< 0: it is up
	bool stays_down;       ///< after its maintenance it does not return
	int64_t incarnation;
	uint64_t fenced_by;  ///< term of the leader whose first status query was answered
	uint64_t open_query; ///< order id of the latest status query
};

/// How the simulated machine service treats the next orders.
enum service_mode {
	SERVICE_ANSWERS,
	SERVICE_LOSES_ANSWERS, ///< executes orders without an answer
	SERVICE_LOSES_ORDERS,  ///< executes nothing
};

/// A leader with the machines of a site, the machine service and the committed state.
struct site {
	struct manager *m;
	struct jobs *committed;
	uint64_t term;
	clock_ms_t now;
	clock_ms_t maintenance_ms;
	struct site_machine machines[MACHINES];
	GHashTable *maintained; ///< "wave machine" of each executed order
	enum service_mode mode;
	uint64_t impaired_wave; ///< mode applies to this wave only; 0: to all
	const char *rejected;	///< "wave machine" of orders that are rejected, or NULL
	int64_t latest_incarnation;
	uint64_t sequence; ///< of the latest heartbeats
	clock_ms_t next_beat_at;
	unsigned int n_orders;
	unsigned int n_starts;
	unsigned int most_down; ///< highest number of machines that were down at once
};

static struct manager *site_manager(const struct site *s)
{
	struct manager_settings settings = fixture_settings();

	settings.maintenance_ms = (uint32_t)s->maintenance_ms;
	return manager_new(&settings, s->committed, s->term, s->now, s->now);
}

static void site_start_endpoint(struct site *s, struct site_machine *x)
{
	g_autofree char *id = NULL;

	x->down_until = 0;
	x->incarnation = ++s->latest_incarnation;
	id = g_strdup_printf("i-%d", (int)x->incarnation);
	fixture_heartbeat(s->m, s->now, id, x->name, x->incarnation);
}

/// Sends a heartbeat of each endpoint; a full one where the leader needs it.
static void site_beat(struct site *s)
{
	s->next_beat_at = s->now + HEARTBEAT_MS;
	s->sequence++;
	for (int i = 0; i < MACHINES; i++) {
		const struct site_machine *x = &s->machines[i];
		g_autofree char *id = g_strdup_printf("i-%d", (int)x->incarnation);
		struct short_heartbeat hb = {
			.id = id,
			.incarnation_wall_ms = x->incarnation,
			.sequence = s->sequence + 1,
			.clock_ms = s->now,
			.digest = fixture_digest(x->name, x->incarnation),
		};

		if (!x->down_until && !manager_handle_short_heartbeat(s->m, s->now, &hb))
			fixture_heartbeat(s->m, s->now, id, x->name, x->incarnation);
	}
}

static void site_init(struct site *s, clock_ms_t maintenance_ms)
{
	static const char *const names[MACHINES] = {"m-1", "m-2", "m-3", "m-4"};

	*s = (struct site){
		.committed = jobs_new(),
		.term = 1,
		.now = FIXTURE_START_MS,
		.maintenance_ms = maintenance_ms,
		.maintained = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
	};
	s->m = site_manager(s);
	s->now += 2 * maintenance_ms + HOLDER_LEASE_MS + 1000;
	for (int i = 0; i < MACHINES; i++) {
		s->machines[i].name = names[i];
		site_start_endpoint(s, &s->machines[i]);
	}
}

static void site_clear(struct site *s)
{
	manager_free(s->m);
	jobs_free(s->committed);
	g_hash_table_unref(s->maintained);
}

static struct site_machine *site_find(struct site *s, const char *name)
{
	for (int i = 0; i < MACHINES; i++)
		if (g_str_equal(s->machines[i].name, name))
			return &s->machines[i];
	return NULL;
}

static void site_answer(struct site *s, uint64_t id, enum order_status status)
{
	struct order_result *r = order_result_new(id, status);

	manager_handle_result(s->m, s->now, s->now, r);
	order_result_free(r);
}

static enum order_status site_execute(struct site *s, const struct order *o)
{
	struct site_machine *x = site_find(s, o->machine);
	g_autofree char *key = g_strdup_printf("%lu %s", (unsigned long)o->wave, o->machine);
	unsigned int n_down = 0;

	if (g_hash_table_contains(s->maintained, key))
		return ORDER_OK;
	if (g_strcmp0(key, s->rejected) == 0)
		return ORDER_MACHINE_NOT_IN_WAVE;
	if (x->down_until)
		return ORDER_MACHINE_BUSY;
	g_hash_table_add(s->maintained, g_steal_pointer(&key));
	x->down_until = s->now + s->maintenance_ms;
	for (int i = 0; i < MACHINES; i++)
		n_down += s->machines[i].down_until > 0;
	s->most_down = MAX(s->most_down, n_down);
	return ORDER_OK;
}

static void site_maintain(struct site *s, const struct order *o)
{
	enum service_mode mode =
		s->impaired_wave && o->wave != s->impaired_wave ? SERVICE_ANSWERS : s->mode;
	enum order_status status = ORDER_NO_ANSWER;

	s->n_orders++;
	if (mode != SERVICE_LOSES_ORDERS)
		status = site_execute(s, o);
	site_answer(s, o->id, mode == SERVICE_ANSWERS ? status : ORDER_NO_ANSWER);
}

static void site_list(struct site *s, const struct order *o)
{
	struct order_result *r = order_result_new(o->id, ORDER_OK);

	for (int i = 0; i < MACHINES; i++) {
		const struct site_machine *x = &s->machines[i];
		struct machine_row row = {
			.machine = g_strdup(x->name),
			.pool = g_strdup("p"),
			.endpoint = g_strdup(""),
			.state = x->down_until ? MACHINE_MAINTENANCE : MACHINE_UP,
		};

		g_array_append_val(r->machines, row);
	}
	manager_handle_result(s->m, s->now, s->now, r);
	order_result_free(r);
}

static void site_commit(struct site *s, GBytes *command)
{
	gsize len;
	const void *data = g_bytes_get_data(command, &len);
	sw_command c;

	g_assert_true(codec_decode(CODEC_PROC(sw_command), data, len, &c, sizeof(c)));
	jobs_apply(s->committed, &c.sw_command_u.job);
	codec_free(CODEC_PROC(sw_command), &c);
}

/// Keeps a status query open; answers a later leader's first one to an endpoint, which has no
/// attempts then.
static void site_query_status(struct site *s, const struct order *o)
{
	for (int i = 0; i < MACHINES; i++) {
		struct site_machine *x = &s->machines[i];
		g_autofree char *id = g_strdup_printf("i-%d", (int)x->incarnation);
		struct order_result *r;

		if (!g_str_equal(id, o->instance))
			continue;
		x->open_query = o->id;
		if (s->term == 1 || x->fenced_by == s->term)
			continue;
		x->fenced_by = s->term;
		r = order_result_new(o->id, ORDER_OK);
		r->incarnation_wall_ms = x->incarnation;
		r->clock_ms = s->now;
		manager_handle_result(s->m, s->now, s->now, r);
		order_result_free(r);
	}
}

/// Stops an attempt and lists its end in the answer to the open status query.
static void site_stop(struct site *s, const struct order *o)
{
	struct completion_record end = {
		.number = 1, .attempt = o->attempt, .outcome = ATTEMPT_INTERRUPTED};

	site_answer(s, o->id, ORDER_OK);
	for (int i = 0; i < MACHINES; i++) {
		const struct site_machine *x = &s->machines[i];
		g_autofree char *id = g_strdup_printf("i-%d", (int)x->incarnation);
		struct order_result *r;

		if (!g_str_equal(id, o->instance))
			continue;
		r = order_result_new(x->open_query, ORDER_OK);
		r->incarnation_wall_ms = x->incarnation;
		end.task = g_strdup(o->task);
		end.checkpoint = g_strdup("");
		g_array_append_val(r->completions, end);
		manager_handle_result(s->m, s->now, s->now, r);
		order_result_free(r);
	}
}

static void site_run(struct site *s, clock_ms_t ms)
{
	for (clock_ms_t until = s->now + ms; s->now < until; s->now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		for (int i = 0; i < MACHINES; i++)
			if (s->machines[i].down_until && s->now >= s->machines[i].down_until &&
			    !s->machines[i].stays_down)
				site_start_endpoint(s, &s->machines[i]);
		if (s->now >= s->next_beat_at)
			site_beat(s);
		manager_tick(s->m, s->now, s->now);
		effects = manager_take_effects(s->m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];

			if (e->type == EFFECT_PROPOSE)
				site_commit(s, e->u.command);
			if (e->type != EFFECT_ORDER)
				continue;
			if (e->u.order->type == ORDER_MACHINE_MAINTENANCE)
				site_maintain(s, e->u.order);
			if (e->u.order->type == ORDER_MACHINE_LIST)
				site_list(s, e->u.order);
			if (e->u.order->type == ORDER_MACHINE_MOVE)
				site_answer(s, e->u.order->id, ORDER_REJECTED);
			if (e->u.order->type == ORDER_STATUS_QUERY)
				site_query_status(s, e->u.order);
			if (e->u.order->type == ORDER_STOP)
				site_stop(s, e->u.order);
			if (e->u.order->type != ORDER_START)
				continue;
			s->n_starts++;
			site_answer(s, e->u.order->id, ORDER_OK);
		}
	}
}

static void site_put_wave(struct site *s, uint64_t number, const char *const *machines,
			  unsigned int n, uint32_t cap)
{
	put_wave_numbered(s->m, s->now, number, machines, n, cap, WAVE_S);
	site_run(s, MANAGER_TICK_MS);
}

static bool site_wave_is_complete(const struct site *s, uint64_t number)
{
	return waves_is_complete(jobs_wave(s->committed, number));
}

/// A second wave takes down machines that returned from the first one. They must count as down
/// again, or the cap is exceeded.
static void test_second_wave_over_same_machines_keeps_cap(void)
{
	const char *const machines[] = {"m-1", "m-2", "m-3"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	site_put_wave(&s, 1, machines, 3, 1);
	site_run(&s, 15000);
	g_assert_true(site_wave_is_complete(&s, 1));
	site_put_wave(&s, 2, machines, 3, 1);
	site_run(&s, 15000);
	g_assert_true(site_wave_is_complete(&s, 2));
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

/// As above, with waves that overlap: machines of the first wave go down for the second one while
/// others still wait for the first.
static void test_overlapping_waves_over_same_machines_keep_cap(void)
{
	const char *const machines[] = {"m-1", "m-2", "m-3", "m-4"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	site_put_wave(&s, 1, machines, 4, 1);
	site_run(&s, 4000);
	g_assert_false(site_wave_is_complete(&s, 1));
	site_put_wave(&s, 2, machines, 4, 1);
	site_run(&s, 25000);
	g_assert_true(site_wave_is_complete(&s, 1));
	g_assert_true(site_wave_is_complete(&s, 2));
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

/// Wave 1's order for m-1 is in doubt when wave 2 could take m-2 down, which is of wave 1 as well.
/// The repetition of wave 1's order would then exceed the cap of wave 1.
static void test_order_of_one_wave_keeps_cap_of_another(void)
{
	const char *const first[] = {"m-1", "m-2"};
	const char *const second[] = {"m-2"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	s.mode = SERVICE_LOSES_ORDERS;
	s.impaired_wave = 1;
	site_put_wave(&s, 1, first, 2, 1);
	site_run(&s, 300);
	g_assert_cmpuint(s.n_orders, ==, 1);
	site_put_wave(&s, 2, second, 1, 1);
	site_run(&s, 300);
	s.mode = SERVICE_ANSWERS;
	site_run(&s, 15000);
	g_assert_true(site_wave_is_complete(&s, 1));
	g_assert_true(site_wave_is_complete(&s, 2));
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

/// Wave 1's orders for two machines are in doubt when wave 2 comes, which covers both and allows
/// one machine less. Repeating both at once would exceed the cap of wave 2.
static void test_repeated_orders_keep_cap_of_later_wave(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	s.mode = SERVICE_LOSES_ORDERS;
	site_put_wave(&s, 1, machines, 2, 2);
	site_run(&s, 300);
	g_assert_cmpuint(s.n_orders, ==, 2);
	site_put_wave(&s, 2, machines, 2, 1);
	s.mode = SERVICE_ANSWERS;
	site_run(&s, 20000);
	g_assert_true(site_wave_is_complete(&s, 1));
	g_assert_true(site_wave_is_complete(&s, 2));
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

static void site_change_leader(struct site *s)
{
	manager_free(s->m);
	s->now += 100;
	s->term++;
	s->m = site_manager(s);
	s->next_beat_at = s->now;
}

/// @return number of tasks of a job that are assigned to the present endpoint of a machine
static unsigned int site_tasks_on(struct site *s, const char *job, const char *machine)
{
	const job_step_state *step = &jobs_find(s->committed, job)
					      ->image.occurrences.occurrences_val[0]
					      .steps.steps_val[0];
	int64_t incarnation = site_find(s, machine)->incarnation;
	unsigned int n = 0;

	for (u_int i = 0; i < step->tasks.tasks_len; i++) {
		const job_task *t = &step->tasks.tasks_val[i];
		const struct job_incarnation_state *at =
			jobs_incarnation(s->committed, t->endpoint);

		n += t->phase == JOB_TASK_ASSIGNED && at &&
		     at->endpoint.incarnation_wall_ms == incarnation;
	}
	return n;
}

/// Wave 2's order for a machine is executed and not answered; the machine returns, and may take no
/// work while the order is open. Wave 1 orders the machine in vain. The repetition of wave 2's
/// order, answered because it is done already, must not count as the end of the machine's next
/// endpoint, or its work runs twice.
static void test_repeated_order_of_other_wave_keeps_work(void)
{
	const char *const machines[] = {"m-1"};
	struct site s;
	int64_t before;

	site_init(&s, MAINTENANCE_MS + 150); /* it returns between two repetitions */
	fixture_put_config(s.m, s.now);
	s.rejected = "1 m-1";
	s.impaired_wave = 2;
	s.mode = SERVICE_LOSES_ANSWERS;
	before = s.machines[0].incarnation;
	site_put_wave(&s, 2, machines, 1, 2);
	site_run(&s, 300);
	g_assert_cmpuint(s.n_orders, ==, 1);
	s.mode = SERVICE_LOSES_ORDERS;
	site_run(&s, MAINTENANCE_MS + 150);
	g_assert_cmpint(s.machines[0].incarnation, !=, before);
	site_put_wave(&s, 1, machines, 1, 2);
	fixture_submit_sized(s.m, s.now, "j", MACHINES, FIXTURE_CPU_MILLI, 10);
	site_run(&s, 2800); /* time for wave 1's order */
	g_assert_cmpuint(s.n_starts, ==, MACHINES - 1);
	g_assert_cmpuint(site_tasks_on(&s, "j", "m-1"), ==, 0);
	s.mode = SERVICE_ANSWERS;
	site_run(&s, 500);
	g_assert_true(site_wave_is_complete(&s, 2));
	site_run(&s, (clock_ms_t)2 * HEARTBEAT_MS);
	g_assert_cmpuint(site_tasks_on(&s, "j", "m-1"), ==, 1);
	site_clear(&s);
}

/// An earlier leader's order for a machine may be executed late and would end what is started
/// there.
static void test_machine_ordered_by_earlier_leader_gets_no_work(void)
{
	const char *const machines[] = {"m-1"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	fixture_put_config(s.m, s.now);
	s.mode = SERVICE_LOSES_ORDERS;
	site_put_wave(&s, 1, machines, 1, 1);
	site_run(&s, 300);
	g_assert_cmpuint(s.n_orders, ==, 1);
	site_change_leader(&s);
	fixture_submit_sized(s.m, s.now, "j", MACHINES, FIXTURE_CPU_MILLI, 10);
	site_run(&s, 1000);
	g_assert_cmpuint(s.n_starts, ==, MACHINES - 1);
	g_assert_cmpuint(site_tasks_on(&s, "j", "m-1"), ==, 0);
	site_clear(&s);
}

/// Machines that an earlier leader took down stay down for longer than a new leader waits before
/// its first order. They must count, or the cap is exceeded.
static void test_new_leader_counts_machines_down(void)
{
	const char *const machines[] = {"m-1", "m-2", "m-3", "m-4"};
	struct site s;

	site_init(&s, 5000);
	site_put_wave(&s, 1, machines, 4, 1);
	site_run(&s, 500);
	g_assert_cmpuint(s.n_orders, ==, 1);
	site_change_leader(&s);
	site_run(&s, 9000);
	g_assert_cmpuint(s.n_orders, ==, 2);
	site_change_leader(&s);
	site_run(&s, 40000);
	g_assert_true(site_wave_is_complete(&s, 1));
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

/// A machine that has returned when the leader changes takes no capacity from the wave: the new
/// leader goes on as soon as it may send orders.
static void check_new_leader_goes_on(clock_ms_t maintenance_ms, bool lists_machines)
{
	const char *const machines[] = {"m-1", "m-2"};
	struct site s;

	site_init(&s, maintenance_ms);
	if (lists_machines)
		fixture_put_config(s.m, s.now);
	site_put_wave(&s, 1, machines, 2, 1);
	s.machines[0].stays_down = true;
	while (!s.machines[0].down_until || s.now < s.machines[0].down_until)
		site_run(&s, MANAGER_TICK_MS);
	g_assert_cmpuint(s.n_orders, ==, 1);
	s.machines[0].stays_down = false;
	site_change_leader(&s);
	site_run(&s, HOLDER_LEASE_MS + 1000);
	g_assert_cmpuint(s.n_orders, ==, 2);
	g_assert_cmpuint(s.most_down, ==, 1);
	site_clear(&s);
}

static void test_heard_machine_frees_cap_of_new_leader(void)
{
	check_new_leader_goes_on(MAINTENANCE_MS, false);
}

static void test_listed_machine_frees_cap_of_new_leader(void)
{
	check_new_leader_goes_on(10000, true);
}

/// A machine that does not return from its maintenance takes capacity from the wave for a limited
/// time only, also from later leaders.
static void test_machine_that_stays_down_frees_the_cap(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	struct site s;

	site_init(&s, MAINTENANCE_MS);
	s.machines[0].stays_down = true;
	site_put_wave(&s, 1, machines, 2, 1);
	site_run(&s, 500);
	g_assert_cmpuint(s.n_orders, ==, 1);
	site_change_leader(&s);
	site_run(&s, 10000);
	g_assert_cmpuint(s.n_orders, ==, 2);
	g_assert_true(site_wave_is_complete(&s, 1));
	site_clear(&s);
}

/// The machine service executes an order long after it was sent. An endpoint that started between
/// the two sends a heartbeat that arrives late. This must not count as the machine's return, though
/// the duration of the maintenance has passed since the order was sent.
static void test_heartbeat_before_late_maintenance_is_no_return(void)
{
	const char *const machines[] = {"m-1", "m-2"};
	clock_ms_t now = FIXTURE_START_MS;
	struct manager *m = fixture_manager(now);
	struct seen_orders seen = {0};
	uint64_t order;
	struct order_result *r;

	now += HOLDER_LEASE_MS + 1000;
	fixture_heartbeat(m, now, "i-1", "m-1", 1);
	fixture_heartbeat(m, now, "i-2", "m-2", 2);
	put_wave(m, now, machines, 2, 1);
	run_accepting_starts(m, now, now + 200, &seen);
	order = seen.maintenance;
	g_assert_cmpuint(order, !=, 0);
	run_accepting_starts(m, now + 200, now + 1400, &seen);
	now += 1400;
	g_assert_cmpuint(seen.maintenance, ==, order);
	r = order_result_new(order, ORDER_OK);
	manager_handle_result(m, now, now, r);
	order_result_free(r);
	run_accepting_starts(m, now, now + 800, &seen);
	fixture_heartbeat(m, now + 800, "i-3", "m-1", 3);
	run_accepting_starts(m, now + 800, now + MAINTENANCE_MS, &seen);
	g_assert_cmpuint(seen.maintenance, ==, order);
	now += MAINTENANCE_MS;
	fixture_heartbeat(m, now, "i-4", "m-1", 4);
	fixture_heartbeat(m, now, "i-5", "m-2", 5);
	run_accepting_starts(m, now, now + 500, &seen);
	g_assert_cmpuint(seen.maintenance, !=, order);
	manager_free(m);
}

/// A wave that cannot be done in time must be reported while an operator can still act.
static void test_wave_at_risk_is_recognized(void)
{
	const job_wave wave = {.cap = 10};

	g_assert_false(waves_is_at_risk(&wave, 0, 0, MAINTENANCE_MS, -1));
	g_assert_false(waves_is_at_risk(&wave, 20, 0, MAINTENANCE_MS, 5000));
	g_assert_true(waves_is_at_risk(&wave, 21, 0, MAINTENANCE_MS, 5000));
	g_assert_true(waves_is_at_risk(&wave, 1, 1, MAINTENANCE_MS, 5000));
	g_assert_false(waves_is_at_risk(&wave, 1, 1, MAINTENANCE_MS, 6000));
	g_assert_true(waves_is_at_risk(&wave, 1, 0, MAINTENANCE_MS, -1));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/waves/heartbeat_before_maintenance_is_no_return",
			test_heartbeat_before_maintenance_is_no_return);
	g_test_add_func("/waves/returned_machine_frees_the_cap",
			test_returned_machine_frees_the_cap);
	g_test_add_func("/waves/listed_completion_survives_crash",
			test_listed_completion_survives_crash);
	g_test_add_func("/waves/short_task_ends_before_maintenance",
			test_short_task_ends_before_maintenance);
	g_test_add_func("/waves/second_wave_over_same_machines_keeps_cap",
			test_second_wave_over_same_machines_keeps_cap);
	g_test_add_func("/waves/overlapping_waves_over_same_machines_keep_cap",
			test_overlapping_waves_over_same_machines_keep_cap);
	g_test_add_func("/waves/order_of_one_wave_keeps_cap_of_another",
			test_order_of_one_wave_keeps_cap_of_another);
	g_test_add_func("/waves/repeated_orders_keep_cap_of_later_wave",
			test_repeated_orders_keep_cap_of_later_wave);
	g_test_add_func("/waves/repeated_order_of_other_wave_keeps_work",
			test_repeated_order_of_other_wave_keeps_work);
	g_test_add_func("/waves/machine_ordered_by_earlier_leader_gets_no_work",
			test_machine_ordered_by_earlier_leader_gets_no_work);
	g_test_add_func("/waves/new_leader_counts_machines_down",
			test_new_leader_counts_machines_down);
	g_test_add_func("/waves/heard_machine_frees_cap_of_new_leader",
			test_heard_machine_frees_cap_of_new_leader);
	g_test_add_func("/waves/listed_machine_frees_cap_of_new_leader",
			test_listed_machine_frees_cap_of_new_leader);
	g_test_add_func("/waves/machine_that_stays_down_frees_the_cap",
			test_machine_that_stays_down_frees_the_cap);
	g_test_add_func("/waves/heartbeat_before_late_maintenance_is_no_return",
			test_heartbeat_before_late_maintenance_is_no_return);
	g_test_add_func("/waves/wave_at_risk_is_recognized", test_wave_at_risk_is_recognized);
	return g_test_run();
}
