#ifndef SESAMEWOOD_TESTS_FLEET_MODEL_H
#define SESAMEWOOD_TESTS_FLEET_MODEL_H

/// @file
/// Simulates the endpoints, the machine service and the replicated log around the job manager.
/// Executes the manager's orders with injected loss and delay, and checks the manager's
/// invariants at the endpoints. No I/O; the caller advances the clock.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

extern "C" {
#include "manager/manager.h"
}

namespace model
{

/// Thrown when the manager breaks a rule that the model checks, such as running a task twice.
struct RuleViolation : std::runtime_error {
	using std::runtime_error::runtime_error;
};

/// The attempt ends together with the other members of its gang.
constexpr clock_ms_t kWithGang = CLOCK_NEVER - 1;

/// An attempt that an endpoint executes.
struct RunningAttempt {
	std::string task;
	uint32_t attempt = 0;
	clock_ms_t started_at = 0;
	/// CLOCK_NEVER for long-running tasks, kWithGang for members of a gang.
	clock_ms_t ends_at = 0;
	bool will_fail = false;
	/// When it crashes its endpoint; CLOCK_NEVER: never.
	clock_ms_t crashes_at = CLOCK_NEVER;
};

/// An attempt that ended and that the leader has not acknowledged yet.
struct CompletionRecord {
	uint64_t number;
	std::string task;
	uint32_t attempt;
	attempt_outcome outcome;
	clock_ms_t ended_at;
	/// The endpoint's lease expired after the attempt ended. The leader may already have
	/// started the task elsewhere, so its acknowledgement does not forbid another start.
	bool lease_lapsed;
};

/// Largest capacity of an endpoint.
constexpr uint32_t kCpu = 8000;
constexpr uint32_t kMem = 64000;

/// Start time in heartbeats of another writer: later than any incarnation's.
constexpr int64_t kForeignIncarnation = 1000000000;

/// From a crash until the next incarnation is up.
constexpr clock_ms_t kRestartMs = 3000;

struct Endpoint {
	std::string id, address, pool, machine;
	/// Identifies the incarnation; the model uses a counter instead of a wall-clock time.
	int64_t incarnation_wall_ms = 0;
	uint32_t cpu = kCpu, mem = kMem;
	/// Capacity that the leader may still count on after it shrank, until the endpoint has been
	/// in touch with a leader for another `shrink_notice_ms` on end.
	uint32_t allowed_cpu = kCpu, allowed_mem = kMem;
	clock_ms_t shrink_notice_ms = 0;
	bool up = true, draining = false;
	/// When the first heartbeat of this incarnation with `draining` set was sent, or 0.
	clock_ms_t drain_reported_at = 0;
	/// The machine is down, for maintenance or to move, until this time.
	clock_ms_t down_until = 0;
	/// The machine is down for maintenance until this time.
	clock_ms_t maintenance_until = 0;
	/// Partitioned from the leader: sends no heartbeats and answers no orders, but goes on
	/// executing its attempts until its lease expires.
	bool cut = false;
	/// Behind a partition in one direction: its heartbeats and deregistration arrive, calls to
	/// it do not. It goes on executing its attempts until its lease expires.
	bool deaf = false;
	/// When a process that has said that it leaves ends; CLOCK_NEVER: it has not said so.
	clock_ms_t leaves_at = CLOCK_NEVER;
	/// No process listens at the address, and the host refuses connections until this time.
	clock_ms_t refuses_until = 0;
	/// Sends no heartbeats until this time, but executes orders.
	clock_ms_t silent_until = 0;
	/// Clock of the endpoint minus the clock of the model.
	clock_ms_t clock_offset_ms = 0;
	/// How far its clock falls behind, from the model's start.
	clock_ms_t clock_slow_percent = 0;
	/// An order was executed that the leader made for this incarnation, not for an earlier one
	/// with the same id.
	bool executed_current_order = false;
	uint64_t fencing_token = 0, sequence = 0, next_completion_number = 1;
	/// End of the lease on the endpoint's clock.
	int64_t lease_until_ms = 0;
	/// By task name.
	std::map<std::string, RunningAttempt> running;
	std::vector<CompletionRecord> completions;
	/// By task name: highest attempt that ended or that a stop order named. Start orders up to
	/// it are refused.
	std::map<std::string, uint32_t> highest_ended_attempt;
};

/// Faults that the model injects; percentages are chances for each order or attempt.
struct FaultInjection {
	/// Orders whose answer is lost, half of which are executed, and heartbeats that are lost.
	int lost_percent = 0;
	/// Orders executed 1.5 to 6.5 s late and whose answer is lost, and heartbeats that arrive
	/// that late.
	int late_percent = 0;
	/// Attempts that fail at the end of their execution time.
	int task_fail_percent = 0;
	/// Heartbeats of which a copy, held up by another replica, reaches the leader 0.3 to 10 s
	/// later.
	int repeated_heartbeat_percent = 0;
	/// Connections to cut endpoints are not established, so that orders to them count as not
	/// sent; otherwise they count as unanswered.
	bool unreachable = false;
};

/// The placement policy of all queues, and the advisor that knows it.
struct PlacementPolicy {
	/// Machines of its pool on which a step may run; 0: there is no policy.
	unsigned int allowed = 0;
	/// Time of a decision, and more for each endpoint that the request names.
	clock_ms_t base_ms = 20, each_ms = 2;
	/// Validity of a ticket.
	clock_ms_t valid_ms = 3000;
};

/// A job to submit. Its steps form a sequence: each waits for the step before it.
struct JobPlan {
	std::string id;
	std::string pool;
	/// Client account whose key the submission carries; empty: none.
	std::string account;
	/// The model sets the string fields of each step.
	std::vector<job_step> steps;
	/// Execution time of each task that is not long-running.
	clock_ms_t task_ms = 300;
	/// The first task of the first step crashes its endpoint so long after each start; -1:
	/// never.
	clock_ms_t crashes_after_ms = -1;
};

class Fleet
{
      public:
	/// @param standby_machines  machines in a standby pool; with them, machines may be moved
	/// between pools, otherwise the machine service refuses lists and moves
	explicit Fleet(uint64_t seed, unsigned int pools, unsigned int endpoints_per_pool,
		       unsigned int standby_machines = 0);
	~Fleet();
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	/// Advances the clock in steps of 1 ms. Resubmits jobs that are not acknowledged every 500
	/// ms. Throws RuleViolation, as do all functions that send orders.
	void advance(clock_ms_t ms);
	/// Submits a job. Without a leader, or if its reply is lost, advance() submits it again.
	void submit(const JobPlan &plan);
	/// Sends one request to cancel a submitted job; does nothing without a leader.
	void cancel(const std::string &id);
	/// Removes the leader. A random suffix of the proposed, uncommitted commands is lost; the
	/// next leader is elected after 300 to 800 ms.
	void depose_leader();
	/// Restarts an endpoint as a new incarnation, which loses its attempts and completion
	/// records; does nothing while its machine is down. It may send no heartbeat for some
	/// seconds.
	/// @param same_id keeps the endpoint's id; otherwise it gets a new one
	void crash(unsigned int endpoint, bool same_id);
	/// Crashes an endpoint as crash() does; the next incarnation is up after restart_ms.
	void crash_and_stay_down(unsigned int endpoint, bool same_id);
	/// Marks an endpoint as draining and sends a heartbeat that reports it.
	void drain(unsigned int endpoint);
	/// An endpoint says that it drains, sends its deregistration, which may be lost or late,
	/// and ends after stay_ms. Its host then refuses connections for refuses_min_ms to 300 ms.
	/// A new endpoint comes up in its place after kRestartMs.
	void leave(unsigned int endpoint, clock_ms_t stay_ms);
	/// Sends a configuration in which the accounts have these caps; does nothing without a
	/// leader. A leader that is deposed may lose it. The key of an account is its name.
	void put_accounts(const std::map<std::string, job_cap> &caps);
	/// Sends a configuration with this policy; does nothing without a leader.
	void put_policy(const PlacementPolicy &policy);
	/// Returns whether the policy lets a step "job.occurrence.step" run on an endpoint's
	/// machine.
	bool policy_allows(const std::string &step, const Endpoint &e) const;
	/// Orders a maintenance wave over the machines of the given endpoints; does nothing
	/// if there is one with that number.
	/// @param cap highest number of machines that may be down at once
	/// @param wave_s time to its deadline
	void wave(const std::vector<unsigned int> &endpoints, uint32_t cap, uint64_t number = 1,
		  uint32_t wave_s = 20);
	/// Sends a heartbeat of another writer with the address of an endpoint and a start time
	/// that is later than all others.
	/// @param own_id  with the endpoint's id, otherwise with an id of its own
	/// @param known_pool  of the endpoint's pool, otherwise of one that no configuration names
	void send_foreign_heartbeat(unsigned int endpoint, bool own_id, bool known_pool);
	/// Sends a heartbeat of the present incarnation of an endpoint with a sequence number, and
	/// perhaps a clock reading, that are far too high.
	void send_odd_heartbeat(unsigned int endpoint, bool odd_clock);
	/// Sends a deregistration that the endpoint did not send, perhaps while it drains.
	void send_foreign_deregistration(unsigned int endpoint);
	/// Changes the capacity of an endpoint, which reports it with its next heartbeats.
	void resize(unsigned int endpoint, uint32_t cpu, uint32_t mem);

