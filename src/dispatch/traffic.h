/// \file
/// \brief Counters of the bytes that a router sends to its peers and reads from
///        the store.
#ifndef DANDELIONSCALE_SRC_DISPATCH_TRAFFIC_H_
#define DANDELIONSCALE_SRC_DISPATCH_TRAFFIC_H_

#include <cstddef>
#include <cstdint>

#include "dandelionscale/dispatch/table_store.h"
#include "dandelionscale/runtime/metrics.h"

namespace dandelionscale::internal {

/// \brief What bytes sent to a peer are for: a kind of message, or a section of
///        a digest or a snapshot.
enum class PeerTraffic {
  kDigestLoads,
  kDigestPlacements,
  kDigestRest,
  kSnapshotConfiguration,
  kSnapshotEngines,
  kSnapshotPrefixes,
  kPermits,
  kOrigins
};

/// \brief Availability zone of the peer that bytes are sent to; a peer whose
///        zone is not known counts as being in the own one.
enum class PeerZone { kOwn, kOther };

/// \brief Adds to `peer_bytes_sent_total`. Headers of HTTP, UDP and IP are not
///        counted.
void CountSent(Metrics& metrics, PeerTraffic kind, PeerZone zone,
               std::size_t bytes);

/// \brief Sets `store_bytes_read_total` to what the store has sent so far.
void UpdateBytesRead(Metrics& metrics, const TableStore& store);

/// \brief Logs the sums of both counters since the start: of what peers were
///        sent in all, and of the part that went to other zones.
void LogTraffic(const Metrics& metrics, Duration uptime);

}  // namespace dandelionscale::internal

#endif  // DANDELIONSCALE_SRC_DISPATCH_TRAFFIC_H_
