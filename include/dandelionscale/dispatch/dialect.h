#ifndef DANDELIONSCALE_DISPATCH_DIALECT_H_
#define DANDELIONSCALE_DISPATCH_DIALECT_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/core/routing_table.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale {

/// \brief A client's request in the product's terms.
struct ClientRequest {
  std::string id;  ///< Of this client attempt; empty if the client sent none.
  std::string host;
  std::string path;                   ///< Without the query.
  std::optional<Duration> time_left;  ///< How long the client will wait.
  std::string key;                    ///< Of the workspace; empty for none.
  std::vector<PrefixPart> prefix;     ///< Shared parts of the prompt.
  std::string resume_after;  ///< Id of the last event that the client has.
  HttpHeaders end_to_end;    ///< Fields to pass on as they are.
};

/// \brief What the router adds to a request when it sends it to an engine.
struct SendTerms {
  std::string_view engine_id;
  Duration time_left{};
  std::string_view workspace;     ///< Empty on public routes.
  std::uint32_t priority = 0;     ///< 0 is served first.
  std::string_view resume_after;  ///< Id of the last delivered event.
  /// Address of an engine that holds more of the prompt; empty for none.
  std::string_view fetch_from;
};

/// \brief Load that an engine tells with its answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// \brief The head of an engine's answer in the product's terms.
struct EngineAnswer {
  unsigned status = 0;
  std::string request_id;  ///< Echoed; empty if the engine sent none.
  bool sealed = false;     ///< Bears the engine's signature.
  bool not_run = false;    ///< The engine says that it has not run it.
  bool wrong_engine = false;
  bool is_encoded = false;  ///< The body is not the engine's own bytes.
  std::optional<ReportedLoad> load;
  HttpHeaders end_to_end;  ///< Fields to pass on as they are.
};

/// \brief An engine has read a prompt part, or dropped it.
struct CacheEvent {
  std::uint64_t part_key = 0;  ///< As `PartKey()` makes it.
  bool dropped = false;
};

/// \brief News of an engine's prompt cache.
struct CacheNews {
  std::string epoch;       ///< Changes when the engine restarts.
  std::uint64_t next = 0;  ///< Number to ask from the next time.
  bool has_gap = false;    ///< Older news is not to be had any more.
  std::vector<CacheEvent> events;
};

/// \brief Typed error: bytes that are not what they should be.
struct DecodeFault {
  std::string what;
};

/// \brief Names, formats and calls of the deployment's surroundings.
///
/// Translates between the wire and the product's types and decides nothing.
class Dialect {
 public:
  virtual ~Dialect() = default;

  /// \returns the request; an absent or unreadable field is left empty.
  virtual ClientRequest DecodeRequest(const HttpRequest& request) const = 0;
  /// \returns the fields of the request as the engine should get it.
  virtual HttpHeaders EncodeSend(const ClientRequest& request,
                                 const SendTerms& terms) const = 0;
  /// \returns the meaning of an answer's head.
  virtual EngineAnswer DecodeAnswer(unsigned status,
                                    const HttpHeaders& headers) const = 0;
  /// \returns fields that a failure of the router's own bears.
  virtual HttpHeaders EncodeFailure(std::string_view request_id) const = 0;
  /// \returns the path at which the balancer asks for readiness.
  virtual std::string_view ReadyPath() const = 0;

  /// \returns the routing table; error: `DecodeFault`.
  virtual boost::leaf::result<RoutingTable> DecodeRoutingTable(
      std::string_view text) const = 0;
  /// \returns an engine's entry; error: `DecodeFault`.
  virtual boost::leaf::result<EngineRecord> DecodeEngine(
      std::string_view id, std::string_view text) const = 0;

  /// \returns the call for news of an engine's cache from number `since` on.
  /// \param wait how long the engine may hold the call until there is news.
  virtual HttpRequest EncodeCacheNewsCall(std::uint64_t since,
                                          Duration wait) const = 0;
  /// \returns the call for all that an engine's cache holds.
  virtual HttpRequest EncodeCacheListCall() const = 0;
  /// \returns the answer to either call; error: `DecodeFault`.
  virtual boost::leaf::result<CacheNews> DecodeCacheNews(
      std::string_view text) const = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_DIALECT_H_
