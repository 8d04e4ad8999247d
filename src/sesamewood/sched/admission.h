#ifndef SESAMEWOOD_SCHED_ADMISSION_H
#define SESAMEWOOD_SCHED_ADMISSION_H

/// @file
/// Admission control: refuses jobs that cannot end in time to be useful, so that accepted work is
/// not queued behind them. The decision is a pure function on figures that each pass over the
/// pools measures and each admitted job updates. Design: docs/design/hard-load.md.

#include "manager/manager_internal.h"

/// An amount of processor and memory, of machines or in use.
struct admission_capacity {
	int64_t cpu_milli;
	int64_t mem_mb;
};

/// Work by processor and by memory.
struct admission_work {
	int64_t core_us; ///< core-microseconds
	int64_t mb_ms;	 ///< megabyte-milliseconds
};

/// Supply and use of one pool, from the pass over the pools.
struct admission_supply {
	struct admission_capacity now;	///< of endpoints that take work
	struct admission_capacity more; ///< of machines that arrive or may be moved to the pool
	struct admission_capacity held; ///< used by long-running tasks
	struct admission_capacity used; ///< used by all other tasks
};

/// What a decision is based on: the state of a pool as it is for one job.
struct admission_figures {
	bool known;	   ///< the pool has been measured and has endpoints that take work
	clock_ms_t age_ms; ///< since the pool was measured
	struct admission_capacity now;	  ///< without what long-running tasks hold
	struct admission_capacity more;	  ///< arrives or may be moved to the pool
	clock_ms_t more_in_ms;		  ///< time until then
	struct admission_capacity in_use; ///< by tasks that run or are ready
	struct admission_work first;	  ///< waiting work that always goes before the job
	struct admission_work on_time;	  ///< waiting work of its class that can end in time
	struct admission_work late;	  ///< waiting work of its class that cannot
	int64_t unready_core_us;	  ///< part of first and on_time whose steps wait for others
	int64_t release_ms;		  ///< mean time until that part can be started
	uint32_t served_percent;    ///< work started of what the pool could do; 0: not measured
	int64_t arriving_cpu_milli; ///< mean rate of admitted work that goes before late work
	bool owed_waits;	    ///< work within the weights of accounts waits for room
	clock_ms_t lag_ms;	    ///< of the leader
	uint64_t start_cost_us;	    ///< of the leader's time; 0: not measured
	uint32_t ready_tasks;	    ///< of the pool, which the leader has yet to start
};

/// A job to decide on.
struct admission_job {
	struct admission_work work;
	int64_t first_core_us;		 ///< part of it that is ready at once
	struct admission_capacity width; ///< used by the tasks that are ready at once
	int64_t chain_ms;		 ///< longest chain of steps
	int64_t objective_ms;		 ///< with the stretch for its chain; 0: none
	int64_t queue_objective_ms;	 ///< without it
	bool beyond_weight;
	bool exempt; ///< long-running, or with occurrences
};

enum admission_result {
	ADMISSION_ROOM,		 ///< admitted: free room
	ADMISSION_ROOM_ARRIVES,	 ///< admitted: machines that can be moved to the pool give room
	ADMISSION_IN_TIME,	 ///< admitted: it can end in time
	ADMISSION_USEFUL,	 ///< admitted: it can end within its useful time
	ADMISSION_EXEMPT,	 ///< admitted whatever waits
	ADMISSION_UNKNOWN,	 ///< admitted: figures are missing or old
	ADMISSION_TOO_LATE,	 ///< refused: it would end past its useful time
	ADMISSION_BEYOND_WEIGHT, ///< refused: it would wait while owed work waits
};

struct admission_verdict {
	enum admission_result result;
	int64_t expected_end_ms;
	int64_t useful_ms;
	int64_t ahead_core_us; ///< work ahead of the job
	int64_t room_in_ms;    ///< refused: time until it would be admitted
	int64_t slot_ms;       ///< time that the pool needs for the job's work
};

/// Decides whether to admit a job. A pure function.
struct admission_verdict admission_decide(const struct admission_figures *f,
					  const struct admission_job *job);

/// @return true if the result is a refusal
bool admission_is_refusal(enum admission_result result);

struct admission;

/// @return a state without figures, owned by the caller; release with admission_free()
struct admission *admission_new(void);
void admission_free(struct admission *a);

/// Takes over the supply of a pool from the pass over the pools.
void admission_set_supply(struct manager *m, const char *pool, const struct admission_supply *s);

/// Measures the waiting work of all pools. Called once in each pass over the pools, after
/// admission_set_supply() for each of them.
void admission_measure(struct manager *m, clock_ms_t now, clock_ms_t wall_ms);

/// Decides on a submitted job, logs and remembers a refusal, and counts an admitted job in the
/// figures of its pool.
///
/// @param spec	     with id, queue and pool set
/// @param account	     name, or ""
/// @param[out] retry_after_s set if the job is refused
/// @return false if the job is refused
bool admission_admit(struct manager *m, clock_ms_t now, const job_spec *spec,
		     const job_queue *queue, const char *account, bool beyond_weight,
		     uint32_t *retry_after_s);

#endif
