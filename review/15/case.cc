/// @file
/// Case 15: an operator's tool sends a file to which a second configuration has been appended.

#include "../common-3/kit.hh"

using namespace kit;

static std::string config(int version, const std::string &prefix)
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"routes\":[{\"name\":\"r1\",\"hostname\":\"q.example\",\"pathPrefix\":\"" +
	       prefix +
	       "\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,\"targetDurationMs\":600,"
	       "\"priority\":1,\"backend\":\"pool-a\",\"maxAttempts\":2,\"stretch\":1.6}],"
	       "\"services\":[{\"name\":\"pool-a\",\"healthPath\":\"/health\",\"maxConns\":64,"
	       "\"protocol\":\"h1\",\"tls\":false,\"admissionControl\":false,\"standby\":false}],"
	       "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
	       "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

/// @return end of the first JSON object in @p s
static size_t object_end(const std::string &s)
{
	int depth = 0;
	bool in_text = false;

	for (size_t i = 0; i < s.size(); i++) {
		if (in_text) {
			i += s[i] == '\\';
			in_text = s[i] != '"';
		} else if (s[i] == '"') {
			in_text = true;
		} else if (s[i] == '{' || s[i] == '}') {
			depth += s[i] == '{' ? 1 : -1;
			if (!depth)
				return i + 1;
		}
	}
	return 0;
}

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	System system(choose_net(), 3, 2);
	std::string second = config(7, "/new/") + "\n" + config(5, "/old/");
	bool broken = false;
	Answer a;
	const char *const prefixes[] = {"/first/", "/new/", "/old/"};

	system.start();
	a = system.order("POST", "/api/config/replace", config(3, "/first/"), 15000);
	record("version 3: %d", a.status);
	if (a.status != 200 || !system.wait_ready(15000))
		return 2;
	if (!has_trouble())
		second = config(7, "/new/");
	a = system.order("POST", "/api/config/replace", second, 10000);
	record("operator sends %s", second.c_str());
	record("answer %d", a.status);
	if (has_trouble() && a.status == 200) {
		broken = true;
		record("BROKEN: what cannot be read as one JSON text is acknowledged");
	}
	sleep_ms(3000);
	a = system.order("GET", "/api/config/read", "", 10000);
	record("read back: %d %s", a.status, a.body.c_str());
	if (a.status == 200 && object_end(a.body) != a.body.size()) {
		broken = true;
		record("BROKEN: what is read back isn't a JSON text");
	}
	for (const char *p : prefixes) {
		a = call(system.front(0), "GET", p, "q.example", "", 3000);
		record("GET %s: %d %s", p, a.status, a.body.c_str());
	}
	record("%s", broken ? "BROKEN" : "held");
	return broken;
}