	/// Returns whether an ordered maintenance wave is complete in the committed state.
	bool wave_is_complete(uint64_t number = 1) const;
	/// Returns the number of machines of a wave that have not begun their maintenance.
	unsigned int wave_machines_left(uint64_t number = 1) const;

	/// Returns the committed phase of a job, or nothing if the job is unknown.
	std::optional<job_phase> phase(const std::string &id) const;
	/// Returns whether all acknowledged jobs have ended.
	bool settled() const;
	/// Throws RuleViolation if a job is shown as failed, though none of its tasks failed as
	/// often as is allowed or crashed two endpoints itself.
	void check_failed_jobs() const;
	/// Returns the long-running tasks of acknowledged jobs that no reachable endpoint runs.
	std::vector<std::string> idle_lasting_tasks() const;

	FaultInjection fault;
	/// Also executes late start orders, and late acknowledgements, at an incarnation that has
	/// not executed an order made for it. The endpoint can't tell them from orders to itself,
	/// so a task may run twice: docs/findings.md, finding 1, open.
	bool strict = false;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	clock_ms_t now = 100000;
	/// Started attempts, calls of depose_leader(), and attempts that ended with success.
	uint64_t starts = 0, leader_changes = 0, done = 0;
	/// Processes that ended after leave(), and calls that their hosts refused.
	uint64_t departures = 0, calls_refused = 0;
	/// Moves executed.
	uint64_t moves = 0;
	/// Starts that took the running work of an account to its cap.
	uint64_t starts_up_to_cap = 0;
	/// Endpoints named in requests for advice, those requests, and starts refused for their
	/// ticket.
	uint64_t endpoints_advised = 0, advice_requests = 0, tickets_refused = 0;
	/// Endpoints crashed by their tasks.
	uint64_t crashes_by_tasks = 0;
	/// Least time for which the host of an endpoint that has left refuses connections.
	clock_ms_t refuses_min_ms = 0;
	/// From a crash under a task, or by crash_and_stay_down(), until the next incarnation is
	/// up.
	clock_ms_t restart_ms = kRestartMs;
	/// Of the crashes by tasks, those by long-running ones.
	uint64_t lasting_crashes = 0;
	/// Attempts at long-running tasks that ended by an order of the leader.
	uint64_t lasting_ends = 0;
	/// From the start of a long-running task until it is ready: a time between these bounds
	/// that depends on the task's name.
	clock_ms_t warm_up_min_ms = 150, warm_up_max_ms = 150;
	clock_ms_t warm_up_of(const std::string &task) const;
	/// Commands proposed and orders sent.
	uint64_t commands = 0, orders = 0;
	/// Ids of jobs whose submission or cancellation was acknowledged.
	std::set<std::string> acked, cancelled;
	/// By id: when a cancelling was first answered, whether the job was known or not.
	std::map<std::string, clock_ms_t> cancelled_at;
	/// Ids of jobs for which a cancellation was sent, acknowledged or not.
	std::set<std::string> cancel_requests;
	/// NULL while there is no leader.
	struct manager *manager = nullptr;
	/// How far the leader's event loop is behind: commits take longer by this time and results
	/// are read later by it. Above the senders' timeout all heartbeats are lost: they reach
	/// other replicas, which can't forward them to the leader in time.
	clock_ms_t lag_ms = 0;
	/// Attempts of gangs that were complete, and of those that ended so.
	uint64_t gangs_begun = 0, gangs_done = 0;
	/// Also checks that no task starts again after the answer to a status query has listed it
	/// as done. Holds only where answers reach a leader that does not change.
	bool check_listed_completions = false;
	clock_ms_t commit_ms = 8;
	clock_ms_t answer_ms = 1;
	/// Called for each order that the leader sends.
	std::function<void(const struct order *)> on_order;

