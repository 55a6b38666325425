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

/// @brief Bytes that a sender may send before more are granted. The last
/// chunk may exceed the grant, so a receiver holds at most its window and two
/// chunks.
class SendCredit {
 public:
  explicit SendCredit(std::int64_t initial) : m_bytes(initial) {}

  /// @brief Grants further bytes.
  void Add(std::size_t bytes);

  /// @brief Makes pending and later Take() calls fail.
  void Close();

  /// @brief Waits until some credit is left, and charges a chunk to it.
  /// @return Whether the chunk may be sent; false once closed.
  [[nodiscard]] bool Take(std::size_t bytes);

 private:
  std::int64_t m_bytes;
  bool m_closed = false;
  FiberEvent m_changed;
};

/// @brief What arrives for one call at one process. Held by the fiber that
/// serves the call and by the link that delivers to it, whichever ends last.
struct CallState {
  BodyPipe m_request_body;
  BodyPipe m_response_body;
  SendCredit m_request_credit{0};
  SendCredit m_response_credit{kBodyWindowBytes};
  std::optional<ResponseStart> m_response;
  /// The target's node has asked for the rest of the request's body.
  bool m_is_body_requested = false;
  /// The other process, or the link to it, is gone.
  bool m_lost = false;
  /// The caller's side has given up.
  bool m_cancelled = false;
  std::function<void()> m_on_cancel;
  FiberEvent m_changed;

  /// @brief Grants the sender of the request's body more bytes.
  void GrantRequestBody(std::size_t bytes);

  /// @brief Ends the call towards the target; calls m_on_cancel once.
  void Cancel();

  /// @brief Ends the call towards the caller.
  void MarkLost();
};

/// @brief The caller's side of a call: sends to the target's node.
class RequestSender {
 public:
  virtual ~RequestSender() = default;
  /// @return Whether the call still wants the body.
  virtual bool SendBody(std::string bytes, bool complete) = 0;
  virtual void Cancel(const std::string& reason) = 0;
};

/// @brief The target's side of a call: sends to the entry node.
class ResponseSender {
 public:
  virtual ~ResponseSender() = default;
  virtual bool SendResponse(ResponseStart answer) = 0;
  virtual bool SendBody(std::string bytes, bool complete) = 0;
  /// @brief Ends an answer whose body is incomplete.
  virtual void Cut(const std::string& reason) = 0;
  /// @brief Lets the sender of the request's body begin.
  virtual void GrantInitialCredit() = 0;
};

/// @brief A call sent to a target's node.
struct OutboundCall {
  std::shared_ptr<CallState> m_state;
  std::unique_ptr<RequestSender> m_sender;

  /// @return The answer's start, or nothing at the deadline or when the
  /// target's node was lost.
  [[nodiscard]] std::optional<ResponseStart> AwaitResponse(Millis until) const;
};

/// @brief A call received for the target beside this node.
struct InboundCall {
  CallStart m_start;
  std::shared_ptr<CallState> m_state;
  std::unique_ptr<ResponseSender> m_sender;
};

/// @brief Both ends of a call whose target is beside the entry node itself.
struct LocalCall {
  OutboundCall m_outbound;
  InboundCall m_inbound;
};
[[nodiscard]] LocalCall MakeLocalCall(CallStart start);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_CALL_H_
