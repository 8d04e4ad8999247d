#include "sched/admission.h"

#include "base/log.h"
#include "base/metrics.h"
#include "manager/overload.h"
#include "sched/accounts.h"
#include "sched/estimates.h"

#include <math.h>

#define FIGURES_AGE_MAX_MS 500 /* five passes over the pools */
/// A leader knows all endpoints after this time: each has sent a heartbeat.
#define LEADER_SETTLE_MS 2000
#define MACHINE_LEAD_MS 1700 /* a move and the first heartbeat */
#define USABLE_PERCENT 90    /* of a pool; fragmentation takes the rest */
/// Work that waits for a longer time than its objective allows three times over is of no use to
/// its caller.
#define USEFUL_OBJECTIVES 3
/// Share of a job's slack that its expected wait may take for it to count as in time. The rest is
/// for estimates that are wrong by about a third, and for its later steps.
#define WAIT_OF_SLACK_PERCENT 60
/// Window of the mean rate of admitted work: several times the usual wait, so that one burst does
/// not count as a rate.
#define ARRIVAL_WINDOW_MS 2000
/// A pool counts as full, and its rate of starts as the most it can do, from this use on.
#define FULL_PERCENT 90
/// Least part of its capacity that a pool is expected to use: a full pool may have stood still for
/// a moment.
#define SERVED_MIN_PERCENT 20
/// Late work gets at least this share of a pool in the estimate: arrivals vary.
#define LATE_SHARE_MIN_PERCENT 5
#define COMMIT_LAGS                                                                                \
	2 /* in a measured run time: the commit of the start, and the query at the end */
#define STEPS_ON_STACK 16
#define LOG_LINES_PER_S 50
#define US_PER_MS 1000
#define MS_PER_S 1000

/// Waiting work of one priority in a pool; index 1: beyond the weight of its account.
struct work_class {
	uint32_t priority;
	struct admission_work on_time[2];
	struct admission_work late[2];
	int64_t unready_core_us[2];   ///< part of on_time whose steps wait for others
	double unready_ms[2];	      ///< sum of this part, each times its job's remaining path
	double arriving_cpu_milli[2]; ///< mean rate of admitted work, decays exponentially
};

struct pool_figures {
	struct admission_supply supply;
	struct admission_capacity held;	 ///< by long-running tasks, waiting ones included
	struct admission_capacity ready; ///< of ready tasks that wait
	uint32_t ready_tasks;
	uint32_t owed_ready;	 ///< of them, those within the weights of accounts
	bool is_supplied;	 ///< its supply is of the present pass
	GArray *classes;	 ///< struct work_class
	bool was_full;		 ///< at the last pass
	int64_t waiting_core_us; ///< at the last pass, plus what was admitted since
	double served_percent;	 ///< work started by a full pool, of what it could do
	clock_ms_t next_slot;	 ///< when the next refused caller may retry
};

struct admission {
	GHashTable *pools; ///< struct pool_figures by name
	clock_ms_t measured_at;
	bool is_measured;
	clock_ms_t log_period_at; ///< start of the present second of logging
	unsigned int lines;	  ///< logged in this second
	unsigned int left_out;	  ///< lines left out since the last one
	struct metric *admitted;
	struct metric *too_late;
	struct metric *beyond_weight;
	struct metric *again; ///< copies and early retries of refused jobs
};

/* The decision. */

bool admission_is_refusal(enum admission_result result)
{
	return result == ADMISSION_TOO_LATE || result == ADMISSION_BEYOND_WEIGHT;
}

/// @return time in which one kind of resource works off an amount, ms
static int64_t time_for(int64_t work, int64_t now, int64_t more, clock_ms_t more_in_ms)
{
	int64_t usable = now * USABLE_PERCENT / 100;
	int64_t later = (now + more) * USABLE_PERCENT / 100;

	if (work <= 0 || later <= 0)
		return 0;
	if (work <= usable * more_in_ms)
		return work / usable;
	return more_in_ms + (work - usable * more_in_ms) / later;
}

static int64_t wait_for(const struct admission_figures *f, struct admission_work w)
{
	int64_t percent = f->served_percent ? f->served_percent : 100;

	return MAX(time_for(w.core_us * 100 / percent, f->now.cpu_milli, f->more.cpu_milli,
			    f->more_in_ms),
		   time_for(w.mb_ms * 100 / percent, f->now.mem_mb, f->more.mem_mb, f->more_in_ms));
}

