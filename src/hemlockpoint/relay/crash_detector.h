#ifndef HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_
#define HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_

#include <functional>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

/// @brief Distinguishes a crash of the node's target from a single broken
/// connection. Each crash is counted for every request in flight at that time.
class CrashDetector {
 public:
  explicit CrashDetector(RelayContext& context) : m_context(context) {}

  /// @brief Sets the function that publishes this node's crash counts to all
  /// nodes.
  void SetReportHandler(std::function<void(const SuspectReport&)> handler) {
    m_report_handler = std::move(handler);
  }

  /// @brief Starts probing the target after a connection broke during a call.
  /// Does nothing while a probe is running.
  /// @param in_flight Fingerprints of the calls sent to the target that have no
  /// response yet.
  void OnConnectionLost(std::vector<Fingerprint> in_flight,
                        const Endpoint& target);

  /// @brief Clears the crash count of a request that the target has answered.
  void OnResponse(Fingerprint request);

  /// @brief Merges crash counts received from a control host.
  void Handle(const SuspectReport& report);

 private:
  [[nodiscard]] bool IsRefusingConnections(const Endpoint& target) const;
  void CountCrash(const std::vector<Fingerprint>& in_flight);

  RelayContext& m_context;
  std::function<void(const SuspectReport&)> m_report_handler;
  bool m_is_probing = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_
