/// @file
/// Interference between images: beliefs from drawn loads with fixed seeds on simulated endpoints,
/// and their use by placement.

#include "manager/manager_internal.h"
#include "manager_fixture.h"
#include "sched/interference.h"
#include "sched/place.h"

#include <math.h>
#include <string.h>

#define ENDPOINTS 24
#define SLOTS 4
#define IMAGES 6
#define STEP_MS 10
#define TASK_MS 700
#define TASK_JITTER 0.3 /* run times vary by about a third */
#define LOAD 48		/* tasks at a time; half of the slots */
#define PHASE_MS ((clock_ms_t)30000)

/// Slowing of tasks of an image beside tasks of another; 1: none.
typedef double effects[IMAGES][IMAGES];

struct sim_run {
	struct run run;
	unsigned int image;
	double left_ms; ///< work left at full speed
};

struct sim {
	struct manager m; ///< only its interference is used
	GRand *random;
	clock_ms_t now;
	effects effect;
	double slow[ENDPOINTS]; ///< slowing of all tasks there; 1: none
	struct job jobs[IMAGES];
	job_step steps[IMAGES];
	struct endpoint *endpoints[ENDPOINTS];
	GPtrArray *runs;  ///< struct sim_run
	uint64_t choices; ///< hash of all placements
	unsigned int unplaced;
	unsigned int formed;
	clock_ms_t first_formed_at; ///< 0: none
	clock_ms_t last_dropped_at;
	double run_ms; ///< of images 0 and 1
	unsigned int ended;
};

static struct sim *sim_new(uint32_t seed, bool on)
{
	struct sim *s = g_new0(struct sim, 1);

	s->random = g_rand_new_with_seed(seed);
	s->m.interference = on ? interference_new() : NULL;
	s->now = 100000;
	s->runs = g_ptr_array_new();
	for (unsigned int i = 0; i < IMAGES; i++) {
		s->steps[i] = (job_step){.count = 1,
					 .cpu_milli = 1000,
					 .mem_mb = 10,
					 .estimate_ms = TASK_MS,
					 .label = (char *)"",
					 .data_rack = (char *)"",
					 .image = g_strdup_printf("image-%u", i)};
		s->jobs[i].image.spec.id = (char *)"j";
		s->jobs[i].image.spec.steps.steps_len = 1;
		s->jobs[i].image.spec.steps.steps_val = &s->steps[i];
		for (unsigned int k = 0; k < IMAGES; k++)
			s->effect[i][k] = 1;
	}
	for (unsigned int i = 0; i < ENDPOINTS; i++) {
		g_autofree char *id = g_strdup_printf("e%u", i);

		s->endpoints[i] = endpoint_new(id);
		s->endpoints[i]->cpu_milli = SLOTS * 1000;
		s->endpoints[i]->mem_mb = 1000;
		s->slow[i] = 1;
	}
	return s;
}

static void sim_free(struct sim *s)
{
	for (guint i = 0; i < s->runs->len; i++) {
		struct sim_run *r = s->runs->pdata[i];

		endpoint_remove_run(r->run.endpoint, &r->run);
		g_free(r);
	}
	for (unsigned int i = 0; i < ENDPOINTS; i++)
		endpoint_free(s->endpoints[i]);
	for (unsigned int i = 0; i < IMAGES; i++)
		g_free(s->steps[i].image);
	g_ptr_array_unref(s->runs);
	g_clear_pointer(&s->m.interference, interference_free);
	g_rand_free(s->random);
	g_free(s);
}

