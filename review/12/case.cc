/// @file
/// Case 12: a client that gives up cancels its job and is told that there is none; then the job
/// runs.

#include "../common-3/kit.hh"

using namespace kit;

static const char *const config =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\",\"hostname\":\"q.example\",\"pathPrefix\":"
	"\"/q/\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,\"targetDurationMs\":600,"
	"\"priority\":1,\"backend\":\"pool-a\",\"maxAttempts\":2,\"stretch\":1.6}],\"services\":[{"
	"\"name\":\"pool-a\",\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\","
	"\"tls\":false,\"admissionControl\":false,\"standby\":false}],\"limits\":{"
	"\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

#define FREEZE_MS 5000
#define ROUNDS 9
#define CALM_MS 4000 /* between two freezes */
#define SPEC_BYTES 3800
#define GIVE_UP_MS 1000
#define CANCEL_MS 3000 /* bounds.cancel_ms */

static std::string path_of(int round)
{
	return "/q/00000000abc0000" + std::to_string(round);
}

/// One entry freezes, and a client that has just handed in a job there gives up and cancels it.
///
/// @return time since the cancelling was acknowledged, ms; -1: it was not
static int play(System &system, int round)
{
	Process &frozen = *system.entries[(size_t)round % system.entries.size()];
	std::string address = frozen.ip + ":8624";
	int64_t frozen_at = now_ms();
	int64_t cancelled_at;
	Answer a;

	if (has_trouble()) {
		frozen.send(SIGSTOP);
		record("%s freezes", frozen.name.c_str());
	}
	a = call(address, "POST", path_of(round), "q.example",
		 "{\"spec\":\"" + std::string(SPEC_BYTES, 'x') +
			 "\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":1024,"
			 "\"estimateMs\":800}]}",
		 GIVE_UP_MS);
	record("client hands %s in at %s: %d", path_of(round).c_str(), frozen.name.c_str(),
	       a.status);
	for (size_t i = 1; i < system.entries.size(); i++) {
		const Process &other = *system.entries[((size_t)round + i) % system.entries.size()];

		a = call(other.ip + ":8624", "DELETE", path_of(round), "q.example", "", 3000);
		record("client cancels it at %s: %d", other.name.c_str(), a.status);
		if (a.status == 200 || a.status == 410)
			break;
	}
	cancelled_at = now_ms();
	if (has_trouble()) {
		sleep_ms(std::max<int64_t>(0, frozen_at + FREEZE_MS - now_ms()));
		frozen.send(SIGCONT);
		record("%s wakes", frozen.name.c_str());
		sleep_ms(CALM_MS);
	}
	return a.status == 200 || a.status == 410 ? (int)(now_ms() - cancelled_at) : -1;
}

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 5, 7);
	std::vector<std::unique_ptr<Executor>> executors;
	std::vector<int64_t> cancelled_at;
	bool broken = false;
	Answer a;

	system.start();
	a = system.order("POST", "/api/config/replace", config, 15000);
	record("configuration: %d", a.status);
	if (a.status != 200 || !system.wait_ready(15000))
		return 2;
	for (int i = 0; i < 8; i++) {
		executors.push_back(std::make_unique<Executor>(
			system, "i-" + std::to_string(i + 1), "pool-a",
			system.ip(2, i + 1) + ":8080", "m-" + std::to_string(i + 1)));
		executors.back()->start();
	}
	sleep_ms(4000);
	for (int round = 0; round < ROUNDS; round++) {
		int result = play(system, round);

		if (result < 0)
			return 2;
		cancelled_at.push_back(now_ms() - result);
	}
	sleep_ms(3000);
	for (auto &e : executors)
		for (auto &r : e->begun) {
			size_t round = (size_t)atoi(r.task.substr(15, 1).c_str());
			int64_t after = r.began_ms - cancelled_at[round];

			record("%s began %s %lld ms after the cancelling was acknowledged",
			       e->id.c_str(), r.task.c_str(), (long long)after);
			if (after > CANCEL_MS) {
				broken = true;
				record("BROKEN: a task of a job that was cancelled starts");
			}
		}
	record("%s", broken ? "BROKEN" : "held");
	executors.clear();
	return broken;
}
