#ifndef DANDELIONSCALE_TRANSPORT_BYTE_COUNTERS_H_
#define DANDELIONSCALE_TRANSPORT_BYTE_COUNTERS_H_

#include <cstdint>

namespace dandelionscale {

/// \brief Bytes sent and received on the sockets of one kind of traffic.
struct ByteCounters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;

  std::uint64_t Total() const { return this->sent + this->received; }
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_TRANSPORT_BYTE_COUNTERS_H_
