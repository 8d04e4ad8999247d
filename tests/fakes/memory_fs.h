#ifndef SESAMEWOOD_TESTS_MEMORY_FS_H
#define SESAMEWOOD_TESTS_MEMORY_FS_H

/// @file
/// File system of one folder in memory. A simulated crash loses what was not synced; operations can
/// be made to fail.

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
		std::string data;   ///< what a read returns
		std::string synced; ///< contents at the last sync
	};
	using Names = std::map<std::string, std::shared_ptr<File>>;

	Names live;    ///< current names
	Names durable; ///< names at the last sync of the folder
	int operations_until_failure =
		-1; ///< operations that succeed before all fail; -1: none fails
	unsigned int partial_write_bytes = 0; ///< bytes that a failing write still writes

	/// @return the interface of this file system, valid as long as the object
	struct fs fs();

	/// Simulates a power loss: unsynced names are lost, and of unsynced bytes only a prefix of
	/// random length survives, with a flipped bit in its last byte in one of three cases.
	/// Operations succeed again afterwards.
	void crash(unsigned int random);

	/// Flips one bit of the byte at @p at, modulo the file size, as a failing disk would.
	///
	/// @return false if the file doesn't exist or is empty
	bool flip_bit(const std::string &name, size_t at);

	bool next_operation_fails();
};

#endif
