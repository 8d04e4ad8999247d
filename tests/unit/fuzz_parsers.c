/// @file
/// libFuzzer target for the parsers of untrusted input. The first byte selects the parser.

#include "codec.h"

#include "base/codec.h"
#include "base/tables.h"
#include "control/trace.h"
#include "entry/endpoint_heartbeat.h"
#include "rpc/rpc_procs.h"

#include <stdint.h>
#include <string.h>

/// Requests and responses of the platform, which must be decoded in full or rejected.
static void fuzz_platform(uint8_t selector, const char *text, size_t len)
{
	static const char *const targets[] = {"/q/a", "/api/config/replace", "/api/wave-start",
					      "/api/executors/i-1/heartbeat"};
	static struct platform_codec codec = {.control_address = "10.0.0.1:1"};
	struct wire wire = platform_wire(&codec);
	const struct order order = {.id = 1, .type = (enum order_type)(selector % 8)};
	const struct wire_call from = {
		.from_caller = selector % 4 == 0,
		.method = "POST",
		.host = "h",
		.target = targets[selector % 4],
		.body = text,
		.len = len,
	};
	struct call call = {0};

	wire.decode_call(wire.ctx, &from, &call);
	call_clear(&call);
	order_result_free(wire.decode_result(wire.ctx, &order, 200, text, len));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void fuzz_tables(const char *text, size_t len, bool routes)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GPtrArray) rows = routes ? tables_parse_routes(text, len, errors)
					   : tables_parse_pools(text, len, errors);

	g_assert_true(!rows || !errors->len);
}

static void fuzz_announcement(const char *text, size_t len)
{
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	sw_heartbeat a;

	endpoint_heartbeat_parse(text, len, &a, errors);
	codec_free(CODEC_PROC(sw_heartbeat), &a);
}

static void fuzz_records(const uint8_t *data, size_t len, uint32_t number)
{
	const struct rpc_proc *proc = rpc_proc_find(number);
	g_autofree void *args = g_malloc0(proc->args_size);
	sw_command command;

	if (codec_decode(proc->args, data, len, args, proc->args_size))
		codec_free(proc->args, args);
	if (codec_decode(CODEC_PROC(sw_command), data, len, &command, sizeof(command)))
		codec_free(CODEC_PROC(sw_command), &command);
}

static void fuzz_trace(const char *text)
{
	struct trace_line line;

	trace_parse(text, &line);
	trace_line_clear(&line);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	g_autofree char *text = len ? g_strndup((const char *)data + 1, len - 1) : NULL;

	if (!len)
		return 0;
	switch (data[0] % 6) {
	case 0:
		fuzz_tables((const char *)data + 1, len - 1, true);
		break;
	case 1:
		fuzz_tables((const char *)data + 1, len - 1, false);
		break;
	case 2:
		fuzz_announcement((const char *)data + 1, len - 1);
		break;
	case 3:
		fuzz_records(data + 1, len - 1, 1 + data[0] / 6 % 11);
		break;
	case 4:
		fuzz_platform(data[0] / 6, (const char *)data + 1, len - 1);
		break;
	default:
		fuzz_trace(text);
	}
	return 0;
}
