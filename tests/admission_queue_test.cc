// Who waits, who is refused and who is next when engines have no room.
#include "dandelionscale/core/admission_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int ms) { return kStart + milliseconds(ms); }

WaitTerms Terms(int now_ms, std::uint64_t workspace,
                std::uint32_t priority = 1) {
  return {workspace, priority, milliseconds(600), At(now_ms + 10'000)};
}

TEST_CASE("a wait ends while the answer is still useful") {
  AdmissionQueue queue;
  const auto grant = queue.TryWait(At(0), Terms(0, 1));
  REQUIRE(grant);
  CHECK(grant->until == At(300));
  WaitTerms hurried = Terms(0, 1);
  hurried.deadline = At(400);
  CHECK(queue.TryWait(At(0), hurried)->until == At(100));
}

TEST_CASE("a request that can't expect its turn is refused when it arrives") {
  AdmissionQueue queue;
  // One completion in 100 ms: three may wait 300 ms.
  for (int n = 0; n < 50; ++n) queue.OnCompleted(At(n * 100));
  int granted = 0;
  for (int n = 0; n < 10; ++n) {
    granted += queue.TryWait(At(5000), Terms(5000, 1)).has_value() ? 1 : 0;
  }
  CHECK(granted >= 2);
  CHECK(granted <= 4);
  // Who is refused comes back when the queue has moved, not at once.
  CHECK(queue.RetryAfter(1, 0) >= milliseconds(250));
  CHECK(queue.RetryAfter(1, 1) >= 2 * queue.RetryAfter(1, 0) - milliseconds(1));
}

TEST_CASE("urgent requests are not turned away by a queue of others") {
  AdmissionQueue queue;
  for (int n = 0; n < 50; ++n) queue.OnCompleted(At(n * 100));
  while (queue.TryWait(At(5000), Terms(5000, 1))) {
  }
  const auto urgent = queue.TryWait(At(5000), Terms(5000, 2, 0));
  REQUIRE(urgent);
  CHECK(queue.IsFirst(urgent->ticket));
}

TEST_CASE("replay: one workspace surges tenfold") {
  AdmissionQueue queue;
  struct Waiting {
    FairQueue::Ticket ticket = 0;
    TimePoint until{};
    std::uint64_t workspace = 0;
  };
  std::vector<Waiting> waiting;
  std::map<std::uint64_t, int> asked;
  std::map<std::uint64_t, int> served;
  // Ten workspaces ask 10 times a second each, the first 100 times; engines
  // finish 100 requests a second.
  for (int now = 0; now < 10'000; now += 10) {
    queue.OnCompleted(At(now));
    for (std::uint64_t workspace = 0; workspace < 10; ++workspace) {
      const int gap = workspace == 0 ? 10 : 100;
      const int offset = static_cast<int>(workspace) * 10;
      if ((now + offset) % gap != 0) continue;
      ++asked[workspace];
      if (auto grant = queue.TryWait(At(now), Terms(now, workspace))) {
        waiting.push_back({grant->ticket, grant->until, workspace});
      }
    }
    std::erase_if(waiting, [&](const Waiting& entry) {
      if (entry.until > At(now)) return false;
      queue.OnAbandoned(entry.ticket);
      return true;
    });
    for (auto entry = waiting.begin(); entry != waiting.end(); ++entry) {
      if (!queue.IsFirst(entry->ticket)) continue;
      queue.OnPlaced(At(now), entry->ticket);
      ++served[entry->workspace];
      waiting.erase(entry);
      break;
    }
  }
  // The quiet workspaces keep at least a quarter of the surging one's share of
  // service, and none is starved.
  for (std::uint64_t workspace = 1; workspace < 10; ++workspace) {
    CHECK(served[workspace] * 4 >= asked[workspace]);
  }
  CHECK(served[0] > 0);
}

TEST_CASE("abandoned places are free at once") {
  AdmissionQueue queue;
  const auto first = queue.TryWait(At(0), Terms(0, 1));
  const auto second = queue.TryWait(At(0), Terms(0, 2));
  REQUIRE(second);
  queue.OnAbandoned(first->ticket);
  CHECK(queue.IsFirst(second->ticket));
  CHECK(queue.Size() == 1);
}

}  // namespace
}  // namespace dandelionscale
