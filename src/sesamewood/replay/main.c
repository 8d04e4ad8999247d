/// @file
/// sesamewood-replay: passes the events of recorded traces to the control reducer and compares its
/// state with the outcomes that the traces expect.

#include "base/options.h"
#include "control/trace.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_DIFFERS 1
#define EXIT_USAGE 2

static struct option options[] = {
	{"verbose", OPTION_BOOL, "false", 0, 0, "", "a switch", "Print every outcome", NULL, 0},
	{0},
};

/// A trace that is being replayed.
struct replay {
	const char *path;
	struct control *control;
	unsigned int events;	  ///< number of dispatched events
	unsigned int outcomes;	  ///< number of compared outcomes
	unsigned int differences; ///< number of outcomes that differ
};

static const char *phase_name(sw_phase phase)
{
	static const char *const names[] = {"idle", "active", "revoking"};

	return names[phase];
}

/// Returns the value of a member of an instance as text, "unknown" if there is no such instance, or
/// NULL if there is no such member. Owned by the caller.
static char *instance_member(const struct control *c, const char *name, const char *member)
{
	const sw_instance *i = fleet_find_instance(c->fleet, name);

	if (!i)
		return g_strdup("unknown");
	if (g_str_equal(member, "pool"))
		return g_strdup(i->pool);
	if (g_str_equal(member, "target"))
		return g_strdup(i->target);
	if (g_str_equal(member, "entry"))
		return g_strdup(i->entry);
	if (g_str_equal(member, "phase"))
		return g_strdup(phase_name(i->phase));
	return NULL;
}

/// Returns the value of a member of the whole state as text, or NULL if there is no such member.
/// Owned by the caller.
static char *state_member(const struct control *c, const char *member)
{
	if (g_str_equal(member, "leader"))
		return g_strdup_printf("%u", raft_leader(c->raft));
	if (g_str_equal(member, "instances"))
		return g_strdup_printf("%u", g_hash_table_size(c->fleet->by_name));
	if (g_str_equal(member, "moves"))
		return g_strdup_printf("%" PRIu64, c->fleet->moves);
	if (g_str_equal(member, "claims"))
		return g_strdup_printf("%u", g_hash_table_size(c->fleet->claims));
	if (g_str_equal(member, "routes_version"))
		return g_strdup_printf("%" PRIu64, c->fleet->routes_version);
	if (g_str_equal(member, "pools_version"))
		return g_strdup_printf("%" PRIu64, c->fleet->pools_version);
	return NULL;
}

/// Compares the state with an expected outcome; prints a difference, or every outcome with
/// --verbose.
static void compare_outcome(struct replay *r, const struct trace_line *line)
{
	g_autofree char *found =
		line->expect_instance
			? instance_member(r->control, line->expect_instance, line->expect_member)
			: state_member(r->control, line->expect_member);
	bool same = found && g_str_equal(found, line->expect_value);

	r->outcomes++;
	r->differences += !same;
	if (!same || options_get(options, "verbose")->number)
		printf("%s: %s %s is %s, expected %s\n", r->path,
		       line->expect_instance ? line->expect_instance : "state", line->expect_member,
		       found ? found : "not a known member", line->expect_value);
}

/// Replaces the replica by a new one with the settings of the line.
static void create_replica(struct replay *r, const struct trace_line *line)
{
	struct raft_recovered empty = {0};

	if (r->control)
		control_free(r->control);
	r->control = control_new(&line->settings, &empty, line->now);
}

/// Dispatches an event. The effects and replies are dropped: the trace holds the events that
/// followed from them when it was recorded.
static void dispatch_event(struct replay *r, const struct trace_line *line)
{
	control_step(r->control, line->now, &line->event);
	g_ptr_array_unref(raft_take_effects(r->control->raft));
	g_ptr_array_unref(control_take_replies(r->control));
	r->events++;
}

/// Handles a line. The first line must hold settings.
///
/// @return false if the line is malformed
static bool replay_line(struct replay *r, const char *text)
{
	struct trace_line line;
	bool ok = trace_parse(text, &line);

	if (ok && !r->control && line.type != TRACE_SETTINGS)
		ok = false;
	if (ok) {
		switch (line.type) {
		case TRACE_SETTINGS:
			create_replica(r, &line);
			break;
		case TRACE_EVENT:
			dispatch_event(r, &line);
			break;
		case TRACE_EXPECT:
			compare_outcome(r, &line);
			break;
		}
	}
	trace_line_clear(&line);
	return ok;
}

/// Replays a file and prints a summary.
///
/// @return false if the file is malformed, has no outcomes, or an outcome differs
static bool replay_file(const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	struct replay r = {.path = path};
	bool ok = true;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		fprintf(stderr, "%s: cannot read the trace file\n", path);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (int i = 0; ok && lines[i]; i++) {
		if (!*lines[i])
			continue;
		ok = replay_line(&r, lines[i]);
		if (!ok)
			fprintf(stderr, "%s:%d: malformed line\n", path, i + 1);
	}
	ok = ok && r.outcomes && !r.differences;
	printf("%s %s: %u events, %u outcomes, %u differ\n", ok ? "ok" : "not ok", path, r.events,
	       r.outcomes, r.differences);
	if (r.control)
		control_free(r.control);
	return ok;
}

int main(int argc, char **argv)
{
	char **paths = NULL;
	bool ok = true;

	options_parse(options, "Replays traces against their stated outcomes: FILE…", &argc, &argv,
		      &paths);
	if (!paths) {
		fprintf(stderr, "a trace file is needed\n");
		return EXIT_USAGE;
	}
	for (int i = 0; paths[i]; i++)
		ok = replay_file(paths[i]) && ok;
	return ok ? EXIT_SUCCESS : EXIT_DIFFERS;
}
