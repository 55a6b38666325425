#include "hemlockpoint/storage/records.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstring>

namespace hemlockpoint {

namespace {

constexpr std::uint32_t kMagic = 0x31435248;

struct Header {
  std::uint32_t m_magic = kMagic;
  std::uint32_t m_size = 0;
  std::uint64_t m_payload_checksum = 0;
  std::uint64_t m_header_checksum = 0;
};

constexpr std::size_t kHeaderBytes = sizeof(Header);
constexpr std::size_t kChecksummedHeaderBytes =
    kHeaderBytes - sizeof(std::uint64_t);

std::uint64_t Checksum(const void* data, std::size_t size) {
  return XXH3_64bits(data, size);
}

enum class RecordStatus { kValid, kIncomplete, kCorrupt };

// Checks the bytes at an offset, and reads the header of the record there.
RecordStatus CheckRecordAt(std::string_view bytes,
                           std::size_t offset,
                           Header& header) {
  const std::string_view remaining = bytes.substr(offset);
  if (remaining.size() < kHeaderBytes) {
    return RecordStatus::kIncomplete;
  }
  std::memcpy(&header, remaining.data(), kHeaderBytes);
  const bool is_header_valid =
      header.m_magic == kMagic && header.m_size <= kMaxRecordBytes &&
      Checksum(&header, kChecksummedHeaderBytes) == header.m_header_checksum;
  if (!is_header_valid) {
    return RecordStatus::kCorrupt;
  }
  const std::string_view payload = remaining.substr(kHeaderBytes);
  if (payload.size() < header.m_size) {
    return RecordStatus::kIncomplete;
  }
  const bool is_payload_valid =
      Checksum(payload.data(), header.m_size) == header.m_payload_checksum;
  return is_payload_valid ? RecordStatus::kValid : RecordStatus::kCorrupt;
}

// Whether a complete record starts after an offset. If so, the invalid bytes
// before it are corruption and not the end of an interrupted write.
bool HasRecordAfter(std::string_view bytes, std::size_t offset) {
  Header header;
  for (std::size_t position = offset + 1;
       position + kHeaderBytes <= bytes.size(); ++position) {
    if (CheckRecordAt(bytes, position, header) == RecordStatus::kValid) {
      return true;
    }
  }
  return false;
}

// A write that was interrupted by a crash leaves the file too short, or leaves
// zeros where the data was not written. Other bytes at the end are
// corruption.
bool EndsInZeros(std::string_view bytes) {
  constexpr std::size_t kTailBytes = 16;
  const std::size_t size = std::min(kTailBytes, bytes.size());
  const std::string_view tail = bytes.substr(bytes.size() - size);
  return tail.find_first_not_of('\0') == std::string_view::npos;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  Header header;
  header.m_size = static_cast<std::uint32_t>(payload.size());
  header.m_payload_checksum = Checksum(payload.data(), payload.size());
  header.m_header_checksum = Checksum(&header, kChecksummedHeaderBytes);
  std::string record(kHeaderBytes, '\0');
  std::memcpy(record.data(), &header, kHeaderBytes);
  record += payload;
  return record;
}

Result<RecordScan> ScanRecords(std::string_view bytes) {
  RecordScan scan;
  Header header;
  while (scan.m_valid_bytes < bytes.size()) {
    const RecordStatus status =
        CheckRecordAt(bytes, scan.m_valid_bytes, header);
    if (status != RecordStatus::kValid) {
      break;
    }
    scan.m_payloads.emplace_back(
        bytes.substr(scan.m_valid_bytes + kHeaderBytes, header.m_size));
    scan.m_valid_bytes += kHeaderBytes + header.m_size;
  }
  if (scan.m_valid_bytes == bytes.size()) {
    return scan;
  }
  const std::string where = " at byte " + std::to_string(scan.m_valid_bytes);
  if (HasRecordAfter(bytes, scan.m_valid_bytes)) {
    return Result<RecordScan>::Failure("damaged record" + where +
                                       ", with complete records after it");
  }
  const bool is_incomplete = CheckRecordAt(bytes, scan.m_valid_bytes, header) ==
                             RecordStatus::kIncomplete;
  if (!is_incomplete && !EndsInZeros(bytes.substr(scan.m_valid_bytes))) {
    return Result<RecordScan>::Failure("damaged last record" + where);
  }
  return scan;
}

}  // namespace hemlockpoint
