#include "sched/advice.h"

#include "sched/place.h"

#define ENDPOINTS_MAX 30     /* the service objective assumes one request for 30 endpoints */
#define TICKET_MARGIN_MS 300 /* time for a start order to reach its endpoint */
#define ADVICE_TIMEOUT_MS 2000

struct advice {
	bool request_open;
	clock_ms_t valid_until;
	GHashTable *tickets; ///< by endpoint id
};

void advice_free(void *p)
{
	struct advice *a = p;

	g_hash_table_unref(a->tickets);
	g_free(a);
}

static struct advice *find_or_add_advice(struct manager *m, const char *step_name)
{
	struct advice *a = g_hash_table_lookup(m->advice, step_name);

	if (a)
		return a;
	a = g_new0(struct advice, 1);
	a->tickets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(m->advice, g_strdup(step_name), a);
	return a;
}

static void send_request(struct manager *m, clock_ms_t now, const char *step_name, struct advice *a,
			 const GArray *candidates)
{
	struct order *o = g_new0(struct order, 1);

	*o = (struct order){
		.type = ORDER_ADVISE,
		.timeout_ms = ADVICE_TIMEOUT_MS,
		.task = g_strdup(step_name),
		.instances = g_ptr_array_new_with_free_func(g_free),
		.not_after = CLOCK_NEVER,
	};
	for (guint i = 0; i < candidates->len && i < ENDPOINTS_MAX; i++) {
		const struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, i);

		g_ptr_array_add(o->instances, g_strdup(c->endpoint->id));
	}
	a->request_open = true;
	effects_send_order(m, now, o, NULL, NULL, 0);
}

void advice_handle_answer(struct manager *m, clock_ms_t now, const struct pending_order *p,
			  const struct order_result *result)
{
	struct advice *a = find_or_add_advice(m, p->task);

	a->request_open = false;
	m->round_wanted = true;
	if (result->status != ORDER_OK)
		return;
	g_hash_table_remove_all(a->tickets);
	a->valid_until = p->sent_at + result->valid_ms - TICKET_MARGIN_MS;
	(void)now;
	for (guint i = 0; i < result->advice->len; i++) {
		const struct advice_row *row = &g_array_index(result->advice, struct advice_row, i);

		g_hash_table_replace(a->tickets, g_strdup(row->instance), g_strdup(row->ticket));
	}
}

bool advice_set_tickets(struct manager *m, clock_ms_t now, const char *step_name,
			GArray *candidates)
{
	struct advice *a = find_or_add_advice(m, step_name);

	if (now >= a->valid_until) {
		if (!a->request_open && candidates->len)
			send_request(m, now, step_name, a, candidates);
		return false;
	}
	for (guint i = 0; i < candidates->len; i++) {
		struct place_candidate *c = &g_array_index(candidates, struct place_candidate, i);

		c->ticket = g_hash_table_lookup(a->tickets, c->endpoint->id);
	}
	return true;
}
