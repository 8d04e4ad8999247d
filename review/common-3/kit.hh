/// @file
/// Stand-ins for the scripts of review cases 11 to 15: the platform's settings and processes, a
/// client, an operator, executors and the machine service, on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kit
{

using Lock = std::unique_lock<std::mutex>;

inline int64_t now_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::steady_clock::now().time_since_epoch())
		.count();
}

inline int64_t wall_ms()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(
		       std::chrono::system_clock::now().time_since_epoch())
		.count();
}

inline void sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Record. */

inline FILE *record_file;
inline std::mutex record_mutex;
inline int64_t record_start = now_ms();

__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
{
	Lock lock(record_mutex);
	va_list args;

	if (!record_file)
		return;
	fprintf(record_file, "%8.3f ", (double)(now_ms() - record_start) / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
}

/* JSON. */

struct Json {
	enum Type { NONE, BOOLEAN, NUMBER, TEXT, ARRAY, OBJECT } type = NONE;
	double number = 0;
	std::string text;
	std::vector<Json> items;
	std::map<std::string, Json> members;

	const Json &operator[](const std::string &name) const
	{
		static const Json none;
		auto it = members.find(name);

		return it == members.end() ? none : it->second;
	}
	int64_t integer() const
	{
		return (int64_t)number;
	}
};

class JsonReader
{
      public:
	explicit JsonReader(const std::string &s) : s(s)
	{
	}

	Json read()
	{
		Json v;

		skip();
		if (at >= s.size())
			return v;
		if (s[at] == '{') {
			v.type = Json::OBJECT;
			at++;
			for (skip(); at < s.size() && s[at] != '}'; skip()) {
				std::string name = read_text();

				skip();
				at++; /* ':' */
				v.members[name] = read();
				skip();
				if (at < s.size() && s[at] == ',')
					at++;
			}
			at++;
		} else if (s[at] == '[') {
			v.type = Json::ARRAY;
			at++;
			for (skip(); at < s.size() && s[at] != ']'; skip()) {
				v.items.push_back(read());
				skip();
				if (at < s.size() && s[at] == ',')
					at++;
			}
			at++;
		} else if (s[at] == '"') {
			v.type = Json::TEXT;
			v.text = read_text();
		} else if (!s.compare(at, 4, "true") || !s.compare(at, 5, "false")) {
			v.type = Json::BOOLEAN;
			v.number = s[at] == 't';
			at += s[at] == 't' ? 4 : 5;
		} else if (!s.compare(at, 4, "null")) {
			at += 4;
		} else {
			char *end;

			v.type = Json::NUMBER;
			v.number = strtod(s.c_str() + at, &end);
			at = std::max((size_t)(end - s.c_str()), at + 1);
		}
		return v;
	}

      private:
	const std::string &s;
	size_t at = 0;

	void skip()
	{
		while (at < s.size() && strchr(" \t\r\n", s[at]))
			at++;
	}
	unsigned hex4()
	{
		unsigned v = (unsigned)strtoul(s.substr(at, 4).c_str(), nullptr, 16);

		at += 4;
		return v;
	}
	void add_utf8(std::string &out, unsigned c)
	{
		if (c < 0x80) {
			out += (char)c;
		} else if (c < 0x800) {
			out += (char)(0xc0 | c >> 6);
			out += (char)(0x80 | (c & 63));
		} else if (c < 0x10000) {
			out += (char)(0xe0 | c >> 12);
			out += (char)(0x80 | (c >> 6 & 63));
			out += (char)(0x80 | (c & 63));
		} else {
			out += (char)(0xf0 | c >> 18);
			out += (char)(0x80 | (c >> 12 & 63));
			out += (char)(0x80 | (c >> 6 & 63));
			out += (char)(0x80 | (c & 63));
		}
	}
	std::string read_text()
	{
		std::string out;

		for (at++; at < s.size() && s[at] != '"';) {
			if (s[at] != '\\') {
				out += s[at++];
				continue;
			}
			char c = s[at + 1];

			at += 2;
			if (c == 'u') {
				unsigned u = hex4();

				if (u >= 0xd800 && u < 0xdc00 && !s.compare(at, 2, "\\u")) {
					at += 2;
					u = 0x10000 + ((u - 0xd800) << 10) + (hex4() - 0xdc00);
				}
				add_utf8(out, u);
			} else {
				const char *from = "nrtbf";
				const char *to = "\n\r\t\b\f";
				const char *p = strchr(from, c);

				out += p && *p ? to[p - from] : c;
			}
		}
		at++;
		return out;
	}
};

inline Json parse(const std::string &s)
{
	return JsonReader(s).read();
}

/* HTTP. */

struct Message {
	std::string start;			    ///< request or status line
	std::map<std::string, std::string> headers; ///< names in lower case
	std::string body;

	std::string header(const std::string &name) const
	{
		auto it = headers.find(name);

		return it == headers.end() ? "" : it->second;
	}
};

/// Reads one message. @p buffer keeps what follows it.
inline bool read_message(int fd, std::string &buffer, Message &m, int64_t deadline)
{
	size_t head;
	size_t length = 0;

	m = Message();
	for (;;) {
		head = buffer.find("\r\n\r\n");
		if (head != std::string::npos) {
			size_t at = buffer.find("\r\n");

			m.start = buffer.substr(0, at);
			m.headers.clear();
			while (at < head) {
				size_t end = buffer.find("\r\n", at + 2);
				std::string line = buffer.substr(at + 2, end - at - 2);
				size_t colon = line.find(':');
				std::string name = line.substr(0, colon);
				std::string value =
					colon == std::string::npos ? "" : line.substr(colon + 1);

				for (char &c : name)
					c = (char)tolower(c);
				while (!value.empty() && value[0] == ' ')
					value.erase(0, 1);
				m.headers[name] = value;
				at = end;
			}
			length = strtoul(m.header("content-length").c_str(), nullptr, 10);
			if (buffer.size() >= head + 4 + length) {
				m.body = buffer.substr(head + 4, length);
				buffer.erase(0, head + 4 + length);
				return true;
			}
		}
		char data[65536];
		struct pollfd p = {fd, POLLIN, 0};
		int64_t left = deadline - now_ms();

		if (left <= 0 || poll(&p, 1, (int)std::min<int64_t>(left, 1000)) < 0)
			return false;
		if (!(p.revents & (POLLIN | POLLHUP | POLLERR)))
			continue;
		ssize_t n = recv(fd, data, sizeof(data), 0);

		if (n <= 0)
			return false;
		buffer.append(data, (size_t)n);
	}
}

inline bool send_all(int fd, const std::string &s)
{
	size_t at = 0;

	while (at < s.size()) {
		ssize_t n = send(fd, s.data() + at, s.size() - at, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		at += (size_t)n;
	}
	return true;
}

inline sockaddr_in address_of(const std::string &address)
{
	size_t colon = address.find(':');
	sockaddr_in a = {};

	a.sin_family = AF_INET;
	a.sin_port = htons((uint16_t)atoi(address.c_str() + colon + 1));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &a.sin_addr);
	return a;
}

struct Answer {
	int status = 0; ///< 0: no answer
	std::string body;
};

/// Sends one request on a connection of its own.
inline Answer call(const std::string &address, const std::string &method, const std::string &path,
		   const std::string &host, const std::string &body, int64_t timeout_ms)
{
	Answer out;
	Message m;
	std::string buffer;
	sockaddr_in a = address_of(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct timeval limit = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	int64_t deadline = now_ms() + timeout_ms;
	if (connect(fd, (sockaddr *)&a, sizeof(a)) == 0 &&
	    send_all(fd, method + " " + path +
				 " HTTP/1.1\r\nHost: " + (host.empty() ? address : host) +
				 "\r\nContent-Type: application/json\r\nContent-Length: " +
				 std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" +
				 body) &&
	    read_message(fd, buffer, m, deadline)) {
		out.status = atoi(m.start.c_str() + strlen("HTTP/1.1 "));
		out.body = m.body;
	}
	close(fd);
	return out;
}

/// Serves HTTP/1.1, a thread for each connection.
class Server
{
      public:
	using Handler = std::function<Answer(const std::string &method, const std::string &path,
					     const Message &m)>;

	Server(const std::string &address, Handler handler) : handler(std::move(handler))
	{
		sockaddr_in a = address_of(address);
		int on = 1;

		fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		if (bind(fd, (sockaddr *)&a, sizeof(a)) < 0 || listen(fd, 128) < 0) {
			fprintf(stderr, "cannot listen on %s: %s\n", address.c_str(),
				strerror(errno));
			_exit(2);
		}
		acceptor = std::thread([this] { accept_all(); });
	}
	~Server()
	{
		stop();
	}
	/// Closes the listener and resets all connections.
	void stop()
	{
		if (stopped.exchange(true))
			return;
		shutdown(fd, SHUT_RDWR);
		acceptor.join();
		close(fd);
		Lock lock(mutex);
		struct linger reset = {1, 0};

		for (int c : connections) {
			setsockopt(c, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
			shutdown(c, SHUT_RDWR);
		}
		ended.wait(lock, [this] { return connections.empty(); });
	}

      private:
	Handler handler;
	int fd;
	std::thread acceptor;
	std::mutex mutex;
	std::condition_variable ended;
	std::set<int> connections;
	std::atomic<bool> stopped{false};

	void accept_all()
	{
		for (;;) {
			int c = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);

			if (c < 0)
				return;
			Lock lock(mutex);
			if (stopped) {
				close(c);
				return;
			}
			connections.insert(c);
			std::thread([this, c] { serve(c); }).detach();
		}
	}
	void serve(int c)
	{
		std::string buffer;
		Message m;
		int on = 1;

		setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		while (!stopped && read_message(c, buffer, m, now_ms() + 600000)) {
			size_t space = m.start.find(' ');
			size_t end = m.start.find(' ', space + 1);
			Answer a = handler(m.start.substr(0, space),
					   m.start.substr(space + 1, end - space - 1), m);

			if (stopped || !a.status)
				break;
			if (!send_all(c, "HTTP/1.1 " + std::to_string(a.status) +
						 " X\r\nContent-Type: application/json\r\n"
						 "Content-Length: " +
						 std::to_string(a.body.size()) + "\r\n\r\n" +
						 a.body))
				break;
		}
		Lock lock(mutex);
		close(c);
		connections.erase(c);
		ended.notify_all();
	}
};

/* Processes of the system. */

struct Settings {
	int heartbeat_ms = 1500;
	std::string advice;
	std::string cloud;
	std::vector<std::pair<std::string, std::string>> more;
};

class Process
{
      public:
	std::string name;
	std::string ip;
	bool is_control;
	pid_t pid = 0;
	int exits = 0; ///< that this script did not cause

	void write_settings(const std::string &folder, const std::string &seeds, bool bootstrap,
			    const Settings &s)
	{
		path = folder + "/" + name + ".conf";
		log = folder + "/" + name + ".log";
		data = folder + "/" + name + ".data";
		FILE *f = fopen(path.c_str(), "w");

		fprintf(f, "nodeName=%s\nrole=%s\nmachineClass=%s\nserves=%s\nip=%s\n",
			name.c_str(), is_control ? "control" : "entry",
			is_control ? "core" : "edge", is_control ? "control" : "edge", ip.c_str());
		fprintf(f, "zone=zone-a\nregion=region\nzones.zone-a=region\n");
		if (is_control)
			fprintf(f, "listen.control=%s:8623\ndataDir=%s\nlimits.diskMb=128\n",
				ip.c_str(), data.c_str());
		else
			fprintf(f, "listen.front=%s:8624\nlisten.ready=%s:8622\nlimits.diskMb=0\n",
				ip.c_str(), ip.c_str());
		fprintf(f, "internalPorts=7060,7075\nseeds=%s\nbootstrap=%s\ninFaultBudget=%s\n",
			seeds.c_str(), bootstrap ? "true" : "false", is_control ? "true" : "false");
		fprintf(f,
			"limits.cpuShare=0.39\nlimits.cores=1\nlimits.memoryMb=256\n"
			"limits.maxFds=4096\nlimits.linkMbps=1000.0\ndiscovery=registry\n"
			"entry=vip\nheartbeatMs=%d\n"
			"contracts=base,drain,config,cost,recover,sched,advice,upkeep,sharing\n"
			"faultTolerance.machines=1\nfaultTolerance.zones=0\n"
			"faultTolerance.regions=0\nbounds.seedLagS=3\nbounds.reuseAfterS=2\n"
			"bounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n"
			"bounds.drainMs=2000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
			"bounds.configMs=2000\nbounds.rollbackSlackMs=250\n"
			"bounds.maxStretchMs=5000\nbounds.recoverS=12\nbounds.holdMaxMs=6000\n"
			"bounds.stopMs=400\nbounds.gangMs=3000\nbounds.cancel_ms=3000\n"
			"bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\n"
			"bounds.status_s=120\nbounds.farX=3\nbounds.saveS=1\n"
			"bounds.restoreMs=600\nbounds.noticeMs=4500\nbounds.moveS=1.5\n"
			"bounds.upkeepS=2\nbounds.requireFence=true\nbounds.leaseMs=3000\n"
			"bounds.thawMs=300\nbounds.paceMs=100\nbounds.harmMs=4000\n"
			"config_mode=highest\ncommands=rpc\nadvice=%s\ncloud.address=%s\n"
			"cloud.perS=64.0\ncloud.duties=\ncloud.dutyPerS=64.0\n",
			s.heartbeat_ms, s.advice.c_str(), s.cloud.c_str());
		for (const auto &m : s.more)
			fprintf(f, "%s=%s\n", m.first.c_str(), m.second.c_str());
		fclose(f);
	}
	/// Only for the main thread, which outlives the process: its end would end the process,
	/// too.
	void start()
	{
		if (is_control)
			mkdir(data.c_str(), 0700);
		pid = fork();
		if (pid)
			return;
		int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
		const char *program = is_control ? "target/sesamewood-platform-control"
						 : "target/sesamewood-platform-entry";
		std::string variable = "SESAMEWOOD_SETTINGS=" + path;
		char *env[] = {(char *)"PATH=/usr/bin:/bin", (char *)"LANG=C.UTF-8",
			       (char *)variable.c_str(), nullptr};
		char *args[] = {(char *)program, nullptr};

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(out, 1);
		dup2(out, 2);
		execve(program, args, env);
		_exit(127);
	}
	/// @return true if the process has ended by itself
	bool has_ended()
	{
		int status;

		if (!pid || waitpid(pid, &status, WNOHANG) != pid)
			return false;
		record("%s ended by itself, status %#x", name.c_str(), (unsigned)status);
		pid = 0;
		exits++;
		return true;
	}
	void send(int sig)
	{
		if (pid)
			kill(pid, sig);
	}
	void end()
	{
		if (!pid)
			return;
		kill(pid, SIGKILL);
		waitpid(pid, nullptr, 0);
		pid = 0;
	}

      private:
	std::string path;
	std::string log;
	std::string data;
};

class System
{
      public:
	std::string folder;
	std::vector<std::unique_ptr<Process>> controls;
	std::vector<std::unique_ptr<Process>> entries;
	Settings settings;

	/// @param net  first two bytes of the addresses, such as "127.31"
	System(const std::string &net, int n_controls, int n_entries) : net(net)
	{
		char name[] = "/tmp/review-XXXXXX";

		signal(SIGPIPE, SIG_IGN);
		folder = mkdtemp(name);
		for (int i = 0; i < n_controls; i++)
			add(controls, "core-", true, 10 + i);
		for (int i = 0; i < n_entries; i++)
			add(entries, "edge-", false, 50 + i);
	}
	~System()
	{
		for (auto &p : entries)
			p->end();
		for (auto &p : controls)
			p->end();
		if (getenv("KEEP"))
			return;
		std::string command = "rm -r '" + folder + "'";

		if (system(command.c_str()))
			fprintf(stderr, "cannot remove %s\n", folder.c_str());
	}
	std::string seeds() const
	{
		std::string s;

		for (size_t i = 0; i < controls.size() && i < 3; i++)
			s += (i ? "," : "") + controls[i]->ip + ":8623";
		return s;
	}
	void start()
	{
		for (auto &p : controls) {
			p->write_settings(folder, seeds(), true, settings);
			p->start();
		}
		for (auto &p : entries) {
			p->write_settings(folder, seeds(), true, settings);
			p->start();
		}
	}
	/// Starts a process again, as the platform does after an exit or a kill.
	void restart(Process &p)
	{
		p.end();
		p.write_settings(folder, seeds(), false, settings);
		p.start();
		record("%s started again", p.name.c_str());
	}
	std::string control(size_t i) const
	{
		return controls[i % controls.size()]->ip + ":8623";
	}
	std::string front(size_t i) const
	{
		return entries[i % entries.size()]->ip + ":8624";
	}
	/// Sends an operator's order to one replica after the other until a clear answer comes.
	Answer order(const std::string &method, const std::string &path, const std::string &body,
		     int64_t within_ms)
	{
		int64_t until = now_ms() + within_ms;
		Answer a;

		for (size_t i = 0; now_ms() < until; i++) {
			a = call(control(next + i), method, path, "", body, 1000);
			if (a.status == 200 || a.status == 400 || a.status == 409 ||
			    a.status == 412 || a.status == 413 || a.status == 422)
				break;
			sleep_ms(std::min<int64_t>(50 << std::min<size_t>(i, 4), 600));
		}
		return a;
	}
	/// Sends a client's request to one entry after the other until a clear answer comes.
	Answer ask(const std::string &method, const std::string &host, const std::string &path,
		   const std::string &body, int64_t within_ms)
	{
		int64_t until = now_ms() + within_ms;
		Answer a;

		for (size_t i = 0; now_ms() < until; i++) {
			a = call(front(i), method, path, host, body, 3000);
			if (a.status && a.status < 500 && a.status != 429)
				break;
			sleep_ms(200);
		}
		return a;
	}
	/// @return false if the system was not ready in time
	bool wait_ready(int64_t within_ms)
	{
		int64_t until = now_ms() + within_ms;

		while (now_ms() < until) {
			size_t n = 0;

			for (auto &p : entries)
				n += call(p->ip + ":8622", "GET", "/api/ready", "", "", 1000)
					     .status == 200;
			if (n == entries.size())
				return true;
			sleep_ms(100);
		}
		return false;
	}
	bool any_has_ended()
	{
		bool any = false;

		for (auto &p : controls)
			any |= p->has_ended();
		for (auto &p : entries)
			any |= p->has_ended();
		return any;
	}
	std::string ip(int group, int n) const
	{
		return net + "." + std::to_string(group) + "." + std::to_string(n);
	}

      private:
	std::string net;
	size_t next = 0;

	void add(std::vector<std::unique_ptr<Process>> &to, const char *prefix, bool is_control,
		 int n)
	{
		auto p = std::make_unique<Process>();

		p->name = prefix + std::to_string(to.size() + 1);
		p->ip = net + ".1." + std::to_string(n);
		p->is_control = is_control;
		to.push_back(std::move(p));
	}
};

/* Executors. */

struct Run {
	std::string task;
	int64_t attempt;
	std::string spec;
	int64_t began_ms;
	int64_t ends_ms;
};

struct End {
	int64_t n;
	std::string task;
	int64_t attempt;
	std::string how;
};

/// An executor: it carries out what it is told, as the protocol says.
class Executor
{
      public:
	std::string id;
	std::string pool;
	std::string address;
	std::string machine;
	std::string rack = "r1-1";
	int64_t cpu = 16000;
	int64_t mem_mb = 65536;
	int64_t task_ms = 800; ///< run time of a task
	System &system;
	std::atomic<bool> alive{false};
	std::atomic<bool> draining{false};
	/// What the system sends to the executor is lost, answers included; what it sends arrives.
	std::atomic<bool> cut{false};
	std::atomic<bool> drain_acknowledged{false};
	/// Called without the lock when a task has begun.
	std::function<void(Executor &, const Run &)> on_begin;
	/// Called with the lock for a start that is otherwise in order.
	/// @return reason to refuse it, or NULL
	std::function<const char *(Executor &, const Json &)> refuses;
	std::vector<Run> begun; ///< all runs of all lives
	std::vector<End> ends;	///< the same

	Executor(System &system, std::string id, std::string pool, std::string address,
		 std::string machine)
	    : id(std::move(id)), pool(std::move(pool)), address(std::move(address)),
	      machine(std::move(machine)), system(system)
	{
	}
	~Executor()
	{
		crash();
	}
	/// Starts a life, under the same id and address as before.
	void start()
	{
		Lock lock(mutex);

		running.clear();
		listed.clear();
		highest.clear();
		fence = 0;
		next_end = 1;
		sequence = 0;
		lease_until = 0;
		born = std::max(wall_ms(), born + 1);
		started_at = now_ms();
		alive = true;
		record("%s starts, born %lld", id.c_str(), (long long)born);
		server = std::make_unique<Server>(
			address, [this](const std::string &method, const std::string &path,
					const Message &m) { return serve(method, path, m); });
		beat_thread = std::thread([this] { send_heartbeats(); });
		work_thread = std::thread([this] { work(); });
	}
	/// Ends at once and says nothing.
	void crash()
	{
		if (!alive.exchange(false))
			return;
		record("%s crashes", id.c_str());
		changed.notify_all();
		server->stop();
		beat_thread.join();
		work_thread.join();
		server.reset();
	}
	/// Begins to leave: says so with a heartbeat at once.
	void drain()
	{
		draining = true;
		record("%s drains", id.c_str());
		changed.notify_all();
	}
	/// Says that it leaves.
	/// @return whether that was acknowledged
	bool deregister()
	{
		std::string body = "{\"born\":" + std::to_string(born) + "}";

		for (size_t i = 0; alive && i < 3; i++) {
			int status = call(system.control(i), "POST",
					  "/api/executors/" + id + "/deregister", "", body, 1000)
					     .status;

			record("%s deregisters at replica %zu: %s", id.c_str(), i + 1,
			       cut ? "no answer arrives" : std::to_string(status).c_str());
			if (status == 200 && !cut)
				return true;
		}
		return false;
	}
	bool runs(const std::string &task)
	{
		Lock lock(mutex);

		return alive && running.count(task);
	}
	/// @return start time of this life, which its tickets are bound to
	int64_t life() const
	{
		return born;
	}
	size_t count_running()
	{
		Lock lock(mutex);

		return running.size();
	}

      private:
	std::mutex mutex;
	std::condition_variable changed;
	std::unique_ptr<Server> server;
	std::thread beat_thread;
	std::thread work_thread;
	std::map<std::string, Run> running;
	std::vector<End> listed;
	std::map<std::string, int64_t> highest; ///< attempt stopped or ended, by task
	int64_t fence = 0;
	int64_t next_end = 1;
	int64_t sequence = 0;
	int64_t born = 0;
	int64_t started_at = 0;
	int64_t lease_until = 0; ///< on the executor's clock

	int64_t clock() const
	{
		return now_ms() - started_at + 1000;
	}
	std::string clock_members() const
	{
		return "\"clockMs\":" + std::to_string(clock()) +
		       ",\"born\":" + std::to_string(born);
	}
	Answer refuse(const char *reason)
	{
		return {409, "{" + clock_members() + ",\"reason\":\"" + reason + "\"}"};
	}
	void send_heartbeats()
	{
		size_t i = 0;

		while (alive) {
			std::string body;
			{
				Lock lock(mutex);

				body = "{\"backend\":\"" + pool + "\",\"address\":\"" + address +
				       "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,"
				       "\"state\":\"" +
				       (draining ? "draining" : "ready") +
				       "\",\"coldLeftMs\":0,\"capacity\":{\"cpu\":" +
				       std::to_string(cpu) +
				       ",\"memMb\":" + std::to_string(mem_mb) +
				       ",\"gpu\":0},\"labels\":[\"a\",\"" + rack +
				       "\"],\"hostMachine\":\"" + machine + "\"," +
				       clock_members() +
				       ",\"sequence\":" + std::to_string(++sequence) + "}";
			}
			bool was_draining = draining;

			for (size_t tries = 0; alive && tries < 5; tries++, i++)
				if (call(system.control(i), "POST",
					 "/api/executors/" + id + "/heartbeat", "", body, 1000)
						    .status == 200 &&
				    !cut) {
					drain_acknowledged = was_draining;
					break;
				}
			Lock lock(mutex);
			changed.wait_for(lock,
					 std::chrono::milliseconds(system.settings.heartbeat_ms),
					 [&] { return !alive || draining != was_draining; });
		}
	}
	void end_run(const std::string &task, const char *how)
	{
		Run r = running[task];

		running.erase(task);
		highest[task] = std::max(highest[task], r.attempt);
		listed.push_back({next_end, task, r.attempt, how});
		ends.push_back({next_end, task, r.attempt, how});
		next_end++;
		record("%s ends %s attempt %lld: %s", id.c_str(), task.c_str(),
		       (long long)r.attempt, how);
		changed.notify_all();
	}
	void work()
	{
		while (alive) {
			Lock lock(mutex);
			std::vector<std::string> done;

			for (auto &r : running)
				if (now_ms() >= r.second.ends_ms)
					done.push_back(r.first);
			for (auto &task : done)
				end_run(task, "done");
			if (clock() > lease_until)
				while (!running.empty())
					end_run(running.begin()->first, "lapsed");
			changed.wait_for(lock, std::chrono::milliseconds(5),
					 [this] { return !alive; });
		}
	}
	void extend(int64_t until)
	{
		lease_until = std::max(lease_until, std::min(until, clock() + 6000));
	}
	Answer serve(const std::string &method, const std::string &path, const Message &m)
	{
		Json body = parse(m.body);
		std::string expected = m.header("sesamewood-expect-instance");
		int64_t token = body["fencingToken"].integer();
		std::string task = body["task"].text;
		int64_t attempt = body["attempt"].integer();
		Lock lock(mutex);

		if (cut)
			changed.wait_for(lock, std::chrono::seconds(60),
					 [this] { return !alive || !cut; });
		if (!alive || cut)
			return {};
		if (method == "GET")
			return {200, "{}"};
		if (!expected.empty() && expected != id)
			return {421, "{" + clock_members() + "}"};
		if (token < fence)
			return refuse("fence");
		fence = token;
		if (path == "/api/run-start")
			return start_run(lock, body, task, attempt);
		if (path == "/api/run-stop") {
			auto r = running.find(task);

			if (r != running.end() && r->second.attempt <= attempt)
				end_run(task, "stopped");
			highest[task] = std::max(highest[task], attempt);
		} else if (path == "/api/hold") {
			return hold(lock, body);
		} else if (path != "/api/pace") {
			return {404, "{}"};
		}
		return {200, "{" + clock_members() + "}"};
	}
	Answer start_run(Lock &lock, const Json &body, const std::string &task, int64_t attempt)
	{
		int64_t until = body["untilMs"].integer();
		auto r = running.find(task);

		if (until <= clock())
			return refuse("late");
		if (r != running.end() && r->second.attempt == attempt)
			return {200, "{" + clock_members() + "}"};
		extend(until);
		if (r != running.end() || attempt <= highest[task])
			return refuse("old");
		const char *reason = refuses ? refuses(*this, body) : nullptr;

		if (reason)
			return refuse(reason);
		Run run = {task, attempt, body["spec"].text, now_ms(), now_ms() + task_ms};

		running[task] = run;
		begun.push_back(run);
		record("%s begins %s attempt %lld", id.c_str(), task.c_str(), (long long)attempt);
		Answer a = {200, "{" + clock_members() + "}"};

		if (on_begin) {
			lock.unlock();
			on_begin(*this, run);
		}
		return a;
	}
	Answer hold(Lock &lock, const Json &body)
	{
		int64_t through = body["ackThrough"].integer();
		std::string out;
		bool first = true;

		while (!listed.empty() && listed.front().n <= through)
			listed.erase(listed.begin());
		extend(body["untilMs"].integer());
		changed.wait_for(lock, std::chrono::milliseconds(body["waitMs"].integer()),
				 [this] { return !alive || !listed.empty(); });
		out = "{" + clock_members() + ",\"running\":[";
		for (auto &r : running) {
			int64_t percent = std::min<int64_t>(
				100,
				(now_ms() - r.second.began_ms) * 100 /
					std::max<int64_t>(1, r.second.ends_ms - r.second.began_ms));

			out += std::string(first ? "" : ",") + "[\"" + r.first + "\"," +
			       std::to_string(r.second.attempt) + ",\"\"," +
			       std::to_string(percent) + ",0]";
			first = false;
		}
		out += "],\"endedRuns\":[";
		for (size_t i = 0; i < listed.size() && i < 500; i++)
			out += std::string(i ? "," : "") + "[" + std::to_string(listed[i].n) +
			       ",\"" + listed[i].task + "\"," + std::to_string(listed[i].attempt) +
			       ",\"" + listed[i].how + "\",\"\"]";
		return {200, out + "]}"};
	}
};

/// Chooses the first two bytes of this run's loopback addresses. A socket reserves them until the
/// process ends.
inline std::string choose_net()
{
	for (int i = 0; i < 200; i++) {
		std::string net = "127." + std::to_string(20 + (getpid() + i) % 200);
		sockaddr_in reserved = address_of(net + ".9.9:9999");
		sockaddr_in first = address_of(net + ".1.10:8623");
		int reservation = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bool is_free = bind(reservation, (sockaddr *)&reserved, sizeof(reserved)) == 0 &&
			       bind(fd, (sockaddr *)&first, sizeof(first)) == 0;

		close(fd);
		if (is_free)
			return net;
		close(reservation);
	}
	_exit(2);
}

/// Sets up record.txt beside the script.
inline void open_record(const char *path)
{
	record_file = fopen(path, "w");
	record_start = now_ms();
}

inline bool has_trouble()
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

} // namespace kit
