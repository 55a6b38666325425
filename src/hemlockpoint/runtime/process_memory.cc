#include "hemlockpoint/runtime/process_memory.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <fstream>

namespace hemlockpoint {

namespace {

std::optional<std::uint64_t> ReadLimit(int resource) {
  rlimit limit{};
  if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return limit.rlim_cur;
}

struct MappedBytes {
  std::uint64_t m_total = 0;
  std::uint64_t m_data = 0;
};

// Fields of /proc/self/statm, in pages: size resident shared text lib data.
MappedBytes ReadMappedBytes() {
  std::ifstream file("/proc/self/statm");
  std::uint64_t resident = 0;
  std::uint64_t shared = 0;
  std::uint64_t text = 0;
  std::uint64_t lib = 0;
  MappedBytes mapped;
  if (!(file >> mapped.m_total >> resident >> shared >> text >> lib >>
        mapped.m_data)) {
    return {};
  }
  const auto page_bytes = static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
  mapped.m_total *= page_bytes;
  mapped.m_data *= page_bytes;
  return mapped;
}

std::uint64_t BytesLeft(std::uint64_t limit, std::uint64_t used) {
  return limit > used ? limit - used : 0;
}

}  // namespace

void ShareHeapBetweenThreads() {
  ::mallopt(M_ARENA_MAX, 1);
}

std::optional<std::size_t> MappableBytes() {
  const std::optional<std::uint64_t> address_space = ReadLimit(RLIMIT_AS);
  const std::optional<std::uint64_t> data = ReadLimit(RLIMIT_DATA);
  if (!address_space && !data) {
    return std::nullopt;
  }
  const MappedBytes mapped = ReadMappedBytes();
  std::uint64_t left = SIZE_MAX;
  if (address_space) {
    left = std::min(left, BytesLeft(*address_space, mapped.m_total));
  }
  if (data) {
    left = std::min(left, BytesLeft(*data, mapped.m_data));
  }
  return static_cast<std::size_t>(left);
}

}  // namespace hemlockpoint
