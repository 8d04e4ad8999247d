#include "sched/place.h"

#include <string.h>

static unsigned int count_of_step(const struct endpoint *e, const struct place_request *q)
{
	unsigned int n = 0;

	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		n += r->ref.step == q->step_number && r->ref.occurrence == q->occurrence &&
		     g_str_equal(r->ref.job, q->job);
	}
	return n;
}

static bool is_avoided(const struct place_request *q, uint64_t image_key)
{
	for (guint i = 0; i < q->avoid->len; i++)
		if (g_array_index(q->avoid, uint64_t, i) == image_key)
			return true;
	return false;
}

/// Tells whether an attempt at an endpoint, or one planned there, forms a bad pair with the step.
static bool has_bad_pair(const struct place_candidate *c, const struct place_request *q)
{
	if (c->planned && is_avoided(q, q->image_key))
		return true;
	for (guint i = 0; i < c->endpoint->runs->len; i++)
		if (is_avoided(q, ((const struct run *)c->endpoint->runs->pdata[i])->image_key))
			return true;
	return false;
}

static bool has_capacity(const struct resources *available, const job_step *step)
{
	return (step->best_effort || available->cpu_milli >= step->cpu_milli) &&
	       available->mem_mb >= step->mem_mb && available->gpu >= step->gpu;
}

/// Tells whether the constraints of a step other than capacity allow a task at an endpoint.
static bool is_allowed(const struct place_candidate *c, const struct place_request *q)
{
	const job_step *step = q->step;

	if (*step->label && !endpoint_has_label(c->endpoint, step->label))
		return false;
	if (q->needs_ticket && !c->ticket)
		return false;
	if (*step->data_rack && !q->remote_is_allowed &&
	    !endpoint_has_label(c->endpoint, step->data_rack))
		return false;
	if (c->trial ? !q->suspected || !g_str_equal(c->trial, q->job)
		     : q->suspected && !(c->runs ? q->may_open_trial : q->may_open_idle_trial))
		return false;
	if (q->rack && !endpoint_has_label(c->endpoint, q->rack))
		return false;
	return !step->max_per_endpoint ||
	       count_of_step(c->endpoint, q) + c->planned < step->max_per_endpoint;
}

static bool fits(const struct place_candidate *c, const struct place_request *q)
{
	return has_capacity(&c->available, q->step) && is_allowed(c, q);
}

bool place_fits_with_ticket(const struct place_candidate *c, const struct place_request *request)
{
	struct place_request q = *request;

	q.needs_ticket = false;
	return fits(c, &q);
}

/// A bad pair counts less than due maintenance, and more than how many tasks of a kind are there:
/// it is known of just these images.
#define BAD_PAIR_COST 5000000

/// @return cost of placing a task at a candidate, without BAD_PAIR_COST; the lowest wins. Each term
/// outweighs all terms that follow it.
static int64_t cost(const struct place_candidate *c, const struct place_request *q)
{
	const job_step *step = q->step;
	const struct endpoint *e = c->endpoint;
	int64_t n = c->cpu_available_permille;

	if (*step->data_rack && !endpoint_has_label(e, step->data_rack))
		n += 1000000000;
	if (q->failed_at && g_str_equal(q->failed_at, e->id))
		n += 500000000;
	if (c->quarantined)
		n += 100000000;
	/* The loss of one machine must not exceed the step's availability budget. */
	if (step->max_unavailable && count_of_step(e, q) + c->planned >= step->max_unavailable)
		n += 50000000;
	if (step->long_running && c->maintenance_due)
		n += 10000000;
	/* An endpoint where little is lost, and where a crash tells most. */
	if (q->suspected && !c->trial)
		n += 10000000 + (c->long_running ? 20000000 : 0) + 5000000 * (int64_t)c->starting +
		     100000 * (int64_t)c->runs;
	if (step->best_effort)
		n += 100000 * (int64_t)c->latency_sensitive + 10000 * (int64_t)c->best_effort;
	else if (step->target_ms)
		n += 100000 * (int64_t)c->best_effort + 10000 * (int64_t)c->latency_sensitive;
	if (!c->long_running)
		n += 2000;
	return n;
}

int place_choose(const GArray *candidates, const struct place_request *request)
{
	int64_t best_cost = INT64_MAX;
	int best = -1;

	for (guint i = 0; i < candidates->len; i++) {
		const struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, i);
		int64_t n;

		if (!fits(c, request))
			continue;
		n = cost(c, request);
		if (n >= best_cost)
			continue;
		/* Last, since it reads all attempts of the endpoint. */
		if (request->avoid && !request->suspected && has_bad_pair(c, request))
			n += BAD_PAIR_COST;
		if (n >= best_cost)
			continue;
		best_cost = n;
		best = (int)i;
	}
	return best;
}

/// @return free capacity of a candidate once its tasks of bounded run time have ended
static struct resources capacity_after_completions(const struct place_candidate *c)
{
	struct resources available = c->available;

	for (guint i = 0; i < c->endpoint->runs->len; i++) {
		const struct run *r = c->endpoint->runs->pdata[i];

		if (r->long_running)
			continue;
		available.cpu_milli += r->best_effort ? 0 : r->cpu_milli;
		available.mem_mb += r->mem_mb;
		available.gpu += r->gpu;
	}
	return available;
}

int place_reserve(const GArray *candidates, const struct place_request *request)
{
	int64_t best_shortage = INT64_MAX;
	int best = -1;

	for (guint i = 0; i < candidates->len; i++) {
		const struct place_candidate *c =
			&g_array_index(candidates, struct place_candidate, i);
		struct resources later;
		int64_t shortage;

		if (c->available.mem_mb < 0 || !is_allowed(c, request))
			continue;
		later = capacity_after_completions(c);
		if (!has_capacity(&later, request->step))
			continue;
		shortage = MAX(request->step->mem_mb - c->available.mem_mb, 0) * 1000 /
				   MAX(c->endpoint->mem_mb, 1) +
			   MAX(request->step->cpu_milli - c->available.cpu_milli, 0) * 1000 /
				   MAX(c->endpoint->cpu_milli, 1);
		if (shortage >= best_shortage)
			continue;
		best_shortage = shortage;
		best = (int)i;
	}
	return best;
}

void place_set_capacity(struct place_candidate *c, struct resources available)
{
	uint32_t total = c->endpoint->cpu_milli;

	c->available = available;
	c->cpu_available_permille = total ? available.cpu_milli * 1000 / total : 0;
}

void place_allocate(struct place_candidate *c, const job_step *step)
{
	place_set_capacity(c, (struct resources){
				      .cpu_milli = c->available.cpu_milli -
						   (step->best_effort ? 0 : step->cpu_milli),
				      .mem_mb = c->available.mem_mb - step->mem_mb,
				      .gpu = c->available.gpu - step->gpu,
			      });
	c->runs++;
	c->starting++;
	c->latency_sensitive += step->target_ms != 0;
	c->best_effort += step->best_effort;
	c->long_running += step->long_running;
}
