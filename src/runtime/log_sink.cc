#include "dandelionscale/runtime/log_sink.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace dandelionscale {
namespace {

// PIPE_BUF on Linux: a pipe that is reported as writable accepts this many
// bytes without blocking.
constexpr std::size_t kMaxWriteBytes = 4096;
// Buffered bytes that trigger a flush; smaller writes are not worth their
// system calls.
constexpr std::size_t kFlushBytes = 16 * 1024;

bool IsWritable(int descriptor) {
  pollfd poll_entry{descriptor, POLLOUT, 0};
  return ::poll(&poll_entry, 1, 0) == 1 && (poll_entry.revents & POLLOUT) != 0;
}

}  // namespace

LogSink::LogSink(int descriptor, LogSinkLimits limits)
    : descriptor(descriptor),
      limits(limits),
      tokens(limits.burst_bytes),
      refilled_at(RuntimeClock::now()) {}

void LogSink::Write(std::string_view line, bool important) {
  const std::size_t bytes = line.size() + 1;
  const bool has_room =
      this->buffer.size() + bytes <= this->limits.buffer_bytes;
  if (!has_room || !(this->TakeTokens(bytes) || important)) {
    ++this->dropped;
    return;
  }
  this->buffer += line;
  this->buffer += '\n';
  if (this->buffer.size() >= kFlushBytes) this->Flush();
}

void LogSink::Flush() {
  if (this->dropped > this->dropped_reported &&
      this->buffer.size() < this->limits.buffer_bytes / 2) {
    this->buffer += fmt::format(
        "{{\"level\":\"warning\",\"event\":\"log_dropped\",\"lines\":{}}}\n",
        this->dropped - this->dropped_reported);
    this->dropped_reported = this->dropped;
  }
  std::size_t written = 0;
  while (written < this->buffer.size() && IsWritable(this->descriptor)) {
    const std::size_t size =
        std::min(kMaxWriteBytes, this->buffer.size() - written);
    const auto count =
        ::write(this->descriptor, this->buffer.data() + written, size);
    if (count <= 0) break;
    written += static_cast<std::size_t>(count);
  }
  this->buffer.erase(0, written);
}

bool LogSink::TakeTokens(std::size_t bytes) {
  const TimePoint now = RuntimeClock::now();
  const double seconds =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->tokens =
      std::min(this->limits.burst_bytes,
               this->tokens + seconds * this->limits.bytes_per_second);
  if (this->tokens < static_cast<double>(bytes)) return false;
  this->tokens -= static_cast<double>(bytes);
  return true;
}

}  // namespace dandelionscale
