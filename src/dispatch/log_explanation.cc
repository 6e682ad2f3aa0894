#include "dandelionscale/dispatch/log_explanation.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <optional>
#include <set>

#include "dandelionscale/dispatch/decision_replay.h"

namespace dandelionscale {
namespace {

namespace json = boost::json;

// State changes within this many lines of the merged logs before and after the
// request are shown with it.
constexpr std::size_t kContextLines = 200;

struct LogLine {
  std::string text;
  json::object fields;

  std::string Text(std::string_view name) const {
    const json::value* value = this->fields.if_contains(name);
    if (value == nullptr || !value->is_string()) return {};
    return std::string(value->as_string());
  }
};

std::vector<LogLine> ParseLines(std::span<const std::string> log_lines) {
  std::vector<LogLine> lines;
  for (const std::string& text : log_lines) {
    const auto start = text.find('{');
    if (start == std::string::npos) continue;
    boost::system::error_code error;
    json::value value = json::parse(text.substr(start), error);
    if (error || !value.is_object()) continue;
    lines.push_back({text.substr(start), std::move(value.as_object())});
  }
  return lines;
}

// Cause for each `reason` of the final log line. The texts follow
// docs/OPERATIONS.md.
std::string CauseOf(const LogLine& last) {
  static const std::map<std::string, std::string, std::less<>> kCauses = {
      {"no_configuration",
       "the router had just started and had no "
       "configuration; the request was not run"},
      {"no_route",
       "no route of the configuration in force matches host and "
       "path"},
      {"unknown_key",
       "the key is in no workspace of the configuration in "
       "force"},
      {"queue_full",
       "all engines were full and the queue could not serve the "
       "request in time; it was not run"},
      {"no_room", "no engine had room while the request waited"},
      {"no_engine", "no engine of the service could be used"},
      {"shutting_down",
       "the router was shutting down and could not be expected to answer the "
       "request before its end; it was not run"},
      {"deadline", "the client's deadline or the route's timeout passed"},
      {"no_answer",
       "the connection to the engine broke after the request was "
       "sent; it may have run"},
      {"bad_answer", "the engine sent no valid response to the request"},
      {"engine_error", "the engine ran the request and failed"},
      {"stream_broken",
       "the engine ended the stream early and no other engine could "
       "resume it"},
      {"refused", "the engine refused: it was full or draining; not run"},
      {"wrong_engine", "the address belongs to another engine now; not run"},
      {"not_connected", "no connection to an engine could be made; not run"}};
  const std::string outcome = last.Text("outcome");
  if (last.Text("event") != "request_finished") {
    return "no final line: the router ended or the log was cut off";
  }
  if (outcome == "answered") return "answered; nothing failed";
  if (outcome == "client_gone") return "the client closed its connection first";
  auto found = kCauses.find(last.Text("reason"));
  return found == kCauses.end() ? "unknown reason " + last.Text("reason")
                                : found->second;
}

bool IsStateChange(const LogLine& line) {
  static const std::set<std::string, std::less<>> kStateChangeEvents = {
      "engine_belief",
      "configuration_in_force",
      "store_lost",
      "store_regained",
      "peer_lost",
      "readiness",
      "draining",
      "stopped",
      "start",
      "log_dropped",
      "store_restored",
      "engine_pause",
      "watch_role",
      "reachability_lost",
      "reachability_regained",
      "zone_evacuated",
      "zone_restored"};
  return kStateChangeEvents.contains(line.Text("event"));
}

// Returns true for a line of a router that carried a tunnel for the one that
// handled the request.
bool IsOfCarrier(const LogLine& line) {
  static const std::set<std::string, std::less<>> kCarrierEvents = {
      "tunnel_carried", "tunnel_refused", "tunnel_ended"};
  return kCarrierEvents.contains(line.Text("event"));
}

// Returns the state changes of the router that handled the request, except
// those of engines that the request did not use.
std::vector<std::string> ContextOf(const std::vector<LogLine>& lines,
                                   std::size_t first, std::size_t last,
                                   const std::set<std::string>& engines) {
  std::vector<std::string> context;
  const std::string router = lines[first].Text("process");
  const std::size_t from = first > kContextLines ? first - kContextLines : 0;
  const std::size_t to = std::min(lines.size(), last + kContextLines);
  for (std::size_t n = from; n < to; ++n) {
    const LogLine& line = lines[n];
    if (!IsStateChange(line) || line.Text("process") != router) continue;
    const std::string engine = line.Text("engine");
    if (engine.empty() || engines.contains(engine)) {
      context.push_back(line.text);
    }
  }
  return context;
}

// An engine that responded to other requests between the first and the last
// line of this request is unlikely to have failed as a whole.
std::vector<std::string> ContradictionsOf(
    const std::vector<LogLine>& lines, std::size_t first, std::size_t last,
    const std::set<std::string>& failed_engines) {
  std::map<std::string, std::string> engine_of;
  std::map<std::string, int> answered;
  for (std::size_t n = first; n <= last; ++n) {
    const std::string event = lines[n].Text("event");
    if (event == "request_placed") {
      engine_of[lines[n].Text("request")] = lines[n].Text("engine");
    } else if (event == "request_finished" &&
               lines[n].Text("outcome") == "answered") {
      auto found = engine_of.find(lines[n].Text("request"));
      if (found != engine_of.end()) ++answered[found->second];
    }
  }
  std::vector<std::string> contradictions;
  for (const std::string& engine : failed_engines) {
    if (answered[engine] == 0) continue;
    contradictions.push_back(
        fmt::format("engine {} answered {} other requests meanwhile", engine,
                    answered[engine]));
  }
  return contradictions;
}

}  // namespace

RequestExplanation ExplainRequest(std::string_view request_id,
                                  std::span<const std::string> log_lines) {
  std::vector<LogLine> lines = ParseLines(log_lines);
  std::stable_sort(lines.begin(), lines.end(),
                   [](const LogLine& left, const LogLine& right) {
                     return left.Text("time") < right.Text("time");
                   });
  RequestExplanation explanation;
  std::optional<std::size_t> first;
  std::size_t last = 0;
  std::set<std::string> engines;
  std::set<std::string> failed_engines;
  for (std::size_t n = 0; n < lines.size(); ++n) {
    if (lines[n].Text("request") != request_id) continue;
    explanation.lines.push_back(lines[n].text);
    if (IsOfCarrier(lines[n])) continue;
    if (!first) first = n;
    last = n;
    const ReplayResult replayed = ReplayDecision(lines[n].text);
    if (replayed != ReplayResult::kNoDecision) ++explanation.decisions;
    if (replayed == ReplayResult::kDifferent) {
      explanation.mismatches.push_back(lines[n].text);
    }
    engines.insert(lines[n].Text("engine"));
    if (lines[n].Text("event") == "attempt_failed") {
      failed_engines.insert(lines[n].Text("engine"));
    }
  }
  if (!first) return explanation;
  explanation.cause = CauseOf(lines[last]);
  explanation.context = ContextOf(lines, *first, last, engines);
  explanation.contradictions =
      ContradictionsOf(lines, *first, last, failed_engines);
  return explanation;
}

}  // namespace dandelionscale
