// Estimates by loads that engines have stated.
#include "dandelionscale/core/load/stated_loads.h"

#include <catch2/catch.hpp>
#include <limits>
#include <string>
#include <vector>

#include "dandelionscale/core/hash.h"

namespace dandelionscale::tests {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));
constexpr int kRequests = 20'000;

std::vector<PlacementCandidate> Candidates(
    const std::vector<std::uint32_t>& loads) {
  std::vector<PlacementCandidate> candidates;
  for (std::size_t n = 0; n < loads.size(); ++n) {
    PlacementCandidate candidate;
    candidate.engine_key = 1000 + n;
    candidate.in_flight = loads[n];
    candidate.max_slots = 64;
    candidates.push_back(candidate);
  }
  return candidates;
}

// Requests with a prefix that every engine has cached, at a mean age of reports
// of 875 ms (84 routers).
StatedLoadInputs ForPrefix() {
  StatedLoadInputs use;
  use.peer_report_age = milliseconds(875);
  use.request_key = 1;
  use.affinity_key = 7;
  use.shared_tokens = 700;
  return use;
}

// The count of the first of 4 engines, for which reports show `by_reports`.
std::uint32_t Estimate(const StatedLoads& loads, Duration age,
                       std::uint32_t by_reports, std::uint32_t own = 0) {
  auto candidates = Candidates({by_reports, 5, 5, 5});
  candidates[0].own_in_flight = own;
  for (auto& candidate : candidates) candidate.cached_tokens = 700;
  loads.Apply(kNow + age, ForPrefix(), candidates);
  CHECK(candidates[1].in_flight == 5);
  return candidates[0].in_flight;
}

TEST_CASE("the more recent estimate is used") {
  StatedLoads loads;
  CHECK(Estimate(loads, Duration::zero(), 7) == 7);
  loads.OnStated(kNow, {1000, 20}, 0);
  CHECK(Estimate(loads, milliseconds(874), 7) == 20);
  CHECK(Estimate(loads, milliseconds(876), 7) == 7);
  CHECK(loads.UsedAge(kNow + milliseconds(10), 1000, milliseconds(875)) ==
        milliseconds(10));
  CHECK(!loads.UsedAge(kNow + milliseconds(876), 1000, milliseconds(875)));
}

// In large fleets a rotation takes seconds; a stated load expires earlier.
TEST_CASE("a stated load expires however old the peers' reports are") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 20}, 0);
  auto candidates = Candidates({7});
  StatedLoadInputs use = ForPrefix();
  use.peer_report_age = std::chrono::seconds(4);
  loads.Apply(kNow + milliseconds(1001), use, candidates);
  CHECK(candidates[0].in_flight == 7);
  loads.Expire(kNow + milliseconds(1001));
  CHECK(!loads.UsedAge(kNow, 1000, std::chrono::seconds(4)));
}

TEST_CASE("own requests sent and ended since the statement are counted") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 20}, 4);
  CHECK(Estimate(loads, milliseconds(100), 7, 6) == 22);
  CHECK(Estimate(loads, milliseconds(100), 7, 1) == 17);
}

TEST_CASE("no statement lowers a count below the router's own requests") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 0}, 9);
  CHECK(Estimate(loads, milliseconds(1), 30, 3) == 3);
  CHECK(Estimate(loads, milliseconds(1), 30, 9) == 9);
}

// Guards against a false statement that raises the mean, and so the load bound
// of all engines, without limit.
TEST_CASE("a stated load counts as at most twice the slots") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, std::numeric_limits<std::uint64_t>::max()}, 0);
  CHECK(Estimate(loads, milliseconds(1), 7) == 128);
}

// Guards against a service that waits because its engines state false loads.
TEST_CASE("stated loads alone don't fill all engines of a service") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 1'000'000}, 0);
  loads.OnStated(kNow, {1001, 1'000'000}, 0);
  auto candidates = Candidates({7, 8});
  loads.Apply(kNow, ForPrefix(), candidates);
  CHECK(candidates[0].in_flight == 7);
  CHECK(candidates[1].in_flight == 8);
  // With an engine that has room, they count.
  candidates = Candidates({7, 8, 9});
  loads.Apply(kNow, ForPrefix(), candidates);
  CHECK(candidates[0].in_flight == 128);
  CHECK(candidates[2].in_flight == 9);
}

