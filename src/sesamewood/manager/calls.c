#include "manager/calls.h"

#include "base/codec.h"
#include "base/log.h"
#include "jobs/access.h"
#include "runs/incarnations.h"
#include "sched/accounts.h"
#include "sched/admission.h"
#include "sched/pools.h"
#include "sched/schedule.h"
#include "sched/waves.h"

#include <string.h>

#define WAVES_MAX 256
/// Memory that jobs may take, by estimate. A leader holds the state twice, and up to two encoded
/// snapshots of it.
#define JOBS_BYTES_MAX ((size_t)48 * 1024 * 1024)
#define STATE_FULL_RETRY_S 5
/// Limit of the cancelled unknown jobs that are remembered. Beyond it their cancelling is refused,
/// because a job that arrives later could not be.
#define TOMBSTONES_MAX 10000
/// Limits of a schedule: JOB_TASKS_MAX intervals after the first time do not overflow.
#define WALL_MS_MAX ((int64_t)1 << 53)
#define INTERVAL_MS_MAX ((int64_t)1 << 40)

static struct reply reply_with_status(enum reply_status status)
{
	return (struct reply){.status = status};
}

/* Jobs. */

/// Finds the queue of a call and the job id that follows its prefix.
static const job_queue *find_queue(const struct manager *m, const struct call *call,
				   const char **id)
{
	return call->host && call->path ? jobs_route(m->jobs, call->host, call->path, id) : NULL;
}

static struct job *find_job(const struct manager *m, const job_queue *q, const char *id)
{
	struct job *job = jobs_find(m->jobs, id);

	return job && g_str_equal(job->image.spec.queue, q->key) ? job : NULL;
}

static const char *name_of(const job_account *account)
{
	return account ? account->name : "";
}

/// Finds the account of a call.
///
/// @param[out] account  NULL: none, which an open queue allows
/// @return false if the queue needs a key and the call has none that is valid
static bool authorize(const struct manager *m, const struct call *call, const job_queue *q,
		      const job_account **account)
{
	gsize len = 0;
	const void *key = call->key ? g_bytes_get_data(call->key, &len) : NULL;

	*account = access_find_by_key(m->jobs, key, len);
	if (*account || access_is_open(m->jobs, q) ||
	    !(m->settings.has_accounts || m->jobs->access.accounts.accounts_len))
		return true;
	log_info("request refused: its key belongs to no account", "QUEUE", q->key, "HAS_KEY",
		 len ? "yes" : "no", "CONFIG", log_number(m->jobs->config.config_version));
	return false;
}

/// @return the job, or NULL if there is none that the account may see
static const struct job *find_visible_job(const struct manager *m, const job_queue *q,
					  const char *id, const job_account *account)
{
	const struct job *job = find_job(m, q, id);

	return job && (access_is_open(m->jobs, q) || !access_is_hidden(m->jobs, job, account))
		       ? job
		       : NULL;
}

static bool job_spec_is_valid(const job_spec *spec)
{
	uint64_t tasks = 0;

	if (!spec->steps.steps_len)
		return false;
	for (u_int s = 0; s < spec->steps.steps_len; s++) {
		const job_step *step = &spec->steps.steps_val[s];

		tasks += step->count;
		if (!step->count || step->count > JOB_TASKS_MAX)
			return false;
		for (u_int i = 0; i < step->after.after_len; i++)
			if (step->after.after_val[i] >= s)
				return false;
	}
	return tasks * MAX(spec->occurrences, 1) <= JOB_TASKS_MAX &&
	       spec->first_wall_ms <= WALL_MS_MAX && spec->interval_ms <= INTERVAL_MS_MAX;
}

static bool job_id_is_valid(const char *id)
{
	return *id && strlen(id) <= SW_NAME_MAX && !strchr(id, '/') && !strchr(id, '.');
}

/// Answers a request to submit a job whose id is known.
static struct reply submit_known(const struct job *known)
{
	if (!known)
		return reply_with_status(REPLY_INVALID);
	if (!job_is_tombstone(known))
		return reply_with_status(REPLY_OK);
	log_info("job refused: it was cancelled before it arrived", "JOB", known->image.spec.id);
	return reply_with_status(REPLY_UNKNOWN_JOB);
}

