/// @file
/// Attempts at endpoints that restart under their id, unnoticed for a while, and leases that a
/// leader knows little of. Only heartbeats and answers to status queries say which incarnation sent
/// them.

#include "manager/manager_internal.h"
#include "manager_fixture.h"
#include "runs/attempts.h"
#include "runs/incarnations.h"
#include "runs/repeat_budget.h"

#include <string.h>

#define LEASE_MAX_MS 6000 /* of the fixture */
#define LATER_INCARNATION 10
#define REPEAT_MS 150	    /* without an answer until a start or a status query is repeated */
#define CALL_TIMEOUT_MS 900 /* of a start */
#define SENT_MAX 16

/// A start or status query that gets no answer until the test gives one.
struct sent_order {
	uint64_t id;
	clock_ms_t at;
	uint32_t attempt;
	uint32_t timeout_ms;
	clock_ms_t not_after;
	int64_t lease_until_ms;
	uint64_t ack_through;
	char *text; ///< what all copies of a start have in common
};

/// Two endpoints; what happened to the task "j.0.0.0".
struct world {
	struct manager *m;
	clock_ms_t now;
	unsigned int starts;	///< start orders
	struct order *start;	///< the latest start order
	bool mute;		///< status queries and stops get no answer
	bool refuses;		///< nothing listens at the address of that endpoint
	bool start_is_answered; ///< starts are accepted, by an unknown incarnation
	/// Of the endpoint that got the first start; 0: as its heartbeats said.
	int64_t incarnation_wall_ms;
	bool listed;		 ///< status answers of that endpoint list the attempt
	int64_t clock_offset_ms; ///< of that endpoint's clock
	bool drains;		 ///< heartbeats say so
	bool replaced;		 ///< another endpoint answers at the address of that endpoint
	uint32_t other_attempt;	 ///< the attempt that the other endpoint runs; 0: none
	uint64_t sequence;	 ///< of the latest heartbeat
	bool done;		 ///< status answers of that endpoint list the attempt's end
	unsigned int accepted;	 ///< start orders that it accepted
	bool stops_are_lost;	 ///< stops get no answer
	bool queries_wait;	 ///< status queries are not answered yet
	uint64_t waiting_query;	 ///< id of the latest of them
	bool starts_wait;	 ///< starts are not answered yet
	struct sent_order copies[SENT_MAX]; ///< of the starts that are not answered
	guint copies_sent;
	struct sent_order open_queries[SENT_MAX]; ///< the status queries that are not answered
	guint queries_open;
	unsigned int stops;	   ///< stop orders that it got
	unsigned int queries_sent; ///< status queries sent to that endpoint
	unsigned int starts_sent;  ///< start orders sent to it
	unsigned int queries;	   ///< status queries that it answered
	uint64_t ack_through;	   ///< acknowledgement in the latest of them
	int64_t leased_until_ms;   ///< end of the lease that its answered orders grant, its clock
};

static void world_init(struct world *w)
{
	*w = (struct world){.now = FIXTURE_START_MS};
	w->m = fixture_manager(w->now);
	fixture_put_config(w->m, w->now);
}

static void world_clear(struct world *w)
{
	for (guint i = 0; i < w->copies_sent; i++)
		g_free(w->copies[i].text);
	for (guint i = 0; i < w->queries_open; i++)
		g_free(w->open_queries[i].text);
	manager_free(w->m);
	order_free(w->start);
}

static void send_heartbeat_from(struct world *w, const char *id, int64_t incarnation_wall_ms,
				int64_t clock_ms, const char *address, const char *pool)
{
	struct call c = {.type = CALL_HEARTBEAT};

	c.heartbeat = (struct endpoint_heartbeat){
		.id = g_strdup(id),
		.incarnation_wall_ms = incarnation_wall_ms,
		.address = g_strdup(address),
		.pool = g_strdup(pool),
		.zone = g_strdup("z"),
		.machine = g_strdup_printf("m-%s", id + 2),
		.labels = g_ptr_array_new_with_free_func(g_free),
		.cpu_milli = FIXTURE_CPU_MILLI,
		.mem_mb = 8000,
		.draining = w->drains,
		.sequence = ++w->sequence,
		.clock_ms = clock_ms,
	};
	manager_handle_call(w->m, w->now, w->now, 1, &c);
	call_clear(&c);
}

static void send_heartbeat(struct world *w, const char *id, int64_t incarnation_wall_ms,
			   int64_t clock_ms)
{
	g_autofree char *address = g_strdup_printf("10.1.0.%s:80", id + 2);

	send_heartbeat_from(w, id, incarnation_wall_ms, clock_ms, address, "p");
}

/// A heartbeat of another writer with the address of the endpoint that got the first start.
static void send_foreign_heartbeat(struct world *w, const char *id, const char *pool)
{
	g_autofree char *address = g_strdup(w->start->address);

	send_heartbeat_from(w, id, ENDPOINT_NUMBER_MAX, w->now, address, pool);
}

/// A heartbeat of each endpoint but the one that got the first start.
static void send_other_heartbeats(struct world *w)
{
	if (!w->start || !g_str_equal(w->start->instance, "i-1"))
		send_heartbeat(w, "i-1", 1, w->now);
	if (!w->start || !g_str_equal(w->start->instance, "i-2"))
		send_heartbeat(w, "i-2", 2, w->now);
}

static void add_listed_attempt(const struct world *w, struct order_result *r, uint32_t attempt)
{
	struct running_attempt row = {
		.task = g_strdup(w->start->task),
		.attempt = attempt,
		.checkpoint = g_strdup(""),
		.percent = (uint32_t)(w->now % 100), /* progress */
	};

	g_array_append_val(r->runs, row);
}

static void add_completion(const struct world *w, struct order_result *r)
{
	struct completion_record row = {
		.number = 1,
		.task = g_strdup(w->start->task),
		.attempt = w->start->attempt,
		.outcome = ATTEMPT_DONE,
		.checkpoint = g_strdup(""),
	};

	g_array_append_val(r->completions, row);
}

static struct order_result *other_result(struct world *w, const struct order *o)
{
	struct order_result *r = order_result_new(o->id, ORDER_OK);

	if (o->type == ORDER_START)
		w->other_attempt = o->attempt;
	if (o->type == ORDER_STATUS_QUERY && w->other_attempt)
		add_listed_attempt(w, r, w->other_attempt);
	return r;
}

/// @return incarnation of the endpoint that got the first start
static int64_t incarnation_of(const struct world *w)
{
	return w->incarnation_wall_ms ? w->incarnation_wall_ms : w->start->instance[2] - '0';
}

static void keep_order(const struct world *w, struct sent_order *list, guint *n,
		       const struct order *o)
{
	g_assert_cmpuint(*n, <, SENT_MAX);
	list[(*n)++] = (struct sent_order){
		.id = o->id,
		.at = w->now,
		.attempt = o->attempt,
		.timeout_ms = o->timeout_ms,
		.not_after = o->not_after,
		.lease_until_ms = o->lease_until_ms,
		.ack_through = o->ack_through,
		.text = g_strjoin("|", o->address, o->instance, o->task ? o->task : "",
				  o->payload ? o->payload : "", o->checkpoint ? o->checkpoint : "",
				  o->ticket ? o->ticket : "", NULL),
	};
}

/// @return result of an order, or NULL if it has none yet
static struct order_result *result_of(struct world *w, const struct order *o)
{
	struct order_result *r;

