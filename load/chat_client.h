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

/// \brief One message of a chat.
struct ChatMessage {
  std::string role;
  std::string content;
};

/// \brief One turn as a client sends it.
struct ChatTurn {
  std::string workspace;
  std::string session;
  std::string service;
  std::vector<ChatMessage> messages;
  std::size_t answer_tokens = 16;
  Duration timeout = std::chrono::seconds(30);
  /// Called after each token that arrives; may be empty.
  std::function<void()> on_token;
};

/// \brief What a client saw of one turn.
struct ChatAnswer {
  bool whole = false;
  unsigned status = 0;
  std::string content;
  std::string request_id;
  std::string engine;
  std::string placement;
  std::string reason;         ///< Of a refusal, else empty.
  std::string outcome;        ///< Of a refusal, else empty.
  std::string last_event_id;  ///< Where an answer can be resumed.
  Duration first_token{};
  std::vector<Duration> token_gaps;
};

/// \brief Speaks to routers as a client does: chats as event streams.
class ChatClient {
 public:
  explicit ChatClient(boost::asio::any_io_executor executor)
      : http(std::move(executor), nullptr) {}

  Awaitable<ChatAnswer> Send(Endpoint router, ChatTurn turn);
  /// \brief Goes on with a broken answer through any router.
  Awaitable<ChatAnswer> Resume(Endpoint router, ChatTurn turn,
                               ChatAnswer broken);
  HttpClient& Http() { return this->http; }

 private:
  Awaitable<ChatAnswer> Exchange(Endpoint router, HttpRequest request,
                                 ChatTurn turn, ChatAnswer answer);

  HttpClient http;
};

/// \returns the request of a turn.
HttpRequest MakeChatRequest(const ChatTurn& turn);

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_CHAT_CLIENT_H_
