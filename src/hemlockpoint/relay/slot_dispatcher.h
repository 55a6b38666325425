#ifndef HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_
#define HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/dispatch/refused_requests.h"
#include "hemlockpoint/dispatch/slot_queue.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/relay/crash_detector.h"
#include "hemlockpoint/relay/target_report.h"
#include "hemlockpoint/transport/call.h"

namespace hemlockpoint {

struct DispatchSession;

/// @brief Dispatches calls to the target beside the node. Tracks the target's
/// incarnation, queues calls until one of its slots is free, and relays its
/// responses.
class SlotDispatcher {
 public:
  explicit SlotDispatcher(RelayContext& context);
  ~SlotDispatcher();

  static constexpr Millis kTickPeriod{20};

  /// @brief Starts a fiber that serves a call. Refuses the call if there is no
  /// memory for a stack.
  void Accept(InboundCall call);

  /// @brief Serves one call to its end. Must run on a fiber.
  void Serve(InboundCall call);

  /// @brief Refuses queued calls that cannot finish before their deadline and
  /// ends overdue ones. Called every kTickPeriod.
  void Tick();

  /// @brief Takes a report of the target. A new process uses the first one only
  /// after a health check has not contradicted it.
  /// @return Whether it may be acknowledged. An acknowledged report that the
  /// target leaves must be acted on.
  [[nodiscard]] bool HandleTargetReport(const TargetReport& report);
  /// @return Whether it may be acknowledged.
  [[nodiscard]] bool HandleTargetWithdrawal(const TargetWithdrawal& withdrawal);

  /// @brief Queries the target's health path until the target is known. This
  /// covers a restart of the node while its target keeps running. Must run on a
  /// fiber.
  void ProbeUntilKnown();

  /// @brief Refuses all queued calls; running ones continue. New calls are
  /// refused while RelayContext::m_leaving is set.
  void BeginLeaving();

  /// @brief Sets the function that is called when the target's state changes
  /// and should be published to other nodes soon.
  void SetChangeHandler(std::function<void()> handler) {
    m_change_handler = std::move(handler);
  }

  [[nodiscard]] CrashDetector& crash_detector() { return m_crash_detector; }

  /// @return The metadata of a request that is queued or running at the target,
  /// or null.
  [[nodiscard]] const CallMetadata* FindRunning(const RequestId& request) const;

  /// @brief Records that a call failed which the target made for a request that
  /// it is running.
  void RecordNestedFailure(const RequestId& parent);

  /// @return What other nodes are told about the target.
  [[nodiscard]] TargetSummary Summary() const;
  /// @return Number of queued and running calls.
  [[nodiscard]] std::size_t calls() const { return m_sessions.size(); }
  [[nodiscard]] const SlotQueue& queue() const { return m_queue; }
  /// @return Moving average of the share of calls that failed or timed out, in
  /// [0, 1].
  [[nodiscard]] double failure_rate() const { return m_failure_rate; }

 private:
  struct HealthResponse {
    unsigned m_status = 0;
    ResponseMetadata m_metadata;
  };

  std::optional<Refusal> CheckAdmission(const DispatchSession& session) const;
  Millis MaxConnectionIdleTime(const CallMetadata& metadata) const;
  std::optional<Refusal> ReserveBodyMemory(DispatchSession& session);
  bool ReceiveBody(DispatchSession& session);
  void QueueAndDispatch(const std::shared_ptr<DispatchSession>& session);
  void GrantFreeSlots();
  void DropWaiting(const std::vector<SlotCall>& calls, Reason reason);
  void Dispatch(DispatchSession& session);
  std::optional<Refusal> ExchangeWithTarget(DispatchSession& session);
  std::optional<HttpResponseHead> ReadOwnResponseHead(DispatchSession& session);
  std::optional<Refusal> RelayResponse(DispatchSession& session,
                                       const HttpResponseHead& head);
  Refusal MakeLostRefusal(DispatchSession& session, const char* signal);
  void ReportConnectionLost();
  void Refuse(DispatchSession& session, Refusal refusal);
  LoadReport MakeLoadReport() const;
  void ForgetTarget(const char* reason);
  ReportEffect UseTargetReport(const TargetReport& report);
  void ConfirmReport();
  std::optional<HealthResponse> QueryHealth();
  bool ProbeHealthPath();

  RelayContext& m_context;
  CrashDetector m_crash_detector;
  KnownTarget m_known_target;
  /// This process has used a report or a health check of the target.
  bool m_has_known_target = false;
  /// The last report that is not in use yet.
  TargetReport m_unconfirmed_report;
  ReportConfirmation m_confirmation;
  /// A health check for m_unconfirmed_report is in progress.
  bool m_is_confirming = false;
  SlotQueue m_queue;
  RefusedRequests m_refused_requests;
  /// Null until a target is known.
  std::shared_ptr<HttpClientPool> m_pool;
  std::unordered_map<CallId, std::shared_ptr<DispatchSession>> m_sessions;
  /// The sessions by the id of their request.
  std::unordered_map<RequestId, DispatchSession*> m_sessions_by_request;
  /// Number of the last session; source of the call ids.
  std::uint64_t m_last_call = 0;
  std::function<void()> m_change_handler;
  /// Calls are refused until then, because a connection attempt failed.
  Millis m_unreachable_until{-1e12};
  Millis m_last_congestion_check;
  Millis m_last_tick;
  /// Moving average of how late Tick() is called, which is how long this
  /// process takes to get to an event.
  Millis m_loop_delay;
  double m_failure_rate = 0;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_SLOT_DISPATCHER_H_
