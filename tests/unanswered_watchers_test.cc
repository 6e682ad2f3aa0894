// Router processes of which the store leaves some without answers. Guards
// against configurations that the others learn late, since the watchers' calls
// hang and nobody takes their place before these have run into their timeouts.
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <set>
#include <thread>
#include <vector>

#include "tests/support/platform_fleet.h"
#include "tests/support/process_fleet.h"

namespace dandelionscale::tests {
namespace {

using std::chrono::milliseconds;
using SystemClock = std::chrono::system_clock;

constexpr int kRouters = 18;
constexpr std::size_t kElected = 3;
constexpr int kRounds = 3;
// Bound of the platform, from the store's acknowledgement on.
constexpr milliseconds kBound(2000);
// An operator changes the configuration so often and for so long; the store
// falls silent to some routers in the middle.
constexpr milliseconds kChangeInterval(330);
constexpr int kChanges = 12;
constexpr milliseconds kSilence(4500);

// Returns the time that a line of a log states in UTC.
SystemClock::time_point TimeOf(std::string_view line) {
  constexpr std::string_view kField = R"("time":")";
  std::tm time{};
  int milliseconds_part = 0;
  const std::string text(line.substr(line.find(kField) + kField.size()));
  const int fields =
      std::sscanf(text.c_str(), "%d-%d-%dT%d:%d:%d.%dZ", &time.tm_year,
                  &time.tm_mon, &time.tm_mday, &time.tm_hour, &time.tm_min,
                  &time.tm_sec, &milliseconds_part);
  constexpr int kFields = 7;
  REQUIRE(fields == kFields);
  constexpr int kFirstYear = 1900;
  time.tm_year -= kFirstYear;
  time.tm_mon -= 1;
  return SystemClock::from_time_t(::timegm(&time)) +
         milliseconds(milliseconds_part);
}

// A configuration that is in force at a router.
struct InForce {
  std::uint64_t version = 0;
  SystemClock::time_point since;
};

// Returns what a router's log states, in its order.
std::vector<InForce> ParseInForce(std::string_view log) {
  constexpr std::string_view kEvent =
      R"("event":"configuration_in_force","version":)";
  std::vector<InForce> all;
  for (auto at = log.find(kEvent); at != std::string_view::npos;
       at = log.find(kEvent, at + 1)) {
    const auto begin = log.rfind('\n', at);
    const std::size_t line = begin == std::string_view::npos ? 0 : begin + 1;
    const std::string number(log.substr(at + kEvent.size(), 20));
    all.push_back({std::stoull(number), TimeOf(log.substr(line, at - line))});
  }
  return all;
}

struct Fleet : PlatformFleet {
  Fleet() : PlatformFleet(kRouters) {
    this->PutConfiguration(this->version);
    for (int n = 1; n <= kRouters; ++n) {
      this->WaitForConfiguration(n, this->version);
    }
  }

  // Returns the routers that watch the store, and those that do so once these
  // get no answers.
  std::set<int> FindReaders() {
    const std::vector<int> first = this->WaitForElection(kElected).watchers;
    std::set<int> readers(first.begin(), first.end());
    this->LeaveUnanswered(first);
    Eventually([&] {
      for (const int n : this->Roles().watchers) readers.insert(n);
      return readers.size() >= 2 * kElected;
    });
    this->LeaveUnanswered({});
    return readers;
  }

  void Change() {
    this->PutConfiguration(++this->version);
    this->acknowledged[this->version] = SystemClock::now();
  }

  // Returns the longest time from a change until the router had it in force.
  milliseconds LongestDelay(int router) {
    this->WaitForConfiguration(router, this->version);
    const std::vector<InForce> all = ParseInForce(this->Log(router));
    milliseconds longest(0);
    for (const auto& [changed, at] : this->acknowledged) {
      const auto first = std::find_if(
          all.begin(), all.end(), [version = changed](const InForce& entry) {
            return entry.version >= version;
          });
      REQUIRE(first != all.end());
      longest = std::max(
          longest, std::chrono::duration_cast<milliseconds>(first->since - at));
    }
    return longest;
  }

  std::uint64_t version = 3;
  std::map<std::uint64_t, SystemClock::time_point> acknowledged;
};

TEST_CASE("configurations reach all others while the watchers' calls hang") {
  Fleet fleet;
  const std::set<int> readers = fleet.FindReaders();
  for (int round = 0; round < kRounds; ++round) {
    fleet.WaitForElection(kElected);
    for (int n = 0; n < kChanges; ++n) {
      if (n == kChanges / 2) {
        fleet.LeaveUnanswered({readers.begin(), readers.end()});
      }
      fleet.Change();
      std::this_thread::sleep_for(kChangeInterval);
    }
    std::this_thread::sleep_for(kSilence - kChangeInterval * kChanges / 2);
    fleet.LeaveUnanswered({});
  }
  for (int n = 1; n <= kRouters; ++n) {
    if (readers.contains(n)) continue;
    const auto delay = fleet.LongestDelay(n).count();
    CAPTURE(n, delay);
    CHECK(delay <= kBound.count());
  }
}

}  // namespace
}  // namespace dandelionscale::tests