/// Places a task by the decision of the placement round. The endpoints are offered in a drawn
/// order, as the order of candidates changes in a real pool.
static void start_task(struct sim *s, unsigned int image, unsigned int only)
{
	g_autoptr(GArray) candidates = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	g_autoptr(GArray) avoid = interference_avoid(&s->m, &s->steps[image]);
	struct place_request q = {.step = &s->steps[image],
				  .job = "j",
				  .avoid = avoid,
				  .image_key = interference_key(s->steps[image].image)};
	unsigned int first = (unsigned int)g_rand_int_range(s->random, 0, ENDPOINTS);
	struct sim_run *r;
	int at;

	for (unsigned int i = 0; i < ENDPOINTS; i++) {
		struct place_candidate c = {.endpoint = s->endpoints[(first + i) % ENDPOINTS]};

		if (only < ENDPOINTS && c.endpoint != s->endpoints[only])
			continue;
		c.runs = c.endpoint->runs->len;
		place_set_capacity(&c, endpoint_free_capacity(c.endpoint));
		g_array_append_val(candidates, c);
	}
	at = place_choose(candidates, &q);
	if (at < 0) {
		s->unplaced++;
		return;
	}
	r = g_new0(struct sim_run, 1);
	r->image = image;
	r->left_ms = TASK_MS * g_rand_double_range(s->random, 1 - TASK_JITTER, 1 + TASK_JITTER);
	r->run = (struct run){
		.job = &s->jobs[image],
		.ref = {.job = (char *)"j"},
		.endpoint = g_array_index(candidates, struct place_candidate, at).endpoint,
		.cpu_milli = 1000,
		.mem_mb = 10,
		.estimate_ms = TASK_MS,
		.checkpoint = (char *)"",
		.started_at = s->now,
		.pace = 100,
		.image_key = s->m.interference ? q.image_key : 0,
	};
	endpoint_add_run(r->run.endpoint, &r->run);
	g_ptr_array_add(s->runs, r);
	s->choices = s->choices * 31 + (uint64_t)strtoul(r->run.endpoint->id + 1, NULL, 10) + 1;
}

/// @return how much a task is slowed now
static double slowing(const struct sim *s, const struct sim_run *r)
{
	const struct endpoint *e = r->run.endpoint;
	double factor = s->slow[strtoul(e->id + 1, NULL, 10)];
	bool seen[IMAGES] = {false};

	for (guint i = 0; i < s->runs->len; i++) {
		const struct sim_run *other = s->runs->pdata[i];

		if (other == r || other->run.endpoint != e || seen[other->image])
			continue;
		seen[other->image] = true;
		factor *= s->effect[r->image][other->image];
	}
	return factor;
}

static void note_changes(struct sim *s)
{
	g_autoptr(GArray) changes = NULL;

	if (!s->m.interference)
		return;
	interference_expire(s->m.interference, s->now);
	changes = interference_take_changes(s->m.interference);
	for (guint i = 0; i < changes->len; i++) {
		const struct interference_change *c =
			&g_array_index(changes, struct interference_change, i);

		g_test_message("%d ms: %s beside %s %s, %u %%, %u samples", (int)(s->now - 100000),
			       c->victim, c->neighbour, c->formed ? "formed" : "dropped",
			       c->slowing_percent, c->samples);
		s->formed += c->formed;
		if (c->formed && !s->first_formed_at)
			s->first_formed_at = s->now;
		if (!c->formed)
			s->last_dropped_at = s->now;
	}
}

static void end_tasks(struct sim *s)
{
	g_autofree double *slowed = g_new(double, s->runs->len + 1);

	for (guint i = 0; i < s->runs->len; i++)
		slowed[i] = slowing(s, s->runs->pdata[i]);
	for (guint i = s->runs->len; i > 0; i--) {
		struct sim_run *r = s->runs->pdata[i - 1];

		r->left_ms -= STEP_MS / slowed[i - 1];
		if (r->left_ms > 0)
			continue;
		interference_record_end(&s->m, s->now, &r->run, true);
		if (r->image < 2) {
			s->run_ms += (double)(s->now - r->run.started_at);
			s->ended++;
		}
		endpoint_remove_run(r->run.endpoint, &r->run);
		g_ptr_array_remove_index(s->runs, i - 1);
		g_free(r);
	}
}

static void run_for(struct sim *s, clock_ms_t duration_ms)
{
	clock_ms_t end = s->now + duration_ms;

	while (s->now < end) {
		s->now += STEP_MS;
		end_tasks(s);
		note_changes(s);
		while (s->runs->len < LOAD)
			start_task(s, (unsigned int)g_rand_int_range(s->random, 0, IMAGES),
				   ENDPOINTS);
	}
}

static double mean_run_ms(struct sim *s)
{
	double mean = s->run_ms / MAX(s->ended, 1);

	s->run_ms = 0;
	s->ended = 0;
	return mean;
}

/// Two images that slow each other must be found within seconds, and be placed apart where there is
/// room, so that their run times drop.
static void test_bad_pair_is_placed_apart(void)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		double run_ms[2];

		for (int on = 0; on < 2; on++) {
			struct sim *s = sim_new(seed, on);

			s->effect[0][1] = 2;
			s->effect[1][0] = 2;
			run_for(s, PHASE_MS);
			mean_run_ms(s);
			run_for(s, PHASE_MS);
			run_ms[on] = mean_run_ms(s);
			if (on) {
				g_test_message("seed %u: first belief after %d ms", seed,
					       (int)(s->first_formed_at - 100000));
				g_assert_cmpint(s->first_formed_at, >, 0);
				g_assert_cmpint(s->first_formed_at, <=, 100000 + 10000);
			}
			g_assert_cmpuint(s->unplaced, ==, 0);
			sim_free(s);
		}
		g_test_message("seed %u: run time %.0f ms without, %.0f ms with", seed, run_ms[0],
			       run_ms[1]);
		g_assert_cmpfloat(run_ms[1], <, 0.9 * run_ms[0]);
	}
}

