#include "sched/accounts.h"

#include "base/log.h"
#include "jobs/access.h"
#include "sched/capacity.h"

#include <math.h>

/// A job, as thousandths of a job a second times milliseconds.
#define TOKEN 1000000
/// The contract owes an account its weight in each second.
#define BURST_MS 1000
/// Work without an account shares a pool as an account of weight 1.
#define NO_ACCOUNT_WEIGHT_MILLI 1000
/// Bounds the log of an account whose use stays near its cap.
#define LOG_PERIOD_MS 1000

struct accounts {
	GHashTable *by_name; ///< struct account; owned
	bool configured;     ///< the configuration holds accounts
	bool has_caps;	     ///< an account has a cap
};

/* Accounts. */

static void account_use_free(void *p)
{
	struct account_use *u = p;

	g_free(u->pool);
	g_free(u);
}

static void account_free(void *p)
{
	struct account *a = p;

	g_ptr_array_unref(a->uses);
	g_free(a->name);
	g_free(a);
}

struct accounts *accounts_new(void)
{
	struct accounts *a = g_new0(struct accounts, 1);

	a->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, account_free);
	return a;
}

void accounts_free(struct accounts *a)
{
	g_hash_table_unref(a->by_name);
	g_free(a);
}

/// Accounts live as long as the leadership, since jobs and attempts point to them.
static struct account *find_or_add(const struct manager *m, const char *name)
{
	struct account *a = g_hash_table_lookup(m->accounts->by_name, name);

	if (a)
		return a;
	a = g_new0(struct account, 1);
	a->name = g_strdup(name);
	a->uses = g_ptr_array_new_with_free_func(account_use_free);
	g_hash_table_insert(m->accounts->by_name, a->name, a);
	return a;
}

struct account *accounts_of(const struct manager *m, struct job *job)
{
	if (!job->account_state)
		job->account_state = find_or_add(m, job->account);
	return job->account_state;
}

bool accounts_are_configured(const struct manager *m)
{
	return m->accounts->configured;
}

/* Rate of jobs that are owed service. */

static int64_t burst_of(const struct account *a)
{
	return a->weight_milli ? MAX((int64_t)a->weight_milli * BURST_MS, TOKEN) : 0;
}

static void refill(struct account *a, clock_ms_t now)
{
	/* The bound on the time keeps the product in range after a long pause. */
	int64_t elapsed_ms = CLAMP(now - a->tokens_at, 0, TOKEN);

	a->tokens = MIN(a->tokens + (int64_t)a->weight_milli * elapsed_ms, burst_of(a));
	a->tokens_at = now;
}

bool accounts_has_token(struct manager *m, clock_ms_t now, const char *account)
{
	struct account *a = find_or_add(m, account);

	refill(a, now);
	return a->tokens >= TOKEN;
}

bool accounts_take_token(struct manager *m, clock_ms_t now, const char *account)
{
	struct account *a = find_or_add(m, account);

	refill(a, now);
	if (a->tokens < TOKEN)
		return false;
	a->tokens -= TOKEN;
	return true;
}

/* Configuration. */

static int64_t limit_of(uint64_t cap)
{
	return (int64_t)MIN(cap, (uint64_t)INT64_MAX);
}

static void configure(struct account *a, const job_account *config, clock_ms_t now)
{
	bool is_new = !a->weight_milli;

	refill(a, now);
	a->weight_milli = config->weight_milli;
	a->priority = config->priority;
	a->cap = (struct resources){
		.cpu_milli = limit_of(config->cap.cpu_milli),
		.mem_mb = limit_of(config->cap.mem_mb),
		.gpu = limit_of(config->cap.gpu),
	};
	a->tokens = is_new ? burst_of(a) : MIN(a->tokens, burst_of(a));
}

static bool has_cap(const struct account *a)
{
	return a->cap.cpu_milli || a->cap.mem_mb || a->cap.gpu;
}

void accounts_configure(struct manager *m, clock_ms_t now)
{
	const job_access *access = &m->jobs->access;
	GHashTableIter iter;
	gpointer value;

	for (u_int i = 0; i < access->accounts.accounts_len; i++) {
		const job_account *config = &access->accounts.accounts_val[i];

		configure(find_or_add(m, config->name), config, now);
	}
	m->accounts->configured = access->accounts.accounts_len > 0;
	m->accounts->has_caps = false;
	g_hash_table_iter_init(&iter, m->accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *a = value;
		const job_account none = {.name = a->name};

		if (!access_find(m->jobs, a->name))
			configure(a, &none, now);
		m->accounts->has_caps |= has_cap(a);
	}
}

/* Use. */

static struct account_use *use_in_pool(struct account *a, const char *pool)
{
	struct account_use *u;

	for (guint i = 0; i < a->uses->len; i++) {
		u = a->uses->pdata[i];
		if (g_str_equal(u->pool, pool))
			return u;
	}
	u = g_new0(struct account_use, 1);
	u->account = a;
	u->pool = g_strdup(pool);
	g_ptr_array_add(a->uses, u);
	return u;
}