	if (!o->instance)
		return order_result_new(o->id, ORDER_MACHINE_BUSY); /* the machine service */
	if (!w->start || g_strcmp0(o->instance, w->start->instance) != 0)
		return other_result(w, o);
	if (w->replaced && g_str_equal(o->address, w->start->address))
		return order_result_new(o->id, ORDER_WRONG_INSTANCE);
	w->stops += o->type == ORDER_STOP;
	w->queries_sent += o->type == ORDER_STATUS_QUERY;
	w->starts_sent += o->type == ORDER_START;
	if (w->refuses) {
		r = order_result_new(o->id, ORDER_NOT_SENT);
		r->refused = true;
		return r;
	}
	if (o->type == ORDER_START && w->starts_wait) {
		keep_order(w, w->copies, &w->copies_sent, o);
		return NULL;
	}
	if (o->type == ORDER_START ? !w->start_is_answered : w->mute)
		return order_result_new(o->id, ORDER_NO_ANSWER);
	if (o->type == ORDER_STOP && w->stops_are_lost)
		return order_result_new(o->id, ORDER_NO_ANSWER);
	if (o->type == ORDER_STATUS_QUERY && w->queries_wait) {
		w->waiting_query = o->id;
		if (w->starts_wait)
			keep_order(w, w->open_queries, &w->queries_open, o);
		return NULL;
	}
	r = order_result_new(o->id, ORDER_OK);
	r->clock_ms = w->now + w->clock_offset_ms;
	w->leased_until_ms = MAX(w->leased_until_ms, o->lease_until_ms);
	w->accepted += o->type == ORDER_START;
	if (o->type != ORDER_STATUS_QUERY)
		return r;
	w->queries++;
	w->ack_through = o->ack_through;
	r->incarnation_wall_ms = incarnation_of(w);
	if (w->listed)
		add_listed_attempt(w, r, w->start->attempt);
	if (w->done)
		add_completion(w, r);
	return r;
}

/// Runs the manager; answers its orders after 1 ms.
static void run_for(struct world *w, clock_ms_t ms)
{
	for (clock_ms_t until = w->now + ms; w->now < until; w->now++) {
		g_autoptr(GPtrArray) effects = NULL;

		if (w->now % 1000 == 0)
			send_other_heartbeats(w);
		manager_tick(w->m, w->now, w->now);
		effects = manager_take_effects(w->m);
		for (guint i = 0; i < effects->len; i++) {
			struct effect *e = effects->pdata[i];
			struct order_result *r;
			struct order *o;

			if (e->type != EFFECT_ORDER)
				continue;
			o = e->u.order;
			if (o->type == ORDER_START && !w->starts++)
				w->start = g_steal_pointer(&e->u.order);
			r = result_of(w, o);
			if (!r)
				continue;
			manager_handle_result(w->m, w->now + 1, w->now + 1, r);
			order_result_free(r);
		}
	}
}

/// Submits a job of one task and runs the manager until it has sent the start.
static void start_task(struct world *w)
{
	fixture_submit(w->m, w->now, "j", 1);
	for (int i = 0; i < 1000 && !w->starts; i++)
		run_for(w, 1);
	g_assert_cmpuint(w->starts, ==, 1);
}

