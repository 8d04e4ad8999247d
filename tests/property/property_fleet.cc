/// @file
/// Runs the reducers of control and of the entries together, under random requests, moves, table
/// edits, failures and delays. Each simulated endpoint records which requests of which pool it
/// runs. Guards against effects of lost or late messages, stalled processes and failovers: a POST
/// request that runs twice under one idempotency key, requests of two pools that run at one
/// endpoint at the same time, a request that ran but is reported as not run, and moves that exceed
/// the availability budget of a pool.

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
constexpr unsigned int kMaxOut = 1; ///< max_out of both pools in put_tables()

/// Counts of what the random actions caused, over all cases; shows whether the faults were
/// exercised.
struct Counters {
	/// `executions`: requests that endpoints started to run; `loans`: calls to borrow slots;
	/// `voluntary`: checks of a pool that found a new move by the policy or by a table edit.
	unsigned long actions, executions, moves, claims, fetched_answers, not_run, may_have_run,
		freezes, kills, failovers, loans, voluntary;
} counters;

/// A request that runs at an endpoint.
struct RunningRequest {
	std::string pool;
	clock_ms_t until; ///< time at which it ends
};

/// A simulated endpoint.
struct Instance {
	std::string name;
	uint64_t incarnation = 1;
	bool leaving = false;	   ///< its heartbeats report that it is leaving
	bool unresponsive = false; ///< sends no heartbeats
	std::vector<RunningRequest> running;
	std::string phase;
};

/// An entry process.
struct EntryNode {
	unsigned int number = 0;
	struct entry *entry = nullptr;
	double rate = 1;	     ///< speed of its clock relative to the clock of control
	clock_ms_t frozen_until = 0; ///< the process is stalled until this time
	bool partitioned = false;    ///< no messages pass between it and control
	uint64_t session = 0; ///< identity of the process; messages to an earlier one are dropped
};

/// A request of a caller; all requests with the same key have the same digest.
struct Caller {
	std::string key;
	bool post = false;     ///< a POST request must not run twice
	bool executed = false; ///< an endpoint has received it
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
	void perform(uint32_t action);
	void advance(clock_ms_t ms);
	void end_faults_and_check();

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
	std::map<uint64_t, std::function<void(const struct control_reply *)>> pending_calls;
	std::map<uint64_t, std::function<void(const sw_borrow_reply *)>> pending_borrows;
	std::map<uint64_t, Caller> callers;
	std::map<std::string, int> executions_by_key;
	std::map<std::string, sw_phase> last_phases;
	std::set<std::string> previously_out;
	uint64_t next_id = 1;
	uint64_t next_key = 1;
	int table_edit = 0;

	uint32_t random(uint32_t n)
	{
		state = state * 1664525U + 1013904223U;
		return (state >> 8) % n;
	}
	void after(clock_ms_t ms, std::function<void()> fn)
	{
		timers.emplace(now + ms, std::move(fn));
	}
	clock_ms_t local_clock(const EntryNode &n) const
	{
		return static_cast<clock_ms_t>(static_cast<double>(now) * n.rate);
	}
	void start_control();
	void step_control(struct control_event event);
	void settle_control();
	void check_budgets();
	void start_entry(EntryNode &n);
	void step_entry(EntryNode &n, const std::function<void(struct entry_event &)> &fill_event);
	void execute_effects(EntryNode &n);
	void to_entry(unsigned int number, uint64_t session, clock_ms_t delay,
		      std::function<void(struct entry_event &)> fill_event);
	void call_control(EntryNode &n, struct control_event event,
			  std::function<void(const struct control_reply *)> done);
	void renew(EntryNode &n, const sw_renew_args *args);
	void claim(EntryNode &n, const sw_claim *claim);
	void borrow(EntryNode &n, const struct entry_effect *e);
	void return_loan(const struct entry_effect *e);
	void send(EntryNode &n, const struct entry_effect *e);
	void receive(EntryNode &n, Instance &i, const std::string &pool, uint64_t id,
		     uint32_t attempt, clock_ms_t timeout_ms);
	void request(EntryNode &n, bool post, const char *path, const std::string &key);
	void announce(Instance &i);
	void put_tables(int which);
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
	put_tables(0);
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

/* Control: one replica. Its log and its metadata survive restarts. */

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

/// Stores the log records and metadata that control asks to persist until it asks for no more, then
/// delivers its replies. The event loop of sesamewood-control works in the same order.
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
		auto call = pending_calls.find(r->token);

