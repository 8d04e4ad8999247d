#ifndef SESAMEWOOD_MANAGER_HEARTBEAT_PROXY_H
#define SESAMEWOOD_MANAGER_HEARTBEAT_PROXY_H

/// @file
/// Heartbeats of endpoints that arrive at a replica that does not lead. As heartbeat_cache.h
/// decides, each is acknowledged here or forwarded to the leader; those acknowledged here are sent
/// to the leader in batches of short heartbeats.

#include "base/http_server.h"
#include "manager/manager.h"
#include "manager/relay.h"
#include "manager/wire.h"
#include "rpc/rpc_server.h"

struct heartbeat_proxy;

/// Creates a proxy that lives as long as the process. Borrows @p wire and @p relay.
struct heartbeat_proxy *heartbeat_proxy_new(const struct wire *wire, struct relay *relay);

/// Handles a request that arrives while another replica leads in @p term.
///
/// @return false if the request is not a heartbeat; the caller must then answer it
bool heartbeat_proxy_handle(struct heartbeat_proxy *h, uint64_t term, const struct wire_call *from,
			    const sw_relay_args *args, struct http_request *http);

/// Sends the leader a heartbeat batch when one is due. Must be called at least every
/// HEARTBEAT_BATCH_PERIOD_MS.
///
/// @param leader node; 0 if it is unknown or this replica
void heartbeat_proxy_tick(struct heartbeat_proxy *h, clock_ms_t now, uint64_t term,
			  uint32_t leader);

/// Applies and answers a heartbeat batch of another replica.
///
/// @param m NULL if this replica does not lead in the batch's term
void heartbeat_proxy_serve_batch(struct manager *m, struct rpc_request *req,
				 const sw_heartbeat_batch *args);

#endif
