#ifndef HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_
#define HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/consensus/raft.h"
#include "hemlockpoint/runtime/fiber_event.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/storage/data_folder.h"
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief The state machine that the replicated log feeds.
struct StateMachineCallbacks {
  std::function<void(const LogEntry&)> m_apply;
  std::function<void(const std::string& snapshot)> m_restore;
  std::function<std::string()> m_snapshot;
};

/// @brief Runs one member of the control group: feeds the pure rules with
/// time and messages, syncs what they ask for on a thread of its own, and
/// only then sends and applies.
class RaftDriver {
 public:
  RaftDriver(const Settings& settings,
             FiberLoop& loop,
             LinkManager& links,
             StateMachineCallbacks consumer);
  ~RaftDriver();
  RaftDriver(const RaftDriver&) = delete;
  RaftDriver& operator=(const RaftDriver&) = delete;

  /// @brief Opens the data folder and restores the applied state.
  /// @return What is wrong with the folder, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @param link Link on which the message came.
  void Receive(LinkId link, RaftMessage message);

  /// @brief Makes this blank host the first member of a new group.
  /// @return Whether it was blank, or in the same group.
  bool Init(const GroupConfig& config);

  /// @brief Appends an entry and waits until it is applied here; used on a
  /// fiber.
  /// @return Whether it was committed by the deadline. A failure may still be
  /// committed later.
  [[nodiscard]] Result<std::uint64_t> Commit(LogEntryKind kind,
                                             const std::string& data,
                                             Millis until);

  /// @brief Waits until a majority has confirmed that this member leads now.
  /// @return Whether it did by the deadline.
  [[nodiscard]] bool ConfirmLeadership(Millis until);

  [[nodiscard]] bool is_leader() const {
    return m_raft.m_role == RaftRole::kLeader &&
           m_raft.m_commit >= m_raft.m_term_start_index;
  }
  [[nodiscard]] const RaftState& raft() const { return m_raft; }
  /// @return The leader's membership entry, or null when none is known.
  [[nodiscard]] const GroupMember* leader() const;
  [[nodiscard]] std::size_t journal_bytes() const;

 private:
  using RaftStep = std::function<void(RaftOutput&)>;

  void Enqueue(RaftStep step);
  void RunStepLoop();
  std::optional<std::string> Sync(const std::vector<RaftWrite>& writes);
  void SendMessages(const std::vector<RaftEnvelope>& envelopes);
  void Apply(const RaftOutput& output);
  void CompactLogIfLarge(RaftOutput& output);
  double Random();

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  StateMachineCallbacks m_state_machine;
  std::unique_ptr<DataFolder> m_folder;
  boost::asio::thread_pool m_disk_thread{1};
  RaftState m_raft;
  std::vector<RaftStep> m_queued_steps;
  FiberEvent m_work;
  FiberEvent m_progress_event;
  /// Newest entry that the consumer has applied.
  std::uint64_t m_consumed = 0;
  /// Links on which members that are not in the configuration can be answered.
  std::map<std::string, LinkId> m_reply_links;
  std::uint64_t m_random_state;
};

/// @return Random bytes as hexadecimal digits, for names that no one else has.
[[nodiscard]] std::string MakeRandomId();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_