/// Best-effort tasks count as well: a cap limits what is requested.
static void add(struct resources *sum, const struct run *r, int sign)
{
	sum->cpu_milli += sign * (int64_t)r->cpu_milli;
	sum->mem_mb += sign * (int64_t)r->mem_mb;
	sum->gpu += sign * (int64_t)r->gpu;
}

void accounts_record_start(struct manager *m, struct run *r)
{
	struct account *a = accounts_of(m, r->job);
	struct account_use *u = use_in_pool(a, r->endpoint->pool);

	r->counted_in = u;
	u->attempts++;
	add(&u->used, r, 1);
	add(&a->used, r, 1);
}

void accounts_record_end(struct run *r)
{
	struct account_use *u = r->counted_in;

	u->attempts--;
	add(&u->used, r, -1);
	add(&u->account->used, r, -1);
	r->counted_in = NULL;
}

/* Caps. */

static bool is_below(int64_t used, int64_t cap)
{
	return !cap || used < cap;
}

static bool is_below_cap(const struct account *a, const struct resources *used)
{
	return is_below(used->cpu_milli, a->cap.cpu_milli) &&
	       is_below(used->mem_mb, a->cap.mem_mb) && is_below(used->gpu, a->cap.gpu);
}

bool accounts_is_at_cap(const struct account *a)
{
	return has_cap(a) && !is_below_cap(a, &a->used);
}

/// @return use once @p n tasks of a step have started
static struct resources use_with(const struct resources *used, const job_step *step, uint32_t n)
{
	return (struct resources){
		.cpu_milli = used->cpu_milli + (int64_t)n * step->cpu_milli,
		.mem_mb = used->mem_mb + (int64_t)n * step->mem_mb,
		.gpu = used->gpu + (int64_t)n * step->gpu,
	};
}

bool accounts_allow_start(const struct manager *m, struct job *job, const job_step *step)
{
	const struct account *a;
	struct resources used;

	if (!m->accounts->has_caps)
		return true;
	a = accounts_of(m, job);
	used = use_with(&a->used, step, step->gang ? step->count - 1 : 0);
	return is_below_cap(a, &used);
}

static void log_cap(struct account *a, bool is_at_cap, clock_ms_t now)
{
	a->was_at_cap = is_at_cap;
	a->logged_at = now;
	log_info(is_at_cap ? "account has reached its cap" : "account is below its cap", "ACCOUNT",
		 a->name, "CPU_MILLI", log_number((uint64_t)a->used.cpu_milli), "CAP_CPU_MILLI",
		 log_number((uint64_t)a->cap.cpu_milli), "MEM_MB",
		 log_number((uint64_t)a->used.mem_mb), "CAP_MEM_MB",
		 log_number((uint64_t)a->cap.mem_mb), "GPU", log_number((uint64_t)a->used.gpu),
		 "CAP_GPU", log_number((uint64_t)a->cap.gpu));
}

void accounts_log_caps(struct manager *m, clock_ms_t now)
{
	GHashTableIter iter;
	gpointer value;

	m->backlog.accounts_at_cap = 0;
	if (!m->accounts->configured)
		return;
	g_hash_table_iter_init(&iter, m->accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *a = value;
		bool is_at_cap = accounts_is_at_cap(a);

		m->backlog.accounts_at_cap += is_at_cap;
		if (is_at_cap != a->was_at_cap &&
		    (!a->logged_at || now - a->logged_at >= LOG_PERIOD_MS))
			log_cap(a, is_at_cap, now);
	}
}

/* Shares. */

/// An account that is owed nothing has a share as well, or its use could not be compared.
static double weight_of(const struct account *a)
{
	return *a->name ? MAX(a->weight_milli, 1) : NO_ACCOUNT_WEIGHT_MILLI;
}

static void take_part(struct account_use *u, struct pool_capacity *capacity)
{
	u->capacity = capacity;
	if (capacity)
		capacity->weights += weight_of(u->account);
}

void accounts_start_round(struct manager *m)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->pool_capacities);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct pool_capacity *)value)->weights = 0;
	g_hash_table_iter_init(&iter, m->accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account *a = value;

		for (guint i = 0; i < a->uses->len; i++) {
			struct account_use *u = a->uses->pdata[i];

			u->planned = u->used;
			take_part(u, u->attempts ? g_hash_table_lookup(m->pool_capacities, u->pool)
						 : NULL);
		}
	}
}

struct account_use *accounts_record_waiting(struct manager *m, struct job *job,
					    struct pool_capacity *capacity)
{
	struct account_use *u = use_in_pool(accounts_of(m, job), capacity->pool);

	if (!u->capacity)
		take_part(u, capacity);
	return u;
}

/// @return use of one resource over the share of it. A single division of exact products, so that
/// a use that equals the share gives exactly 1.
static double ratio_of(const struct account_use *u, int64_t planned, int64_t total)
{
	return total > 0 ? (double)planned * u->capacity->weights /
				   ((double)total * weight_of(u->account))
			 : 0;
}