/// Removes the tombstone of another account or queue, which has cancelled another job of that id.
static void replace_tombstone(struct manager *m, const char *id)
{
	sw_name ids[] = {(char *)id};
	job_command c = {.type = JOB_COMMAND_FORGET,
			 .job_command_u.forget.ids = {.ids_len = 1, .ids_val = ids}};

	if (jobs_find(m->jobs, id))
		effects_propose(m, &c);
}

static struct reply submit(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, struct call *call)
{
	const char *id = "";
	const job_queue *q = find_queue(m, call, &id);
	const job_account *account;
	job_command c = {.type = JOB_COMMAND_ACCEPT};
	const struct job *known;
	struct job *job;
	bool beyond_weight;
	uint32_t retry_after_s;

	if (!q)
		return reply_with_status(m->jobs->config.config_version ? REPLY_NOT_FOUND
									: REPLY_UNAVAILABLE);
	if (!authorize(m, call, q, &account))
		return reply_with_status(REPLY_UNAUTHORIZED);
	if (!job_id_is_valid(id))
		return reply_with_status(REPLY_INVALID);
	known = find_visible_job(m, q, id, account);
	job = jobs_find(m->jobs, id);
	if (known || (job && !job_is_tombstone(job)))
		return submit_known(known);
	if (!job_spec_is_valid(&call->spec))
		return reply_with_status(REPLY_INVALID);
	if (m->jobs->bytes + job_estimate_bytes(&call->spec) > JOBS_BYTES_MAX) {
		log_info("job refused because the state is full", "JOB", id, "STATE_BYTES",
			 log_number(m->jobs->bytes));
		return (struct reply){.status = REPLY_BUSY, .retry_after_s = STATE_FULL_RETRY_S};
	}
	codec_set_string(&call->spec.id, id);
	codec_set_string(&call->spec.queue, q->key);
	codec_set_string(&call->spec.pool, q->pool);
	call->spec.max_attempts = q->max_attempts;
	call->spec.accepted_wall_ms = wall_ms;
	beyond_weight = account && !accounts_has_token(m, now, account->name);
	if (!admission_admit(m, now, &call->spec, q, name_of(account), beyond_weight,
			     &retry_after_s))
		return (struct reply){.status = REPLY_BUSY, .retry_after_s = retry_after_s};
	replace_tombstone(m, id);
	if (account) {
		c.type = JOB_COMMAND_ACCEPT_FOR;
		c.job_command_u.accept_for = (job_accept_for){
			.spec = call->spec,
			.account = account->name,
			.beyond_weight = !accounts_take_token(m, now, account->name)};
	} else {
		c.job_command_u.accept = call->spec;
	}
	if (!effects_propose(m, &c))
		return reply_with_status(REPLY_INVALID);
	job = jobs_find(m->jobs, id);
	g_ptr_array_add(m->active, job);
	m->backlog.beyond_weight += job->beyond_weight;
	/* Work that a cap keeps from starting needs no machines. */
	if (!accounts_is_at_cap(accounts_of(m, job)))
		pools_record_accepted_job(m, now, job);
	log_info("job accepted", "JOB", id, "QUEUE", q->key, "ACCOUNT", name_of(account), "CONFIG",
		 log_number(m->jobs->config.config_version));
	return reply_with_status(REPLY_OK);
}

static struct reply read_job(const struct manager *m, const struct call *call)
{
	const char *id = "";
	const job_queue *q = find_queue(m, call, &id);
	const job_account *account;
	const struct job *job;

	if (!q)
		return reply_with_status(m->jobs->config.config_version ? REPLY_NOT_FOUND
									: REPLY_UNAVAILABLE);
	if (!authorize(m, call, q, &account))
		return reply_with_status(REPLY_UNAUTHORIZED);
	if (!*id)
		return (struct reply){.content = REPLY_WAITING_COUNT,
				      .u.waiting = schedule_count_waiting(m, q->key)};
	job = find_visible_job(m, q, id, account);
	if (!job || job_is_tombstone(job))
		return reply_with_status(REPLY_UNKNOWN_JOB);
	return (struct reply){.content = REPLY_JOB_PHASE, .u.phase = job->image.phase};
}

