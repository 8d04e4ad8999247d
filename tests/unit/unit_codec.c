/// @file
/// Tests of the platform's codec: valid messages are decoded in full, and malformed ones are
/// rejected as a whole. A status list that can't be parsed must not count as an empty one, which
/// would state that no attempt is running. A text is carried whole or not at all: one that ended at
/// U+0000 started other work than was ordered.

#include "codec.h"

#include "jobs/access.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define HEARTBEAT_MEMBERS                                                                          \
	"\"backend\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":\"ready\","        \
	"\"labels\":[],\"sequence\":4,\"clockMs\":5,\"capacity\":{\"cpu\":1,\"memMb\":1}"

static struct platform_codec codec = {
	.control_address = "10.0.0.1:1", .advisor = "10.0.0.2:2", .machines = "10.0.0.3:3"};

static struct call decode(bool from_caller, const char *method, const char *target,
			  const char *body)
{
	struct wire wire = platform_wire(&codec);
	struct call call = {0};
	const struct wire_call from = {
		.from_caller = from_caller,
		.method = method,
		.host = "h.example:80",
		.target = target,
		.body = body,
		.len = strlen(body),
	};

	wire.decode_call(wire.ctx, &from, &call);
	return call;
}

static enum call_type type_of(bool from_caller, const char *method, const char *target,
			      const char *body)
{
	struct call call = decode(from_caller, method, target, body);
	enum call_type type = call.type;

	call_clear(&call);
	return type;
}

static void test_decode_job(void)
{
	struct call c = decode(true, "POST", "/q/0123456789abcdef?x=1",
			       "{\"spec\":\"t\",\"phases\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
			       "\"estimateMs\":900,\"dataRack\":\"r1\"},{\"count\":2,\"after\":[0],"
			       "\"gang\":true,\"new\":1}]}");

	g_assert_cmpint(c.type, ==, CALL_SUBMIT);
	g_assert_cmpstr(c.host, ==, "h.example");
	g_assert_cmpstr(c.path, ==, "/q/0123456789abcdef");
	g_assert_cmpuint(c.spec.steps.steps_len, ==, 2);
	g_assert_cmpuint(c.spec.steps.steps_val[0].cpu_milli, ==, 500);
	g_assert_cmpstr(c.spec.steps.steps_val[0].data_rack, ==, "r1");
	g_assert_true(c.spec.steps.steps_val[1].gang);
	g_assert_cmpuint(c.spec.steps.steps_val[1].after.after_len, ==, 1);
	call_clear(&c);
}

/* Accounts. */

#define CONFIG(accounts)                                                                           \
	"{\"version\":7,\"routes\":[{\"hostname\":\"h\",\"pathPrefix\":\"/a/\","                   \
	"\"timeoutMs\":1,\"backend\":\"s\"},{\"hostname\":\"h\",\"pathPrefix\":\"/b/\","           \
	"\"timeoutMs\":1,\"backend\":\"s\",\"public\":true}],\"services\":[{\"name\":\"s\"}]"      \
	",\"tenants\":" accounts "}"

static struct call put_config(const char *body)
{
	return decode(false, "POST", "/api/config/replace", body);
}

static void test_decode_accounts(void)
{
	struct call c = put_config(
		CONFIG("[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"priority\":1,\"weight\":159,"
		       "\"cap\":{\"cpu\":7376396,\"memMb\":5000000000,\"gpu\":0}},"
		       "{\"name\":\"b\",\"apiKeys\":[],\"weight\":1.5,\"new\":[]}]"));
	const job_account *a = c.access.accounts.accounts_val;
	const job_key_digest k2 = access_digest("k2", 2);

	g_assert_cmpint(c.type, ==, CALL_CONFIG_PUT);
	g_assert_true(c.has_access);
	g_assert_cmpuint(c.access.accounts.accounts_len, ==, 2);
	g_assert_cmpstr(a[0].name, ==, "a");
	g_assert_cmpuint(a[0].weight_milli, ==, 159000);
	g_assert_cmpuint(a[0].priority, ==, 1);
	g_assert_cmpuint(a[0].cap.cpu_milli, ==, 7376396);
	g_assert_cmpuint(a[0].cap.mem_mb, ==, 5000000000);
	g_assert_cmpuint(a[0].keys.keys_len, ==, 2);
	g_assert_cmpmem(a[0].keys.keys_val[1].sha256, 32, k2.sha256, 32);
	g_assert_cmpuint(a[1].weight_milli, ==, 1500);
	g_assert_cmpuint(a[1].cap.cpu_milli, ==, 0);
	g_assert_cmpuint(c.access.open_queues.open_queues_len, ==, 1);
	g_assert_cmpuint(c.access.open_queues.open_queues_val[0], ==, 1);
	call_clear(&c);
}

