/// @file
/// Control and entries together under random requests, moves, edits, failures and delays. The
/// endpoints are modelled as what they saw: which requests of which pool ran when.

#include "property.h"

#include <functional>
#include <map>
#include <set>

extern "C" {
#include "base/codec.h"
#include "control/control.h"
#include "entry/entry.h"
}

namespace
{
constexpr unsigned int kEntries = 3;
constexpr unsigned int kInstances = 6;
constexpr clock_ms_t kLeaseMs = 500;
constexpr clock_ms_t kDeadlineMs = 1000;
constexpr unsigned int kMaxOut = 1;

/// What the random actions reached, over all cases.
struct Reached {
	unsigned long actions, runs, moves, claims, duplicates, not_run, may_have_run, freezes,
		kills, failovers, loans, voluntary;
} reached;

struct Run {
	std::string pool;
	clock_ms_t until;
};

struct Instance {
	std::string name;
	uint64_t incarnation = 1;
	bool leaving = false;
	bool silent = false;
	std::vector<Run> runs;
	std::string phase;
};

struct EntryNode {
	unsigned int number = 0;
	struct entry *entry = nullptr;
	double rate = 1; ///< of its clock
	clock_ms_t frozen_until = 0;
	bool cut = false; ///< from control
	uint64_t life = 0;
};

struct Caller {
	std::string key;
	bool post = false;
	bool ran = false; ///< an endpoint received it
};

template <typename T> std::shared_ptr<T> copy_of(xdrproc_t proc, const T *from)
{
	std::shared_ptr<T> out(new T, [proc](T *p) {
		codec_free(proc, p);
		delete p;
	});

	codec_copy(proc, from, out.get(), sizeof(T));
	return out;
}

const char *no_header(const void *, const char *)
{
	return nullptr;
}

class Fleet
{
      public:
	explicit Fleet(uint32_t seed);
	~Fleet();
	Fleet(const Fleet &) = delete;
	Fleet &operator=(const Fleet &) = delete;
	void act(uint32_t action);
	void advance(clock_ms_t ms);
	void quiesce();

      private:
	clock_ms_t now = 1000;
	uint32_t state;
	struct control *control = nullptr;
	struct raft_recovered disk = {};
	GPtrArray *log = nullptr;
	raft_meta meta = {};
	EntryNode entries[kEntries];
	Instance instances[kInstances];
	std::multimap<clock_ms_t, std::function<void()>> timers;
	std::map<uint64_t, std::function<void(const struct control_reply *)>> calls;
	std::map<uint64_t, std::function<void(const sw_borrow_reply *)>> borrows;
	std::map<uint64_t, Caller> callers;
	std::map<std::string, int> runs_by_key;
	std::map<std::string, sw_phase> phases;
	std::set<std::string> was_out;
	uint64_t next_id = 1;
	uint64_t next_key = 1;
	int edit = 0;

