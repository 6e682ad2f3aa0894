/// \file
/// \brief Messages by which a router asks another one for a tunnel to an
/// engine.
///
/// A tunnel is an HTTP/1.1 CONNECT (RFC 9110, 9.3.6) to a peer. After a
/// response with status 200 the connection carries the bytes of a connection of
/// the peer to the engine, unchanged, for one request. Any other response
/// states why there is no tunnel.
#ifndef DANDELIONSCALE_SRC_TUNNEL_TUNNEL_MESSAGE_H_
#define DANDELIONSCALE_SRC_TUNNEL_TUNNEL_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::internal {

/// \brief Why a router opens no tunnel.
enum class TunnelRefusal {
  kNotListed,  ///< The caller is no router of the fleet.
  kUnknown,    ///< The engine is not known, or has another incarnation.
  /// The engine is leaving or wants no requests now, or its zone is evacuated.
  kUnwanted,
  kCutOff,       ///< The router does not reach this service itself.
  kBusy,         ///< The router carries as many tunnels as it may.
  kUnreachable,  ///< The engine could not be connected to.
  kNoAnswer      ///< The router did not answer in time.
};
/// \returns the name used in messages and logs.
std::string_view ToString(TunnelRefusal refusal);
/// \returns the refusal with that name; `kNoAnswer` if there is none.
TunnelRefusal ToTunnelRefusal(std::string_view name);

/// \brief How the engine's side of a tunnel ended.
enum class TunnelEnd {
  kEngineClosed,  ///< The engine closed its connection in order.
  kEngineLost,    ///< The connection to the engine was reset or timed out.
  kUnknown        ///< The peer does not know, or does not answer.
};
std::string_view ToString(TunnelEnd end);
TunnelEnd ToTunnelEnd(std::string_view name);

/// \brief What a router states in its request for a tunnel.
struct TunnelRequest {
  std::uint64_t engine_key = 0;
  std::string tunnel_id;   ///< Chosen by the caller; unique in the fleet.
  std::string request_id;  ///< Of the client, for logs.
};

/// \returns the bytes of the request.
std::string FormatTunnelRequest(const TunnelRequest& request);
/// \returns the request; none if a part is missing or malformed.
std::optional<TunnelRequest> ParseTunnelRequest(std::string_view target,
                                                const HttpHeaders& headers);
/// \returns the response that opens the tunnel.
std::string FormatTunnelOpened();
/// \returns the response that refuses it.
std::string FormatTunnelRefusal(TunnelRefusal refusal);

/// Header field with the name of a refusal.
inline constexpr std::string_view kTunnelRefusalField = "Tunnel-Refusal";
/// Path prefix at which a router tells how a tunnel ended; its id follows.
inline constexpr std::string_view kTunnelEndPath = "/tunnel-ends/";

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_TUNNEL_TUNNEL_MESSAGE_H_
