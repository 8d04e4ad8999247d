#include "base/json_check.h"

#include <string.h>

struct scanner {
	const char *p;
	const char *end;
	GString *path;
	GPtrArray *errors;
	int depth;
};

static bool scan_value(struct scanner *s);

/// Adds an error at the current path.
///
/// @return false, for the caller to return
static bool add_error(struct scanner *s, const char *what)
{
	g_ptr_array_add(s->errors, g_strdup_printf("%s: %s", s->path->str, what));
	return false;
}

static void skip_space(struct scanner *s)
{
	while (s->p < s->end && strchr(" \t\r\n", *s->p) && *s->p)
		s->p++;
}

static bool next_is(struct scanner *s, char c)
{
	skip_space(s);
	return s->p < s->end && *s->p == c;
}

/// Skips white space, and @p c when it comes next.
static bool consume(struct scanner *s, char c)
{
	if (!next_is(s, c))
		return false;
	s->p++;
	return true;
}

static bool scan_escape(struct scanner *s)
{
	s->p++;
	if (s->p >= s->end || !*s->p || !strchr("\"\\/bfnrtu", *s->p))
		return add_error(s, "invalid escape sequence in string");
	if (*s->p == 'u') {
		for (int i = 1; i <= 4; i++)
			if (s->p + i >= s->end || !g_ascii_isxdigit(s->p[i]))
				return add_error(s, "invalid escape sequence in string");
		s->p += 4;
	}
	s->p++;
	return true;
}

static bool scan_string(struct scanner *s)
{
	if (!consume(s, '"'))
		return add_error(s, "expected a string");
	while (s->p < s->end && *s->p != '"') {
		if ((unsigned char)*s->p < ' ')
			return add_error(s, "control character in string");
		if (*s->p != '\\')
			s->p++;
		else if (!scan_escape(s))
			return false;
	}
	if (s->p >= s->end)
		return add_error(s, "unterminated string");
	s->p++;
	return true;
}

static bool scan_digits(struct scanner *s)
{
	const char *from = s->p;

	while (s->p < s->end && g_ascii_isdigit(*s->p))
		s->p++;
	return s->p > from;
}

static bool scan_number(struct scanner *s)
{
	if (s->p < s->end && *s->p == '-')
		s->p++;
	if (s->p + 1 < s->end && *s->p == '0' && g_ascii_isdigit(s->p[1]))
		return add_error(s, "number with a leading zero");
	if (!scan_digits(s))
		return add_error(s, "expected a value");
	if (s->p < s->end && *s->p == '.') {
		s->p++;
		if (!scan_digits(s))
			return add_error(s, "invalid number");
	}
	if (s->p < s->end && (*s->p == 'e' || *s->p == 'E')) {
		s->p++;
		if (s->p < s->end && (*s->p == '+' || *s->p == '-'))
			s->p++;
		if (!scan_digits(s))
			return add_error(s, "invalid number");
	}
	return true;
}

/// Scans one member of an object. After an error the path still names the member.
static bool scan_member(struct scanner *s, GHashTable *seen)
{
	gsize depth = s->path->len;
	const char *from;
	char *key;
	bool ok;

	skip_space(s);
	from = s->p + 1;
	if (!scan_string(s))
		return false;
	key = g_strndup(from, s->p - from - 1);
	g_string_append_printf(s->path, ".%s", key);
	if (!g_hash_table_add(seen, key))
		return add_error(s, "duplicate key");
	if (!consume(s, ':'))
		return add_error(s, "expected ':'");
	ok = scan_value(s);
	g_string_truncate(s->path, ok ? depth : s->path->len);
	return ok;
}

static bool scan_object(struct scanner *s)
{
	g_autoptr(GHashTable) seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	if (consume(s, '}'))
		return true;
	do {
		if (!scan_member(s, seen))
			return false;
	} while (consume(s, ','));
	return consume(s, '}') || add_error(s, "expected ',' or '}'");
}

static bool scan_array(struct scanner *s)
{
	if (consume(s, ']'))
		return true;
	for (int i = 0;; i++) {
		gsize depth = s->path->len;

		g_string_append_printf(s->path, "[%d]", i);
		if (!scan_value(s))
			return false;
		g_string_truncate(s->path, depth);
		if (!consume(s, ','))
			break;
	}
	return consume(s, ']') || add_error(s, "expected ',' or ']'");
}

static bool scan_literal(struct scanner *s, const char *literal)
{
	size_t len = strlen(literal);

	if ((size_t)(s->end - s->p) < len || memcmp(s->p, literal, len) != 0)
		return false;
	s->p += len;
	return true;
}

