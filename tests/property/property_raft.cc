/// @file
/// The replicated log under random messages, partitions, crashes, failing and lost disks.

#include "memory_fs.h"
#include "property.h"

#include <deque>
#include <map>
#include <set>

extern "C" {
#include "base/codec.h"
#include "control/raft.h"
#include "control/storage.h"
}
#include <xxhash.h>

namespace
{
constexpr unsigned int kNodes = 3;
constexpr uint32_t kElectionMs = 100;
constexpr clock_ms_t kHealMs = 20000;

/// What the random actions reached, over all cases.
struct Reached {
	unsigned long actions, committed, terms, crashes, disk_faults, disks_lost, installs;
} reached;

struct Node {
	uint32_t number = 0;
	struct raft *raft = nullptr;
	struct storage *storage = nullptr;
	std::unique_ptr<MemoryFs> disk = std::make_unique<MemoryFs>();
	clock_ms_t frozen_until = 0;
	uint64_t applied = 0;
	uint64_t chain = 0; ///< hash over all applied commands
};

struct Packet {
	uint32_t to;
	GByteArray *bytes;
};

class Cluster
{
      public:
	Cluster()
	{
		for (unsigned int i = 0; i < kNodes; i++) {
			nodes[i].number = i + 1;
			start(nodes[i]);
		}
	}
	~Cluster()
	{
		for (auto &node : nodes)
			stop(node);
		for (auto &packet : packets)
			g_byte_array_unref(packet.bytes);
	}
	Cluster(const Cluster &) = delete;
	Cluster &operator=(const Cluster &) = delete;

	void act(uint32_t action);
	void heal();
	uint64_t committed() const
	{
		return chains.empty() ? 0 : chains.rbegin()->first;
	}

	size_t terms() const
	{
		return leaders.size();
	}

      private:
	Node nodes[kNodes];
	std::deque<Packet> packets;
	std::set<std::pair<uint32_t, uint32_t>> cut; ///< from, to
	std::map<uint64_t, uint64_t> chains;	     ///< hash chain at each committed index
	std::map<uint64_t, uint32_t> leaders;	     ///< node by term
	clock_ms_t now = 1000;
	uint64_t next_uid = 100;
	uint64_t next_command = 0;
	bool disk_lost = false;

