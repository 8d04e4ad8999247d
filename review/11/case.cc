/// @file
/// Case 11: one executor of eight crash-loops: in three lives it crashes just after it has begun a task.

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

#define EXECUTORS 8
#define CRASH_AFTER_MS 100 /* from the start of a task */
#define DOWN_MS 1500
#define CRASHES 3

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 3, 2);
	std::vector<std::unique_ptr<Executor>> executors;
	std::map<std::string, std::string> last;
	std::atomic<int> crashes{0};
	std::atomic<int> wanted{has_trouble() ? CRASHES : 0};
	std::atomic<bool> due{false};
	std::thread crasher;
	std::atomic<bool> over{false};
	bool broken = false;
	Answer a;

	system.start();
	a = system.order("POST", "/api/config/replace", config, 15000);
	record("configuration: %d", a.status);
	if (a.status != 200 || !system.wait_ready(15000))
		return 2;
	for (int i = 0; i < EXECUTORS; i++) {
		auto e = std::make_unique<Executor>(system, "i-" + std::to_string(i + 1), "pool-a",
						    system.ip(2, i + 1) + ":8080",
						    "m-" + std::to_string(i + 1));
		e->rack = "r1-" + std::to_string(i / 4 + 1);
		e->on_begin = [&due, i](Executor &, const Run &) {
			if (i == 0)
				due = true;
		};
		e->start();
		executors.push_back(std::move(e));
	}
	sleep_ms(2500);
	/* The unsound executor: in each of its first lives it crashes soon after it has begun a task. */
	crasher = std::thread([&] {
		while (!over) {
			if (!due || crashes >= wanted) {
				sleep_ms(2);
				continue;
			}
			sleep_ms(CRASH_AFTER_MS);
			executors[0]->crash();
			crashes++;
			sleep_ms(DOWN_MS);
			due = false;
			executors[0]->start();
		}
	});
	std::vector<std::string> ids;
	int64_t until = now_ms() + 8000;

	for (int i = 0; now_ms() < until; i++) {
		char id[17];

		snprintf(id, sizeof(id), "%016x", 0xabc00000 + i);
		a = system.ask("POST", "q.example", std::string("/q/") + id,
			       "{\"spec\":\"job\",\"phases\":[{\"count\":8,\"cpu\":4000,\"memMb\":1024,"
			       "\"estimateMs\":800}]}",
			       10000);
		record("job %s: %d", id, a.status);
		if (a.status == 200)
			ids.push_back(id);
		sleep_ms(300);
	}
	until = now_ms() + 40000;
	for (bool open = true; open && now_ms() < until; sleep_ms(300)) {
		open = false;
		for (auto &id : ids) {
			if (last[id] == "completed" || last[id] == "failed")
				continue;
			a = system.ask("GET", "q.example", "/q/" + id, "", 5000);
			if (a.status == 200)
				last[id] = parse(a.body)["state"].text;
			open |= last[id] != "completed" && last[id] != "failed";
		}
	}
	over = true;
	crasher.join();
	int failed_ends = 0;

	for (auto &e : executors)
		for (auto &end : e->ends)
			failed_ends += end.how == "failed";
	for (auto &id : ids) {
		record("job %s is shown as %s", id.c_str(), last[id].c_str());
		broken |= last[id] == "failed";
	}
	record("%zu jobs, %d crashes, %d ends failed; %s", ids.size(), crashes.load(), failed_ends,
	       broken ? "BROKEN: a job is shown as failed without cause" : "held");
	if (has_trouble() && crashes < wanted)
		return 2;
	executors.clear();
	return broken;
}