/// @return time until late work is done, which gets what arriving work leaves of the pool, ms
static int64_t wait_when_late(const struct admission_figures *f, struct admission_work w)
{
	int64_t all = f->now.cpu_milli + f->more.cpu_milli;
	int64_t served = all * USABLE_PERCENT / 100;
	int64_t left;

	if (f->served_percent)
		served = served * f->served_percent / 100;
	left = MAX(served - f->arriving_cpu_milli, served * LATE_SHARE_MIN_PERCENT / 100);
	return left > 0 ? wait_for(f, w) * served / left : 0;
}

/// @return time until the last work ahead of a new job is started, ms. Of the part that waits for
/// other steps only so much is ahead as can be started by then: t / (release + t) of it.
static int64_t wait_behind(const struct admission_figures *f, struct admission_work ahead)
{
	double all = (double)wait_for(f, ahead);
	double release = (double)MAX(f->release_ms, 1);
	double ready;
	double more;

	if (!f->unready_core_us || !ahead.core_us)
		return (int64_t)all;
	ready = all * (1 - (double)MIN(f->unready_core_us, ahead.core_us) / (double)ahead.core_us);
	more = all - release;
	return (int64_t)((more + sqrt(more * more + 4 * ready * release)) / 2);
}

/// @return longest wait with which a job counts as in time, ms. The stretch for its chain is left
/// out: a full pool would otherwise admit only jobs of many steps.
static int64_t wait_limit(const struct admission_job *job)
{
	int64_t slack_ms = MAX(job->objective_ms - job->chain_ms, 0);
	int64_t limit_ms = slack_ms * WAIT_OF_SLACK_PERCENT / 100;

	return job->queue_objective_ms ? MIN(limit_ms, job->queue_objective_ms) : limit_ms;
}

static bool fits(const struct admission_figures *f, const struct admission_job *job, bool with_more)
{
	int64_t cpu = f->now.cpu_milli + (with_more ? f->more.cpu_milli : 0);
	int64_t mem = f->now.mem_mb + (with_more ? f->more.mem_mb : 0);

	return f->in_use.cpu_milli + job->width.cpu_milli <= cpu &&
	       f->in_use.mem_mb + job->width.mem_mb <= mem;
}

static struct admission_work sum(struct admission_work a, struct admission_work b)
{
	return (struct admission_work){a.core_us + b.core_us, a.mb_ms + b.mb_ms};
}

struct admission_verdict admission_decide(const struct admission_figures *f,
					  const struct admission_job *job)
{
	struct admission_verdict v = {.useful_ms = USEFUL_OBJECTIVES * job->objective_ms};
	int64_t leader_ms = f->lag_ms + (int64_t)(f->ready_tasks * f->start_cost_us / US_PER_MS);
	struct admission_work ahead = sum(f->first, f->on_time);
	int64_t limit_ms = wait_limit(job);
	int64_t wait_ms;

	if (job->exempt || !job->objective_ms) {
		v.result = ADMISSION_EXEMPT;
		return v;
	}
	if (!f->known || f->age_ms > FIGURES_AGE_MAX_MS) {
		v.result = ADMISSION_UNKNOWN;
		return v;
	}
	if (fits(f, job, false)) {
		v.result = ADMISSION_ROOM;
		return v;
	}
	wait_ms = MAX(wait_behind(f, ahead), leader_ms);
	v.slot_ms = MAX(wait_for(f, job->work), 1);
	v.ahead_core_us = ahead.core_us;
	v.expected_end_ms = wait_ms + job->chain_ms;
	if (fits(f, job, true) && MAX(f->more_in_ms, leader_ms) + job->chain_ms <= v.useful_ms) {
		v.result = ADMISSION_ROOM_ARRIVES;
		return v;
	}
	if (job->beyond_weight && f->owed_waits) {
		v.result = ADMISSION_BEYOND_WEIGHT;
		v.room_in_ms = wait_ms;
		return v;
	}
	v.result = ADMISSION_IN_TIME;
	if (!wait_ms || wait_ms <= limit_ms)
		return v;
	/* It may become late, and is then behind what is late already. */
	v.room_in_ms = wait_ms - limit_ms;
	ahead = sum(ahead, f->late);
	v.ahead_core_us = ahead.core_us;
	v.expected_end_ms = MAX(wait_when_late(f, ahead), leader_ms) + job->chain_ms;
	v.room_in_ms = MIN(v.room_in_ms, MAX(v.expected_end_ms - v.useful_ms, 0));
	v.result = v.expected_end_ms > v.useful_ms ? ADMISSION_TOO_LATE : ADMISSION_USEFUL;
	return v;
}

