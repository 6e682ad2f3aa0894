// Choice of a route by host and path prefix, and of a service by weight.
#include "dandelionscale/core/routing_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace dandelionscale {
namespace {

Route MakeRoute(std::string name, std::string host, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host = std::move(host);
  route.prefix = std::move(prefix);
  route.services = {{"s", 1}};
  return route;
}

TEST_CASE("the route with the longest matching prefix of the host is chosen") {
  RoutingTable table;
  table.routes = {MakeRoute("short", "a", "/x/"),
                  MakeRoute("long", "a", "/x/y/"),
                  MakeRoute("other", "b", "/")};
  table.BuildIndex();
  CHECK(table.FindRoute("a", "/x/y/z")->name == "long");
  CHECK(table.FindRoute("a", "/x/z")->name == "short");
  CHECK(table.FindRoute("a", "/x") == nullptr);
  CHECK(table.FindRoute("b", "/anything")->name == "other");
  CHECK(table.FindRoute("c", "/x/") == nullptr);
}

TEST_CASE("requests are split by weight, and equal keys get the same service") {
  Route route = MakeRoute("r", "a", "/");
  route.services = {{"big", 90}, {"small", 10}, {"none", 0}};
  std::map<std::string, int> counts;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    const std::string service(ChooseService(route, key));
    CHECK(service == ChooseService(route, key));
    ++counts[service];
  }
  CHECK(counts["big"] == 900);
  CHECK(counts["small"] == 100);
  CHECK(counts.count("none") == 0);
}

TEST_CASE("only idempotent requests and resumable streams may be repeated") {
  Route route;
  route.kind = RouteKind::kStreaming;
  CHECK_FALSE(route.IsRepeatable());
  route.resumable = true;
  CHECK(route.IsRepeatable());
  route.kind = RouteKind::kNonIdempotent;
  CHECK_FALSE(route.IsRepeatable());
  route.kind = RouteKind::kIdempotent;
  CHECK(route.IsRepeatable());
}

}  // namespace
}  // namespace dandelionscale
