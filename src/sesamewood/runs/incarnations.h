#ifndef SESAMEWOOD_RUNS_INCARNATIONS_H
#define SESAMEWOOD_RUNS_INCARNATIONS_H

/// @file
/// Endpoint incarnations: heartbeats, restarts and deregistrations, and the state inherited from an
/// earlier leader.

#include "manager/manager_internal.h"

/// Rebuilds endpoints and attempts from the job state after an election. Whether the attempts still
/// run is unknown.
void incarnations_inherit(struct manager *m, clock_ms_t now);

/// @return the endpoint with that id, also when it has terminated, or NULL
struct endpoint *incarnations_find_endpoint(struct manager *m, const char *id);

/// Frees terminated endpoints without a heartbeat for FORGET_ENDPOINT_MS.
void incarnations_forget_terminated(struct manager *m, clock_ms_t now);

/// Handles an endpoint's heartbeat. Ignores one of an earlier incarnation, with an old sequence
/// number, or of a pool that no configuration names.
///
/// A heartbeat may come from another writer, so it is no proof that another incarnation has ended:
/// one of a later incarnation, under the same id or at the same address, only calls for a query to
/// the known one, whose answer decides.
void incarnations_handle_heartbeat(struct manager *m, clock_ms_t now,
				   const struct endpoint_heartbeat *hb);

/// Handles a short heartbeat, forwarded by another replica for an endpoint whose details this
/// leader has.
///
/// @return false if the leader lacks the details, or holds others, and needs a full heartbeat
bool incarnations_handle_short_heartbeat(struct manager *m, clock_ms_t now,
					 const struct short_heartbeat *s);

/// Records the answer of an endpoint's incarnation to a status query sent at @p sent_at: claims
/// from before that are false.
void incarnations_handle_answer(struct endpoint *e, clock_ms_t sent_at);

/// Tells whether a status query is due that shows whether an endpoint has ended, as was claimed.
bool incarnations_needs_verification(const struct endpoint *e, clock_ms_t now);

/// Applies the heartbeat of the announced incarnation if that one has answered, or if the known one
/// has terminated, or is silent and runs nothing.
void incarnations_adopt_announced(struct manager *m, clock_ms_t now, struct endpoint *e);

/// Handles an endpoint's deregistration: it gets no new work until a heartbeat shows that it is
/// ready. One that drains is asked until it answers no more, which ends it.
void incarnations_handle_deregistration(struct manager *m, clock_ms_t now,
					const struct endpoint_heartbeat *hb);

/// Handles a restart of an endpoint under the same id. Attempts that the earlier incarnation listed
/// have ended. The start of any other may have been executed, or may still be, by the new
/// incarnation, whose lists settle it.
void incarnations_handle_restart(struct manager *m, clock_ms_t now, struct endpoint *e,
				 int64_t incarnation_wall_ms);

#endif
