/// \file
/// \brief Conversions between messages of routers and internal types.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_

#include <cstdint>
#include <span>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/watcher_election.h"
#include "dispatch_peer.pb.h"

namespace dandelionscale::internal {

/// \returns a view of a repeated field, valid as long as the field is.
template <typename Number>
std::span<const Number> ToSpan(
    const google::protobuf::RepeatedField<Number>& field) {
  return {field.data(), static_cast<std::size_t>(field.size())};
}

/// \returns the fields of a digest that concern watching the store.
WatchReport ToWatchReport(const wire::RouterDigest& digest);
/// \brief Writes the report to its fields of the digest; ages are capped.
void FillWatchReport(const WatchReport& report, wire::RouterDigest& digest);

/// \returns the engine record that the entry describes.
EngineRecord ToRecord(const wire::EngineEntry& entry);
/// \brief Writes the engine record to an empty entry.
void FillEntry(const EngineRecord& record, wire::EngineEntry& entry);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_
