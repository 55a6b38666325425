#include "fake_target/fake_target.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <random>
#include <utility>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/http/client.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {

namespace {

constexpr Millis kAnnouncePeriod(500);
constexpr Millis kConnectTimeout(500);
constexpr Millis kBodyTimeout(60'000);
constexpr double kColdSlowdownFactor = 4;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kMaxChildConnections = 2000;

// Returns the number that the query of `path` gives for `name`, or `fallback`.
double ParseQueryNumber(const std::string& path,
                        const char* name,
                        double fallback) {
  const std::string key = std::string(name) + "=";
  std::size_t at = path.find('?');
  while (at != std::string::npos) {
    if (path.compare(at + 1, key.size(), key) == 0) {
      return std::atof(path.c_str() + at + 1 + key.size());
    }
    at = path.find('&', at + 1);
  }
  return fallback;
}

// Sends a request and returns the body of its response, whatever its status.
// Returns an empty string when the connection or the exchange fails.
std::string SendSimpleRequest(HttpClientPool& pool,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) {
  auto call = pool.Open(kConnectTimeout);
  if (!call) {
    return "";
  }
  HttpRequestHead head;
  head.m_method = method;
  head.m_path = path;
  head.m_headers.push_back({"Host", "node"});
  if (!(*call)->SendHead(head, body, true) || !(*call)->ReadHead()) {
    return "";
  }
  return (*call)->ReadBody().value_or("");
}

}  // namespace

struct FakeTarget::State {
  State(FakeTargetOptions options, FiberLoop& loop)
      : m_options(std::move(options)),
        m_loop(loop),
        m_http(loop,
               {},
               [this](HttpExchange& exchange) { HandleRequest(exchange); }),
        m_control(
            loop,
            {},
            [this](HttpExchange& exchange) { HandleControlRequest(exchange); }),
        m_node_admin(loop.io(), m_options.m_node_admin, 2),
        m_node_http(loop.io(), m_options.m_node_http, kMaxChildConnections),
        m_random(m_options.m_seed),
        m_started_at(SteadyNow()) {}

  void HandleRequest(HttpExchange& exchange) {
    const std::string path = exchange.head().m_path;
    if (path.rfind("/crash", 0) == 0) {
      std::_Exit(1);
    }
    const auto key =
        FindHeader(exchange.head().m_headers, field::kIdempotencyKey);
    std::string body;
    if (!ReadWholeBody(exchange, body)) {
      return;
    }
    ++m_received;
    bool is_client_gone = false;
    FiberEvent client_disconnected;
    exchange.SetDisconnectCallback([&] {
      is_client_gone = true;
      client_disconnected.Notify();
      m_slot_or_client_changed.Notify();
    });
    m_slot_or_client_changed.Wait(
        [&] { return is_client_gone || m_running < m_options.m_slots; });
    if (is_client_gone) {
      ++m_cancelled;
      return;
    }
    ++m_running;
    m_peak_running = std::max(m_peak_running, m_running);
    if (key) {
      ++m_executions_by_key[std::string(*key)];
    }
    const Millis finish_at = SteadyNow() + DrawServiceTime(path);
    const bool is_cancelled = client_disconnected.WaitUntil(
        finish_at, [&] { return is_client_gone; });
    const bool have_children_succeeded =
        is_cancelled || CallChildren(exchange.head(), is_client_gone);
    --m_running;
    m_slot_or_client_changed.Notify();
    if (is_cancelled || is_client_gone) {
      ++m_cancelled;
      return;
    }
    ++m_served;
    WriteResponse(exchange, path, body, have_children_succeeded);
  }

  static bool ReadWholeBody(HttpExchange& exchange, std::string& body) {
    const Millis until = SteadyNow() + kBodyTimeout;
    while (true) {
      const auto bytes = exchange.ReadBody(until);
      if (!bytes) {
        return false;
      }
      if (bytes->empty()) {
        return true;
      }
      body += *bytes;
    }
  }

  Millis DrawServiceTime(const std::string& path) {
    Millis time(ParseQueryNumber(path, "ms", m_options.m_service_time.value()));
    if (m_options.m_is_exponential) {
      time = Millis(std::exponential_distribution<double>(
          1 / std::max(0.001, time.value()))(m_random));
    }
    if (SteadyNow() - m_started_at < m_options.m_cold_duration) {
      time = time * kColdSlowdownFactor;
    }
    return time * m_slowdown;
  }

