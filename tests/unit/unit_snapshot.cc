/// @file
/// Snapshots larger than a message and than a piece of a write: storing them beside the log, and
/// sending them to a replica that lags. Guards against the loss of the log when a snapshot is not
/// stored whole (review/1, LOST), and against silence of the leader while one is sent.

#include "memory_fs.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <vector>

extern "C" {
#include "base/codec.h"
#include "control/raft.h"
#include "control/storage.h"
}

namespace
{
constexpr gsize kLarge = 40 * 1024 * 1024; ///< more than a blob of a message may hold
constexpr clock_ms_t kElectionMs = 100, kHeartbeatMs = 10;
constexpr unsigned int kNodes = 3;
constexpr uint32_t kLagging = 3; ///< the replica that is cut off for a while

GBytes *make_state(gsize size, uint8_t seed)
{
	auto *data = static_cast<guint8 *>(g_malloc(size));

	for (gsize i = 0; i < size; i++)
		data[i] = static_cast<guint8>(i * 31 + i / 4096 + seed);
	return g_bytes_new_take(data, size);
}

/// A replica with its disk. Effects are executed in order, as the shell does.
struct Replica {
	MemoryFs disk;
	struct storage *storage = nullptr;
	struct raft *raft = nullptr;
	struct raft_recovered recovered = {};
	std::deque<raft_message> sent; ///< owned

	void open(uint32_t node, clock_ms_t now)
	{
		struct raft_settings settings = {};
		GError *error = nullptr;

		settings.node = node;
		settings.uid = node + 10;
		for (uint32_t i = 0; i < kNodes; i++)
			settings.nodes[i] = i + 1;
		settings.election_ms = kElectionMs;
		settings.heartbeat_ms = kHeartbeatMs;
		settings.keep_records = 5;
		settings.seed = node;
		storage = storage_open(disk.fs(), &recovered, &error);
		g_assert_no_error(error);
		raft = raft_new(&settings, &recovered, now);
	}

	void close()
	{
		for (auto &m : sent)
			codec_free(CODEC_PROC(raft_message), &m);
		sent.clear();
		raft_free(raft);
		storage_free(storage);
	}

	/// Stores and collects the effects. Large snapshots are only noted.
	void flush()
	{
		GPtrArray *effects = raft_take_effects(raft);
		GError *error = nullptr;

		g_assert_true(storage_write(storage, effects, &error));
		raft_mark_persisted(raft);
		for (guint i = 0; i < effects->len; i++) {
			auto *e = static_cast<struct raft_effect *>(effects->pdata[i]);
			raft_message copy;

			if (e->type != RAFT_SEND)
				continue;
			codec_copy(CODEC_PROC(raft_message), &e->u.message, &copy, sizeof(copy));
			sent.push_back(copy);
		}
		g_ptr_array_unref(effects);
	}

	/// Writes up to @p pieces pieces of a noted snapshot.
	void work(unsigned int pieces)
	{
		GError *error = nullptr;

		while (pieces-- && storage_has_work(storage))
			g_assert_true(storage_work(storage, &error));
	}

	void propose()
	{
		sw_command noop = {};
		GByteArray *bytes;
		GBytes *command;

		noop.type = SW_COMMAND_NOOP;
		bytes = codec_encode(CODEC_PROC(sw_command), &noop);
		command = g_byte_array_free_to_bytes(bytes);
		raft_propose(raft, command);
		g_bytes_unref(command);
	}

	void apply()
	{
		while (raft_next_committed(raft))
			;
	}
};

/// Some replicas, the first one leads; messages between them arrive at once.
struct Cluster {
	Replica replicas[kNodes];
	clock_ms_t now = 1000;
	bool is_cut = false;	      ///< kLagging is cut off
	int lost_percent = 0;	      ///< of the messages
	gsize largest_message = 0;    ///< bytes
	clock_ms_t heard_at = 0;      ///< when kLagging last got a message
	clock_ms_t longest_pause = 0; ///< between these
	unsigned int random = 1;

	Cluster()
	{
		for (unsigned int i = 0; i < kNodes; i++)
			replicas[i].open(i + 1, now);
		while (!raft_holds_leader_lease(replicas[0].raft, now)) {
			run(1);
			for (unsigned int i = 1; i < kNodes; i++)
				if (raft_holds_leader_lease(replicas[i].raft, now))
					raft_step_down(replicas[i].raft, now, now + 10000);
		}
	}

	~Cluster()
	{
		for (auto &r : replicas)
			r.close();
	}

	bool is_lost()
	{
		random = random * 1103515245 + 12345;
		return static_cast<int>(random / 65536 % 100) < lost_percent;
	}

	void deliver(unsigned int from)
	{
		while (!replicas[from].sent.empty()) {
			raft_message m = replicas[from].sent.front();
			GByteArray *bytes = codec_encode(CODEC_PROC(raft_message), &m);

			replicas[from].sent.pop_front();
			largest_message = std::max<gsize>(largest_message, bytes->len);
			g_byte_array_unref(bytes);
			if ((!is_cut || (m.to != kLagging && m.from != kLagging)) && !is_lost()) {
				if (m.to == kLagging && heard_at)
					longest_pause = std::max(longest_pause, now - heard_at);
				if (m.to == kLagging)
					heard_at = now;
				raft_receive(replicas[m.to - 1].raft, now, &m);
			}
			codec_free(CODEC_PROC(raft_message), &m);
		}
	}

