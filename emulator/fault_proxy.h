#ifndef DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_
#define DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_

#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief Faults that a link injects.
struct LinkFaults {
  bool refuse = false;      ///< Closes new and open connections.
  bool stall_up = false;    ///< Holds back the client's bytes.
  bool stall_down = false;  ///< Holds back the server's bytes.
  Duration delay{};         ///< Added in each direction.
  Duration jitter{};        ///< Upper limit of a random extra delay.
  /// Share of the reads whose bytes are delayed by a retransmission timeout,
  /// as after the loss of a packet.
  double loss = 0;
};

/// \brief Forwards the TCP connections of several links and injects faults.
class FaultProxy {
 public:
  struct Link;

  /// \param seed of the random jitter and loss.
  FaultProxy(boost::asio::any_io_executor executor, std::uint64_t seed);
  ~FaultProxy();

  /// \brief Adds a link. Links are numbered from 0 in the order of the calls.
  /// \param listen address that the link accepts connections on.
  /// \param target address that it forwards them to.
  /// \returns a fault if the link cannot listen.
  Result<void> AddLink(const Endpoint& listen, const Endpoint& target);
  /// \brief Handles a control request: `/fake/link?link=N` with any of
  /// `refuse`, `stall_up`, `stall_down` (`1`), `delay_us`, `jitter_us` and
  /// `loss` replaces all faults of link N; faults that are left out end.
  ///
  /// Anything else gets status 404.
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  boost::asio::any_io_executor executor;
  std::shared_ptr<std::mt19937_64> random;
  std::vector<std::shared_ptr<Link>> links;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_
