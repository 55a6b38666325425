#ifndef HEMLOCKPOINT_WIRE_CLAIM_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief The call that holds an idempotency key.
struct Claimant {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_session = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("inc", self.m_incarnation);
    visit("session", self.m_session);
  }

  friend bool operator==(const Claimant& a, const Claimant& b) {
    return a.m_node == b.m_node && a.m_incarnation == b.m_incarnation &&
           a.m_session == b.m_session;
  }
};

enum class ClaimStep : unsigned char {
  /// Asks for the key.
  kClaim,
  /// The call ended with an answer, which later calls get too.
  kComplete,
  /// The call ended and may have run.
  kUnknown,
  /// The call did not run; the key is free again.
  kRelease,
};

enum class ClaimVerdict : unsigned char {
  kGranted,
  /// Another call holds the key.
  kHeld,
  /// The replica has restarted and does not know yet what it granted.
  kAbstain,
  /// The sender's replica set is out of date.
  kStaleEpoch,
  /// The replica holds as many claims as it may.
  kFull,
};

/// @brief What is known of the call that holds a key.
enum class ClaimPhase : unsigned char { kRunning, kAnswered, kUnknown };

/// @brief One step of a claim, sent to each replica of the service.
struct ClaimRequest {
  static constexpr const char* kType = "claim";
  /// Matches the reply; unique for the sender's life.
  std::uint64_t m_number = 0;
  ClaimStep m_step = ClaimStep::kClaim;
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  std::string m_key;
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  /// The answer to keep with kComplete; empty when it is too long.
  Bytes m_response;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("no", self.m_number);
    visit("step", self.m_step);
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("key", self.m_key);
    visit("by", self.m_claimant);
    visit("print", self.m_fingerprint);
    visit("answer", self.m_response);
  }
};

/// @brief A life of a replica that another one has heard of.
struct ReplicaIncarnation {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("inc", self.m_incarnation);
  }
};

struct ClaimReply {
  static constexpr const char* kType = "claim_reply";
  std::uint64_t m_number = 0;
  ClaimVerdict m_verdict = ClaimVerdict::kAbstain;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// Lives of the other replicas; a grant of an earlier life is void.
  std::vector<ReplicaIncarnation> m_known;
  /// With kHeld: who holds the key and how far it is.
  Claimant m_holder;
  ClaimPhase m_phase = ClaimPhase::kRunning;
  Fingerprint m_fingerprint;
  Bytes m_response;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("no", self.m_number);
    visit("verdict", self.m_verdict);
    visit("epoch", self.m_epoch);
    visit("replica", self.m_replica);
    visit("known", self.m_known);
    visit("by", self.m_holder);
    visit("phase", self.m_phase);
    visit("print", self.m_fingerprint);
    visit("answer", self.m_response);
  }
};

/// @brief One claim as replicas copy it.
struct ClaimRow {
  std::string m_key;
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  ClaimPhase m_phase = ClaimPhase::kRunning;
  Bytes m_response;
  Millis m_time_left;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("key", self.m_key);
    visit("by", self.m_claimant);
    visit("print", self.m_fingerprint);
    visit("phase", self.m_phase);
    visit("answer", self.m_response);
    visit("left", self.m_time_left);
  }
};

/// @brief A replica without memory asks another for its claims.
struct ClaimSyncRequest {
  static constexpr const char* kType = "claim_sync";
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// Rows after this key are wanted; empty for the first.
  std::string m_after_key;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("replica", self.m_replica);
    visit("after", self.m_after_key);
  }
};

struct ClaimSyncReply {
  static constexpr const char* kType = "claim_rows";
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// Whether the sender knows what it granted; otherwise its rows don't count.
  bool m_valid = false;
  std::vector<ClaimRow> m_rows;
  /// More rows follow after the last one.
  bool m_has_more = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("replica", self.m_replica);
    visit("valid", self.m_valid);
    visit("rows", self.m_rows);
    visit("more", self.m_has_more);
  }
};

/// @brief One replica of a service's claims.
struct ClaimReplicaInfo {
  NodeId m_node;
  std::string m_peer;
  /// Epoch in which the node last became a replica.
  std::uint64_t m_joined_epoch = 0;
  /// Life in which the node founded the first epoch; it needs no copy then,
  /// because it has granted nothing before. 0 for later replicas.
  std::uint64_t m_founding_incarnation = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("peer", self.m_peer);
    visit("joined", self.m_joined_epoch);
    visit("founder", self.m_founding_incarnation);
  }
};

/// @brief The replicas of one service's claims. Epochs are fixed by the
/// control log, and two sets in a row differ in one replica at most.
struct ClaimReplicaSet {
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  std::vector<ClaimReplicaInfo> m_members;
  /// The majority of the set before is lost: every replica abstains for one
  /// retention period.
  bool m_previous_majority_lost = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("members", self.m_members);
    visit("fresh", self.m_previous_majority_lost);
  }
};

/// @brief Every service's claim set, pushed to each node on change.
struct ClaimReplicaSets {
  static constexpr const char* kType = "claim_sets";
  std::vector<ClaimReplicaSet> m_sets;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("sets", self.m_sets);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_CLAIM_MESSAGES_H_
