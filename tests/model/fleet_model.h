#ifndef SESAMEWOOD_TESTS_FLEET_MODEL_H
#define SESAMEWOOD_TESTS_FLEET_MODEL_H

/// @file
/// A model of endpoints, the machine service and the replicated log around the job manager: it
/// executes the manager's orders, loses, delays and repeats them, and checks what must hold at
/// the endpoints. No I/O; time is advanced by the caller.

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

/// A rule that an endpoint saw broken.
struct RuleViolation : std::runtime_error {
	using std::runtime_error::runtime_error;
};

struct Run {
	std::string task;
	uint32_t attempt = 0;
	clock_ms_t started = 0;
	clock_ms_t ends = 0; ///< CLOCK_NEVER: lasts
	bool fails = false;
};

struct End {
	uint64_t number;
	std::string task;
	uint32_t attempt;
	attempt_outcome how;
	clock_ms_t at;
	bool lapsed; ///< the endpoint's lease has ended since: taking note of it counts no more
};

struct Endpoint {
	std::string id, address, pool, machine;
	int64_t born = 0;
	uint32_t cpu = 8000, mem = 64000;
	bool up = true, draining = false;
	clock_ms_t drain_acked = 0;
	clock_ms_t off_until = 0; ///< moved or in upkeep until then
	bool cut = false;	  ///< neither reports nor answers, runs on
	clock_ms_t clock_offset = 0;
	bool met = false;	    ///< this life has executed an order that was made for it
	uint64_t earlier_fence = 0; ///< highest that earlier lives under its id saw
	uint64_t fencing_token = 0, sequence = 0, next_end = 1;
	int64_t lease = 0;
	std::map<std::string, Run> running;
	std::vector<End> ended;
	std::map<std::string, uint32_t> settled; ///< highest attempt stopped or ended
};

struct FaultInjection {
	int lost_percent = 0;	   ///< orders without an answer, executed or not
	int late_percent = 0;	   ///< orders executed some seconds late, without an answer
	int task_fail_percent = 0; ///< attempts that fail by themselves
	bool unreachable = false;  ///< no connection to cut endpoints, so that nothing is sent
};

struct JobPlan {
	std::string id;
	std::string pool;
	std::vector<job_step> steps; ///< strings are set by the model
	clock_ms_t task_ms = 300;
};

class Fleet
{
      public:
	explicit Fleet(uint64_t seed, unsigned int pools, unsigned int endpoints_per_pool);
	~Fleet();
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;

	/// Lets time pass.
	void advance(clock_ms_t ms);
	/// Hands in a job; true when it was acknowledged at once or will be.
	void submit(const JobPlan &plan);
	void cancel(const std::string &id);
	/// The leader loses its office: what it proposed and was not committed is gone.
	void depose_leader();
	/// An endpoint crashes; it comes back as a new life under its old or a new id.
	void crash(unsigned int endpoint, bool same_id);
	void drain(unsigned int endpoint);
	void wave(const std::vector<unsigned int> &endpoints, uint32_t cap);

	/// Tells whether the ordered wave is shown as complete.
	bool wave_is_complete() const;

	/// State that every acknowledged job has; empty when it is not known.
	std::optional<job_phase> phase(const std::string &id) const;
	/// All acknowledged, uncancelled jobs are over.
	bool settled() const;

	FaultInjection fault;
	/// Also checks late orders to a life that has met no order made for it: docs/findings.md,
	/// finding 1, open.
	bool strict = false;
	std::vector<std::unique_ptr<Endpoint>> endpoints;
	clock_ms_t now = 100000;
	uint64_t starts = 0, leader_changes = 0, done = 0;
	/// Commands and orders so far.
	uint64_t commands = 0, orders = 0;
	std::set<std::string> acked, cancelled;
	std::set<std::string> cancels; ///< sent, acknowledged or not
	struct manager *manager = nullptr;
	/// The leader is behind by so long: commits take longer, answers are read late, and reports
	/// find other replicas, none of which reaches it.
	clock_ms_t lag_ms = 0;
	/// Also checks that no task starts again once a look has listed that it is done. Holds only
	/// where answers reach a leader that stays.
	bool check_listed_completions = false;
	clock_ms_t commit_ms = 8;
	clock_ms_t answer_ms = 1;
	std::function<void(const struct order *)> on_order; ///< benches look here