static bool scan_nested(struct scanner *s, bool (*scan)(struct scanner *s))
{
	bool ok;

	if (++s->depth > JSON_DEPTH_MAX)
		return add_error(s, "nested too deeply");
	ok = scan(s);
	s->depth--;
	return ok;
}

static bool scan_value(struct scanner *s)
{
	if (consume(s, '{'))
		return scan_nested(s, scan_object);
	if (consume(s, '['))
		return scan_nested(s, scan_array);
	if (next_is(s, '"'))
		return scan_string(s);
	if (scan_literal(s, "true") || scan_literal(s, "false") || scan_literal(s, "null"))
		return true;
	return scan_number(s);
}

/// Reads the four digits of an escape \uXXXX at @p p.
///
/// @return the UTF-16 code unit, or -1
static int32_t read_code_unit(const char *p, const char *end)
{
	int32_t unit = 0;

	if (end - p < 6 || p[0] != '\\' || p[1] != 'u')
		return -1;
	for (int i = 2; i < 6; i++) {
		if (!g_ascii_isxdigit(p[i]))
			return -1;
		unit = unit * 16 + g_ascii_xdigit_value(p[i]);
	}
	return unit;
}

static bool is_high_surrogate(int32_t unit)
{
	return unit >= 0xd800 && unit < 0xdc00;
}

static bool is_low_surrogate(int32_t unit)
{
	return unit >= 0xdc00 && unit < 0xe000;
}

/// @return the end of the escape at @p p, or NULL if a text cannot hold what it stands for
static const char *skip_carried_escape(const char *p, const char *end)
{
	int32_t unit;

	if (end - p < 2 || !p[1] || !strchr("\"\\/bfnrtu", p[1]))
		return NULL;
	if (p[1] != 'u')
		return p + 2;
	unit = read_code_unit(p, end);
	if (is_high_surrogate(unit))
		return is_low_surrogate(read_code_unit(p + 6, end)) ? p + 12 : NULL;
	return unit > 0 && !is_low_surrogate(unit) ? p + 6 : NULL;
}

/// Tells whether a text can hold a string, given without its quotes.
static bool is_carried(const char *from, const char *end)
{
	const char *p = from;

	while (p && p < end)
		p = *p == '\\' ? skip_carried_escape(p, end) : p + 1;
	return p && g_utf8_validate_len(from, end - from, NULL);
}

/// @return the closing quote of the string whose content begins at @p p, or @p end
static const char *find_string_end(const char *p, const char *end)
{
	while (p < end && *p != '"')
		p += *p == '\\' ? 2 : 1;
	return MIN(p, end);
}

static bool is_member_name(const char *after, const char *end)
{
	while (after < end && *after && strchr(" \t\r\n", *after))
		after++;
	return after < end && *after == ':';
}

GString *json_replace_not_carried(const char *text, size_t len)
{
	const char *end = text + len;
	const char *copied = text;
	GString *out = NULL;

	for (const char *p = text; p < end; p++) {
		const char *from = p + 1;

		if (*p != '"')
			continue;
		p = find_string_end(from, end);
		if (p == end || is_carried(from, p))
			continue;
		out = out ? out : g_string_sized_new(len);
		g_string_append_len(out, copied, from - 1 - copied);
		g_string_append(out, is_member_name(p + 1, end) ? "\"\"" : JSON_NOT_CARRIED);
		copied = p + 1;
	}
	if (out)
		g_string_append_len(out, copied, end - copied);
	return out;
}

bool json_is_safe_to_parse(const char *text, size_t len)
{
	bool in_string = false;
	int depth = 0;

	for (size_t i = 0; i < len; i++) {
		char c = text[i];

		if (in_string) {
			i += c == '\\';
			in_string = c != '"';
			continue;
		}
		if (c == '"')
			in_string = true;
		else if (c == '{' || c == '[')
			depth++;
		else if (c == '}' || c == ']')
			depth--;
		else if (!c || (!g_ascii_isalnum(c) && !strchr(" \t\r\n,:+-.", c)))
			return false;
		if (depth > JSON_DEPTH_MAX)
			return false;
	}
	return true;
}

void json_check(const char *text, size_t len, GPtrArray *errors)
{
	g_autoptr(GString) path = g_string_new("$");
	struct scanner s = {.p = text, .end = text + len, .path = path, .errors = errors};

	if (!g_utf8_validate_len(text, len, NULL)) {
		add_error(&s, "not UTF-8, or contains NUL");
		return;
	}
	if (!scan_value(&s))
		return;
	skip_space(&s);
	if (s.p != s.end)
		add_error(&s, "unexpected text after the JSON value");
}
