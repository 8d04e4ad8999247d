/// @file
/// Caps, owed rate and shares of client accounts. Guards against work above an account's cap, and
/// against an account whose load delays the work of others.

#include "manager/manager_internal.h"
#include "manager_fixture.h"
#include "sched/accounts.h"
#include "sched/capacity.h"
#include "sched/demand.h"
#include "sched/schedule.h"

#include <string.h>

#define ENDPOINTS_MAX 16 /* the least number of which one is reserved */

#define RUN_MIN_MS 300 /* run time of tasks that end by themselves */
#define RUN_SPAN_MS 600

/// An attempt that an endpoint has accepted.
struct attempt {
	char *task;
	char *instance;
	uint32_t number;
	uint64_t completion; ///< 0: it runs
	clock_ms_t started_at;
};

/// Endpoints "i-1", "i-2"… that answer orders after 1 ms.
struct world {
	struct manager *m;
	clock_ms_t now;
	unsigned int endpoints;
	uint32_t cpu_milli; ///< of each endpoint
	uint32_t mem_mb;
	GPtrArray *attempts;	    ///< of struct attempt; owned
	unsigned int starts;	    ///< start orders
	bool starts_are_lost;	    ///< starts are not executed and get no answer
	bool stops_are_lost;	    ///< stops get no answer
	bool is_cut[ENDPOINTS_MAX]; ///< the endpoint sends and answers nothing
	uint64_t completions[ENDPOINTS_MAX];
};

static void attempt_free(void *p)
{
	struct attempt *a = p;

	g_free(a->task);
	g_free(a->instance);
	g_free(a);
}

/// @return number of an endpoint from its id, from 0 on
static unsigned int index_of(const char *instance)
{
	return (unsigned int)g_ascii_strtoull(instance + strlen("i-"), NULL, 10) - 1;
}

static void send_heartbeats(struct world *w)
{
	for (unsigned int i = 0; i < w->endpoints; i++) {
		g_autofree char *id = g_strdup_printf("i-%u", i + 1);
		g_autofree char *machine = g_strdup_printf("m-%u", i + 1);

		if (!w->is_cut[i])
			fixture_heartbeat_sized(w->m, w->now, id, machine, i + 1, w->cpu_milli,
						w->mem_mb);
	}
}

static void world_init(struct world *w, unsigned int endpoints)
{
	*w = (struct world){
		.now = FIXTURE_START_MS,
		.endpoints = endpoints,
		.cpu_milli = FIXTURE_CPU_MILLI,
		.mem_mb = 8000,
		.attempts = g_ptr_array_new_with_free_func(attempt_free),
	};
	w->m = fixture_manager(w->now);
	fixture_put_config(w->m, w->now);
}

static void world_clear(struct world *w)
{
	g_assert_true(accounts_use_is_consistent(w->m));
	manager_free(w->m);
	g_ptr_array_unref(w->attempts);
}

static struct attempt *find_attempt(const struct world *w, const struct order *o)
{
	for (guint i = 0; i < w->attempts->len; i++) {
		struct attempt *a = w->attempts->pdata[i];

		if (g_str_equal(a->task, o->task) && g_str_equal(a->instance, o->instance) &&
		    a->number == o->attempt)
			return a;
	}
	return NULL;
}

static gint compare_completions(gconstpointer a, gconstpointer b)
{
	const struct completion_record *x = a;
	const struct completion_record *y = b;

	return (x->number > y->number) - (x->number < y->number);
}

static void list_attempts(const struct world *w, const struct order *o, struct order_result *r)
{
	for (guint i = 0; i < w->attempts->len; i++) {
		const struct attempt *a = w->attempts->pdata[i];
		struct running_attempt run = {.task = a->task, .attempt = a->number};
		struct completion_record end = {.number = a->completion,
						.task = a->task,
						.attempt = a->number,
						.outcome = ATTEMPT_DONE};

		if (!g_str_equal(a->instance, o->instance))
			continue;
		if (a->completion && a->completion <= o->ack_through)
			continue;
		if (a->completion) {
			end.task = g_strdup(a->task);
			end.checkpoint = g_strdup("");
			g_array_append_val(r->completions, end);
			continue;
		}
		run.task = g_strdup(a->task);
		run.checkpoint = g_strdup("");
		run.percent = (uint32_t)(w->now % 100); /* progress */
		g_array_append_val(r->runs, run);
	}
	g_array_sort(r->completions, compare_completions);
}

static struct order_result *result_of(struct world *w, const struct order *o)
{
	unsigned int at = o->instance ? index_of(o->instance) : 0;
	struct order_result *r;
	struct attempt *a;

