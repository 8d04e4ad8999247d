/// @file
/// A maintenance wave over almost half of 352 machines, whose pools run long-running tasks with
/// small availability budgets while surges of short jobs move from pool to pool. Deterministic:
/// each case is fixed by its seed. Guards against machines that are late because their
/// long-running tasks never had room in all budgets at the same time. The model checks the budgets
/// and the cap at each order; cases with faults check only these. `--case SEED JOBS SURGE [faults]`
/// runs one case.

#include "fleet_model.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>

namespace
{
constexpr unsigned int kPools = 4, kMachinesPerPool = 74, kStandbyMachines = 56;
constexpr unsigned int kWaveMachines = 151, kCap = 59;
constexpr uint32_t kWaveS = 26;
constexpr clock_ms_t kWaveMs = 26000;
constexpr clock_ms_t kSettleMs = 8000; ///< the long-running tasks have started by then
constexpr clock_ms_t kStepMs = 10;
constexpr unsigned int kSurgeMs = 4000;
/// A short job is late after this time: three times its objective.
constexpr clock_ms_t kLateMs = 4500;

/// A case: its random numbers, its load, and what a run must reach.
struct Case {
	uint32_t seed;
	unsigned int lasting_jobs; ///< in each pool
	unsigned int surge_factor; ///< load of the pool in a surge over the mean load; 1: none
	bool has_faults;	   ///< lost and late orders, crashes and changes of leader
};

struct Result {
	unsigned int late = 0;	       ///< machines whose maintenance had not begun in time
	clock_ms_t done_after_ms = -1; ///< -1: later than twice the time
	uint64_t ends = 0;	       ///< of long-running tasks during the wave
	uint64_t least_ends = 0;       ///< long-running tasks on the wave's machines at its start
	clock_ms_t least_ms = 0;       ///< the budgets allow no shorter wave
	uint64_t moves = 0;	       ///< of machines between pools
	uint64_t up_ms = 0; ///< of machines outside of the standby pool, until the deadline
	unsigned int jobs = 0, late_jobs = 0;
};

/// Short jobs under way and their time of arrival.
struct ShortJob {
	std::string id;
	clock_ms_t submitted_at;
};

class Scenario
{
      public:
	explicit Scenario(const Case &c)
	    : case_(c), fleet_(c.seed, kPools, kMachinesPerPool, kStandbyMachines), random_(c.seed)
	{
		for (unsigned int i = 0; i < fleet_.endpoints.size(); i++)
			if (random_() % 2)
				fleet_.resize(i, 32000, 64000);
			else
				fleet_.resize(i, 64000, 256000);
		fleet_.warm_up_min_ms = 300;
		fleet_.warm_up_max_ms = 4000;
	}

	Result run()
	{
		uint64_t moves_before;
		std::vector<unsigned int> members(fleet_.endpoints.size());

		fleet_.advance(3000);
		submit_lasting_jobs();
		advance(kSettleMs);
		for (unsigned int i = 0; i < members.size(); i++)
			members[i] = i;
		std::shuffle(members.begin(), members.end(), random_);
		members.resize(kWaveMachines);
		begun_at_ = fleet_.now;
		ends_before_ = fleet_.lasting_ends;
		moves_before = fleet_.moves;
		count_tasks_on(members);
		result_.jobs = result_.late_jobs = 0;
		fleet_.wave(members, kCap, 1, kWaveS);
		while (fleet_.now - begun_at_ < 2 * kWaveMs) {
			advance(100);
			if (fleet_.now - begun_at_ <= kWaveMs)
				count_machines_up(100);
			if (case_.has_faults)
				inject_faults();
			if (fleet_.now - begun_at_ == kWaveMs)
				result_.late = fleet_.wave_machines_left();
			if (result_.done_after_ms < 0 && fleet_.wave_is_complete())
				result_.done_after_ms = fleet_.now - begun_at_;
			if (fleet_.now - begun_at_ >= kWaveMs + kLateMs + 200 &&
			    result_.done_after_ms >= 0)
				break;
		}
		result_.moves = fleet_.moves - moves_before;
		result_.ends = fleet_.lasting_ends - ends_before_;
		return result_;
	}

      private:
	Case case_;
	model::Fleet fleet_;
	std::mt19937 random_;
	std::vector<ShortJob> open_;
	std::map<std::string, uint32_t> budget_of_; ///< of the long-running jobs
	Result result_;
	clock_ms_t begun_at_ = 0; ///< of the wave
	uint64_t ends_before_ = 0;
	unsigned int jobs_ = 0;

	void count_machines_up(clock_ms_t ms)
	{
		for (const auto &e : fleet_.endpoints)
			result_.up_ms += e->pool == "standby" ? 0 : static_cast<uint64_t>(ms);
	}

	void submit_lasting_jobs()
	{
		for (unsigned int i = 0; i < kPools * case_.lasting_jobs; i++) {
			model::JobPlan plan;
			job_step step = {};

			plan.id = "lasting" + std::to_string(i);
			plan.pool = "pool" + std::to_string(i % kPools);
			step.count = 24;
			step.cpu_milli = 4000 + random_() % 5 * 1000;
			step.mem_mb = 15000;
			step.estimate_ms = 60000;
			step.long_running = true;
			step.max_unavailable = 2 + random_() % 2;
			step.max_per_endpoint = 1;
			plan.steps = {step};
			budget_of_[plan.id] = step.max_unavailable;
			fleet_.submit(plan);
		}
	}