	void start(Node &node);
	void stop(Node &node);
	void crash(Node &node, uint32_t random);
	void flush(Node &node);
	void apply(Node &node);
	void check_chain(const Node &node);
	void deliver(size_t i);
	void advance(clock_ms_t ms);
	void propose(Node &node);
	void compact(Node &node);
	void lose_disk(Node &node);
	void check();
	bool is_settled() const;
};

void Cluster::start(Node &node)
{
	struct raft_settings settings = {};
	struct raft_recovered recovered;
	GError *error = nullptr;

	settings.node = node.number;
	settings.uid = next_uid++;
	for (unsigned int i = 0; i < kNodes; i++)
		settings.nodes[i] = i + 1;
	settings.election_ms = kElectionMs;
	settings.heartbeat_ms = 30;
	settings.keep_records = 5;
	settings.seed = next_uid;
	node.storage = storage_open(node.disk->fs(), &recovered, &error);
	if (!node.storage)
		RC_FAIL(std::string("storage refused to start: ") + error->message);
	node.applied = recovered.snapshot.index;
	node.chain = 0;
	if (node.applied)
		memcpy(&node.chain, recovered.snapshot.data.sw_blob_val, sizeof(node.chain));
	check_chain(node);
	node.raft = raft_new(&settings, &recovered, now);
}

void Cluster::stop(Node &node)
{
	if (!node.raft)
		return;
	raft_free(node.raft);
	storage_free(node.storage);
	node.raft = nullptr;
}

void Cluster::crash(Node &node, uint32_t random)
{
	reached.crashes += node.raft != nullptr;
	stop(node);
	node.disk->crash(random);
}

void Cluster::check_chain(const Node &node)
{
	auto known = chains.find(node.applied);

	if (known != chains.end())
		RC_ASSERT(known->second == node.chain);
}

void Cluster::apply(Node &node)
{
	const raft_snapshot *snapshot = raft_latest_snapshot(node.raft);

	if (snapshot->index > node.applied) {
		reached.installs++;
		node.applied = snapshot->index;
		memcpy(&node.chain, snapshot->data.sw_blob_val, sizeof(node.chain));
		RC_ASSERT(chains.count(node.applied) == 1U);
		check_chain(node);
	}
	while (const struct raft_log_record *record = raft_next_committed(node.raft)) {
		gsize len;
		const void *data = g_bytes_get_data(record->command, &len);

		RC_ASSERT(record->index == node.applied + 1);
		node.applied = record->index;
		node.chain = XXH64(data, len, node.chain ^ record->term);
		check_chain(node);
		chains[node.applied] = node.chain;
	}
}

void Cluster::flush(Node &node)
{
	for (;;) {
		GError *error = nullptr;
		GPtrArray *effects;
		bool stored;

		apply(node);
		raft_flush(node.raft, now);
		effects = raft_take_effects(node.raft);
		if (!effects->len) {
			g_ptr_array_unref(effects);
			return;
		}
		stored = storage_write(node.storage, effects, &error);
		g_clear_error(&error);
		if (!stored) {
			reached.disk_faults++;
			g_ptr_array_unref(effects);
			crash(node, 0);
			return;
		}
		raft_persisted(node.raft);
		for (guint i = 0; i < effects->len; i++) {
			auto *e = static_cast<struct raft_effect *>(effects->pdata[i]);

			if (e->type == RAFT_SEND)
				packets.push_back(
					{e->u.message.to,
					 codec_encode(CODEC_PROC(raft_message), &e->u.message)});
		}
		g_ptr_array_unref(effects);
	}
}

void Cluster::deliver(size_t i)
{
	Packet packet = packets[i];
	Node &node = nodes[packet.to - 1];
	raft_message m;

	packets.erase(packets.begin() + static_cast<long>(i));
	if (codec_decode(CODEC_PROC(raft_message), packet.bytes->data, packet.bytes->len, &m,
			 sizeof(m))) {
		if (node.raft && now >= node.frozen_until && !cut.count({m.from, m.to})) {
			raft_receive(node.raft, now, &m);
			flush(node);
		}
		codec_free(CODEC_PROC(raft_message), &m);
	}
	g_byte_array_unref(packet.bytes);
}

void Cluster::advance(clock_ms_t ms)
{
	now += ms;
	for (auto &node : nodes) {
		if (!node.raft || now < node.frozen_until)
			continue;
		raft_tick(node.raft, now);
		flush(node);
	}
}

void Cluster::propose(Node &node)
{
	sw_command command = {};
	GByteArray *bytes;
	GBytes *data;

	if (!node.raft || now < node.frozen_until)
		return;
	command.type = SW_COMMAND_CLEAR_DIRTY;
	command.sw_command_u.clean.instance = const_cast<char *>("i");
	command.sw_command_u.clean.epoch = ++next_command;
	bytes = codec_encode(CODEC_PROC(sw_command), &command);
	data = g_byte_array_free_to_bytes(bytes);
	raft_propose(node.raft, data);
	g_bytes_unref(data);
	flush(node);
}

void Cluster::compact(Node &node)
{
	GByteArray *data;

	if (!node.raft)
		return;
	data = g_byte_array_new();
	g_byte_array_append(data, reinterpret_cast<guint8 *>(&node.chain), sizeof(node.chain));
	raft_compact(node.raft, data);
	g_byte_array_unref(data);
	flush(node);
}

/// One disk may be lost at a time, while both other replicas are members that keep theirs.
void Cluster::lose_disk(Node &node)
{
	if (disk_lost || !is_settled())
		return;
	stop(node);
	node.disk = std::make_unique<MemoryFs>();
	disk_lost = true;
	reached.disks_lost++;
	start(node);
}

bool Cluster::is_settled() const
{
	for (const auto &node : nodes)
		if (!node.raft || !raft_is_voter(node.raft) || node.applied < committed())
			return false;
	return committed() > 0;
}

void Cluster::check()
{
	unsigned int leading = 0;

	for (auto &node : nodes) {
		if (!node.raft)
			continue;
		leading += raft_leads(node.raft, now);
		if (raft_role(node.raft) != RAFT_LEADER)
			continue;
		auto known = leaders.emplace(raft_term(node.raft), node.number);

		RC_ASSERT(known.first->second == node.number);
	}
	RC_ASSERT(leading <= 1U);
}

void Cluster::act(uint32_t action)
{
	uint32_t what = action % 100;
	uint32_t random = action / 100;
	Node &node = nodes[random % kNodes];
	size_t n = packets.size();

	if (what < 25)
		advance(1 + random % 20);
	else if (what < 40)
		for (size_t i = 0; i < 8 && !packets.empty(); i++)
			deliver(0);
	else if (what < 72 && n)
		deliver(random % std::min<size_t>(n, 6));
	else if (what < 74 && n)
		packets.push_back(
			{packets[random % n].to, g_byte_array_ref(packets[random % n].bytes)});
	else if (what < 87)
		for (auto &each : nodes)
			propose(each);
	else if (what == 87)
		crash(node, random);
	else if (what < 92 && !node.raft)
		start(node);
	else if (what == 92)
		cut.insert({1 + random % kNodes, 1 + random / kNodes % kNodes});
	else if (what == 93)
		cut.clear();
	else if (what == 94)
		node.frozen_until = now + random % 500;
	else if (what < 97)
		compact(node);
	else if (what == 97 && node.raft) {
		node.disk->fail_after = random % 6;
		node.disk->partial = random % 40;
	} else if (what == 98)
		lose_disk(node);
	else if (n > 200)
		packets.erase(packets.begin() + 100, packets.end());
	check();
}

/// Ends all faults: the replicas must agree and go on.
void Cluster::heal()
{
	clock_ms_t until = now + kHealMs;

	cut.clear();
	for (auto &node : nodes) {
		node.disk->fail_after = -1;
		if (!node.raft)
			start(node);
	}
	for (auto &node : nodes)
		node.frozen_until = 0;
	for (int round = 0; now < until; round++) {
		while (!packets.empty())
			deliver(0);
		advance(10);
		check();
		for (auto &node : nodes)
			if (raft_leads(node.raft, now) && round % 20 == 0)
				propose(node);
		if (now > until - kHealMs / 2 && is_settled())
			return;
	}
	for (auto &node : nodes)
		RC_LOG() << "node " << node.number << " role " << raft_role(node.raft) << " term "
			 << raft_term(node.raft) << " voter " << raft_is_voter(node.raft)
			 << " applied " << node.applied << " last " << raft_last_index(node.raft)
			 << " members " << raft_members(node.raft)->members.members_len << "\n";
	RC_ASSERT(is_settled());
}

void stays_consistent(const std::vector<uint32_t> &actions)
{
	Cluster cluster;
	uint64_t before;

	for (int i = 0; i < 100; i++)
		cluster.act(i % 2 ? 30 : 1500);
	for (uint32_t action : actions)
		cluster.act(action);
	before = cluster.committed();
	reached.actions += actions.size();
	reached.committed += before;
	reached.terms += cluster.terms();
	cluster.heal();
	RC_ASSERT(cluster.committed() > before);
}
} // namespace

int main()
{
	Property property("/raft");

	property.check("stays_consistent", [] { stays_consistent(*actions(1500)); });
	std::printf("# reached: %lu actions, %lu records, %lu terms, %lu crashes, %lu disk faults, "
		    "%lu disks lost, %lu snapshots installed\n",
		    reached.actions, reached.committed, reached.terms, reached.crashes,
		    reached.disk_faults, reached.disks_lost, reached.installs);
	return property.end();
}
