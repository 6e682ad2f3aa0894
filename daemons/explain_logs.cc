#include "daemons/explain_logs.h"

#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string_view>
#include <vector>

#include "dandelionscale/dispatch/log_explanation.h"

namespace dandelionscale {
namespace {

std::vector<std::string> ReadLogs(const std::string& paths) {
  std::vector<std::string> lines;
  std::istringstream list(paths);
  for (std::string path; std::getline(list, path, ',');) {
    std::ifstream file(path);
    if (!file) {
      fmt::print(stderr, "log: \"{}\" cannot be read\n", path);
      std::exit(kExitUsage);
    }
    for (std::string line; std::getline(file, line);) lines.push_back(line);
  }
  return lines;
}

void PrintList(std::string_view title, const std::vector<std::string>& lines) {
  if (lines.empty()) return;
  fmt::print("{}:\n", title);
  for (const std::string& line : lines) fmt::print("  {}\n", line);
}

}  // namespace

int ExplainFromLogs(const std::string& paths, const std::string& request_id) {
  const auto explanation = ExplainRequest(request_id, ReadLogs(paths));
  if (explanation.lines.empty()) {
    fmt::print(stderr, "request {} appears in none of the logs\n", request_id);
    return kExitFailed;
  }
  PrintList("request", explanation.lines);
  PrintList("related state changes of its router", explanation.context);
  fmt::print("likely cause: {}\n", explanation.cause);
  PrintList("evidence against this cause", explanation.contradictions);
  fmt::print(
      "decisions replayed from logged inputs: {}, {} with a different result\n",
      explanation.decisions, explanation.mismatches.size());
  // Decisions whose replay differs from the logged result.
  PrintList("otherwise", explanation.mismatches);
  return kExitOk;
}

}  // namespace dandelionscale
