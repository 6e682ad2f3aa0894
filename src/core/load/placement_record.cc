#include "dandelionscale/core/load/placement_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

#include "dandelionscale/core/hash.h"

namespace dandelionscale {
namespace {

using Candidate = PlacementCandidate;

constexpr int kHexadecimal = 16;

// Parses a number followed by `separator` and removes both from `text`. Returns
// false, with `text` in an unspecified state, if they are not there.
template <typename Number>
bool ConsumeNumber(std::string_view& text, char separator, int base,
                   Number& number) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (parsed.ec != std::errc()) return false;
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
  if (text.empty() || text.front() != separator) return false;
  text.remove_prefix(1);
  return true;
}

std::optional<Candidate> ParseCandidate(std::string_view text) {
  Candidate candidate;
  const bool is_complete =
      ConsumeNumber(text, ':', kHexadecimal, candidate.engine_key) &&
      ConsumeNumber(text, '/', 10, candidate.in_flight) &&
      ConsumeNumber(text, '/', 10, candidate.max_slots) &&
      ConsumeNumber(text, '/', 10, candidate.cached_tokens);
  if (!is_complete) return std::nullopt;
  candidate.usable = text.find('u') != std::string_view::npos;
  candidate.reachable = text.find('r') != std::string_view::npos;
  candidate.same_zone = text.find('z') != std::string_view::npos;
  candidate.limits_rate = text.find('l') != std::string_view::npos;
  candidate.avoided = text.find('a') != std::string_view::npos;
  const std::size_t plus = text.find('+');
  if (plus == std::string_view::npos) return candidate;
  text.remove_prefix(plus + 1);
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), candidate.margin);
  if (parsed.ec != std::errc()) return std::nullopt;
  return candidate;
}

}  // namespace

std::vector<Candidate> DecisiveCandidates(const PlacementInputs& inputs,
                                          const PlacementDecision& decision) {
  const auto weight = [&inputs](const Candidate& candidate) {
    return RendezvousWeight(inputs.affinity_key, candidate.engine_key);
  };
  const Candidate* holder = nullptr;
  const Candidate* hashed = nullptr;
  const Candidate* least = nullptr;
  for (const Candidate& candidate : inputs.candidates) {
    if (!candidate.usable) continue;
    const bool holds = candidate.cached_tokens >= inputs.shared_tokens;
    if (holds && (!holder || weight(candidate) > weight(*holder))) {
      holder = &candidate;
    }
    if (!hashed || weight(candidate) > weight(*hashed)) hashed = &candidate;
    if (!least || candidate.in_flight < least->in_flight) least = &candidate;
  }
  if (decision.room) least = &inputs.candidates[*decision.room];
  const Candidate* chosen = &inputs.candidates[decision.index];
  std::vector<Candidate> selected{*chosen};
  for (const Candidate* extra : {holder, hashed, least}) {
    const bool is_new =
        extra != nullptr &&
        std::none_of(selected.begin(), selected.end(),
                     [extra](const Candidate& listed) {
                       return listed.engine_key == extra->engine_key;
                     });
    if (is_new) selected.push_back(*extra);
  }
  return selected;
}

std::string FormatCandidates(std::span<const Candidate> candidates) {
  std::string text;
  for (const Candidate& candidate : candidates) {
    fmt::format_to(
        std::back_inserter(text), "{}{:x}:{}/{}/{}/{}{}{}{}{}",
        text.empty() ? "" : " ", candidate.engine_key, candidate.in_flight,
        candidate.max_slots, candidate.cached_tokens,
        candidate.usable ? "u" : "", candidate.reachable ? "r" : "",
        candidate.same_zone ? "z" : "", candidate.limits_rate ? "l" : "",
        candidate.avoided ? "a" : "");
    if (candidate.margin == 0) continue;
    fmt::format_to(std::back_inserter(text), "+{}", candidate.margin);
  }
  return text;
}

std::optional<std::vector<Candidate>> ParseCandidates(std::string_view text) {
  std::vector<Candidate> candidates;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(' '), text.size());
    auto candidate = ParseCandidate(text.substr(0, end));
    if (!candidate) return std::nullopt;
    candidates.push_back(*candidate);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return candidates;
}

}  // namespace dandelionscale
