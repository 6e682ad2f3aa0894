#ifndef DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_
#define DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_

#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "dandelionscale/transport/http_server.h"

namespace dandelionscale::emulator {

/// \brief What a link does to the bytes that cross it.
struct LinkFaults {
  bool refuse = false;      ///< Closes connections, open ones too.
  bool stall_up = false;    ///< Client's bytes are held back.
  bool stall_down = false;  ///< Server's bytes are held back.
  Duration delay{};         ///< One way.
  Duration jitter{};        ///< Added at random, up to this.
  /// Share of the pieces that are late by a retransmission, as after a loss.
  double loss = 0;
};

/// \brief Forwards TCP connections of several links and injects faults.
class FaultProxy {
 public:
  struct Link;

  FaultProxy(boost::asio::any_io_executor executor, std::uint64_t seed);
  ~FaultProxy();

  /// \brief Adds a link; its number is the order of the calls, from 0.
  Result<void> AddLink(const Endpoint& listen, const Endpoint& target);
  Awaitable<void> HandleControl(HttpExchange& exchange);

 private:
  boost::asio::any_io_executor executor;
  std::shared_ptr<std::mt19937_64> random;
  std::vector<std::shared_ptr<Link>> links;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_FAULT_PROXY_H_
