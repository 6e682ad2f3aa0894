#ifndef DANDELIONSCALE_RUNTIME_LOG_SINK_H_
#define DANDELIONSCALE_RUNTIME_LOG_SINK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "dandelionscale/runtime/runtime_clock.h"

namespace dandelionscale {

/// \brief Limits of a log sink.
struct LogSinkLimits {
  std::size_t buffer_bytes = 256 * 1024;  ///< Buffered for a slow reader.
  double bytes_per_second = 64 * 1024;    ///< Sustained rate.
  double burst_bytes = 512 * 1024;        ///< Capacity of the token bucket.
};

/// \brief Writes log lines to a file descriptor without ever blocking.
///
/// Lines that exceed the rate limit, or that do not fit in the buffer because
/// the reader is too slow, are dropped and counted. `Flush()` adds a
/// `log_dropped` line with the count when the buffer is less than half full.
class LogSink {
 public:
  LogSink(int descriptor, LogSinkLimits limits);

  /// \brief Buffers one line or drops it.
  /// \param line the text without its line end.
  /// \param important true for lines that are exempt from the rate limit, but
  ///        not from the limit of the buffer.
  void Write(std::string_view line, bool important);
  /// \brief Writes as much of the buffer as the descriptor accepts without
  ///        blocking; to be called several times a second.
  void Flush();
  /// \returns the number of lines dropped since construction.
  std::uint64_t Dropped() const { return this->dropped; }

 private:
  // Takes `bytes` from the token bucket; false if it holds fewer.
  bool TakeTokens(std::size_t bytes);

  int descriptor;
  LogSinkLimits limits;
  double tokens;
  TimePoint refilled_at;
  std::string buffer;
  std::uint64_t dropped = 0;
  std::uint64_t dropped_reported = 0;
};

}  // namespace dandelionscale

#endif  // DANDELIONSCALE_RUNTIME_LOG_SINK_H_
