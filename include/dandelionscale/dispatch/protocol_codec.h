#ifndef DANDELIONSCALE_DISPATCH_PROTOCOL_CODEC_H_
#define DANDELIONSCALE_DISPATCH_PROTOCOL_CODEC_H_

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

/// \brief A client's request, independent of the deployment's wire format.
struct ClientRequest {
  /// Request id; a client sends a new one with each retry. Empty if absent.
  std::string id;
  std::string host;
  std::string path;                   ///< Without the query string.
  std::optional<Duration> time_left;  ///< Time until the client's timeout.
  std::string key;  ///< API key of a workspace; empty if absent.
  /// Leading parts of the prompt that other requests may share.
  std::vector<PrefixPart> prefix;
  /// Hash of model and all prompt parts, the last one included; 0 if there is
  /// no prompt.
  std::uint64_t prompt_key = 0;
  std::optional<std::uint32_t> prompt_tokens;
  std::optional<std::uint32_t> max_output_tokens;
  /// The client's estimate; correct at the median, often wrong by a factor.
  std::optional<std::uint32_t> expected_output_tokens;
  /// Id of the last stream event that the client has received.
  std::string resume_after;
  /// Id of the client's request that brought the first event of the stream to
  /// resume; empty if absent.
  std::string resumed_request_id;
  HttpHeaders end_to_end;  ///< Header fields to forward unchanged.
};

/// \brief Values that the router adds to a request for one engine.
struct EngineRequestOptions {
  std::string_view engine_id;
  Duration time_left{};
  std::string_view workspace;  ///< Empty on a public route.
  std::uint32_t priority = 0;  ///< 0 is served first.
  /// Id of the last stream event that was sent to the client; empty for none.
  std::string_view resume_after;
  /// Address of an engine from whose prompt cache the receiving engine can copy
  /// parts of the prompt; empty for none.
  std::string_view cache_source_address;
};

/// \brief Load that an engine reports in a response head.
struct ReportedLoad {
  std::uint32_t running = 0;  ///< Requests that the engine is processing.
  std::uint32_t waiting = 0;  ///< Requests in the engine's queue.
  std::uint32_t slots = 0;    ///< Requests that it can process at a time.
  /// How long work takes at the moment, in percent of the usual time; none if
  /// it is not stated.
  std::optional<double> pace;
};

/// \brief The head of an engine's response, independent of the wire format.
struct EngineResponse {
  unsigned status = 0;
  std::string request_id;  ///< As echoed by the engine; empty if absent.
  bool has_conflicting_ids = false;  ///< It echoes several different ids.
  bool is_signed = false;            ///< Has the engine's signature field.
  bool not_run = false;  ///< The engine reports that it did not run it.
  /// The request reached a different engine than the addressed one.
  bool wrong_engine = false;
  /// The body has a content encoding, so it is not the bytes that the engine
  /// produced. Such a success response is rejected.
  bool has_content_encoding = false;
  std::optional<ReportedLoad> load;
  bool has_malformed_load = false;  ///< A load is stated, but can't be read.
  bool leaving = false;             ///< The engine is shutting down.
  /// The engine wants no requests from this router for this time.
  std::optional<Duration> requested_pause;
  bool has_malformed_pause = false;  ///< The requested time is not a number.
  /// Requests per second that the engine takes from all routers together; none
  /// if it does not limit them.
  std::optional<double> rate_limit;
  bool has_malformed_rate_limit = false;  ///< It is stated, but is no number.
  HttpHeaders end_to_end;  ///< Header fields to forward unchanged.
};

/// \brief An engine has added a prompt part to its cache, or evicted it.
struct CacheEvent {
  std::uint64_t part_key = 0;  ///< Computed by `PartKey()`.
  bool dropped = false;        ///< True for an eviction.
  std::uint32_t tokens = 0;    ///< Cached tokens of the part.
};

/// \brief Consecutive events of an engine's prompt cache.
struct CacheEventBatch {
  std::string epoch;       ///< Differs after each restart of the engine.
  std::uint64_t next = 0;  ///< Sequence number to continue from.
  /// Events between the requested number and the first of these are lost, so
  /// the whole cache list has to be read.
  bool has_gap = false;
  std::vector<CacheEvent> events;
};

/// \brief What an engine reports of its work.
struct EngineReport {
  std::vector<std::string> request_ids;  ///< Of the requests that it runs.
  std::uint64_t waiting = 0;  ///< Requests that it has not begun or preempted.
};

/// \brief Error type of the decoders: malformed input.
struct DecodeFault {
  std::string what;  ///< Description of the defect, for the log.
};

/// \brief Converts between the deployment's message formats and the types of
/// the router.
///
/// Covers client requests, engine requests and responses, the routing table and
/// engine entries of the store, and engines' prompt cache events and reports.
/// Contains no routing decisions.
class ProtocolCodec {
 public:
  virtual ~ProtocolCodec() = default;

  /// \returns the request; an absent or malformed field is left empty.
  virtual ClientRequest DecodeRequest(const HttpRequest& request) const = 0;
  /// \returns the header fields of the request to an engine.
  virtual HttpHeaders EncodeEngineRequest(
      const ClientRequest& request,
      const EngineRequestOptions& options) const = 0;
  /// \returns the decoded head of an engine's response.
  virtual EngineResponse DecodeResponse(unsigned status,
                                        const HttpHeaders& headers) const = 0;
  /// \returns header fields for an error response that the router creates.
  virtual HttpHeaders EncodeErrorHeaders(std::string_view request_id) const = 0;
  /// \returns the path that the load balancer polls for readiness.
  virtual std::string_view ReadyPath() const = 0;

  /// \returns the routing table; error: `DecodeFault`.
  virtual boost::leaf::result<RoutingTable> DecodeRoutingTable(
      std::string_view text) const = 0;
  /// \returns the decoded store entry of an engine; error: `DecodeFault`.
  virtual boost::leaf::result<EngineRecord> DecodeEngine(
      std::string_view id, std::string_view text) const = 0;

  /// \returns a long-poll request for the cache events of an engine.
  /// \param since sequence number of the first event to return.
  /// \param wait how long the engine may hold the request while it has no
  ///        events.
  virtual HttpRequest EncodeCacheEventsRequest(std::uint64_t since,
                                               Duration wait) const = 0;
  /// \returns a request for the whole contents of an engine's cache.
  virtual HttpRequest EncodeCacheListRequest() const = 0;
  /// \returns the decoded response to either request; error: `DecodeFault`.
  virtual boost::leaf::result<CacheEventBatch> DecodeCacheEvents(
      std::string_view text) const = 0;

  /// \returns a request for an engine's report of its work.
  virtual HttpRequest EncodeReportRequest() const = 0;
  /// \returns the decoded response; error: `DecodeFault`, also if the engine
  ///          does not report its requests.
  virtual boost::leaf::result<EngineReport> DecodeReport(
      std::string_view text) const = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_DISPATCH_PROTOCOL_CODEC_H_