/// Of a configuration with an invalid account nothing may come into force.
static void test_malformed_accounts_are_rejected(void)
{
	static const char *const bodies[] = {
		CONFIG("3"),
		CONFIG("[3]"),
		CONFIG("[{}]"),
		CONFIG("[{\"name\":\"\"}]"),
		CONFIG("[{\"name\":\"a\"},{\"name\":\"a\"}]"),
		CONFIG("[{\"name\":\"a\",\"apiKeys\":\"k\"}]"),
		CONFIG("[{\"name\":\"a\",\"apiKeys\":[\"\"]}]"),
		CONFIG("[{\"name\":\"a\",\"apiKeys\":[7]}]"),
		CONFIG("[{\"name\":\"a\",\"weight\":-1}]"),
		CONFIG("[{\"name\":\"a\",\"weight\":\"many\"}]"),
		CONFIG("[{\"name\":\"a\",\"priority\":-1}]"),
		CONFIG("[{\"name\":\"a\",\"cap\":7}]"),
		CONFIG("[{\"name\":\"a\",\"cap\":{\"cpu\":-1}}]"),
		CONFIG("[{\"name\":\"a\",\"cap\":{\"memMb\":\"1\"}}]"),
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		g_assert_cmpint(type_of(false, "POST", "/api/config/replace", bodies[i]), ==,
				CALL_INVALID);
}

/// The error must name both accounts, and must not print the key.
static void test_accounts_with_the_same_key_are_named(void)
{
	struct call c = put_config(CONFIG("[{\"name\":\"north\",\"apiKeys\":[\"k1\",\"secret\"]},"
					  "{\"name\":\"south\",\"apiKeys\":[\"secret\"]}]"));

	g_assert_cmpint(c.type, ==, CALL_INVALID);
	g_assert_nonnull(strstr(c.error, "\"north\""));
	g_assert_nonnull(strstr(c.error, "\"south\""));
	g_assert_null(strstr(c.error, "secret"));
	call_clear(&c);
}

static void test_malformed_jobs_are_rejected(void)
{
	static const char *const bodies[] = {
		"",
		"{",
		"[]",
		"{\"phases\":3}",
		"{\"spec\":1,\"phases\":[]}",
		"{\"phases\":[{\"count\":\"many\"}]}",
		"{\"phases\":[{\"count\":-1}]}",
		"{\"phases\":[{\"count\":1,\"after\":[-1]}]}",
		"{\"phases\":[7]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		g_assert_cmpint(type_of(true, "POST", "/q/a", bodies[i]), ==, CALL_INVALID);
}

/// Levels of nesting that overflow the stack of a parser which descends by recursion.
#define DEEP_LEVELS 300000

/// @return a JSON object with a deeply nested member beside others
static char *deep_body(const char *members, char open, char close)
{
	g_autofree char *opening = g_strnfill(DEEP_LEVELS, open);
	g_autofree char *closing = g_strnfill(DEEP_LEVELS, close);

	return g_strdup_printf("{%s%s\"x\":%s%s}", members, *members ? "," : "", opening, closing);
}

/// One deeply nested body of another writer ended each process that read it.
static void test_deep_nesting_is_refused(void)
{
	static const struct {
		bool from_caller;
		const char *target;
		const char *members;
	} requests[] = {
		{true, "/q/a", "\"phases\":[{\"count\":1}]"},
		{false, "/api/executors/i-1/heartbeat", HEARTBEAT_MEMBERS},
		{false, "/api/executors/i-1/deregister", ""},
		{false, "/api/config/replace", "\"version\":1,\"routes\":[],\"services\":[]"},
		{false, "/api/wave-start", "\"wave\":1,\"machines\":[],\"cap\":1"},
	};
	struct wire wire = platform_wire(&codec);
	g_autofree char *answer = deep_body("\"running\":[],\"endedRuns\":[]", '[', ']');

	for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
		g_autofree char *arrays = deep_body(requests[i].members, '[', ']');
		g_autofree char *commented =
			g_strdup_printf("{/*\"*/\"x\":%s", strchr(arrays, '['));

		g_assert_cmpint(
			type_of(requests[i].from_caller, "POST", requests[i].target, arrays), ==,
			CALL_INVALID);
		g_assert_cmpint(
			type_of(requests[i].from_caller, "POST", requests[i].target, commented), ==,
			CALL_INVALID);
	}
	for (enum order_type type = ORDER_START; type <= ORDER_MACHINE_MAINTENANCE; type++) {
		const struct order order = {.id = 1, .type = type};

		order_result_free(
			wire.decode_result(wire.ctx, &order, 200, answer, strlen(answer)));
	}
}

/// Numbers out of range make a heartbeat invalid; one that cannot be told here is refused by the
/// manager.
static void test_odd_heartbeats_are_rejected(void)
{
	static const char *const odd[] = {
		"\"address\":\"10.0.0.9:0\"",
		"\"address\":\"10.0.0.9:99999\"",
		"\"address\":\"10.0.0.1:1\"", /* the replica's own */
		"\"sequence\":-1",
		"\"sequence\":1e400",
		"\"sequence\":99999999999999999999999",
		"\"born\":99999999999999999999999",
		"\"born\":-5",
		"\"born\":1.5",
		"\"clockMs\":99999999999999999999999",
		"\"coldLeftMs\":4294967296",
		"\"capacity\":{\"cpu\":4294967296,\"memMb\":1}",
		"\"capacity\":{\"cpu\":-1,\"memMb\":1}",
	};
	g_autofree char *sound = g_strdup_printf("{%s}", HEARTBEAT_MEMBERS);

	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/heartbeat", sound), ==,
			CALL_HEARTBEAT);
	for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
		/* The library keeps the last of two equal members. */
		g_autofree char *body = g_strdup_printf("{%s,%s}", HEARTBEAT_MEMBERS, odd[i]);

		g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/heartbeat", body), ==,
				CALL_INVALID);
	}
	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/deregister", "{\"born\":-5}"),
			==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/deregister", "{"), ==,
			CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/deregister", ""), ==,
			CALL_DEREGISTER);
}