	void run(clock_ms_t ms)
	{
		for (clock_ms_t until = now + ms; now < until; now++) {
			for (unsigned int i = 0; i < kNodes; i++) {
				raft_tick(replicas[i].raft, now);
				raft_flush(replicas[i].raft, now);
				replicas[i].flush();
				deliver(i);
				replicas[i].apply();
			}
		}
	}

	void propose(unsigned int n)
	{
		for (unsigned int i = 0; i < n; i++) {
			replicas[0].propose();
			run(1);
		}
	}
};

void assert_recovered(Replica &r, uint64_t index, GBytes *state)
{
	struct raft_recovered recovered;
	GError *error = nullptr;
	struct storage *s;

	r.disk.crash(7);
	s = storage_open(r.disk.fs(), &recovered, &error);
	g_assert_no_error(error);
	g_assert_cmpuint(recovered.snapshot.index, ==, index);
	if (state)
		g_assert_true(g_bytes_equal(recovered.snapshot.data, state));
	codec_free(CODEC_PROC(raft_meta), &recovered.meta);
	raft_image_clear(&recovered.snapshot);
	g_ptr_array_unref(recovered.records);
	storage_free(s);
}

/// A snapshot of over 16 MiB was written empty, and the log before it removed.
void test_large_snapshot_survives_crash()
{
	Cluster c;
	GBytes *state = make_state(kLarge, 1);
	uint64_t index;

	c.propose(30);
	index = raft_applied_index(c.replicas[0].raft);
	raft_compact(c.replicas[0].raft, state);
	c.replicas[0].flush();
	c.replicas[0].work(1000);
	g_assert_false(storage_has_work(c.replicas[0].storage));
	c.propose(10);
	assert_recovered(c.replicas[0], index, state);
	g_bytes_unref(state);
}

/// While a large snapshot is written, records are stored, and a crash leaves the one before it with
/// all records since.
void test_crash_while_large_snapshot_is_written()
{
	for (unsigned int pieces = 0; pieces < 39; pieces += 13) {
		Cluster c;
		GBytes *small = make_state(100, 2);
		GBytes *state = make_state(kLarge, 3);
		uint64_t index;

		c.propose(30);
		index = raft_applied_index(c.replicas[0].raft);
		raft_compact(c.replicas[0].raft, small);
		c.propose(30);
		raft_compact(c.replicas[0].raft, state);
		c.replicas[0].flush();
		c.replicas[0].work(pieces);
		c.propose(10);
		assert_recovered(c.replicas[0], index, small);
		g_bytes_unref(small);
		g_bytes_unref(state);
	}
}

/// A replica that lags gets a large snapshot in parts, also when some are lost. The leader is heard
/// all the while, and a later compaction does not start the transfer again.
void test_large_snapshot_is_sent_in_parts(int lost_percent)
{
	Cluster c;
	GBytes *state = make_state(kLarge, 4);
	GBytes *later = make_state(kLarge / 2, 5);
	struct raft *lagging = c.replicas[kLagging - 1].raft;

	c.is_cut = true;
	c.propose(40);
	raft_compact(c.replicas[0].raft, state);
	c.is_cut = false;
	c.lost_percent = lost_percent;
	c.largest_message = 0;
	c.heard_at = 0;
	c.longest_pause = 0;
	for (clock_ms_t t = 0; t < 60000 && !raft_snapshot_index(lagging); t += 10) {
		c.run(10);
		if (t == 10) {
			c.propose(1);
			raft_compact(c.replicas[0].raft, later);
		}
	}
	g_assert_cmpuint(raft_snapshot_index(lagging), >, 0);
	g_assert_true(g_bytes_equal(raft_latest_snapshot(lagging)->data, state));
	g_assert_cmpuint(c.largest_message, <, 512 * 1024);
	if (!lost_percent)
		g_assert_cmpint(c.longest_pause, <=, kHeartbeatMs + 1);
	g_bytes_unref(state);
	g_bytes_unref(later);
}

void test_large_snapshot_is_sent()
{
	test_large_snapshot_is_sent_in_parts(0);
}

void test_large_snapshot_is_sent_over_lossy_link()
{
	test_large_snapshot_is_sent_in_parts(10);
}
} // namespace

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, nullptr);
	g_test_add_func("/snapshot/large_snapshot_survives_crash",
			test_large_snapshot_survives_crash);
	g_test_add_func("/snapshot/crash_while_large_snapshot_is_written",
			test_crash_while_large_snapshot_is_written);
	g_test_add_func("/snapshot/large_snapshot_is_sent", test_large_snapshot_is_sent);
	g_test_add_func("/snapshot/large_snapshot_is_sent_over_lossy_link",
			test_large_snapshot_is_sent_over_lossy_link);
	return g_test_run();
}
