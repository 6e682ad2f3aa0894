/// \file
/// \brief The configuration in force and those before it, as peers are sent
///        them.
#ifndef DANDELIONSCALE_SRC_DISPATCH_CONFIGURATION_HISTORY_H_
#define DANDELIONSCALE_SRC_DISPATCH_CONFIGURATION_HISTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionscale::internal {

/// Limit of a configuration's text.
inline constexpr std::size_t kMaxConfigurationBytes = 4 * 1024 * 1024;

/// \brief A configuration as it is sent to a peer.
struct EncodedConfiguration {
  std::string frame;  ///< Returned by `CompressText()`; empty if that failed.
  /// Hash of the text that is its dictionary; none if it has none.
  std::optional<std::uint64_t> base_hash;
};

/// \brief Texts of the newest configurations of this router.
///
/// A change is mostly small beside the configuration. A peer that has one of
/// the earlier texts is sent what has changed since, which is encoded once for
/// all peers with that text.
class ConfigurationHistory {
 public:
  /// \brief Records the text of the configuration that is in force now.
  void OnInForce(std::string_view text);

  /// \returns the text in force; empty if there is none.
  std::string_view Current() const;
  /// \returns the hash of that text.
  std::uint64_t CurrentHash() const;
  /// \returns the text with this hash; nothing if it is not among the newest.
  std::optional<std::string_view> Find(std::uint64_t hash) const;
  /// \brief Encodes the text in force for a peer.
  /// \param base_hash of the text that the peer has; none if it has none. An
  ///        unknown one counts as none.
  const EncodedConfiguration& Encode(std::optional<std::uint64_t> base_hash);

 private:
  struct Entry {
    std::string text;
    std::uint64_t hash = 0;
  };

  std::deque<Entry> entries;  ///< Newest last.
  /// Of the text in force, by hash of the base.
  std::map<std::optional<std::uint64_t>, EncodedConfiguration> encoded;
};

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_CONFIGURATION_HISTORY_H_
