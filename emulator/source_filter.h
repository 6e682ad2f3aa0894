/// \file
/// \brief Drops the segments that a TCP socket receives from given hosts.
#ifndef DANDELIONSCALE_EMULATOR_SOURCE_FILTER_H_
#define DANDELIONSCALE_EMULATOR_SOURCE_FILTER_H_

#include <boost/asio/ip/address_v4.hpp>
#include <span>

namespace dandelionscale::emulator {

/// \brief Makes the kernel drop, without an answer, all segments that `socket`
///        receives from `sources`, as behind a partition.
///
/// A listening socket then leaves their connection attempts hanging, and a
/// connected one does not acknowledge what they send. Replaces an earlier
/// filter; no sources remove it.
/// \param socket a native handle.
/// \returns false if the kernel refuses the filter.
bool DropFrom(int socket, std::span<const boost::asio::ip::address_v4> sources);

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_SOURCE_FILTER_H_
