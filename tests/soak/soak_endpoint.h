#ifndef SESAMEWOOD_TESTS_SOAK_ENDPOINT_H
#define SESAMEWOOD_TESTS_SOAK_ENDPOINT_H

/// @file
/// Stand-in for the users' executors: starts and ends tasks as it is told, holds orders up, falls
/// silent and starts again on request, and checks each start against what was handed in.

#include "base/clock.h"
#include "base/http_server.h"

#include <ev.h>
#include <glib.h>

#define SOAK_ENDPOINT_CPU 4000 /* thousandths of a core: four tasks at a time */
#define SOAK_TASK_CPU 1000
#define SOAK_TASK_MEM_MB 100

/// A job as its caller knows it. All tasks take the same time.
struct soak_job {
	char *id;
	char *payload;
	unsigned int steps; ///< each comes after the one before
	unsigned int tasks; ///< of each step
	bool accepted;
	bool asked_again; ///< its state is being asked for
	bool over;
};

/// What all endpoints together know of one task.
struct soak_task {
	unsigned int running; ///< runs at this moment
	bool done;	      ///< a run has ended as done, whether or not that was taken note of
	bool done_noted;      ///< its end was acknowledged
};

/// What the endpoints of one soak share.
struct soak_world {
	struct ev_loop *loop;
	GRand *random;
	GHashTable *jobs;  ///< struct soak_job by id
	GHashTable *tasks; ///< struct soak_task by name
	GPtrArray *broken; ///< of char *: promises that were broken
	unsigned int starts;
	unsigned int late_percent; ///< of orders that are held up and get no answer
	unsigned int fail_percent; ///< of tasks that fail
};

struct soak_endpoint;

/// Listens on @p address; the endpoint's first life begins.
struct soak_endpoint *soak_endpoint_new(struct soak_world *w, const char *id, const char *address);

/// Ends what is due, answers what has waited, executes what was held up.
void soak_endpoint_tick(struct soak_endpoint *e, clock_ms_t now);

/// Everything there ends at once; it starts again, under its id or a new one.
void soak_endpoint_crash(struct soak_endpoint *e, bool same_id);

/// It answers nothing and reports nothing for a time, but goes on.
void soak_endpoint_mute(struct soak_endpoint *e, clock_ms_t until);

/// @return path and body of its next report, or NULL while it is silent
char *soak_endpoint_report(struct soak_endpoint *e, char **path);

#endif
