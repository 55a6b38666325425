#ifndef HEMLOCKPOINT_RETRY_BUDGET_H_
#define HEMLOCKPOINT_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @brief Repeats that a hop may add, as a share of its first attempts.
struct RetryTokenBucket {
  double m_tokens = 1;
};

/// @brief Tokens that a bucket holds at most: the repeats that a quiet hop may
/// add at once.
inline constexpr double kMaxRetryTokens = 10;

/// @brief Earns a share of a repeat for a first attempt.
void AddRetryTokens(RetryTokenBucket& bucket, double ratio);

/// @brief Takes one repeat.
/// @return Whether there was one.
[[nodiscard]] bool TakeRetryToken(RetryTokenBucket& bucket);

/// @brief Different child calls that one call may make; more are treated as
/// repeats.
inline constexpr std::size_t kMaxChildren = 256;

/// @brief Extra attempts that one call may still cause, and what it did.
///
/// The root's budget is lent down the chain: what a child gets is taken from
/// its parent until the child's answer returns what it left. So the attempts
/// that one root request causes anywhere stay within the root's budget.
struct RetryBudget {
  std::uint64_t m_attempts_left = 0;
  std::uint64_t m_spent = 0;
  /// The call, or one above it, is itself a repeat: it may not repeat again.
  bool m_repeat = false;
  /// Attempts by child call.
  std::unordered_map<Fingerprint, std::uint64_t> m_children;
};

/// @brief What a child call is sent with.
struct ChildGrant {
  std::uint64_t m_extra_attempts = 0;
  bool m_repeat = false;
};

/// @brief Charges one attempt of a child call, whether the node repeats it or
/// the service does.
/// @param bucket The hop's bucket for the child's service.
/// @return What the attempt may cause below, or nothing when the budget or
/// the bucket doesn't allow it.
[[nodiscard]] std::optional<ChildGrant> ChargeChildAttempt(
    RetryBudget& budget,
    RetryTokenBucket& bucket,
    Fingerprint child,
    double ratio);

/// @brief Grants the same attempt again, after it was settled without having
/// reached any target.
[[nodiscard]] ChildGrant RenewChildGrant(RetryBudget& budget,
                                         const ChildGrant& grant);

/// @brief Takes back what a child call has left of its grant.
/// @param spent Extra attempts that the child caused below.
void SettleChildGrant(RetryBudget& budget,
                      const ChildGrant& grant,
                      std::uint64_t spent);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_BUDGET_H_