/// An endpoint restarts under its id before the start arrives, and the later incarnation accepts
/// the start. When the restart becomes known, the task must not start elsewhere: it runs.
static void test_start_answered_by_later_incarnation_is_kept(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.incarnation_wall_ms = LATER_INCARNATION;
	w.listed = true;
	w.mute = true;
	start_task(&w);
	run_for(&w, 20);
	w.mute = false;
	send_heartbeat(&w, w.start->instance, LATER_INCARNATION, w.now);
	run_for(&w, 2000);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// As above, but the endpoint is cut off before the restart becomes known. The attempt may run for
/// the longest lease, whatever the clock read that came with the answer.
static void test_unlisted_attempt_outlives_longest_lease(void)
{
	const int64_t offsets[] = {-FIXTURE_START_MS + 1, 30000};

	for (guint i = 0; i < G_N_ELEMENTS(offsets); i++) {
		struct world w;

		world_init(&w);
		w.start_is_answered = true;
		w.mute = true;
		w.clock_offset_ms = offsets[i];
		start_task(&w);
		run_for(&w, LEASE_MAX_MS);
		g_assert_cmpuint(w.starts, ==, 1);
		run_for(&w, 2000);
		g_assert_cmpuint(w.starts, ==, 2);
		world_clear(&w);
	}
}

/// A start was not answered, and heartbeats are missing when a status query finds that the endpoint
/// has restarted. The late start may run at the later incarnation until that one settles it.
static void test_attempt_in_doubt_outlives_restart(void)
{
	struct world w;

	world_init(&w);
	w.now += 20000;
	w.mute = true;
	start_task(&w);
	run_for(&w, 4600);
	w.mute = false;
	w.incarnation_wall_ms = LATER_INCARNATION;
	run_for(&w, 11); /* one status query, whose answer shows the restart */
	w.listed = true;
	run_for(&w, 2000);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// An endpoint restarts under its id, unnoticed, and runs an attempt whose end it counts as its
/// first. A status query meant for the earlier incarnation must not acknowledge that end, which no
/// answer has listed: it would be forgotten, and the task started again.
static void test_unlisted_end_is_not_acknowledged(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 100);
	w.listed = false;
	w.done = true;
	run_for(&w, 400);
	w.done = false;
	g_assert_cmpuint(w.ack_through, ==, 1);
	fixture_submit(w.m, w.now, "k", 16); /* fills both endpoints */
	w.accepted = 0;
	w.mute = true;
	run_for(&w, 200);
	w.mute = false;
	w.queries = 0;
	for (int i = 0; i < 1000 && !w.queries; i++)
		run_for(&w, 1);
	g_assert_cmpuint(w.accepted, >, 0);
	g_assert_cmpuint(w.queries, ==, 1);
	g_assert_cmpuint(w.ack_through, ==, 0);
	world_clear(&w);
}

/// A new leader first receives a heartbeat that was held up for 5 s, then a fresh one. The lease
/// that the earlier leader granted last must not seem to end with the first reading of the clock.
static void test_held_up_heartbeat_does_not_shorten_earlier_lease(void)
{
	struct manager *earlier;
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	w.incarnation_wall_ms = w.start->instance[2] - '0';
	run_for(&w, 100);
	earlier = w.m;
	w.m = fixture_next_manager(earlier->jobs, 2, w.now, w.now);
	manager_free(earlier);
	w.mute = true;
	send_heartbeat(&w, w.start->instance, w.incarnation_wall_ms, w.now - 5000);
	run_for(&w, 100);
	send_heartbeat(&w, w.start->instance, w.incarnation_wall_ms, w.now);
	run_for(&w, 4400);
	g_assert_cmpuint(w.starts, ==, 1);
	run_for(&w, 4000);
	g_assert_cmpuint(w.starts, ==, 2);
	world_clear(&w);
}

/// As above, for an endpoint that restarts under its id before a start meant for its earlier
/// incarnation arrives: the start may have granted the longest lease.
static void test_held_up_heartbeat_does_not_shorten_lease_after_restart(void)
{
	struct world w;

	world_init(&w);
	w.now += 20000;
	w.start_is_answered = true;
	w.incarnation_wall_ms = LATER_INCARNATION;
	w.listed = true;
	w.mute = true;
	start_task(&w);
	run_for(&w, 20);
	w.mute = false;
	send_heartbeat(&w, w.start->instance, LATER_INCARNATION, w.now - 5000);
	run_for(&w, 50);
	g_assert_cmpuint(w.queries, >, 0);
	w.mute = true;
	run_for(&w, LEASE_MAX_MS - 70);
	g_assert_cmpuint(w.starts, ==, 1);
	run_for(&w, 3000);
	g_assert_cmpuint(w.starts, ==, 2);
	world_clear(&w);
}

/// The earlier incarnation's deregistration arrives after the later one, which has not sent a
/// heartbeat yet, accepted a start. The task must not start elsewhere: it runs.
static void test_deregistration_does_not_end_unlisted_attempt(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	w.mute = true;
	start_task(&w);
	fixture_deregister(w.m, w.now, w.start->instance, w.start->instance[2] - '0');
	run_for(&w, 1000);
	w.mute = false;
	w.incarnation_wall_ms = LATER_INCARNATION;
	run_for(&w, 500);
	g_assert_cmpuint(w.starts, ==, 1);
	g_assert_cmpuint(w.queries, >, 0);
	send_heartbeat(&w, w.start->instance, LATER_INCARNATION, w.now);
	run_for(&w, 500);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// The start of a long-running task was not answered, nor is the stop for it. The start may arrive
/// while a status query waits; the stop must not be sent again before that one is answered, or it
/// could end a ready task.
static void test_late_start_is_not_stopped_unseen(void)
{
	struct order query = {.type = ORDER_STATUS_QUERY};
	struct order_result *r;
	struct world w;

	world_init(&w);
	w.stops_are_lost = true;
	fixture_submit_long_running(w.m, w.now, "j", 1000);
	for (int i = 0; i < 1000 && !w.stops; i++)
		run_for(&w, 1);
	g_assert_cmpuint(w.stops, ==, 1);
	w.incarnation_wall_ms = w.start->instance[2] - '0';
	run_for(&w, 40); /* one more status query without the attempt */
	w.queries_wait = true;
	run_for(&w, 1000);
	g_assert_cmpuint(w.stops, ==, 1);
	w.queries_wait = false;
	w.stops_are_lost = false;
	w.listed = true;
	query.instance = w.start->instance;
	query.id = w.waiting_query;
	r = result_of(&w, &query);
	manager_handle_result(w.m, w.now, w.now, r);
	order_result_free(r);
	run_for(&w, 500);
	g_assert_cmpuint(w.stops, ==, 1);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// Tasks with an availability budget run on when their job fails, until it is cancelled.
static void test_cancel_of_failed_job_stops_its_tasks(void)
{
	struct call c = {.type = CALL_CANCEL, .host = g_strdup("h"), .path = g_strdup("/q/j")};
	struct world w;
	struct job *job;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	w.incarnation_wall_ms = w.start->instance[2] - '0';
	run_for(&w, 100);
	job = jobs_find(w.m->jobs, "j");
	job->image.spec.steps.steps_val[0].max_unavailable = 1;
	job->image.phase = JOB_FAILED;
	run_for(&w, 500);
	g_assert_cmpuint(w.stops, ==, 0);
	manager_handle_call(w.m, w.now, w.now, 9, &c);
	call_clear(&c);
	run_for(&w, 500);
	g_assert_cmpuint(w.stops, >=, 1);
	world_clear(&w);
}

/// Starts the task; then its endpoint answers nothing and sends no heartbeat until its leases have
/// expired and the task runs elsewhere.
static void lose_endpoint(struct world *w)
{
	w->start_is_answered = true;
	w->listed = true;
	start_task(w);
	run_for(w, 500);
	w->mute = true;
	w->start_is_answered = false;
	run_for(w, LEASE_MAX_MS + 2000);
	g_assert_cmpuint(w->starts, ==, 2);
	w->listed = false;
	w->accepted = 0;
}

/// Runs the manager for a number of heartbeats of the endpoint that got the first start, sent each
/// second.
static void run_with_heartbeats(struct world *w, unsigned int heartbeats)
{
	for (unsigned int i = 0; i < heartbeats; i++) {
		send_heartbeat(w, w->start->instance, incarnation_of(w), w->now);
		run_for(w, 1000);
	}
}

/// Endpoints that lost their leases in a cut were never called again, so that they stayed out of
/// use for as long as the leader led (review/2, LOST).
static void test_endpoint_that_was_cut_off_gets_work_again(void)
{
	struct world w;

	world_init(&w);
	lose_endpoint(&w);
	w.mute = false;
	w.start_is_answered = true;
	run_with_heartbeats(&w, 1);
	fixture_submit(w.m, w.now, "k", 14); /* more than the other endpoint has room for */
	run_with_heartbeats(&w, 1);
	g_assert_cmpuint(w.accepted, >=, 7);
	world_clear(&w);
}

/// An endpoint whose heartbeats arrive, but whose answers are lost, gets no work and at most one
/// call for each heartbeat.
static void test_endpoint_that_does_not_answer_is_probed_at_a_pace(void)
{
	struct world w;

	world_init(&w);
	lose_endpoint(&w);
	w.queries_sent = 0;
	w.starts_sent = 0;
	fixture_submit(w.m, w.now, "k", 14);
	run_with_heartbeats(&w, 10);
	g_assert_cmpuint(w.queries_sent, >=, 8);
	g_assert_cmpuint(w.queries_sent, <=, 10);
	run_for(&w, 5000); /* without heartbeats it is not called */
	g_assert_cmpuint(w.queries_sent, <=, 10);
	g_assert_cmpuint(w.starts_sent, ==, 0);
	world_clear(&w);
}

/// Runs the task, then sends a foreign heartbeat. The task must run on where it is, and its
/// endpoint must stay in use.
static void check_foreign_heartbeat(const char *id, const char *pool, bool own_heartbeats)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 1000);
	send_foreign_heartbeat(&w, id ? id : w.start->instance, pool);
	if (own_heartbeats)
		run_with_heartbeats(&w, 2);
	else
		run_for(&w, 2000);
	g_assert_cmpuint(w.starts, ==, 1);
	w.accepted = 0;
	fixture_submit(w.m, w.now, "k", 14);
	run_for(&w, 50);
	g_assert_cmpuint(w.accepted, >=, 6);
	world_clear(&w);
}

/// One heartbeat of another writer, of a pool that is not named and with the address of an
/// endpoint, ended that endpoint for the leader: its tasks ran twice (review/3, TWICE).
static void test_foreign_heartbeat_ends_no_endpoint(void)
{
	for (int own_heartbeats = 0; own_heartbeats < 2; own_heartbeats++) {
		check_foreign_heartbeat("i-9", "elsewhere", own_heartbeats);
		check_foreign_heartbeat("i-9", "p", own_heartbeats);
		check_foreign_heartbeat(NULL, "elsewhere", own_heartbeats);
		check_foreign_heartbeat(NULL, "p", own_heartbeats);
	}
}

/// An endpoint at the address of an earlier one: the earlier one's tasks start elsewhere as soon as
/// the address answers for another endpoint.
static void test_replaced_endpoint_is_noticed_at_once(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 1000);
	w.replaced = true;
	w.queries_wait = true;
	send_foreign_heartbeat(&w, "i-3", "p");
	run_for(&w, 300);
	g_assert_cmpuint(w.starts, ==, 2);
	world_clear(&w);
}

/// A leader hears first of an incarnation that does not exist. The answer of the present one, which
/// seems to be an earlier one, must win: its heartbeats were ignored.
static void test_answer_corrects_false_incarnation(void)
{
	struct manager *earlier;
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	w.listed = false;
	w.done = true;
	run_for(&w, 1000);
	earlier = w.m;
	w.m = fixture_next_manager(earlier->jobs, 2, w.now, w.now);
	manager_free(earlier);
	send_foreign_heartbeat(&w, w.start->instance, "p");
	run_with_heartbeats(&w, 1);
	w.accepted = 0;
	fixture_submit(w.m, w.now, "k", 14);
	run_for(&w, 50);
	g_assert_cmpuint(w.accepted, >=, 6);
	world_clear(&w);
}

