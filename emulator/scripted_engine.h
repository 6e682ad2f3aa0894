#ifndef DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_
#define DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/address.h"
#include "dandelionscale/transport/http_types.h"

namespace dandelionscale::emulator {

/// \brief Sends bytes unchanged.
struct SendBytes {
  std::string bytes;
};
/// \brief Waits before the next step.
struct Pause {
  Duration duration{};
};
/// \brief Sends bytes again and again until the router closes the connection.
struct SendEndlessly {
  std::string bytes;
  Duration interval{};  ///< Pause after each time.
};
/// \brief Shuts the sending side down (TCP FIN); what the router sends is still
///        read.
struct EndSending {};
/// \brief Shuts the connection down (TCP FIN).
struct CloseConnection {};
/// \brief Resets the connection (TCP RST).
struct ResetConnection {};
using ScriptStep = std::variant<SendBytes, SendEndlessly, Pause, EndSending,
                                CloseConnection, ResetConnection>;

/// \brief Steps by which an engine responds to one request.
using Script = std::vector<ScriptStep>;
/// \brief Returns the script for a request.
using ScriptMaker = std::function<Script(const HttpRequest&)>;

/// \returns a complete response of an engine of the platform, with a
/// `Response-Seal` of fixed value.
/// \param extra_headers further header lines, each with its line end.
std::string MakeResponse(const HttpRequest& request, unsigned status,
                         std::string_view body,
                         std::string_view extra_headers = "");
/// \returns the head of an event stream with chunked encoding, with a
/// `Response-Seal` of fixed value.
std::string MakeStreamHead(const HttpRequest& request);
/// \returns the event with id `id` as one chunk.
std::string MakeEventChunk(int id);
/// \brief Last chunk of a stream.
inline constexpr std::string_view kStreamEnd = "0\r\n\r\n";

/// \brief What becomes of the connections from hosts that an engine is cut off
///        from.
enum class CutKind {
  kHang,     ///< Nothing passes in either direction.
  kOneWay,   ///< What these hosts send is lost; what they receive is not.
  kReset,    ///< Open connections are reset, and new ones too.
  kNewReset  ///< Only new connections are reset; open ones live on.
};

/// \brief What an engine answers when it is asked which requests it runs.
enum class ReportKind {
  kNone,      ///< Nothing that can be read.
  kTruthful,  ///< Those whose scripts are under way.
  kEmpty,     ///< None, and that none waits.
  kPreempted  ///< None, and that one waits.
};

/// \brief Emulates an engine of the users' platform (that of
///        `dandelion-platform-router`) that sends scripted bytes.
///
/// Faults such as pauses, truncated or malformed responses and resets are
/// scripts too.
class ScriptedEngine {
 public:
  ScriptedEngine(boost::asio::any_io_executor executor, ScriptMaker maker);
  ~ScriptedEngine();

  /// \brief Starts to accept connections.
  /// \returns the address with the port in use, or `kConnectFailed`.
  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \returns the requests received so far, except polls of prompt cache
  /// events.
  const std::vector<HttpRequest>& Requests() const;
  /// \returns the number of responses that could not be sent because the
  /// router had closed the connection.
  int AbandonedResponses() const;
  /// \returns the bytes of `SendEndlessly` steps that were sent so far.
  std::uint64_t EndlessBytes() const;
  /// \returns the number of connections accepted so far.
  std::uint64_t Connections() const;
  /// \brief Replaces the script of all later requests.
  void SetScript(ScriptMaker maker);

  /// \brief From now on, a script runs as soon as the head of its request has
  ///        arrived. The body is read only when the script has ended.
  void AnswerBeforeBody();

  /// \brief Sets how the engine reports from now on; `kNone` at first.
  void SetReport(ReportKind kind);

  /// \brief Sends events of the prompt cache in response to the next poll.
  /// \param events JSON array of events, as in the platform's change feed.
  void SetCacheEvents(std::string events);

  /// \brief Cuts the engine off from hosts, until the next call; from none if
  ///        `sources` is empty.
  void CutOff(std::vector<boost::asio::ip::address_v4> sources, CutKind kind);

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_
