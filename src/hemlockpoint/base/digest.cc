#include "hemlockpoint/base/digest.h"

#include <xxhash.h>

namespace hemlockpoint {

Fingerprint ComputeDigest(std::initializer_list<std::string_view> parts) {
  std::uint64_t digest = 0;
  for (const std::string_view part : parts) {
    // Chaining through the seed binds each part's length and position.
    digest =
        XXH3_64bits_withSeed(part.data(), part.size(), digest ^ part.size());
  }
  return Fingerprint(digest);
}

double HashToUnitInterval(const RequestId& root) {
  constexpr int kMantissaBits = 53;
  const std::uint64_t hash =
      XXH3_64bits(root.value().data(), root.value().size());
  return static_cast<double>(hash >> (64 - kMantissaBits)) /
         static_cast<double>(std::uint64_t{1} << kMantissaBits);
}

}  // namespace hemlockpoint
