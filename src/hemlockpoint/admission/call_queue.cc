#include "hemlockpoint/admission/call_queue.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

namespace {

using Calls = std::vector<QueuedCall>;

QueuedCall RemoveAt(CallQueue& queue, Calls& calls, std::size_t index) {
  QueuedCall removed = std::move(calls[index]);
  // The order within a class doesn't matter, because DequeueNext() selects by
  // its own criteria. So the last call fills the gap.
  if (index + 1 < calls.size()) {
    calls[index] = std::move(calls.back());
  }
  calls.pop_back();
  --queue.m_size;
  return removed;
}

std::optional<std::size_t> IndexOfLatestDeadline(const Calls& calls) {
  const auto latest = std::max_element(
      calls.begin(), calls.end(), [](const QueuedCall& a, const QueuedCall& b) {
        return a.m_deadline < b.m_deadline;
      });
  if (latest == calls.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(latest - calls.begin());
}

// Orders the calls of a class: the newest arrival first, or else the earliest
// deadline first.
bool GoesBefore(const QueuedCall& a, const QueuedCall& b, bool newest_first) {
  if (newest_first) {
    return a.m_arrival > b.m_arrival;
  }
  return a.m_deadline < b.m_deadline;
}

}  // namespace

std::optional<QueuedCall> Enqueue(CallQueue& queue,
                                  QueuedCall call,
                                  std::size_t capacity,
                                  Millis now) {
  if (queue.m_size == 0) {
    queue.m_last_empty = now;
  }
  std::optional<QueuedCall> displaced;
  if (queue.m_size >= capacity) {
    // One past the least important class that has a call.
    std::size_t end_class = kMaxClasses;
    while (end_class > call.m_class + 1 &&
           queue.m_classes[end_class - 1].empty()) {
      --end_class;
    }
    if (end_class == call.m_class + 1) {
      // No less important call is queued, so the new call is refused.
      return call;
    }
    Calls& calls = queue.m_classes[end_class - 1];
    displaced = RemoveAt(queue, calls, *IndexOfLatestDeadline(calls));
  }
  queue.m_classes[call.m_class].push_back(std::move(call));
  ++queue.m_size;
  return displaced;
}

std::optional<QueuedCall> DequeueNext(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& can_dispatch,
    Millis now) {
  const bool newest_first = IsStandingQueue(queue, now);
  for (Calls& calls : queue.m_classes) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      if (can_dispatch(calls[i]) &&
          (!best || GoesBefore(calls[i], calls[*best], newest_first))) {
        best = i;
      }
    }
    if (best) {
      return RemoveAt(queue, calls, *best);
    }
  }
  return std::nullopt;
}

std::vector<QueuedCall> RemoveIf(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& predicate) {
  std::vector<QueuedCall> removed;
  for (Calls& calls : queue.m_classes) {
    std::size_t i = 0;
    while (i < calls.size()) {
      if (predicate(calls[i])) {
        removed.push_back(RemoveAt(queue, calls, i));
      } else {
        ++i;
      }
    }
  }
  return removed;
}

bool RemoveCall(CallQueue& queue, CallId id) {
  return !RemoveIf(queue, [id](const QueuedCall& queued) {
            return queued.m_call == id;
          }).empty();
}

Millis MaxWaitOfShortCalls(const CallQueue& queue, Millis now) {
  Millis longest_wait(0);
  for (const Calls& calls : queue.m_classes) {
    for (const QueuedCall& call : calls) {
      if (!call.m_long) {
        longest_wait = Max(longest_wait, now - call.m_arrival);
      }
    }
  }
  return longest_wait;
}

bool IsStandingQueue(const CallQueue& queue, Millis now) {
  return queue.m_size > 0 && now - queue.m_last_empty >= kStandingQueueAfter;
}

}  // namespace hemlockpoint
