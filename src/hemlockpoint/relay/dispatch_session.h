#ifndef HEMLOCKPOINT_RELAY_DISPATCH_SESSION_H_
#define HEMLOCKPOINT_RELAY_DISPATCH_SESSION_H_

#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/dispatch/slot_queue.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/runtime/fiber_event.h"
#include "hemlockpoint/transport/call.h"

namespace hemlockpoint {

/// @brief State of one call at the node of its target, from its arrival until
/// its response has been relayed.
struct DispatchSession {
  enum class Phase : unsigned char { kWaiting, kRunning, kDropped };

  CallId m_id;
  InboundCall m_call;
  /// The call's entry in the slot queue.
  SlotCall m_queue_entry;
  std::string m_body;
  /// Memory reserved for m_body.
  std::size_t m_reserved_bytes = 0;
  /// Status of the target's response; 0 before it has arrived.
  unsigned m_status = 0;
  Phase m_phase = Phase::kWaiting;
  /// The refusal to send after the dispatcher dropped the call from the queue.
  std::optional<Refusal> m_queue_refusal;
  Millis m_arrival;
  Millis m_deadline;
  Millis m_dispatched_at;
  /// Part of the request may have reached the target.
  bool m_is_dispatched = false;
  /// The first part of the response has been read.
  bool m_is_response_started = false;
  /// A call that the target made for this one was refused, ran out of time or
  /// failed.
  bool m_has_failed_nested_call = false;
  /// The dispatcher closed the connection because the call was overdue.
  bool m_is_closed_as_overdue = false;
  std::shared_ptr<HttpClientCall> m_http;
  /// A fiber is writing the request body.
  bool m_is_writing_body = false;
  /// Signals a change of phase, a cancellation or the end of body writing.
  FiberEvent m_changed;

  [[nodiscard]] bool is_cancelled() const {
    return m_call.m_state->m_cancelled;
  }
  [[nodiscard]] const CallMetadata& metadata() const {
    return m_call.m_start.m_metadata;
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_DISPATCH_SESSION_H_
