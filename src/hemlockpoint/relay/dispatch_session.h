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

/// @brief One call at its target's node.
struct DispatchSession {
  enum class Phase : unsigned char { kWaiting, kRunning, kDropped };

  CallId m_id;
  InboundCall m_call;
  /// The call as it waits, and holds its slot.
  SlotCall m_queue_entry;
  std::string m_body;
  unsigned m_status = 0;
  Phase m_phase = Phase::kWaiting;
  /// Why the call was taken out of the queue.
  std::optional<Refusal> m_dropped;
  Millis m_arrival;
  Millis m_deadline;
  Millis m_dispatched_at;
  /// Bytes of the request may have reached the target.
  bool m_handed_over = false;
  bool m_is_response_started = false;
  /// The gate has closed the connection at the deadline.
  bool m_overdue = false;
  std::shared_ptr<HttpClientCall> m_http;
  /// A fiber still writes the request's body.
  bool m_is_writing_body = false;
  FiberEvent m_changed;

  [[nodiscard]] bool cancelled() const { return m_call.m_state->m_cancelled; }
  [[nodiscard]] const CallTerms& terms() const {
    return m_call.m_start.m_terms;
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_DISPATCH_SESSION_H_
