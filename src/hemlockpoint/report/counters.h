#ifndef HEMLOCKPOINT_REPORT_COUNTERS_H_
#define HEMLOCKPOINT_REPORT_COUNTERS_H_

#include <array>
#include <cstdint>

#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Event counts of one node since its start.
struct Counters {
  /// Root calls that entered at this node.
  std::uint64_t m_entry_calls = 0;
  /// Target responses relayed to the callers of this node.
  std::uint64_t m_entry_responses = 0;
  /// Nested calls made by the local target.
  std::uint64_t m_egress_calls = 0;
  /// Calls received for the local target.
  std::uint64_t m_target_calls = 0;
  /// Calls forwarded to the local target.
  std::uint64_t m_dispatched = 0;
  /// Further attempts of calls that reached a target.
  std::uint64_t m_retries = 0;
  /// Further attempts of calls that reached no target.
  std::uint64_t m_reroutes = 0;
  /// Refusals sent to callers and services, by reason.
  std::array<std::uint64_t, kReasonCount> m_refusals{};
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_COUNTERS_H_