      private:
	struct Held {
		uint64_t index;
		struct effect *effect;
		clock_ms_t since;
	};
	struct InFlight {
		clock_ms_t at;
		uint64_t term;
		std::shared_ptr<struct order> order;
		bool executed;
		bool answers;
		bool late; ///< held up on its way
		std::shared_ptr<struct order_result> result;
	};
	struct WaitingLook {
		clock_ms_t until;
		uint64_t term;
		std::shared_ptr<struct order> order;
		Endpoint *endpoint;
	};
	struct TaskFacts {
		bool done = false;	  ///< a run has ended so
		bool done_noted = false;  ///< and that was acknowledged
		clock_ms_t listed_at = 0; ///< and a look listed it; 0: none has
		clock_ms_t last_start = 0;
		uint32_t failed_noted = 0;
		bool ended_by_order = false; ///< lasting task: how its last run ended
		clock_ms_t away_since = 0;   ///< lasting task: its last end; 0: none yet
		clock_ms_t back_at = 0;	     ///< lasting task: its latest run is at work from then

		/// Notes an end. A task that ends before it was at work has been away all along.
		void leave(clock_ms_t now, bool by_order)
		{
			if (away_since && is_away(now)) {
				back_at = CLOCK_NEVER;
				return;
			}
			away_since = now;
			back_at = CLOCK_NEVER;
			ended_by_order = by_order;
		}

		bool is_away(clock_ms_t now) const
		{
			return away_since && now < back_at;
		}
	};

	std::mt19937_64 random;
	struct jobs *committed;
	std::deque<std::pair<clock_ms_t, GBytes *>> log; ///< with the time when proposed
	uint64_t proposed = 0, applied = 0;
	std::deque<Held> held;
	std::multimap<clock_ms_t, InFlight> flying;
	std::deque<std::pair<clock_ms_t, InFlight>> unread; ///< results that wait at the leader
	std::vector<WaitingLook> looks;
	uint64_t term = 0;
	uint64_t next_token = 0;
	std::map<uint64_t, std::pair<std::string, bool>> tokens; ///< job id, is cancel
	std::map<std::string, JobPlan> plans;
	std::map<std::string, TaskFacts> facts;
	std::map<std::string, uint64_t> machine_fence;
	std::set<std::string> upkeep_done;
	int64_t next_born = 1;
	unsigned int next_id = 0;

	bool chance(int percent);
	clock_ms_t clock_of(const Endpoint &e) const;
	void elect();
	void announce(Endpoint &e);
	void pump();
	void drop_leader();
	void commit();
	void send(struct order *order);
	void fly(std::shared_ptr<struct order> order, clock_ms_t at, bool answers, bool late);
	void execute(InFlight &f);
	void read_results();
	std::shared_ptr<struct order_result> perform(const struct order &o, bool late);
	std::shared_ptr<struct order_result> start(Endpoint &e, const struct order &o, bool late);
	std::shared_ptr<struct order_result> list(Endpoint &e, const struct order &o);
	std::shared_ptr<struct order_result> machine_order(const struct order &o, bool late);
	void finish(Endpoint &e, const std::string &task, attempt_outcome how);
	void run_endpoint(Endpoint &e);
	void answer_looks();
	void check_start(const Endpoint &e, const struct order &o, const JobPlan &plan,
			 unsigned int step);
	void check_away(const Run &run, const char *by);
	Endpoint *at(const char *address);
	void put_config(unsigned int pools);
	void reborn(Endpoint &e, bool same_id);
	const JobPlan *plan_of(const std::string &task, unsigned int &step) const;
};

} // namespace model

#endif