	uint32_t random(uint32_t n)
	{
		state = state * 1664525U + 1013904223U;
		return (state >> 8) % n;
	}
	void after(clock_ms_t ms, std::function<void()> fn)
	{
		timers.emplace(now + ms, std::move(fn));
	}
	clock_ms_t local(const EntryNode &n) const
	{
		return static_cast<clock_ms_t>(static_cast<double>(now) * n.rate);
	}
	void start_control();
	void step_control(struct control_event event);
	void settle_control();
	void check_budgets();
	void start_entry(EntryNode &n);
	void step_entry(EntryNode &n, const std::function<void(struct entry_event &)> &fill);
	void carry_out(EntryNode &n);
	void to_entry(unsigned int number, uint64_t life, clock_ms_t delay,
		      std::function<void(struct entry_event &)> fill);
	void call_control(EntryNode &n, struct control_event event,
			  std::function<void(const struct control_reply *)> done);
	void renew(EntryNode &n, const sw_renew_args *args);
	void claim(EntryNode &n, const sw_claim *claim);
	void borrow(EntryNode &n, const struct entry_effect *e);
	void give_back(const struct entry_effect *e);
	void send(EntryNode &n, const struct entry_effect *e);
	void receive(EntryNode &n, Instance &i, const std::string &pool, uint64_t id,
		     uint32_t attempt, clock_ms_t timeout_ms);
	void request(EntryNode &n, bool post, const char *path, const std::string &key);
	void announce(Instance &i);
	void put(int which);
};

Fleet::Fleet(uint32_t seed) : state(seed)
{
	log = g_ptr_array_new_with_free_func(raft_log_record_free);
	for (unsigned int i = 0; i < kInstances; i++)
		instances[i].name = (i < 3 ? "a-" : "b-") + std::to_string(i);
	start_control();
	for (unsigned int i = 0; i < kEntries; i++) {
		entries[i].number = i;
		entries[i].rate = 0.96 + 0.04 * i;
		start_entry(entries[i]);
	}
	advance(300);
	put(0);
	advance(1500);
}

Fleet::~Fleet()
{
	for (auto &n : entries)
		if (n.entry)
			entry_free(n.entry);
	control_free(control);
	g_ptr_array_unref(log);
	codec_free(CODEC_PROC(raft_meta), &meta);
}

/* Control: one replica, whose log survives its restarts. */

void Fleet::start_control()
{
	struct control_settings s = {};
	struct raft_recovered recovered = {};

	s.raft.node = 1;
	s.raft.uid = 77;
	s.raft.nodes[0] = 1;
	s.raft.election_ms = 20;
	s.raft.heartbeat_ms = 10;
	s.raft.seed = random(1000);
	s.lease_ms = kLeaseMs;
	s.lease_margin_ms = kLeaseMs / 10;
	s.deadline_max_ms = kDeadlineMs;
	s.suspect_ms = 400;
	s.forget_ms = 3000;
	s.probation_ms = 200;
	s.snapshot_records = 100000;
	s.policy = true;
	codec_copy(CODEC_PROC(raft_meta), &meta, &recovered.meta, sizeof(meta));
	recovered.records = g_ptr_array_new_with_free_func(raft_log_record_free);
	for (guint i = 0; i < log->len; i++) {
		auto *from = static_cast<struct raft_log_record *>(log->pdata[i]);
		auto *to = g_new0(struct raft_log_record, 1);

		*to = *from;
		g_bytes_ref(to->command);
		g_ptr_array_add(recovered.records, to);
	}
	control = control_new(&s, &recovered, now);
}

/// Stores effects and delivers replies until nothing is left to do, as the program's shell does.
void Fleet::settle_control()
{
	for (;;) {
		struct control_event flush = {};
		GPtrArray *effects;

		flush.type = CONTROL_FLUSH;
		control_step(control, now, &flush);
		effects = raft_take_effects(control->raft);
		for (guint i = 0; i < effects->len; i++) {
			auto *e = static_cast<struct raft_effect *>(effects->pdata[i]);

			if (e->type == RAFT_SAVE_META) {
				codec_free(CODEC_PROC(raft_meta), &meta);
				codec_copy(CODEC_PROC(raft_meta), &e->u.meta, &meta, sizeof(meta));
			} else if (e->type == RAFT_APPEND_LOG) {
				for (guint j = 0; j < e->u.records->len; j++) {
					auto *r = static_cast<struct raft_log_record *>(
						e->u.records->pdata[j]);
					auto *copy = g_new0(struct raft_log_record, 1);

					*copy = *r;
					g_bytes_ref(copy->command);
					g_ptr_array_add(log, copy);
				}
			}
		}
		guint n = effects->len;

		g_ptr_array_unref(effects);
		if (!n)
			break;
		struct control_event persisted = {};

		persisted.type = CONTROL_PERSISTED;
		control_step(control, now, &persisted);
		check_budgets();
	}
	GPtrArray *replies = control_take_replies(control);

	for (guint i = 0; i < replies->len; i++) {
		auto *r = static_cast<struct control_reply *>(replies->pdata[i]);
		auto call = calls.find(r->token);

		if (call == calls.end())
			continue;
		auto done = call->second;

		calls.erase(call);
		done(r);
	}
	g_ptr_array_unref(replies);
}

void Fleet::step_control(struct control_event event)
{
	event.wall_ms = now;
	control_step(control, now, &event);
	settle_control();
}

/// A move by the policy or by an edit may not begin while its pool has more out than its budget.
/// What fails or leaves in the same batch was not known when the move was admitted.
void Fleet::check_budgets()
{
	std::map<std::string, unsigned int> out;
	std::set<std::string> began;
	std::set<std::string> now_out;

	for (guint i = 0; i < control->fleet->instances->len; i++) {
		auto *instance = static_cast<sw_instance *>(control->fleet->instances->pdata[i]);

		if (!instance)
			continue;
		bool voluntary = instance->phase == SW_PHASE_REVOKING &&
				 !instance->endpoint.leaving &&
				 (instance->reason == SW_REASON_SURGE ||
				  instance->reason == SW_REASON_RETURN ||
				  (instance->reason == SW_REASON_TABLE && *instance->target));
		sw_phase before = phases[instance->endpoint.instance];

		auto *health = &g_array_index(control->health, struct health, instance->id);
		bool ill = instance->id < control->health->len &&
			   (health->suspected || now < health->probation_until);
		bool is_out = ill ||
			      (instance->phase != SW_PHASE_ACTIVE &&
			       instance->reason != SW_REASON_ENTRY) ||
			      instance->endpoint.leaving;

		if (is_out && (voluntary || was_out.count(instance->endpoint.instance)))
			out[instance->pool]++;
		if (is_out)
			now_out.insert(instance->endpoint.instance);
		if (voluntary && before == SW_PHASE_ACTIVE && !ill)
			began.insert(instance->pool);
		phases[instance->endpoint.instance] = instance->phase;
	}
	was_out = now_out;
	for (const auto &pool : began) {
		reached.voluntary++;
		RC_ASSERT(out[pool] <= kMaxOut);
	}
}

/* Messages. */

void Fleet::to_entry(unsigned int number, uint64_t life, clock_ms_t delay,
		     std::function<void(struct entry_event &)> fill)
{
	after(delay, [this, number, life, fill] {
		EntryNode &n = entries[number];

		if (!n.entry || n.life != life)
			return;
		if (now < n.frozen_until)
			to_entry(number, life, n.frozen_until - now, fill);
		else
			step_entry(n, fill);
	});
}

void Fleet::call_control(EntryNode &n, struct control_event event,
			 std::function<void(const struct control_reply *)> done)
{
	if (n.cut)
		return;
	event.token = next_id++;
	calls[event.token] = std::move(done);
	step_control(event);
}

void Fleet::renew(EntryNode &n, const sw_renew_args *args)
{
	auto copy = copy_of(CODEC_PROC(sw_renew_args), args);
	clock_ms_t sent_at = local(n);
	unsigned int number = n.number;
	uint64_t life = n.life;
	auto answered = std::make_shared<bool>(false);
	bool lost = random(20) == 0;

	after(random(8), [=, this] {
		struct control_event event = {};

		event.type = CONTROL_RENEW;
		event.u.renew = copy.get();
		call_control(entries[number], event, [=, this](const struct control_reply *r) {
			auto reply = copy_of(CODEC_PROC(sw_renew_reply), &r->u.renew);

			if (lost || entries[number].cut)
				return;
			to_entry(number, life, random(8), [=](struct entry_event &e) {
				*answered = true;
				e.type = ENTRY_RENEW_RESULT;
				e.u.renew.sent_at = sent_at;
				e.u.renew.reply = reply.get();
			});
		});
	});
	to_entry(number, life, 60, [=](struct entry_event &e) {
		if (*answered) {
			e.type = ENTRY_TICK;
			return;
		}
		e.type = ENTRY_RENEW_RESULT;
		e.u.renew.sent_at = sent_at;
		e.u.renew.reply = nullptr;
	});
}

void Fleet::claim(EntryNode &n, const sw_claim *claim)
{
	auto copy = copy_of(CODEC_PROC(sw_claim), claim);
	unsigned int number = n.number;
	uint64_t life = n.life;
	uint64_t id = claim->attempt;
	bool open = claim->state == SW_CLAIM_OPEN;
	auto answered = std::make_shared<bool>(false);
	bool lost = random(10) == 0;

	reached.claims++;
	after(random(8), [=, this] {
		struct control_event event = {};
		sw_claim_args args = {};

		args.claims.claims_len = 1;
		args.claims.claims_val = copy.get();
		event.type = CONTROL_CLAIM;
		event.u.claim = &args;
		call_control(entries[number], event, [=, this](const struct control_reply *r) {
			auto reply = copy_of(CODEC_PROC(sw_claim_reply), &r->u.claim);

			if (lost || !open || entries[number].cut)
				return;
			to_entry(number, life, random(8), [=](struct entry_event &e) {
				bool known = reply->status == SW_OK && reply->results.results_len;

				*answered = true;
				e.type = ENTRY_CLAIM_RESULT;
				e.u.claim.id = id;
				e.u.claim.lost = !known;
				if (!known)
					return;
				e.u.claim.status = reply->results.results_val[0].status;
				e.u.claim.holder = &reply->results.results_val[0].holder;
			});
		});
	});
	if (!open)
		return;
	to_entry(number, life, 80, [=](struct entry_event &e) {
		e.type = ENTRY_TICK;
		if (*answered)
			return;
		e.type = ENTRY_CLAIM_RESULT;
		e.u.claim.id = id;
		e.u.claim.lost = true;
	});
}

void Fleet::borrow(EntryNode &n, const struct entry_effect *e)
{
	std::string lender = e->u.borrow.address;
	std::string pool = e->u.borrow.pool;
	uint32_t count = e->u.borrow.count;
	clock_ms_t sent_at = local(n);
	unsigned int number = n.number;
	uint64_t life = n.life;
	uint64_t token = next_id++;
	unsigned int to = static_cast<unsigned int>(lender.back() - '0');
	auto answered = std::make_shared<bool>(false);
	bool lost = random(10) == 0;

	reached.loans++;
	borrows[token] = [=, this](const sw_borrow_reply *r) {
		auto reply = copy_of(CODEC_PROC(sw_borrow_reply), r);

		if (lost)
			return;
		to_entry(number, life, random(8), [=](struct entry_event &event) {
			event.type = ENTRY_TICK;
			if (*answered)
				return;
			*answered = true;
			event.type = ENTRY_BORROW_RESULT;
			event.u.borrow.pool = pool.c_str();
			event.u.borrow.lender = lender.c_str();
			event.u.borrow.sent_at = sent_at;
			event.u.borrow.reply = reply.get();
		});
	};
	auto args = std::make_shared<sw_borrow_args>();

	to_entry(to, entries[to].life, random(8), [=](struct entry_event &event) {
		args->entry = const_cast<char *>("x");
		args->pool = const_cast<char *>(pool.c_str());
		args->count = count;
		args->wait_ms = 100;
		event.type = ENTRY_BORROW_CALL;
		event.u.lend.token = token;
		event.u.lend.args = args.get();
	});
	to_entry(number, life, 400, [=](struct entry_event &event) {
		event.type = ENTRY_TICK;
		if (*answered)
			return;
		*answered = true;
		event.type = ENTRY_BORROW_RESULT;
		event.u.borrow.pool = pool.c_str();
		event.u.borrow.lender = lender.c_str();
		event.u.borrow.sent_at = sent_at;
		event.u.borrow.reply = nullptr;
	});
}

void Fleet::give_back(const struct entry_effect *e)
{
	unsigned int to = static_cast<unsigned int>(
		e->u.give_back.address[strlen(e->u.give_back.address) - 1] - '0');
	auto id = std::make_shared<u_quad_t>(e->u.give_back.loan);
	auto args = std::make_shared<sw_return_args>();

	args->loans.loans_len = 1;
	args->loans.loans_val = id.get();
	to_entry(to, entries[to].life, random(8), [args, id](struct entry_event &event) {
		event.type = ENTRY_RETURN_CALL;
		event.u.returned = args.get();
	});
}

/* Entries. */

void Fleet::start_entry(EntryNode &n)
{
	std::string name = "e-" + std::to_string(n.number);
	std::string address = "entry-" + std::to_string(n.number);
	struct entry_settings s = {};

	n.life = next_id++;
	s.name = const_cast<char *>(name.c_str());
	s.address = const_cast<char *>(address.c_str());
	s.session = n.life;
	s.renew_ms = 100;
	s.loan_ms = 300;
	s.loan_margin_ms = 50;
	s.deadline_max_ms = kDeadlineMs;
	s.eject_failures = 4;
	s.eject_ms = 100;
	s.retry_percent = 10;
	n.entry = entry_new(&s, local(n));
}

void Fleet::step_entry(EntryNode &n, const std::function<void(struct entry_event &)> &fill)
{
	struct entry_event event = {};

	fill(event);
	entry_step(n.entry, local(n), &event);
	carry_out(n);
}

void Fleet::carry_out(EntryNode &n)
{
	GPtrArray *effects = entry_take_effects(n.entry);

	for (guint i = 0; i < effects->len; i++) {
		auto *e = static_cast<struct entry_effect *>(effects->pdata[i]);

		switch (e->type) {
		case EFFECT_DISPATCH:
			send(n, e);
			break;
		case EFFECT_PROBLEM:
			if (e->u.problem.verdict == VERDICT_NOT_RUN) {
				reached.not_run++;
				RC_ASSERT(!callers[e->id].ran);
			} else {
				reached.may_have_run++;
			}
			break;
		case EFFECT_ANSWER:
			RC_ASSERT(callers[e->id].ran);
			break;
		case EFFECT_CLAIM:
			claim(n, &e->u.claim);
			break;
		case EFFECT_FETCH_ANSWER:
			reached.duplicates++;
			break;
		case EFFECT_RENEW:
			renew(n, &e->u.renew);
			break;
		case EFFECT_BORROW:
			borrow(n, e);
			break;
		case EFFECT_LEND: {
			auto call = borrows.find(e->id);

			if (call == borrows.end())
				break;
			auto done = call->second;

			borrows.erase(call);
			done(&e->u.lend);
			break;
		}
		case EFFECT_RETURN:
			give_back(e);
			break;
		case EFFECT_ABORT:
		case EFFECT_ANNOUNCED:
			break;
		}
	}
	g_ptr_array_unref(effects);
}

/// An attempt leaves the entry a little after it was decided, and is checked again then.
void Fleet::send(EntryNode &n, const struct entry_effect *e)
{
	std::string name = e->u.dispatch.instance;
	std::string pool = e->u.dispatch.pool;
	clock_ms_t timeout_ms = e->u.dispatch.timeout_ms;
	uint64_t id = e->id;
	uint32_t attempt = e->attempt;
	unsigned int number = n.number;
	uint64_t life = n.life;

	to_entry(number, life, random(4), [=, this](struct entry_event &event) {
		EntryNode &from = entries[number];
		bool refused = random(12) == 0;

		event.type = ENTRY_TICK;
		if (!refused && entry_may_send(from.entry, local(from), id, attempt)) {
			for (auto &i : instances)
				if (i.name == name)
					receive(from, i, pool, id, attempt, timeout_ms);
			return;
		}
		event.type = ENTRY_ATTEMPT_DONE;
		event.u.done.id = id;
		event.u.done.attempt = attempt;
		event.u.done.verdict = VERDICT_NOT_RUN;
	});
}

void Fleet::receive(EntryNode &n, Instance &i, const std::string &pool, uint64_t id,
		    uint32_t attempt, clock_ms_t timeout_ms)
{
	auto wait_ms = static_cast<clock_ms_t>(static_cast<double>(timeout_ms) / n.rate);
	clock_ms_t runs_ms = random(4) ? random(100) : random(2000);
	bool breaks = random(10) == 0;
	bool late = runs_ms >= wait_ms;
	Caller &caller = callers[id];

	reached.runs++;
	caller.ran = true;
	if (caller.post)
		RC_ASSERT(++runs_by_key[caller.key] == 1);
	std::erase_if(i.runs, [this](const Run &r) { return r.until <= now; });
	for (const Run &r : i.runs)
		RC_ASSERT(r.pool == pool);
	i.runs.push_back({pool, now + std::min(runs_ms, wait_ms)});
	to_entry(n.number, n.life, std::min(runs_ms, wait_ms), [=](struct entry_event &event) {
		event.type = ENTRY_ATTEMPT_DONE;
		event.u.done.id = id;
		event.u.done.attempt = attempt;
		event.u.done.verdict = late || breaks ? VERDICT_MAY_HAVE_RUN : VERDICT_RAN;
		event.u.done.timed_out = late;
		event.u.done.http_status = 200;
	});
}

/* Actions. */

void Fleet::request(EntryNode &n, bool post, const char *path, const std::string &key)
{
	uint64_t id = next_id++;

	callers[id].key = key;
	callers[id].post = post;
	to_entry(n.number, n.life, 0, [=](struct entry_event &e) {
		e.type = ENTRY_REQUEST;
		e.u.request.id = id;
		e.u.request.method = post ? "POST" : "GET";
		e.u.request.host = "";
		e.u.request.path = path;
		e.u.request.header = no_header;
		e.u.request.has_key = true;
		e.u.request.digest = 1;
		memcpy(e.u.request.key, key.data(), std::min<size_t>(key.size(), SW_KEY_BYTES));
	});
}

void Fleet::announce(Instance &i)
{
	EntryNode &n = entries[random(kEntries)];
	auto a = std::make_shared<sw_heartbeat>();
	auto name = std::make_shared<std::string>(i.name);

	*a = {};
	a->instance = name->data();
	a->incarnation = i.incarnation;
	a->address = const_cast<char *>("127.0.0.1:1");
	a->zone = const_cast<char *>("z");
	a->rack = const_cast<char *>("");
	a->service = const_cast<char *>("");
	a->slots = 2;
	a->connections = 64;
	a->leaving = i.leaving;
	to_entry(n.number, n.life, random(5), [a, name](struct entry_event &e) {
		e.type = ENTRY_ANNOUNCE;
		e.u.announce.announcement = a.get();
	});
}

/// Puts one of two pools tables, on the version in force, and the routes table once.
void Fleet::put(int which)
{
	static const char *const tables[] = {
		R"({"pools":[{"name":"a","instances":["a-*"],"max_out":1},
		{"name":"b","instances":["b-*"],"max_out":1,"spare":true,"min_instances":0}]})",
		R"({"pools":[{"name":"a","instances":["a-*","b-3"],"max_out":1},
		{"name":"b","instances":["b-4"],"max_out":1,"spare":true,"min_instances":0}]})",
	};
	const struct fleet *f = control->fleet;
	std::string version = "\"" + std::to_string(f->pools_version) + "\"";
	sw_admin_args args = {};
	struct control_event event = {};

	args.method = const_cast<char *>("PUT");
	args.path = const_cast<char *>("/v1/tables/pools");
	args.if_match = version.data();
	args.request_id = const_cast<char *>("");
	args.body = const_cast<char *>(tables[which]);
	event.type = CONTROL_ADMIN;
	event.u.admin = &args;
	step_control(event);
	if (f->routes_version || !f->pools_version)
		return;
	args.path = const_cast<char *>("/v1/tables/routes");
	args.if_match = const_cast<char *>("\"0\"");
	args.body = const_cast<char *>(
		R"({"routes":[{"name":"b","match":{"path_prefix":"/b"},"pool":"b","deadline_ms":1000},
		{"name":"a","pool":"a","deadline_ms":1000,"retries":2}]})");
	step_control(event);
}

