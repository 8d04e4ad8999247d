#include "control/moves.h"

#include "control/budget.h"
#include "control/sessions.h"

#include <string.h>

#define PERCENT 100
#define CLOCK_DRIFT_PERCENT 10 ///< maximum difference in rate between the clocks of two machines

static struct health *health_of(struct control *c, const sw_instance *i)
{
	if (i->id >= c->health->len)
		g_array_set_size(c->health, i->id + 1);
	return &g_array_index(c->health, struct health, i->id);
}

void moves_record_registration(struct control *c, clock_ms_t now, const sw_instance *i)
{
	health_of(c, i)->last_heartbeat_at = now;
}

static void update_instance_health(struct control *c, clock_ms_t now, const sw_instance *i)
{
	struct health *h = health_of(c, i);

	if (h->incarnation != i->endpoint.incarnation) {
		bool known = h->incarnation != 0;

		*h = (struct health){
			.incarnation = i->endpoint.incarnation,
			.last_heartbeat_at = now,
			.probation_until = known ? now + c->settings.probation_ms : 0,
			.proposed_index = h->proposed_index,
		};
	}
	if (now - h->last_heartbeat_at > c->settings.suspect_ms) {
		h->suspected = true;
	} else if (h->suspected) {
		h->suspected = false;
		h->probation_until = now + c->settings.probation_ms;
	}
	if (!i->dirty)
		h->dirty_since = 0;
	else if (!h->dirty_since)
		h->dirty_since = now;
}

void moves_update_health(struct control *c, clock_ms_t now)
{
	for (guint n = 0; n < c->fleet->instances->len; n++)
		if (c->fleet->instances->pdata[n])
			update_instance_health(c, now, c->fleet->instances->pdata[n]);
}

static void propose(struct control *c, const sw_instance *i, const sw_command *command)
{
	health_of(c, i)->proposed_index = control_propose(c, command);
}

static void propose_grant(struct control *c, const sw_instance *i, const char *pool,
			  const char *entry, bool unclean)
{
	bool lent = *pool && !g_str_equal(pool, i->home);
	sw_command command = {
		.type = SW_COMMAND_GRANT,
		.sw_command_u.grant =
			{
				.instance = i->endpoint.instance,
				.epoch = i->epoch,
				.pool = (char *)pool,
				.entry = (char *)entry,
				.lent = lent,
				.unclean = unclean,
			},
	};

	propose(c, i, &command);
}

static void propose_revoke(struct control *c, const sw_instance *i, const char *target,
			   sw_reason reason)
{
	sw_command command = {
		.type = SW_COMMAND_REVOKE,
		.sw_command_u.revoke =
			{
				.instance = i->endpoint.instance,
				.epoch = i->epoch,
				.target = (char *)target,
				.reason = reason,
			},
	};

	propose(c, i, &command);
	health_of(c, i)->proposed_entry = NULL;
}

/* Choice of an entry. */

/// @param pool name, or "" for all pools
/// @return number of instances granted to an entry
static uint32_t entry_load(const struct control *c, const char *entry, const char *pool)
{
	g_autofree char *key = g_strconcat(entry, "/", pool, NULL);

	return GPOINTER_TO_UINT(g_hash_table_lookup(c->entry_loads, key));
}

static void add_entry_load(struct control *c, const char *entry, const char *pool)
{
	char *key = g_strconcat(entry, "/", pool, NULL);

	g_hash_table_replace(c->entry_loads, key, GUINT_TO_POINTER(entry_load(c, entry, pool) + 1));
	if (*pool)
		add_entry_load(c, entry, "");
}

/// Counts the instances granted to each entry, and those that pending commands grant.
static void count_entry_loads(struct control *c)
{
	g_hash_table_remove_all(c->entry_loads);
	c->entry_loads_valid = true;
	for (guint n = 0; n < c->fleet->instances->len; n++) {
		const sw_instance *i = c->fleet->instances->pdata[n];
		const struct health *h;

		if (!i)
			continue;
		h = health_of(c, i);
		if (h->proposed_index > c->fleet->applied_index && h->proposed_entry)
			add_entry_load(c, h->proposed_entry, h->proposed_pool);
		else if (*i->entry && *i->pool)
			add_entry_load(c, i->entry, i->pool);
	}
}

