// How many large bodies a router sends at a time over its link.
#include "dandelionscale/core/transfer_budget.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

constexpr std::size_t kLargeBytes = 350'000;
constexpr std::size_t kCompressedBytes = 30'000;

int Admitted(TransferBudget budget, std::size_t bytes) {
  int count = 0;
  for (; budget.Admits(bytes) && count < 1000; ++count) budget.OnBegin(bytes);
  return count;
}

TEST_CASE("a slow link carries one large body at a time") {
  CHECK(Admitted(TransferBudget(10), kLargeBytes) == 1);
  CHECK(Admitted(TransferBudget(0), kLargeBytes) == 1);
}

TEST_CASE("several bodies pass together if they pass quickly") {
  CHECK(Admitted(TransferBudget(10), kCompressedBytes) == 10);
  CHECK(Admitted(TransferBudget(200), kLargeBytes) == 17);
}

TEST_CASE("a body may be sent once those before it have passed") {
  TransferBudget budget(10);
  budget.OnBegin(kLargeBytes);
  CHECK_FALSE(budget.Admits(kCompressedBytes));
  budget.OnEnd(kLargeBytes);
  CHECK(budget.Admits(kLargeBytes));
}

}  // namespace
}  // namespace dandelionscale