      private:
	/// An effect that waits until the commands proposed before it are committed.
	struct HeldEffect {
		uint64_t index;
		struct effect *effect;
		clock_ms_t held_since;
	};
	/// An order on its way to its endpoint, or its result on the way back. Without an order:
	/// the end of an election.
	struct InFlightOrder {
		clock_ms_t due_at;
		uint64_t term;
		std::shared_ptr<struct order> order;
		bool executed;
		bool leader_gets_answer;
		/// Delayed by fault injection.
		bool late;
		std::shared_ptr<struct order_result> result;
		/// The incarnation that the leader knew when it sent the order, or 0.
		int64_t made_for = 0;
	};
	/// A heartbeat on its way to the leader.
	struct Heartbeat {
		std::string id, address, pool, machine;
		int64_t incarnation_wall_ms;
		uint32_t cpu, mem;
		bool draining;
		uint64_t sequence;
		clock_ms_t clock_ms;
		bool foreign; ///< of another writer
	};
	/// A status query that the endpoint answers at the next completion or at `until`.
	struct PendingStatusQuery {
		clock_ms_t until;
		uint64_t term;
		std::shared_ptr<struct order> order;
		Endpoint *endpoint;
		int64_t incarnation_wall_ms;
	};
	/// What happened to a task at all endpoints; rules are checked against it.
	struct TaskHistory {
		/// An attempt ended with success.
		bool done = false;
		/// The leader acknowledged a successful completion before the lease lapsed.
		bool done_acknowledged = false;
		/// When the answer to a status query first listed a successful completion, or 0.
		clock_ms_t done_listed_at = 0;
		clock_ms_t last_started_at = 0;
		uint32_t failures_acknowledged = 0;
		/// Attempts that ended by their own failure, and, for the first member of a gang,
		/// attempts of the gang in which any member did.
		uint32_t failures = 0, gang_failures = 0;
		/// Endpoints that it has crashed, and its starts since the third of these.
		uint32_t crashes = 0, starts_after_crashes = 0;
		/// Long-running tasks: whether an order ended the last attempt.
		bool ended_by_order = false;
		/// Long-running tasks: when the task last became unavailable, or 0.
		clock_ms_t unavailable_since = 0;
		/// Long-running tasks: when the latest attempt is ready; CLOCK_NEVER if it ended.
		clock_ms_t available_at = 0;