/* The figures. */

static void pool_figures_free(void *p)
{
	g_array_unref(((struct pool_figures *)p)->classes);
	g_free(p);
}

struct admission *admission_new(void)
{
	static const char refusals[] = "sesamewood_admission_refusals_total";
	static const char help[] = "jobs refused by admission control";
	struct admission *a = g_new0(struct admission, 1);

	a->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_figures_free);
	a->admitted = metrics_get(METRIC_COUNTER, "sesamewood_admission_admitted_total", "",
				  "jobs admitted by admission control");
	a->too_late = metrics_get(METRIC_COUNTER, refusals, "reason=\"too_late\"", help);
	a->beyond_weight = metrics_get(METRIC_COUNTER, refusals, "reason=\"beyond_weight\"", help);
	a->again = metrics_get(METRIC_COUNTER, refusals, "reason=\"again\"", help);
	return a;
}

void admission_free(struct admission *a)
{
	g_hash_table_unref(a->pools);
	g_free(a);
}

static struct pool_figures *find_or_add_pool(struct admission *a, const char *name)
{
	struct pool_figures *p = g_hash_table_lookup(a->pools, name);

	if (!p) {
		p = g_new0(struct pool_figures, 1);
		p->served_percent = 100;
		p->classes = g_array_new(FALSE, TRUE, sizeof(struct work_class));
		g_hash_table_insert(a->pools, g_strdup(name), p);
	}
	return p;
}

void admission_set_supply(struct manager *m, const char *pool, const struct admission_supply *s)
{
	struct pool_figures *p = find_or_add_pool(m->admission, pool);

	p->supply = *s;
	p->is_supplied = true;
}

static struct work_class *find_or_add_class(struct pool_figures *p, uint32_t priority)
{
	struct work_class added = {.priority = priority};

	for (guint i = 0; i < p->classes->len; i++) {
		struct work_class *c = &g_array_index(p->classes, struct work_class, i);

		if (c->priority == priority)
			return c;
	}
	g_array_append_val(p->classes, added);
	return &g_array_index(p->classes, struct work_class, p->classes->len - 1);
}

static void add_work(struct admission_work *to, struct admission_work w)
{
	*to = sum(*to, w);
}

static void add_capacity(struct admission_capacity *to, const job_step *step, int64_t tasks)
{
	to->cpu_milli += tasks * step->cpu_milli;
	to->mem_mb += tasks * step->mem_mb;
}

static struct admission_capacity without(struct admission_capacity a, struct admission_capacity b)
{
	return (struct admission_capacity){
		MAX(a.cpu_milli - b.cpu_milli, 0),
		MAX(a.mem_mb - b.mem_mb, 0),
	};
}

/// Counts the tasks of a step that wait. Where none can have been started they are not read.
static uint32_t count_waiting(const struct job *job, uint32_t occurrence, uint32_t step,
			      bool is_ready)
{
	const job_step_state *s = job_step_tasks(job, occurrence, step);
	uint32_t n = 0;

	if (s && (!job->started || !is_ready))
		return s->tasks.tasks_len;
	for (u_int i = 0; s && i < s->tasks.tasks_len; i++)
		n += s->tasks.tasks_val[i].phase == JOB_TASK_WAITING;
	return n;
}

static int64_t objective_of(const job_queue *queue, int64_t chain_ms)
{
	return queue ? queue->objective_ms + chain_ms * queue->stretch_milli / 1000 : 0;
}

