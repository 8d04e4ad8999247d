/// @file
/// Case 11: an executor that leaves is cut off one way while it does.

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
#define DRAIN_MS 2000 /* bounds.drainMs */
#define CUT_MS 5500
#define CUT_BEFORE_END_MS 500 /* the cut begins so long before the executor says that it leaves */
#define ENDS_ANYWAY_MS 3000

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 3, 2);
	std::vector<std::unique_ptr<Executor>> executors;
	std::atomic<int> twice{0};
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
		e->task_ms = 12000;
		executors.push_back(std::move(e));
	}
	for (auto &e : executors) {
		e->on_begin = [&](Executor &at, const Run &r) {
			for (auto &other : executors)
				if (other.get() != &at && other->runs(r.task)) {
					twice++;
					record("BROKEN: %s runs on %s and on %s", r.task.c_str(),
					       other->id.c_str(), at.id.c_str());
				}
		};
		e->start();
	}
	sleep_ms(2500);
	a = system.ask("POST", "q.example", "/q/00000000abc00001",
		       "{\"spec\":\"job\",\"phases\":[{\"count\":16,\"cpu\":4000,\"memMb\":1024,"
		       "\"estimateMs\":12000}]}",
		       10000);
	record("job: %d", a.status);
	if (a.status != 200)
		return 2;
	sleep_ms(1500);
	size_t at = 0;

	while (at < executors.size() && !executors[at]->count_running())
		at++;
	if (at == executors.size())
		return 2;
	Executor &leaving = *executors[at];

	leaving.drain();
	for (int i = 0; i < 100 && !leaving.drain_acknowledged; i++)
		sleep_ms(20);
	if (!leaving.drain_acknowledged)
		return 2;
	record("draining is acknowledged");
	sleep_ms(DRAIN_MS + 500 - CUT_BEFORE_END_MS);
	int64_t cut_at = now_ms();

	if (has_trouble()) {
		leaving.cut = true;
		record("what is sent to %s is lost from now on", leaving.id.c_str());
	}
	sleep_ms(CUT_BEFORE_END_MS);
	int64_t leaves_at = now_ms();

	if (!leaving.deregister())
		sleep_ms(std::max<int64_t>(0, leaves_at + ENDS_ANYWAY_MS - now_ms()));
	record("%s ends with %zu tasks, %lld ms after it has said that it leaves",
	       leaving.id.c_str(), leaving.count_running(), (long long)(now_ms() - leaves_at));
	leaving.crash();
	sleep_ms(std::max<int64_t>(0, cut_at + CUT_MS - now_ms()));
	sleep_ms(14000);
	a = system.ask("GET", "q.example", "/q/00000000abc00001", "", 5000);
	record("the job is shown as %s; %d tasks ran twice at the same time; %s", a.body.c_str(),
	       twice.load(), twice ? "BROKEN" : "held");
	executors.clear();
	return twice > 0;
}
