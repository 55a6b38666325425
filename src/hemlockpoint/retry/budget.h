#ifndef HEMLOCKPOINT_RETRY_BUDGET_H_
#define HEMLOCKPOINT_RETRY_BUDGET_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @brief Token bucket that bounds the retries of one hop to a share of its
/// first attempts. A retry costs one token.
struct RetryTokenBucket {
  double m_tokens = 1;
};

/// @brief Capacity of a bucket, which is the maximum burst of retries.
inline constexpr double kMaxRetryTokens = 10;

/// @brief Adds tokens for a first attempt.
/// @param ratio Retries allowed per first attempt.
void AddRetryTokens(RetryTokenBucket& bucket, double ratio);

/// @brief Takes one token.
/// @return Whether there was one.
[[nodiscard]] bool TakeRetryToken(RetryTokenBucket& bucket);

/// @brief Number of distinct child calls that one call may make. Further ones
/// are treated as retries.
inline constexpr std::size_t kMaxChildren = 256;

/// @brief Attempts beyond the first ones (extra attempts) that one call may
/// cause, itself or through its child calls.
///
/// A call grants part of its budget to each child call and gets the unused part
/// back when the child ends. So all extra attempts that a root request causes
/// at any depth stay within the budget of the root request.
struct RetryBudget {
  std::uint64_t m_attempts_left = 0;
  /// Extra attempts that the call has caused, including those of its children.
  std::uint64_t m_spent = 0;
  /// The call or one of its ancestors is a retry, so its children may not be
  /// retried.
  bool m_is_retry = false;
  /// Number of attempts by fingerprint of the child call.
  std::unordered_map<Fingerprint, std::uint64_t> m_child_attempts;
};

/// @brief Part of a call's budget that is granted to an attempt of a child
/// call.
struct ChildGrant {
  std::uint64_t m_extra_attempts = 0;
  /// The attempt, or an ancestor of it, is a retry.
  bool m_is_retry = false;
};

/// @brief Charges an attempt of a child call. Retries by the node and by the
/// service itself are charged alike.
/// @param bucket The bucket of this hop for the service of the child call.
/// @param ratio Retries allowed per first attempt.
/// @return The grant of the attempt, or nothing if the budget or the bucket
/// doesn't allow it.
[[nodiscard]] std::optional<ChildGrant> ChargeChildAttempt(
    RetryBudget& budget,
    RetryTokenBucket& bucket,
    Fingerprint child,
    double ratio);

/// @brief Renews the grant of an attempt that reached no target, after the
/// grant was settled.
[[nodiscard]] ChildGrant RenewChildGrant(RetryBudget& budget,
                                         const ChildGrant& grant);

/// @brief Returns the unused part of a grant to the budget.
/// @param spent Extra attempts that the child call caused.
void SettleChildGrant(RetryBudget& budget,
                      const ChildGrant& grant,
                      std::uint64_t spent);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_BUDGET_H_