	if (!o->instance)
		return order_result_new(o->id, ORDER_MACHINE_BUSY); /* the machine service */
	w->starts += o->type == ORDER_START;
	if (w->is_cut[at] || (o->type == ORDER_START && w->starts_are_lost) ||
	    (o->type == ORDER_STOP && w->stops_are_lost))
		return order_result_new(o->id, ORDER_NO_ANSWER);
	r = order_result_new(o->id, ORDER_OK);
	r->clock_ms = w->now;
	if (o->type == ORDER_START) {
		a = g_new0(struct attempt, 1);
		*a = (struct attempt){g_strdup(o->task), g_strdup(o->instance), o->attempt, 0,
				      w->now};
		g_ptr_array_add(w->attempts, a);
	}
	if (o->type == ORDER_STOP) {
		a = find_attempt(w, o);
		if (a)
			g_ptr_array_remove_fast(w->attempts, a);
	}
	if (o->type == ORDER_STATUS_QUERY) {
		r->incarnation_wall_ms = at + 1;
		list_attempts(w, o, r);
	}
	return r;
}

/// Runs the manager; answers its orders after 1 ms. The sums of use are checked after each step.
static void run_for(struct world *w, clock_ms_t ms)
{
	for (clock_ms_t until = w->now + ms; w->now < until; w->now++) {
		g_autoptr(GPtrArray) effects = NULL;

		if (w->now % 500 == 0)
			send_heartbeats(w);
		manager_tick(w->m, w->now, w->now);
		effects = manager_take_effects(w->m);
		for (guint i = 0; i < effects->len; i++) {
			struct effect *e = effects->pdata[i];
			struct order_result *r;

			if (e->type != EFFECT_ORDER)
				continue;
			r = result_of(w, e->u.order);
			manager_handle_result(w->m, w->now + 1, w->now + 1, r);
			order_result_free(r);
		}
		g_assert_true(accounts_use_is_consistent(w->m));
	}
}

/// @return number of attempts of jobs whose id starts with @p prefix that run at endpoints
static unsigned int count_running(const struct world *w, const char *prefix)
{
	unsigned int n = 0;

	for (guint i = 0; i < w->attempts->len; i++) {
		const struct attempt *a = w->attempts->pdata[i];

		n += !a->completion && g_str_has_prefix(a->task, prefix);
	}
	return n;
}

/// Completes up to @p n running attempts of jobs whose id starts with @p prefix.
static void complete(struct world *w, const char *prefix, unsigned int n)
{
	for (guint i = 0; i < w->attempts->len && n; i++) {
		struct attempt *a = w->attempts->pdata[i];

		if (a->completion || !g_str_has_prefix(a->task, prefix))
			continue;
		a->completion = ++w->completions[index_of(a->instance)];
		n--;
	}
}

/// Completes the attempts that have run for their time: 300 to 900 ms, by the name of the task.
static void complete_due(struct world *w)
{
	for (guint i = 0; i < w->attempts->len; i++) {
		struct attempt *a = w->attempts->pdata[i];

		if (!a->completion &&
		    w->now - a->started_at >= RUN_MIN_MS + g_str_hash(a->task) % RUN_SPAN_MS)
			a->completion = ++w->completions[index_of(a->instance)];
	}
}

static void submit(struct world *w, const char *account, const char *id, uint32_t tasks)
{
	const job_step step = {.count = tasks, .cpu_milli = 1000, .mem_mb = 10};

	g_assert_cmpint(fixture_submit_for(w->m, w->now, account, id, &step), ==, REPLY_OK);
}

static void put_cap(struct world *w, uint64_t version, job_cap cap)
{
	const struct fixture_account a = {.name = "a", .weight_milli = 1000, .cap = cap};

	fixture_put_accounts(w->m, w->now, version, &a, 1);
}

static const struct account *account_a(const struct world *w)
{
	return accounts_of(w->m, jobs_find(w->m->jobs, "a1"));
}

/* Caps. */

/// Each resource of a cap limits by itself, and one task is started while the use is below the cap,
/// also if it is larger than what is left.
static void test_cap_of_each_resource_holds(void)
{
	const struct {
		job_cap cap;
		unsigned int running; ///< tasks of 1,000 mCPU and 300 MB
	} cases[] = {
		{{0}, 16},
		{{.cpu_milli = 3000}, 3},
		{{.cpu_milli = 3001}, 4},
		{{.mem_mb = 900}, 3},
		{{.mem_mb = 901}, 4},
		{{.cpu_milli = 9000, .mem_mb = 300}, 1},
		{{.cpu_milli = 1}, 1},
		{{.gpu = 1}, 16},
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		const job_step step = {.count = 20, .cpu_milli = 1000, .mem_mb = 300};
		struct world w;

		world_init(&w, 2);
		put_cap(&w, 2, cases[i].cap);
		send_heartbeats(&w);
		fixture_submit_for(w.m, w.now, "a", "a1", &step);
		run_for(&w, 50);
		submit(&w, NULL, "free", 20);
		run_for(&w, 600);
		g_assert_cmpuint(count_running(&w, "a1."), ==, cases[i].running);
		/* The rest of the pool is not blocked by work that a cap keeps waiting. */
		g_assert_cmpuint(count_running(&w, ""), ==, 16);
		world_clear(&w);
	}
}

