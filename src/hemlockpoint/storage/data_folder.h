#ifndef HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_
#define HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/consensus/raft.h"

namespace hemlockpoint {

/// @brief The Raft state that a data folder holds.
struct StoredRaftState {
  /// Unique id of the folder, made when the folder was created.
  std::string m_instance;
  HardState m_hard;
  RaftLog m_log;
  /// Size of the torn tail that was truncated from the journal.
  std::size_t m_torn_bytes = 0;
};

/// @brief The files of one control host: `instance`, `snapshot` and `journal`.
/// Each of them is a sequence of checksummed records. A lock file ensures that
/// only one process uses a folder.
class DataFolder {
 public:
  /// @brief Opens a folder, or creates one with a new instance.
  /// @param path Path of the folder. Missing parent folders are created.
  /// @param new_instance Instance for a folder that is new or empty.
  /// @return The folder, or which file is corrupt or can't be accessed.
  [[nodiscard]] static Result<std::unique_ptr<DataFolder>> Open(
      const std::string& path,
      const std::string& new_instance);

  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /// @return The state that the folder held when it was opened.
  [[nodiscard]] const StoredRaftState& stored() const;

  /// @brief Writes and syncs. It blocks, so it must not run on the event loop's
  /// thread. A snapshot removes the entries that it covers from the journal.
  /// @return The error, or nothing on success. After an error none of the
  /// writes may be acknowledged, and each later call returns the same error.
  [[nodiscard]] std::optional<std::string> Write(
      const std::vector<RaftWrite>& writes);

  /// @return Size of the journal.
  [[nodiscard]] std::size_t journal_bytes() const;

 private:
  struct State;
  explicit DataFolder(std::unique_ptr<State> state);
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_
