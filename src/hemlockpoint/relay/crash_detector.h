#ifndef HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_
#define HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_

#include <functional>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

/// @brief Tells crashes of the target beside the node from single broken
/// connections, and counts them against the requests then in flight.
class CrashDetector {
 public:
  explicit CrashDetector(RelayContext& core) : m_context(core) {}

  /// @brief Called when what this node counts should reach all nodes.
  void SetReportHandler(std::function<void(const SuspectReport&)> report) {
    m_report = std::move(report);
  }

  /// @brief Takes note of a connection that broke under a call.
  /// @param in_flight Fingerprints of the calls that the target works on.
  void OnConnectionLost(std::vector<Fingerprint> in_flight,
                        const Endpoint& target);

  /// @brief Takes note of an answer, which clears the request.
  void OnResponse(Fingerprint request);

  /// @brief Takes in what other nodes have counted.
  void Handle(const SuspectReport& report);

 private:
  [[nodiscard]] bool IsRefusingConnections(const Endpoint& target) const;
  void CountCrash(const std::vector<Fingerprint>& in_flight);

  RelayContext& m_context;
  std::function<void(const SuspectReport&)> m_report;
  bool m_probing = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_CRASH_DETECTOR_H_
