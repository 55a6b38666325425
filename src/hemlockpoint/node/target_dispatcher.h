#ifndef HEMLOCKPOINT_NODE_TARGET_GATE_H_
#define HEMLOCKPOINT_NODE_TARGET_GATE_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/admission/admission.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/node/announcement.h"
#include "hemlockpoint/node/context.h"
#include "hemlockpoint/node/keyed_calls.h"

namespace hemlockpoint {

/// @brief Admits calls to the target beside the node, hands them over and
/// brings back the answers.
class TargetDispatcher {
 public:
  TargetDispatcher(NodeContext& core, KeyedCalls& keyed);
  ~TargetDispatcher();
  TargetDispatcher(const TargetDispatcher&) = delete;
  TargetDispatcher& operator=(const TargetDispatcher&) = delete;

  /// @brief Takes an announcement of the target.
  void Announce(const TargetAnnouncement& announcement);

  /// @brief Serves one call to its end; runs on a fiber of its own.
  void Serve(InboundCall call);

  /// @brief Moves limit and threshold and ends overdue calls; call every
  /// kTickPeriod.
  void Tick();

  /// @brief Refuses new calls from now on.
  void BeginLeaving();

  /// @return What other nodes are told of the target.
  [[nodiscard]] TargetSummary Summary() const;

  /// @brief Notes that calls of a kind cause child calls of another kind, so
  /// that the child's shedding threshold is told upwards.
  void RecordChildKind(const KindName& parent, const KindName& child);

  /// @brief Sets a function that is told which suspects changed at a crash.
  void SetSuspectsHandler(
      std::function<void(const std::vector<Fingerprint>&)> told) {
    m_suspects_handler = std::move(told);
  }

  /// @return Calls that have not ended.
  [[nodiscard]] std::size_t calls() const { return m_sessions.size(); }

  [[nodiscard]] const AdmissionState& admission() const { return m_admission; }
  [[nodiscard]] bool has_target() const { return m_pool != nullptr; }

  static constexpr Millis kTickPeriod{20};

 private:
  struct Session;

  std::optional<Refusal> CheckBeforeQueue(const InboundCall& call) const;
  void AdmitAndRun(Session& session);
  bool AwaitDispatch(Session& session);
  void Run(Session& session);
  bool ForwardRequest(Session& session);
  bool SendRequestBody(Session& session);
  void RelayAnswer(Session& session, const HttpResponseHead& head);
  static void AppendStoredBody(Session& session, const std::string& bytes);
  void EndWithoutResponse(Session& session);
  void Refuse(Session& session, Refusal refusal, const char* action);
  void ApplyDrops(const std::vector<DroppedCall>& dropped);
  void Pump();
  void OnConnectionLost();
  void ConfirmCrash();
  void ProbeAfterConnectionLoss();
  LoadReport Load(const KindName& kind) const;
  void CancelOverdue(Millis now);

  NodeContext& m_context;
  KeyedCalls& m_keyed;
  AdmissionState m_admission;
  std::optional<TargetAnnouncement> m_target;
  Millis m_last_announcement;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unordered_map<CallId, Session*> m_sessions;
  std::uint64_t m_last_session = 0;
  /// The target's process is gone, as far as its node can tell.
  bool m_lost = false;
  /// Calls in flight when a connection broke, until it is known whether the
  /// target crashed.
  std::vector<InFlightCall> m_loss;
  bool m_probing = false;
  std::unordered_map<KindName, std::set<KindName>> m_child_kinds;
  std::function<void(const std::vector<Fingerprint>&)> m_suspects_handler;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_TARGET_GATE_H_
