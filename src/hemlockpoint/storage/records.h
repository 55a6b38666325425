#ifndef HEMLOCKPOINT_STORAGE_RECORDS_H_
#define HEMLOCKPOINT_STORAGE_RECORDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief The records found in the content of a file.
struct RecordScan {
  std::vector<std::string> m_payloads;
  /// Size up to the end of the last complete record. Bytes after it are a torn
  /// tail.
  std::size_t m_valid_bytes = 0;
};

/// @brief Maximum payload size of one record.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{4} * 1024 * 1024;

/// @return A record: a header, then the payload. The header holds the XXH3
/// 64-bit checksums of the payload and of the header itself.
[[nodiscard]] std::string EncodeRecord(std::string_view payload);

/// @brief Reads the records of a file.
/// @param bytes Content of the file.
/// @return The records, or an error with the offset of the corruption. An
/// incomplete record or zeros at the end are a torn tail, which a crash during
/// a write leaves; they are no error.
[[nodiscard]] Result<RecordScan> ScanRecords(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_STORAGE_RECORDS_H_
