#ifndef SESAMEWOOD_TESTS_HARNESS_H
#define SESAMEWOOD_TESTS_HARNESS_H

/// @file
/// Starts the real programs on a loopback address together with fake endpoints and fake callers,
/// makes them fail, and reads the logs of the fakes.

#include "base/clock.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

#define HARNESS_CONTROLS 3
#define HARNESS_ENTRIES_MAX 7
#define HARNESS_ENDPOINTS_MAX 64

struct harness_settings {
	unsigned int entries;	   ///< number of entries, HARNESS_ENTRIES_MAX at most
	const char *control_flags; ///< additional flags, separated by spaces, or NULL
	const char *entry_flags;   ///< additional flags of the entries, or NULL
};

/// A program and its process. A stopped program can be started again with the same arguments.
struct program {
	char *name;
	char **argv;
	GSubprocess *process;
};

struct harness {
	struct harness_settings settings;
	char *host; ///< loopback address of this harness, chosen by process id
	char *dir;  ///< temporary directory with data, logs and results
	struct program controls[HARNESS_CONTROLS];
	struct program entries[HARNESS_ENTRIES_MAX];
	struct program endpoints[HARNESS_ENDPOINTS_MAX];
	unsigned int n_endpoints;
	int next_port;
	unsigned int next_load;
};

/// Results of the fake callers.
struct load_result {
	long ran; ///< responses by verdict
	long not_run;
	long may_have_run;
	long errors; ///< no response, or an incomplete one
	long ok;     ///< status 2xx
	double rate; ///< ok responses per second
	long p50_us; ///< latencies of ok responses
	long p99_us;
	long max_us;
};

/// Results of comparing the logs of the fake endpoints with those of the fake callers.
struct run_summary {
	long runs; ///< requests that endpoints started to run
	long keys_run_twice;
	long false_not_run; ///< callers got "not run", but an endpoint ran the request
	long false_ran;	    ///< callers got "ran", but no endpoint ran the request
	long pool_overlaps; ///< an instance served two pools at once, or one pool by an older epoch
			    ///< after another pool by a newer one
};

/// Sets the directory of the programs: --programs=DIR, or else that of the test program.
void harness_init(int *argc, char ***argv);
/// Returns the directory of the programs.
const char *harness_programs(void);

/// Starts the control replicas and the entries, and waits until all entries are healthy. Aborts the
/// test program when the wait times out. The result is released with harness_free().
struct harness *harness_new(const struct harness_settings *settings);
/// Kills all programs and frees the harness. Removes its directory unless a test failed.
void harness_free(struct harness *h);

/// Starts the program, also again after its process has ended.
void program_start(struct harness *h, struct program *p);
void program_signal(struct program *p, int signal);
/// Kills the process and waits for its end.
void program_kill(struct program *p);
/// Waits for the end of the process.
///
/// @return exit status, or -1 if a signal ended it
int program_wait(struct program *p);

/// Starts one process that serves as the fake endpoint instances "<prefix>1" to "<prefix><n>".
///
/// @return the program, owned by the harness
struct program *harness_start_endpoints(struct harness *h, const char *prefix, int n,
					const char *flags);
/// Starts a process of fake endpoints again, with a new incarnation.
void harness_restart_endpoints(struct harness *h, struct program *p, int incarnation);

/// Starts fake callers in the background.
///
/// @param flags of fake-load, separated by spaces
/// @return the program; release it with harness_finish_load()
struct program *harness_start_load(struct harness *h, const char *flags);
/// Waits until the callers have finished, and frees the program.
struct load_result harness_finish_load(struct program *load);

/// Replaces a table ("pools" or "routes"), based on the version in force. Ends the test program if
/// control doesn't accept it.
///
/// @return the new version
gint64 harness_put_table(struct harness *h, const char *table, const char *json);

/// Sends one HTTP request, with the administration token, and waits for the response.
///
/// @param headers "A: b" strings, NULL-terminated, or NULL
/// @param content request body, or NULL
/// @param[out] body of the response, or NULL; release it with g_free(), like @p head
/// @param[out] head status line and headers of the response, or NULL
/// @return HTTP status, or 0 without a complete response
long harness_http(const char *method, const char *url, const char *const *headers,
		  const char *content, char **body, char **head);

/// @return administration URL of control replica @p i, counted from 0; release it with g_free()
char *harness_admin_url(const struct harness *h, unsigned int i, const char *path);
/// @return caller URL of entry @p i, counted from 0; release it with g_free()
char *harness_entry_url(const struct harness *h, unsigned int i, const char *path);

/// @return parsed response of the first replica that responds with status 200, or NULL; owned by
/// the caller
JsonNode *harness_get_json(struct harness *h, const char *path);
/// @return an integer member of /v1/status, or -1
gint64 harness_status_member(struct harness *h, const char *member);
/// Waits for a leader.
///
/// @return index of the leader in harness.controls
unsigned int harness_leader(struct harness *h);
/// @param phase NULL: any
/// @return number of instances in a pool that are in the phase
int harness_count_instances(struct harness *h, const char *pool, const char *phase);
/// @return a text member of an instance, to be released with g_free(), or NULL
char *harness_instance_member(struct harness *h, const char *instance, const char *member);
/// @return whether a change is in force on all entries
bool harness_is_in_force(struct harness *h, gint64 version);

/// Reads a counter or gauge.
///
/// @param url of the program's /metrics
/// @return its value, or -1 if it can't be read
long harness_metric(const char *url, const char *name);

/// Reads the logs of the fake endpoints and the fake callers.
struct run_summary harness_read_results(struct harness *h);

/// Evaluates a condition every 10 ms until it holds.
///
/// @return false if it doesn't hold within @p timeout_ms
#define harness_wait_until(condition, timeout_ms)                                                  \
	({                                                                                         \
		clock_ms_t until_ = clock_monotonic() + (timeout_ms);                              \
		bool holds_ = false;                                                               \
		while (!(holds_ = (condition)) && clock_monotonic() < until_)                      \
			g_usleep(10000);                                                           \
		holds_;                                                                            \
	})

/// Sets up pools "a" and "s" with eight instances each and a route to each, and waits until they
/// are active. The instances of "s" may be lent to "a".
void harness_set_up_two_pools(struct harness *h);

#endif