/// Work without an account and of an account without a cap is not limited by the caps of others.
static void test_only_capped_accounts_are_limited(void)
{
	const struct fixture_account accounts[] = {
		{.name = "a", .weight_milli = 1000, .cap = {.cpu_milli = 2000}},
		{.name = "b", .weight_milli = 1000},
	};
	struct world w;

	world_init(&w, 3);
	fixture_put_accounts(w.m, w.now, 2, accounts, 2);
	send_heartbeats(&w);
	submit(&w, "a", "a1", 20);
	submit(&w, "b", "b1", 8);
	submit(&w, NULL, "free", 8);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 2);
	g_assert_cmpuint(count_running(&w, "b1."), ==, 8);
	g_assert_cmpuint(count_running(&w, "free."), ==, 8);
	world_clear(&w);
}

/// A step that a cap stops within a round is no size that fits nowhere: other work of the same size
/// must start in the same round.
static void test_cap_is_no_lack_of_capacity(void)
{
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 2000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 10);
	w.now++; /* it is served first */
	submit(&w, NULL, "free", 10);
	run_for(&w, 1);
	g_assert_cmpuint(w.starts, ==, 2 + 10);
	world_clear(&w);
}

/// The accelerators of an account and its best-effort tasks count against its cap.
static void test_gpu_and_best_effort_count(void)
{
	const job_step best_effort = {
		.count = 9, .cpu_milli = 2000, .mem_mb = 10, .best_effort = true};
	const job_step step = {.count = 1, .cpu_milli = 100, .gpu = 1};
	struct account a = {.cap = {.gpu = 2}};
	struct world w;

	a.used.gpu = 1;
	g_assert_false(accounts_is_at_cap(&a));
	a.used.gpu = 2;
	g_assert_true(accounts_is_at_cap(&a));
	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 4000});
	send_heartbeats(&w);
	fixture_submit_for(w.m, w.now, "a", "a1", &best_effort);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 2);
	g_assert_cmpint(account_a(&w)->used.cpu_milli, ==, 4000);
	g_assert_false(accounts_allow_start(w.m, jobs_find(w.m->jobs, "a1"), &step));
	world_clear(&w);
}

/// A gang starts as a whole, with all members but one below the cap, or not at all.
static void test_gang_starts_within_cap_or_not_at_all(void)
{
	const struct {
		uint64_t cap;
		unsigned int members;
		unsigned int after; ///< tasks of a step that is submitted later
	} cases[] = {{3000, 0, 1}, {3001, 4, 0}, {4000, 4, 0}, {0, 4, 1}};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		const job_step gang = {.count = 4, .cpu_milli = 1000, .mem_mb = 10, .gang = true};
		struct world w;

		world_init(&w, 2);
		put_cap(&w, 2, (job_cap){.cpu_milli = cases[i].cap});
		send_heartbeats(&w);
		fixture_submit_for(w.m, w.now, "a", "a1", &gang);
		run_for(&w, 50);
		submit(&w, "a", "after", 1);
		run_for(&w, 300);
		g_assert_cmpuint(count_running(&w, "a1."), ==, cases[i].members);
		/* A gang that the cap holds back does not hold back a step that fits. */
		g_assert_cmpuint(count_running(&w, "after."), ==, cases[i].after);
		world_clear(&w);
	}
}

/// A cap lowered below the use stops nothing and starts nothing. What is started follows it up, and
/// its removal lifts it, without another event.
static void test_changed_cap_applies_to_starts(void)
{
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 6000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 40);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 6);
	put_cap(&w, 3, (job_cap){.cpu_milli = 3000});
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 6);
	complete(&w, "a1.", 2);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 4);
	complete(&w, "a1.", 2);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 3);
	put_cap(&w, 4, (job_cap){.cpu_milli = 5000});
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 5);
	put_cap(&w, 5, (job_cap){0});
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 16);
	world_clear(&w);
}

/// Of two configurations that race, only the one with the higher version counts, also if the other
/// one arrives later.
static void test_higher_version_counts(void)
{
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 8, (job_cap){.cpu_milli = 2000});
	put_cap(&w, 7, (job_cap){.cpu_milli = 9000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 20);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 2);
	put_cap(&w, 8, (job_cap){.cpu_milli = 9000});
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 2);
	world_clear(&w);
}

/// An account that a configuration drops keeps its cap while it has open jobs.
static void test_dropped_account_keeps_its_cap(void)
{
	const struct fixture_account b = {.name = "b", .weight_milli = 1000};
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 3000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 10);
	run_for(&w, 300);
	fixture_put_accounts(w.m, w.now, 3, &b, 1);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 3);
	complete(&w, "a1.", 2);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 3);
	world_clear(&w);
}

/// Starts that get no answer count until it is certain that they do not run.
static void test_unanswered_starts_count(void)
{
	struct world w;

	world_init(&w, 3);
	put_cap(&w, 2, (job_cap){.cpu_milli = 3000});
	send_heartbeats(&w);
	w.starts_are_lost = true;
	w.stops_are_lost = true;
	submit(&w, "a", "a1", 20);
	run_for(&w, 3);
	g_assert_cmpuint(w.starts, ==, 3);
	g_assert_cmpint(account_a(&w)->used.cpu_milli, ==, 3000);
	for (unsigned int i = 0; i < 30; i++) {
		run_for(&w, 50);
		g_assert_cmpint(account_a(&w)->used.cpu_milli, <=, 3000);
	}
	world_clear(&w);
}

