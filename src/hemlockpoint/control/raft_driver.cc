#include "hemlockpoint/control/raft_driver.h"

#include <array>
#include <boost/asio/post.hpp>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint {

namespace {

constexpr Millis kRaftTickPeriod(20);
constexpr std::size_t kCompactAfterEntries = 256;
constexpr std::size_t kCompactAfterBytes = std::size_t{1024} * 1024;
constexpr int kExitDiskFailed = 1;

std::uint64_t ReadRandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

std::string MakeRandomId() {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, ReadRandomNumber());
  return text.data();
}

RaftDriver::RaftDriver(const Settings& settings,
                       FiberLoop& loop,
                       LinkManager& links,
                       StateMachineCallbacks state_machine)
    : m_settings(settings),
      m_loop(loop),
      m_links(links),
      m_state_machine(std::move(state_machine)),
      m_random_state(ReadRandomNumber()) {}

RaftDriver::~RaftDriver() {
  m_disk_thread.join();
}

std::optional<std::string> RaftDriver::Start() {
  auto folder = DataFolder::Open(m_settings.m_data_folder, MakeRandomId());
  if (!folder) {
    return folder.reason();
  }
  m_folder = std::move(*folder);
  const StoredRaftState& stored = m_folder->stored();
  if (stored.m_torn_bytes > 0) {
    LogLine(LogLevel::kWarning, "journal_tail_cut")
        .With("bytes", static_cast<std::uint64_t>(stored.m_torn_bytes));
  }
  m_raft.m_instance = stored.m_instance;
  m_raft.m_hard = stored.m_hard;
  m_raft.m_log = stored.m_log;
  StartRaft(m_raft, Random(), SteadyNow());
  if (m_raft.m_log.m_snapshot.m_index > 0) {
    m_state_machine.m_restore(m_raft.m_log.m_snapshot.m_data);
  }
  m_loop.Spawn([this] { RunStepLoop(); });
  return std::nullopt;
}

void RaftDriver::Receive(LinkId link, RaftMessage message) {
  std::visit(
      [&](const auto& value) {
        m_reply_links[value.m_header.m_from_instance] = link;
      },
      message);
  // Instances that no longer exist are never removed one by one, so the table
  // is cleared when it is full.
  constexpr std::size_t kMaxReplyLinks = 64;
  if (m_reply_links.size() > kMaxReplyLinks) {
    m_reply_links.clear();
  }
  Enqueue([this, message = std::move(message)](RaftOutput& output) {
    HandleRaftMessage(m_raft, message, Random(), SteadyNow(), output);
  });
}

bool RaftDriver::Init(const GroupConfig& config) {
  if (IsInGroup(m_raft)) {
    return m_raft.m_config.m_config.m_group_id == config.m_group_id;
  }
  Enqueue([this, config](RaftOutput& output) {
    (void)InitGroup(m_raft, config, output);
  });
  return true;
}

Result<std::uint64_t> RaftDriver::Commit(LogEntryKind kind,
                                         const std::string& data,
                                         Millis deadline) {
  using IndexResult = Result<std::uint64_t>;
  struct ProposalState {
    bool m_is_done = false;
    std::optional<std::uint64_t> m_index;
    std::uint64_t m_term = 0;
  };
  // Shared with the step, which may run after this function has timed out.
  auto proposal = std::make_shared<ProposalState>();
  Enqueue([this, kind, data, proposal](RaftOutput& output) {
    proposal->m_index = Propose(m_raft, kind, data, SteadyNow(), output);
    proposal->m_term = m_raft.m_hard.m_term;
    proposal->m_is_done = true;
    m_step_completed.Notify();
  });
  if (!m_step_completed.WaitUntil(deadline,
                                  [&] { return proposal->m_is_done; })) {
    return IndexResult::Failure("the disk is slow");
  }
  const std::optional<std::uint64_t> index = proposal->m_index;
  if (!index) {
    return IndexResult::Failure("not the leader, or members are changing");
  }
  const std::uint64_t term = proposal->m_term;
  const bool done = m_step_completed.WaitUntil(deadline, [&] {
    return m_applied_index >= *index || m_raft.m_hard.m_term != term;
  });
  if (!done || m_raft.m_hard.m_term != term) {
    return IndexResult::Failure("leadership was lost or no majority answered");
  }
  return *index;
}

