#ifndef SESAMEWOOD_MANAGER_MANAGER_DEFS_H
#define SESAMEWOOD_MANAGER_MANAGER_DEFS_H

/// @file
/// Inputs and outputs of the job manager: API calls with their replies, and orders to endpoints
/// and to the machine service with their results. Wire names and formats are defined by an
/// adapter (manager/wire.h).

#include "base/clock.h"
#include "jobs/jobs.h"

/* API calls. */

enum call_type {
	CALL_SUBMIT,	  ///< submit a job
	CALL_JOB_READ,	  ///< read the state of a job, or of its queue if the job id is empty
	CALL_CANCEL,	  ///< cancel a job
	CALL_CONFIG_PUT,  ///< replace the configuration
	CALL_CONFIG_READ, ///< read the configuration
	CALL_HEARTBEAT,	  ///< heartbeat of an endpoint
	CALL_DEREGISTER,  ///< deregistration of an endpoint
	CALL_WAVE_PUT,	  ///< create a maintenance wave
	CALL_WAVE_READ,	  ///< read the state of a maintenance wave
	CALL_INVALID,	  ///< the request cannot be decoded
	CALL_UNKNOWN_PATH ///< no handler for the path
};

/// Full heartbeat of an endpoint: its identity, location and capacity. Release with
/// endpoint_heartbeat_clear().
struct endpoint_heartbeat {
	char *id;
	int64_t incarnation_wall_ms; ///< start time of the incarnation, unique
				     ///< per id; 0: unknown
	char *address;
	char *pool;
	char *zone;
	char *machine; ///< "" if unknown
	GPtrArray *labels;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	bool draining;
	uint32_t cold_ms;  ///< remaining time of its cold start, during which it runs slowly
	uint64_t sequence; ///< increases within one incarnation
	int64_t clock_ms;  ///< its monotonic clock; -1: unknown
};

/// Heartbeat of an endpoint that repeats what the leader already knows; carries only the values
/// that change with each heartbeat.
struct short_heartbeat {
	char *id;
	int64_t incarnation_wall_ms;
	uint64_t sequence;
	int64_t clock_ms;
	uint32_t cold_ms;
	uint32_t age_ms; ///< time since the replica received it
	uint64_t digest; ///< endpoint_heartbeat_digest() of the full heartbeat that it repeats
};

/// A decoded API request. The comment of a field names the types that set it. Release with
/// call_clear().
struct call {
	enum call_type type;
	char *host;			     ///< submit, job_read, cancel
	char *path;			     ///< submit, job_read, cancel: queue prefix and job id
	GBytes *key;			     ///< submit, job_read, cancel: access key, or NULL
	job_spec spec;			     ///< submit: payload and steps
	job_config config;		     ///< config_put
	job_access access;		     ///< config_put: accounts and open queues
	bool has_access;		     ///< config_put: access is set
	struct endpoint_heartbeat heartbeat; ///< heartbeat, deregister: content of the heartbeat
	job_wave wave;			     ///< wave_put, wave_read (number only)
	uint32_t wave_s; ///< wave_put: time until the wave must be complete, seconds
	char *error;	 ///< invalid: validation error
};

enum reply_status {
	REPLY_OK,
	REPLY_INVALID,	    ///< malformed, or in conflict with an accepted job
	REPLY_NOT_FOUND,    ///< no such queue, wave or path
	REPLY_UNKNOWN_JOB,  ///< no such job
	REPLY_UNAUTHORIZED, ///< the key belongs to no account
	REPLY_BUSY,	    ///< refused without effect; the caller retries later
	REPLY_UNAVAILABLE,  ///< cannot be served now, no effect
};

enum reply_content {
	REPLY_EMPTY,
	REPLY_JOB_PHASE,       ///< u.phase
	REPLY_WAITING_COUNT,   ///< u.waiting: jobs of the queue that have not begun
	REPLY_DOCUMENT,	       ///< u.document: the configuration
	REPLY_WAVE,	       ///< u.wave_complete
	REPLY_CONTROL_ADDRESS, ///< address for further heartbeats
};

struct reply {
	enum reply_status status;
	uint32_t retry_after_s; ///< with REPLY_BUSY and REPLY_UNAVAILABLE; 0: no Retry-After
	enum reply_content content;
	union {
		job_phase phase;
		uint32_t waiting;
		GBytes *document;
		bool wave_complete;
	} u;
};

/* Orders. */

enum order_type {
	ORDER_START,	    ///< start one attempt
	ORDER_STOP,	    ///< stop one attempt
	ORDER_STATUS_QUERY, ///< extend the lease, collect completions, list running attempts
	ORDER_PACE,	    ///< set the execution rate of an attempt
	ORDER_ADVISE,	    ///< ask which endpoints may run a step
	ORDER_MACHINE_LIST,
	ORDER_MACHINE_MOVE,
	ORDER_MACHINE_MAINTENANCE,
};

struct order {
	uint64_t id;
	enum order_type type;
	char *address;	     ///< of the endpoint; NULL for platform services
	char *instance;	     ///< id that the answering endpoint must have, or NULL
	uint32_t timeout_ms; ///< time after which it counts as unanswered
	uint64_t fencing_token;
	char *task; ///< task name; advise: step name
	uint32_t attempt;
	char *payload;		///< start: payload of the job
	char *checkpoint;	///< start: "" for none
	char *ticket;		///< start: "" for none
	int64_t lease_until_ms; ///< start, status query: lease end on the endpoint's clock
	uint64_t ack_through;	///< status query: highest completion number acknowledged
	uint32_t wait_ms;	///< status query: longest wait for a completion before the answer
	uint32_t percent;	///< pace: execution rate
	GPtrArray *instances;	///< advise: endpoint ids
	char *machine;		///< machine orders
	char *pool;		///< machine move
	uint64_t wave;		///< machine maintenance
	char *holder;		///< machine orders
	char *page;		///< machine list: "" for the first
	bool direct;		///< sent by the leader, never by an agent
	bool is_repeat;		///< an earlier copy has had no answer yet; for the metrics
	clock_ms_t not_after;	///< the order is dropped if not sent by this time
};

