#include "load.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <memory>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/runtime/await.h"
#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {

namespace {

constexpr std::size_t kMaxConnections = 4000;
constexpr Millis kConnectTimeout(1000);
constexpr unsigned kOk = 200;
// Failed requests are resent until this long after their deadline, because
// responses may arrive late.
constexpr Millis kResendGrace(2000);
constexpr double kMillisPerSecond = 1000;

using ClientPools = std::map<Endpoint, std::unique_ptr<HttpClientPool>>;

// Uses a timer of the event loop, which is more precise than a fiber's sleep.
void SleepUntil(FiberLoop& loop, Millis when) {
  const Millis left = when - SteadyNow();
  if (left <= Millis(0)) {
    return;
  }
  boost::asio::steady_timer timer(loop.io(), ToChrono(left));
  (void)AwaitIo([&](auto handler) {
    timer.async_wait(
        [handler = std::move(handler)](
            boost::system::error_code error) mutable { handler(error, 0); });
  });
}

// State shared by the fibers of one call of RunLoad().
struct LoadRun {
  FiberLoop& m_loop;
  ClientPools m_pools;
  std::uint64_t m_seed;
  Millis m_run_started_at;
  std::size_t m_active_fibers = 0;
  FiberEvent m_fiber_finished;
};

HttpRequestHead MakeHead(const StreamSpec& spec,
                         std::uint64_t number,
                         std::uint64_t seed) {
  HttpRequestHead head;
  head.m_method = spec.m_method;
  head.m_path = spec.m_path;
  if (spec.m_has_distinct_paths) {
    head.m_path += spec.m_path.find('?') == std::string::npos ? '?' : '&';
    head.m_path += "n=" + std::to_string(number);
  }
  head.m_headers.push_back({"Host", spec.m_service});
  head.m_headers.push_back(
      {field::kDeadline, std::to_string(spec.m_deadline.value())});
  if (!spec.m_caller.empty()) {
    head.m_headers.push_back({field::kCaller, spec.m_caller});
  }
  if (!spec.m_token.empty()) {
    head.m_headers.push_back({field::kAuthorization, "Bearer " + spec.m_token});
  }
  if (spec.m_has_idempotency_keys) {
    head.m_headers.push_back(
        {field::kIdempotencyKey, spec.m_name + "-" + std::to_string(seed) +
                                     "-" + std::to_string(number)});
  }
  return head;
}

// Sends a request once. Returns an empty string for a complete response with
// status 200; otherwise the Hemlock-Reason, the status or the transport
// failure.
std::string SendAttempt(HttpClientPool& pool,
                        const HttpRequestHead& head,
                        const std::string& body) {
  auto call = pool.Open(kConnectTimeout);
  if (!call) {
    return "not_connected";
  }
  if (!(*call)->SendHead(head, body, true)) {
    return "connection_lost";
  }
  const auto response = (*call)->ReadHead();
  if (!response) {
    return "connection_lost";
  }
  while (true) {
    const auto bytes = (*call)->ReadBody();
    if (!bytes) {
      return "answer_cut_off";
    }
    if (bytes->empty()) {
      break;
    }
  }
  if (response->m_status == kOk) {
    return "";
  }
  const auto reason = FindHeader(response->m_headers, field::kReason);
  return reason ? std::string(*reason) : std::to_string(response->m_status);
}

void RecordSuccess(StreamResult& result,
                   Millis scheduled_at,
                   Millis run_started_at) {
  ++result.m_successes;
  result.m_success_latencies_ms.push_back((SteadyNow() - scheduled_at).value());
  const auto interval = static_cast<std::size_t>(
      (scheduled_at - run_started_at) / kSuccessIntervalWidth);
  if (result.m_successes_by_interval.size() <= interval) {
    result.m_successes_by_interval.resize(interval + 1);
  }
  ++result.m_successes_by_interval[interval];
}

void SendRequest(LoadRun& run,
                 const StreamSpec& spec,
                 StreamResult& result,
                 std::uint64_t number,
                 Millis scheduled_at) {
  const Endpoint& entry = spec.m_entries[number % spec.m_entries.size()];
  const HttpRequestHead head = MakeHead(spec, number, run.m_seed);
  const std::string body(spec.m_body_bytes, 'b');
  std::string failure;
  for (unsigned attempt = 0; attempt <= spec.m_max_resends; ++attempt) {
    ++result.m_attempts;
    failure = SendAttempt(*run.m_pools.at(entry), head, body);
    const bool is_in_time =
        SteadyNow() < scheduled_at + spec.m_deadline + kResendGrace;
    if (failure.empty() || !is_in_time) {
      break;
    }
  }
  if (failure.empty()) {
    RecordSuccess(result, scheduled_at, run.m_run_started_at);
  } else {
    ++result.m_failures_by_reason[failure];
  }
}

// Sends the requests of one stream as a Poisson process.
void RunStream(LoadRun& run, const StreamSpec& spec, StreamResult& result) {
  pcg64 random(run.m_seed);
  std::exponential_distribution<double> gap_ms(spec.m_requests_per_second /
                                               kMillisPerSecond);
  Millis scheduled_at = run.m_run_started_at + spec.m_start_offset;
  const Millis end = scheduled_at + spec.m_duration;
  while (true) {
    scheduled_at += Millis(gap_ms(random));
    if (scheduled_at >= end) {
      return;
    }
    SleepUntil(run.m_loop, scheduled_at);
    const std::uint64_t number = result.m_requests++;
    ++run.m_active_fibers;
    run.m_loop.Spawn([&run, &spec, &result, number, scheduled_at] {
      SendRequest(run, spec, result, number, scheduled_at);
      --run.m_active_fibers;
      run.m_fiber_finished.Notify();
    });
  }
}

}  // namespace

std::vector<StreamResult> RunLoad(FiberLoop& loop,
                                  const std::vector<StreamSpec>& streams,
                                  std::uint64_t seed) {
  LoadRun run{loop, {}, seed, SteadyNow(), 0, {}};
  std::vector<StreamResult> results(streams.size());
  for (const StreamSpec& spec : streams) {
    for (const Endpoint& entry : spec.m_entries) {
      run.m_pools[entry] =
          std::make_unique<HttpClientPool>(loop.io(), entry, kMaxConnections);
    }
  }
  for (std::size_t i = 0; i < streams.size(); ++i) {
    ++run.m_active_fibers;
    loop.Spawn([&run, &streams, &results, i] {
      RunStream(run, streams[i], results[i]);
      --run.m_active_fibers;
      run.m_fiber_finished.Notify();
    });
  }
  run.m_fiber_finished.Wait([&run] { return run.m_active_fibers == 0; });
  for (StreamResult& result : results) {
    std::sort(result.m_success_latencies_ms.begin(),
              result.m_success_latencies_ms.end());
  }
  return results;
}

double Quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) {
    return 0;
  }
  const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
  const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace hemlockpoint