void Fleet::advance(clock_ms_t ms)
{
	for (clock_ms_t end = now + ms; now < end; now++) {
		while (!timers.empty() && timers.begin()->first <= now) {
			auto fn = timers.begin()->second;

			timers.erase(timers.begin());
			fn();
		}
		if (now % 10 == 0) {
			struct control_event tick = {};

			tick.type = CONTROL_TICK;
			step_control(tick);
			for (auto &n : entries)
				if (n.entry && now >= n.frozen_until)
					step_entry(n, [](struct entry_event &e) {
						e.type = ENTRY_TICK;
					});
		}
		if (now % 100 == 0)
			for (auto &i : instances)
				if (!i.silent)
					announce(i);
	}
}

void Fleet::act(uint32_t action)
{
	uint32_t what = action % 100;
	uint32_t chosen = action / 100;
	EntryNode &n = entries[chosen % kEntries];
	Instance &i = instances[chosen % kInstances];
	std::string key = "key-" + std::to_string(next_key);
	const char *path = chosen / 7 % 2 ? "/a" : "/b";

	if (what < 30) {
		advance(1 + chosen % 50);
	} else if (what < 60) {
		next_key++;
		for (uint32_t k = 0; k < chosen % 8; k++)
			request(entries[(chosen + k) % kEntries], false, path, key);
	} else if (what < 80) {
		if (chosen % 3)
			next_key++;
		request(n, true, path, "key-" + std::to_string(next_key));
	} else if (what < 82) {
		edit = !edit;
		put(edit);
	} else if (what < 84) {
		reached.freezes++;
		n.frozen_until = now + chosen % 1500;
	} else if (what < 87) {
		n.cut = !n.cut;
	} else if (what < 89) {
		reached.kills++;
		if (n.entry)
			entry_free(n.entry);
		n.entry = nullptr;
		start_entry(n);
	} else if (what < 91) {
		reached.failovers++;
		reached.moves += control->fleet->moves;
		control_free(control);
		calls.clear();
		start_control();
	} else if (what < 94) {
		advance(1 + chosen % 300);
	} else if (what == 94) {
		i.leaving = true;
	} else if (what < 97) {
		i.incarnation++;
		i.leaving = false;
		i.silent = false;
		i.runs.clear();
	} else if (what == 97) {
		i.silent = !i.silent;
	} else if (what == 98) {
		advance(chosen % 1500);
	} else if (chosen % 3 == 0) {
		to_entry(n.number, n.life, 0, [](struct entry_event &e) { e.type = ENTRY_DRAIN; });
	}
}