/// Attempts at a lost endpoint count until its leases have ended, and no longer.
static void test_attempts_at_lost_endpoint_count(void)
{
	struct world w;
	const char *lost;

	world_init(&w, 4);
	put_cap(&w, 2, (job_cap){.cpu_milli = 2000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 20);
	run_for(&w, 1000);
	g_assert_cmpuint(w.starts, ==, 2);
	lost = ((struct attempt *)w.attempts->pdata[0])->instance;
	w.is_cut[index_of(lost)] = true;
	run_for(&w, 3000);
	g_assert_cmpuint(w.starts, ==, 2);
	run_for(&w, 9000);
	g_assert_cmpuint(w.starts, >, 2);
	g_assert_cmpint(account_a(&w)->used.cpu_milli, ==, 2000);
	world_clear(&w);
}

/// A new leader counts the attempts of the earlier one before any endpoint has listed them.
static void test_new_leader_counts_earlier_attempts(void)
{
	struct manager *earlier;
	struct world w;

	world_init(&w, 3);
	put_cap(&w, 2, (job_cap){.cpu_milli = 3000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 20);
	run_for(&w, 300);
	earlier = w.m;
	w.m = fixture_next_manager(earlier->jobs, 2, w.now, w.now);
	manager_free(earlier);
	g_assert_cmpint(account_a(&w)->used.cpu_milli, ==, 3000);
	run_for(&w, 1000);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 3);
	complete(&w, "a1.", 1);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 3);
	world_clear(&w);
}

/// A state without accounts limits nothing, also after it has been read from a snapshot.
static void test_state_without_accounts_limits_nothing(void)
{
	struct manager *earlier;
	struct world w;

	world_init(&w, 2);
	send_heartbeats(&w);
	submit(&w, NULL, "j", 20);
	earlier = w.m;
	w.m = fixture_next_manager(earlier->jobs, 2, w.now, w.now);
	manager_free(earlier);
	g_assert_false(accounts_are_configured(w.m));
	run_for(&w, 1000);
	g_assert_cmpuint(count_running(&w, ""), ==, 16);
	world_clear(&w);
}

/// A long-running task that its account's cap keeps waiting must not reserve an endpoint, also in
/// the round in which the account reaches its cap.
static void test_capped_account_reserves_nothing(void)
{
	const job_step large = {.count = 2, .cpu_milli = 8000, .mem_mb = 10, .long_running = true};
	const job_step small = {.count = 1, .cpu_milli = 1000, .mem_mb = 10, .long_running = true};
	const job_step first = {.count = ENDPOINTS_MAX, .cpu_milli = 5000, .mem_mb = 10};
	const unsigned int running =
		ENDPOINTS_MAX + ENDPOINTS_MAX * (FIXTURE_CPU_MILLI - 5000) / 1000;
	struct world w;

	world_init(&w, ENDPOINTS_MAX);
	put_cap(&w, 2, (job_cap){.cpu_milli = 1000});
	send_heartbeats(&w);
	fixture_submit_for(w.m, w.now, NULL, "first", &first); /* one at each endpoint */
	run_for(&w, 300);
	fixture_submit_for(w.m, w.now, "a", "a2", &large);
	fixture_submit_for(w.m, w.now, "a", "a1", &small); /* it is served first */
	submit(&w, NULL, "free", 200);
	run_for(&w, 1);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 1);
	g_assert_cmpuint(count_running(&w, ""), ==, running);
	complete(&w, "free.", ENDPOINTS_MAX);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, ""), ==, running);
	world_clear(&w);
}

/// Machines must not be ordered for tasks that a cap keeps waiting.
static void test_demand_is_limited_to_cap(void)
{
	const job_step gang = {.count = 9, .cpu_milli = 1000, .mem_mb = 10, .gang = true};
	g_autoptr(GHashTable) pools = NULL;
	const struct demand *d;
	struct world w;

	world_init(&w, 0);
	put_cap(&w, 2, (job_cap){.cpu_milli = 3500});
	submit(&w, "a", "a1", 20);
	submit(&w, NULL, "free", 5);
	fixture_submit_for(w.m, w.now, "a", "a2", &gang);
	pools = demand_by_pool(w.m, w.now);
	d = g_hash_table_lookup(pools, "p");
	g_assert_cmpint(d->cpu_milli, ==, 4000 + 5000);
	world_clear(&w);
}

/// The steps of an account at its cap must not take part in the rounds, however many wait.
static void test_capped_steps_take_no_part_in_rounds(void)
{
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 2000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 2);
	run_for(&w, 50);
	for (unsigned int i = 0; i < 500; i++) {
		g_autofree char *id = g_strdup_printf("b%u", i);

		submit(&w, "a", id, 1);
	}
	submit(&w, NULL, "free", 10);
	run_for(&w, 300);
	g_assert_cmpuint(manager_take_backlog(w.m).accounts_at_cap, ==, 1);
	g_assert_cmpuint(manager_take_backlog(w.m).waiting_steps, ==, 0);
	complete(&w, "a1.", 1);
	run_for(&w, 300);
	g_assert_cmpuint(count_running(&w, "b"), ==, 1);
	world_clear(&w);
}

