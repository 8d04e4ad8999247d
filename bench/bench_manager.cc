/// @file
/// Measures the processor time of the job manager per started task for several fleet sizes, under a
/// steady load of short tasks and under a surge of three times the capacity, and per simulated
/// second of a maintenance wave. The figures include the processor time of the model itself.
/// `--profile`, `--profile-large` and `--profile-wave` run a single case, for use with a profiler.

#include "fleet_model.h"

#include <cstdio>
#include <cstring>
#include <ctime>

namespace
{
/// Returns the processor time of this process in seconds.
double cpu_s()
{
	timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

constexpr unsigned int STEADY_LOAD_PERCENT = 60;
constexpr unsigned int SURGE_LOAD_PERCENT = 300;
/* On 1,100 endpoints: 2,750 tasks per second. */
constexpr unsigned int LARGE_FLEET_LOAD_PERCENT = 25;

/// Submits jobs of 8 equal tasks at a constant rate, in percent of the capacity of all endpoints.
void measure_load(unsigned int per_pool, unsigned int seconds, unsigned int load_percent)
{
	model::Fleet fleet(1, 5, per_pool);
	unsigned int jobs = 0;
	/* An endpoint has capacity for 8 tasks of 0.8 s at once, so it completes 10 tasks,
	 * or 5/4 jobs, per second. */
	unsigned int jobs_per_s = 5 * per_pool * 5 / 4 * load_percent / 100;
	double cpu_before_s;

	fleet.advance(2000);
	cpu_before_s = cpu_s();
	for (unsigned int ms = 0; ms < seconds * 1000; ms += 10) {
		for (unsigned int due = jobs_per_s * (ms + 10) / 1000; jobs < due; jobs++) {
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
		(cpu_s() - cpu_before_s) * 1e6 / static_cast<double>(fleet.starts),
		static_cast<unsigned long>(fleet.starts), static_cast<unsigned long>(fleet.orders),
		static_cast<unsigned long>(fleet.commands));
}

/// Submits a mix of jobs as a fleet of hundreds of machines receives it: tasks of different sizes,
/// jobs of one or two steps, Poisson arrivals, and surges that move from pool to pool.
void measure_rotating_surges(unsigned int per_pool, unsigned int seconds)
{
	constexpr unsigned int POOLS = 5, SURGE_S = 4, SURGE_FACTOR = 4;
	constexpr uint32_t CPU_MILLI = 32000, MEM_MB = 131072;
	model::Fleet fleet(1, POOLS, per_pool);
	std::mt19937 random(7);
	unsigned int jobs = 0;
	double cpu_before_s;

	for (auto &e : fleet.endpoints) {
		e->cpu = CPU_MILLI;
		e->mem = MEM_MB;
	}
	fleet.advance(2000);
	cpu_before_s = cpu_s();
	for (unsigned int ms = 0; ms < seconds * 1000; ms += 10) {
		for (unsigned int pool = 0; pool < POOLS; pool++) {
			bool surging = ms / 1000 / SURGE_S % POOLS == pool;
			/* Mean jobs per 10 ms at a quarter of the pool's processor capacity: tasks
			 * take 1 s and 4.5 cores, with 8 tasks to a step and 1.5 steps to a job. */
			double mean_jobs = per_pool * (CPU_MILLI / 4500.0) / 12 / 100 * 0.25;
			std::poisson_distribution<unsigned int> due(
				surging ? mean_jobs * SURGE_FACTOR * 1.3 : mean_jobs / 4);

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
		    (cpu_s() - cpu_before_s) * 1e6 / static_cast<double>(fleet.starts),
		    static_cast<unsigned long>(fleet.starts));
}

/// Runs a maintenance wave over half of the endpoints while long-running tasks run on all of them.
void measure_maintenance_wave(unsigned int per_pool)
{
	constexpr unsigned int wave_s = 20; /* duration of the waves that the model orders */
	model::Fleet fleet(1, 5, per_pool);
	std::vector<unsigned int> machines;
	double cpu_before_s;

	for (unsigned int i = 0; i < 5 * per_pool / 8; i++) {
		model::JobPlan plan;
		job_step step = {};

		plan.id = "lasting" + std::to_string(i);
		plan.pool = "pool" + std::to_string(i % 5);
		step.count = 24;
		step.cpu_milli = 500;
		step.mem_mb = 1000;
		step.long_running = true;
		step.max_unavailable = 1;
		plan.steps = {step};
		fleet.submit(plan);
	}
	fleet.advance(10000);
	for (unsigned int i = 0; i < 5 * per_pool / 2; i++)
		machines.push_back(i);
	cpu_before_s = cpu_s();
	fleet.wave(machines, 5 * per_pool / 5);
	fleet.advance(wave_s * 1000);
	std::printf("%u endpoints, wave over half: %.1f ms a second, %s\n", 5 * per_pool,
		    (cpu_s() - cpu_before_s) * 1e3 / wave_s,
		    fleet.wave_is_complete() ? "in time" : "late");
}
} // namespace

int main(int argc, char **argv)
{
	if (argc > 1 && std::strcmp(argv[1], "--profile-wave") == 0) {
		measure_maintenance_wave(200);
		return 0;
	}
	if (argc > 1 && std::strcmp(argv[1], "--profile-large") == 0) {
		measure_rotating_surges(220, 20);
		return 0;
	}
	if (argc > 1 && std::strcmp(argv[1], "--profile") == 0) {
		measure_load(70, 20, STEADY_LOAD_PERCENT);
		return 0;
	}
	measure_load(10, 20, STEADY_LOAD_PERCENT);
	measure_load(20, 20, STEADY_LOAD_PERCENT);
	measure_load(70, 10, STEADY_LOAD_PERCENT);
	measure_load(70, 10, SURGE_LOAD_PERCENT);
	measure_maintenance_wave(10);
	measure_maintenance_wave(70);
	return 0;
}
