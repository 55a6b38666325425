#include "hemlockpoint/storage/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <utility>

#include "hemlockpoint/storage/records.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

namespace fs = std::filesystem;

using OptionalError = std::optional<std::string>;

// What one record of the journal or the snapshot file says.
struct StoredRecord {
  enum class Kind : std::uint64_t { kHard, kTruncate, kEntry, kSnapshot };

  std::uint64_t m_kind = 0;
  std::uint64_t m_number = 0;
  std::string m_voted_for;
  LogEntry m_entry;
  std::uint64_t m_term = 0;
  GroupConfig m_config;
  Bytes m_data;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("kind", self.m_kind);
    visit("number", self.m_number);
    visit("voted", self.m_voted_for);
    visit("entry", self.m_entry);
    visit("term", self.m_term);
    visit("config", self.m_config);
    visit("data", self.m_data);
  }
};

StoredRecord MakeRecord(StoredRecord::Kind kind) {
  StoredRecord record;
  record.m_kind = static_cast<std::uint64_t>(kind);
  return record;
}

StoredRecord RecordOf(const HardState& hard) {
  StoredRecord record = MakeRecord(StoredRecord::Kind::kHard);
  record.m_term = hard.m_term;
  record.m_voted_for = hard.m_voted_for;
  return record;
}

StoredRecord RecordOf(const TruncateWrite& write) {
  StoredRecord record = MakeRecord(StoredRecord::Kind::kTruncate);
  record.m_number = write.m_from;
  return record;
}

StoredRecord RecordOf(const LogEntry& entry) {
  StoredRecord record = MakeRecord(StoredRecord::Kind::kEntry);
  record.m_entry = entry;
  return record;
}

StoredRecord RecordOf(const RaftSnapshot& snapshot) {
  StoredRecord record = MakeRecord(StoredRecord::Kind::kSnapshot);
  record.m_number = snapshot.m_index;
  record.m_term = snapshot.m_term;
  record.m_config = snapshot.m_config;
  record.m_data.m_data = snapshot.m_data;
  return record;
}

// Applies a record to the state that a folder holds.
OptionalError Replay(StoredRaftState& state, const StoredRecord& record) {
  switch (static_cast<StoredRecord::Kind>(record.m_kind)) {
    case StoredRecord::Kind::kHard:
      state.m_hard = {record.m_term, record.m_voted_for};
      return std::nullopt;
    case StoredRecord::Kind::kTruncate:
      TruncateFrom(state.m_log, record.m_number);
      return std::nullopt;
    case StoredRecord::Kind::kSnapshot: {
      RaftSnapshot snapshot;
      snapshot.m_index = record.m_number;
      snapshot.m_term = record.m_term;
      snapshot.m_config = record.m_config;
      snapshot.m_data = record.m_data.m_data;
      InstallSnapshot(state.m_log, std::move(snapshot));
      return std::nullopt;
    }
    case StoredRecord::Kind::kEntry:
      break;
  }
  if (record.m_kind != static_cast<std::uint64_t>(StoredRecord::Kind::kEntry)) {
    return "record of unknown kind " + std::to_string(record.m_kind);
  }
  const std::uint64_t expected = LastIndex(state.m_log) + 1;
  if (record.m_entry.m_index < expected) {
    return std::nullopt;  // Covered by the snapshot.
  }
  if (record.m_entry.m_index > expected) {
    return "entry " + std::to_string(record.m_entry.m_index) + " where entry " +
           std::to_string(expected) + " was expected";
  }
  state.m_log.m_entries.push_back(record.m_entry);
  return std::nullopt;
}

std::string SystemError(const std::string& what) {
  return what + ": " + std::strerror(errno);
}

OptionalError WriteAll(int file, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = ::write(file, bytes.data(), bytes.size());
    if (written < 0 && errno != EINTR) {
      return SystemError("write");
    }
    bytes.remove_prefix(static_cast<std::size_t>(written < 0 ? 0 : written));
  }
  return std::nullopt;
}

OptionalError FsyncFolder(const fs::path& folder) {
  const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return SystemError("open " + folder.string());
  }
  const bool synced = ::fsync(file) == 0;
  const OptionalError reason =
      synced ? std::nullopt
             : OptionalError(SystemError("fsync " + folder.string()));
  ::close(file);
  return reason;
}