	void submit_short_job(unsigned int pool)
	{
		model::JobPlan plan;
		job_step step = {};

		plan.id = "job" + std::to_string(jobs_++);
		plan.pool = "pool" + std::to_string(pool);
		plan.task_ms = 600 + random_() % 800;
		step.count = 8 + random_() % 16;
		step.cpu_milli = 1500 + random_() % 6000;
		step.mem_mb = 2000 + random_() % 12000;
		step.estimate_ms = 1000;
		plan.steps = {step};
		fleet_.submit(plan);
		open_.push_back({plan.id, fleet_.now});
		result_.jobs += submitted_during_wave(open_.back());
	}

	/// Mean load of a pool: an eighth of its processors. A surge moves from pool to pool.
	void submit_short_jobs()
	{
		constexpr double cores = kMachinesPerPool * 48, cores_per_job = 15.5 * 4.5;
		auto surging = static_cast<unsigned int>(fleet_.now / kSurgeMs % kPools);

		for (unsigned int pool = 0; pool < kPools; pool++) {
			double mean = cores / 8 / cores_per_job * kStepMs / 1000;
			std::poisson_distribution<unsigned int> due(
				pool == surging ? mean * case_.surge_factor : mean);

			for (unsigned int n = due(random_); n; n--)
				submit_short_job(pool);
		}
	}

	bool submitted_during_wave(const ShortJob &job) const
	{
		return begun_at_ && job.submitted_at >= begun_at_ &&
		       job.submitted_at < begun_at_ + kWaveMs;
	}

	void count_ended_jobs()
	{
		for (size_t i = open_.size(); i > 0; i--) {
			auto phase = fleet_.phase(open_[i - 1].id);
			bool ended = phase && *phase >= JOB_COMPLETED;
			bool late = fleet_.now - open_[i - 1].submitted_at > kLateMs;

			if (!ended && !late)
				continue;
			result_.late_jobs += late && submitted_during_wave(open_[i - 1]);
			open_[i - 1] = open_.back();
			open_.pop_back();
		}
	}

	void advance(clock_ms_t ms)
	{
		for (clock_ms_t t = 0; t < ms; t += kStepMs) {
			submit_short_jobs();
			fleet_.advance(kStepMs);
		}
		count_ended_jobs();
	}

	void inject_faults()
	{
		fleet_.fault.lost_percent = 3;
		fleet_.fault.late_percent = 2;
		if (random_() % 20 == 0)
			fleet_.crash(random_() % fleet_.endpoints.size(), random_() % 2);
		if (random_() % 60 == 0)
			fleet_.depose_leader();
	}

	/// Counts the long-running tasks on the machines of the wave, each of which must end at
	/// least once, and bounds the duration of the wave by the start-ups that a step's budget
	/// allows at once.
	void count_tasks_on(const std::vector<unsigned int> &members)
	{
		std::map<std::string, clock_ms_t> starting_ms;

		for (unsigned int i : members)
			for (const auto &run : fleet_.endpoints[i]->running) {
				std::string job = run.first.substr(0, run.first.find('.'));
				clock_ms_t &ms = starting_ms[job];

				if (run.second.ends_at != CLOCK_NEVER)
					continue;
				result_.least_ends++;
				ms += fleet_.warm_up_of(run.first);
				result_.least_ms = std::max(result_.least_ms, ms / budget_of_[job]);
			}
	}
};

void print(const Case &c, const Result &r)
{
	std::printf("# seed %u, %u lasting jobs a pool, surge x%u: %u machines late, ", c.seed,
		    c.lasting_jobs, c.surge_factor, r.late);
	std::printf("done after %ld ms (at least %ld), ", static_cast<long>(r.done_after_ms),
		    static_cast<long>(r.least_ms));
	std::printf("%lu ends of long-running tasks (at least %lu), %lu moves, "
		    "%lu machines up on average, ",
		    static_cast<unsigned long>(r.ends), static_cast<unsigned long>(r.least_ends),
		    static_cast<unsigned long>(r.moves),
		    static_cast<unsigned long>(r.up_ms / kWaveMs));
	std::printf("%u of %u short jobs late\n", r.late_jobs, r.jobs);
}

bool check(const Case &c, unsigned int number)
{
	bool ok = false;

	try {
		Result r = Scenario(c).run();

		print(c, r);
		ok = c.has_faults || !r.late;
	} catch (const model::RuleViolation &broken) {
		std::printf("# %s\n", broken.what());
	}
	std::printf("%s %u /waves/half_of_the_machines seed=%u jobs=%u surge=%u%s\n",
		    ok ? "ok" : "not ok", number, c.seed, c.lasting_jobs, c.surge_factor,
		    c.has_faults ? " faults" : "");
	std::fflush(stdout);
	return ok;
}
} // namespace

int main(int argc, char **argv)
{
	const Case cases[] = {
		{1, 8, 5, false}, {2, 8, 5, false}, {3, 8, 5, false},
		{3, 8, 1, false}, {4, 8, 5, true},
	};
	unsigned int number = 0, failed = 0;

	if (argc >= 5 && std::strcmp(argv[1], "--case") == 0) {
		Case c = {static_cast<uint32_t>(std::atoi(argv[2])),
			  static_cast<unsigned int>(std::atoi(argv[3])),
			  static_cast<unsigned int>(std::atoi(argv[4])), argc > 5};

		return !check(c, 1);
	}
	for (const Case &c : cases)
		failed += !check(c, ++number);
	return failed ? 1 : 0;
}