/// Texts that no log record can hold are refused here: XDR could not free them.
static void test_long_texts_are_rejected(void)
{
	g_autofree char *name = g_strnfill(JOB_NAME_MAX + 1, 'n');
	g_autofree char *payload = g_strnfill(JOB_TEXT_MAX + 1, 'p');
	g_autofree char *job =
		g_strdup_printf("{\"spec\":\"%s\",\"phases\":[{\"count\":1}]}", payload);
	g_autofree char *label = g_strdup_printf(
		"{\"phases\":[{\"count\":1,\"requiredLabel\":\"%s\",\"image\":\"i\"}]}", name);
	g_autofree char *config = g_strdup_printf(
		"{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"%s\"}]}", name);
	g_autofree char *wave = g_strdup_printf(
		"{\"wave\":1,\"machines\":[\"%s\",\"m\"],\"cap\":1,\"completeByS\":1}", name);

	g_assert_cmpint(type_of(true, "POST", "/q/a", job), ==, CALL_INVALID);
	g_assert_cmpint(type_of(true, "POST", "/q/a", label), ==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/config/replace", config), ==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/wave-start", wave), ==, CALL_INVALID);
}

/// Numbers of the operator that were cut to 32 bits, or undefined as such.
static void test_odd_numbers_of_operator_are_rejected(void)
{
	g_assert_cmpint(type_of(false, "POST", "/api/wave-start",
				"{\"wave\":1,\"machines\":[],\"cap\":4294967296,"
				"\"completeByS\":1}"),
			==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/wave-start",
				"{\"wave\":1,\"machines\":[],\"cap\":1,"
				"\"completeByS\":1e300}"),
			==, CALL_INVALID);
	g_assert_cmpint(type_of(true, "POST", "/q/a",
				"{\"phases\":[{\"count\":1},{\"count\":1,"
				"\"after\":[4294967296]}]}"),
			==, CALL_INVALID);
}

