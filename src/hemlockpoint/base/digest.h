#ifndef HEMLOCKPOINT_BASE_DIGEST_H_
#define HEMLOCKPOINT_BASE_DIGEST_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @brief Computes the XXH3 64-bit digest of a sequence of parts.
///
/// The length of each part is included, so moving a byte across the boundary
/// of two parts changes the digest.
[[nodiscard]] Fingerprint ComputeDigest(
    std::initializer_list<std::string_view> parts);

/// @brief Hashes the id of a root request to a number; all nodes compute the
/// same number for the same id.
/// @return A value in [0, 1), uniformly distributed over request ids.
[[nodiscard]] double HashToUnitInterval(const RequestId& request_id);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_DIGEST_H_
