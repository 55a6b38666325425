// The command line tool for operators.

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "hemlockpoint/ctl/commands.h"

namespace {

namespace po = boost::program_options;
using hemlockpoint::CtlExitCode;
using hemlockpoint::CtlOptions;

constexpr const char* kNodeVariable = "HEMLOCKCTL_NODE";
constexpr const char* kTokenVariable = "HEMLOCKCTL_TOKEN";

std::string ReadEnvironment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

po::options_description DescribeOptions() {
  po::options_description description("Options");
  description.add_options()("help", "show this help")(
      "node", po::value<std::vector<std::string>>()->composing(),
      "ADDRESS:PORT of an operator listener, of a control host for most "
      "commands; may be repeated; default $HEMLOCKCTL_NODE")(
      "output", po::value<std::string>()->default_value("text"),
      "text or json")("section", po::value<std::string>(),
                      "section of the policy document")(
      "base", po::value<std::uint64_t>(),
      "revision of the section that the change started from")(
      "change-id", po::value<std::string>(),
      "names the change, so that it can be resent")(
      "actor", po::value<std::string>(), "who makes the change")(
      "file", po::value<std::string>()->default_value("-"),
      "file to read; - for standard input");
  return description;
}

void PrintUsage(std::ostream& out) {
  out << "usage: hemlockctl [options] COMMAND [argument]\n\nCommands:\n";
  for (const std::string& name : hemlockpoint::CommandNames()) {
    out << "  " << name << "\n";
  }
  out << "\n"
      << DescribeOptions() << "\nThe token of an operator is read from $"
      << kTokenVariable << ".\n";
}

std::string OptionText(const po::variables_map& values, const char* name) {
  return values.count(name) != 0 ? values[name].as<std::string>() : "";
}

bool ReadNodeEndpoints(const po::variables_map& values, CtlOptions& options) {
  std::vector<std::string> nodes;
  if (values.count("node") != 0) {
    nodes = values["node"].as<std::vector<std::string>>();
  } else if (const std::string node = ReadEnvironment(kNodeVariable);
             !node.empty()) {
    nodes.push_back(node);
  }
  for (const std::string& text : nodes) {
    const auto endpoint = hemlockpoint::ParseEndpoint(text);
    if (!endpoint) {
      std::cerr << "hemlockctl: --node " << text << ": " << endpoint.reason()
                << "\n";
      return false;
    }
    options.m_nodes.push_back(*endpoint);
  }
  return true;
}

// Removes the command name from the front of `words`. The name is two words,
// such as "policy apply", unless the first word alone is a command.
std::string ParseCommandName(std::vector<std::string>& words) {
  const std::vector<std::string> names = hemlockpoint::CommandNames();
  std::string name = words.front();
  words.erase(words.begin());
  const auto is_command = [&](const std::string& candidate) {
    return std::find(names.begin(), names.end(), candidate) != names.end();
  };
  if (!is_command(name) && !words.empty()) {
    name += " " + words.front();
    words.erase(words.begin());
  }
  return name;
}

int Run(const std::string& command, const CtlOptions& options) {
  hemlockpoint::FiberLoop loop;
  const hemlockpoint::AdminClient client(loop);
  CtlExitCode exit = CtlExitCode::kDone;
  loop.Spawn([&] {
    exit = hemlockpoint::RunCommand(command, options, client, std::cout,
                                    std::cerr);
    loop.Stop();
  });
  loop.Run();
  return static_cast<int>(exit);
}

}  // namespace

// An uncaught exception terminates the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  po::options_description all = DescribeOptions();
  all.add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hemlockctl: " << error.what() << "\n";
    return static_cast<int>(CtlExitCode::kUsage);
  }
  if (values.count("help") != 0) {
    PrintUsage(std::cout);
    return 0;
  }
  const std::string output = OptionText(values, "output");
  CtlOptions options;
  if (values.count("words") == 0 || !ReadNodeEndpoints(values, options) ||
      (output != "text" && output != "json")) {
    PrintUsage(std::cerr);
    return static_cast<int>(CtlExitCode::kUsage);
  }
  std::vector<std::string> words =
      values["words"].as<std::vector<std::string>>();
  const std::string command = ParseCommandName(words);
  options.m_arguments = words;
  options.m_json = output == "json";
  options.m_file = OptionText(values, "file");
  options.m_section = OptionText(values, "section");
  options.m_change_id = OptionText(values, "change-id");
  options.m_actor = OptionText(values, "actor");
  options.m_token = ReadEnvironment(kTokenVariable);
  if (values.count("base") != 0) {
    options.m_base = values["base"].as<std::uint64_t>();
  }
  return Run(command, options);
}
