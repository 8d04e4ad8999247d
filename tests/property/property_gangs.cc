/// @file
/// Properties of gangs, whose members run on several endpoints and end together, while their
/// endpoints are cut off in turn, crash or leave, jobs are cancelled and leaders change. Guards
/// against a leader that goes on tracking the members of a gang that has ended, and reads steps
/// that its job no longer holds; and against gangs that never end or never start again.

#include "fleet_model.h"
#include "property.h"

#include <algorithm>
#include <random>

namespace
{
constexpr clock_ms_t kRecoveryMs = 60000;
constexpr unsigned int kEndpoints = 10;

/// Counts over all cases.
struct Reached {
	unsigned long jobs, begun, done, cuts, crashes, cancelled, leader_changes;
} reached;

/// Returns a job of one to three steps, of which at least one is a gang.
model::JobPlan plan_of(unsigned int number, std::mt19937 &random)
{
	model::JobPlan plan;
	unsigned int steps = 1 + random() % 3;
	unsigned int gang = random() % steps;

	plan.id = "job" + std::to_string(number);
	plan.pool = "pool0";
	plan.task_ms = 200 + random() % 4000;
	for (unsigned int i = 0; i < steps; i++) {
		job_step s = {};

		s.count = 2 + random() % 3;
		s.cpu_milli = 2000;
		s.mem_mb = 1000;
		s.estimate_ms = 1000;
		s.gang = i == gang || random() % 2;
		s.max_per_endpoint = random() % 4 ? 1 : 0;
		plan.steps.push_back(s);
	}
	return plan;
}

/// Returns the indices of the endpoints that run tasks of a job, in random order.
std::vector<unsigned int> endpoints_of(const model::Fleet &fleet, const std::string &job,
				       std::mt19937 &random)
{
	std::vector<unsigned int> found;

	for (unsigned int i = 0; i < fleet.endpoints.size(); i++)
		for (const auto &run : fleet.endpoints[i]->running)
			if (run.first.compare(0, job.size() + 1, job + ".") == 0) {
				found.push_back(i);
				break;
			}
	std::shuffle(found.begin(), found.end(), random);
	return found;
}

/// Brings endpoints that were cut off back in random order, some as a later incarnation.
void bring_back(model::Fleet &fleet, std::mt19937 &random)
{
	std::vector<unsigned int> cut;

	for (unsigned int i = 0; i < fleet.endpoints.size(); i++)
		if (fleet.endpoints[i]->cut)
			cut.push_back(i);
	std::shuffle(cut.begin(), cut.end(), random);
	for (unsigned int i : cut) {
		if (random() % 6 == 0) {
			fleet.crash(i, random() % 2);
			reached.crashes++;
		}
		fleet.endpoints[i]->cut = false;
		fleet.advance(random() % 1500);
	}
}

/// Troubles of the endpoints that run one job: some or all of its members are cut off one after the
/// other, for up to 9 s, so that their leases expire at different times; others crash; the job may
/// be cancelled and the leader may change at any moment.
void trouble(model::Fleet &fleet, const std::string &job, std::mt19937 &random)
{
	for (unsigned int i : endpoints_of(fleet, job, random)) {
		unsigned int kind = random() % 20;

		if (kind < 14) {
			fleet.endpoints[i]->cut = true;
			reached.cuts++;
		} else if (kind < 16) {
			fleet.crash_and_stay_down(i, random() % 2);
			reached.crashes++;
		}
		fleet.advance(random() % 2500);
	}
	if (random() % 8 == 0)
		fleet.cancel(job);
	if (random() % 8 == 0)
		fleet.depose_leader();
	fleet.advance(random() % 6500);
	bring_back(fleet, random);
	if (random() % 8 == 0)
		fleet.cancel(job);
}

void record_reached(const model::Fleet &fleet)
{
	reached.jobs += fleet.acked.size();
	reached.begun += fleet.gangs_begun;
	reached.done += fleet.gangs_done;
	reached.cancelled += fleet.cancelled.size();
	reached.leader_changes += fleet.leader_changes;
}

void gangs_end_while_members_are_cut_off(uint32_t seed)
{
	constexpr unsigned int kJobs = 5;
	std::mt19937 random(seed);
	model::Fleet fleet(seed, 1, kEndpoints);

	fleet.fault.unreachable = random() % 2;
	try {
		fleet.advance(1000); /* until the configuration is committed */
		for (unsigned int i = 0; i < kJobs; i++) {
			fleet.fault.task_fail_percent = random() % 4 ? 0 : 5;
			fleet.fault.lost_percent = static_cast<int>(random() % 2 * random() % 10);
			fleet.submit(plan_of(i, random));
			fleet.advance(100 + random() % 1500);
			trouble(fleet, "job" + std::to_string(i), random);
		}
		fleet.fault = {};
		for (clock_ms_t t = 0; t < kRecoveryMs && !fleet.settled(); t += 500)
			fleet.advance(500);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
	RC_ASSERT(fleet.settled());
}
/// A gang that is to last ends "done" again and again, and its members are cut off or crash. Each
/// end must be followed by another start: members that stopped being tracked when the first end was
/// recorded stayed assigned for good.
void lasting_gang_starts_after_each_end(uint32_t seed)
{
	constexpr clock_ms_t kCalmMs = 40000;
	constexpr clock_ms_t kRestartMaxMs = 6000; /* of a task that is to last */
	std::mt19937 random(seed);
	model::Fleet fleet(seed, 1, kEndpoints);
	model::JobPlan plan = plan_of(0, random);
	uint64_t begun = 0;

	plan.steps.resize(1);
	plan.steps[0].gang = true;
	plan.steps[0].long_running = true;
	fleet.fault.unreachable = random() % 2;
	try {
		fleet.advance(1000); /* until the configuration is committed */
		fleet.submit(plan);
		for (unsigned int i = 0; i < 3; i++) {
			fleet.advance(plan.task_ms + random() % 2000);
			for (unsigned int k : endpoints_of(fleet, plan.id, random)) {
				if (random() % 4 == 0)
					fleet.crash_and_stay_down(k, random() % 2);
				else if (random() % 2)
					fleet.endpoints[k]->cut = true;
				fleet.advance(random() % 2500);
			}
			fleet.advance(random() % 6500);
			bring_back(fleet, random);
		}
		fleet.advance(kCalmMs / 2);
		begun = fleet.gangs_begun;
		fleet.advance(kCalmMs);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
	RC_ASSERT(fleet.gangs_begun - begun >=
		  static_cast<uint64_t>(kCalmMs / (plan.task_ms + kRestartMaxMs)));
}
} // namespace

int main()
{
	Property property("/gangs");

	property.check("gangs_end_while_members_are_cut_off", [] {
		gangs_end_while_members_are_cut_off(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	property.check("lasting_gang_starts_after_each_end", [] {
		lasting_gang_starts_after_each_end(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	std::printf("# reached: %lu jobs, %lu attempts of gangs, %lu of them done, %lu cuts, "
		    "%lu crashes, %lu cancelled, %lu leaders deposed\n",
		    reached.jobs, reached.begun, reached.done, reached.cuts, reached.crashes,
		    reached.cancelled, reached.leader_changes);
	return property.end();
}