/// Without interference no pair may be blamed by chance, and placement must be as without the
/// module.
static void test_no_false_belief(void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		uint64_t choices[2];

		for (int on = 0; on < 2; on++) {
			struct sim *s = sim_new(seed, on);

			run_for(s, 2 * PHASE_MS);
			g_assert_cmpuint(s->formed, ==, 0);
			choices[on] = s->choices;
			sim_free(s);
		}
		g_assert_cmpuint(choices[0], ==, choices[1]);
	}
}

/// Starts tasks of images 0 and 1 together at a slow endpoint, or apart at others. Tasks of other
/// images run at all endpoints.
static void start_apart(struct sim *s, unsigned int n_slow)
{
	unsigned int slow = (unsigned int)g_rand_int_range(s->random, 0, (int)n_slow);
	unsigned int n_pairs = (ENDPOINTS - n_slow) / 2;
	unsigned int pair = (unsigned int)g_rand_int_range(s->random, 0, (int)n_pairs);

	if (g_rand_int_range(s->random, 0, 3) > 0) {
		start_task(s, (unsigned int)g_rand_int_range(s->random, 2, IMAGES),
			   (unsigned int)g_rand_int_range(s->random, 0, ENDPOINTS));
	} else if (g_rand_boolean(s->random)) {
		start_task(s, 0, n_slow + 2 * pair);
		start_task(s, 1, n_slow + 2 * pair + 1);
	} else if (s->endpoints[slow]->runs->len + 2 <= SLOTS) {
		start_task(s, 0, slow);
		start_task(s, 1, slow);
	}
}

/// Endpoints that are slow for all images must not be taken for an effect of the images that run
/// there most: images 0 and 1 run together only there.
static void test_slow_endpoint_is_no_pair(void)
{
	for (unsigned int n_slow = 1; n_slow <= 4; n_slow += 3)
		for (uint32_t seed = 1; seed <= 5; seed++) {
			struct sim *s = sim_new(seed, true);

			for (unsigned int i = 0; i < n_slow; i++)
				s->slow[i] = 2;
			for (clock_ms_t end = s->now + 2 * PHASE_MS; s->now < end;) {
				s->now += STEP_MS;
				end_tasks(s);
				note_changes(s);
				for (int i = 0; i < 4 && s->runs->len < LOAD; i++)
					start_apart(s, n_slow);
			}
			g_test_message("%u slow, seed %u: %u beliefs formed", n_slow, seed,
				       s->formed);
			g_assert_cmpuint(s->formed, ==, 0);
			sim_free(s);
		}
}

/// An effect that has ended must be forgotten within seconds, and one that has begun be found.
static void test_reversed_effect(void)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		struct sim *s = sim_new(seed, true);
		uint64_t key = interference_key("image-0");
		uint64_t old = interference_key("image-1");
		bool found = false;

		s->effect[0][1] = 2;
		s->effect[1][0] = 2;
		run_for(s, PHASE_MS);
		g_assert_cmpuint(s->formed, >, 0);
		s->effect[0][1] = 1;
		s->effect[1][0] = 1;
		s->effect[0][2] = 2;
		s->effect[2][0] = 2;
		run_for(s, 15000);
		for (int i = 0; i < 1500; i++) {
			g_autoptr(GArray) bad = NULL;

			run_for(s, STEP_MS);
			bad = interference_bad_images(s->m.interference, key);
			for (guint k = 0; bad && k < bad->len; k++) {
				g_assert_cmpuint(g_array_index(bad, uint64_t, k), !=, old);
				found |= g_array_index(bad, uint64_t, k) ==
					 interference_key("image-2");
			}
		}
		g_assert_true(found);
		sim_free(s);
	}
}

static void add_run(struct sim *s, struct run *r, unsigned int at, unsigned int image)
{
	*r = (struct run){.job = &s->jobs[image],
			  .ref = {.job = (char *)"other"},
			  .endpoint = s->endpoints[at],
			  .cpu_milli = 1000,
			  .image_key = interference_key(s->steps[image].image)};
	endpoint_add_run(s->endpoints[at], r);
}