/* Owed rate. */

static unsigned int take_tokens(struct manager *m, clock_ms_t now)
{
	unsigned int n = 0;

	while (n < 1000 && accounts_take_token(m, now, "a"))
		n++;
	return n;
}

static void put_weight(struct world *w, uint64_t version, uint32_t weight_milli)
{
	const struct fixture_account a = {.name = "a", .weight_milli = weight_milli};

	fixture_put_accounts(w->m, w->now, version, &a, 1);
}

/// An account is owed its weight in jobs each second and saves up for one second, but at least one
/// job; an account of weight 0 is owed nothing.
static void test_owed_rate_follows_weight(void)
{
	struct world w;
	unsigned int n = 0;

	world_init(&w, 0);
	put_weight(&w, 2, 5000);
	g_assert_cmpuint(take_tokens(w.m, w.now), ==, 5);
	g_assert_cmpuint(take_tokens(w.m, w.now + 199), ==, 0);
	g_assert_cmpuint(take_tokens(w.m, w.now + 200), ==, 1);
	w.now += 100000;
	g_assert_cmpuint(take_tokens(w.m, w.now), ==, 5);
	for (unsigned int i = 0; i < 100; i++)
		n += take_tokens(w.m, w.now += 100);
	g_assert_cmpuint(n, ==, 50);
	put_weight(&w, 3, 10000);
	g_assert_cmpuint(take_tokens(w.m, w.now), ==, 0);
	g_assert_cmpuint(take_tokens(w.m, w.now += 1000), ==, 10);
	w.now += 100;
	put_weight(&w, 4, 50000); /* the time before counts with the weight of that time */
	g_assert_cmpuint(take_tokens(w.m, w.now), ==, 1);
	w.now += 1000;
	put_weight(&w, 5, 2000);
	g_assert_cmpuint(take_tokens(w.m, w.now), ==, 2);
	put_weight(&w, 6, 500);
	g_assert_cmpuint(take_tokens(w.m, w.now += 1999), ==, 0);
	g_assert_cmpuint(take_tokens(w.m, w.now += 1), ==, 1);
	put_weight(&w, 7, 0);
	g_assert_cmpuint(take_tokens(w.m, w.now += 100000), ==, 0);
	world_clear(&w);
}

/// Jobs beyond the owed rate are marked, and a job that is submitted twice takes one token.
static void test_jobs_beyond_weight_are_marked(void)
{
	struct world w;

	world_init(&w, 0);
	put_weight(&w, 2, 2000);
	submit(&w, "a", "a1", 1);
	submit(&w, "a", "a1", 1);
	submit(&w, "a", "a2", 1);
	submit(&w, "a", "a3", 1);
	submit(&w, NULL, "free", 1);
	g_assert_false(jobs_find(w.m->jobs, "a1")->beyond_weight);
	g_assert_false(jobs_find(w.m->jobs, "a2")->beyond_weight);
	g_assert_true(jobs_find(w.m->jobs, "a3")->beyond_weight);
	g_assert_false(jobs_find(w.m->jobs, "free")->beyond_weight);
	g_assert_cmpuint(manager_take_backlog(w.m).beyond_weight, ==, 1);
	g_assert_cmpuint(manager_take_backlog(w.m).beyond_weight, ==, 0);
	world_clear(&w);
}

/* Order and shares. */

/// Each rule of the order counts more than those after it.
static void test_order_of_rules(void)
{
	/* Served in this order. */
	const struct waiting_key keys[] = {
		{.priority = 0, .beyond_weight = true, .over_share = true, .late = true},
		{.priority = 1, .slack_ms = 100, .account_priority = 0},
		{.priority = 1, .slack_ms = 100, .account_priority = 1},
		{.priority = 1, .slack_ms = 200, .account_priority = 0},
		{.priority = 1, .late = true, .slack_ms = -100},
		{.priority = 1, .over_share = true, .share_ratio = 1, .slack_ms = 900},
		{.priority = 1, .over_share = true, .share_ratio = 1.5, .slack_ms = 100},
		{.priority = 1, .over_share = true, .share_ratio = 1.5, .slack_ms = 200},
		{.priority = 1, .over_share = true, .late = true, .share_ratio = 1},
		{.priority = 1, .beyond_weight = true, .slack_ms = 100},
		{.priority = 1, .beyond_weight = true, .over_share = true, .share_ratio = 1},
	};

	for (guint i = 0; i < G_N_ELEMENTS(keys); i++)
		for (guint k = 0; k < G_N_ELEMENTS(keys); k++)
			g_assert_cmpint(schedule_compare(&keys[i], &keys[k]), ==,
					(i > k) - (i < k));
}