/// Answers the cancelling of a job that is not known. The answer tells the caller that the job will
/// not run, but a request to submit it may still be on its way, through an entry that stood still
/// or as a copy sent to the next leader. The answer waits until the tombstone is committed.
static struct reply cancel_unknown(struct manager *m, int64_t wall_ms, const job_queue *q,
				   const char *id, const job_account *account)
{
	job_spec spec = {
		.id = (char *)id,
		.queue = q->key,
		.pool = q->pool,
		.payload = (char *)"",
		.accepted_wall_ms = wall_ms,
	};
	job_command c = {.type = JOB_COMMAND_ACCEPT, .job_command_u.accept = spec};
	const struct job *other = jobs_find(m->jobs, id);

	/* A job of another account or queue keeps the id for itself; a tombstone does not. */
	if (!job_id_is_valid(id) || (other && !job_is_tombstone(other)))
		return reply_with_status(REPLY_UNKNOWN_JOB);
	if (other || m->jobs->tombstones >= TOMBSTONES_MAX ||
	    m->jobs->bytes + job_estimate_bytes(&spec) > JOBS_BYTES_MAX) {
		log_info("cancelling of an unknown job refused: it cannot be remembered", "JOB", id,
			 "TOMBSTONES", log_number(m->jobs->tombstones), "STATE_BYTES",
			 log_number(m->jobs->bytes));
		return (struct reply){.status = REPLY_BUSY, .retry_after_s = STATE_FULL_RETRY_S};
	}
	if (account)
		c = (job_command){
			.type = JOB_COMMAND_ACCEPT_FOR,
			.job_command_u.accept_for = {.spec = spec, .account = account->name}};
	if (!effects_propose(m, &c))
		return reply_with_status(REPLY_UNAVAILABLE);
	log_info("unknown job cancelled; requests to submit it are refused", "JOB", id);
	return reply_with_status(REPLY_UNKNOWN_JOB);
}

static struct reply cancel(struct manager *m, clock_ms_t wall_ms, const struct call *call)
{
	const char *id = "";
	const job_queue *q = find_queue(m, call, &id);
	const job_account *account;
	const struct job *job;
	job_command c = {
		.type = JOB_COMMAND_CANCEL,
		.job_command_u.cancel = {.id = (char *)id, .at_wall_ms = wall_ms},
	};

	if (!q)
		return reply_with_status(m->jobs->config.config_version ? REPLY_NOT_FOUND
									: REPLY_UNAVAILABLE);
	if (!authorize(m, call, q, &account))
		return reply_with_status(REPLY_UNAUTHORIZED);
	job = find_visible_job(m, q, id, account);
	if (!job)
		return cancel_unknown(m, wall_ms, q, id, account);
	if (job_is_tombstone(job))
		return reply_with_status(REPLY_UNKNOWN_JOB);
	/* Tasks of a failed job may run on until it is cancelled. */
	if (!job_has_ended(job) || (job->image.phase == JOB_FAILED && job->assigned)) {
		effects_propose(m, &c);
		log_info("job cancelled", "JOB", id);
	}
	return reply_with_status(REPLY_OK);
}

/* Configuration. */

static struct reply config_put(struct manager *m, clock_ms_t now, const struct call *call)
{
	job_command c = {.type = JOB_COMMAND_CONFIG, .job_command_u.config = call->config};

	uint64_t before = m->jobs->config.config_version;

	if (call->has_access) {
		c.type = JOB_COMMAND_CONFIG_ACCESS;
		c.job_command_u.config_access = (job_config_access){call->config, call->access};
	}

	if (call->config.config_version <= before)
		return reply_with_status(REPLY_OK);
	if (!effects_propose(m, &c))
		return reply_with_status(REPLY_INVALID);
	accounts_configure(m, now);
	log_info("configuration accepted", "VERSION", log_number(call->config.config_version),
		 "BEFORE", log_number(before), "ACCOUNTS",
		 log_number(call->access.accounts.accounts_len));
	m->round_wanted = true; /* limits of accounts may have been raised */
	return reply_with_status(REPLY_OK);
}