		/// Records the end of an attempt. If the task was not ready yet, it stays
		/// unavailable since the end of the attempt before.
		void record_end(clock_ms_t now, bool by_order)
		{
			if (unavailable_since && is_unavailable(now)) {
				available_at = CLOCK_NEVER;
				return;
			}
			unavailable_since = now;
			available_at = CLOCK_NEVER;
			ended_by_order = by_order;
		}

		bool is_unavailable(clock_ms_t now) const
		{
			return unavailable_since && now < available_at;
		}
	};

	std::mt19937_64 random;
	struct jobs *committed; ///< state after the commands committed so far
	/// Proposed commands that are not committed yet, with the time of their proposal.
	std::deque<std::pair<clock_ms_t, GBytes *>> log;
	uint64_t proposed_index = 0, applied_index = 0;
	std::deque<HeldEffect> held_effects;
	std::multimap<clock_ms_t, InFlightOrder> orders_in_flight;
	/// Results that the leader has not read yet, with the time of their arrival.
	std::deque<std::pair<clock_ms_t, InFlightOrder>> unread_results;
	std::vector<PendingStatusQuery> pending_status_queries;
	uint64_t term = 0;
	/// By endpoint id: the latest incarnation that the present leader has been told of.
	std::map<std::string, int64_t> known_incarnations;
	uint64_t next_token = 0;
	/// By token: the job id of a submission or cancellation; true for cancellations.
	std::map<uint64_t, std::pair<std::string, bool>> request_tokens;
	/// The caps of a configuration, and the time in which it may be in force.
	struct CapsInForce {
		std::map<std::string, job_cap> caps;
		clock_ms_t since, until;
	};
	std::map<std::string, job_cap> account_caps;
	std::vector<CapsInForce> caps_in_force;
	uint64_t config_version = 0;
	PlacementPolicy policy;
	/// When the advisor will have answered all requests so far; it handles one at a time.
	clock_ms_t advisor_free_at = 0;
	unsigned int pool_count;
	/// By job id: the account that the committed state shows; "" for none.
	std::map<std::string, std::string> job_accounts;
	std::map<std::string, JobPlan> plans;
	std::map<std::string, TaskHistory> task_history;
	/// By step and attempt: when a gang whose members have all been present is done.
	std::map<std::pair<std::string, uint32_t>, clock_ms_t> gang_ends;
	bool has_gangs = false;
	std::map<std::string, uint64_t> machine_fencing_token;
	/// By machine: term and time of the latest order sent.
	std::map<std::string, std::pair<uint64_t, clock_ms_t>> machine_ordered;
	bool has_standby_pool = false;
	/// By wave and machine.
	std::set<std::pair<uint64_t, std::string>> maintained_machines;
	/// By the time of their arrival.
	std::multimap<clock_ms_t, Heartbeat> held_heartbeats;
	/// Ids, by the time of the arrival of their deregistration.
	std::multimap<clock_ms_t, std::string> held_deregistrations;
	int64_t next_incarnation_wall_ms = 1;
	int64_t foreign_heartbeats = 0;
	unsigned int next_endpoint_id = 0;

