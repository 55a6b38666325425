#include "hemlockpoint/base/digest.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Digest, BindsTheBoundaryBetweenParts) {
  EXPECT_NE(DigestOf({"ab", "c"}), DigestOf({"a", "bc"}));
  EXPECT_NE(DigestOf({"ab", ""}), DigestOf({"ab"}));
}

RC_GTEST_PROP(Digest, RootFractionIsInRange, (const std::string& id)) {
  const double fraction = RootFraction(RequestId(id));
  RC_ASSERT(fraction >= 0 && fraction < 1);
}

}  // namespace
}  // namespace hemlockpoint
