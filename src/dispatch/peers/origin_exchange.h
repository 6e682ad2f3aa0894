/// \file
/// \brief The software versions at which streams have begun, exchanged between
///        routers.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_ORIGIN_EXCHANGE_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_ORIGIN_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/stream_origins.h"
#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale::wire {
class StreamOriginRecords;
class StreamOriginRequest;
class StreamOriginResponse;
}  // namespace dandelionscale::wire

namespace dandelionscale::internal {

class DispatchState;

/// \brief What peers have answered about a stream.
struct OriginAnswer {
  bool any_answered = false;  ///< After they were asked.
  /// Key of its version; none if no peer knows it.
  std::optional<std::uint64_t> version_key;
};

/// \brief Keeps the origins of streams at other routers, and asks for them.
///
/// While engines of a service run several software versions, a router that
/// begins a stream reports its version to a few peers that rendezvous hashing
/// assigns to the stream, so that the origin outlives the router. A router at
/// which a client resumes the stream asks the same peers. When the
/// versions change, each router reports the streams that it has begun before.
class OriginExchange {
 public:
  /// \brief Sends a datagram to a peer, given as IP:PORT.
  using Sender = std::function<void(const std::string&, const std::string&)>;

  explicit OriginExchange(DispatchState& state) : state(state) {}
  void SetSender(Sender new_sender) { this->send = std::move(new_sender); }

  /// \brief Records that a stream of this router has begun at a version.
  /// \param has_several true if its service runs several versions.
  void OnBegun(StreamOrigin origin, bool has_several);
  /// \brief Reports the streams begun so far, after a change of the versions of
  /// a
  ///        service that runs several.
  void OnVersionsChanged();
  /// \brief Asks the peers that should know where a stream has begun.
  Awaitable<OriginAnswer> Ask(std::uint64_t stream_key);

  /// \returns true if the datagram is a message of this exchange.
  static bool IsOriginMessage(std::string_view datagram);
  /// \brief Handles such a message.
  void OnDatagram(std::string_view datagram, const std::string& sender);

 private:
  struct PendingRequest {
    explicit PendingRequest(const boost::asio::any_io_executor& executor)
        : timeout(executor) {}
    Timer timeout;
    std::size_t responses_due = 0;
    OriginAnswer answer;
  };

  // Returns the live peers that come first for the stream.
  std::vector<std::string> PeersFor(std::uint64_t stream_key,
                                    std::size_t count) const;
  void Report(std::span<const StreamOrigin> origins);
  void OnRecords(const wire::StreamOriginRecords& records);
  void OnRequest(const wire::StreamOriginRequest& request,
                 const std::string& sender);
  void OnResponse(const wire::StreamOriginResponse& response);

  DispatchState& state;
  Sender send;
  std::uint64_t last_id = 0;  ///< Of a request.
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> pending;  ///< By id.
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_ORIGIN_EXCHANGE_H_
