/// \file
/// \brief Messages between routers and the types that they carry.
#ifndef DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_
#define DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_

#include <cstdint>
#include <span>

#include "dandelionscale/core/engine_directory.h"
#include "dandelionscale/core/watcher_election.h"
#include "dispatch_peer.pb.h"

namespace dandelionscale::internal {

/// \returns the half of an engine's key that digests name it by. Engines are
///          few enough for half of it to tell them apart.
inline std::uint32_t ShortKey(std::uint64_t engine_key) {
  return static_cast<std::uint32_t>(engine_key);
}

/// \returns a view of a repeated field.
template <typename Number>
std::span<const Number> ToSpan(
    const google::protobuf::RepeatedField<Number>& field) {
  return {field.data(), static_cast<std::size_t>(field.size())};
}

WatchReport ToWatchReport(const wire::RouterDigest& digest);
void FillWatchReport(const WatchReport& report, wire::RouterDigest& digest);

EngineRecord ToRecord(const wire::EngineEntry& entry);
void FillEntry(const EngineRecord& record, wire::EngineEntry& entry);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_PEER_MESSAGES_H_
