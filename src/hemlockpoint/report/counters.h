#ifndef HEMLOCKPOINT_REPORT_COUNTERS_H_
#define HEMLOCKPOINT_REPORT_COUNTERS_H_

#include <array>
#include <cstdint>

#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Events of one node since its start.
struct Counters {
  std::uint64_t m_entry_calls = 0;
  std::uint64_t m_entry_responses = 0;
  std::uint64_t m_egress_calls = 0;
  std::uint64_t m_target_calls = 0;
  std::uint64_t m_dispatched = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_reroutes = 0;
  /// Refusals told to callers and services, by reason.
  std::array<std::uint64_t, kReasonCount> m_refusals{};
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_COUNTERS_H_
