#ifndef HEMLOCKPOINT_WIRE_CALL_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_CALL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Version of the protocol between the system's processes. Peers of
/// another version are refused.
inline constexpr std::uint64_t kProtocolVersion = 3;

/// @brief Bytes of one body chunk at most, so that chunks of large bodies
/// interleave with small messages.
inline constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024;

/// @brief Unread body bytes that a receiver grants a sender for each call.
inline constexpr std::size_t kBodyWindowBytes = std::size_t{256} * 1024;

/// @brief Binary content, encoded as a CBOR byte string.
struct Bytes {
  std::string m_data;
};

/// @brief One HTTP field.
struct HeaderField {
  std::string m_name;
  std::string m_value;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("n", self.m_name);
    visit("v", self.m_value);
  }
};

using HeaderFields = std::vector<HeaderField>;

/// @brief First message on each link, in both directions.
struct Hello {
  static constexpr const char* kType = "hello";
  std::uint64_t m_version = kProtocolVersion;
  std::string m_group;
  NodeId m_node;
  /// Distinguishes two lives of one node; grows with each start.
  std::uint64_t m_incarnation = 0;
  /// Messages between failure domains are compressed.
  std::string m_failure_domain;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("version", self.m_version);
    visit("group", self.m_group);
    visit("node", self.m_node);
    visit("incarnation", self.m_incarnation);
    visit("domain", self.m_failure_domain);
  }
};

/// @brief What an entry decided about a call, for every later hop.
struct CallMetadata {
  RequestId m_root;
  CallerName m_caller;
  /// Index of the priority class; 0 is served longest.
  std::uint64_t m_class = 0;
  /// Hops from the root request; 0 at the entry.
  std::uint64_t m_depth = 0;
  /// Attempts beyond the first that this call may still cause below it.
  std::uint64_t m_extra_attempts = 0;
  /// The call, or one above it, repeats an earlier attempt.
  bool m_repeat = false;
  bool m_idempotent = true;
  bool m_long = false;
  /// The request was refused and has come back when it was told to.
  bool m_returning = false;
  /// The request was in flight when a target crashed.
  bool m_suspect = false;
  std::string m_key;
  Fingerprint m_fingerprint;
  /// Time left until the deadline when the message was sent.
  Millis m_time_left;
  Revision m_revision;
  /// Name of the route that the call came by; empty under a policy document.
  std::string m_route;
  /// Time left until the latency objective when the message was sent; below 0
  /// when it has passed.
  Millis m_objective_left;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("i", self.m_root);
    visit("c", self.m_caller);
    visit("k", self.m_class);
    visit("d", self.m_depth);
    visit("x", self.m_extra_attempts);
    visit("rp", self.m_repeat);
    visit("id", self.m_idempotent);
    visit("l", self.m_long);
    visit("rt_", self.m_returning);
    visit("su", self.m_suspect);
    visit("ky", self.m_key);
    visit("f", self.m_fingerprint);
    visit("tl", self.m_time_left);
    visit("rv", self.m_revision);
    visit("rt", self.m_route);
    visit("ol", self.m_objective_left);
  }
};

/// @brief The start of a request, and all of it when the body is short.
struct RequestHead {
  ServiceName m_service;
  std::string m_method;
  /// Path and query.
  std::string m_path;
  HeaderFields m_headers;
  /// Length of the whole body where the caller stated it.
  std::optional<std::uint64_t> m_content_length;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_service);
    visit("m", self.m_method);
    visit("p", self.m_path);
    visit("h", self.m_headers);
    visit("n", self.m_content_length);
  }
};

/// @brief Opens a call on a link.
struct CallStart {
  static constexpr const char* kType = "call";
  CallId m_call;
  CallMetadata m_metadata;
  RequestHead m_request;
  Bytes m_body;
  /// No BodyChunk follows.
  bool m_complete = true;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("t_", self.m_metadata);
    visit("r", self.m_request);
    visit("body", self.m_body);
    visit("done", self.m_complete);
  }
};

/// @brief A further piece of a request's or an answer's body.
struct BodyChunk {
  static constexpr const char* kType = "body";
  CallId m_call;
  Bytes m_body;
  bool m_complete = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("body", self.m_body);
    visit("done", self.m_complete);
  }
};

/// @brief Lets the sender of a body send this many bytes more.
struct BodyCredit {
  static constexpr const char* kType = "credit";
  CallId m_call;
  std::uint64_t m_bytes = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("bytes", self.m_bytes);
  }
};

/// @brief Load of a target as its node measures it, told with each answer.
struct LoadReport {
  std::uint64_t m_in_flight = 0;
  std::uint64_t m_queued = 0;
  double m_limit = 0;
  /// Ranks above this value are refused for the answered kind of work, here
  /// or at a service below.
  double m_threshold = 0;
  bool m_leaving = false;
  /// Mean time that the target takes for one call.
  Millis m_service_time;
  /// Wait for a slot over the time in it, here or at the services below,
  /// whichever is the longest.
  double m_congestion = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("b", self.m_in_flight);
    visit("q", self.m_queued);
    visit("m", self.m_limit);
    visit("v", self.m_threshold);
    visit("l", self.m_leaving);
    visit("st", self.m_service_time);
    visit("c", self.m_congestion);
  }
};

/// @brief The start of an answer, and all of it when the body is short.
struct ResponseStart {
  static constexpr const char* kType = "answer";
  CallId m_call;
  /// HTTP status of the target's answer; meaningless with a refusal.
  std::uint64_t m_status = 0;
  HeaderFields m_headers;
  std::optional<Refusal> m_refusal;
  /// Extra attempts spent below, out of CallMetadata::m_extra_attempts.
  std::uint64_t m_spent = 0;
  LoadReport m_load;
  /// Node that runs, or has run, the call with the same idempotency key.
  NodeId m_redirect;
  /// The answer is that of an earlier call with the same idempotency key.
  bool m_is_replayed = false;
  Bytes m_body;
  bool m_complete = true;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("rd", self.m_redirect);
    visit("ry", self.m_is_replayed);
    visit("st", self.m_status);
    visit("h", self.m_headers);
    visit("refusal", self.m_refusal);
    visit("sp", self.m_spent);
    visit("ld", self.m_load);
    visit("body", self.m_body);
    visit("done", self.m_complete);
  }
};

/// @brief Ends a call early: the caller's side cancels it, or the target's
/// side cuts an answer whose head was sent already.
struct CallAbort {
  static constexpr const char* kType = "abort";
  CallId m_call;
  std::string m_reason;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("reason", self.m_reason);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_CALL_MESSAGES_H_
