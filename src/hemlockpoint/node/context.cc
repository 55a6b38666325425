#include "hemlockpoint/node/context.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <random>

namespace hemlockpoint {

namespace {

pcg64 SeedFromSystem() {
  std::random_device device;
  std::seed_seq seeds{device(), device(), device(), device()};
  return pcg64(seeds);
}

}  // namespace

NodeContext::NodeContext(const Settings& settings, FiberLoop& loop)
    : m_settings(settings),
      m_loop(loop),
      m_incarnation(static_cast<std::uint64_t>(UnixMillis())),
      m_random(SeedFromSystem()) {
  m_entry.m_policy = std::make_shared<const Policy>(DefaultPolicy());
  m_entry.m_pass_through = settings.m_pass_through;
}

double NodeContext::Random() {
  return std::uniform_real_distribution<double>(0, 1)(m_random);
}

RequestId NodeContext::NewRequestId() {
  std::array<char, 40> suffix{};
  const std::uint64_t high = m_random();
  std::snprintf(suffix.data(), suffix.size(), "-%016" PRIx64, high);
  return RequestId(m_settings.m_node.value() + suffix.data());
}

}  // namespace hemlockpoint
