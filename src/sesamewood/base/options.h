#ifndef SESAMEWOOD_BASE_OPTIONS_H
#define SESAMEWOOD_BASE_OPTIONS_H

/// @file
/// Program settings: each is a flag and an environment variable, checked as a whole.

#include <stdbool.h>
#include <inttypes.h>

enum option_kind {
	OPTION_BOOL,
	OPTION_NUMBER,
	OPTION_TEXT,
	OPTION_ADDRESS, ///< one "IP:port"
	OPTION_LIST,	///< comma-separated; checked by the program
	OPTION_CHOICE,	///< one of the words in range_text, which are separated by "|"
};

/// One setting. The environment variable is SESAMEWOOD_ and the name in upper case.
struct option {
	const char *name; ///< long flag, without dashes
	enum option_kind kind;
	const char *fallback;	///< default, as text; NULL: the setting is required
	int64_t least;		///< for numbers
	int64_t most;		///< for numbers
	const char *unit;	///< for numbers, "" when none
	const char *range_text; ///< allowed values, for kinds other than numbers
	const char *help;
	const char *value; ///< filled in by options_parse()
	int64_t number;	   ///< filled in by options_parse() for numbers and booleans
};

/// Parses flags and environment, flags first. Handles --help, --version and --check-config,
/// which end the process. Lists every fault on standard error and exits with status 2.
///
/// @param options settings of the program; name == NULL ends them
/// @param[out] args remaining arguments, NULL-terminated, or NULL when none are allowed
void options_parse(struct option *options, const char *summary, int *argc, char ***argv,
		   char ***args);

/// @return the parsed setting of that name, which must exist
const struct option *options_get(const struct option *options, const char *name);

/// @return the number of a setting
int64_t options_number(const struct option *options, const char *name);

/// @return the text of a setting
const char *options_text(const struct option *options, const char *name);

/// Reports a setting that can't be used, with its flag, value and allowed range, and exits with
/// status 2.
void options_exit_invalid(const struct option *options, const char *name, const char *allowed)
	__attribute__((noreturn));

/// Splits "IP:port".
///
/// @return false if it isn't an address
bool options_split_address(const char *text, char **host, uint16_t *port);

#endif