/// Adds the tasks of one occurrence that have yet to be started.
static void add_occurrence(struct manager *m, struct pool_figures *p, const struct job *job,
			   const job_queue *queue, uint32_t occurrence, clock_ms_t wall_ms)
{
	const job_spec *spec = &job->image.spec;
	struct admission_work work = {0};
	struct critical_path path;
	int64_t unready_core_us = 0;
	struct work_class *c;
	bool on_stack[STEPS_ON_STACK];
	g_autofree bool *on_heap =
		spec->steps.steps_len > STEPS_ON_STACK ? g_new(bool, spec->steps.steps_len) : NULL;
	bool *open = on_heap ? on_heap : on_stack;
	bool late;

	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		const job_step *step = &spec->steps.steps_val[s];
		bool is_ready = job_step_is_ready(job, occurrence, s);
		uint32_t n = step->best_effort ? 0 : count_waiting(job, occurrence, s, is_ready);
		int64_t each_ms = (int64_t)step->estimate_ms * estimates_ratio(m, job, s) / 100;

		open[s] = !is_ready || n || estimates_step_is_open(job, occurrence, s);
		if (!n)
			continue;
		if (step->long_running) {
			add_capacity(&p->held, step, n);
			continue;
		}
		work.core_us += n * each_ms * step->cpu_milli;
		work.mb_ms += n * each_ms * step->mem_mb;
		if (!is_ready) {
			unready_core_us += n * each_ms * step->cpu_milli;
			continue;
		}
		add_capacity(&p->ready, step, n);
		p->owed_ready += job->beyond_weight ? 0 : n;
		p->ready_tasks += n;
	}
	if (!work.core_us && !work.mb_ms)
		return;
	path = estimates_open_path(m, job, open);
	late = wall_ms + path.remaining_ms >
	       job_due_wall_ms(job, occurrence) + objective_of(queue, path.total_ms);
	c = find_or_add_class(p, queue ? queue->priority : 0);
	add_work(late ? &c->late[job->beyond_weight] : &c->on_time[job->beyond_weight], work);
	if (late)
		return;
	c->unready_core_us[job->beyond_weight] += unready_core_us;
	c->unready_ms[job->beyond_weight] += (double)unready_core_us * (double)path.remaining_ms;
}

/// Clears the measured work of a class and lets its rate decay.
static void reset_class(struct work_class *c, clock_ms_t elapsed_ms)
{
	double share = MAX(0.0, 1.0 - (double)elapsed_ms / ARRIVAL_WINDOW_MS);

	for (int beyond = 0; beyond < 2; beyond++) {
		c->on_time[beyond] = (struct admission_work){0};
		c->late[beyond] = (struct admission_work){0};
		c->unready_core_us[beyond] = 0;
		c->unready_ms[beyond] = 0;
		c->arriving_cpu_milli[beyond] *= share;
	}
}

/// Measures how much work a full pool starts. A slow leader, endpoints that do not answer, and caps
/// of accounts leave capacity unused that tasks seem to have.
static void measure_service(struct pool_figures *p, clock_ms_t elapsed_ms)
{
	double weight = MIN(1.0, (double)elapsed_ms / ARRIVAL_WINDOW_MS);
	struct admission_capacity now = without(p->supply.now, p->held);
	int64_t usable_core_us = now.cpu_milli * USABLE_PERCENT / 100 * elapsed_ms;
	int64_t waiting_core_us = 0;
	double percent = 100;
	bool is_full = (p->supply.used.cpu_milli + p->ready.cpu_milli) * 100 >=
			       now.cpu_milli * FULL_PERCENT &&
		       p->ready_tasks;

	for (guint i = 0; i < p->classes->len; i++) {
		const struct work_class *c = &g_array_index(p->classes, struct work_class, i);

		for (int beyond = 0; beyond < 2; beyond++)
			waiting_core_us += c->on_time[beyond].core_us + c->late[beyond].core_us;
	}
	if (p->was_full && is_full && usable_core_us > 0)
		percent = CLAMP((double)(p->waiting_core_us - waiting_core_us) * 100.0 /
					(double)usable_core_us,
				0, 100.0 * 100.0 / USABLE_PERCENT);
	p->served_percent += (percent - p->served_percent) * weight;
	p->was_full = is_full;
	p->waiting_core_us = waiting_core_us;
}

