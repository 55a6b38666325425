#ifndef HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_
#define HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/wire/consensus_messages.h"

namespace hemlockpoint {

/// @brief The state after one entry. It replaces that entry and all before it.
struct RaftSnapshot {
  /// Index and term of the last entry that the snapshot covers.
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  GroupConfig m_config;
  /// The encoded state.
  std::string m_data;
};

/// @brief One member's copy of the replicated log: a snapshot and the entries
/// after it.
struct RaftLog {
  RaftSnapshot m_snapshot;
  std::deque<LogEntry> m_entries;
};

[[nodiscard]] std::uint64_t LastIndex(const RaftLog& log);
[[nodiscard]] std::uint64_t LastTerm(const RaftLog& log);

/// @return The term of the entry at an index, or nothing when the log has
/// neither the entry nor a snapshot that ends there.
[[nodiscard]] std::optional<std::uint64_t> TermAt(const RaftLog& log,
                                                  std::uint64_t index);

/// @return The entry at an index, or null when the log does not contain it.
[[nodiscard]] const LogEntry* EntryAt(const RaftLog& log, std::uint64_t index);

/// @brief Removes the entry at an index and all entries after it.
void TruncateFrom(RaftLog& log, std::uint64_t index);

/// @brief Replaces the entries that a snapshot covers. Later entries are kept
/// only if the log agrees with the snapshot's last entry.
void InstallSnapshot(RaftLog& log, RaftSnapshot snapshot);

/// @brief The newest configuration in the log, committed or not. Raft uses it
/// as soon as it is in the log.
struct LatestConfig {
  GroupConfig m_config;
  /// Index of the entry or snapshot that contains the configuration.
  std::uint64_t m_index = 0;
};

[[nodiscard]] LatestConfig FindLatestConfig(const RaftLog& log);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_LOG_H_
