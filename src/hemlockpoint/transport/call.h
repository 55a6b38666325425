#ifndef HEMLOCKPOINT_TRANSPORT_CALL_H_
#define HEMLOCKPOINT_TRANSPORT_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/runtime/fiber_event.h"
#include "hemlockpoint/transport/body_pipe.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief Flow control credit: bytes that a sender may send before the receiver
/// grants more. A chunk is sent whole and may exceed the remaining credit, so a
/// receiver buffers at most its window and two chunks.
class SendCredit {
 public:
  explicit SendCredit(std::int64_t initial) : m_bytes(initial) {}

  /// @brief Grants further bytes.
  void Add(std::size_t bytes);

  /// @brief Makes waiting and later Take() calls fail.
  void Close();

  /// @brief Sets the time, as of SteadyNow(), from which on Take() doesn't
  /// wait.
  void SetDeadline(Millis deadline) { m_deadline = deadline; }

  /// @brief Waits until the credit is positive, then subtracts a chunk from it.
  /// @return Whether the chunk may be sent; false once closed, or if the wait
  /// has reached the deadline.
  [[nodiscard]] bool Take(std::size_t bytes);

  /// @return Whether Take() no longer waits: closed, or past the deadline.
  [[nodiscard]] bool HasEnded() const;

 private:
  std::int64_t m_bytes;
  bool m_is_closed = false;
  std::optional<Millis> m_deadline;
  FiberEvent m_changed;
};

/// @brief State of one call at one process. Owned both by the fiber that serves
/// the call and by the link that receives its messages.
struct CallState {
  BodyPipe m_request_body;
  BodyPipe m_response_body;
  SendCredit m_request_credit{0};
  SendCredit m_response_credit{kBodyWindowBytes};
  std::optional<ResponseStart> m_response;
  /// The target's node has granted request body credit at least once.
  bool m_has_request_credit = false;
  /// The target's node has aborted the call, or the link to it closed.
  bool m_is_target_lost = false;
  /// The target's node has not responded to a ping in time. It may still be at
  /// work on the call.
  bool m_is_peer_silent = false;
  /// The entry side has cancelled the call, or the link to it closed.
  bool m_cancelled = false;
  /// Called by the first Cancel(): when the entry side cancels the call or the
  /// link to it closes.
  std::function<void()> m_on_cancel;
  FiberEvent m_changed;

  /// @brief Grants credit for the request body and records that credit was
  /// granted.
  void GrantRequestBody(std::size_t bytes);

  /// @brief Records that the entry side cancelled the call or was lost, so that
  /// the target side stops. Calls m_on_cancel the first time; later calls have
  /// no effect.
  void Cancel();

  /// @brief Takes the head of the response. The rest of the request body is not
  /// needed any more, so waiting for its credit ends.
  void SetResponse(ResponseStart response);

  /// @brief Records that the caller no longer waits for the response: waiting
  /// for a response or for request credit ends.
  void MarkCallerGone();

  /// @brief Marks the target side as lost: waiting for a response or for
  /// credit ends, and a partial response body counts as truncated.
  void MarkLost();

  /// @brief Marks the target's node as silent.
  void MarkSilent();
};

/// @brief Entry side of a call: sends the request to the target's node.
class RequestSender {
 public:
  virtual ~RequestSender() = default;
  /// @brief Waits for credit and sends a chunk of the request's body.
  /// @param complete Whether the chunk ends the body.
  /// @return Whether further chunks can be sent.
  virtual bool SendBody(std::string bytes, bool complete) = 0;
  /// @brief Cancels the call at the target's node.
  virtual void Cancel(const std::string& reason) = 0;
};

/// @brief Target side of a call: sends the response to the entry node.
class ResponseSender {
 public:
  virtual ~ResponseSender() = default;
  /// @brief Sends the head and the first bytes of the response.
  /// @return Whether chunks of its body can follow.
  virtual bool SendResponse(ResponseStart response) = 0;
  /// @brief Waits for credit and sends a chunk of the response's body.
  /// @param complete Whether the chunk ends the body.
  /// @return Whether further chunks can be sent.
  virtual bool SendBody(std::string bytes, bool complete) = 0;
  /// @brief Aborts the response. Its body then counts as truncated.
  virtual void Cut(const std::string& reason) = 0;
  /// @brief Grants the sender of the request's body one window of credit.
  virtual void GrantInitialCredit() = 0;
};

/// @brief A call sent to a target's node.
struct OutboundCall {
  std::shared_ptr<CallState> m_state;
  std::unique_ptr<RequestSender> m_sender;

  /// @brief Waits for the response.
  /// @return The response; nullopt if `until` passes, the call is cancelled or
  /// the target's node is lost before the response has arrived.
  [[nodiscard]] std::optional<ResponseStart> AwaitResponse(Millis until) const;

  /// @brief Waits for the response, but no longer once the target's node is
  /// silent.
  [[nodiscard]] std::optional<ResponseStart> AwaitResponseOrSilence(
      Millis until) const;
};

/// @brief A call received for this node's own target.
struct InboundCall {
  CallStart m_start;
  std::shared_ptr<CallState> m_state;
  std::unique_ptr<ResponseSender> m_sender;
};

/// @brief Both sides of a call whose entry node serves the target itself.
struct LocalCall {
  OutboundCall m_outbound;
  InboundCall m_inbound;
};
[[nodiscard]] LocalCall MakeLocalCall(CallStart start);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_CALL_H_
