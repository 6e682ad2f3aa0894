/// \file
/// \brief Decides which services' engines a router reaches by connections of
/// its
///        own.
#ifndef DANDELIONSCALE_CORE_ENGINE_REACHABILITY_H_
#define DANDELIONSCALE_CORE_ENGINE_REACHABILITY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Result of trying to connect to some engines of a service.
struct ReachabilityCheck {
  std::size_t tried = 0;
  std::size_t reached = 0;
  /// A connection was neither made nor refused: open ones hang too.
  bool timed_out = false;
};

/// \brief Tells a partition between a router and the engines of a service from
///        the failure of single engines.
///
/// Failed connections, and silence of all engines of a service while requests
/// wait, only raise a suspicion. It leads to a check,
/// that is, to connections to several engines of each service. A service counts
/// as cut off while a check reaches none of its engines, and until several
/// checks in succession reach all that they try. A service that is cut off
/// again and again stays so for longer.
class EngineReachability {
 public:
  enum class Change { kNone, kLost, kRegained };

  /// \brief Records that a connection to an engine failed or broke.
  void OnSuspicion() { this->suspected = true; }
  /// \brief Records that a request was sent to an engine of the service.
  void OnSent(TimePoint now, std::string_view service);
  /// \brief Records that bytes were received from an engine of the service.
  void OnReceived(std::string_view service);

  /// \returns true if engines should be checked now.
  bool IsCheckDue(TimePoint now) const;
  /// \returns true if the last check is recent enough for a new suspicion.
  bool WasJustChecked(TimePoint now) const;
  /// \brief Records the start of a check.
  /// \returns the services to check, of `services`: only those that are cut
  ///          off, unless there is a suspicion.
  std::vector<std::string> OnCheckStarted(
      TimePoint now, const std::vector<std::string>& services);
  /// \brief Applies the result for one service.
  /// \param has_alternative whether engines can be reached in another way; if
  ///        not, one success is enough to use direct connections again.
  Change OnChecked(TimePoint now, std::string_view service,
                   const ReachabilityCheck& check, bool has_alternative);

  /// \returns true if no engine of the service can be reached directly.
  bool IsCutOff(std::string_view service) const;
  /// \returns the services that are cut off.
  std::vector<std::string> CutOffServices() const;

 private:
  struct ServiceState {
    bool cut_off = false;
    /// When the first request was sent after which no byte was received; none
    /// if bytes were.
    std::optional<TimePoint> silent_since;
    int unanswered = 0;  ///< Requests sent since then.
    TimePoint cut_at{};
    TimePoint regained_at{};
    int successes = 0;  ///< Checks in succession that reached all engines.
    int relapses = 0;   ///< Cuts soon after direct connections were regained.
  };

  bool IsSilent(TimePoint now) const;
  void OnLost(TimePoint now, ServiceState& state);

  std::map<std::string, ServiceState, std::less<>> services;
  bool suspected = false;
  TimePoint checked_at{};
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_REACHABILITY_H_