		if (call == pending_calls.end())
			continue;
		auto done = call->second;

		pending_calls.erase(call);
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

/// Checks that a move by the policy or by a table edit does not begin while more than kMaxOut
/// instances of its pool are out, the moved one included. An instance is out if it is unhealthy,
/// leaving, or not active for another reason than a new grant to another entry. An instance that
/// fails or leaves in the same batch of log records is not counted, because control did not know of
/// it when it allowed the move.
void Fleet::check_budgets()
{
	std::map<std::string, unsigned int> out;
	std::set<std::string> pools_with_new_moves;
	std::set<std::string> currently_out;

	for (guint i = 0; i < control->fleet->instances->len; i++) {
		auto *instance = static_cast<sw_instance *>(control->fleet->instances->pdata[i]);

		if (!instance)
			continue;
		bool voluntary = instance->phase == SW_PHASE_REVOKING &&
				 !instance->endpoint.leaving &&
				 (instance->reason == SW_REASON_SURGE ||
				  instance->reason == SW_REASON_RETURN ||
				  (instance->reason == SW_REASON_TABLE && *instance->target));
		sw_phase before = last_phases[instance->endpoint.instance];

		auto *health = &g_array_index(control->health, struct health, instance->id);
		bool unhealthy = instance->id < control->health->len &&
				 (health->suspected || now < health->probation_until);
		bool is_out = unhealthy ||
			      (instance->phase != SW_PHASE_ACTIVE &&
			       instance->reason != SW_REASON_ENTRY) ||
			      instance->endpoint.leaving;

		if (is_out && (voluntary || previously_out.count(instance->endpoint.instance)))
			out[instance->pool]++;
		if (is_out)
			currently_out.insert(instance->endpoint.instance);
		if (voluntary && before == SW_PHASE_ACTIVE && !unhealthy)
			pools_with_new_moves.insert(instance->pool);
		last_phases[instance->endpoint.instance] = instance->phase;
	}
	previously_out = currently_out;
	for (const auto &pool : pools_with_new_moves) {
		counters.voluntary++;
		RC_ASSERT(out[pool] <= kMaxOut);
	}
}

/* Messages. */

/// Passes an event to an entry after a delay, or when it is no longer stalled. The event is dropped
/// if the entry has restarted.
void Fleet::to_entry(unsigned int number, uint64_t session, clock_ms_t delay,
		     std::function<void(struct entry_event &)> fill_event)
{
	after(delay, [this, number, session, fill_event] {
		EntryNode &n = entries[number];

		if (!n.entry || n.session != session)
			return;
		if (now < n.frozen_until)
			to_entry(number, session, n.frozen_until - now, fill_event);
		else
			step_entry(n, fill_event);
	});
}

void Fleet::call_control(EntryNode &n, struct control_event event,
			 std::function<void(const struct control_reply *)> done)
{
	if (n.partitioned)
		return;
	event.token = next_id++;
	pending_calls[event.token] = std::move(done);
	step_control(event);
}

void Fleet::renew(EntryNode &n, const sw_renew_args *args)
{
	auto copy = copy_of(CODEC_PROC(sw_renew_args), args);
	clock_ms_t sent_at = local_clock(n);
	unsigned int number = n.number;
	uint64_t session = n.session;
	auto answered = std::make_shared<bool>(false);
	bool lost = random(20) == 0;

	after(random(8), [=, this] {
		struct control_event event = {};

		event.type = CONTROL_RENEW;
		event.u.renew = copy.get();
		call_control(entries[number], event, [=, this](const struct control_reply *r) {
			auto reply = copy_of(CODEC_PROC(sw_renew_reply), &r->u.renew);

			if (lost || entries[number].partitioned)
				return;
			to_entry(number, session, random(8), [=](struct entry_event &e) {
				*answered = true;
				e.type = ENTRY_EVENT_RENEW_RESULT;
				e.u.renew.sent_at = sent_at;
				e.u.renew.reply = reply.get();
			});
		});
	});
	/* The call times out after 60 ms. */
	to_entry(number, session, 60, [=](struct entry_event &e) {
		if (*answered) {
			e.type = ENTRY_EVENT_TICK;
			return;
		}
		e.type = ENTRY_EVENT_RENEW_RESULT;
		e.u.renew.sent_at = sent_at;
		e.u.renew.reply = nullptr;
	});
}

void Fleet::claim(EntryNode &n, const sw_claim *claim)
{
	auto copy = copy_of(CODEC_PROC(sw_claim), claim);
	unsigned int number = n.number;
	uint64_t session = n.session;
	uint64_t id = claim->attempt;
	bool open = claim->state == SW_CLAIM_OPEN;
	auto answered = std::make_shared<bool>(false);
	bool lost = random(10) == 0;

	counters.claims++;
	after(random(8), [=, this] {
		struct control_event event = {};
		sw_claim_args args = {};

		args.claims.claims_len = 1;
		args.claims.claims_val = copy.get();
		event.type = CONTROL_CLAIM;
		event.u.claim = &args;
		call_control(entries[number], event, [=, this](const struct control_reply *r) {
			auto reply = copy_of(CODEC_PROC(sw_claim_reply), &r->u.claim);

			if (lost || !open || entries[number].partitioned)
				return;
			to_entry(number, session, random(8), [=](struct entry_event &e) {
				bool known = reply->status == SW_OK && reply->results.results_len;

				*answered = true;
				e.type = ENTRY_EVENT_CLAIM_RESULT;
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
	/* The call times out after 80 ms. */
	to_entry(number, session, 80, [=](struct entry_event &e) {
		e.type = ENTRY_EVENT_TICK;
		if (*answered)
			return;
		e.type = ENTRY_EVENT_CLAIM_RESULT;
		e.u.claim.id = id;
		e.u.claim.lost = true;
	});
}

void Fleet::borrow(EntryNode &n, const struct entry_effect *e)
{
	std::string lender = e->u.borrow.address;
	std::string pool = e->u.borrow.pool;
	uint32_t count = e->u.borrow.count;
	clock_ms_t sent_at = local_clock(n);
	unsigned int number = n.number;
	uint64_t session = n.session;
	uint64_t token = next_id++;
	unsigned int to = static_cast<unsigned int>(lender.back() - '0');
	auto answered = std::make_shared<bool>(false);
	bool lost = random(10) == 0;

	counters.loans++;
	pending_borrows[token] = [=, this](const sw_borrow_reply *r) {
		auto reply = copy_of(CODEC_PROC(sw_borrow_reply), r);

		if (lost)
			return;
		to_entry(number, session, random(8), [=](struct entry_event &event) {
			event.type = ENTRY_EVENT_TICK;
			if (*answered)
				return;
			*answered = true;
			event.type = ENTRY_EVENT_BORROW_RESULT;
			event.u.borrow.pool = pool.c_str();
			event.u.borrow.lender = lender.c_str();
			event.u.borrow.sent_at = sent_at;
			event.u.borrow.reply = reply.get();
		});
	};
	auto args = std::make_shared<sw_borrow_args>();

	to_entry(to, entries[to].session, random(8), [=](struct entry_event &event) {
		args->entry = const_cast<char *>("x");
		args->pool = const_cast<char *>(pool.c_str());
		args->count = count;
		args->wait_ms = 100;
		event.type = ENTRY_EVENT_BORROW_CALL;
		event.u.borrow_call.token = token;
		event.u.borrow_call.args = args.get();
	});
	/* The call times out after 400 ms; the lender waits up to 100 ms for free slots. */
	to_entry(number, session, 400, [=](struct entry_event &event) {
		event.type = ENTRY_EVENT_TICK;
		if (*answered)
			return;
		*answered = true;
		event.type = ENTRY_EVENT_BORROW_RESULT;
		event.u.borrow.pool = pool.c_str();
		event.u.borrow.lender = lender.c_str();
		event.u.borrow.sent_at = sent_at;
		event.u.borrow.reply = nullptr;
	});
}

void Fleet::return_loan(const struct entry_effect *e)
{
	unsigned int to = static_cast<unsigned int>(
		e->u.return_loan.address[strlen(e->u.return_loan.address) - 1] - '0');
	auto id = std::make_shared<u_quad_t>(e->u.return_loan.loan);
	auto args = std::make_shared<sw_return_args>();

	args->loans.loans_len = 1;
	args->loans.loans_val = id.get();
	to_entry(to, entries[to].session, random(8), [args, id](struct entry_event &event) {
		event.type = ENTRY_EVENT_RETURN_CALL;
		event.u.return_call = args.get();
	});
}

/* Entries. */

void Fleet::start_entry(EntryNode &n)
{
	std::string name = "e-" + std::to_string(n.number);
	std::string address = "entry-" + std::to_string(n.number);
	struct entry_settings s = {};

	n.session = next_id++;
	s.name = const_cast<char *>(name.c_str());
	s.address = const_cast<char *>(address.c_str());
	s.session = n.session;
	s.renew_ms = 100;
	s.loan_ms = 300;
	s.loan_margin_ms = 50;
	s.deadline_max_ms = kDeadlineMs;
	s.eject_failures = 4;
	s.eject_ms = 100;
	s.retry_percent = 10;
	n.entry = entry_new(&s, local_clock(n));
}

void Fleet::step_entry(EntryNode &n, const std::function<void(struct entry_event &)> &fill_event)
{
	struct entry_event event = {};

	fill_event(event);
	entry_step(n.entry, local_clock(n), &event);
	execute_effects(n);
}

void Fleet::execute_effects(EntryNode &n)
{
	GPtrArray *effects = entry_take_effects(n.entry);

	for (guint i = 0; i < effects->len; i++) {
		auto *e = static_cast<struct entry_effect *>(effects->pdata[i]);

		switch (e->type) {
		case ENTRY_EFFECT_DISPATCH:
			send(n, e);
			break;
		case ENTRY_EFFECT_SEND_PROBLEM:
			if (e->u.problem.verdict == VERDICT_NOT_RUN) {
				counters.not_run++;
				RC_ASSERT(!callers[e->id].executed);
			} else {
				counters.may_have_run++;
			}
			break;
		case ENTRY_EFFECT_SEND_RESPONSE:
			RC_ASSERT(callers[e->id].executed);
			break;
		case ENTRY_EFFECT_CLAIM:
			claim(n, &e->u.claim);
			break;
		case ENTRY_EFFECT_FETCH_RESPONSE:
			counters.fetched_answers++;
			break;
		case ENTRY_EFFECT_RENEW:
			renew(n, &e->u.renew);
			break;
		case ENTRY_EFFECT_BORROW:
			borrow(n, e);
			break;
		case ENTRY_EFFECT_REPLY_BORROW: {
			auto call = pending_borrows.find(e->id);

			if (call == pending_borrows.end())
				break;
			auto done = call->second;

			pending_borrows.erase(call);
			done(&e->u.borrow_reply);
			break;
		}
		case ENTRY_EFFECT_RETURN_LOAN:
			return_loan(e);
			break;
		case ENTRY_EFFECT_ABORT:
		case ENTRY_EFFECT_REPLY_HEARTBEAT:
			break;
		}
	}
	g_ptr_array_unref(effects);
}

/// Sends an attempt to an endpoint after a random delay. One in 12 connections is refused. When the
/// connection is ready, the entry checks again that its lease still allows the attempt.
void Fleet::send(EntryNode &n, const struct entry_effect *e)
{
	std::string name = e->u.dispatch.instance;
	std::string pool = e->u.dispatch.pool;
	clock_ms_t timeout_ms = e->u.dispatch.timeout_ms;
	uint64_t id = e->id;
	uint32_t attempt = e->attempt;
	unsigned int number = n.number;
	uint64_t session = n.session;

	to_entry(number, session, random(4), [=, this](struct entry_event &event) {
		EntryNode &from = entries[number];
		bool refused = random(12) == 0;

		event.type = ENTRY_EVENT_TICK;
		if (!refused && entry_may_send(from.entry, local_clock(from), id, attempt)) {
			for (auto &i : instances)
				if (i.name == name)
					receive(from, i, pool, id, attempt, timeout_ms);
			return;
		}
		event.type = ENTRY_EVENT_ATTEMPT_DONE;
		event.u.done.id = id;
		event.u.done.attempt = attempt;
		event.u.done.verdict = VERDICT_NOT_RUN;
	});
}

/// Runs an attempt at an endpoint and reports its result to the entry. A quarter of the attempts
/// take up to 2 s, so that some exceed their deadline; one response in 10 is lost.
void Fleet::receive(EntryNode &n, Instance &i, const std::string &pool, uint64_t id,
		    uint32_t attempt, clock_ms_t timeout_ms)
{
	auto wait_ms = static_cast<clock_ms_t>(static_cast<double>(timeout_ms) / n.rate);
	clock_ms_t execution_ms = random(4) ? random(100) : random(2000);
	bool response_lost = random(10) == 0;
	bool timed_out = execution_ms >= wait_ms;
	Caller &caller = callers[id];

	counters.executions++;
	caller.executed = true;
	if (caller.post)
		RC_ASSERT(++executions_by_key[caller.key] == 1);
	std::erase_if(i.running, [this](const RunningRequest &r) { return r.until <= now; });
	for (const RunningRequest &r : i.running)
		RC_ASSERT(r.pool == pool);
	i.running.push_back({pool, now + std::min(execution_ms, wait_ms)});
	to_entry(n.number, n.session, std::min(execution_ms, wait_ms),
		 [=](struct entry_event &event) {
			 event.type = ENTRY_EVENT_ATTEMPT_DONE;
			 event.u.done.id = id;
			 event.u.done.attempt = attempt;
			 event.u.done.verdict =
				 timed_out || response_lost ? VERDICT_MAY_HAVE_RUN : VERDICT_RAN;
			 event.u.done.timed_out = timed_out;
			 event.u.done.http_status = 200;
		 });
}

/* Actions. */

void Fleet::request(EntryNode &n, bool post, const char *path, const std::string &key)
{
	uint64_t id = next_id++;

	callers[id].key = key;
	callers[id].post = post;
	to_entry(n.number, n.session, 0, [=](struct entry_event &e) {
		e.type = ENTRY_EVENT_REQUEST;
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
	to_entry(n.number, n.session, random(5), [a, name](struct entry_event &e) {
		e.type = ENTRY_EVENT_HEARTBEAT;
		e.u.heartbeat.endpoint_heartbeat = a.get();
	});
}

/// Replaces the current version of the pools table by one of two tables, which assign instance
/// "b-3" to different pools. Sets the routes table if there is none.
void Fleet::put_tables(int which)
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
						e.type = ENTRY_EVENT_TICK;
					});
		}
		if (now % 100 == 0)
			for (auto &i : instances)
				if (!i.unresponsive)
					announce(i);
	}
}

/// Performs a random action. The last two digits of @p action choose its kind, so that the bounds
/// below are percentages; the other digits are the argument.
void Fleet::perform(uint32_t action)
{
	uint32_t kind = action % 100;
	uint32_t argument = action / 100;
	EntryNode &n = entries[argument % kEntries];
	Instance &i = instances[argument % kInstances];
	std::string key = "key-" + std::to_string(next_key);
	const char *path = argument / 7 % 2 ? "/a" : "/b";

	if (kind < 30) {
		advance(1 + argument % 50);
	} else if (kind < 60) {
		next_key++;
		for (uint32_t k = 0; k < argument % 8; k++)
			request(entries[(argument + k) % kEntries], false, path, key);
	} else if (kind < 80) {
		if (argument % 3)
			next_key++;
		request(n, true, path, "key-" + std::to_string(next_key));
	} else if (kind < 82) {
		table_edit = !table_edit;
		put_tables(table_edit);
	} else if (kind < 84) {
		counters.freezes++;
		n.frozen_until = now + argument % 1500;
	} else if (kind < 87) {
		n.partitioned = !n.partitioned;
	} else if (kind < 89) {
		counters.kills++;
		if (n.entry)
			entry_free(n.entry);
		n.entry = nullptr;
		start_entry(n);
	} else if (kind < 91) {
		counters.failovers++;
		counters.moves += control->fleet->moves;
		control_free(control);
		pending_calls.clear();
		start_control();
	} else if (kind < 94) {
		advance(1 + argument % 300);
	} else if (kind == 94) {
		i.leaving = true;
	} else if (kind < 97) {
		i.incarnation++;
		i.leaving = false;
		i.unresponsive = false;
		i.running.clear();
	} else if (kind == 97) {
		i.unresponsive = !i.unresponsive;
	} else if (kind == 98) {
		advance(argument % 1500);
	} else if (argument % 3 == 0) {
		to_entry(n.number, n.session, 0,
			 [](struct entry_event &e) { e.type = ENTRY_EVENT_DRAIN; });
	}
}

/// Ends all faults and advances the clock by 10.6 s. By then control must know each instance, each
/// instance with a home pool must be active at an entry, and no request may be open.
void Fleet::end_faults_and_check()
{
	for (auto &n : entries) {
		n.partitioned = false;
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
		i.unresponsive = false;
	}
	advance(9000);
	for (auto &i : instances) {
		const sw_instance *instance = fleet_find_instance(control->fleet, i.name.c_str());

		if (!instance)
			for (auto &n : entries) {
				auto *entry_view = static_cast<struct instance *>(
					g_hash_table_lookup(n.entry->by_name, i.name.c_str()));

				RC_LOG() << i.name << " " << i.incarnation
					 << " is unknown to control; incarnation at entry "
					 << n.number << ": "
					 << (entry_view ? entry_view->record.endpoint.incarnation
							: 0)
					 << ", view index " << n.entry->view_index
					 << ", pending heartbeats "
					 << g_hash_table_size(n.entry->pending_heartbeats)
					 << ", lease ends in ms "
					 << n.entry->lease_until - local_clock(n)
					 << ", view index of control " << control->view_index
					 << "\n";
			}
		RC_ASSERT(!!instance);
		for (auto &n : entries) {
			auto *entry_view = static_cast<struct instance *>(
				g_hash_table_lookup(n.entry->by_name, i.name.c_str()));

			if (entry_view && instance->phase != SW_PHASE_ACTIVE)
				RC_LOG() << i.name << " is assigned by control to entry "
					 << instance->entry << " at epoch " << instance->epoch
					 << "; at entry " << n.number << " epoch "
					 << entry_view->record.epoch << " phase "
					 << entry_view->record.phase << " in use "
					 << entry_view->in_use << " lent " << entry_view->lent
					 << ", lease ends in ms "
					 << n.entry->lease_until - local_clock(n) << "\n";
		}
		if (*instance->home)
			RC_ASSERT(instance->phase == SW_PHASE_ACTIVE);
	}
	for (auto &n : entries)
		RC_ASSERT(entry_open_requests(n.entry) == 0U);
	counters.moves += control->fleet->moves;
}
} // namespace

int main()
{
	Property property("/fleet");

	property.check("requests_and_moves_are_safe_under_faults", [] {
		Fleet fleet(*rc::gen::inRange<uint32_t>(0, 1U << 30));

		for (uint32_t action : *actions(200)) {
			counters.actions++;
			fleet.perform(action);
		}
		fleet.end_faults_and_check();
	});
	std::printf("# reached: %lu actions, %lu runs, %lu moves, %lu claims, %lu answers fetched, "
		    "%lu not run, %lu may have run, %lu freezes, %lu kills, %lu failovers, "
		    "%lu loan calls, %lu voluntary moves begun\n",
		    counters.actions, counters.executions, counters.moves, counters.claims,
		    counters.fetched_answers, counters.not_run, counters.may_have_run,
		    counters.freezes, counters.kills, counters.failovers, counters.loans,
		    counters.voluntary);
	return property.end();
}
