#ifndef SESAMEWOOD_RPC_PROCS_H
#define SESAMEWOOD_RPC_PROCS_H

/// @file
/// Table of the procedures of the protocol, with their XDR codecs.

#include "base/codec.h"
#include "rpc/generated/sesamewood.h"

/// One procedure. A NULL codec stands for void.
struct rpc_proc {
	uint32_t number;
	const char *name;
	xdrproc_t args;
	size_t args_size;
	xdrproc_t reply;
	size_t reply_size;
};

/// @return the procedure of that number, or NULL
const struct rpc_proc *rpc_proc_find(uint32_t number);

#endif
