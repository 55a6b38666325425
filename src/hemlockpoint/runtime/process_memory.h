#ifndef HEMLOCKPOINT_RUNTIME_PROCESS_MEMORY_H_
#define HEMLOCKPOINT_RUNTIME_PROCESS_MEMORY_H_

#include <cstddef>
#include <optional>

namespace hemlockpoint {

/// @brief Makes all threads allocate from one heap. Otherwise each thread
/// reserves 64 MiB or more of address space. Call it before threads are
/// started.
void ShareHeapBetweenThreads();

/// @brief Reads how much memory the process may still map.
/// @return The bytes that are left of its limits on address space and data
/// segment (setrlimit(2)); nullopt if it has no such limit.
[[nodiscard]] std::optional<std::size_t> MappableBytes();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_PROCESS_MEMORY_H_
