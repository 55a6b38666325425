#ifndef HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_
#define HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_

#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/control/document_service.h"
#include "hemlockpoint/http/heads.h"
#include "hemlockpoint/node/admin_service.h"
#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/relay/target_report.h"

namespace hemlockpoint {

/// @brief Metadata of a request as its caller sent it.
struct RequestMetadata {
  RequestId m_id;
  /// The request that the calling target is processing. Empty when the caller
  /// is not a target, or does not name its request.
  RequestId m_parent;
  std::string m_host;
  /// Time until the caller's deadline; empty when it sent none.
  std::optional<Millis> m_time_left;
};

/// @brief Metadata that a node adds to a request for its target.
struct DispatchMetadata {
  /// Time until the deadline.
  Millis m_time_left;
  /// The only target incarnation that may run the request.
  std::string m_instance;
  /// Service whose node received the request.
  ServiceName m_caller;
};

/// @brief Load as reported by the target itself.
struct TargetLoad {
  std::uint64_t m_running = 0;
  std::uint64_t m_waiting = 0;
  std::uint64_t m_slots = 0;
  /// Current service time divided by the usual one.
  double m_slowdown = 1;
};

/// @brief Metadata read from the head of a target's response.
struct ResponseMetadata {
  /// The response belongs to a request other than the one that was sent.
  bool m_is_for_other_request = false;
  /// The response names no request. On a reused connection it may be a late
  /// one to an earlier request.
  bool m_is_unidentified = false;
  /// The target states that it did not run the request.
  bool m_not_run = false;
  /// An incarnation other than the expected one runs at the endpoint.
  bool m_is_other_incarnation = false;
  std::optional<TargetLoad> m_load;
  /// Responding incarnation; set for health checks only.
  std::string m_instance;
};

/// @brief Operations that targets and operators can request from this process
/// through the external listener. Operations of a role that the process does
/// not have are empty.
struct ExternalOperations {
  /// Returns whether the report may be acknowledged.
  std::function<bool(const TargetReport&)> m_report;
  /// Returns whether the withdrawal may be acknowledged.
  std::function<bool(const TargetWithdrawal&)> m_withdraw;
  std::function<DocumentOutcome(DocumentChange)> m_change_document;
  std::function<DocumentOutcome()> m_read_document;
};

/// @brief Translates between the protocol of callers, targets and operators and
/// the types of this library. The functions are stateless.
struct ProtocolAdapter {
  RequestMetadata (*m_read_request_metadata)(const HttpRequestHead& head);
  /// Adds the metadata to the header fields sent to a target.
  void (*m_write_dispatch_metadata)(HeaderFields& fields,
                                    const DispatchMetadata& terms);
  ResponseMetadata (*m_read_response_metadata)(const HttpResponseHead& head,
                                               const RequestId& request);
  /// Builds the response head for a call that ends without a response from a
  /// target.
  HttpResponseHead (*m_write_refusal)(const Refusal& refusal,
                                      const RequestId& request);
  Result<RouteDocument> (*m_read_document)(const std::string& text);
  /// Serves a request at the external listener.
  AdminResponse (*m_serve_external)(const AdminRequest& request,
                                    const ExternalOperations& operations);
  /// Serves a readiness check.
  AdminResponse (*m_serve_readiness)(const AdminRequest& request,
                                     bool is_ready);
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_
