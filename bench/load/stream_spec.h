#ifndef HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_
#define HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief One stream of requests: where and what it sends, and how often.
struct StreamSpec {
  std::string m_name = "load";
  /// HTTP listeners of the entry nodes, used in turn.
  std::vector<Endpoint> m_entries;
  std::string m_service;
  std::string m_method = "GET";
  std::string m_path = "/item";
  /// Value of Hemlock-Caller, and the bearer token that proves it; each may be
  /// empty.
  std::string m_caller;
  std::string m_token;
  /// Mean rate.
  double m_requests_per_second = 10;
  /// Start of the stream after the start of the run.
  Millis m_start_offset;
  Millis m_duration{1000};
  Millis m_deadline{1000};
  std::size_t m_body_bytes = 0;
  /// Resends of each failed request, without a delay.
  unsigned m_max_resends = 0;
  /// Sends each request with an Idempotency-Key of its own.
  bool m_has_idempotency_keys = false;
  /// Gives each request a path of its own, by a number in the query.
  bool m_has_distinct_paths = true;
};

/// @brief Parses "name=a,entry=IP:PORT,service=s,rate=100,start=0,seconds=5".
/// @return The stream, or a description of the first error.
[[nodiscard]] Result<StreamSpec> ParseStreamSpec(std::string_view text);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BENCH_LOAD_STREAM_SPEC_H_
