#ifndef HEMLOCKPOINT_STORAGE_RECORDS_H_
#define HEMLOCKPOINT_STORAGE_RECORDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief Records found in a file's bytes.
struct RecordScan {
  std::vector<std::string> m_payloads;
  /// Bytes up to the end of the last whole record; the rest is a torn tail.
  std::size_t m_valid_bytes = 0;
};

/// @brief Largest payload of one record.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{4} * 1024 * 1024;

/// @return A payload as a record: a header with its own checksum, then the
/// payload with its checksum (XXH3, 64 bits).
[[nodiscard]] std::string EncodeRecord(std::string_view payload);

/// @brief Reads a file of records.
/// @return The records. Bytes after the last whole record that hold no
/// further record are a torn tail, as a crash in mid-write leaves one; any
/// other damage is a failure that names its offset.
[[nodiscard]] Result<RecordScan> ScanRecords(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_STORAGE_RECORDS_H_
