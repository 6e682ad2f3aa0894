#ifndef DANDELIONSCALE_CORE_LOAD_FAIR_QUEUE_H_
#define DANDELIONSCALE_CORE_LOAD_FAIR_QUEUE_H_

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace dandelionscale {

/// \brief Priority queue of waiting requests with fair sharing between
///        workspaces.
///
/// Start-time fair queueing (Goyal, Vin, Cheng 1996) within each priority: the
/// virtual start times of a workspace's requests are 1/weight apart, so that
/// under contention workspaces are served in proportion to their weights.
class FairQueue {
 public:
  using Ticket = std::uint64_t;

  /// \brief Adds a request.
  /// \param weight the workspace's share of service relative to others.
  /// \param priority 0 is served first.
  /// \returns the ticket that identifies the request in this queue.
  Ticket Add(std::uint64_t workspace_hash, std::uint32_t weight,
             std::uint32_t priority);
  /// \brief Removes a request that was served or abandoned.
  void Remove(Ticket ticket);
  /// \returns true if the request is the next to be served.
  bool IsFirst(Ticket ticket) const;
  std::size_t Size() const { return this->order.size(); }

 private:
  struct Position {
    std::uint32_t priority = 0;
    double start = 0;
    Ticket ticket = 0;

    bool operator<(const Position& other) const {
      return std::tie(this->priority, this->start, this->ticket) <
             std::tie(other.priority, other.start, other.ticket);
    }
  };

  Ticket next_ticket = 1;
  double virtual_time = 0;
  std::set<Position> order;
  std::map<Ticket, Position> positions;
  std::unordered_map<std::uint64_t, double> last_finish;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_LOAD_FAIR_QUEUE_H_
