#ifndef SESAMEWOOD_SCHED_INTERFERENCE_H
#define SESAMEWOOD_SCHED_INTERFERENCE_H

/// @file
/// Estimates of how much tasks of one image slow tasks of another image at the same endpoint, by
/// ordered pair (victim, neighbour), and beliefs about bad pairs for placement. The estimates are
/// deterministic functions of the samples and their times.

#include "manager/manager_internal.h"

/// A task counts as beside an image for this share of its run time or more. Below it, most of the
/// run time tells nothing of the pair.
#define INTERFERENCE_OVERLAP_PERCENT 50

/// Latency figures cover a window of this length; earlier figures of the same attempt overlap.
#define INTERFERENCE_WINDOW_MS 500

/// Images beside one sample that are considered; bounds the cost per sample.
#define INTERFERENCE_NEIGHBOURS_MAX 16

struct interference;

/// One measurement of a task.
struct interference_sample {
	const char *image;
	const char *endpoint; ///< id of the endpoint
	/// Run time as part of its estimate, or tail latency as part of its target, in millionths.
	/// Only ratios between samples of one image matter.
	int64_t ratio_ppm;
	bool is_latency;
	unsigned int n_neighbours;
	uint64_t neighbours[INTERFERENCE_NEIGHBOURS_MAX]; ///< keys of the images beside it
};

/// A belief that was formed or dropped.
struct interference_change {
	bool formed;
	char *victim;		  ///< owned
	char *neighbour;	  ///< owned
	uint32_t slowing_percent; ///< of the victim beside the neighbour against elsewhere
	uint32_t samples;	  ///< effective number behind the estimate
	clock_ms_t age_ms;	  ///< of the latest sample if formed, else of the belief
};

/// @return an empty set of estimates, owned by the caller
struct interference *interference_new(void);

void interference_free(struct interference *x);

/// @return key of an image; 0 for ""
uint64_t interference_key(const char *image);

/// Applies one sample. Without an image it has no effect.
void interference_add(struct interference *x, clock_ms_t now, const struct interference_sample *s);

/// Drops the beliefs that have had no sample for too long.
void interference_expire(struct interference *x, clock_ms_t now);

/// @return keys of the images that form a bad pair with an image in either direction, owned by the
/// caller; NULL if there are none
GArray *interference_bad_images(const struct interference *x, uint64_t image);

/// @return number of pairs with estimates
unsigned int interference_count_pairs(const struct interference *x);

/// @return number of beliefs
unsigned int interference_count(const struct interference *x);

/// @return the changes since the last call, of struct interference_change; owned by the caller
GArray *interference_take_changes(struct interference *x);

/* Use by the manager. All have no effect if m->interference is NULL. */

/// Applies the end of an attempt: its own run time if it is done, and its time beside the others.
void interference_record_end(struct manager *m, clock_ms_t now, const struct run *run, bool done);

/// Applies the latency figures that a status query has returned.
///
/// @param query  its order id
void interference_record_status(struct manager *m, clock_ms_t now, struct endpoint *e,
				uint64_t query);

/// Drops old beliefs, and logs and counts the changes since the last round.
void interference_start_round(struct manager *m, clock_ms_t now);

/// @return like interference_bad_images(), for a step
GArray *interference_avoid(const struct manager *m, const job_step *step);

/// Counts a placement that a belief has changed.
void interference_count_moved(struct manager *m);

#endif
