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
constexpr double kColdSlowdownFactor = 4;
constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kMaxChildConnections = 2000;

// The number behind "name=" in a query, or a fallback.
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

// One short request on a connection of its own.
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
        m_http(loop, {}, [this](HttpExchange& exchange) { Serve(exchange); }),
        m_control(loop,
                  {},
                  [this](HttpExchange& exchange) { Control(exchange); }),
        m_node_admin(loop.io(), m_options.m_node_admin, 2),
        m_node_http(loop.io(), m_options.m_node_http, kMaxChildConnections),
        m_random(m_options.m_seed),
        m_started(SteadyNow()) {}

  void Serve(HttpExchange& exchange) {
    const std::string path = exchange.head().m_path;
    if (path.rfind("/crash", 0) == 0) {
      std::_Exit(1);
    }
    const auto key =
        FindHeader(exchange.head().m_headers, field::kIdempotencyKey);
    std::string body;
    if (!ReadBody(exchange, body)) {
      return;
    }
    ++m_received;
    bool gone = false;
    FiberEvent changed;
    exchange.SetDisconnectCallback([&] {
      gone = true;
      changed.Notify();
      m_slot_or_client_changed.Notify();
    });
    m_slot_or_client_changed.Wait(
        [&] { return gone || m_running < m_options.m_slots; });
    if (gone) {
      ++m_cancelled;
      return;
    }
    ++m_running;
    m_peak_running = std::max(m_peak_running, m_running);
    if (key) {
      ++m_keys[std::string(*key)];
    }
    const Millis until = SteadyNow() + DrawServiceTime(path);
    const bool cut = changed.WaitUntil(until, [&] { return gone; });
    const bool children_ok = cut || CallChildren(exchange.head(), gone);
    --m_running;
    m_slot_or_client_changed.Notify();
    if (cut || gone) {
      ++m_cancelled;
      return;
    }
    ++m_served;
    Answer(exchange, path, body, children_ok);
  }

  static bool ReadBody(HttpExchange& exchange, std::string& body) {
    while (true) {
      const auto bytes = exchange.ReadBody();
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
    if (SteadyNow() - m_started < m_options.m_cold_for) {
      time = time * kColdSlowdownFactor;
    }
    return time * m_slowdown;
  }

  static void Answer(HttpExchange& exchange,
                     const std::string& path,
                     const std::string& body,
                     bool children_ok) {
    HttpResponseHead head;
    head.m_status = children_ok ? kOk : kUnavailable;
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
    // A large answer is streamed, with its length stated.
    head.m_content_length = size;
    const std::string chunk(kMaxChunkBytes, 's');
    bool open = exchange.StartResponse(head);
    std::size_t left = size;
    while (open && left > 0) {
      const std::size_t part = std::min(left, chunk.size());
      open = exchange.WriteBody(std::string_view(chunk).substr(0, part));
      left -= part;
    }
    if (open) {
      exchange.FinishResponse();
    }
  }

  bool CallChildren(const HttpRequestHead& head, const bool& gone) {
    for (const FakeChildCall& child : m_options.m_children) {
      unsigned attempt = 0;
      while (!CallChild(head, child)) {
        if (gone || attempt++ >= m_options.m_child_retries) {
          return false;
        }
      }
    }
    return true;
  }

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
    const auto answer = (*call)->ReadHead();
    if (!answer) {
      return false;
    }
    auto bytes = (*call)->ReadBody();
    while (bytes && !bytes->empty()) {
      bytes = (*call)->ReadBody();
    }
    return bytes && answer->m_status == kOk;
  }

  void Control(HttpExchange& exchange) {
    const std::string path = exchange.head().m_path;
    m_slowdown = ParseQueryNumber(path, "slowdown", m_slowdown);
    m_draining = ParseQueryNumber(path, "drain", m_draining ? 1 : 0) != 0;
    nlohmann::json json;
    json["received"] = m_received;
    json["served"] = m_served;
    json["cancelled"] = m_cancelled;
    json["running"] = m_running;
    json["peak"] = m_peak_running;
    json["child_calls"] = m_child_calls;
    json["keys"] = m_keys;
    HttpResponseHead head;
    head.m_status = kOk;
    exchange.Respond(head, json.dump() + "\n");
  }

  void Announce() {
    nlohmann::json json;
    json["service"] = m_options.m_service;
    json["address"] = ToText(m_options.m_listen);
    json["slots"] = m_options.m_slots;
    json["connections"] = m_options.m_connections;
    json["state"] = m_draining ? "draining" : "ready";
    json["incarnation"] = std::to_string(m_started.value());
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
  Millis m_started;
  FiberEvent m_slot_or_client_changed;
  double m_slowdown = 1;
  bool m_draining = false;
  std::uint64_t m_received = 0;
  std::uint64_t m_served = 0;
  std::uint64_t m_cancelled = 0;
  std::uint64_t m_running = 0;
  std::uint64_t m_peak_running = 0;
  std::uint64_t m_child_calls = 0;
  std::map<std::string, std::uint64_t> m_keys;
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
    m_state->m_loop.SpawnPeriodic(
        kAnnouncePeriod, [state = m_state.get()] { state->Announce(); });
  }
  return error;
}

void FakeTarget::Stop() {
  m_state->m_http.Drain();
  m_state->m_control.Drain();
}

}  // namespace hemlockpoint
