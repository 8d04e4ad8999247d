#ifndef SESAMEWOOD_BASE_OPTIONS_H
#define SESAMEWOOD_BASE_OPTIONS_H

/// @file
/// Program settings. Each is a command line flag and an environment variable; all are checked
/// together at the start.

#include <stdbool.h>
#include <inttypes.h>

enum option_kind {
	OPTION_BOOL,
	OPTION_NUMBER,
	OPTION_TEXT,
	OPTION_ADDRESS, ///< one "IP:port"
	OPTION_LIST,	///< comma-separated; the program checks the items
	OPTION_CHOICE,	///< one of the words in range_text, separated by "|"
};

/// One setting. Its environment variable is SESAMEWOOD_ followed by the name in upper case, with
/// "_" for "-".
struct option {
	const char *name; ///< long flag, without dashes
	enum option_kind kind;
	const char *fallback;	///< default, as text; NULL: the setting is required
	int64_t min_value;	///< smallest number allowed
	int64_t max_value;	///< largest number allowed
	const char *unit;	///< unit of a number, or ""
	const char *range_text; ///< allowed values, for kinds other than numbers
	const char *help;
	const char *value; ///< set by options_parse()
	int64_t number;	   ///< set by options_parse() for numbers and booleans
};

/// Parses the command line and the environment; flags take precedence. Handles --help, --version
/// and --check-config, which exit the process. If any setting is invalid, prints every error to
/// standard error and exits with status 2.
///
/// @param options settings of the program, up to an entry whose name is NULL
/// @param summary text that --help prints before the flags
/// @param[out] args remaining arguments, NULL-terminated; pass NULL when none are allowed
void options_parse(struct option *options, const char *summary, int *argc, char ***argv,
		   char ***args);

/// @return the parsed setting of that name; aborts the process when there is none
const struct option *options_get(const struct option *options, const char *name);

/// @return the value of a number or boolean setting; see options_get()
int64_t options_number(const struct option *options, const char *name);

/// @return the value of a setting as text; see options_get()
const char *options_text(const struct option *options, const char *name);

/// Prints that a setting has an invalid value, with its flag, value and the values @p allowed, and
/// exits with status 2. For checks that need more than one setting or the program's own parser.
void options_exit_invalid(const struct option *options, const char *name, const char *allowed)
	__attribute__((noreturn));

/// Splits "IP:port" with an IPv4 address.
///
/// @param[out] host new string, released with g_free(); may be NULL
/// @param[out] port may be NULL
/// @return false if @p text isn't such an address; the outputs are then unchanged
bool options_split_address(const char *text, char **host, uint16_t *port);

#endif
