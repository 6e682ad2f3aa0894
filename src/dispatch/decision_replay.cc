#include "dandelionscale/dispatch/decision_replay.h"

#include <boost/json.hpp>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>

#include "dandelionscale/core/attempt_policy.h"
#include "dandelionscale/core/load/admission_queue.h"
#include "dandelionscale/core/load/placement_record.h"

namespace dandelionscale {
namespace {

namespace json = boost::json;

// Reads the fields of one log line. After the reads, `IsComplete()` is false if
// a field was missing or had another type. `Key()` does not check that the text
// is hexadecimal.
class LineFields {
 public:
  explicit LineFields(const json::object& fields) : fields(fields) {}

  std::string_view Text(std::string_view name) {
    const json::value* value = this->Find(name);
    if (value == nullptr || !value->is_string()) return this->Missing("");
    return value->get_string();
  }

  template <typename Number>
  Number As(std::string_view name) {
    const json::value* value = this->Find(name);
    if (value == nullptr || !value->is_number()) return this->Missing(Number{});
    boost::system::error_code error;
    const auto number = value->to_number<Number>(error);
    return error ? this->Missing(Number{}) : number;
  }

  bool Flag(std::string_view name) {
    const json::value* value = this->Find(name);
    if (value == nullptr || !value->is_bool()) return this->Missing(false);
    return value->get_bool();
  }

  Duration Microseconds(std::string_view name) {
    return std::chrono::microseconds(this->As<std::int64_t>(name));
  }

  std::uint64_t Key(std::string_view name) {
    constexpr int kHexadecimal = 16;
    const std::string_view text = this->Text(name);
    std::uint64_t key = 0;
    std::from_chars(text.data(), text.data() + text.size(), key, kHexadecimal);
    return key;
  }

  bool Has(std::string_view name) const { return this->fields.contains(name); }

  bool IsComplete() const { return this->complete; }

 private:
  const json::value* Find(std::string_view name) const {
    return this->fields.if_contains(name);
  }

  template <typename Value>
  Value Missing(Value value) {
    this->complete = false;
    return value;
  }

  const json::object& fields;
  bool complete = true;
};

ReplayResult ToReplayResult(bool same) {
  return same ? ReplayResult::kSame : ReplayResult::kDifferent;
}

// The log lists the chosen engine first among the candidates.
ReplayResult ReplayPlacement(LineFields line) {
  const auto candidates = ParseCandidates(line.Text("candidates"));
  PlacementInputs inputs;
  inputs.shared_tokens = line.As<std::uint32_t>("shared_tokens");
  inputs.affinity_key = line.Key("affinity");
  inputs.request_key = line.Key("spread");
  inputs.load_factor = line.As<double>("load_factor");
  inputs.mean_in_flight = line.As<double>("mean_load");
  const std::string_view basis = line.Text("basis");
  // Older builds don't log it.
  const auto zone_rule =
      ParseZoneRule(line.Has("zone_rule") ? line.Text("zone_rule") : "ignored");
  if (line.Has("queue_share")) {
    inputs.engine_queue_share = line.As<double>("queue_share");
  }
  if (!line.IsComplete() || !candidates || candidates->empty() || !zone_rule) {
    return ReplayResult::kNoDecision;
  }
  inputs.zone_rule = *zone_rule;
  inputs.candidates = *candidates;
  const auto decision = ChooseEngine(inputs);
  return ToReplayResult(decision && decision->index == 0 &&
                        ToString(decision->basis) == basis);
}

ReplayResult ReplayWait(LineFields line, bool granted) {
  WaitInputs inputs;
  inputs.waiting = line.As<std::size_t>("waiting");
  inputs.workspaces = line.As<std::size_t>("workspaces");
  inputs.own_waiting = line.As<std::size_t>("own_waiting");
  inputs.completion_gap = line.Microseconds("gap_us");
  inputs.latency_target = line.Microseconds("target_us");
  inputs.time_left = line.Microseconds("time_left_us");
  inputs.priority = line.As<std::uint32_t>("priority");
  // Older builds don't log it.
  if (line.Has("pause_us")) inputs.engine_pause = line.Microseconds("pause_us");
  if (!line.IsComplete()) return ReplayResult::kNoDecision;
  return ToReplayResult(DecideWait(inputs).has_value() == granted);
}

std::optional<AttemptFailure> ParseFailure(std::string_view name) {
  for (AttemptFailure failure : kAttemptFailures) {
    if (ToString(failure) == name) return failure;
  }
  return std::nullopt;
}

ReplayResult ReplayAttempt(LineFields line) {
  const auto failure = ParseFailure(line.Text("failure"));
  AttemptLimits limits;
  limits.max_attempts = line.As<std::uint32_t>("max_attempts");
  limits.is_repeatable = line.Flag("repeatable");
  AttemptHistory history;
  history.sends = line.As<std::uint32_t>("sends");
  history.any_may_have_run = line.Flag("may_have_run");
  history.events_delivered = line.Flag("events_delivered");
  history.can_resume = line.Flag("can_resume");
  history.time_left = line.Microseconds("time_left_us");
  const std::string_view decided = line.Text("decision");
  if (!line.IsComplete() || !failure) return ReplayResult::kNoDecision;
  history.failure = *failure;
  return ToReplayResult(ToString(DecideAfterFailure(limits, history)) ==
                        decided);
}

}  // namespace

ReplayResult ReplayDecision(std::string_view line) {
  boost::system::error_code error;
  const json::value value = json::parse({line.data(), line.size()}, error);
  if (error || !value.is_object()) return ReplayResult::kNoDecision;
  LineFields fields(value.get_object());
  const std::string_view event = fields.Text("event");
  if (event == "request_placed") return ReplayPlacement(fields);
  if (event == "request_waits") return ReplayWait(fields, true);
  if (event == "wait_refused") return ReplayWait(fields, false);
  if (event == "attempt_decided") return ReplayAttempt(fields);
  return ReplayResult::kNoDecision;
}

}  // namespace dandelionscale