// Guards against requests that are sent to an overloaded engine, since its
// stated load counts as less than the number at which it is full.
TEST_CASE("a stated load shows that an engine of short requests is full") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 30}, 0);
  auto candidates = Candidates({20, 5});
  for (auto& candidate : candidates) candidate.max_slots = 6;
  StatedLoadInputs use;
  use.peer_report_age = milliseconds(875);
  use.queue_share = 1.25;
  loads.Apply(kNow, use, candidates);
  CHECK(candidates[0].in_flight >= 20);
  CHECK_FALSE(HasRoom(candidates[0], use.queue_share));
}

// Guards against stated loads that are never used where all engines limit their
// rate.
TEST_CASE("stated loads count if all engines limit their rate") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 20}, 0);
  auto candidates = Candidates({7, 5});
  for (auto& candidate : candidates) candidate.limits_rate = true;
  StatedLoadInputs use;
  use.peer_report_age = milliseconds(875);
  loads.Apply(kNow, use, candidates);
  CHECK(candidates[0].in_flight == 20);
}

TEST_CASE("a statement doesn't make an engine usable") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 0}, 0);
  auto candidates = Candidates({7, 7});
  candidates[0].usable = false;
  loads.Apply(kNow, ForPrefix(), candidates);
  CHECK_FALSE(candidates[0].usable);
}

TEST_CASE("late and duplicate forwarded loads are ignored") {
  StatedLoads loads;
  loads.OnForwarded(kNow, {1000, 20, 100, milliseconds(300)}, 2);
  // The same load by way of another peer: the correction by own requests goes
  // on from the first copy.
  loads.OnForwarded(kNow + milliseconds(5), {1000, 20, 100, milliseconds(301)},
                    4);
  CHECK(Estimate(loads, milliseconds(10), 7, 4) == 22);
  // An older one that arrives later.
  loads.OnForwarded(kNow + milliseconds(10), {1000, 9, 100, milliseconds(500)},
                    4);
  CHECK(Estimate(loads, milliseconds(10), 7, 4) == 22);
  loads.OnForwarded(kNow + milliseconds(10), {1000, 9, 100, milliseconds(99)},
                    4);
  CHECK(Estimate(loads, milliseconds(10), 7, 4) == 9);
  loads.OnStated(kNow + milliseconds(10), {1000, 11}, 4);
  CHECK(Estimate(loads, milliseconds(10), 7, 4) == 11);
}

TEST_CASE("forwarded loads with a false age are ignored") {
  StatedLoads loads;
  loads.OnForwarded(kNow, {1000, 20, 400, milliseconds(-1)}, 0);
  loads.OnForwarded(kNow, {1000, 20, 400, std::chrono::hours(1193)}, 0);
  CHECK(Estimate(loads, Duration::zero(), 7) == 7);
  CHECK(loads.Pace(kNow, 1000) == 100);
}

// Guards against loads that circulate between routers for ever.
TEST_CASE("only loads stated to this router are forwarded, for 500 ms") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 20, 250}, 0);
  loads.OnStated(kNow, {1001, 3}, 0);
  loads.OnForwarded(kNow, {1002, 4}, 0);
  // A newer load from a peer replaces the own one.
  loads.OnForwarded(kNow + milliseconds(100), {1001, 5}, 0);
  const auto sent = loads.LoadsToForward(kNow + milliseconds(100));
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].engine_key == 1000);
  CHECK(sent[0].in_flight == 20);
  CHECK(sent[0].pace == 250);
  CHECK(sent[0].age == milliseconds(100));
  CHECK(loads.LoadsToForward(kNow + milliseconds(501)).empty());
}

TEST_CASE("a pace is capped, expires, and is 100 at least") {
  StatedLoads loads;
  const auto pace = [&loads](double stated, Duration age) {
    loads.OnStated(kNow, {1000, 0, stated}, 0);
    return loads.Pace(kNow + age, 1000);
  };
  CHECK(pace(250, milliseconds(600)) == 250);
  CHECK(pace(250, milliseconds(601)) == 100);
  CHECK(pace(9999, milliseconds(1)) == 400);
  CHECK(pace(20, milliseconds(1)) == 100);
  CHECK(pace(std::numeric_limits<double>::quiet_NaN(), milliseconds(1)) == 100);
}

// Share of requests without a prefix that each of the engines gets.
std::vector<double> Shares(const StatedLoads& loads, Duration age,
                           const std::vector<std::uint32_t>& by_reports,
                           Duration work_time) {
  std::vector<double> shares(by_reports.size());
  for (int n = 0; n < kRequests; ++n) {
    auto candidates = Candidates(by_reports);
    StatedLoadInputs use;
    use.peer_report_age = milliseconds(875);
    use.work_time = work_time;
    use.request_key = HashText(std::to_string(n));
    loads.Apply(kNow + age, use, candidates);
    PlacementInputs inputs;
    inputs.candidates = candidates;
    inputs.request_key = use.request_key;
    const auto decision = ChooseEngine(inputs);
    REQUIRE(decision);
    shares[decision->index] += 1.0 / kRequests;
  }
  return shares;
}

