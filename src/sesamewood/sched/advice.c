#include "sched/advice.h"

#include "base/log.h"

/// The service objective assumes one request for 30 endpoints. A wide step needs more tickets at
/// the same time.
#define REQUEST_ENDPOINTS 30
#define REQUEST_ENDPOINTS_MAX 100 /* more are refused */
/// The advisor handles the requests of one caller in turn: tickets of requests that wait behind
/// many others would have expired when they arrive.
#define OPEN_REQUESTS_MAX 4
/// Fewer, for a request that names no endpoint where a task fits now: steps that wait for room
/// would otherwise keep later ones from their first advice.
#define OPEN_IDLE_REQUESTS_MAX 2
#define TICKET_MARGIN_MS 300 /* time for a start order to reach its endpoint */
#define ADVICE_TIMEOUT_MS 2000
/// Time between requests of a step that name endpoints where it may not run. The policy does not
/// change, but an advisor may not know a new endpoint yet.
#define REFUSALS_PERIOD_MS 10000
#define UNUSED_MS 10000 /* advice for a step that was not placed for so long is dropped */

/// What is known of one endpoint.
struct answer {
	char *ticket; ///< the latest; NULL: the step may not run there, or is not known to
	clock_ms_t valid_until;	     ///< end of the ticket's validity
	clock_ms_t answered_at;	     ///< 0: not answered yet
	int64_t incarnation_wall_ms; ///< of the endpoint when a request named it
	bool requested;		     ///< named by the open request
};

struct advice {
	bool request_open;
	clock_ms_t used_at;	      ///< latest placement of the step
	clock_ms_t refusals_asked_at; ///< latest request that named a refused endpoint
	GHashTable *answers;	      ///< struct answer by endpoint id; owned
};

/// Lower ones are requested first.
enum request_rank {
	RANK_EXPIRED_FITS, ///< may run the step, which fits there now
	RANK_UNKNOWN_FITS,
	RANK_EXPIRED, ///< as the following: no task fits there now, or it may not run there
	RANK_UNKNOWN,
	RANK_REFUSED,
	RANK_NONE, ///< its ticket is valid, or it was refused just now
};

/// An endpoint that a request may name.
struct request_choice {
	const struct endpoint *endpoint;
	enum request_rank rank;
	clock_ms_t answered_at;
};

static void answer_free(void *p)
{
	struct answer *answer = p;

	g_free(answer->ticket);
	g_free(answer);
}

void advice_free(void *p)
{
	struct advice *a = p;

	g_hash_table_unref(a->answers);
	g_free(a);
}

static struct advice *find_or_add_advice(struct manager *m, const char *step_name)
{
	struct advice *a = g_hash_table_lookup(m->advice, step_name);

	if (a)
		return a;
	a = g_new0(struct advice, 1);
	a->answers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, answer_free);
	g_hash_table_insert(m->advice, g_strdup(step_name), a);
	return a;
}

/// @return what is known of the present incarnation of an endpoint, or NULL
static struct answer *find_answer(const struct advice *a, const struct endpoint *e)
{
	struct answer *answer = g_hash_table_lookup(a->answers, e->id);

	return answer && answer->incarnation_wall_ms == e->incarnation_wall_ms ? answer : NULL;
}

/* Requests. */

/// @param answer  what is known of the candidate's endpoint, or NULL
static enum request_rank rank_of(const struct advice *a, clock_ms_t now,
				 const struct answer *answer, const struct place_candidate *c,
				 const struct place_request *q)
{
	if (!answer || !answer->answered_at)
		return place_fits_with_ticket(c, q) ? RANK_UNKNOWN_FITS : RANK_UNKNOWN;
	if (!answer->ticket)
		return now - a->refusals_asked_at >= REFUSALS_PERIOD_MS &&
				       now - answer->answered_at >= REFUSALS_PERIOD_MS
			       ? RANK_REFUSED
			       : RANK_NONE;
	if (now < answer->valid_until)
		return RANK_NONE;
	return place_fits_with_ticket(c, q) ? RANK_EXPIRED_FITS : RANK_EXPIRED;
}

static int compare_choices(gconstpointer a, gconstpointer b)
{
	const struct request_choice *x = a;
	const struct request_choice *y = b;

	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return (x->answered_at > y->answered_at) - (x->answered_at < y->answered_at);
}

