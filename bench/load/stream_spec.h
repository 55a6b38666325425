#ifndef HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_
#define HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief One stream of requests of a load run.
struct StreamSpec {
  std::string m_name = "load";
  std::vector<Endpoint> m_entries;
  std::string m_service;
  std::string m_method = "GET";
  std::string m_path = "/item";
  std::string m_caller;
  std::string m_token;
  double m_requests_per_second = 10;
  Millis m_start;
  Millis m_duration{1000};
  Millis m_deadline{1000};
  std::size_t m_body_bytes = 0;
  /// Resends of a failed request, at once and without waiting.
  unsigned m_resends = 0;
  /// Each request gets an Idempotency-Key of its own.
  bool m_keyed = false;
  /// Each request gets a path of its own.
  bool m_has_distinct_paths = true;
};

/// @brief Reads "name=a,entry=IP:PORT,service=s,rate=100,start=0,seconds=5".
/// @return The stream, or the first fault.
[[nodiscard]] Result<StreamSpec> ParseStreamSpec(std::string_view text);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_