/// Heartbeats of an endpoint with numbers of another writer: they must not outlive the next true
/// ones, which seemed to be old.
static void test_odd_heartbeat_does_not_outlive_true_ones(void)
{
	const struct {
		uint64_t sequence;
		int64_t clock_offset_ms;
	} odd[] = {
		{ENDPOINT_NUMBER_MAX, 0},
		{ENDPOINT_NUMBER_MAX, 1000000000},
		{1000, 1000000000},
	};

	for (guint i = 0; i < G_N_ELEMENTS(odd); i++)
		for (int busy = 0; busy < 2; busy++) {
			struct world w;
			uint64_t sequence;

			world_init(&w);
			w.start_is_answered = true;
			w.listed = busy;
			start_task(&w);
			w.done = !busy;
			run_for(&w, 500);
			sequence = w.sequence;
			w.sequence = odd[i].sequence - 1;
			send_heartbeat(&w, w.start->instance, incarnation_of(&w),
				       w.now + odd[i].clock_offset_ms);
			w.sequence = sequence;
			run_with_heartbeats(&w, 7);
			w.accepted = 0;
			fixture_submit(w.m, w.now, "k", 14);
			run_for(&w, 50);
			g_test_message("case %u, busy %d", i, busy);
			g_assert_cmpuint(w.accepted, >=, 6);
			/* Its lease ends as any other. */
			w.listed = true;
			w.mute = true;
			w.start_is_answered = false;
			w.starts = 1;
			run_for(&w, LEASE_MAX_MS + 2000);
			if (busy)
				g_assert_cmpuint(w.other_attempt, >, 1);
			world_clear(&w);
		}
}

/// An incarnation keeps its address, pool and machine: a heartbeat that says otherwise changes
/// nothing, and its calls go where they went.
static void test_odd_heartbeat_moves_no_endpoint(void)
{
	const struct endpoint *e;
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 1000);
	e = incarnations_find_endpoint(w.m, w.start->instance);
	send_heartbeat_from(&w, w.start->instance, incarnation_of(&w), w.now, "10.1.0.99:80", "p");
	g_assert_cmpstr(e->address, ==, w.start->address);
	send_heartbeat_from(&w, w.start->instance, incarnation_of(&w), w.now, w.start->address,
			    "off");
	g_assert_cmpstr(e->pool, ==, "p");
	w.queries_sent = 0;
	run_with_heartbeats(&w, 2);
	g_assert_cmpuint(w.queries_sent, >, 0);
	g_assert_cmpuint(w.starts, ==, 1);
	g_assert_cmpstr(e->address, ==, w.start->address);
	g_assert_cmpstr(e->pool, ==, "p");
	world_clear(&w);
}

/// A deregistration of another writer ended a sound endpoint: its tasks ran twice.
static void test_foreign_deregistration_ends_no_endpoint(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 1000);
	fixture_deregister(w.m, w.now, w.start->instance, 0);
	run_for(&w, 800);
	g_assert_cmpuint(w.starts, ==, 1);
	run_with_heartbeats(&w, 1);
	w.accepted = 0;
	fixture_submit(w.m, w.now, "k", 14);
	run_for(&w, 50);
	g_assert_cmpuint(w.accepted, >=, 6);
	world_clear(&w);
}

/// The task runs at an endpoint that says that it drains.
static void start_task_and_drain(struct world *w)
{
	world_init(w);
	w->start_is_answered = true;
	w->listed = true;
	start_task(w);
	run_for(w, 1000);
	w->drains = true;
	send_heartbeat(w, w->start->instance, incarnation_of(w), w->now);
	w->drains = false;
	run_for(w, 200);
	g_assert_cmpuint(w->starts, ==, 1);
}

/// An endpoint that leaves refuses connections after its deregistration: its tasks start elsewhere
/// soon, not when its leases have ended.
static void test_endpoint_that_leaves_is_noticed_soon(void)
{
	const clock_ms_t delays[] = {0, 50, 300, 1000};

	for (guint i = 0; i < G_N_ELEMENTS(delays); i++) {
		struct world w;

		start_task_and_drain(&w);
		fixture_deregister(w.m, w.now, w.start->instance, 0);
		run_for(&w, delays[i]);
		w.refuses = true;
		run_for(&w, 500);
		g_assert_cmpuint(w.starts, ==, 2);
		world_clear(&w);
	}
}

/// An endpoint that leaves is cut off before or after its deregistration and runs on. Its silence
/// ends no lease: its task must not run twice.
static void test_silent_endpoint_that_leaves_keeps_its_lease(void)
{
	const clock_ms_t cuts[] = {-150, -1, 0, 20, 400, 2000};

	for (guint i = 0; i < G_N_ELEMENTS(cuts); i++) {
		struct world w;

		start_task_and_drain(&w);
		w.mute = cuts[i] < 0;
		run_for(&w, MAX(-cuts[i], 0));
		fixture_deregister(w.m, w.now, w.start->instance, 0);
		run_for(&w, MAX(cuts[i], 0));
		w.mute = true;
		g_assert_cmpint(w.leased_until_ms, >, w.now + 1000);
		run_for(&w, w.leased_until_ms - w.now);
		g_assert_cmpuint(w.starts, ==, 1);
		run_for(&w, 4000);
		g_assert_cmpuint(w.starts, ==, 2);
		world_clear(&w);
	}
}

