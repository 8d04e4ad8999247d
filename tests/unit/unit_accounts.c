/// @file
/// Caps, owed rate and shares of client accounts. Guards against work above an account's cap, and
/// against an account whose load delays the work of others.

#include "manager/manager_internal.h"
#include "manager_fixture.h"
#include "sched/accounts.h"
#include "sched/demand.h"
#include "sched/schedule.h"

#include <string.h>

#define ENDPOINTS_MAX 16 /* the least number of which one is reserved */

/// An attempt that an endpoint has accepted.
struct attempt {
	char *task;
	char *instance;
	uint32_t number;
	uint64_t completion; ///< 0: it runs
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
		*a = (struct attempt){g_strdup(o->task), g_strdup(o->instance), o->attempt, 0};
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
	return g_test_run();
}
