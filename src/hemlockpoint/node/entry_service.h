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

/// @brief Takes calls of callers and of the service beside the node, chooses
/// a target for each, and owns deadline, repeats and the answer.
class EntryService {
 public:
  /// @param want_service Asks for the members of a service that this node
  /// does not know yet, and waits a moment for them.
  EntryService(NodeContext& core,
               TargetDispatcher& gate,
               std::function<void(const ServiceName&)> want_service);

  /// @brief Serves one request on its connection's fiber.
  void Serve(HttpExchange& exchange);

 private:
  struct Progress;

  std::optional<Refusal> Prepare(Progress& progress);
  std::optional<Refusal> InheritFromParent(EntryCall& call);
  std::optional<Refusal> Send(Progress& progress);
  std::optional<NodeId> NextTarget(Progress& progress);
  bool ChargeAttempt(Progress& progress);
  bool PlanNextAttempt(Progress& progress,
                       const NodeId& node,
                       const Refusal& refusal);
  static NextStep FollowRedirect(Progress& progress, const AttemptEnd& end);
  std::optional<Refusal> TryTarget(Progress& progress, const NodeId& node);
  Result<OutboundCall> Open(Progress& progress, const NodeId& node);
  CallStart MakeStart(const Progress& progress) const;
  std::optional<Refusal> AwaitResponse(Progress& progress, const NodeId& node);
  void StartBodyStreaming(Progress& progress);
  void StopBodyStreaming(Progress& progress);
  void RelayAnswer(Progress& progress);
  void Reject(Progress& progress, Refusal refusal, const std::string& detail);
  void RecordObjectiveResult(const Progress& progress, bool refused);
  void Note(const Progress& progress,
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
  std::function<void(const ServiceName&)> m_want_service;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ENTRY_SERVICE_H_
