#include "load/workload.h"

#include <fmt/format.h>

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <cstdlib>
#include <sstream>

namespace dandelionscale::load {
namespace {

constexpr std::size_t kQuestionWords = 20;

}  // namespace

std::vector<WorkspaceShare> ParseShares(const std::string& text) {
  std::vector<WorkspaceShare> shares;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const auto colon = item.find(':');
    WorkspaceShare share;
    share.name = item.substr(0, colon);
    const std::string number =
        colon == std::string::npos ? "1" : item.substr(colon + 1);
    if (!boost::conversion::try_lexical_convert(number, share.share) ||
        share.share <= 0) {
      fmt::print(stderr,
                 "workspaces: \"{}\" is not accepted; allowed: "
                 "NAME:SHARE\n",
                 item);
      std::exit(2);
    }
    shares.push_back(std::move(share));
  }
  return shares;
}

Workload::Workload(Options options)
    : options(std::move(options)), random(this->options.seed) {}

std::string Workload::RandomWords(std::size_t count) {
  std::uniform_int_distribution<int> word(0, 9999);
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += fmt::format("w{} ", word(this->random));
  }
  return text;
}

ChatTurn Workload::NewChat() {
  std::vector<double> weights;
  for (const WorkspaceShare& share : this->options.workspaces) {
    weights.push_back(share.share);
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  ChatTurn turn;
  turn.workspace = this->options.workspaces[pick(this->random)].name;
  turn.session = fmt::format("s{}-{}", this->options.seed, ++this->chats);
  turn.service = this->options.service;
  turn.answer_tokens = this->options.answer_tokens;
  turn.messages.push_back(
      {"user", this->RandomWords(this->options.prompt_words)});
  return turn;
}

void Workload::Continue(ChatTurn& turn, const std::string& answer) {
  turn.messages.push_back({"assistant", answer});
  turn.messages.push_back({"user", this->RandomWords(kQuestionWords)});
}

Duration Workload::RandomPause() {
  std::exponential_distribution<double> draw(1.0);
  return std::chrono::duration_cast<Duration>(this->options.mean_pause *
                                              draw(this->random));
}

std::size_t Workload::PickIndex(std::size_t count) {
  std::uniform_int_distribution<std::size_t> pick(0, count - 1);
  return pick(this->random);
}

}  // namespace dandelionscale::load
