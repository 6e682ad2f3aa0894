#ifndef DANDELIONSCALE_CORE_STREAM_ORIGINS_H_
#define DANDELIONSCALE_CORE_STREAM_ORIGINS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \returns the key under which a stream is known to all routers.
/// \param request_id id of the request that brought its first event.
std::uint64_t StreamKey(std::string_view workspace,
                        std::string_view request_id);

/// \returns the key of a software version of a service; never 0.
std::uint64_t VersionKey(std::string_view service, std::string_view version);

/// \brief The software version at which a stream has begun.
struct StreamOrigin {
  std::uint64_t stream_key = 0;
  std::uint64_t version_key = 0;
};

/// Peers that keep the origin of a stream.
inline constexpr std::size_t kOriginKeepers = 3;
/// Peers that are asked for it. The router that began the stream is no keeper
/// of its own, but may still be taken for a live peer by the router that asks.
inline constexpr std::size_t kAskedPeers = kOriginKeepers + 1;

/// \returns the `count` peers that come first for a stream, by rendezvous
///          hashing of their addresses; fewer if there are no more.
std::vector<std::string> FirstPeers(std::uint64_t stream_key,
                                    std::span<const std::string_view> peers,
                                    std::size_t count);

/// \brief What a router knows of the versions at which streams have begun.
///
/// The number of entries and their lifetime are bounded; the oldest are dropped
/// first. A stream that was reported with two versions counts as unknown.
class StreamOrigins {
 public:
  /// Longer than a stream lasts, with all attempts to resume it.
  static constexpr Duration kMemory = std::chrono::seconds(30);
  static constexpr std::size_t kMaxStreams = 20'000;

  /// \brief Records an origin; a known one is kept for longer.
  /// \param is_own true if the stream is served by this router.
  void Record(TimePoint now, StreamOrigin origin, bool is_own);
  /// \returns the version at which the stream began, if it is known.
  std::optional<std::uint64_t> Find(TimePoint now,
                                    std::uint64_t stream_key) const;
  /// \returns the origins of the streams that this router has served.
  /// \param max_age of the last record of a stream.
  std::vector<StreamOrigin> Own(TimePoint now,
                                Duration max_age = kMemory) const;
  /// \returns how often an origin of this router's own has been recorded.
  std::uint64_t OwnRecords() const { return this->own_records; }
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Entry {
    std::uint64_t version_key = 0;  ///< 0 if reports differ.
    bool is_own = false;
    TimePoint recorded_at{};
  };
  struct Use {
    std::uint64_t stream_key = 0;
    TimePoint at{};
  };

  void DropOldest(TimePoint now);

  std::uint64_t own_records = 0;
  std::unordered_map<std::uint64_t, Entry> entries;
  std::deque<Use> uses;  ///< One for each record, oldest first.
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_STREAM_ORIGINS_H_
