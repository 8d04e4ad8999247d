/// @file
/// Moves of machines between pools through the job manager's public interface.

#include "manager_fixture.h"

#include "sched/cooldown.h"

#include <string.h>

#define POOL "p"
#define STANDBY "off"

/// The job manager with endpoints that accept every start, and a machine service.
struct world {
	struct manager *m;
	clock_ms_t now;
	uint64_t term;
	struct jobs *state;	       ///< committed state; proposals commit at once
	clock_ms_t seen_at;	       ///< when the latest machine order was committed
	GPtrArray *machines;	       ///< names of the machines that the service lists
	const char *listed_pool;       ///< pool in which it lists them
	enum machine_state listed;     ///< state in which it lists them
	enum order_status move_status; ///< its answer to moves
	bool holds_moves;	       ///< it answers no move for now
	GArray *held_moves;	       ///< uint64_t order ids
	GHashTable *moved;  ///< time of the first order to POOL since the last change of leader, by
			    ///< machine
	GHashTable *starts; ///< count of start orders by task
	GHashTable *endpoints; ///< id of the endpoint that runs it by task
	unsigned int lists;    ///< machine list orders
};

static void world_init(struct world *w)
{
	*w = (struct world){
		.m = fixture_manager(FIXTURE_START_MS),
		.now = FIXTURE_START_MS,
		.term = 1,
		.state = jobs_new(),
		.seen_at = FIXTURE_START_MS,
		.machines = g_ptr_array_new(),
		.listed_pool = STANDBY,
		.listed = MACHINE_UP,
		.held_moves = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.moved = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		.endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
	};
	fixture_put_config(w->m, w->now);
}

static void world_clear(struct world *w)
{
	manager_free(w->m);
	jobs_free(w->state);
	g_ptr_array_unref(w->machines);
	g_array_unref(w->held_moves);
	g_hash_table_unref(w->moved);
	g_hash_table_unref(w->starts);
	g_hash_table_unref(w->endpoints);
}

/// @return time of the first order of a machine to POOL by the present leader; 0: none
static clock_ms_t moved_at(const struct world *w, const char *machine)
{
	return (clock_ms_t)GPOINTER_TO_SIZE(g_hash_table_lookup(w->moved, machine));
}

