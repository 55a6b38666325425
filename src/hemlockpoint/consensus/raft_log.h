#ifndef HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_
#define HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/wire/consensus_messages.h"

namespace hemlockpoint {

/// @brief The state up to one entry, which stands for the entries before.
struct RaftSnapshot {
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  GroupConfig m_config;
  std::string m_data;
};

/// @brief The replicated log at one member: a snapshot and what follows it.
struct RaftLog {
  RaftSnapshot m_snapshot;
  std::deque<LogEntry> m_entries;
};

[[nodiscard]] std::uint64_t LastIndex(const RaftLog& log);
[[nodiscard]] std::uint64_t LastTerm(const RaftLog& log);

/// @return The term of an entry, or nothing when the log doesn't hold it.
[[nodiscard]] std::optional<std::uint64_t> TermAt(const RaftLog& log,
                                                  std::uint64_t index);

/// @return The entry, or null when the log doesn't hold it.
[[nodiscard]] const LogEntry* EntryAt(const RaftLog& log, std::uint64_t index);

/// @brief Removes the entry and all after it.
void TruncateFrom(RaftLog& log, std::uint64_t index);

/// @brief Puts a snapshot in place of the entries that it covers.
void InstallSnapshot(RaftLog& log, RaftSnapshot snapshot);

/// @return The newest members in the log, committed or not, and the entry
/// that holds them.
struct LatestConfig {
  GroupConfig m_config;
  std::uint64_t m_index = 0;
};
[[nodiscard]] LatestConfig FindLatestConfig(const RaftLog& log);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_
