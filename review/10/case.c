/// @file
/// The operator sends a body that is no JSON text: two configurations, one after the other. See
/// claim.txt.

#include "world.h"

#define EXECUTORS 4
#define CONFIG_MS 2000 /* bounds.configMs of the settings */
#define JOB "[{\"count\":1,\"cpu\":1800,\"memMb\":3600,\"estimateMs\":300}]"
#define ROUTE(NAME, PATH)                                                                          \
	"{\"name\":\"" NAME "\",\"hostname\":\"pule25.example\",\"pathPrefix\":\"" PATH            \
	"\",\"routeKind\":\"mutating\",\"timeoutMs\":3000,\"targetDurationMs\":600,"               \
	"\"priority\":0,\"backend\":\"troquel\",\"maxAttempts\":2,\"stretch\":1.6}"
#define CONFIG(VERSION, ROUTES)                                                                    \
	"{\"version\":" VERSION ",\"routes\":[" ROUTES "],\"services\":[{\"name\":\"troquel\","    \
	"\"healthPath\":\"/health\",\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,"            \
	"\"admissionControl\":false,\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"     \
	"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}"

int main(int argc, char **argv)
{
	/* A new version, and behind it what is left of another file. */
	const char *two = CONFIG("8", ROUTE("r-1", "/puxa400/") "," ROUTE("r-2", "/tije37/"))
		CONFIG("9", ROUTE("r-2", "/tije37/"));
	g_autofree char *held = NULL;
	guint put = 400;
	guint before;
	guint after;

	world_begin(argc, argv, EXECUTORS);
	before = client_submit_once("5c0e7a21d94b3a01", "ms=300", JOB);
	if (before != 200)
		world_end(2);
	if (world.trouble)
		put = operator_put(0, two);
	sleep_ms(CONFIG_MS + 500);
	held = operator_read(1);
	after = client_submit_once("5c0e7a21d94b3a02", "ms=300", JOB);
	record("invalid configuration answered %u; a job on the route that was there: %u before, "
	       "%u "
	       "after; read back is the invalid one: %s",
	       put, before, after, held && g_str_equal(held, two) ? "yes" : "no");
	if (!held || !put || !after)
		world_end(2);
	world_end(put / 100 == 2 || after == 404 || g_str_equal(held, two) ? 1 : 0);
}