static void answer(struct world *w, uint64_t id, enum order_status status)
{
	struct order_result *r = order_result_new(id, status);

	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

static void answer_held_moves(struct world *w, enum order_status status)
{
	for (guint i = 0; i < w->held_moves->len; i++)
		answer(w, g_array_index(w->held_moves, uint64_t, i), status);
	g_array_set_size(w->held_moves, 0);
}

static void answer_list(struct world *w, uint64_t id)
{
	struct order_result *r = order_result_new(id, ORDER_OK);

	for (guint i = 0; i < w->machines->len; i++) {
		struct machine_row row = {
			.machine = g_strdup(w->machines->pdata[i]),
			.pool = g_strdup(w->listed_pool),
			.state = w->listed,
			.endpoint = g_strdup(""),
		};

		g_array_append_val(r->machines, row);
	}
	w->lists++;
	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

static void answer_status_query(struct world *w, const struct order *o)
{
	struct order_result *r = order_result_new(o->id, ORDER_OK);
	GHashTableIter iter;
	gpointer task;
	gpointer endpoint;

	r->clock_ms = w->now;
	g_hash_table_iter_init(&iter, w->endpoints);
	while (g_hash_table_iter_next(&iter, &task, &endpoint)) {
		struct running_attempt row = {.attempt = 1};

		if (!g_str_equal(endpoint, o->instance))
			continue;
		row.task = g_strdup(task);
		row.checkpoint = g_strdup("");
		g_array_append_val(r->runs, row);
	}
	manager_handle_result(w->m, w->now, w->now, r);
	order_result_free(r);
}

static void handle_order(struct world *w, const struct order *o)
{
	guint n;

	switch (o->type) {
	case ORDER_START:
		n = GPOINTER_TO_UINT(g_hash_table_lookup(w->starts, o->task));
		g_hash_table_replace(w->starts, g_strdup(o->task), GUINT_TO_POINTER(n + 1));
		g_hash_table_replace(w->endpoints, g_strdup(o->task), g_strdup(o->instance));
		answer(w, o->id, ORDER_OK);
		break;
	case ORDER_STATUS_QUERY:
		answer_status_query(w, o);
		break;
	case ORDER_MACHINE_LIST:
		answer_list(w, o->id);
		break;
	case ORDER_MACHINE_MOVE:
		if (g_str_equal(o->pool, POOL) && !moved_at(w, o->machine))
			g_hash_table_replace(w->moved, g_strdup(o->machine),
					     GSIZE_TO_POINTER(w->now));
		if (w->holds_moves)
			g_array_append_val(w->held_moves, o->id);
		else
			answer(w, o->id, w->move_status);
		break;
	default:
		break;
	}
}

static void commit(struct world *w, GBytes *command)
{
	if (fixture_commit(w->state, command) == JOB_COMMAND_MACHINE_ORDER)
		w->seen_at = w->now;
}

/// Replaces the leader after a time without one.
static void change_leader(struct world *w, clock_ms_t downtime_ms)
{
	manager_free(w->m);
	w->now += downtime_ms;
	w->m = fixture_next_manager(w->state, ++w->term, w->now, w->seen_at);
	g_hash_table_remove_all(w->moved);
	w->lists = 0;
}

static void run_for(struct world *w, clock_ms_t ms)
{
	for (clock_ms_t until = w->now + ms; w->now < until; w->now += MANAGER_TICK_MS) {
		g_autoptr(GPtrArray) effects = NULL;

		manager_tick(w->m, w->now, w->now);
		effects = manager_take_effects(w->m);
		for (guint i = 0; i < effects->len; i++) {
			const struct effect *e = effects->pdata[i];

			if (e->type == EFFECT_PROPOSE)
				commit(w, e->u.command);
			if (e->type == EFFECT_ORDER)
				handle_order(w, e->u.order);
		}
	}
}

/// @return most start orders for any one task
static unsigned int most_starts(const struct world *w)
{
	unsigned int most = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, w->starts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		most = MAX(most, GPOINTER_TO_UINT(value));
	return most;
}

/// The answer to a move is lost, and the machine's next endpoint takes work before the move is sent
/// again. The repeated order succeeds because the machine is in its pool already; the tasks of the
/// endpoint still run and must not start elsewhere.
static void test_repeated_move_keeps_work_of_next_endpoint(void)
{
	struct world w;

	world_init(&w);
	g_ptr_array_add(w.machines, "m-2");
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	w.holds_moves = true;
	fixture_submit(w.m, w.now, "j", 3 * FIXTURE_CPU_MILLI / 1000);
	run_for(&w, 300);
	g_assert_cmpint(moved_at(&w, "m-2"), !=, 0);
	answer_held_moves(&w, ORDER_NO_ANSWER);
	fixture_heartbeat(w.m, w.now, "i-2", "m-2", 2);
	run_for(&w, 1000);
	g_assert_cmpuint(g_hash_table_size(w.starts), ==, 2 * FIXTURE_CPU_MILLI / 1000);
	answer_held_moves(&w, ORDER_OK);
	fixture_heartbeat(w.m, w.now, "i-3", "m-3", 3);
	fixture_heartbeat(w.m, w.now, "i-4", "m-4", 4);
	run_for(&w, 3000);
	g_assert_cmpuint(most_starts(&w), ==, 1);
	world_clear(&w);
}

#define TASKS_PER_MACHINE (FIXTURE_CPU_MILLI / 1000)
/// Two passes over the pools, and a time mark.
#define PASSES_MS 300

/// Sets up a leader that orders machine m-2 to the pool, whose endpoint never sends a heartbeat.
///
/// @return time of the order
static clock_ms_t order_silent_machine(struct world *w)
{
	clock_ms_t at;

	world_init(w);
	g_ptr_array_add(w->machines, "m-2");
	fixture_heartbeat(w->m, w->now, "i-1", "m-1", 1);
	fixture_submit(w->m, w->now, "j", 2 * TASKS_PER_MACHINE);
	run_for(w, PASSES_MS);
	at = moved_at(w, "m-2");
	g_assert_cmpint(at, !=, 0);
	return at;
}

/// Runs the manager until it orders a machine to the pool.
static void run_until_moved(struct world *w, const char *machine, clock_ms_t max_ms)
{
	clock_ms_t until = w->now + max_ms;

	while (!moved_at(w, machine) && w->now < until)
		run_for(w, MANAGER_TICK_MS);
}

/// A surge that runs while the leader changes must not wait for machines whose last order is older
/// than the lease.
static void test_new_leader_moves_machine_ordered_long_ago(void)
{
	struct world w;

	order_silent_machine(&w);
	run_for(&w, FIXTURE_HOLDER_LEASE_MS + 500);
	change_leader(&w, 600);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	run_until_moved(&w, "m-2", PASSES_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), !=, 0);
	world_clear(&w);
}

/// A machine that the earlier leader ordered lately gets no order before the lease has passed since
/// then, and gets it soon after.
static void test_new_leader_keeps_lease_of_recent_order(void)
{
	struct world w;
	clock_ms_t ordered_at = order_silent_machine(&w);

	run_for(&w, 1000);
	change_leader(&w, 600);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	run_until_moved(&w, "m-2", 2 * FIXTURE_HOLDER_LEASE_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), >=, ordered_at + FIXTURE_HOLDER_LEASE_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), <=,
			ordered_at + FIXTURE_HOLDER_LEASE_MS + HOLDER_MARGIN_MS + PASSES_MS);
	world_clear(&w);
}