TEST_CASE("an engine that is 2.5 times slower gets 0.4 times its share") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 4, 250}, 0);
  const std::vector<std::uint32_t> even(5, 4);
  const auto shares =
      Shares(loads, milliseconds(200), even, WorkTime::kUnknown);
  CHECK(shares[0] == Approx(0.4 * 0.2).margin(0.01));
  for (int n = 1; n < 5; ++n) CHECK(shares[n] == Approx(0.23).margin(0.01));
  // The pace holds when the count, relative to the work time, is stale.
  const auto stale = Shares(loads, milliseconds(590), even, milliseconds(60));
  CHECK(stale[0] == Approx(0.4 * 0.2).margin(0.01));
  const auto expired = Shares(loads, milliseconds(601), even, milliseconds(60));
  CHECK(expired[0] == Approx(0.2).margin(0.01));
}

TEST_CASE("a slow engine takes a request that no other has room for") {
  auto candidates = Candidates({90, 3});
  candidates[1].avoided = true;
  PlacementInputs inputs;
  inputs.candidates = candidates;
  CHECK(ChooseEngine(inputs)->index == 1);
  candidates[0].in_flight = 60;
  CHECK(ChooseEngine(inputs)->index == 0);
}

// Guards against herding to a holder that is slightly below the load bound: the
// nearer it is to the bound, the fewer requests choose it.
TEST_CASE("requests reach a loaded holder of their prefix gradually") {
  StatedLoads loads;
  const auto share_at = [&loads](std::uint32_t in_flight) {
    loads.OnStated(kNow, {1000, in_flight}, 0);
    int chosen = 0;
    for (int n = 0; n < kRequests; ++n) {
      auto candidates = Candidates({10, 10, 10, 10, 10, 10, 10, 10});
      candidates[0].cached_tokens = 700;
      StatedLoadInputs use = ForPrefix();
      use.request_key = HashText(std::to_string(n));
      loads.Apply(kNow, use, candidates);
      PlacementInputs inputs;
      inputs.candidates = candidates;
      inputs.affinity_key = 7;
      inputs.shared_tokens = 700;
      inputs.mean_in_flight = 10;
      const auto decision = ChooseEngine(inputs);
      REQUIRE(decision);
      if (decision->index == 0) ++chosen;
    }
    return static_cast<double>(chosen) / kRequests;
  };
  // The bound for short prefixes is 0.75 * (2 * 10 + 3) = 17.25.
  CHECK(share_at(10) == 1);
  CHECK(share_at(14) > 0.2);
  CHECK(share_at(14) < 0.6);
  CHECK(share_at(15) < share_at(14));
  CHECK(share_at(17) == 0);
}

TEST_CASE("requests with a prefix don't avoid a slow engine") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 4, 400}, 0);
  StatedLoadInputs use = ForPrefix();
  for (use.request_key = 1; use.request_key < 100; ++use.request_key) {
    auto candidates = Candidates({4, 4});
    loads.Apply(kNow, use, candidates);
    CHECK_FALSE(candidates[0].avoided);
  }
}

// Guards against herding: routers with the same low count of one engine must
// not all choose it.
TEST_CASE("one load at most doubles an engine's share") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 0}, 0);
  for (std::size_t engines : {3, 5, 60}) {
    const std::vector<std::uint32_t> even(engines, 9);
    const auto shares =
        Shares(loads, milliseconds(50), even, WorkTime::kUnknown);
    CHECK(shares[0] > 1.0 / static_cast<double>(engines));
    CHECK(shares[0] < 2.1 / static_cast<double>(engines));
  }
}

// A load says nothing of the requests in flight long after the work time.
TEST_CASE("a load that is old for the work time has no weight") {
  StatedLoads loads;
  loads.OnStated(kNow, {1000, 30}, 0);
  const auto estimate = [&loads](Duration age) {
    auto candidates = Candidates({10, 10});
    StatedLoadInputs use;
    use.peer_report_age = milliseconds(875);
    use.work_time = milliseconds(100);
    loads.Apply(kNow + age, use, candidates);
    return candidates[0].in_flight;
  };
  CHECK(estimate(Duration::zero()) == 30);
  CHECK(estimate(milliseconds(100)) == 17);
  CHECK(estimate(milliseconds(800)) == 10);
}

}  // namespace
}  // namespace dandelionscale::tests
