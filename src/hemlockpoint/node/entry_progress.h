#ifndef HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_
#define HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_

#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/node/entry_service.h"

namespace hemlockpoint {

/// @brief One call on its way through the entry, over all its attempts.
struct EntryService::Progress {
  explicit Progress(HttpExchange& exchange) : m_exchange(exchange) {}

  HttpExchange& m_exchange;
  EntryCall m_call;
  std::string m_body;
  bool m_is_body_complete = true;

  RetryBudget m_own_budget;
  std::string m_parent_call_id;
  std::uint64_t m_child_number = 0;

  std::vector<NodeId> m_tried;
  std::optional<NodeId> m_redirect;
  std::size_t m_reroutes = 0;
  std::size_t m_attempts = 0;
  std::optional<ChildGrant> m_grant;
  OutboundCall m_outbound;
  std::optional<ResponseStart> m_response;
  bool m_has_disconnect_callback = false;
  bool m_caller_gone = false;
  bool m_any_unknown = false;
  bool m_is_streaming_body = false;
  bool m_is_body_consumed = false;
  FiberEvent m_body_streaming_ended;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ENTRY_PROGRESS_H_
