/// \file
/// \brief Conversions between messages of routers and internal types.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_MESSAGES_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>

#include "dandelionscale/core/crash_report.h"
#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/prefix_index.h"
#include "dandelionscale/core/software_versions.h"
#include "dandelionscale/core/stream_origins.h"
#include "dandelionscale/core/watcher_election.h"
#include "dandelionscale/runtime/fault.h"
#include "dispatch_peer.pb.h"

namespace dandelionscale::internal {

/// \returns a view of a repeated field, valid as long as the field is.
template <typename Number>
std::span<const Number> ToSpan(
    const google::protobuf::RepeatedField<Number>& field) {
  return {field.data(), static_cast<std::size_t>(field.size())};
}

/// \brief Writes changes of the prefix index to their fields of the digest;
///        entries for all zones come first if there are others.
void FillPlacements(std::span<const PrefixUpdate> updates,
                    wire::RouterDigest& digest);
/// \brief The same for entries that fill the index of a router that starts.
void FillPlacements(std::span<const PrefixUpdate> updates,
                    wire::BeliefSnapshot& snapshot);

/// \returns the number of the leading new entries that were sent to all zones;
///          none if all were.
template <typename Message>
std::optional<std::size_t> PartsForAllZones(const Message& message) {
  if (!message.has_parts_for_all_zones()) return std::nullopt;
  return message.parts_for_all_zones();
}

/// \returns the fields of a digest that concern watching the store.
WatchReport ToWatchReport(const wire::RouterDigest& digest);
/// \brief Writes the report to its fields of the digest; ages are capped.
void FillWatchReport(const WatchReport& report, wire::RouterDigest& digest);

/// \returns the reports of a digest on requests that crash engines.
/// \param now when the digest was received.
QuarantineUpdate ToQuarantineUpdate(const wire::RouterDigest& digest,
                                    TimePoint now);
/// \brief Writes the reports to their fields of the digest.
void FillQuarantineUpdate(const QuarantineUpdate& update, TimePoint now,
                          wire::RouterDigest& digest);
/// \returns the quarantines of a snapshot.
QuarantineUpdate ToQuarantineUpdate(const wire::BeliefSnapshot& snapshot,
                                    TimePoint now);
/// \returns the quarantines of the store's row; none if it is malformed.
/// \param unix_ms the wall clock at `now`.
QuarantineUpdate ToQuarantineUpdate(const std::string& row, TimePoint now,
                                    std::int64_t unix_ms);
/// \returns the store's row for the quarantines.
std::string FormatQuarantineRow(std::span<const BlockedKeys> entries,
                                TimePoint now, std::int64_t unix_ms);
/// \returns the versions in the store's row, with their ages at `unix_ms`; none
///          if it is malformed.
std::vector<VersionReport> ToVersionReports(const std::string& row,
                                            std::int64_t unix_ms);
/// \returns the store's row for the versions.
std::string FormatVersionsRow(std::span<const VersionReport> reports,
                              std::int64_t unix_ms);
/// \returns the origins in a store's row; none if it is malformed or older than
///          origins are remembered.
/// \param unix_ms the wall clock.
std::vector<StreamOrigin> ToStreamOrigins(const std::string& row,
                                          std::int64_t unix_ms);
/// \returns the store's row for the origins.
std::string FormatOriginsRow(std::span<const StreamOrigin> origins,
                             std::int64_t unix_ms);
/// \brief Writes the quarantine to an empty report.
void FillReport(const BlockedKeys& blocked, TimePoint now,
                wire::QuarantineReport& report);

/// \returns the rate limit of a report, in requests per second; none if the
///          engine has none. Fault: `kMalformedMessage` if the value is no
///          rate.
Result<std::optional<double>> ToRateLimit(const wire::RateLimitReport& report);
/// \returns when the engine stated it.
/// \param now when the report was received.
TimePoint StatedAt(const wire::RateLimitReport& report, TimePoint now);
/// \brief Writes the engine's rate limit and warm-up to an empty report.
void FillRateLimit(const Engine& engine, TimePoint now,
                   wire::RateLimitReport& report);

/// \returns the engine record that the entry describes.
EngineRecord ToRecord(const wire::EngineEntry& entry);
/// \brief Writes the engine record to an empty entry.
void FillEntry(const EngineRecord& record, wire::EngineEntry& entry);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEERS_PEER_MESSAGES_H_