/// Ends all faults; each instance must then be placed as the tables say.
void Fleet::quiesce()
{
	for (auto &n : entries) {
		n.cut = false;
		n.frozen_until = 0;
	}
	advance(1600);
	for (auto &n : entries) {
		if (n.entry->draining) {
			entry_free(n.entry);
			start_entry(n);
		}
	}
	for (auto &i : instances) {
		i.incarnation += i.leaving;
		i.leaving = false;
		i.silent = false;
	}
	advance(9000);
	for (auto &i : instances) {
		const sw_instance *instance = fleet_instance(control->fleet, i.name.c_str());

		if (!instance)
			for (auto &n : entries) {
				auto *seen = static_cast<struct instance *>(
					g_hash_table_lookup(n.entry->by_name, i.name.c_str()));

				RC_LOG() << i.name << " " << i.incarnation
					 << " unknown to control; entry " << n.number << " sees "
					 << (seen ? seen->record.endpoint.incarnation : 0)
					 << " view " << n.entry->view_index << " news "
					 << g_hash_table_size(n.entry->news) << " lease "
					 << n.entry->lease_until - local(n) << " of "
					 << control->view_index << "\n";
			}
		RC_ASSERT(!!instance);
		for (auto &n : entries) {
			auto *seen = static_cast<struct instance *>(
				g_hash_table_lookup(n.entry->by_name, i.name.c_str()));

			if (seen && instance->phase != SW_PHASE_ACTIVE)
				RC_LOG()
					<< i.name << " of " << instance->entry << " epoch "
					<< instance->epoch << "; at entry " << n.number << " epoch "
					<< seen->record.epoch << " phase " << seen->record.phase
					<< " in use " << seen->in_use << " lent " << seen->lent
					<< " lease " << n.entry->lease_until - local(n) << "\n";
		}
		if (*instance->home)
			RC_ASSERT(instance->phase == SW_PHASE_ACTIVE);
	}
	for (auto &n : entries)
		RC_ASSERT(entry_open_requests(n.entry) == 0U);
	reached.moves += control->fleet->moves;
}
} // namespace

int main()
{
	Property property("/fleet");

	property.check("keeps_its_promises", [] {
		Fleet fleet(*rc::gen::inRange<uint32_t>(0, 1U << 30));

		for (uint32_t action : *actions(200)) {
			reached.actions++;
			fleet.act(action);
		}
		fleet.quiesce();
	});
	std::printf("# reached: %lu actions, %lu runs, %lu moves, %lu claims, %lu answers fetched, "
		    "%lu not run, %lu may have run, %lu freezes, %lu kills, %lu failovers, "
		    "%lu loan calls, %lu voluntary moves begun\n",
		    reached.actions, reached.runs, reached.moves, reached.claims,
		    reached.duplicates, reached.not_run, reached.may_have_run, reached.freezes,
		    reached.kills, reached.failovers, reached.loans, reached.voluntary);
	return property.end();
}
