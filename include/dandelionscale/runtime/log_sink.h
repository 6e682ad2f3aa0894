#ifndef DANDELIONSCALE_RUNTIME_LOG_SINK_H_
#define DANDELIONSCALE_RUNTIME_LOG_SINK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Bounds of a log.
struct LogSinkLimits {
  std::size_t buffer_bytes = 256 * 1024;  ///< Held for a slow reader.
  double bytes_per_second = 64 * 1024;
  double burst_bytes = 512 * 1024;
};

/// \brief Writes log lines to a file descriptor without ever blocking.
///
/// Lines over the rate, or that a reader does not take in time, are dropped and
/// counted; the count is written as a line once there is room.
class LogSink {
 public:
  LogSink(int descriptor, LogSinkLimits limits);

  /// \brief Takes one line without its line end. Lines of errors and of the
  /// life
  ///        cycle are `important` and not subject to the rate.
  void Write(std::string_view line, bool important);
  /// \brief Hands on what the descriptor takes now; call it a few times a
  /// second.
  void Flush();
  /// \returns the lines dropped since the start.
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  bool TakeTokens(std::size_t bytes);

  int descriptor;
  LogSinkLimits limits;
  double tokens;
  TimePoint refilled_at;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_told = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_LOG_SINK_H_