/// A task must be placed beside a bad neighbour if there is no other room, and the preference must
/// not go before quarantine or come after packing.
static void test_no_room(void)
{
	struct sim *s = sim_new(1, true);
	g_autoptr(GArray) avoid = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GArray) list = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	uint64_t bad = interference_key("image-1");
	struct place_request q = {.step = &s->steps[0], .job = "j"};
	struct run r[1 + SLOTS];

	g_array_append_val(avoid, bad);
	add_run(s, &r[0], 0, 1);
	for (unsigned int i = 0; i < 2; i++) {
		struct place_candidate c = {.endpoint = s->endpoints[i]};

		place_set_capacity(&c, endpoint_free_capacity(s->endpoints[i]));
		g_array_append_val(list, c);
	}
	g_assert_cmpint(place_choose(list, &q), ==, 0); /* packed */
	q.avoid = avoid;
	g_assert_cmpint(place_choose(list, &q), ==, 1);
	g_array_index(list, struct place_candidate, 1).quarantined = true;
	g_assert_cmpint(place_choose(list, &q), ==, 0);
	g_array_index(list, struct place_candidate, 1).quarantined = false;
	place_set_capacity(&g_array_index(list, struct place_candidate, 1),
			   (struct resources){0, 0, 0});
	g_assert_cmpint(place_choose(list, &q), ==, 0);
	endpoint_remove_run(s->endpoints[0], &r[0]);
	sim_free(s);
}

/// Tail latencies of a serving task must reveal a best-effort neighbour that runs at full pace, and
/// must not be counted while pace holds the neighbour back.
static void test_tail_latency(void)
{
	for (int paced = 0; paced < 2; paced++) {
		struct sim *s = sim_new(1, true);
		struct run serving[6];
		struct run neighbour[3];

		for (unsigned int i = 0; i < 6; i++) {
			add_run(s, &serving[i], i, 0);
			endpoint_remove_run(s->endpoints[i], &serving[i]);
			serving[i].target_ms = 100;
			serving[i].long_running = true;
			endpoint_add_run(s->endpoints[i], &serving[i]);
		}
		for (unsigned int i = 0; i < 3; i++) {
			add_run(s, &neighbour[i], i, 1);
			neighbour[i].best_effort = true;
			neighbour[i].pace = paced ? 50 : 100;
		}
		for (int k = 0; k < 20; k++) {
			s->now += 300; /* two answers in a window: every second one counts */
			for (unsigned int i = 0; i < 6; i++) {
				serving[i].usage = g_rand_int_range(s->random, 38, 44);
				serving[i].usage *= i < 3 ? 2 : 1;
				interference_record_status(&s->m, s->now, s->endpoints[i], 0);
			}
		}
		g_assert_cmpuint(interference_count(s->m.interference), ==, !paced);
		for (unsigned int i = 0; i < 3; i++) {
			neighbour[i].best_effort = false; /* as counted by endpoint_add_run() */
			endpoint_remove_run(s->endpoints[i], &neighbour[i]);
		}
		for (unsigned int i = 0; i < 6; i++)
			endpoint_remove_run(s->endpoints[i], &serving[i]);
		sim_free(s);
	}
}

/// An effect that is seen at a single endpoint must not be believed; seen at two, it must be.
static void test_needs_two_endpoints(void)
{
	for (int n_bad = 1; n_bad <= 2; n_bad++) {
		struct interference *x = interference_new();
		g_autoptr(GRand) random = g_rand_new_with_seed(1);

		for (clock_ms_t now = 1; now < 8000; now += 20) {
			/* Images a and b at three endpoints; a is beside c at the first ones. */
			int at = g_rand_int_range(random, 0, 3);
			bool is_a = g_rand_boolean(random);
			bool beside = is_a && at < n_bad && g_rand_boolean(random);
			struct interference_sample s = {
				.image = is_a ? "a" : "b",
				.endpoint = at == 0   ? "e0"
					    : at == 1 ? "e1"
						      : "e2",
				.ratio_ppm = (int64_t)g_rand_int_range(random, 90, 111) *
					     (beside ? 2 : 1),
				.n_neighbours = beside,
				.neighbours = {interference_key("c")},
			};

			interference_add(x, now, &s);
		}
		g_assert_cmpuint(interference_count(x), ==, n_bad == 2);
		interference_free(x);
	}
}