/// A refused connection is no proof once the endpoint has answered again: it runs on, and its
/// silence later ends no lease.
static void test_answer_after_refusal_keeps_lease(void)
{
	struct world w;

	start_task_and_drain(&w);
	fixture_deregister(w.m, w.now, w.start->instance, 0);
	w.refuses = true;
	run_for(&w, 30);
	w.refuses = false;
	run_for(&w, 200);
	w.mute = true;
	g_assert_cmpint(w.leased_until_ms, >, w.now + 1000);
	run_for(&w, w.leased_until_ms - w.now);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// Connections are refused before an endpoint that drains has said that it leaves, as they are
/// while it restarts: the refusal is no proof that the incarnation which deregisters later has
/// ended.
static void test_earlier_refusal_proves_no_departure(void)
{
	struct world w;

	start_task_and_drain(&w);
	w.refuses = true;
	run_for(&w, 300);
	w.refuses = false;
	w.mute = true;
	fixture_deregister(w.m, w.now, w.start->instance, 0);
	run_for(&w, LEASE_MAX_MS - 1500);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// Anyone may send a deregistration. Refused connections to an endpoint that has not said that it
/// drains prove nothing: its leases count.
static void test_refusal_without_draining_proves_no_departure(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	start_task(&w);
	run_for(&w, 1000);
	fixture_deregister(w.m, w.now, w.start->instance, 0);
	w.refuses = true;
	run_for(&w, LEASE_MAX_MS - 1500);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

/// A leader that was elected after the deregistration does not know of it. It must not take the
/// silence of an endpoint that drains for its end.
static void test_next_leader_keeps_lease_of_endpoint_that_leaves(void)
{
	struct manager *earlier;
	struct world w;

	start_task_and_drain(&w);
	fixture_deregister(w.m, w.now, w.start->instance, 0);
	run_for(&w, 10);
	earlier = w.m;
	w.m = fixture_next_manager(earlier->jobs, 2, w.now, w.now);
	manager_free(earlier);
	w.mute = true;
	w.drains = true;
	send_heartbeat(&w, w.start->instance, incarnation_of(&w), w.now);
	w.drains = false;
	run_for(&w, LEASE_MAX_MS - 1500);
	g_assert_cmpuint(w.starts, ==, 1);
	world_clear(&w);
}

static void put_config_with_pool(struct world *w, const char *pool)
{
	struct call c = {.type = CALL_CONFIG_PUT};
	job_queue *q = calloc(1, sizeof(*q));
	job_pool *p = calloc(1, sizeof(*p));

	*q = (job_queue){.key = strdup("h /q/"), .pool = strdup(pool), .max_attempts = 2};
	*p = (job_pool){.name = strdup(pool)};
	c.config.config_version = 2;
	c.config.queues.queues_len = 1;
	c.config.queues.queues_val = q;
	c.config.pools.pools_len = 1;
	c.config.pools.pools_val = p;
	manager_handle_call(w->m, w->now, w->now, 3, &c);
	call_clear(&c);
}

/// Endpoints of a pool that a later configuration names come into use.
static void test_pool_named_later_comes_into_use(void)
{
	struct world w;

	world_init(&w);
	w.start_is_answered = true;
	w.listed = true;
	send_heartbeat_from(&w, "i-3", 3, w.now, "10.1.0.3:80", "later");
	run_for(&w, 1000);
	put_config_with_pool(&w, "later");
	fixture_submit(w.m, w.now, "j", 1);
	run_for(&w, 500);
	send_heartbeat_from(&w, "i-3", 3, w.now, "10.1.0.3:80", "later");
	run_for(&w, 100);
	g_assert_cmpuint(w.starts, ==, 1);
	g_assert_cmpstr(w.start->instance, ==, "i-3");
	world_clear(&w);
}

/// Gives an order its result.
static void answer(struct world *w, uint64_t id, enum order_status status)
{
	struct order_result *r = order_result_new(id, status);

	r->clock_ms = status == ORDER_OK ? w->now : -1;
	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

/// Answers a status query, with the attempt if the endpoint lists it.
static void answer_query(struct world *w, uint64_t id)
{
	struct order query = {.type = ORDER_STATUS_QUERY, .instance = w->start->instance, .id = id};
	struct order_result *r;

	query.address = w->start->address;
	w->queries_wait = false;
	r = result_of(w, &query);
	w->queries_wait = true;
	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

/// @return the attempt that was started first, or NULL if it is not tracked
static struct run *first_run(struct world *w)
{
	struct run *r = g_hash_table_lookup(w->m->runs, w->start->task);

	return r && r->attempt == w->start->attempt ? r : NULL;
}

static struct endpoint *first_endpoint(struct world *w)
{
	return incarnations_find_endpoint(w->m, w->start->instance);
}

/// Submits a job of one task, whose start gets no answer until the test gives one.
static void start_task_unanswered(struct world *w)
{
	world_init(w);
	w->starts_wait = true;
	start_task(w);
	g_assert_cmpuint(w->copies_sent, ==, 1);
	w->incarnation_wall_ms = w->start->instance[2] - '0';
}

/// A start without an answer kept its task waiting for the call's time-out, a stop and a start
/// elsewhere: 4.4 s in place of 1.6 s. It must be sent again, as the same attempt within the same
/// bounds, at most twice.
static void test_unanswered_start_is_repeated(void)
{
	struct world w;

	start_task_unanswered(&w);
	run_for(&w, REPEAT_MS - 2);
	g_assert_cmpuint(w.copies_sent, ==, 1);
	run_for(&w, 15);
	g_assert_cmpuint(w.copies_sent, ==, 2);
	run_for(&w, REPEAT_MS + 15);
	g_assert_cmpuint(w.copies_sent, ==, 3);
	run_for(&w, 500);
	g_assert_cmpuint(w.copies_sent, ==, 3);
	for (guint i = 1; i < w.copies_sent; i++) {
		const struct sent_order *first = &w.copies[0];
		const struct sent_order *copy = &w.copies[i];

		g_assert_cmpstr(copy->text, ==, first->text);
		g_assert_cmpuint(copy->attempt, ==, first->attempt);
		g_assert_cmpint(copy->not_after, ==, first->not_after);
		g_assert_cmpint(copy->lease_until_ms, ==, first->lease_until_ms);
		g_assert_cmpint(copy->at + copy->timeout_ms, ==, first->at + first->timeout_ms);
	}
	g_assert_cmpint(w.copies[0].lease_until_ms, <=, first_endpoint(&w)->lease_end_ms);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_ORDERED);
	world_clear(&w);
}

/// One answered copy tells that the attempt runs. The missing answers of the others put it in doubt
/// and the endpoint out of use, so that a running task was stopped.
static void test_late_missing_answer_changes_nothing(void)
{
	struct world w;

	start_task_unanswered(&w);
	run_for(&w, 2 * REPEAT_MS + 30);
	g_assert_cmpuint(w.copies_sent, ==, 3);
	w.listed = true;
	answer(&w, w.copies[1].id, ORDER_OK);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_CONFIRMED);
	run_for(&w, 500);
	answer(&w, w.copies[0].id, ORDER_NO_ANSWER);
	answer(&w, w.copies[2].id, ORDER_NO_ANSWER);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_CONFIRMED);
	g_assert_cmpuint(first_endpoint(&w)->unanswered_calls, ==, 0);
	g_assert_cmpint(first_endpoint(&w)->quarantined_until, <=, w.now);
	run_for(&w, 1000);
	g_assert_cmpuint(w.stops, ==, 0);
	g_assert_cmpuint(w.starts, ==, 3);
	world_clear(&w);
}

/// While a copy is open it may be accepted. Once none is, the attempt is in doubt: without a stop
/// and a later status query it must not start elsewhere.
static void test_start_is_in_doubt_without_open_copy(void)
{
	struct world w;

	start_task_unanswered(&w);
	w.stops_are_lost = true;
	run_for(&w, 2 * REPEAT_MS + 30);
	answer(&w, w.copies[0].id, ORDER_NO_ANSWER);
	answer(&w, w.copies[2].id, ORDER_NO_ANSWER);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_ORDERED);
	answer(&w, w.copies[1].id, ORDER_NO_ANSWER);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_IN_DOUBT);
	run_for(&w, 1000);
	g_assert_cmpuint(w.stops, >, 0);
	g_assert_cmpuint(w.starts, ==, 3);
	w.stops_are_lost = false;
	w.starts_wait = false;
	w.start_is_answered = true;
	run_for(&w, 1000);
	g_assert_null(first_run(&w));
	g_assert_cmpuint(w.starts, >, 3);
	world_clear(&w);
}

/// An attempt whose first copy had no answer runs and ends, and the second copy is refused since it
/// has ended. The list of ends tells how; the task must not start again.
static void test_superseded_copy_finds_end(void)
{
	for (int answered = 0; answered < 2; answered++) {
		struct world w;

		start_task_unanswered(&w);
		run_for(&w, REPEAT_MS + 15);
		g_assert_cmpuint(w.copies_sent, ==, 2);
		if (answered)
			answer(&w, w.copies[0].id, ORDER_OK);
		answer(&w, w.copies[1].id, ORDER_SUPERSEDED);
		g_assert_nonnull(first_run(&w));
		g_assert_cmpint(first_run(&w)->state, ==, answered ? RUN_CONFIRMED : RUN_IN_DOUBT);
		w.done = true;
		w.starts_wait = false;
		w.start_is_answered = true;
		run_for(&w, 2000);
		answer(&w, w.copies[0].id, ORDER_NO_ANSWER);
		g_assert_cmpint(jobs_find(w.m->jobs, "j")->image.phase, ==, JOB_COMPLETED);
		g_assert_cmpuint(w.starts, ==, 2);
		world_clear(&w);
	}
}