/// The ratio of use to share is that of the resource of which the account uses most. A resource
/// that the pool does not have is left out.
static void test_ratio_is_of_dominant_resource(void)
{
	const struct {
		struct resources planned;
		double ratio;
	} cases[] = {
		{{0, 0, 0}, 0},	  {{250, 0, 0}, 0.5},	{{500, 0, 0}, 1},      {{0, 1500, 0}, 1.5},
		{{100, 0, 4}, 2}, {{750, 100, 1}, 1.5}, {{250, 1500, 2}, 1.5},
	};
	const job_step step = {.cpu_milli = 100, .mem_mb = 100, .gpu = 1};
	struct account a = {.name = (char *)"a", .weight_milli = 2000};
	struct pool_capacity pool = {.total = {1000, 2000, 4}, .weights = 4000};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct account_use u = {
			.account = &a, .capacity = &pool, .planned = cases[i].planned};

		g_assert_cmpfloat(accounts_share_ratio(&u), ==, cases[i].ratio);
		g_assert_cmpint(accounts_tasks_within_share(&u, &step, 100) > 0, ==,
				cases[i].ratio < 1);
	}
	for (unsigned int gpu = 0; gpu <= 4; gpu += 4) {
		struct account_use u = {.account = &a, .capacity = &pool, .planned = {0, 0, 1}};

		pool.total.gpu = gpu;
		g_assert_cmpfloat(accounts_share_ratio(&u), ==, gpu ? 0.5 : 0);
		g_assert_cmpuint(accounts_tasks_within_share(&u, &step, 100), ==, gpu ? 1 : 5);
	}
}

static void put_weights(struct world *w, uint32_t a, uint32_t b)
{
	const struct fixture_account accounts[] = {{.name = "a", .weight_milli = a},
						   {.name = "b", .weight_milli = b}};

	fixture_put_accounts(w->m, w->now, 2, accounts, 2);
}

/// The steps of an account that waits longest must not take more than its share of an empty pool in
/// one round, whether there are many or one is large.
static void test_one_round_keeps_shares(void)
{
	for (unsigned int large = 0; large < 2; large++) {
		struct world w;

		world_init(&w, 2);
		put_weights(&w, 100000, 100000);
		send_heartbeats(&w);
		for (unsigned int i = 0; i < 20 && !large; i++) {
			g_autofree char *id = g_strdup_printf("a%u", i);

			submit(&w, "a", id, 1);
		}
		if (large)
			submit(&w, "a", "a1", 20);
		w.now++; /* the others have more slack */
		submit(&w, "b", "b1", 20);
		run_for(&w, 1);
		g_assert_cmpuint(count_running(&w, "a"), ==, 8);
		g_assert_cmpuint(count_running(&w, "b"), ==, 8);
		world_clear(&w);
	}
}

/// Shares are by weight. An idle share may be used, and work without an account has weight 1.
static void test_shares_follow_weights(void)
{
	const struct {
		uint32_t a, b;
		const char *other;
		unsigned int running;
	} cases[] = {{100000, 100000, "b", 8}, {300000, 100000, "b", 12}, {3000, 1000, NULL, 12}};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct world w;

		world_init(&w, 2);
		put_weights(&w, cases[i].a, cases[i].b);
		send_heartbeats(&w);
		submit(&w, "a", "a1", 200);
		run_for(&w, 50);
		g_assert_cmpuint(count_running(&w, "a1."), ==, 16); /* nothing else waits */
		submit(&w, cases[i].other, "o1", 200);
		for (unsigned int k = 0; k < 40; k++) {
			complete(&w, "a1.", 1);
			complete(&w, "o1.", k % 2);
			run_for(&w, 50);
		}
		g_assert_cmpuint(count_running(&w, ""), ==, 16);
		g_assert_cmpuint(count_running(&w, "a1."), >=, cases[i].running - 1);
		g_assert_cmpuint(count_running(&w, "a1."), <=, cases[i].running + 1);
		world_clear(&w);
	}
}

/// Bound on starvation (sched/schedule.h): an account that finds a full pool gets all that ends
/// until it uses its share, and nothing of the others starts before.
static void test_share_is_reclaimed_with_what_ends(void)
{
	struct world w;

	world_init(&w, 2);
	put_weights(&w, 100000, 100000);
	send_heartbeats(&w);
	submit(&w, "a", "a1", 200);
	run_for(&w, 50);
	submit(&w, "a", "a2", 200);
	w.now += 1000; /* the other account has more slack */
	submit(&w, "b", "b1", 200);
	for (unsigned int i = 1; i <= 8; i++) {
		complete(&w, "a", 1);
		run_for(&w, 50);
		g_assert_cmpuint(count_running(&w, "a"), ==, 16 - i);
		g_assert_cmpuint(count_running(&w, "b"), ==, i);
	}
	complete(&w, "a", 1);
	run_for(&w, 50);
	g_assert_cmpuint(count_running(&w, "a"), ==, 8);
	g_assert_cmpuint(count_running(&w, "b"), ==, 8);
	world_clear(&w);
}