/// Memory must stay bounded whatever the number of images, and work without images leaves no trace.
static void test_bounds(void)
{
	struct interference *x = interference_new();
	struct interference_sample s = {.image = "", .endpoint = "e", .ratio_ppm = 1000000};

	s.n_neighbours = 1;
	s.neighbours[0] = interference_key("n");
	interference_add(x, 1, &s);
	g_assert_cmpuint(interference_count_pairs(x), ==, 0);
	g_assert_cmpuint(interference_key(""), ==, 0);
	g_assert_null(interference_bad_images(x, 0));
	for (unsigned int i = 0; i < 5000; i++) {
		g_autofree char *image = g_strdup_printf("i%u", i);
		g_autofree char *endpoint = g_strdup_printf("e%u", i);

		s.image = image;
		s.endpoint = endpoint;
		s.neighbours[0] = i + 1;
		interference_add(x, 1 + i, &s);
		g_assert_cmpuint(interference_count_pairs(x), <=, 512);
	}
	interference_free(x);
}

/// Answers the orders of a manager: starts are accepted; the latest status query is answered when
/// @p done is set, with the ends of both tasks.
static void answer_orders(struct manager *m, clock_ms_t now, GPtrArray *started, bool done)
{
	g_autoptr(GPtrArray) effects = manager_take_effects(m);

	for (guint i = 0; i < effects->len; i++) {
		struct effect *e = effects->pdata[i];
		struct order_result *r;

		if (e->type != EFFECT_ORDER || !e->u.order->instance)
			continue;
		r = order_result_new(e->u.order->id, ORDER_OK);
		r->clock_ms = now;
		r->incarnation_wall_ms = 1;
		if (e->u.order->type == ORDER_START)
			g_ptr_array_add(started, g_strdup(e->u.order->task));
		for (guint k = 0; e->u.order->type == ORDER_STATUS_QUERY && k < started->len; k++) {
			struct completion_record end = {.number = k + 1, .attempt = 1};
			struct running_attempt row = {.attempt = 1, .percent = 50};

			if (done) {
				end.task = g_strdup(started->pdata[k]);
				end.checkpoint = g_strdup("");
				g_array_append_val(r->completions, end);
			} else {
				row.task = g_strdup(started->pdata[k]);
				row.checkpoint = g_strdup("");
				g_array_append_val(r->runs, row);
			}
		}
		manager_handle_result(m, now, now, r);
		order_result_free(r);
	}
}

/// Ends of attempts that the manager applies must give estimates if the setting is on and the tasks
/// have an image, and otherwise none.
static void test_manager_learns_from_ends(void)
{
	for (int variant = 0; variant < 3; variant++) {
		struct manager_settings settings = fixture_settings();
		struct jobs *state = jobs_new();
		g_autoptr(GPtrArray) started = g_ptr_array_new_with_free_func(g_free);
		clock_ms_t now = FIXTURE_START_MS;
		job_step step = {.count = 2, .cpu_milli = 1000, .mem_mb = 10};
		struct manager *m;

		settings.interference = variant != 0;
		m = manager_new(&settings, state, 1, now, now);
		g_assert_true(!m->interference == !variant);
		fixture_put_config(m, now);
		fixture_heartbeat(m, now, "e1", "m1", 1);
		fixture_submit_for(m, now, NULL, "j", &step);
		if (variant < 2) {
			job_step *s = &jobs_find(m->jobs, "j")->image.spec.steps.steps_val[0];

			free(s->image);
			s->image = strdup("a");
		}
		for (clock_ms_t end = now + 2000; now < end; now++) {
			if (now % 1000 == 0)
				fixture_heartbeat(m, now, "e1", "m1", 1);
			manager_tick(m, now, now);
			answer_orders(m, now, started, now > FIXTURE_START_MS + 1000);
		}
		g_assert_cmpuint(started->len, ==, 2);
		if (m->interference)
			g_assert_cmpuint(interference_count_pairs(m->interference), ==,
					 variant == 1);
		manager_free(m);
		jobs_free(state);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/interference/bad-pair-is-placed-apart", test_bad_pair_is_placed_apart);
	g_test_add_func("/interference/no-false-belief", test_no_false_belief);
	g_test_add_func("/interference/slow-endpoint-is-no-pair", test_slow_endpoint_is_no_pair);
	g_test_add_func("/interference/reversed-effect", test_reversed_effect);
	g_test_add_func("/interference/no-room", test_no_room);
	g_test_add_func("/interference/tail-latency", test_tail_latency);
	g_test_add_func("/interference/needs-two-endpoints", test_needs_two_endpoints);
	g_test_add_func("/interference/manager-learns-from-ends", test_manager_learns_from_ends);
	g_test_add_func("/interference/bounds", test_bounds);
	return g_test_run();
}
