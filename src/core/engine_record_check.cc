#include "dandelionscale/core/engine_record_check.h"

#include "dandelionscale/transport/http_fields.h"
#include "dandelionscale/transport/remote_endpoint.h"

namespace dandelionscale {
namespace {

// The year 2100. An engine is replaced only by an incarnation that started
// later, so a start beyond all real ones would block the engine's id.
constexpr std::int64_t kMaxBornUnixMs = 4'102'444'800'000;

// Routers write the versions of all engines to one row of the store.
constexpr std::size_t kMaxVersionBytes = 256;

}  // namespace

std::string_view FindInvalidMember(const EngineRecord& record) {
  // Sent to the engine in a header field.
  if (record.id.empty() || !IsFieldValue(record.id)) return "id";
  if (ParseRemoteEndpoint(record.address).has_error()) return "address";
  if (record.max_slots < 1 || record.max_slots > kMaxEngineSlots) {
    return "max_slots";
  }
  if (record.born_unix_ms < 0 || record.born_unix_ms > kMaxBornUnixMs) {
    return "born_unix_ms";
  }
  const auto& version = record.software_version;
  if (version && version->size() > kMaxVersionBytes) return "software_version";
  return {};
}

}  // namespace dandelionscale
