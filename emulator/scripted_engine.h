#ifndef DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_
#define DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_

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

/// \brief Writes bytes as they are.
struct SendBytes {
  std::string bytes;
};
/// \brief Waits.
struct Pause {
  Duration duration{};
};
/// \brief Ends the connection regularly.
struct CloseConnection {};
/// \brief Ends the connection with a reset.
struct ResetConnection {};
using ScriptStep =
    std::variant<SendBytes, Pause, CloseConnection, ResetConnection>;

/// \brief What an engine does with one request.
using Script = std::vector<ScriptStep>;
using ScriptMaker = std::function<Script(const HttpRequest&)>;

/// \returns a whole answer of the platform's engines, signed.
std::string MakeAnswer(const HttpRequest& request, unsigned status,
                       std::string_view body,
                       std::string_view more_fields = "");
/// \returns the head of a signed event stream in chunks.
std::string MakeStreamHead(const HttpRequest& request);
/// \returns an event as one chunk.
std::string MakeEventChunk(int id);
inline constexpr std::string_view kStreamEnd = "0\r\n\r\n";

/// \brief Engine of the users' platform whose every answer is scripted,
///        byte for byte; faults of all kinds are scripts.
class ScriptedEngine {
 public:
  ScriptedEngine(boost::asio::any_io_executor executor, ScriptMaker maker);
  ~ScriptedEngine();

  Result<Endpoint> Listen(const Endpoint& endpoint);
  /// \returns the requests received so far, calls about caches left out.
  const std::vector<HttpRequest>& Requests() const;
  /// \returns the requests whose connection the other side closed early.
  int Abandoned() const;
  std::uint64_t Connections() const;
  void SetScript(ScriptMaker maker);

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace dandelionscale::emulator

#endif  // DANDELIONSCALE_EMULATOR_SCRIPTED_ENGINE_H_
