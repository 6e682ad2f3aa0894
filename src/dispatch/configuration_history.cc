#include "dispatch/configuration_history.h"

#include <algorithm>
#include <numeric>

#include "dandelionscale/core/hash.h"
#include "dispatch/peers/text_compression.h"

namespace dandelionscale::internal {
namespace {

// Peers are seldom behind by more versions than that.
constexpr std::size_t kMaxEntries = 8;
// Limit of all texts but the one in force.
constexpr std::size_t kMaxEarlierBytes = 4 * 1024 * 1024;

}  // namespace

void ConfigurationHistory::OnInForce(std::string_view text) {
  this->encoded.clear();
  this->entries.push_back({std::string(text), HashText(text)});
  std::size_t earlier_bytes =
      std::accumulate(this->entries.begin(), this->entries.end() - 1,
                      std::size_t{0}, [](std::size_t sum, const Entry& entry) {
                        return sum + entry.text.size();
                      });
  while (this->entries.size() > kMaxEntries ||
         earlier_bytes > kMaxEarlierBytes) {
    earlier_bytes -= this->entries.front().text.size();
    this->entries.pop_front();
  }
}

std::string_view ConfigurationHistory::Current() const {
  if (this->entries.empty()) return {};
  return this->entries.back().text;
}

std::uint64_t ConfigurationHistory::CurrentHash() const {
  return this->entries.empty() ? HashText({}) : this->entries.back().hash;
}

std::optional<std::string_view> ConfigurationHistory::Find(
    std::uint64_t hash) const {
  const auto found =
      std::find_if(this->entries.begin(), this->entries.end(),
                   [hash](const Entry& entry) { return entry.hash == hash; });
  if (found == this->entries.end()) return std::nullopt;
  return found->text;
}

const EncodedConfiguration& ConfigurationHistory::Encode(
    std::optional<std::uint64_t> base_hash) {
  const auto base = base_hash ? this->Find(*base_hash) : std::nullopt;
  if (!base) base_hash.reset();
  const auto [found, is_new] = this->encoded.try_emplace(base_hash);
  EncodedConfiguration& configuration = found->second;
  if (is_new) {
    configuration = {CompressText(this->Current(), base.value_or("")),
                     base_hash};
  }
  return configuration;
}

}  // namespace dandelionscale::internal
