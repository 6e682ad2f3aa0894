// Which software versions may have begun a stream of a service.
#include "dandelionscale/core/software_versions.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint{} + std::chrono::hours(1);

struct Fixture {
  // Lists the engines with these versions, one each.
  void List(TimePoint now, const std::vector<std::string>& listed) {
    std::vector<EngineRecord> records;
    for (const std::string& version : listed) {
      EngineRecord record;
      record.id = "e-" + version;
      record.service = "chat";
      record.address = "127.0.0.1:1";
      record.draining = true;  // Is removed at once when no longer listed.
      record.software_version = version;
      records.push_back(record);
    }
    this->engines.OnSnapshot(now, {0, ++this->number}, records);
    this->changed = this->versions.OnEngines(now, this->engines);
  }

  std::optional<std::string> Only(TimePoint now) const {
    return this->versions.OnlyVersion(now, "chat");
  }

  EngineDirectory engines;
  SoftwareVersions versions{kStart};
  std::set<std::string> changed;
  std::uint64_t number = 0;
};

TEST_CASE("the only version is known once the history is") {
  Fixture fixture;
  fixture.List(kStart, {"v1"});
  CHECK(fixture.changed == std::set<std::string>{"chat"});
  CHECK_FALSE(fixture.Only(kStart));
  fixture.versions.OnHistoryKnown();
  CHECK(fixture.Only(kStart) == "v1");
  CHECK_FALSE(fixture.versions.OnlyVersion(kStart, "plain"));
}

TEST_CASE("a router that has run for long needs no history") {
  Fixture fixture;
  fixture.List(kStart, {"v1"});
  const TimePoint later = kStart + SoftwareVersions::kMemory;
  CHECK_FALSE(fixture.Only(later - milliseconds(1)));
  CHECK(fixture.Only(later) == "v1");
}

TEST_CASE("a version that has left counts until its streams have ended") {
  Fixture fixture;
  fixture.versions.OnHistoryKnown();
  fixture.List(kStart, {"v1"});
  fixture.List(kStart + seconds(1), {"v1", "v2"});
  CHECK_FALSE(fixture.Only(kStart + seconds(1)));
  CHECK(fixture.versions.HasSeveral(kStart + seconds(1), "chat"));
  const TimePoint left = kStart + seconds(100);
  fixture.List(left, {"v2"});
  CHECK(fixture.changed == std::set<std::string>{"chat"});
  CHECK_FALSE(fixture.Only(left));
  const TimePoint end = left + SoftwareVersions::kMemory;
  CHECK_FALSE(fixture.Only(end - milliseconds(1)));
  CHECK(fixture.Only(end) == "v2");
  CHECK_FALSE(fixture.versions.HasSeveral(end, "chat"));
}

TEST_CASE("what routers reported before the start counts") {
  Fixture fixture;
  const std::vector<VersionReport> reports = {
      {"chat", "v1", seconds(20)},
      {"chat", "v2", Duration::zero()},
      {"chat", "v0", SoftwareVersions::kMemory}};
  fixture.versions.OnReports(kStart, reports);
  fixture.versions.OnHistoryKnown();
  fixture.List(kStart, {"v2"});
  CHECK_FALSE(fixture.Only(kStart));
  const TimePoint end = kStart + SoftwareVersions::kMemory - seconds(20);
  CHECK_FALSE(fixture.Only(end - milliseconds(1)));
  CHECK(fixture.Only(end) == "v2");
}

TEST_CASE("a reported version that is not listed any more still counts") {
  Fixture fixture;
  const std::vector<VersionReport> reports = {{"chat", "v1", Duration::zero()}};
  fixture.versions.OnReports(kStart, reports);
  fixture.versions.OnHistoryKnown();
  fixture.List(kStart, {"v2"});
  CHECK_FALSE(fixture.Only(kStart));
}

TEST_CASE("reports say which versions are listed") {
  Fixture fixture;
  fixture.List(kStart, {"v1", "v2"});
  fixture.List(kStart + seconds(1), {"v2"});
  const auto reports = fixture.versions.Reports(kStart + seconds(3));
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].version == "v1");
  CHECK(reports[0].age == seconds(2));
  CHECK(reports[1].age == Duration::zero());
}

TEST_CASE("the number of reported versions is bounded") {
  Fixture fixture;
  for (int n = 0; n < 1000; ++n) {
    const std::vector<VersionReport> reports = {
        {"chat", "v" + std::to_string(n), Duration::zero()}};
    fixture.versions.OnReports(kStart, reports);
  }
  CHECK(fixture.versions.Reports(kStart).size() ==
        SoftwareVersions::kMaxVersions);
}

}  // namespace
}  // namespace dandelionscale
