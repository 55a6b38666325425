#ifndef HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_
#define HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/consensus/raft.h"

namespace hemlockpoint {

/// @brief What a data folder holds.
struct StoredRaftState {
  std::string m_instance;
  HardState m_hard;
  RaftLog m_log;
  /// Bytes of a torn tail that were cut from the journal.
  std::size_t m_torn_bytes = 0;
};

/// @brief The files of one control host: `instance`, `snapshot` and
/// `journal`, each of checksummed records. One process uses a folder.
class DataFolder {
 public:
  /// @brief Opens a folder, or makes one with a new instance.
  /// @param path Created with its parents when missing.
  /// @param new_instance Name to give to a folder that holds nothing.
  /// @return The folder, or what is damaged or cannot be accessed.
  [[nodiscard]] static Result<std::unique_ptr<DataFolder>> Open(
      const std::string& path,
      const std::string& new_instance);

  ~DataFolder();
  DataFolder(const DataFolder&) = delete;
  DataFolder& operator=(const DataFolder&) = delete;

  /// @return What the folder held when it was opened.
  [[nodiscard]] const StoredRaftState& stored() const;

  /// @brief Writes and syncs; blocks, so it runs off the loop's thread. A
  /// snapshot also replaces the journal by what follows it.
  /// @return Why nothing may be acknowledged, or nothing.
  [[nodiscard]] std::optional<std::string> Write(
      const std::vector<RaftWrite>& writes);

  /// @return Bytes of the journal.
  [[nodiscard]] std::size_t journal_bytes() const;

 private:
  struct State;
  explicit DataFolder(std::unique_ptr<State> state);
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_STORAGE_DATA_FOLDER_H_
