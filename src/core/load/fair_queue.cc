#include "dandelionscale/core/load/fair_queue.h"

#include <algorithm>

namespace dandelionscale {

FairQueue::Ticket FairQueue::Add(std::uint64_t workspace_hash,
                                 std::uint32_t weight, std::uint32_t priority) {
  const Ticket ticket = this->next_ticket++;
  double& finish = this->last_finish[workspace_hash];
  const double start = std::max(this->virtual_time, finish);
  finish = start + 1.0 / std::max<std::uint32_t>(1, weight);
  const Position position{priority, start, ticket};
  this->order.insert(position);
  this->positions[ticket] = position;
  return ticket;
}

void FairQueue::Remove(Ticket ticket) {
  auto found = this->positions.find(ticket);
  if (found == this->positions.end()) return;
  if (this->IsFirst(ticket)) {
    this->virtual_time = std::max(this->virtual_time, found->second.start);
  }
  this->order.erase(found->second);
  this->positions.erase(found);
  if (this->order.empty()) {
    this->virtual_time = 0;
    this->last_finish.clear();
  }
}

bool FairQueue::IsFirst(Ticket ticket) const {
  return !this->order.empty() && this->order.begin()->ticket == ticket;
}

}  // namespace dandelionscale
