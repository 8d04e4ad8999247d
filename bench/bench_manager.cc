/// @file
/// Processor time of the job manager per task, over the number of endpoints, at a steady load of
/// short tasks and at a surge of three times the room. The model's own time is part of the figures;
/// `--profile` and `--profile-wave` run one size
/// for long.

#include "fleet_model.h"

#include <cstdio>
#include <cstring>
#include <ctime>

namespace
{
double cpu_s()
{
	timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

constexpr unsigned int CALM_PERCENT = 60;
constexpr unsigned int SURGE_PERCENT = 300;
constexpr unsigned int LARGE_PERCENT = 25; /* of 1,100 endpoints: 2,750 tasks a second */

void measure(unsigned int per_pool, unsigned int seconds, unsigned int load_percent)
{
	model::Fleet fleet(1, 5, per_pool);
	unsigned int jobs = 0;
	/* 8 tasks of 0.8 s find room on an endpoint: 10 tasks, or 5/4 jobs, a second. */
	unsigned int per_s = 5 * per_pool * 5 / 4 * load_percent / 100;
	double before;

	fleet.advance(2000);
	before = cpu_s();
	for (unsigned int ms = 0; ms < seconds * 1000; ms += 10) {
		for (unsigned int due = per_s * (ms + 10) / 1000; jobs < due; jobs++) {
			model::JobPlan plan;
			job_step step = {};

			plan.id = "job" + std::to_string(jobs);
			plan.pool = "pool" + std::to_string(jobs % 5);
			plan.task_ms = 800;
			step.count = 8;
			step.cpu_milli = 1000;
			step.mem_mb = 1000;
			step.estimate_ms = 800;
			plan.steps = {step};
			fleet.submit(plan);
		}
		fleet.advance(10);
	}
	std::printf(
		"%u endpoints, load %u%%: %.1f us a task, %lu starts, %lu orders, %lu commands\n",
		5 * per_pool, load_percent,
		(cpu_s() - before) * 1e6 / static_cast<double>(fleet.starts),
		static_cast<unsigned long>(fleet.starts), static_cast<unsigned long>(fleet.orders),
		static_cast<unsigned long>(fleet.commands));
}

/// Jobs as they come at hundreds of machines: tasks of all sizes, steps that follow each other, and
/// pools that surge in turn to four times their mean.
void measure_turns(unsigned int per_pool, unsigned int seconds)
{
	constexpr unsigned int POOLS = 5, TURN_S = 4, SURGE = 4;
	constexpr uint32_t CPU = 32000, MEM = 131072;
	model::Fleet fleet(1, POOLS, per_pool);
	std::mt19937 random(7);
	unsigned int jobs = 0;
	double before;

	for (auto &e : fleet.endpoints) {
		e->cpu = CPU;
		e->mem = MEM;
	}
	fleet.advance(2000);
	before = cpu_s();
	for (unsigned int ms = 0; ms < seconds * 1000; ms += 10) {
		for (unsigned int pool = 0; pool < POOLS; pool++) {
			bool surges = ms / 1000 / TURN_S % POOLS == pool;
			/* Tasks of 1 s and 4.5 cores, 8 to a step, 1.5 steps to a job. */
			double mean = per_pool * (CPU / 4500.0) / 12 / 100 * 0.25;
			std::poisson_distribution<unsigned int> due(surges ? mean * SURGE * 1.3
									   : mean / 4);

			for (unsigned int n = due(random); n; n--, jobs++) {
				model::JobPlan plan;
				job_step step = {};

				plan.id = "job" + std::to_string(jobs);
				plan.pool = "pool" + std::to_string(pool);
				plan.task_ms = 600 + random() % 800;
				for (unsigned int i = 0; i <= jobs % 2; i++) {
					step.count = 4 + random() % 8;
					step.cpu_milli = 1500 + random() % 6000;
					step.mem_mb = 4000 + random() % 24000;
					step.estimate_ms = 1000;
					step.max_per_endpoint = random() % 7 ? 0 : 2;
					plan.steps.push_back(step);
				}
				fleet.submit(plan);
			}
		}
		fleet.advance(10);
	}
	std::printf("%u endpoints, surges in turn: %.1f us a task, %lu starts\n", POOLS * per_pool,
		    (cpu_s() - before) * 1e6 / static_cast<double>(fleet.starts),
		    static_cast<unsigned long>(fleet.starts));
}

/// A maintenance wave over half of the endpoints, all of which hold lasting tasks.
void measure_wave(unsigned int per_pool)
{
	constexpr unsigned int wave_s = 20; /* the model orders waves with this time */
	model::Fleet fleet(1, 5, per_pool);
	std::vector<unsigned int> machines;
	double before;

	for (unsigned int i = 0; i < 5 * per_pool / 8; i++) {
		model::JobPlan plan;
		job_step step = {};

		plan.id = "lasting" + std::to_string(i);
		plan.pool = "pool" + std::to_string(i % 5);
		step.count = 24;
		step.cpu_milli = 500;
		step.mem_mb = 1000;
		step.persistent = true;
		step.max_unavailable = 1;
		plan.steps = {step};
		fleet.submit(plan);
	}
	fleet.advance(10000);
	for (unsigned int i = 0; i < 5 * per_pool / 2; i++)
		machines.push_back(i);
	before = cpu_s();
	fleet.wave(machines, 5 * per_pool / 5);
	fleet.advance(wave_s * 1000);
	std::printf("%u endpoints, wave over half: %.1f ms a second, %s\n", 5 * per_pool,
		    (cpu_s() - before) * 1e3 / wave_s,
		    fleet.wave_is_complete() ? "in time" : "late");
}
} // namespace

int main(int argc, char **argv)
{
	if (argc > 1 && std::strcmp(argv[1], "--profile-wave") == 0) {
		measure_wave(200);
		return 0;
	}
	if (argc > 1 && std::strcmp(argv[1], "--profile-large") == 0) {
		measure_turns(220, 20);
		return 0;
	}
	if (argc > 1 && std::strcmp(argv[1], "--profile") == 0) {
		measure(70, 20, CALM_PERCENT);
		return 0;
	}
	measure(10, 20, CALM_PERCENT);
	measure(20, 20, CALM_PERCENT);
	measure(70, 10, CALM_PERCENT);
	measure(70, 10, SURGE_PERCENT);
	measure_wave(10);
	measure_wave(70);
	return 0;
}