/// @return the attached entry that does not drain and has the fewest instances of the pool, then of
///         all pools, then the lowest name; or NULL
static const char *choose_entry(struct control *c, clock_ms_t now, const char *pool)
{
	const char *best = NULL;
	uint64_t best_score = UINT64_MAX;
	GHashTableIter iter;
	gpointer value;

	if (!c->entry_loads_valid)
		count_entry_loads(c);
	g_hash_table_iter_init(&iter, c->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session *s = value;
		uint64_t score;

		if (s->draining || now >= s->lease_until)
			continue;
		score = (uint64_t)entry_load(c, s->entry, pool) << 32 | entry_load(c, s->entry, "");
		if (score < best_score ||
		    (score == best_score && best && strcmp(s->entry, best) < 0)) {
			best = s->entry;
			best_score = score;
		}
	}
	return best;
}

/* The entry that owns an instance. */

clock_ms_t moves_request_max_ms(const struct control *c)
{
	return (clock_ms_t)c->settings.deadline_max_ms * (PERCENT + CLOCK_DRIFT_PERCENT) / PERCENT;
}

/// Returns true if the entry that owns an instance may hold a lease. One that has not attached to
/// this leader may hold a lease of an earlier leader until that has expired.
static bool owner_may_hold_lease(const struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct session *s = g_hash_table_lookup(c->sessions, i->entry);

	if (s)
		return now < s->lease_until;
	return now < c->leader_since + c->settings.lease_ms + c->settings.lease_margin_ms;
}

/// @return when the last request that the owner may have started before its lease expired has ended
static clock_ms_t owner_requests_end_at(const struct control *c, const sw_instance *i)
{
	const struct session *s = g_hash_table_lookup(c->sessions, i->entry);
	clock_ms_t lease_end =
		s ? s->lease_until
		  : c->leader_since + c->settings.lease_ms + c->settings.lease_margin_ms;

	return lease_end + moves_request_max_ms(c);
}

/// Returns the owner's acknowledgement of the current revocation, or NULL. It is ignored while
/// requests of an earlier session of the owner may run.
static const struct ack *find_ack(const struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct session *s = g_hash_table_lookup(c->sessions, i->entry);
	const struct ack *ack;

	if (!s || now < s->old_requests_end_at)
		return NULL;
	ack = g_hash_table_lookup(s->acks, i->endpoint.instance);
	return ack && ack->epoch == i->epoch ? ack : NULL;
}

/// Returns true if requests of earlier owners may still run on the instance: it is marked dirty,
/// and the longest lease and request time have not passed since this leader saw that.
static bool may_run_old_requests(struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct health *h = health_of(c, i);

	return i->dirty && (!h->dirty_since || now < h->dirty_since + c->settings.lease_ms +
							       c->settings.lease_margin_ms +
							       moves_request_max_ms(c));
}

static void propose_clear_dirty(struct control *c, const sw_instance *i)
{
	sw_command command = {
		.type = SW_COMMAND_CLEAR_DIRTY,
		.sw_command_u.clear_dirty = {.instance = i->endpoint.instance, .epoch = i->epoch},
	};

	propose(c, i, &command);
}

/* Evaluation of an instance. */

/// Proposes to grant an instance to an entry of @p pool; "" removes it from its pool. Does nothing
/// while no entry is attached.
///
/// @param unclean requests of the previous owner may still run
static void propose_placement(struct control *c, clock_ms_t now, const sw_instance *i,
			      const char *pool, bool unclean)
{
	const char *entry = *pool ? choose_entry(c, now, pool) : "";
	struct health *h = health_of(c, i);

	if (!entry)
		return;
	propose_grant(c, i, pool, entry, unclean);
	h->proposed_entry = NULL;
	if (!*entry)
		return;
	h->proposed_entry = g_intern_string(entry);
	h->proposed_pool = g_intern_string(pool);
	add_entry_load(c, entry, pool);
}

