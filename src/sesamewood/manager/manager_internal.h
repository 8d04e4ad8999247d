#ifndef SESAMEWOOD_MANAGER_MANAGER_INTERNAL_H
#define SESAMEWOOD_MANAGER_MANAGER_INTERNAL_H

/// @file
/// State of the job manager and its internal functions. Dependencies go one way: manager.c and
/// calls.c use runs/, sched/ and effects.c; runs/ and sched/ use effects.c.

#include "manager/manager.h"
#include "runs/endpoint.h"
#include "runs/repeat_budget.h"
#include "sched/cooldown.h"
#include "sched/order_budget.h"

struct manager {
	struct manager_settings settings;
	struct jobs *jobs; ///< with all committed and proposed commands applied
	uint64_t term;
	clock_ms_t leader_since;	  ///< start of this leadership
	clock_ms_t wall_offset_ms;	  ///< wall clock minus steady clock; 0: not known yet
	GPtrArray *effects;		  ///< struct effect emitted since manager_take_effects()
	GBytes *document;		  ///< configuration as it was last read, or NULL
	uint64_t document_version;	  ///< of it
	uint64_t next_order;		  ///< id of the latest order
	GHashTable *endpoints;		  ///< struct endpoint by id
	GHashTable *terminated_endpoints; ///< terminated endpoints that run nothing, by id: kept a
					  ///< while for late heartbeats and answers, never iterated
					  ///< by passes
	GHashTable *runs;		  ///< struct run by task name; owned
	GHashTable *orders;		  ///< struct pending_order by order id; owned
	GHashTable *advice;		  ///< struct advice by step name; owned
	unsigned int advice_requests_open; ///< requests for placement advice without a result
	GHashTable *ratios; ///< uint32_t, run time ratio in percent, by "queue|step|image"; owned
	struct accounts *accounts;   ///< use and limits of client accounts
	GPtrArray *active;	     ///< struct job that has not ended or has attempts assigned
	GHashTable *pool_capacities; ///< struct pool_capacity by pool; owned
	clock_ms_t capacities_rebuild_at; ///< when pool_capacities is rebuilt next
	GPtrArray *capacity_changed;	  ///< endpoints whose free capacity changed since the last
					  ///< placement round
	clock_ms_t round_gap_ms;	  ///< least time between placement rounds
	clock_ms_t next_round_at;	  ///< earliest start of the next placement round
	clock_ms_t round_due_at;	  ///< latest start of the next placement round
	clock_ms_t next_endpoint_pass_at; ///< next pass over the endpoints
	GHashTable *due_machines;	  ///< names of machines with maintenance pending
	GHashTable *relocating;		  ///< names of tasks that are being moved from due machines
	struct admission *admission;	  ///< NULL: no admission control
	struct interference *interference; ///< NULL: tasks are not placed apart by image
	struct overload *overload;	   ///< memory of refusals, borrowed; NULL: none
	uint64_t start_cost_us;		   ///< of the event loop's time; 0: not measured
	bool round_wanted; ///< a change since the last placement round may allow another placement
	bool fenced_off;   ///< a receiver has seen a higher fencing token
	clock_ms_t lag_ms; ///< age of the oldest input or commit not processed
	clock_ms_t last_lag_at;		 ///< when the replica last lagged behind its input
	clock_ms_t next_cleanup_at;	 ///< next purge of ended jobs and terminated endpoints
	clock_ms_t next_wave_pass_at;	 ///< next evaluation of the maintenance waves
	GHashTable *machines;		 ///< struct machine by name; owned
	GHashTable *arriving;		 ///< struct arrivals by pool; owned
	uint32_t max_machine_cpu_milli;	 ///< of the largest machine seen so far
	uint32_t max_machine_mem_mb;	 ///< the same for memory
	bool list_in_flight;		 ///< a machine list order is in flight
	clock_ms_t next_list_at;	 ///< next machine list order
	clock_ms_t next_pool_pass_at;	 ///< next evaluation of the pools
	clock_ms_t demand_seen_at;	 ///< when this leader accepted its first job of bounded
					 ///< run time; 0: none yet
	clock_ms_t pool_shortage_at;	 ///< when a pool last needed more machines
	clock_ms_t next_shortage_log_at; ///< earliest time to log pools without enough machines
	clock_ms_t odd_heartbeat_log_at; ///< earliest time to log another ignored heartbeat
	/// Count of losses that are not confirmed yet, by task name; see struct lost_attempt.
	GHashTable *unconfirmed_losses;
	GHashTable *failed_at;	   ///< id of the endpoint where a task failed last, by task name
	struct cooldown *cooldown; ///< recent machine orders, of earlier leaders as well
	struct order_budget order_budget;   ///< of machine orders
	struct repeat_budget repeat_budget; ///< of repeated starts and status queries
	GHashTable *endpoint_by_machine;    ///< struct endpoint by machine, rebuilt before each use
	GHashTable *maintenance_by_machine; ///< struct maintenance by machine; owned
	GHashTable *ready_counts;	    ///< count of ready long-running tasks by job_step_state
	struct manager_backlog backlog;
	struct manager_wave_progress wave_progress;
	clock_ms_t next_wave_log_at; ///< earliest time to log again that a wave may be late
	bool ready_counts_valid;     ///< ready_counts is current for this evaluation of the waves
};

/// An order in flight: what its result is applied to.
struct pending_order {
	uint64_t id;
	enum order_type type;
	char *endpoint;		     ///< endpoint id, or NULL
	int64_t incarnation_wall_ms; ///< incarnation that the order was sent to
	char *task;		     ///< task name; advise: step name
	uint32_t attempt;
	char *machine;
	uint64_t wave;
	clock_ms_t sent_at;
	uint32_t wait_ms; ///< status query: the endpoint may hold the answer back for this time
	int64_t lease_until_ms; ///< lease that it grants; 0: none
	uint64_t ack_through;
	uint32_t percent;
};

/* effects.c */

/// Applies a command to the manager's state and proposes it.
///
/// @return false if a text exceeds the limit of the log record: nothing has changed, and what the
/// command stands for must not be acknowledged or sent
bool effects_propose(struct manager *m, const job_command *command);

/// Emits the reply to the call of a token. Takes ownership of what @p reply holds.
void effects_reply(struct manager *m, uint64_t token, struct reply reply);

/// The same for a reply that acknowledges nothing that is replicated, and waits for no commit.
void effects_reply_at_once(struct manager *m, uint64_t token, struct reply reply);

/// Assigns id and fencing token to an order, records it as in flight and emits it. Takes
/// ownership of @p order.
///
/// @param e receiving endpoint; NULL for platform services
void effects_send_order(struct manager *m, clock_ms_t now, struct order *order, struct endpoint *e,
			const char *machine, uint64_t wave);

/// Marks the free capacity of an endpoint as changed: the next placement round recomputes it.
void manager_mark_capacity_changed(struct manager *m, struct endpoint *e);

/// Records in the replicated log that an order for a machine follows, then sends the order. Takes
/// ownership of @p order.
void effects_send_machine_order(struct manager *m, clock_ms_t now, struct order *order,
				uint64_t wave);

#endif
