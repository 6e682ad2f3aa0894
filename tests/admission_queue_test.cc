// Waiting, refusal and order of service of requests while no engine has room.
#include "dandelionscale/core/load/admission_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));

TimePoint At(int ms) { return kStart + milliseconds(ms); }

WaitRequest MakeRequest(int now_ms, std::uint64_t workspace,
                        std::uint32_t priority = 1) {
  return {workspace, priority, milliseconds(600), At(now_ms + 10'000)};
}

TEST_CASE("the wait is limited by latency target and deadline") {
  AdmissionQueue queue;
  const auto grant = queue.TryEnqueue(At(0), MakeRequest(0, 1));
  REQUIRE(grant);
  CHECK(grant->until == At(300));
  WaitRequest close_deadline = MakeRequest(0, 1);
  close_deadline.deadline = At(400);
  CHECK(queue.TryEnqueue(At(0), close_deadline)->until == At(100));
}

TEST_CASE("a request whose expected wait is too long is refused on arrival") {
  AdmissionQueue queue;
  // With one completion per 100 ms, three requests fit into the longest
  // permitted wait of 300 ms.
  for (int n = 0; n < 50; ++n) queue.OnCompleted(At(n * 100));
  int granted = 0;
  for (int n = 0; n < 10; ++n) {
    granted +=
        queue.TryEnqueue(At(5000), MakeRequest(5000, 1)).has_value() ? 1 : 0;
  }
  CHECK(granted >= 2);
  CHECK(granted <= 4);
  // A refused client should retry once the queue has advanced, not at once.
  CHECK(queue.RetryAfter(1, 0) >= milliseconds(250));
  CHECK(queue.RetryAfter(1, 1) >= 2 * queue.RetryAfter(1, 0) - milliseconds(1));
}

TEST_CASE(
    "urgent requests are admitted although the expected wait is too long") {
  AdmissionQueue queue;
  for (int n = 0; n < 50; ++n) queue.OnCompleted(At(n * 100));
  while (queue.TryEnqueue(At(5000), MakeRequest(5000, 1))) {
  }
  const auto urgent = queue.TryEnqueue(At(5000), MakeRequest(5000, 2, 0));
  REQUIRE(urgent);
  CHECK(queue.IsFirst(urgent->ticket));
}

TEST_CASE("simulation: one workspace sends ten times the load of others") {
  AdmissionQueue queue;
  struct Waiting {
    FairQueue::Ticket ticket = 0;
    TimePoint until{};
    std::uint64_t workspace = 0;
  };
  std::vector<Waiting> waiting;
  std::map<std::uint64_t, int> sent;
  std::map<std::uint64_t, int> served;
  // Nine workspaces send 10 requests/s each, the first one sends 100
  // requests/s; the engines complete 100 requests/s.
  for (int now = 0; now < 10'000; now += 10) {
    queue.OnCompleted(At(now));
    for (std::uint64_t workspace = 0; workspace < 10; ++workspace) {
      const int interval = workspace == 0 ? 10 : 100;
      const int offset = static_cast<int>(workspace) * 10;
      if ((now + offset) % interval != 0) continue;
      ++sent[workspace];
      if (auto grant = queue.TryEnqueue(At(now), MakeRequest(now, workspace))) {
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
  // Each of the other workspaces has at least a quarter of its requests served,
  // and the overloading one is not starved.
  for (std::uint64_t workspace = 1; workspace < 10; ++workspace) {
    CHECK(served[workspace] * 4 >= sent[workspace]);
  }
  CHECK(served[0] > 0);
}

TEST_CASE("clients are told to return within two seconds, jitter included") {
  AdmissionQueue queue;
  for (int n = 0; n < 20; ++n) queue.OnCompleted(At(n * 4000));
  CHECK(queue.RetryAfter(1, 0.999) <= std::chrono::seconds(2));
  CHECK(queue.RetryAfter(1, 0.0) < queue.RetryAfter(1, 0.999));
}

TEST_CASE("a request that no engine wants in time is refused on arrival") {
  AdmissionQueue queue;
  WaitRequest request = MakeRequest(0, 1);
  request.engine_pause = milliseconds(200);
  CHECK(queue.TryEnqueue(At(0), request));
  request.engine_pause = milliseconds(400);
  CHECK_FALSE(queue.TryEnqueue(At(0), request));
}

TEST_CASE("an abandoned request leaves the queue at once") {
  AdmissionQueue queue;
  const auto first = queue.TryEnqueue(At(0), MakeRequest(0, 1));
  const auto second = queue.TryEnqueue(At(0), MakeRequest(0, 2));
  REQUIRE(second);
  queue.OnAbandoned(first->ticket);
  CHECK(queue.IsFirst(second->ticket));
  CHECK(queue.Size() == 1);
}

}  // namespace
}  // namespace dandelionscale
