// Order of service of waiting requests.
#include "dandelionscale/core/load/fair_queue.h"

#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace dandelionscale {
namespace {

TEST_CASE("a lower priority is served after a higher one") {
  FairQueue queue;
  const auto batch = queue.Add(1, 1, 5);
  const auto chat = queue.Add(2, 1, 0);
  CHECK(queue.IsFirst(chat));
  queue.Remove(chat);
  CHECK(queue.IsFirst(batch));
}

TEST_CASE("waiting workspaces are served in proportion to their weights") {
  FairQueue queue;
  std::map<FairQueue::Ticket, std::uint64_t> workspace_of;
  for (int i = 0; i < 400; ++i) {
    workspace_of[queue.Add(1, 1, 1)] = 1;  // more than are served below
  }
  for (int i = 0; i < 90; ++i) workspace_of[queue.Add(2, 3, 1)] = 2;
  int served[3] = {0, 0, 0};
  for (int i = 0; i < 100; ++i) {
    for (const auto& [ticket, workspace] : workspace_of) {
      if (!queue.IsFirst(ticket)) continue;
      queue.Remove(ticket);
      ++served[workspace];
      workspace_of.erase(ticket);
      break;
    }
  }
  CHECK(served[2] >= 73);
  CHECK(served[2] <= 77);
}

}  // namespace
}  // namespace dandelionscale
