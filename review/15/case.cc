/// @file
/// Case 15: a client's spec contains the character U+0000, which JSON writes as \u0000.

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

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 3, 2);
	std::vector<std::unique_ptr<Executor>> executors;
	const char *end = has_trouble() ? "\\u0000" : ",";
	/* Fields of an order, each with its end. */
	std::string spec =
		std::string("pay town=xela") + end + "sheets=400" + end + "colour=red" + end;
	std::string body =
		"{\"spec\":\"" + spec +
		"\",\"phases\":[{\"count\":1,\"cpu\":500,\"memMb\":256,\"estimateMs\":500}]}";
	std::string sent = parse(body)["spec"].text;
	bool broken = false;
	size_t runs = 0;
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
		executors.back()->task_ms = 500;
		executors.back()->start();
	}
	sleep_ms(2500);
	a = system.ask("POST", "q.example", "/q/00000000abc00001", body, 10000);
	record("client sends %s", body.c_str());
	record("the spec has %zu bytes; answer %d", sent.size(), a.status);
	if (a.status == 200)
		sleep_ms(3000);
	for (auto &e : executors)
		for (auto &r : e->begun) {
			runs++;
			broken |= r.spec != sent;
			record("%s was told to start %s with a spec of %zu bytes: %.*s%s",
			       e->id.c_str(), r.task.c_str(), r.spec.size(), (int)r.spec.size(),
			       r.spec.c_str(),
			       r.spec == sent ? "" : "  BROKEN: not the spec that was sent");
		}
	a = system.ask("GET", "q.example", "/q/00000000abc00001", "", 5000);
	record("%zu runs; the job is shown as %d %s; %s", runs, a.status, a.body.c_str(),
	       broken ? "BROKEN" : "held");
	executors.clear();
	return broken;
}
