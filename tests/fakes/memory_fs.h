#ifndef SESAMEWOOD_TESTS_MEMORY_FS_H
#define SESAMEWOOD_TESTS_MEMORY_FS_H

/// @file
/// A folder in memory that forgets at a crash what was not synced, and fails on request.

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "control/fs.h"
}

class MemoryFs
{
      public:
	struct File {
		std::string data;
		std::string synced;
	};
	using Names = std::map<std::string, std::shared_ptr<File>>;

	Names live;
	Names durable;
	int operations_until_failure = -1;    ///< operations until one fails; -1: never
	unsigned int partial_write_bytes = 0; ///< bytes that a failing write still writes

	struct fs fs();

	/// Power loss: unsynced names and bytes are gone, but for a part that @p random chooses.
	void crash(unsigned int random);

	/// Changes one byte of a file.
	bool flip_bit(const std::string &name, size_t at);

	bool next_operation_fails();
};

#endif
