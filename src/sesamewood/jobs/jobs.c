#include "jobs/jobs.h"

#include "base/codec.h"
#include "jobs/access.h"

#include <stdlib.h>
#include <string.h>

/* Estimates with the overhead of the allocator; a job that has ended keeps only its names. */
#define ENDED_JOB_BYTES 512
#define STEP_BYTES 192
#define TASK_BYTES 96

static void job_free(void *p)
{
	struct job *job = p;

	codec_free(CODEC_PROC(job_image), &job->image);
	g_free(job->account);
	g_free(job->ratios);
	g_free(job);
}

static void incarnation_free(void *p)
{
	struct job_incarnation_state *incarnation = p;

	codec_free(CODEC_PROC(job_incarnation), &incarnation->endpoint);
	g_free(incarnation);
}

static void wave_free(void *p)
{
	codec_free(CODEC_PROC(job_wave), p);
	g_free(p);
}

struct jobs *jobs_new(void)
{
	struct jobs *j = g_new0(struct jobs, 1);

	j->queues = g_hash_table_new(g_str_hash, g_str_equal);
	access_init(j);
	j->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
	j->incarnations = g_hash_table_new_full(NULL, NULL, NULL, incarnation_free);
	j->waves = g_ptr_array_new_with_free_func(wave_free);
	j->ordered_machines = g_ptr_array_new_with_free_func(g_free);
	j->next_endpoint = 1;
	return j;
}

static void reset_state(struct jobs *j)
{
	g_hash_table_remove_all(j->queues);
	codec_free(CODEC_PROC(job_config), &j->config);
	memset(&j->config, 0, sizeof(j->config));
	access_reset(j);
	g_hash_table_remove_all(j->by_id);
	j->bytes = 0;
	j->tombstones = 0;
	g_hash_table_remove_all(j->incarnations);
	g_ptr_array_set_size(j->waves, 0);
	g_ptr_array_set_size(j->ordered_machines, 0);
	j->next_endpoint = 1;
}

void jobs_free(struct jobs *j)
{
	reset_state(j);
	g_hash_table_unref(j->queues);
	access_clear(j);
	g_hash_table_unref(j->by_id);
	g_hash_table_unref(j->incarnations);
	g_ptr_array_unref(j->waves);
	g_ptr_array_unref(j->ordered_machines);
	g_free(j);
}

/* Lookups. */

struct job *jobs_find(const struct jobs *j, const char *id)
{
	return g_hash_table_lookup(j->by_id, id);
}

job_task *jobs_task(const struct jobs *j, const job_task_ref *ref)
{
	struct job *job = jobs_find(j, ref->job);
	job_occurrence *o;

	if (!job || ref->occurrence >= job->image.occurrences.occurrences_len)
		return NULL;
	o = &job->image.occurrences.occurrences_val[ref->occurrence];
	if (ref->step >= o->steps.steps_len ||
	    ref->index >= o->steps.steps_val[ref->step].tasks.tasks_len)
		return NULL;
	return &o->steps.steps_val[ref->step].tasks.tasks_val[ref->index];
}

const job_queue *jobs_queue(const struct jobs *j, const char *key)
{
	guint at = GPOINTER_TO_UINT(g_hash_table_lookup(j->queues, key));

	return at ? &j->config.queues.queues_val[at - 1] : NULL;
}

const job_queue *jobs_route(const struct jobs *j, const char *host, const char *path,
			    const char **rest)
{
	g_autofree char *key = g_strconcat(host, " ", path, NULL);
	size_t host_len = strlen(host) + 1;

	for (size_t len = strlen(key); len >= host_len; len--) {
		const job_queue *q;

		key[len] = 0;
		q = jobs_queue(j, key);
		if (q) {
			*rest = path + (len - host_len);
			return q;
		}
	}
	return NULL;
}

const job_pool *jobs_pool(const struct jobs *j, const char *name)
{
	for (u_int i = 0; i < j->config.pools.pools_len; i++)
		if (g_str_equal(j->config.pools.pools_val[i].name, name))
			return &j->config.pools.pools_val[i];
	return NULL;
}

job_wave *jobs_wave(const struct jobs *j, uint64_t number)
{
	for (guint i = 0; i < j->waves->len; i++)
		if (((job_wave *)j->waves->pdata[i])->number == number)
			return j->waves->pdata[i];
	return NULL;
}

