#ifndef HEMLOCKPOINT_NODE_ENTRY_SERVICE_H_
#define HEMLOCKPOINT_NODE_ENTRY_SERVICE_H_

#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/http/server.h"
#include "hemlockpoint/node/context.h"
#include "hemlockpoint/node/target_dispatcher.h"
#include "hemlockpoint/retry/next_step.h"

namespace hemlockpoint {

/// @brief Serves calls from callers and from the target beside the node.
/// Chooses the targets of each call, enforces its deadline, retries it and
/// relays the response.
class EntryService {
 public:
  /// @param await_service_members Requests the members of a service that this
  /// node does not know yet and waits for them for a short time.
  EntryService(NodeContext& context,
               TargetDispatcher& dispatcher,
               std::function<void(const ServiceName&)> await_service_members);

  /// @brief Serves one request on the calling fiber, which is that of its
  /// connection.
  void Serve(HttpExchange& exchange);

 private:
  struct Progress;

  std::optional<Refusal> PrepareCall(Progress& progress);
  std::optional<Refusal> InheritFromParent(EntryCall& call);
  std::optional<Refusal> RunAttempts(Progress& progress);
  std::optional<NodeId> NextTarget(Progress& progress);
  bool ChargeAttempt(Progress& progress);
  bool PlanNextAttempt(Progress& progress,
                       const NodeId& node,
                       const Refusal& refusal);
  static NextStep FollowRedirect(Progress& progress, const AttemptEnd& end);
  std::optional<Refusal> TryTarget(Progress& progress, const NodeId& node);
  Result<OutboundCall> OpenCall(Progress& progress, const NodeId& node);
  CallStart MakeStart(const Progress& progress) const;
  std::optional<Refusal> AwaitResponse(Progress& progress, const NodeId& node);
  void StartBodyStreaming(Progress& progress);
  void StopBodyStreaming(Progress& progress);
  void RelayResponse(Progress& progress);
  void Reject(Progress& progress, Refusal refusal, const std::string& detail);
  void RecordObjectiveResult(const Progress& progress, bool refused);
  void RecordDecision(const Progress& progress,
                      const NodeId& target,
                      const Refusal& refusal,
                      const char* action);
  void RecordAttempt(Progress& progress,
                     const NodeId& node,
                     const std::optional<Refusal>& refusal,
                     Millis sent);
  void RecordForThrottle(const EntryCall& call,
                         const std::optional<Refusal>& refusal,
                         Millis now);
  RetryBudget& BudgetOf(Progress& progress);

  NodeContext& m_context;
  TargetDispatcher& m_dispatcher;
  std::function<void(const ServiceName&)> m_await_service_members;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ENTRY_SERVICE_H_
