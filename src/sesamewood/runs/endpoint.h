#ifndef SESAMEWOOD_RUNS_ENDPOINT_H
#define SESAMEWOOD_RUNS_ENDPOINT_H

/// @file
/// The leader's view of one endpoint and of the attempts assigned to it.

#include "manager/manager_defs.h"

/// An endpoint without attempts is forgotten after this time without a heartbeat.
#define FORGET_ENDPOINT_MS 30000

/// Longest time from sending an order to its execution; observed: 12 s.
#define LATE_ORDER_MAX_MS 15000

/// State of an attempt as known to this leader. In all states the attempt occupies capacity at its
/// endpoint: it is released once it is certain that it neither runs nor will ever run.
enum run_state {
	RUN_ORDERED,   ///< a copy of its start order is in flight
	RUN_CONFIRMED, ///< the start was accepted, or the attempt was listed; only a list tells
		       ///< which incarnation runs it
	RUN_INHERITED, ///< ordered by an earlier leader, not listed yet
	RUN_IN_DOUBT,  ///< no copy of its start was accepted, but one may have been or may still be
		       ///< executed: the attempt is stopped unless a status query lists it
};

/// Images of ended attempts that are remembered by attempt; see sched/interference.h.
#define RUN_BESIDE_MAX 4

/// One attempt at a task.
struct run {
	char *name; ///< task name: job.occurrence.step.index
	job_task_ref ref;
	struct job *job; ///< borrowed; a job with assigned attempts is not forgotten
	uint32_t attempt;
	struct endpoint *endpoint;
	struct account_use *counted_in; ///< changed only by sched/accounts.c
	enum run_state state;		///< changed only by attempts_set_state()
	/// How the attempt's end is recorded if it is released without a completion; set when its
	/// endpoint ends unexpectedly.
	job_attempt_end_cause loss;
	/// Nothing but the attempt is known that may have caused the loss of its endpoint.
	bool loss_is_own;
	bool suspected;	   ///< its task was starting when an earlier endpoint crashed
	bool last_trial;   ///< its task is given up for the next loss: nothing else starts
			   ///< at its endpoint until it has run for long
	bool inherited;	   ///< ordered by an earlier leader
	bool not_executed; ///< its start order was refused for reaching another incarnation
	/* The copies of its start order; see runs_start(). An earlier leader's are unknown. */
	uint32_t starts_sent;
	uint32_t starts_open;	      ///< of these, in flight
	uint32_t starts_lost;	      ///< of these, ended without an answer
	bool start_is_executed;	      ///< a copy was answered as executed
	bool listed_before;	      ///< some incarnation has listed the attempt
	clock_ms_t ordered_at;	      ///< when the first copy was sent
	clock_ms_t start_sent_at;     ///< when the latest copy was sent
	clock_ms_t start_not_after;   ///< latest time to send a copy
	int64_t start_lease_until_ms; ///< lease that the first copy grants
	char *ticket;
	bool stop_wanted;	 ///< the attempt is to be stopped
	bool stop_in_flight;	 ///< a stop order is in flight
	clock_ms_t stopped_at;	 ///< when the endpoint acknowledged the stop; 0: it has not
	clock_ms_t stop_sent_at; ///< 0: no stop has been sent
	clock_ms_t stop_at;	 ///< earliest time to send a stop, or to send it again
	/* Resources and kind, copied from struct job_step. */
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	bool long_running;
	bool best_effort;
	bool gang;
	uint32_t target_ms;
	uint32_t estimate_ms;
	/* Reported by the endpoint; see struct running_attempt. */
	uint32_t percent;
	char *checkpoint;
	int64_t usage;
	uint64_t listed_by;  ///< order id of the last status query that listed the attempt; 0: the
			     ///< endpoint's present incarnation has not listed it
	uint64_t completion; ///< number of the record that reported its end; 0: none has
	clock_ms_t completion_age_ms; ///< time since the status query that returned it was sent
	clock_ms_t started_at;
	/// When the answer arrived that confirmed the attempt: a status query sent before may have
	/// been executed before the attempt started.
	clock_ms_t confirmed_at;
	/// When percent last changed, or the attempt was started or first listed. Long-running
	/// task: also when it was last listed as ready.
	clock_ms_t progress_at;
	clock_ms_t ready_since; ///< long-running task: when percent reached 100; 0: it is below, or
				///< its lease may end before a lost answer is noticed
	/* Execution rate, percent. */
	uint32_t pace; ///< acknowledged by the endpoint
	uint32_t pace_wanted;
	bool pace_in_flight; ///< a pace order is in flight
	/* Used by sched/interference.c. */
	uint64_t image_key; ///< of the image; 0: it has none
	bool started_cold;  ///< its endpoint was in its cold start, in which it runs slowly
	struct {
		uint64_t image_key;
		clock_ms_t ms;	  ///< time that attempts of the image shared with this one
	} beside[RUN_BESIDE_MAX]; ///< attempts that have ended
	clock_ms_t latency_sampled_at;
};