struct job_incarnation_state *jobs_incarnation(const struct jobs *j, uint32_t number)
{
	return g_hash_table_lookup(j->incarnations, GUINT_TO_POINTER(number));
}

bool job_has_ended(const struct job *job)
{
	return job->image.phase >= JOB_COMPLETED;
}

bool job_is_tombstone(const struct job *job)
{
	/* The steps of every ended job are dropped; queues allow at least one attempt. */
	return job->image.phase == JOB_CANCELLED && !job->image.spec.max_attempts;
}

bool job_keeps_running(const struct job *job, uint32_t step)
{
	return job->image.phase == JOB_FAILED && step < job->image.spec.steps.steps_len &&
	       job->image.spec.steps.steps_val[step].max_unavailable;
}

bool job_task_is_given_up(const job_task *task)
{
	return task->crashes >= JOBS_CRASHES_MAX || task->early_crashes >= JOBS_EARLY_CRASHES_MAX ||
	       (task->singled_out && task->early_crashes >= JOBS_SINGLED_OUT_CRASHES_MAX);
}

int64_t job_due_wall_ms(const struct job *job, uint32_t occurrence)
{
	const job_spec *spec = &job->image.spec;

	if (!spec->occurrences)
		return spec->accepted_wall_ms;
	return spec->first_wall_ms + (int64_t)occurrence * spec->interval_ms;
}

static bool step_is_done(const job_step_state *s)
{
	for (u_int i = 0; i < s->tasks.tasks_len; i++)
		if (s->tasks.tasks_val[i].phase != JOB_TASK_DONE)
			return false;
	return true;
}

const job_step_state *job_step_tasks(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_occurrence *o;

	if (occurrence >= job->image.occurrences.occurrences_len)
		return NULL;
	o = &job->image.occurrences.occurrences_val[occurrence];
	return step < o->steps.steps_len ? &o->steps.steps_val[step] : NULL;
}

bool job_step_is_ready(const struct job *job, uint32_t occurrence, uint32_t step)
{
	const job_step *s = &job->image.spec.steps.steps_val[step];

	if (!job_step_tasks(job, occurrence, step))
		return false;
	for (u_int i = 0; i < s->after.after_len; i++)
		if (!step_is_done(job_step_tasks(job, occurrence, s->after.after_val[i])))
			return false;
	return true;
}

/* Application of commands. */

static void index_queues(struct jobs *j)
{
	g_hash_table_remove_all(j->queues);
	for (u_int i = 0; i < j->config.queues.queues_len; i++)
		g_hash_table_insert(j->queues, j->config.queues.queues_val[i].key,
				    GUINT_TO_POINTER(i + 1));
}

/// @param access  NULL: the configuration has no client accounts
static void apply_config(struct jobs *j, const job_config *config, const job_access *access)
{
	job_config copy;

	if (config->config_version <= j->config.config_version ||
	    !codec_copy(CODEC_PROC(job_config), config, &copy, sizeof(copy)))
		return;
	g_hash_table_remove_all(j->queues);
	codec_free(CODEC_PROC(job_config), &j->config);
	j->config = copy;
	index_queues(j);
	access_replace(j, access);
}

uint32_t job_occurrences(const struct job *job)
{
	return MAX(job->image.spec.occurrences, 1);
}

static void create_tasks(const job_spec *spec, job_occurrence *o)
{
	o->steps.steps_len = spec->steps.steps_len;
	o->steps.steps_val = calloc(spec->steps.steps_len, sizeof(job_step_state));
	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		job_step_state *state = &o->steps.steps_val[s];
		u_int count = spec->steps.steps_val[s].count;

		state->tasks.tasks_len = count;
		state->tasks.tasks_val = calloc(count ? count : 1, sizeof(job_task));
		for (u_int i = 0; i < count; i++)
			state->tasks.tasks_val[i].checkpoint = strdup("");
	}
}

