#include "dandelionscale/core/start_up_check.h"

namespace dandelionscale {
namespace {

// Longest wait for a peer. Covers two digests of every peer that is alive.
constexpr Duration kMaxWait = std::chrono::milliseconds(600);

}  // namespace

bool StartUpCheck::IsComplete(TimePoint now) const {
  return this->confirmed || now - this->started_at >= kMaxWait;
}

}  // namespace dandelionscale
