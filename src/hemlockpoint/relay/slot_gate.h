#ifndef HEMLOCKPOINT_RELAY_SLOT_GATE_H_
#define HEMLOCKPOINT_RELAY_SLOT_GATE_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/dispatch/slot_queue.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/relay/core.h"
#include "hemlockpoint/relay/crash_watch.h"
#include "hemlockpoint/relay/target_report.h"
#include "hemlockpoint/transport/call.h"

namespace hemlockpoint {

struct GateSession;

/// @brief The node's side towards the target beside it: knows which
/// incarnation is there, lets calls wait for its slots, and hands them over.
class SlotGate {
 public:
  explicit SlotGate(RelayCore& core);
  ~SlotGate();

  static constexpr Millis kTickPeriod{20};

  /// @brief Serves one call on a fiber.
  void Serve(InboundCall call);

  /// @brief Drops calls that can't end in time and ends overdue ones.
  void Tick();

  void Report(const TargetReport& report);
  void Withdraw(const TargetWithdrawal& withdrawal);

  /// @brief Asks the target itself who it is while no report has come, as
  /// after a restart of the node beside a running target; used on a fiber.
  void ProbeUntilKnown();

  /// @brief Refuses calls from now on; running ones go on.
  void BeginLeaving();

  /// @brief Called when others should hear of the target soon.
  void OnChange(std::function<void()> changed) {
    m_on_change = std::move(changed);
  }

  [[nodiscard]] CrashWatch& crashes() { return m_crashes; }

  /// @return The terms of a request that the target works on, or null.
  [[nodiscard]] const CallTerms* FindRunning(const RequestId& request) const;

  [[nodiscard]] TargetSummary Summary() const;
  [[nodiscard]] std::size_t calls() const { return m_sessions.size(); }
  [[nodiscard]] const SlotQueue& queue() const { return m_queue; }
  /// @return Share of the target's runs of late that failed or timed out.
  [[nodiscard]] double pressure() const { return m_pressure; }

 private:
  std::optional<Refusal> Admission(const GateSession& session) const;
  bool CollectBody(GateSession& session);
  void Pump();
  void Drop(const std::vector<SlotCall>& calls, Reason reason);
  void Dispatch(GateSession& session);
  std::optional<Refusal> Exchange(GateSession& session);
  std::optional<HttpResponseHead> AwaitHead(GateSession& session);
  std::optional<Refusal> RelayAnswer(GateSession& session,
                                     const HttpResponseHead& head);
  Refusal Lost(GateSession& session, const char* signal);
  void WatchForCrash();
  void Refuse(GateSession& session, Refusal refusal);
  LoadReport Load() const;
  void ForgetTarget(const char* reason);
  bool Probe();

  RelayCore& m_core;
  CrashWatch m_crashes;
  TargetRecord m_record;
  SlotQueue m_queue;
  std::shared_ptr<HttpClientPool> m_pool;
  std::unordered_map<CallId, std::shared_ptr<GateSession>> m_sessions;
  std::uint64_t m_last_call = 0;
  std::function<void()> m_on_change;
  Millis m_down_until{-1e12};
  Millis m_congestion_checked;
  double m_pressure = 0;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_SLOT_GATE_H_