/// Creates the occurrences before number @p n.
static void create_occurrences(struct job *job, uint32_t n)
{
	job_image *image = &job->image;
	u_int from = image->occurrences.occurrences_len;

	n = MIN(n, job_occurrences(job));
	if (n <= from)
		return;
	image->occurrences.occurrences_val =
		realloc(image->occurrences.occurrences_val, n * sizeof(job_occurrence));
	image->occurrences.occurrences_len = n;
	memset(&image->occurrences.occurrences_val[from], 0, (n - from) * sizeof(job_occurrence));
	for (u_int k = from; k < n; k++)
		create_tasks(&image->spec, &image->occurrences.occurrences_val[k]);
}

void job_create_due(struct job *job, int64_t wall_ms)
{
	const job_spec *spec = &job->image.spec;
	uint32_t n = job->image.occurrences.occurrences_len;

	while (spec->steps.steps_len && n < job_occurrences(job) &&
	       (!spec->occurrences || wall_ms >= job_due_wall_ms(job, n)))
		n++;
	create_occurrences(job, n);
}

static uint32_t tasks_per_occurrence(const struct job *job)
{
	uint32_t n = 0;

	for (u_int s = 0; s < job->image.spec.steps.steps_len; s++)
		n += job->image.spec.steps.steps_val[s].count;
	return n;
}

/// Frees the tasks of an occurrence if all are done.
static void drop_done_occurrence(struct job *job, uint32_t occurrence)
{
	job_occurrence *o = &job->image.occurrences.occurrences_val[occurrence];

	for (u_int s = 0; s < o->steps.steps_len; s++)
		if (!step_is_done(&o->steps.steps_val[s]))
			return;
	codec_free(CODEC_PROC(job_occurrence), o);
	memset(o, 0, sizeof(*o));
	while (job->first_open < job->image.occurrences.occurrences_len &&
	       !job->image.occurrences.occurrences_val[job->first_open].steps.steps_len)
		job->first_open++;
}

size_t job_estimate_bytes(const job_spec *spec)
{
	size_t bytes = ENDED_JOB_BYTES + strlen(spec->payload);

	/* Of a schedule, few occurrences exist at a time. */
	for (u_int s = 0; s < spec->steps.steps_len; s++)
		bytes += STEP_BYTES + (size_t)spec->steps.steps_val[s].count * TASK_BYTES;
	return bytes;
}

static void set_bytes(struct jobs *j, struct job *job, size_t bytes)
{
	j->bytes += bytes - job->bytes;
	job->bytes = bytes;
}

static void end_job(struct job *job, job_phase phase, int64_t at_wall_ms)
{
	if (job_has_ended(job))
		return;
	job->image.phase = phase;
	job->image.ended_wall_ms = at_wall_ms;
}

static void apply_accept(struct jobs *j, const job_spec *spec, const char *account,
			 bool beyond_weight)
{
	struct job *job;

	if (jobs_find(j, spec->id))
		return;
	job = g_new0(struct job, 1);
	job->account = g_strdup(account);
	job->beyond_weight = beyond_weight;
	codec_copy(CODEC_PROC(job_spec), spec, &job->image.spec, sizeof(job_spec));
	job->unfinished = tasks_per_occurrence(job) * job_occurrences(job);
	create_occurrences(job, spec->occurrences || !spec->steps.steps_len ? 0 : 1);
	set_bytes(j, job, job_estimate_bytes(spec));
	job->may_have_ready_tasks = true;
	if (!spec->steps.steps_len)
		end_job(job, JOB_CANCELLED, spec->accepted_wall_ms);
	j->tombstones += job_is_tombstone(job);
	g_hash_table_insert(j->by_id, job->image.spec.id, job);
}

/// Frees the steps, tasks and payload of an ended job, since callers only query its state.
static void drop_ended_job_details(struct jobs *j, struct job *job)
{
	job_spec *spec = &job->image.spec;
	job_spec kept = {
		.id = spec->id,
		.queue = spec->queue,
		.pool = spec->pool,
		.payload = strdup(""),
		.max_attempts = spec->max_attempts,
		.accepted_wall_ms = spec->accepted_wall_ms,
	};
	job_image dropped = job->image;

	if (!job_has_ended(job) || job->assigned || !spec->steps.steps_len) {
		free(kept.payload);
		return;
	}
	dropped.spec.id = NULL;
	dropped.spec.queue = NULL;
	dropped.spec.pool = NULL;
	codec_free(CODEC_PROC(job_image), &dropped);
	job->image.spec = kept;
	job->image.occurrences.occurrences_len = 0;
	job->image.occurrences.occurrences_val = NULL;
	job->unfinished = 0;
	set_bytes(j, job, ENDED_JOB_BYTES);
	g_clear_pointer(&job->ratios, g_free);
}

