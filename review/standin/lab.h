#ifndef SESAMEWOOD_REVIEW_LAB_H
#define SESAMEWOOD_REVIEW_LAB_H

/// @file
/// A small deployment on loopback addresses. The programs run as separate processes, with the
/// commands of the deploy file; clients, the operator, executors and the platform's machine service
/// are stand-ins in this process that follow the users' pages.

#include "base/clock.h"

#include <glib.h>
#include <stdbool.h>

#define LAB_HOST "lab.example"
#define LAB_PREFIX "/queue/"
/// Time from a start under an earlier id to the first heartbeat; less than a heartbeat period.
#define LAB_FIRST_HEARTBEAT_MS 1000
#define LAB_ADVICE_DECIDE_MS 40
#define LAB_ADVICE_VALID_MS 3000
#define LAB_EXIT_HELD 0
#define LAB_EXIT_BROKEN 1
#define LAB_EXIT_COULD_NOT_RUN 2

struct lab_settings {
	const char *folder; ///< of the case; record.txt is written there
	unsigned int controls;
	unsigned int entries;
	unsigned int executors;
	unsigned int executors_added; ///< of them, those that lab_add_executors() starts
	bool advice;		      ///< the queue needs tickets of the advice service
};

/// A step of a job as its executors know it.
struct lab_step {
	unsigned int work_ms; ///< run time of a task; 0: it lasts
};

struct lab_answer {
	unsigned int status; ///< 0: no complete answer
	char *body;
};

struct lab_executor;

/// Whether the disruption of the case takes place: the environment does not say TROUBLE=0.
bool lab_trouble(void);

/// Starts all processes and stand-ins, and waits until the first configuration is acknowledged.
/// Exits with LAB_EXIT_COULD_NOT_RUN on failure.
void lab_open(const struct lab_settings *settings);

/// Ends all processes, removes the temporary folder, records the verdict and returns the exit
/// status.
int lab_close(bool broken, const char *why);

void lab_record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/// Ends the run: the case could not be played.
void lab_give_up(const char *why) G_GNUC_NORETURN;

/// Serves the stand-ins for a time.
void lab_run(clock_ms_t ms);

/// Serves the stand-ins until a condition holds.
///
/// @return false if it did not hold in time
bool lab_wait(bool (*condition)(void *ctx), void *ctx, clock_ms_t timeout_ms);

/* Calls. A NULL body sends a GET, any other body a POST. */

/// Calls the client address of an entry, chosen in turn.
struct lab_answer lab_client(const char *path, const char *body);

/// Calls a control replica.
struct lab_answer lab_operator(unsigned int control, const char *path, const char *body);

/// Sends an order of the operator to one replica after the other until it gets a clear answer.
///
/// @return the status, or 0 when no clear answer came in time
unsigned int lab_operator_until_clear(const char *path, const char *body, clock_ms_t timeout_ms);

void lab_answer_clear(struct lab_answer *a);

/// Sends a POST of a client without waiting, and again until it gets a 2xx. Counts into *done.
void lab_submit_in_background(const char *path, const char *body, unsigned int *done);

/* Disruptions. */

void lab_kill_all_controls(void);
void lab_start_all_controls(void);

/// Restarts replicas that have ended by themselves, as the platform does.
///
/// @return number of ends so far
unsigned int lab_ends_of_their_own(void);

/// Crashes an executor: it runs nothing, and is back after @p down_ms as a new one at its address.
void lab_executor_crash(struct lab_executor *e, clock_ms_t down_ms);

/// The same, but it is back under the id that it had, and knows nothing of before.
void lab_executor_crash_and_keep_id(struct lab_executor *e, clock_ms_t down_ms);

/// Starts the executors that are added later.
void lab_add_executors(void);

/// Holds up the next start of a task on its way: it gets no answer and arrives after a time.
void lab_hold_up_start(const char *task, clock_ms_t ms);

/// @return the executor to which that start was sent, or NULL if none was sent yet
struct lab_executor *lab_held_up_at(void);

/// @return number of starts of a task after an end `done` of it was taken note of
unsigned int lab_starts_after_done(void);

/// Cuts an executor off in both directions for a time. It runs on.
void lab_executor_cut(struct lab_executor *e, clock_ms_t ms);

struct lab_executor *lab_executor(unsigned int index);

/// @return number of tasks that run on an executor
unsigned int lab_runs_on(const struct lab_executor *e);

/// Sends a heartbeat of another writer, of a service that no configuration names, with the address
/// of an executor.
void lab_foreign_heartbeat(const struct lab_executor *e, const char *service);

/// @return number of starts of a task that ran on another executor that was up
unsigned int lab_overlaps(void);

/// @return the executor that runs a task now, or NULL
struct lab_executor *lab_executor_running(const char *task);

/// @return how often any executor has listed an end of a task in that way
unsigned int lab_count_ends(const char *task, const char *how);

/// @return number of calls that were sent to executors
unsigned int lab_orders(void);

/// @return number of starts that executors have accepted
unsigned int lab_starts(void);

/// Tells executors about the steps of a job. @p steps must remain valid.
void lab_know_job(const char *id, const struct lab_step *steps);

/// @return number of executors that are up
unsigned int lab_executors_up(void);

#endif
