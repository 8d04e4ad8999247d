#ifndef SESAMEWOOD_MANAGER_HEARTBEAT_PROXY_H
#define SESAMEWOOD_MANAGER_HEARTBEAT_PROXY_H

/// @file
/// Endpoints' reports at a replica that does not lead, as calls: what reports.h decides is
/// acknowledged or passed on here, and the leader is told of those that were heard.

#include "base/http_server.h"
#include "manager/manager.h"
#include "manager/relay.h"
#include "manager/wire.h"
#include "rpc/rpc_server.h"

struct heartbeat_proxy;

struct heartbeat_proxy *heartbeat_proxy_new(const struct wire *wire, struct relay *relay);

/// Takes a call that arrives while another replica leads in @p term.
///
/// @return false: it is no report
bool heartbeat_proxy_handle(struct heartbeat_proxy *h, uint64_t term, const struct wire_call *from,
			    const sw_relay_args *args, struct http_request *http);

/// Tells the leader what was heard. Call often.
///
/// @param leader 0: none is known, or it is this replica
void heartbeat_proxy_tick(struct heartbeat_proxy *h, clock_ms_t now, uint64_t term,
			  uint32_t leader);

/// Answers a list that another replica sent.
///
/// @param m NULL: this replica does not lead in the list's term
void heartbeat_proxy_serve_batch(struct manager *m, struct rpc_request *req,
				 const sw_heartbeat_batch *args);

#endif