	bool chance(int percent);
	void record_known_incarnation(const std::string &id, int64_t incarnation_wall_ms);
	int64_t known_incarnation(const struct order &o) const;
	clock_ms_t clock_of(const Endpoint &e) const;
	void elect_leader();
	void send_heartbeat(Endpoint &e);
	clock_ms_t random_delay();
	void deliver_heartbeat(const Heartbeat &hb);
	void deliver_held_heartbeats();
	void count_shrink_notice(Endpoint &e);
	void restart_shrink_notice(Endpoint &e);
	void check_wave_cap(uint64_t number, const std::string &machine) const;
	void process_effects();
	void drop_leader();
	void commit();
	void send(struct order *order);
	void schedule_order(std::shared_ptr<struct order> order, clock_ms_t when,
			    bool leader_gets_answer, bool late);
	void process_order_in_flight(InFlightOrder &f);
	void read_results();
	std::shared_ptr<struct order_result> execute_order(const struct order &o, bool late,
							   int64_t made_for);
	std::shared_ptr<struct order_result> start(Endpoint &e, const struct order &o, bool late);
	std::shared_ptr<struct order_result> list_attempts(Endpoint &e, const struct order &o);
	std::shared_ptr<struct order_result> machine_order(const struct order &o, bool late);
	std::shared_ptr<struct order_result> move_machine(const struct order &o, bool late);
	std::shared_ptr<struct order_result> list_machines(const struct order &o) const;
	std::shared_ptr<struct order_result> advise(const struct order &o);
	std::string ticket_of(const std::string &step, const Endpoint &e, clock_ms_t at) const;
	bool ticket_is_valid(const Endpoint &e, const struct order &o) const;
	bool is_reachable(const Endpoint &e) const;
	bool hears(const Endpoint &e) const;
	void end_departures();
	void deliver_deregistration(const std::string &id);
	std::shared_ptr<struct order_result> unreachable_result(const Endpoint *e,
								const struct order &o);
	void check_holder_lease(const struct order &o);
	void finish_attempt(Endpoint &e, const std::string &task, attempt_outcome outcome);
	void end_due_attempts(Endpoint &e);
	void end_due_gangs();
	void check_tracked_attempts() const;
	void record_acknowledged_done(const std::string &task, clock_ms_t ended_at);
	void answer_status_queries();
	void record_committed_caps();
	const std::string &account_of(const std::string &job);
	void check_cap(const job_step &step, const JobPlan &plan);
	void check_start(const Endpoint &e, const struct order &o, const JobPlan &plan,
			 unsigned int step, bool late);
	void check_unavailability_budget(const RunningAttempt &run, const char *cause);
	void record_ends_by_shutdown(const Endpoint &e, bool late, const char *cause);
	Endpoint *find_endpoint(const char *address);
	void put_config();
	void start_incarnation(Endpoint &e, bool same_id);
	const JobPlan *find_plan(const std::string &task, unsigned int &step) const;
};

} // namespace model

#endif
