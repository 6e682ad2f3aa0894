#ifndef DANDELIONSCALE_CORE_LOAD_ENGINE_RATE_LIMIT_H_
#define DANDELIONSCALE_CORE_LOAD_ENGINE_RATE_LIMIT_H_

#include <optional>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief The rate limit that an engine has stated last: how many requests a
///        second it takes from all routers together.
class EngineRateLimit {
 public:
  /// \brief Records that a response states a limit.
  /// \param rate in requests per second.
  /// \returns true if the engine stated none before.
  bool OnStated(TimePoint now, double rate);
  /// \brief Records that a response states no limit.
  /// \param sent_at when its request was sent. A response to a request that
  ///        was sent before the limit was stated may be older than the
  ///        statement; it proves nothing.
  /// \returns true if there was a limit, which has ended.
  bool OnNotStated(TimePoint now, TimePoint sent_at);

  /// \brief Applies what another router knows, if it is newer.
  /// \param rate none if the engine states no limit.
  /// \param stated_at when the engine stated it.
  /// \returns true if the limit has begun or ended.
  bool OnReported(std::optional<double> rate, TimePoint stated_at);
  /// \brief Records that this router may send nothing until `until`.
  void OnDenied(TimePoint until) { this->denied_until = until; }

  /// \returns true if the engine limits its rate.
  bool IsActive() const { return this->rate.has_value(); }
  /// \returns true if this router, which needs a permit to send a request, may
  ///          ask for one.
  bool MayAsk(TimePoint now) const { return now >= this->denied_until; }
  /// \returns the time until this router may ask; zero if it may now.
  Duration TimeUntilMayAsk(TimePoint now) const;
  /// \returns the limit in requests per second; 0 if there is none.
  double Rate() const { return this->rate.value_or(0); }
  /// \returns the stated limit, or none.
  std::optional<double> Statement() const { return this->rate; }
  /// \returns true if a limit was ever stated.
  bool WasStated() const { return this->stated_at != TimePoint{}; }
  /// \returns the time since the last statement, of a limit or of its end; zero
  ///          before the first.
  Duration Age(TimePoint now) const;

 private:
  std::optional<double> rate;
  TimePoint stated_at{};
  TimePoint denied_until{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_ENGINE_RATE_LIMIT_H_
