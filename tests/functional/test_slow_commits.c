/// @file
/// A leader of the platform's programs whose commits are slow: what needs no commit must not wait
/// for one, or its senders repeat it and make a leader that lags slower yet.

#include "harness.h"
#include "replicas.h"

#include "base/http_client.h"

#include <signal.h>

#define HEARTBEAT_MS 500
#define START_MS 10000 /* until a leader accepts the first configuration */
#define TRIES 15
#define CONFIG_TIMEOUT_MS 3000
#define CONFIG_LEAD_US 80000 /* the change has reached the leader, if it is one */
#define ANSWER_MAX_MS 250    /* within the leadership lease */
#define SETTLE_US 1500000    /* an election */

/// A change of the configuration that is sent by a thread.
struct config_change {
	const struct replicas *replicas;
	unsigned int replica;
	unsigned int version;
	gint answered; ///< set once the answer has come
};

static long put_config(const struct replicas *r, unsigned int replica, unsigned int version)
{
	g_autofree char *url = replicas_url(r, replica, "/api/config/replace");
	g_autofree char *body = g_strdup_printf(
		"{\"version\":%u,\"routes\":[],\"services\":[{\"name\":\"p\",\"healthPath\":\"/h\","
		"\"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"admissionControl\":false,"
		"\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
		"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}",
		version);
	g_autoptr(http_result_t) result =
		http_client_request("POST", url, NULL, body, CONFIG_TIMEOUT_MS);

	return result->status;
}

static gpointer run_config_change(gpointer data)
{
	struct config_change *c = data;

	put_config(c->replicas, c->replica, c->version);
	g_atomic_int_set(&c->answered, 1);
	return NULL;
}

static void signal_others(const struct replicas *r, unsigned int replica, int signal)
{
	for (unsigned int i = 0; i < REPLICAS_SEEDS; i++)
		if (i != replica)
			g_subprocess_send_signal(r->processes[i], signal);
}

/// Suspends the other replicas and sends a change of the configuration and a heartbeat to one,
/// which may lead.
///
/// @return whether the heartbeat was acknowledged while the change waited for its commit
static bool heartbeat_overtakes_commit(const struct replicas *r, unsigned int replica,
				       unsigned int version)
{
	struct config_change change = {.replicas = r, .replica = replica, .version = version};
	g_autofree char *endpoint = g_strdup_printf("i-%u", version); /* of no earlier heartbeat */
	GThread *thread;
	bool overtakes;

	signal_others(r, replica, SIGSTOP);
	thread = g_thread_new("config", run_config_change, &change);
	g_usleep(CONFIG_LEAD_US);
	overtakes = replicas_send_heartbeat(r, replica, endpoint, ANSWER_MAX_MS) == 200 &&
		    !g_atomic_int_get(&change.answered);
	signal_others(r, replica, SIGCONT);
	g_thread_join(thread);
	return overtakes;
}

static void test_heartbeat_does_not_wait_for_a_slow_commit(void)
{
	struct replicas *r = replicas_start(REPLICAS_SEEDS, HEARTBEAT_MS);
	gint64 until = g_get_monotonic_time() + START_MS * 1000;
	unsigned int version = 1;
	bool overtakes = false;

	while (put_config(r, 0, version) != 200)
		g_assert_cmpint(g_get_monotonic_time(), <, until);
	for (unsigned int i = 0; i < TRIES && !overtakes; i++) {
		overtakes = heartbeat_overtakes_commit(r, i % REPLICAS_SEEDS, ++version);
		if (!overtakes)
			g_usleep(SETTLE_US);
	}
	g_assert_true(overtakes);
	replicas_free(r);
}

int main(int argc, char **argv)
{
	harness_init(&argc, &argv);
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slow_commits/heartbeat_does_not_wait_for_a_slow_commit",
			test_heartbeat_does_not_wait_for_a_slow_commit);
	return g_test_run();
}