/// An attempt that was released when its endpoint fell silent. The loss counts against its task if
/// the endpoint proves to have ended, and not if it answers again.
struct lost_attempt {
	job_task_ref ref;
	uint32_t attempt;
	bool is_own; ///< see struct run
};

/// Why it is known that an endpoint has ended.
enum endpoint_end {
	ENDPOINT_END_EXPECTED,	///< it was ordered or announced, or the endpoint has not ended
	ENDPOINT_END_RESTARTED, ///< a later incarnation uses its id
	ENDPOINT_END_REPLACED,	///< another incarnation uses its address
	ENDPOINT_END_SILENT,	///< its leases have expired: it has crashed or is only unreachable
};

/// An amount of processor, memory and accelerators.
struct resources {
	int64_t cpu_milli;
	int64_t mem_mb;
	int64_t gpu;
};

/// One endpoint in its latest known incarnation.
struct endpoint {
	char *id;
	int64_t incarnation_wall_ms;
	char *address;
	uint32_t address_hash; ///< speeds up comparisons of addresses
	char *pool;
	char *zone;
	char *machine;
	GPtrArray *labels;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpu;
	uint32_t number;    ///< incarnation number in the job state; 0: not registered
	bool has_heartbeat; ///< this leader has received a heartbeat; without one it gets no new
			    ///< work
	bool draining;
	bool deregistered;
	clock_ms_t deregistered_at;
	/// When a call that was sent after its deregistration found that nothing listens at its
	/// address; 0: none has, or it has answered since.
	clock_ms_t refused_at;
	bool terminated;	    ///< certainly terminated: it runs no attempt
	uint64_t sequence;	    ///< of the latest heartbeat
	int64_t heartbeat_clock_ms; ///< its clock reading; -1: none
	uint64_t digest;	    ///< of the latest full heartbeat
	clock_ms_t last_heartbeat_at;
	clock_ms_t last_alive_at; ///< latest heartbeat or answer of this incarnation; 0: none
	/// Time by which it had ended or was cut off, as a call was not answered; holds if it is
	/// later than last_alive_at.
	clock_ms_t silent_by;
	clock_ms_t cold_until; ///< end of its cold start, during which it runs slowly
	/* Clock and lease. */
	int64_t clock_ms; ///< steady clock reading, taken no later than clock_at; -1: unknown
	clock_ms_t clock_at;
	int64_t report_offset_ms; ///< reading of its clock in the latest report of its content,
				  ///< less the time of arrival
	int64_t lease_end_ms; ///< latest end of any lease that an order made for this incarnation
			      ///< may have granted, on the endpoint's clock
	clock_ms_t known_since;	  ///< orders sent before this time may have been made by an earlier
				  ///< leader or for an earlier incarnation; lease_end_ms leaves
				  ///< out the leases that they granted
	clock_ms_t leased_at;	  ///< when the last status query was sent that granted a lease and
				  ///< was answered
	clock_ms_t lease_sent_by; ///< when all orders so far that grant a lease were sent
	/* Status queries and completions. */
	bool status_query_open;	   ///< the latest status query, or its repeat, is in flight
	uint64_t status_query;	   ///< order id of the latest status query
	uint64_t status_repeat;	   ///< order id of its repeat; 0: none was sent
	clock_ms_t status_sent_at; ///< when the latest status query was sent
	uint32_t status_wait_ms;   ///< its wait
	clock_ms_t questioned_at;  ///< when a heartbeat last claimed that this incarnation has
				   ///< ended; 0: no claim is open
	clock_ms_t verified_at;	   ///< when the latest query was sent that a claim called for
	uint64_t verification;	   ///< order id of that query, sent beside an open status query
	/// Latest heartbeat of a later incarnation under the same id that is not verified yet, or
	/// NULL.
	struct endpoint_heartbeat *announced;
	clock_ms_t announced_at;  ///< when it arrived
	clock_ms_t terminated_at; ///< when its termination became known; 0: not terminated
	clock_ms_t lost_at;	  ///< when its latest incarnation that ended unexpectedly was last
				  ///< alive; 0: none
	GPtrArray *lost;	  ///< of struct lost_attempt; owned
	GPtrArray *ended_under;	  ///< names of the tasks at its latest loss; owned
	bool end_is_explained;	  ///< by an attempt there; see suspects_explain_end()
	enum endpoint_end end;	  ///< how its termination became known
	bool fenced;		  ///< it has seen this leader's fencing token
	bool needs_fencing; ///< a later incarnation uses its id: late orders for the earlier one
			    ///< must be rejected by a fencing token
	uint32_t restart_count;	   ///< restarts under its id that this leader has seen; part of the
				   ///< fencing token
	clock_ms_t next_status_at; ///< earliest time of the next status query
	clock_ms_t last_status_at; ///< last answered status query
	/// Until then a start of an attempt that is no longer tracked may be executed late. It must
	/// not reach a later incarnation that knows no fencing token, so status queries go on.
	clock_ms_t late_start_until;
	uint64_t last_completion;    ///< number of the last completion record that was proposed
	uint64_t acked_completion;   ///< completion records up to this number are acknowledged
	clock_ms_t answered_sent_at; ///< when the latest call that was answered was sent; 0: none
	/// Consecutive calls without an answer that were sent later than any answered call. While
	/// there are any, the endpoint gets no new work, but is probed.
	uint32_t unanswered_calls;
	clock_ms_t unanswered_at; ///< when the latest of them counted as unanswered
	clock_ms_t quarantined_until;
	char *failed_job;	   ///< of the latest counted failure, or NULL
	uint32_t failures;	   ///< failures of different jobs since the last success
	clock_ms_t next_check_at;  ///< next check of its attempts
	clock_ms_t next_repeat_at; ///< next check for starts to repeat; CLOCK_NEVER: none is due
	GPtrArray *runs;       ///< of struct run, borrowed; changed only by endpoint_add_run() and
			       ///< endpoint_remove_run()
	struct resources used; ///< by the attempts
	unsigned int latency_sensitive;	   ///< attempts with a response time target
	unsigned int best_effort;	   ///< best-effort attempts
	unsigned int long_running;	   ///< long-running attempts
	bool shutdown_ordered;		   ///< a move or maintenance of its machine was ordered
	clock_ms_t alive_proof_after;	   ///< a heartbeat after this time proves that the endpoint
					   ///< survived the order; 0: unset
	clock_ms_t next_unassigned_log_at; ///< earliest time to log an unassigned attempt again
	bool capacity_changed; ///< its capacity has changed since the last placement round
	int candidate_index;   ///< index among its pool's candidates; -1: not a candidate
	struct pool_capacity *pool_capacity; ///< pool in which it is a candidate
	bool cordoned;			     ///< kept free for a maintenance wave
	clock_ms_t cordoned_at;
};

