/// @file
/// Tests of the decision which connections are closed when memory or descriptors are short.

#include "base/input_budget.h"

#define LIMIT_BYTES ((uint64_t)1000)
#define SMALL_BYTES 10
#define A 1
#define B 2

static struct input_hold *add(struct input_budget *b, struct input_hold *h, uint32_t address,
			      uint64_t bytes, clock_ms_t since)
{
	input_budget_add(b, h, address, NULL);
	input_budget_set(b, h, bytes);
	h->since = since;
	return h;
}

/// Guards against closing connections while memory is left.
static void test_nothing_is_closed_within_the_bound(void)
{
	struct input_budget b;
	struct input_hold h[2];

	input_budget_init(&b, LIMIT_BYTES);
	add(&b, &h[0], A, LIMIT_BYTES / 2, 1);
	add(&b, &h[1], B, LIMIT_BYTES / 2, 1);
	g_assert_null(input_budget_choose(&b));
	input_budget_set(&b, &h[1], LIMIT_BYTES / 2 + 1);
	g_assert_true(input_budget_choose(&b) == &h[1]);
}

/// Guards against an ordinary client that pays for another one: the largest connection alone is
/// not of the address that holds most.
static void test_largest_of_the_largest_address(void)
{
	struct input_budget b;
	struct input_hold h[5];

	input_budget_init(&b, LIMIT_BYTES);
	add(&b, &h[0], A, 450, 1);
	add(&b, &h[1], B, 200, 1);
	add(&b, &h[2], B, 300, 1);
	add(&b, &h[3], B, 200, 1);
	add(&b, &h[4], A, SMALL_BYTES, 1);
	g_assert_true(input_budget_choose(&b) == &h[2]);
	input_budget_remove(&b, &h[2]);
	g_assert_cmpuint(b.held, ==, 450 + 200 + 200 + SMALL_BYTES);
	g_assert_null(input_budget_choose(&b));
}

/// Guards against closing the connection of a complete request, which would be lost.
static void test_complete_requests_are_kept(void)
{
	struct input_budget b;
	struct input_hold h[2];

	input_budget_init(&b, LIMIT_BYTES);
	add(&b, &h[0], A, 2 * LIMIT_BYTES, CLOCK_NEVER)->is_kept = true;
	g_assert_null(input_budget_choose(&b));
	g_assert_cmpuint(input_budget_kept(&b), ==, 2 * LIMIT_BYTES);
	add(&b, &h[1], A, LIMIT_BYTES / 4 + 1, 1);
	g_assert_true(input_budget_choose(&b) == &h[1]);
	g_assert_true(input_budget_stalest(&b) == &h[1]);
	h[1].is_kept = true;
	g_assert_null(input_budget_stalest(&b));
}

/// Guards against complete requests that keep out ordinary ones: these have a part of their own.
static void test_incomplete_requests_have_a_guaranteed_part(void)
{
	struct input_budget b;
	struct input_hold h[2];

	input_budget_init(&b, LIMIT_BYTES);
	add(&b, &h[0], A, 2 * LIMIT_BYTES, CLOCK_NEVER)->is_kept = true;
	add(&b, &h[1], A, LIMIT_BYTES / 4, 1);
	g_assert_null(input_budget_choose(&b));
}

/// Guards against counting idle connections as unfinished requests, and against keeping them when
/// no descriptor is left.
static void test_oldest_and_stalest(void)
{
	struct input_budget b;
	struct input_hold h[3];
	const uint32_t address = B;
	unsigned int n;

	input_budget_init(&b, LIMIT_BYTES);
	add(&b, &h[0], A, SMALL_BYTES, 20);
	add(&b, &h[1], B, SMALL_BYTES, 30);
	add(&b, &h[2], B, 0, CLOCK_NEVER)->used_at = 10;
	g_assert_true(input_budget_oldest(&b, NULL, &n) == &h[0]);
	g_assert_cmpuint(n, ==, 2);
	g_assert_true(input_budget_oldest(&b, &address, &n) == &h[1]);
	g_assert_cmpuint(n, ==, 1);
	g_assert_true(input_budget_stalest(&b) == &h[2]);
	h[2].used_at = 40;
	g_assert_true(input_budget_stalest(&b) == &h[0]);
}

static void test_part_of_the_stated_memory(void)
{
	g_assert_cmpuint(input_budget_for_memory(0), ==, INPUT_BUDGET_DEFAULT_BYTES);
	g_assert_cmpuint(input_budget_for_memory(160), ==, (uint64_t)40 * 1024 * 1024);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/input_budget/nothing_is_closed_within_the_bound",
			test_nothing_is_closed_within_the_bound);
	g_test_add_func("/input_budget/largest_of_the_largest_address",
			test_largest_of_the_largest_address);
	g_test_add_func("/input_budget/complete_requests_are_kept",
			test_complete_requests_are_kept);
	g_test_add_func("/input_budget/incomplete_requests_have_a_guaranteed_part",
			test_incomplete_requests_have_a_guaranteed_part);
	g_test_add_func("/input_budget/oldest_and_stalest", test_oldest_and_stalest);
	g_test_add_func("/input_budget/part_of_the_stated_memory", test_part_of_the_stated_memory);
	return g_test_run();
}