/// @return struct request_choice of the endpoints to name, in order
static GArray *choose_endpoints(const struct advice *a, clock_ms_t now,
				const struct place_request *q, const GArray *candidates)
{
	GArray *choices = g_array_new(FALSE, FALSE, sizeof(struct request_choice));
	guint max = CLAMP(q->step->count, REQUEST_ENDPOINTS, REQUEST_ENDPOINTS_MAX);

	for (guint i = 0; i < candidates->len; i++) {
		const struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, i);
		const struct answer *answer = find_answer(a, c->endpoint);
		struct request_choice choice = {
			.endpoint = c->endpoint,
			.rank = rank_of(a, now, answer, c, q),
			.answered_at = answer ? answer->answered_at : 0,
		};

		if (choice.rank != RANK_NONE)
			g_array_append_val(choices, choice);
	}
	g_array_sort(choices, compare_choices);
	if (choices->len > max)
		g_array_set_size(choices, max);
	return choices;
}

/// Records that the open request names an endpoint.
static void record_requested(struct advice *a, const struct endpoint *e)
{
	struct answer *answer = find_answer(a, e);

	if (!answer) {
		answer = g_new0(struct answer, 1);
		answer->incarnation_wall_ms = e->incarnation_wall_ms;
		g_hash_table_replace(a->answers, g_strdup(e->id), answer);
	}
	answer->requested = true;
}

void advice_request(struct manager *m, clock_ms_t now, const char *step_name,
		    const struct place_request *q, const GArray *candidates)
{
	struct advice *a = find_or_add_advice(m, step_name);
	g_autoptr(GArray) choices = NULL;
	struct order *o;

	if (a->request_open || m->advice_requests_open >= OPEN_REQUESTS_MAX)
		return;
	choices = choose_endpoints(a, now, q, candidates);
	if (!choices->len)
		return;
	if (g_array_index(choices, struct request_choice, 0).rank >= RANK_EXPIRED &&
	    m->advice_requests_open >= OPEN_IDLE_REQUESTS_MAX)
		return;
	o = g_new0(struct order, 1);
	*o = (struct order){
		.type = ORDER_ADVISE,
		.timeout_ms = ADVICE_TIMEOUT_MS,
		.task = g_strdup(step_name),
		.instances = g_ptr_array_new_with_free_func(g_free),
		.not_after = CLOCK_NEVER,
	};
	for (guint i = 0; i < choices->len; i++) {
		const struct request_choice *c = &g_array_index(choices, struct request_choice, i);

		g_ptr_array_add(o->instances, g_strdup(c->endpoint->id));
		record_requested(a, c->endpoint);
		if (c->rank == RANK_REFUSED)
			a->refusals_asked_at = now;
	}
	log_debug("placement advice requested", "STEP", step_name, "ENDPOINTS",
		  log_number(choices->len), "CANDIDATES", log_number(candidates->len));
	a->request_open = true;
	m->advice_requests_open++;
	effects_send_order(m, now, o, NULL, NULL, 0);
}

/* Answers. */

/// Ends the open request of a step; if it was answered, the endpoints that it named count as
/// refused.
static void close_request(struct advice *a, clock_ms_t now, bool is_answered)
{
	GHashTableIter iter;
	gpointer value;

	a->request_open = false;
	g_hash_table_iter_init(&iter, a->answers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct answer *answer = value;

		if (answer->requested && is_answered) {
			g_clear_pointer(&answer->ticket, g_free);
			answer->answered_at = now;
		}
		answer->requested = false;
	}
}

void advice_handle_answer(struct manager *m, clock_ms_t now, const struct pending_order *p,
			  const struct order_result *result)
{
	struct advice *a = find_or_add_advice(m, p->task);

	m->advice_requests_open--;
	m->round_wanted = true;
	close_request(a, now, result->status == ORDER_OK);
	for (guint i = 0; i < result->advice->len; i++) {
		const struct advice_row *row = &g_array_index(result->advice, struct advice_row, i);
		struct answer *answer = g_hash_table_lookup(a->answers, row->instance);

		if (!answer)
			continue;
		g_free(answer->ticket);
		answer->ticket = g_strdup(row->ticket);
		answer->valid_until = p->sent_at + result->valid_ms - TICKET_MARGIN_MS;
	}
}

void advice_forget_endpoint(struct manager *m, const char *endpoint)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->advice);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_hash_table_remove(((struct advice *)value)->answers, endpoint);
}

void advice_forget_unused(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->advice);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct advice *a = value;

		if (!a->request_open && now - a->used_at > UNUSED_MS)
			g_hash_table_iter_remove(&iter);
	}
}

bool advice_set_tickets(struct manager *m, clock_ms_t now, const char *step_name,
			GArray *candidates)
{
	struct advice *a = find_or_add_advice(m, step_name);
	bool found = false;

	a->used_at = now;
	for (guint i = 0; i < candidates->len; i++) {
		struct place_candidate *c = &g_array_index(candidates, struct place_candidate, i);
		const struct answer *answer = find_answer(a, c->endpoint);

		c->ticket = answer && now < answer->valid_until ? answer->ticket : NULL;
		found |= c->ticket != NULL;
	}
	return found;
}
