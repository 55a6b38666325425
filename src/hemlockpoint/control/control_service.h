#ifndef HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
#define HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/claims/planner.h"
#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/control/document_keeper.h"
#include "hemlockpoint/control/group_driver.h"
#include "hemlockpoint/control/group_keeper.h"
#include "hemlockpoint/control/replicated_state.h"
#include "hemlockpoint/membership/directory.h"
#include "hemlockpoint/quarantine/crash_counts.h"
#include "hemlockpoint/quarantine/quarantine.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief What an operator asked of the control group, as it turned out.
struct ChangeOutcome {
  enum class Kind {
    kAnswered,
    /// This host doesn't lead; ask the leader.
    kNotLeader,
    /// It is not known whether the change was committed; resend its id.
    kUnknown,
  };
  Kind m_kind = Kind::kAnswered;
  ChangeResult m_result;
  std::string m_reason;
};

/// @brief The control role of one process: a member of the control group that
/// keeps the policy document and, while it leads, the directory of members.
class ControlService {
 public:
  /// @param reader Reads route documents; null where none are served.
  ControlService(const Settings& settings,
                 FiberLoop& loop,
                 LinkManager& links,
                 DocumentReader reader = nullptr);

  /// @brief Opens the data folder and starts the periodic work.
  /// @return Why the process cannot run, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  void Handle(LinkId link, const Heartbeat& heartbeat);
  void Handle(LinkId link, const GroupInit& init);
  void Handle(LinkId link, const InstanceQuery& query);
  void Handle(LinkId link, const SuspectReport& report);
  void Handle(LinkId link, const HostHeartbeat& beat);
  /// @brief Takes in the answer to this host's own beat.
  void Handle(const HeartbeatAck& ack);
  void Handle(LinkId link, RaftMessage message);
  void OnLinkClosed(LinkId link);

  /// @brief Commits a change of the policy document; used on a fiber.
  [[nodiscard]] ChangeOutcome Change(const PolicyChange& change);

  /// @brief Forms a new group of all control hosts that the settings name;
  /// used on a fiber.
  /// @return Why there is none, or nothing.
  [[nodiscard]] std::optional<std::string> InitGroup(
      const std::string& admin_token_sha256);

  /// @brief Adds a host as a receiver of the log; it counts in majorities
  /// once it has caught up. Used on a fiber.
  [[nodiscard]] std::optional<std::string> AddHost(const NodeId& node,
                                                   const Endpoint& peer);

  /// @brief Removes a host from the group; used on a fiber.
  [[nodiscard]] std::optional<std::string> RemoveHost(const NodeId& node);

  /// @brief Ends a request's quarantine at every node.
  /// @return Whether there was one.
  bool LiftQuarantine(Fingerprint request);

  /// @return Whether this host has just proved that it leads; used on a fiber.
  [[nodiscard]] bool ProveLeadership();

  [[nodiscard]] DocumentKeeper& documents() { return m_documents; }
  [[nodiscard]] GroupKeeper& keeper() { return m_keeper; }
  [[nodiscard]] const GroupDriver& group() const { return m_group; }
  [[nodiscard]] const ReplicatedState& state() const { return m_state; }
  [[nodiscard]] const Directory& directory() const { return m_directory; }
  [[nodiscard]] const QuarantineTable& quarantine() const {
    return m_quarantine;
  }

 private:
  // What a node that sends heartbeats here has been sent.
  struct Node {
    Subscriber m_subscriber;
    NodeId m_name;
    Revision m_revision;
    Revision m_sent_revision;
    Millis m_sent_policy{-1e12};
    std::uint64_t m_sent_claim_sets = 0;
    DocumentVersion m_document;
    DocumentVersion m_sent_document;
    Millis m_sent_document_at{-1e12};
    std::size_t m_document_resends = 0;
  };

  void Tick();
  void FollowRole();
  void PushDirectory(LinkId link, Node& node, Millis now);
  void PushPolicy(LinkId link, Node& node, Millis now);
  void PushClaimSets(LinkId link, Node& node);
  void PushDocument(LinkId link, Node& node, Millis now);
  HeartbeatAck MakeAck(Millis now) const;
  void PushSuspects(const std::vector<SuspectRow>& rows);
  void CountCrashes(const SuspectReport& report);
  [[nodiscard]] std::vector<SuspectRow> KnownSuspects(Millis now) const;
  void PlanClaims(Millis now);
  void SpreadInit(Millis now);
  std::optional<InstanceQuery> QueryInstance(const Endpoint& peer);
  std::optional<std::string> CommitConfig(const GroupConfig& config);

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  ReplicatedState m_state;
  GroupDriver m_group;
  DocumentKeeper m_documents;
  GroupKeeper m_keeper;
  Directory m_directory;
  QuarantineTable m_quarantine;
  /// Route mode: crashes that all nodes have seen.
  CrashCounts m_crashes;
  std::map<LinkId, Node> m_nodes;
  bool m_led = false;
  std::uint64_t m_claim_sets_version = 1;
  std::map<NodeId, Millis> m_absent_since;
  Millis m_next_plan;
  Millis m_next_init;
  bool m_planning = false;
  /// Answers to instance queries by the admin endpoint's host.
  std::map<LinkId, InstanceQuery> m_instances;
  FiberEvent m_instance_known;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
