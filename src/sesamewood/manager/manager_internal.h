#ifndef SESAMEWOOD_MANAGER_MANAGER_INTERNAL_H
#define SESAMEWOOD_MANAGER_MANAGER_INTERNAL_H

/// @file
/// State of the job manager, and the functions that its parts call in each other. Calls go one
/// way: manager.c and calls.c use runs/, sched/ and emit.c; runs/ and sched/ use emit.c.

#include "manager/manager.h"
#include "runs/endpoint.h"

struct manager {
	struct manager_settings settings;
	struct jobs *jobs; ///< committed and proposed commands applied
	uint64_t term;
	clock_ms_t since;
	GPtrArray *effects;
	uint64_t next_order;
	GHashTable *endpoints; ///< struct endpoint by id
	GHashTable
		*terminated_endpoints; ///< those that are gone and run nothing, by id: kept a while
				       ///< for reports and answers that come late, and never walked
	GHashTable *runs;	       ///< struct run by task name; owned
	GHashTable *orders;	       ///< struct pending by order id; owned
	GHashTable *advice;	       ///< struct advice by step name; owned
	GHashTable *ratios;	       ///< struct ratio by queue, step and image; owned
	GPtrArray *active;	       ///< of struct job, not over or with attempts out
	GHashTable
		*pool_capacities; ///< struct pool_room by pool, see sched/pool_capacities.h; owned
	clock_ms_t capacities_rebuild_at; ///< they are made anew then
	GPtrArray *capacity_changed;	  ///< endpoints whose room has changed since the last round
	clock_ms_t round_gap_ms;
	clock_ms_t next_round_at;	  ///< no placement round before then
	clock_ms_t round_due_at;	  ///< a placement round is due then at the latest
	clock_ms_t next_endpoint_pass_at; ///< next pass over the endpoints
	GHashTable *due_machines;	  ///< names of machines with upkeep before them
	bool dirty;			  ///< something changed that may let work be placed
	bool fenced_off;
	clock_ms_t last_lag_at; ///< when the replica was last known to be behind
	clock_ms_t next_cleanup_at;
	clock_ms_t next_wave_pass_at;	///< next look at the waves
	GHashTable *machines;		///< struct machine by name; owned
	GHashTable *arriving;		///< work that arrives in a ms, double, by pool; owned
	uint32_t max_machine_cpu_milli; ///< of the largest machine seen
	bool listing;			///< a machine list is on its way
	clock_ms_t next_list_at;
	clock_ms_t next_pool_pass_at; ///< next look at the pools
	GHashTable *failed_at;	      ///< id of the endpoint where a task failed last, by task name
	GHashTable *cooldown_machines;	 ///< names of machines that the leader before ordered about
					 ///< lately
	GArray *machine_order_times;	 ///< clock_ms_t of own latest machine orders, oldest first
	GHashTable *endpoint_by_machine; ///< struct endpoint by machine, made anew before each use
	GHashTable *maintenance_by_machine; ///< struct upkeep by machine; owned
	GHashTable *ready_counts;	    ///< count of lasting tasks at work by job_step_state
	bool ready_counts_valid;	    ///< ready_counts holds for this look at the waves
};

/// What an order in flight was for.
struct pending {
	uint64_t id;
	enum order_type type;
	char *endpoint;		     ///< id, or NULL
	int64_t incarnation_wall_ms; ///< life that it was sent to
	char *task;		     ///< task name, or step name of an advice call
	uint32_t attempt;
	char *machine;
	uint64_t wave;
	clock_ms_t sent_at;
	uint64_t ack_through;
	uint32_t percent;
};

/* emit.c */

/// Applies a command to the manager's state and proposes it.
void effects_propose(struct manager *m, const job_command *command);
void effects_reply(struct manager *m, uint64_t token, struct reply reply);
/// Sends an order and keeps note of it.
void effects_send_order(struct manager *m, clock_ms_t now, struct order *order, struct endpoint *e,
			const char *machine, uint64_t wave);

/// Notes that an endpoint's room changed: the next placement round takes it anew.
void manager_mark_capacity_changed(struct manager *m, struct endpoint *e);

/// Notes in the log that a machine is ordered about, then sends the order.
void effects_send_machine_order(struct manager *m, clock_ms_t now, struct order *order,
				uint64_t wave);

/// Tells whether the leader before may have ordered something of a machine so lately that this one
/// has to wait.
bool manager_machine_in_cooldown(const struct manager *m, const char *machine, clock_ms_t now);

#endif