#define QUEUE                                                                                      \
	"{\"name\":\"r\",\"hostname\":\"h\",\"pathPrefix\":\"/q/\",\"backend\":\"s\","             \
	"\"timeoutMs\":3000,\"maxAttempts\":2,\"stretch\":1.6}"
#define POOL "{\"name\":\"s\",\"admissionControl\":false,\"standby\":false}"

static void test_decode_configuration(void)
{
	struct call c = decode(false, "POST", "/api/config/replace",
			       "{\"version\":7,\"routes\":[" QUEUE "],\"services\":[" POOL "]}");

	g_assert_cmpint(c.type, ==, CALL_CONFIG_PUT);
	g_assert_cmpuint(c.config.config_version, ==, 7);
	g_assert_cmpstr(c.config.queues.queues_val[0].key, ==, "h /q/");
	g_assert_cmpuint(c.config.queues.queues_val[0].stretch_milli, ==, 1600);
	call_clear(&c);
}

static void test_invalid_configurations_are_rejected(void)
{
	static const char *const bodies[] = {
		"{\"version\":7,\"routes\":[" QUEUE "],\"services\":[" POOL "]", /* truncated */
		"{\"version\":7,\"routes\":[" QUEUE "],\"services\":[]}",	 /* unknown pool */
		"{\"version\":7,\"routes\":[" QUEUE "," QUEUE "],\"services\":[" POOL "]}",
		"{\"version\":7,\"routes\":[],\"services\":[" POOL "," POOL "]}",
		"{\"version\":0,\"routes\":[],\"services\":[]}",
		"{\"version\":\"7\",\"routes\":[],\"services\":[]}",
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"pathPrefix\":\"/"
		"\","
		"\"backend\":\"s\",\"timeoutMs\":0}],\"services\":[" POOL "]}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		g_assert_cmpint(type_of(false, "POST", "/api/config/replace", bodies[i]), ==,
				CALL_INVALID);
}

#define HEARTBEAT(state)                                                                           \
	"{\"backend\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\",\"state\":" state           \
	",\"capacity\":{\"cpu\":16000,\"memMb\":1000,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"        \
	"\"clockMs\":5,\"sequence\":4,\"born\":99,\"hostMachine\":\"m-1\"}"

static void test_heartbeats(void)
{
	const char *path = "/api/executors/i-1/heartbeat";
	struct call c = decode(false, "POST", path, HEARTBEAT("\"draining\""));

	g_assert_cmpint(c.type, ==, CALL_HEARTBEAT);
	g_assert_cmpstr(c.heartbeat.id, ==, "i-1");
	g_assert_cmpstr(c.heartbeat.machine, ==, "m-1");
	g_assert_true(c.heartbeat.draining);
	g_assert_cmpint(c.heartbeat.incarnation_wall_ms, ==, 99);
	call_clear(&c);
	g_assert_cmpint(type_of(false, "POST", path, HEARTBEAT("\"odd\"")), ==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", path, HEARTBEAT("3")), ==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", path, "\xff\xfe"), ==, CALL_INVALID);
	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/other", "{}"), ==,
			CALL_UNKNOWN_PATH);
	g_assert_cmpint(type_of(false, "POST", "/api/executors/i-1/deregister", ""), ==,
			CALL_DEREGISTER);
}

/* Texts. */

/// Contents of JSON strings that a text cannot hold whole.
static const char *const not_carried[] = {
	"\\u0000",	  "a\\u0000b",	    "a\\u0000",
	"\\ud800",	  "a\\ud83db",	    "\\ud83d\\n\\u0041",
	"\\ud83d\\u0041", "\\ud83d\\u0000", "\\ud83d\\ud83d\\ude00",
	"\\ude00",	  "\\ude00\\ud83d", "a\\0b",
	"a\\qb",	  "a\\u12",	    "a\xff",
	"\xc0\x80",	  "\xed\xa0\x80",
};

/// Replaces each "@" of a body.
static char *fill_in(const char *body, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(body, "@", -1);

	return g_strjoinv(text, parts);
}

