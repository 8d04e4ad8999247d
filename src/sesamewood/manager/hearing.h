#ifndef SESAMEWOOD_MANAGER_HEARING_H
#define SESAMEWOOD_MANAGER_HEARING_H

/// @file
/// Endpoints' reports at a replica that does not lead, as calls: what reports.h decides is
/// acknowledged or passed on here, and the leader is told of those that were heard.

#include "base/http_server.h"
#include "manager/manager.h"
#include "manager/relay.h"
#include "manager/wire.h"
#include "rpc/rpc_server.h"

struct hearing;

struct hearing *hearing_new(const struct wire *wire, struct relay *relay);

/// Takes a call that arrives while another replica leads in @p term.
///
/// @return false: it is no report
bool hearing_take(struct hearing *h, uint64_t term, const struct wire_call *from,
		  const sw_relay_args *args, struct http_request *http);

/// Tells the leader what was heard. Call often.
///
/// @param leader 0: none is known, or it is this replica
void hearing_tick(struct hearing *h, clock_ms_t now, uint64_t term, uint32_t leader);

/// Answers a list that another replica sent.
///
/// @param m NULL: this replica does not lead in the list's term
void hearing_serve(struct manager *m, struct rpc_request *req, const sw_sighting_args *args);

#endif
