#ifndef HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_
#define HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_

#include <memory>
#include <optional>
#include <vector>

#include "hemlockpoint/http/server.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/relay/slot_dispatcher.h"

namespace hemlockpoint {

/// @brief State of one request in the router, over all its attempts.
struct RoutedCall {
  RequestMetadata m_metadata;
  RequestHead m_head;
  std::string m_body;
  std::shared_ptr<const RouteTable> m_route_table;
  const Route* m_route = nullptr;
  ServiceName m_service;
  /// Digest of method, host, path, body and calling service. Equal for a
  /// request that is sent again.
  Fingerprint m_fingerprint;
  Millis m_arrival;
  Millis m_deadline;
  Millis m_objective;
  std::vector<NodeId> m_tried_nodes;
  /// Attempts in which the request reached a target or may have reached one.
  std::size_t m_attempts = 0;
  /// Whether an attempt ended without knowing if the target ran the request.
  bool m_may_have_run = false;
  bool m_has_caller_left = false;
  /// The request was sent by a target while processing another request.
  bool m_nested = false;
  /// Rank of importance; 0 is the most important. A nested call takes the rank
  /// of the request that caused it, any other request the rank of its route.
  std::uint64_t m_rank = 0;
  /// The request was refused here before and returns after the Retry-After
  /// delay that it was given.
  bool m_returning = false;
  /// The request that caused this nested call was itself a retry.
  bool m_is_retry_inherited = false;
  /// The next attempt is already charged to the retry window.
  bool m_is_retry_reserved = false;
  /// The call ended with a server error or was refused for lack of capacity.
  bool m_has_failed_under_load = false;
  /// The call of the current attempt.
  std::optional<OutboundCall> m_outbound;
};

/// @brief Receives requests from callers and from the target beside the node.
/// Finds the route, chooses a target for each attempt, enforces deadline and
/// retry limits, and returns the response.
class RequestRouter {
 public:
  /// @param await_members Waits for a limited time until the members of a
  /// service are known to this node.
  RequestRouter(RelayContext& context,
                SlotDispatcher& dispatcher,
                std::function<void(const ServiceName&)> await_members);

  /// @brief Serves one request. Runs on the fiber of that request.
  void Serve(HttpExchange& exchange);

 private:
  /// A response or a refusal; exactly one is set.
  struct AttemptResult {
    std::optional<ResponseStart> m_response;
    std::optional<Refusal> m_refusal;
  };

  std::optional<Refusal> Prepare(RoutedCall& call, HttpExchange& exchange);
  Millis FindDeadline(const RoutedCall& call, const Route* route) const;
  std::optional<Refusal> ReadWholeBody(RoutedCall& call,
                                       HttpExchange& exchange,
                                       Millis until);
  std::optional<Refusal> CheckBodyMemory(std::uint64_t bytes) const;
  static std::optional<Refusal> HandleBodyError(RoutedCall& call,
                                                const HttpExchange& exchange);
  std::optional<Refusal> CheckTimeUntilStop(const RoutedCall& call) const;
  std::optional<Refusal> RunAttempts(RoutedCall& call, HttpExchange& exchange);
  AttemptResult TryTarget(RoutedCall& call, const NodeId& node);
  /// @brief Waits for the response of an attempt.
  /// @return The response; nullopt if there is none, or if the target's node is
  /// silent and the call is to be sent to another one.
  std::optional<ResponseStart> AwaitResponse(RoutedCall& call,
                                             const NodeId& node);
  bool TryReserveRetryElsewhere(RoutedCall& call, const NodeId& node);
  Result<OutboundCall> OpenCall(RoutedCall& call, const NodeId& node);
  CallStart MakeCallStart(const RoutedCall& call) const;
  std::optional<NodeId> ChooseTarget(const RoutedCall& call);
  bool TryReserveRetry(RoutedCall& call, const Refusal& refusal);
  RetryAllowance MakeRetryAllowance(const ServiceName& service) const;
  void RecordAttempt(const RoutedCall& call,
                     const NodeId& node,
                     const AttemptResult& result,
                     Millis sent_at);
  void LogResponse(const RoutedCall& call,
                   const NodeId& node,
                   const AttemptResult& result) const;
  void RelayResponse(RoutedCall& call,
                     const ResponseStart& response,
                     HttpExchange& exchange);
  void Reject(RoutedCall& call, Refusal refusal, HttpExchange& exchange);

  RelayContext& m_context;
  SlotDispatcher& m_dispatcher;
  std::function<void(const ServiceName&)> m_await_members;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_REQUEST_ROUTER_H_
