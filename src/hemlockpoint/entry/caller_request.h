#ifndef HEMLOCKPOINT_ENTRY_CALLER_REQUEST_H_
#define HEMLOCKPOINT_ENTRY_CALLER_REQUEST_H_

#include <optional>
#include <string>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/http/heads.h"

namespace hemlockpoint {

/// @brief Names of the header fields exchanged with callers and targets; see
/// docs/interfaces.md.
namespace field {
inline constexpr const char* kService = "Hemlock-Service";
inline constexpr const char* kCaller = "Hemlock-Caller";
inline constexpr const char* kDeadline = "Hemlock-Deadline-Ms";
inline constexpr const char* kCallId = "Hemlock-Call-Id";
inline constexpr const char* kRequestId = "Hemlock-Request-Id";
inline constexpr const char* kOutcome = "Hemlock-Outcome";
inline constexpr const char* kDecidedBy = "Hemlock-Decided-By";
inline constexpr const char* kReason = "Hemlock-Reason";
inline constexpr const char* kAttempts = "Hemlock-Attempts";
inline constexpr const char* kReplayed = "Hemlock-Replayed";
inline constexpr const char* kPrefix = "Hemlock-";
inline constexpr const char* kIdempotencyKey = "Idempotency-Key";
inline constexpr const char* kAuthorization = "Authorization";
inline constexpr const char* kRetryAfter = "Retry-After";
}  // namespace field

inline constexpr std::size_t kMaxKeyBytes = 128;
inline constexpr std::size_t kMaxServiceBytes = 64;
inline constexpr std::size_t kMaxPathBytes = std::size_t{8} * 1024;

/// @brief Contents of a request from a caller, or from a target that makes a
/// nested call.
struct CallerRequest {
  ServiceName m_service;
  std::string m_method;
  /// Path and query.
  std::string m_path;
  /// Caller name; empty if not given.
  std::string m_caller;
  /// Bearer token; empty if not given.
  std::string m_token;
  /// Time until the deadline; empty if not given.
  std::optional<Millis> m_time_left;
  /// Idempotency key; empty if not given.
  std::string m_key;
  /// Id of the call that the target was processing when it sent this one; empty
  /// for a root request.
  std::string m_parent;
  /// Header fields to forward to the target.
  HeaderFields m_headers;
  std::optional<std::uint64_t> m_content_length;
};

/// @brief Parses the head of a request.
/// @return The request, or a description of the first error.
[[nodiscard]] Result<CallerRequest> ParseCallerRequest(
    const HttpRequestHead& head);

/// @return The path without its query.
[[nodiscard]] std::string_view PathOnly(std::string_view path);

/// @return The kind of work, named by service, method and first path segment.
[[nodiscard]] KindName KindOf(const ServiceName& service,
                              std::string_view method,
                              std::string_view path);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_CALLER_REQUEST_H_