/// Clears the dirty mark, removes an instance without heartbeats, or places it in its desired pool.
static void evaluate_idle(struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct health *h = health_of(c, i);
	const char *desired = fleet_desired_pool(c->fleet, i);
	sw_command forget = {
		.type = SW_COMMAND_FORGET,
		.sw_command_u.forget =
			{
				.instance = i->endpoint.instance,
				.incarnation = i->endpoint.incarnation,
			},
	};

	if (may_run_old_requests(c, now, i))
		return;
	if (i->dirty)
		propose_clear_dirty(c, i);
	else if (now - h->last_heartbeat_at > c->settings.forget_ms)
		propose(c, i, &forget);
	else if (*desired && !h->suspected)
		propose_placement(c, now, i, desired, false);
	else if (!*desired && *i->pool)
		propose_grant(c, i, "", "", false);
}

/// Grants a revoked instance to its target. Another pool gets it only after the owner has
/// acknowledged that its requests have ended, or after its lease has expired and the longest
/// request must have ended. Within the same pool it may be granted while requests of the owner
/// still run.
static void evaluate_revoking(struct control *c, clock_ms_t now, const sw_instance *i)
{
	bool same_pool = g_str_equal(i->target, i->pool);
	const char *target = i->endpoint.leaving ? "" : i->target;
	const struct ack *ack = find_ack(c, now, i);

	if (*target && !tables_find_pool(c->fleet->tables, target))
		target = i->home;
	if (ack) {
		if (same_pool && *target)
			propose_placement(c, now, i, target, ack->busy);
		else if (!ack->busy && !may_run_old_requests(c, now, i))
			propose_placement(c, now, i, target, false);
		return;
	}
	if (owner_may_hold_lease(c, now, i))
		return;
	if (now >= owner_requests_end_at(c, i) && !may_run_old_requests(c, now, i))
		propose_placement(c, now, i, target, false);
	else if (same_pool && *target)
		propose_placement(c, now, i, target, true);
}

/// Revokes an instance that leaves, has failed, belongs in another pool, or whose entry drains;
/// grants it to another entry when its owner's lease has expired.
static void evaluate_active(struct control *c, clock_ms_t now, const sw_instance *i)
{
	const struct session *s = g_hash_table_lookup(c->sessions, i->entry);
	const struct health *h = health_of(c, i);
	const char *desired = fleet_desired_pool(c->fleet, i);

	if (i->endpoint.leaving)
		propose_revoke(c, i, "", SW_REASON_LEAVING);
	else if (now - h->last_heartbeat_at > c->settings.forget_ms)
		propose_revoke(c, i, "", SW_REASON_FAILED);
	else if (!g_str_equal(desired, i->pool) &&
		 (!*desired || budget_allows_table_move(c, now, i)))
		propose_revoke(c, i, desired, SW_REASON_TABLE);
	else if (!owner_may_hold_lease(c, now, i))
		propose_placement(c, now, i, i->pool, true);
	else if (s && s->draining && choose_entry(c, now, i->pool))
		propose_revoke(c, i, i->pool, SW_REASON_ENTRY);
	else if (i->dirty && !may_run_old_requests(c, now, i))
		propose_clear_dirty(c, i);
}

/// Evaluates an instance, unless a command about it is pending.
static void evaluate_instance(struct control *c, clock_ms_t now, const sw_instance *i)
{
	if (health_of(c, i)->proposed_index > c->fleet->applied_index)
		return;
	switch (i->phase) {
	case SW_PHASE_IDLE:
		evaluate_idle(c, now, i);
		break;
	case SW_PHASE_ACTIVE:
		evaluate_active(c, now, i);
		break;
	case SW_PHASE_REVOKING:
		evaluate_revoking(c, now, i);
		break;
	}
}

/* Moves on demand. */

