#include "hemlockpoint/base/digest.h"

#include <xxhash.h>

namespace hemlockpoint {

Fingerprint ComputeDigest(std::initializer_list<std::string_view> parts) {
  std::uint64_t digest = 0;
  for (const std::string_view part : parts) {
    // The seed carries the digest so far and the length of this part, so the
    // result depends on the boundaries between parts.
    digest =
        XXH3_64bits_withSeed(part.data(), part.size(), digest ^ part.size());
  }
  return Fingerprint(digest);
}

double HashToUnitInterval(const RequestId& request_id) {
  constexpr int kDoubleMantissaBits = 53;
  const std::uint64_t hash =
      XXH3_64bits(request_id.value().data(), request_id.value().size());
  return static_cast<double>(hash >> (64 - kDoubleMantissaBits)) /
         static_cast<double>(std::uint64_t{1} << kDoubleMantissaBits);
}

}  // namespace hemlockpoint
