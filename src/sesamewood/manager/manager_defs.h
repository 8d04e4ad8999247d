#ifndef SESAMEWOOD_MANAGER_MANAGER_DEFS_H
#define SESAMEWOOD_MANAGER_MANAGER_DEFS_H

/// @file
/// What goes into the job manager and what comes out of it: calls with their replies, orders to
/// endpoints and to the machine service with their results. Names and formats on the wire are
/// an adapter's (manager/wire.h).

#include "base/clock.h"
#include "jobs/jobs.h"

/* Calls to the manager. */

enum call_type {
	CALL_SUBMIT,	  ///< hand in a job
	CALL_JOB_READ,	  ///< state of a job, or of its queue when the id is empty
	CALL_CANCEL,	  ///< cancel a job
	CALL_CONFIG_PUT,  ///< replace the configuration
	CALL_CONFIG_READ, ///< read the configuration
	CALL_HEARTBEAT,	  ///< an endpoint's report of itself
	CALL_DEREGISTER,  ///< an endpoint's last word
	CALL_WAVE_PUT,	  ///< order a maintenance wave
	CALL_WAVE_READ,	  ///< state of a wave
	CALL_INVALID,	  ///< can't be read
	CALL_UNKNOWN_PATH ///< no such path
};

/// What an endpoint says of itself.
struct endpoint_heartbeat {
	char *id;
	int64_t incarnation_wall_ms; ///< tells lives of one id apart; 0: not said
	char *address;
	char *pool;
	char *zone;
	char *machine; ///< "" when not said
	GPtrArray *labels;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	bool draining;
	uint32_t cold_ms;  ///< how much longer it works slowly
	uint64_t sequence; ///< rises within one life
	int64_t clock_ms;  ///< its own steady clock; -1: not said
};

/// That an endpoint whose report the leader knows has reported the same again.
struct short_heartbeat {
	char *id;
	int64_t incarnation_wall_ms;
	uint64_t sequence;
	int64_t clock_ms;
	uint32_t cold_ms;
	uint32_t age_ms; ///< since then
};

/// A decoded call. Release with call_clear().
struct call {
	enum call_type type;
	char *host;			  ///< submit, job, cancel
	char *path;			  ///< submit, job, cancel: queue prefix and job id
	job_spec spec;			  ///< submit: payload and steps
	job_config config;		  ///< config_put
	struct endpoint_heartbeat report; ///< announce, leave
	job_wave wave;			  ///< wave_put, wave_read (number only)
	uint32_t wave_s;		  ///< wave_put: seconds until it must be complete
	char *fault;			  ///< invalid: why
};

enum reply_status {
	REPLY_OK,
	REPLY_INVALID,
	REPLY_NOT_FOUND,   ///< no such queue
	REPLY_UNKNOWN_JOB, ///< no such job
	REPLY_BUSY,	   ///< refused: not run, come again later
	REPLY_UNAVAILABLE, ///< not done here and now
};

enum reply_content {
	REPLY_EMPTY,
	REPLY_JOB_PHASE,
	REPLY_WAITING_COUNT,
	REPLY_DOCUMENT,
	REPLY_WAVE,
	REPLY_CONTROL_ADDRESS,
};

struct reply {
	enum reply_status status;
	uint32_t retry_after_s; ///< with REPLY_BUSY and REPLY_UNAVAILABLE; 0: not said
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
	ORDER_STATUS_QUERY, ///< extend the lease, take ends, list what runs
	ORDER_PACE,	    ///< let an attempt work at a share of its speed
	ORDER_ADVISE,	    ///< ask which endpoints may run a step
	ORDER_MACHINE_LIST,
	ORDER_MACHINE_MOVE,
	ORDER_MACHINE_MAINTENANCE,
};

