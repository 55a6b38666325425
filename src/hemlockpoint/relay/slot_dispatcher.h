#ifndef HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_
#define HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/dispatch/slot_queue.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/relay/crash_detector.h"
#include "hemlockpoint/relay/target_report.h"
#include "hemlockpoint/transport/call.h"

namespace hemlockpoint {

struct DispatchSession;

/// @brief The node's side towards the target beside it: knows which
/// incarnation is there, lets calls wait for its slots, and hands them over.
class SlotDispatcher {
 public:
  explicit SlotDispatcher(RelayContext& core);
  ~SlotDispatcher();

  static constexpr Millis kTickPeriod{20};

  /// @brief Serves one call on a fiber.
  void Serve(InboundCall call);

  /// @brief Drops calls that can't end in time and ends overdue ones.
  void Tick();

  void HandleTargetReport(const TargetReport& report);
  void HandleTargetWithdrawal(const TargetWithdrawal& withdrawal);

  /// @brief Asks the target itself who it is while no report has come, as
  /// after a restart of the node beside a running target; used on a fiber.
  void ProbeUntilKnown();

  /// @brief Refuses calls from now on; running ones go on.
  void BeginLeaving();

  /// @brief Called when others should hear of the target soon.
  void SetChangeHandler(std::function<void()> changed) {
    m_change_handler = std::move(changed);
  }

  [[nodiscard]] CrashDetector& crashes() { return m_crashes; }

  /// @return The terms of a request that the target works on, or null.
  [[nodiscard]] const CallTerms* FindRunning(const RequestId& request) const;

  [[nodiscard]] TargetSummary Summary() const;
  [[nodiscard]] std::size_t calls() const { return m_sessions.size(); }
  [[nodiscard]] const SlotQueue& queue() const { return m_queue; }
  /// @return Share of the target's runs of late that failed or timed out.
  [[nodiscard]] double failure_rate() const { return m_failure_rate; }

 private:
  std::optional<Refusal> Admission(const DispatchSession& session) const;
  bool ReceiveBody(DispatchSession& session);
  void Pump();
  void DropWaiting(const std::vector<SlotCall>& calls, Reason reason);
  void Dispatch(DispatchSession& session);
  std::optional<Refusal> Exchange(DispatchSession& session);
  std::optional<HttpResponseHead> ReadOwnResponseHead(DispatchSession& session);
  std::optional<Refusal> RelayAnswer(DispatchSession& session,
                                     const HttpResponseHead& head);
  Refusal MakeLostRefusal(DispatchSession& session, const char* signal);
  void ReportConnectionLost();
  void Refuse(DispatchSession& session, Refusal refusal);
  LoadReport Load() const;
  void ForgetTarget(const char* reason);
  bool ProbeHealthPath();

  RelayContext& m_context;
  CrashDetector m_crashes;
  KnownTarget m_known_target;
  SlotQueue m_queue;
  std::shared_ptr<HttpClientPool> m_pool;
  std::unordered_map<CallId, std::shared_ptr<DispatchSession>> m_sessions;
  std::uint64_t m_last_call = 0;
  std::function<void()> m_change_handler;
  Millis m_unreachable_until{-1e12};
  Millis m_last_congestion_check;
  double m_failure_rate = 0;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_
