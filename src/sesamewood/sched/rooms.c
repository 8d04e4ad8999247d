#include "sched/rooms.h"

#include "sched/health.h"

#define ASIDE_SHARE 3 /* at most a third of a pool is left out for its record */
/// What no event tells (silence, the end of a time set aside) is seen so soon.
#define REBUILD_MS 100

static void pool_room_free(void *p)
{
	struct pool_room *r = p;

	g_array_unref(r->candidates);
	g_free(r->pool);
	g_free(r);
}

void rooms_note_most(struct pool_room *r)
{
	r->most = (struct room){0};
	for (guint i = 0; i < r->candidates->len; i++) {
		const struct room *c =
			&g_array_index(r->candidates, struct place_candidate, i).room;

		r->most.cpu_milli = MAX(r->most.cpu_milli, c->cpu_milli);
		r->most.mem_mb = MAX(r->most.mem_mb, c->mem_mb);
		r->most.gpu = MAX(r->most.gpu, c->gpu);
	}
}

static struct room size_of(const job_step *step)
{
	return (struct room){
		.cpu_milli = step->fills ? 0 : step->cpu_milli,
		.mem_mb = step->mem_mb,
		.gpu = step->gpu,
	};
}

static bool is_within(const struct room *a, const struct room *b)
{
	return a->cpu_milli <= b->cpu_milli && a->mem_mb <= b->mem_mb && a->gpu <= b->gpu;
}

void rooms_note_lack(struct pool_room *r, const job_step *step)
{
	struct room size = size_of(step);

	for (unsigned int i = 0; i < r->n_lacks; i++)
		if (is_within(&size, &r->lacks[i])) {
			r->lacks[i] = size;
			return;
		}
	if (r->n_lacks < ROOMS_LACKS_MAX)
		r->lacks[r->n_lacks++] = size;
}

bool rooms_may_fit(const struct pool_room *r, const job_step *step)
{
	struct room size = size_of(step);

	if (!r || !r->candidates->len || !is_within(&size, &r->most))
		return false;
	for (unsigned int i = 0; i < r->n_lacks; i++)
		if (is_within(&r->lacks[i], &size))
			return false;
	return true;
}

/* Candidates. */

static struct pool_room *room_of(GHashTable *pool_capacities, const char *pool)
{
	struct pool_room *r = g_hash_table_lookup(pool_capacities, pool);

	if (r)
		return r;
	r = g_new0(struct pool_room, 1);
	r->pool = g_strdup(pool);
	r->candidates = g_array_new(FALSE, TRUE, sizeof(struct place_candidate));
	g_hash_table_insert(pool_capacities, r->pool, r);
	return r;
}

static bool is_offered(const struct manager *m, const struct endpoint *e, clock_ms_t now)
{
	clock_ms_t silent_ms = SILENT_ANNOUNCEMENTS * (clock_ms_t)m->settings.heartbeat_period_ms;

	return health_is_eligible(e, now, silent_ms) && !e->cordoned && !e->ending;
}

static struct place_candidate candidate_of(const struct manager *m, struct endpoint *e,
					   clock_ms_t now)
{
	struct place_candidate c = {
		.endpoint = e,
		.set_aside = health_is_set_aside(e, now) ||
			     (health_is_on_trial(e) && e->runs->len > e->lasting),
		.due = g_hash_table_size(m->due_machines) &&
		       g_hash_table_contains(m->due_machines, e->machine),
		.runs = e->runs->len,
		.serving = e->serving,
		.filling = e->filling,
		.lasting = e->lasting,
	};

	place_set_room(&c, endpoint_free_room(e));
	return c;
}

static struct place_candidate *candidate_at(const struct pool_room *r, guint i)
{
	return &g_array_index(r->candidates, struct place_candidate, i);
}

static void remove_candidate(struct pool_room *r, guint i)
{
	candidate_at(r, i)->endpoint->room_index = -1;
	g_array_remove_index_fast(r->candidates, i);
	if (i < r->candidates->len)
		candidate_at(r, i)->endpoint->room_index = (int)i;
}

static void add_candidate(struct pool_room *r, const struct place_candidate *c)
{
	c->endpoint->room = r;
	c->endpoint->room_index = (int)r->candidates->len;
	g_array_append_val(r->candidates, *c);
}

/// Offers a candidate no more.
static void withhold(struct place_candidate *c)
{
	c->room = (struct room){-1, -1, -1};
}

void rooms_reserve(struct pool_room *r, struct place_candidate *c)
{
	r->reserved++;
	withhold(c);
}

bool rooms_confirm(const struct manager *m, struct place_candidate *c, clock_ms_t now)
{
	if (is_offered(m, c->endpoint, now))
		return true;
	withhold(c);
	return false;
}

/* Upkeep of the pool_capacities. */

static void refresh(struct manager *m, struct endpoint *e, clock_ms_t now)
{
	bool offered = is_offered(m, e, now);
	struct pool_room *r;
	struct place_candidate c;

	if (e->room_index >= 0 && (!offered || !g_str_equal(e->room->pool, e->pool)))
		remove_candidate(e->room, (guint)e->room_index);
	if (!offered)
		return;
	c = candidate_of(m, e, now);
	r = e->room_index >= 0 ? e->room : room_of(m->pool_capacities, e->pool);
	if (e->room_index >= 0)
		*candidate_at(r, (guint)e->room_index) = c;
	else if (!c.set_aside)
		add_candidate(r, &c);
}

/// Leaves out those set aside. Where many fail it is rather the tasks' fault: then all are used.
static void leave_out_set_aside(struct pool_room *r)
{
	for (guint i = r->candidates->len; i > 0 && r->aside * ASIDE_SHARE <= r->total; i--)
		if (candidate_at(r, i - 1)->set_aside)
			remove_candidate(r, i - 1);
}

static void rebuild(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	g_clear_pointer(&m->pool_capacities, g_hash_table_unref);
	m->pool_capacities = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_room_free);
	g_hash_table_iter_init(&iter, m->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint *e = value;
		struct place_candidate c;
		struct pool_room *r;

		e->capacity_changed = false;
		e->room_index = -1;
		if (!is_offered(m, e, now))
			continue;
		r = room_of(m->pool_capacities, e->pool);
		c = candidate_of(m, e, now);
		r->total++;
		r->aside += c.set_aside;
		add_candidate(r, &c);
	}
	g_hash_table_iter_init(&iter, m->pool_capacities);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		leave_out_set_aside(value);
}

void rooms_update(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	if (!m->pool_capacities || now >= m->capacities_rebuild_at) {
		/* Endpoints that were forgotten since are not read. */
		g_ptr_array_set_size(m->capacity_changed, 0);
		m->capacities_rebuild_at = now + REBUILD_MS;
		rebuild(m, now);
	}
	for (guint i = 0; i < m->capacity_changed->len; i++) {
		struct endpoint *e = m->capacity_changed->pdata[i];

		e->capacity_changed = false;
		refresh(m, e, now);
	}
	g_ptr_array_set_size(m->capacity_changed, 0);
	g_hash_table_iter_init(&iter, m->pool_capacities);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_room *r = value;

		r->n_lacks = 0;
		r->reserved = 0;
		rooms_note_most(r);
	}
}
