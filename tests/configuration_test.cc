// Validation of configuration documents: all errors are reported in one pass,
// each with its path.
#include "dandelionscale/core/configuration.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace dandelionscale {
namespace {

std::vector<std::string> FaultPaths(std::string_view text) {
  std::vector<std::string> paths;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_CHECK(ParseConfiguration(text, 1));
        return {};
      },
      [&](const ConfigurationFaults& found) {
        for (const auto& fault : found.faults) paths.push_back(fault.path);
      },
      [&] { paths.push_back("untyped"); });
  return paths;
}

TEST_CASE("a well-formed document is accepted") {
  CHECK(FaultPaths(R"({"availability_zones":["n"],
    "services":[{"name":"a","kind":"chat","load_factor":1.5}],
    "engines":[{"name":"e","service":"a","availability_zone":"n",
                "address":"127.0.0.1:1"}],
    "workspaces":[{"name":"w","weight":3,"priority":0}],
    "rules":{"draining_engines":["e"]}})")
            .empty());
}

TEST_CASE("all faults of a document are reported together") {
  const auto paths = FaultPaths(R"({"availability_zones":["n"],
    "services":[{"name":"a","kind":"other","load_factor":0.5},
                {"name":"a","kind":"chat"}],
    "engines":[{"name":"e","service":"b","availability_zone":"m",
                "address":"here","max_in_flight":0,"colour":"red"}],
    "workspaces":[{"weight":-1}],
    "rules":{"draining_engines":["f"]}})");
  const std::vector<std::string> expected = {
      "/services/0/kind",         "/services/0/load_factor",
      "/services/1/name",         "/engines/0/colour",
      "/engines/0/service",       "/engines/0/availability_zone",
      "/engines/0/address",       "/engines/0/max_in_flight",
      "/workspaces/0/name",       "/workspaces/0/weight",
      "/rules/draining_engines/0"};
  CHECK(paths == expected);
}

TEST_CASE("a text that is not JSON is a typed fault") {
  CHECK(FaultPaths("{").size() == 1);
  CHECK(FaultPaths("[]").front().empty());
}

}  // namespace
}  // namespace dandelionscale
