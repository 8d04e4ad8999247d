#ifndef SESAMEWOOD_TESTS_PROPERTY_H
#define SESAMEWOOD_TESTS_PROPERTY_H

/// @file
/// What the property tests share: test lines, and lists of random actions that shrink.

#include <cstdint>
#include <cstdio>
#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <vector>

/// Runs properties and prints one "ok" or "not ok" line each.
class Property
{
      public:
	explicit Property(std::string prefix) : prefix_(std::move(prefix))
	{
	}

	template <typename Fn> void check(const std::string &name, Fn &&fn)
	{
		bool ok = rc::check(prefix_ + "/" + name, fn);

		failed_ += !ok;
		std::printf("%s %d %s/%s\n", ok ? "ok" : "not ok", ++count_, prefix_.c_str(),
			    name.c_str());
		std::fflush(stdout);
	}

	int end() const
	{
		return failed_ ? 1 : 0;
	}

      private:
	std::string prefix_;
	int count_ = 0;
	int failed_ = 0;
};

/// @return a generator of up to @p most actions
inline rc::Gen<std::vector<uint32_t>> actions(int most)
{
	return rc::gen::resize(most, rc::gen::container<std::vector<uint32_t>>(
					     rc::gen::inRange<uint32_t>(0, 1U << 30)));
}

#endif
