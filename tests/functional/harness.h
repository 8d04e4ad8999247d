#ifndef SESAMEWOOD_TESTS_HARNESS_H
#define SESAMEWOOD_TESTS_HARNESS_H

/// @file
/// Starts real programs on the loopback, makes them fail, and reads what the stand-ins saw.

#include "base/clock.h"

#include <gio/gio.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>

#define HARNESS_CONTROLS 3
#define HARNESS_ENTRIES_MAX 7
#define HARNESS_ENDPOINTS_MAX 64

struct harness_settings {
	unsigned int entries;
	const char *control_flags; ///< further flags, separated by spaces, or NULL
	const char *entry_flags;
};

/// One started program.
struct program {
	char *name;
	char **argv;
	GSubprocess *process;
};

struct harness {
	struct harness_settings settings;
	char *host;   ///< loopback address of its own
	char *folder; ///< data, logs and results
	struct program controls[HARNESS_CONTROLS];
	struct program entries[HARNESS_ENTRIES_MAX];
	struct program endpoints[HARNESS_ENDPOINTS_MAX];
	unsigned int n_endpoints;
	int next_port;
	unsigned int next_load;
};

/// What callers got.
struct load_result {
	long ran;
	long not_run;
	long may_have_run;
	long errors; ///< no answer, or part of one
	long ok;     ///< status 2xx
	double rate; ///< ok answers a second
	long p50_us;
	long p99_us;
	long max_us;
};

/// What endpoints and callers saw together.
struct run_summary {
	long runs;
	long keys_run_twice;
	long false_not_run; ///< answered "not run", and in the log of an endpoint
	long false_ran;	    ///< answered "ran", and in no log
	long pool_overlaps; ///< an instance served two pools at once, or an older epoch later
};

/// Sets the folder of the programs from --programs=DIR, or the test's own folder.
void harness_init(int *argc, char ***argv);

struct harness *harness_new(const struct harness_settings *settings);
/// Stops everything that was started; keeps the folder when a test failed.
void harness_free(struct harness *h);

void program_start(struct harness *h, struct program *p);
void program_signal(struct program *p, int signal);
/// Kills it and waits for its end.
void program_kill(struct program *p);
/// Waits for the end of a program that was asked to stop.
///
/// @return exit status, or -1 when it ended by a signal
int program_wait(struct program *p);

/// Starts a process that stands in for instances named "<prefix>1" to "<prefix><n>".
struct program *harness_start_endpoints(struct harness *h, const char *prefix, int n,
					const char *flags);
/// Starts an endpoint process again as a new incarnation.
void harness_restart_endpoints(struct harness *h, struct program *p, int incarnation);

/// Starts callers in the background. Flags are separated by spaces.
struct program *harness_start_load(struct harness *h, const char *flags);
struct load_result harness_finish_load(struct program *load);

/// Puts a table on the version in force; the test fails if it isn't accepted.
///
/// @return its version
gint64 harness_put_table(struct harness *h, const char *table, const char *json);

/// Makes one HTTP request.
///
/// @param headers "A: b" strings, NULL-terminated, or NULL
/// @param[out] body of the answer, or NULL
/// @param[out] head of the answer, or NULL
/// @return status, or 0 when there was no answer
long harness_http(const char *method, const char *url, const char *const *headers,
		  const char *content, char **body, char **head);

/// @return administration URL of control replica @p i
char *harness_admin_url(const struct harness *h, unsigned int i, const char *path);
/// @return URL of entry @p i
char *harness_entry_url(const struct harness *h, unsigned int i, const char *path);

/// @return parsed answer of any replica that answers, or NULL
JsonNode *harness_get_json(struct harness *h, const char *path);
/// @return an integer member of /v1/status, or -1
gint64 harness_status_member(struct harness *h, const char *member);
/// @return index of the leader among the controls, waiting for one
unsigned int harness_leader(struct harness *h);
/// @return number of instances in a pool that are in the given phase (any when NULL)
int harness_count_instances(struct harness *h, const char *pool, const char *phase);
/// @return a text member of an instance, or NULL
char *harness_instance_member(struct harness *h, const char *instance, const char *member);
/// @return whether a change is in force on all entries
bool harness_is_in_force(struct harness *h, gint64 version);

/// Reads a counter or gauge of a program's /metrics.
long harness_metric(const char *url, const char *name);

struct run_summary harness_read_results(struct harness *h);

/// Waits until a condition holds.
///
/// @return false after @p timeout_ms
#define harness_wait_until(condition, timeout_ms)                                                  \
	({                                                                                         \
		clock_ms_t until_ = clock_monotonic() + (timeout_ms);                              \
		bool holds_ = false;                                                               \
		while (!(holds_ = (condition)) && clock_monotonic() < until_)                      \
			g_usleep(10000);                                                           \
		holds_;                                                                            \
	})

/// Two pools with eight instances each, the second one spare, and a route to each.
void harness_set_up_two_pools(struct harness *h);

#endif
