#ifndef HEMLOCKPOINT_WIRE_MESSAGE_H_
#define HEMLOCKPOINT_WIRE_MESSAGE_H_

#include <variant>

#include "hemlockpoint/wire/call_messages.h"
#include "hemlockpoint/wire/claim_messages.h"
#include "hemlockpoint/wire/consensus_messages.h"
#include "hemlockpoint/wire/document_messages.h"
#include "hemlockpoint/wire/membership_messages.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

/// @brief Any message between two peers.
using Message = std::variant<Hello,
                             CallStart,
                             BodyChunk,
                             BodyCredit,
                             ResponseStart,
                             CallAbort,
                             Heartbeat,
                             HeartbeatAck,
                             DirectoryDelta,
                             PolicyPush,
                             SuspectReport,
                             VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotRequest,
                             GroupInit,
                             InstanceQuery,
                             ClaimRequest,
                             ClaimReply,
                             ClaimSyncRequest,
                             ClaimSyncReply,
                             ClaimReplicaSets,
                             DocumentPush,
                             HostHeartbeat,
                             Ping>;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_MESSAGE_H_
