#ifndef DANDELIONSCALE_CORE_TRANSFER_BUDGET_H_
#define DANDELIONSCALE_CORE_TRANSFER_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// Bandwidth of a host's link if none is stated: that of the slowest hosts.
inline constexpr std::uint32_t kDefaultLinkMbps = 10;
/// Bytes that a router sends to peers at the same time pass within this time,
/// if nothing else uses its link.
inline constexpr Duration kMaxSendTime = std::chrono::milliseconds(250);

/// \brief Which large bodies a router sends to its peers at the same time.
///
/// Bodies that share a link all arrive late, and none of their receivers can
/// supply others meanwhile. One body after the other lets the number of routers
/// that have it double with each round.
class TransferBudget {
 public:
  /// \param link_mbps bandwidth of the host's link in Mbit/s; 0 if unknown.
  explicit TransferBudget(std::uint32_t link_mbps);

  /// \returns true if a body may be sent now: nothing else is being sent, or
  ///          all together pass within `kMaxSendTime`.
  bool Admits(std::size_t bytes) const;
  void OnBegin(std::size_t bytes) { this->in_flight += bytes; }
  void OnEnd(std::size_t bytes) { this->in_flight -= bytes; }

 private:
  std::size_t max_bytes;
  std::size_t in_flight = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_TRANSFER_BUDGET_H_