static void apply_cancel(struct jobs *j, const job_cancel *c)
{
	struct job *job = jobs_find(j, c->id);

	if (!job)
		return;
	if (job->image.phase == JOB_FAILED && job->assigned)
		job->image.phase = JOB_CANCELLED;
	end_job(job, JOB_CANCELLED, c->at_wall_ms);
	drop_ended_job_details(j, job);
}

static void apply_incarnation(struct jobs *j, const job_incarnation *e)
{
	struct job_incarnation_state *incarnation;

	if (jobs_incarnation(j, e->number))
		return;
	incarnation = g_new0(struct job_incarnation_state, 1);
	codec_copy(CODEC_PROC(job_incarnation), e, &incarnation->endpoint, sizeof(job_incarnation));
	g_hash_table_insert(j->incarnations, GUINT_TO_POINTER(e->number), incarnation);
	j->next_endpoint = MAX(j->next_endpoint, e->number + 1);
}

static void release_task(struct jobs *j, struct job *job, job_task *task)
{
	struct job_incarnation_state *incarnation = jobs_incarnation(j, task->endpoint);

	if (task->phase != JOB_TASK_ASSIGNED)
		return;
	if (incarnation)
		incarnation->assigned--;
	job->assigned--;
	task->phase = JOB_TASK_WAITING;
	task->endpoint = 0;
	job->may_have_ready_tasks = true;
}

static void apply_attempt_start(struct jobs *j, const job_attempt_start *s)
{
	struct job *job = jobs_find(j, s->task.job);
	struct job_incarnation_state *incarnation = jobs_incarnation(j, s->endpoint);
	job_task *task;

	if (!job)
		return;
	if (job->image.spec.steps.steps_len && s->task.occurrence < job_occurrences(job))
		create_occurrences(job, s->task.occurrence + 1);
	task = jobs_task(j, &s->task);
	if (!task || !incarnation || task->phase != JOB_TASK_WAITING)
		return;
	task->phase = JOB_TASK_ASSIGNED;
	task->attempt = s->attempt;
	task->endpoint = s->endpoint;
	task->started_wall_ms = s->at_wall_ms;
	incarnation->assigned++;
	job->assigned++;
	job->started++;
	if (job->image.phase == JOB_PENDING)
		job->image.phase = JOB_RUNNING;
}

static void complete_task(struct jobs *j, struct job *job, job_task *task)
{
	release_task(j, job, task);
	if (task->phase == JOB_TASK_DONE)
		return;
	task->phase = JOB_TASK_DONE;
	job->has_results = true;
	job->unfinished--;
	job->may_have_ready_tasks = true; /* the next step may be ready */
}

static void complete_attempt(struct jobs *j, struct job *job, const job_attempt_end *e,
			     job_task *task)
{
	const job_step *step = &job->image.spec.steps.steps_val[e->task.step];
	job_step_state *state = &job->image.occurrences.occurrences_val[e->task.occurrence]
					 .steps.steps_val[e->task.step];

	if (step->long_running) {
		release_task(j, job, task);
		return;
	}
	complete_task(j, job, task);
	for (u_int i = 0; step->gang && i < state->tasks.tasks_len; i++)
		complete_task(j, job, &state->tasks.tasks_val[i]);
	drop_done_occurrence(job, e->task.occurrence);
	if (!job->unfinished)
		end_job(job, JOB_COMPLETED, 0);
}

uint32_t job_count_failures(const struct job *job, const job_task_ref *ref)
{
	const job_step_state *state = job_step_tasks(job, ref->occurrence, ref->step);

	if (!state || ref->index >= state->tasks.tasks_len)
		return 0;
	if (job->image.spec.steps.steps_val[ref->step].gang)
		return state->tasks.tasks_val[0].failures;
	return state->tasks.tasks_val[ref->index].failures;
}

