#ifndef DANDELIONSCALE_LOAD_CHAT_CLIENT_H_
#define DANDELIONSCALE_LOAD_CHAT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"
#include "dandelionscale/transport/http_client.h"

namespace dandelionscale::load {

/// \brief One message of a chat: role (`user`, `assistant`, ...) and text.
struct ChatMessage {
  std::string role;
  std::string content;
};

/// \brief One turn of a chat: what a client sends to a router.
struct ChatTurn {
  std::string workspace;
  std::string session;
  std::string service;
  std::vector<ChatMessage> messages;  ///< The whole chat, oldest first.
  std::size_t answer_tokens = 16;     ///< Sent as `max_tokens`.
  Duration timeout = std::chrono::seconds(30);
  /// Called after each event of the stream; may be empty.
  std::function<void()> on_event;
};

/// \brief What a client received for one turn.
struct ChatAnswer {
  bool complete = false;  ///< Whether the end marker `[DONE]` was received.
  unsigned status = 0;
  std::string content;
  std::string request_id;
  std::string engine;     ///< Header `X-Engine`: the engine that ran the turn.
  std::string placement;  ///< Header `X-Placement`: how it was chosen.
  /// Title of the problem document, or the fault of the connection; else empty.
  std::string reason;
  /// Outcome in the problem document; `connection` or `unknown` after a fault
  /// of the connection; else empty.
  std::string outcome;
  std::string last_event_id;         ///< From which the answer can be resumed.
  Duration first_token{};            ///< From the request to the first token.
  std::vector<Duration> token_gaps;  ///< Between successive tokens.
};

/// \brief Client of the routers that receives chat answers as event streams.
class ChatClient {
 public:
  explicit ChatClient(boost::asio::any_io_executor executor)
      : http(std::move(executor), nullptr) {}

  /// \brief Sends a turn and reads the answer to its end.
  Awaitable<ChatAnswer> Send(Endpoint router, ChatTurn turn);
  /// \brief Resumes a broken answer after its last event, through any router.
  /// \param turn the turn that `broken` answers.
  /// \returns the whole answer, beginning with the content of `broken`.
  Awaitable<ChatAnswer> Resume(Endpoint router, ChatTurn turn,
                               ChatAnswer broken);
  HttpClient& Http() { return this->http; }

 private:
  Awaitable<ChatAnswer> Exchange(Endpoint router, HttpRequest request,
                                 ChatTurn turn, ChatAnswer answer);

  HttpClient http;
};

/// \returns the HTTP request for a turn.
HttpRequest MakeChatRequest(const ChatTurn& turn);

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_CHAT_CLIENT_H_