/// The share is that of the dominant resource: an account that uses much memory and little of the
/// processor must not count as below its share.
static void test_dominant_resource_counts(void)
{
	for (unsigned int tasks = 1; tasks <= 20; tasks += 19) {
		const job_step step = {.count = tasks, .cpu_milli = 100, .mem_mb = 1000};
		struct world w;

		world_init(&w, 2); /* 16,000 MB */
		put_weights(&w, 100000, 100000);
		send_heartbeats(&w);
		for (unsigned int i = 0; i < 20; i++) {
			g_autofree char *id = g_strdup_printf("a%u", i);

			fixture_submit_for(w.m, w.now, "a", id, &step);
		}
		w.now++;
		for (unsigned int i = 0; i < 20; i++) {
			g_autofree char *id = g_strdup_printf("b%u", i);

			fixture_submit_for(w.m, w.now, "b", id, &step);
		}
		run_for(&w, 1);
		g_assert_cmpuint(count_running(&w, "a"), ==, 8);
		g_assert_cmpuint(count_running(&w, "b"), ==, 8);
		world_clear(&w);
	}
}

/// Jobs beyond the weight of their account yield to owed ones that arrive later.
static void test_owed_jobs_go_first(void)
{
	struct world w;

	world_init(&w, 2);
	put_weights(&w, 1000, 20000);
	send_heartbeats(&w);
	for (unsigned int i = 0; i < 20; i++) {
		g_autofree char *id = g_strdup_printf("a%u", i);

		submit(&w, "a", id, 1);
	}
	w.now++;
	for (unsigned int i = 0; i < 14; i++) {
		g_autofree char *id = g_strdup_printf("b%u", i);

		submit(&w, "b", id, 1);
	}
	run_for(&w, 1);
	g_assert_cmpuint(count_running(&w, "b"), ==, 14);
	g_assert_cmpuint(count_running(&w, "a0."), ==, 1); /* the owed one */
	g_assert_cmpuint(count_running(&w, "a"), ==, 2);
	world_clear(&w);
}

/// Long-running work keeps its place before other work of its priority, and counts in the use.
static void test_lasting_work_keeps_its_place(void)
{
	const job_step lasting = {
		.count = 10, .cpu_milli = 1000, .mem_mb = 10, .long_running = true};
	struct world w;

	world_init(&w, 2);
	put_weights(&w, 1000, 100000);
	send_heartbeats(&w);
	submit(&w, "b", "b1", 20);
	w.now++;
	submit(&w, "a", "a1", 20); /* takes the token */
	fixture_submit_for(w.m, w.now, "a", "a2", &lasting);
	g_assert_true(jobs_find(w.m->jobs, "a2")->beyond_weight);
	run_for(&w, 1);
	g_assert_cmpuint(count_running(&w, "a2."), ==, 10);
	g_assert_cmpuint(count_running(&w, "a1."), ==, 0);
	g_assert_cmpuint(count_running(&w, "b1."), ==, 6);
	world_clear(&w);
}

/// What two accounts got while a third one submitted @p load times the jobs that it is owed.
struct service {
	GString *order; ///< their tasks in the order of their starts
	clock_ms_t sum_wait_ms;
	clock_ms_t max_wait_ms; ///< longest time from the submission of one to its start
	unsigned int of_a;	///< tasks of the third account that were started
};

/// Three accounts of 4 jobs a second each in a pool of 16 tasks of 0.6 s; b and c submit what they
/// are owed.
static struct service serve_under_load(unsigned int load)
{
	const struct fixture_account accounts[] = {{.name = "a", .weight_milli = 4000},
						   {.name = "b", .weight_milli = 4000},
						   {.name = "c", .weight_milli = 4000}};
	const clock_ms_t gap_ms = 250;
	const clock_ms_t end = FIXTURE_START_MS + 20000;
	struct service s = {.order = g_string_new(NULL)};
	unsigned int number = 0;
	guint seen = 0;
	struct world w;

	world_init(&w, 2);
	fixture_put_accounts(w.m, w.now, 2, accounts, 3);
	send_heartbeats(&w);
	while (w.now < end) {
		if ((w.now - FIXTURE_START_MS) % gap_ms == 0 &&
		    w.now + RUN_MIN_MS + RUN_SPAN_MS < end) {
			for (unsigned int i = 0; i < load; i++) {
				g_autofree char *id = g_strdup_printf("a%u-%u", number, i);

				submit(&w, "a", id, 1);
			}
			for (const char *name = "b"; name; name = *name == 'b' ? "c" : NULL) {
				g_autofree char *id =
					g_strdup_printf("%s%" G_GINT64_FORMAT, name, (gint64)w.now);

				submit(&w, name, id, 1);
			}
			number++;
		}
		complete_due(&w);
		run_for(&w, 1);
		for (; seen < w.attempts->len; seen++) {
			const struct attempt *a = w.attempts->pdata[seen];
			clock_ms_t wait_ms;

			if (*a->task == 'a') {
				s.of_a++;
				continue;
			}
			wait_ms = a->started_at - g_ascii_strtoll(a->task + 1, NULL, 10);
			s.sum_wait_ms += wait_ms;
			s.max_wait_ms = MAX(s.max_wait_ms, wait_ms);
			g_string_append_printf(s.order, "%s ", a->task);
		}
	}
	world_clear(&w);
	return s;
}