/// Counts a failure. Several members of a gang may fail in one attempt, which counts once: the
/// first member holds the count, the second one the latest attempt that is counted.
static void count_failure(struct job *job, const job_attempt_end *e, job_task *task)
{
	const job_step_state *state = job_step_tasks(job, e->task.occurrence, e->task.step);
	job_task *members = state->tasks.tasks_val;

	if (!job->image.spec.steps.steps_val[e->task.step].gang || state->tasks.tasks_len < 2) {
		task->failures++;
		return;
	}
	if (members[1].failures >= e->attempt)
		return;
	members[0].failures++;
	members[1].failures = e->attempt;
}

static void fail_attempt(struct jobs *j, struct job *job, const job_attempt_end *e, job_task *task)
{
	if (task->phase != JOB_TASK_ASSIGNED)
		return;
	release_task(j, job, task);
	if (job->image.spec.steps.steps_val[e->task.step].long_running)
		return;
	count_failure(job, e, task);
	job->has_results = true;
	if (job_count_failures(job, &e->task) < job->image.spec.max_attempts)
		return;
	task->phase = JOB_TASK_FAILED;
	end_job(job, JOB_FAILED, 0);
}

/// Clears a task of the crashes that an attempt's run time proves not to be its fault.
static void clear_crashes(job_task *task, job_attempt_age age)
{
	if (age >= JOB_ATTEMPT_STARTED) {
		task->early_crashes = 0;
		task->singled_out = false;
	}
	if (age >= JOB_ATTEMPT_SETTLED)
		task->crashes = 0;
}

/// Counts the crash of an endpoint under a task, and gives the task up when there were too many.
static void count_crash(struct job *job, const job_attempt_end *e, job_task *task)
{
	task->crashes++;
	task->early_crashes +=
		e->cause == JOB_ATTEMPT_CRASHED || e->cause == JOB_ATTEMPT_CRASHED_ALONE;
	task->singled_out |= e->cause == JOB_ATTEMPT_CRASHED_ALONE;
	/* A task that lasts is restarted however it ends. */
	if (job->image.spec.steps.steps_val[e->task.step].long_running ||
	    !job_task_is_given_up(task))
		return;
	if (task->phase == JOB_TASK_WAITING) /* a later attempt is stopped, as its job has ended */
		task->phase = JOB_TASK_FAILED;
	end_job(job, JOB_FAILED, 0);
}

static void crash_attempt(struct jobs *j, struct job *job, const job_attempt_end *e, job_task *task)
{
	if (task->phase != JOB_TASK_ASSIGNED)
		return;
	release_task(j, job, task);
	count_crash(job, e, task);
}

/// Counts a loss that was confirmed after the attempt was released.
static void confirm_loss(struct jobs *j, struct job *job, const job_attempt_end *e, job_task *task)
{
	if (task->phase >= JOB_TASK_DONE || job_has_ended(job) || e->attempt > task->attempt ||
	    (e->attempt == task->attempt && task->phase == JOB_TASK_ASSIGNED))
		return;
	count_crash(job, e, task);
	drop_ended_job_details(j, job);
}

static void apply_attempt_end(struct jobs *j, const job_attempt_end *e)
{
	struct job *job = jobs_find(j, e->task.job);
	job_task *task = jobs_task(j, &e->task);

	if (task && e->cause == JOB_ATTEMPT_LOSS_CONFIRMED) {
		confirm_loss(j, job, e, task);
		return;
	}
	if (!task || task->attempt != e->attempt || task->phase >= JOB_TASK_DONE)
		return;
	if (*e->checkpoint)
		codec_set_string(&task->checkpoint, e->checkpoint);
	clear_crashes(task, e->age);
	switch (e->cause) {
	case JOB_ATTEMPT_DONE:
		complete_attempt(j, job, e, task);
		break;
	case JOB_ATTEMPT_FAILED:
		fail_attempt(j, job, e, task);
		break;
	case JOB_ATTEMPT_RELEASED:
		release_task(j, job, task);
		break;
	case JOB_ATTEMPT_LOST:
	case JOB_ATTEMPT_CRASHED:
	case JOB_ATTEMPT_CRASHED_ALONE:
		crash_attempt(j, job, e, task);
		break;
	case JOB_ATTEMPT_LOSS_CONFIRMED:
		break; /* handled above */
	}
	drop_ended_job_details(j, job);
}

