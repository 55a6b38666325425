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

std::uint64_t SumOf(const void* data, std::size_t size) {
  return XXH3_64bits(data, size);
}

enum class Found { kRecord, kIncomplete, kCorrupt };

// Looks at what stands at an offset.
Found CheckRecordAt(std::string_view bytes,
                    std::size_t offset,
                    Header& header) {
  const std::string_view rest = bytes.substr(offset);
  if (rest.size() < kHeaderBytes) {
    return Found::kIncomplete;
  }
  std::memcpy(&header, rest.data(), kHeaderBytes);
  const bool header_valid =
      header.m_magic == kMagic && header.m_size <= kMaxRecordBytes &&
      SumOf(&header, kChecksummedHeaderBytes) == header.m_header_checksum;
  if (!header_valid) {
    return Found::kCorrupt;
  }
  const std::string_view payload = rest.substr(kHeaderBytes);
  if (payload.size() < header.m_size) {
    return Found::kIncomplete;
  }
  const bool payload_valid =
      SumOf(payload.data(), header.m_size) == header.m_payload_checksum;
  return payload_valid ? Found::kRecord : Found::kCorrupt;
}

// Whether any whole record starts after an offset. One does when the damage
// before it is not the end of what was written.
bool HasRecordAfter(std::string_view bytes, std::size_t offset) {
  Header header;
  for (std::size_t at = offset + 1; at + kHeaderBytes <= bytes.size(); ++at) {
    if (CheckRecordAt(bytes, at, header) == Found::kRecord) {
      return true;
    }
  }
  return false;
}

// A write that a crash interrupted leaves the file short, or long enough with
// zeros where nothing arrived. Other bytes there were written and changed.
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
  header.m_payload_checksum = SumOf(payload.data(), payload.size());
  header.m_header_checksum = SumOf(&header, kChecksummedHeaderBytes);
  std::string record(kHeaderBytes, '\0');
  std::memcpy(record.data(), &header, kHeaderBytes);
  record += payload;
  return record;
}

Result<RecordScan> ScanRecords(std::string_view bytes) {
  RecordScan scan;
  Header header;
  while (scan.m_valid_bytes < bytes.size()) {
    const Found found = CheckRecordAt(bytes, scan.m_valid_bytes, header);
    if (found != Found::kRecord) {
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
                                       ", with whole records after it");
  }
  const bool cut_off =
      CheckRecordAt(bytes, scan.m_valid_bytes, header) == Found::kIncomplete;
  if (!cut_off && !EndsInZeros(bytes.substr(scan.m_valid_bytes))) {
    return Result<RecordScan>::Failure("damaged last record" + where);
  }
  return scan;
}

}  // namespace hemlockpoint