enum order_status {
	ORDER_OK,
	ORDER_NOT_SENT,	      ///< not sent, so certainly not executed
	ORDER_NO_ANSWER,      ///< not answered; it may have been or may still be executed
	ORDER_FENCED,	      ///< the receiver has seen a higher fencing token
	ORDER_SUPERSEDED,     ///< an equal or higher attempt has stopped or ended at the endpoint
	ORDER_LEASE_EXPIRED,  ///< its lease had expired
	ORDER_NO_CAPACITY,    ///< the endpoint lacks free capacity
	ORDER_INVALID_TICKET, ///< the placement ticket is not valid
	ORDER_WRONG_INSTANCE, ///< another endpoint has taken the address
	ORDER_TRY_LATER,      ///< refused temporarily, no effect
	ORDER_REJECTED,	      ///< refused permanently, no effect
	ORDER_MACHINE_BUSY,   ///< the machine is not in state up
	ORDER_MACHINE_NOT_IN_WAVE, ///< the machine does not belong to the wave or pool it was
				   ///< ordered for
};

/// One attempt that runs at an endpoint.
struct running_attempt {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent; ///< work done; long-running task: 100 if it is ready
	int64_t usage;	  ///< latency-sensitive task: tail latency, ms; others: cpu in use
};

enum attempt_outcome {
	ATTEMPT_DONE,
	ATTEMPT_FAILED,
	ATTEMPT_INTERRUPTED, ///< stopped, lease expired, endpoint failed or abandoned
};

/// An attempt that ended and whose completion the leader has not acknowledged yet.
struct completion_record {
	uint64_t number; ///< increases within one incarnation of the endpoint
	char *task;
	uint32_t attempt;
	enum attempt_outcome outcome;
	char *checkpoint;
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN,
};

/// One machine in the answer to a machine list order.
struct machine_row {
	char *machine;
	char *pool;
	enum machine_state state;
	char *endpoint;
};

/// One endpoint that may run the step of an advise order.
struct advice_row {
	char *instance;
	char *ticket;
};

/// Result of an order. The lists are never NULL; those that the order type lacks are empty.
struct order_result {
	uint64_t id;
	enum order_status status;
	/// Nothing listens at the receiver's address; known only for orders that this replica sent
	/// itself.
	bool refused;
	int64_t clock_ms;	     ///< the endpoint's monotonic clock, -1: unknown
	int64_t incarnation_wall_ms; ///< start time of the endpoint's incarnation, 0: unknown
	GArray *runs;		     ///< struct running_attempt
	GArray *completions;	     ///< struct completion_record
	GArray *machines;	     ///< struct machine_row
	GArray *advice;		     ///< struct advice_row
	uint32_t valid_ms;	     ///< advice: validity of the tickets
	char *next_page;	     ///< machine list: token of the next page, or NULL
};

/* Effects. */

enum effect_type {
	EFFECT_PROPOSE, ///< append the command to the replicated log
	EFFECT_REPLY,	///< reply to a call, by default once all commands proposed before it are
			///< committed
	EFFECT_ORDER,	///< send an order once all commands proposed before it are committed
};

struct effect {
	enum effect_type type;
	union {
		GBytes *command; ///< encoded sw_command
		struct {
			uint64_t token;
			bool at_once; ///< acknowledges nothing that is replicated
			struct reply reply;
		} reply;
		struct order *order;
	} u;
};

/// Frees the contents of a call and zeroes it.
void call_clear(struct call *c);

/// Frees the contents of a heartbeat and zeroes it.
void endpoint_heartbeat_clear(struct endpoint_heartbeat *hb);

/// Largest capacity of one endpoint, and longest rest of a cold start. A heartbeat with more names
/// no endpoint: work would be planned for room that is not there.
#define ENDPOINT_CPU_MILLI_MAX 4096000
#define ENDPOINT_MEM_MB_MAX (64 * 1024 * 1024)
#define ENDPOINT_GPU_MAX 4096
#define ENDPOINT_COLD_MS_MAX 600000
/// Largest start time, sequence number and clock reading: the largest whole number that JSON
/// numbers hold exactly. Sums of a few of them do not overflow.
#define ENDPOINT_NUMBER_MAX ((int64_t)1 << 53)

/// Returns whether the numbers of a heartbeat are within the limits above.
bool endpoint_heartbeat_is_plausible(const struct endpoint_heartbeat *hb);

/// Returns a copy of a heartbeat; release with endpoint_heartbeat_clear() and g_free().
struct endpoint_heartbeat *endpoint_heartbeat_copy(const struct endpoint_heartbeat *hb);

/// Returns a digest of the content that does not change with each heartbeat.
uint64_t endpoint_heartbeat_digest(const struct endpoint_heartbeat *hb);

/// Frees an order; @p o may be NULL.
void order_free(struct order *o);

/// Returns whether an order is past its not_after time and must not be sent any more, because a
/// lease or validity that it refers to may have expired.
bool order_is_stale(const struct order *o, clock_ms_t now);

/// Returns a result with empty lists. Release with order_result_free().
struct order_result *order_result_new(uint64_t id, enum order_status status);
void order_result_free(struct order_result *r);

/// Frees a struct effect and what it holds; fits GDestroyNotify.
void effect_free(void *effect);

/// Returns whether a status proves that the order had no effect and will have none.
bool order_had_no_effect(enum order_status status);

#endif