/// A refused copy does not prove that another one is not executed: the task ran twice.
static void test_refused_copy_releases_no_attempt(void)
{
	const enum order_status refusals[] = {ORDER_NO_CAPACITY,   ORDER_TRY_LATER,
					      ORDER_REJECTED,	   ORDER_INVALID_TICKET,
					      ORDER_LEASE_EXPIRED, ORDER_NOT_SENT};

	for (guint i = 0; i < G_N_ELEMENTS(refusals); i++) {
		struct world w;

		start_task_unanswered(&w);
		w.stops_are_lost = true;
		run_for(&w, REPEAT_MS + 15);
		g_assert_cmpuint(w.copies_sent, ==, 2);
		answer(&w, w.copies[1].id, refusals[i]);
		g_assert_nonnull(first_run(&w));
		run_for(&w, 100);
		w.listed = true; /* the first copy is executed */
		run_for(&w, 1000);
		g_assert_cmpint(first_run(&w)->state, ==, RUN_CONFIRMED);
		world_clear(&w);
	}
}

/// A start that is the only copy and is refused waits again at once.
static void test_refused_start_waits_again(void)
{
	struct world w;

	start_task_unanswered(&w);
	answer(&w, w.copies[0].id, ORDER_REJECTED);
	g_assert_null(first_run(&w));
	world_clear(&w);
}

/// An answer may shorten the lease end that the leader counts with. A copy sent after that must not
/// grant a longer one, or the task runs on when it has been started elsewhere.
static void test_copy_extends_no_lease(void)
{
	struct endpoint *e;
	struct world w;

	start_task_unanswered(&w);
	w.queries_wait = true; /* no further query renews the lease */
	run_for(&w, 50);
	e = first_endpoint(&w);
	e->lease_end_ms = w.copies[0].lease_until_ms - 1000;
	run_for(&w, REPEAT_MS);
	g_assert_cmpuint(w.copies_sent, ==, 2);
	g_assert_cmpint(w.copies[1].lease_until_ms, <=, e->lease_end_ms);
	g_assert_cmpint(w.copies[1].lease_until_ms, <, w.copies[0].lease_until_ms);
	world_clear(&w);
}

/// A leader that lags may only not have read the answers: repeats would add to its load.
static void test_lagging_leader_repeats_nothing(void)
{
	struct world w;

	start_task_unanswered(&w);
	w.queries_wait = true;
	manager_record_lag(w.m, w.now, 50);
	run_for(&w, 500);
	g_assert_cmpuint(w.copies_sent, ==, 1);
	g_assert_cmpuint(w.queries_open, <=, 1);
	manager_record_lag(w.m, w.now, 49);
	run_for(&w, 50);
	g_assert_cmpuint(w.copies_sent, ==, 2);
	world_clear(&w);
}

/// Sends a stop that gets no answer, for an attempt that the endpoint does not run, and returns its
/// order id.
static uint64_t send_unanswered_stop(struct world *w)
{
	struct endpoint *e = first_endpoint(w);
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_STOP,
		.address = g_strdup(e->address),
		.instance = g_strdup("none"),
		.task = g_strdup("other.0.0.0"),
		.attempt = 1,
		.not_after = CLOCK_NEVER,
	};
	effects_send_order(w->m, w->now, o, e, NULL, 0);
	g_ptr_array_unref(manager_take_effects(w->m));
	return w->m->next_order;
}

/// A single call without an answer put an endpoint out of use that had answered later calls: 85 to
/// 102 of 350 endpoints accepted no work. One that answers nothing sent since must still count.
static void test_answered_call_excuses_earlier_one(void)
{
	const struct endpoint *e;
	uint64_t call;
	struct world w;

	start_task_unanswered(&w);
	w.listed = true;
	answer(&w, w.copies[0].id, ORDER_OK);
	run_for(&w, 100);
	e = first_endpoint(&w);
	call = send_unanswered_stop(&w);
	run_for(&w, 200);
	g_assert_cmpint(e->answered_sent_at, >, w.now - 200);
	answer(&w, call, ORDER_NO_ANSWER);
	g_assert_cmpuint(e->unanswered_calls, ==, 0);
	g_assert_cmpint(e->silent_by, ==, 0);
	w.queries_wait = true;
	run_for(&w, 100);
	call = send_unanswered_stop(&w);
	answer(&w, call, ORDER_NO_ANSWER);
	g_assert_cmpuint(e->unanswered_calls, ==, 1);
	g_assert_cmpint(e->silent_by, !=, 0);
	world_clear(&w);
}

/// A status query without an answer hid completions for its wait and a time-out. It is followed by
/// one more, which renews no lease; the lease of an unresponsive endpoint must expire.
static void test_unanswered_query_is_repeated_once(void)
{
	struct world w;

	start_task_unanswered(&w);
	w.listed = true;
	answer(&w, w.copies[0].id, ORDER_OK);
	run_for(&w, 100);
	w.queries_wait = true;
	run_for(&w, 100); /* the query that waits, for 1 s */
	run_for(&w, 1000 + REPEAT_MS + 10);
	g_assert_cmpuint(w.queries_open, ==, 2);
	g_assert_cmpint(w.open_queries[0].lease_until_ms, >, 0);
	g_assert_cmpint(w.open_queries[1].lease_until_ms, ==, 0);
	g_assert_cmpint(w.open_queries[1].at - w.open_queries[0].at, >=, 1000 + REPEAT_MS);
	run_for(&w, 300);
	g_assert_cmpuint(w.queries_open, ==, 2);
	/* The answer to the repeat makes room for the next query, the late one of the first does
	 * not: otherwise the number of open queries would grow. */
	answer_query(&w, w.open_queries[1].id);
	run_for(&w, 60);
	g_assert_cmpuint(w.queries_open, ==, 3);
	answer_query(&w, w.open_queries[0].id);
	run_for(&w, 60);
	g_assert_cmpuint(w.queries_open, ==, 3);
	g_assert_cmpuint(first_endpoint(&w)->unanswered_calls, ==, 0);
	world_clear(&w);
}

/// Two status queries are open; the later one lists an attempt whose start has had no answer. The
/// earlier one was executed before the attempt started: its answer must not release the attempt,
/// which would run twice.
static void test_earlier_query_does_not_end_listed_attempt(void)
{
	struct world w;

	world_init(&w);
	w.queries_wait = true;
	w.starts_wait = true;
	start_task(&w);
	w.incarnation_wall_ms = w.start->instance[2] - '0';
	run_for(&w, REPEAT_MS + 40);
	g_assert_cmpuint(w.queries_open, ==, 2);
	w.listed = true;
	answer_query(&w, w.open_queries[1].id);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_CONFIRMED);
	w.listed = false;
	answer_query(&w, w.open_queries[0].id);
	g_assert_nonnull(first_run(&w));
	world_clear(&w);
}

/// The endpoint restarts under its id while a copy of a start that another copy's answer confirmed
/// may still arrive. The later incarnation may run it: the task must not start elsewhere before
/// that one has settled it, and no end there may be acknowledged unseen.
static void test_copy_may_run_at_later_incarnation(void)
{
	struct world w;

	start_task_unanswered(&w);
	run_for(&w, REPEAT_MS + 15);
	w.listed = true;
	answer(&w, w.copies[1].id, ORDER_OK);
	run_for(&w, 1000);
	answer(&w, w.copies[0].id, ORDER_NO_ANSWER);
	g_assert_cmpuint(first_run(&w)->listed_by, >, 0);
	first_endpoint(&w)->last_completion = 7;
	w.queries_wait = true;
	run_for(&w, 1000 + REPEAT_MS + 30);
	g_assert_cmpuint(w.queries_open, ==, 2);
	g_assert_cmpuint(w.open_queries[0].ack_through, ==, 7);
	g_assert_cmpuint(w.open_queries[1].ack_through, ==, 0);
	w.queries_wait = false;
	w.incarnation_wall_ms = LATER_INCARNATION;
	run_for(&w, 100);
	answer_query(&w, w.open_queries[1].id); /* shows the restart */
	g_assert_nonnull(first_run(&w));
	w.queries_wait = false;
	run_for(&w, 2000);
	g_assert_cmpint(first_run(&w)->state, ==, RUN_CONFIRMED);
	g_assert_cmpuint(w.starts, ==, 2);
	world_clear(&w);
}

