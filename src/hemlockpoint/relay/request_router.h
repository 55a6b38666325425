#ifndef HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_
#define HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_

#include <memory>
#include <optional>
#include <vector>

#include "hemlockpoint/http/server.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/relay/slot_dispatcher.h"

namespace hemlockpoint {

/// @brief One request on its way through the entry, over all its attempts.
struct EntryCall {
  RequestMetadata m_terms;
  RequestHead m_head;
  std::string m_body;
  std::shared_ptr<const RouteTable> m_table;
  const Route* m_route = nullptr;
  ServiceName m_service;
  /// Tells a request that comes again: same caller, path and body.
  Fingerprint m_fingerprint;
  Millis m_arrival;
  Millis m_deadline;
  Millis m_objective;
  std::vector<NodeId> m_tried;
  /// Targets that the request was handed to, or may have been.
  std::size_t m_attempts = 0;
  bool m_any_unknown = false;
  bool m_caller_gone = false;
  /// Made by a target for a request that it works on.
  bool m_nested = false;
  /// Importance: the route's own, or that of the request for which a nested
  /// call is made. 0 is the most important.
  std::uint64_t m_rank = 0;
  /// Was refused here and has come back when it was told to.
  bool m_returning = false;
  /// Made by a run that was a repeat itself.
  bool m_is_retry_inherited = false;
  std::optional<OutboundCall> m_outbound;
};

/// @brief Takes requests of callers and of the target beside the node, finds
/// their route, chooses a target for each, and owns deadline, repeats and the
/// answer.
class RequestRouter {
 public:
  /// @param want_service Waits a moment for the members of a service that
  /// this node doesn't know yet.
  RequestRouter(RelayContext& core,
                SlotDispatcher& gate,
                std::function<void(const ServiceName&)> want_service);

  /// @brief Serves one request on its fiber.
  void Serve(HttpExchange& exchange);

 private:
  struct AttemptEnd {
    std::optional<AnswerStart> m_answer;
    std::optional<Refusal> m_refusal;
  };

  std::optional<Refusal> Prepare(EntryCall& call, HttpExchange& exchange);
  std::optional<Refusal> ReadWholeBody(EntryCall& call, HttpExchange& exchange);
  std::optional<Refusal> Send(EntryCall& call, HttpExchange& exchange);
  AttemptEnd TryTarget(EntryCall& call, const NodeId& node);
  Result<OutboundCall> Open(EntryCall& call, const NodeId& node);
  CallStart MakeStart(const EntryCall& call) const;
  std::optional<NodeId> NextTarget(const EntryCall& call);
  bool TryReserveRetry(EntryCall& call, const Refusal& refusal);
  RetryAllowance MakeRetryAllowance(const ServiceName& service) const;
  void RecordEnd(const EntryCall& call,
                 const NodeId& node,
                 const AttemptEnd& end,
                 Millis sent);
  void LogResponse(const EntryCall& call,
                   const NodeId& node,
                   const AttemptEnd& end) const;
  void RelayAnswer(EntryCall& call,
                   const AnswerStart& answer,
                   HttpExchange& exchange);
  void Reject(EntryCall& call, Refusal refusal, HttpExchange& exchange);

  RelayContext& m_context;
  SlotDispatcher& m_dispatcher;
  std::function<void(const ServiceName&)> m_want_service;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_