/// An account with seven times its load must not change what others get: neither the order of their
/// tasks, nor how many start, nor their wait by more than the time in which a task ends somewhere.
static void test_load_of_one_account_affects_no_other(void)
{
	struct service usual = serve_under_load(1);
	struct service high = serve_under_load(7);
	unsigned int tasks = 2 * usual.of_a; /* of the others */

	g_test_message("tasks of a: %u and %u; longest wait of the others: %d and %d ms, in all %d "
		       "and %d ms",
		       usual.of_a, high.of_a, (int)usual.max_wait_ms, (int)high.max_wait_ms,
		       (int)usual.sum_wait_ms, (int)high.sum_wait_ms);
	g_assert_cmpuint(usual.of_a, ==, 77);
	g_assert_cmpuint(high.of_a, >, 2 * usual.of_a); /* it gets what is idle */
	g_assert_cmpstr(usual.order->str, ==, high.order->str);
	g_assert_cmpint(high.max_wait_ms, <=, RUN_MIN_MS + RUN_SPAN_MS);
	g_assert_cmpint(high.sum_wait_ms, <=, 100 * tasks);
	g_string_free(usual.order, TRUE);
	g_string_free(high.order, TRUE);
}

/// The log of a cap is bounded: an account that reaches and leaves it within a second is logged
/// once.
static void test_log_of_caps_is_bounded(void)
{
	clock_ms_t logged_at;
	struct world w;

	world_init(&w, 2);
	put_cap(&w, 2, (job_cap){.cpu_milli = 2000});
	send_heartbeats(&w);
	submit(&w, "a", "a1", 2);
	run_for(&w, 100);
	g_assert_true(account_a(&w)->was_at_cap);
	logged_at = account_a(&w)->logged_at;
	complete(&w, "a1.", 1);
	run_for(&w, 300);
	g_assert_false(accounts_is_at_cap(account_a(&w)));
	g_assert_cmpint(account_a(&w)->logged_at, ==, logged_at);
	run_for(&w, 1000);
	g_assert_false(account_a(&w)->was_at_cap);
	g_assert_cmpint(account_a(&w)->logged_at - logged_at, >=, 1000);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK); /* a lost endpoint is logged as a warning */
	g_test_add_func("/accounts/cap-of-each-resource-holds", test_cap_of_each_resource_holds);
	g_test_add_func("/accounts/only-capped-accounts-are-limited",
			test_only_capped_accounts_are_limited);
	g_test_add_func("/accounts/cap-is-no-lack-of-capacity", test_cap_is_no_lack_of_capacity);
	g_test_add_func("/accounts/gpu-and-best-effort-count", test_gpu_and_best_effort_count);
	g_test_add_func("/accounts/gang-starts-within-cap-or-not-at-all",
			test_gang_starts_within_cap_or_not_at_all);
	g_test_add_func("/accounts/changed-cap-applies-to-starts",
			test_changed_cap_applies_to_starts);
	g_test_add_func("/accounts/higher-version-counts", test_higher_version_counts);
	g_test_add_func("/accounts/dropped-account-keeps-its-cap",
			test_dropped_account_keeps_its_cap);
	g_test_add_func("/accounts/unanswered-starts-count", test_unanswered_starts_count);
	g_test_add_func("/accounts/attempts-at-lost-endpoint-count",
			test_attempts_at_lost_endpoint_count);
	g_test_add_func("/accounts/new-leader-counts-earlier-attempts",
			test_new_leader_counts_earlier_attempts);
	g_test_add_func("/accounts/state-without-accounts-limits-nothing",
			test_state_without_accounts_limits_nothing);
	g_test_add_func("/accounts/capped-account-reserves-nothing",
			test_capped_account_reserves_nothing);
	g_test_add_func("/accounts/capped-steps-take-no-part-in-rounds",
			test_capped_steps_take_no_part_in_rounds);
	g_test_add_func("/accounts/demand-is-limited-to-cap", test_demand_is_limited_to_cap);
	g_test_add_func("/accounts/owed-rate-follows-weight", test_owed_rate_follows_weight);
	g_test_add_func("/accounts/jobs-beyond-weight-are-marked",
			test_jobs_beyond_weight_are_marked);
	g_test_add_func("/accounts/order-of-rules", test_order_of_rules);
	g_test_add_func("/accounts/ratio-is-of-dominant-resource",
			test_ratio_is_of_dominant_resource);
	g_test_add_func("/accounts/one-round-keeps-shares", test_one_round_keeps_shares);
	g_test_add_func("/accounts/shares-follow-weights", test_shares_follow_weights);
	g_test_add_func("/accounts/share-is-reclaimed-with-what-ends",
			test_share_is_reclaimed_with_what_ends);
	g_test_add_func("/accounts/dominant-resource-counts", test_dominant_resource_counts);
	g_test_add_func("/accounts/owed-jobs-go-first", test_owed_jobs_go_first);
	g_test_add_func("/accounts/lasting-work-keeps-its-place",
			test_lasting_work_keeps_its_place);
	g_test_add_func("/accounts/load-of-one-account-affects-no-other",
			test_load_of_one_account_affects_no_other);
	g_test_add_func("/accounts/log-of-caps-is-bounded", test_log_of_caps_is_bounded);
	return g_test_run();
}
