// Sends streams of requests in an open loop and reports their outcomes and
// latencies.

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

#include "load.h"

namespace {

namespace po = boost::program_options;
using hemlockpoint::Quantile;
using hemlockpoint::StreamResult;
using hemlockpoint::StreamSpec;

nlohmann::ordered_json ToJson(const StreamSpec& spec,
                              const StreamResult& result) {
  nlohmann::ordered_json json;
  json["name"] = spec.m_name;
  json["requests"] = result.m_requests;
  json["attempts"] = result.m_attempts;
  json["good"] = result.m_successes;
  json["ends"] = result.m_failures_by_reason;
  json["p50_ms"] = Quantile(result.m_success_latencies_ms, 0.5);
  json["p90_ms"] = Quantile(result.m_success_latencies_ms, 0.9);
  json["p99_ms"] = Quantile(result.m_success_latencies_ms, 0.99);
  json["p999_ms"] = Quantile(result.m_success_latencies_ms, 0.999);
  json["good_per_100ms"] = result.m_successes_by_interval;
  return json;
}

void PrintRow(const StreamSpec& spec, const StreamResult& result) {
  const double success_percent =
      result.m_requests == 0 ? 0
                             : 100.0 * static_cast<double>(result.m_successes) /
                                   static_cast<double>(result.m_requests);
  std::printf(
      "%-14s requests %7llu  good %7llu (%6.2f%%)  p50 %8.2f  p99 %8.2f ms",
      spec.m_name.c_str(), static_cast<unsigned long long>(result.m_requests),
      static_cast<unsigned long long>(result.m_successes), success_percent,
      Quantile(result.m_success_latencies_ms, 0.5),
      Quantile(result.m_success_latencies_ms, 0.99));
  for (const auto& [reason, count] : result.m_failures_by_reason) {
    std::printf("  %s %llu", reason.c_str(),
                static_cast<unsigned long long>(count));
  }
  std::printf("\n");
}

}  // namespace

// An uncaught exception ends the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  bool as_json = false;
  std::vector<std::string> spec_texts;
  po::options_description description("hemlockload [options]");
  description.add_options()("help", "show this help")(
      "stream", po::value(&spec_texts)->required()->composing(),
      "KEY=VALUE,... with the keys name, entry (repeatable), service, method, "
      "path, caller, token, rate, start, seconds, deadline, body, resends, "
      "keyed, distinct")("seed", po::value(&seed))("json",
                                                   po::bool_switch(&as_json));
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hemlockload: " << error.what() << "\n" << description;
    return 2;
  }
  std::vector<StreamSpec> streams;
  for (const std::string& text : spec_texts) {
    const auto spec = hemlockpoint::ParseStreamSpec(text);
    if (!spec) {
      std::cerr << "hemlockload: --stream: " << spec.reason() << "\n";
      return 2;
    }
    streams.push_back(*spec);
  }
  hemlockpoint::FiberLoop loop;
  std::vector<StreamResult> results;
  loop.Spawn([&] {
    results = hemlockpoint::RunLoad(loop, streams, seed);
    loop.Stop();
  });
  loop.Run();
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (std::size_t i = 0; i < streams.size(); ++i) {
    if (as_json) {
      all.push_back(ToJson(streams[i], results[i]));
    } else {
      PrintRow(streams[i], results[i]);
    }
  }
  if (as_json) {
    std::cout << all.dump() << "\n";
  } else {
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
  }
  return 0;
}