bool RaftDriver::ConfirmLeadership(Millis deadline) {
  auto round = std::make_shared<std::uint64_t>(0);
  Enqueue([this, round](RaftOutput& output) {
    *round = StartHeartbeatRound(m_raft, SteadyNow(), output);
  });
  return m_step_completed.WaitUntil(deadline, [&] {
    return *round != 0 && IsRoundAckedByQuorum(m_raft, *round);
  });
}

std::size_t RaftDriver::journal_bytes() const {
  return m_folder ? m_folder->journal_bytes() : 0;
}

void RaftDriver::Enqueue(RaftStep step) {
  m_queued_steps.push_back(std::move(step));
  m_step_queued.Notify();
}

void RaftDriver::RunStepLoop() {
  while (!m_loop.stopping()) {
    (void)m_step_queued.WaitUntil(SteadyNow() + kRaftTickPeriod,
                                  [this] { return !m_queued_steps.empty(); });
    std::vector<RaftStep> steps;
    steps.swap(m_queued_steps);
    RaftOutput output;
    TickRaft(m_raft, Random(), SteadyNow(), output);
    for (const RaftStep& step : steps) {
      step(output);
    }
    CompactLogIfLarge(output);
    if (const auto failure = WriteAndSync(output.m_writes)) {
      // Entries that weren't synced must not be acknowledged, and the journal
      // may end in a partial record, so the process exits.
      LogLine(LogLevel::kError, "disk_failed").With("reason", *failure);
      StopLogAndExit(kExitDiskFailed);
    }
    SendMessages(output.m_outgoing);
    ApplyOutput(output);
    m_step_completed.Notify();
  }
}

std::optional<std::string> RaftDriver::WriteAndSync(
    const std::vector<RaftWrite>& writes) {
  std::optional<std::string> failure;
  if (writes.empty()) {
    return failure;
  }
  (void)AwaitIo([&](auto handler) {
    boost::asio::post(m_disk_thread, [&,
                                      handler = std::move(handler)]() mutable {
      failure = m_folder->Write(writes);
      boost::asio::post(m_loop.io(), [handler = std::move(handler)]() mutable {
        handler(boost::system::error_code(), 0);
      });
    });
  });
  return failure;
}

void RaftDriver::SendMessages(const std::vector<RaftEnvelope>& envelopes) {
  for (const RaftEnvelope& envelope : envelopes) {
    const Message message = std::visit(
        [](const auto& value) { return Message(value); }, envelope.m_message);
    const Result<Endpoint> endpoint = ParseEndpoint(envelope.m_to.m_peer);
    if (endpoint) {
      m_links.SendTo(*endpoint, message);
      continue;
    }
    const auto link = m_reply_links.find(envelope.m_to.m_instance);
    if (link != m_reply_links.end()) {
      m_links.Send(link->second, message);
    }
  }
}

void RaftDriver::ApplyOutput(const RaftOutput& output) {
  if (output.m_restore) {
    m_state_machine.m_restore(output.m_restore->m_data);
    m_applied_index = output.m_restore->m_index;
  }
  for (const LogEntry& entry : output.m_committed) {
    m_state_machine.m_apply(entry);
    m_applied_index = entry.m_index;
  }
}

// A snapshot is taken only when the state machine has applied every entry that
// this step has committed: otherwise its index would be ahead of its data.
void RaftDriver::CompactLogIfLarge(RaftOutput& output) {
  const bool is_log_large =
      m_raft.m_log.m_entries.size() > kCompactAfterEntries ||
      m_folder->journal_bytes() > kCompactAfterBytes;
  const bool is_all_applied = output.m_committed.empty() && !output.m_restore;
  if (is_log_large && is_all_applied &&
      m_raft.m_applied > m_raft.m_log.m_snapshot.m_index) {
    CompactLog(m_raft, m_state_machine.m_snapshot(), output);
  }
}

double RaftDriver::Random() {
  // SplitMix64 (Steele, Lea and Flood, 2014). It only randomizes timers, so it
  // needs no cryptographic strength.
  m_random_state += 0x9e3779b97f4a7c15;
  std::uint64_t z = m_random_state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

}  // namespace hemlockpoint