/// An attempt has ended while a copy of its start may still arrive. A restart of its idle endpoint
/// was noticed only by a heartbeat, and the later incarnation ran the task again before. The
/// endpoint must be asked until the copy can't arrive any more, without a lease.
static void test_idle_endpoint_is_asked_while_copy_is_late(void)
{
	const clock_ms_t late_order_max_ms = 15000;
	struct world w;

	start_task_unanswered(&w);
	run_for(&w, REPEAT_MS + 15);
	answer(&w, w.copies[1].id, ORDER_OK);
	w.done = true;
	run_for(&w, 200);
	g_assert_null(first_run(&w));
	answer(&w, w.copies[0].id, ORDER_NO_ANSWER);
	run_for(&w, 200);
	w.queries_sent = 0;
	run_for(&w, 1000);
	g_assert_cmpuint(w.queries_sent, >=, 2);
	w.queries_wait = true;
	run_for(&w, 100);
	g_assert_cmpuint(w.queries_open, ==, 1);
	g_assert_cmpint(w.open_queries[0].lease_until_ms, ==, 0);
	answer_query(&w, w.open_queries[0].id);
	w.queries_wait = false;
	run_for(&w, late_order_max_ms);
	w.queries_sent = 0;
	run_for(&w, 2000);
	g_assert_cmpuint(w.queries_sent, ==, 0);
	world_clear(&w);
}

/// Without a limit, repeats would double the load of a leader whose network is broken. The limit
/// holds for any second, and small fleets keep a minimum.
static void test_repeat_budget_limits_any_second(void)
{
	struct repeat_budget b = {0};
	clock_ms_t taken_at[1000];
	guint taken = 0;
	clock_ms_t now = FIXTURE_START_MS;

	for (guint i = 0; i < REPEAT_BUDGET_MIN_PER_S; i++)
		g_assert_true(repeat_budget_take(&b, now));
	g_assert_false(repeat_budget_take(&b, now));
	g_assert_false(repeat_budget_take(&b, now + 1000));
	g_assert_true(repeat_budget_take(&b, now + 1000 + REPEAT_BUDGET_SLOT_MS));
	now += 100000; /* a gap longer than the window */
	for (clock_ms_t until = now + 5000; now < until; now++) {
		repeat_budget_record_order(&b, now); /* 1,000 a second */
		if (repeat_budget_take(&b, now))
			taken_at[taken++] = now;
	}
	g_assert_cmpuint(taken, >=, 400);
	for (guint i = 100; i < taken; i++)
		g_assert_cmpint(taken_at[i] - taken_at[i - 100], >=, 1000);
}

#define WAIT_MAX_S 13 /* a task whose turn has come runs 14 s after the end of the traffic */

/// While endpoints kept ending, a task one loss short of being given up was started nowhere (LOST).
static void test_task_near_its_limit_waits_a_bounded_time(void)
{
	struct manager *m = fixture_manager(FIXTURE_START_MS);
	const job_task_ref ref = {.job = (char *)"j"};
	struct endpoint *other;
	job_task *task;

	fixture_put_config(m, FIXTURE_START_MS);
	fixture_submit(m, FIXTURE_START_MS, "j", 1);
	fixture_heartbeat(m, FIXTURE_START_MS, "i-1", "m-1", 1);
	other = incarnations_find_endpoint(m, "i-1");
	other->terminated = true;
	task = jobs_task(m->jobs, &ref);
	task->crashes = JOBS_CRASHES_MAX - 1;
	task->started_wall_ms = FIXTURE_START_MS;
	for (clock_ms_t s = 1; s <= WAIT_MAX_S; s++) {
		clock_ms_t now = FIXTURE_START_MS + s * 1000;
		bool waits;

		other->lost_at = now - 1;
		waits = attempts_await_confirmation(m, now, jobs_find(m->jobs, "j"), &ref);
		if (s == 1)
			g_assert_true(waits);
		if (s == WAIT_MAX_S)
			g_assert_false(waits);
	}
	manager_free(m);
}

/* Status queries beside an open one. */

#define OPEN_QUERIES_MAX 8
#define WARM_UP_MS 1000

/// A status query that an endpoint holds back.
struct open_query {
	uint64_t id; ///< 0: none
	clock_ms_t until;
};

/// An endpoint that runs long-running tasks and holds status queries back for their whole wait.
struct holding_endpoint {
	struct manager *m;
	clock_ms_t now;
	struct open_query queries[OPEN_QUERIES_MAX];
	char *tasks[2];
	clock_ms_t started_at[2];
	unsigned int n_tasks;
	unsigned int most_open; ///< highest number of queries open at once
};

static void holding_answer(struct holding_endpoint *h, uint64_t id)
{
	struct order_result *r = order_result_new(id, ORDER_OK);

	r->incarnation_wall_ms = 1;
	r->clock_ms = h->now;
	for (unsigned int i = 0; i < h->n_tasks; i++) {
		struct running_attempt row = {
			.task = g_strdup(h->tasks[i]),
			.attempt = 1,
			.checkpoint = g_strdup(""),
			.percent = h->now - h->started_at[i] >= WARM_UP_MS ? 100 : 0,
		};

		g_array_append_val(r->runs, row);
	}
	manager_handle_result(h->m, h->now, h->now, r);
	order_result_free(r);
}

static void holding_execute(struct holding_endpoint *h, const struct order *o)
{
	if (o->type == ORDER_START) {
		struct order_result *r = order_result_new(o->id, ORDER_OK);

		g_assert_cmpuint(h->n_tasks, <, G_N_ELEMENTS(h->tasks));
		h->tasks[h->n_tasks] = g_strdup(o->task);
		h->started_at[h->n_tasks++] = h->now;
		manager_handle_result(h->m, h->now, h->now, r);
		order_result_free(r);
	}
	for (unsigned int i = 0; o->type == ORDER_STATUS_QUERY; i++) {
		g_assert_cmpuint(i, <, OPEN_QUERIES_MAX);
		if (h->queries[i].id)
			continue;
		h->queries[i] = (struct open_query){o->id, h->now + MAX(o->wait_ms, 1)};
		break;
	}
}

static void holding_run(struct holding_endpoint *h, clock_ms_t ms)
{
	h->most_open = 0;
	for (clock_ms_t until = h->now + ms; h->now < until; h->now += 10) {
		g_autoptr(GPtrArray) effects = NULL;
		unsigned int n_open = 0;

		if (h->now % 1500 == 0)
			fixture_heartbeat(h->m, h->now, "i-1", "m-1", 1);
		for (unsigned int i = 0; i < OPEN_QUERIES_MAX; i++) {
			struct open_query q = h->queries[i];

			n_open += q.id != 0;
			if (!q.id || h->now < q.until)
				continue;
			h->queries[i].id = 0;
			holding_answer(h, q.id);
		}
		h->most_open = MAX(h->most_open, n_open);
		manager_tick(h->m, h->now, h->now);
		effects = manager_take_effects(h->m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];

			if (e->type == EFFECT_ORDER)
				holding_execute(h, e->u.order);
		}
	}
}

