#ifndef HEMLOCKPOINT_NODE_TARGET_DISPATCHER_H_
#define HEMLOCKPOINT_NODE_TARGET_DISPATCHER_H_

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

/// @brief Admits calls to the target beside the node, forwards them to it and
/// relays the responses.
class TargetDispatcher {
 public:
  TargetDispatcher(NodeContext& context, KeyedCalls& keyed_calls);
  ~TargetDispatcher();
  TargetDispatcher(const TargetDispatcher&) = delete;
  TargetDispatcher& operator=(const TargetDispatcher&) = delete;

  /// @brief Applies an announcement of the target.
  void Announce(const TargetAnnouncement& announcement);

  /// @brief Starts a fiber that serves a call. Refuses the call if there is no
  /// memory for a stack.
  void Accept(InboundCall call);

  /// @brief Serves one call until it ends. Suspends the calling fiber.
  void Serve(InboundCall call);

  /// @brief Updates the concurrency limit and the shedding threshold, and ends
  /// overdue calls. Call it every kTickPeriod.
  void Tick();

  /// @brief Drops all queued calls and refuses new calls from now on.
  void BeginLeaving();

  /// @return The description of the target that other nodes get.
  [[nodiscard]] TargetSummary Summary() const;

  /// @brief Records that calls of one kind cause child calls of another kind.
  /// Load reports for the parent kind then include the shedding threshold of
  /// the child kind.
  void RecordChildKind(const KindName& parent, const KindName& child);

  /// @brief Sets the function to call with the suspects that a crash of the
  /// target has changed.
  void SetSuspectsHandler(
      std::function<void(const std::vector<Fingerprint>&)> handler) {
    m_suspects_handler = std::move(handler);
  }

  /// @return Number of calls that have not ended.
  [[nodiscard]] std::size_t calls() const { return m_sessions.size(); }

  [[nodiscard]] const AdmissionState& admission() const { return m_admission; }
  [[nodiscard]] bool has_target() const { return m_pool != nullptr; }

  static constexpr Millis kTickPeriod{20};

 private:
  struct Session;

  std::optional<Refusal> CheckBeforeQueue(const InboundCall& call) const;
  void AdmitAndRun(Session& session);
  bool AwaitDispatch(Session& session);
  void RunCall(Session& session);
  bool ForwardRequest(Session& session);
  bool SendRequestBody(Session& session);
  void RelayResponse(Session& session, const HttpResponseHead& head);
  static void AppendStoredBody(Session& session, const std::string& bytes);
  void EndWithoutResponse(Session& session);
  void Refuse(Session& session, Refusal refusal, const char* action);
  void ApplyDrops(const std::vector<DroppedCall>& dropped);
  void DispatchReadyCalls();
  void OnConnectionLost();
  void ConfirmCrash();
  void ProbeAfterConnectionLoss();
  LoadReport MakeLoadReport(const KindName& kind) const;
  void CancelOverdue(Millis now);

  NodeContext& m_context;
  KeyedCalls& m_keyed_calls;
  AdmissionState m_admission;
  std::optional<TargetAnnouncement> m_target;
  Millis m_last_announcement;
  std::unique_ptr<HttpClientPool> m_pool;
  std::unordered_map<CallId, Session*> m_sessions;
  std::uint64_t m_last_call_number = 0;
  /// The target refuses connections.
  bool m_is_target_down = false;
  /// Calls that were in flight when a connection broke. Empty again once it is
  /// known whether the target crashed.
  std::vector<InFlightCall> m_crash_candidates;
  bool m_is_probing = false;
  std::unordered_map<KindName, std::set<KindName>> m_child_kinds;
  std::function<void(const std::vector<Fingerprint>&)> m_suspects_handler;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_TARGET_DISPATCHER_H_
