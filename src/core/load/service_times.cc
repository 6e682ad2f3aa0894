#include "dandelionscale/core/load/service_times.h"

#include <algorithm>
#include <cmath>

namespace dandelionscale {
namespace {

// Observations that are kept of each quantity.
constexpr std::size_t kWindowSize = 128;
// A stream that is cut off costs its caller some seconds and a repeat, a
// refusal a few tenths of a second. So a request is refused if more than one in
// 20 like it would be cut off.
constexpr double kConservativeShare = 0.95;
// That quantile needs this many values. With fewer it is the largest one, and
// the estimate is at least the median times the factor by which clients'
// expectations of the output are often wrong.
constexpr std::size_t kQuantileObservations = 20;
constexpr double kExpectationSpread = 3;
// Shorter streams say little about the time for each event.
constexpr std::uint64_t kMinEvents = 4;
// A predicted time to the first event is at least this long, so that observed
// times can be divided by it.
constexpr double kMinFirstEventSeconds = 0.001;

double ToSeconds(Duration duration) {
  return std::max(0.0, std::chrono::duration<double>(duration).count());
}

}  // namespace

void ObservationWindow::Add(double value) {
  if (this->values.size() < kWindowSize) {
    this->values.push_back(value);
    return;
  }
  this->values[this->oldest] = value;
  this->oldest = (this->oldest + 1) % kWindowSize;
}

double ObservationWindow::Quantile(double share) const {
  if (this->values.empty()) return 0;
  std::vector<double> sorted = this->values;
  const auto count = static_cast<double>(sorted.size());
  const auto rank = static_cast<std::size_t>(std::ceil(share * count));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(index),
                   sorted.end());
  return sorted[index];
}

void ServiceTimes::OnStreamAnswered(const RequestWork& work,
                                    const StreamTimes& times) {
  const FirstEvent first_event = {static_cast<double>(work.uncached_tokens),
                                  ToSeconds(times.first_event)};
  if (this->first_events.size() < kWindowSize) {
    this->first_events.push_back(first_event);
  } else {
    this->first_events[this->oldest_first_event] = first_event;
    this->oldest_first_event = (this->oldest_first_event + 1) % kWindowSize;
  }
  const double output = ToSeconds(times.output);
  this->output_seconds.Add(output);
  if (times.events >= kMinEvents) {
    // The first event ends the time before the output.
    const auto gaps = static_cast<double>(times.events - 1);
    this->seconds_per_event.Add(output / gaps);
  }
  if (work.expected_output.value_or(0) > 0) {
    this->seconds_per_expected_token.Add(
        output / static_cast<double>(*work.expected_output));
  }
}

void ServiceTimes::OnCallAnswered(Duration took) {
  this->call_seconds.Add(ToSeconds(took));
}

std::optional<Duration> ServiceTimes::ConservativeEstimate(
    const RequestWork& work) const {
  if (this->Observations(work) < kMinObservations) return std::nullopt;
  double seconds = 0;
  if (work.is_stream) {
    const auto output = this->EstimateOutput(work);
    if (!output) return std::nullopt;
    seconds = this->EstimateFirstEvent(work) + *output;
  } else {
    seconds = this->call_seconds.Quantile(kConservativeShare);
  }
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

std::size_t ServiceTimes::Observations(const RequestWork& work) const {
  return work.is_stream ? this->first_events.size() : this->call_seconds.Size();
}

double ServiceTimes::FirstEventModel::Predict(double tokens) const {
  const double known = std::min(tokens, this->most_tokens);
  double seconds =
      std::max(kMinFirstEventSeconds, this->base + this->per_token * known);
  // Beyond what was observed, the time grows at least with the tokens.
  if (tokens > this->most_tokens && this->most_tokens > 0) {
    seconds *= tokens / this->most_tokens;
  }
  return seconds;
}

// Fits a straight line by least squares.
ServiceTimes::FirstEventModel ServiceTimes::FitFirstEvents() const {
  const auto count = static_cast<double>(this->first_events.size());
  double mean_tokens = 0;
  double mean_seconds = 0;
  FirstEventModel model;
  for (const FirstEvent& event : this->first_events) {
    mean_tokens += event.tokens / count;
    mean_seconds += event.seconds / count;
    model.most_tokens = std::max(model.most_tokens, event.tokens);
  }
  double variance = 0;
  double covariance = 0;
  for (const FirstEvent& event : this->first_events) {
    const double distance = event.tokens - mean_tokens;
    variance += distance * distance;
    covariance += distance * (event.seconds - mean_seconds);
  }
  if (variance > 0) model.per_token = std::max(0.0, covariance / variance);
  model.base = mean_seconds - model.per_token * mean_tokens;
  return model;
}

double ServiceTimes::EstimateFirstEvent(const RequestWork& work) const {
  const FirstEventModel model = this->FitFirstEvents();
  ObservationWindow excess;
  for (const FirstEvent& event : this->first_events) {
    excess.Add(event.seconds / model.Predict(event.tokens));
  }
  return model.Predict(static_cast<double>(work.uncached_tokens)) *
         std::max(1.0, excess.Quantile(kConservativeShare));
}

std::optional<double> ServiceTimes::EstimateOutput(
    const RequestWork& work) const {
  const bool has_expectation = work.expected_output.value_or(0) > 0;
  const ObservationWindow& window =
      has_expectation ? this->seconds_per_expected_token : this->output_seconds;
  const std::size_t observations = window.Size();
  if (observations < kMinObservations) return std::nullopt;
  double seconds = window.Quantile(kConservativeShare);
  if (observations < kQuantileObservations) {
    seconds = std::max(seconds, window.Quantile(0.5) * kExpectationSpread);
  }
  if (has_expectation) seconds *= static_cast<double>(*work.expected_output);
  // An event carries one token or more, so that this limit is never too low.
  if (work.max_output && this->seconds_per_event.Size() >= kMinObservations) {
    seconds = std::min(
        seconds, static_cast<double>(*work.max_output) *
                     this->seconds_per_event.Quantile(kConservativeShare));
  }
  return seconds;
}

}  // namespace dandelionscale
