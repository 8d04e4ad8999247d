/// @file
/// Case 12: a queue with advice, and a service that grows from 30 to 37 executors. Each step may run
/// on a few executors, which only the advisor knows.

#include "../common-3/kit.hh"

using namespace kit;

static const char *const config =
	"{\"version\":1,\"routes\":[{\"name\":\"r1\",\"hostname\":\"q.example\",\"pathPrefix\":"
	"\"/q/\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,\"targetDurationMs\":600,"
	"\"priority\":1,\"backend\":\"pool-a\",\"maxAttempts\":2,\"stretch\":1.6,\"advice\":{"
	"\"decideMs\":20,\"eachMs\":1,\"validMs\":3000}}],\"services\":[{\"name\":\"pool-a\","
	"\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"
	"\"admissionControl\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

#define EXECUTORS 30
#define ADDED 7 /* less than a quarter */
#define JOBS 40
#define PART_ALLOWED 18 /* about one executor in so many may run a step */
#define VALID_MS 3000
#define FINISH_MS 14000
#define IDLE_MS 3000 /* of the rule */

/// The policy: whether an executor may run a step. It never changes.
static bool is_allowed(const std::string &phase, const std::string &id)
{
	uint64_t h = 14695981039346656037ull;

	for (char c : phase + "/" + id)
		h = (h ^ (unsigned char)c) * 1099511628211ull;
	return (h >> 20) % PART_ALLOWED == 0;
}

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 3, 2);
	std::vector<std::unique_ptr<Executor>> executors;
	std::mutex mutex;
	std::map<std::string, int64_t> tickets; ///< end of validity
	std::map<std::string, std::set<std::string>> asked; ///< executors by step
	std::set<std::string> ended;
	std::vector<std::string> ids;
	std::string advice = system.ip(3, 1) + ":8621";
	int n_executors = EXECUTORS + (has_trouble() ? ADDED : 0);
	bool broken = false;
	Answer a;

	system.settings.advice = advice;
	for (int i = 0; i < n_executors; i++) {
		auto e = std::make_unique<Executor>(system, "i-" + std::to_string(1000 + i * 37),
						    "pool-a",
						    system.ip(2, i + 1) + ":8080",
						    "m-" + std::to_string(i + 1));
		e->rack = "r1-" + std::to_string(i / 4 + 1);
		e->refuses = [&](Executor &e, const Json &body) -> const char * {
			std::string task = body["task"].text;
			std::string key = task.substr(0, task.rfind('.')) + "|" + e.id + "|" +
					  std::to_string(e.life());
			Lock lock(mutex);

			if (body["ticket"].text == key && tickets[key] >= now_ms())
				return nullptr;
			record("%s refuses %s: ticket", e.id.c_str(), task.c_str());
			return "ticket";
		};
		executors.push_back(std::move(e));
	}
	Server advisor(advice, [&](const std::string &, const std::string &, const Message &m) {
		Json body = parse(m.body);
		std::string phase = body["phase"].text;
		std::string out = "{\"good\":[";
		size_t n = 0;

		sleep_ms(20 + (int64_t)body["workers"].items.size());
		Lock lock(mutex);
		for (auto &w : body["workers"].items) {
			asked[phase].insert(w.text);
			for (auto &e : executors) {
				if (e->id != w.text || !is_allowed(phase, e->id))
					continue;
				std::string ticket =
					phase + "|" + e->id + "|" + std::to_string(e->life());

				tickets[ticket] = now_ms() + VALID_MS;
				out += std::string(n++ ? "," : "") + "[\"" + e->id + "\",\"" +
				       ticket + "\"]";
			}
		}
		record("advice on %s: %zu executors named, %zu may run it", phase.c_str(),
		       body["workers"].items.size(), n);
		return Answer{200, out + "],\"validMs\":" + std::to_string(VALID_MS) + "}"};
	});
	system.start();
	a = system.order("POST", "/api/config/replace", config, 15000);
	record("configuration: %d", a.status);
	if (a.status != 200 || !system.wait_ready(15000))
		return 2;
	for (int i = 0; i < EXECUTORS; i++)
		executors[(size_t)i]->start();
	sleep_ms(2500);
	for (int i = EXECUTORS; i < n_executors; i++)
		executors[(size_t)i]->start();
	sleep_ms(2500);
	for (int i = 0; (int)ids.size() < JOBS && i < 10 * JOBS; i++) {
		char id[17];
		int allowed = 0;

		snprintf(id, sizeof(id), "%016x", 0xabc00000 + i);
		/* Steps that no executor may run are left out; the same jobs with and without trouble. */
		for (int k = 0; k < EXECUTORS; k++)
			allowed += is_allowed(std::string(id) + ".0.0", executors[(size_t)k]->id);
		for (int k = EXECUTORS; has_trouble() && k < n_executors; k++)
			allowed += is_allowed(std::string(id) + ".0.0", executors[(size_t)k]->id);
		if (!allowed)
			continue;
		a = system.ask("POST", "q.example", std::string("/q/") + id,
			       "{\"spec\":\"job\",\"phases\":[{\"count\":1,\"cpu\":1000,\"memMb\":1024,"
			       "\"estimateMs\":800}]}",
			       10000);
		record("job %s: %d, %d executors may run it", id, a.status, allowed);
		if (a.status == 200)
			ids.push_back(id);
		sleep_ms(150);
	}
	record("end of the traffic");
	sleep_ms(FINISH_MS);
	std::map<std::string, std::string> before;

	for (auto &id : ids) {
		a = system.ask("GET", "q.example", "/q/" + id, "", 5000);
		before[id] = a.status == 200 ? parse(a.body)["state"].text : "";
	}
	sleep_ms(IDLE_MS + 500);
	for (auto &id : ids) {
		std::string phase = id + ".0.0";
		size_t runs = 0;
		std::string names;

		a = system.ask("GET", "q.example", "/q/" + id, "", 5000);
		std::string state = a.status == 200 ? parse(a.body)["state"].text : "";

		for (auto &e : executors)
			for (auto &r : e->begun)
				runs += r.task.substr(0, 16) == id;
		for (auto &e : executors)
			if (is_allowed(phase, e->id))
				names += " " + e->id + (asked[phase].count(e->id) ? "" : " (not asked)");
		record("job %s: %s, then %s; %zu runs; may run on%s", id.c_str(), before[id].c_str(),
		       state.c_str(), runs, names.c_str());
		if (before[id] == "pending" && state == "pending" && !runs) {
			broken = true;
			record("BROKEN: nothing of job %s runs, and idle executors may run it",
			       id.c_str());
		}
	}
	record("%zu jobs on %d executors; %s", ids.size(), n_executors, broken ? "BROKEN" : "held");
	executors.clear();
	return broken;
}
