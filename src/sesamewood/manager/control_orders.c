#include "manager/control_shell_internal.h"

/// Number of endpoints from which agents send the orders. One replica's share of a core serves
/// about 150 busy endpoints (docs/CAPACITY.md).
#define AGENTS_MIN_ENDPOINTS 120
#define AGENT_ALIVE_MS 350 /* three and a half raft heartbeats */

void shell_deliver_result(struct shell *sh, uint64_t term, struct order_result *result)
{
	enum work_kind before = work_enter(WORK_RESULTS);

	sh->counts.order_results++;
	if (sh->manager && sh->manager_term == term)
		manager_handle_result(sh->manager, clock_monotonic(), clock_wall(), result);
	order_result_free(result);
	work_leave(before);
}

void shell_on_order_sent(void *ctx, uint32_t leader, uint64_t term, struct order_result *result)
{
	struct shell *sh = ctx;

	if (leader == sh->node) {
		shell_deliver_result(sh, term, result);
		return;
	}
	agents_queue_result(sh->agents, leader, term, result);
	order_result_free(result);
}

/// Returns the replica that sends an order: this one, or an agent that is alive.
static uint32_t agent_of(const struct shell *sh, const struct order *order)
{
	const sw_members *members = raft_members(sh->raft);
	clock_ms_t now = clock_monotonic();
	uint32_t alive[RAFT_PEERS_MAX + 1];
	unsigned int n = 0;

	if (order->direct || !order->instance ||
	    manager_count_endpoints(sh->manager) < AGENTS_MIN_ENDPOINTS)
		return sh->node;
	for (u_int i = 0; i < members->members.members_len && n < G_N_ELEMENTS(alive); i++) {
		uint32_t node = members->members.members_val[i].node;

		if (node != sh->node &&
		    raft_peer_is_responsive(sh->raft, node, now, AGENT_ALIVE_MS))
			alive[n++] = node;
	}
	return n ? agents_pick(alive, n, order->instance) : sh->node;
}

void shell_send_order(struct shell *sh, struct order *order)
{
	uint32_t node = agent_of(sh, order);

	if (order_is_stale(order, clock_monotonic())) {
		shell_deliver_result(sh, sh->manager_term,
				     order_result_new(order->id, ORDER_NOT_SENT));
		order_free(order);
		return;
	}
	if (order->is_repeat)
		metrics_add(order->type == ORDER_START ? sh->repeated_starts : sh->repeated_queries,
			    1);
	if (node == sh->node)
		order_sender_send(sh->sender, order, sh->node, sh->manager_term);
	else
		agents_queue_order(sh->agents, node, sh->manager_term, order, clock_monotonic());
}
