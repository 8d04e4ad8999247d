#include "base/options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SESAMEWOOD_VERSION "0.1.0"
#define OPTIONS_MAX 48
#define EXIT_USAGE 2

/// Values that GOption stores while it parses the command line; NULL where a flag is absent.
struct parsed_flags {
	char *values[OPTIONS_MAX];
	gboolean switches[OPTIONS_MAX];
	gboolean version;
	gboolean check_config;
	char **rest;
};

static char *allowed_values(const struct option *o)
{
	if (o->kind == OPTION_NUMBER)
		return g_strdup_printf("%" PRId64 " to %" PRId64 "%s%s", o->min_value, o->max_value,
				       *o->unit ? " " : "", o->unit);
	return g_strdup(o->range_text ? o->range_text : "any text");
}

static char *environment_name(const struct option *o)
{
	g_autofree char *upper = g_ascii_strup(o->name, -1);

	g_strdelimit(upper, "-", '_');
	return g_strconcat("SESAMEWOOD_", upper, NULL);
}

static char *describe(const struct option *o)
{
	g_autofree char *env = environment_name(o);
	g_autofree char *range = allowed_values(o);

	return g_strdup_printf("%s [%s; default: %s; %s]", o->help, range,
			       o->fallback ? (*o->fallback ? o->fallback : "none") : "required",
			       env);
}

bool options_split_address(const char *text, char **host, uint16_t *port)
{
	const char *colon = strrchr(text, ':');
	struct in_addr ignored;
	char *end;
	unsigned long number;
	g_autofree char *ip = NULL;

	if (!colon || !g_ascii_isdigit(colon[1]))
		return false;
	ip = g_strndup(text, colon - text);
	number = strtoul(colon + 1, &end, 10);
	if (*end || number > UINT16_MAX || inet_pton(AF_INET, ip, &ignored) != 1)
		return false;
	if (host)
		*host = g_steal_pointer(&ip);
	if (port)
		*port = number;
	return true;
}

static bool parse_number(struct option *o)
{
	char *end;

	errno = 0;
	o->number = strtoll(o->value, &end, 10);
	return !errno && end != o->value && !*end && o->number >= o->min_value &&
	       o->number <= o->max_value;
}

static bool is_valid_choice(const struct option *o)
{
	g_auto(GStrv) words = g_strsplit(o->range_text, "|", -1);

	return g_strv_contains((const char *const *)words, o->value);
}

static bool parse_value(struct option *o)
{
	switch (o->kind) {
	case OPTION_BOOL:
		o->number = g_str_equal(o->value, "true") || g_str_equal(o->value, "1");
		return o->number || g_str_equal(o->value, "false") || g_str_equal(o->value, "0");
	case OPTION_NUMBER:
		return parse_number(o);
	case OPTION_ADDRESS:
		return !*o->value || options_split_address(o->value, NULL, NULL);
	case OPTION_CHOICE:
		return is_valid_choice(o);
	case OPTION_TEXT:
	case OPTION_LIST:
		return true;
	}
	return false;
}

/// Sets an option from its flag, its environment variable or its default, in that order.
static void resolve_option(struct option *o, const struct parsed_flags *p, int i, GString *errors)
{
	g_autofree char *env = environment_name(o);
	g_autofree char *range = allowed_values(o);

	if (o->kind == OPTION_BOOL && p->switches[i])
		o->value = "true";
	else if (p->values[i])
		o->value = p->values[i];
	else if (g_getenv(env))
		o->value = g_strdup(g_getenv(env));
	else
		o->value = o->fallback;
	if (!o->value)
		g_string_append_printf(errors, "--%s: required; allowed: %s\n", o->name, range);
	else if (!parse_value(o))
		g_string_append_printf(errors, "--%s: invalid value '%s'; allowed: %s\n", o->name,
				       o->value, range);
}

static void add_entry(GOptionEntry *entry, struct option *o, struct parsed_flags *p, int i)
{
	entry->long_name = o->name;
	entry->description = describe(o);
	if (o->kind == OPTION_BOOL) {
		entry->arg = G_OPTION_ARG_NONE;
		entry->arg_data = &p->switches[i];
	} else {
		entry->arg = G_OPTION_ARG_STRING;
		entry->arg_data = &p->values[i];
		entry->arg_description = o->kind == OPTION_NUMBER && *o->unit ? o->unit : "VALUE";
	}
}

void options_parse(struct option *options, const char *summary, int *argc, char ***argv,
		   char ***args)
{
	static struct parsed_flags p;
	GOptionEntry entries[OPTIONS_MAX + 4] = {0};
	g_autoptr(GOptionContext) context = g_option_context_new(args ? "COMMAND…" : NULL);
	g_autoptr(GError) error = NULL;
	g_autoptr(GString) errors = g_string_new(NULL);
	int n = 0;

	for (; options[n].name; n++)
		add_entry(&entries[n], &options[n], &p, n);
	entries[n] = (GOptionEntry){
		.long_name = "version",
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &p.version,
		.description = "Print the version and exit",
	};
	entries[n + 1] = (GOptionEntry){
		.long_name = "check-config",
		.arg = G_OPTION_ARG_NONE,
		.arg_data = &p.check_config,
		.description = "Check the settings and exit",
	};
	if (args)
		entries[n + 2] = (GOptionEntry){
			.long_name = G_OPTION_REMAINING,
			.arg = G_OPTION_ARG_STRING_ARRAY,
			.arg_data = &p.rest,
		};
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "%s\n", error->message);
		exit(EXIT_USAGE);
	}
	if (p.version) {
		printf("%s %s\n", g_get_prgname(), SESAMEWOOD_VERSION);
		exit(EXIT_SUCCESS);
	}
	for (int i = 0; options[i].name; i++)
		resolve_option(&options[i], &p, i, errors);
	if (!args && *argc > 1)
		g_string_append_printf(errors, "unexpected argument '%s'\n", (*argv)[1]);
	if (errors->len) {
		fputs(errors->str, stderr);
		exit(EXIT_USAGE);
	}
	if (p.check_config) {
		puts("configuration is valid");
		exit(EXIT_SUCCESS);
	}
	if (args)
		*args = p.rest;
}

const struct option *options_get(const struct option *options, const char *name)
{
	for (const struct option *o = options; o->name; o++)
		if (g_str_equal(o->name, name))
			return o;
	g_error("no option named %s", name);
}

int64_t options_number(const struct option *options, const char *name)
{
	return options_get(options, name)->number;
}

const char *options_text(const struct option *options, const char *name)
{
	return options_get(options, name)->value;
}

void options_exit_invalid(const struct option *options, const char *name, const char *allowed)
{
	fprintf(stderr, "--%s: invalid value '%s'; allowed: %s\n", name,
		options_text(options, name), allowed);
	exit(EXIT_USAGE);
}