/// Adds the instances that serve in each pool or move to it.
static void add_capacity(const struct control *c, GHashTable *by_name)
{
	for (guint n = 0; n < c->fleet->instances->len; n++) {
		const sw_instance *i = c->fleet->instances->pdata[n];
		struct policy_pool *p;

		if (!i || i->phase == SW_PHASE_IDLE)
			continue;
		p = g_hash_table_lookup(by_name, i->phase == SW_PHASE_ACTIVE ? i->pool : i->target);
		if (!p)
			continue;
		if (i->phase == SW_PHASE_REVOKING) {
			p->arriving++;
		} else if (!g_array_index(c->health, struct health, i->id).suspected) {
			p->serving++;
			p->slots += i->endpoint.slots;
		}
	}
}

static void add_pool_loads(const struct session *s, GHashTable *by_name)
{
	for (guint i = 0; i < s->pool_loads->len; i++) {
		const sw_pool_load *r = s->pool_loads->pdata[i];
		struct policy_pool *p = g_hash_table_lookup(by_name, r->pool);

		if (!p)
			continue;
		p->in_use += r->in_use;
		p->queued += r->queued;
		p->oldest_wait_ms = MAX(p->oldest_wait_ms, r->oldest_wait_ms);
	}
}

/// @return capacity and load of all pools, in the order of the pools table; owned by the caller
static struct policy_pool *collect_pool_loads(const struct control *c, clock_ms_t now)
{
	GPtrArray *rows = c->fleet->tables->pools;
	struct policy_pool *pools = g_new0(struct policy_pool, rows->len + 1);
	g_autoptr(GHashTable) by_name = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < rows->len; i++) {
		pools[i].config = rows->pdata[i];
		g_hash_table_insert(by_name, pools[i].config->name, &pools[i]);
	}
	add_capacity(c, by_name);
	g_hash_table_iter_init(&iter, c->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (now < ((struct session *)value)->lease_until)
			add_pool_loads(value, by_name);
	return pools;
}

/// Chooses an instance to move from pool @p from to pool @p to within the budget. One whose home is
/// @p to is preferred, then one that is lent already.
///
/// @return instance, or NULL
static const sw_instance *choose_instance(struct control *c, clock_ms_t now, const char *from,
					  const char *to)
{
	const sw_instance *best = NULL;
	int best_rank = -1;

	for (guint n = 0; n < c->fleet->instances->len; n++) {
		const sw_instance *i = c->fleet->instances->pdata[n];
		int rank;

		if (!i || i->phase != SW_PHASE_ACTIVE || !g_str_equal(i->pool, from) || i->dirty ||
		    health_of(c, i)->proposed_index > c->fleet->applied_index)
			continue;
		rank = g_str_equal(i->home, to) ? 2 : i->lent;
		if (rank > best_rank && budget_allows_move(c, now, i)) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

/// Starts a move of one instance between two pools, if the budget allows it.
static void start_move(struct control *c, clock_ms_t now, const char *from, const char *to)
{
	const sw_instance *i = choose_instance(c, now, from, to);

	if (i)
		propose_revoke(c, i, to,
			       g_str_equal(i->home, to) ? SW_REASON_RETURN : SW_REASON_SURGE);
}

static void start_demand_moves(struct control *c, clock_ms_t now)
{
	GPtrArray *rows = c->fleet->tables->pools;
	g_autofree struct policy_pool *pools = collect_pool_loads(c, now);
	struct policy_move moves[POLICY_MOVES_MAX];
	unsigned int n;

	n = policy_decide(c->policy, now, pools, rows->len, moves);
	for (unsigned int i = 0; i < n; i++) {
		const struct pool *from = rows->pdata[moves[i].from];
		const struct pool *to = rows->pdata[moves[i].to];

		start_move(c, now, from->name, to->name);
	}
}

void moves_evaluate(struct control *c, clock_ms_t now)
{
	moves_update_health(c, now);
	c->entry_loads_valid = false;
	for (guint n = 0; n < c->fleet->instances->len; n++)
		if (c->fleet->instances->pdata[n])
			evaluate_instance(c, now, c->fleet->instances->pdata[n]);
	if (c->settings.policy)
		start_demand_moves(c, now);
}
