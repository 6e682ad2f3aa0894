#ifndef DANDELIONSCALE_TESTS_SUPPORT_CRASHING_FLEET_H_
#define DANDELIONSCALE_TESTS_SUPPORT_CRASHING_FLEET_H_

#include <algorithm>
#include <functional>
#include <vector>

#include "tests/support/platform_fleet.h"

namespace dandelionscale::tests {

/// \brief Routers before engines of one service that crash at some requests
///        and start again.
class CrashingFleet : public PlatformFleet {
 public:
  /// \param maker script of all engines; breaks off at a crashing request.
  /// \param is_crashing tells such requests.
  CrashingFleet(int routers, int engines, const std::string& service,
                const emulator::ScriptMaker& maker,
                std::function<bool(const HttpRequest&)> is_crashing)
      : PlatformFleet(routers),
        routers(routers),
        is_crashing(std::move(is_crashing)),
        seen_crashes(static_cast<std::size_t>(engines)) {
    this->PutConfiguration(3);
    for (int n = 0; n < engines; ++n) this->AddEngine(service, maker);
    for (int router = 1; router <= routers; ++router) {
      this->WaitUntilReady(router);
    }
  }

  /// \brief Sends a request on a new connection, to each router in turn.
  std::string SendInTurn(const std::string& bytes) {
    constexpr std::chrono::milliseconds kReadIdleTimeout(50);
    this->next_router = 1 + this->next_router % this->routers;
    return this->Exchange(this->next_router, bytes, kReadIdleTimeout);
  }
  /// \brief Registers the engines that have crashed since the last call as
  ///        started again.
  void RestartCrashedEngines() {
    for (std::size_t n = 0; n < this->seen_crashes.size(); ++n) {
      const std::size_t crashes = this->CrashesOf(static_cast<int>(n));
      if (crashes > this->seen_crashes[n]) {
        this->RestartEngine(static_cast<int>(n));
      }
      this->seen_crashes[n] = crashes;
    }
  }
  /// \returns the crashing requests that all engines have received.
  std::size_t Crashes() {
    std::size_t count = 0;
    for (std::size_t n = 0; n < this->seen_crashes.size(); ++n) {
      count += this->CrashesOf(static_cast<int>(n));
    }
    return count;
  }

 private:
  std::size_t CrashesOf(int engine) {
    const std::vector<HttpRequest> received = this->Requests(engine);
    return static_cast<std::size_t>(
        std::count_if(received.begin(), received.end(), this->is_crashing));
  }

  int routers;
  int next_router = 1;
  std::function<bool(const HttpRequest&)> is_crashing;
  std::vector<std::size_t> seen_crashes;  ///< By engine.
};

}  // namespace dandelionscale::tests

#endif  // DANDELIONSCALE_TESTS_SUPPORT_CRASHING_FLEET_H_
