// The bounded cache of warm engines per session.
#include "dandelionscale/core/session_memory.h"

#include <catch2/catch.hpp>

namespace dandelionscale {
namespace {

TEST_CASE("the last three engines are kept, newest first") {
  SessionMemory memory(100);
  for (std::uint64_t engine : {11, 12, 13, 14, 13})
    memory.RecordEngine(1, engine);
  const auto engines = memory.Find(1)->All();
  REQUIRE(engines.size() == 3);
  CHECK(engines[0] == 13);
  CHECK(engines[1] == 14);
  CHECK(engines[2] == 12);
  memory.RemoveEngine(1, 14);
  CHECK(memory.Find(1)->All().size() == 2);
}

TEST_CASE("memory is bounded and sessions in use stay") {
  SessionMemory memory(100);
  memory.RecordEngine(1, 11);
  for (std::uint64_t key = 2; key < 1000; ++key) {
    memory.RecordEngine(key, 12);
    REQUIRE(memory.Find(1) != nullptr);
  }
  CHECK(memory.Size() <= 102);
  CHECK(memory.Find(2) == nullptr);
}

TEST_CASE("a handed-over entry does not replace an existing one") {
  SessionMemory memory(100);
  memory.RecordEngine(1, 11);
  WarmEngines handed;
  handed.Touch(12);
  memory.InsertIfAbsent(1, handed);
  memory.InsertIfAbsent(2, handed);
  CHECK(memory.Find(1)->All().front() == 11);
  CHECK(memory.Find(2)->All().front() == 12);
}

}  // namespace
}  // namespace dandelionscale
