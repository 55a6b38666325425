#include "hemlockpoint/base/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Digest, DependsOnPartBoundaries) {
  EXPECT_NE(ComputeDigest({"ab", "c"}), ComputeDigest({"a", "bc"}));
  EXPECT_NE(ComputeDigest({"ab", ""}), ComputeDigest({"ab"}));
}

RC_GTEST_PROP(Digest, UnitIntervalHashIsInRange, (const std::string& id)) {
  const double fraction = HashToUnitInterval(RequestId(id));
  RC_ASSERT(fraction >= 0 && fraction < 1);
}

}  // namespace
}  // namespace hemlockpoint