/// Two changes of leader in a row must not shorten the lease of the first leader's order.
static void test_second_new_leader_keeps_lease_of_first(void)
{
	struct world w;
	clock_ms_t ordered_at = order_silent_machine(&w);

	g_ptr_array_add(w.machines, "m-3");
	change_leader(&w, 600);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	run_until_moved(&w, "m-3", PASSES_MS);
	g_assert_cmpint(moved_at(&w, "m-3"), !=, 0);
	change_leader(&w, 600);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	fixture_submit(w.m, w.now, "k", 2 * TASKS_PER_MACHINE);
	run_until_moved(&w, "m-2", 2 * FIXTURE_HOLDER_LEASE_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), >=, ordered_at + FIXTURE_HOLDER_LEASE_MS);
	world_clear(&w);
}

/// A machine that a new leader finds in maintenance, and that is switched off afterwards, sends no
/// heartbeat; it must be used in a surge as soon as it is up again.
static void test_machine_back_from_maintenance_is_moved(void)
{
	struct world w;

	world_init(&w);
	g_ptr_array_add(w.machines, "m-2");
	w.listed = MACHINE_MAINTENANCE;
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	fixture_submit(w.m, w.now, "j", 2 * TASKS_PER_MACHINE);
	run_for(&w, FIXTURE_MAINTENANCE_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), ==, 0);
	w.listed = MACHINE_UP;
	run_until_moved(&w, "m-2", FIXTURE_MOVE_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), !=, 0);
	world_clear(&w);
}

/// Idle machines of a pool are moved to standby within this time.
#define IDLE_MAX_MS 4000

/// Submits a job and cancels it: machines may be switched off from then on.
static void submit_and_cancel(struct world *w)
{
	struct call c = {.type = CALL_CANCEL, .host = g_strdup("h"), .path = g_strdup("/q/first")};

	fixture_submit_sized(w->m, w->now, "first", 1, 2 * FIXTURE_CPU_MILLI, 1);
	manager_handle_call(w->m, w->now, w->now, 1, &c);
	call_clear(&c);
}

/// Machines were switched off before any work had arrived, and the first surge waited for them.
static void test_machines_stay_up_until_work_has_arrived(void)
{
	struct world w;

	world_init(&w);
	w.holds_moves = true;
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	run_for(&w, IDLE_MAX_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 0);
	run_for(&w, IDLE_MAX_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 0);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1); /* its last one is too old by now */
	submit_and_cancel(&w);
	run_for(&w, IDLE_MAX_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 1);
	world_clear(&w);
}

/// A move that was not sent had no effect: the machine is still idle and must not be left alone.
static void test_unsent_move_is_ordered_again(void)
{
	struct world w;

	world_init(&w);
	g_ptr_array_add(w.machines, "m-2");
	w.move_status = ORDER_NOT_SENT;
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	fixture_submit(w.m, w.now, "j", 2 * TASKS_PER_MACHINE);
	run_for(&w, PASSES_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), !=, 0);
	g_hash_table_remove_all(w.moved);
	run_for(&w, PASSES_MS);
	g_assert_cmpint(moved_at(&w, "m-2"), !=, 0);
	world_clear(&w);
}

