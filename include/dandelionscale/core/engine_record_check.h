#ifndef DANDELIONSCALE_CORE_ENGINE_RECORD_CHECK_H_
#define DANDELIONSCALE_CORE_ENGINE_RECORD_CHECK_H_

#include <cstdint>
#include <string_view>

#include "dandelionscale/core/engine_directory.h"

namespace dandelionscale {

/// \brief Largest number of requests that an engine may run concurrently. Each
///        takes a connection, so an engine can't have more than it has ports.
inline constexpr std::uint32_t kMaxEngineSlots = 65'536;

/// \brief Checks a record that another process has written.
/// \returns the name of a member with a value that no engine can have; empty if
///          the record is sound.
std::string_view FindInvalidMember(const EngineRecord& record);

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_CORE_ENGINE_RECORD_CHECK_H_