static void apply_wave(struct jobs *j, const job_wave *wave)
{
	job_wave *copy;

	if (jobs_wave(j, wave->number))
		return;
	copy = g_new0(job_wave, 1);
	codec_copy(CODEC_PROC(job_wave), wave, copy, sizeof(*copy));
	g_ptr_array_add(j->waves, copy);
}

static void update_wave_machine(job_wave_machine *machine, const job_wave_update *u)
{
	machine->ordered = true;
	machine->settled |= u->settled;
}

static void apply_wave_update(struct jobs *j, const job_wave_update *u)
{
	job_wave *wave = jobs_wave(j, u->number);

	for (u_int i = 0; wave && i < wave->machines.machines_len; i++)
		if (g_str_equal(wave->machines.machines_val[i].machine, u->machine))
			update_wave_machine(&wave->machines.machines_val[i], u);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer unused)
{
	(void)key;
	(void)unused;
	return !((struct job_incarnation_state *)value)->assigned;
}

static void apply_forget(struct jobs *j, const job_forget *f)
{
	for (u_int i = 0; i < f->ids.ids_len; i++) {
		struct job *job = jobs_find(j, f->ids.ids_val[i]);

		if (!job || !job_has_ended(job) || job->assigned)
			continue;
		set_bytes(j, job, 0);
		j->tombstones -= job_is_tombstone(job);
		g_hash_table_remove(j->by_id, f->ids.ids_val[i]);
	}
	g_hash_table_foreach_remove(j->incarnations, is_unused, NULL);
}

static void apply_machine_order(struct jobs *j, const job_machine_order *o)
{
	if (j->ordered_machines->len > o->keep)
		g_ptr_array_remove_range(j->ordered_machines, 0,
					 j->ordered_machines->len - o->keep);
	g_ptr_array_add(j->ordered_machines, g_strdup(o->machine));
}

void jobs_apply(struct jobs *j, const job_command *c)
{
	switch (c->type) {
	case JOB_COMMAND_CONFIG:
		apply_config(j, &c->job_command_u.config, NULL);
		break;
	case JOB_COMMAND_CONFIG_ACCESS:
		apply_config(j, &c->job_command_u.config_access.config,
			     &c->job_command_u.config_access.access);
		break;
	case JOB_COMMAND_ACCEPT:
		apply_accept(j, &c->job_command_u.accept, "", false);
		break;
	case JOB_COMMAND_ACCEPT_FOR:
		apply_accept(j, &c->job_command_u.accept_for.spec,
			     c->job_command_u.accept_for.account,
			     c->job_command_u.accept_for.beyond_weight);
		break;
	case JOB_COMMAND_CANCEL:
		apply_cancel(j, &c->job_command_u.cancel);
		break;
	case JOB_COMMAND_INCARNATION:
		apply_incarnation(j, &c->job_command_u.endpoint);
		break;
	case JOB_COMMAND_ATTEMPT_START:
		apply_attempt_start(j, &c->job_command_u.start);
		break;
	case JOB_COMMAND_ATTEMPT_END:
		apply_attempt_end(j, &c->job_command_u.end);
		break;
	case JOB_COMMAND_WAVE:
		apply_wave(j, &c->job_command_u.wave);
		break;
	case JOB_COMMAND_WAVE_UPDATE:
		apply_wave_update(j, &c->job_command_u.wave_update);
		break;
	case JOB_COMMAND_FORGET:
		apply_forget(j, &c->job_command_u.forget);
		break;
	case JOB_COMMAND_MACHINE_ORDER:
		apply_machine_order(j, &c->job_command_u.machine_order);
		break;
	}
}

/* Snapshots. The encoded lists borrow from the state, so only the arrays are freed. */

