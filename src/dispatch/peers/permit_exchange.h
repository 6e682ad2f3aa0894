/// \file
/// \brief Permits to send requests to engines that limit their rate, exchanged
///        between routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_PERMIT_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_PERMIT_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/load/rate_permits.h"

namespace dandelionscale::wire {
class PermitRequest;
class PermitResponse;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

class DispatchState;

/// Time for which a permit is valid. A router that did not run for longer must
/// ask again.
inline constexpr Duration kPermitLifetime = std::chrono::milliseconds(600);
/// The same for an engine that warms up. Its limit holds in every second, and
/// permits of earlier seconds that are still unused add to it.
inline constexpr Duration kWarmUpPermitLifetime =
    std::chrono::milliseconds(200);

/// \returns the time from the request for a permit until it expires.
inline Duration PermitLifetime(const RateInForce& rate) {
  return rate.is_warm_up ? kWarmUpPermitLifetime : kPermitLifetime;
}

/// \brief Asks for permits and issues them.
///
/// Rendezvous hashing assigns each engine to one of the live routers, which
/// issues all permits for it. The others ask it by one datagram for each
/// request that they want to send. A router that gets no response takes the
/// issuer for lost for a while and asks the next one.
class PermitExchange {
 public:
  /// \brief Sends a datagram to a peer, given as IP:PORT.
  using Sender = std::function<void(const std::string&, const std::string&)>;

  explicit PermitExchange(DispatchState& state);
  void SetSender(Sender new_sender) { this->send = std::move(new_sender); }

  /// \brief Asks for a permit to send one request to the engine.
  /// \returns true if it is granted, and valid for `PermitLifetime()` from the
  ///          call on. If not, the engine's limit records when to ask again.
  Awaitable<bool> Acquire(std::shared_ptr<Engine> engine);

  /// \returns the peer that issues the engine's permits; none if this router
  ///          does.
  std::optional<std::string> FindIssuer(TimePoint now,
                                        std::uint64_t engine_key) const;

  /// \returns true if the datagram is a message of this exchange.
  static bool IsPermitMessage(std::string_view datagram);
  /// \brief Handles such a message.
  void OnDatagram(std::string_view datagram, const std::string& sender);
  /// \brief Records that no digest has come from a peer for too long.
  void OnPeerLost(TimePoint now, const std::string& peer);
  /// \brief Records that a digest has come from a peer.
  void OnPeerHeard(const std::string& peer) { this->lost_peers.erase(peer); }
  /// \brief Forgets what is too old; to be called often.
  void Expire(TimePoint now);

 private:
  struct Outcome {
    PermitDecision decision;
    double share = 0;
  };
  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor& executor)
        : timeout(executor) {}
    Timer timeout;
    std::optional<Outcome> outcome;
    std::shared_ptr<Engine> engine;
  };

  IssuerView ViewOf(TimePoint now, std::uint64_t engine_key) const;
  Outcome Issue(TimePoint now, const Engine& engine);
  // Returns nothing if no response comes in time.
  Awaitable<std::optional<Outcome>> Ask(std::shared_ptr<Engine> engine,
                                        std::string issuer);
  void OnRequest(const wire::PermitRequest& request, const std::string& sender);
  void OnResponse(const wire::PermitResponse& response,
                  const std::string& sender);

  DispatchState& state;
  Sender send;
  RatePermits permits;
  std::uint64_t last_id = 0;  ///< Of a request for a permit.
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending;  ///< By id.
  /// Peers that have not responded, and until when they are not asked.
  std::map<std::string, TimePoint> silent_until;
  /// Peers that were lost, and when, until others have surely taken over.
  std::map<std::string, TimePoint> lost_peers;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_PERMIT_EXCHANGE_H_
