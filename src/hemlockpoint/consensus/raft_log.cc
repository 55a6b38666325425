#include "hemlockpoint/consensus/raft_log.h"

#include <utility>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

std::uint64_t LastIndex(const RaftLog& log) {
  return log.m_entries.empty() ? log.m_snapshot.m_index
                               : log.m_entries.back().m_index;
}

std::uint64_t LastTerm(const RaftLog& log) {
  return log.m_entries.empty() ? log.m_snapshot.m_term
                               : log.m_entries.back().m_term;
}

const LogEntry* EntryAt(const RaftLog& log, std::uint64_t index) {
  if (log.m_entries.empty() || index < log.m_entries.front().m_index ||
      index > log.m_entries.back().m_index) {
    return nullptr;
  }
  return &log.m_entries[index - log.m_entries.front().m_index];
}

std::optional<std::uint64_t> TermAt(const RaftLog& log, std::uint64_t index) {
  if (index == log.m_snapshot.m_index) {
    return log.m_snapshot.m_term;
  }
  const LogEntry* entry = EntryAt(log, index);
  return entry == nullptr ? std::nullopt
                          : std::optional<std::uint64_t>(entry->m_term);
}

void TruncateFrom(RaftLog& log, std::uint64_t index) {
  while (!log.m_entries.empty() && log.m_entries.back().m_index >= index) {
    log.m_entries.pop_back();
  }
}

void InstallSnapshot(RaftLog& log, RaftSnapshot snapshot) {
  const bool has_last_entry = TermAt(log, snapshot.m_index) == snapshot.m_term;
  if (!has_last_entry) {
    log.m_entries.clear();
  }
  while (!log.m_entries.empty() &&
         log.m_entries.front().m_index <= snapshot.m_index) {
    log.m_entries.pop_front();
  }
  log.m_snapshot = std::move(snapshot);
}

LatestConfig FindLatestConfig(const RaftLog& log) {
  for (auto entry = log.m_entries.rbegin(); entry != log.m_entries.rend();
       ++entry) {
    if (entry->m_kind != LogEntryKind::kConfig) {
      continue;
    }
    auto config = DecodeFields<GroupConfig>(entry->m_data.m_data);
    if (config) {
      return {std::move(*config), entry->m_index};
    }
  }
  return {log.m_snapshot.m_config, log.m_snapshot.m_index};
}

}  // namespace hemlockpoint
