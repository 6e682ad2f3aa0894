#ifndef DANDELIONSCALE_LOAD_WORKLOAD_H_
#define DANDELIONSCALE_LOAD_WORKLOAD_H_

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "load/chat_client.h"

namespace dandelionscale::load {

/// \brief A workspace and its share of the chats, relative to the others.
struct WorkspaceShare {
  std::string name;
  double share = 1;
};

/// \returns the shares of a list `NAME:SHARE,...`, with a share of 1 where it
/// is left out; exits with 2 if the list is malformed.
std::vector<WorkspaceShare> ParseShares(const std::string& text);

/// \brief Generates chats from a seed.
class Workload {
 public:
  struct Options {
    std::vector<WorkspaceShare> workspaces;
    std::string service;
    std::size_t prompt_words = 0;  ///< Words of the first message of a chat.
    std::size_t answer_tokens = 0;
    Duration mean_pause{};
    std::uint64_t seed = 1;
  };

  explicit Workload(Options options);

  /// \returns the first turn of a new chat.
  ChatTurn NewChat();
  /// \brief Appends an answer and the next question to a chat.
  void Continue(ChatTurn& turn, const std::string& answer);
  /// \returns a pause between turns, exponentially distributed.
  Duration RandomPause();
  /// \returns a uniformly distributed number below `count`.
  std::size_t PickIndex(std::size_t count);

 private:
  std::string RandomWords(std::size_t count);

  Options options;
  std::mt19937_64 random;
  std::uint64_t chats = 0;
};

}  // namespace dandelionscale::load

#endif  // DANDELIONSCALE_LOAD_WORKLOAD_H_
