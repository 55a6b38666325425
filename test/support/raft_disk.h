#ifndef HEMLOCKPOINT_TEST_SUPPORT_RAFT_DISK_H_
#define HEMLOCKPOINT_TEST_SUPPORT_RAFT_DISK_H_

#include <variant>

#include "hemlockpoint/consensus/raft.h"

namespace hemlockpoint {

/// @brief Applies a write to the term, vote and log on a simulated disk.
inline void WriteToDisk(HardState& disk_hard,
                        RaftLog& disk_log,
                        const RaftWrite& write) {
  if (const auto* hard = std::get_if<HardState>(&write)) {
    disk_hard = *hard;
  } else if (const auto* truncate = std::get_if<TruncateWrite>(&write)) {
    TruncateFrom(disk_log, truncate->m_from);
  } else if (const auto* entry = std::get_if<LogEntry>(&write)) {
    disk_log.m_entries.push_back(*entry);
  } else if (const auto* snapshot = std::get_if<RaftSnapshot>(&write)) {
    InstallSnapshot(disk_log, *snapshot);
  }
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_RAFT_DISK_H_