// Puts a whole file in place, so that either the old or the new one is there
// after a crash.
OptionalError ReplaceFile(const fs::path& path, std::string_view bytes) {
  const fs::path temporary = path.string() + ".new";
  const int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) {
    return SystemError("open " + temporary.string());
  }
  OptionalError reason = WriteAll(file, bytes);
  if (!reason && ::fsync(file) != 0) {
    reason = SystemError("fsync " + temporary.string());
  }
  ::close(file);
  if (!reason && ::rename(temporary.c_str(), path.c_str()) != 0) {
    reason = SystemError("rename " + path.string());
  }
  return reason ? reason : FsyncFolder(path.parent_path());
}

Result<std::string> ReadFile(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream bytes;
  bytes << file.rdbuf();
  if (!file) {
    return Result<std::string>::Failure(path.string() + ": cannot be read");
  }
  return bytes.str();
}

// Replays a file of records. Only a journal may end in a torn tail.
OptionalError ApplyRecordsOfFile(const fs::path& path,
                                 bool may_be_torn,
                                 StoredRaftState& state) {
  const auto bytes = ReadFile(path);
  if (!bytes) {
    return bytes.reason();
  }
  const auto scan = ScanRecords(*bytes);
  if (!scan) {
    return path.string() + ": " + scan.reason();
  }
  const std::size_t torn = bytes->size() - scan->m_valid_bytes;
  if (torn > 0 && !may_be_torn) {
    return path.string() + ": damaged at byte " +
           std::to_string(scan->m_valid_bytes);
  }
  state.m_torn_bytes = torn;
  for (const std::string& payload : scan->m_payloads) {
    const auto record = DecodeFields<StoredRecord>(payload);
    if (!record) {
      return path.string() + ": " + record.reason();
    }
    if (const OptionalError reason = Replay(state, *record)) {
      return path.string() + ": " + *reason;
    }
  }
  return std::nullopt;
}

}  // namespace

struct DataFolder::State {
  ~State() {
    if (m_journal_file >= 0) {
      ::close(m_journal_file);
    }
    if (m_lock_file >= 0) {
      ::close(m_lock_file);
    }
  }

  OptionalError Lock() {
    m_lock_file =
        ::open((m_path / "lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (m_lock_file < 0) {
      return SystemError("open " + (m_path / "lock").string());
    }
    if (::flock(m_lock_file, LOCK_EX | LOCK_NB) != 0) {
      return m_path.string() + ": another process uses the folder";
    }
    return std::nullopt;
  }

  // A folder has an instance before it has anything else, so a folder with
  // other files but no instance has lost some.
  OptionalError ReadInstance(const std::string& new_instance) {
    const fs::path path = m_path / "instance";
    if (fs::exists(path)) {
      const auto bytes = ReadFile(path);
      const auto scan = bytes ? ScanRecords(*bytes)
                              : Result<RecordScan>::Failure(bytes.reason());
      if (!scan || scan->m_payloads.size() != 1) {
        return path.string() + ": damaged";
      }
      m_stored.m_instance = scan->m_payloads.front();
      return std::nullopt;
    }
    if (fs::exists(m_path / "journal") || fs::exists(m_path / "snapshot")) {
      return path.string() + ": missing beside a journal or a snapshot";
    }
    m_stored.m_instance = new_instance;
    return ReplaceFile(path, EncodeRecord(new_instance));
  }

  OptionalError ReadState() {
    const fs::path snapshot = m_path / "snapshot";
    const fs::path journal = m_path / "journal";
    if (fs::exists(snapshot)) {
      if (const OptionalError reason =
              ApplyRecordsOfFile(snapshot, false, m_stored)) {
        return reason;
      }
    }
    if (fs::exists(journal)) {
      if (const OptionalError reason =
              ApplyRecordsOfFile(journal, true, m_stored)) {
        return reason;
      }
    } else if (fs::exists(snapshot)) {
      return journal.string() + ": missing beside a snapshot";
    }
    return OpenJournal();
  }

  OptionalError OpenJournal() {
    const fs::path path = m_path / "journal";
    if (m_journal_file >= 0) {
      ::close(m_journal_file);
    }
    const bool created = !fs::exists(path);
    m_journal_file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_journal_file < 0) {
      return SystemError("open " + path.string());
    }
    m_journal_bytes = fs::file_size(path);
    if (m_stored.m_torn_bytes > 0) {
      m_journal_bytes -= m_stored.m_torn_bytes;
      if (::ftruncate(m_journal_file, static_cast<off_t>(m_journal_bytes)) !=
              0 ||
          ::fsync(m_journal_file) != 0) {
        return SystemError("cut " + path.string());
      }
    }
    return created ? FsyncFolder(m_path) : std::nullopt;
  }

