#ifndef SESAMEWOOD_TESTS_REPLICAS_H
#define SESAMEWOOD_TESTS_REPLICAS_H

/// @file
/// Control replicas of the platform's programs as child processes, with three seeds. They listen on
/// the addresses .1 to .3 of a loopback network of their own and end with the test.

#include <gio/gio.h>

#define REPLICAS_SEEDS 3

struct replicas {
	char *dir;     ///< settings and data
	char *network; ///< first three numbers of the addresses
	GSubprocess *processes[REPLICAS_SEEDS];
};

/// Starts the first @p n seeds. Aborts the test on failure.
///
/// @param heartbeat_ms  period of endpoint heartbeats
struct replicas *replicas_start(unsigned int n, unsigned int heartbeat_ms);

/// Kills the replicas and frees @p r.
void replicas_free(struct replicas *r);

/// Returns the URL of a path at replica @p i, owned by the caller.
char *replicas_url(const struct replicas *r, unsigned int i, const char *path);

/// Sends a ready heartbeat of an endpoint to replica @p i.
///
/// @return HTTP status, or 0 without an answer
long replicas_send_heartbeat(const struct replicas *r, unsigned int i, const char *endpoint,
			     long timeout_ms);

#endif
