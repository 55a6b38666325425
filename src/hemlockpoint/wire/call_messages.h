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

/// @brief Version of the peer protocol. A link to a peer of another version is
/// closed.
inline constexpr std::uint64_t kProtocolVersion = 3;

/// @brief Maximum size of one body chunk in bytes. It lets small messages
/// interleave with the chunks of large bodies.
inline constexpr std::size_t kMaxChunkBytes = std::size_t{64} * 1024;

/// @brief Flow control window of one body in bytes: the unread bytes that a
/// receiver allows its sender.
inline constexpr std::size_t kBodyWindowBytes = std::size_t{256} * 1024;

/// @brief Binary data, encoded as a CBOR byte string.
struct Bytes {
  std::string m_data;
};

/// @brief One HTTP header field.
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

/// @brief First message on each link, in both directions. The handshake of a
/// link is complete at a process that has received it.
struct Hello {
  static constexpr const char* kType = "hello";
  std::uint64_t m_version = kProtocolVersion;
  /// Group name from the settings. A link to a peer of another group is closed.
  std::string m_group;
  NodeId m_node;
  /// Increases with each start of the node.
  std::uint64_t m_incarnation = 0;
  /// Messages to a peer in another failure domain are compressed.
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

/// @brief Metadata of a call that the entry node sets for all later hops.
struct CallMetadata {
  /// Id of the root request of the call tree.
  RequestId m_root;
  CallerName m_caller;
  /// Index of the priority class; class 0 is shed last.
  std::uint64_t m_class = 0;
  /// Hops from the root request; 0 at the entry.
  std::uint64_t m_depth = 0;
  /// Remaining attempts beyond the first, in this call and all calls nested
  /// in it.
  std::uint64_t m_extra_attempts = 0;
  /// The call or one of its ancestors is a retry.
  bool m_is_retry = false;
  bool m_idempotent = true;
  /// The call belongs to the long kind of work.
  bool m_long = false;
  /// The request was refused earlier and is retried at the time that the
  /// refusal stated.
  bool m_returning = false;
  /// The request has a valid entry in the entry node's quarantine table: it was
  /// in flight when a target crashed.
  bool m_suspect = false;
  /// Idempotency key; empty for none.
  std::string m_key;
  Fingerprint m_fingerprint;
  /// Time until the deadline, as of sending.
  Millis m_time_left;
  /// Revision of the policy document.
  Revision m_revision;
  /// Name of the matching route; empty under a policy document.
  std::string m_route;
  /// Time until the latency objective, as of sending; negative once the
  /// objective has passed.
  Millis m_objective_left;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("i", self.m_root);
    visit("c", self.m_caller);
    visit("k", self.m_class);
    visit("d", self.m_depth);
    visit("x", self.m_extra_attempts);
    visit("rp", self.m_is_retry);
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

/// @brief An HTTP request without its body.
struct RequestHead {
  ServiceName m_service;
  std::string m_method;
  /// Path and query.
  std::string m_path;
  HeaderFields m_headers;
  /// Length of the whole body in bytes, if the caller stated it.
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

/// @brief Opens a call on a link. Carries the first bytes of the request's
/// body; BodyChunk messages carry further ones.
struct CallStart {
  static constexpr const char* kType = "call";
  CallId m_call;
  CallMetadata m_metadata;
  RequestHead m_request;
  Bytes m_body;
  /// The message ends the body; no BodyChunk follows.
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

/// @brief Further bytes of a request's or a response's body.
struct BodyChunk {
  static constexpr const char* kType = "body";
  CallId m_call;
  Bytes m_body;
  /// The chunk is the last one of the body.
  bool m_complete = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("call", self.m_call);
    visit("body", self.m_body);
    visit("done", self.m_complete);
  }
};

/// @brief Flow control: allows the sender of a body to send further bytes.
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

/// @brief Load of a target as its node measures it. Sent with each response.
struct LoadReport {
  /// Calls that the target is serving.
  std::uint64_t m_in_flight = 0;
  /// Calls that wait for a slot.
  std::uint64_t m_queued = 0;
  /// Limit on the calls in flight.
  double m_limit = 0;
  /// Shed threshold for the kind of work of the call: ranks above it are
  /// refused by this target or by a service that it calls.
  double m_threshold = 0;
  /// The target accepts no new calls, because it or its node is leaving.
  bool m_leaving = false;
  /// Mean time in which the target serves one call.
  Millis m_service_time;
  /// Ratio of the wait for a slot to the time in the slot: the maximum over
  /// this target and the services that it calls.
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

/// @brief Head of a response and the first bytes of its body. BodyChunk
/// messages carry further ones.
struct ResponseStart {
  static constexpr const char* kType = "answer";
  CallId m_call;
  /// HTTP status of the target's response; meaningless with a refusal.
  std::uint64_t m_status = 0;
  HeaderFields m_headers;
  /// Set if the call was refused.
  std::optional<Refusal> m_refusal;
  /// Extra attempts that nested calls used, out of
  /// CallMetadata::m_extra_attempts.
  std::uint64_t m_spent = 0;
  LoadReport m_load;
  /// Node that runs, or has run, the call with the same idempotency key;
  /// empty for none.
  NodeId m_redirect;
  /// The response was stored for an earlier call with the same idempotency
  /// key.
  bool m_is_replayed = false;
  Bytes m_body;
  /// The message ends the body; no BodyChunk follows.
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

/// @brief Ends a call early. The entry side cancels the call with it; the
/// target side aborts a response whose head is already sent.
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
