#include "dispatch/traffic.h"

#include <array>
#include <string_view>

#include "dandelionscale/runtime/logger.h"

namespace dandelionscale::internal {
namespace {

// Names of the counters, by `PeerTraffic`.
constexpr std::array<std::string_view, 8> kSentCounters = {
    "peer_bytes_sent_total{kind=\"digest_loads\"}",
    "peer_bytes_sent_total{kind=\"digest_placements\"}",
    "peer_bytes_sent_total{kind=\"digest_rest\"}",
    "peer_bytes_sent_total{kind=\"snapshot_configuration\"}",
    "peer_bytes_sent_total{kind=\"snapshot_engines\"}",
    "peer_bytes_sent_total{kind=\"snapshot_prefixes\"}",
    "peer_bytes_sent_total{kind=\"permits\"}",
    "peer_bytes_sent_total{kind=\"origins\"}"};

std::string_view SentCounter(PeerTraffic kind) {
  return kSentCounters.at(static_cast<std::size_t>(kind));
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

void CountSent(Metrics& metrics, PeerTraffic kind, std::size_t bytes) {
  metrics.Add(SentCounter(kind), bytes);
}

void UpdateBytesRead(Metrics& metrics, const TableStore& store) {
  for (StoreTable table : {StoreTable::kConfiguration, StoreTable::kEngines,
                           StoreTable::kRouters}) {
    const std::string_view counter = ReadCounter(table);
    metrics.Add(counter, store.BytesRead(table) - metrics.Counter(counter));
  }
}

void LogTraffic(const Metrics& metrics, Duration uptime) {
  const auto sent = [&metrics](PeerTraffic kind) {
    return static_cast<std::int64_t>(metrics.Counter(SentCounter(kind)));
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
       {"store_configuration", read(StoreTable::kConfiguration)},
       {"store_engines", read(StoreTable::kEngines)},
       {"store_routers", read(StoreTable::kRouters)}});
}

}  // namespace dandelionscale::internal