/// @return a new endpoint without attempts, owned by the caller; release with endpoint_free()
struct endpoint *endpoint_new(const char *id);

/// Frees a struct endpoint; fits GDestroyNotify.
void endpoint_free(void *e);

/// Frees a struct run; fits GDestroyNotify.
void run_free(void *r);

/// Applies a heartbeat of the present incarnation.
void endpoint_update(struct endpoint *e, const struct endpoint_heartbeat *hb, clock_ms_t now);

/// Keeps a heartbeat of a later incarnation until it is verified; frees the one kept before.
///
/// @param hb  copied; NULL: only frees
void endpoint_set_announced(struct endpoint *e, const struct endpoint_heartbeat *hb);

/// Records a reading of the endpoint's clock, taken no later than @p now.
void endpoint_record_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t now);

/// Corrects the estimate of the endpoint's clock by its answer to a call that was sent at
/// @p sent_at, and bounds the latest lease end by it. A heartbeat of another writer may have given
/// a false reading, after which the endpoint's own heartbeats seem to be old.
///
/// @param lease_max_ms  the endpoint truncates longer leases to this
/// @return true if the estimate was false
bool endpoint_correct_clock(struct endpoint *e, int64_t clock_ms, clock_ms_t sent_at,
			    clock_ms_t now, clock_ms_t lease_max_ms);

/// Tells whether a heartbeat of the present incarnation is older than the latest one. A later
/// reading of a steady clock proves that it is not, whatever the sequence numbers say.
bool endpoint_is_old_heartbeat(const struct endpoint *e, uint64_t sequence, int64_t clock_ms);

/// Records when the endpoint reported its present content, from the reading of its clock in the
/// heartbeat (-1: unknown) and the time of arrival.
void endpoint_record_report(struct endpoint *e, int64_t clock_ms, clock_ms_t arrived_at);

/// Tells whether later readings of the endpoint's clock show that the report of its content was
/// delayed for long, so that the content may have changed since.
bool endpoint_report_was_delayed(const struct endpoint *e);

/// @return estimated present reading of the endpoint's clock, ms, or -1 when unknown
int64_t endpoint_clock_now_ms(const struct endpoint *e, clock_ms_t now);

/// @return true if every lease that the endpoint may hold has certainly ended
bool endpoint_lease_has_ended(const struct endpoint *e, clock_ms_t now);

/// Adds an attempt and its resources. An attempt that is being stopped still counts.
void endpoint_add_run(struct endpoint *e, struct run *r);

/// Removes an attempt and its resources.
void endpoint_remove_run(struct endpoint *e, struct run *r);

/// Notes an attempt that is released because the endpoint is silent.
void endpoint_add_lost(struct endpoint *e, const struct run *r);

/// @return capacity that is not in use
struct resources endpoint_free_capacity(const struct endpoint *e);

/// @return true if the endpoint has the label; its kind and its rack are labels
bool endpoint_has_label(const struct endpoint *e, const char *label);

/// @return true if two endpoints share a rack, or if the rack of one is unknown
bool endpoint_same_rack(const struct endpoint *a, const struct endpoint *b);

#endif
