/// @file
/// The operator adds a service with a long name, and a route to it. What is acknowledged must be in
/// force and be read back.

#include "lab.h"

#include <stdio.h>
#include <string.h>

#define CONFIG_MS 2000
#define NAME_CHARS 64
#define LONG_NAME_CHARS 72

int main(int argc, char **argv)
{
	const struct lab_settings settings = {
		.folder = argc > 1 ? argv[1] : ".", .controls = 5, .entries = 2, .executors = 4};
	struct lab_answer a;
	g_autofree char *name = NULL;
	g_autofree char *config = NULL;
	unsigned int status;
	bool old = false;
	g_autofree char *why = NULL;

	lab_open(&settings);
	name = g_strnfill(lab_trouble() ? LONG_NAME_CHARS : NAME_CHARS, 's');
	config = lab_config(2, name, "/more/");
	status = lab_operator_until_clear("/api/config/replace", config, 10000);
	lab_record("POST /api/config/replace (version 2) -> %u", status);
	lab_run(CONFIG_MS + 3000);
	for (unsigned int i = 0; i < settings.controls; i++) {
		a = lab_operator(i, "/api/config/read", NULL);
		lab_record("GET /api/config/read -> %u %.60s", a.status, a.body);
		old |= a.status == 200 && strstr(a.body, "\"version\":1,");
		lab_answer_clear(&a);
	}
	a = lab_client("/more/00000000000000e1", "{\"spec\":\"x\",\"phases\":[{\"count\":1,"
						 "\"cpu\":1000,\"memMb\":64,\"estimateMs\":500}]}");
	lab_record("POST /more/00000000000000e1 -> %u", a.status);
	why = g_strdup_printf("version 2 was answered with %u; after that %s was read; a job for "
			      "its new route is answered %u",
			      status, old ? "version 1" : "no older version", a.status);
	return lab_close(status == 200 && (old || a.status == 404), why);
}
