#ifndef SESAMEWOOD_MANAGER_REPORTS_H
#define SESAMEWOOD_MANAGER_REPORTS_H

/// @file
/// Endpoints' reports at a replica that does not lead. One that tells the leader something new is
/// passed on and acknowledged only once the leader took it. The others are acknowledged here, and
/// the leader is told a few times a second, together, that they were heard. Answers the load of
/// over a thousand endpoints that report every second or two, nearly always the same.

#include "manager/manager_defs.h"

struct reports;

struct reports *reports_new(void);
void reports_free(struct reports *r);

/// Takes a report.
///
/// @param term of the leader that would be told
/// @return true: the leader knows what it says, acknowledge it here; false: pass it on
bool reports_hear(struct reports *r, clock_ms_t now, uint64_t term, const struct announcement *a);

/// The leader of a term took a report that was passed on.
void reports_passed(struct reports *r, clock_ms_t now, uint64_t term, const struct announcement *a);

/// Lists what was heard since the last call.
///
/// @return struct sighting; ids borrow until the next call of any function here
GArray *reports_take(struct reports *r, clock_ms_t now);

/// The leader of a term took a list.
///
/// @param unknown endpoints that it wants a whole report of
void reports_taken(struct reports *r, clock_ms_t now, uint64_t term, char *const *unknown,
		   unsigned int n);

#define REPORTS_PERIOD_MS 250 /* a sixth of the usual period of reports */

#endif