/// Replies that wait for a commit share one copy of the document.
static struct reply config_read(struct manager *m)
{
	const job_config *config = &m->jobs->config;

	if (!config->config_version)
		return reply_with_status(REPLY_UNAVAILABLE);
	if (m->document_version != config->config_version) {
		g_clear_pointer(&m->document, g_bytes_unref);
		m->document =
			g_bytes_new(config->document.sw_blob_val, config->document.sw_blob_len);
		m->document_version = config->config_version;
	}
	return (struct reply){
		.content = REPLY_DOCUMENT,
		.u.document = g_bytes_ref(m->document),
	};
}

/* Waves. */

static struct reply wave_put(struct manager *m, clock_ms_t wall_ms, struct call *call)
{
	job_command c = {.type = JOB_COMMAND_WAVE};

	if (jobs_wave(m->jobs, call->wave.number))
		return reply_with_status(REPLY_OK);
	if (m->jobs->waves->len >= WAVES_MAX)
		return reply_with_status(REPLY_UNAVAILABLE);
	call->wave.due_wall_ms = wall_ms + (int64_t)call->wave_s * 1000;
	c.job_command_u.wave = call->wave;
	if (!effects_propose(m, &c))
		return reply_with_status(REPLY_INVALID);
	log_info("wave accepted", "WAVE", log_number(call->wave.number), "MACHINES",
		 log_number(call->wave.machines.machines_len), "CAP", log_number(call->wave.cap));
	return reply_with_status(REPLY_OK);
}

static struct reply wave_read(const struct manager *m, const struct call *call)
{
	const job_wave *wave = jobs_wave(m->jobs, call->wave.number);

	if (!wave)
		return reply_with_status(REPLY_NOT_FOUND);
	return (struct reply){.content = REPLY_WAVE, .u.wave_complete = waves_is_complete(wave)};
}

void calls_handle(struct manager *m, clock_ms_t now, clock_ms_t wall_ms, uint64_t token,
		  struct call *call)
{
	struct reply reply = reply_with_status(REPLY_INVALID);

	switch (call->type) {
	case CALL_SUBMIT:
		reply = submit(m, now, wall_ms, call);
		if (reply.status != REPLY_BUSY || !m->admission)
			break;
		/* A refusal acknowledges nothing that is replicated. */
		effects_reply_at_once(m, token, reply);
		return;
	case CALL_JOB_READ:
		reply = read_job(m, call);
		break;
	case CALL_CANCEL:
		reply = cancel(m, wall_ms, call);
		break;
	case CALL_CONFIG_PUT:
		reply = config_put(m, now, call);
		break;
	case CALL_CONFIG_READ:
		reply = config_read(m);
		break;
	case CALL_HEARTBEAT:
		if (!endpoint_heartbeat_is_plausible(&call->heartbeat)) {
			log_info("heartbeat with an implausible number refused", "ENDPOINT",
				 call->heartbeat.id, "ADDRESS", call->heartbeat.address);
			break;
		}
		incarnations_handle_heartbeat(m, now, &call->heartbeat);
		reply = (struct reply){.content = REPLY_CONTROL_ADDRESS};
		/* Starts ordered so far leave before a draining endpoint is acknowledged. */
		if (call->heartbeat.draining)
			break;
		/* What a heartbeat tells is not replicated. If its answer waited for commits, an
		 * endpoint would send it again to a leader that lags. */
		effects_reply_at_once(m, token, reply);
		return;
	case CALL_DEREGISTER:
		incarnations_handle_deregistration(m, now, &call->heartbeat);
		reply = reply_with_status(REPLY_OK);
		break;
	case CALL_WAVE_PUT:
		reply = wave_put(m, wall_ms, call);
		break;
	case CALL_WAVE_READ:
		reply = wave_read(m, call);
		break;
	case CALL_INVALID:
		log_info("invalid request refused", "REASON", call->error ? call->error : "");
		break;
	case CALL_UNKNOWN_PATH:
		reply = reply_with_status(REPLY_NOT_FOUND);
		break;
	}
	effects_reply(m, token, reply);
}
