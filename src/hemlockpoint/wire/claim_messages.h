#ifndef HEMLOCKPOINT_WIRE_CLAIM_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_CLAIM_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief The call that holds an idempotency key or asks for it.
struct Claimant {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// Number of the call, unique within the incarnation of its node.
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

/// @brief What a claimant asks a replica to record.
enum class ClaimStep : unsigned char {
  /// Acquires the key.
  kClaim,
  /// The call ended with a response, which later calls with the key receive.
  kComplete,
  /// The call ended without a response and may have run.
  kUnknown,
  /// The call did not run; the key becomes free.
  kRelease,
};

/// @brief Decision of one replica on a ClaimRequest.
enum class ClaimVerdict : unsigned char {
  kGranted,
  /// Another call holds the key.
  kHeld,
  /// The replica does not have all claims that it granted, such as after a
  /// restart.
  kAbstain,
  /// The sender's replica set is out of date.
  kStaleEpoch,
  /// The replica is at its limit of stored claims.
  kFull,
};

/// @brief State of the call that holds a key. With kUnknown, the call has ended
/// without a response and may have run.
enum class ClaimPhase : unsigned char { kRunning, kAnswered, kUnknown };

/// @brief Operation on a claim. Sent to each claim replica of the service.
struct ClaimRequest {
  static constexpr const char* kType = "claim";
  /// Matches a reply to its request; unique within an incarnation of the
  /// sender.
  std::uint64_t m_number = 0;
  ClaimStep m_step = ClaimStep::kClaim;
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  std::string m_key;
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  /// With kComplete: the response to store; empty if it is too long.
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

/// @brief Incarnation of a claim replica.
struct ReplicaIncarnation {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("inc", self.m_incarnation);
  }
};

/// @brief Reply of a claim replica to a ClaimRequest.
struct ClaimReply {
  static constexpr const char* kType = "claim_reply";
  std::uint64_t m_number = 0;
  ClaimVerdict m_verdict = ClaimVerdict::kAbstain;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// Incarnations of the other replicas that this replica knows. Grants of
  /// their earlier incarnations are void.
  std::vector<ReplicaIncarnation> m_known;
  /// With kHeld: the call that holds the key, and its state.
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

/// @brief One claim, as one replica copies it to another.
struct ClaimRow {
  std::string m_key;
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  ClaimPhase m_phase = ClaimPhase::kRunning;
  Bytes m_response;
  /// Time until the claim expires, as of sending.
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

/// @brief Asks a replica for its claims. Sent by a replica that has lost or
/// never had them.
struct ClaimSyncRequest {
  static constexpr const char* kType = "claim_sync";
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// The reply starts with the first key after this one; empty for the first
  /// key of all.
  std::string m_after_key;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("replica", self.m_replica);
    visit("after", self.m_after_key);
  }
};

/// @brief One page of a replica's claims, ordered by key.
struct ClaimSyncReply {
  static constexpr const char* kType = "claim_rows";
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  ReplicaIncarnation m_replica;
  /// Whether the sender has all claims that it granted; otherwise the receiver
  /// ignores the rows.
  bool m_valid = false;
  std::vector<ClaimRow> m_rows;
  /// The sender has further rows, after the last one in this message.
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

/// @brief Node that is one replica of a service's claims.
struct ClaimReplicaInfo {
  NodeId m_node;
  /// "ADDRESS:PORT" of the node's peer listener.
  std::string m_peer;
  /// Epoch in which the node last became a replica.
  std::uint64_t m_joined_epoch = 0;
  /// Incarnation of the node when it became a replica of the first epoch. In
  /// this incarnation the node copies no claims from other replicas, because
  /// none were granted before. 0 for nodes that joined later and for sets that
  /// replace one without a majority.
  std::uint64_t m_founding_incarnation = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("peer", self.m_peer);
    visit("joined", self.m_joined_epoch);
    visit("founder", self.m_founding_incarnation);
  }
};

/// @brief The replicas of one service's claims. The control group commits each
/// epoch to its log. Two consecutive sets differ in at most one replica.
struct ClaimReplicaSet {
  ServiceName m_service;
  std::uint64_t m_epoch = 0;
  std::vector<ClaimReplicaInfo> m_members;
  /// The majority of the previous set was lost, so every replica abstains for
  /// one retention period.
  bool m_previous_majority_lost = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("epoch", self.m_epoch);
    visit("members", self.m_members);
    visit("fresh", self.m_previous_majority_lost);
  }
};

/// @brief Claim replica sets of all services. A control host pushes them to
/// each node on change.
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
