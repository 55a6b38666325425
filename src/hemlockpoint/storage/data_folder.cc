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

#include "hemlockpoint/runtime/start_retry.h"
#include "hemlockpoint/storage/records.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

namespace fs = std::filesystem;

using OptionalError = std::optional<std::string>;

// The content of one record of the journal or the snapshot file. Each kind uses
// only some of the members.
struct StoredRecord {
  enum class Kind : std::uint64_t { kHard, kTruncate, kEntry, kSnapshot };

  std::uint64_t m_kind = 0;
  /// kTruncate: the first removed entry. kSnapshot: the last covered entry.
  std::uint64_t m_index = 0;
  std::string m_voted_for;
  LogEntry m_entry;
  std::uint64_t m_term = 0;
  GroupConfig m_config;
  Bytes m_data;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("kind", self.m_kind);
    visit("number", self.m_index);
    visit("voted", self.m_voted_for);
    visit("entry", self.m_entry);
    visit("term", self.m_term);
    visit("config", self.m_config);
    visit("data", self.m_data);
  }
};

StoredRecord MakeEmptyRecord(StoredRecord::Kind kind) {
  StoredRecord record;
  record.m_kind = static_cast<std::uint64_t>(kind);
  return record;
}

StoredRecord MakeRecord(const HardState& hard) {
  StoredRecord record = MakeEmptyRecord(StoredRecord::Kind::kHard);
  record.m_term = hard.m_term;
  record.m_voted_for = hard.m_voted_for;
  return record;
}

StoredRecord MakeRecord(const TruncateWrite& write) {
  StoredRecord record = MakeEmptyRecord(StoredRecord::Kind::kTruncate);
  record.m_index = write.m_from;
  return record;
}

StoredRecord MakeRecord(const LogEntry& entry) {
  StoredRecord record = MakeEmptyRecord(StoredRecord::Kind::kEntry);
  record.m_entry = entry;
  return record;
}

StoredRecord MakeRecord(const RaftSnapshot& snapshot) {
  StoredRecord record = MakeEmptyRecord(StoredRecord::Kind::kSnapshot);
  record.m_index = snapshot.m_index;
  record.m_term = snapshot.m_term;
  record.m_config = snapshot.m_config;
  record.m_data.m_data = snapshot.m_data;
  return record;
}