/// A move to standby is not answered, and its repetition is not sent. The first order may still be
/// executed, so the endpoint must get no work: the move would end it.
static void test_endpoint_of_unanswered_move_gets_no_work(void)
{
	struct world w;

	world_init(&w);
	w.holds_moves = true;
	submit_and_cancel(&w);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	while (!w.held_moves->len && w.now < FIXTURE_START_MS + IDLE_MAX_MS)
		run_for(&w, MANAGER_TICK_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 1);
	answer_held_moves(&w, ORDER_NO_ANSWER);
	while (!w.held_moves->len && w.now < FIXTURE_START_MS + IDLE_MAX_MS)
		run_for(&w, MANAGER_TICK_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 1);
	answer_held_moves(&w, ORDER_NOT_SENT);
	fixture_submit(w.m, w.now, "j", 1);
	run_for(&w, PASSES_MS);
	g_assert_cmpuint(g_hash_table_size(w.starts), ==, 0);
	world_clear(&w);
}

/// The endpoint restarts under its id while a move of its machine is unanswered: the move may still
/// end it, so it must get no work.
static void test_restarted_endpoint_of_unanswered_move_gets_no_work(void)
{
	struct world w;

	world_init(&w);
	w.holds_moves = true;
	submit_and_cancel(&w);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	while (!w.held_moves->len && w.now < FIXTURE_START_MS + IDLE_MAX_MS)
		run_for(&w, MANAGER_TICK_MS);
	g_assert_cmpuint(w.held_moves->len, ==, 1);
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 2);
	fixture_submit(w.m, w.now, "j", 1);
	run_for(&w, PASSES_MS);
	g_assert_cmpuint(g_hash_table_size(w.starts), ==, 0);
	world_clear(&w);
}

#define WAVE_S 30

static void put_wave(struct world *w, uint32_t cap)
{
	struct call c = {.type = CALL_WAVE_PUT, .wave_s = WAVE_S};

	c.wave.number = 1;
	c.wave.cap = cap;
	c.wave.machines.machines_val = calloc(w->machines->len, sizeof(job_wave_machine));
	for (guint i = 0; i < w->machines->len; i++)
		c.wave.machines.machines_val[c.wave.machines.machines_len++].machine =
			strdup(w->machines->pdata[i]);
	manager_handle_call(w->m, w->now, w->now, 2, &c);
	call_clear(&c);
}

/// A wave is accepted while a pool lacks machines, just before idle ones come up. The wave has time
/// enough to take them a few at a time, so most of them must be left for the pool.
static void test_wave_leaves_idle_machines_to_surge(void)
{
	const char *const names[] = {"m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8", "m-9"};
	struct world w;

	world_init(&w);
	for (unsigned int i = 0; i < G_N_ELEMENTS(names); i++)
		g_ptr_array_add(w.machines, (char *)names[i]);
	w.listed = MACHINE_MAINTENANCE;
	fixture_heartbeat(w.m, w.now, "i-1", "m-1", 1);
	fixture_submit(w.m, w.now, "j", (1 + G_N_ELEMENTS(names)) * TASKS_PER_MACHINE);
	run_for(&w, FIXTURE_HOLDER_LEASE_MS + HOLDER_MARGIN_MS);
	put_wave(&w, G_N_ELEMENTS(names));
	w.listed = MACHINE_UP;
	run_for(&w, FIXTURE_MOVE_MS);
	g_assert_cmpuint(g_hash_table_size(w.moved), >=, G_N_ELEMENTS(names) - 2);
	world_clear(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pools/repeated_move_keeps_work_of_next_endpoint",
			test_repeated_move_keeps_work_of_next_endpoint);
	g_test_add_func("/pools/new_leader_moves_machine_ordered_long_ago",
			test_new_leader_moves_machine_ordered_long_ago);
	g_test_add_func("/pools/new_leader_keeps_lease_of_recent_order",
			test_new_leader_keeps_lease_of_recent_order);
	g_test_add_func("/pools/second_new_leader_keeps_lease_of_first",
			test_second_new_leader_keeps_lease_of_first);
	g_test_add_func("/pools/machine_back_from_maintenance_is_moved",
			test_machine_back_from_maintenance_is_moved);
	g_test_add_func("/pools/unsent_move_is_ordered_again", test_unsent_move_is_ordered_again);
	g_test_add_func("/pools/endpoint_of_unanswered_move_gets_no_work",
			test_endpoint_of_unanswered_move_gets_no_work);
	g_test_add_func("/pools/restarted_endpoint_of_unanswered_move_gets_no_work",
			test_restarted_endpoint_of_unanswered_move_gets_no_work);
	g_test_add_func("/pools/machines_stay_up_until_work_has_arrived",
			test_machines_stay_up_until_work_has_arrived);
	g_test_add_func("/pools/wave_leaves_idle_machines_to_surge",
			test_wave_leaves_idle_machines_to_surge);
	return g_test_run();
}