double accounts_share_ratio(const struct account_use *u)
{
	const struct resources *total = &u->capacity->total;
	double ratio = ratio_of(u, u->planned.cpu_milli, total->cpu_milli);

	ratio = MAX(ratio, ratio_of(u, u->planned.mem_mb, total->mem_mb));
	return MAX(ratio, ratio_of(u, u->planned.gpu, total->gpu));
}

/// @return number of tasks that start while the planned use of one resource is below its share
static double tasks_within(const struct account_use *u, int64_t planned, int64_t total,
			   uint32_t size)
{
	double left =
		(double)total * weight_of(u->account) - (double)planned * u->capacity->weights;

	if (total <= 0 || !size)
		return UINT32_MAX;
	return MAX(ceil(left / ((double)size * u->capacity->weights)), 0);
}

uint32_t accounts_tasks_within_share(const struct account_use *u, const job_step *step, uint32_t n)
{
	const struct resources *total = &u->capacity->total;
	double within = n;

	if (accounts_share_ratio(u) >= 1)
		return 0;
	within = MIN(within,
		     tasks_within(u, u->planned.cpu_milli, total->cpu_milli, step->cpu_milli));
	within = MIN(within, tasks_within(u, u->planned.mem_mb, total->mem_mb, step->mem_mb));
	within = MIN(within, tasks_within(u, u->planned.gpu, total->gpu, step->gpu));
	return (uint32_t)within;
}

void accounts_plan(struct account_use *u, const job_step *step, uint32_t n)
{
	u->planned = use_with(&u->planned, step, n);
}

/* Demand. */

struct accounts_rest {
	GHashTable *used; ///< struct resources by struct account; owned
};

struct accounts_rest *accounts_rest_new(const struct manager *m)
{
	struct accounts_rest *rest;

	if (!m->accounts->has_caps)
		return NULL;
	rest = g_new0(struct accounts_rest, 1);
	rest->used = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return rest;
}

void accounts_rest_free(struct accounts_rest *rest)
{
	if (!rest)
		return;
	g_hash_table_unref(rest->used);
	g_free(rest);
}

/// @return number of tasks that start until the use of a resource reaches its cap
static int64_t tasks_until_cap(int64_t used, int64_t cap, uint32_t size)
{
	if (!cap)
		return INT64_MAX;
	if (used >= cap)
		return 0;
	return size ? (cap - used - 1) / size + 1 : INT64_MAX;
}

uint32_t accounts_rest_take(struct accounts_rest *rest, const struct manager *m, struct job *job,
			    const job_step *step, uint32_t waiting)
{
	const struct account *a;
	struct resources *used;
	int64_t n = waiting;

	if (!rest || !waiting)
		return waiting;
	a = accounts_of(m, job);
	if (!has_cap(a))
		return waiting;
	used = g_hash_table_lookup(rest->used, a);
	if (!used) {
		used = g_new(struct resources, 1);
		*used = a->used;
		g_hash_table_insert(rest->used, (gpointer)a, used);
	}
	n = MIN(n, tasks_until_cap(used->cpu_milli, a->cap.cpu_milli, step->cpu_milli));
	n = MIN(n, tasks_until_cap(used->mem_mb, a->cap.mem_mb, step->mem_mb));
	n = MIN(n, tasks_until_cap(used->gpu, a->cap.gpu, step->gpu));
	if (step->gang && n < waiting)
		n = 0;
	*used = use_with(used, step, (uint32_t)n);
	return (uint32_t)n;
}

/* Check. */

static bool are_equal(const struct resources *a, const struct resources *b)
{
	return a->cpu_milli == b->cpu_milli && a->mem_mb == b->mem_mb && a->gpu == b->gpu;
}

/// Sums up the attempts of an account, in one pool or in all of them.
static struct resources sum_attempts(const struct manager *m, const char *account, const char *pool,
				     unsigned int *attempts)
{
	struct resources sum = {0};
	GHashTableIter iter;
	gpointer value;

	*attempts = 0;
	g_hash_table_iter_init(&iter, m->runs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct run *r = value;

		if (!g_str_equal(r->job->account, account) ||
		    (pool && !(r->counted_in && g_str_equal(r->counted_in->pool, pool))))
			continue;
		add(&sum, r, 1);
		(*attempts)++;
	}
	return sum;
}

bool accounts_use_is_consistent(const struct manager *m)
{
	unsigned int counted = 0;
	unsigned int attempts;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, m->accounts->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct account *a = value;
		struct resources sum = sum_attempts(m, a->name, NULL, &attempts);

		counted += attempts;
		if (!are_equal(&sum, &a->used))
			return false;
		for (guint i = 0; i < a->uses->len; i++) {
			const struct account_use *u = a->uses->pdata[i];

			sum = sum_attempts(m, a->name, u->pool, &attempts);
			if (!are_equal(&sum, &u->used) || attempts != u->attempts)
				return false;
		}
	}
	return counted == g_hash_table_size(m->runs);
}
