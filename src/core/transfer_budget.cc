#include "dandelionscale/core/transfer_budget.h"

namespace dandelionscale {
namespace {

constexpr std::size_t kBytesPerMegabit = 1'000'000 / 8;

}  // namespace

TransferBudget::TransferBudget(std::uint32_t link_mbps) {
  const std::size_t mbps = link_mbps > 0 ? link_mbps : kDefaultLinkMbps;
  const auto milliseconds =
      static_cast<std::size_t>(ToMilliseconds(kMaxSendTime));
  constexpr std::size_t kMillisecondsPerSecond = 1000;
  this->max_bytes =
      mbps * kBytesPerMegabit * milliseconds / kMillisecondsPerSecond;
}

bool TransferBudget::Admits(std::size_t bytes) const {
  return this->in_flight == 0 || this->in_flight + bytes <= this->max_bytes;
}

}  // namespace dandelionscale