// Applies a record to the state that results from the records before it.
OptionalError ApplyRecord(StoredRaftState& state, const StoredRecord& record) {
  switch (static_cast<StoredRecord::Kind>(record.m_kind)) {
    case StoredRecord::Kind::kHard:
      state.m_hard = {record.m_term, record.m_voted_for};
      return std::nullopt;
    case StoredRecord::Kind::kTruncate:
      TruncateFrom(state.m_log, record.m_index);
      return std::nullopt;
    case StoredRecord::Kind::kSnapshot: {
      RaftSnapshot snapshot;
      snapshot.m_index = record.m_index;
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
    return "unknown record kind " + std::to_string(record.m_kind);
  }
  const std::uint64_t expected = LastIndex(state.m_log) + 1;
  if (record.m_entry.m_index < expected) {
    return std::nullopt;  // Covered by the snapshot.
  }
  if (record.m_entry.m_index > expected) {
    return "entry " + std::to_string(record.m_entry.m_index) +
           " found where entry " + std::to_string(expected) + " was expected";
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
  const OptionalError error =
      synced ? std::nullopt
             : OptionalError(SystemError("fsync " + folder.string()));
  ::close(file);
  return error;
}

// Replaces a file atomically: after a crash either the old or the new content
// is present.
OptionalError ReplaceFile(const fs::path& path, std::string_view bytes) {
  const fs::path temporary = path.string() + ".new";
  const int file =
      ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) {
    return SystemError("open " + temporary.string());
  }
  OptionalError error = WriteAll(file, bytes);
  if (!error && ::fsync(file) != 0) {
    error = SystemError("fsync " + temporary.string());
  }
  ::close(file);
  if (!error && ::rename(temporary.c_str(), path.c_str()) != 0) {
    error = SystemError("rename " + path.string());
  }
  return error ? error : FsyncFolder(path.parent_path());
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

// Applies all records of a file to a state. Only the journal may end in a torn
// tail.
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
  const std::size_t torn_bytes = bytes->size() - scan->m_valid_bytes;
  if (torn_bytes > 0 && !may_be_torn) {
    return path.string() + ": damaged at byte " +
           std::to_string(scan->m_valid_bytes);
  }
  state.m_torn_bytes = torn_bytes;
  for (const std::string& payload : scan->m_payloads) {
    const auto record = DecodeFields<StoredRecord>(payload);
    if (!record) {
      return path.string() + ": " + record.reason();
    }
    if (const OptionalError error = ApplyRecord(state, *record)) {
      return path.string() + ": " + *error;
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
    // A former process keeps its lock until the system has ended it.
    return RetryAtStart(SteadyNow() + kStartPatience, [this] {
      return ::flock(m_lock_file, LOCK_EX | LOCK_NB) == 0
                 ? OptionalError()
                 : OptionalError(
                       SystemError("another process uses " + m_path.string()));
    });
  }

  // The instance is the first file that is written, so a folder that has other
  // files but no instance has lost data.
  OptionalError ReadInstance(const std::string& new_instance) {
    const fs::path path = m_path / "instance";
    if (fs::exists(path)) {
      const auto bytes = ReadFile(path);
      const auto scan = bytes ? ScanRecords(*bytes)
                              : Result<RecordScan>::Failure(bytes.reason());
      if (!scan || scan->m_payloads.size() != 1) {
        return path.string() + ": damaged";
      }
      m_initial_state.m_instance = scan->m_payloads.front();
      return std::nullopt;
    }
    if (fs::exists(m_path / "journal") || fs::exists(m_path / "snapshot")) {
      return path.string() + ": missing, but a journal or a snapshot exists";
    }
    m_initial_state.m_instance = new_instance;
    return ReplaceFile(path, EncodeRecord(new_instance));
  }

  OptionalError ReadState() {
    const fs::path snapshot = m_path / "snapshot";
    const fs::path journal = m_path / "journal";
    if (fs::exists(snapshot)) {
      if (const OptionalError error =
              ApplyRecordsOfFile(snapshot, false, m_initial_state)) {
        return error;
      }
    }
    if (fs::exists(journal)) {
      if (const OptionalError error =
              ApplyRecordsOfFile(journal, true, m_initial_state)) {
        return error;
      }
    } else if (fs::exists(snapshot)) {
      return journal.string() + ": missing, but a snapshot exists";
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
    if (m_initial_state.m_torn_bytes > 0) {
      m_journal_bytes -= m_initial_state.m_torn_bytes;
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
    if (OptionalError error = WriteAll(m_journal_file, bytes)) {
      return error;
    }
    if (::fdatasync(m_journal_file) != 0) {
      return SystemError("fdatasync");
    }
    m_journal_bytes += bytes.size();
    return std::nullopt;
  }

  // Writes the current state as a snapshot, and a journal of the entries after
  // it. A crash between the two leaves the new snapshot and the old journal;
  // the journal's entries that the snapshot covers are skipped when it is read.
  OptionalError Compact() {
    const StoredRaftState& state = m_current_state;
    const std::string snapshot =
        EncodeRecord(EncodeFields(MakeRecord(state.m_log.m_snapshot)));
    if (OptionalError error = ReplaceFile(m_path / "snapshot", snapshot)) {
      return error;
    }
    std::string journal = EncodeRecord(EncodeFields(MakeRecord(state.m_hard)));
    for (const LogEntry& entry : state.m_log.m_entries) {
      journal += EncodeRecord(EncodeFields(MakeRecord(entry)));
    }
    if (OptionalError error = ReplaceFile(m_path / "journal", journal)) {
      return error;
    }
    m_initial_state.m_torn_bytes = 0;
    return OpenJournal();
  }

  fs::path m_path;
  StoredRaftState m_initial_state;
  // The state that the files hold now.
  StoredRaftState m_current_state;
  int m_journal_file = -1;
  int m_lock_file = -1;
  std::size_t m_journal_bytes = 0;
  // Set after a failed write, which may have left a partial record. Nothing may
  // be written after it.
  OptionalError m_write_error;
};

DataFolder::DataFolder(std::unique_ptr<State> state)
    : m_state(std::move(state)) {}

DataFolder::~DataFolder() = default;

Result<std::unique_ptr<DataFolder>> DataFolder::Open(
    const std::string& path,
    const std::string& new_instance) {
  using FolderResult = Result<std::unique_ptr<DataFolder>>;
  auto state = std::make_unique<State>();
  std::error_code create_error;
  fs::create_directories(path, create_error);
  if (create_error) {
    return FolderResult::Failure(path + ": " + create_error.message());
  }
  state->m_path = fs::canonical(path);
  OptionalError error = state->Lock();
  if (!error) {
    error = state->ReadInstance(new_instance);
  }
  if (!error) {
    error = state->ReadState();
  }
  if (error) {
    return FolderResult::Failure(*error);
  }
  state->m_current_state = state->m_initial_state;
  return std::unique_ptr<DataFolder>(new DataFolder(std::move(state)));
}

const StoredRaftState& DataFolder::stored() const {
  return m_state->m_initial_state;
}

std::optional<std::string> DataFolder::Write(
    const std::vector<RaftWrite>& writes) {
  State& state = *m_state;
  std::string bytes;
  for (const RaftWrite& write : writes) {
    if (state.m_write_error) {
      break;
    }
    const StoredRecord record =
        std::visit([](const auto& value) { return MakeRecord(value); }, write);
    state.m_write_error = ApplyRecord(state.m_current_state, record);
    if (std::holds_alternative<RaftSnapshot>(write) && !state.m_write_error) {
      // The new files hold the current state, so the records collected so far
      // needn't be appended.
      bytes.clear();
      state.m_write_error = state.Compact();
    } else {
      bytes += EncodeRecord(EncodeFields(record));
    }
  }
  if (!state.m_write_error) {
    state.m_write_error = state.Append(bytes);
  }
  return state.m_write_error;
}

std::size_t DataFolder::journal_bytes() const {
  return m_state->m_journal_bytes;
}

}  // namespace hemlockpoint
