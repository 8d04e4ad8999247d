#include "rpc/rpc_procs.h"

#define PROC(number, name, in, out)                                                                \
	{                                                                                          \
		number, name, CODEC_PROC(in), sizeof(in), CODEC_PROC(out), sizeof(out)             \
	}
#define PROC_ONE_WAY(number, name, in)                                                             \
	{                                                                                          \
		number, name, CODEC_PROC(in), sizeof(in), NULL, 0                                  \
	}

static const struct rpc_proc procs[] = {
	PROC_ONE_WAY(SW_PROC_RAFT, "raft", raft_message),
	PROC(SW_PROC_RENEW, "renew", sw_renew_args, sw_renew_reply),
	PROC(SW_PROC_WATCH, "watch", sw_watch_args, sw_watch_reply),
	PROC(SW_PROC_CLAIM, "claim", sw_claim_args, sw_claim_reply),
	PROC(SW_PROC_ADMIN, "admin", sw_admin_args, sw_admin_reply),
	PROC(SW_PROC_BORROW, "borrow", sw_borrow_args, sw_borrow_reply),
	PROC_ONE_WAY(SW_PROC_RETURN, "return", sw_return_args),
	PROC(SW_PROC_ANSWER, "answer", sw_answer_args, sw_answer_reply),
	PROC(SW_PROC_RELAY, "relay", sw_relay_args, sw_relay_reply),
	PROC_ONE_WAY(SW_PROC_ORDERS, "orders", sw_order_batch),
	PROC_ONE_WAY(SW_PROC_RESULTS, "results", sw_result_batch),
	PROC(SW_PROC_HEARTBEATS, "sightings", sw_heartbeat_batch, sw_heartbeat_batch_reply),
};

const struct rpc_proc *rpc_proc_find(uint32_t number)
{
	for (size_t i = 0; i < G_N_ELEMENTS(procs); i++)
		if (procs[i].number == number)
			return &procs[i];
	return NULL;
}
