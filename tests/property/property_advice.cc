/// @file
/// Properties of placement where a policy allows few endpoints for each step and only an advisor
/// knows them: pools of more endpoints than one request names, of which some are gone, restart, are
/// cut off or join later. Guards against steps that wait for ever on an idle pool.

#include "fleet_model.h"
#include "property.h"

#include <random>

namespace
{
/// Time after the last submission in which every job must have ended.
constexpr clock_ms_t kFinishMs = 14000;
constexpr clock_ms_t kLongMs = 1000000;

/// Counts over all cases.
struct Reached {
	unsigned long jobs, excluded, starts, requests, named, refused, leader_changes;
} reached;

model::JobPlan plan_of(unsigned int number, std::mt19937 &random, unsigned int tasks)
{
	model::JobPlan plan;
	job_step step = {};

	plan.id = "job" + std::to_string(number);
	plan.pool = "pool0";
	plan.task_ms = 100 + random() % 400;
	step.count = tasks;
	step.cpu_milli = 1000;
	step.mem_mb = 1000;
	step.estimate_ms = 300;
	plan.steps.assign(1 + random() % 2, step);
	return plan;
}

/// Returns whether each step of a job may run on an endpoint that is in touch.
bool may_run(const model::Fleet &fleet, const model::JobPlan &plan)
{
	for (size_t s = 0; s < plan.steps.size(); s++) {
		std::string step = plan.id + ".0." + std::to_string(s);
		bool found = false;

		for (const auto &e : fleet.endpoints)
			found |= !e->cut && fleet.now >= e->down_until &&
				 fleet.policy_allows(step, *e);
		if (!found)
			return false;
	}
	return true;
}

void record_reached(const model::Fleet &fleet)
{
	reached.jobs += fleet.acked.size();
	reached.starts += fleet.starts;
	reached.requests += fleet.advice_requests;
	reached.named += fleet.endpoints_advised;
	reached.refused += fleet.tickets_refused;
	reached.leader_changes += fleet.leader_changes;
}

/// Advances until all jobs that may run have ended, for kFinishMs at most.
void check_all_end(model::Fleet &fleet, const std::vector<model::JobPlan> &plans)
{
	std::vector<std::string> due;

	for (const auto &plan : plans)
		if (may_run(fleet, plan))
			due.push_back(plan.id);
	reached.excluded += plans.size() - due.size();
	for (clock_ms_t t = 0; t < kFinishMs; t += 100) {
		bool all = true;

		for (const auto &id : due)
			all &= fleet.phase(id) == JOB_COMPLETED;
		if (all)
			return;
		fleet.advance(100);
	}
	for (const auto &id : due)
		if (fleet.phase(id) != JOB_COMPLETED)
			throw model::RuleViolation("waits though endpoints may run it: " + id);
}

/// Jobs of narrow steps on a pool that one request does not cover. Some endpoints are gone for
/// good, others join after the first jobs.
void steps_run_wherever_the_policy_allows(uint32_t seed)
{
	std::mt19937 random(seed);
	const unsigned int n = 20 + random() % 100, jobs = 4 + random() % 8;
	model::Fleet fleet(seed, 1, n);
	model::PlacementPolicy policy;
	std::vector<model::JobPlan> plans;
	const unsigned int gone = random() % (n / 2), late = random() % (n / 2);

	policy.allowed = 1 + random() % 4;
	policy.each_ms = 1 + random() % 3;
	try {
		fleet.put_policy(policy);
		for (unsigned int i = 0; i < late; i++)
			fleet.endpoints[i]->silent_until = fleet.now + 3000;
		for (unsigned int i = 0; i < gone; i++)
			fleet.endpoints[random() % n]->cut = true;
		fleet.advance(random() % 6000);
		for (unsigned int i = 0; i < jobs; i++) {
			plans.push_back(plan_of(i, random, 1 + random() % 4));
			fleet.submit(plans.back());
			fleet.advance(random() % 500);
		}
		check_all_end(fleet, plans);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
}

/// Endpoints restart, under their id or another one, are cut off for a while and leave for good
/// while jobs wait for advice or run; leaders change and requests are lost.
void steps_run_after_troubles_of_endpoints(uint32_t seed)
{
	std::mt19937 random(seed);
	const unsigned int n = 20 + random() % 60, jobs = 6 + random() % 8;
	model::Fleet fleet(seed, 1, n);
	model::PlacementPolicy policy;
	std::vector<model::JobPlan> plans;

	policy.allowed = 2 + random() % 6;
	try {
		fleet.put_policy(policy);
		fleet.advance(1000); /* until the configuration is committed */
		fleet.fault.lost_percent = static_cast<int>(random() % 10);
		for (unsigned int i = 0; i < jobs; i++) {
			unsigned int which = random() % n;

			plans.push_back(plan_of(i, random, 1 + random() % 4));
			fleet.submit(plans.back());
			fleet.advance(random() % 500);
			switch (random() % 6) {
			case 0:
			case 1:
				fleet.crash(which, random() % 2);
				break;
			case 2:
				fleet.restart_ms = kLongMs;
				fleet.crash_and_stay_down(which, random() % 2);
				fleet.restart_ms = model::kRestartMs;
				break;
			case 3:
				fleet.endpoints[which]->cut = true;
				break;
			case 4:
				fleet.depose_leader();
				break;
			default:
				break;
			}
		}
		fleet.fault = {};
		for (auto &e : fleet.endpoints)
			e->cut = false;
		fleet.advance(10000); /* until leases of endpoints that are gone have expired */
		check_all_end(fleet, plans);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
}

/// A step has more tasks than one request finds endpoints for, one task for each endpoint, and may
/// be a gang: many tickets must be valid at the same time.
void wide_step_gets_enough_tickets(uint32_t seed)
{
	std::mt19937 random(seed);
	const unsigned int n = 60 + random() % 60, tasks = 10 + random() % 40;
	model::Fleet fleet(seed, 1, n);
	model::PlacementPolicy policy;
	std::vector<model::JobPlan> plans;

	policy.allowed = tasks + random() % 4;
	try {
		fleet.put_policy(policy);
		fleet.advance(1600); /* until all endpoints have announced themselves */
		for (unsigned int i = 0; i < 2; i++) {
			plans.push_back(plan_of(i, random, tasks));
			plans.back().steps.resize(1);
			plans.back().steps[0].max_per_endpoint = 1;
			plans.back().steps[0].gang = random() % 2;
			fleet.submit(plans.back());
		}
		check_all_end(fleet, plans);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
}

/// More steps wait at once than the advisor answers within the validity of a ticket: requests that
/// wait behind others there must not leave every ticket expired.
void burst_of_steps_gets_valid_tickets(uint32_t seed)
{
	constexpr clock_ms_t kRequestsMs = 6000; /* of one request for each step */
	std::mt19937 random(seed);
	const unsigned int n = 20 + random() % 60;
	model::Fleet fleet(seed, 1, n);
	model::PlacementPolicy policy;
	std::vector<model::JobPlan> plans;
	clock_ms_t request_ms;

	policy.allowed = n / 2 + random() % (n / 2);
	policy.each_ms = 1 + random() % 4;
	request_ms = policy.base_ms + policy.each_ms * 30;
	try {
		fleet.put_policy(policy);
		fleet.advance(1600); /* until all endpoints have announced themselves */
		for (unsigned int i = 0; i < kRequestsMs / request_ms; i++) {
			plans.push_back(plan_of(i, random, 1));
			plans.back().steps.resize(1);
			fleet.submit(plans.back());
		}
		check_all_end(fleet, plans);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
}
/// Many steps wait for endpoints that are full, and renew their tickets for as long as they wait.
/// Steps that come later must get advice all the same, as their endpoints are idle.
void steps_that_wait_for_room_delay_no_others(uint32_t seed)
{
	constexpr unsigned int kEndpoints = 30, kLate = 5;
	constexpr clock_ms_t kTaskMs = 40000;
	std::mt19937 random(seed);
	model::Fleet fleet(seed, 1, kEndpoints);
	model::PlacementPolicy policy;
	std::vector<model::JobPlan> late;
	const unsigned int early = 50 + random() % 30;
	unsigned int jobs = 0;

	policy.allowed = 1;
	policy.base_ms = 50 + random() % 100;
	policy.each_ms = 1;
	try {
		fleet.put_policy(policy);
		fleet.advance(1600); /* until all endpoints have announced themselves */
		for (; jobs < early; jobs++) {
			model::JobPlan plan = plan_of(jobs, random, 1);

			plan.steps.resize(1);
			plan.steps[0].cpu_milli = model::kCpu;
			plan.task_ms = kTaskMs;
			fleet.submit(plan);
		}
		/* Until each step has had its first advice. */
		fleet.advance(early * (policy.base_ms + kEndpoints * policy.each_ms) + 1000);
		while (late.size() < kLate && jobs < 1000) {
			model::JobPlan plan = plan_of(jobs++, random, 1);
			bool idle = false;

			plan.steps.resize(1);
			for (const auto &e : fleet.endpoints)
				idle |= e->running.empty() &&
					fleet.policy_allows(plan.id + ".0.0", *e);
			if (!idle)
				continue;
			late.push_back(plan);
			fleet.submit(plan);
		}
		check_all_end(fleet, late);
	} catch (const model::RuleViolation &broken) {
		RC_FAIL(broken.what());
	}
	record_reached(fleet);
}
} // namespace

int main()
{
	Property property("/advice");

	property.check("steps_run_wherever_the_policy_allows", [] {
		steps_run_wherever_the_policy_allows(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	property.check("steps_run_after_troubles_of_endpoints", [] {
		steps_run_after_troubles_of_endpoints(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	property.check("wide_step_gets_enough_tickets", [] {
		wide_step_gets_enough_tickets(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	property.check("burst_of_steps_gets_valid_tickets", [] {
		burst_of_steps_gets_valid_tickets(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	property.check("steps_that_wait_for_room_delay_no_others", [] {
		steps_that_wait_for_room_delay_no_others(*rc::gen::inRange<uint32_t>(0, 1000000));
	});
	std::printf("# reached: %lu jobs, %lu that no endpoint may run, %lu starts, %lu requests "
		    "naming %lu endpoints, %lu tickets refused, %lu leaders deposed\n",
		    reached.jobs, reached.excluded, reached.starts, reached.requests, reached.named,
		    reached.refused, reached.leader_changes);
	return property.end();
}
