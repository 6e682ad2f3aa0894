#include "dispatch/traffic.h"

#include <array>
#include <string_view>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

// Names of the counters, by `PeerTraffic` and `PeerZone`.
constexpr std::array<std::array<std::string_view, 2>, 8> kSentCounters = {{
    {"peer_bytes_sent_total{kind=\"digest_loads\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"digest_loads\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"digest_placements\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"digest_placements\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"digest_rest\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"digest_rest\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"snapshot_configuration\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"snapshot_configuration\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"snapshot_engines\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"snapshot_engines\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"snapshot_prefixes\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"snapshot_prefixes\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"permits\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"permits\",zone=\"other\"}"},
    {"peer_bytes_sent_total{kind=\"origins\",zone=\"own\"}",
     "peer_bytes_sent_total{kind=\"origins\",zone=\"other\"}"},
}};

std::string_view SentCounter(PeerTraffic kind, PeerZone zone) {
  return kSentCounters.at(static_cast<std::size_t>(kind))
      .at(static_cast<std::size_t>(zone));
}

std::string_view ReadCounter(StoreTable table) {
  switch (table) {
    case StoreTable::kConfiguration:
      return "store_bytes_read_total{table=\"configuration\"}";
    case StoreTable::kEngines:
      return "store_bytes_read_total{table=\"engines\"}";
    case StoreTable::kRouters:
      return "store_bytes_read_total{table=\"routers\"}";
  }
  return "store_bytes_read_total{table=\"routers\"}";
}

}  // namespace

void CountSent(Metrics& metrics, PeerTraffic kind, PeerZone zone,
               std::size_t bytes) {
  metrics.Add(SentCounter(kind, zone), bytes);
}

void UpdateBytesRead(Metrics& metrics, const TableStore& store) {
  for (StoreTable table : {StoreTable::kConfiguration, StoreTable::kEngines,
                           StoreTable::kRouters}) {
    const std::string_view counter = ReadCounter(table);
    metrics.Add(counter, store.BytesRead(table) - metrics.Counter(counter));
  }
}

void LogTraffic(const Metrics& metrics, Duration uptime) {
  const auto sent_to = [&metrics](PeerTraffic kind, PeerZone zone) {
    return static_cast<std::int64_t>(metrics.Counter(SentCounter(kind, zone)));
  };
  const auto other = [&sent_to](PeerTraffic kind) {
    return sent_to(kind, PeerZone::kOther);
  };
  const auto sent = [&](PeerTraffic kind) {
    return sent_to(kind, PeerZone::kOwn) + other(kind);
  };
  const auto read = [&metrics](StoreTable table) {
    return static_cast<std::int64_t>(metrics.Counter(ReadCounter(table)));
  };
  Logger::Info(
      "traffic",
      {{"uptime_ms", ToMilliseconds(uptime)},
       {"digest_loads", sent(PeerTraffic::kDigestLoads)},
       {"digest_placements", sent(PeerTraffic::kDigestPlacements)},
       {"digest_rest", sent(PeerTraffic::kDigestRest)},
       {"snapshot_configuration", sent(PeerTraffic::kSnapshotConfiguration)},
       {"snapshot_engines", sent(PeerTraffic::kSnapshotEngines)},
       {"snapshot_prefixes", sent(PeerTraffic::kSnapshotPrefixes)},
       {"permits", sent(PeerTraffic::kPermits)},
       {"origins", sent(PeerTraffic::kOrigins)},
       {"digest_loads_other_zone", other(PeerTraffic::kDigestLoads)},
       {"digest_placements_other_zone", other(PeerTraffic::kDigestPlacements)},
       {"digest_rest_other_zone", other(PeerTraffic::kDigestRest)},
       {"snapshot_configuration_other_zone",
        other(PeerTraffic::kSnapshotConfiguration)},
       {"snapshot_engines_other_zone", other(PeerTraffic::kSnapshotEngines)},
       {"snapshot_prefixes_other_zone", other(PeerTraffic::kSnapshotPrefixes)},
       {"permits_other_zone", other(PeerTraffic::kPermits)},
       {"origins_other_zone", other(PeerTraffic::kOrigins)},
       {"store_configuration", read(StoreTable::kConfiguration)},
       {"store_engines", read(StoreTable::kEngines)},
       {"store_routers", read(StoreTable::kRouters)}});
}

}  // namespace dandelionscale::internal