void admission_measure(struct manager *m, clock_ms_t now, clock_ms_t wall_ms)
{
	struct admission *a = m->admission;
	struct pool_figures *pool = NULL;
	const job_queue *queue = NULL;
	const char *queue_key = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, a->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_figures *p = value;

		if (!p->is_supplied) /* the configuration has dropped it */
			p->supply = (struct admission_supply){0};
		p->is_supplied = false;
		p->held = p->supply.held;
		p->ready = (struct admission_capacity){0};
		p->ready_tasks = 0;
		p->owed_ready = 0;
		for (guint i = 0; i < p->classes->len; i++)
			reset_class(&g_array_index(p->classes, struct work_class, i),
				    now - a->measured_at);
	}
	for (guint i = 0; i < m->active->len; i++) {
		struct job *job = m->active->pdata[i];
		const job_spec *spec = &job->image.spec;

		if (job_has_ended(job) || job->unfinished == job->assigned)
			continue;
		/* What a cap keeps from starting is ahead of nobody. */
		if (accounts_is_at_cap(accounts_of(m, job)))
			continue;
		/* Consecutive jobs often share a queue. */
		if (!pool || !g_str_equal(queue_key, spec->queue)) {
			queue_key = spec->queue;
			queue = jobs_queue(m->jobs, queue_key);
			pool = find_or_add_pool(a, queue ? queue->pool : spec->pool);
		}
		for (u_int k = job->first_open; k < job->image.occurrences.occurrences_len; k++) {
			if (spec->occurrences && wall_ms < job_due_wall_ms(job, k))
				break;
			add_occurrence(m, pool, job, queue, k, wall_ms);
		}
	}
	g_hash_table_iter_init(&iter, a->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		measure_service(value, now - a->measured_at);
	a->measured_at = now;
	a->is_measured = now - m->leader_since >= LEADER_SETTLE_MS;
}

/* Submissions. */

static struct admission_figures figures_for(const struct manager *m, const struct pool_figures *p,
					    clock_ms_t now, uint32_t priority, bool beyond_weight)
{
	const struct admission *a = m->admission;
	struct admission_figures f = {
		.known = a->is_measured && p->supply.now.cpu_milli > 0,
		.age_ms = now - a->measured_at,
		.now = without(p->supply.now, p->held),
		.more = p->supply.more,
		.more_in_ms = MACHINE_LEAD_MS,
		.in_use = {p->supply.used.cpu_milli + p->ready.cpu_milli,
			   p->supply.used.mem_mb + p->ready.mem_mb},
		.served_percent = (uint32_t)CLAMP(p->served_percent, SERVED_MIN_PERCENT, 100.0),
		.owed_waits = p->owed_ready > 0,
		.lag_ms = m->lag_ms,
		.start_cost_us = m->start_cost_us,
		.ready_tasks = p->ready_tasks,
	};

	double unready_ms = 0;

	for (guint i = 0; i < p->classes->len; i++) {
		const struct work_class *c = &g_array_index(p->classes, struct work_class, i);

		if (c->priority > priority)
			continue;
		for (int beyond = 0; beyond < 2; beyond++) {
			bool is_first = c->priority < priority || beyond < beyond_weight;

			if (beyond > beyond_weight && !is_first)
				continue;
			add_work(is_first ? &f.first : &f.on_time, c->on_time[beyond]);
			add_work(is_first ? &f.first : &f.late, c->late[beyond]);
			f.unready_core_us += c->unready_core_us[beyond];
			unready_ms += c->unready_ms[beyond];
			f.arriving_cpu_milli += (int64_t)c->arriving_cpu_milli[beyond];
		}
	}
	if (f.unready_core_us)
		f.release_ms = (int64_t)(unready_ms / (double)f.unready_core_us);
	return f;
}

/// The measured run times of tasks include the leader's lag: their starts wait for a commit, and
/// their ends are noticed late. This is no part of what the objective allows for.
static struct admission_job job_of(const struct manager *m, const job_spec *spec,
				   const job_queue *queue, bool beyond_weight)
{
	struct spec_estimate e = estimates_spec(m, spec);
	int64_t lag_ms = e.chain_steps * m->lag_ms;
	int64_t run_ms =
		MAX(e.chain_ms - COMMIT_LAGS * lag_ms, MIN(e.declared_chain_ms, e.chain_ms));
	struct admission_job job = {
		.work = {e.work_core_us, e.work_mb_ms},
		.first_core_us = e.first_core_us,
		.chain_ms = e.chain_ms + lag_ms, /* each step waits for a placement round */
		.objective_ms = objective_of(queue, run_ms),
		.queue_objective_ms = queue->objective_ms,
		.beyond_weight = beyond_weight,
		.exempt = spec->occurrences || spec->steps.steps_val[0].long_running,
	};

	for (u_int s = 0; s < spec->steps.steps_len; s++)
		if (!spec->steps.steps_val[s].after.after_len &&
		    !spec->steps.steps_val[s].best_effort)
			add_capacity(&job.width, &spec->steps.steps_val[s],
				     spec->steps.steps_val[s].count);
	return job;
}

