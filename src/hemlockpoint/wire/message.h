#ifndef HEMLOCKPOINT_WIRE_MESSAGE_H_
#define HEMLOCKPOINT_WIRE_MESSAGE_H_

#include <variant>

#include "hemlockpoint/wire/call_messages.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief Any message between two processes of the system.
using Message = std::variant<Hello,
                             CallStart,
                             BodyChunk,
                             BodyCredit,
                             AnswerStart,
                             CallAbort,
                             Heartbeat,
                             HeartbeatAck,
                             DirectoryDelta>;

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_MESSAGE_H_
