#ifndef SESAMEWOOD_REVIEW_WORLD_H
#define SESAMEWOOD_REVIEW_WORLD_H

/// @file
/// Stand-ins for the scripts of the second review: executors, the machine service, clients and the
/// operator on loopback addresses, and the processes of the system as children. What is sent,
/// answered and run is written to record.txt.
///
/// The executors read their work from the text of the job ("spec"), a list of words:
///   ms=N      work of one task, milliseconds
///   gang=N    the task is a member of a gang of N
///   save=N    a new checkpoint with each N ms of work; 0: none

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#define WORLD_CONTROLS 3
#define WORLD_GANG_MS 3000	  /* bounds.gangMs of the settings */
#define WORLD_HEARTBEAT_MS 1500	  /* heartbeatMs of the settings */
#define WORLD_HOLD_MAX_MS 6000	  /* bounds.holdMaxMs of the settings */
#define WORLD_CONTACT_MS 3000	  /* bounds.contactMs of the settings */
#define WORLD_STOP_MS 400	  /* bounds.stopMs of the settings */
#define WORLD_EXECUTOR_CPU 32000  /* thousandths of a core */
#define WORLD_EXECUTOR_MEM 131072 /* MB */

/// How an executor behaves towards the network.
enum executor_mode {
	EXECUTOR_UP,
	EXECUTOR_CUT,  ///< cut off silently; what runs there runs on
	EXECUTOR_DOWN, ///< not running
};

/// What becomes of the next start order that names a task.
enum start_fate {
	START_NORMAL,
	START_UNANSWERED, ///< gets no answer and is executed some seconds later
};

struct executor;

/// One run that has ended at an executor.
struct ended_run {
	gint64 number;
	char *task;
	guint attempt;
	const char *how;
	char *saved;
	gint64 at_ms;	 ///< time of the end
	gint64 acked_ms; ///< time at which ackThrough reached it; 0: not yet
	struct executor *executor;
};

/// Called with the lock held for each start order that an executor receives.
typedef enum start_fate (*start_hook)(struct executor *e, const char *task, guint attempt,
				      const char *checkpoint);

struct world {
	GMutex lock;
	GCond changed;
	bool trouble;	 ///< false: TROUBLE=0, the same without the disruption
	bool ended;	 ///< the script is over
	char *dir;	 ///< temporary folder
	char prefix[32]; ///< first three parts of the loopback addresses
	GPtrArray *executors;
	GPtrArray *ends; ///< of struct ended_run: all ends, in order
	start_hook on_start;
	bool has_advice;     ///< the queue has a policy that the advisor knows; set before
			     ///< world_begin()
	bool keeps_ids;	     ///< executors start again under the id that they had
	guint list_delay_ms; ///< time until an executor answers with its lists
	guint crashes;	     ///< processes of the system that ended by themselves
	guint64 starts;
};

extern struct world world;

/// Starts everything and waits until a configuration is acknowledged. Exits with 2 if it cannot.
void world_begin(int argc, char **argv, guint n_executors);
/// Returns how often the process of a control replica has ended by itself.
guint world_ends_of_control(guint number);
/// Returns the control replica that took the leadership last, by the logs, or -1.
int world_find_leader(void);
/// Kills the process of a control replica; it is started again after @p down_ms.
void world_kill_control(guint number, guint down_ms);
/// Ends all processes and exits with @p status.
void world_end(int status) __attribute__((noreturn));

/// Writes a line to record.txt.
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
gint64 now_ms(void);
void sleep_ms(guint ms);

/// Sends a configuration to a control replica.
///
/// @return status of the answer, or 0
guint operator_put(guint number, const char *body);
/// Reads the configuration.
///
/// @return body of the answer with status 200, or NULL; released with g_free()
char *operator_read(guint number);

/// Submits a job, with retries until it is accepted. Exits with 2 if it is not within 20 s.
///
/// @param phases  the JSON text of the member "phases"
void client_submit(const char *id, const char *spec, const char *phases);
/// Submits a job once.
///
/// @return status of the answer, or 0
guint client_submit_once(const char *id, const char *spec, const char *phases);
/// Asks for the state of a job.
///
/// @return state, or NULL without an answer; released with g_free()
char *client_state(const char *id);
/// Waits until a job is shown in one of the states that end it.
///
/// @return state, or NULL after @p timeout_ms
char *client_wait(const char *id, guint timeout_ms);

/// Adds an executor of the pool.
void executor_add(void);
/// Returns the executor that runs a task, or NULL.
struct executor *executor_running(const char *task);
/// Returns the number of runs of the task names that begin with @p prefix.
guint executors_count(const char *prefix);
const char *executor_id(const struct executor *e);
/// Sets the mode; from EXECUTOR_DOWN the executor comes back as a new life, under a new id unless
/// world.keeps_ids is set.
void executor_set_mode(struct executor *e, enum executor_mode mode);
/// Crashes an executor: what runs there is gone.
void executor_crash(struct executor *e);

#endif
