#ifndef DANDELIONSCALE_CORE_LOAD_SERVICE_TIMES_H_
#define DANDELIONSCALE_CORE_LOAD_SERVICE_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief The work of a request, as far as it is known when it arrives.
struct RequestWork {
  /// Prompt tokens that no engine has cached; 0 also if unknown.
  std::uint32_t uncached_tokens = 0;
  /// Output tokens that the client expects. Correct at the median, but single
  /// values are often wrong by a factor of up to about 3.
  std::optional<std::uint32_t> expected_output;
  std::optional<std::uint32_t> max_output;  ///< Limit of the output tokens.
  bool is_stream = false;                   ///< Answered by an event stream.
};

/// \brief How long an answered stream took.
struct StreamTimes {
  Duration first_event{};    ///< From the request's arrival to the first event.
  Duration output{};         ///< From the first event to the end.
  std::uint64_t events = 0;  ///< That the engine has sent.
};

/// \brief The latest observations of one quantity.
class ObservationWindow {
 public:
  /// \brief Adds a value in place of the oldest one if the window is full.
  void Add(double value);
  std::size_t Size() const { return this->values.size(); }
  /// \returns the smallest value that is not exceeded by this share of the
  ///          values; 0 if there are none.
  double Quantile(double share) const;

 private:
  std::vector<double> values;
  std::size_t oldest = 0;  ///< Index of the oldest value in a full window.
};

/// \brief Estimates how long the answers of one service take, from those that
///        this router has relayed.
class ServiceTimes {
 public:
  /// Estimates need this many answers: fewer do not show the spread.
  static constexpr std::size_t kMinObservations = 8;

  /// \brief A stream was answered completely.
  void OnStreamAnswered(const RequestWork& work, const StreamTimes& times);
  /// \brief Another request was answered, `took` after it arrived.
  void OnCallAnswered(Duration took);

  /// \returns the time from the arrival of a request to the end of its answer,
  ///          which no more than about one in 20 such requests exceeds;
  ///          nothing while too few answers are known.
  std::optional<Duration> ConservativeEstimate(const RequestWork& work) const;
  /// \returns the number of answers that such an estimate is based on.
  std::size_t Observations(const RequestWork& work) const;

 private:
  struct FirstEvent {
    double tokens = 0;
    double seconds = 0;
  };
  // Time to the first event as a linear function of the uncached tokens.
  struct FirstEventModel {
    double base = 0;
    double per_token = 0;
    double most_tokens = 0;  ///< Largest number of tokens observed.

    double Predict(double tokens) const;
  };

  FirstEventModel FitFirstEvents() const;
  double EstimateFirstEvent(const RequestWork& work) const;
  std::optional<double> EstimateOutput(const RequestWork& work) const;

  std::vector<FirstEvent> first_events;
  std::size_t oldest_first_event = 0;
  /// Seconds of output for each token that the client expected. The spread
  /// covers both the engines' pace and the errors of the expectations.
  ObservationWindow seconds_per_expected_token;
  ObservationWindow seconds_per_event;
  ObservationWindow output_seconds;
  ObservationWindow call_seconds;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_SERVICE_TIMES_H_