/// Expects requests that are valid with another text to be refused, with an error that says why.
static void expect_refused(bool from_caller, const char *target, const char *const *bodies)
{
	for (; *bodies; bodies++) {
		g_autofree char *valid = fill_in(*bodies, "a");

		g_assert_cmpint(type_of(from_caller, "POST", target, valid), !=, CALL_INVALID);
		for (size_t i = 0; i < G_N_ELEMENTS(not_carried); i++) {
			g_autofree char *body = fill_in(*bodies, not_carried[i]);
			struct call c = decode(from_caller, "POST", target, body);

			g_assert_cmpint(c.type, ==, CALL_INVALID);
			g_assert_nonnull(strstr(c.error, "U+0000"));
			call_clear(&c);
		}
	}
}

/// A job whose spec ended at U+0000 was accepted, and only the text before it was run.
static void test_texts_that_would_be_cut_off_are_refused(void)
{
	static const char *const jobs[] = {
		"{\"spec\":\"@\",\"phases\":[{\"count\":1}]}",
		"{\"phases\":[{\"count\":1,\"requiredLabel\":\"@\"}]}",
		"{\"phases\":[{\"count\":1,\"dataRack\":\"@\"}]}",
		"{\"phases\":[{\"count\":1,\"image\":\"@\"}]}",
		NULL,
	};
	static const char *const configs[] = {
		"{\"version\":1,\"routes\":[{\"hostname\":\"@\",\"pathPrefix\":\"/\","
		"\"backend\":\"s\",\"timeoutMs\":1}],\"services\":[{\"name\":\"s\"}]}",
		"{\"version\":1,\"routes\":[{\"hostname\":\"h\",\"pathPrefix\":\"/@\","
		"\"backend\":\"s\",\"timeoutMs\":1}],\"services\":[{\"name\":\"s\"}]}",
		"{\"version\":1,\"routes\":[{\"hostname\":\"h\",\"pathPrefix\":\"/\","
		"\"backend\":\"@\",\"timeoutMs\":1}],\"services\":[{\"name\":\"@\"}]}",
		"{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":[{\"name\":\"@\"}]}",
		"{\"version\":1,\"routes\":[],\"services\":[],"
		"\"tenants\":[{\"name\":\"b\",\"apiKeys\":[\"@\"]}]}",
		NULL,
	};
	static const char *const waves[] = {
		"{\"wave\":1,\"machines\":[\"m\",\"@\"],\"cap\":1,\"completeByS\":1}",
		NULL,
	};

	expect_refused(true, "/q/a", jobs);
	expect_refused(false, "/api/config/replace", configs);
	expect_refused(false, "/api/wave-start", waves);
}

/// The name of a member that was cut off passed for another member.
static void test_names_that_would_be_cut_off_are_no_members(void)
{
	struct call c = decode(true, "POST", "/q/a",
			       "{\"spec\":\"right\",\"spec\\u0000x\" : \"wrong\","
			       "\"phases\":[{\"count\":1}]}");

	g_assert_cmpint(c.type, ==, CALL_SUBMIT);
	g_assert_cmpstr(c.spec.payload, ==, "right");
	call_clear(&c);
}

/// Appends a character to a JSON string, as an escape or as it is.
static void append_character(GString *json, gunichar c, bool escaped)
{
	if (escaped && c > 0xffff)
		g_string_append_printf(json, "\\u%04x\\u%04X", 0xd800 + ((c - 0x10000) >> 10),
				       0xdc00 + ((c - 0x10000) & 0x3ff));
	else if (escaped || c < ' ')
		g_string_append_printf(json, "\\u%04x", c);
	else if (c == '"' || c == '\\')
		g_string_append_printf(json, "\\%c", c);
	else
		g_string_append_unichar(json, c);
}

/// Expects a text to reach an endpoint as it was sent.
static void expect_carried(const char *json, const char *text)
{
	struct wire wire = platform_wire(&codec);
	g_autofree char *body =
		g_strdup_printf("{\"spec\":\"%s\",\"phases\":[{\"count\":1}]}", json);
	struct call c = decode(true, "POST", "/q/a", body);
	const struct order order = {.id = 1,
				    .type = ORDER_START,
				    .address = (char *)"10.0.0.9:80",
				    .task = (char *)"j.0.0.0",
				    .payload = c.spec.payload,
				    .checkpoint = (char *)text,
				    .ticket = (char *)text};
	struct wire_request request = {0};
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonObject *sent;

	g_assert_cmpint(c.type, ==, CALL_SUBMIT);
	g_assert_cmpstr(c.spec.payload, ==, text);
	g_assert_true(wire.encode_order(wire.ctx, &order, &request));
	g_assert_true(json_parser_load_from_data(parser, request.body, -1, NULL));
	sent = json_node_get_object(json_parser_get_root(parser));
	g_assert_cmpstr(json_object_get_string_member(sent, "spec"), ==, text);
	g_assert_cmpstr(json_object_get_string_member(sent, "checkpointAt"), ==, text);
	g_assert_cmpstr(json_object_get_string_member(sent, "ticket"), ==, text);
	wire_request_clear(&request);
	call_clear(&c);
}

/// All other characters reach the endpoint, however they are written.
static void test_all_other_texts_are_carried_whole(void)
{
	enum { TEXT_CHARACTERS = 1000 };

	for (int escaped = 0; escaped < 2; escaped++) {
		g_autoptr(GString) json = g_string_new(NULL);
		g_autoptr(GString) text = g_string_new(NULL);
		int n = 0;

		for (gunichar c = 1; c <= 0x10ffff; c++) {
			if (c < 0xd800 || c > 0xdfff) {
				append_character(json, c, escaped);
				g_string_append_unichar(text, c);
				n++;
			}
			if (n < TEXT_CHARACTERS && c != 0x10ffff)
				continue;
			expect_carried(json->str, text->str);
			g_string_truncate(json, 0);
			g_string_truncate(text, 0);
			n = 0;
		}
	}
	expect_carried("a\\\\u0000b", "a\\u0000b");
	expect_carried("\\\"\\/\\b\\f\\n\\r\\t\\\\", "\"/\b\f\n\r\t\\");
}

/// An endpoint that drains was not heard for an odd text beside that.
static void test_odd_text_does_not_hide_heartbeat(void)
{
	static const char *const members[] = {
		"\"zone\":\"@\"",
		"\"hostMachine\":\"@\"",
		"\"backend\":\"@\"",
		"\"labels\":[\"l\",\"@\",\"r\"]",
	};
	g_autofree char *long_text = g_strnfill(JOB_NAME_MAX + 1, 'n');
	const char *sound = HEARTBEAT_MEMBERS ",\"hostMachine\":\"m\",\"state\":\"draining\"";

	for (size_t i = 0; i < G_N_ELEMENTS(members); i++)
		for (size_t k = 0; k <= G_N_ELEMENTS(not_carried); k++) {
			bool is_long = k == G_N_ELEMENTS(not_carried);
			g_autofree char *odd =
				fill_in(members[i], is_long ? long_text : not_carried[k]);
			g_autofree char *body = g_strdup_printf("{%s,%s}", sound, odd);
			struct call c = decode(false, "POST", "/api/executors/i-1/heartbeat", body);

			g_assert_cmpint(c.type, ==, CALL_HEARTBEAT);
			g_assert_true(c.heartbeat.draining);
			g_assert_cmpstr(c.heartbeat.zone, ==, i == 0 ? "" : "z");
			g_assert_cmpstr(c.heartbeat.machine, ==, i == 1 ? "" : "m");
			g_assert_cmpstr(c.heartbeat.pool, ==, i == 2 ? "" : "s");
			g_assert_cmpuint(c.heartbeat.labels->len, ==, i == 3 ? 3 : 0);
			if (i == 3) { /* the last label names the rack */
				g_assert_cmpstr(c.heartbeat.labels->pdata[1], ==, "");
				g_assert_cmpstr(c.heartbeat.labels->pdata[2], ==, "r");
			}
			call_clear(&c);
		}
}

static struct order_result *decode_result(enum order_type type, unsigned int status,
					  const char *body)
{
	struct wire wire = platform_wire(&codec);
	const struct order order = {.id = 1, .type = type};

	return wire.decode_result(wire.ctx, &order, status, body, strlen(body));
}

static void expect_status(enum order_type type, unsigned int status, const char *body,
			  enum order_status expected)
{
	struct order_result *r = decode_result(type, status, body);

	g_assert_cmpint(r->status, ==, expected);
	order_result_free(r);
}

static void test_order_results(void)
{
	struct order_result *r =
		decode_result(ORDER_STATUS_QUERY, 200,
			      "{\"clockMs\":12,\"born\":7,\"running\":[[\"j.0.1.2\",2,\"c\",41,9]],"
			      "\"endedRuns\":[[58,\"j.0.1.9\",1,\"done\",\"\"],[\"odd\"]]}");

	g_assert_cmpint(r->status, ==, ORDER_OK);
	g_assert_cmpint(r->clock_ms, ==, 12);
	g_assert_cmpint(r->incarnation_wall_ms, ==, 7);
	g_assert_cmpuint(r->runs->len, ==, 1);
	g_assert_cmpuint(r->completions->len, ==, 1);
	g_assert_cmpuint(g_array_index(r->completions, struct completion_record, 0).number, ==, 58);
	order_result_free(r);
	expect_status(ORDER_START, 409, "{\"reason\":\"fence\"}", ORDER_FENCED);
	expect_status(ORDER_START, 409, "{\"reason\":\"old\"}", ORDER_SUPERSEDED);
	expect_status(ORDER_START, 421, "", ORDER_WRONG_INSTANCE);
	expect_status(ORDER_START, 503, "", ORDER_TRY_LATER);
	expect_status(ORDER_START, 500, "", ORDER_NO_ANSWER);
	expect_status(ORDER_STATUS_QUERY, 200, "{}", ORDER_NO_ANSWER);
	expect_status(ORDER_STATUS_QUERY, 200, "garbage", ORDER_NO_ANSWER);
}

/// A checkpoint that was cut off resumed work elsewhere than it had stopped. An end beside it is
/// still heard.
static void test_odd_text_does_not_hide_ends(void)
{
	static const char status[] =
		"{\"clockMs\":12,\"born\":7,\"running\":[[\"j.0.1.2\",2,\"@\",41,9],"
		"[\"@\",1,\"\",2,3]],\"endedRuns\":[[57,\"j.0.1.8\",1,\"done\",\"@\"],"
		"[58,\"j.0.1.9\",1,\"done\",\"c\"]]}";

	for (size_t i = 0; i < G_N_ELEMENTS(not_carried); i++) {
		g_autofree char *body = fill_in(status, not_carried[i]);
		struct order_result *r = decode_result(ORDER_STATUS_QUERY, 200, body);
		const struct running_attempt *run =
			&g_array_index(r->runs, struct running_attempt, 0);
		const struct completion_record *ends = (void *)r->completions->data;

		g_assert_cmpint(r->status, ==, ORDER_OK);
		g_assert_cmpint(r->clock_ms, ==, 12);
		g_assert_cmpuint(r->runs->len, ==, 2);
		g_assert_cmpstr(run[0].task, ==, "j.0.1.2");
		g_assert_cmpstr(run[0].checkpoint, ==, "");
		g_assert_cmpstr(run[1].task, ==, "");
		g_assert_cmpuint(r->completions->len, ==, 2);
		g_assert_cmpint(ends[0].outcome, ==, ATTEMPT_DONE);
		g_assert_cmpstr(ends[0].task, ==, "j.0.1.8");
		g_assert_cmpstr(ends[0].checkpoint, ==, "");
		g_assert_cmpuint(ends[1].number, ==, 58);
		g_assert_cmpstr(ends[1].checkpoint, ==, "c");
		order_result_free(r);
	}
}

/// A ticket that was cut off was refused by each endpoint; one that is too long fits into no order.
static void test_odd_ticket_counts_as_none(void)
{
	g_autofree char *long_text = g_strnfill(JOB_CHECKPOINT_MAX + 1, 't');

	for (size_t i = 0; i <= G_N_ELEMENTS(not_carried); i++) {
		g_autofree char *body =
			fill_in("{\"validMs\":9,\"good\":[[\"i-1\",\"@\"],[\"i-2\",\"t\"]]}",
				i < G_N_ELEMENTS(not_carried) ? not_carried[i] : long_text);
		struct order_result *r = decode_result(ORDER_ADVISE, 200, body);

		g_assert_cmpint(r->status, ==, ORDER_OK);
		g_assert_cmpuint(r->advice->len, ==, 1);
		g_assert_cmpstr(g_array_index(r->advice, struct advice_row, 0).instance, ==, "i-2");
		order_result_free(r);
	}
}

/// A page token that cannot be carried is not the end of the list, and a machine whose name cannot
/// be carried does not hide the others.
static void test_odd_text_does_not_shorten_machine_list(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(not_carried); i++) {
		g_autofree char *token =
			fill_in("{\"machines\":[],\"nextToken\":\"@\"}", not_carried[i]);
		g_autofree char *name =
			fill_in("{\"machines\":[{\"hostMachine\":\"@\",\"pool\":\"s\",\"state\":"
				"\"up\"},{\"hostMachine\":\"m\",\"pool\":\"s\",\"state\":\"up\"}]}",
				not_carried[i]);
		struct order_result *r = decode_result(ORDER_MACHINE_LIST, 200, name);

		expect_status(ORDER_MACHINE_LIST, 200, token, ORDER_NO_ANSWER);
		g_assert_cmpint(r->status, ==, ORDER_OK);
		g_assert_cmpuint(r->machines->len, ==, 1);
		order_result_free(r);
	}
}

/// A page token with a character that ends a query was cut off on its way back.
static void test_page_token_is_sent_whole(void)
{
	struct wire wire = platform_wire(&codec);
	const struct order order = {
		.id = 1, .type = ORDER_MACHINE_LIST, .page = (char *)"a&b#c d%+e=/"};
	struct wire_request request = {0};

	g_assert_true(wire.encode_order(wire.ctx, &order, &request));
	g_assert_cmpstr(request.path, ==, "/api/machines?pageToken=a%26b%23c%20d%25%2Be=/");
	wire_request_clear(&request);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_log_set_always_fatal(G_LOG_FATAL_MASK); /* a text left out is logged as a warning */
	g_test_add_func("/codec/decode_accounts", test_decode_accounts);
	g_test_add_func("/codec/malformed_accounts_are_rejected",
			test_malformed_accounts_are_rejected);
	g_test_add_func("/codec/accounts_with_the_same_key_are_named",
			test_accounts_with_the_same_key_are_named);
	g_test_add_func("/codec/deep_nesting_is_refused", test_deep_nesting_is_refused);
	g_test_add_func("/codec/odd_heartbeats_are_rejected", test_odd_heartbeats_are_rejected);
	g_test_add_func("/codec/long_texts_are_rejected", test_long_texts_are_rejected);
	g_test_add_func("/codec/odd_numbers_of_operator_are_rejected",
			test_odd_numbers_of_operator_are_rejected);
	g_test_add_func("/codec/decode_job", test_decode_job);
	g_test_add_func("/codec/malformed_jobs_are_rejected", test_malformed_jobs_are_rejected);
	g_test_add_func("/codec/decode_configuration", test_decode_configuration);
	g_test_add_func("/codec/invalid_configurations_are_rejected",
			test_invalid_configurations_are_rejected);
	g_test_add_func("/codec/heartbeats", test_heartbeats);
	g_test_add_func("/codec/order_results", test_order_results);
	g_test_add_func("/codec/texts_that_would_be_cut_off_are_refused",
			test_texts_that_would_be_cut_off_are_refused);
	g_test_add_func("/codec/names_that_would_be_cut_off_are_no_members",
			test_names_that_would_be_cut_off_are_no_members);
	g_test_add_func("/codec/all_other_texts_are_carried_whole",
			test_all_other_texts_are_carried_whole);
	g_test_add_func("/codec/odd_text_does_not_hide_heartbeat",
			test_odd_text_does_not_hide_heartbeat);
	g_test_add_func("/codec/odd_text_does_not_hide_ends", test_odd_text_does_not_hide_ends);
	g_test_add_func("/codec/odd_ticket_counts_as_none", test_odd_ticket_counts_as_none);
	g_test_add_func("/codec/odd_text_does_not_shorten_machine_list",
			test_odd_text_does_not_shorten_machine_list);
	g_test_add_func("/codec/page_token_is_sent_whole", test_page_token_is_sent_whole);
	return g_test_run();
}