GByteArray *jobs_snapshot(const struct jobs *j)
{
	job_snapshot s = {.config = j->config, .next_endpoint = j->next_endpoint};
	GHashTableIter iter;
	gpointer value;
	GByteArray *out;

	s.endpoints.endpoints_val = g_new0(job_incarnation, g_hash_table_size(j->incarnations) + 1);
	g_hash_table_iter_init(&iter, j->incarnations);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		s.endpoints.endpoints_val[s.endpoints.endpoints_len++] =
			((struct job_incarnation_state *)value)->endpoint;
	s.jobs.jobs_val = g_new0(job_image, g_hash_table_size(j->by_id) + 1);
	g_hash_table_iter_init(&iter, j->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		s.jobs.jobs_val[s.jobs.jobs_len++] = ((struct job *)value)->image;
	s.waves.waves_val = g_new0(job_wave, j->waves->len + 1);
	for (guint i = 0; i < j->waves->len; i++)
		s.waves.waves_val[s.waves.waves_len++] = *(job_wave *)j->waves->pdata[i];
	s.ordered_machines.ordered_machines_val = (job_name *)j->ordered_machines->pdata;
	s.ordered_machines.ordered_machines_len = j->ordered_machines->len;
	out = codec_encode(CODEC_PROC(job_snapshot), &s);
	g_free(s.endpoints.endpoints_val);
	g_free(s.jobs.jobs_val);
	g_free(s.waves.waves_val);
	if (out && !access_append_snapshot(j, out))
		g_clear_pointer(&out, g_byte_array_unref);
	return out;
}

/// Recomputes the counters that a snapshot does not store.
static void restore_counters(struct jobs *j, struct job *job)
{
	const job_image *image = &job->image;
	u_int n = image->occurrences.occurrences_len;

	if (!job_has_ended(job))
		job->unfinished = tasks_per_occurrence(job) * (job_occurrences(job) - n);
	for (u_int k = 0; k < n; k++) {
		const job_occurrence *o = &image->occurrences.occurrences_val[k];

		job->has_results |= image->spec.steps.steps_len && !o->steps.steps_len;
		job->first_open += job->first_open == k && !o->steps.steps_len;
		for (u_int s = 0; s < o->steps.steps_len; s++)
			for (u_int i = 0; i < o->steps.steps_val[s].tasks.tasks_len; i++) {
				const job_task *t = &o->steps.steps_val[s].tasks.tasks_val[i];
				struct job_incarnation_state *incarnation =
					jobs_incarnation(j, t->endpoint);

				job->unfinished += t->phase != JOB_TASK_DONE;
				job->started += t->attempt;
				job->has_results |= t->phase == JOB_TASK_DONE || t->failures;
				if (t->phase != JOB_TASK_ASSIGNED)
					continue;
				job->assigned++;
				if (incarnation)
					incarnation->assigned++;
			}
	}
}

static void adopt_snapshot(struct jobs *j, job_snapshot *s)
{
	j->config = s->config;
	memset(&s->config, 0, sizeof(s->config));
	index_queues(j);
	j->next_endpoint = s->next_endpoint;
	for (u_int i = 0; i < s->endpoints.endpoints_len; i++)
		apply_incarnation(j, &s->endpoints.endpoints_val[i]);
	for (u_int i = 0; i < s->jobs.jobs_len; i++) {
		struct job *job = g_new0(struct job, 1);

		job->image = s->jobs.jobs_val[i];
		job->account = g_strdup("");
		memset(&s->jobs.jobs_val[i], 0, sizeof(job_image));
		restore_counters(j, job);
		set_bytes(j, job, job_estimate_bytes(&job->image.spec));
		job->may_have_ready_tasks = true;
		j->tombstones += job_is_tombstone(job);
		g_hash_table_insert(j->by_id, job->image.spec.id, job);
	}
	for (u_int i = 0; i < s->waves.waves_len; i++)
		apply_wave(j, &s->waves.waves_val[i]);
	for (u_int i = 0; i < s->ordered_machines.ordered_machines_len; i++)
		g_ptr_array_add(j->ordered_machines,
				g_strdup(s->ordered_machines.ordered_machines_val[i]));
}

bool jobs_restore(struct jobs *j, const void *data, size_t len)
{
	job_snapshot s;
	size_t used = 0;
	bool ok;

	reset_state(j);
	if (!codec_decode_part(CODEC_PROC(job_snapshot), data, len, &s, sizeof(s), &used))
		return false;
	adopt_snapshot(j, &s);
	/* The job images were moved out; XDR accepts the remaining null strings when freeing. */
	codec_free(CODEC_PROC(job_snapshot), &s);
	ok = used == len || access_restore(j, (const char *)data + used, len - used);
	if (!ok)
		reset_state(j);
	return ok;
}