/// Counts an admitted job in the figures, so that a burst between two passes is not admitted as a
/// whole.
static void count_admitted(struct manager *m, struct pool_figures *p, const job_spec *spec,
			   uint32_t priority, const struct admission_job *job)
{
	struct work_class *c;
	int64_t unready_core_us;
	uint32_t tasks = 0;

	metrics_add(m->admission->admitted, 1);
	if (job->exempt)
		return;
	c = find_or_add_class(p, priority);
	add_work(&c->on_time[job->beyond_weight], job->work);
	unready_core_us = MAX(job->work.core_us - job->first_core_us, 0);
	c->unready_core_us[job->beyond_weight] += unready_core_us;
	c->unready_ms[job->beyond_weight] += (double)unready_core_us * (double)job->chain_ms;
	c->arriving_cpu_milli[job->beyond_weight] += (double)job->work.core_us / ARRIVAL_WINDOW_MS;
	p->waiting_core_us += job->work.core_us;
	p->ready.cpu_milli += job->width.cpu_milli;
	p->ready.mem_mb += job->width.mem_mb;
	for (u_int s = 0; s < spec->steps.steps_len; s++)
		if (!spec->steps.steps_val[s].after.after_len)
			tasks += spec->steps.steps_val[s].count;
	p->ready_tasks += tasks;
	p->owed_ready += job->beyond_weight ? 0 : tasks;
}

/// @return whether a line may be logged now
static bool take_log_line(struct admission *a, clock_ms_t now)
{
	if (now - a->log_period_at >= MS_PER_S) {
		a->log_period_at = now;
		a->lines = 0;
	}
	if (a->lines < LOG_LINES_PER_S) {
		a->lines++;
		return true;
	}
	a->left_out++;
	return false;
}

static void log_refusal(struct manager *m, clock_ms_t now, const job_spec *spec,
			const char *account, const struct admission_figures *f,
			const struct admission_verdict *v, uint32_t retry_after_s)
{
	if (!take_log_line(m->admission, now))
		return;
	log_info("job refused by admission control; the caller retries later", "JOB", spec->id,
		 "QUEUE", spec->queue, "ACCOUNT", account, "REASON",
		 v->result == ADMISSION_TOO_LATE ? "too late" : "beyond weight", "EXPECTED_END_MS",
		 log_number((guint64)v->expected_end_ms), "USEFUL_MS",
		 log_number((guint64)v->useful_ms), "AHEAD_CORE_MS",
		 log_number((guint64)v->ahead_core_us / US_PER_MS), "ROOM_MILLI",
		 log_number((guint64)f->now.cpu_milli), "MORE_MILLI",
		 log_number((guint64)f->more.cpu_milli), "IN_USE_MILLI",
		 log_number((guint64)f->in_use.cpu_milli), "LAG_MS", log_number((guint64)f->lag_ms),
		 "FIGURES_AGE_MS", log_number((guint64)f->age_ms), "RETRY_AFTER_S",
		 log_number(retry_after_s), "LEFT_OUT", log_number(m->admission->left_out));
	m->admission->left_out = 0;
}

bool admission_admit(struct manager *m, clock_ms_t now, const job_spec *spec,
		     const job_queue *queue, const char *account, bool beyond_weight,
		     uint32_t *retry_after_s)
{
	struct admission_figures f;
	struct admission_verdict v;
	struct admission_job job;
	struct pool_figures *p;

	if (!m->admission || !m->overload)
		return true;
	if (overload_was_refused(m->overload, now, spec->id)) {
		*retry_after_s = overload_refuse_again(m->overload, now, spec->id);
		metrics_add(m->admission->again, 1);
		if (take_log_line(m->admission, now))
			log_info("copy of a refused job refused; the caller retries later", "JOB",
				 spec->id, "RETRY_AFTER_S", log_number(*retry_after_s));
		return false;
	}
	p = find_or_add_pool(m->admission, queue->pool);
	job = job_of(m, spec, queue, beyond_weight);
	f = figures_for(m, p, now, queue->priority, beyond_weight);
	v = admission_decide(&f, &job);
	if (!admission_is_refusal(v.result)) {
		count_admitted(m, p, spec, queue->priority, &job);
		return true;
	}
	metrics_add(v.result == ADMISSION_TOO_LATE ? m->admission->too_late
						   : m->admission->beyond_weight,
		    1);
	*retry_after_s = overload_refuse_until_room(m->overload, &p->next_slot, now, v.room_in_ms,
						    v.slot_ms, spec->id);
	log_refusal(m, now, spec, account, &f, &v, *retry_after_s);
	return false;
}
