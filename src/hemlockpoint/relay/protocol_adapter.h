#ifndef HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_
#define HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_

#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/control/document_keeper.h"
#include "hemlockpoint/http/heads.h"
#include "hemlockpoint/node/admin_service.h"
#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/relay/target_report.h"

namespace hemlockpoint {

/// @brief What a caller says of a request beside its method and path.
struct RequestMetadata {
  RequestId m_id;
  /// The request for which a target makes this call; empty for a request of a
  /// caller, or when the call doesn't say.
  RequestId m_parent;
  std::string m_host;
  /// How long the caller will wait; nothing when it doesn't say.
  std::optional<Millis> m_time_left;
};

/// @brief What a target is told of a request.
struct DispatchMetadata {
  Millis m_time_left;
  /// The only incarnation that may run the request.
  std::string m_instance;
  /// Service beside the node where the request entered.
  ServiceName m_caller;
};

/// @brief A target's own measure of its load.
struct TargetLoad {
  std::uint64_t m_running = 0;
  std::uint64_t m_waiting = 0;
  std::uint64_t m_slots = 0;
  /// Time that work takes now over its usual time.
  double m_slowdown = 1;
};

/// @brief What the head of a target's answer says.
struct ResponseMetadata {
  /// It answers another request than the one that was sent.
  bool m_is_for_other_request = false;
  /// The target states that it has not run the request.
  bool m_not_run = false;
  /// Another incarnation than the expected one is at the address.
  bool m_is_other_incarnation = false;
  std::optional<TargetLoad> m_load;
  /// Incarnation that answers; in health checks only.
  std::string m_instance;
};

/// @brief What the outside can ask of a node or a control host.
struct ExternalOperations {
  std::function<void(const TargetReport&)> m_report;
  std::function<void(const TargetWithdrawal&)> m_withdraw;
  std::function<DocumentAnswer(DocumentChange)> m_change_document;
  std::function<DocumentAnswer()> m_read_document;
};

/// @brief How callers, targets and operators write what the system needs to
/// know. Functions without state.
struct ProtocolAdapter {
  RequestMetadata (*m_read_request_metadata)(const HttpRequestHead& head);
  /// Adds a request's terms to the fields that a target gets.
  void (*m_write_dispatch_metadata)(HeaderFields& fields,
                                    const DispatchMetadata& terms);
  ResponseMetadata (*m_read_response_metadata)(const HttpResponseHead& head,
                                               const RequestId& request);
  /// Makes the response to a call that has no answer of a target.
  HttpResponseHead (*m_write_refusal)(const Refusal& refusal,
                                      const RequestId& request);
  Result<RouteDocument> (*m_read_document)(const std::string& text);
  /// Serves a call at the listener for the outside.
  AdminResponse (*m_serve_external)(const AdminRequest& request,
                                    const ExternalOperations& operations);
  /// Serves a question after readiness.
  AdminResponse (*m_serve_readiness)(const AdminRequest& request, bool ready);
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_PROTOCOL_ADAPTER_H_