static void put_wave_over_unknown_machine(struct manager *m, clock_ms_t now)
{
	struct call c = {.type = CALL_WAVE_PUT, .wave_s = 60};

	c.wave.number = 1;
	c.wave.cap = 1;
	c.wave.machines.machines_len = 1;
	c.wave.machines.machines_val = calloc(1, sizeof(job_wave_machine));
	c.wave.machines.machines_val[0].machine = strdup("m-9");
	manager_handle_call(m, now, now, 2, &c);
	call_clear(&c);
}

/// A status query was sent beside an open one because a task starts. Each answer then started
/// another query, so that two stayed open for good; the latest one, whose answer shows that the
/// lease is fresh, was never answered before the next was sent, and a task counted as not ready for
/// as long as it ran. That blocked the maintenance of all machines with a task of its step.
static void check_query_beside_open_one_ends(clock_ms_t offset_ms)
{
	struct holding_endpoint h = {.now = FIXTURE_START_MS};
	struct run *first;

	h.m = fixture_manager(h.now);
	fixture_put_config(h.m, h.now);
	fixture_heartbeat(h.m, h.now, "i-1", "m-1", 1);
	fixture_submit_long_running(h.m, h.now, "j", 1000);
	holding_run(&h, FIXTURE_HOLDER_LEASE_MS + 2000);
	put_wave_over_unknown_machine(h.m, h.now); /* its order is never answered */
	holding_run(&h, 500 + offset_ms);
	fixture_submit_long_running(h.m, h.now, "k", 1000);
	holding_run(&h, 500);
	g_assert_cmpuint(h.n_tasks, ==, 2);
	holding_run(&h, 4000);
	first = g_hash_table_lookup(h.m->runs, h.tasks[0]);
	g_assert_true(first && first->ready_since);
	holding_run(&h, 2000);
	g_assert_cmpuint(h.most_open, ==, 1);
	manager_free(h.m);
	g_free(h.tasks[0]);
	g_free(h.tasks[1]);
}

/// Two queries became one again if their answers came together, so several offsets are tried.
static void test_query_beside_open_one_ends_with_its_answer(void)
{
	for (clock_ms_t offset_ms = 0; offset_ms < 500; offset_ms += 70)
		check_query_beside_open_one_ends(offset_ms);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK); /* a lost endpoint is logged as a warning */
	g_test_add_func("/runs/start_answered_by_later_incarnation_is_kept",
			test_start_answered_by_later_incarnation_is_kept);
	g_test_add_func("/runs/unlisted_attempt_outlives_longest_lease",
			test_unlisted_attempt_outlives_longest_lease);
	g_test_add_func("/runs/attempt_in_doubt_outlives_restart",
			test_attempt_in_doubt_outlives_restart);
	g_test_add_func("/runs/unlisted_end_is_not_acknowledged",
			test_unlisted_end_is_not_acknowledged);
	g_test_add_func("/runs/held_up_heartbeat_does_not_shorten_earlier_lease",
			test_held_up_heartbeat_does_not_shorten_earlier_lease);
	g_test_add_func("/runs/held_up_heartbeat_does_not_shorten_lease_after_restart",
			test_held_up_heartbeat_does_not_shorten_lease_after_restart);
	g_test_add_func("/runs/deregistration_does_not_end_unlisted_attempt",
			test_deregistration_does_not_end_unlisted_attempt);
	g_test_add_func("/runs/late_start_is_not_stopped_unseen",
			test_late_start_is_not_stopped_unseen);
	g_test_add_func("/runs/endpoint_that_was_cut_off_gets_work_again",
			test_endpoint_that_was_cut_off_gets_work_again);
	g_test_add_func("/runs/endpoint_that_does_not_answer_is_probed_at_a_pace",
			test_endpoint_that_does_not_answer_is_probed_at_a_pace);
	g_test_add_func("/runs/foreign_heartbeat_ends_no_endpoint",
			test_foreign_heartbeat_ends_no_endpoint);
	g_test_add_func("/runs/replaced_endpoint_is_noticed_at_once",
			test_replaced_endpoint_is_noticed_at_once);
	g_test_add_func("/runs/answer_corrects_false_incarnation",
			test_answer_corrects_false_incarnation);
	g_test_add_func("/runs/odd_heartbeat_does_not_outlive_true_ones",
			test_odd_heartbeat_does_not_outlive_true_ones);
	g_test_add_func("/runs/odd_heartbeat_moves_no_endpoint",
			test_odd_heartbeat_moves_no_endpoint);
	g_test_add_func("/runs/foreign_deregistration_ends_no_endpoint",
			test_foreign_deregistration_ends_no_endpoint);
	g_test_add_func("/runs/endpoint_that_leaves_is_noticed_soon",
			test_endpoint_that_leaves_is_noticed_soon);
	g_test_add_func("/runs/silent_endpoint_that_leaves_keeps_its_lease",
			test_silent_endpoint_that_leaves_keeps_its_lease);
	g_test_add_func("/runs/answer_after_refusal_keeps_lease",
			test_answer_after_refusal_keeps_lease);
	g_test_add_func("/runs/earlier_refusal_proves_no_departure",
			test_earlier_refusal_proves_no_departure);
	g_test_add_func("/runs/refusal_without_draining_proves_no_departure",
			test_refusal_without_draining_proves_no_departure);
	g_test_add_func("/runs/next_leader_keeps_lease_of_endpoint_that_leaves",
			test_next_leader_keeps_lease_of_endpoint_that_leaves);
	g_test_add_func("/runs/pool_named_later_comes_into_use",
			test_pool_named_later_comes_into_use);
	g_test_add_func("/runs/cancel_of_failed_job_stops_its_tasks",
			test_cancel_of_failed_job_stops_its_tasks);
	g_test_add_func("/runs/unanswered_start_is_repeated", test_unanswered_start_is_repeated);
	g_test_add_func("/runs/late_missing_answer_changes_nothing",
			test_late_missing_answer_changes_nothing);
	g_test_add_func("/runs/start_is_in_doubt_without_open_copy",
			test_start_is_in_doubt_without_open_copy);
	g_test_add_func("/runs/superseded_copy_finds_end", test_superseded_copy_finds_end);
	g_test_add_func("/runs/refused_copy_releases_no_attempt",
			test_refused_copy_releases_no_attempt);
	g_test_add_func("/runs/refused_start_waits_again", test_refused_start_waits_again);
	g_test_add_func("/runs/copy_extends_no_lease", test_copy_extends_no_lease);
	g_test_add_func("/runs/lagging_leader_repeats_nothing",
			test_lagging_leader_repeats_nothing);
	g_test_add_func("/runs/answered_call_excuses_earlier_one",
			test_answered_call_excuses_earlier_one);
	g_test_add_func("/runs/unanswered_query_is_repeated_once",
			test_unanswered_query_is_repeated_once);
	g_test_add_func("/runs/earlier_query_does_not_end_listed_attempt",
			test_earlier_query_does_not_end_listed_attempt);
	g_test_add_func("/runs/copy_may_run_at_later_incarnation",
			test_copy_may_run_at_later_incarnation);
	g_test_add_func("/runs/idle_endpoint_is_asked_while_copy_is_late",
			test_idle_endpoint_is_asked_while_copy_is_late);
	g_test_add_func("/runs/repeat_budget_limits_any_second",
			test_repeat_budget_limits_any_second);
	g_test_add_func("/runs/task_near_its_limit_waits_a_bounded_time",
			test_task_near_its_limit_waits_a_bounded_time);
	g_test_add_func("/runs/query_beside_open_one_ends_with_its_answer",
			test_query_beside_open_one_ends_with_its_answer);
	return g_test_run();
}