  OptionalError Append(std::string_view bytes) {
    if (bytes.empty()) {
      return std::nullopt;
    }
    if (OptionalError reason = WriteAll(m_journal_file, bytes)) {
      return reason;
    }
    if (::fdatasync(m_journal_file) != 0) {
      return SystemError("fdatasync");
    }
    m_journal_bytes += bytes.size();
    return std::nullopt;
  }

  // Writes the mirrored state as a snapshot and a short journal. A crash in
  // between leaves the new snapshot with the old journal, whose entries up to
  // the snapshot are passed over when it is read.
  OptionalError Compact() {
    const StoredRaftState& state = m_current_state;
    const std::string snapshot =
        EncodeRecord(EncodeFields(RecordOf(state.m_log.m_snapshot)));
    if (OptionalError reason = ReplaceFile(m_path / "snapshot", snapshot)) {
      return reason;
    }
    std::string journal = EncodeRecord(EncodeFields(RecordOf(state.m_hard)));
    for (const LogEntry& entry : state.m_log.m_entries) {
      journal += EncodeRecord(EncodeFields(RecordOf(entry)));
    }
    if (OptionalError reason = ReplaceFile(m_path / "journal", journal)) {
      return reason;
    }
    m_stored.m_torn_bytes = 0;
    return OpenJournal();
  }

  fs::path m_path;
  StoredRaftState m_stored;
  // What the files hold now.
  StoredRaftState m_current_state;
  int m_journal_file = -1;
  int m_lock_file = -1;
  std::size_t m_journal_bytes = 0;
  // A failed write may have left half a record; nothing may follow it.
  OptionalError m_failed;
};

DataFolder::DataFolder(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

DataFolder::~DataFolder() = default;

Result<std::unique_ptr<DataFolder>> DataFolder::Open(
    const std::string& path,
    const std::string& new_instance) {
  using FolderResult = Result<std::unique_ptr<DataFolder>>;
  auto state = std::make_unique<State>();
  std::error_code error;
  fs::create_directories(path, error);
  if (error) {
    return FolderResult::Failure(path + ": " + error.message());
  }
  state->m_path = fs::canonical(path);
  OptionalError reason = state->Lock();
  if (!reason) {
    reason = state->ReadInstance(new_instance);
  }
  if (!reason) {
    reason = state->ReadState();
  }
  if (reason) {
    return FolderResult::Failure(*reason);
  }
  state->m_current_state = state->m_stored;
  return std::unique_ptr<DataFolder>(new DataFolder(std::move(state)));
}

const StoredRaftState& DataFolder::stored() const {
  return m_state->m_stored;
}

std::optional<std::string> DataFolder::Write(
    const std::vector<RaftWrite>& writes) {
  State& state = *m_state;
  std::string bytes;
  for (const RaftWrite& write : writes) {
    if (state.m_failed) {
      break;
    }
    const StoredRecord record =
        std::visit([](const auto& value) { return RecordOf(value); }, write);
    state.m_failed = Replay(state.m_current_state, record);
    if (std::holds_alternative<RaftSnapshot>(write) && !state.m_failed) {
      // The new files hold everything so far, so what was to be appended
      // before is not needed.
      bytes.clear();
      state.m_failed = state.Compact();
    } else {
      bytes += EncodeRecord(EncodeFields(record));
    }
  }
  if (!state.m_failed) {
    state.m_failed = state.Append(bytes);
  }
  return state.m_failed;
}

std::size_t DataFolder::journal_bytes() const {
  return m_state->m_journal_bytes;
}

}  // namespace hemlockpoint
