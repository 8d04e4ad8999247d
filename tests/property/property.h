#ifndef SESAMEWOOD_TESTS_PROPERTY_H
#define SESAMEWOOD_TESTS_PROPERTY_H

/// @file
/// Shared by the property tests: the output of results, and lists of random actions, which
/// rapidcheck can shrink to a smaller failing case.

#include <cstdint>
#include <cstdio>
#include <cstring>
#include <rapidcheck.h>
#include <string>
#include <vector>

/// Checks properties and prints an "ok" or "not ok" line for each.
class Property
{
      public:
	explicit Property(std::string prefix) : prefix_(std::move(prefix))
	{
	}

	/// Checks a property with random input.
	template <typename Fn> void check(const std::string &name, Fn &&fn)
	{
		bool ok = rc::check(prefix_ + "/" + name, fn);

		failed_ += !ok;
		std::printf("%s %d %s/%s\n", ok ? "ok" : "not ok", ++count_, prefix_.c_str(),
			    name.c_str());
		std::fflush(stdout);
	}

	/// @return exit status of the process: 1 if a property failed, else 0
	int end() const
	{
		return failed_ ? 1 : 0;
	}

      private:
	std::string prefix_;
	int count_ = 0;
	int failed_ = 0;
};

/// @return generator of lists of up to @p max_count actions
inline rc::Gen<std::vector<uint32_t>> actions(int max_count)
{
	return rc::gen::resize(max_count, rc::gen::container<std::vector<uint32_t>>(
						  rc::gen::inRange<uint32_t>(0, 1U << 30)));
}

#endif
