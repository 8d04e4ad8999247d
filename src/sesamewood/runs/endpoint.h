#ifndef SESAMEWOOD_RUNS_ENDPOINT_H
#define SESAMEWOOD_RUNS_ENDPOINT_H

/// @file
/// What the leader believes of one endpoint and of the attempts it was given.

#include "manager/manager_defs.h"

#define FORGET_ENDPOINT_MS 30000 /* silent for so long, and nothing runs there */

/// How far an attempt's order is known to have come. An attempt takes room at its endpoint until
/// it is known that it neither runs nor ever will.
enum run_state {
	RUN_ORDERED,   ///< the start has not been answered
	RUN_CONFIRMED, ///< the endpoint said that it runs
	RUN_INHERITED, ///< ordered by an earlier leader
	RUN_IN_DOUBT,  ///< the start got no answer: stopped, unless a look shows that it runs
};

struct run {
	char *name; ///< task name: job.occurrence.step.index
	job_task_ref ref;
	const struct job *job; ///< outlives the attempt: a job with attempts out is not forgotten
	uint32_t attempt;
	struct endpoint *endpoint;
	enum run_state state;
	bool stop_wanted;
	bool stop_in_flight;
	clock_ms_t stopped_at;	 ///< when the endpoint acknowledged the stop; 0: it has not
	clock_ms_t stop_sent_at; ///< 0: no stop has been sent
	clock_ms_t stop_at;	 ///< not before then is a stop sent (again)
	/* What it takes and is. */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	bool persistent;
	bool fills;
	bool gang;
	uint32_t target_ms;
	uint32_t estimate_ms;
	/* What the endpoint said. */
	uint32_t percent;
	char *checkpoint;
	int64_t usage;
	uint64_t listed_by; ///< the last look that listed it
	clock_ms_t started_at;
	clock_ms_t progress_at; ///< when percent last rose
	clock_ms_t ready_since; ///< lasting task: since when percent is 100; 0: it is not
	/* Pace. */
	uint32_t pace;
	uint32_t pace_wanted;
	bool pace_in_flight;
};

/// Processor, memory and accelerators.
struct resources {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t gpu;
};

struct endpoint {
	char *id;
	int64_t born_wall_ms;
	char *address;
	uint32_t address_hash; ///< spares comparing addresses that differ
	char *pool;
	char *zone;
	char *machine;
	GPtrArray *labels;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	uint32_t number;    ///< life number in the job state, 0: none yet
	bool has_heartbeat; ///< it has reported to this leader; if not, it gets no new work
	bool draining;
	bool deregistered;
	bool terminated; ///< certainly over: nothing runs there
	uint64_t sequence;
	clock_ms_t last_heartbeat_at;
	clock_ms_t cold_until;
	/* Its clock and lease. */
	int64_t clock_ms; ///< as it was at or after clock_at, -1: unknown
	clock_ms_t clock_at;
	int64_t lease_until_ms; ///< end of the longest lease that any order may have given
	/* Looks. */
	bool status_query_open;
	clock_ms_t terminated_at; ///< when its end became known; 0: it has not
	bool fenced;		  ///< it has seen this leader's fence
	bool needs_fencing; ///< a later life under its id: late orders to the earlier one must meet
			    ///< a fence
	uint32_t lives;	    ///< later lives under its id that this leader saw; part of the fence
	clock_ms_t next_status_at; ///< not before then
	clock_ms_t last_status_at; ///< last answered look
	uint64_t last_completion;  ///< number of the last end that was proposed
	uint64_t acked_completion; ///< number up to which ends were acknowledged
	uint32_t unanswered_calls; ///< calls in a row without an answer
	clock_ms_t quarantined_until;
	char *failed_job;	  ///< of the latest counted failure, or NULL
	uint32_t failures;	  ///< tasks of different jobs that failed here since one was done
	clock_ms_t next_check_at; ///< its attempts are seen to then
	GPtrArray *runs; ///< of struct run, borrowed; change by endpoint_add_run() and its kin
	struct resources used;		///< by the runs
	unsigned int latency_sensitive; ///< runs with a response time target
	unsigned int best_effort;	///< runs that fill
	unsigned int long_running;	///< runs that last
	bool shutdown_ordered;		///< its machine was ordered to go down
	clock_ms_t alive_proof_after; ///< a report after this proves that it has not; 0: none does
	bool touched;		      ///< its room has changed since the last placement round
	int candidate_index;	      ///< among its pool's candidates, -1: it is none
	struct pool_capacity *pool_capacity; ///< of the pool where it is a candidate
	bool cordoned;			     ///< kept free for a maintenance wave
	clock_ms_t cordoned_at;
};

struct endpoint *endpoint_new(const char *id);
void endpoint_free(void *e);
void run_free(void *r);

/// Takes over what an announcement says, within one life.
void endpoint_update(struct endpoint *e, const struct announcement *a, clock_ms_t now);

/// Notes a reading of the endpoint's clock, taken not later than @p now.
void endpoint_record_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t now);

/// @return about what its clock says now, or -1 when unknown
int64_t endpoint_clock_now_ms(const struct endpoint *e, clock_ms_t now);

/// Tells whether every lease that it may hold has certainly ended.
bool endpoint_lease_has_ended(const struct endpoint *e, clock_ms_t now);

/// Counts an attempt in, or out. One that is being stopped still counts.
void endpoint_add_run(struct endpoint *e, struct run *r);
void endpoint_remove_run(struct endpoint *e, struct run *r);

/// @return room that is free
struct resources endpoint_free_capacity(const struct endpoint *e);

/// Tells whether the endpoint carries a label, its rack or its kind.
bool endpoint_has_label(const struct endpoint *e, const char *label);

/// Tells whether two endpoints share a rack, as far as their labels tell.
bool endpoint_same_rack(const struct endpoint *a, const struct endpoint *b);

#endif