  // Echoes the body for "/echo"; otherwise sends "bytes=" bytes (default 16).
  static void WriteResponse(HttpExchange& exchange,
                            const std::string& path,
                            const std::string& body,
                            bool have_children_succeeded) {
    HttpResponseHead head;
    head.m_status = have_children_succeeded ? kOk : kUnavailable;
    head.m_headers.push_back({"Content-Type", "application/octet-stream"});
    if (path.rfind("/echo", 0) == 0) {
      exchange.Respond(head, body);
      return;
    }
    const auto size =
        static_cast<std::size_t>(ParseQueryNumber(path, "bytes", 16));
    if (size <= kMaxChunkBytes) {
      exchange.Respond(head, std::string(size, 's'));
      return;
    }
    // A body over one chunk is streamed under a Content-Length.
    head.m_content_length = size;
    const std::string chunk(kMaxChunkBytes, 's');
    bool is_writable = exchange.StartResponse(head);
    std::size_t bytes_left = size;
    while (is_writable && bytes_left > 0) {
      const std::size_t part_size = std::min(bytes_left, chunk.size());
      is_writable =
          exchange.WriteBody(std::string_view(chunk).substr(0, part_size));
      bytes_left -= part_size;
    }
    if (is_writable) {
      exchange.FinishResponse();
    }
  }

  // Makes the child calls one after another. Returns whether all succeeded.
  bool CallChildren(const HttpRequestHead& head, const bool& is_client_gone) {
    for (const FakeChildCall& child : m_options.m_children) {
      unsigned retries = 0;
      while (!CallChild(head, child)) {
        if (is_client_gone || retries++ >= m_options.m_child_retries) {
          return false;
        }
      }
    }
    return true;
  }

  // Makes one attempt of a child call through the node, with the call id and
  // the deadline of the inbound request.
  bool CallChild(const HttpRequestHead& inbound, const FakeChildCall& child) {
    ++m_child_calls;
    auto call = m_node_http.Open(kConnectTimeout);
    if (!call) {
      return false;
    }
    HttpRequestHead head;
    head.m_method = inbound.m_method;
    head.m_path = child.m_path;
    head.m_headers.push_back({"Host", child.m_service});
    for (const char* name : {field::kCallId, field::kDeadline}) {
      if (const auto value = FindHeader(inbound.m_headers, name)) {
        head.m_headers.push_back({name, std::string(*value)});
      }
    }
    if (!(*call)->SendHead(head, "", true)) {
      return false;
    }
    const auto response = (*call)->ReadHead();
    if (!response) {
      return false;
    }
    auto bytes = (*call)->ReadBody();
    while (bytes && !bytes->empty()) {
      bytes = (*call)->ReadBody();
    }
    return bytes && response->m_status == kOk;
  }

  // Applies the changes in the query, then responds with the counters.
  void HandleControlRequest(HttpExchange& exchange) {
    const std::string path = exchange.head().m_path;
    m_slowdown = ParseQueryNumber(path, "slowdown", m_slowdown);
    m_is_draining = ParseQueryNumber(path, "drain", m_is_draining ? 1 : 0) != 0;
    nlohmann::json json;
    json["received"] = m_received;
    json["served"] = m_served;
    json["cancelled"] = m_cancelled;
    json["running"] = m_running;
    json["peak"] = m_peak_running;
    json["child_calls"] = m_child_calls;
    json["keys"] = m_executions_by_key;
    HttpResponseHead head;
    head.m_status = kOk;
    exchange.Respond(head, json.dump() + "\n");
  }

  void SendAnnouncement() {
    nlohmann::json json;
    json["service"] = m_options.m_service;
    json["address"] = ToText(m_options.m_listen);
    json["slots"] = m_options.m_slots;
    json["connections"] = m_options.m_connections;
    json["state"] = m_is_draining ? "draining" : "ready";
    json["incarnation"] = std::to_string(m_started_at.value());
    SendSimpleRequest(m_node_admin, "POST", "/hemlock/v1/announce",
                      json.dump());
  }

  FakeTargetOptions m_options;
  FiberLoop& m_loop;
  HttpServer m_http;
  HttpServer m_control;
  HttpClientPool m_node_admin;
  HttpClientPool m_node_http;
  pcg64 m_random;
  Millis m_started_at;
  FiberEvent m_slot_or_client_changed;
  // Factor on every service time.
  double m_slowdown = 1;
  bool m_is_draining = false;
  // Requests whose body has been read.
  std::uint64_t m_received = 0;
  std::uint64_t m_served = 0;
  // Requests whose client disconnected before the response.
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_running = 0;
  // Largest value of m_running so far.
  std::uint64_t m_peak_running = 0;
  // Attempts of child calls.
  std::uint64_t m_child_calls = 0;
  // Executions by Idempotency-Key.
  std::map<std::string, std::uint64_t> m_executions_by_key;
};

FakeTarget::FakeTarget(FakeTargetOptions options, FiberLoop& loop)
    : m_state(std::make_unique<State>(std::move(options), loop)) {}

FakeTarget::~FakeTarget() = default;

std::optional<std::string> FakeTarget::Start() {
  auto error = m_state->m_http.Listen(m_state->m_options.m_listen);
  if (!error && m_state->m_options.m_control.m_port != 0) {
    error = m_state->m_control.Listen(m_state->m_options.m_control);
  }
  if (!error) {
    m_state->m_loop.SpawnPeriodic(kAnnouncePeriod, [state = m_state.get()] {
      state->SendAnnouncement();
    });
  }
  return error;
}

void FakeTarget::Stop() {
  m_state->m_http.Drain();
  m_state->m_control.Drain();
}

}  // namespace hemlockpoint
