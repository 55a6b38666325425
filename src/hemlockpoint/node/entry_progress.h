#ifndef HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_
#define HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_

#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/node/entry_service.h"

namespace hemlockpoint {

/// @brief State of one call at its entry node, across all its attempts.
struct EntryService::Progress {
  explicit Progress(HttpExchange& exchange) : m_exchange(exchange) {}

  HttpExchange& m_exchange;
  EntryCall m_call;
  /// The first part of the request body, or all of it.
  std::string m_body;
  /// m_body is the whole request body.
  bool m_is_body_complete = true;

  /// Budget of a root call, or of a call whose parent has ended.
  RetryBudget m_own_budget;
  /// Key of the parent in NodeContext::m_running_calls; empty for a root call.
  std::string m_parent_call_id;
  /// Number of this call among the child calls of its parent.
  std::uint64_t m_child_number = 0;

  /// Nodes whose target was tried, oldest first.
  std::vector<NodeId> m_tried;
  /// Node that must get the next attempt.
  std::optional<NodeId> m_redirect;
  std::size_t m_reroutes = 0;
  std::size_t m_attempts = 0;
  /// Grant of the next or current attempt; empty until it is charged.
  std::optional<ChildGrant> m_grant;
  OutboundCall m_outbound;
  std::optional<ResponseStart> m_response;
  /// The exchange cancels the call when the caller disconnects.
  bool m_has_disconnect_callback = false;
  bool m_caller_gone = false;
  /// An earlier attempt may have run at its target.
  bool m_may_have_run = false;
  /// A fiber is copying the request body to the target.
  bool m_is_streaming_body = false;
  /// The body was streamed to a target without being kept, so the call can't
  /// be sent again.
  bool m_is_body_consumed = false;
  FiberEvent m_body_streaming_ended;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_
