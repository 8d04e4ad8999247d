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
	clock_ms_t at_work_at;	///< lasting task: since when percent is 100; 0: it is not
	/* Pace. */
	uint32_t pace;
	uint32_t pace_wanted;
	bool pace_in_flight;
};

/// Processor, memory and accelerators.
struct room {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t gpu;
};

struct endpoint {
	char *id;
	int64_t incarnation_wall_ms;
	char *address;
	uint32_t address_hash; ///< spares comparing addresses that differ
	char *pool;
	char *zone;
	char *machine;
	GPtrArray *labels;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	uint32_t number; ///< life number in the job state, 0: none yet
	bool announced;	 ///< it has reported to this leader; if not, it gets no new work
	bool draining;
	bool left;
	bool gone; ///< certainly over: nothing runs there
	uint64_t sequence;
	clock_ms_t heard_at;
	clock_ms_t cold_until;
	/* Its clock and lease. */
	int64_t clock_ms; ///< as it was at or after clock_at, -1: unknown
	clock_ms_t clock_at;
	int64_t lease_until_ms; ///< end of the longest lease that any order may have given
	/* Looks. */
	bool looking;
	clock_ms_t over_at; ///< when its end became known; 0: it has not
	bool fenced;	    ///< it has seen this leader's fencing_token
	bool must_fence; ///< a later life under its id: late orders to the earlier one must meet a
			 ///< fencing_token
	uint32_t
		lives; ///< later lives under its id that this leader saw; part of the fencing_token
	clock_ms_t look_at;   ///< not before then
	clock_ms_t looked_at; ///< last answered look
	uint64_t taken;	      ///< number of the last end that was proposed
	uint64_t acked;	      ///< number up to which ends were acknowledged
	uint32_t misses;      ///< calls in a row without an answer
	clock_ms_t avoid_until;
	char *failed_job;     ///< of the latest counted failure, or NULL
	uint32_t failures;    ///< tasks of different jobs that failed here since one was done
	clock_ms_t attend_at; ///< its attempts are seen to then
	GPtrArray *runs;      ///< of struct run, borrowed; change by endpoint_add_run() and its kin
	struct room used;     ///< by the runs
	unsigned int serving; ///< runs with a response time target
	unsigned int filling; ///< runs that fill
	unsigned int lasting; ///< runs that last
	bool ending;	      ///< its machine was ordered to go down
	clock_ms_t proves_from; ///< a report after this proves that it has not; 0: none does
	bool capacity_changed;	///< its room has changed since the last placement round
	int room_index;		///< among its pool's candidates, -1: it is none
	struct pool_room *room; ///< of the pool where it is a candidate
	bool cordoned;		///< kept free for a maintenance wave
	clock_ms_t cordoned_at;
};

struct endpoint *endpoint_new(const char *id);
void endpoint_free(void *e);
void run_free(void *r);

/// Takes over what an endpoint_heartbeat says, within one life.
void endpoint_update(struct endpoint *e, const struct endpoint_heartbeat *a, clock_ms_t now);

/// Notes a reading of the endpoint's clock, taken not later than @p now.
void endpoint_note_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t now);

/// @return about what its clock says now, or -1 when unknown
int64_t endpoint_clock(const struct endpoint *e, clock_ms_t now);

/// Tells whether every lease that it may hold has certainly ended.
bool endpoint_lease_over(const struct endpoint *e, clock_ms_t now);

/// Counts an attempt in, or out. One that is being stopped still counts.
void endpoint_add_run(struct endpoint *e, struct run *r);
void endpoint_remove_run(struct endpoint *e, struct run *r);

/// @return room that is free
struct room endpoint_free_room(const struct endpoint *e);

/// Tells whether the endpoint carries a label, its rack or its kind.
bool endpoint_has_label(const struct endpoint *e, const char *label);

/// Tells whether two endpoints share a rack, as far as their labels tell.
bool endpoint_same_rack(const struct endpoint *a, const struct endpoint *b);

#endif