struct order {
	uint64_t id;
	enum order_type type;
	char *address;	///< of the endpoint; NULL for services of the platform
	char *instance; ///< endpoint id that must answer, or NULL
	uint32_t timeout_ms;
	uint64_t fencing_token;
	char *task; ///< name of the task; advise: name of the step
	uint32_t attempt;
	char *payload;		///< start
	char *checkpoint;	///< start: "" for none
	char *ticket;		///< start: "" for none
	int64_t lease_until_ms; ///< start, look: end of the lease on the endpoint's clock
	uint64_t ack_through;	///< look
	uint32_t wait_ms;	///< look: answer when an end comes, or then
	uint32_t percent;	///< pace
	GPtrArray *instances;	///< advise: ids
	char *machine;		///< machine orders
	char *pool;		///< machine move
	uint64_t wave;		///< machine upkeep
	char *holder;		///< machine orders
	char *page;		///< machine list: "" for the first
	bool direct;		///< the leader sends it itself
	clock_ms_t not_after;	///< not sent later than this
};

enum order_status {
	ORDER_OK,
	ORDER_NOT_SENT,		   ///< certainly not executed
	ORDER_NO_ANSWER,	   ///< may have been executed, or may be later
	ORDER_FENCED,		   ///< a higher fencing_token was seen
	ORDER_SUPERSEDED,	   ///< an equal or higher attempt was stopped or ended there
	ORDER_LEASE_EXPIRED,	   ///< its lease had ended
	ORDER_NO_CAPACITY,	   ///< it does not fit
	ORDER_INVALID_TICKET,	   ///< the ticket is not valid
	ORDER_WRONG_INSTANCE,	   ///< another endpoint answers at the address
	ORDER_TRY_LATER,	   ///< refused for now, nothing done
	ORDER_REJECTED,		   ///< refused for good, nothing done
	ORDER_MACHINE_BUSY,	   ///< the machine is not up
	ORDER_MACHINE_NOT_IN_WAVE, ///< the machine does not belong there
};

/// One attempt that runs at an endpoint.
struct running_attempt {
	char *task;
	uint32_t attempt;
	char *checkpoint;
	uint32_t percent; ///< of its work; of a lasting task: 100 when at work
	int64_t usage;	  ///< tail of response times, ms, of a task that serves; else cpu in use
};

enum attempt_outcome {
	ATTEMPT_DONE,
	ATTEMPT_FAILED,
	ATTEMPT_INTERRUPTED, ///< stopped, lapsed, broken or left alone
};

struct completion_record {
	uint64_t number;
	char *task;
	uint32_t attempt;
	enum attempt_outcome how;
	char *checkpoint;
};

enum machine_state {
	MACHINE_UP,
	MACHINE_MOVING,
	MACHINE_MAINTENANCE,
	MACHINE_DOWN,
};

struct machine_row {
	char *machine;
	char *pool;
	enum machine_state state;
	char *endpoint;
};

struct advice_row {
	char *instance;
	char *ticket;
};

/// Result of an order. Lists hold plain rows and are empty when the order has none.
struct order_result {
	uint64_t id;
	enum order_status status;
	int64_t clock_ms;	     ///< the endpoint's clock, -1: not said
	int64_t incarnation_wall_ms; ///< the endpoint's life, 0: not said
	GArray *runs;		     ///< struct running_attempt
	GArray *ends;		     ///< struct completion_record
	GArray *machines;	     ///< struct machine_row
	GArray *advice;		     ///< struct advice_row
	uint32_t valid_ms;	     ///< advice
	char *next_page;	     ///< machine list, NULL: none
};

/* Effects. */

enum effect_type {
	EFFECT_PROPOSE, ///< append the command to the replicated log
	EFFECT_REPLY,	///< answer a call, once all that was proposed before is committed
	EFFECT_ORDER,	///< send an order, once all that was proposed before is committed
};

struct effect {
	enum effect_type type;
	union {
		GBytes *command; ///< encoded sw_command
		struct {
			uint64_t token;
			struct reply reply;
		} reply;
		struct order *order;
	} u;
};

void call_clear(struct call *c);
void endpoint_heartbeat_clear(struct endpoint_heartbeat *a);
void order_free(struct order *o);

/// Tells whether an order has waited for too long to be sent: what it permits may have lapsed.
bool order_is_stale(const struct order *o, clock_ms_t now);

struct order_result *order_result_new(uint64_t id, enum order_status status);
void order_result_free(struct order_result *r);
void effect_free(void *effect);

/// @return whether a result is sure that the order has had no effect and will have none
bool order_had_no_effect(enum order_status status);

#endif
