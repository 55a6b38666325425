#ifndef HEMLOCKPOINT_BASE_DIGEST_H_
#define HEMLOCKPOINT_BASE_DIGEST_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @return The XXH3 64-bit digest of the parts, each with its length, so that
/// moving a byte from one part to the next gives another digest.
[[nodiscard]] Fingerprint ComputeDigest(
    std::initializer_list<std::string_view> parts);

/// @brief Maps a root request to a number that every node computes alike.
/// @return A value in [0, 1), uniform over request ids.
[[nodiscard]] double HashToUnitInterval(const RequestId& root);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_DIGEST_H_
